"""Tests which engines a request is placed on."""

from helpers import NOW, PAIR, action_names, end_attempt, make_fleet, make_request, run_prefill

from worksmux.policy.events import RequestArrived
from worksmux.policy.state import Attempt, Outcome


def test_request_is_prefilled_then_decoded_at_the_reserved_engine():
    router, _ = make_fleet((0, 0, 0), (1, 0, 0), (0, 1, 1), (1, 1, 1))
    request = make_request()
    actions = run_prefill(router, request)
    first, second = request.attempts
    assert (first.engine.role, second.engine.role) == ("read", "write") and action_names(actions) == [
        "StartAttempt"
    ]
    assert first.engine.cell == second.engine.cell


def test_combined_engine_prefills_and_decodes_in_one_attempt():
    router, (combined,) = make_fleet((2, 0, 0))
    request = make_request()
    router.decide(NOW, [RequestArrived(request)])
    assert request.attempts[0].engine is combined and not request.attempts[0].is_prefill


def test_prefill_engine_with_a_queue_has_no_capacity():
    router, (slow, quick, _) = make_fleet((0, 0, 0), (0, 0, 0), (1, 0, 0))
    router.context.now = NOW + 600
    slow.attempts, slow.silent_since = {Attempt(make_request(9), slow, 0, NOW, True): None}, NOW
    assert router.placer.has_capacity(quick, make_request()) and not router.placer.has_capacity(
        slow, make_request()
    )


def test_cell_with_few_decode_engines_sends_some_kv_cache_to_other_cells():
    router, (prefill_engine, _, local_decode_engine, other, _) = make_fleet(
        (0, 0, 0), (0, 0, 0), (1, 0, 0), (1, 0, 1), (1, 0, 1)
    )
    assert router.index.local_decode_share[0] < 0.5
    high_draw, low_draw = make_request(1), make_request(2)
    high_draw.random_draw, low_draw.random_draw = 0.9, 0.1
    assert (
        router.decode_selection.select(high_draw, prefill_engine) is not local_decode_engine
        and router.decode_selection.select(low_draw, prefill_engine) is local_decode_engine
    )


def test_shared_prefix_is_cached_by_a_few_prefill_engines():
    router, prefill_engines = make_fleet(*[(0, 0, 0)] * 25)
    first_engines = set()
    for number in range(1, 100):
        request = make_request(number)
        request.prefix = 7
        first_engines.add(next(router.prefill_order.candidates(request))[0])
    assert len(first_engines) == 6


def test_last_prefill_engine_is_used_after_an_error_but_not_when_unreachable():
    router, (prefill_engine, _) = make_fleet(*PAIR)
    router.outliers.eject(prefill_engine)
    first_request, second_request = make_request(1), make_request(2)
    router.decide(NOW, [RequestArrived(first_request)])
    assert not first_request.attempts
    prefill_engine.ejected_until = {0: NOW + 9000}
    router.decide(NOW, [RequestArrived(second_request)])
    assert first_request.attempts and not second_request.attempts


def test_decode_engine_prefills_only_where_the_settings_allow_it():
    first_request, second_request = make_request(1), make_request(2)
    make_fleet((1, 0, 0))[0].decide(NOW, [RequestArrived(first_request)])
    router, (decode_engine,) = make_fleet((1, 0, 0), decode_engines_may_prefill=True)
    router.decide(NOW, [RequestArrived(second_request)])
    assert not first_request.attempts and second_request.attempts[0].engine is decode_engine


def test_rounding_errors_leave_a_prefill_engine_its_capacity():
    router, (prefill_engine, _) = make_fleet(*PAIR)
    request = make_request()
    router.decide(NOW, [RequestArrived(request)])
    router.in_flight.prefill_tokens -= 1e-9  # rounding error
    end_attempt(router, request.attempts[0], Outcome.PREFILLED)
    assert router.placer.has_capacity(prefill_engine, make_request(2))
