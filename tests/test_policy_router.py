"""Timers and decision rounds of the router."""

from helpers import NOW, PAIR, fleet, read, request

from worksmux.policy.actions import SetTimer
from worksmux.policy.events import AttemptEnded, ClientDisconnected, FirstToken, RequestArrived, TimerFired
from worksmux.policy.state import Outcome


def test_answer_of_one_token_is_counted():
    front, (_, writer) = fleet(*PAIR)
    one = request()
    read(front, one)
    attempt = one.attempts[1]
    front.decide(NOW + 60, [FirstToken(attempt, 10.0), AttemptEnded(attempt, Outcome.SERVED, 10.0, True)])
    assert one.ended and not writer.attempts and not front.outliers.awaited


def test_front_with_nothing_to_watch_sets_no_alarm():
    front, _ = fleet(*PAIR)
    assert front.decide(NOW, []) == [] and front.decide(NOW + 1, [ClientDisconnected(request())]) == []


def test_bell_that_rings_a_rounding_error_early_still_counts():
    front, _ = fleet((0, 0, 0))
    front.decide(NOW, [RequestArrived(request())])
    assert any(
        isinstance(action, SetTimer) for action in front.decide(front.timer_due_at - 0.001, [TimerFired(0)])
    )
