"""Timers and decision rounds of the router."""

from helpers import NOW, PAIR, fleet, prefill, request

from worksmux.policy.actions import SetTimer
from worksmux.policy.events import AttemptEnded, ClientDisconnected, FirstToken, RequestArrived, TimerFired
from worksmux.policy.state import Outcome


def test_answer_of_one_token_is_counted():
    router, (_, decode_engine) = fleet(*PAIR)
    one = request()
    prefill(router, one)
    attempt = one.attempts[1]
    router.decide(NOW + 60, [FirstToken(attempt, 10.0), AttemptEnded(attempt, Outcome.SERVED, 10.0, True)])
    assert one.ended and not decode_engine.attempts and not router.outliers.awaited


def test_router_with_nothing_to_watch_sets_no_timer():
    router, _ = fleet(*PAIR)
    assert router.decide(NOW, []) == [] and router.decide(NOW + 1, [ClientDisconnected(request())]) == []


def test_timer_that_fires_a_rounding_error_early_counts():
    router, _ = fleet((0, 0, 0))
    router.decide(NOW, [RequestArrived(request())])
    assert any(
        isinstance(action, SetTimer) for action in router.decide(router.timer_due_at - 0.001, [TimerFired(0)])
    )
