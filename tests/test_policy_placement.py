"""Which prefill engine a request gets."""

from helpers import NOW, PAIR, ended, fleet, kinds, prefill, request

from worksmux.policy.events import RequestArrived
from worksmux.policy.state import Attempt, Outcome


def test_request_is_prefilled_then_decoded_at_the_reserved_engine():
    router, _ = fleet((0, 0, 0), (1, 0, 0), (0, 1, 1), (1, 1, 1))
    one = request()
    actions = prefill(router, one)
    first, second = one.attempts
    assert (first.engine.role, second.engine.role) == ("read", "write") and kinds(actions) == ["StartAttempt"]
    assert first.engine.cell == second.engine.cell


def test_combined_engine_takes_a_whole_request():
    router, (combined,) = fleet((2, 0, 0))
    one = request()
    router.decide(NOW, [RequestArrived(one)])
    assert one.attempts[0].engine is combined and not one.attempts[0].is_prefill


def test_prefill_engine_with_a_queue_has_no_capacity():
    router, (slow, quick, _) = fleet((0, 0, 0), (0, 0, 0), (1, 0, 0))
    router.context.now = NOW + 600
    slow.attempts, slow.silent_since = {Attempt(request(9), slow, 0, NOW, True): None}, NOW
    assert router.placer.has_capacity(quick, request()) and not router.placer.has_capacity(slow, request())


def test_cell_with_few_decode_engines_sends_some_kv_caches_away():
    router, (lean, _, rich, other, _) = fleet((0, 0, 0), (0, 0, 0), (1, 0, 0), (1, 0, 1), (1, 0, 1))
    assert router.index.local_decode_share[0] < 0.5
    far, near = request(1), request(2)
    far.random_draw, near.random_draw = 0.9, 0.1
    assert (
        router.decode_selection.select(far, lean) is not rich
        and router.decode_selection.select(near, lean) is rich
    )


def test_shared_prefix_is_cached_by_a_few_prefill_engines():
    router, prefill_engines = fleet(*[(0, 0, 0)] * 25)
    firsts = set()
    for number in range(1, 100):
        one = request(number)
        one.prefix = 7
        firsts.add(next(router.prefill_order.candidates(one))[0])
    assert len(firsts) == 6


def test_last_prefill_engine_is_used_after_an_error_but_not_when_unreachable():
    router, (prefill_engine, _) = fleet(*PAIR)
    router.outliers.eject(prefill_engine)
    one, two = request(1), request(2)
    router.decide(NOW, [RequestArrived(one)])
    assert not one.attempts
    prefill_engine.ejected_until = {0: NOW + 9000}
    router.decide(NOW, [RequestArrived(two)])
    assert one.attempts and not two.attempts


def test_decode_engine_prefills_only_where_the_settings_allow_it():
    one, two = request(1), request(2)
    fleet((1, 0, 0))[0].decide(NOW, [RequestArrived(one)])
    router, (decode_engine,) = fleet((1, 0, 0), decode_engines_may_prefill=True)
    router.decide(NOW, [RequestArrived(two)])
    assert not one.attempts and two.attempts[0].engine is decode_engine


def test_rounding_errors_leave_a_prefill_engine_its_capacity():
    router, (prefill_engine, _) = fleet(*PAIR)
    one = request()
    router.decide(NOW, [RequestArrived(one)])
    router.in_flight.prefill_tokens -= 1e-9  # rounding
    ended(router, one.attempts[0], Outcome.PREFILLED)
    assert router.placer.has_capacity(prefill_engine, request(2))
