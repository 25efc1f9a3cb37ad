"""Which prefill engine a request gets."""

from helpers import NOW, PAIR, ended, fleet, kinds, read, request

from worksmux.policy.events import RequestArrived
from worksmux.policy.state import Attempt, Outcome


def test_ordinary_path_reads_then_writes_at_the_paired_writer():
    front, _ = fleet((0, 0, 0), (1, 0, 0), (0, 1, 1), (1, 1, 1))
    one = request()
    actions = read(front, one)
    first, second = one.attempts
    assert (first.engine.role, second.engine.role) == ("read", "write") and kinds(actions) == ["StartAttempt"]
    assert first.engine.cell == second.engine.cell


def test_mixed_engine_takes_a_whole_request():
    front, (mixed,) = fleet((2, 0, 0))
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    assert one.attempts[0].engine is mixed and not one.attempts[0].is_prefill


def test_reader_with_a_waiting_line_has_no_room():
    front, (slow, quick, _) = fleet((0, 0, 0), (0, 0, 0), (1, 0, 0))
    front.context.now = NOW + 600
    slow.attempts, slow.silent_since = {Attempt(request(9), slow, 0, NOW, True): None}, NOW
    assert front.placer.has_capacity(quick, request()) and not front.placer.has_capacity(slow, request())


def test_readers_of_a_cell_with_few_writers_are_read_at_less_and_send_some_away():
    front, (lean, _, rich, other, _) = fleet((0, 0, 0), (0, 0, 0), (1, 0, 0), (1, 0, 1), (1, 0, 1))
    assert front.index.local_decode_share[0] < 0.5
    far, near = request(1), request(2)
    far.random_draw, near.random_draw = 0.9, 0.1
    assert (
        front.decode_selection.select(far, lean) is not rich
        and front.decode_selection.select(near, lean) is rich
    )


def test_shared_beginning_is_kept_by_a_few_readers():
    front, readers = fleet(*[(0, 0, 0)] * 25)
    firsts = set()
    for number in range(1, 100):
        one = request(number)
        one.prefix = 7
        firsts.add(next(front.prefill_order.candidates(one))[0])
    assert len(firsts) == 6


def test_last_reader_is_kept_after_an_error_but_not_when_unreachable():
    front, (reader, _) = fleet(*PAIR)
    front.outliers.eject(reader)
    one, two = request(1), request(2)
    front.decide(NOW, [RequestArrived(one)])
    assert not one.attempts
    reader.ejected_until = {0: NOW + 9000}
    front.decide(NOW, [RequestArrived(two)])
    assert one.attempts and not two.attempts


def test_writer_reads_in_place_only_where_it_can():
    one, two = request(1), request(2)
    fleet((1, 0, 0))[0].decide(NOW, [RequestArrived(one)])
    front, (writer,) = fleet((1, 0, 0), decode_engines_may_prefill=True)
    front.decide(NOW, [RequestArrived(two)])
    assert not one.attempts and two.attempts[0].engine is writer


def test_reader_has_room_again_after_prompts_of_fractions():
    front, (reader, _) = fleet(*PAIR)
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    front.in_flight.prefill_tokens -= 1e-9  # what sums of fractions come to
    ended(front, one.attempts[0], Outcome.PREFILLED)
    assert front.placer.has_capacity(reader, request(2))
