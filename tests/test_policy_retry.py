"""Tests whether and where a request may be retried."""

from helpers import (
    NOW,
    PAIR,
    TWO_DECODE_ENGINES,
    action_names,
    end_attempt,
    make_fleet,
    make_request,
    make_settings,
    run_prefill,
)

from worksmux.policy.context import PolicyContext
from worksmux.policy.events import TimerFired
from worksmux.policy.retry import RetryPolicy
from worksmux.policy.round_robin import ANYWHERE
from worksmux.policy.state import Attempt, Engine, Outcome


def test_timeout_at_the_deadline_is_answered_at_once():
    router, _ = make_fleet(*PAIR)
    request = make_request(time_left_ms=500.0)
    run_prefill(router, request)
    assert action_names(end_attempt(router, request.attempts[1], Outcome.TIMED_OUT, elapsed_ms=449.0))[
        -2:
    ] == [
        "RejectRequest",
        "ReleaseKvCache",
    ]


def test_non_idempotent_request_that_was_possibly_executed_is_aborted():
    router, _ = make_fleet(*TWO_DECODE_ENGINES)
    request = make_request(request_class=1)
    run_prefill(router, request)
    assert (
        "AbortRequest" in action_names(end_attempt(router, request.attempts[1], Outcome.RESET))
        and len(request.attempts) == 2
    )


def test_deduplicated_request_is_retried_only_in_its_scope_and_window():
    router, (prefill_engine, in_scope, out_of_scope) = make_fleet((0, 0, 0), (1, 0, 0), (1, 0, 1))
    request = make_request(request_class=2)
    run_prefill(router, request)
    request.attempts[1].engine, request.attempts[1].outcome = in_scope, Outcome.RESET
    router.context.now = NOW + 60
    assert router.retry.may_send(request, in_scope) and not router.retry.may_send(request, out_of_scope)
    router.context.now += 4500
    assert not router.retry.may_send(request, in_scope)


def test_deduplicated_request_is_prefilled_again_only_in_its_scope():
    """A request was possibly executed in one zone, and only prefill engines elsewhere have capacity.

    The request must wait for a prefill engine in its deduplication scope: a prefill is an attempt too.
    """
    router, engines = make_fleet(*((role, zone, zone) for zone in (0, 1, 2) for role in (0, 0, 1, 1)))
    request = make_request(request_class=2)
    run_prefill(router, request)
    first = request.attempts[1].engine
    for engine in engines:
        if engine.role == "read" and engine.zone == first.zone:
            engine.skipped_until = NOW + 190.0  # only engines in other zones have capacity
    end_attempt(router, request.attempts[1], Outcome.RESET)
    assert (
        action_names(end_attempt(router, request.attempts[2], Outcome.FULL, note=1)) == ["ReleaseKvCache"]
        and request in router.waiting
    )
    assert action_names(router.decide(NOW + 200, [TimerFired(0)])) == ["StartAttempt"]
    assert request.attempts[3].is_prefill and request.attempts[3].engine.zone == first.zone


def test_deduplicated_request_without_a_prefill_engine_in_scope_is_aborted():
    router, (prefill_engine, *_) = make_fleet((0, 1, 1), (1, 0, 0), (1, 0, 0))
    request = make_request(request_class=2)
    run_prefill(router, request)
    end_attempt(router, request.attempts[1], Outcome.RESET)
    actions = end_attempt(router, request.attempts[2], Outcome.FULL, note=1)
    assert prefill_engine.zone != request.attempts[1].engine.zone and len(request.attempts) == 3
    assert action_names(actions) == ["ReleaseKvCache", "AbortRequest", "ReleaseKvCache"]


def test_retry_policy_needs_no_router():
    context = PolicyContext(make_settings(max_attempts=2), 1)
    retry, request = RetryPolicy(context), make_request(request_class=1)
    assert (
        retry.attempts_left(request) == 2 and retry.scope(request) is ANYWHERE and retry.may_reject(request)
    )
    request.attempts.append(Attempt(request, Engine(b"e", 1), 0, NOW, outcome=Outcome.RESET))
    assert (
        retry.attempts_left(request) == 1 and retry.scope(request) is None and not retry.may_reject(request)
    )
