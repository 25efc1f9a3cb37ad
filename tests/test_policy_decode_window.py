"""How many requests a decode engine gets, and in which turn."""

from helpers import NOW, PAIR, TWO_WRITERS, ended, fleet, read, request

from worksmux.policy.events import RequestArrived
from worksmux.policy.state import Attempt, Outcome


def test_writers_take_turns_in_the_readers_cell():
    front, (_, first, second) = fleet(*TWO_WRITERS)
    requests = [request(number) for number in (1, 2)]
    front.decide(NOW, [RequestArrived(one) for one in requests])
    assert {one.decode_engine for one in requests} == {first, second}


def test_full_window_makes_the_request_wait_before_its_read():
    front, (_, writer) = fleet(*PAIR)
    writer.window_reduction = 100.0
    requests = [request(number) for number in (1, 2)]
    front.decide(NOW, [RequestArrived(one) for one in requests])
    assert [len(one.attempts) for one in requests] == [1, 0]


def test_full_answer_marks_the_writer_and_the_next_one_gets_the_state():
    front, _ = fleet(*TWO_WRITERS)
    one = request()
    read(front, one)
    first = one.attempts[1].engine
    ended(front, one.attempts[1], Outcome.FULL)
    assert first.skipped_until > NOW + 900 and first.window_reduction > 0
    assert one.attempts[2].engine not in (first, one.attempts[0].engine)


def test_restarted_front_is_not_stuck_at_one_request_a_writer():
    front, (_, writer) = fleet(*PAIR)
    front.in_flight.decode_requests = 8
    assert front.window.size(writer) > 8


def test_writer_whose_memory_share_is_used_up_is_skipped():
    front, (_, writer) = fleet(*PAIR, kind_memory_tokens=(200_000, 10_000))
    writer.attempts = {
        Attempt(request(number), writer, 0, NOW, first_token_at=NOW): None for number in range(7)
    }
    front.in_flight.decode_requests = 7
    assert front.window.size(writer) > 8 and not front.window.has_capacity(writer, request())


def test_front_with_more_than_its_part_of_the_traffic_need_not_stand_back_while_answers_begin_at_once():
    # Guards against a busy front of hundreds that holds each writer to one answer, with memory idle.
    front, (_, writer) = fleet(*PAIR, node_count=200, kind_memory_tokens=(400_000, 570_000))
    writer.attempts = {
        Attempt(request(number), writer, 0, NOW, first_token_at=NOW): None for number in range(4)
    }
    front.in_flight.decode_requests, front.context.now, front.probing.enabled = 4, NOW, True
    one = request(9)
    one.random_draw = 0.9
    front.estimates.first_token_waits.add(NOW, 40.0)
    assert front.window.has_capacity(writer, one)
    front.estimates.first_token_waits.add(NOW, 4000.0)  # states wait for memory somewhere
    assert not front.window.has_capacity(writer, one)
