"""State that a server has in every role: its term and vote, its log, the leader it follows.

Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf

from ..policy.random_source import RandomSource
from .entries import Entry, HardState, Log, PersistentState, Snapshot, StorageWrite
from .outputs import EntriesCommitted, LeaderChanged, Output, Rejected

MAX_CLOCK_DRIFT = 0.02  # fraction by which the clocks of two machines may run apart
ELECTION_TIMEOUT_SPREAD = 1.0  # fraction of the election timeout that is added at random (Raft §5.2)


class Role(Enum):
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftTiming:
    heartbeat_ms: float = 150.0
    election_timeout_ms: float = 1000.0  # the least time without a leader's message before an election


@dataclass(slots=True)
class Progress:
    """What a leader knows of another server (Raft figure 2: nextIndex, matchIndex)."""

    match_index: int = 0
    next_index: int = 1
    tracked_since: float = 0.0
    last_contact: float = -inf  # when the newest message that it answered was sent
    data_sent_at: float = -inf  # when entries or snapshot data that are not yet answered were sent
    snapshot_offset: int = -1  # next byte of a snapshot being sent; -1: none is


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits for a majority to answer messages of `round` (thesis §6.4)."""

    token: int
    index: int
    round: int


@dataclass(frozen=True, slots=True)
class UnsyncedAppend:
    """Entries from `first_index` on, which are not yet on disk."""

    write_number: int
    first_index: int


@dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot of which parts have arrived."""

    index: int
    digest: int
    data: bytearray


class Voter:
    def __init__(
        self, server_id: str, saved: PersistentState, timing: RaftTiming, seed: int, now: float
    ) -> None:
        self.server_id, self.timing, self.random = server_id, timing, RandomSource(seed)
        self.term, self.voted_for = saved.term, saved.voted_for
        self.log = Log(saved.snapshot, list(saved.entries))
        self.configuration_index, self.configuration = self.log.latest_configuration()
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = saved.snapshot.index
        self.last_write_number = 0
        self.unsynced: list[UnsyncedAppend] = []
        # As a candidate.
        self.votes: set[str] = set()
        self.pre_voting = False
        # As a leader.
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.round_sent_at: dict[int, float] = {}
        self.pending_reads: list[PendingRead] = []
        self.term_start_index = 0  # of this leader's first entry
        self.transferring, self.transfer_deadline = False, 0.0
        # As a follower.
        self.incoming_snapshot: IncomingSnapshot | None = None
        # A restart counts as contact: the lease of a leader that this server followed may still run.
        self.leader_contact_at = now
        self.heartbeat_at = inf
        self.election_at = self._election_deadline(now)

    @property
    def due(self) -> float:
        """When the next tick is wanted."""
        if self.role is Role.LEADER:
            return self.heartbeat_at
        return self.election_at if self._is_voter() else inf

    @property
    def synced_index(self) -> int:
        """The last index up to which the log is on disk."""
        if not self.unsynced:
            return self.log.last.index
        return min(self.log.last.index, self.unsynced[0].first_index - 1)

    def _reached_by_quorum(self, own: float, of_other: Callable[[Progress], float]) -> float:
        """The highest value that a majority of the voters has reached."""
        reached = sorted(
            (
                own if voter == self.server_id else of_other(self.progress[voter])
                for voter in self.configuration.voters
            ),
            reverse=True,
        )
        return reached[self.configuration.quorum - 1]

    def quorum_contact_age(self, now: float) -> float:
        """Milliseconds since a majority is known to have followed this leader; infinite if it is none."""
        if self.role is not Role.LEADER:
            return inf
        return now - self._reached_by_quorum(now, lambda progress: progress.last_contact)

    def holds_lease(self, now: float) -> bool:
        """Whether no other server can have been elected by now (thesis §6.4.1)."""
        lease_ms = self.timing.election_timeout_ms * (1 - MAX_CLOCK_DRIFT)
        return not self.transferring and self.quorum_contact_age(now) < lease_ms

    def _election_deadline(self, now: float) -> float:
        return now + self.timing.election_timeout_ms * (1 + ELECTION_TIMEOUT_SPREAD * self.random.share())

    def _is_voter(self) -> bool:
        return self.server_id in self.configuration.voters

    def _write(
        self,
        output: Output,
        hard_state: HardState | None = None,
        truncate_from: int | None = None,
        entries: tuple[Entry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        self.last_write_number += 1
        if entries:
            self.unsynced.append(UnsyncedAppend(self.last_write_number, entries[0].index))
        output.writes.append(
            StorageWrite(self.last_write_number, hard_state, truncate_from, entries, snapshot)
        )

    def _write_hard_state(self, output: Output) -> None:
        self._write(output, hard_state=HardState(self.term, self.voted_for))

    def _become_follower(self, now: float, term: int, leader: str, output: Output) -> None:
        if term > self.term:
            self.term, self.voted_for = term, ""
            self._write_hard_state(output)
        if self.role is Role.LEADER:
            self.election_at = self._election_deadline(now)
            self._reject_pending_reads(output)
        self.role = Role.FOLLOWER
        self.transferring = False
        self._set_leader(leader, output)

    def _set_leader(self, leader: str, output: Output) -> None:
        if self.leader != leader:
            self.leader = leader
            output.events.append(LeaderChanged(self.term, leader))

    def _commit(self, index: int, output: Output) -> None:
        index = min(index, self.log.last.index)
        if index > self.commit_index:
            entries = self.log.between(self.commit_index, index)
            self.commit_index = index
            output.events.append(EntriesCommitted(entries))

    def _reject_pending_reads(self, output: Output) -> None:
        output.events += [Rejected(read.token, "") for read in self.pending_reads]
        self.pending_reads = []
