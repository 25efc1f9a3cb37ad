"""KV cache held after a prefill: sent on, or released in time."""

from helpers import NOW, PAIR, TWO_DECODE_ENGINES, ended, fleet, kinds, prefill, request

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
    router, (prefill_engine, decode_engine) = fleet(*PAIR)
    one = request()
    prefill(router, one)
    actions = ended(router, one.attempts[1], Outcome.FULL, note=1)
    assert decode_engine.skipped_until == 0.0 and one.attempts[2].engine is prefill_engine
    assert kinds(actions) == ["ReleaseKvCache", "StartAttempt"]  # also of a slot reserved ahead


def test_kv_cache_without_a_decode_engine_is_released_in_time():
    router, (_, decode_engine) = fleet(*PAIR)
    one = request()
    router.decide(NOW, [RequestArrived(one)])
    decode_engine.ejected_until = {-1: NOW + 9000}
    ended(router, one.attempts[0], Outcome.PREFILLED)
    assert "ReleaseKvCache" in kinds(router.decide(NOW + 250, [TimerFired(0)]))


def test_release_time_runs_on_through_attempts_that_never_arrived():
    """A zone is cut off, and one connection after the other to its decode engines fails.

    The KV cache must be released in time all the same; failed connections don't extend it.
    """
    router, _ = fleet(*PAIR, (1, 0, 0), (1, 0, 0))
    one = request()
    prefill(router, one)
    ended(router, one.attempts[1], Outcome.CANCELLED, after=1000.0)
    held = one.kv_held_since
    actions = ended(router, one.attempts[2], Outcome.UNREACHABLE, after=250.0)
    assert one.kv_held_since == held and "ReleaseKvCache" in kinds(actions)
    assert one.kv_holder is None and not any(not attempt.is_prefill for attempt in one.in_flight)


def test_kv_cache_stays_for_the_next_decode_engine_after_a_refused_connection():
    router, (prefill_engine, *_) = fleet(*TWO_DECODE_ENGINES)
    one = request()
    prefill(router, one)
    actions = ended(router, one.attempts[1], Outcome.UNREACHABLE, after=1.0)
    assert (
        kinds(actions) == ["StartAttempt"]
        and one.kv_holder is prefill_engine
        and one.attempts[2].engine.role == "write"
    )


def test_kv_cache_of_a_disconnected_client_is_released():
    router, _ = fleet(*PAIR)
    one = request()
    router.decide(NOW, [RequestArrived(one)])
    router.decide(NOW + 10, [ClientDisconnected(one)])
    assert kinds(ended(router, one.attempts[0], Outcome.PREFILLED)) == ["ReleaseKvCache"]


def test_late_prefill_is_given_up_while_others_wait():
    router, (_, decode_engine) = fleet(*PAIR)
    late, other = request(1), request(2)
    router.decide(NOW, [RequestArrived(late)])
    decode_engine.window_reduction = 100.0
    router.decide(NOW + 900, [RequestArrived(other)])
    actions = router.decide(NOW + 1001, [AttemptEnded(late.attempts[0], Outcome.PREFILLED, 50.0, False)])
    assert "RejectRequest" in kinds(actions) and not other.ended


def test_kv_cache_of_a_cell_whose_prefill_engines_have_gone_is_still_decoded():
    router, engines = fleet((0, 0, 0), (1, 0, 0), (0, 1, 1), (1, 1, 1))
    one = request()
    router.decide(NOW, [RequestArrived(one)])
    prefill_engine = one.attempts[0].engine
    gone = EndpointEntry(
        prefill_engine, "gone", 0.0, prefill_engine.zone, prefill_engine.cell, prefill_engine.kind, 1.0
    )
    router.decide(NOW + 10, [EndpointListUpdate("delta", [gone])])
    one.decode_engine.health_check_pending = True  # so that another decode engine is selected
    ended(router, one.attempts[0], Outcome.PREFILLED)
    assert [attempt.engine.role for attempt in one.attempts] == ["read", "write"]
