"""A fake engine that follows the platform's protocol: prefill, decode from held KV cache, and releases."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from zlib import crc32

from node_rig import EVENTS as ANSWER_EVENTS
from node_rig import LAST_CHUNK, NO_CONTENT, STREAM, chunk

from .ledger import Attempt, HeldKvCache, Ledger, Rule
from .network import ConnectionEnd, Host, Network
from .schedule import BadAnswers, Behaviour, EngineSpec, Message
from .simulation import START_S, Simulation

KV_FETCH_S = 0.01  # that a KV cache transfer takes
EVENTS, EVENT_PAUSE_S = 3, 0.04  # of a streamed response
ABANDONED_WORK_S = 0.1  # that an engine continues a prefill beyond its time limit after its connection closed
INVALID_REPLY = b"\x00\x17\x88 no head at all\r\n\r\n"
EVENT, _, DONE = ANSWER_EVENTS
NOT_RUN = "X-Not-Processed: 1\r\n"


def reply(status: int, headers: str = "", body: bytes = b"") -> bytes:
    """Returns an HTTP response."""
    return f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


@dataclass
class Request:
    """One complete HTTP request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class RequestParser:
    """Splits the bytes of a connection into complete HTTP requests."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Request]:
        """Returns the requests that `data` completes."""
        self._rest += data
        complete = []
        while (request := self._next()) is not None:
            complete.append(request)
        return complete

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
    """The engine's work on one attempt."""

    attempt: Attempt
    connection: Connection
    time_limit_s: float  # how long the sender waits, from the header of the attempt
    tokens: int
    running: bool = False
    answered: bool = False
    dropped: bool = False
    closed: bool = False  # the engine has seen the end of the connection
    silent: bool = False  # the response gets lost
    reply_invalid: bool = False


class Connection:
    """One connection of a process to an engine."""

    def __init__(self, engine: Engine, end: ConnectionEnd) -> None:
        self.engine, self.end = engine, end
        self._requests = RequestParser()
        self._unsent = b""
        self.work: Work | None = None

    def received(self, data: bytes) -> None:
        """Handles the requests that the bytes complete."""
        for request in self._requests.feed(data):
            self.engine.request(self, request)

    def ended(self, reset: bool) -> None:
        """Handles the end of the connection, as the engine sees it."""
        self.engine.connection_ended(self)
        self.end.close()

    def writable(self) -> None:
        """Sends more of the bytes that the send buffer could not take."""
        self.send(b"")

    def send(self, data: bytes) -> None:
        """Sends bytes; keeps those that the send buffer cannot take yet."""
        self._unsent += data
        self._unsent = self._unsent[self.end.send(self._unsent) :]

    def side_ended(self) -> None:
        """Ends the attempt for the rule on held KV cache, after either side has ended the connection."""
        if self.work is not None:
            self.engine.attempt_over(self.work, "its connection has ended")


@dataclass(frozen=True)
class ClientTimes:
    """Times of a request's client (seconds), which engines use only to check the rules on time."""

    disconnected_at: Callable[[], float | None]
    gives_up_at: float


@dataclass
class MessageFaults:
    """Decides which message has which fault, the same in each play of a schedule."""

    seed: int
    bad_answers: list[BadAnswers]

    def find(self, now_ms: float, message: Message, name: str) -> tuple[str, Random] | None:
        """Returns the kind of fault of a message and a random source for its details; None: no fault.

        `name` identifies the message: it seeds the random source together with the schedule.
        """
        for number, fault in enumerate(self.bad_answers):
            if fault.message != message or not fault.start <= now_ms < fault.end:
                continue
            random = Random(crc32(f"{self.seed} {number} {name}".encode()))
            remaining = random.random()
            for kind in ("lost", "reset", "error", "turned_away", "spoilt", "late"):
                remaining -= getattr(fault, kind)
                if remaining < 0:
                    return kind, random
        return None

    def max_delay_ms(self, now_ms: float) -> float:
        """Returns the longest delay of the faults that are active."""
        return max(
            (fault.delay for fault in self.bad_answers if fault.start <= now_ms < fault.end), default=0
        )


class Engine:
    """One engine process; a restarted engine is a new object."""

    def __init__(
        self,
        name: str,
        spec: EngineSpec,
        behaviour: Behaviour,
        host: Host,
        network: Network,
        ledger: Ledger,
        faults: MessageFaults,
        clients: dict[str, ClientTimes],
        all_engines: dict[str, Engine],
        seed: int,
    ) -> None:
        self.name, self.spec, self.behaviour, self.host, self.network = name, spec, behaviour, host, network
        self.ledger, self.faults, self.clients, self.all_engines = ledger, faults, clients, all_engines
        self.random = Random(crc32(f"{seed} {name} {network.simulation.now}".encode()))
        self.simulation: Simulation = network.simulation
        self.unfinished: dict[Work, None] = {}
        self.queue: list[Work] = []
        self.running: dict[Work, None] = {}
        self.draining = False
        host.accept = lambda end: Connection(self, end)

    @property
    def now_ms(self) -> float:
        """Returns the milliseconds since the start of the run."""
        return 1000 * (self.simulation.now - START_S)

    def request(self, connection: Connection, request: Request) -> None:
        """Handles a request whose last byte has arrived at the running engine."""
        if request.method == "DELETE":
            return self._release(connection, request.path.rpartition("/")[2])
        if request.method == "GET":
            return connection.send(reply(200))
        self._start_attempt(connection, request)

    # Releases.

    def _release(self, connection: Connection, key: str) -> None:
        """Handles a release of the KV cache of request `key`."""
        name = f"release {key} {self.name} {self.now_ms:.1f}"
        fault = self.faults.find(self.now_ms, "release", name)
        kind, random = fault or ("", self.random)
        if kind == "turned_away":
            return connection.send(reply(503, NOT_RUN))
        if kind == "error":
            return connection.send(reply(500))
        if kind == "late":
            delay = random.uniform(0, self.faults.max_delay_ms(self.now_ms)) / 1000
            self.host.loop.call_later(delay, self._finish_release, connection, key, NO_CONTENT)
            return None
        if kind == "reset":
            return self.network.break_connection(connection.end)  # before the engine has read the release
        self._finish_release(connection, key, {"lost": b"", "spoilt": INVALID_REPLY}.get(kind, NO_CONTENT))
        return None

    def _finish_release(self, connection: Connection, key: str, response: bytes) -> None:
        """Frees the KV cache of the request and sends the response."""
        self.ledger.release_received(key, self.name)
        connection.send(response)

    # Attempts.

    def _start_attempt(self, connection: Connection, request: Request) -> None:
        """Queues an attempt, or rejects it."""
        key = request.headers["x-request-id"]
        client, now = self.clients[key], self.simulation.now
        tokens = max(1, len(request.body) // 4)
        time_limit_s = int(request.headers["x-timeout-ms"]) / 1000
        is_prefill = self.spec.role == "read"
        attempt = Attempt(key, self.name, now, is_prefill)
        work = connection.work = Work(attempt, connection, time_limit_s, tokens)
        self._check_times(key, client, time_limit_s, connection.end.peer.sent_at)
        if connection.end.peer.closed_at is not None:
            return None  # the sender gave up before the attempt arrived
        self.unfinished[work] = None
        self.ledger.attempt_started(attempt)
        fault = self.faults.find(
            self.now_ms, "read" if is_prefill else "write", f"{key} {self.name} {now:.4f}"
        )
        kind, random = fault or ("", self.random)
        if (
            kind == "turned_away"
            or self.draining
            or (len(self.running) >= self.spec.slots and len(self.queue) >= self.spec.queue)
        ):
            return self._answer(work, reply(503, NOT_RUN))
        if kind == "error" and random.random() < 0.5:
            return self._answer(work, reply(500))
        work.silent, work.reply_invalid = kind == "lost", kind == "spoilt"
        if kind == "reset":
            self.host.loop.call_later(random.uniform(0, 0.6), self.network.break_connection, connection.end)
        self.queue.append(work)
        self._start_queued()
        return None

    def _check_times(self, key: str, client: ClientTimes, time_limit_s: float, sent_at: float) -> None:
        """Checks that the client was connected at the send, and waits for the time limit of the attempt."""
        disconnect_time = client.disconnected_at()
        if disconnect_time is not None and sent_at > disconnect_time + 0.1:
            self.ledger.break_rule(
                Rule.AFTER_DISCONNECT,
                key,
                f"{1000 * (sent_at - disconnect_time):.0f} ms after the client disconnected, to {self.name}",
            )
        if time_limit_s > client.gives_up_at - sent_at + 0.15:
            self.ledger.break_rule(
                Rule.TIMEOUT_TOO_LONG,
                key,
                f"{time_limit_s:.3f} s in the attempt, {client.gives_up_at - sent_at:.3f} s left",
            )

    def _start_queued(self) -> None:
        """Starts queued work while slots are free."""
        while self.queue and len(self.running) < self.spec.slots:
            work = self.queue.pop(0)
            if work.dropped:
                continue
            if (
                self.behaviour.drops_expired
                and self.simulation.now > work.attempt.since_s + work.time_limit_s
            ):
                self._answer(work, reply(504, NOT_RUN))
                continue
            self.running[work] = None
            work.running = True
            if self.spec.role == "read":
                self._prefill(work)
            else:
                self._fetch(work)

    def _prefill(self, work: Work) -> None:
        duration_s = (self.spec.base + work.tokens / self.spec.pace) * self.random.uniform(0.5, 1.5) / 1000
        self.host.loop.call_later(duration_s, self._finish_prefill, work)

    def _finish_prefill(self, work: Work) -> None:
        """Stores the KV cache, also after the connection has closed if the schedule says so."""
        abandoned = work.closed and (
            not self.behaviour.closed_reads_leave_state
            or self.simulation.now > work.attempt.since_s + work.time_limit_s + ABANDONED_WORK_S
        )
        if not work.attempt.released and not abandoned:
            self.ledger.kv_cache_stored(work.attempt.request, self.name)
        self._answer(work, INVALID_REPLY if work.reply_invalid else reply(202, "", b'{"cached_tokens":0}'))

    def _fetch(self, work: Work) -> None:
        """Starts a KV cache transfer, or the prefill at a combined engine."""
        if self._find_kv_cache(work) is None and self.spec.role == "write":
            return self._answer(work, reply(410, NOT_RUN))
        duration_s = (
            KV_FETCH_S
            if self.spec.role == "write"
            else (self.spec.base + work.tokens / self.spec.pace) / 1000
        )
        self.host.loop.call_later(duration_s, self._finish_fetch, work)
        return None

    def _find_kv_cache(self, work: Work) -> HeldKvCache | None:
        """Returns the newest KV cache held for the request at an engine that this engine can reach."""
        held = self.ledger.records[work.attempt.request].kv_caches
        for kv_cache in reversed(list(held)):
            holder = self.all_engines.get(kv_cache.engine)
            if holder is None or not holder.host.up:
                continue
            now = self.simulation.now
            if self.network.open_at(holder.host.name, self.host.name, now) <= now:
                return kv_cache
        return None

    def _finish_fetch(self, work: Work) -> None:
        """Takes the KV cache and starts the decode."""
        kv_cache = self._find_kv_cache(work)
        if work.dropped:  # its connection has closed: the KV cache stays where it is
            return self._end(work, "dropped")
        if kv_cache is None and self.spec.role == "write":
            return self._answer(work, reply(410, NOT_RUN))
        if kv_cache is not None:
            self.ledger.kv_cache_taken(work.attempt.request, kv_cache, self.name)
        self.ledger.records[work.attempt.request].executed_at.append(self.name)
        wait_s = self.spec.base * self.random.uniform(0.2, 1.0) / 1000
        self.host.loop.call_later(wait_s, self._first_event, work)
        return None

    def _first_event(self, work: Work) -> None:
        """Sends the head of the response and its first event."""
        if work.dropped:
            return self._end(work, "dropped")
        if work.reply_invalid:
            return self._answer(work, INVALID_REPLY)
        if not work.silent:
            work.connection.send(STREAM + chunk(EVENT))
        self.host.loop.call_later(EVENT_PAUSE_S, self._event, work, 1)
        return None

    def _event(self, work: Work, number: int) -> None:
        """Sends event `number`, or the end of the response."""
        if work.dropped:
            return self._end(work, "the connection has closed")
        if number < EVENTS:
            if not work.silent:
                work.connection.send(chunk(EVENT))
            self.host.loop.call_later(EVENT_PAUSE_S, self._event, work, number + 1)
            return None
        return self._answer(work, chunk(DONE) + LAST_CHUNK)

    def _answer(self, work: Work, data: bytes) -> None:
        """Sends the last bytes of a response and ends the work."""
        if not work.silent:
            work.connection.send(data)
        self._end(work, f"answered {data[9:12].decode('latin-1')}")

    def _end(self, work: Work, reason: str) -> None:
        """Ends the work; the attempt is over when the response has arrived."""
        work.answered = True
        self.running.pop(work, None)
        self.unfinished.pop(work, None)
        self.ledger.work_finished(work.attempt)
        if not work.silent:  # otherwise the sender sees an outcome only at its own time-out
            arrives_at = work.connection.end.last_arrival
            self.simulation.call_at(arrives_at, self.attempt_over, work, reason)
        self._start_queued()

    def attempt_over(self, work: Work, reason: str) -> None:
        """Records once that the attempt is no longer in flight."""
        if not work.attempt.over:
            work.attempt.over = True
            self.ledger.attempt_ended(work.attempt, reason)

    def connection_ended(self, connection: Connection) -> None:
        """Handles the end of a connection, as the engine sees it.

        A decode ends, a running prefill continues; the schedule says whether a queued prefill is dropped.
        """
        work = connection.work
        if work is None or work.answered:
            return
        work.closed = True
        if self.spec.role != "read" or (not work.running and self.behaviour.cancel_drops_queued):
            work.dropped = True
            if not work.running:
                self.unfinished.pop(work, None)

    def machine_gone(self) -> None:
        """Ends all attempts at the engine, and the KV cache that it holds."""
        for work in list(self.unfinished):
            self.attempt_over(work, "its machine is gone")
        self.ledger.engine_lost(self.name)


def endpoint(name: str, spec: EngineSpec, port: int, status: str, since_ms: float) -> dict[str, object]:
    """Returns the engine's entry in the endpoint list."""
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


def watch_event(index: int, snapshot: bool, endpoints: list[dict[str, object]]) -> bytes:
    """Returns one watch event, as a line of the discovery stream."""
    return json.dumps({"index": index, "snapshot": snapshot, "endpoints": endpoints}).encode() + b"\n"
