"""A seeded play of the decision module over the bench's wire: bytes in, bytes out, and their digest.

The play knows nothing of the module's types. It packs events and reads actions by the layouts of the wire,
so its digest changes only where a decision, or the form of a message, changes.
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
AFTERMATH_MS = 8000.0  # played after the last request; some attempts never end
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
    """The platform's settings, by its own names."""
    plain: dict[str, Any] = {
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
        plain[key] = {**plain[key], **value} if isinstance(value, dict) else value
    return plain


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
    address: bytes
    kind: int
    zone: int
    cell: int
    size: float
    state: int = READY
    started: float = 0.0
    busy_until: float = 0.0
    outcome: int = SERVED  # of each call; SERVED: it does its work
    hung: bool = False

    def entry(self) -> bytes:
        return ENTRY.pack(self.size, self.zone, self.kind, self.state, self.started, self.cell, self.address)


@dataclass
class FakeRequest:
    prompt: float
    answer: float
    attempts: int = 0
    running: set[int] = field(default_factory=set)
    over: bool = False


class Play:
    """One module instance against engines and clients drawn from a seed."""

    def __init__(self, plain: dict[str, Any], seed: int) -> None:
        self.random = random.Random(seed)
        self.plain, self.seed = plain, seed
        self.now = 1000.0
        self.engines = [
            FakeEngine(bytes([10, 0, 0, at, 31, 64]), kind, zone, 2 * zone + at % 2, 1.0 + at % 2)
            for at, (zone, kind) in enumerate(
                (zone, kind)
                for zone in range(2)
                for kind in (PREFILL_KIND,) * 4 + (DECODE_KIND,) * 5 + (COMBINED_KIND,) * 2
            )
        ]
        self.by_address = {engine.address: engine for engine in self.engines}
        self.requests: dict[int, FakeRequest] = {}
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.order = 0
        self.events: list[tuple[int, tuple[Any, ...], bytes]] = []
        self.batch = 0
        self.until = 0.0
        self.digest = hashlib.sha256()
        self.actions: dict[int, int] = dict.fromkeys(ACTION_LAYOUTS, 0)

    def later(self, delay: float, call: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.due, (self.now + delay, self.order, call))

    def tell(self, code: int, *values: Any, tail: bytes = b"") -> None:
        self.events.append((code, values, tail))

    # What happens outside.

    def begin(self) -> None:
        self.tell(1, 0, self.seed, tail=json.dumps(self.plain).encode())
        self.list(FULL_LIST, self.engines)
        at = 0.0
        for number in range(1, REQUESTS + 1):
            at += self.random.expovariate(1 / MEAN_GAP_MS)
            self.later(at, lambda number=number: self.arrive(number))  # type: ignore[misc]
        for share, fault in (
            (0.1, self.slow_zone),
            (0.2, self.roll),
            (0.35, self.fail_some),
            (0.45, self.crowd),
            (0.5, self.lists_fail),
            (0.55, self.replace_most),
            (0.7, self.hang_some),
            (0.8, self.drain_some),
        ):
            self.later(at * share, fault)
        self.until = self.now + at + AFTERMATH_MS

    def list(self, scope: int, engines: list[FakeEngine]) -> None:
        self.tell(2, 0, scope, 0, tail=b"".join(engine.entry() for engine in engines))

    def some(self, count: int) -> list[FakeEngine]:
        return self.random.sample(self.engines, count)

    def slow_zone(self) -> None:
        for engine in self.engines:
            if engine.zone:
                engine.busy_until = self.now + 600

    def roll(self) -> None:
        for at, engine in enumerate(self.some(6)):
            self.later(150.0 * at, lambda engine=engine: self.restart(engine))  # type: ignore[misc]

    def restart(self, engine: FakeEngine, down_ms: float = 200.0) -> None:
        engine.state = DRAINING
        self.list(DELTA, [engine])
        self.later(100, lambda: self.set_state(engine, GONE))
        self.later(100 + down_ms, lambda: self.set_state(engine, READY))

    def set_state(self, engine: FakeEngine, state: int) -> None:
        engine.state = state
        if state == READY:
            engine.started, engine.hung, engine.outcome = self.now, False, SERVED
        self.list(DELTA, [engine])

    def fail_some(self) -> None:
        for engine, outcome in zip(self.some(5), (FAILED, RESET, UNREACHABLE, FULL, NOT_SENT), strict=True):
            engine.outcome = outcome
            self.later(900, lambda engine=engine: setattr(engine, "outcome", SERVED))  # type: ignore[misc]

    def crowd(self) -> None:
        for engine in self.engines:
            if engine.kind == DECODE_KIND and engine.zone == 0:
                engine.outcome = FULL
                self.later(700, lambda engine=engine: setattr(engine, "outcome", SERVED))  # type: ignore[misc]

    def lists_fail(self) -> None:
        self.tell(2, 0, FAILED_LIST, 0, tail=b"")
        self.later(300, lambda: self.list(FULL_LIST, self.engines[1:]))
        self.later(500, lambda: self.list(FULL_LIST, self.engines))

    def replace_most(self) -> None:
        for engine in self.some(14):
            self.restart(engine, self.random.uniform(50, 400))

    def hang_some(self) -> None:
        for engine in self.some(5):
            engine.hung = True
            self.later(1500, lambda engine=engine: setattr(engine, "hung", False))  # type: ignore[misc]

    def drain_some(self) -> None:
        for engine in self.some(3):
            engine.state = DRAINING
            self.list(DELTA, [engine])

    def arrive(self, number: int) -> None:
        draw = self.random
        klass = draw.choices(range(5), (6, 1, 2, 1, 1))[0]
        prompt, answer = draw.choice((300.0, 900.0, 2000.0, 6000.0)), draw.uniform(5, 60)
        prefix = draw.choice((0, 0x5C, 0xA7, 0xB1))
        left = draw.uniform(900, 3000)
        repeat = draw.random() < 0.1
        self.requests[number] = FakeRequest(prompt, answer)
        shared = prompt / 2 if prefix else 0.0
        session = draw.randrange(1, 60)
        self.tell(3, 0, number, klass, 0, session, left, 0.0, prefix, prompt, shared, 300.0, 2 * repeat)
        if draw.random() < 0.05:
            left *= draw.random()
        self.later(left, lambda: self.disconnect(number))

    def disconnect(self, number: int) -> None:
        if not self.requests[number].over:
            self.requests[number].over = True
            self.tell(6, 0, number)

    # What the module asks for.

    def attempt(self, number: int, address: bytes, time_out: float) -> None:
        request, engine, sent = self.requests[number], self.by_address[address], self.now
        at = request.attempts
        request.attempts += 1
        request.running.add(at)
        if time_out:
            self.later(time_out, lambda: self.end(number, at, TIMED_OUT, engine, sent))
        if engine.hung:
            return
        if engine.outcome != SERVED or engine.state == GONE:
            outcome = UNREACHABLE if engine.state == GONE else engine.outcome
            note = int(outcome == FULL and self.random.random() < 0.3)
            self.later(self.random.uniform(1, 30), lambda: self.end(number, at, outcome, engine, sent, note))
            return
        prefill_ms = request.prompt * self.random.uniform(0.02, 0.05)
        if engine.kind == PREFILL_KIND:
            engine.busy_until = max(engine.busy_until, self.now) + prefill_ms
            found = int(request.prompt * self.random.choice((0, 0, 0.4, 0.8)))
            wait = engine.busy_until - self.now
            self.later(wait, lambda: self.end(number, at, PREFILLED, engine, sent, found))
            return
        first = self.random.uniform(3, 40) + (prefill_ms if engine.kind == COMBINED_KIND else 0.0)
        broken = self.random.random() < 0.03
        self.later(first, lambda: self.first_token(number, at, engine, sent))
        end = first + request.answer * self.random.uniform(2, 8)
        self.later(end, lambda: self.end(number, at, RESET if broken else SERVED, engine, sent))

    def first_token(self, number: int, at: int, engine: FakeEngine, sent: float) -> None:
        if at in self.requests[number].running:
            self.tell(4, 0, number, engine.address, at, self.now - sent)

    def end(self, number: int, at: int, outcome: int, engine: FakeEngine, sent: float, note: int = 0) -> None:
        request = self.requests[number]
        if at not in request.running:
            return
        request.running.discard(at)
        done = outcome == SERVED and not request.over
        request.over = request.over or done
        self.tell(
            5,
            0,
            number,
            at,
            engine.address,
            outcome,
            self.now - sent,
            done,
            note,
            2,
            len(request.running),
            1.0,
            0.0,
            0.0,
        )

    def cancel(self, number: int, at: int) -> None:
        self.later(2.0, lambda: self.end(number, at, CANCELLED, self.engines[0], self.now))

    def check(self, address: bytes) -> None:
        engine, sent = self.by_address[address], self.now
        if engine.hung:
            delay, outcome = 250.0, TIMED_OUT
        elif engine.state == GONE:
            delay, outcome = 1.0, UNREACHABLE
        else:
            delay, outcome = max(2.0, engine.busy_until - self.now), SERVED
        self.later(delay, lambda: self.tell(8, 0, address, outcome, self.now - sent, 2, 3.0, 1.0, 0.0, 0.0))

    def carry_out(self, code: int, values: tuple[Any, ...]) -> None:
        self.actions[code] += 1
        match code:
            case 1:
                self.attempt(*values[1:])
            case 2 | 3:
                self.requests[values[1]].over = True
            case 4:
                self.cancel(values[1], values[2])
            case 5:
                self.later(values[1], lambda: self.tell(7, 0, values[2]))
            case 6:
                self.check(values[1])

    # The wire.

    def frame(self) -> bytes:
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
        self.digest.update(reply)
        size, count, number = REPLY_HEADER.unpack_from(reply)
        assert (size, number) == (len(reply), self.batch)
        for at in range(count):
            place = REPLY_HEADER.size + at * ACTION_BYTES
            code = reply[place]
            self.carry_out(code, struct.unpack_from("<" + ACTION_LAYOUTS[code], reply, place + 1))

    def rounds(self) -> Any:
        """Yields each frame; sent the reply."""
        self.begin()
        while self.now < self.until:
            while self.due and self.due[0][0] <= self.now:
                heapq.heappop(self.due)[2]()
            if self.events:
                frame = self.frame()
                self.events = []
                self.read_reply((yield frame))
            self.now += STEP_MS


class Pipe(io.RawIOBase):
    """Both ends of the adapter's standard streams, with the play behind them."""

    def __init__(self, play: Play) -> None:
        self.rounds = play.rounds()
        self.unread = next(self.rounds)

    def read(self, size: int = -1) -> bytes:
        taken, self.unread = self.unread[:size], self.unread[size:]
        return taken

    def write(self, reply: Any) -> int:
        self.unread += next_frame(self.rounds, bytes(reply))
        return len(reply)


def next_frame(rounds: Any, reply: bytes) -> bytes:
    try:
        frame: bytes = rounds.send(reply)
    except StopIteration:
        return b""
    return frame


def play(variant: str, seed: int) -> Play:
    """Plays to the end; the digest is over all replies."""
    one = Play(VARIANTS[variant], seed)
    pipe: Any = Pipe(one)
    assert main(pipe, pipe) == 0
    return one
