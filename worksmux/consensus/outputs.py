"""Outputs of the Raft core: writes, messages and events."""

from __future__ import annotations

from dataclasses import dataclass, field

from .entries import Entry, Snapshot, StorageWrite
from .messages import Message


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """Reports the leader as this server knows it, empty if unknown."""

    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class EntriesCommitted:
    """Reports entries that are newly committed, in order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """Reports that the leader's snapshot has replaced all state applied here."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ProposalAppended:
    """Reports that a proposal is in the leader's log.

    It is committed once the entry committed at `index` has the term `term`.
    """

    token: int
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """Reports that a proposal, a read or a change of the configuration was rejected.

    `leader` is the server to ask instead, empty if unknown.
    """

    token: int
    leader: str


@dataclass(frozen=True, slots=True)
class ReadReady:
    """Reports that a read is linearizable once everything up to `index` is applied."""

    token: int
    index: int


@dataclass(frozen=True, slots=True)
class InvariantViolation:
    """Reports a state that correct servers never reach. The message that shows it is ignored."""

    text: str


Event = (
    LeaderChanged
    | EntriesCommitted
    | SnapshotInstalled
    | ProposalAppended
    | Rejected
    | ReadReady
    | InvariantViolation
)


@dataclass(slots=True)
class Output:
    """Collects the writes, messages and events of one step. `messages` are pairs (receiver, message).

    Messages may be sent once `writes`, and all writes before them, are on disk.
    """

    writes: list[StorageWrite] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
