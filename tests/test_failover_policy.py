"""What the policy makes of a failover plan."""

from __future__ import annotations

from helpers import NOW, fleet, request

from worksmux.policy.actions import RejectRequest
from worksmux.policy.events import (
    AttemptEnded,
    FailoverPlan,
    RequestArrived,
)
from worksmux.policy.state import Outcome, Request

PLACES = ((0, 0, 0), (1, 0, 0), (0, 1, 1), (1, 1, 1), (0, 1, 1))


def placed(front, count: int = 60) -> list[Request]:
    requests = [request(number, left=9000.0) for number in range(1, count + 1)]
    for one in requests:
        front.decide(NOW, [RequestArrived(one)])
        for attempt in one.attempts:
            front.decide(NOW, [AttemptEnded(attempt, Outcome.READ, 5.0, False)])
    return requests


def test_module_moves_a_lost_zones_requests_and_leaves_the_others_where_they_were() -> None:
    before, engines = fleet(*PLACES)
    home = {one.id: one.attempts[0].engine.zone for one in placed(before)}
    front, engines = fleet(*PLACES)
    front.decide(NOW, [FailoverPlan({0: [(1, 1.0)]}, {}, 0.0)])
    requests = placed(front)
    assert {one.attempts[0].engine.zone for one in requests} == {1}
    assert set(home.values()) == {0, 1}
    assert not any(attempt.engine.zone == 0 for one in requests for attempt in one.attempts)


def test_share_that_grows_moves_no_beginning_back() -> None:
    moved: set[int] = set()
    for share in (0.2, 0.5, 0.8, 1.0):
        front, _ = fleet(*PLACES)
        front.decide(NOW, [FailoverPlan({0: [(1, share), (0, 1 - share)]}, {}, 0.0)])
        now = {one.id for one in placed(front) if one.attempts and one.attempts[0].engine.zone == 1}
        assert moved <= now
        moved = now


def test_module_uses_a_shut_zone_where_nothing_else_is_left() -> None:
    front, engines = fleet(*PLACES[:2])
    front.decide(NOW, [FailoverPlan({0: [(1, 1.0)]}, {}, 0.0)])
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    assert one.attempts[0].engine is engines[0]


def test_module_defers_what_the_plan_sheds_at_once_and_before_any_attempt() -> None:
    front, _ = fleet(*PLACES, max_retry_after_ms=1.0)
    front.decide(NOW, [FailoverPlan({}, {0: [1.0, 0.0, 0.0], 1: [1.0, 0.0, 0.0]}, 400.0)])
    hint, mark = request(1), request(2, request_class=1)
    actions = front.decide(NOW, [RequestArrived(hint), RequestArrived(mark)])
    defers = [action for action in actions if isinstance(action, RejectRequest)]
    assert [one.request for one in defers] == [hint] and 400.0 <= defers[0].stay_away <= 800.0
    assert hint.ended and not hint.attempts and mark.attempts


def test_module_alone_keeps_each_request_in_the_zone_that_reads_it() -> None:
    front, engines = fleet(*PLACES)
    front.decide(NOW, [FailoverPlan({}, {}, 0.0, True)])
    full = engines[0]
    requests = (request(number) for number in range(1, 100))
    one = next(one for one in requests if next(iter(front._ranked(one)[2])) is full)
    assert {engine.zone for engine, _ in front._order(one)} == {0}


def test_calm_plan_changes_no_placement() -> None:
    front, _ = fleet(*PLACES)
    other, _ = fleet(*PLACES)
    other.decide(NOW, [FailoverPlan({}, {}, 0.0)])
    assert [one.attempts[0].engine.id for one in placed(front)] == [
        one.attempts[0].engine.id for one in placed(other)
    ]
