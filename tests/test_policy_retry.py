"""Whether and where a request may be sent again."""

from helpers import NOW, PAIR, TWO_DECODE_ENGINES, ended, fleet, kinds, prefill, request, settings

from worksmux.policy.context import PolicyContext
from worksmux.policy.events import TimerFired
from worksmux.policy.retry import RetryPolicy
from worksmux.policy.round_robin import ANYWHERE
from worksmux.policy.state import Attempt, Engine, Outcome


def test_timeout_at_the_deadline_is_answered_at_once():
    router, _ = fleet(*PAIR)
    one = request(left=500.0)
    prefill(router, one)
    assert kinds(ended(router, one.attempts[1], Outcome.TIMED_OUT, after=449.0))[-2:] == [
        "RejectRequest",
        "ReleaseKvCache",
    ]


def test_non_idempotent_request_that_was_possibly_executed_is_aborted():
    router, _ = fleet(*TWO_DECODE_ENGINES)
    one = request(request_class=1)
    prefill(router, one)
    assert "AbortRequest" in kinds(ended(router, one.attempts[1], Outcome.RESET)) and len(one.attempts) == 2


def test_deduplicated_request_is_retried_only_in_its_scope_and_window():
    router, (prefill_engine, same, other) = fleet((0, 0, 0), (1, 0, 0), (1, 0, 1))
    one = request(request_class=2)
    prefill(router, one)
    one.attempts[1].engine, one.attempts[1].outcome = same, Outcome.RESET
    router.context.now = NOW + 60
    assert router.retry.may_send(one, same) and not router.retry.may_send(one, other)
    router.context.now += 4500
    assert not router.retry.may_send(one, same)


def test_deduplicated_request_is_prefilled_again_only_in_its_scope():
    """A request was possibly executed in one zone, and only prefill engines elsewhere have capacity.

    It must wait for one in its deduplication scope: a prefill is an attempt too.
    """
    router, engines = fleet(*((role, zone, zone) for zone in (0, 1, 2) for role in (0, 0, 1, 1)))
    one = request(request_class=2)
    prefill(router, one)
    first = one.attempts[1].engine
    for engine in engines:
        if engine.role == "read" and engine.zone == first.zone:
            engine.skipped_until = NOW + 190.0  # engines elsewhere have capacity, these do not
    ended(router, one.attempts[1], Outcome.RESET)
    assert (
        kinds(ended(router, one.attempts[2], Outcome.FULL, note=1)) == ["ReleaseKvCache"]
        and one in router.waiting
    )
    assert kinds(router.decide(NOW + 200, [TimerFired(0)])) == ["StartAttempt"]
    assert one.attempts[3].is_prefill and one.attempts[3].engine.zone == first.zone


def test_deduplicated_request_without_a_prefill_engine_in_scope_is_aborted():
    router, (prefill_engine, *_) = fleet((0, 1, 1), (1, 0, 0), (1, 0, 0))
    one = request(request_class=2)
    prefill(router, one)
    ended(router, one.attempts[1], Outcome.RESET)
    actions = ended(router, one.attempts[2], Outcome.FULL, note=1)
    assert prefill_engine.zone != one.attempts[1].engine.zone and len(one.attempts) == 3
    assert kinds(actions) == ["ReleaseKvCache", "AbortRequest", "ReleaseKvCache"]


def test_retry_policy_needs_no_router():
    context = PolicyContext(settings(max_attempts=2), 1)
    retry, one = RetryPolicy(context), request(request_class=1)
    assert retry.attempts_left(one) == 2 and retry.scope(one) is ANYWHERE and retry.may_reject(one)
    one.attempts.append(Attempt(one, Engine(b"e", 1), 0, NOW, outcome=Outcome.RESET))
    assert retry.attempts_left(one) == 1 and retry.scope(one) is None and not retry.may_reject(one)
