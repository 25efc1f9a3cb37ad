"""Failures, ejections, suspicion and health checks."""

from helpers import NOW, PAIR, TWO_WRITERS, ended, fleet, kinds, read, request

from worksmux.policy.actions import CheckHealth
from worksmux.policy.events import AttemptEnded, HealthCheckEnded, RequestArrived, TimerFired
from worksmux.policy.state import Attempt, Outcome


def test_request_class_that_an_engine_fails_is_kept_away_from_it_alone():
    front, (reader, writer) = fleet(*PAIR)
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    front._on_attempt_ended(AttemptEnded(one.attempts[0], Outcome.ERROR, 5.0, False))
    assert not front.outliers.is_healthy(reader, 0) and front.outliers.is_healthy(reader, 1)


def test_faults_that_all_engines_share_set_none_of_them_aside():
    front, (_, *writers) = fleet((0, 0, 0), *[(1, 0, 0)] * 4)
    for writer in writers:
        writer.failures.add(NOW, 1.0, 2.0)
        front.outliers.failed[writer] = None
    attempt = Attempt(request(), writers[0], 0, NOW)
    front._learn(AttemptEnded(attempt, Outcome.RESET, 5.0, False))
    assert front.outliers.is_healthy(writers[0], 0)
    for _ in range(2):  # now it stands out
        front._learn(AttemptEnded(attempt, Outcome.RESET, 5.0, False))
    assert not front.outliers.is_healthy(writers[0], 0)


def test_engines_known_to_serve_come_first_while_an_request_class_fails():
    front, (_, *writers) = fleet((0, 0, 0), (1, 0, 0), (1, 0, 0), (1, 0, 0))
    front.estimates.failures[0].add(NOW, 1.0)
    writers[2].last_success[0], front.outliers.known_good[0][writers[2]] = NOW, None
    writers[2].last_turn = 9.0
    assert front.decode_selection.select(request(), None) is writers[2]


def test_read_left_unanswered_by_an_engine_that_lives_is_called_off():
    front, (reader, _) = fleet(*PAIR)
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    front.decide(NOW + 700, [TimerFired(0)])
    assert kinds(front.decide(NOW + 702, [HealthCheckEnded(reader, Outcome.SERVED, 2.0)])) == [
        "CancelAttempt"
    ]
    assert not front.outliers.is_healthy(reader, 0)


def test_read_is_left_in_its_line_where_all_readers_are_slow_alike():
    # Guards against hundreds of fronts that call off what waits in a line and send it to the end of another.
    front, (reader, _) = fleet(*PAIR)
    front.estimates.prefill_queue_waits.add(NOW, 400.0)
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    reader.health_check_pending = True  # only then is a probe's answer a judgement
    assert kinds(front.decide(NOW + 700, [HealthCheckEnded(reader, Outcome.SERVED, 2.0)])) == []
    reader.health_check_pending = True
    assert kinds(front.decide(NOW + 2200, [HealthCheckEnded(reader, Outcome.SERVED, 2.0)])) == [
        "CancelAttempt"
    ]


def test_read_that_no_other_could_replace_in_time_is_left_to_end():
    # Guards against work thrown away: what is called off too late is refused, though its answer was near.
    front, (reader, _) = fleet(*PAIR)
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    reader.health_check_pending, front.probing.enabled = True, True
    assert kinds(front.decide(NOW + 980, [HealthCheckEnded(reader, Outcome.SERVED, 2.0)])) == []
    assert not one.attempts[0].cancel_requested


def test_failing_writer_loses_its_turns_for_longer_each_time():
    front, (_, writer) = fleet(*PAIR)
    asides = []
    for at in range(3):
        for _ in range(50):
            front.estimates.failures[0].add(NOW, 0.0)
        front.context.now = NOW + at
        front.outliers.eject(writer)
        asides.append(writer.ejected_until[-1] - front.context.now)
    assert asides[0] < 1300 < 1400 < asides[1] and asides[2] > 2900


def test_silent_engine_is_probed_and_its_waiting_requests_are_rescued():
    front, (_, first, second) = fleet(*TWO_WRITERS)
    one = request()
    read(front, one)
    hung = one.attempts[1].engine
    assert CheckHealth(hung) in front.decide(NOW + 700, [TimerFired(0)])
    assert kinds(front.decide(NOW + 950, [HealthCheckEnded(hung, Outcome.TIMED_OUT, 250.0)])) == [
        "CancelAttempt"
    ]
    ended(front, one.attempts[1], Outcome.CANCELLED, after=905.0)
    assert one.attempts[2].engine in {first, second} - {hung}
