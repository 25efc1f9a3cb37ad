"""System calls on sound connections that fail for a moment."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

import pytest
from node_rig import ANSWER, EVENTS, LAST_CHUNK, STREAM, Rig, chat_request, chunk, start_two_engine_rig

from worksmux.net import transports
from worksmux.net.loop import use_retrying_transports

FAILED_CALLS = 5
CALLS = ("recv", "send")


class FailingSocket:
    """A socket whose next calls of one kind fail; all else goes to the real socket."""

    def __init__(self, real: Any, call: str, error: int) -> None:
        self.real, self.failures_left = real, FAILED_CALLS
        setattr(self, call, self._failing(getattr(real, call), error))

    def _failing(self, call: Callable[..., Any], error: int) -> Callable[..., Any]:
        def fail(*arguments: Any) -> Any:
            if self.failures_left:
                self.failures_left -= 1
                raise OSError(error, "injected")
            return call(*arguments)

        return fail

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


def start_stream() -> tuple[Rig, Any, Any, Any]:
    """Starts a stream; returns the rig, the client, and the node's transports to engine and client."""
    rig = Rig()
    use_retrying_transports(rig.reactor)
    rig.engine("prefill")
    rig.engine("decode", lambda _: STREAM + chunk(EVENTS[0]))
    rig.start()
    client = rig.client(chat_request())
    rig.run_until(lambda: EVENTS[0] in client.received)
    (context,) = rig.node.core.open_requests.values()
    (call,) = context.in_flight.values()
    (channel,) = [channel for channel in rig.node.server.channels if channel.busy]
    return rig, client, call.call.connection.transport, channel.transport


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("error", [errno.ENOMEM, errno.ENOBUFS])
def test_stream_is_not_cut_by_a_system_call_that_fails_for_a_moment(call: str, error: int) -> None:
    rig, client, engine_side, client_side = start_stream()
    transport = engine_side if call == "recv" else client_side
    failing = transport.socket = FailingSocket(transport.socket, call, error)
    rig.engines[1].peers[0].transport.write(b"".join(map(chunk, EVENTS[1:])) + LAST_CHUNK)  # type: ignore[union-attr]
    assert rig.wait_for_status(client) == b"200" and client.received.count(b"[DONE]") == 1
    assert not failing.failures_left


def test_client_is_not_taken_for_gone_when_a_system_call_fails_for_a_moment() -> None:
    """The check for a client that has closed its connection reads ahead, and the read fails."""
    rig = start_two_engine_rig(lambda _: ANSWER)
    client = rig.client()
    rig.run_until(lambda: rig.node.server.channels)
    (channel,) = rig.node.server.channels
    channel.transport.socket = FailingSocket(channel.transport.socket, "recv", errno.ENOMEM)
    peek = channel.transport.socket.recv
    channel.transport.socket.recv = lambda *arguments: (
        peek(*arguments) if len(arguments) > 1 else channel.transport.socket.real.recv(*arguments)
    )
    client.transport.write(chat_request())  # type: ignore[union-attr]
    assert rig.wait_for_status(client) == b"200"
    assert channel.transport.socket.failures_left < FAILED_CALLS


def test_broken_connection_still_ends() -> None:
    rig, client, engine_side, _ = start_stream()
    engine_side.socket = FailingSocket(engine_side.socket, "recv", errno.ETIMEDOUT)
    rig.engines[1].peers[0].transport.write(chunk(EVENTS[1]))  # type: ignore[union-attr]
    rig.run_until(lambda: client.ended)
    assert not client.received.endswith(LAST_CHUNK)


def test_read_that_takes_long_to_handle_is_logged(logged: list[Any], monkeypatch: Any) -> None:
    """While one connection's data is handled nothing else is read; the log names the connection."""
    monkeypatch.setattr(transports, "LOGGED_READ_MS", 0.0)
    rig, client, _, _ = start_stream()
    lines = [line for line in logged if line["event"] == "slow read"]
    assert {line["protocol"] for line in lines} >= {"_NewConnection", "Channel"}
    assert all(line["bytes"] and line["duration_ms"] >= 0 and "127." in line["peer"] for line in lines)
