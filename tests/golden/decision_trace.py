"""A seeded scenario for the routing policy over the simulator's wire protocol, and the digest of all replies.

The scenario does not use the types of the policy. It packs events and unpacks actions by the layouts of the
wire protocol, so its digest changes only if a decision or the layout of a message changes.
"""

from __future__ import annotations

import hashlib
import heapq
import io
import json
import random
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from worksmux.bench_adapter.__main__ import main

STEP_MS = 2.0
REQUESTS = 900
MEAN_GAP_MS = 7.0
DRAIN_MS = 8000.0  # played after the last request; some attempts never end
RECORD_BYTES, ACTION_BYTES = 64, 24
BATCH_HEADER, REPLY_HEADER, ENTRY = struct.Struct("<IIdI"), struct.Struct("<III"), struct.Struct("<fBBBdH6s")
EVENT_LAYOUTS = {
    1: "HQII",  # settings
    2: "HBQII",  # endpoint list
    3: "HIHIQddQfffB",  # request
    4: "HI6sHd",  # first token
    5: "HIH6sHdBIB4f",  # end of an attempt
    6: "HI",  # client disconnected
    7: "HQ",  # timer
    8: "H6sHdB4f",  # end of a health check
}
ACTION_LAYOUTS = {
    1: "HI6sd",  # attempt
    2: "HId",  # rejection
    3: "HI",  # abort
    4: "HIH",  # cancel
    5: "HdQ",  # timer
    6: "H6s",  # health check
    11: "HB",  # watch
    14: "HI6s",  # reserve
    15: "HI",  # release
}
SERVED, FAILED, FULL, TIMED_OUT, UNREACHABLE, RESET, CANCELLED, NOT_SENT, PREFILLED = (
    1,
    0,
    2,
    3,
    4,
    5,
    6,
    7,
    102,
)
READY, DRAINING, GONE = 2, 0, 1
FULL_LIST, DELTA, FAILED_LIST = 1, 0, 3
PREFILL_KIND, DECODE_KIND, COMBINED_KIND = 0, 1, 2


def settings(**changes: Any) -> dict[str, Any]:
    """Returns the platform's settings, with its own keys."""
    values: dict[str, Any] = {
        "me": 0,
        "balancers": 2,
        "zone": 0,
        "tick": 2.0,
        "membership_mode": "push",
        "services": [
            {"aim": 900.0, "deadline": 3000.0, "worth": 1.0, "late_worth": 0.2, "repeat": "free"},
            {"aim": 1500.0, "deadline": 3000.0, "repeat": "single_shot"},
            {"aim": 700.0, "deadline": 2500.0, "repeat": "guarded", "group": "zone", "window": 2400.0},
            {"aim": 800.0, "deadline": 2500.0, "repeat": "guarded", "group": "all", "window": 2400.0},
            {"aim": 800.0, "deadline": 2500.0, "repeat": "guarded", "group": "cell", "window": 2400.0},
        ],
        "limits": {
            "cancel": True,
            "probes": True,
            "try_limit": 4,
            "connect_timeout": 250.0,
            "retry_after": True,
            "max_retry_after": 2000.0,
        },
        "extra": {
            "duty_by_kind": ["read", "write", "both"],
            "kind_memory_tokens": [400_000, 60_000, 80_000],
            "holds_allowed": True,
            "read_in_place": False,
            "release_within": 400.0,
            "move_fee": 0.04,
            "aim_us_per_1000_prompt_tokens": [30_000, 30_000, 0, 20_000, 10_000],
            "token_aim": [40.0, 40.0, 30.0, 30.0, 30.0],
        },
        "rules": {
            "cold_share": 0.3,
            "warm_up": 3000.0,
            "tip_multiple": 3.0,
            "fall": 800.0,
            "drain_grace": 250.0,
        },
        "stats": {"via": "inline", "fields": ["inflight", "queue"]},
    }
    for key, value in changes.items():
        values[key] = {**values[key], **value} if isinstance(value, dict) else value
    return values


VARIANTS: dict[str, dict[str, Any]] = {
    "two_nodes_with_reservations": settings(),
    "many_nodes_that_check_before_prefill": settings(balancers=200, extra={"holds_allowed": False}),
    "decode_engines_may_prefill": settings(
        membership_mode="subscribe",
        extra={"read_in_place": True},
        limits={"probes": False, "retry_after": False},
    ),
    "no_cancel_no_memory_limit": settings(
        balancers=6, limits={"cancel": False, "try_limit": 3}, extra={"kind_memory_tokens": []}
    ),
}


@dataclass
class FakeEngine:
    """An engine with its list entry and its faults.  Times are in milliseconds."""

    address: bytes
    kind: int
    zone: int
    cell: int
    size: float
    state: int = READY
    started: float = 0.0
    busy_until: float = 0.0
    outcome: int = SERVED  # of each attempt; SERVED: the engine does its work
    hung: bool = False

    def entry(self) -> bytes:
        """Returns the engine's entry in an endpoint list."""
        return ENTRY.pack(self.size, self.zone, self.kind, self.state, self.started, self.cell, self.address)


@dataclass
class FakeRequest:
    """A request with its attempts; lengths are in tokens."""

    prompt: float
    answer: float
    attempts: int = 0
    running: set[int] = field(default_factory=set)
    over: bool = False


class Scenario:
    """One instance of the policy with fake engines and clients drawn from a seed."""

    def __init__(self, policy_settings: dict[str, Any], seed: int) -> None:
        self.random = random.Random(seed)
        self.policy_settings, self.seed = policy_settings, seed
        self.now = 1000.0
        self.engines = [
            FakeEngine(bytes([10, 0, 0, number, 31, 64]), kind, zone, 2 * zone + number % 2, 1.0 + number % 2)
            for number, (zone, kind) in enumerate(
                (zone, kind)
                for zone in range(2)
                for kind in (PREFILL_KIND,) * 4 + (DECODE_KIND,) * 5 + (COMBINED_KIND,) * 2
            )
        ]
        self.by_address = {engine.address: engine for engine in self.engines}
        self.requests: dict[int, FakeRequest] = {}
        self.scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.events: list[tuple[int, tuple[Any, ...], bytes]] = []
        self.batch = 0
        self.stop_at = 0.0
        self.digest = hashlib.sha256()
        self.actions: dict[int, int] = dict.fromkeys(ACTION_LAYOUTS, 0)

    def later(self, delay: float, call: Callable[[], None]) -> None:
        """Schedules a call `delay` ms from now."""
        self.sequence += 1
        heapq.heappush(self.scheduled, (self.now + delay, self.sequence, call))

    def add_event(self, code: int, *values: Any, tail: bytes = b"") -> None:
        """Adds an event to the next frame."""
        self.events.append((code, values, tail))

    # Requests, faults and endpoint lists.

    def begin(self) -> None:
        """Sends the settings and the first list, and schedules requests and faults."""
        self.add_event(1, 0, self.seed, tail=json.dumps(self.policy_settings).encode())
        self.send_list(FULL_LIST, self.engines)
        arrival_ms = 0.0
        for number in range(1, REQUESTS + 1):
            arrival_ms += self.random.expovariate(1 / MEAN_GAP_MS)
            self.later(arrival_ms, lambda number=number: self.arrive(number))  # type: ignore[misc]
        for share, fault in (
            (0.1, self.slow_zone),
            (0.2, self.rolling_restart),
            (0.35, self.fail_engines),
            (0.45, self.fill_decode_engines),
            (0.5, self.fail_lists),
            (0.55, self.restart_most),
            (0.7, self.hang_engines),
            (0.8, self.drain_engines),
        ):
            self.later(arrival_ms * share, fault)
        self.stop_at = self.now + arrival_ms + DRAIN_MS

    def send_list(self, scope: int, engines: list[FakeEngine]) -> None:
        """Sends the list entries of some engines."""
        self.add_event(2, 0, scope, 0, tail=b"".join(engine.entry() for engine in engines))

    def draw_engines(self, count: int) -> list[FakeEngine]:
        """Draws `count` different engines."""
        return self.random.sample(self.engines, count)

    def slow_zone(self) -> None:
        """Makes one zone busy for 600 ms."""
        for engine in self.engines:
            if engine.zone:
                engine.busy_until = self.now + 600

    def rolling_restart(self) -> None:
        """Restarts six engines, one after the other."""
        for number, engine in enumerate(self.draw_engines(6)):
            self.later(150.0 * number, lambda engine=engine: self.restart(engine))  # type: ignore[misc]

    def restart(self, engine: FakeEngine, down_ms: float = 200.0) -> None:
        """Drains an engine, removes it from the list, and lists it again as restarted."""
        engine.state = DRAINING
        self.send_list(DELTA, [engine])
        self.later(100, lambda: self.set_state(engine, GONE))
        self.later(100 + down_ms, lambda: self.set_state(engine, READY))

    def set_state(self, engine: FakeEngine, state: int) -> None:
        """Changes the state of an engine and sends its list entry."""
        engine.state = state
        if state == READY:
            engine.started, engine.hung, engine.outcome = self.now, False, SERVED
        self.send_list(DELTA, [engine])

    def fail_engines(self) -> None:
        """Makes five engines fail for 900 ms, each in a different way."""
        for engine, outcome in zip(
            self.draw_engines(5), (FAILED, RESET, UNREACHABLE, FULL, NOT_SENT), strict=True
        ):
            engine.outcome = outcome
            self.later(900, lambda engine=engine: setattr(engine, "outcome", SERVED))  # type: ignore[misc]

    def fill_decode_engines(self) -> None:
        """Makes all decode engines of one zone reject attempts as full for 700 ms."""
        for engine in self.engines:
            if engine.kind == DECODE_KIND and engine.zone == 0:
                engine.outcome = FULL
                self.later(700, lambda engine=engine: setattr(engine, "outcome", SERVED))  # type: ignore[misc]

    def fail_lists(self) -> None:
        """Sends a failed list, then a list without one engine, then the full list."""
        self.add_event(2, 0, FAILED_LIST, 0, tail=b"")
        self.later(300, lambda: self.send_list(FULL_LIST, self.engines[1:]))
        self.later(500, lambda: self.send_list(FULL_LIST, self.engines))

    def restart_most(self) -> None:
        """Restarts 14 engines at once."""
        for engine in self.draw_engines(14):
            self.restart(engine, self.random.uniform(50, 400))

    def hang_engines(self) -> None:
        """Makes five engines hang for 1,500 ms."""
        for engine in self.draw_engines(5):
            engine.hung = True
            self.later(1500, lambda engine=engine: setattr(engine, "hung", False))  # type: ignore[misc]

    def drain_engines(self) -> None:
        """Drains three engines."""
        for engine in self.draw_engines(3):
            engine.state = DRAINING
            self.send_list(DELTA, [engine])

    def arrive(self, number: int) -> None:
        """Draws and sends a request."""
        draw = self.random
        request_class = draw.choices(range(5), (6, 1, 2, 1, 1))[0]
        prompt, answer = draw.choice((300.0, 900.0, 2000.0, 6000.0)), draw.uniform(5, 60)
        prefix = draw.choice((0, 0x5C, 0xA7, 0xB1))
        left_ms = draw.uniform(900, 3000)
        repeat = draw.random() < 0.1
        self.requests[number] = FakeRequest(prompt, answer)
        shared = prompt / 2 if prefix else 0.0
        session = draw.randrange(1, 60)
        self.add_event(
            3, 0, number, request_class, 0, session, left_ms, 0.0, prefix, prompt, shared, 300.0, 2 * repeat
        )
        if draw.random() < 0.05:
            left_ms *= draw.random()
        self.later(left_ms, lambda: self.disconnect(number))

    def disconnect(self, number: int) -> None:
        """Ends a request that its client has abandoned."""
        if not self.requests[number].over:
            self.requests[number].over = True
            self.add_event(6, 0, number)

    # Actions of the policy.

    def attempt(self, number: int, address: bytes, time_out_ms: float) -> None:
        """Sends an attempt to an engine and schedules its events."""
        request, engine, sent_at = self.requests[number], self.by_address[address], self.now
        index = request.attempts
        request.attempts += 1
        request.running.add(index)
        if time_out_ms:
            self.later(time_out_ms, lambda: self.end(number, index, TIMED_OUT, engine, sent_at))
        if engine.hung:
            return
        if engine.outcome != SERVED or engine.state == GONE:
            outcome = UNREACHABLE if engine.state == GONE else engine.outcome
            note = int(outcome == FULL and self.random.random() < 0.3)
            self.later(
                self.random.uniform(1, 30), lambda: self.end(number, index, outcome, engine, sent_at, note)
            )
            return
        prefill_ms = request.prompt * self.random.uniform(0.02, 0.05)
        if engine.kind == PREFILL_KIND:
            engine.busy_until = max(engine.busy_until, self.now) + prefill_ms
            cached_tokens = int(request.prompt * self.random.choice((0, 0, 0.4, 0.8)))
            wait_ms = engine.busy_until - self.now
            self.later(wait_ms, lambda: self.end(number, index, PREFILLED, engine, sent_at, cached_tokens))
            return
        first_token_ms = self.random.uniform(3, 40) + (prefill_ms if engine.kind == COMBINED_KIND else 0.0)
        is_reset = self.random.random() < 0.03
        self.later(first_token_ms, lambda: self.first_token(number, index, engine, sent_at))
        end_ms = first_token_ms + request.answer * self.random.uniform(2, 8)
        self.later(end_ms, lambda: self.end(number, index, RESET if is_reset else SERVED, engine, sent_at))

    def first_token(self, number: int, index: int, engine: FakeEngine, sent_at: float) -> None:
        """Sends the first token of an attempt that still runs."""
        if index in self.requests[number].running:
            self.add_event(4, 0, number, engine.address, index, self.now - sent_at)

    def end(
        self, number: int, index: int, outcome: int, engine: FakeEngine, sent_at: float, note: int = 0
    ) -> None:
        """Sends the end of an attempt that still runs."""
        request = self.requests[number]
        if index not in request.running:
            return
        request.running.discard(index)
        is_served = outcome == SERVED and not request.over
        request.over = request.over or is_served
        self.add_event(
            5,
            0,
            number,
            index,
            engine.address,
            outcome,
            self.now - sent_at,
            is_served,
            note,
            2,
            len(request.running),
            1.0,
            0.0,
            0.0,
        )

    def cancel(self, number: int, index: int) -> None:
        """Cancels an attempt; its end follows 2 ms later."""
        self.later(2.0, lambda: self.end(number, index, CANCELLED, self.engines[0], self.now))

    def check_health(self, address: bytes) -> None:
        """Sends the result of a health check when it is known."""
        engine, sent_at = self.by_address[address], self.now
        if engine.hung:
            delay_ms, outcome = 250.0, TIMED_OUT
        elif engine.state == GONE:
            delay_ms, outcome = 1.0, UNREACHABLE
        else:
            delay_ms, outcome = max(2.0, engine.busy_until - self.now), SERVED
        self.later(
            delay_ms,
            lambda: self.add_event(8, 0, address, outcome, self.now - sent_at, 2, 3.0, 1.0, 0.0, 0.0),
        )

    def execute(self, code: int, values: tuple[Any, ...]) -> None:
        """Counts and executes one action."""
        self.actions[code] += 1
        match code:
            case 1:
                self.attempt(*values[1:])
            case 2 | 3:
                self.requests[values[1]].over = True
            case 4:
                self.cancel(values[1], values[2])
            case 5:
                self.later(values[1], lambda: self.add_event(7, 0, values[2]))
            case 6:
                self.check_health(values[1])

    # The wire protocol.

    def frame(self) -> bytes:
        """Returns all new events as one frame."""
        tail, body = bytearray(), b""
        for code, values, data in self.events:
            if code in (1, 2):
                length = len(data) // ENTRY.size if code == 2 else len(data)
                values = (*values, len(tail), length)
                tail += data
            body += struct.pack("<B" + EVENT_LAYOUTS[code], code, *values).ljust(RECORD_BYTES, b"\0")
        size = BATCH_HEADER.size + len(body) + len(tail)
        self.batch += 1
        return BATCH_HEADER.pack(len(self.events), size, self.now, self.batch) + body + bytes(tail)

    def read_reply(self, reply: bytes) -> None:
        """Adds a reply to the digest and executes its actions."""
        self.digest.update(reply)
        size, count, number = REPLY_HEADER.unpack_from(reply)
        assert (size, number) == (len(reply), self.batch)
        for position in range(count):
            offset = REPLY_HEADER.size + position * ACTION_BYTES
            code = reply[offset]
            self.execute(code, struct.unpack_from("<" + ACTION_LAYOUTS[code], reply, offset + 1))

    def rounds(self) -> Any:
        """Yields each frame, and receives the reply to it by `send`."""
        self.begin()
        while self.now < self.stop_at:
            while self.scheduled and self.scheduled[0][0] <= self.now:
                heapq.heappop(self.scheduled)[2]()
            if self.events:
                frame = self.frame()
                self.events = []
                self.read_reply((yield frame))
            self.now += STEP_MS


class Pipe(io.RawIOBase):
    """Standard input and output of the adapter, connected to a scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.rounds = scenario.rounds()
        self.unread = next(self.rounds)

    def read(self, size: int = -1) -> bytes:
        """Returns bytes of the current frame."""
        taken, self.unread = self.unread[:size], self.unread[size:]
        return taken

    def write(self, reply: Any) -> int:
        """Passes a reply to the scenario, which makes the next frame."""
        self.unread += next_frame(self.rounds, bytes(reply))
        return len(reply)


def next_frame(rounds: Any, reply: bytes) -> bytes:
    """Returns the frame after a reply, empty at the end of the scenario."""
    try:
        frame: bytes = rounds.send(reply)
    except StopIteration:
        return b""
    return frame


def play(variant: str, seed: int) -> Scenario:
    """Plays a scenario to its end and returns it; its digest is over all replies."""
    scenario = Scenario(VARIANTS[variant], seed)
    pipe: Any = Pipe(scenario)
    assert main(pipe, pipe) == 0
    return scenario
