"""What a node reports of zones, from the events that its policy is given."""

from __future__ import annotations

import pytest
from helpers import NOW, fleet, request

from worksmux.failover.watcher import Watcher
from worksmux.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    RequestArrived,
)
from worksmux.policy.state import Attempt, Engine, Outcome


def watched() -> tuple[Watcher, list[Engine]]:
    front, engines = fleet((0, 0, 0), (1, 0, 0), (0, 1, 1), (1, 1, 1))
    watcher = Watcher(["north", "south"], ["hint", "mark", "note"], front.settings)
    watcher.observe(
        NOW,
        EndpointListUpdate(
            "full", [EndpointEntry(one, "ready", 0.0, one.zone, one.cell, one.kind, 1.0) for one in engines]
        ),
    )
    return watcher, engines


def fault(watcher: Watcher, engine: Engine, at: float, outcome: Outcome = Outcome.UNREACHABLE) -> None:
    attempt = Attempt(request(), engine, 0, at - 10, True)
    watcher.observe(at, AttemptEnded(attempt, outcome, 10.0, False))


def test_zone_of_which_nothing_answers_is_lost_to_who_asks_it_though_it_asks_seldom() -> None:
    """The module sets an engine aside after one fault, so that a few trips are all there is to see."""
    watcher, (reader, writer, other, _) = watched()
    fault(watcher, reader, NOW + 500)
    fault(watcher, writer, NOW + 600)
    fault(watcher, other, NOW + 600, Outcome.READ)
    report = watcher.report(NOW + 900)
    assert report.zones["north"].failed_votes == 1 and report.zones["south"].failed_votes == 0
    assert watcher.report(NOW + 3000).zones["north"].failed_votes == 1
    assert watcher.report(NOW + 9000).zones["north"].failed_votes == 0


def test_zone_whose_only_prefill_engine_fails_is_lost_though_its_decode_engine_was_fine() -> None:
    """Guards against a zone that is cut off while fronts wait for its decode engines to fail, which get no
    attempts any more: two votes of five, and no plan."""
    watcher, (reader, writer, *_) = watched()
    fault(watcher, writer, NOW + 300, Outcome.DELIVERED)
    fault(watcher, reader, NOW + 500)
    report = watcher.report(NOW + 900).zones["north"]
    assert report.failed_votes == 1 and report.voters == 1
    fault(watcher, writer, NOW + 950, Outcome.DELIVERED)
    assert watcher.report(NOW + 1500).zones["north"].failed_votes == 0


def test_one_engine_of_many_at_fault_loses_no_zone() -> None:
    watcher, (reader, writer, *_) = watched()
    fault(watcher, reader, NOW + 500)
    fault(watcher, writer, NOW + 600, Outcome.READ)
    assert watcher.report(NOW + 900).zones["north"].failed_votes == 0


def test_requests_that_wait_count_before_they_begin() -> None:
    watcher, _ = watched()
    one = request(now=NOW)
    watcher.observe(NOW, RequestArrived(one))
    zones = watcher.report(NOW + 800).zones
    assert zones["north"].wait_rate == pytest.approx(0.4) and zones["north"].begun_rate == 0
    one.ended = True
    assert watcher.report(NOW + 900).zones["north"].wait_rate == 0


def test_what_a_zone_had_is_remembered_when_it_is_gone() -> None:
    watcher, engines = watched()
    watcher.report(NOW)
    watcher.observe(
        NOW + 1,
        EndpointListUpdate("delta", [EndpointEntry(one, "gone", 0.0, 0, 0, 0, 1.0) for one in engines[:2]]),
    )
    told_zone = watcher.report(NOW + 1000).zones["north"]
    assert told_zone.ready_size == 0 and told_zone.full_size == pytest.approx(2.0, rel=0.01)
