"""What a seat is told, and what it answers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf

from .entries import Base, Entry, Seats, Write
from .messages import Message


class Role(Enum):
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Figures:
    beat: float = 150.0  # between two signs of life of a leader
    patience: float = 1000.0  # the least time without one until a seat stands


@dataclass(frozen=True, slots=True)
class Tick:
    pass


@dataclass(frozen=True, slots=True)
class Heard:
    seat: str
    message: Message


@dataclass(frozen=True, slots=True)
class Written:
    """All writes up to this number are on disk."""

    number: int


@dataclass(frozen=True, slots=True)
class Propose:
    """An entry for the log; what becomes of it is told by `Proposed` or `Refused`, with the token."""

    kind: str
    data: bytes
    token: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """Other seats: one voter more or less, or other learners."""

    seats: Seats


@dataclass(frozen=True, slots=True)
class Read:
    """Up to where must a reader have applied to see all that was agreed by now?"""

    token: int


@dataclass(frozen=True, slots=True)
class Compact:
    """All up to `index`, which is committed, stands in `data`."""

    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class HandOver:
    """Let another seat lead: this front is about to end."""


What = Tick | Heard | Written | Propose | Change | Read | Compact | HandOver


@dataclass(frozen=True, slots=True)
class Leads:
    """Who leads, as far as is known here."""

    term: int
    seat: str


@dataclass(frozen=True, slots=True)
class Committed:
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Rebased:
    """A snapshot has taken the place of what was applied here."""

    base: Base


@dataclass(frozen=True, slots=True)
class Proposed:
    """It stands in this leader's log; it is agreed once committed at that index in that term."""

    token: int
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Refused:
    """This seat does not lead."""

    token: int
    leader: str


@dataclass(frozen=True, slots=True)
class Readable:
    token: int
    index: int


@dataclass(frozen=True, slots=True)
class Odd:
    """What a right core never meets; it is named, and nothing is done."""

    text: str


Fact = Leads | Committed | Rebased | Proposed | Refused | Readable | Odd


@dataclass(slots=True)
class Out:
    writes: list[Write] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)
    facts: list[Fact] = field(default_factory=list)


@dataclass(slots=True)
class Progress:
    """What a leader knows of another seat."""

    match: int = 0
    next: int = 1
    since: float = 0.0  # it has been watched
    heard: float = -inf  # when the latest of the messages that it answered was sent
    sent: float = -inf  # entries that are not answered yet
    offset: int = -1  # of a snapshot on its way; -1: none
