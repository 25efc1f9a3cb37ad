"""Whether and where a request may be sent again."""

from helpers import NOW, PAIR, TWO_WRITERS, ended, fleet, kinds, read, request

from worksmux.policy.events import TimerFired
from worksmux.policy.state import Outcome


def test_time_out_at_the_clients_own_limit_is_answered_at_once():
    front, _ = fleet(*PAIR)
    one = request(left=500.0)
    read(front, one)
    assert kinds(ended(front, one.attempts[1], Outcome.TIMED_OUT, after=449.0))[-2:] == [
        "RejectRequest",
        "ReleaseKvCache",
    ]


def test_irreversible_request_that_may_have_run_is_broken_off():
    front, _ = fleet(*TWO_WRITERS)
    one = request(request_class=1)
    read(front, one)
    assert "AbortRequest" in kinds(ended(front, one.attempts[1], Outcome.RESET)) and len(one.attempts) == 2


def test_labelled_request_is_repeated_only_in_its_group_and_time():
    front, (reader, same, other) = fleet((0, 0, 0), (1, 0, 0), (1, 0, 1))
    one = request(request_class=2)
    read(front, one)
    one.attempts[1].engine, one.attempts[1].outcome = same, Outcome.RESET
    front.context.now = NOW + 60
    assert front.retry.may_send(one, same) and not front.retry.may_send(one, other)
    front.context.now += 4500
    assert not front.retry.may_send(one, same)


def test_deduplicated_request_is_read_again_within_its_group_alone():
    """Guards against a read in another zone after a write that may have run: every send counts, reads too."""
    front, engines = fleet(*((role, zone, zone) for zone in (0, 1, 2) for role in (0, 0, 1, 1)))
    one = request(request_class=2)
    read(front, one)
    first = one.attempts[1].engine
    for engine in engines:
        if engine.role == "read" and engine.zone == first.zone:
            engine.skipped_until = NOW + 190.0  # readers elsewhere have room, these do not
    ended(front, one.attempts[1], Outcome.RESET)
    assert (
        kinds(ended(front, one.attempts[2], Outcome.FULL, note=1)) == ["ReleaseKvCache"]
        and one in front.waiting
    )
    assert kinds(front.decide(NOW + 200, [TimerFired(0)])) == ["StartAttempt"]
    assert one.attempts[3].is_prefill and one.attempts[3].engine.zone == first.zone


def test_deduplicated_request_without_a_reader_in_its_group_is_answered_at_once():
    front, (reader, *_) = fleet((0, 1, 1), (1, 0, 0), (1, 0, 0))
    one = request(request_class=2)
    read(front, one)
    ended(front, one.attempts[1], Outcome.RESET)
    actions = ended(front, one.attempts[2], Outcome.FULL, note=1)
    assert reader.zone != one.attempts[1].engine.zone and len(one.attempts) == 3
    assert kinds(actions) == ["ReleaseKvCache", "AbortRequest", "ReleaseKvCache"]
