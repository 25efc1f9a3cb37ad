"""System calls on sound connections that fail for a moment."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Any

import pytest
from node_rig import ANSWER, EVENTS, LAST_CHUNK, STREAM, Rig, chat_request, chunk, start_two_engine_rig
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import Factory, Protocol

from worksmux.net import transports, work_queue
from worksmux.net.loop import listen, use_retrying_transports

FAILED_CALLS = 5
CALLS = ("recv", "send")
COSTLY_PEERS, SENT_BYTES = 20, 60_000
MS_PER_BYTE = 0.002


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


class CostlyPeer(Protocol):
    """Takes `MS_PER_BYTE` on a fake clock for each byte that it receives."""

    def __init__(self, reads: Reads) -> None:
        self.reads = reads

    def dataReceived(self, data: bytes) -> None:
        self.reads.now_ms += MS_PER_BYTE * len(data)
        self.reads.sizes.append(len(data))


class Reads:
    """The sizes of the reads of one reactor iteration, and the fake clock."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.sizes: list[int] = []


def test_costly_reads_take_turns_and_cheap_ones_do_not_wait(monkeypatch: Any) -> None:
    """Many peers send what takes long to handle, such as chunks of a byte each, as fast as it is read.

    If each of them were read in each iteration, usual connections would be served once in seconds.
    """
    reads = Reads()
    monkeypatch.setattr(transports.clock, "now", lambda: reads.now_ms)
    reactor: Any = EPollReactor()  # type: ignore[no-untyped-call]
    factory: Any = Factory.forProtocol(lambda: CostlyPeer(reads))  # type: ignore[arg-type]
    _, port = listen(reactor, ("127.0.0.1", 0), factory)
    costly = [socket.create_connection(("127.0.0.1", port)) for _ in range(COSTLY_PEERS)]
    cheap = socket.create_connection(("127.0.0.1", port))
    for _ in range(5):
        reactor.iterate(0.01)  # accepts
    for peer in costly:
        peer.sendall(b"~" * SENT_BYTES)
    largest_ms, cheap_reads, iterations, received = 0.0, 0, 0, 0
    while received < COSTLY_PEERS * SENT_BYTES:
        cheap.sendall(b"x")
        began_ms, reads.sizes = reads.now_ms, []
        reactor.iterate(0.01)
        iterations += 1
        received += sum(size for size in reads.sizes if size > 1)
        cheap_reads += 1 in reads.sizes
        if iterations > 1:  # what a new connection costs is not known before its first read
            largest_ms = max(largest_ms, reads.now_ms - began_ms)
    assert largest_ms <= work_queue.MAX_ITERATION_MS + MS_PER_BYTE * transports.FIRST_READ_BYTES
    assert cheap_reads >= iterations - 1
    for peer in (*costly, cheap):
        peer.close()
