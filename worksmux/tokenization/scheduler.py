"""Schedules the counting of prompts: which prompt is counted next, and which proceeds without a count.

The scheduler does no I/O; callers pass the time in.

A prompt whose pieces are all cached is counted at once.  Otherwise its missing bytes wait in one of two
queues.  Long prompts have their own queue and workers, so that short prompts do not wait behind a pasted log
file.  Within a queue the prompt with the earliest latency target is next.

A prompt waits for its count for a part of its latency target.  After that it proceeds with an upper bound
that no count exceeds (a token of a byte-level tokenizer covers at least one byte), and is corrected if the
count arrives before its first attempt ends.  A prompt that may exceed the limit of its request class never
proceeds with a bound.

The queues are bounded in bytes: a prompt that does not fit proceeds with its upper bound if that is within
its limit, and is rejected otherwise.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

from ..policy.sliding_window import SlidingWindow

WAIT_SHARE = 0.15  # of the latency target: how long a request waits for its count
HANG_MULTIPLE = 20.0  # of the usual time for the bytes; a worker that takes longer counts as hung
MIN_HANG_SHARE = 0.5  # of the time limit in the settings: no worker counts as hung earlier
RATE_WINDOW_MS = 10_000.0
MAX_WORKERS_LOST = 2  # workers that one prompt may kill or hang


class Verdict(Enum):
    """What happens to a prompt: it is counted, waits, proceeds with a bound, or is rejected."""

    COUNTED = "counted"  # the exact count is known
    WAIT = "wait"  # queued; its request waits for the count, for a limited time
    UPPER_BOUND = "bound"  # the request proceeds with the upper bound
    TOO_LONG = "too long"  # over the limit of its request class: rejected before any attempt
    REJECT = "defer"  # may be too long and cannot be counted in time


@dataclass(eq=False, slots=True)
class CountRequest:
    """A prompt to be counted."""

    known: int  # tokens of the cached pieces
    missing: int  # bytes of the other pieces
    limit: int  # tokens that its request class allows
    longest_token: int  # bytes
    latency_target_ms: float
    arrived_at: float
    version: int = 0
    wait_until: float = 0.0
    waits: bool = False  # its request waits for the count
    long: bool = False
    workers_lost: int = 0
    started_at: float = 0.0
    finished: bool = False

    @property
    def max_tokens(self) -> int:
        """The upper bound of the count: a token covers at least one byte."""
        return self.known + self.missing

    @property
    def min_tokens(self) -> int:
        """The lower bound of the count: no token covers more bytes than the longest token."""
        return self.known + -(-self.missing // max(1, self.longest_token))


@dataclass
class CountQueue:
    """The waiting prompts of one size class, long or short."""

    workers: int
    waiting: list[tuple[float, int, CountRequest]] = field(default_factory=list)
    bytes: int = 0  # waiting and being counted


class CountScheduler:
    """Schedules the counts of one gateway.

    `long` is the size in bytes above which a prompt is long.  `bound` limits the bytes in both queues.
    """

    def __init__(
        self, long: int, bound: int, short_workers: int, long_workers: int, time_limit: float
    ) -> None:
        self.long, self.bound, self.time_limit = long, bound, time_limit
        self.queues = {False: CountQueue(short_workers), True: CountQueue(long_workers)}
        self.ms_per_byte = SlidingWindow(RATE_WINDOW_MS, 10)
        self.order = count()
        self.deadlines: list[tuple[float, int, CountRequest]] = []
        self.refused = 0

    def arrive(self, request: CountRequest) -> Verdict:
        """Decides about a new prompt, and queues it if it is to be counted."""
        if request.min_tokens > request.limit:
            self.refused += 1
            return Verdict.TOO_LONG
        if not request.missing:
            return Verdict.COUNTED
        request.long = request.missing > self.long
        queue = self.queues[request.long]
        if sum(each.bytes for each in self.queues.values()) + request.missing > self.bound:
            return self._without_count(request)
        wait_ms = self._expected_wait_ms(queue, request)
        request.wait_until = request.arrived_at + WAIT_SHARE * request.latency_target_ms
        surely_fits = request.max_tokens <= request.limit
        if not surely_fits and request.arrived_at + wait_ms > request.arrived_at + request.latency_target_ms:
            return self._without_count(request)  # its count would arrive after its latency target
        if not surely_fits:
            request.wait_until = request.arrived_at + request.latency_target_ms / 2
        request.waits = not (surely_fits and request.arrived_at + wait_ms > request.wait_until)
        queue.bytes += request.missing
        heapq.heappush(
            queue.waiting, (request.arrived_at + request.latency_target_ms, next(self.order), request)
        )
        if not request.waits:
            return Verdict.UPPER_BOUND  # still counted, to correct the bound and to cache its pieces
        heapq.heappush(self.deadlines, (request.wait_until, next(self.order), request))
        return Verdict.WAIT

    def _without_count(self, request: CountRequest) -> Verdict:
        """The verdict on a prompt that will not be counted in time."""
        if request.max_tokens <= request.limit:
            return Verdict.UPPER_BOUND
        return Verdict.REJECT

    def _expected_wait_ms(self, queue: CountQueue, request: CountRequest) -> float:
        ms_per_byte = self.ms_per_byte.mean(request.arrived_at)
        return ms_per_byte * (queue.bytes / queue.workers + request.missing)

    def next(self, long: bool) -> CountRequest | None:
        """Takes the prompt that an idle worker of this queue counts next; None if the queue is empty."""
        waiting = self.queues[long].waiting
        while waiting:
            request = heapq.heappop(waiting)[2]
            if not request.finished:
                return request
        return None

    def begin(self, request: CountRequest, now: float) -> float:
        """Records that a worker starts a count; returns the time after which that worker counts as hung."""
        request.started_at = now
        usual_ms = self.ms_per_byte.mean(now) * request.missing
        return max(MIN_HANG_SHARE * self.time_limit, min(self.time_limit, HANG_MULTIPLE * usual_ms))

    def done(self, request: CountRequest, now: float) -> None:
        """Records that the missing pieces of a prompt are counted."""
        self._finish(request)
        self.ms_per_byte.add(now, now - request.started_at, max(1, request.missing))

    def lost(self, request: CountRequest, now: float) -> Verdict:
        """Records that the worker of a count died or hung.

        The prompt is queued again.  After MAX_WORKERS_LOST lost workers it proceeds without a count.
        """
        request.workers_lost += 1
        if request.workers_lost < MAX_WORKERS_LOST:
            heapq.heappush(
                self.queues[request.long].waiting,
                (request.arrived_at + request.latency_target_ms, next(self.order), request),
            )
            return Verdict.WAIT
        self._finish(request)
        return self._without_count(request)

    def cancel(self, request: CountRequest) -> None:
        """Drops a prompt whose count is not needed any more."""
        if not request.finished:
            self._finish(request)

    def _finish(self, request: CountRequest) -> None:
        if not request.finished:
            request.finished = True
            self.queues[request.long].bytes -= request.missing

    def expire(self, now: float) -> list[tuple[CountRequest, Verdict]]:
        """The prompts whose wait is over, with their verdicts; their counts may still arrive."""
        expired = []
        while self.deadlines and self.deadlines[0][0] <= now:
            request = heapq.heappop(self.deadlines)[2]
            if request.waits and not request.finished:
                request.waits = False
                expired.append((request, self._without_count(request)))
        return expired

    def next_deadline(self) -> float | None:
        """The time at which the next wait ends; None if no request waits."""
        while self.deadlines and (self.deadlines[0][2].finished or not self.deadlines[0][2].waits):
            heapq.heappop(self.deadlines)
        return self.deadlines[0][0] if self.deadlines else None
