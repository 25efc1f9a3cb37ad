"""Clients that close their connection: nothing is sent for them afterwards, and no effect happens twice."""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any

import pytest
from gateway_rig import PAIR
from node_rig import ANSWER, LAST_CHUNK, STREAM, Rig, chat_request, start_two_engine_rig

from worksmux.fault_trial.small import Rig as GatewayRig
from worksmux.forwarding.executed_keys import ExecutedKeys
from worksmux.net.transports import peer_has_closed

UNREAD_BYTES = 400_000


def leave_during_decode(rig: Rig, request_class: str) -> None:
    """Sends a request and closes its connection while the decode engine runs it."""
    client = rig.client(chat_request("a1", request_class))
    rig.run_until(lambda: rig.engines[1].requests)
    client.transport.abortConnection()  # type: ignore[union-attr]
    rig.run_until(lambda: not rig.node.core.open_requests)


def test_id_of_a_request_that_may_have_run_is_refused(logged: list[Any]) -> None:
    """A client leaves while its request runs, and sends it once more under the same id.

    The first request was closed and its id free, so the second one ran too.
    """
    rig = start_two_engine_rig(lambda _: STREAM)
    leave_during_decode(rig, "mark")
    again = rig.client(chat_request("a1", "mark"))
    assert rig.wait_for_status(again) == b"409" and b"may have run" in again.received
    assert len([request for request in rig.engines[1].requests if request.startswith(b"POST")]) == 1
    reasons = [line["reason"] for line in logged if line["event"] == "request refused on arrival"]
    assert reasons == ["409"] and rig.node.counts.take()["turned away: 409"] == 1


def test_id_of_an_idempotent_request_may_come_again() -> None:
    answers = iter([STREAM, ANSWER])
    rig = start_two_engine_rig(lambda request: next(answers) if request.startswith(b"POST") else b"")
    leave_during_decode(rig, "chat")
    assert rig.wait_for_status(rig.client(chat_request("a1"))) == b"200"


def test_id_of_a_request_that_did_not_run_may_come_again() -> None:
    """The node refused the request while it had no engine; the client tries again."""
    rig = start_two_engine_rig()
    rig.node.core.share = rig.node.core.share._replace(requests=0)
    assert rig.wait_for_status(rig.client(chat_request("a1", "mark"))) == b"503"
    rig.node.core.share = rig.node.core.share._replace(requests=10)
    assert rig.wait_for_status(rig.client(chat_request("a1", "mark"))) == b"200"


def test_oldest_executed_keys_are_forgotten_first() -> None:
    keys = ExecutedKeys(max_keys=2)
    for key in ("a", "b", "a", "c"):
        keys.add(key)
    assert [key in keys for key in "abc"] == [False, True, True]


def test_request_of_a_client_that_closes_behind_unread_data_is_not_sent() -> None:
    """A client sends a request and much behind it, and closes its connection at once.

    The close is behind what is not read, so the request was sent to an engine for nobody.
    """
    rig = start_two_engine_rig()
    client = socket.create_connection(("127.0.0.1", rig.node.port))
    client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * UNREAD_BYTES)
    client.setblocking(False)
    sent = client.send(chat_request() + b"x" * UNREAD_BYTES)
    assert sent > UNREAD_BYTES // 2
    client.close()
    rig.run_until(lambda: rig.node.server.take_activity()["client_connections"])
    rig.run_until(lambda: not rig.node.server.channels and not rig.node.core.open_requests)
    assert not rig.engines[0].requests and not rig.engines[1].requests


def test_close_behind_unread_data_is_seen_without_reading() -> None:
    """The check before each attempt looked at the next byte alone, which was of unread data."""
    rig = start_two_engine_rig()
    client = rig.client()
    rig.run_until(lambda: rig.node.server.channels)
    (channel,) = rig.node.server.channels
    channel.transport.stopReading()
    client.transport.write(b"unread")  # type: ignore[union-attr]
    assert not peer_has_closed(channel.transport)
    client.transport.loseConnection()  # type: ignore[union-attr]
    rig.run_until(lambda: peer_has_closed(channel.transport))


def test_pipelined_request_behind_another_is_still_served() -> None:
    rig = start_two_engine_rig()
    client = rig.client(chat_request("a1"), chat_request("a2"))
    rig.run_until(lambda: client.received.count(LAST_CHUNK) == 2)


@pytest.mark.parametrize(("model", "statuses"), [("mark", [200, 409]), ("hint", [200, 200])])
def test_gateway_refuses_a_repeated_key_whose_effect_may_have_happened(
    tmp_path: Path, model: str, statuses: list[int]
) -> None:
    """A client of a non-idempotent class repeats its idempotency key after the first request has run."""
    rig = GatewayRig(tmp_path, PAIR)
    front = rig.front()
    seen: list[int] = []
    body = json.dumps({"model": model, "max_tokens": 3, "messages": [{"role": "user", "content": "x"}]})

    def ended(status: int, *_: Any) -> None:
        seen.append(status)
        if len(seen) == 1:
            rig.reactor.callLater(0.05, send)
        else:
            rig.reactor.stop()

    def send() -> None:
        rig.send_request(body.encode(), ended, idempotency_key="k1")

    rig.at(0, send)
    rig.run()
    assert seen == statuses
    assert (b'worksmux_turned_away_total{why="repeated key"} 1.0' in front.metrics.text()) == (
        409 in statuses
    )
