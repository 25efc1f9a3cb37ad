"""Tests how many requests cold engines are sent."""

import pytest
from helpers import NOW, PAIR, TWO_DECODE_ENGINES, end_attempt, make_fleet, make_request

from worksmux.policy.events import EndpointEntry, EndpointListUpdate, FirstToken, RequestArrived
from worksmux.policy.slow_start import BUDGET_SHARE
from worksmux.policy.state import Outcome


def test_cold_engine_is_sent_what_served_requests_of_its_role_have_earned():
    router, (prefill_engine, warm, cold) = make_fleet(*TWO_DECODE_ENGINES)
    router.decide(NOW, [EndpointListUpdate("delta", [EndpointEntry(cold, "ready", NOW - 1, 0, 0, 1, 1.0)])])
    cold.slow_start_credit = 0.6
    requests = [make_request(number) for number in range(1, 4)]
    router.decide(NOW, [RequestArrived(requests[0]), RequestArrived(requests[1])])
    assert {request.decode_engine for request in requests[:2]} == {warm}
    end_attempt(router, requests[0].attempts[0], Outcome.PREFILLED)
    router.decide(NOW + 60, [FirstToken(requests[0].attempts[1], 10.0), RequestArrived(requests[2])])
    assert requests[2].decode_engine is cold and cold.slow_start_credit < 0.1


@pytest.mark.parametrize(
    "cold_positions, is_retry, share", [((1, 2), False, 1.0), ((1, 2), True, 0.25), ((2,), False, 0.5)]
)
def test_decode_engines_that_are_all_cold_earn_by_first_requests(cold_positions, is_retry, share):
    """All decode engines were replaced, and this node gets a request only every few seconds.

    It has no served requests to earn credit from, so arrivals earn it.  Otherwise the node would reject
    requests that the engines could serve.
    """
    router, engines = make_fleet(*TWO_DECODE_ENGINES)
    entries = [
        EndpointEntry(engines[position], "ready", NOW - 1, 0, 0, 1, 1.0) for position in cold_positions
    ]
    router.decide(NOW, [EndpointListUpdate("delta", entries)])
    credit_before = engines[2].slow_start_credit = 0.1
    request = make_request(1)
    request.is_retry = is_retry
    router.decide(NOW + 1, [RequestArrived(request)])
    settings = router.settings
    earned = (
        settings.slow_start_share * settings.overload_multiple * BUDGET_SHARE * share * engines[2].role_share
    )
    assert router.slow_start.credit(engines[2]) == pytest.approx(credit_before + earned)


def fleet_with_cold_prefill_engines(seed=1):
    """Returns a router with one warm and four cold prefill engines, and its engines."""
    router, engines = make_fleet((1, 0, 0), *[(0, 0, 0)] * 5, seed=seed)
    router.decide(
        NOW,
        [
            EndpointListUpdate(
                "delta", [EndpointEntry(engine, "ready", NOW - 1, 0, 0, 0, 1.0) for engine in engines[2:]]
            )
        ],
    )
    return router, engines


def test_cold_prefill_engines_earn_together():
    """Most prefill engines were replaced, and each of hundreds of nodes gets a request now and then.

    If each cold engine earned credit alone, a node would wait for a request that hashes to the one engine
    with credit, and the few warm engines would get all requests.
    """
    router, (_, warm, *cold) = fleet_with_cold_prefill_engines()
    router.slow_start.prefill_credit = 0.0
    sent = []
    for number in range(1, 41):
        request = make_request(number, now=NOW + 100 * number)
        router.decide(request.arrived, [RequestArrived(request)])
        sent.append(request.attempts[0].engine)
        end_attempt(router, request.attempts[0], Outcome.PREFILLED)
        router.decide(request.arrived + 60, [FirstToken(request.attempts[1], 10.0)])
        end_attempt(router, request.attempts[1], Outcome.SERVED, closed=True)
    to_cold = sum(engine is not warm for engine in sent)
    # The upper bound is the budget of the four cold engines of five.
    assert 12 <= to_cold <= 40 * 0.3 * 3.0 * 0.5 * 1.25 * 0.8 + 1
    assert len({engine for engine in sent if engine is not warm}) == len(cold)


def test_nodes_without_history_do_not_all_send_to_cold_prefill_engines():
    initial_credits = [
        fleet_with_cold_prefill_engines(seed)[0].slow_start.prefill_credit for seed in range(8)
    ]
    assert max(initial_credits) < 1 and max(initial_credits) - min(initial_credits) > 0.3


def test_nodes_without_history_do_not_all_send_to_a_cold_decode_engine():
    initial_credits = []
    for seed in range(8):
        router, (_, decode_engine) = make_fleet(*PAIR, seed=seed)
        router.decide(
            NOW, [EndpointListUpdate("delta", [EndpointEntry(decode_engine, "ready", NOW - 1, 0, 0, 1, 1.0)])]
        )
        initial_credits.append(decode_engine.slow_start_credit)
    assert max(initial_credits) < 1 and max(initial_credits) - min(initial_credits) > 0.3
