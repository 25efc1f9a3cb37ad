"""Tests failures, ejections, suspected engines and health checks."""

from helpers import (
    NOW,
    PAIR,
    TWO_DECODE_ENGINES,
    action_names,
    end_attempt,
    make_fleet,
    make_request,
    run_prefill,
)

from worksmux.policy.actions import CheckHealth
from worksmux.policy.events import AttemptEnded, HealthCheckEnded, RequestArrived, TimerFired
from worksmux.policy.state import Attempt, Outcome


def test_engine_is_ejected_only_for_the_failing_request_class():
    router, (prefill_engine, decode_engine) = make_fleet(*PAIR)
    request = make_request()
    router.decide(NOW, [RequestArrived(request)])
    router._on_attempt_ended(AttemptEnded(request.attempts[0], Outcome.ERROR, 5.0, False))
    assert not router.outliers.is_healthy(prefill_engine, 0) and router.outliers.is_healthy(prefill_engine, 1)


def test_failures_that_all_engines_share_eject_none():
    router, (_, *decode_engines) = make_fleet((0, 0, 0), *[(1, 0, 0)] * 4)
    for decode_engine in decode_engines:
        decode_engine.failures.add(NOW, 1.0, 2.0)
        router.outliers.failed[decode_engine] = None
    attempt = Attempt(make_request(), decode_engines[0], 0, NOW)
    router._record_outcome(AttemptEnded(attempt, Outcome.RESET, 5.0, False))
    assert router.outliers.is_healthy(decode_engines[0], 0)
    for _ in range(2):  # the engine is an outlier now
        router._record_outcome(AttemptEnded(attempt, Outcome.RESET, 5.0, False))
    assert not router.outliers.is_healthy(decode_engines[0], 0)


def test_known_good_engines_come_first_while_a_request_class_fails():
    router, (_, *decode_engines) = make_fleet((0, 0, 0), (1, 0, 0), (1, 0, 0), (1, 0, 0))
    router.estimates.failures[0].add(NOW, 1.0)
    decode_engines[2].last_success[0], router.outliers.known_good[0][decode_engines[2]] = NOW, None
    decode_engines[2].last_turn = 9.0
    assert router.decode_selection.select(make_request(), None) is decode_engines[2]


def test_overdue_prefill_at_a_live_engine_is_cancelled():
    router, (prefill_engine, _) = make_fleet(*PAIR)
    request = make_request()
    router.decide(NOW, [RequestArrived(request)])
    router.decide(NOW + 700, [TimerFired(0)])
    assert action_names(
        router.decide(NOW + 702, [HealthCheckEnded(prefill_engine, Outcome.SERVED, 2.0)])
    ) == ["CancelAttempt"]
    assert not router.outliers.is_healthy(prefill_engine, 0)


def test_prefill_stays_queued_while_all_engines_are_slow():
    """All prefill engines are slow, and hundreds of nodes wait in their queues.

    A node that cancels a queued prefill sends it to the end of another queue, which lengthens every queue.
    So a prefill stays where it is until it is late even for a slow fleet.
    """
    router, (prefill_engine, _) = make_fleet(*PAIR)
    router.estimates.prefill_queue_waits_ms.add(NOW, 400.0)
    request = make_request()
    router.decide(NOW, [RequestArrived(request)])
    prefill_engine.health_check_pending = True  # without it the check's answer ejects no engine
    assert (
        action_names(router.decide(NOW + 700, [HealthCheckEnded(prefill_engine, Outcome.SERVED, 2.0)])) == []
    )
    prefill_engine.health_check_pending = True
    assert action_names(
        router.decide(NOW + 2200, [HealthCheckEnded(prefill_engine, Outcome.SERVED, 2.0)])
    ) == ["CancelAttempt"]


def test_prefill_that_cannot_be_replaced_in_time_is_not_cancelled():
    """A prefill is overdue, but too little time is left before the latency target for another one.

    Cancelling the prefill would reject a request that may be answered soon.
    """
    router, (prefill_engine, _) = make_fleet(*PAIR)
    request = make_request()
    router.decide(NOW, [RequestArrived(request)])
    prefill_engine.health_check_pending, router.probing.enabled = True, True
    assert (
        action_names(router.decide(NOW + 980, [HealthCheckEnded(prefill_engine, Outcome.SERVED, 2.0)])) == []
    )
    assert not request.attempts[0].cancel_requested


def test_failing_engine_is_ejected_for_longer_each_time():
    router, (_, decode_engine) = make_fleet(*PAIR)
    ejections_ms = []
    for at in range(3):
        for _ in range(50):
            router.estimates.failures[0].add(NOW, 0.0)
        router.context.now = NOW + at
        router.outliers.eject(decode_engine)
        ejections_ms.append(decode_engine.ejected_until[-1] - router.context.now)
    assert ejections_ms[0] < 1300 < 1400 < ejections_ms[1] and ejections_ms[2] > 2900


def test_silent_engine_is_checked_and_its_attempts_are_replaced():
    router, (_, first, second) = make_fleet(*TWO_DECODE_ENGINES)
    request = make_request()
    run_prefill(router, request)
    hung_engine = request.attempts[1].engine
    assert CheckHealth(hung_engine) in router.decide(NOW + 700, [TimerFired(0)])
    assert action_names(
        router.decide(NOW + 950, [HealthCheckEnded(hung_engine, Outcome.TIMED_OUT, 250.0)])
    ) == ["CancelAttempt"]
    end_attempt(router, request.attempts[1], Outcome.CANCELLED, elapsed_ms=905.0)
    assert request.attempts[2].engine in {first, second} - {hung_engine}
