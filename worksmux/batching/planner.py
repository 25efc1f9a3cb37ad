"""Divides requests with many inputs into batches for engines, and collects one final result for each request.

A request larger than a batch is split into contiguous parts of similar cost.  A small request may wait to
share a batch with others of its group:

- Only while other batches are in flight.  Otherwise engines are idle, and waiting gains nothing.
- For at most a share of the time left until its latency target.
- Only if no request's deadline is earlier than the latency target of another request in the batch.

Failures of a batch:

- An attempt returned some of the results: they are kept, and the next attempt sends the other inputs only.
- The batch was rejected or aborted: its missing inputs are sent again if the latency target and the retry
  budget allow; otherwise each request that needs them fails, and nothing more is sent for it.
- An engine rejected its input: a request in a batch of its own fails with that message; a shared batch is
  divided into one batch for each request, so that an invalid input affects no other request.
- A client disconnects: its inputs are no longer sent, and a batch without other inputs is cancelled.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from enum import Enum
from math import ceil
from typing import Any

MAX_WAIT_SHARE = 0.05  # of the time until the latency target: a small request waits this long for others
SMALL_REQUEST_SHARE = 0.5  # of the batch limits: a larger request shares no batch
RETRY_PAUSE_SHARE = 0.02  # of the time from arrival to latency target: the pause before a retry


class BatchFailure(Enum):
    """Why a batch ended without all of its results."""

    REJECTED = "deferred"  # nothing was executed; no engine could accept it in time
    ABORTED = "broken off"  # its deadline passed or its attempts were used up


@dataclass(frozen=True)
class BatchLimits:
    """Limits of one batch; `may_join` is false if a batch can serve one request only."""

    max_tokens: float
    max_inputs: int
    may_join: bool = True


@dataclass(eq=False, slots=True)
class BatchedRequest:
    """One client's request; `costs` are the tokens of its inputs."""

    costs: list[float]
    group: Hashable  # requests of the same group may share a batch
    limits: BatchLimits
    arrived_at: float
    latency_target_at: float
    deadline: float
    item: Any = None  # the caller's own
    results: list[Any] = field(default_factory=list)
    missing: int = 0  # inputs without a result
    batches: dict[InputBatch, None] = field(default_factory=dict)
    ended: bool = False

    def __post_init__(self) -> None:
        self.results = [None] * len(self.costs)
        self.missing = len(self.costs)


@dataclass(eq=False, slots=True)
class InputBatch:
    """Inputs of one or more requests for one engine, as (request, index) in order."""

    inputs: list[tuple[BatchedRequest, int]]
    group: Hashable
    cost: float
    deadline: float
    number: int = 0
    ended: bool = False

    def missing_inputs(self) -> list[tuple[BatchedRequest, int]]:
        """The inputs of the next attempt, in order: no result yet, and the request has not ended."""
        return [
            (request, index)
            for request, index in self.inputs
            if not request.ended and request.results[index] is None
        ]

    def requests(self) -> list[BatchedRequest]:
        """The requests that have inputs in the batch."""
        return list(dict.fromkeys(request for request, _ in self.inputs))

    def missing_inputs_by_request(self) -> list[tuple[BatchedRequest, list[int]]]:
        """Each request that has not ended, with the indices of its missing inputs in the batch."""
        indices: dict[BatchedRequest, list[int]] = {
            request: [] for request in self.requests() if not request.ended
        }
        for request, index in self.missing_inputs():
            indices[request].append(index)
        return list(indices.items())


@dataclass(slots=True)
class RequestResult:
    """The final result of a request: all results, the failure, or the message about an invalid input."""

    request: BatchedRequest
    failure: BatchFailure | None = None
    input_error: str = ""


@dataclass(slots=True)
class Step:
    """The effects of an event, which the caller carries out."""

    send: list[InputBatch] = field(default_factory=list)
    send_later: list[tuple[float, InputBatch]] = field(default_factory=list)  # with the time to send at
    cancel: list[InputBatch] = field(default_factory=list)  # batches that no request needs any more
    results: list[RequestResult] = field(default_factory=list)


class Planner:
    """Assigns inputs of requests to batches.

    `may_retry` returns whether a part of a request may be sent again, by the retry budget.
    """

    def __init__(self, may_retry: Callable[[BatchedRequest], bool]) -> None:
        self.may_retry = may_retry
        self.open_batches: dict[Hashable, InputBatch] = {}  # batches that wait for more requests, by group
        self.flush_at: dict[Hashable, float] = {}  # when an open batch is sent, by group
        self.in_flight: dict[Hashable, int] = {}  # count of batches, by group
        self.last_number = 0

    # Requests.

    def add(self, now: float, request: BatchedRequest) -> Step:
        """Plans a new request; one without inputs is served at once."""
        step = Step()
        if not request.costs:
            request.ended = True
            step.results.append(RequestResult(request))
            return step
        total_cost = sum(request.costs)
        is_small = (
            request.limits.may_join
            and total_cost <= SMALL_REQUEST_SHARE * request.limits.max_tokens
            and len(request.costs) <= SMALL_REQUEST_SHARE * request.limits.max_inputs
        )
        if is_small and self.in_flight.get(request.group, 0):
            self._join(now, request, total_cost, step)
        else:
            for part in split(request.costs, request.limits):
                self._send(self._own_batch(request, part), step)
        return step

    @staticmethod
    def _own_batch(request: BatchedRequest, indices: list[int]) -> InputBatch:
        """A batch of inputs of one request."""
        return InputBatch(
            [(request, index) for index in indices],
            request.group,
            sum(request.costs[index] for index in indices),
            request.deadline,
        )

    def _join(self, now: float, request: BatchedRequest, total_cost: float, step: Step) -> None:
        """Adds a request to the open batch of its group, and sends the batch if it is full."""
        batch = self.open_batches.get(request.group)
        if batch is not None and not self._fits(batch, request, total_cost):
            self._flush(request.group, step)
            batch = None
        if batch is None:
            batch = self.open_batches[request.group] = InputBatch([], request.group, 0.0, request.deadline)
            self.flush_at[request.group] = float("inf")
        batch.inputs += [(request, index) for index in range(len(request.costs))]
        batch.cost += total_cost
        batch.deadline = min(batch.deadline, request.deadline)
        request.batches[batch] = None
        self.flush_at[request.group] = min(
            self.flush_at[request.group], now + MAX_WAIT_SHARE * max(0.0, request.latency_target_at - now)
        )
        if (
            batch.cost >= request.limits.max_tokens * (1 - SMALL_REQUEST_SHARE / 2)
            or len(batch.inputs) >= request.limits.max_inputs
        ):
            self._flush(request.group, step)

    @staticmethod
    def _fits(batch: InputBatch, request: BatchedRequest, total_cost: float) -> bool:
        """Whether a batch with this request keeps the limits, and no deadline is before a latency target."""
        deadline = min(batch.deadline, request.deadline)
        return (
            batch.cost + total_cost <= request.limits.max_tokens
            and len(batch.inputs) + len(request.costs) <= request.limits.max_inputs
            and deadline
            >= max(request.latency_target_at, *(other.latency_target_at for other in batch.requests()))
        )

    def _flush(self, group: Hashable, step: Step) -> None:
        """Sends the open batch of a group, if any of its inputs is still needed."""
        batch = self.open_batches.pop(group, None)
        self.flush_at.pop(group, None)
        if batch is not None and batch.missing_inputs():
            self._send(batch, step)

    def _send(self, batch: InputBatch, step: Step, send_at: float | None = None) -> None:
        """Sends a batch, at once or at `send_at`; it counts as in flight from now on."""
        self.last_number += 1
        batch.number = self.last_number
        for request in batch.requests():
            request.batches[batch] = None
        self.in_flight[batch.group] = self.in_flight.get(batch.group, 0) + 1
        if send_at is None:
            step.send.append(batch)
        else:
            step.send_later.append((send_at, batch))

    def tick(self, now: float) -> Step:
        """Sends the open batches that have waited long enough for more requests."""
        step = Step()
        for group in [group for group, flush_at in self.flush_at.items() if flush_at <= now]:
            self._flush(group, step)
        return step

    def next_time(self) -> float | None:
        """Returns when `tick` is due next; None if no batch is open."""
        return min(self.flush_at.values(), default=None)

    def client_disconnected(self, request: BatchedRequest) -> Step:
        """Ends a request without a result."""
        step = Step()
        self._end_request(request, step)
        return step

    # Batches.

    def add_results(
        self, batch: InputBatch, sent: list[tuple[BatchedRequest, int]], results: dict[int, Any]
    ) -> None:
        """Stores the results of an attempt, by position in the inputs it `sent`; some may be missing."""
        for position, result in results.items():
            request, index = sent[position]
            if not request.ended and request.results[index] is None:
                request.results[index] = result
                request.missing -= 1

    def batch_served(
        self, batch: InputBatch, sent: list[tuple[BatchedRequest, int]], results: dict[int, Any]
    ) -> Step:
        """Ends a batch whose last attempt returned all missing results."""
        step = Step()
        self._end_batch(batch)
        self.add_results(batch, sent, results)
        for request in batch.requests():
            self._end_if_complete(request, step)
        return step

    @staticmethod
    def _end_if_complete(request: BatchedRequest, step: Step) -> None:
        if not request.ended and not request.missing:
            request.ended = True
            step.results.append(RequestResult(request))

    def batch_failed(self, now: float, batch: InputBatch, failure: BatchFailure) -> Step:
        """Ends a batch without all results: missing inputs are sent again, or their requests fail."""
        step = Step()
        self._end_batch(batch)
        for request, indices in batch.missing_inputs_by_request():
            if not indices:
                self._end_if_complete(request, step)  # an earlier attempt returned its last results
                continue
            pause = RETRY_PAUSE_SHARE * max(0.0, request.latency_target_at - request.arrived_at)
            if now + 2 * pause < min(request.latency_target_at, request.deadline) and self.may_retry(request):
                self._send(self._own_batch(request, indices), step, now + pause)
            else:
                self._end_request(request, step)
                step.results.append(RequestResult(request, failure))
        return step

    def input_rejected(self, batch: InputBatch, message: str) -> Step:
        """Ends a batch of which an engine rejected an input as invalid."""
        step = Step()
        self._end_batch(batch)
        was_shared = len(batch.requests()) > 1  # counts ended requests: theirs may be the invalid input
        for request, indices in batch.missing_inputs_by_request():
            if not indices:
                self._end_if_complete(request, step)
            elif was_shared:
                self._send(self._own_batch(request, indices), step)
            else:
                self._end_request(request, step)
                step.results.append(
                    RequestResult(request, input_error=message or "the engine refused the input")
                )
        return step

    def _end_batch(self, batch: InputBatch) -> None:
        if batch.ended:
            return
        batch.ended = True
        for request in batch.requests():
            request.batches.pop(batch, None)
        in_flight = self.in_flight.get(batch.group, 0) - 1
        if in_flight > 0:
            self.in_flight[batch.group] = in_flight
        else:
            self.in_flight.pop(batch.group, None)

    def _end_request(self, request: BatchedRequest, step: Step) -> None:
        """Ends a request, and cancels the batches that no other request needs."""
        request.ended = True
        for batch in list(request.batches):
            if not batch.missing_inputs():
                if self.open_batches.get(batch.group) is batch:
                    del self.open_batches[batch.group]
                    del self.flush_at[batch.group]
                else:
                    self._end_batch(batch)
                    step.cancel.append(batch)
        request.batches.clear()


def split(costs: list[float], limits: BatchLimits) -> list[list[int]]:
    """Divides inputs into contiguous parts of similar cost within the limits, given as indices.

    An input that exceeds the limit by itself is a part of its own.

    >>> split([4.0, 4.0, 4.0, 4.0, 30.0, 1.0], BatchLimits(12.0, 3))
    [[0, 1, 2], [3], [4], [5]]
    >>> split([1.0] * 8, BatchLimits(5.0, 100))
    [[0, 1, 2, 3], [4, 5, 6, 7]]
    """
    count = max(ceil(sum(costs) / limits.max_tokens), ceil(len(costs) / limits.max_inputs), 1)
    target_cost = min(limits.max_tokens, max(sum(costs) / count, max(costs, default=0.0)))
    parts: list[list[int]] = []
    part_cost = 0.0
    for index, cost in enumerate(costs):
        is_full = parts and (
            part_cost + cost > limits.max_tokens
            or len(parts[-1]) >= limits.max_inputs
            or part_cost + cost / 2 > target_cost
            and part_cost >= target_cost / 2
        )
        if not parts or is_full:
            parts.append([])
            part_cost = 0.0
        parts[-1].append(index)
        part_cost += cost
    return parts
