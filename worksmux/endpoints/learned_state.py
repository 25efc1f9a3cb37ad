"""What a front has learned of engines and pace, kept over a restart and weighed by its age.  Free of I/O;
time is passed in.

Three things are kept: marks of single engines (set aside until then, windows narrowed by full answers, when
they last served an offering), how the trips of each offering ended lately, and the usual times of reading
and of first tokens.  Marks run out by themselves. What was seen of offerings and waits counts for the
module's own memory of them, less with each moment, and never for more than half a trip: the first fresh
trips outweigh it.  How fast prompts are read is a property of the machines, so its shortest time is believed
for as long as the lines of the list are.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp

import msgspec

from ..policy.events import AttemptEnded, Event, FirstToken, StateRestored
from ..policy.load_estimates import BUCKETS, HISTORY_MS, SLOW_FACTOR
from ..policy.sliding_window import SlidingWindow
from ..policy.state import ALL_REQUEST_CLASSES, Engine, Outcome
from .staleness import USEFUL, Turnover

MOST = 0.5  # of a trip: what a remembered figure counts at most
FAULTS = frozenset({Outcome.ERROR, Outcome.UNREACHABLE, Outcome.RESET, Outcome.TIMED_OUT})
EVERY = 1 / 8  # of the module's memory, between two looks at what is worth keeping
FLEET = ""  # the key of what holds for all engines


class Usual(msgspec.Struct, array_like=True):
    """A sum over so many trips or tokens."""

    total: float = 0.0
    count: float = 0.0


class Pace(msgspec.Struct):
    """What holds for all engines; `at` in milliseconds since 1970, times in milliseconds."""

    at: float
    first: Usual  # waits for a first token
    per_token: Usual  # reading time of a token
    shortest: float  # the same, in the best stretch of the module's memory
    shortest_at: float  # when that was seen
    fates: dict[str, Usual]  # faults by offering


class Marks(msgspec.Struct):
    """What was seen of one engine; times in milliseconds since 1970."""

    at: float
    started: float  # the start that the list gave: another one makes the marks void
    unwell: dict[str, float]  # by offering, "" for all: set aside until then
    good: dict[str, float]  # by offering: when it last served one
    narrowed: float


@dataclass(slots=True)
class Kept:
    """What the store holds, read back."""

    pace: Pace | None
    marks: dict[str, Marks]


class Learner:
    """Watches the events of one front and tells what of them is worth keeping."""

    def __init__(self, request_classes: list[str]) -> None:
        self.request_classes = request_classes
        self.first, self.per_token = SlidingWindow(HISTORY_MS, BUCKETS), SlidingWindow(HISTORY_MS, BUCKETS)
        self.faults = [SlidingWindow(HISTORY_MS, BUCKETS) for _ in request_classes]
        self.shortest = self.shortest_at = 0.0
        self.saved: dict[str, Pace | Marks] = {}

    def saw(self, now: float, event: Event) -> None:
        """An event that the module is told."""
        if isinstance(event, FirstToken):
            waited = event.elapsed - SLOW_FACTOR * self.per_token.least(now) * event.attempt.prefill_tokens
            self.first.add(now, max(0.0, waited))
        elif isinstance(event, AttemptEnded):
            if event.outcome is Outcome.PREFILLED:
                self.per_token.add(now, event.elapsed, max(1.0, event.attempt.prefill_tokens))
            if event.outcome in FAULTS or event.outcome in (Outcome.PREFILLED, Outcome.SERVED):
                self.faults[event.attempt.request.request_class].add(now, float(event.outcome in FAULTS))

    def pace(self, now: float, wall: float) -> Pace | None:
        """None where nothing was seen of late."""
        first, per_token = self._usual(self.first, now), self._usual(self.per_token, now)
        fates = {
            name: found
            for name, ring in zip(self.request_classes, self.faults, strict=True)
            if (found := self._usual(ring, now)).count
        }
        if not (first.count or per_token.count or fates):
            return None
        shortest = self.per_token.least(now)
        if shortest:
            self.shortest, self.shortest_at = shortest, wall
        return Pace(wall, first, per_token, self.shortest, self.shortest_at, fates)

    @staticmethod
    def _usual(ring: SlidingWindow, now: float) -> Usual:
        count = ring.count(now)
        return Usual(ring.mean(now) * count, count)

    def marks(self, engine: Engine, started: float, now: float, wall: float) -> Marks | None:
        """None where the engine is like any other.  When it served counts only while its offering has
        faults: the module asks for it then alone."""
        unwell = {
            self._name(request_class): wall + until - now
            for request_class, until in engine.ejected_until.items()
            if until > now
        }
        good = {
            self.request_classes[request_class]: wall + time - now
            for request_class, time in engine.last_success.items()
            if now - time < HISTORY_MS and self.faults[request_class].mean(now) > 0
        }
        if not (unwell or good or engine.window_reduction):
            return None
        return Marks(wall, started, unwell, good, engine.window_reduction)

    def _name(self, request_class: int) -> str:
        return "" if request_class == ALL_REQUEST_CLASSES else self.request_classes[request_class]

    def changes(
        self, engines: Iterable[tuple[Engine, float]], now: float, wall: float
    ) -> dict[str, Pace | Marks | None]:
        """What is to be written since the last call; None deletes.  `engines` come with their start as
        listed."""
        found: dict[str, Pace | Marks] = {}
        pace = self.pace(now, wall)
        if pace is not None:
            found[FLEET] = pace
        for engine, started in engines:
            marks = self.marks(engine, started, now, wall)
            if marks is not None:
                found[engine.id.decode()] = marks
        told: dict[str, Pace | Marks | None] = dict(found)
        for name in self.saved.keys() - found.keys() - {FLEET}:
            told[name] = None  # an old pace is worth more than none
        self.saved = found
        return told


def recall(
    kept: Kept,
    request_classes: list[str],
    engines: Iterable[tuple[Engine, float]],
    wall: float,
    turnover: Turnover,
    believed_for: float,
) -> StateRestored:
    """What the module is told of `kept`, by its age.  A clock that ran backwards makes all of it old: its
    size counts as the age, and no mark lasts longer than it can have been given for."""
    seen = [(0.0, 0.0)] * (2 + len(request_classes))
    if kept.pace is not None:
        pace, rate = kept.pace, turnover.rate(believed_for)
        weight = MOST * max(0.0, 1 - abs(wall - pace.at) / HISTORY_MS)
        seen[0] = _weighed(pace.first, weight)
        seen[1] = _weighed(pace.per_token, weight)
        lasting = MOST * exp(-rate * abs(wall - pace.shortest_at))
        if not seen[1][1] and pace.shortest > 0 and lasting > USEFUL:
            seen[1] = pace.shortest * lasting, lasting
        for at, name in enumerate(request_classes):
            if name in pace.fates:
                seen[2 + at] = _weighed(pace.fates[name], weight)
    told = StateRestored(seen, [], [], [])
    at_of = {name: at for at, name in enumerate(request_classes)} | {"": ALL_REQUEST_CLASSES}
    for engine, started in engines:
        marks = kept.marks.get(engine.id.decode())
        age = abs(wall - marks.at) if marks else HISTORY_MS
        if marks is None or marks.started != started or age >= HISTORY_MS:
            continue
        for name, until in marks.unwell.items():
            left = min(until - wall, HISTORY_MS - age)
            if left > 0 and name in at_of:
                told.ejections.append((engine, at_of[name], left))
        for name, time in marks.good.items():
            if 0 <= wall - time < HISTORY_MS and at_of.get(name, ALL_REQUEST_CLASSES) != ALL_REQUEST_CLASSES:
                told.last_successes.append((engine, at_of[name], wall - time))
        if marks.narrowed > 0:
            told.window_reductions.append((engine, marks.narrowed * (1 - age / HISTORY_MS)))
    return told


def _weighed(usual: Usual, weight: float) -> tuple[float, float]:
    count = min(usual.count, 1.0) * weight
    return (usual.total / usual.count * count, count) if count > 0 else (0.0, 0.0)
