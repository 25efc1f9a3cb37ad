"""The report of a node on the zones, from the events of its policy."""

from __future__ import annotations

import pytest
from helpers import NOW, make_fleet, make_request

from worksmux.failover.watcher import Watcher
from worksmux.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    RequestArrived,
)
from worksmux.policy.state import Attempt, Engine, Outcome


def new_watcher() -> tuple[Watcher, list[Engine]]:
    policy, engines = make_fleet((0, 0, 0), (1, 0, 0), (0, 1, 1), (1, 1, 1))
    watcher = Watcher(["north", "south"], ["hint", "mark", "note"], policy.settings)
    watcher.observe(
        NOW,
        EndpointListUpdate(
            "full",
            [
                EndpointEntry(engine, "ready", 0.0, engine.zone, engine.cell, engine.kind, 1.0)
                for engine in engines
            ],
        ),
    )
    return watcher, engines


def end_attempt(
    watcher: Watcher, engine: Engine, at_ms: float, outcome: Outcome = Outcome.UNREACHABLE
) -> None:
    attempt = Attempt(make_request(), engine, 0, at_ms - 10, True)
    watcher.observe(at_ms, AttemptEnded(attempt, outcome, 10.0, False))


def test_zone_without_answers_gets_a_failed_vote_after_few_attempts() -> None:
    """The policy ejects an engine after one fault, so that a failed zone gets only a few attempts."""
    watcher, (prefill, decode, other, _) = new_watcher()
    end_attempt(watcher, prefill, NOW + 500)
    end_attempt(watcher, decode, NOW + 600)
    end_attempt(watcher, other, NOW + 600, Outcome.PREFILLED)
    report = watcher.report(NOW + 900)
    assert report.zones["north"].failed_votes == 1 and report.zones["south"].failed_votes == 0
    assert watcher.report(NOW + 3000).zones["north"].failed_votes == 1
    assert watcher.report(NOW + 9000).zones["north"].failed_votes == 0


def test_zone_whose_only_prefill_engine_fails_gets_a_failed_vote() -> None:
    """After a network partition the prefill engine of a zone fails; its decode engine gets no more attempts.

    A node that waited for a fault of the decode engine too would not vote, and no plan would be made.
    """
    watcher, (prefill, decode, *_) = new_watcher()
    end_attempt(watcher, decode, NOW + 300, Outcome.SERVED)
    end_attempt(watcher, prefill, NOW + 500)
    report = watcher.report(NOW + 900).zones["north"]
    assert report.failed_votes == 1 and report.voters == 1
    end_attempt(watcher, decode, NOW + 950, Outcome.SERVED)
    assert watcher.report(NOW + 1500).zones["north"].failed_votes == 0


def test_one_faulty_engine_of_many_gets_no_failed_vote() -> None:
    watcher, (prefill, decode, *_) = new_watcher()
    end_attempt(watcher, prefill, NOW + 500)
    end_attempt(watcher, decode, NOW + 600, Outcome.PREFILLED)
    assert watcher.report(NOW + 900).zones["north"].failed_votes == 0


def test_waiting_requests_count_before_their_first_token() -> None:
    watcher, _ = new_watcher()
    waiting = make_request(now=NOW)
    watcher.observe(NOW, RequestArrived(waiting))
    zones = watcher.report(NOW + 800).zones
    assert zones["north"].wait_rate == pytest.approx(0.4) and zones["north"].first_token_rate == 0
    waiting.ended = True
    assert watcher.report(NOW + 900).zones["north"].wait_rate == 0


def test_full_size_of_a_zone_is_remembered_when_its_engines_are_gone() -> None:
    watcher, engines = new_watcher()
    watcher.report(NOW)
    watcher.observe(
        NOW + 1,
        EndpointListUpdate(
            "delta", [EndpointEntry(engine, "gone", 0.0, 0, 0, 0, 1.0) for engine in engines[:2]]
        ),
    )
    report = watcher.report(NOW + 1000).zones["north"]
    assert report.ready_size == 0 and report.full_size == pytest.approx(2.0, rel=0.01)
