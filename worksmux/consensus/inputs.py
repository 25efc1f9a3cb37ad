"""What the caller gives to the Raft core."""

from __future__ import annotations

from dataclasses import dataclass

from .entries import Configuration
from .messages import Message


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; wanted when `due` is reached."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class WritesSynced:
    """All writes up to this number are on disk."""

    number: int


@dataclass(frozen=True, slots=True)
class Propose:
    """Append an entry to the log. `ProposalAppended` or `Rejected` answers, with the same token."""

    kind: str
    data: bytes
    token: int = 0


@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """Replace the configuration: one voter more or less, or other learners (thesis §4.1)."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ReadIndex:
    """Ask up to which index a linearizable read must have applied (thesis §6.4).

    `ReadReady` or `Rejected` answers, with the same token.
    """

    token: int


@dataclass(frozen=True, slots=True)
class Compact:
    """Replace all entries up to `index`, which is committed, with a snapshot that holds `data`."""

    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Let another voter lead, as this process is about to exit (thesis §3.10)."""


Input = (
    Tick
    | MessageReceived
    | WritesSynced
    | Propose
    | ChangeConfiguration
    | ReadIndex
    | Compact
    | TransferLeadership
)
