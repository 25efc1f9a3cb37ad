"""The log of a node."""

from __future__ import annotations

from typing import Any

import structlog
from node_rig import Rig, chat_request

from worksmux.forwarding.decision_loop import SLOW_ROUND_MS
from worksmux.net import clock
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
