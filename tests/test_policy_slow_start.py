"""What cold engines are sent."""

import pytest
from helpers import NOW, PAIR, TWO_WRITERS, ended, fleet, request

from worksmux.policy.events import EndpointEntry, EndpointListUpdate, FirstToken, RequestArrived
from worksmux.policy.slow_start import BUDGET_SHARE
from worksmux.policy.state import Outcome


def test_cold_engine_is_sent_what_the_serves_of_its_like_have_earned_it():
    front, (reader, warm, cold) = fleet(*TWO_WRITERS)
    front.decide(NOW, [EndpointListUpdate("delta", [EndpointEntry(cold, "ready", NOW - 1, 0, 0, 1, 1.0)])])
    cold.credit = 0.6
    requests = [request(number) for number in range(1, 4)]
    front.decide(NOW, [RequestArrived(requests[0]), RequestArrived(requests[1])])
    assert {one.decode_engine for one in requests[:2]} == {warm}
    ended(front, requests[0].attempts[0], Outcome.PREFILLED)
    front.decide(NOW + 60, [FirstToken(requests[0].attempts[1], 10.0), RequestArrived(requests[2])])
    assert requests[2].decode_engine is cold and cold.credit < 0.1


@pytest.mark.parametrize(
    "cold, repeat, share", [((1, 2), False, 1.0), ((1, 2), True, 0.25), ((2,), False, 0.5)]
)
def test_decode_engines_that_are_all_cold_earn_their_share_by_first_requests(cold, repeat, share):
    """Guards against a fleet whose decode engines were all replaced: a front that meets a request in seconds
    has no serve to earn by, and refuses what they could do."""
    front, engines = fleet(*TWO_WRITERS)
    entries = [EndpointEntry(engines[at], "ready", NOW - 1, 0, 0, 1, 1.0) for at in cold]
    front.decide(NOW, [EndpointListUpdate("delta", entries)])
    before = engines[2].credit = 0.1
    one = request(1)
    one.repeat = repeat
    front.decide(NOW + 1, [RequestArrived(one)])
    rules = front.settings
    earned = rules.slow_start_share * rules.overload_multiple * BUDGET_SHARE * share * engines[2].role_share
    assert front.slow_start.credit(engines[2]) == pytest.approx(before + earned)


def cold_readers(seed=1):
    """A front with one warm reader and four cold ones."""
    front, engines = fleet((1, 0, 0), *[(0, 0, 0)] * 5, seed=seed)
    front.decide(
        NOW,
        [
            EndpointListUpdate(
                "delta", [EndpointEntry(engine, "ready", NOW - 1, 0, 0, 0, 1.0) for engine in engines[2:]]
            )
        ],
    )
    return front, engines


def test_cold_readers_earn_their_requests_together():
    # Guards against budgets that hundreds of fronts hold and never spend: each waited for a job that the hash
    # sends to the very engine that had earned it, while the few warm readers were sent all.
    front, (_, warm, *cold) = cold_readers()
    front.slow_start.prefill_credit = 0.0
    sent = []
    for number in range(1, 41):
        one = request(number, now=NOW + 100 * number)
        front.decide(one.arrived, [RequestArrived(one)])
        sent.append(one.attempts[0].engine)
        ended(front, one.attempts[0], Outcome.PREFILLED)
        front.decide(one.arrived + 60, [FirstToken(one.attempts[1], 10.0)])
        ended(front, one.attempts[1], Outcome.SERVED, closed=True)
    to_cold = sum(engine is not warm for engine in sent)
    assert 12 <= to_cold <= 40 * 0.3 * 3.0 * 0.5 * 1.25 * 0.8 + 1  # the budget of four in five
    assert len({engine for engine in sent if engine is not warm}) == len(cold)


def test_fronts_without_history_do_not_all_send_to_cold_readers():
    credits = [cold_readers(seed)[0].slow_start.prefill_credit for seed in range(8)]
    assert max(credits) < 1 and max(credits) - min(credits) > 0.3


def test_fronts_without_history_do_not_all_send_to_a_cold_engine():
    credits = []
    for seed in range(8):
        front, (_, writer) = fleet(*PAIR, seed=seed)
        front.decide(
            NOW, [EndpointListUpdate("delta", [EndpointEntry(writer, "ready", NOW - 1, 0, 0, 1, 1.0)])]
        )
        credits.append(writer.credit)
    assert max(credits) < 1 and max(credits) - min(credits) > 0.3
