"""What a node writes to its log."""

from __future__ import annotations

from typing import Any

import structlog
from node_rig import Rig, ask

from worksmux.forwarding.decision_loop import SLOW_ROUND_MS
from worksmux.net import clock
from worksmux.node import discovery
from worksmux.policy.events import RequestArrived


def test_log_has_reasons_and_slow_decision_rounds(logged: list[Any]) -> None:
    rig = Rig()
    prefill = rig.engine("prefill", lambda _: None)  # it resets each attempt
    rig.engine("decode")
    rig.start()
    decide = rig.node.core.id_map.policy.decide

    def slowly(now: float, events: list[Any]) -> list[Any]:
        end = clock.now() + 2 * SLOW_ROUND_MS
        while events and isinstance(events[0], RequestArrived) and clock.now() < end:
            pass
        return list(decide(now, events))

    rig.node.core.id_map.policy.decide = slowly
    client = rig.client(ask())
    assert rig.answered(client) == b"503"
    rig.idle()
    (request,) = [line for line in logged if line["event"] == "request ended"]
    assert request["reason"]
    assert prefill.verbs().count(b"POST") == len(request["attempts"])
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
    strange = [rig.engines[0].entry() | {"name": f"s{at}", "type": "other"} for at in range(3000)]
    with structlog.testing.capture_logs() as lines:
        rig.hosts.tell(2, *strange)
        rig.until(lambda: rig.node.discovery.index == 2)
    assert len(lines) == discovery.MAX_LOGGED_NOTES + 2
    assert [line["notes_omitted"] for line in lines if "notes_omitted" in line] == [
        3000 - discovery.MAX_LOGGED_NOTES
    ]
    assert rig.answered(rig.client(ask())) == b"200"
