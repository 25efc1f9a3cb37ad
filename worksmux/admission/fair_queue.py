"""Lines that are served by deficit round robin, so that each flow gets its share by cost.

Source: Shreedhar and Varghese, "Efficient Fair Queuing using Deficit Round Robin" (1995).  A flow that waits
gets a quantum each round, times its weight, and sends while its deficit pays.  No flow's service ever falls
behind its ideal share by more than one quantum and one largest item.  Taking the next costs O(1): quanta are
at least the largest item, so that each visit sends something.

The bound on what waits is kept at the expense of whoever has most waiting, so that a flood pushes its own
items out and nobody else's.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(eq=False, slots=True)
class Waiting(Generic[T]):
    """One thing that waits; `cost` in whatever the shares are counted in."""

    item: T
    cost: float
    out: bool = False  # it was dropped: passed over when its turn comes


@dataclass(eq=False, slots=True)
class Flow(Generic[T]):
    key: Hashable
    weight: float = 1.0
    deficit: float = 0.0
    waits: deque[Waiting[T]] = field(default_factory=deque)
    cost: float = 0.0  # of all that waits and is not out
    count: int = 0
    fresh: bool = True  # its turn has just come: it has not had its quantum


class Lines(Generic[T]):
    """Lines of many flows.  `bound` is the most cost that may wait, `most` the most items."""

    def __init__(self, quantum: float, bound: float, most: int) -> None:
        self.quantum, self.bound, self.most = quantum, bound, most
        self.flows: dict[Hashable, Flow[T]] = {}  # those with something waiting
        self.round: OrderedDict[Hashable, None] = OrderedDict()
        self.longest: list[tuple[float, int, Hashable]] = []  # by cost, the most first; checked at use
        self.order = 0
        self.cost, self.count = 0.0, 0

    def put(
        self, key: Hashable, item: T, cost: float, weight: float = 1.0
    ) -> tuple[Waiting[T] | None, list[T]]:
        """The item's place, or None where it is turned away, and the items pushed out for it."""
        pushed: list[T] = []
        own = self.flows.get(key)
        while self.cost + cost > self.bound or self.count >= self.most:
            worst = self._heaviest()
            if (
                worst is None
                or worst is own
                or worst.cost / worst.weight <= ((own.cost if own else 0.0) + cost) / weight
            ):
                return None, pushed  # who has most waiting is the one who comes
            last = worst.waits[-1]
            while last.out:
                worst.waits.pop()
                last = worst.waits[-1]
            self.drop(worst.key, last)
            pushed.append(last.item)
        if own is None or key not in self.flows:
            own = self.flows[key] = Flow(key)
            self.round[key] = None
        own.weight = weight
        waiting = Waiting(item, cost)
        own.waits.append(waiting)
        self._add(own, cost, 1)
        return waiting, pushed

    def _add(self, flow: Flow[T], cost: float, count: int) -> None:
        flow.cost, flow.count = max(0.0, flow.cost + cost), flow.count + count
        self.cost, self.count = max(0.0, self.cost + cost), self.count + count
        if cost > 0:
            self.order += 1
            heapq.heappush(self.longest, (-flow.cost / flow.weight, self.order, flow.key))
            if len(self.longest) > 64 and len(self.longest) > 4 * len(self.flows):
                self._rebuild()
        if not flow.count:
            self.flows.pop(flow.key, None)
            self.round.pop(flow.key, None)
        if not self.count:  # sums of fractions start anew
            self.cost = 0.0

    def _rebuild(self) -> None:
        self.longest = [
            (-flow.cost / flow.weight, at, key) for at, (key, flow) in enumerate(self.flows.items())
        ]
        heapq.heapify(self.longest)

    def _heaviest(self) -> Flow[T] | None:
        """The flow with most waiting for its weight; entries that no longer hold are put right on the way."""
        while self.longest:
            noted, _, key = self.longest[0]
            flow = self.flows.get(key)
            if flow is not None and abs(-noted - flow.cost / flow.weight) <= 1e-9 * (1 - noted):
                return flow
            heapq.heappop(self.longest)
            if flow is not None and -noted > flow.cost / flow.weight:
                self.order += 1
                heapq.heappush(self.longest, (-flow.cost / flow.weight, self.order, key))
        return None

    def drop(self, key: Hashable, waiting: Waiting[T]) -> None:
        """Takes an item out of the line, wherever it stands."""
        flow = self.flows.get(key)
        if flow is not None and not waiting.out:
            waiting.out = True
            self._add(flow, -waiting.cost, -1)

    def next(self, fits: Callable[[float], bool]) -> T | None:
        """The next item by turn, out of the line; None where nothing waits or what is next does not fit.

        What does not fit keeps its turn: else large items would starve behind small ones.
        """
        head = self.peek()
        return self.take() if head is not None and fits(head.cost) else None

    def peek(self) -> Waiting[T] | None:
        """Whose turn it is; the same until it is taken or dropped, or another flow's turn comes by that."""
        while self.round:
            key = next(iter(self.round))
            flow = self.flows[key]
            if flow.fresh:
                flow.deficit += self.quantum * flow.weight
                flow.fresh = False
            while flow.waits and flow.waits[0].out:
                flow.waits.popleft()
            head = flow.waits[0]
            if head.cost <= flow.deficit:
                return head
            flow.fresh = True  # its turn is over; what it saved, it keeps
            self.round.move_to_end(key)
        return None

    def take(self) -> T | None:
        """Takes the item whose turn it is."""
        head = self.peek()
        if head is None:
            return None
        flow = self.flows[next(iter(self.round))]
        flow.waits.popleft()
        head.out = True
        flow.deficit -= head.cost
        self._add(flow, -head.cost, -1)
        return head.item

    def ahead(self, key: Hashable, cost: float, weight: float = 1.0) -> float:
        """About how much is served before an item that comes now: each flow gets its share until then."""
        own = self.flows.get(key)
        wanted = (own.cost if own else 0.0) + cost
        return min(self.cost + cost, wanted / weight * max(1, len(self.flows) + (own is None)))


class Shared(Generic[T]):
    """Several lines served from one capacity, by deficit round robin among them; see `Lines`."""

    def __init__(self, lines: list[Lines[T]], weights: list[float], quantum: float) -> None:
        self.lines, self.quantum = lines, quantum
        self.weights = weights
        self.deficits = [0.0] * len(lines)
        self.at, self.fresh = 0, True

    def next(self, fits: Callable[[float], bool]) -> T | None:
        """The next item of all lines, out of its line; None where nothing waits or the next does not fit."""
        for _ in range(len(self.lines) * self._most_rounds()):
            line = self.lines[self.at]
            head = line.peek()
            if head is None:
                self.deficits[self.at] = 0.0  # who asks for nothing saves nothing
            else:
                if self.fresh:
                    self.deficits[self.at] += self.quantum * self.weights[self.at]
                    self.fresh = False
                if head.cost <= self.deficits[self.at]:
                    if not fits(head.cost):
                        return None
                    self.deficits[self.at] -= head.cost
                    return line.take()
            self.at, self.fresh = (self.at + 1) % len(self.lines), True
        return None

    def _most_rounds(self) -> int:
        """Rounds after which even the lightest line has saved up for its head."""
        heads = [
            head.cost / weight
            for line, weight in zip(self.lines, self.weights, strict=True)
            if (head := line.peek()) is not None
        ]
        return 2 + int(max(heads, default=0.0) / self.quantum)
