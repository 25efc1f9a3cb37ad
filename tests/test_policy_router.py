"""Tests timers and decision rounds of the router."""

from helpers import NOW, PAIR, make_fleet, make_request, run_prefill

from worksmux.policy.actions import SetTimer
from worksmux.policy.events import AttemptEnded, ClientDisconnected, FirstToken, RequestArrived, TimerFired
from worksmux.policy.state import Outcome


def test_answer_of_one_token_is_counted():
    router, (_, decode_engine) = make_fleet(*PAIR)
    request = make_request()
    run_prefill(router, request)
    attempt = request.attempts[1]
    router.decide(NOW + 60, [FirstToken(attempt, 10.0), AttemptEnded(attempt, Outcome.SERVED, 10.0, True)])
    assert request.ended and not decode_engine.attempts and not router.outliers.awaited


def test_router_with_nothing_to_watch_sets_no_timer():
    router, _ = make_fleet(*PAIR)
    assert router.decide(NOW, []) == [] and router.decide(NOW + 1, [ClientDisconnected(make_request())]) == []


def test_timer_that_fires_early_by_a_rounding_error_counts():
    router, _ = make_fleet((0, 0, 0))
    router.decide(NOW, [RequestArrived(make_request())])
    assert any(
        isinstance(action, SetTimer) for action in router.decide(router.timer_due_at - 0.001, [TimerFired(0)])
    )
