"""The state that a server has in every role: its term and vote, its log, the leader that it follows.

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

MAX_CLOCK_DRIFT = 0.02  # fraction by which the clocks of two machines may drift apart
ELECTION_TIMEOUT_SPREAD = 1.0  # maximum fraction of the election timeout that is added at random (Raft §5.2)


class Role(Enum):
    """The role of a server in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftTiming:
    """The heartbeat interval and the minimum election timeout."""

    heartbeat_ms: float = 150.0
    election_timeout_ms: float = 1000.0  # minimum time without a leader's message before an election


@dataclass(slots=True)
class Progress:
    """What a leader knows of another server's log (Raft figure 2: nextIndex, matchIndex)."""

    match_index: int = 0
    next_index: int = 1
    tracked_since: float = 0.0
    last_contact: float = -inf  # when the newest message that the server replied to was sent
    data_sent_at: float = -inf  # when entries or snapshot data that await a reply were sent; -inf: none do
    snapshot_offset: int = -1  # next byte of the snapshot being sent; -1: none is being sent


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits for a majority to reply to the messages of `round` (thesis §6.4)."""

    token: int
    index: int
    round: int


@dataclass(frozen=True, slots=True)
class UnsyncedAppend:
    """Entries from `first_index` on that are not on disk yet."""

    write_number: int
    first_index: int


@dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received in parts."""

    index: int
    digest: int
    data: bytearray


class Voter:
    """Holds a server's state and the operations that all roles share."""

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
        # State of a candidate.
        self.votes: set[str] = set()
        self.pre_voting = False
        # State of a leader.
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.round_sent_at: dict[int, float] = {}
        self.pending_reads: list[PendingRead] = []
        self.term_start_index = 0  # index of the first entry of the leader's own term
        self.transferring, self.transfer_deadline = False, 0.0
        # State of a follower.
        self.incoming_snapshot: IncomingSnapshot | None = None
        # A restart counts as contact: a leader that this server followed may still hold its lease.
        self.leader_contact_at = now
        self.heartbeat_at = inf
        self.election_at = self._election_deadline(now)

    @property
    def due(self) -> float:
        """Returns when the next `Tick` is due."""
        if self.role is Role.LEADER:
            return self.heartbeat_at
        return self.election_at if self._is_voter() else inf

    @property
    def synced_index(self) -> int:
        """Returns the last index up to which the log is on disk."""
        if not self.unsynced:
            return self.log.last.index
        return min(self.log.last.index, self.unsynced[0].first_index - 1)

    def _reached_by_quorum(self, own_value: float, value_of: Callable[[Progress], float]) -> float:
        """Returns the highest value that a majority of the voters has reached."""
        values = sorted(
            (
                own_value if voter == self.server_id else value_of(self.progress[voter])
                for voter in self.configuration.voters
            ),
            reverse=True,
        )
        return values[self.configuration.quorum - 1]

    def quorum_contact_age(self, now: float) -> float:
        """Returns the milliseconds since a majority is known to have followed this leader.

        The age is infinite if this server does not lead.
        """
        if self.role is not Role.LEADER:
            return inf
        return now - self._reached_by_quorum(now, lambda progress: progress.last_contact)

    def holds_lease(self, now: float) -> bool:
        """Whether no other server can have been elected until now (thesis §6.4.1)."""
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
            entries = self.log.entries_between(self.commit_index, index)
            self.commit_index = index
            output.events.append(EntriesCommitted(entries))

    def _reject_pending_reads(self, output: Output) -> None:
        output.events += [Rejected(read.token, "") for read in self.pending_reads]
        self.pending_reads = []
