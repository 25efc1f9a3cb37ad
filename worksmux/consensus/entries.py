"""The log's entries, who has a seat, and what a seat keeps on disk.  Pure.

Each entry carries a digest over itself and all before it: two logs that agree in one digest agree in
everything up to there, and the same number with another digest is a fault that shows.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
import xxhash

NOOP, SEATS, CHANGE = "noop", "seats", "change"


class Seats(msgspec.Struct, frozen=True):
    """Who votes, and who is being brought up to date in order to.  A seat is a front's name and a mark of its
    disk, as `front-1#9f3a`: one that lost its disk is another seat."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1


def front_of(seat: str) -> str:
    """
    >>> front_of("front-1#9f3a")
    'front-1'
    """
    return seat.rpartition("#")[0]


class Entry(msgspec.Struct, frozen=True):
    index: int
    term: int
    kind: str
    data: bytes
    digest: int


class Base(msgspec.Struct, frozen=True):
    """A snapshot: all up to `index` stands for `data`."""

    index: int = 0
    term: int = 0
    digest: int = 0
    seats: Seats = Seats()
    data: bytes = b""


@dataclass
class Saved:
    """What a seat finds on its disk."""

    term: int = 0
    vote: str = ""
    base: Base = field(default_factory=Base)
    entries: list[Entry] = field(default_factory=list)


@dataclass(frozen=True)
class Write:
    """What has to be on disk; each number once, in order.  `cut` removes all entries from that index on,
    before the new ones are added; a new base removes all up to its own."""

    number: int
    hard: tuple[int, str] | None = None  # term and vote
    cut: int | None = None
    entries: tuple[Entry, ...] = ()
    base: Base | None = None


def next_entry(last: Entry | Base, term: int, kind: str, data: bytes) -> Entry:
    index = last.index + 1
    return Entry(index, term, kind, data, digest(last.digest, index, term, kind, data))


def digest(before: int, index: int, term: int, kind: str, data: bytes) -> int:
    head = f"{before}:{index}:{term}:{kind}:{len(data)}:".encode()
    return xxhash.xxh3_64_intdigest(head + data)


def sound(last: Entry | Base, entry: Entry) -> bool:
    """Whether an entry is the one that follows."""
    return entry.index == last.index + 1 and entry.digest == digest(
        last.digest, entry.index, entry.term, entry.kind, entry.data
    )


def seats_of(entry: Entry) -> Seats:
    return msgspec.msgpack.decode(entry.data, type=Seats)


class Log:
    """The entries after a base, with the seats that each of them leaves."""

    def __init__(self, base: Base, entries: list[Entry]) -> None:
        self.base, self.entries = base, entries

    @property
    def last(self) -> Entry | Base:
        return self.entries[-1] if self.entries else self.base

    def at(self, index: int) -> Entry | Base | None:
        """The entry, or the base for its own index; None for what is cut off or not there yet."""
        if index == self.base.index:
            return self.base
        place = index - self.base.index - 1
        return self.entries[place] if 0 <= place < len(self.entries) else None

    def after(self, index: int, most_bytes: int) -> tuple[Entry, ...]:
        """Those after `index`, as many as fit, one at least."""
        found: list[Entry] = []
        size = 0
        for entry in self.entries[max(0, index - self.base.index) :]:
            size += len(entry.data) + 64
            if found and size > most_bytes:
                break
            found.append(entry)
        return tuple(found)

    def cut(self, index: int) -> None:
        """Removes all from `index` on."""
        del self.entries[max(0, index - self.base.index - 1) :]

    def rebase(self, base: Base) -> None:
        """A base that stands for some of the entries, or for all and more."""
        held = self.at(base.index)
        keep = held is not None and held.digest == base.digest
        self.entries = self.entries[base.index - self.base.index :] if keep else []
        self.base = base

    def seats(self) -> tuple[int, Seats]:
        """Those in force, which are the newest told, and where they stand."""
        for entry in reversed(self.entries):
            if entry.kind == SEATS:
                return entry.index, seats_of(entry)
        return self.base.index, self.base.seats
