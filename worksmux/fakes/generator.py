"""How an engine stand-in works, without I/O: slots, a line, memory, speeds, kept text, warm-up and falling
over.

Work advances with the time that is passed in.  A read costs the tokens that are not kept; answers grow one
token a step each, and a step takes longer the more of them run.  An engine that has just started is slow and
grows faster until it is warm; sent more than `fall_multiple` times what it can do for `fall_time`, it falls
over and stays down.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any

import msgspec


class Spec(msgspec.Struct):
    """What an engine is; times in milliseconds, lengths in tokens, speeds in tokens a second."""

    id: str
    kind: str
    role: str
    zone: str
    cell: int
    slots: int
    line: int
    memory: float
    read_speed: float = 0.0
    step: float = 20.0
    per_stream: float = 0.3
    near: float = 250_000.0  # state moved inside the cell, tokens a second
    far: float = 100_000.0  # its part of the cell's link
    zone_slower: float = 2.0
    kept: int = 200  # beginnings and sessions whose text is kept
    cold_from: float = 0.3
    warm_up: float = 14_000.0
    fall_multiple: float = 3.0
    fall_time: float = 3_000.0
    capacity: float = 1e9  # jobs a second when warm
    lease: float = 8_000.0  # state that nobody asks for is freed
    cold: bool = False
    journal: str = ""
    port: int = 0
    seed: int = 1
    tokenizer: str = ""  # a file; none: lengths are guessed from bytes


@dataclass(eq=False)
class Work:
    """One trip at this engine."""

    request: str
    request_class: str
    prompt: float
    most: int
    keys: list[int]  # of the text it begins with
    answer: int = 1  # tokens that it will make
    state: Any = None  # the handle of its read state, from elsewhere
    ready: bool = False  # its prompt is read or its state is here
    left: float = 0.0  # tokens still to read
    made: float = 0.0
    sent: int = 0
    cached: float = 0.0
    memory: float = 0.0
    since: float = 0.0
    door: Any = None  # the connection, for the shell
    facts: dict[str, Any] = field(default_factory=dict)


@dataclass
class State:
    """A read prompt that waits for a writer, or a place held for one."""

    tokens: float
    since: float
    asked: bool = False  # of a state: a writer is pulling it; of a place: the state has come
    pulling: bool = False  # of a place: the state is on its way


class EngineModel:
    def __init__(self, spec: Spec, now: float) -> None:
        self.spec, self.started, self.at = spec, now if spec.cold else -1e12, now
        self.line: deque[Work] = deque()  # waits for a slot and memory
        self.fetching: dict[Work, None] = {}  # has a slot, its state is on the way
        self.reading: deque[Work] = deque()  # being read, first come first served
        self.answering: dict[Work, None] = {}
        self.states: dict[str, State] = {}
        self.places: dict[str, State] = {}
        self.attached: dict[str, Work] = {}  # wait for the state that their place is pulling
        self.texts: OrderedDict[int, float] = OrderedDict()
        self.used = 0.0
        self.slow = self.taken = 0.0  # times slower, part taken by a neighbour
        self.pressure: deque[tuple[float, float]] = deque()
        self.fallen = False

    def warmth(self, now: float) -> float:
        """The part of its speed that it has."""
        age = (now - self.started) / self.spec.warm_up
        return min(1.0, self.spec.cold_from + (1 - self.spec.cold_from) * max(0.0, age))

    def speed(self, now: float) -> float:
        return self.warmth(now) * (1 - self.taken) / max(1.0, self.slow)

    def press(self, now: float, weight: float) -> bool:
        """Counts what reaches a cold engine; true when it falls over."""
        warm = self.warmth(now)
        if warm >= 1.0 or self.fallen:
            return False
        self.pressure.append((now, weight))
        while self.pressure[0][0] < now - self.spec.fall_time:
            self.pressure.popleft()
        room = self.spec.fall_multiple * warm * self.spec.capacity * self.spec.fall_time / 1000
        self.fallen = sum(part for _, part in self.pressure) > room + 3 * room**0.5
        return self.fallen

    @property
    def taken_slots(self) -> int:
        return len(self.fetching) + len(self.reading) + len(self.answering) + len(self.places)

    def offer(self, work: Work, now: float) -> bool:
        """Takes a trip into the line; false when it is full."""
        if len(self.line) >= self.spec.line and not self._fits(work):
            return False
        work.since = now
        self.line.append(work)
        return True

    def _fits(self, work: Work) -> bool:
        held = work.request in self.places
        return held or (
            self.taken_slots < self.spec.slots and self.used + work.prompt + work.most <= self.spec.memory
        )

    def admit(self, now: float) -> list[Work]:
        """Gives free slots to the line, first come first served; returns what must fetch its state."""
        fetch = []
        while self.line and self._fits(self.line[0]):
            work = self.line.popleft()
            place = self.places.pop(work.request, None)
            work.memory = place.tokens if place else work.prompt + work.most
            self.used += 0.0 if place else work.memory
            if place and place.asked:  # its state was pulled ahead
                work.ready = True
                self.answering[work] = None
            elif place and place.pulling and work.state is not None:
                self.fetching[work] = None
                self.attached[work.request] = work
            elif work.state is not None:
                self.fetching[work] = None
                fetch.append(work)
            else:
                work.cached = max([0.0, *(self.texts[key] for key in work.keys if key in self.texts)])
                work.cached = min(work.cached, work.prompt)
                work.left = max(1.0, work.prompt - work.cached)
                self.reading.append(work)
        return fetch

    def fetched(self, work: Work) -> None:
        if work in self.fetching:
            del self.fetching[work]
            work.ready = True
            self.answering[work] = None

    def drop(self, work: Work) -> None:
        """A trip ends here, however; its memory is free again."""
        if work in self.line:
            self.line.remove(work)
        elif work in self.fetching or work in self.answering or work in self.reading:
            self.fetching.pop(work, None)
            self.answering.pop(work, None)
            if work in self.reading:
                self.reading.remove(work)
            self.used -= work.memory

    def advance(self, now: float) -> tuple[list[Work], list[Work]]:
        """Does the work of the time since the last call; returns reads that ended and answers that grew."""
        passed, self.at = max(0.0, now - self.at), now
        speed = self.speed(now)
        tokens = self.spec.read_speed * speed * passed / 1000
        if self.answering and self.spec.role == "both":
            tokens /= 2  # reads stand between the steps of answers
        done = []
        while self.reading and tokens > 0:
            work = self.reading[0]
            step = min(tokens, work.left)
            work.left -= step
            tokens -= step
            if work.left <= 0:
                self.reading.popleft()
                done.append(work)
                self._keep(work)
        pace = (self.spec.step + self.spec.per_stream * len(self.answering)) / max(speed, 1e-6)
        grown = []
        for work in self.answering:
            work.made += passed / pace
            if int(work.made) > work.sent:
                grown.append(work)
        return done, grown

    def _keep(self, work: Work) -> None:
        for key, part in zip(work.keys, work.facts.get("parts", []), strict=False):
            self.texts[key] = max(part, self.texts.get(key, 0.0))
            self.texts.move_to_end(key)
        while len(self.texts) > self.spec.kept:
            self.texts.popitem(last=False)

    def hold_state(self, work: Work, now: float) -> None:
        """A read has ended: its memory becomes its state's."""
        self.used -= work.memory
        self.used += work.prompt
        self.states[work.request] = State(work.prompt, now)

    def free_state(self, request: str) -> State | None:
        state = self.states.pop(request, None)
        if state:
            self.used -= state.tokens
        return state

    def place(self, request: str, tokens: float, now: float) -> bool:
        """Holds a slot and memory, if they are free at once and nothing waits."""
        if (
            self.line
            or self.spec.role == "read"
            or self.taken_slots >= self.spec.slots
            or self.used + tokens > self.spec.memory
            or request in self.places
        ):
            return False
        self.used += tokens
        self.places[request] = State(tokens, now)
        return True

    def free_place(self, request: str) -> State | None:
        place = self.places.pop(request, None)
        if place:
            self.used -= place.tokens
        return place

    def report(self) -> dict[str, float]:
        waiting = [*self.line, *self.reading, *self.fetching]
        return {
            "latency_ms": max([0.0, *(self.at - work.since for work in list(self.line)[:1])]),
            "inflight": float(self.taken_slots + len(self.line) + len(self.states)),
            "queue": float(len(self.line)),
            "x0": self.used / self.spec.memory,
            "x1": sum(work.left or work.prompt for work in waiting) / 1000,
        }
