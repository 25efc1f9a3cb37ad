"""The admission controller: admits, queues or rejects each request of a single-stage request class.

A new request passes four checks in this order:

1. Load shedding rejects it if the gateway itself is overloaded.
2. The retry budget limits retry storms.
3. The expected wait: a request that could not be served in time is rejected early, so that no work is spent
   on it.
4. The limit of the queue: requests of the caller with the most queued cost are displaced.

Queued requests are admitted by deficit round robin, first over request classes by weight, then over callers,
as far as the concurrency limit of their engines allows.  A queued request that has waited too long is
rejected and never sent.

Costs are in tokens, times in milliseconds.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from ..policy.random_source import RandomSource
from .concurrency_limit import ConcurrencyLimit
from .fair_queue import DeficitRoundRobin, FairQueue, QueuedItem
from .overload import LoadShedder, Pressure
from .retry_budget import RejectionHistory, RetryAfterSchedule, RetryBudget

MAX_SHARE_OF_TIME_LEFT = 0.8  # a request that is expected to take more of it is rejected
SMALL_ITEM_SHARE = 1 / 4  # of the cost of the largest batch
MAX_REMEMBERED_REJECTIONS = 100_000  # per generation of RejectionHistory


class RejectReason(Enum):
    """Why a request was rejected; the values are used in answers and metrics."""

    GATEWAY_OVERLOADED = "the front itself is short"
    RETRY_BUDGET_EMPTY = "too many repeats"
    TOO_LATE = "it could not be served in time"
    QUEUE_FULL = "the line is full"
    DISPLACED = "others were served before it"


class RequestState(Enum):
    """Where a request stands in admission."""

    NEW = auto()
    QUEUED = auto()
    ADMITTED = auto()
    ENDED = auto()


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """The settings of a request class for admission."""

    name: str
    value: float  # the credit for a request of typical size
    weight: float  # determines its share of its engine pool
    max_part_cost: float
    max_queued_cost: float
    max_queued_requests: int
    latency_target_ms: float
    pool: str = ""  # request classes of one pool are served by the same engines


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """The settings of the controller."""

    request_classes: list[ClassSettings]
    retry_ratio: float  # retries per first attempt
    retry_burst: float  # retries allowed beyond the ratio
    min_retry_after_ms: float
    max_retry_after_ms: float
    shed_rise_ms: float  # see `LoadShedder`
    shed_fall_ms: float


@dataclass(eq=False, slots=True)
class AdmissionRequest:
    """One request; `item` belongs to the user of the controller, which does not read it."""

    request_class: int
    caller: Hashable
    cost: float
    arrived_at: float
    latency_target_at: float
    deadline: float
    is_retry: bool = False
    content_hash: int = 0  # of the caller and the body
    item: Any = None
    queued: QueuedItem[AdmissionRequest] | None = None
    state: RequestState = RequestState.NEW

    @property
    def serve_by(self) -> float:
        """The time by which the request must be served."""
        return min(self.latency_target_at, self.deadline)


@dataclass(frozen=True, eq=False, slots=True)
class Rejection:
    """A request to reject, with the delay after which its client may retry."""

    request: AdmissionRequest
    reason: RejectReason
    retry_after_ms: float


@dataclass(slots=True)
class AdmissionResult:
    """The effects of an event: requests to send now, and requests to reject."""

    admitted: list[AdmissionRequest] = field(default_factory=list)
    rejected: list[Rejection] = field(default_factory=list)


class EnginePool:
    """Request classes that are served by the same engines: their queues share one concurrency limit."""

    def __init__(
        self,
        request_classes: list[int],
        settings: list[ClassSettings],
        queues: list[FairQueue[AdmissionRequest]],
    ) -> None:
        """`settings` and `queues` are of all request classes; `request_classes` numbers those of the pool."""
        self.request_classes = request_classes
        pool_classes = [settings[request_class] for request_class in request_classes]
        max_part_cost = max(each.max_part_cost for each in pool_classes)
        self.limit = ConcurrencyLimit(
            SMALL_ITEM_SHARE * max_part_cost,
            2 * max_part_cost,
            min(each.latency_target_ms for each in pool_classes),
        )
        self._queue_of = {request_class: queues[request_class] for request_class in request_classes}
        self._weight_of = {request_class: settings[request_class].weight for request_class in request_classes}
        self._scheduler = DeficitRoundRobin(
            [queues[request_class] for request_class in request_classes],
            [each.weight for each in pool_classes],
            max_part_cost / min(each.weight for each in pool_classes),
        )

    def queued_cost(self) -> float:
        """The cost of all queued requests of the pool."""
        return sum(queue.cost for queue in self._scheduler.queues)

    def is_idle_for(self, cost: float) -> bool:
        """Whether no request is queued and one of this cost could be sent at once."""
        return not self.queued_cost() and self.limit.allows(cost)

    def next_request(self) -> AdmissionRequest | None:
        """Takes the next queued request; None if there is none or the concurrency limit is reached."""
        return self._scheduler.pop_if(self.limit.allows)

    def expected_wait_ms(self, now: float, request: AdmissionRequest) -> float:
        """The expected time in the queue and at the engine, from recent throughput; 0 if it is unknown."""
        throughput = self.limit.throughput(now)
        if throughput <= 0 or not self.queued_cost():
            return 0.0
        return self._cost_ahead(request) / throughput + self.limit.expected_latency_ms(now, request.cost)

    def _cost_ahead(self, request: AdmissionRequest) -> float:
        """The approximate cost served until the request ends.

        That is the cost ahead of it in its own queue, scaled by the weights of the queues that are not empty.
        """
        own_queue = self._queue_of[request.request_class]
        cost_in_queue = own_queue.cost_ahead(request.caller, request.cost)
        total_weight = sum(
            self._weight_of[request_class]
            for request_class, queue in self._queue_of.items()
            if queue.count or queue is own_queue
        )
        own_weight = self._weight_of[request.request_class]
        return min(self.queued_cost() + request.cost, cost_in_queue * total_weight / own_weight)


class AdmissionController:
    """Admission control of one gateway.  Each method takes an event with its time and returns the result.

    Request classes are numbered in the order of the settings.
    """

    def __init__(self, settings: AdmissionSettings, seed: int) -> None:
        classes = settings.request_classes
        self._random = RandomSource(seed)
        self.queues: list[FairQueue[AdmissionRequest]] = [
            FairQueue(each.max_part_cost, each.max_queued_cost, each.max_queued_requests) for each in classes
        ]
        pools = self._make_pools(classes)
        self._pools = pools
        self._pool_of = {number: pool for pool in pools for number in pool.request_classes}
        self._retry_after = [
            RetryAfterSchedule(settings.min_retry_after_ms, settings.max_retry_after_ms, seed + number + 1)
            for number in range(len(classes))
        ]
        self._budgets = [RetryBudget(settings.retry_ratio, settings.retry_burst) for _ in classes]
        self.rejections = RejectionHistory(2 * settings.max_retry_after_ms, MAX_REMEMBERED_REJECTIONS)
        self.shedder = LoadShedder(
            [each.value for each in classes], settings.shed_rise_ms, settings.shed_fall_ms
        )
        self._expiries: list[tuple[float, int, AdmissionRequest]] = []  # a heap by `serve_by`
        self._expiry_number = 0

    def _make_pools(self, classes: list[ClassSettings]) -> list[EnginePool]:
        names = dict.fromkeys(each.pool for each in classes)
        return [
            EnginePool(
                [number for number, each in enumerate(classes) if each.pool == name], classes, self.queues
            )
            for name in names
        ]

    def arrived(self, now: float, request: AdmissionRequest) -> AdmissionResult:
        """Admits, queues or rejects a new request, which may displace queued ones."""
        result = AdmissionResult()
        reason = self._reason_to_reject(now, request)
        if reason is not None:
            self._reject(now, request, reason, result)
            return result
        queue = self.queues[request.request_class]
        queued, displaced = queue.put(request.caller, request, request.cost)
        for other in displaced:
            self._reject(now, other, RejectReason.DISPLACED, result)
        if queued is None:
            self._reject(now, request, RejectReason.QUEUE_FULL, result)
            return result
        request.queued, request.state = queued, RequestState.QUEUED
        self._expiry_number += 1
        heapq.heappush(self._expiries, (request.serve_by, self._expiry_number, request))
        self._admit(now, result, self._pool_of[request.request_class])
        return result

    def ended(
        self, now: float, request: AdmissionRequest, elapsed_ms: float, accepted: bool
    ) -> AdmissionResult:
        """Records that an admitted request has its final answer, or that its client has disconnected.

        `elapsed_ms` is the time since its admission; `accepted` is false if the engines rejected it.
        """
        result = AdmissionResult()
        if request.state is RequestState.ADMITTED:
            request.state = RequestState.ENDED
            pool = self._pool_of[request.request_class]
            pool.limit.ended(now, request.cost, elapsed_ms, accepted)
            self._admit(now, result, pool)
        return result

    def client_disconnected(self, request: AdmissionRequest) -> None:
        """Removes a queued request from its queue."""
        if request.state is RequestState.QUEUED:
            self._dequeue(request)
            request.state = RequestState.ENDED

    def may_retry(self, request_class: int) -> bool:
        """Whether a failed batch may be sent again; it takes from the retry budget like a client's retry."""
        is_idle = self._pool_of[request_class].is_idle_for(0.0)
        return is_idle or self._budgets[request_class].try_retry()

    def sheds(self, request_class: int) -> bool:
        """Whether load shedding rejects a request; chat uses only this check, as it has no queue here."""
        return self.shedder.sheds(request_class, self._random.share())

    def update_pressure(self, now: float, pressure: Pressure) -> None:
        """Updates load shedding; must be called regularly, see `LoadShedder.update`."""
        self.shedder.update(now, pressure)

    def tick(self, now: float) -> AdmissionResult:
        """Rejects queued requests that have waited too long, and admits others."""
        result = AdmissionResult()
        while self._expiries and (self._expiries[0][0] <= now or not self._first_expiry_is_queued()):
            request = heapq.heappop(self._expiries)[2]
            if request.state is RequestState.QUEUED:
                self._dequeue(request)
                self._reject(now, request, RejectReason.TOO_LATE, result)
        for pool in self._pools:
            self._admit(now, result, pool)
        return result

    def next_time(self) -> float | None:
        """Returns when `tick` is due next; None if no request is queued."""
        while self._expiries and not self._first_expiry_is_queued():
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def _first_expiry_is_queued(self) -> bool:
        return self._expiries[0][2].state is RequestState.QUEUED

    def _reason_to_reject(self, now: float, request: AdmissionRequest) -> RejectReason | None:
        """The reason of the first check that a new request fails; None if it passes all."""
        if self.sheds(request.request_class):
            return RejectReason.GATEWAY_OVERLOADED
        request.is_retry = request.is_retry or self.rejections.contains(now, request.content_hash)
        if not self._within_retry_budget(request):
            return RejectReason.RETRY_BUDGET_EMPTY
        pool = self._pool_of[request.request_class]
        if pool.expected_wait_ms(now, request) > MAX_SHARE_OF_TIME_LEFT * (request.serve_by - now):
            return RejectReason.TOO_LATE
        return None

    def _within_retry_budget(self, request: AdmissionRequest) -> bool:
        """Whether a request needs no token of the retry budget, or gets one.

        Failure: engines are idle while callers that were rejected once are rejected again and again.  A retry
        does harm only if other requests wait, so one that could be sent at once needs no token.
        """
        budget = self._budgets[request.request_class]
        if not request.is_retry:
            budget.first_attempt()
            return True
        return self._pool_of[request.request_class].is_idle_for(request.cost) or budget.try_retry()

    def _admit(self, now: float, result: AdmissionResult, pool: EnginePool) -> None:
        """Admits queued requests as far as the limit allows; rejects those that would end too late."""
        while (request := pool.next_request()) is not None:
            expected_ms = pool.limit.expected_latency_ms(now, request.cost)
            if now + expected_ms / MAX_SHARE_OF_TIME_LEFT > request.serve_by:
                self._reject(now, request, RejectReason.TOO_LATE, result)
                continue
            request.state = RequestState.ADMITTED
            pool.limit.sent(now, request.cost)
            result.admitted.append(request)

    def _dequeue(self, request: AdmissionRequest) -> None:
        if request.queued is not None:
            self.queues[request.request_class].remove(request.caller, request.queued)

    def _reject(
        self, now: float, request: AdmissionRequest, reason: RejectReason, result: AdmissionResult
    ) -> None:
        request.state = RequestState.ENDED
        self.rejections.record(now, request.content_hash)
        pool = self._pool_of[request.request_class]
        retry_after_ms = self._retry_after[request.request_class].retry_after_ms(
            now, request.cost, pool.limit.throughput(now), pool.queued_cost()
        )
        result.rejected.append(Rejection(request, reason, retry_after_ms))
