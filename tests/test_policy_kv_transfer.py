"""Tests that KV cache held after a prefill is used or released in time."""

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

from worksmux.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    RequestArrived,
    TimerFired,
)
from worksmux.policy.state import Outcome


def test_lost_kv_cache_is_prefilled_again_and_no_engine_is_skipped():
    router, (prefill_engine, decode_engine) = make_fleet(*PAIR)
    request = make_request()
    run_prefill(router, request)
    actions = end_attempt(router, request.attempts[1], Outcome.FULL, note=1)
    assert decode_engine.skipped_until == 0.0 and request.attempts[2].engine is prefill_engine
    assert action_names(actions) == ["ReleaseKvCache", "StartAttempt"]  # also releases a slot reserved ahead


def test_kv_cache_without_a_decode_engine_is_released_in_time():
    router, (_, decode_engine) = make_fleet(*PAIR)
    request = make_request()
    router.decide(NOW, [RequestArrived(request)])
    decode_engine.ejected_until = {-1: NOW + 9000}
    end_attempt(router, request.attempts[0], Outcome.PREFILLED)
    assert "ReleaseKvCache" in action_names(router.decide(NOW + 250, [TimerFired(0)]))


def test_attempts_that_never_reach_an_engine_do_not_extend_the_release_limit():
    """A zone is cut off, and one connection after another to its decode engines fails.

    The KV cache must still be released in time: failed connections do not extend the limit.
    """
    router, _ = make_fleet(*PAIR, (1, 0, 0), (1, 0, 0))
    request = make_request()
    run_prefill(router, request)
    end_attempt(router, request.attempts[1], Outcome.CANCELLED, elapsed_ms=1000.0)
    held_since = request.kv_held_since
    actions = end_attempt(router, request.attempts[2], Outcome.UNREACHABLE, elapsed_ms=250.0)
    assert request.kv_held_since == held_since and "ReleaseKvCache" in action_names(actions)
    assert request.kv_holder is None and not any(not attempt.is_prefill for attempt in request.in_flight)


def test_kv_cache_stays_for_the_next_decode_engine_after_a_refused_connection():
    router, (prefill_engine, *_) = make_fleet(*TWO_DECODE_ENGINES)
    request = make_request()
    run_prefill(router, request)
    actions = end_attempt(router, request.attempts[1], Outcome.UNREACHABLE, elapsed_ms=1.0)
    assert (
        action_names(actions) == ["StartAttempt"]
        and request.kv_holder is prefill_engine
        and request.attempts[2].engine.role == "write"
    )


def test_kv_cache_of_a_disconnected_client_is_released():
    router, _ = make_fleet(*PAIR)
    request = make_request()
    router.decide(NOW, [RequestArrived(request)])
    router.decide(NOW + 10, [ClientDisconnected(request)])
    assert action_names(end_attempt(router, request.attempts[0], Outcome.PREFILLED)) == ["ReleaseKvCache"]


def test_request_with_a_late_prefill_is_rejected_while_others_wait():
    router, (_, decode_engine) = make_fleet(*PAIR)
    late, other = make_request(1), make_request(2)
    router.decide(NOW, [RequestArrived(late)])
    decode_engine.window_reduction = 100.0
    router.decide(NOW + 900, [RequestArrived(other)])
    actions = router.decide(NOW + 1001, [AttemptEnded(late.attempts[0], Outcome.PREFILLED, 50.0, False)])
    assert "RejectRequest" in action_names(actions) and not other.ended


def test_kv_cache_of_a_cell_whose_prefill_engines_have_gone_is_still_decoded():
    router, engines = make_fleet((0, 0, 0), (1, 0, 0), (0, 1, 1), (1, 1, 1))
    request = make_request()
    router.decide(NOW, [RequestArrived(request)])
    prefill_engine = request.attempts[0].engine
    gone = EndpointEntry(
        prefill_engine, "gone", 0.0, prefill_engine.zone, prefill_engine.cell, prefill_engine.kind, 1.0
    )
    router.decide(NOW + 10, [EndpointListUpdate("delta", [gone])])
    request.decode_engine.health_check_pending = True  # so that another decode engine is selected
    end_attempt(router, request.attempts[0], Outcome.PREFILLED)
    assert [attempt.engine.role for attempt in request.attempts] == ["read", "write"]
