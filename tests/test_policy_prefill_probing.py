"""Tests health checks before a prefill on nodes with sparse traffic."""

from helpers import NOW, THREE_PREFILL_ENGINES, make_fleet, make_request

from worksmux.policy.actions import CheckHealth
from worksmux.policy.events import HealthCheckEnded, RequestArrived, TimerFired
from worksmux.policy.state import Outcome


def router_with_checks(**changes):
    """Returns the router of one of 200 nodes, a new request, and the engines checked for the request."""
    router, _ = make_fleet(*THREE_PREFILL_ENGINES, **{"node_count": 200, **changes})
    request = make_request()
    checks = [
        action for action in router.decide(NOW, [RequestArrived(request)]) if isinstance(action, CheckHealth)
    ]
    return router, request, [check.engine for check in checks]


def engines_checked(router, now, *events):
    """Runs a decision round; returns the engines whose health the router checks."""
    actions = router.decide(now, list(events))
    return [action.engine for action in actions if isinstance(action, CheckHealth)]


def test_node_with_sparse_traffic_checks_an_engine_before_a_prefill():
    """Other nodes have filled a prefill engine's queue, which this node cannot see.

    This node must check the engine before it sends a prefill there.
    """
    router, request, (prefill_engine,) = router_with_checks()
    assert not request.attempts
    router.decide(NOW + 4, [HealthCheckEnded(prefill_engine, Outcome.SERVED, 4.0)])
    assert [attempt.engine for attempt in request.attempts] == [
        prefill_engine
    ] and not request.checked_engines


def test_first_engine_to_answer_its_check_gets_the_prefill():
    router, request, (first_checked,) = router_with_checks()
    (second_checked,) = engines_checked(router, NOW + 25, TimerFired(0))
    assert second_checked is not first_checked and not engines_checked(router, NOW + 30, TimerFired(0))
    router.decide(NOW + 40, [HealthCheckEnded(first_checked, Outcome.SERVED, 40.0)])
    assert [attempt.engine for attempt in request.attempts] == [first_checked]


def test_first_engine_by_hash_gets_the_prefill_where_none_answers():
    router, request, (first_checked,) = router_with_checks()
    now, checked = NOW, [first_checked]
    while not request.attempts and now < NOW + 1000:
        now += 10
        checked += engines_checked(router, now, TimerFired(0))
    assert (
        now < NOW + 250
        and len(checked) == 3
        and request.attempts[0].engine is next(router.prefill_order.candidates(request))[0]
    )


def test_failed_check_before_a_prefill_ejects_no_engine():
    """A health check times out because it waited in the engine's queue.

    The engine has no fault, so it is not ejected.
    """
    router, request, (prefill_engine,) = router_with_checks()
    router.decide(NOW + 20, [HealthCheckEnded(prefill_engine, Outcome.TIMED_OUT, 20.0)])
    assert (
        not prefill_engine.ejected_until
        and not prefill_engine.failures.count(NOW + 20)
        and not request.attempts
    )


def test_node_with_dense_traffic_or_without_checks_sends_at_once():
    for changes in ({"node_count": 2}, {"may_check_health": False}):
        _, request, checked = router_with_checks(**changes)
        assert len(request.attempts) == 1 and not checked


def test_request_that_waits_for_a_check_does_not_block_others():
    router, request, (prefill_engine,) = router_with_checks()
    other = make_request(2, session=77)
    for engine in router.index.prefill_engines:
        if engine is not prefill_engine:
            engine.health_check_answered_at = NOW + 1
    router.decide(NOW + 1, [RequestArrived(other)])
    assert other.attempts or other.checked_engines
