"""What the Raft core gives back: writes, messages and events."""

from __future__ import annotations

from dataclasses import dataclass, field

from .entries import Entry, Snapshot, StorageWrite
from .messages import Message


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """The leader as known here; empty if unknown."""

    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class EntriesCommitted:
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """The leader's snapshot has replaced all that was applied here."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ProposalAppended:
    """The proposal is in the leader's log.

    It is committed once the entry committed at `index` has that `term`.
    """

    token: int
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """A proposal, a read or a change of the configuration was refused.

    `leader` is the server to ask instead; empty if unknown.
    """

    token: int
    leader: str


@dataclass(frozen=True, slots=True)
class ReadReady:
    """A read is linearizable once everything up to `index` is applied."""

    token: int
    index: int


@dataclass(frozen=True, slots=True)
class InvariantViolation:
    """A state that correct servers never reach. It is reported and the message that shows it is ignored."""

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
    """`messages` are (receiver, message).

    They may be sent once `writes`, and all writes before them, are on disk.
    """

    writes: list[StorageWrite] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
