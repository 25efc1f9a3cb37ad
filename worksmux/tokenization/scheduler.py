"""Decides what is counted when, what is bounded and what is turned away.  Free of I/O; time is passed in.

A prompt whose pieces are all kept is counted at once.  Else its missing bytes wait in one of two lanes: short
ones must not stand behind a pasted log, so long ones have workers of their own.  Within a queue the earliest
promised time is next.  A prompt may wait for its count for a part of its promised time; after that it goes on
with a bound that no count exceeds (a byte-level token covers a byte at least), and is corrected if the count
comes before its first trip has ended.  A prompt that may be over its offering's limit is never let through on
a bound.  The line is bounded in bytes: what does not fit goes on by its bound where that is within its limit,
and is deferred where it is not.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

from ..policy.sliding_window import SlidingWindow

WAIT = 0.15  # of the promised time: a count is waited for that long
PATIENCE = 20.0  # times the usual time for its bytes, before a worker counts as hung
LEAST_PATIENCE = 0.5  # of the time limit given in the settings: no worker is suspected sooner
RATE_MEMORY = 10_000.0  # milliseconds
POISON = 2  # workers that one prompt may cost


class Verdict(Enum):
    COUNTED = "counted"  # the exact count is known
    WAIT = "wait"  # in the line; its job waits for it, for a time
    BOUND = "bound"  # go on with the bound
    TOO_LONG = "too long"  # over the offering's limit: refused before any trip
    REJECT = "defer"  # may be too long and cannot be counted in time


@dataclass(eq=False, slots=True)
class Ask:
    """A prompt to be counted; lengths in bytes and tokens, times in milliseconds."""

    known: int  # tokens of the pieces that are kept
    missing: int  # bytes of those that are not
    limit: int  # tokens that its offering allows
    longest_token: int  # bytes
    promised_time: float
    now: float
    version: int = 0
    wait_until: float = 0.0
    waits: bool = False  # its job waits for the count
    long: bool = False
    workers_lost: int = 0
    begun: float = 0.0
    over: bool = False

    @property
    def most(self) -> int:
        """No count is higher: a token covers at least one byte."""
        return self.known + self.missing

    @property
    def least(self) -> int:
        """No count is lower: no token covers more bytes than the longest."""
        return self.known + -(-self.missing // max(1, self.longest_token))


@dataclass
class CountQueue:
    """The line of one size of prompt."""

    workers: int
    waiting: list[tuple[float, int, Ask]] = field(default_factory=list)
    bytes: int = 0  # waiting and being counted


class CountScheduler:
    """One for each front.  `long` is the size from which a prompt is long; `bound` the bytes that may
    wait."""

    def __init__(
        self, long: int, bound: int, short_workers: int, long_workers: int, time_limit: float
    ) -> None:
        self.long, self.bound, self.time_limit = long, bound, time_limit
        self.queues = {False: CountQueue(short_workers), True: CountQueue(long_workers)}
        self.rate = SlidingWindow(RATE_MEMORY, 10)  # milliseconds for a byte
        self.order = count()
        self.deadlines: list[tuple[float, int, Ask]] = []
        self.refused = 0

    def arrive(self, ask: Ask) -> Verdict:
        """What becomes of a prompt that has come; WAIT puts it into the line."""
        if ask.least > ask.limit:
            self.refused += 1
            return Verdict.TOO_LONG
        if not ask.missing:
            return Verdict.COUNTED
        ask.long = ask.missing > self.long
        queue = self.queues[ask.long]
        if sum(one.bytes for one in self.queues.values()) + ask.missing > self.bound:
            return self._without(ask)
        wait = self._wait(queue, ask)
        ask.wait_until = ask.now + WAIT * ask.promised_time
        safe = ask.most <= ask.limit
        if not safe and ask.now + wait > ask.now + ask.promised_time:
            return self._without(ask)  # its count would come after its promised time
        if not safe:
            ask.wait_until = ask.now + ask.promised_time / 2
        ask.waits = not (safe and ask.now + wait > ask.wait_until)
        queue.bytes += ask.missing
        heapq.heappush(queue.waiting, (ask.now + ask.promised_time, next(self.order), ask))
        if not ask.waits:
            return Verdict.BOUND  # counted all the same, to correct it and to keep its pieces
        heapq.heappush(self.deadlines, (ask.wait_until, next(self.order), ask))
        return Verdict.WAIT

    def _without(self, ask: Ask) -> Verdict:
        """A prompt that is not going to be counted in time."""
        if ask.most <= ask.limit:
            return Verdict.BOUND
        return Verdict.REJECT

    def _wait(self, queue: CountQueue, ask: Ask) -> float:
        per_byte = self.rate.mean(ask.now)
        return per_byte * (queue.bytes / queue.workers + ask.missing)

    def next(self, long: bool) -> Ask | None:
        """The prompt that a free worker of this queue should count now."""
        waiting = self.queues[long].waiting
        while waiting:
            ask = heapq.heappop(waiting)[2]
            if not ask.over:
                return ask
        return None

    def begin(self, ask: Ask, now: float) -> float:
        """A worker starts on it; returns the time until that worker counts as hung."""
        ask.begun = now
        usual = self.rate.mean(now) * ask.missing
        return max(LEAST_PATIENCE * self.time_limit, min(self.time_limit, PATIENCE * usual))

    def done(self, ask: Ask, now: float) -> None:
        """Its missing pieces are counted."""
        self._out(ask)
        self.rate.add(now, now - ask.begun, max(1, ask.missing))

    def lost(self, ask: Ask, now: float) -> Verdict:
        """Its worker has died or hung.  Back to the line, unless it has cost too many: then by its bound."""
        ask.workers_lost += 1
        if ask.workers_lost < POISON:
            heapq.heappush(
                self.queues[ask.long].waiting, (ask.now + ask.promised_time, next(self.order), ask)
            )
            return Verdict.WAIT
        self._out(ask)
        return self._without(ask)

    def gone(self, ask: Ask) -> None:
        """Nobody needs it any more."""
        if not ask.over:
            self._out(ask)

    def _out(self, ask: Ask) -> None:
        if not ask.over:
            ask.over = True
            self.queues[ask.long].bytes -= ask.missing

    def late(self, now: float) -> list[tuple[Ask, Verdict]]:
        """Those that have waited long enough, and what becomes of them; their counts may still come."""
        found = []
        while self.deadlines and self.deadlines[0][0] <= now:
            ask = heapq.heappop(self.deadlines)[2]
            if ask.waits and not ask.over:
                ask.waits = False
                found.append((ask, self._without(ask)))
        return found

    def next_deadline(self) -> float | None:
        while self.deadlines and (self.deadlines[0][2].over or not self.deadlines[0][2].waits):
            heapq.heappop(self.deadlines)
        return self.deadlines[0][0] if self.deadlines else None
