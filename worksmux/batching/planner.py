"""Turns calls of many inputs into loads for engines and their results into one final answer for each call.

A call larger than a load is split into contiguous parts of like size.  Calls smaller than a load may join one
with others of the same model and form: only while other loads are out, for else the engines are free and
waiting gains nothing; never longer than a ratio of the time until the answer is promised; and only where
nobody's time would be cut below another's promised time.

What can go wrong with a load, and what follows:

- Its trip brought some of the results: those count, and the next trip asks for the rest.
- It was deferred or broken off: its missing inputs go out again while there is time and the budget for
  repeats allows it; else every call that needs them ends so, and nothing more is sent for these.
- Its input was refused as bad: alone, its call ends with that message; joined, each call goes out by itself,
  so that one bad input harms none of the others.
- A client leaves: its inputs are no longer asked for; a load that nobody needs is dropped.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from enum import Enum
from math import ceil
from typing import Any

WAIT = 0.05  # of the time until an answer is promised: how long a small call waits for others
SMALL = 0.5  # of a load: what is larger goes alone
PAUSE = 0.02  # of the same time: before what was deferred goes out again


class How(Enum):
    """How a load ended without all of its results."""

    DEFERRED = "deferred"  # it has had no effect; nobody could take it in time
    BROKEN = "broken off"  # its time or its trips ran out


@dataclass(frozen=True)
class Bounds:
    """Of one load: tokens and inputs; `join` is off where a load can serve one call alone."""

    tokens: float
    inputs: int
    join: bool = True


@dataclass(eq=False, slots=True)
class Call:
    """One client's call; `costs` are tokens by input."""

    costs: list[float]
    group: Hashable  # calls of one group may share a load
    bounds: Bounds
    arrived: float
    promised_at: float
    give_up_at: float
    item: Any = None
    results: list[Any] = field(default_factory=list)
    missing: int = 0
    loads: dict[Load, None] = field(default_factory=dict)
    over: bool = False

    def __post_init__(self) -> None:
        self.results = [None] * len(self.costs)
        self.missing = len(self.costs)


@dataclass(eq=False, slots=True)
class Load:
    """What one engine is asked at once: inputs of one or more calls, (call, index) in order."""

    wanted: list[tuple[Call, int]]
    group: Hashable
    cost: float
    give_up_at: float
    number: int = 0
    ended: bool = False

    def needs(self) -> list[tuple[Call, int]]:
        """What is still asked for: the next trip's inputs, in order."""
        return [(call, at) for call, at in self.wanted if not call.over and call.results[at] is None]

    def calls(self) -> list[Call]:
        return list(dict.fromkeys(call for call, _ in self.wanted))

    def needs_by_call(self) -> list[tuple[Call, list[int]]]:
        """Each call that is not over with those of its inputs that are still asked for."""
        found: dict[Call, list[int]] = {call: [] for call in self.calls() if not call.over}
        for call, at in self.needs():
            found[call].append(at)
        return list(found.items())


@dataclass(slots=True)
class Done:
    """A call's one final answer: all results, or how it ended, or the message of a bad input."""

    call: Call
    how: How | None = None
    bad: str = ""


@dataclass(slots=True)
class Step:
    send: list[Load] = field(default_factory=list)
    later: list[tuple[float, Load]] = field(default_factory=list)  # at that time
    drop: list[Load] = field(default_factory=list)  # nobody needs them: called off
    done: list[Done] = field(default_factory=list)


class Planner:
    """`again` tells whether a part may be sent again: the budget for repeats."""

    def __init__(self, again: Callable[[Call], bool]) -> None:
        self.again = again
        self.joining: dict[Hashable, Load] = {}
        self.until: dict[Hashable, float] = {}
        self.out: dict[Hashable, int] = {}
        self.number = 0

    # Calls.

    def add(self, now: float, call: Call) -> Step:
        step = Step()
        if not call.costs:
            call.over = True
            step.done.append(Done(call))
            return step
        total = sum(call.costs)
        small = (
            call.bounds.join
            and total <= SMALL * call.bounds.tokens
            and len(call.costs) <= SMALL * call.bounds.inputs
        )
        if small and self.out.get(call.group, 0):
            self._join(now, call, total, step)
        else:
            for part in split(call.costs, call.bounds):
                self._send(self._alone(call, part), step)
        return step

    @staticmethod
    def _alone(call: Call, inputs: list[int]) -> Load:
        """A load of one call's inputs."""
        return Load(
            [(call, at) for at in inputs], call.group, sum(call.costs[at] for at in inputs), call.give_up_at
        )

    def _join(self, now: float, call: Call, total: float, step: Step) -> None:
        load = self.joining.get(call.group)
        if load is not None and not self._fits(load, call, total):
            self._flush(call.group, step)
            load = None
        if load is None:
            load = self.joining[call.group] = Load([], call.group, 0.0, call.give_up_at)
            self.until[call.group] = float("inf")
        load.wanted += [(call, at) for at in range(len(call.costs))]
        load.cost += total
        load.give_up_at = min(load.give_up_at, call.give_up_at)
        call.loads[load] = None
        self.until[call.group] = min(self.until[call.group], now + WAIT * max(0.0, call.promised_at - now))
        if load.cost >= call.bounds.tokens * (1 - SMALL / 2) or len(load.wanted) >= call.bounds.inputs:
            self._flush(call.group, step)

    @staticmethod
    def _fits(load: Load, call: Call, total: float) -> bool:
        ends = min(load.give_up_at, call.give_up_at)
        return (
            load.cost + total <= call.bounds.tokens
            and len(load.wanted) + len(call.costs) <= call.bounds.inputs
            and ends >= max(call.promised_at, *(other.promised_at for other in load.calls()))
        )

    def _flush(self, group: Hashable, step: Step) -> None:
        load = self.joining.pop(group, None)
        self.until.pop(group, None)
        if load is not None and load.needs():
            self._send(load, step)

    def _send(self, load: Load, step: Step, at: float | None = None) -> None:
        self.number += 1
        load.number = self.number
        for call in load.calls():
            call.loads[load] = None
        self.out[load.group] = self.out.get(load.group, 0) + 1
        if at is None:
            step.send.append(load)
        else:
            step.later.append((at, load))

    def tick(self, now: float) -> Step:
        """Sends what has waited long enough for others."""
        step = Step()
        for group in [group for group, until in self.until.items() if until <= now]:
            self._flush(group, step)
        return step

    def next_time(self) -> float | None:
        return min(self.until.values(), default=None)

    def left(self, call: Call) -> Step:
        """Its client has hung up."""
        step = Step()
        self._over(call, step)
        return step

    # Loads.

    def partial(self, load: Load, asked: list[tuple[Call, int]], results: dict[int, Any]) -> None:
        """Some results of a trip that failed, by position in what it asked for; the rest is asked again."""
        for position, result in results.items():
            call, at = asked[position]
            if not call.over and call.results[at] is None:
                call.results[at] = result
                call.missing -= 1

    def delivered(self, load: Load, asked: list[tuple[Call, int]], results: dict[int, Any]) -> Step:
        """All results of a trip."""
        step = Step()
        self._ended(load)
        self.partial(load, asked, results)
        for call in load.calls():
            self._maybe_done(call, step)
        return step

    @staticmethod
    def _maybe_done(call: Call, step: Step) -> None:
        if not call.over and not call.missing:
            call.over = True
            step.done.append(Done(call))

    def failed(self, now: float, load: Load, how: How) -> Step:
        step = Step()
        self._ended(load)
        for call, needed in load.needs_by_call():
            if not needed:
                self._maybe_done(call, step)  # its last results came by a trip that failed
                continue
            pause = PAUSE * max(0.0, call.promised_at - call.arrived)
            if now + 2 * pause < min(call.promised_at, call.give_up_at) and self.again(call):
                self._send(self._alone(call, needed), step, now + pause)
            else:
                self._over(call, step)
                step.done.append(Done(call, how))
        return step

    def refused(self, load: Load, message: str) -> Step:
        """The engine calls the input bad."""
        step = Step()
        self._ended(load)
        joined = len(load.calls()) > 1  # also where only one is left: it may not be the bad one
        for call, needed in load.needs_by_call():
            if not needed:
                self._maybe_done(call, step)
            elif joined:
                self._send(self._alone(call, needed), step)
            else:
                self._over(call, step)
                step.done.append(Done(call, bad=message or "the engine refused the input"))
        return step

    def _ended(self, load: Load) -> None:
        if load.ended:
            return
        load.ended = True
        for call in load.calls():
            call.loads.pop(load, None)
        left = self.out.get(load.group, 0) - 1
        if left > 0:
            self.out[load.group] = left
        else:
            self.out.pop(load.group, None)

    def _over(self, call: Call, step: Step) -> None:
        """Nothing more is wanted for it."""
        call.over = True
        for load in list(call.loads):
            if not load.needs():
                if self.joining.get(load.group) is load:
                    del self.joining[load.group]
                    del self.until[load.group]
                else:
                    self._ended(load)
                    step.drop.append(load)
        call.loads.clear()


def split(costs: list[float], bounds: Bounds) -> list[list[int]]:
    """Indices in contiguous parts of like cost, each within the bounds; an input over the bound goes alone.

    >>> split([4.0, 4.0, 4.0, 4.0, 30.0, 1.0], Bounds(12.0, 3))
    [[0, 1, 2], [3], [4], [5]]
    >>> split([1.0] * 8, Bounds(5.0, 100))
    [[0, 1, 2, 3], [4, 5, 6, 7]]
    """
    count = max(ceil(sum(costs) / bounds.tokens), ceil(len(costs) / bounds.inputs), 1)
    target = min(bounds.tokens, max(sum(costs) / count, max(costs, default=0.0)))
    parts: list[list[int]] = []
    size = 0.0
    for at, cost in enumerate(costs):
        full = parts and (
            size + cost > bounds.tokens
            or len(parts[-1]) >= bounds.inputs
            or size + cost / 2 > target
            and size >= target / 2
        )
        if not parts or full:
            parts.append([])
            size = 0.0
        parts[-1].append(at)
        size += cost
    return parts
