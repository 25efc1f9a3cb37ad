"""Tests how many requests a decode engine gets, and in which order."""

from helpers import NOW, PAIR, TWO_DECODE_ENGINES, end_attempt, make_fleet, make_request, run_prefill

from worksmux.policy.events import RequestArrived
from worksmux.policy.state import Attempt, Outcome


def test_decode_engines_of_the_prefill_engines_cell_are_used_round_robin():
    router, (_, first, second) = make_fleet(*TWO_DECODE_ENGINES)
    requests = [make_request(number) for number in (1, 2)]
    router.decide(NOW, [RequestArrived(request) for request in requests])
    assert {request.decode_engine for request in requests} == {first, second}


def test_request_waits_for_its_prefill_while_the_decode_window_is_full():
    router, (_, decode_engine) = make_fleet(*PAIR)
    decode_engine.window_reduction = 100.0
    requests = [make_request(number) for number in (1, 2)]
    router.decide(NOW, [RequestArrived(request) for request in requests])
    assert [len(request.attempts) for request in requests] == [1, 0]


def test_full_decode_engine_is_skipped_and_the_next_gets_the_kv_cache():
    router, _ = make_fleet(*TWO_DECODE_ENGINES)
    request = make_request()
    run_prefill(router, request)
    first = request.attempts[1].engine
    end_attempt(router, request.attempts[1], Outcome.FULL)
    assert first.skipped_until > NOW + 900 and first.window_reduction > 0
    assert request.attempts[2].engine not in (first, request.attempts[0].engine)


def test_restarted_node_may_have_several_requests_at_a_decode_engine():
    router, (_, decode_engine) = make_fleet(*PAIR)
    router.in_flight.decode_requests = 8
    assert router.window.size(decode_engine) > 8


def test_decode_engine_whose_memory_share_is_used_up_gets_no_request():
    router, (_, decode_engine) = make_fleet(*PAIR, kind_memory_tokens=(200_000, 10_000))
    decode_engine.attempts = {
        Attempt(make_request(number), decode_engine, 0, NOW, first_token_at=NOW): None for number in range(7)
    }
    router.in_flight.decode_requests = 7
    assert router.window.size(decode_engine) > 8 and not router.window.has_capacity(
        decode_engine, make_request()
    )


def test_memory_share_does_not_limit_a_busy_node_while_first_tokens_are_prompt():
    """One of hundreds of nodes gets more than its share of the traffic while the engines have free memory.

    It must not be limited to its memory share of each decode engine, unless first tokens are late.
    """
    router, (_, decode_engine) = make_fleet(*PAIR, node_count=200, kind_memory_tokens=(400_000, 570_000))
    decode_engine.attempts = {
        Attempt(make_request(number), decode_engine, 0, NOW, first_token_at=NOW): None for number in range(4)
    }
    router.in_flight.decode_requests, router.context.now, router.probing.enabled = 4, NOW, True
    request = make_request(9)
    request.random_draw = 0.9
    router.estimates.first_token_waits_ms.add(NOW, 40.0)
    assert router.window.has_capacity(decode_engine, request)
    router.estimates.first_token_waits_ms.add(NOW, 4000.0)  # KV cache waits for memory somewhere
    assert not router.window.has_capacity(decode_engine, request)
