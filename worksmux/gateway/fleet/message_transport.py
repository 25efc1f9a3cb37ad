"""Messages between nodes of a fleet: one HTTP POST each, on a separate listener.

Delivery is best effort: a message is neither acknowledged nor retried, and an answer is a separate message.
Every message is bounded in size, typed, and has the fleet's name, the format version and its sender. An
invalid message is counted, logged with its sender and the reason, and has no other effect.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
import structlog

from ...config_audit import copies
from ...consensus import messages as consensus_messages
from ...consensus import replication_messages
from ...errors import WorksmuxError
from ...gossip import messages as gossip_messages
from ...net import client, clock
from ...net.buffer_budget import BufferBudget
from ...net.loop import Reactor, Timer, listen
from ...net.server import Exchange, Server
from ...settings.fleet import FleetSettings

LOG = structlog.get_logger()
FORMAT_VERSION = 1  # a message of any other version is refused
MESSAGE_PATH = "/fleet/message"
CONTENT_TYPE = "application/msgpack"
MAX_HEAD_BYTES = 8192
MAX_BUFFERED_MESSAGES = 16  # of the largest size, incomplete, from all nodes together
MAX_PENDING_CALLS = 16  # to one address; further messages are dropped, as by a lossy network
MAX_IDLE_CONNECTIONS = 2  # to one address
KEEP_ALIVE_PERIODS = 10  # probe periods after which an idle connection is closed
MAX_PORT = 65_535
LOG_INTERVAL_MS = 10_000.0  # between two log lines on the same fault of the same sender
MAX_LOGGED_FAULTS = 1000  # remembered for LOG_INTERVAL_MS
MAX_LOGGED_NAME, MAX_LOGGED_REASON, MAX_LOGGED_ADDRESS = 200, 300, 100  # characters


class ConsensusMessage(msgspec.Struct, tag="seat"):
    """A message between voters or learners; `sender` and `receiver` are consensus server names."""

    sender: str = msgspec.field(name="seat")
    receiver: str = msgspec.field(name="to")
    message: consensus_messages.Message


class GossipMessage(msgspec.Struct, tag="peer"):
    """A message of the membership protocol."""

    message: gossip_messages.Message


class ReplicationMessage(msgspec.Struct, tag="follow"):
    """A message between replicas of the replicated state."""

    message: replication_messages.Message


class AuditMessage(msgspec.Struct, tag="account"):
    """A message between nodes with audit logs and holders of their copies."""

    message: copies.Message


Payload = ConsensusMessage | GossipMessage | ReplicationMessage | AuditMessage


class Envelope(msgspec.Struct):
    """A message with its sender; `generation` counts the sender's starts, `address` is its listener."""

    format_version: int = msgspec.field(name="form")
    fleet: str
    sender: str = msgspec.field(name="name")
    generation: int = msgspec.field(name="life")
    address: str
    payload: Payload = msgspec.field(name="inner")


class _EnvelopeHeader(msgspec.Struct):
    """The part of an envelope that every format version has."""

    format_version: int = msgspec.field(name="form")
    fleet: str = ""
    sender: str = msgspec.field(name="name", default="")


_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
_HEADER_DECODER = msgspec.msgpack.Decoder(_EnvelopeHeader)


class AddressError(WorksmuxError, ValueError):
    """An address is not `host:port` with a port from 1 to 65535."""

    def __init__(self, address: str) -> None:
        super().__init__(
            f"address {address[:MAX_LOGGED_ADDRESS]!r} is not host:port with a port from 1 to 65535"
        )


def _parse_address(address: str) -> tuple[str, int]:
    """Returns host and port; raises AddressError."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise AddressError(address)
    return host, int(port)


class MessageTransport:
    """The listener and connection pools; `on_message` is called with each valid envelope of this fleet."""

    def __init__(
        self, settings: FleetSettings, reactor: Reactor, name: str, on_message: Callable[[Envelope], None]
    ) -> None:
        self.settings, self.reactor, self.name, self.on_message = settings, reactor, name, on_message
        self.generation = 0
        self.address = settings.address
        self.refused_count: Counter[str] = Counter()  # by reason
        self.sent_count = self.sent_bytes = self.dropped_count = 0
        keep_alive_ms = KEEP_ALIVE_PERIODS * settings.probe_interval_ms
        self._server = Server(
            self._on_exchange,
            settings.max_body_bytes,
            MAX_HEAD_BYTES,
            keep_alive_ms,
            reactor,
            max_buffered_bytes=MAX_BUFFERED_MESSAGES * settings.max_body_bytes,
        )
        self._server.buffers.name = "nodes"
        self._buffers = BufferBudget("replies of nodes", MAX_BUFFERED_MESSAGES * MAX_HEAD_BYTES)
        self._pools: dict[str, client.Pool] = {}  # by address
        self._pending_calls: Counter[str] = Counter()  # by address
        self._fault_logged_at_ms: dict[str, float] = {}  # by reason and sender
        self._port: Any = None
        self._closed = False

    def start(self) -> None:
        """Listens, and sets the address if it is not configured, with the port chosen by the system."""
        self._port, number = listen(self.reactor, self.settings.listen, self._server)
        self.address = self.address or f"{self.settings.listen[0]}:{number}"

    def close(self) -> None:
        """Stops listening and closes all connections; no message is sent afterwards."""
        self._closed = True
        if self._port is not None:
            self._port.stopListening()
        for pool in self._pools.values():
            pool.close()
        for channel in list(self._server.channels):
            channel.transport.abortConnection()

    def send(self, receiver: str, address: str, payload: Payload) -> None:
        """Sends a message to a node; a configured address overrides the advertised `address`."""
        address = self.settings.address_overrides.get(receiver, address)
        if not address or self._closed:
            return
        if self._pending_calls[address] >= MAX_PENDING_CALLS:
            self.dropped_count += 1
            return
        try:
            pool = self._pool(address)
        except AddressError as error:
            self.refuse("address", receiver, str(error))
            return
        envelope = Envelope(
            FORMAT_VERSION, self.settings.name, self.name, self.generation, self.address, payload
        )
        body = msgspec.msgpack.encode(envelope)
        self._pending_calls[address] += 1
        self.sent_count += 1
        self.sent_bytes += len(body)
        self._post(pool, address, body)

    def _pool(self, address: str) -> client.Pool:
        """Returns the connection pool of an address; raises AddressError."""
        if address not in self._pools:
            host, port = _parse_address(address)
            connect_timeout_ms = self.settings.probe_interval_ms
            keep_alive_ms = KEEP_ALIVE_PERIODS * self.settings.probe_interval_ms
            self._pools[address] = client.Pool(
                self.reactor,
                host,
                port,
                connect_timeout_ms,
                keep_alive_ms,
                MAX_IDLE_CONNECTIONS,
                MAX_HEAD_BYTES,
                buffers=self._buffers,
            )
        return self._pools[address]

    def _post(self, pool: client.Pool, address: str, body: bytes) -> None:
        """Sends one call, and abandons it if the receiver does not answer within a probe period."""
        timer: Timer

        def on_end(*_: Any) -> None:
            if timer.active():
                timer.cancel()
            self._pending_calls[address] -= 1

        def on_timeout() -> None:
            call.abandon()
            self._pending_calls[address] -= 1

        timer = self.reactor.callLater(self.settings.probe_interval_ms / 1000, on_timeout)
        reader = client.BufferedResponse(MAX_HEAD_BYTES, on_end)
        call = pool.call("POST", MESSAGE_PATH, reader, (("Content-Type", CONTENT_TYPE),), body)

    def forget(self, address: str) -> None:
        """Closes the connections to the address of a node that is gone."""
        pool = self._pools.pop(address, None)
        if pool is not None and not self._pending_calls[address]:
            pool.close()
            del self._pending_calls[address]

    def _on_exchange(self, exchange: Exchange) -> None:
        if exchange.method != b"POST" or exchange.path.decode("latin-1") != MESSAGE_PATH:
            return exchange.answer(404, b"")
        body = exchange.body()
        exchange.answer(204, b"", CONTENT_TYPE)
        try:
            envelope = _ENVELOPE_DECODER.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return self._refuse_body(body, str(error))
        if envelope.format_version != FORMAT_VERSION or envelope.fleet != self.settings.name:
            return self._refuse_body(
                body, f"format version is {envelope.format_version}, fleet is {envelope.fleet!r}"
            )
        self.on_message(envelope)

    def _refuse_body(self, body: bytes, detail: str) -> None:
        """Refuses a body that is not an envelope of this fleet and version; the header gives the reason."""
        try:
            header = _HEADER_DECODER.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return self.refuse("no message", "", detail)
        if header.format_version != FORMAT_VERSION:
            reason = "form"
        elif header.fleet != self.settings.name:
            reason = "fleet"
        else:
            reason = "field"
        self.refuse(reason, header.sender[:MAX_LOGGED_NAME], detail)

    def refuse(self, reason: str, sender: str, detail: str) -> None:
        """Counts a refused message, and logs each fault of a sender at most once in LOG_INTERVAL_MS."""
        self.refused_count[reason] += 1
        now_ms, fault = clock.now(), f"{reason} {sender}"
        if now_ms <= self._fault_logged_at_ms.get(fault, -LOG_INTERVAL_MS) + LOG_INTERVAL_MS:
            return
        # Senders choose their names: without a bound a faulty sender would make this map grow forever.
        if len(self._fault_logged_at_ms) > MAX_LOGGED_FAULTS:
            self._fault_logged_at_ms.clear()
        self._fault_logged_at_ms[fault] = now_ms
        LOG.warning(
            "message of another node refused",
            sender=sender,
            reason=reason,
            detail=detail[:MAX_LOGGED_REASON],
        )
