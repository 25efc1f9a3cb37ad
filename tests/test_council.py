"""The council: one leader a term, logs agree, nothing acknowledged is lost, reads are never old; each of
these is shown able to fail by a core that is wrong on purpose."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from worksmux.consensus.entries import Seats
from worksmux.consensus.messages import Vote
from worksmux.consensus.raft import Raft
from worksmux.consensus.steps import Change, Figures, HandOver, Out, Role
from worksmux.policy.random_source import RandomSource
from worksmux.simulation.consensus import Broken, CouncilWorld, Make, SeatInTime, storm

SAMPLE = 60  # storms in CI; thousands are played by benchmarks/council_storms.py


def first_break(
    make: Make,
    seeds: int = 1500,
    patient: bool = True,
    fragile: float = 0.04,
    say: Callable[[str], bool] = bool,
) -> str:
    """What breaks first with a wrong core; empty where nothing does in all these storms."""
    for seed in range(seeds):
        try:
            storm(seed, make, patient=patient, fragile=fragile)
        except Broken as broken:
            if say(str(broken)):
                return str(broken)
        except AssertionError:
            pass  # it also may no longer find a leader
    return ""


@pytest.mark.parametrize("block", range(4))
def test_all_invariants_hold_in_storms(block: int) -> None:
    acknowledged = reads = 0
    for seed in range(block * SAMPLE // 4, (block + 1) * SAMPLE // 4):
        world = storm(seed)
        acknowledged += len(world.acknowledged)
        reads += world.read_count
    assert acknowledged and reads  # something was there to be lost


# Wrong on purpose.


class VotesTwice(Raft):
    def _may_vote(self, seat: str) -> bool:
        return True


class VotesForAnyLog(Raft):
    def _up_to_date(self, vote: Vote) -> bool:
        return True


class ReadsWithoutLease(Raft):
    def leads_surely(self, now: float) -> bool:
        return self.role is Role.LEADER


class AgreesAlone(Raft):
    def _agreed_index(self) -> int:
        return self.durable


class VotesDespiteLeader(Raft):
    def _asked(self, now: float, seat: str, vote: Vote, out: Out) -> None:
        self.heard_at = min(self.heard_at, now - 2 * self.figures.patience)
        super()._asked(now, seat, vote, out)


@pytest.mark.parametrize(
    "make, told",
    [
        (VotesTwice, "two leaders in term"),
        (VotesForAnyLog, ""),
        (ReadsWithoutLease, "was acknowledged"),
        (AgreesAlone, ""),
    ],
)
def test_wrong_core_is_found(make: Make, told: str) -> None:
    assert told in (found := first_break(make, say=lambda text: told in text)) and found


def test_shell_that_sends_before_it_has_written_is_found() -> None:
    assert first_break(Raft, patient=False, fragile=0.5)


@pytest.mark.parametrize("make", [Raft, VotesDespiteLeader])
def test_seat_that_hears_the_leader_votes_for_no_other_while_its_lease_runs(make: Make) -> None:
    """One pair alone is cut: the leader, still followed by the third seat, reads by its lease."""
    world = CouncilWorld(3, make=make)
    leader = world.led()
    far = next(name for name in world.seats if name != leader.name)
    world.run(500.0)
    world.wire.cut([leader.name], [far])
    stale = False
    for _ in range(400):
        world.run(4.0)
        other = world.seats[far]
        if other.raft is not None and other.raft.role is Role.LEADER:
            world.propose(far)
            world.run(12.0)
        try:
            world.read(leader.name)
        except Broken:
            stale = True
    assert stale == (make is VotesDespiteLeader)


# Single matters.


def test_seat_that_was_cut_off_does_not_disturb_the_leader() -> None:
    world = CouncilWorld(3)
    leader = world.led()
    assert leader.raft is not None
    term = leader.raft.term
    other = next(name for name in world.seats if name != leader.name)
    world.wire.cut([other], [name for name in world.seats if name != other])
    world.run(10_000.0)
    world.wire.heal()
    world.run(2_000.0)
    assert world.led() is leader and leader.raft.term == term


def test_leader_without_majority_steps_down_and_reads_no_more() -> None:
    world = CouncilWorld(5)
    leader = world.led()
    some = [leader.name, next(name for name in world.seats if name != leader.name)]
    world.wire.cut(some, [name for name in world.seats if name not in some])
    world.run(3 * world.figures.patience)
    assert leader.raft is not None and leader.raft.role is not Role.LEADER
    refused = world.refused
    world.read(leader.name)
    assert world.refused == refused + 1
    assert world.led().name not in some


def leaderless_time(seed: int, pause: float) -> float:
    """Milliseconds from a cut around the leader until the others have a leader that they follow, where each
    of their processes stands still for up to `pause` milliseconds, goes on for some, and so on."""
    world = CouncilWorld(3, seed)
    old, chance = world.led(), RandomSource(seed + 5)
    others = [seat for seat in world.seats.values() if seat is not old]
    world.run(500.0)
    world.wire.cut([old.name], [seat.name for seat in others])
    start = world.sim.now

    def stand_still(seat: SeatInTime) -> None:
        seat.freeze()
        world.sim.after(pause * chance.share(), go_on, seat)

    def go_on(seat: SeatInTime) -> None:
        seat.go_on()
        world.sim.after(20.0 + 40.0 * chance.share(), stand_still, seat)

    if pause:
        for seat in others:
            world.sim.after(100.0 * chance.share(), stand_still, seat)
    while not any(
        seat.raft is not None
        and not seat.frozen
        and seat.raft.leads_surely(seat.now)
        and seat.raft.commit >= seat.raft.began
        for seat in others
    ):
        world.run(5.0)
    return world.sim.now - start


def test_majority_outlasts_its_leases_without_a_leader_only_where_its_processes_starve() -> None:
    """A front whose lease ends acts alone, as it must: on a machine without processor time so does one of a
    majority.  There are never two leaders in a term, which the world looks at as it goes."""
    lease = 4.0 * Figures(60.0, 400.0).patience  # as the fleet's tests have it
    assert max(leaderless_time(seed, 0.0) for seed in range(40)) < lease / 2
    assert max(leaderless_time(seed, 300.0) for seed in range(40)) > lease


def test_leader_frozen_beyond_its_lease_reads_nothing_old() -> None:
    world = CouncilWorld(3)
    old = world.led()
    old.freeze()
    new = world.led()
    world.propose(new.name)
    world.run(500.0)
    assert world.acknowledged
    old.go_on(asked=True)  # Broken is raised if it answers from what it had
    world.run(3_000.0)
    assert world.led().raft is not None


def test_leader_that_ends_in_order_hands_over_at_once() -> None:
    world = CouncilWorld(3)
    leader = world.led()
    start = world.sim.now
    leader.step(HandOver())
    world.run(100.0)
    new = world.led()
    assert new is not leader and world.sim.now - start < world.figures.patience


def test_one_seat_a_time_and_a_learner_before_it_votes() -> None:
    world = CouncilWorld(3)
    leader = world.led()
    assert leader.raft is not None
    now = tuple(world.seats)
    leader.step(Change(Seats(now[:1], ())))  # two at once
    assert leader.raft.seats.voters == now
    leader.step(Change(Seats(now, ("z",))))
    world.run(1_000.0)
    assert leader.raft.seats.learners == ("z",) and not leader.raft.caught_up("z")


def test_log_is_cut_at_a_snapshot_and_a_seat_far_behind_gets_it_in_pieces() -> None:
    world = CouncilWorld(3)
    leader = world.led()
    behind = next(seat for seat in world.seats.values() if seat is not leader)
    behind.crash(lose_disk=False)
    for _ in range(400):
        world.propose(leader.name, b"y" * 400)
        world.run(5.0)
    world.run(1_000.0)
    assert leader.raft is not None
    world.compact(leader.name)
    assert leader.raft.log.base.index > 300
    behind.start()
    world.run(5_000.0)
    assert behind.raft is not None and behind.raft.commit == leader.raft.commit
    world.final_check()
