"""What cold engines are sent."""

import pytest
from helpers import NOW, PAIR, TWO_DECODE_ENGINES, ended, fleet, request

from worksmux.policy.events import EndpointEntry, EndpointListUpdate, FirstToken, RequestArrived
from worksmux.policy.slow_start import BUDGET_SHARE
from worksmux.policy.state import Outcome


def test_cold_engine_is_sent_what_serves_of_its_role_have_earned():
    router, (prefill_engine, warm, cold) = fleet(*TWO_DECODE_ENGINES)
    router.decide(NOW, [EndpointListUpdate("delta", [EndpointEntry(cold, "ready", NOW - 1, 0, 0, 1, 1.0)])])
    cold.slow_start_credit = 0.6
    requests = [request(number) for number in range(1, 4)]
    router.decide(NOW, [RequestArrived(requests[0]), RequestArrived(requests[1])])
    assert {one.decode_engine for one in requests[:2]} == {warm}
    ended(router, requests[0].attempts[0], Outcome.PREFILLED)
    router.decide(NOW + 60, [FirstToken(requests[0].attempts[1], 10.0), RequestArrived(requests[2])])
    assert requests[2].decode_engine is cold and cold.slow_start_credit < 0.1


@pytest.mark.parametrize(
    "cold, repeat, share", [((1, 2), False, 1.0), ((1, 2), True, 0.25), ((2,), False, 0.5)]
)
def test_decode_engines_that_are_all_cold_earn_by_first_requests(cold, repeat, share):
    """All decode engines were replaced, and this node gets a request only every few seconds.

    It has no serves to earn credit by, so arrivals earn it; otherwise it rejects what they could do.
    """
    router, engines = fleet(*TWO_DECODE_ENGINES)
    entries = [EndpointEntry(engines[at], "ready", NOW - 1, 0, 0, 1, 1.0) for at in cold]
    router.decide(NOW, [EndpointListUpdate("delta", entries)])
    before = engines[2].slow_start_credit = 0.1
    one = request(1)
    one.is_retry = repeat
    router.decide(NOW + 1, [RequestArrived(one)])
    rules = router.settings
    earned = rules.slow_start_share * rules.overload_multiple * BUDGET_SHARE * share * engines[2].role_share
    assert router.slow_start.credit(engines[2]) == pytest.approx(before + earned)


def fleet_with_cold_prefill_engines(seed=1):
    """A router with one warm prefill engine and four cold ones."""
    router, engines = fleet((1, 0, 0), *[(0, 0, 0)] * 5, seed=seed)
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
    """Most prefill engines were replaced, and hundreds of nodes each meet a request now and then.

    If each cold engine earned alone, a node would wait for a request that hashes to the very one with credit,
    and the few warm engines would get all.
    """
    router, (_, warm, *cold) = fleet_with_cold_prefill_engines()
    router.slow_start.prefill_credit = 0.0
    sent = []
    for number in range(1, 41):
        one = request(number, now=NOW + 100 * number)
        router.decide(one.arrived, [RequestArrived(one)])
        sent.append(one.attempts[0].engine)
        ended(router, one.attempts[0], Outcome.PREFILLED)
        router.decide(one.arrived + 60, [FirstToken(one.attempts[1], 10.0)])
        ended(router, one.attempts[1], Outcome.SERVED, closed=True)
    to_cold = sum(engine is not warm for engine in sent)
    assert 12 <= to_cold <= 40 * 0.3 * 3.0 * 0.5 * 1.25 * 0.8 + 1  # the budget of four engines in five
    assert len({engine for engine in sent if engine is not warm}) == len(cold)


def test_nodes_without_history_do_not_all_send_to_cold_prefill_engines():
    credits = [fleet_with_cold_prefill_engines(seed)[0].slow_start.prefill_credit for seed in range(8)]
    assert max(credits) < 1 and max(credits) - min(credits) > 0.3


def test_nodes_without_history_do_not_all_send_to_a_cold_decode_engine():
    credits = []
    for seed in range(8):
        router, (_, decode_engine) = fleet(*PAIR, seed=seed)
        router.decide(
            NOW, [EndpointListUpdate("delta", [EndpointEntry(decode_engine, "ready", NOW - 1, 0, 0, 1, 1.0)])]
        )
        credits.append(decode_engine.slow_start_credit)
    assert max(credits) < 1 and max(credits) - min(credits) > 0.3
