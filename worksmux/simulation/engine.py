"""Engine in simulated time.

The engine has a queue, slots, memory, sequential prefills, decodes that share the machine, KV cache that is
held and transferred, a warm-up, and failure under overload while it is cold. It follows `fakes/generator.py`,
which works by ticks; here nothing happens between events. Decodes share the machine evenly, so one virtual
clock counts the tokens that each of them has made since it began, and a heap over it gives the next one (the
usual method for processor sharing). The speed is sampled at each event.
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
COLD_UPDATE_SHARE = 1 / 20  # interval between two updates of the speed, as a share of the warm-up


@dataclass(eq=False, slots=True)
class Call:
    """One attempt at an engine; `on_first_token()` and `on_end(outcome, note)` are called at the gateway."""

    request: str
    attempt_id: str
    gateway: str
    request_class: str
    prompt_tokens: float
    answer_tokens: int
    is_prefill: bool
    kv_holder: ModelEngine | None  # engine that holds the KV cache of the prefill
    prefixes: tuple[tuple[int, float], ...]
    on_first_token: Callable[[], None]
    on_end: Callable[[Outcome, int], None]
    journal_fields: dict[str, Any]
    reserved_tokens: float = 0.0
    cached_tokens: float = 0.0
    is_over: bool = False
    reserved_engine: ModelEngine | None = None  # decode engine with a slot reserved for the request


@dataclass(eq=False, slots=True)
class ReservedSlot:
    """Decode slot and memory reserved for a request whose prefill runs on another engine."""

    tokens: float
    reserved_at: float
    prefill_engine: ModelEngine | None
    kv_arrived: bool = False
    is_transferring: bool = False


@dataclass(eq=False, slots=True)
class HeldKvCache:
    """KV cache of a finished prefill, held until it is transferred or released."""

    tokens: float
    gateway: str
    transfer_requested: bool = False


@dataclass(slots=True)
class EngineCounts:
    """Counters of what reached one engine."""

    attempts: int = 0
    probes: int = 0
    cold_peak: float = 0.0  # highest ratio of arrivals to those that the cold engine can bear
    max_probes_per_second: int = 0
    falls: int = 0


class ModelEngine:
    """Simulated engine. `hop_ms` is the delay of a message, and `note` writes a line of the journal."""

    def __init__(self, sim: Sim, spec: Spec, note: Note, hop_ms: float, started: float | None = None) -> None:
        self.sim, self.spec, self.note, self.hop_ms = sim, spec, note, hop_ms
        self.alive, self.hanging, self.draining = True, False, False
        self.started = started  # None: started long ago and warm
        self.slowdown = 1.0
        self.queue: deque[Call] = deque()
        self.transferring: dict[Call, None] = {}
        self.prefills: deque[Call] = deque()
        self.decoding: dict[Call, None] = {}
        self.kv_caches: dict[str, HeldKvCache] = {}
        self.reserved_slots: dict[str, ReservedSlot] = {}
        self.waiting_calls: dict[str, Call] = {}
        self.prefix_cache: OrderedDict[int, float] = OrderedDict()
        self.used_tokens = 0.0
        self.advanced_at, self.virtual_tokens, self.sequence = sim.now, 0.0, 0
        # (virtual time, sequence, call, whether the call ends then)
        self.milestones: list[tuple[float, int, Call, bool]] = []
        self.milestone_timer: Timer | None = None
        self.prefill_timer: Timer | None = None
        self.link_free_at = {"near": 0.0, "far": 0.0}
        self.cold_arrivals: deque[float] = deque()
        self.probe_times: deque[float] = deque()
        self.hung_calls: dict[Call, None] = {}
        self.error_shares: dict[str, float] = {}  # share of immediate errors by request class; "" for all
        self.random = random.Random(spec.seed)
        self.counts = EngineCounts()
        note(spec.id, "start", role=spec.role, zone=spec.zone, cell=spec.cell, cold=started is not None)

    # Speed.

    def warmth(self) -> float:
        """Returns the speed as a share of that of a warm engine."""
        if self.started is None:
            return 1.0
        age = (self.sim.now - self.started) / self.spec.warm_up
        return min(1.0, self.spec.cold_from + (1 - self.spec.cold_from) * max(0.0, age))

    def _speed(self) -> float:
        return self.warmth() / self.slowdown

    def _is_overloaded(self) -> bool:
        """Counts an arrival at a cold engine; true when the engine fails under the arrivals."""
        warmth = self.warmth()
        if warmth >= 1.0:
            return False
        now = self.sim.now
        self.cold_arrivals.append(now)
        while self.cold_arrivals[0] < now - self.spec.fall_time:
            self.cold_arrivals.popleft()
        max_arrivals = self.spec.fall_multiple * warmth * self.spec.capacity * self.spec.fall_time / 1000
        max_arrivals += 3 * float(max_arrivals**0.5)
        self.counts.cold_peak = max(self.counts.cold_peak, len(self.cold_arrivals) / max_arrivals)
        return len(self.cold_arrivals) > max_arrivals

    # Calls.

    def receive(self, call: Call) -> None:
        """Takes a call: rejects it, queues it, or fails under it."""
        if not self.alive:
            return self._reply(call, Outcome.UNREACHABLE)
        self.counts.attempts += 1
        self.note(self.spec.id, "got", **call.journal_fields)
        if self._is_overloaded():
            self.counts.falls += 1
            self.note(self.spec.id, "fell", front=call.gateway)
            self._end(call, "fell", Outcome.RESET)
            return self.kill()
        share = (
            max(self.error_shares.get("", 0.0), self.error_shares.get(call.request_class, 0.0))
            if self.error_shares
            else 0.0
        )
        if self.hanging:
            self.hung_calls[call] = None
        elif share and self.random.random() < share:
            self._end(call, "error", Outcome.ERROR)
        elif self.draining:
            self._end(call, "draining", Outcome.FULL)
        elif self.spec.role == "write" and call.kv_holder is None and call.request not in self.reserved_slots:
            self._end(call, "state_lost", Outcome.FULL, 1)
        elif len(self.queue) >= self.spec.line and not self._fits(call):
            self._end(call, "full", Outcome.FULL)
        else:
            self.queue.append(call)
            self._admit()

    def _reply(self, call: Call, outcome: Outcome, note: int = 0) -> None:
        if not call.is_over:
            call.is_over = True
            self.sim.after(self.hop_ms, call.on_end, outcome, note)

    def _end(self, call: Call, reason: str, outcome: Outcome, note: int = 0, made: int = 0) -> None:
        if not call.is_over:
            self.note(self.spec.id, "end", how=reason, made=made, **call.journal_fields)
        self._reply(call, outcome, note)

    def cancel(self, call: Call) -> None:
        """Ends a call whose connection the gateway has closed."""
        if call.is_over or not self.alive:
            return
        made = 1 if call in self.decoding else 0
        self._remove(call)
        self.note(self.spec.id, "end", how="cut", made=made, **call.journal_fields)
        call.is_over = True
        self._admit()

    def probe(self, reply: Callable[[bool, ModelEngine], None]) -> None:
        """Calls `reply(answered, engine)`; a hung engine never replies."""
        if self.alive and not self.hanging:
            self.counts.probes += 1
            self.probe_times.append(self.sim.now)
            while self.probe_times[0] < self.sim.now - 1000.0:
                self.probe_times.popleft()
            self.counts.max_probes_per_second = max(self.counts.max_probes_per_second, len(self.probe_times))
            self.sim.after(self.hop_ms, reply, True, self)
        elif not self.alive:
            self.sim.after(self.hop_ms, reply, False, self)

    def hang(self, is_hanging: bool) -> None:
        """Makes the engine stop working and replying, or continue.

        The connections that arrived meanwhile are reset when it continues.
        """
        self._advance()
        self.hanging = is_hanging
        if not is_hanging:
            for call in [*self.hung_calls]:
                del self.hung_calls[call]
                self._end(call, "hung", Outcome.RESET)
            self._prefill_next()
        self._schedule()

    def change_speed(self, slowdown: float) -> None:
        """Sets the factor by which the engine is slowed down."""
        self._advance()
        self.slowdown = slowdown
        self._schedule()

    def kill(self) -> None:
        """Ends the process; its calls and KV cache are lost."""
        self.alive = False
        for call in [*self.queue, *self.transferring, *self.prefills, *self.decoding, *self.hung_calls]:
            self._reply(call, Outcome.RESET)
        for timer in (self.milestone_timer, self.prefill_timer):
            if timer is not None:
                timer.cancel()
        self.note("runner", "engine killed", engine=self.spec.id)

    # Queue, slots and memory.

    def _used_slots(self) -> int:
        return len(self.transferring) + len(self.prefills) + len(self.decoding) + len(self.reserved_slots)

    def _fits(self, call: Call) -> bool:
        return call.request in self.reserved_slots or (
            self._used_slots() < self.spec.slots
            and self.used_tokens + call.prompt_tokens + call.answer_tokens <= self.spec.memory
        )

    def _admit(self) -> None:
        while self.queue and self._fits(self.queue[0]):
            call = self.queue.popleft()
            slot = self.reserved_slots.pop(call.request, None)
            call.reserved_tokens = slot.tokens if slot else call.prompt_tokens + call.answer_tokens
            self.used_tokens += 0.0 if slot else call.reserved_tokens
            if slot and slot.kv_arrived:
                self._start_decode(call)
            elif slot and slot.is_transferring and call.kv_holder is not None:
                self.transferring[call] = None
                self.waiting_calls[call.request] = call
            elif call.kv_holder is not None:
                self.transferring[call] = None
                self._request_transfer(call)
            else:
                cached_tokens = max(
                    [
                        0.0,
                        *(
                            min(length, self.prefix_cache[key])
                            for key, length in call.prefixes
                            if key in self.prefix_cache
                        ),
                    ]
                )
                call.cached_tokens = min(cached_tokens, call.prompt_tokens - 1.0)
                self.prefills.append(call)
                if len(self.prefills) == 1:
                    self._prefill_next()

    def _remove(self, call: Call) -> None:
        if call in self.hung_calls:
            del self.hung_calls[call]
        elif call in self.queue:
            self.queue.remove(call)
        elif call in self.transferring or call in self.decoding or call in self.prefills:
            self._advance()
            self.transferring.pop(call, None)
            self.decoding.pop(call, None)
            if call in self.prefills:
                first = self.prefills[0] is call
                self.prefills.remove(call)
                if first and self.prefill_timer is not None:
                    self.prefill_timer.cancel()
                    self._prefill_next()
            self.used_tokens -= call.reserved_tokens
            self._schedule()

    # Prefill: one call after the other.

    def _prefill_next(self) -> None:
        if self.prefills:
            call = self.prefills[0]
            rate = self.spec.read_speed * self._speed() / 1000
            if self.spec.role == "both" and self.decoding:
                rate /= 2
            self.prefill_timer = self.sim.after(
                (call.prompt_tokens - call.cached_tokens) / rate, self._on_prefilled, call
            )

    def _on_prefilled(self, call: Call) -> None:
        if self.hanging:
            return
        self.prefills.popleft()
        for key, length in call.prefixes:
            self.prefix_cache[key] = max(length, self.prefix_cache.get(key, 0.0))
            self.prefix_cache.move_to_end(key)
        while len(self.prefix_cache) > self.spec.kept:
            self.prefix_cache.popitem(last=False)
        self._prefill_next()
        if self.spec.role == "both":
            return self._start_decode(call)
        self.used_tokens -= call.reserved_tokens - call.prompt_tokens
        self.kv_caches[call.request] = HeldKvCache(call.prompt_tokens, call.gateway)
        self.note(self.spec.id, "held", job=call.request, tokens=call.prompt_tokens, front=call.gateway)
        self._end(call, "read", Outcome.PREFILLED, int(call.cached_tokens))
        self.sim.after(self.spec.lease, self._on_lease_expired, call.request)
        if call.reserved_engine is not None:
            call.reserved_engine.start_transfer(call.request, self)
        self._admit()

    def _on_lease_expired(self, request: str) -> None:
        kv_cache = self.kv_caches.get(request)
        if kv_cache and not kv_cache.transfer_requested:
            self._free_kv_cache(request, "lease")

    def _free_kv_cache(self, request: str, reason: str) -> None:
        kv_cache = self.kv_caches.pop(request, None)
        if kv_cache and self.alive:
            self.used_tokens -= kv_cache.tokens
            self.note(self.spec.id, "pulled" if reason == "pulled" else "freed", job=request, why=reason)
            self._admit()

    # Decode: all calls at once, by a virtual clock in tokens.

    def _step_ms(self) -> float:
        return (self.spec.step + self.spec.per_stream * len(self.decoding)) / self._speed()

    def _advance(self) -> None:
        if self.decoding and not self.hanging:
            self.virtual_tokens += (self.sim.now - self.advanced_at) / self._step_ms()
        self.advanced_at = self.sim.now

    def _start_decode(self, call: Call) -> None:
        self._advance()
        self.decoding[call] = None
        for tokens, is_end in ((1, False), (max(1, call.answer_tokens), True)):
            self.sequence += 1
            heapq.heappush(self.milestones, (self.virtual_tokens + tokens, self.sequence, call, is_end))
        self._schedule()

    def _schedule(self) -> None:
        if self.milestone_timer is not None:
            self.milestone_timer.cancel()
            self.milestone_timer = None
        while self.milestones and self.milestones[0][2] not in self.decoding:
            heapq.heappop(self.milestones)
        if self.milestones and not self.hanging:
            wait = (self.milestones[0][0] - self.virtual_tokens) * self._step_ms()
            if self.started is not None:  # the speed rises during the warm-up
                wait = min(wait, self.spec.warm_up * COLD_UPDATE_SHARE) if self.warmth() < 1.0 else wait
            self.milestone_timer = self.sim.after(wait, self._on_milestone)

    def _on_milestone(self) -> None:
        self._advance()
        freed = False
        while self.milestones and (
            self.milestones[0][2] not in self.decoding or self.milestones[0][0] <= self.virtual_tokens + 1e-6
        ):
            _, _, call, is_end = heapq.heappop(self.milestones)
            if call not in self.decoding:
                continue
            if is_end:
                del self.decoding[call]
                self.used_tokens -= call.reserved_tokens
                self._end(call, "done", Outcome.SERVED, int(call.cached_tokens), made=call.answer_tokens)
                freed = True
            else:
                self.note(self.spec.id, "first", job=call.request, trip=call.attempt_id, front=call.gateway)
                self.sim.after(self.hop_ms, call.on_first_token)
        if freed:
            self._admit()
        self._schedule()

    # Transfer of KV cache.

    def _request_transfer(self, call: Call) -> None:
        holder = call.kv_holder
        assert holder is not None
        self.sim.after(
            self.hop_ms,
            holder.transfer,
            call.request,
            self,
            lambda arrived: self._on_transferred(call, arrived),
        )

    def _on_transferred(self, call: Call, arrived: bool) -> None:
        if call not in self.transferring or not self.alive:
            return
        if arrived:
            del self.transferring[call]
            self._start_decode(call)
        else:
            self._remove(call)
            self._end(call, "state_lost", Outcome.FULL, 1)
            self._admit()

    def transfer(
        self, request: str, decode_engine: ModelEngine, on_transferred: Callable[[bool], None]
    ) -> None:
        """Sends a KV cache to a decode engine over this engine's port or its share of the link of its cell.

        Transfers over one link run one after the other.
        """
        kv_cache = self.kv_caches.get(request)
        if kv_cache is None or not self.alive or self.hanging:
            if not (self.alive and self.hanging):  # a hung engine never replies
                self.sim.after(self.hop_ms, on_transferred, False)
            return
        kv_cache.transfer_requested = True
        spec, same_cell = self.spec, decode_engine.spec.cell == self.spec.cell
        slower = 1.0 if decode_engine.spec.zone == spec.zone else spec.zone_slower
        rate, link = (spec.near, "near") if same_cell else (spec.far / slower, "far")
        self.link_free_at[link] = max(self.sim.now, self.link_free_at[link]) + 1000 * kv_cache.tokens / rate

        def finish() -> None:
            arrived = self.alive and request in self.kv_caches
            if arrived:
                self._free_kv_cache(request, "pulled")
            on_transferred(arrived)

        self.sim.after(self.link_free_at[link] - self.sim.now, finish)

    def reserve_slot(
        self,
        request: str,
        tokens: float,
        prefill_engine: ModelEngine | None,
        gateway: str,
        reply: Callable[[bool], None],
    ) -> None:
        """Reserves a slot and memory for a request in prefill, if they are free at once."""
        if not self.alive or self.hanging:
            return
        self.note(self.spec.id, "place asked", job=request, front=gateway)
        is_reserved = not (
            self.draining
            or self.queue
            or self.spec.role == "read"
            or self._used_slots() >= self.spec.slots
            or self.used_tokens + tokens > self.spec.memory
            or request in self.reserved_slots
            or any(call.request == request for call in (*self.transferring, *self.decoding))
        )
        if is_reserved:
            self.used_tokens += tokens
            self.reserved_slots[request] = ReservedSlot(
                tokens, self.sim.now, prefill_engine, is_transferring=prefill_engine is not None
            )
            self.note(self.spec.id, "placed", job=request, front=gateway)
            self.sim.after(self.spec.lease, self._free_slot, request, "lease")
            if prefill_engine is not None and request in prefill_engine.kv_caches:
                self.start_transfer(request, prefill_engine)
        self.sim.after(self.hop_ms, reply, is_reserved)

    def start_transfer(self, request: str, prefill_engine: ModelEngine) -> None:
        """Transfers the KV cache for a reserved slot as soon as the prefill is done."""
        if request not in self.reserved_slots and request not in self.waiting_calls:
            return

        def on_transferred(arrived: bool) -> None:
            slot, call = self.reserved_slots.get(request), self.waiting_calls.pop(request, None)
            if slot is not None:
                slot.is_transferring, slot.kv_arrived = False, arrived
            elif call is not None and call in self.transferring:
                self._on_transferred(call, arrived)

        self.sim.after(self.hop_ms, prefill_engine.transfer, request, self, on_transferred)

    def _free_slot(self, request: str, reason: str) -> None:
        slot = self.reserved_slots.pop(request, None)
        if slot and self.alive:
            self.used_tokens -= slot.tokens
            self.note(self.spec.id, "unplaced", job=request, why=reason)
            self._admit()

    def release(self, request: str) -> None:
        """Releases the KV cache and the reserved slot of a request."""
        if not self.alive:
            return
        self.note(self.spec.id, "release", job=request)
        kv_cache = self.kv_caches.get(request)
        if kv_cache and not kv_cache.transfer_requested:
            self._free_kv_cache(request, "release")
        self._free_slot(request, "release")
