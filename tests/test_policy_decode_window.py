"""How many requests a decode engine gets, and in which turn."""

from helpers import NOW, PAIR, TWO_DECODE_ENGINES, ended, fleet, prefill, request

from worksmux.policy.events import RequestArrived
from worksmux.policy.state import Attempt, Outcome


def test_decode_engines_of_the_prefill_engines_cell_take_turns():
    router, (_, first, second) = fleet(*TWO_DECODE_ENGINES)
    requests = [request(number) for number in (1, 2)]
    router.decide(NOW, [RequestArrived(one) for one in requests])
    assert {one.decode_engine for one in requests} == {first, second}


def test_request_waits_for_its_prefill_while_the_decode_window_is_full():
    router, (_, decode_engine) = fleet(*PAIR)
    decode_engine.window_reduction = 100.0
    requests = [request(number) for number in (1, 2)]
    router.decide(NOW, [RequestArrived(one) for one in requests])
    assert [len(one.attempts) for one in requests] == [1, 0]


def test_full_decode_engine_is_skipped_and_the_next_gets_the_kv_cache():
    router, _ = fleet(*TWO_DECODE_ENGINES)
    one = request()
    prefill(router, one)
    first = one.attempts[1].engine
    ended(router, one.attempts[1], Outcome.FULL)
    assert first.skipped_until > NOW + 900 and first.window_reduction > 0
    assert one.attempts[2].engine not in (first, one.attempts[0].engine)


def test_restarted_node_may_have_several_requests_at_a_decode_engine():
    router, (_, decode_engine) = fleet(*PAIR)
    router.in_flight.decode_requests = 8
    assert router.window.size(decode_engine) > 8


def test_decode_engine_whose_memory_share_is_used_up_gets_no_request():
    router, (_, decode_engine) = fleet(*PAIR, kind_memory_tokens=(200_000, 10_000))
    decode_engine.attempts = {
        Attempt(request(number), decode_engine, 0, NOW, first_token_at=NOW): None for number in range(7)
    }
    router.in_flight.decode_requests = 7
    assert router.window.size(decode_engine) > 8 and not router.window.has_capacity(decode_engine, request())


def test_memory_share_does_not_limit_a_busy_node_while_first_tokens_are_prompt():
    """One node of hundreds gets more than its share of the traffic while the engines' memory is idle.

    It must not hold each decode engine to its memory share, unless first tokens are late somewhere.
    """
    router, (_, decode_engine) = fleet(*PAIR, node_count=200, kind_memory_tokens=(400_000, 570_000))
    decode_engine.attempts = {
        Attempt(request(number), decode_engine, 0, NOW, first_token_at=NOW): None for number in range(4)
    }
    router.in_flight.decode_requests, router.context.now, router.probing.enabled = 4, NOW, True
    one = request(9)
    one.random_draw = 0.9
    router.estimates.first_token_waits_ms.add(NOW, 40.0)
    assert router.window.has_capacity(decode_engine, one)
    router.estimates.first_token_waits_ms.add(NOW, 4000.0)  # KV cache waits for memory somewhere
    assert not router.window.has_capacity(decode_engine, one)
