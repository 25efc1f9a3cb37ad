"""Tests placement and shedding under a failover plan."""

from __future__ import annotations

from helpers import NOW, make_fleet, make_request

from worksmux.policy.actions import RejectRequest
from worksmux.policy.events import (
    AttemptEnded,
    FailoverPlan,
    RequestArrived,
)
from worksmux.policy.state import Outcome, Request

ENGINE_PLACES = ((0, 0, 0), (1, 0, 0), (0, 1, 1), (1, 1, 1), (0, 1, 1))


def route_requests(router, count: int = 60) -> list[Request]:
    requests = [make_request(number, time_left_ms=9000.0) for number in range(1, count + 1)]
    for request in requests:
        router.decide(NOW, [RequestArrived(request)])
        for attempt in request.attempts:
            router.decide(NOW, [AttemptEnded(attempt, Outcome.PREFILLED, 5.0, False)])
    return requests


def test_requests_of_a_failed_zone_move_and_the_others_stay() -> None:
    before, engines = make_fleet(*ENGINE_PLACES)
    zone_by_request = {request.id: request.attempts[0].engine.zone for request in route_requests(before)}
    router, engines = make_fleet(*ENGINE_PLACES)
    router.decide(NOW, [FailoverPlan({0: [(1, 1.0)]}, {}, 0.0)])
    requests = route_requests(router)
    assert {request.attempts[0].engine.zone for request in requests} == {1}
    assert set(zone_by_request.values()) == {0, 1}
    assert not any(attempt.engine.zone == 0 for request in requests for attempt in request.attempts)


def test_growing_share_moves_no_prefix_back() -> None:
    moved: set[int] = set()
    for share in (0.2, 0.5, 0.8, 1.0):
        router, _ = make_fleet(*ENGINE_PLACES)
        router.decide(NOW, [FailoverPlan({0: [(1, share), (0, 1 - share)]}, {}, 0.0)])
        moved_now = {
            request.id
            for request in route_requests(router)
            if request.attempts and request.attempts[0].engine.zone == 1
        }
        assert moved <= moved_now
        moved = moved_now


def test_failed_zone_is_used_if_no_other_zone_is_left() -> None:
    router, engines = make_fleet(*ENGINE_PLACES[:2])
    router.decide(NOW, [FailoverPlan({0: [(1, 1.0)]}, {}, 0.0)])
    request = make_request()
    router.decide(NOW, [RequestArrived(request)])
    assert request.attempts[0].engine is engines[0]


def test_requests_that_the_plan_sheds_are_rejected_before_any_attempt() -> None:
    router, _ = make_fleet(*ENGINE_PLACES, max_retry_after_ms=1.0)
    router.decide(NOW, [FailoverPlan({}, {0: [1.0, 0.0, 0.0], 1: [1.0, 0.0, 0.0]}, 400.0)])
    shed_request, kept_request = make_request(1), make_request(2, request_class=1)
    actions = router.decide(NOW, [RequestArrived(shed_request), RequestArrived(kept_request)])
    rejections = [action for action in actions if isinstance(action, RejectRequest)]
    assert [rejection.request for rejection in rejections] == [shed_request] and 400.0 <= rejections[
        0
    ].retry_after_ms <= 800.0
    assert shed_request.ended and not shed_request.attempts and kept_request.attempts


def test_without_a_lease_each_request_stays_in_the_zone_of_its_prefill() -> None:
    router, engines = make_fleet(*ENGINE_PLACES)
    router.decide(NOW, [FailoverPlan({}, {}, 0.0, True)])
    home_engine = engines[0]
    requests = (make_request(number) for number in range(1, 100))
    request = next(
        request for request in requests if next(iter(router.index.ranked_for(request)[2])) is home_engine
    )
    assert {engine.zone for engine, _ in router.prefill_order.candidates(request)} == {0}


def test_plan_without_moves_changes_no_placement() -> None:
    router, _ = make_fleet(*ENGINE_PLACES)
    other, _ = make_fleet(*ENGINE_PLACES)
    other.decide(NOW, [FailoverPlan({}, {}, 0.0)])
    assert [request.attempts[0].engine.id for request in route_requests(router)] == [
        request.attempts[0].engine.id for request in route_requests(other)
    ]
