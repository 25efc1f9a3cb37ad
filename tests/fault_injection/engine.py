"""An engine by the platform's protocol page: reads prompts, answers from states, hears releases."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from zlib import crc32

from node_rig import EVENTS as ANSWER_EVENTS
from node_rig import LAST_CHUNK, NO_CONTENT, STREAM, chunk

from .ledger import Attempt, HeldKvCache, Ledger, Rule
from .network import End, Host, Network
from .schedule import BadAnswers, Behaviour, EngineSpec, Message
from .simulation import START, Simulation

FETCH = 0.01  # seconds that a state takes to move
EVENTS, EVENT_PAUSE = 3, 0.04  # of an answer
GOES_ON = 0.1  # seconds beyond the time told that an engine works on what it knows to be given up
NOISE = b"\x00\x17\x88 no head at all\r\n\r\n"
EVENT, _, DONE = ANSWER_EVENTS
NOT_RUN = "X-Not-Processed: 1\r\n"


def reply(status: int, more: str = "", body: bytes = b"") -> bytes:
    return f"HTTP/1.1 {status} X\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


@dataclass
class Request:
    """One whole request as it came in."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class RequestParser:
    """Cuts what comes on a connection into whole requests."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Request]:
        self._rest += data
        whole = []
        while (request := self._next()) is not None:
            whole.append(request)
        return whole

    def _next(self) -> Request | None:
        head, end, rest = self._rest.partition(b"\r\n\r\n")
        if not end:
            return None
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return None
        self._rest = rest[length:]
        method, path, _ = first.split(" ", 2)
        return Request(method, path, headers, rest[:length])


@dataclass(eq=False)
class Work:
    """One attempt that this engine has."""

    attempt: Attempt
    connection: Connection
    told: float  # seconds that its sender waits
    tokens: int
    running: bool = False
    answered: bool = False
    dropped: bool = False
    closed: bool = False  # this engine has seen its connection end
    silent: bool = False  # its answer gets lost
    spoilt: bool = False


class Connection:
    """One connection of a process to this engine."""

    def __init__(self, engine: Engine, end: End) -> None:
        self.engine, self.end = engine, end
        self._requests = RequestParser()
        self._unsent = b""
        self.work: Work | None = None

    def received(self, data: bytes) -> None:
        for request in self._requests.feed(data):
            self.engine.request(self, request)

    def ended(self, reset: bool) -> None:
        self.engine.connection_ended(self)
        self.end.close()

    def writable(self) -> None:
        self.send(b"")

    def send(self, data: bytes) -> None:
        self._unsent += data
        self._unsent = self._unsent[self.end.send(self._unsent) :]

    def side_ended(self) -> None:
        """Either side has ended it: to the rule, the attempt is over."""
        if self.work is not None:
            self.engine.attempt_over(self.work, "its connection is ended")


@dataclass(frozen=True)
class ClientView:
    """What the engine's model is told of a request's client, for the rules on time alone."""

    left_at: Callable[[], float | None]
    gives_up_at: float


@dataclass
class Faults:
    """Which message meets which fault, the same at each play of a schedule."""

    seed: int
    bad_answers: list[BadAnswers]

    def of(self, now_ms: float, message: Message, name: str) -> tuple[str, Random] | None:
        for at, fault in enumerate(self.bad_answers):
            if fault.message != message or not fault.start <= now_ms < fault.end:
                continue
            random = Random(crc32(f"{self.seed} {at} {name}".encode()))
            luck = random.random()
            for kind in ("lost", "reset", "error", "turned_away", "spoilt", "late"):
                luck -= getattr(fault, kind)
                if luck < 0:
                    return kind, random
        return None

    def delay(self, now_ms: float) -> float:
        return max(
            (fault.delay for fault in self.bad_answers if fault.start <= now_ms < fault.end), default=0
        )


class Engine:
    """One engine; it lives as long as its process."""

    def __init__(
        self,
        name: str,
        spec: EngineSpec,
        behaviour: Behaviour,
        host: Host,
        network: Network,
        ledger: Ledger,
        faults: Faults,
        clients: dict[str, ClientView],
        all_engines: dict[str, Engine],
        seed: int,
    ) -> None:
        self.name, self.spec, self.behaviour, self.host, self.network = name, spec, behaviour, host, network
        self.ledger, self.faults, self.clients, self.all_engines = ledger, faults, clients, all_engines
        self.random = Random(crc32(f"{seed} {name} {network.simulation.now}".encode()))
        self.simulation: Simulation = network.simulation
        self.works: dict[Work, None] = {}
        self.queue: list[Work] = []
        self.running: dict[Work, None] = {}
        self.draining = False
        host.accept = lambda end: Connection(self, end)

    @property
    def now_ms(self) -> float:
        """Since the start of the run."""
        return 1000 * (self.simulation.now - START)

    def request(self, connection: Connection, request: Request) -> None:
        """The last byte of a request has come to this running engine."""
        if request.method == "DELETE":
            return self._release(connection, request.path.rpartition("/")[2])
        if request.method == "GET":
            return connection.send(reply(200))
        self._attempt(connection, request)

    # Releases.

    def _release(self, connection: Connection, key: str) -> None:
        name = f"release {key} {self.name} {self.now_ms:.1f}"
        met = self.faults.of(self.now_ms, "release", name)
        kind, random = met or ("", self.random)
        if kind == "turned_away":
            return connection.send(reply(503, NOT_RUN))
        if kind == "error":
            return connection.send(reply(500))
        if kind == "late":
            delay = random.uniform(0, self.faults.delay(self.now_ms)) / 1000
            self.host.loop.call_later(delay, self._heard, connection, key, NO_CONTENT)
            return None
        if kind == "reset":
            return self.network.break_connection(connection.end)  # before it was read
        self._heard(connection, key, {"lost": b"", "spoilt": NOISE}.get(kind, NO_CONTENT))
        return None

    def _heard(self, connection: Connection, key: str, answer: bytes) -> None:
        self.ledger.release_received(key, self.name)
        connection.send(answer)

    # Attempts.

    def _attempt(self, connection: Connection, request: Request) -> None:
        key = request.headers["x-request-id"]
        client, now = self.clients[key], self.simulation.now
        tokens = max(1, len(request.body) // 4)
        told = int(request.headers["x-timeout-ms"]) / 1000
        reading = self.spec.role == "read"
        attempt = Attempt(key, self.name, now, reading)
        work = connection.work = Work(attempt, connection, told, tokens)
        self._judge_times(key, client, told, connection.end.peer.sent_at)
        if connection.end.peer.closed_at is not None:
            return None  # given up before it arrived
        self.works[work] = None
        self.ledger.attempt_started(attempt)
        met = self.faults.of(self.now_ms, "read" if reading else "write", f"{key} {self.name} {now:.4f}")
        kind, random = met or ("", self.random)
        if (
            kind == "turned_away"
            or self.draining
            or (len(self.running) >= self.spec.slots and len(self.queue) >= self.spec.queue)
        ):
            return self._answer(work, reply(503, NOT_RUN))
        if kind == "error" and random.random() < 0.5:
            return self._answer(work, reply(500))
        work.silent, work.spoilt = kind == "lost", kind == "spoilt"
        if kind == "reset":
            self.host.loop.call_later(random.uniform(0, 0.6), self.network.break_connection, connection.end)
        self.queue.append(work)
        self._next()
        return None

    def _judge_times(self, key: str, client: ClientView, told: float, sent: float) -> None:
        left = client.left_at()
        if left is not None and sent > left + 0.1:
            self.ledger.break_rule(
                Rule.AFTER_LEAVE, key, f"{1000 * (sent - left):.0f} ms after, at {self.name}"
            )
        if told > client.gives_up_at - sent + 0.15:
            self.ledger.break_rule(
                Rule.TOLD_TOO_MUCH, key, f"{told:.3f} s, {client.gives_up_at - sent:.3f} left"
            )

    def _next(self) -> None:
        while self.queue and len(self.running) < self.spec.slots:
            work = self.queue.pop(0)
            if work.dropped:
                continue
            if self.behaviour.drops_expired and self.simulation.now > work.attempt.since + work.told:
                self._answer(work, reply(504, NOT_RUN))
                continue
            self.running[work] = None
            work.running = True
            if self.spec.role == "read":
                self._read(work)
            else:
                self._fetch(work)

    def _read(self, work: Work) -> None:
        took = (self.spec.base + work.tokens / self.spec.pace) * self.random.uniform(0.5, 1.5) / 1000
        self.host.loop.call_later(took, self._has_read, work)

    def _has_read(self, work: Work) -> None:
        """The state is there, whatever became of the connection meanwhile."""
        gone = work.closed and (
            not self.behaviour.closed_reads_leave_state
            or self.simulation.now > work.attempt.since + work.told + GOES_ON
        )
        if not work.attempt.released and not gone:
            self.ledger.kv_cache_stored(work.attempt.request, self.name)
        self._answer(work, NOISE if work.spoilt else reply(202, "", b'{"cached_tokens":0}'))

    def _fetch(self, work: Work) -> None:
        if self._state_for(work) is None and self.spec.role == "write":
            return self._answer(work, reply(410, NOT_RUN))
        took = FETCH if self.spec.role == "write" else (self.spec.base + work.tokens / self.spec.pace) / 1000
        self.host.loop.call_later(took, self._has_fetched, work)
        return None

    def _state_for(self, work: Work) -> HeldKvCache | None:
        """The newest state of this request at an engine that can be reached."""
        held = self.ledger.records[work.attempt.request].kv_caches
        for state in reversed(list(held)):
            holder = self.all_engines.get(state.engine)
            if holder is None or not holder.host.up:
                continue
            now = self.simulation.now
            if self.network.open_at(holder.host.name, self.host.name, now) <= now:
                return state
        return None

    def _has_fetched(self, work: Work) -> None:
        state = self._state_for(work)
        if work.dropped:  # nobody reads it: the state stays where it was
            return self._end(work, "dropped")
        if state is None and self.spec.role == "write":
            return self._answer(work, reply(410, NOT_RUN))
        if state is not None:
            self.ledger.kv_cache_taken(work.attempt.request, state, self.name)
        self.ledger.records[work.attempt.request].ran.append(self.name)
        wait = self.spec.base * self.random.uniform(0.2, 1.0) / 1000
        self.host.loop.call_later(wait, self._begin, work)
        return None

    def _begin(self, work: Work) -> None:
        if work.dropped:
            return self._end(work, "dropped")
        if work.spoilt:
            return self._answer(work, NOISE)
        if not work.silent:
            work.connection.send(STREAM + chunk(EVENT))
        self.host.loop.call_later(EVENT_PAUSE, self._event, work, 1)
        return None

    def _event(self, work: Work, number: int) -> None:
        if work.dropped:
            return self._end(work, "nobody reads it")
        if number < EVENTS:
            if not work.silent:
                work.connection.send(chunk(EVENT))
            self.host.loop.call_later(EVENT_PAUSE, self._event, work, number + 1)
            return None
        return self._answer(work, chunk(DONE) + LAST_CHUNK)

    def _answer(self, work: Work, data: bytes) -> None:
        if not work.silent:
            work.connection.send(data)
        self._end(work, f"answered {data[9:12].decode('latin-1')}")

    def _end(self, work: Work, why: str) -> None:
        work.answered = True
        self.running.pop(work, None)
        self.works.pop(work, None)
        self.ledger.finished(work.attempt)
        if not work.silent:  # else its sender learns of no outcome but by its own time-out
            delivered = work.connection.end.last_arrival
            self.simulation.call_at(delivered, self.attempt_over, work, why)
        self._next()

    def attempt_over(self, work: Work, why: str) -> None:
        if not work.attempt.over:
            work.attempt.over = True
            self.ledger.attempt_ended(work.attempt, why)

    def connection_ended(self, connection: Connection) -> None:
        """This engine sees that a connection is over: a stream ends, what waits may, a read goes on."""
        work = connection.work
        if work is None or work.answered:
            return
        work.closed = True
        if self.spec.role != "read" or (not work.running and self.behaviour.cancel_drops_queued):
            work.dropped = True
            if not work.running:
                self.works.pop(work, None)

    def machine_gone(self) -> None:
        for work in list(self.works):
            self.attempt_over(work, "its machine is gone")
        self.ledger.lost_with(self.name)


def endpoint(name: str, spec: EngineSpec, port: int, status: str, since_ms: float) -> dict[str, object]:
    """The engine as discovery lists it."""
    return {
        "name": name,
        "address": f"127.0.0.1:{port}",
        "zone": spec.zone,
        "type": spec.role,
        "group": spec.cell,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


def listing(index: int, whole: bool, endpoints: list[dict[str, object]]) -> bytes:
    """One line of a watch."""
    return json.dumps({"index": index, "snapshot": whole, "endpoints": endpoints}).encode() + b"\n"
