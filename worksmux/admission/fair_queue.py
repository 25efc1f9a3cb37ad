"""Fair queues served by deficit round robin: each flow gets its share of the service by cost.

Source: Shreedhar and Varghese, "Efficient Fair Queuing using Deficit Round Robin" (1995).  In each round a
flow with items gets a quantum times its weight, and is served while its deficit covers the next item.  No
flow falls behind its ideal share by more than one quantum and one largest item.  Taking the next item costs
O(1), because the quantum is at least the largest item, so each visit serves one.

A full queue displaces items of the flow with the most queued cost, so a flood displaces only its own items.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")

MAX_HEAP_ENTRIES_PER_FLOW = 4  # the heap is rebuilt beyond this, but not below SPARE_HEAP_ENTRIES
SPARE_HEAP_ENTRIES = 64
RELATIVE_TOLERANCE = 1e-9  # for rounding errors in sums


@dataclass(eq=False, slots=True)
class QueuedItem(Generic[T]):
    """An item and its cost; `removed` items have left the queue and are skipped."""

    item: T
    cost: float
    removed: bool = False


class PutResult(NamedTuple, Generic[T]):
    """`queued` is None if the item was rejected; `displaced` are the items removed to make room for it."""

    queued: QueuedItem[T] | None
    displaced: list[T]


@dataclass(eq=False, slots=True)
class Flow(Generic[T]):
    """The items of one key in order of arrival."""

    key: Hashable
    weight: float = 1.0
    deficit: float = 0.0
    items: deque[QueuedItem[T]] = field(default_factory=deque)
    cost: float = 0.0  # of the items that are not removed
    count: int = 0  # of the items that are not removed
    gets_quantum: bool = True  # the next visit adds a quantum, because the last visit is over

    @property
    def weighted_cost(self) -> float:
        """The queued cost per weight."""
        return self.cost / self.weight

    def drop_removed_head(self) -> QueuedItem[T]:
        """Drops removed items at the head; returns the first other item, which must exist."""
        while self.items[0].removed:
            self.items.popleft()
        return self.items[0]

    def drop_removed_tail(self) -> QueuedItem[T]:
        """Drops removed items at the tail; returns the last other item, which must exist."""
        while self.items[-1].removed:
            self.items.pop()
        return self.items[-1]


class FairQueue(Generic[T]):
    """A queue of many flows with limits on the cost and the number of queued items."""

    def __init__(self, quantum: float, max_cost: float, max_items: int) -> None:
        self.quantum, self.max_cost, self.max_items = quantum, max_cost, max_items
        self.flows: dict[Hashable, Flow[T]] = {}  # those with items
        self.cost, self.count = 0.0, 0
        self._round: OrderedDict[Hashable, None] = OrderedDict()  # the flow that is served next comes first
        self._heaviest_heap: list[tuple[float, int, Hashable]] = []  # entries may be outdated
        self._heap_number = 0

    def put(self, key: Hashable, item: T, cost: float, weight: float = 1.0) -> PutResult[T]:
        """Adds an item to the flow of `key`; rejects it if the queue is full and its flow is the heaviest."""
        displaced: list[T] = []
        own = self.flows.get(key)
        while self.cost + cost > self.max_cost or self.count >= self.max_items:
            heaviest = self._heaviest_flow()
            own_weighted_cost = ((own.cost if own else 0.0) + cost) / weight
            if heaviest is None or heaviest is own or heaviest.weighted_cost <= own_weighted_cost:
                return PutResult(None, displaced)
            last = heaviest.drop_removed_tail()
            self.remove(heaviest.key, last)
            displaced.append(last.item)
        if own is None or key not in self.flows:
            own = self.flows[key] = Flow(key)
            self._round[key] = None
        own.weight = weight
        queued = QueuedItem(item, cost)
        own.items.append(queued)
        self._add(own, cost, 1)
        return PutResult(queued, displaced)

    def remove(self, key: Hashable, queued: QueuedItem[T]) -> None:
        """Removes an item at any position."""
        flow = self.flows.get(key)
        if flow is not None and not queued.removed:
            queued.removed = True
            self._add(flow, -queued.cost, -1)

    def pop_if(self, allows: Callable[[float], bool]) -> T | None:
        """Takes the next item if `allows` accepts its cost; None if the queue is empty or the item must wait.

        An item that must wait stays the next one; otherwise small items would starve large ones.
        """
        head = self.peek()
        return self.pop() if head is not None and allows(head.cost) else None

    def peek(self) -> QueuedItem[T] | None:
        """The next item; it stays the next one until it is taken or removed."""
        while self._round:
            key = next(iter(self._round))
            flow = self.flows[key]
            if flow.gets_quantum:
                flow.deficit += self.quantum * flow.weight
                flow.gets_quantum = False
            head = flow.drop_removed_head()
            if head.cost <= flow.deficit:
                return head
            flow.gets_quantum = True  # the visit is over; the flow keeps its deficit
            self._round.move_to_end(key)
        return None

    def pop(self) -> T | None:
        """Takes the next item."""
        head = self.peek()
        if head is None:
            return None
        flow = self.flows[next(iter(self._round))]
        flow.items.popleft()
        head.removed = True
        flow.deficit -= head.cost
        self._add(flow, -head.cost, -1)
        return head.item

    def cost_ahead(self, key: Hashable, cost: float, weight: float = 1.0) -> float:
        """Returns the approximate cost of all items served up to an item put now, that item included."""
        own = self.flows.get(key)
        own_cost = (own.cost if own else 0.0) + cost
        flow_count = max(1, len(self.flows) + (own is None))
        return min(self.cost + cost, own_cost / weight * flow_count)

    def _add(self, flow: Flow[T], cost: float, count: int) -> None:
        """Adds to the sums of a flow and of the queue; the arguments are negative for a removed item."""
        flow.cost, flow.count = max(0.0, flow.cost + cost), flow.count + count
        self.cost, self.count = max(0.0, self.cost + cost), self.count + count
        if cost > 0:
            self._push_heavy(flow)
            if len(self._heaviest_heap) > max(
                SPARE_HEAP_ENTRIES, MAX_HEAP_ENTRIES_PER_FLOW * len(self.flows)
            ):
                self._rebuild_heap()
        if not flow.count:
            self.flows.pop(flow.key, None)
            self._round.pop(flow.key, None)
        if not self.count:  # drops accumulated rounding errors
            self.cost = 0.0

    def _push_heavy(self, flow: Flow[T]) -> None:
        self._heap_number += 1
        heapq.heappush(self._heaviest_heap, (-flow.weighted_cost, self._heap_number, flow.key))

    def _rebuild_heap(self) -> None:
        self._heaviest_heap = [
            (-flow.weighted_cost, number, key) for number, (key, flow) in enumerate(self.flows.items())
        ]
        heapq.heapify(self._heaviest_heap)

    def _heaviest_flow(self) -> Flow[T] | None:
        """The flow with the most queued cost per weight; replaces outdated heap entries that it meets."""
        while self._heaviest_heap:
            negative_cost, _, key = self._heaviest_heap[0]
            recorded_cost = -negative_cost
            flow = self.flows.get(key)
            if flow is not None and abs(recorded_cost - flow.weighted_cost) <= RELATIVE_TOLERANCE * (
                1 + recorded_cost
            ):
                return flow
            heapq.heappop(self._heaviest_heap)
            if flow is not None and recorded_cost > flow.weighted_cost:
                self._push_heavy(flow)
        return None


class DeficitRoundRobin(Generic[T]):
    """Fair queues that share one capacity in proportion to their weights; see `FairQueue`."""

    def __init__(self, queues: list[FairQueue[T]], weights: list[float], quantum: float) -> None:
        self.queues, self.weights, self.quantum = queues, weights, quantum
        self._deficits = [0.0] * len(queues)
        self._current = 0
        self._gets_quantum = True

    def pop_if(self, allows: Callable[[float], bool]) -> T | None:
        """Takes the next item of all queues; None if all are empty or the item must wait."""
        for _ in range(len(self.queues) * self._max_rounds()):
            queue, current = self.queues[self._current], self._current
            head = queue.peek()
            if head is None:
                self._deficits[current] = 0.0  # an empty queue keeps no deficit
            else:
                if self._gets_quantum:
                    self._deficits[current] += self.quantum * self.weights[current]
                    self._gets_quantum = False
                if head.cost <= self._deficits[current]:
                    if not allows(head.cost):
                        return None
                    self._deficits[current] -= head.cost
                    return queue.pop()
            self._current = (current + 1) % len(self.queues)
            self._gets_quantum = True
        return None

    def _max_rounds(self) -> int:
        """The number of rounds after which the deficit of each queue covers its next item."""
        heads = [
            head.cost / weight
            for queue, weight in zip(self.queues, self.weights, strict=True)
            if (head := queue.peek()) is not None
        ]
        return 2 + int(max(heads, default=0.0) / self.quantum)
