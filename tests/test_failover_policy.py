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


def route_requests(front, count: int = 60) -> list[Request]:
    requests = [request(number, left=9000.0) for number in range(1, count + 1)]
    for one in requests:
        front.decide(NOW, [RequestArrived(one)])
        for attempt in one.attempts:
            front.decide(NOW, [AttemptEnded(attempt, Outcome.PREFILLED, 5.0, False)])
    return requests


def test_requests_of_a_failed_zone_move_and_the_others_stay() -> None:
    before, engines = fleet(*PLACES)
    home = {one.id: one.attempts[0].engine.zone for one in route_requests(before)}
    front, engines = fleet(*PLACES)
    front.decide(NOW, [FailoverPlan({0: [(1, 1.0)]}, {}, 0.0)])
    requests = route_requests(front)
    assert {one.attempts[0].engine.zone for one in requests} == {1}
    assert set(home.values()) == {0, 1}
    assert not any(attempt.engine.zone == 0 for one in requests for attempt in one.attempts)


def test_growing_share_moves_no_prefix_back() -> None:
    moved: set[int] = set()
    for share in (0.2, 0.5, 0.8, 1.0):
        front, _ = fleet(*PLACES)
        front.decide(NOW, [FailoverPlan({0: [(1, share), (0, 1 - share)]}, {}, 0.0)])
        now = {one.id for one in route_requests(front) if one.attempts and one.attempts[0].engine.zone == 1}
        assert moved <= now
        moved = now


def test_failed_zone_is_used_if_nothing_else_is_left() -> None:
    front, engines = fleet(*PLACES[:2])
    front.decide(NOW, [FailoverPlan({0: [(1, 1.0)]}, {}, 0.0)])
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    assert one.attempts[0].engine is engines[0]


def test_requests_that_the_plan_sheds_are_rejected_before_any_attempt() -> None:
    front, _ = fleet(*PLACES, max_retry_after_ms=1.0)
    front.decide(NOW, [FailoverPlan({}, {0: [1.0, 0.0, 0.0], 1: [1.0, 0.0, 0.0]}, 400.0)])
    hint, mark = request(1), request(2, request_class=1)
    actions = front.decide(NOW, [RequestArrived(hint), RequestArrived(mark)])
    rejections = [action for action in actions if isinstance(action, RejectRequest)]
    assert [one.request for one in rejections] == [hint] and 400.0 <= rejections[0].retry_after_ms <= 800.0
    assert hint.ended and not hint.attempts and mark.attempts


def test_without_a_lease_each_request_stays_in_the_zone_of_its_prefill() -> None:
    front, engines = fleet(*PLACES)
    front.decide(NOW, [FailoverPlan({}, {}, 0.0, True)])
    full = engines[0]
    requests = (request(number) for number in range(1, 100))
    one = next(one for one in requests if next(iter(front.index.ranked_for(one)[2])) is full)
    assert {engine.zone for engine, _ in front.prefill_order.candidates(one)} == {0}


def test_calm_plan_changes_no_placement() -> None:
    front, _ = fleet(*PLACES)
    other, _ = fleet(*PLACES)
    other.decide(NOW, [FailoverPlan({}, {}, 0.0)])
    assert [one.attempts[0].engine.id for one in route_requests(front)] == [
        one.attempts[0].engine.id for one in route_requests(other)
    ]
