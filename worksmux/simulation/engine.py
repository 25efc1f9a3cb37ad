"""An engine in simulated time: a line, slots, memory, reads in turn, answers that share the machine, state
that is held and pulled, warm-up and falling over.

It follows `standins/model.py`, which works by ticks; here nothing happens between events.  Answers share the
machine evenly, so one virtual clock counts the tokens that each of them has made since it began, and a heap
over it gives who is next (the usual device of processor sharing).  Speed is taken as it is at each event.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..fakes.generator import Spec
from ..policy.state import Outcome
from .sim import Sim, Timer

Note = Callable[..., None]
WHILE_COLD = 1 / 20  # of the warm-up, between two looks at the speed


@dataclass(eq=False, slots=True)
class Call:
    """One trip on its way; `began(elapsed)` and `ended(outcome, note)` are called at the front."""

    request: str
    key: str
    front: str
    request_class: str
    prompt: float
    answer: int
    reading: bool
    holder: ModelEngine | None  # where its read state waits
    beginnings: tuple[tuple[int, float], ...]
    began: Callable[[], None]
    ended: Callable[[Outcome, int], None]
    facts: dict[str, Any]
    memory: float = 0.0
    cached: float = 0.0
    over: bool = False
    ahead: ModelEngine | None = None  # holds a place for it


@dataclass(eq=False, slots=True)
class Place:
    tokens: float
    since: float
    reader: ModelEngine | None
    here: bool = False
    pulling: bool = False


@dataclass(eq=False, slots=True)
class State:
    tokens: float
    front: str
    asked: bool = False


@dataclass(slots=True)
class Counts:
    """What reached this engine."""

    attempts: int = 0
    probes: int = 0
    cold_peak: float = 0.0  # the most that reached it cold, against what it can stand
    probe_peak: int = 0  # probes within one second
    falls: int = 0


class ModelEngine:
    """`hop` is the way of a message, milliseconds; `note` writes a line of the journal."""

    def __init__(self, sim: Sim, spec: Spec, note: Note, hop: float, started: float | None = None) -> None:
        self.sim, self.spec, self.note, self.hop = sim, spec, note, hop
        self.alive, self.hanging, self.draining = True, False, False
        self.started = started  # None: long ago
        self.slow = 1.0
        self.line: deque[Call] = deque()
        self.fetching: dict[Call, None] = {}
        self.reads: deque[Call] = deque()
        self.answering: dict[Call, None] = {}
        self.states: dict[str, State] = {}
        self.places: dict[str, Place] = {}
        self.attached: dict[str, Call] = {}
        self.texts: OrderedDict[int, float] = OrderedDict()
        self.used = 0.0
        self.at, self.virtual, self.number = sim.now, 0.0, 0
        self.marks: list[tuple[float, int, Call, bool]] = []  # virtual time, order, call, whether its end
        self.next: Timer | None = None
        self.read_timer: Timer | None = None
        self.link_free = {"near": 0.0, "far": 0.0}
        self.pressure: deque[float] = deque()
        self.probed: deque[float] = deque()
        self.hung: dict[Call, None] = {}
        self.failing: dict[str, float] = {}  # share of quick errors by offering; "" for all
        self.chance = random.Random(spec.seed)
        self.counts = Counts()
        note(spec.id, "start", role=spec.role, zone=spec.zone, cell=spec.cell, cold=started is not None)

    # Speed.

    def warmth(self) -> float:
        if self.started is None:
            return 1.0
        age = (self.sim.now - self.started) / self.spec.warm_up
        return min(1.0, self.spec.cold_from + (1 - self.spec.cold_from) * max(0.0, age))

    def _speed(self) -> float:
        return self.warmth() / self.slow

    def _pressed(self) -> bool:
        """Counts what reaches a cold engine; true when it falls over."""
        warm = self.warmth()
        if warm >= 1.0:
            return False
        now = self.sim.now
        self.pressure.append(now)
        while self.pressure[0] < now - self.spec.fall_time:
            self.pressure.popleft()
        room = self.spec.fall_multiple * warm * self.spec.capacity * self.spec.fall_time / 1000
        room += 3 * float(room**0.5)
        self.counts.cold_peak = max(self.counts.cold_peak, len(self.pressure) / room)
        return len(self.pressure) > room

    # Calls.

    def got(self, call: Call) -> None:
        if not self.alive:
            return self._reply(call, Outcome.UNREACHABLE)
        self.counts.attempts += 1
        self.note(self.spec.id, "got", **call.facts)
        if self._pressed():
            self.counts.falls += 1
            self.note(self.spec.id, "fell", front=call.front)
            self._end(call, "fell", Outcome.RESET)
            return self.die()
        share = (
            max(self.failing.get("", 0.0), self.failing.get(call.request_class, 0.0)) if self.failing else 0.0
        )
        if self.hanging:
            self.hung[call] = None
        elif share and self.chance.random() < share:
            self._end(call, "error", Outcome.ERROR)
        elif self.draining:
            self._end(call, "draining", Outcome.FULL)
        elif self.spec.role == "write" and call.holder is None and call.request not in self.places:
            self._end(call, "state_lost", Outcome.FULL, 1)
        elif len(self.line) >= self.spec.line and not self._fits(call):
            self._end(call, "full", Outcome.FULL)
        else:
            self.line.append(call)
            self._admit()

    def _reply(self, call: Call, outcome: Outcome, note: int = 0) -> None:
        if not call.over:
            call.over = True
            self.sim.after(self.hop, call.ended, outcome, note)

    def _end(self, call: Call, how: str, outcome: Outcome, note: int = 0, made: int = 0) -> None:
        if not call.over:
            self.note(self.spec.id, "end", how=how, made=made, **call.facts)
        self._reply(call, outcome, note)

    def cancel(self, call: Call) -> None:
        """The front has closed the connection."""
        if call.over or not self.alive:
            return
        made = 1 if call in self.answering else 0
        self._drop(call)
        self.note(self.spec.id, "end", how="cut", made=made, **call.facts)
        call.over = True
        self._admit()

    def probe(self, reply: Callable[[bool, ModelEngine], None]) -> None:
        """`reply(answered, engine)`; a hung engine never answers."""
        if self.alive and not self.hanging:
            self.counts.probes += 1
            self.probed.append(self.sim.now)
            while self.probed[0] < self.sim.now - 1000.0:
                self.probed.popleft()
            self.counts.probe_peak = max(self.counts.probe_peak, len(self.probed))
            self.sim.after(self.hop, reply, True, self)
        elif not self.alive:
            self.sim.after(self.hop, reply, False, self)

    def hang(self, on: bool) -> None:
        """Stops working and answering; once it goes on, the connections of that time are gone."""
        self._advance()
        self.hanging = on
        if not on:
            for call in [*self.hung]:
                del self.hung[call]
                self._end(call, "hung", Outcome.RESET)
            self._read_next()
        self._schedule()

    def change_speed(self, slow: float) -> None:
        self._advance()
        self.slow = slow
        self._schedule()

    def die(self) -> None:
        """The process ends; what it had is lost."""
        self.alive = False
        for call in [*self.line, *self.fetching, *self.reads, *self.answering, *self.hung]:
            self._reply(call, Outcome.RESET)
        for timer in (self.next, self.read_timer):
            if timer is not None:
                timer.cancel()
        self.note("runner", "engine killed", engine=self.spec.id)

    # The line, slots and memory.

    def _taken(self) -> int:
        return len(self.fetching) + len(self.reads) + len(self.answering) + len(self.places)

    def _fits(self, call: Call) -> bool:
        return call.request in self.places or (
            self._taken() < self.spec.slots and self.used + call.prompt + call.answer <= self.spec.memory
        )

    def _admit(self) -> None:
        while self.line and self._fits(self.line[0]):
            call = self.line.popleft()
            place = self.places.pop(call.request, None)
            call.memory = place.tokens if place else call.prompt + call.answer
            self.used += 0.0 if place else call.memory
            if place and place.here:
                self._answer(call)
            elif place and place.pulling and call.holder is not None:
                self.fetching[call] = None
                self.attached[call.request] = call
            elif call.holder is not None:
                self.fetching[call] = None
                self._pull(call)
            else:
                kept = max(
                    [
                        0.0,
                        *(
                            min(length, self.texts[key])
                            for key, length in call.beginnings
                            if key in self.texts
                        ),
                    ]
                )
                call.cached = min(kept, call.prompt - 1.0)
                self.reads.append(call)
                if len(self.reads) == 1:
                    self._read_next()

    def _drop(self, call: Call) -> None:
        if call in self.hung:
            del self.hung[call]
        elif call in self.line:
            self.line.remove(call)
        elif call in self.fetching or call in self.answering or call in self.reads:
            self._advance()
            self.fetching.pop(call, None)
            self.answering.pop(call, None)
            if call in self.reads:
                first = self.reads[0] is call
                self.reads.remove(call)
                if first and self.read_timer is not None:
                    self.read_timer.cancel()
                    self._read_next()
            self.used -= call.memory
            self._schedule()

    # Reading: one after the other.

    def _read_next(self) -> None:
        if self.reads:
            call = self.reads[0]
            rate = self.spec.read_speed * self._speed() / 1000
            if self.spec.role == "both" and self.answering:
                rate /= 2
            self.read_timer = self.sim.after((call.prompt - call.cached) / rate, self._read, call)

    def _read(self, call: Call) -> None:
        if self.hanging:
            return
        self.reads.popleft()
        for key, length in call.beginnings:
            self.texts[key] = max(length, self.texts.get(key, 0.0))
            self.texts.move_to_end(key)
        while len(self.texts) > self.spec.kept:
            self.texts.popitem(last=False)
        self._read_next()
        if self.spec.role == "both":
            return self._answer(call)
        self.used -= call.memory - call.prompt
        self.states[call.request] = State(call.prompt, call.front)
        self.note(self.spec.id, "held", job=call.request, tokens=call.prompt, front=call.front)
        self._end(call, "read", Outcome.PREFILLED, int(call.cached))
        self.sim.after(self.spec.lease, self._lease, call.request)
        if call.ahead is not None:
            call.ahead.read_ahead(call.request, self)
        self._admit()

    def _lease(self, request: str) -> None:
        state = self.states.get(request)
        if state and not state.asked:
            self._free_state(request, "lease")

    def _free_state(self, request: str, why: str) -> None:
        state = self.states.pop(request, None)
        if state and self.alive:
            self.used -= state.tokens
            self.note(self.spec.id, "pulled" if why == "pulled" else "freed", job=request, why=why)
            self._admit()

    # Answering: all at once, by a virtual clock of tokens.

    def _pace(self) -> float:
        return (self.spec.step + self.spec.per_stream * len(self.answering)) / self._speed()

    def _advance(self) -> None:
        if self.answering and not self.hanging:
            self.virtual += (self.sim.now - self.at) / self._pace()
        self.at = self.sim.now

    def _answer(self, call: Call) -> None:
        self._advance()
        self.answering[call] = None
        for tokens, end in ((1, False), (max(1, call.answer), True)):
            self.number += 1
            heapq.heappush(self.marks, (self.virtual + tokens, self.number, call, end))
        self._schedule()

    def _schedule(self) -> None:
        if self.next is not None:
            self.next.cancel()
            self.next = None
        while self.marks and self.marks[0][2] not in self.answering:
            heapq.heappop(self.marks)
        if self.marks and not self.hanging:
            wait = (self.marks[0][0] - self.virtual) * self._pace()
            if self.started is not None:  # it grows faster meanwhile
                wait = min(wait, self.spec.warm_up * WHILE_COLD) if self.warmth() < 1.0 else wait
            self.next = self.sim.after(wait, self._due)

    def _due(self) -> None:
        self._advance()
        freed = False
        while self.marks and (
            self.marks[0][2] not in self.answering or self.marks[0][0] <= self.virtual + 1e-6
        ):
            _, _, call, end = heapq.heappop(self.marks)
            if call not in self.answering:
                continue
            if end:
                del self.answering[call]
                self.used -= call.memory
                self._end(call, "done", Outcome.SERVED, int(call.cached), made=call.answer)
                freed = True
            else:
                self.note(self.spec.id, "first", job=call.request, trip=call.key, front=call.front)
                self.sim.after(self.hop, call.began)
        if freed:
            self._admit()
        self._schedule()

    # State on its way.

    def _pull(self, call: Call) -> None:
        holder = call.holder
        assert holder is not None
        self.sim.after(self.hop, holder.give, call.request, self, lambda here: self._pulled(call, here))

    def _pulled(self, call: Call, here: bool) -> None:
        if call not in self.fetching or not self.alive:
            return
        if here:
            del self.fetching[call]
            self._answer(call)
        else:
            self._drop(call)
            self._end(call, "state_lost", Outcome.FULL, 1)
            self._admit()

    def give(self, request: str, writer: ModelEngine, moved: Callable[[bool], None]) -> None:
        """Sends a state over the port, or over this engine's part of its cell's link, one after the other."""
        state = self.states.get(request)
        if state is None or not self.alive or self.hanging:
            if not (self.alive and self.hanging):  # a hung one never answers
                self.sim.after(self.hop, moved, False)
            return
        state.asked = True
        spec, near = self.spec, writer.spec.cell == self.spec.cell
        slower = 1.0 if writer.spec.zone == spec.zone else spec.zone_slower
        rate, way = (spec.near, "near") if near else (spec.far / slower, "far")
        self.link_free[way] = max(self.sim.now, self.link_free[way]) + 1000 * state.tokens / rate

        def over() -> None:
            here = self.alive and request in self.states
            if here:
                self._free_state(request, "pulled")
            moved(here)

        self.sim.after(self.link_free[way] - self.sim.now, over)

    def place(
        self,
        request: str,
        tokens: float,
        reader: ModelEngine | None,
        front: str,
        reply: Callable[[bool], None],
    ) -> None:
        """Holds a slot and memory for a job that is being read, if they are free at once."""
        if not self.alive or self.hanging:
            return
        self.note(self.spec.id, "place asked", job=request, front=front)
        held = not (
            self.draining
            or self.line
            or self.spec.role == "read"
            or self._taken() >= self.spec.slots
            or self.used + tokens > self.spec.memory
            or request in self.places
            or any(call.request == request for call in (*self.fetching, *self.answering))
        )
        if held:
            self.used += tokens
            self.places[request] = Place(tokens, self.sim.now, reader, pulling=reader is not None)
            self.note(self.spec.id, "placed", job=request, front=front)
            self.sim.after(self.spec.lease, self._unplace, request, "lease")
            if reader is not None and request in reader.states:
                self.read_ahead(request, reader)
        self.sim.after(self.hop, reply, held)

    def read_ahead(self, request: str, reader: ModelEngine) -> None:
        """The state for a place is read: it comes at once."""
        if request not in self.places and request not in self.attached:
            return

        def moved(here: bool) -> None:
            place, call = self.places.get(request), self.attached.pop(request, None)
            if place is not None:
                place.pulling, place.here = False, here
            elif call is not None and call in self.fetching:
                self._pulled(call, here)

        self.sim.after(self.hop, reader.give, request, self, moved)

    def _unplace(self, request: str, why: str) -> None:
        place = self.places.pop(request, None)
        if place and self.alive:
            self.used -= place.tokens
            self.note(self.spec.id, "unplaced", job=request, why=why)
            self._admit()

    def release(self, request: str) -> None:
        if not self.alive:
            return
        self.note(self.spec.id, "release", job=request)
        state = self.states.get(request)
        if state and not state.asked:
            self._free_state(request, "release")
        self._unplace(request, "release")
