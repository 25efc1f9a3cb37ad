"""Health checks before a prefill on nodes with sparse traffic."""

from helpers import NOW, THREE_PREFILL_ENGINES, fleet, request

from worksmux.policy.actions import CheckHealth
from worksmux.policy.events import HealthCheckEnded, RequestArrived, TimerFired
from worksmux.policy.state import Outcome


def probing_router(**changes):
    """A node of 200, a request that has just come, and the engines that were checked for it."""
    router, _ = fleet(*THREE_PREFILL_ENGINES, **{"node_count": 200, **changes})
    one = request()
    probes = [
        action for action in router.decide(NOW, [RequestArrived(one)]) if isinstance(action, CheckHealth)
    ]
    return router, one, [probe.engine for probe in probes]


def checked_at(router, now, *events):
    actions = router.decide(now, list(events))
    return [action.engine for action in actions if isinstance(action, CheckHealth)]


def test_node_with_sparse_traffic_checks_an_engine_before_a_prefill():
    """Other nodes have filled a prefill engine's queue, and this node sees nothing of it.

    It must check the engine before it sends a prefill there.
    """
    router, one, (prefill_engine,) = probing_router()
    assert not one.attempts
    router.decide(NOW + 4, [HealthCheckEnded(prefill_engine, Outcome.SERVED, 4.0)])
    assert [attempt.engine for attempt in one.attempts] == [prefill_engine] and not one.checked_engines


def test_first_engine_to_answer_its_check_gets_the_prefill():
    router, one, (first,) = probing_router()
    (second,) = checked_at(router, NOW + 25, TimerFired(0))
    assert second is not first and not checked_at(router, NOW + 30, TimerFired(0))
    router.decide(NOW + 40, [HealthCheckEnded(first, Outcome.SERVED, 40.0)])
    assert [attempt.engine for attempt in one.attempts] == [first]


def test_first_engine_by_hash_gets_the_prefill_where_none_answers():
    router, one, (first,) = probing_router()
    now, asked = NOW, [first]
    while not one.attempts and now < NOW + 1000:
        now += 10
        asked += checked_at(router, now, TimerFired(0))
    assert (
        now < NOW + 250
        and len(asked) == 3
        and one.attempts[0].engine is next(router.prefill_order.candidates(one))[0]
    )


def test_failed_check_before_a_prefill_ejects_nobody():
    """A health check times out because it waited in the engine's queue.

    That is no fault of the engine, so it is not ejected.
    """
    router, one, (prefill_engine,) = probing_router()
    router.decide(NOW + 20, [HealthCheckEnded(prefill_engine, Outcome.TIMED_OUT, 20.0)])
    assert (
        not prefill_engine.ejected_until and not prefill_engine.failures.count(NOW + 20) and not one.attempts
    )


def test_node_that_sees_its_engines_or_may_not_check_sends_at_once():
    for changes in ({"node_count": 2}, {"may_check_health": False}):
        _, one, asked = probing_router(**changes)
        assert len(one.attempts) == 1 and not asked


def test_request_that_waits_for_a_check_keeps_no_other_waiting():
    router, one, (prefill_engine,) = probing_router()
    other = request(2, session=77)
    for known in router.index.prefill_engines:
        if known is not prefill_engine:
            known.health_check_answered_at = NOW + 1
    router.decide(NOW + 1, [RequestArrived(other)])
    assert other.attempts or other.checked_engines
