"""How all fronts, seats or not, come by what was agreed, and by leases on it.  Free of I/O and clock.

    out = follower.step(now, what)   # times are milliseconds

Fronts form a tree under the seat that leads: seats first, then all others in an order that each reckons from
who is there, `FAN` below each.  News runs down it: a front told that there is some asks its parent, and tells
those that lately asked it.  Nothing is taken but as an answer, because of the lease: an answer says how old
its knowledge is, and counts from when the question left, so no message that was late can make it younger.

    a front's knowledge is as of  (when it asked) - (the age that its parent told) * (1 + DRIFT)

Whatever the council agreed before that moment, this front has.  Reports run up the same tree, added up on
their way.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf

import msgspec

from ..policy.hashing import mix
from ..policy.random_source import RandomSource
from .state_machine import Chapter
from .voter import DRIFT

FAN = 8  # fronts below each other
ROUNDS = 8  # that a lease bears without an answer
FORGET = 3.0  # rounds after which a front that no longer asks is no longer told
TRIES = 2  # vain questions to the parent, before others are asked too


class Pull(msgspec.Struct, tag="pull"):
    """What is newer than `have`?  With this front's report, its own and of those below it."""

    number: int
    have: int
    mark: int  # of the book at `have`
    report: bytes = b""


class Told(msgspec.Struct, tag="told"):
    """`age`: how long ago nothing more had been agreed for sure; negative where that is not known."""

    number: int
    index: int
    mark: int
    age: float
    leader: str  # the front whose seat leads; empty: not known
    chapters: dict[str, Chapter] = {}


class News(msgspec.Struct, tag="news"):
    """There is something to ask for."""

    index: int


Message = Pull | Told | News


@dataclass(frozen=True, slots=True)
class Tick:
    pass


@dataclass(frozen=True, slots=True)
class Heard:
    name: str
    message: Message


@dataclass(frozen=True, slots=True)
class Fronts:
    """Who is there but this front, and who of all holds a seat."""

    there: frozenset[str]
    seats: frozenset[str]


@dataclass(frozen=True, slots=True)
class Agreed:
    """This front's own seat has applied up to `index`; `age` as in `Told` where it leads, else negative."""

    index: int
    mark: int
    chapters: dict[str, Chapter]
    age: float
    leader: str


What = Tick | Heard | Fronts | Agreed


@dataclass(frozen=True, slots=True)
class Fresh:
    """Chapters that are new here."""

    chapters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Contradicts:
    """Another front holds something else under the same index."""

    name: str
    index: int


Fact = Fresh | Contradicts


@dataclass(slots=True)
class Out:
    posts: list[tuple[str, Message]] = field(default_factory=list)
    facts: list[Fact] = field(default_factory=list)


@dataclass(slots=True)
class Below:
    """A front that asks this one."""

    heard: float
    report: bytes


def parent_of(me: str, there: Iterable[str], seats: Iterable[str]) -> str:
    """Who is above this front, when no seat of its own leads; empty where nobody is.

    >>> parent_of("c", ["a", "b"], ["a"]), parent_of("a", ["b"], ["a", "b"])
    ('a', 'b')
    """
    known = {*there, me}
    top = sorted(known.intersection(seats))
    if me in top:
        others = [name for name in top if name != me]
        return others[0] if others else ""
    # The hash keeps a front's place when others come and go; near the top are whoever it gives.
    rest = sorted(known.difference(top), key=lambda name: mix(hash_of(name), 5))
    at = rest.index(me)
    if at < len(top) * FAN:
        return top[at % len(top)] if top else ""
    return rest[(at - len(top) * FAN) // FAN]


def hash_of(name: str) -> int:
    return int.from_bytes(name.encode()[-8:], "little")


class Follower:
    """`lease` milliseconds: how old knowledge may be that is acted on; `report` gives what goes up."""

    def __init__(
        self,
        me: str,
        lease: float,
        seed: int,
        now: float,
        report: Callable[[list[bytes]], bytes] = lambda _: b"",
    ) -> None:
        self.me, self.lease, self.chance, self.report = me, lease, RandomSource(seed), report
        self.round = lease / ROUNDS
        self.index, self.mark = 0, 0
        self.chapters: dict[str, Chapter] = {}
        self.as_of = -inf  # own clock: all that was agreed by then is here
        self.leader = ""
        self.leads = False  # this front's own seat does
        self.there: frozenset[str] = frozenset()
        self.seats: frozenset[str] = frozenset()
        self.parent = ""
        self.below: dict[str, Below] = {}
        self.asked: dict[int, tuple[str, float]] = {}
        self.number = self.vain = 0
        self.due = now + self.round * self.chance.share()

    def holds(self, now: float) -> bool:
        """Whether the lease runs."""
        return now - self.as_of < self.lease

    def until(self) -> float:
        return self.as_of + self.lease

    def reports(self) -> list[bytes]:
        """Of those below.  Guards against reports that go in circles, and grow as they do: however unlike
        fronts see the tree, only who leads takes those of seats, and others those of higher hashes."""
        if self.leads:
            return [one.report for one in self.below.values() if one.report]
        top, own = self.me in self.seats, mix(hash_of(self.me), 5)
        return [
            one.report
            for name, one in self.below.items()
            if one.report and name not in self.seats and (top or mix(hash_of(name), 5) > own)
        ]

    def step(self, now: float, what: What) -> Out:
        out = Out()
        match what:
            case Tick():
                if now >= self.due:
                    self._round(now, out)
            case Fronts(there, seats):
                self.there, self.seats = there, seats
                self.parent = parent_of(self.me, there, seats)
            case Agreed():
                self._agreed(now, what, out)
            case Heard(name, Pull() as pull):
                self._pulled(now, name, pull, out)
            case Heard(name, Told() as told):
                self._told(now, name, told, out)
            case Heard(name, News()):
                if not self.leads and name in self.there:
                    self._ask(now, name, out)
        return out

    def _round(self, now: float, out: Out) -> None:
        self.due = now + self.round
        self.below = {name: one for name, one in self.below.items() if one.heard > now - FORGET * self.round}
        self.asked = {
            number: (name, at) for number, (name, at) in self.asked.items() if at > now - 2 * self.lease
        }
        if self.leads:
            self._spread(out)
            return
        parent = self._above()
        if parent:
            self._ask(now, parent, out)
        self.vain += 1
        if self.vain > TRIES:  # the tree may be broken above: a seat, and any front
            for others in (self.seats & self.there, self.there):
                for name in self.chance.some(sorted(others - {parent}), 1):
                    self._ask(now, name, out)

    def _above(self) -> str:
        """For a seat that is who leads; for others the same in the tree."""
        return self.leader if self.me in self.seats and self.leader in self.there else self.parent

    def _ask(self, now: float, name: str, out: Out) -> None:
        self.number += 1
        self.asked[self.number] = name, now
        report = self.report(self.reports()) if name == self._above() else b""
        out.posts.append((name, Pull(self.number, self.index, self.mark, report)))

    def _pulled(self, now: float, name: str, pull: Pull, out: Out) -> None:
        if name in self.there:
            self.below[name] = Below(now, pull.report)
        if pull.have == self.index and pull.mark != self.mark and self.index:
            out.facts.append(Contradicts(name, self.index))
            return  # neither learns from the other
        age = now - self.as_of
        chapters = {key: one for key, one in self.chapters.items() if one.index > pull.have}
        out.posts.append(
            (
                name,
                Told(pull.number, self.index, self.mark, age if age < inf else -1.0, self.leader, chapters),
            )
        )

    def _told(self, now: float, name: str, told: Told, out: Out) -> None:
        asked = self.asked.pop(told.number, None)
        if asked is None or asked[0] != name or self.leads:
            return  # an answer to nothing, or again
        if told.index < self.index:
            return  # it knows less: its age says nothing of what is newer
        if told.index == self.index and told.mark != self.mark and self.index:
            out.facts.append(Contradicts(name, self.index))
            return
        if told.index > self.index:
            self.chapters = {**self.chapters, **told.chapters}
            self.index, self.mark = told.index, told.mark
            out.facts.append(Fresh(tuple(sorted(told.chapters))))
        if told.age < 0:
            return
        as_of = asked[1] - told.age * (1 + DRIFT)
        if as_of > self.as_of:
            self.as_of, self.vain, self.leader = as_of, 0, told.leader
            self._spread(out)

    def _agreed(self, now: float, told: Agreed, out: Out) -> None:
        led, self.leads = self.leads, told.age >= 0
        if told.index > self.index:
            fresh = tuple(
                sorted(
                    key
                    for key, one in told.chapters.items()
                    if key not in self.chapters or one.index > self.chapters[key].index
                )
            )
            self.index, self.mark, self.chapters = told.index, told.mark, dict(told.chapters)
            out.facts.append(Fresh(fresh))
        if told.leader:
            self.leader = told.leader
        if self.leads:
            self.as_of = max(self.as_of, now - told.age * (1 + DRIFT))
            if out.facts or not led:
                self._spread(out)

    def _spread(self, out: Out) -> None:
        for name in self.below:
            out.posts.append((name, News(self.index)))
