"""What is believed of each front: one rumour a front, the newer one wins.  Pure.

A front is known by its name.  Each start of it is a *life*, a number that grows; within a life it counts
its own *beat* up to refute what is said of it or to tell that what it carries has changed.  Life and beat
together are its incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

import msgspec
import xxhash

KEPT = 2  # times the fronts that are there: of those that are not, so many are kept
LEAST_KEPT = 64
MOST_FACTS = 16  # that one front may have carried along
LONGEST = 200  # characters of a name, an address or a fact


PARTS = 64  # of all rumours, by a hash of the name: compared one by one


def part_of(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % PARTS


class State(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # it ended in order; this life of it does not come back


class Incarnation(NamedTuple):
    life: int
    beat: int


class Rumour(msgspec.Struct, frozen=True):
    """What one front tells of another; `facts` are the versions and the like that this one has told of
    itself."""

    name: str
    life: int
    beat: int
    state: int
    address: str  # host:port of its listener for peers
    zone: str
    region: str
    facts: dict[str, str] = {}
    by: str = ""  # of a suspicion: who accuses

    @property
    def rank(self) -> tuple[int, int, int]:
        """The higher one is believed.  Of one incarnation the worse state wins: only the front itself may
        take it back, by a higher beat.  Who has left stays so for that life."""
        return (self.life, int(self.state == State.LEFT) * 2**62 + self.beat, self.state)

    @property
    def mark(self) -> int:
        """A hash of who it is about and of its rank."""
        return xxhash.xxh3_64_intdigest(repr((self.name, *self.rank)).encode())

    def sound(self) -> bool:
        """Whether its figures can be what they claim to be."""
        texts = (self.name, self.address, self.zone, self.region, self.by, *self.facts, *self.facts.values())
        return (
            bool(self.name)
            and self.life > 0
            and self.beat >= 0
            and self.state in tuple(State)
            and len(self.facts) <= MOST_FACTS
            and all(len(text) <= LONGEST for text in texts)
        )


@dataclass(slots=True)
class Member:
    """A front as it is believed to be; times of this front's own clock, milliseconds."""

    rumour: Rumour
    since: float  # in this state
    accusers: set[str] = field(default_factory=set)  # who told, each on its own, that it is suspected
    suspected_at: float = 0.0

    @property
    def name(self) -> str:
        return self.rumour.name

    @property
    def state(self) -> State:
        return State(self.rumour.state)

    @property
    def there(self) -> bool:
        """Alive as far as is agreed: a suspect is still asked and counted."""
        return self.rumour.state <= State.SUSPECT


class Members:
    """All fronts but this one."""

    def __init__(self, me: str) -> None:
        self.me = me
        self.known: dict[str, Member] = {}
        self.there: dict[str, Member] = {}  # those of them that are
        self.suspects: dict[str, Member] = {}
        self.marks = [0] * PARTS  # of the rumours in each part, whatever their order

    def take(self, rumour: Rumour, now: float) -> tuple[Rumour | None, Member] | None:
        """What was believed before and what is now; None where the rumour is old news."""
        old = self.known.get(rumour.name)
        if old is not None and rumour.rank <= old.rumour.rank:
            return None
        before = old.rumour if old else None
        self.marks[part_of(rumour.name)] ^= rumour.mark ^ (before.mark if before else 0)
        if old is None or old.rumour.state != rumour.state or old.rumour.life != rumour.life:
            old = self.known[rumour.name] = Member(rumour, now)
        old.rumour = rumour
        if rumour.state == State.ALIVE:
            old.accusers.clear()
        for group, within in ((self.there, old.there), (self.suspects, old.state == State.SUSPECT)):
            if within:
                group[rumour.name] = old
            else:
                group.pop(rumour.name, None)
        if len(self.known) - len(self.there) > max(LEAST_KEPT, KEPT * len(self.there)):
            self._forget()
        return before, old

    def _forget(self) -> None:
        """Guards against a fleet that is replaced all day: of those gone only the latest stay known."""
        gone = [member for member in self.known.values() if not member.there]
        for member in sorted(gone, key=lambda member: member.since)[: len(gone) // 2]:
            self.marks[part_of(member.name)] ^= member.rumour.mark
            del self.known[member.name]
