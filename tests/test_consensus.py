"""Tests the safety of Raft under faults in simulated time. Broken cores show that each check can fail."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from worksmux.consensus.entries import Configuration
from worksmux.consensus.inputs import ChangeConfiguration, TransferLeadership
from worksmux.consensus.messages import RequestVote
from worksmux.consensus.outputs import Output
from worksmux.consensus.raft import Raft
from worksmux.consensus.voter import RaftTiming, Role
from worksmux.policy.random_source import RandomSource
from worksmux.simulation.consensus import (
    ConsensusSimulation,
    InvariantViolationError,
    RaftFactory,
    SimulatedVoter,
    run_random_faults,
)

FAULT_RUNS = 60


def first_violation(
    core_type: RaftFactory,
    seeds: int = 1500,
    writes_before_sends: bool = True,
    power_loss_share: float = 0.04,
    accepts: Callable[[str], bool] = bool,
) -> str:
    """Returns the first violation with a core among those that `accepts` selects; empty if there is none."""
    for seed in range(seeds):
        try:
            run_random_faults(
                seed, core_type, writes_before_sends=writes_before_sends, power_loss_share=power_loss_share
            )
        except InvariantViolationError as violation:
            if accepts(str(violation)):
                return str(violation)
        except AssertionError:
            pass  # a broken core may also find no leader
    return ""


@pytest.mark.parametrize("block", range(4))
def test_safety_holds_under_random_faults(block: int) -> None:
    """Loss, duplicates, reordering, partitions, crashes, frozen processes and snapshots occur at random.

    In every run there is one leader a term, logs agree, no acknowledged entry is lost and no read is stale.
    """
    acknowledged = reads = 0
    for seed in range(block * FAULT_RUNS // 4, (block + 1) * FAULT_RUNS // 4):
        world = run_random_faults(seed)
        acknowledged += len(world.acknowledged)
        reads += world.read_count
    assert acknowledged and reads  # otherwise the runs checked nothing


# Cores that break one rule.


class VotesTwice(Raft):
    """Votes more than once in a term (Raft §5.2)."""

    def _may_vote_for(self, candidate: str) -> bool:
        return True


class VotesForAnyLog(Raft):
    """Votes for candidates that lack committed entries (Raft §5.4.1)."""

    def _log_is_up_to_date(self, request: RequestVote) -> bool:
        return True


class ReadsWithoutLease(Raft):
    """Answers reads without confirming that it still leads (thesis §6.4)."""

    def holds_lease(self, now: float) -> bool:
        return self.role is Role.LEADER


class CommitsAlone(Raft):
    """Commits the entries that only its own disk holds (Raft §5.3)."""

    def _quorum_match_index(self) -> int:
        return self.synced_index


class VotesDespiteLeader(Raft):
    """Votes although it has contact with a leader (thesis §4.2.3)."""

    def _on_request_vote(self, now: float, sender: str, request: RequestVote, output: Output) -> None:
        expired = now - 2 * self.timing.election_timeout_ms
        self.leader_contact_at = min(self.leader_contact_at, expired)
        super()._on_request_vote(now, sender, request, output)


@pytest.mark.parametrize(
    "make, expected",
    [
        (VotesTwice, "two leaders in term"),
        (VotesForAnyLog, ""),
        (ReadsWithoutLease, "was acknowledged"),
        (CommitsAlone, ""),
    ],
)
def test_random_faults_reveal_a_broken_core(make: RaftFactory, expected: str) -> None:
    """Each core breaks one rule of Raft on purpose. The random faults must reveal that."""
    assert (
        expected in (violation := first_violation(make, accepts=lambda text: expected in text)) and violation
    )


def test_random_faults_reveal_messages_sent_before_the_write() -> None:
    """Messages are sent before the writes that they depend on are on disk, and the power fails in between.

    A server then forgets a vote or an entry that it has acknowledged.
    """
    assert first_violation(Raft, writes_before_sends=False, power_loss_share=0.5)


@pytest.mark.parametrize("make", [Raft, VotesDespiteLeader])
def test_no_vote_is_granted_while_a_leader_lease_may_run(make: RaftFactory) -> None:
    """The link between the leader and one voter is cut. The third voter still has contact with both.

    The leader continues to answer reads by its lease. If the third voter granted its vote to the one that is
    cut off, that one would commit entries which the reads of the old leader miss.
    """
    world = ConsensusSimulation(3, make=make)
    leader = world.wait_for_leader()
    cut_off = next(name for name in world.voters if name != leader.name)
    world.run(500.0)
    world.network.cut([leader.name], [cut_off])
    is_stale = False
    for _ in range(400):
        world.run(4.0)
        cut_off_server = world.voters[cut_off]
        if cut_off_server.raft is not None and cut_off_server.raft.role is Role.LEADER:
            world.propose(cut_off)
            world.run(12.0)
        try:
            world.read(leader.name)
        except InvariantViolationError:
            is_stale = True
    assert is_stale == (make is VotesDespiteLeader)


# Single rules.


def test_voter_back_from_a_partition_does_not_depose_the_leader() -> None:
    """A voter is cut off for 10 s, and its elections time out over and over.

    With pre-votes its term stays the same, so the leader and its term survive when the voter is connected
    again.
    """
    world = ConsensusSimulation(3)
    leader = world.wait_for_leader()
    assert leader.raft is not None
    term = leader.raft.term
    cut_off = next(name for name in world.voters if name != leader.name)
    world.network.cut([cut_off], [name for name in world.voters if name != cut_off])
    world.run(10_000.0)
    world.network.remove_partitions()
    world.run(2_000.0)
    assert world.wait_for_leader() is leader and leader.raft.term == term


def test_leader_without_majority_steps_down_and_rejects_reads() -> None:
    """The leader is cut off with one voter of five.

    It must reject reads, as the others elect another leader.
    """
    world = ConsensusSimulation(5)
    leader = world.wait_for_leader()
    minority = [leader.name, next(name for name in world.voters if name != leader.name)]
    world.network.cut(minority, [name for name in world.voters if name not in minority])
    world.run(3 * world.timing.election_timeout_ms)
    assert leader.raft is not None and leader.raft.role is not Role.LEADER
    refused = world.rejected_count
    world.read(leader.name)
    assert world.rejected_count == refused + 1
    assert world.wait_for_leader().name not in minority


def leaderless_time(seed: int, max_pause_ms: float) -> float:
    """Returns the milliseconds from when the leader is cut off until the others follow a new one.

    Each of the others' processes freezes for up to `max_pause_ms`, runs for a while, and so on.
    """
    world = ConsensusSimulation(3, seed)
    old_leader, random = world.wait_for_leader(), RandomSource(seed + 5)
    others = [server for server in world.voters.values() if server is not old_leader]
    world.run(500.0)
    world.network.cut([old_leader.name], [server.name for server in others])
    start = world.sim.now

    def freeze_server(server: SimulatedVoter) -> None:
        server.freeze()
        world.sim.after(max_pause_ms * random.share(), resume_server, server)

    def resume_server(server: SimulatedVoter) -> None:
        server.resume()
        world.sim.after(20.0 + 40.0 * random.share(), freeze_server, server)

    if max_pause_ms:
        for server in others:
            world.sim.after(100.0 * random.share(), freeze_server, server)
    while not any(
        server.raft is not None
        and not server.frozen
        and server.raft.holds_lease(server.now)
        and server.raft.commit_index >= server.raft.term_start_index
        for server in others
    ):
        world.run(5.0)
    return world.sim.now - start


def test_new_leader_comes_within_the_lease_unless_processes_starve() -> None:
    """The leader is cut off. The others elect a new one within half a lease of the replicas.

    If their processes are frozen again and again, as on a machine without processor time, it may take longer
    than a lease, and their nodes decide without a leader meanwhile. There are never two leaders in a term,
    which the simulation checks.
    """
    lease = 4.0 * RaftTiming(60.0, 400.0).election_timeout_ms  # as in the fleet's tests
    assert max(leaderless_time(seed, 0.0) for seed in range(40)) < lease / 2
    assert max(leaderless_time(seed, 300.0) for seed in range(40)) > lease


def test_leader_frozen_beyond_its_lease_answers_no_stale_read() -> None:
    """A leader is frozen while another one is elected and commits an entry.

    The old leader then continues, and receives a read before its first tick.
    """
    world = ConsensusSimulation(3)
    old_leader = world.wait_for_leader()
    old_leader.freeze()
    new_leader = world.wait_for_leader()
    world.propose(new_leader.name)
    world.run(500.0)
    assert world.acknowledged
    old_leader.resume(reads_first=True)  # raises InvariantViolationError if it answers a stale read
    world.run(3_000.0)
    assert world.wait_for_leader().raft is not None


def test_leadership_transfer_is_faster_than_an_election_timeout() -> None:
    world = ConsensusSimulation(3)
    leader = world.wait_for_leader()
    start = world.sim.now
    leader.step(TransferLeadership())
    world.run(100.0)
    new_leader = world.wait_for_leader()
    assert new_leader is not leader and world.sim.now - start < world.timing.election_timeout_ms


def test_configuration_changes_by_one_voter_at_a_time() -> None:
    world = ConsensusSimulation(3)
    leader = world.wait_for_leader()
    assert leader.raft is not None
    servers = tuple(world.voters)
    leader.step(ChangeConfiguration(Configuration(servers[:1], ())))  # two voters fewer at once
    assert leader.raft.configuration.voters == servers
    leader.step(ChangeConfiguration(Configuration(servers, ("z",))))
    world.run(1_000.0)
    assert leader.raft.configuration.learners == ("z",) and not leader.raft.caught_up("z")


def test_voter_far_behind_catches_up_by_a_snapshot_in_parts() -> None:
    """A voter is down while 400 entries are committed and compacted.

    The leader no longer has them as entries.
    """
    world = ConsensusSimulation(3)
    leader = world.wait_for_leader()
    behind = next(server for server in world.voters.values() if server is not leader)
    behind.crash(lose_disk=False)
    for _ in range(400):
        world.propose(leader.name, b"y" * 400)
        world.run(5.0)
    world.run(1_000.0)
    assert leader.raft is not None
    world.compact(leader.name)
    assert leader.raft.log.snapshot.index > 300
    behind.start()
    world.run(5_000.0)
    assert behind.raft is not None and behind.raft.commit_index == leader.raft.commit_index
    world.final_check()
