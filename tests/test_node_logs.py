"""The log of a node."""

from __future__ import annotations

from typing import Any

import structlog
from node_rig import Rig, chat_request, start_two_engine_rig

from worksmux.forwarding.decision_loop import SLOW_ROUND_MS
from worksmux.net import clock, lateness
from worksmux.node import discovery
from worksmux.policy.events import RequestArrived


def test_log_has_reasons_and_slow_decision_rounds(logged: list[Any]) -> None:
    rig = Rig()
    prefill = rig.engine("prefill", lambda _: None)  # resets each attempt
    rig.engine("decode")
    rig.start()
    decide = rig.node.core.id_map.policy.decide

    def decide_slowly(now: float, events: list[Any]) -> list[Any]:
        end = clock.now() + 2 * SLOW_ROUND_MS
        while events and isinstance(events[0], RequestArrived) and clock.now() < end:
            pass
        return list(decide(now, events))

    rig.node.core.id_map.policy.decide = decide_slowly
    client = rig.client(chat_request())
    assert rig.wait_for_status(client) == b"503"
    rig.wait_until_idle()
    (request,) = [line for line in logged if line["event"] == "request ended"]
    assert request["reason"]
    assert prefill.methods().count(b"POST") == len(request["attempts"])
    assert all("ended" in attempt["reason"] for attempt in request["attempts"])
    (slow,) = [line for line in logged if line["event"] == "slow decision round"]
    assert slow["events"] == {"RequestArrived": 1}
    assert slow["endpoints"] == 2
    assert slow["cpu_ms"] > SLOW_ROUND_MS / 2


def test_log_of_thousands_of_unknown_engines_is_short(logged: list[Any]) -> None:
    rig = Rig()
    rig.engine("prefill")
    rig.engine("decode")
    rig.start()
    unknown_kinds = [rig.engines[0].entry() | {"name": f"s{index}", "type": "other"} for index in range(3000)]
    with structlog.testing.capture_logs() as lines:
        rig.discovery_server.send_list(2, *unknown_kinds)
        rig.run_until(lambda: rig.node.discovery.index == 2)
    assert len(lines) == discovery.MAX_LOGGED_NOTES + 2
    assert [line["notes_omitted"] for line in lines if "notes_omitted" in line] == [
        3000 - discovery.MAX_LOGGED_NOTES
    ]
    assert rig.wait_for_status(rig.client(chat_request())) == b"200"


def test_log_has_the_engines_that_return_and_the_calls_refused_on_arrival(logged: list[Any]) -> None:
    """Incident 56: the log did not tell which engines a list brought back, nor which calls were refused."""
    rig = start_two_engine_rig()
    entry = rig.engines[1].entry()
    rig.discovery_server.send_list(2, entry | {"status": "DELETED"})
    rig.run_until(lambda: [engine for engine in rig.node.core.pools if engine.state == "gone"])
    rig.discovery_server.send_list(3, entry)
    rig.run_until(lambda: rig.node.discovery.index == 3)
    refused = rig.client(chat_request("b1", request_class="unknown"))
    assert rig.wait_for_status(refused) == b"400"
    lists = {line["index"]: line for line in logged if line["event"] == "endpoint list"}
    assert lists[2]["leaving"] == ["e1"] and "returned" not in lists[2]
    assert lists[3]["returned"] == ["e1"]
    (refusal,) = [line for line in logged if line["event"] == "request refused on arrival"]
    assert refusal["request"] == "b1" and refusal["reason"] == "400" and "chat" in refusal["message"]


def test_log_has_the_reason_of_requests_aborted_after_the_policy_failed(logged: list[Any]) -> None:
    """Incident 56: the line of a request that was aborted because the policy failed had no reason."""
    rig = Rig()
    prefill = rig.engine("prefill", lambda _: b"")
    rig.engine("decode")
    rig.start()
    client = rig.client(chat_request())
    rig.run_until(lambda: prefill.requests)
    rig.node.core.id_map.policy.decide = lambda *_: 1 / 0
    rig.node.core.wake()
    assert rig.wait_for_status(client) == b"502"
    rig.wait_until_idle()
    (request,) = [line for line in logged if line["event"] == "request ended"]
    assert request["reason"] == "policy failed"
    assert [attempt["reason"] for attempt in request["attempts"]] == ["policy failed"]
    (aborted,) = [line for line in logged if line["event"] == "open requests aborted"]
    assert aborted["aborted"] == 1 and aborted["streams_continued"] == 0


def test_log_has_what_clients_sent_while_the_event_loop_was_late(logged: list[Any], monkeypatch: Any) -> None:
    """A late loop alone does not tell one long call from the sum of many connections."""
    monkeypatch.setattr(lateness, "LOGGED_LATENESS_MS", 1.0)
    rig = start_two_engine_rig()
    rig.wait_for_status(rig.client(chat_request()))
    rig.node.lateness._tick_due_ms -= 100.0
    rig.node.server.data_read(5, 7.5)
    rig.node.lateness._tick()
    (line, *_) = [line for line in logged if line["event"] == "event loop was late" and line["client_bytes"]]
    assert line["client_reads"] >= 1 and line["client_requests"] >= 0 and line["client_connections"] >= 0
    assert line["client_read_ms"] >= line["longest_client_read_ms"] >= 7.5
