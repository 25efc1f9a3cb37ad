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

MAX_WAIT_SHARE = 0.05  # of the time until an answer is promised: how long a small call waits for others
SMALL_REQUEST_SHARE = 0.5  # of a load: what is larger goes alone
RETRY_PAUSE_SHARE = 0.02  # of the same time: before what was deferred goes out again


class BatchFailure(Enum):
    """How a batch ended without all of its results."""

    REJECTED = "deferred"  # it has had no effect; nobody could take it in time
    ABORTED = "broken off"  # its time or its trips ran out


@dataclass(frozen=True)
class BatchLimits:
    """Of one load: tokens and inputs; `may_join` is off where a load can serve one call alone."""

    max_tokens: float
    max_inputs: int
    may_join: bool = True


@dataclass(eq=False, slots=True)
class BatchedRequest:
    """One client's call; `costs` are tokens by input."""

    costs: list[float]
    group: Hashable  # calls of one group may share a load
    limits: BatchLimits
    arrived_at: float
    latency_target_at: float
    deadline: float
    item: Any = None
    results: list[Any] = field(default_factory=list)
    missing: int = 0
    batches: dict[InputBatch, None] = field(default_factory=dict)
    ended: bool = False

    def __post_init__(self) -> None:
        self.results = [None] * len(self.costs)
        self.missing = len(self.costs)


@dataclass(eq=False, slots=True)
class InputBatch:
    """What one engine is asked at once: inputs of one or more calls, (call, index) in order."""

    inputs: list[tuple[BatchedRequest, int]]
    group: Hashable
    cost: float
    deadline: float
    number: int = 0
    ended: bool = False

    def missing_inputs(self) -> list[tuple[BatchedRequest, int]]:
        """What is still asked for: the next trip's inputs, in order."""
        return [(call, at) for call, at in self.inputs if not call.ended and call.results[at] is None]

    def requests(self) -> list[BatchedRequest]:
        return list(dict.fromkeys(call for call, _ in self.inputs))

    def missing_inputs_by_request(self) -> list[tuple[BatchedRequest, list[int]]]:
        """Each call that is not over with those of its inputs that are still asked for."""
        found: dict[BatchedRequest, list[int]] = {call: [] for call in self.requests() if not call.ended}
        for call, at in self.missing_inputs():
            found[call].append(at)
        return list(found.items())


@dataclass(slots=True)
class RequestResult:
    """A call's one final answer: all results, or how it ended, or the message of a bad input."""

    request: BatchedRequest
    failure: BatchFailure | None = None
    input_error: str = ""


@dataclass(slots=True)
class Step:
    send: list[InputBatch] = field(default_factory=list)
    send_later: list[tuple[float, InputBatch]] = field(default_factory=list)  # at that time
    cancel: list[InputBatch] = field(default_factory=list)  # nobody needs them: called off
    results: list[RequestResult] = field(default_factory=list)


class Planner:
    """`may_retry` tells whether a part may be sent again: the budget for repeats."""

    def __init__(self, may_retry: Callable[[BatchedRequest], bool]) -> None:
        self.may_retry = may_retry
        self.open_batches: dict[Hashable, InputBatch] = {}
        self.flush_at: dict[Hashable, float] = {}
        self.in_flight: dict[Hashable, int] = {}
        self.last_number = 0

    # Calls.

    def add(self, now: float, call: BatchedRequest) -> Step:
        step = Step()
        if not call.costs:
            call.ended = True
            step.results.append(RequestResult(call))
            return step
        total = sum(call.costs)
        small = (
            call.limits.may_join
            and total <= SMALL_REQUEST_SHARE * call.limits.max_tokens
            and len(call.costs) <= SMALL_REQUEST_SHARE * call.limits.max_inputs
        )
        if small and self.in_flight.get(call.group, 0):
            self._join(now, call, total, step)
        else:
            for part in split(call.costs, call.limits):
                self._send(self._alone(call, part), step)
        return step

    @staticmethod
    def _alone(call: BatchedRequest, inputs: list[int]) -> InputBatch:
        """A load of one call's inputs."""
        return InputBatch(
            [(call, at) for at in inputs], call.group, sum(call.costs[at] for at in inputs), call.deadline
        )

    def _join(self, now: float, call: BatchedRequest, total: float, step: Step) -> None:
        load = self.open_batches.get(call.group)
        if load is not None and not self._fits(load, call, total):
            self._flush(call.group, step)
            load = None
        if load is None:
            load = self.open_batches[call.group] = InputBatch([], call.group, 0.0, call.deadline)
            self.flush_at[call.group] = float("inf")
        load.inputs += [(call, at) for at in range(len(call.costs))]
        load.cost += total
        load.deadline = min(load.deadline, call.deadline)
        call.batches[load] = None
        self.flush_at[call.group] = min(
            self.flush_at[call.group], now + MAX_WAIT_SHARE * max(0.0, call.latency_target_at - now)
        )
        if (
            load.cost >= call.limits.max_tokens * (1 - SMALL_REQUEST_SHARE / 2)
            or len(load.inputs) >= call.limits.max_inputs
        ):
            self._flush(call.group, step)

    @staticmethod
    def _fits(load: InputBatch, call: BatchedRequest, total: float) -> bool:
        ends = min(load.deadline, call.deadline)
        return (
            load.cost + total <= call.limits.max_tokens
            and len(load.inputs) + len(call.costs) <= call.limits.max_inputs
            and ends >= max(call.latency_target_at, *(other.latency_target_at for other in load.requests()))
        )

    def _flush(self, group: Hashable, step: Step) -> None:
        load = self.open_batches.pop(group, None)
        self.flush_at.pop(group, None)
        if load is not None and load.missing_inputs():
            self._send(load, step)

    def _send(self, load: InputBatch, step: Step, at: float | None = None) -> None:
        self.last_number += 1
        load.number = self.last_number
        for call in load.requests():
            call.batches[load] = None
        self.in_flight[load.group] = self.in_flight.get(load.group, 0) + 1
        if at is None:
            step.send.append(load)
        else:
            step.send_later.append((at, load))

    def tick(self, now: float) -> Step:
        """Sends what has waited long enough for others."""
        step = Step()
        for group in [group for group, until in self.flush_at.items() if until <= now]:
            self._flush(group, step)
        return step

    def next_time(self) -> float | None:
        return min(self.flush_at.values(), default=None)

    def client_disconnected(self, call: BatchedRequest) -> Step:
        """Its client has hung up."""
        step = Step()
        self._over(call, step)
        return step

    # Loads.

    def add_results(
        self, load: InputBatch, asked: list[tuple[BatchedRequest, int]], results: dict[int, Any]
    ) -> None:
        """Some results of a trip that failed, by position in what it asked for; the rest is asked again."""
        for position, result in results.items():
            call, at = asked[position]
            if not call.ended and call.results[at] is None:
                call.results[at] = result
                call.missing -= 1

    def batch_served(
        self, load: InputBatch, asked: list[tuple[BatchedRequest, int]], results: dict[int, Any]
    ) -> Step:
        """All results of a trip."""
        step = Step()
        self._ended(load)
        self.add_results(load, asked, results)
        for call in load.requests():
            self._maybe_done(call, step)
        return step

    @staticmethod
    def _maybe_done(call: BatchedRequest, step: Step) -> None:
        if not call.ended and not call.missing:
            call.ended = True
            step.results.append(RequestResult(call))

    def batch_failed(self, now: float, load: InputBatch, failure: BatchFailure) -> Step:
        step = Step()
        self._ended(load)
        for call, needed in load.missing_inputs_by_request():
            if not needed:
                self._maybe_done(call, step)  # its last results came by a trip that failed
                continue
            pause = RETRY_PAUSE_SHARE * max(0.0, call.latency_target_at - call.arrived_at)
            if now + 2 * pause < min(call.latency_target_at, call.deadline) and self.may_retry(call):
                self._send(self._alone(call, needed), step, now + pause)
            else:
                self._over(call, step)
                step.results.append(RequestResult(call, failure))
        return step

    def input_rejected(self, load: InputBatch, message: str) -> Step:
        """The engine calls the input bad."""
        step = Step()
        self._ended(load)
        joined = len(load.requests()) > 1  # also where only one is left: it may not be the bad one
        for call, needed in load.missing_inputs_by_request():
            if not needed:
                self._maybe_done(call, step)
            elif joined:
                self._send(self._alone(call, needed), step)
            else:
                self._over(call, step)
                step.results.append(
                    RequestResult(call, input_error=message or "the engine refused the input")
                )
        return step

    def _ended(self, load: InputBatch) -> None:
        if load.ended:
            return
        load.ended = True
        for call in load.requests():
            call.batches.pop(load, None)
        left = self.in_flight.get(load.group, 0) - 1
        if left > 0:
            self.in_flight[load.group] = left
        else:
            self.in_flight.pop(load.group, None)

    def _over(self, call: BatchedRequest, step: Step) -> None:
        """Nothing more is wanted for it."""
        call.ended = True
        for load in list(call.batches):
            if not load.missing_inputs():
                if self.open_batches.get(load.group) is load:
                    del self.open_batches[load.group]
                    del self.flush_at[load.group]
                else:
                    self._ended(load)
                    step.cancel.append(load)
        call.batches.clear()


def split(costs: list[float], limits: BatchLimits) -> list[list[int]]:
    """Indices in contiguous parts of like cost, each within the limits; an input over the bound goes alone.

    >>> split([4.0, 4.0, 4.0, 4.0, 30.0, 1.0], BatchLimits(12.0, 3))
    [[0, 1, 2], [3], [4], [5]]
    >>> split([1.0] * 8, BatchLimits(5.0, 100))
    [[0, 1, 2, 3], [4, 5, 6, 7]]
    """
    count = max(ceil(sum(costs) / limits.max_tokens), ceil(len(costs) / limits.max_inputs), 1)
    target = min(limits.max_tokens, max(sum(costs) / count, max(costs, default=0.0)))
    parts: list[list[int]] = []
    size = 0.0
    for at, cost in enumerate(costs):
        full = parts and (
            size + cost > limits.max_tokens
            or len(parts[-1]) >= limits.max_inputs
            or size + cost / 2 > target
            and size >= target / 2
        )
        if not parts or full:
            parts.append([])
            size = 0.0
        parts[-1].append(at)
        size += cost
    return parts
