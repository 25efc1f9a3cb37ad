"""Fake engines on real sockets: prefill, decode from held KV cache, releases, hangs, resets and restarts."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random
from typing import Any

from fault_injection.engine import NOT_RUN, Request, RequestParser, reply
from fault_injection.ledger import Attempt
from node_rig import EVENTS, LAST_CHUNK, NO_CONTENT, STREAM, chunk
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from worksmux.net.loop import listen

from .records import AttemptEnd, AttemptRecord, Records

EVENT, LAST_TEXT, DONE = EVENTS
MAX_RUNNING = 24  # attempts at one engine; more are rejected
PREFILL_S, FIRST_TOKEN_S = (0.02, 0.2), (0.02, 0.12)  # shortest and longest
SHORT_STREAM, LONG_STREAM = ((3, 20), (0.02, 0.06)), ((20, 80), (0.05, 0.3))  # events, and pause in seconds
LONG_STREAM_SHARE = 0.2
SPOILT_WRITE_BYTES, SPOILT_WRITE_PAUSE_S, MAX_SPOILT_BYTES = 2**16, 0.002, 2**23
REFUSAL_DELAY_S = 0.05  # after an engine is listed as draining, until it rejects attempts itself


class EngineConnection(Protocol):
    """One connection of a node."""

    def __init__(self, engine: SoakEngine) -> None:
        self.engine = engine
        self.node = ""  # incarnation of the node, told by the address that it connects from
        self.first_byte_at = 0.0
        self.record: AttemptRecord | None = None
        self.attempt: Attempt | None = None
        self.closed = False
        self._requests = RequestParser()

    @property
    def tcp(self) -> Any:
        """Returns the transport."""
        return self.transport

    def connectionMade(self) -> None:
        self.engine.connections[self] = None
        self.tcp.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        self.first_byte_at = self.first_byte_at or time.monotonic()
        self.engine.when_running(lambda: self._feed(data))

    def _feed(self, data: bytes) -> None:
        for request in self._requests.feed(data):
            if not self.closed:
                self.engine.handle(self, request)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.closed = True
        self.engine.connections.pop(self, None)
        self.end_attempt(AttemptEnd.CLOSED_BY_NODE)

    def end_attempt(self, end: AttemptEnd) -> None:
        """Records once how the attempt of this connection ended."""
        if self.record is not None and self.record.end is AttemptEnd.RUNNING:
            self.record.end, self.record.ended_at = end, time.monotonic()
        if self.attempt is not None and not self.attempt.over:
            self.attempt.over = True
            self.engine.records.ledger.attempt_ended(self.attempt, end.value)


class SoakEngine:
    """One engine; `restart` and `move` begin a new process of it."""

    def __init__(
        self,
        name: str,
        kind: str,
        zone: str,
        host: str,
        reactor: Any,
        records: Records,
        random: Random,
        node_of: Callable[[str], str],
    ) -> None:
        """Listens on a port of `host`; `node_of` returns the node's incarnation by request id."""
        self.name, self.kind, self.zone, self.host = name, kind, zone, host
        self.reactor, self.records, self.random, self.node_of = reactor, records, random, node_of
        self.connections: dict[EngineConnection, None] = {}
        self.status, self.since_ms, self.refuses = "SERVING", 0, False
        self.life = 0  # number of this process
        self._hung_until = self._spoils_until = 0.0
        self._noise = b""
        self._delayed: list[Callable[[], None]] = []
        self.port: Any = None
        self.port_number = 0
        self._listen()

    def _listen(self, port_number: int = 0) -> None:
        factory: Any = Factory.forProtocol(lambda: EngineConnection(self))  # type: ignore[arg-type]
        self.port, self.port_number = listen(self.reactor, (self.host, port_number), factory)

    def entry(self) -> dict[str, Any]:
        """Returns the engine's entry in the endpoint list."""
        return {
            "name": self.name,
            "address": f"{self.host}:{self.port_number}",
            "zone": self.zone,
            "type": self.kind,
            "group": ord(self.zone),
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }

    # Faults.

    def hang(self, seconds: float) -> None:
        """Stands still: nothing is read or written, and connections stay open."""
        self._hung_until = max(self._hung_until, time.monotonic() + seconds)
        self._mark_stalled()
        self.reactor.callLater(seconds, self._continue)

    def _continue(self) -> None:
        if time.monotonic() < self._hung_until - 0.001:
            return
        delayed, self._delayed = self._delayed, []
        for call in delayed:
            call()

    def _mark_stalled(self) -> None:
        for connection in self.connections:
            if connection.record is not None:
                connection.record.engine_stalled = True

    def reset_connections(self) -> None:
        """Resets all connections; the process goes on."""
        self._mark_stalled()
        for connection in list(self.connections):
            connection.end_attempt(AttemptEnd.BROKEN)
            connection.tcp.abortConnection()

    def restart(self) -> None:
        """Begins a new process at the same address: connections are reset and KV cache is lost."""
        self.reset_connections()
        self.life += 1
        self.since_ms = round(time.time() * 1000)
        self._delayed.clear()
        self.records.ledger.engine_lost(self.name)

    def move(self) -> None:
        """Listens at another address; open connections go on."""
        self.port.stopListening()
        self._listen()

    def close_port(self, seconds: float) -> None:
        """Refuses connections for some time."""
        self.port.stopListening()
        port_number = self.port_number

        def listen_again() -> None:
            if self.port_number == port_number:  # it has not moved meanwhile
                self._listen(port_number)

        self.reactor.callLater(seconds, listen_again)

    def refuse_soon(self) -> None:
        """Rejects attempts itself from now on, as a draining engine does."""
        self.reactor.callLater(REFUSAL_DELAY_S, self._refuse)

    def _refuse(self) -> None:
        self.refuses = self.status != "SERVING"

    def close(self) -> None:
        """Closes everything at the end of a run."""
        self.port.stopListening()
        for connection in list(self.connections):
            connection.tcp.abortConnection()

    def spoil_streams(self, seconds: float, chunk_bytes: int) -> None:
        """Sends noise without an end in place of the events of streams that begin in this time."""
        self._spoils_until = time.monotonic() + seconds
        noise = chunk(b"~" * chunk_bytes)
        self._noise = noise * (SPOILT_WRITE_BYTES // len(noise) + 1)

    # Work.

    def when_running(self, call: Callable[[], None]) -> None:
        """Runs a call now, or when the engine goes on after a hang."""
        if time.monotonic() < self._hung_until:
            self._delayed.append(call)
        else:
            call()

    def _later(self, seconds: float, call: Callable[[], None]) -> None:
        life = self.life

        def due() -> None:
            if life == self.life:
                self.when_running(call)

        self.reactor.callLater(seconds, due)

    def handle(self, connection: EngineConnection, request: Request) -> None:
        """Handles a complete request."""
        if request.method == "DELETE":
            self.records.ledger.release_received(request.path.rpartition("/")[2], self.name)
            connection.tcp.write(NO_CONTENT)
        elif request.method == "GET":
            connection.tcp.write(reply(200))
        else:
            self._attempt(connection, request)

    def _attempt(self, connection: EngineConnection, request: Request) -> None:
        key = request.headers["x-request-id"]
        is_prefill = self.kind == "prefill"
        record = AttemptRecord(key, self.name, self.node_of(key), is_prefill, connection.first_byte_at)
        attempt = Attempt(key, self.name, time.monotonic(), is_prefill)
        connection.record, connection.attempt = record, attempt
        self.records.attempts[key].append(record)
        self.records.ledger.attempt_started(attempt)
        if self.refuses or sum(other.record is not None for other in self.connections) > MAX_RUNNING:
            self._reject(connection, 503)
        elif is_prefill:
            self._later(self.random.uniform(*PREFILL_S), lambda: self._prefilled(connection, key))
        else:
            self._fetch(connection, key)

    def _reject(self, connection: EngineConnection, status: int) -> None:
        connection.tcp.write(reply(status, NOT_RUN))
        self._finish(connection, AttemptEnd.NOT_PROCESSED)

    def _finish(self, connection: EngineConnection, end: AttemptEnd) -> None:
        connection.end_attempt(end)
        if connection.attempt is not None:
            self.records.ledger.work_finished(connection.attempt)

    def _prefilled(self, connection: EngineConnection, key: str) -> None:
        """Holds the KV cache, also where the connection has closed meanwhile."""
        self.records.ledger.kv_cache_stored(key, self.name)
        if not connection.closed:
            connection.tcp.write(reply(202, "", b'{"cached_tokens":0}'))
        self._finish(connection, AttemptEnd.ANSWERED)

    def _fetch(self, connection: EngineConnection, key: str) -> None:
        """Takes the KV cache and runs the request, or rejects it where nothing is held."""
        held = list(self.records.ledger.records[key].kv_caches)
        if not held:
            return self._reject(connection, 410)
        self.records.ledger.kv_cache_taken(key, held[-1], self.name)
        assert connection.record is not None
        connection.record.executed = True
        if time.monotonic() < self._spoils_until:
            connection.record.engine_stalled = True  # the node may cut it
            connection.tcp.write(STREAM)
            return self._send_noise(connection, MAX_SPOILT_BYTES)
        is_long = self.random.random() < LONG_STREAM_SHARE
        events, pauses = LONG_STREAM if is_long else SHORT_STREAM
        count, pause = self.random.randint(*events), self.random.uniform(*pauses)
        self._later(
            self.random.uniform(*FIRST_TOKEN_S), lambda: self._send_event(connection, count, pause, STREAM)
        )

    def _send_noise(self, connection: EngineConnection, bytes_left: int) -> None:
        """Sends noise as fast as it is taken, until the node closes the connection."""
        if connection.closed or bytes_left <= 0:
            return
        if not connection.tcp.dataBuffer:
            connection.tcp.write(self._noise)
            bytes_left -= len(self._noise)
        self._later(SPOILT_WRITE_PAUSE_S, lambda: self._send_noise(connection, bytes_left))

    def _send_event(
        self, connection: EngineConnection, events_left: int, pause: float, head: bytes = b""
    ) -> None:
        if connection.closed:
            return
        assert connection.record is not None
        connection.record.last_event_at = time.monotonic()
        if events_left > 1:
            connection.tcp.write(head + chunk(EVENT))
            self._later(pause, lambda: self._send_event(connection, events_left - 1, pause))
        else:
            connection.tcp.write(head + chunk(LAST_TEXT) + chunk(DONE) + LAST_CHUNK)
            self._finish(connection, AttemptEnd.ANSWERED)
