"""How far a remembered list of engines can be believed, and what follows from it.  Free of I/O; time is
passed in.

How likely a line still holds is reckoned from its age and from the turnover that this front itself has seen:
lines that left or restarted over the time that lines were watched, with one imagined leaving over
`believed_for` as a beginning. A line that is sure is used as it stands; a likely one is used as if it had
just started, so that the module keeps it to a cold engine's budget until a trip or a probe confirms it; the
others are asked first.  What contradicts is dropped and asked again only after pauses that grow.  Fronts that
restart together on one list settle their shares alone: each asks an engine at a random moment of a time so
long that all of them together keep to the stated rate.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from math import exp
from typing import Literal

import msgspec

from ..api.listing import Line
from ..policy.random_source import RandomSource
from ..policy.state import Outcome

SURE = 0.95  # likely enough to be used as it stands
LIKELY = 0.5  # to be used with a cold engine's care
USEFUL = 0.01  # under it a line is an address to ask, after all others
PAUSE = 0.5  # of the time to ask all, before an engine that was silent is asked again; doubled each time
LEAST_PAUSE = 1000.0  # milliseconds
DOUBLINGS = 5  # of the pause at most: an engine that is away for long is asked seldom, but asked


class Saved(msgspec.Struct):
    """A line as it is kept on disk; `confirmed` is when it last held, in milliseconds since 1970."""

    line: Line
    confirmed: float


class Turnover(msgspec.Struct):
    """What this front has seen leave: line-milliseconds watched, and lines that left or restarted."""

    watched: float = 0.0
    left: int = 0

    def rate(self, believed_for: float) -> float:
        """Leavings for each millisecond of a line."""
        return (1 + self.left) / (believed_for + self.watched)


class Stand(Enum):
    """Where a remembered line stands."""

    SURE = "sure"  # used as it stands
    LIKELY = "likely"  # used with a cold engine's care
    ASKED = "asked first"  # not used until it answers
    DRAINING = "draining"  # told so, and kept so until fresh news
    CONFIRMED = "confirmed"  # it answered, or served, as the line says
    DROPPED = "dropped"  # contradicted: another engine answers there

    @property
    def listed(self) -> Literal["ready", "draining", "gone"]:
        """What the module is told of such a line."""
        if self in (Stand.SURE, Stand.LIKELY, Stand.CONFIRMED):
            return "ready"
        return "draining" if self is Stand.DRAINING else "gone"


@dataclass(slots=True)
class Belief:
    """One remembered line."""

    line: Line
    trust: float
    stand: Stand
    silent: int = 0


@dataclass(slots=True)
class Answer:
    """What an engine said of itself when it was asked."""

    id: str
    kind: str
    started: float  # milliseconds since 1970; 0: long ago
    draining: bool = False


@dataclass(slots=True)
class Step:
    """What is to be done: lines whose use changes, and engines to ask."""

    changed: list[Belief] = field(default_factory=list)
    ask: list[Line] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)


def trust(saved: Saved, wall: float, turnover: Turnover, believed_for: float) -> float:
    """How likely the line still holds.  A clock that ran backwards gives an age of unknown sign: its size
    counts.

    >>> line = Line("a", "h", 1, "k")
    >>> fresh = trust(Saved(line, 1000.0), 1000.0, Turnover(), 3.6e6)
    >>> old = trust(Saved(line, 0.0), 3.6e6, Turnover(), 3.6e6)
    >>> fresh, round(old, 2)
    (1.0, 0.37)
    """
    return exp(-turnover.rate(believed_for) * abs(wall - saved.confirmed))


class Beliefs:
    """The remembered list of one front, from its start until the registry speaks."""

    def __init__(
        self,
        saved: Iterable[Saved],
        now: float,
        wall: float,
        turnover: Turnover,
        believed_for: float,
        fronts: int,
        rate: float,
        whole: bool,
        seed: int,
    ) -> None:
        """`rate` is how many probes a second all `fronts` together may send to one engine; `whole` tells
        whether the store vouches for the list as a whole: if not, no line of it is sure."""
        self.chance = RandomSource(seed)
        self.spread = 1000 * fronts / rate  # the time over which all fronts ask one engine once
        self.beliefs: dict[str, Belief] = {}
        self.due: list[tuple[float, int, str]] = []
        self.order = count()
        self.over = False  # the registry has spoken
        for one in saved:
            likely = trust(one, wall, turnover, believed_for) * (1.0 if whole else SURE - 1e-6)
            self.beliefs[one.line.id] = Belief(one.line, likely, self._stand(one.line, likely))
        # Where none is of use there is nothing to be after.
        some = any(belief.trust >= USEFUL for belief in self.beliefs.values())
        for belief in self.beliefs.values():
            if belief.stand in (Stand.LIKELY, Stand.ASKED, Stand.SURE):
                late = some and belief.trust < USEFUL
                self._ask_at(now + self.spread * (self.chance.share() + late), belief.line.id)

    @staticmethod
    def _stand(line: Line, likely: float) -> Stand:
        if line.state != "ready":
            return Stand.DRAINING
        return Stand.SURE if likely >= SURE else Stand.LIKELY if likely >= LIKELY else Stand.ASKED

    def _ask_at(self, time: float, name: str) -> None:
        heapq.heappush(self.due, (time, next(self.order), name))

    def start(self) -> Step:
        """What the front begins with."""
        return Step(list(self.beliefs.values()))

    def request_came(self, now: float, roles: dict[str, str]) -> Step:
        """Where no engine of `roles` (by kind: read, write or both) can carry it, one of each kind that lacks
        is asked now."""
        if self.over:
            return Step()
        usable = {role for kind, role in roles.items() if self.usable(kind)}
        if "both" in usable or {"read", "write"} <= usable:
            return Step()
        return self.urge(now, [kind for kind, role in roles.items() if role not in usable])

    def attempt_ended(self, name: str, outcome: Outcome, now: float) -> Step:
        """What a trip tells of the line of its engine."""
        if outcome is Outcome.UNREACHABLE:
            return self.refused(name, now)
        return self.served(name) if outcome in (Outcome.PREFILLED, Outcome.SERVED) else Step()

    def urge(self, now: float, kinds: Iterable[str]) -> Step:
        """A job waits and of these kinds no engine is usable: the next of each is asked now, one at a
        time."""
        step = Step()
        for kind in kinds:
            best = min(
                (
                    entry
                    for entry in self.due
                    if self.beliefs[entry[2]].line.kind == kind
                    and self.beliefs[entry[2]].stand is Stand.ASKED
                ),
                default=None,
            )
            if best is not None and best[0] > now:
                self.due.remove(best)
                heapq.heapify(self.due)
                step.ask.append(self.beliefs[best[2]].line)
        return step

    def tick(self, now: float) -> Step:
        """Whom to ask by now."""
        step = Step()
        while self.due and self.due[0][0] <= now and not self.over:
            belief = self.beliefs[heapq.heappop(self.due)[2]]
            if belief.stand in (Stand.SURE, Stand.LIKELY, Stand.ASKED):
                step.ask.append(belief.line)
        return step

    def next_time(self) -> float | None:
        return self.due[0][0] if self.due and not self.over else None

    def answered(self, name: str, answer: Answer) -> Step:
        """An engine has said who it is.  Another start means that it is cold; another name or kind, another
        engine."""
        step, belief = Step(), self.beliefs.get(name)
        if belief is None or self.over or belief.stand in (Stand.DRAINING, Stand.DROPPED):
            return step
        line = belief.line
        if answer.id != line.id or answer.kind != line.kind:
            return self._drop(belief, f"its address is now {answer.id} of kind {answer.kind}")
        if answer.draining:
            belief.stand = Stand.DRAINING
            line.state = "draining"
        else:
            if answer.started > line.started:
                step.notes.append(f"engine {name} has started anew since it was listed")
            line.started = max(line.started, answer.started)
            belief.stand, belief.trust, belief.silent = Stand.CONFIRMED, 1.0, 0
        step.changed.append(belief)
        return step

    def served(self, name: str) -> Step:
        """A trip has gone well at an engine that was believed: the line held."""
        belief = self.beliefs.get(name)
        if belief is None or self.over or belief.stand not in (Stand.SURE, Stand.LIKELY):
            return Step()
        belief.stand, belief.trust = Stand.CONFIRMED, 1.0
        return Step([belief])

    def refused(self, name: str, now: float) -> Step:
        """A trip could not reach it: it is not used until it answers.  Others that were out tell no more."""
        belief = self.beliefs.get(name)
        if belief is None or self.over or belief.stand not in (Stand.SURE, Stand.LIKELY, Stand.CONFIRMED):
            return Step()
        belief.stand, belief.trust = Stand.ASKED, 0.0
        self._ask_again(belief, now)
        return Step([belief])

    def silent(self, name: str, now: float) -> Step:
        """It was asked and did not answer: it is asked again after a pause that grows."""
        belief = self.beliefs.get(name)
        if belief is None or self.over or belief.stand in (Stand.DRAINING, Stand.DROPPED):
            return Step()
        was, belief.stand, belief.trust = belief.stand, Stand.ASKED, 0.0
        self._ask_again(belief, now)
        return Step([belief] if was is not Stand.ASKED else [])

    def _ask_again(self, belief: Belief, now: float) -> None:
        """Guards against a loop of asking, and against two asks of one engine standing in the line."""
        name = belief.line.id
        self.due = [entry for entry in self.due if entry[2] != name]
        heapq.heapify(self.due)
        pause = max(LEAST_PAUSE, self.spread * PAUSE) * 2 ** min(belief.silent, DOUBLINGS)
        belief.silent += 1
        self._ask_at(now + pause * (0.5 + self.chance.share()), name)

    def _drop(self, belief: Belief, why: str) -> Step:
        belief.stand, belief.trust = Stand.DROPPED, 0.0
        return Step([belief], notes=[f"engine {belief.line.id} is dropped from the remembered list: {why}"])

    def listed(self, empty: bool) -> bool:
        """The registry has sent a list.  An empty one does not wipe a remembered fleet; any other ends
        belief."""
        if (
            empty
            and any(belief.stand is not Stand.DROPPED for belief in self.beliefs.values())
            and not self.over
        ):
            return False
        self.over = True
        return True

    def usable(self, kind: str) -> bool:
        return any(
            belief.line.kind == kind and belief.stand.listed == "ready" for belief in self.beliefs.values()
        )
