"""Inputs of the Raft core."""

from __future__ import annotations

from dataclasses import dataclass

from .entries import Configuration
from .messages import Message


@dataclass(frozen=True, slots=True)
class Tick:
    """Reports that time has passed. It is due when `Raft.due` is reached."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Carries a message from another server."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class WritesSynced:
    """Reports that all writes up to this number are on disk."""

    number: int


@dataclass(frozen=True, slots=True)
class Propose:
    """Requests that an entry is appended to the log.

    The core answers with `ProposalAppended` or `Rejected` and the same token.
    """

    kind: str
    data: bytes
    token: int = 0


@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """Requests another configuration.

    It may differ by one voter and by any learners (thesis §4.1).
    """

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ReadIndex:
    """Requests the index up to which a linearizable read must have applied the log (thesis §6.4).

    The core answers with `ReadReady` or `Rejected` and the same token.
    """

    token: int


@dataclass(frozen=True, slots=True)
class Compact:
    """Requests that all entries up to `index` are replaced by a snapshot that holds `data`.

    The entry at `index` must be committed.
    """

    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Requests that another voter leads, as this process is about to exit (thesis §3.10)."""


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
