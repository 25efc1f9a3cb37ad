"""The model of a fake engine, without I/O: slots, queue, memory, speeds, prefix cache, warm-up and overload.

Work advances with the time that the caller passes in.  A prefill costs the tokens that the prefix cache does
not hold.  Decode makes one token per stream and step, and a step takes longer with each concurrent stream.  A
cold engine starts slow and speeds up until it is warm.  A cold engine that receives more than `fall_multiple`
times its current capacity during `fall_time` fails and stays down.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any

import msgspec


class Spec(msgspec.Struct):
    """The parameters of an engine: times in milliseconds, lengths in tokens, speeds in tokens per second."""

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
    near: float = 250_000.0  # KV cache transfer inside the cell, tokens per second
    far: float = 100_000.0  # this engine's share of the link out of the cell, tokens per second
    zone_slower: float = 2.0
    kept: int = 200  # prefixes in the prefix cache
    cold_from: float = 0.3
    warm_up: float = 14_000.0
    fall_multiple: float = 3.0
    fall_time: float = 3_000.0
    capacity: float = 1e9  # requests per second when warm
    lease: float = 8_000.0  # unclaimed KV cache is released after this time
    cold: bool = False
    journal: str = ""
    port: int = 0
    seed: int = 1
    tokenizer: str = ""  # a file; empty: lengths are estimated from bytes


@dataclass(eq=False)
class Work:
    """One attempt at this engine."""

    request: str
    request_class: str
    prompt_tokens: float
    max_tokens: int
    keys: list[int]  # hashes of the prompt's prefixes
    answer_tokens: int = 1  # tokens to make
    kv_params: Any = None  # parameters of its KV cache at the prefill engine
    is_ready: bool = False  # prefill is complete or the KV cache has arrived
    prefill_left: float = 0.0  # tokens still to prefill
    tokens_made: float = 0.0
    tokens_sent: int = 0
    cached_tokens: float = 0.0
    memory_tokens: float = 0.0
    queued_at_ms: float = 0.0
    exchange: Any = None  # the HTTP exchange, for EngineProcess
    facts: dict[str, Any] = field(default_factory=dict)


@dataclass
class HeldState:
    """KV cache held for a decode engine, or a reserved decode slot."""

    tokens: float
    since_ms: float
    is_claimed: bool = False  # KV cache: a transfer has begun; slot: the KV cache has arrived
    is_pulling: bool = False  # slot: the KV cache transfer is under way


class EngineModel:
    """The queue, slots, memory and speed of one engine."""

    def __init__(self, spec: Spec, now: float) -> None:
        self.spec, self.started, self.advanced_at_ms = spec, now if spec.cold else -1e12, now
        self.queue: deque[Work] = deque()  # waiting for a slot and memory
        self.fetching: dict[Work, None] = {}  # with a slot, waiting for KV cache
        self.prefilling: deque[Work] = deque()  # in prefill, first in, first out
        self.decoding: dict[Work, None] = {}
        self.states: dict[str, HeldState] = {}
        self.reserved_slots: dict[str, HeldState] = {}
        self.waiting_for_early_state: dict[str, Work] = {}  # waiting for the transfer that their slot began
        self.cached_prefixes: OrderedDict[int, float] = OrderedDict()
        self.used = 0.0
        self.slowdown = self.neighbour_share = 0.0  # slowdown factor; share that another program takes
        self.recent_arrivals: deque[tuple[float, float]] = deque()
        self.fallen = False

    def warm_share(self, now: float) -> float:
        """The share of full speed that the engine has reached."""
        age = (now - self.started) / self.spec.warm_up
        return min(1.0, self.spec.cold_from + (1 - self.spec.cold_from) * max(0.0, age))

    def speed(self, now: float) -> float:
        """The engine's speed as a share of full speed."""
        return self.warm_share(now) * (1 - self.neighbour_share) / max(1.0, self.slowdown)

    def record_arrival(self, now: float, weight: float) -> bool:
        """Counts an arrival at a cold engine; returns whether the engine fails under it."""
        warm_share = self.warm_share(now)
        if warm_share >= 1.0 or self.fallen:
            return False
        self.recent_arrivals.append((now, weight))
        while self.recent_arrivals[0][0] < now - self.spec.fall_time:
            self.recent_arrivals.popleft()
        max_arrivals = self.spec.fall_multiple * warm_share * self.spec.capacity * self.spec.fall_time / 1000
        self.fallen = sum(each for _, each in self.recent_arrivals) > max_arrivals + 3 * max_arrivals**0.5
        return self.fallen

    @property
    def busy_slots(self) -> int:
        """The slots in use, reserved ones included."""
        return len(self.fetching) + len(self.prefilling) + len(self.decoding) + len(self.reserved_slots)

    def enqueue(self, work: Work, now: float) -> bool:
        """Queues an attempt; returns False when the queue is full."""
        if len(self.queue) >= self.spec.line and not self._fits(work):
            return False
        work.queued_at_ms = now
        self.queue.append(work)
        return True

    def _fits(self, work: Work) -> bool:
        has_slot = work.request in self.reserved_slots
        return has_slot or (
            self.busy_slots < self.spec.slots
            and self.used + work.prompt_tokens + work.max_tokens <= self.spec.memory
        )

    def admit(self, now: float) -> list[Work]:
        """Gives free slots to the queue in order; returns the work whose KV cache must be fetched."""
        to_fetch = []
        while self.queue and self._fits(self.queue[0]):
            work = self.queue.popleft()
            slot = self.reserved_slots.pop(work.request, None)
            work.memory_tokens = slot.tokens if slot else work.prompt_tokens + work.max_tokens
            self.used += 0.0 if slot else work.memory_tokens
            if slot and slot.is_claimed:  # the KV cache arrived early
                work.is_ready = True
                self.decoding[work] = None
            elif slot and slot.is_pulling and work.kv_params is not None:
                self.fetching[work] = None
                self.waiting_for_early_state[work.request] = work
            elif work.kv_params is not None:
                self.fetching[work] = None
                to_fetch.append(work)
            else:
                work.cached_tokens = max(
                    [0.0, *(self.cached_prefixes[key] for key in work.keys if key in self.cached_prefixes)]
                )
                work.cached_tokens = min(work.cached_tokens, work.prompt_tokens)
                work.prefill_left = max(1.0, work.prompt_tokens - work.cached_tokens)
                self.prefilling.append(work)
        return to_fetch

    def state_arrived(self, work: Work) -> None:
        """Starts the decode of work whose KV cache has arrived."""
        if work in self.fetching:
            del self.fetching[work]
            work.is_ready = True
            self.decoding[work] = None

    def drop(self, work: Work) -> None:
        """Removes an attempt that ended and frees its memory."""
        if work in self.queue:
            self.queue.remove(work)
        elif work in self.fetching or work in self.decoding or work in self.prefilling:
            self.fetching.pop(work, None)
            self.decoding.pop(work, None)
            if work in self.prefilling:
                self.prefilling.remove(work)
            self.used -= work.memory_tokens

    def advance(self, now: float) -> tuple[list[Work], list[Work]]:
        """Advances to `now`; returns completed prefills and the streams that have new tokens."""
        elapsed_ms, self.advanced_at_ms = max(0.0, now - self.advanced_at_ms), now
        speed = self.speed(now)
        prefill_tokens = self.spec.read_speed * speed * elapsed_ms / 1000
        if self.decoding and self.spec.role == "both":
            prefill_tokens /= 2  # a combined engine shares its time with decode
        prefilled = []
        while self.prefilling and prefill_tokens > 0:
            work = self.prefilling[0]
            prefill_step = min(prefill_tokens, work.prefill_left)
            work.prefill_left -= prefill_step
            prefill_tokens -= prefill_step
            if work.prefill_left <= 0:
                self.prefilling.popleft()
                prefilled.append(work)
                self._cache_prefixes(work)
        token_interval_ms = (self.spec.step + self.spec.per_stream * len(self.decoding)) / max(speed, 1e-6)
        with_new_tokens = []
        for work in self.decoding:
            work.tokens_made += elapsed_ms / token_interval_ms
            if int(work.tokens_made) > work.tokens_sent:
                with_new_tokens.append(work)
        return prefilled, with_new_tokens

    def _cache_prefixes(self, work: Work) -> None:
        for key, tokens in zip(work.keys, work.facts.get("parts", []), strict=False):
            self.cached_prefixes[key] = max(tokens, self.cached_prefixes.get(key, 0.0))
            self.cached_prefixes.move_to_end(key)
        while len(self.cached_prefixes) > self.spec.kept:
            self.cached_prefixes.popitem(last=False)

    def store_state(self, work: Work, now: float) -> None:
        """Turns the memory of a completed prefill into held KV cache."""
        self.used -= work.memory_tokens
        self.used += work.prompt_tokens
        self.states[work.request] = HeldState(work.prompt_tokens, now)

    def release_state(self, request: str) -> HeldState | None:
        """Frees the KV cache held for a request."""
        state = self.states.pop(request, None)
        if state:
            self.used -= state.tokens
        return state

    def reserve_slot(self, request: str, tokens: float, now: float) -> bool:
        """Reserves a decode slot and memory if both are free and the queue is empty."""
        if (
            self.queue
            or self.spec.role == "read"
            or self.busy_slots >= self.spec.slots
            or self.used + tokens > self.spec.memory
            or request in self.reserved_slots
        ):
            return False
        self.used += tokens
        self.reserved_slots[request] = HeldState(tokens, now)
        return True

    def release_slot(self, request: str) -> HeldState | None:
        """Frees the decode slot reserved for a request."""
        slot = self.reserved_slots.pop(request, None)
        if slot:
            self.used -= slot.tokens
        return slot

    def load_report(self) -> dict[str, float]:
        """The named metrics of the engine's load report."""
        waiting = [*self.queue, *self.prefilling, *self.fetching]
        return {
            "latency_ms": max(
                [0.0, *(self.advanced_at_ms - work.queued_at_ms for work in list(self.queue)[:1])]
            ),
            "inflight": float(self.busy_slots + len(self.queue) + len(self.states)),
            "queue": float(len(self.queue)),
            "x0": self.used / self.spec.memory,
            "x1": sum(work.prefill_left or work.prompt_tokens for work in waiting) / 1000,
        }
