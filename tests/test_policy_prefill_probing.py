"""Health checks before a prefill on nodes with sparse traffic."""

from helpers import NOW, THREE_READERS, fleet, request

from worksmux.policy.actions import CheckHealth
from worksmux.policy.events import HealthCheckEnded, RequestArrived, TimerFired
from worksmux.policy.state import Outcome


def asking(**changes):
    """One of many fronts with a job that has just come: the front, the job and the reader that was asked."""
    front, _ = fleet(*THREE_READERS, **{"node_count": 200, **changes})
    one = request()
    probes = [
        action for action in front.decide(NOW, [RequestArrived(one)]) if isinstance(action, CheckHealth)
    ]
    return front, one, [probe.engine for probe in probes]


def asked_at(front, now, *events):
    actions = front.decide(now, list(events))
    return [action.engine for action in actions if isinstance(action, CheckHealth)]


def test_one_of_many_fronts_asks_a_reader_before_it_sends_a_read():
    """Guards against a line of the other fronts' reads, of which this one sees nothing."""
    front, one, (reader,) = asking()
    assert not one.attempts
    front.decide(NOW + 4, [HealthCheckEnded(reader, Outcome.SERVED, 4.0)])
    assert [attempt.engine for attempt in one.attempts] == [reader] and not one.checked_engines


def test_reader_that_does_not_answer_at_once_is_passed_by_and_the_first_to_answer_reads():
    front, one, (first,) = asking()
    (second,) = asked_at(front, NOW + 25, TimerFired(0))
    assert second is not first and not asked_at(front, NOW + 30, TimerFired(0))
    front.decide(NOW + 40, [HealthCheckEnded(first, Outcome.SERVED, 40.0)])
    assert [attempt.engine for attempt in one.attempts] == [first]


def test_request_goes_to_the_reader_of_its_hash_where_none_answers():
    front, one, (first,) = asking()
    now, asked = NOW, [first]
    while not one.attempts and now < NOW + 1000:
        now += 10
        asked += asked_at(front, now, TimerFired(0))
    assert (
        now < NOW + 250
        and len(asked) == 3
        and one.attempts[0].engine is next(front.prefill_order.candidates(one))[0]
    )


def test_probe_that_fails_before_a_read_marks_nobody():
    """Guards against engines set aside for a probe that waited in their line."""
    front, one, (reader,) = asking()
    front.decide(NOW + 20, [HealthCheckEnded(reader, Outcome.TIMED_OUT, 20.0)])
    assert not reader.ejected_until and not reader.failures.count(NOW + 20) and not one.attempts


def test_who_sees_its_engines_or_may_not_ask_sends_at_once():
    for changes in ({"node_count": 2}, {"may_check_health": False}):
        _, one, asked = asking(**changes)
        assert len(one.attempts) == 1 and not asked


def test_request_that_waits_for_an_answer_keeps_no_other_waiting():
    front, one, (reader,) = asking()
    other = request(2, session=77)
    for known in front.index.prefill_engines:
        if known is not reader:
            known.reported = NOW + 1
    front.decide(NOW + 1, [RequestArrived(other)])
    assert other.attempts or other.checked_engines
