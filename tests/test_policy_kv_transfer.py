"""KV cache held after a prefill: sent on, or released in time."""

from helpers import NOW, PAIR, TWO_WRITERS, ended, fleet, kinds, read, request

from worksmux.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    RequestArrived,
    TimerFired,
)
from worksmux.policy.state import Outcome


def test_lost_state_is_read_afresh_and_marks_nobody():
    front, (reader, writer) = fleet(*PAIR)
    one = request()
    read(front, one)
    actions = ended(front, one.attempts[1], Outcome.FULL, note=1)
    assert writer.skipped_until == 0.0 and one.attempts[2].engine is reader
    assert kinds(actions) == ["ReleaseKvCache", "StartAttempt"]  # what a place held ahead took is let go too


def test_unplaced_state_is_released_inside_the_limit():
    front, (_, writer) = fleet(*PAIR)
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    writer.ejected_until = {-1: NOW + 9000}
    ended(front, one.attempts[0], Outcome.PREFILLED)
    assert "ReleaseKvCache" in kinds(front.decide(NOW + 250, [TimerFired(0)]))


def test_time_to_let_go_runs_on_through_attempts_that_never_arrived():
    """Guards against state pinned in a zone that is cut off, while one connection after the other fails."""
    front, _ = fleet(*PAIR, (1, 0, 0), (1, 0, 0))
    one = request()
    read(front, one)
    ended(front, one.attempts[1], Outcome.CANCELLED, after=1000.0)
    held = one.kv_held_since
    actions = ended(front, one.attempts[2], Outcome.UNREACHABLE, after=250.0)
    assert one.kv_held_since == held and "ReleaseKvCache" in kinds(actions)
    assert one.kv_holder is None and not any(not attempt.is_prefill for attempt in one.in_flight)


def test_state_stays_for_the_next_writer_after_a_connection_refused_at_once():
    front, (reader, *_) = fleet(*TWO_WRITERS)
    one = request()
    read(front, one)
    actions = ended(front, one.attempts[1], Outcome.UNREACHABLE, after=1.0)
    assert (
        kinds(actions) == ["StartAttempt"]
        and one.kv_holder is reader
        and one.attempts[2].engine.role == "write"
    )


def test_state_read_for_a_client_that_left_is_released():
    front, _ = fleet(*PAIR)
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    front.decide(NOW + 10, [ClientDisconnected(one)])
    assert kinds(ended(front, one.attempts[0], Outcome.PREFILLED)) == ["ReleaseKvCache"]


def test_read_that_came_too_late_is_given_up_while_others_wait():
    front, (_, writer) = fleet(*PAIR)
    late, other = request(1), request(2)
    front.decide(NOW, [RequestArrived(late)])
    writer.window_reduction = 100.0
    front.decide(NOW + 900, [RequestArrived(other)])
    actions = front.decide(NOW + 1001, [AttemptEnded(late.attempts[0], Outcome.PREFILLED, 50.0, False)])
    assert "RejectRequest" in kinds(actions) and not other.ended


def test_state_of_a_cell_whose_readers_have_all_gone_is_still_answered():
    front, engines = fleet((0, 0, 0), (1, 0, 0), (0, 1, 1), (1, 1, 1))
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    reader = one.attempts[0].engine
    gone = EndpointEntry(reader, "gone", 0.0, reader.zone, reader.cell, reader.kind, 1.0)
    front.decide(NOW + 10, [EndpointListUpdate("delta", [gone])])
    one.decode_engine.health_check_pending = True  # another writer is sought, from the reader's cell on
    ended(front, one.attempts[0], Outcome.PREFILLED)
    assert [attempt.engine.role for attempt in one.attempts] == ["read", "write"]
