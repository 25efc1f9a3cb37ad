"""The gate: takes, lets wait or turns away each call of a one-stage offering, and tells when it may go.

Order of the checks, each for a failure of its own: brown-out (the front itself is short), repeats over their
budget (storms), a wait that would not end in time (early refusal: nothing is spent on what comes too late),
the bound of the line (at the expense of who has most waiting).  What waits goes by deficit round robin, first
over offerings by credit, then over callers, as far as the offering's limit lets it.  A call that waited too
long after all is turned away when its time has passed, never sent.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from ..policy.random_source import RandomSource
from .concurrency_limit import Limit
from .fair_queue import Lines, Shared, Waiting
from .overload import Brownout, Pressure
from .retry_budget import Advice, Budget, Repeats

SAFE = 0.8  # of the time left: what is expected to take more is turned away
UNIT = 1 / 4  # of the largest part: what counts as a small item


class Why(Enum):
    """Why a call was turned away."""

    SHORT = "the front itself is short"
    REPEATS = "too many repeats"
    LATE = "it could not be served in time"
    LINE = "the line is full"
    CROWDED = "others were served before it"


@dataclass(frozen=True)
class Share:
    """One offering at the gate; cost in tokens, times in milliseconds."""

    name: str
    credit: float  # for a call of usual size
    weight: float  # its share among offerings
    largest: float  # the cost of the largest part
    line: float  # cost that may wait
    calls: int  # that may wait
    promised: float
    pool: str = ""  # offerings of one pool are carried by the same engines


@dataclass(frozen=True)
class GateSettings:
    shares: list[Share]
    repeat_ratio: float
    repeat_burst: float
    least_away: float
    most_away: float
    rise: float  # see Brownout
    fall: float


@dataclass(eq=False, slots=True)
class Asked:
    """One call at the gate."""

    request_class: int
    caller: Hashable
    cost: float
    arrived: float
    promised_at: float
    give_up_at: float
    repeat: bool = False
    body: int = 0  # a hash of who asks what
    item: Any = None
    place: Waiting[Asked] | None = None
    state: str = "new"  # waiting, out or over

    @property
    def due(self) -> float:
        """When it must be served, to be of use."""
        return min(self.promised_at, self.give_up_at)


@dataclass(eq=False, slots=True)
class Refused:
    asked: Asked
    why: Why
    stay_away: float


@dataclass(slots=True)
class Step:
    """What follows: calls that may go now, and calls turned away."""

    go: list[Asked] = field(default_factory=list)
    refused: list[Refused] = field(default_factory=list)


class Pool:
    """Offerings that are carried by the same engines: one limit, and turns among their lines."""

    def __init__(self, request_classes: list[int], gate: Gate) -> None:
        self.request_classes = request_classes
        shares = [gate.shares[at] for at in request_classes]
        largest = max(share.largest for share in shares)
        self.limit = Limit(UNIT * largest, 2 * largest, min(share.promised for share in shares))
        self.turns = Shared(
            [gate.lines[at] for at in request_classes],
            [share.weight for share in shares],
            largest / min(share.weight for share in shares),
        )

    def waits(self) -> float:
        return sum(line.cost for line in self.turns.lines)

    def ahead(self, gate: Gate, asked: Asked) -> float:
        """About what is served before it: its own line's part, in the proportion of the lines' weights."""
        own = gate.lines[asked.request_class].ahead(asked.caller, asked.cost)
        busy = sum(
            weight
            for line, weight in zip(self.turns.lines, self.turns.weights, strict=True)
            if line.count or line is gate.lines[asked.request_class]
        )
        return min(self.waits() + asked.cost, own * busy / gate.shares[asked.request_class].weight)


class Gate:
    def __init__(self, settings: GateSettings, seed: int) -> None:
        self.settings, self.chance = settings, RandomSource(seed)
        self.shares = settings.shares
        self.lines: list[Lines[Asked]] = [
            Lines(share.largest, share.line, share.calls) for share in self.shares
        ]
        self.pools = [
            Pool([at for at, share in enumerate(self.shares) if share.pool == name], self)
            for name in dict.fromkeys(share.pool for share in self.shares)
        ]
        self.pool_of = {at: pool for pool in self.pools for at in pool.request_classes}
        self.advice = [
            Advice(settings.least_away, settings.most_away, seed + at + 1) for at in range(len(self.shares))
        ]
        self.budgets = [Budget(settings.repeat_ratio, settings.repeat_burst) for _ in self.shares]
        self.repeats = Repeats(2 * settings.most_away, 100_000)
        self.brownout = Brownout([share.credit for share in self.shares], settings.rise, settings.fall)
        self.due: list[tuple[float, int, Asked]] = []  # when what waits is too late
        self.order = 0

    # What happens.

    def arrived(self, now: float, asked: Asked) -> Step:
        step, at = Step(), asked.request_class
        line = self.lines[at]
        if self.brownout.sheds(at, self.chance.share()):
            return self._refuse(now, asked, Why.SHORT, step)
        asked.repeat = asked.repeat or self.repeats.known(now, asked.body)
        if not asked.repeat:
            self.budgets[at].first()
        elif not self._idle(asked) and not self.budgets[at].repeat():
            return self._refuse(now, asked, Why.REPEATS, step)
        if self._expected(now, asked) > SAFE * (asked.due - now):
            return self._refuse(now, asked, Why.LATE, step)
        place, pushed = line.put(asked.caller, asked, asked.cost)
        for other in pushed:
            self._refuse(now, other, Why.CROWDED, step)
        if place is None:
            return self._refuse(now, asked, Why.LINE, step)
        asked.place, asked.state = place, "waiting"
        self.order += 1
        heapq.heappush(self.due, (asked.due, self.order, asked))
        self._let_go(now, step, self.pool_of[at])
        return step

    def ended(self, now: float, asked: Asked, elapsed: float, good: bool) -> Step:
        """What was let go has its final answer, or its client has left."""
        step = Step()
        if asked.state == "out":
            asked.state = "over"
            pool = self.pool_of[asked.request_class]
            pool.limit.ended(now, asked.cost, elapsed, good)
            self._let_go(now, step, pool)
        return step

    def left(self, asked: Asked) -> None:
        """A client that waits hangs up."""
        if asked.state == "waiting" and asked.place is not None:
            self.lines[asked.request_class].drop(asked.caller, asked.place)
            asked.state = "over"

    def again(self, request_class: int) -> bool:
        """Whether a part that failed may be sent again: it counts as a repeat like any other."""
        pool = self.pool_of[request_class]
        return not pool.waits() and pool.limit.fits(0.0) or self.budgets[request_class].repeat()

    def is_short(self, request_class: int) -> bool:
        """Whether the front's own shortage turns away a call that does not pass the gate otherwise: chat."""
        return self.brownout.sheds(request_class, self.chance.share())

    def pressed(self, now: float, pressure: Pressure) -> None:
        self.brownout.note(now, pressure)

    def tick(self, now: float) -> Step:
        """Turns away what has waited too long."""
        step = Step()
        while self.due and (self.due[0][0] <= now or self.due[0][2].state != "waiting"):
            asked = heapq.heappop(self.due)[2]
            if asked.state == "waiting" and asked.place is not None:
                self.lines[asked.request_class].drop(asked.caller, asked.place)
                self._refuse(now, asked, Why.LATE, step)
        for pool in self.pools:
            self._let_go(now, step, pool)
        return step

    def next_time(self) -> float | None:
        while self.due and self.due[0][2].state != "waiting":
            heapq.heappop(self.due)
        return self.due[0][0] if self.due else None

    # What is decided.

    def _idle(self, asked: Asked) -> bool:
        """Whether it could go at once.  Guards against engines that stand idle while those who were turned
        away once are turned away again and again: a repeat does harm only where others wait."""
        pool = self.pool_of[asked.request_class]
        return not pool.waits() and pool.limit.fits(asked.cost)

    def _expected(self, now: float, asked: Asked) -> float:
        """The wait in the line and the trip after it, by what is served of late; 0 while that is unknown."""
        pool = self.pool_of[asked.request_class]
        rate = pool.limit.rate(now)
        if rate <= 0 or not pool.waits():
            return 0.0
        return pool.ahead(self, asked) / rate + self._attempt(now, asked)

    def _attempt(self, now: float, asked: Asked) -> float:
        """The usual time past the gate."""
        limit = self.pool_of[asked.request_class].limit
        return limit.lately.mean(now) * (asked.cost + limit.unit)

    def _let_go(self, now: float, step: Step, pool: Pool) -> None:
        while (asked := pool.turns.next(pool.limit.fits)) is not None:
            if now + self._attempt(now, asked) / SAFE > asked.due:
                self._refuse(now, asked, Why.LATE, step)  # guards against work that comes too late
                continue
            asked.state = "out"
            pool.limit.sent(now, asked.cost)
            step.go.append(asked)

    def _refuse(self, now: float, asked: Asked, why: Why, step: Step) -> Step:
        asked.state = "over"
        at = asked.request_class
        self.repeats.refused(now, asked.body)
        pool = self.pool_of[at]
        away = self.advice[at].stay_away(now, asked.cost, pool.limit.rate(now), pool.waits())
        step.refused.append(Refused(asked, why, away))
        return step
