"""Keeps a connection to the registry, which sends the endpoint list as JSON lines.

After a lost connection it reconnects with exponential backoff and jitter; the last list stays in force
meanwhile.
"""

from __future__ import annotations

import random
from typing import Any, cast

import msgspec
import structlog
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from ..api.listing import LISTING_DECODER, Hello, Listing
from ..endpoints.endpoint_list import EndpointList
from ..endpoints.keys import key_of
from ..net import clock
from ..net.loop import Reactor, Transport
from ..policy.events import EndpointListUpdate
from ..policy.state import Engine
from ..settings.front import EndpointListSource
from .chat_engine_client import ChatEngineClient
from .endpoint_cache import EndpointCache

LOG = structlog.get_logger()
MIN_JITTER = 0.5  # a pause is multiplied by a random factor from this to 1


class RegistryConnection(LineReceiver):
    """One connection to the registry, read line by line."""

    delimiter = b"\n"

    def __init__(self, engine_list: EngineList) -> None:
        self.engine_list = engine_list
        self.MAX_LENGTH = engine_list.source.max_line_bytes

    def connectionMade(self) -> None:
        """Reports the new connection to the engine list."""
        self.engine_list.connection_opened(self)

    def lineReceived(self, line: bytes) -> None:
        """Passes a line of the registry to the engine list."""
        self.engine_list.line_received(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Logs a line that exceeds the limit, and drops the connection."""
        LOG.error("line of the registry too long; its connection is reopened", bound=self.MAX_LENGTH)
        self.drop()

    def drop(self) -> None:
        """Aborts the connection."""
        cast(Transport, self.transport).abortConnection()

    def send(self, message: Hello) -> None:
        """Sends one message as a JSON line."""
        cast(Transport, self.transport).write(msgspec.json.encode(message) + b"\n")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Reports the lost connection to the engine list."""
        self.engine_list.connection_lost(self, reason)


class EngineList(ClientFactory):
    """Keeps one connection to the registry, and passes each change of the endpoint list to the core."""

    noisy = False

    def __init__(self, source: EndpointListSource, core: ChatEngineClient, reactor: Reactor) -> None:
        self.source, self.core, self.reactor = source, core, reactor
        settings = core.settings
        self.endpoint_list = EndpointList(
            [kind.name for kind in settings.kinds],
            settings.zones,
            self.engine,
            source.max_silence_ms,
            max(source.max_silence_ms, settings.policy_settings.slow_start_ms),
        )
        self.list_reader = self.endpoint_list.reader
        self._connection: RegistryConnection | None = None  # None while not connected
        self._pause_ms = source.min_pause_ms
        self.endpoint_cache: EndpointCache | None = None  # set by GatewayProcess
        self._watching = not source.polls
        self._last_received_at = 0.0
        self._stopped = False
        self._timer: Any = None  # reconnects, or checks whether the registry is silent
        self._tick_timer: Any = None  # for `endpoint_list.next_time`
        self._connected_at = 0.0

    def engine(self, name: str) -> Engine:
        """The engine of this name; one name always gives the same object."""
        address = name.encode()
        return self.core.id_map.engine(address, key_of(address))

    def start(self) -> None:
        """Opens the first connection."""
        self._connect()

    def stop(self) -> None:
        """Closes the connection and cancels the timers."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._tick_timer is not None and self._tick_timer.active():
            self._tick_timer.cancel()
        if self._connection is not None:
            self._connection.drop()

    def _connect(self) -> None:
        if not self._stopped:
            self.reactor.connectTCP(*self.source.address, self, timeout=self.source.max_pause_ms / 1000)

    def buildProtocol(self, addr: IAddress | None) -> RegistryConnection:
        """Builds the protocol of a new connection."""
        return RegistryConnection(self)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Schedules another attempt to connect."""
        LOG.warning(
            "registry unreachable; connecting again after a pause",
            why=reason.getErrorMessage(),
            again_ms=round(self._pause_ms),
        )
        self._reconnect_later()

    def _reconnect_later(self) -> None:
        """Schedules the next connection attempt.

        The jitter keeps gateways from connecting all at once when the registry returns.
        """
        if not self._stopped:
            pause_ms = self._pause_ms * random.uniform(MIN_JITTER, 1.0)
            self._timer = self.reactor.callLater(pause_ms / 1000, self._connect)
            self._pause_ms = min(2 * self._pause_ms, self.source.max_pause_ms)

    def connection_opened(self, connection: RegistryConnection) -> None:
        """Introduces the gateway to the registry, and subscribes to changes if the policy wants them."""
        self._connection = connection
        self.list_reader.connected()
        self._last_received_at = self._connected_at = clock.now()
        self.core.metrics.registry_connected.set(1)
        connection.send(Hello(hello=self.core.settings.name, serial=self.list_reader.serial))
        if self.source.polls and self._watching:
            connection.send(Hello(watch=True))
        self._timer = self.reactor.callLater(self.source.max_silence_ms / 1000, self._check_silence)

    def _check_silence(self) -> None:
        """Drops the connection of a registry that hangs with its connection open.

        Failure: no list would arrive any more, and no error would show it.  A registry that works sends an
        empty line as a heartbeat.
        """
        silence_left_ms = self._last_received_at + self.source.max_silence_ms - clock.now()
        if silence_left_ms > 0:
            self._timer = self.reactor.callLater(silence_left_ms / 1000, self._check_silence)
        elif self._connection is not None:
            LOG.warning("registry silent; its connection is reopened")
            self._connection.drop()

    def connection_lost(self, connection: RegistryConnection, reason: Failure) -> None:
        """Schedules a new connection; the last list stays in force."""
        self._connection = None
        self.core.metrics.registry_connected.set(0)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._stopped:
            return
        LOG.warning(
            "registry connection lost; the last endpoint list stays in force",
            why=reason.getErrorMessage(),
            serial=self.list_reader.serial,
        )
        if self.source.polls:
            self.core.tell(EndpointListUpdate("failed", []))
        if clock.now() - self._connected_at > self.source.max_pause_ms:
            self._pause_ms = self.source.min_pause_ms  # after a short connection the backoff continues
        self._reconnect_later()

    def line_received(self, line: bytes) -> None:
        """Applies one line of the registry; requests the full list after a malformed one."""
        self._last_received_at = clock.now()
        if self.endpoint_cache is not None and self.list_reader.has_full_list:
            self.endpoint_cache.registry_heard()
        if not line.strip():  # a heartbeat
            return
        try:
            message = LISTING_DECODER.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            LOG.error("malformed line of the registry; the full list is requested", why=str(error))
            self.list_reader.fetching = True
            return self.fetch()
        if self._is_accepted(message):
            self._apply(message)

    def _is_accepted(self, message: Listing) -> bool:
        """False for an empty full list that would remove all cached endpoints."""
        if message.scope != "full" or self.endpoint_cache is None or self.list_reader.is_older(message):
            return True
        return self.endpoint_cache.accepts_list(not message.engines)

    def _apply(self, message: Listing) -> None:
        result = self.endpoint_list.take(clock.now(), message)
        if self.endpoint_cache is not None and result.event is not None and message.scope != "failed":
            self.endpoint_cache.list_received(message.engines, message.scope == "full", message.serial)
        for note in result.notes:
            LOG.warning("endpoint list", note=note)
        for known in result.moved:
            self.core.address_changed(known.engine, known.line.host, known.line.port)
        if result.event is not None:
            self.core.endpoints_updated(result.event)
        if result.fetch:
            self.fetch()
        self.core.metrics.list_lateness.set(self.endpoint_list.lateness_ms / 1000)
        self._update_metrics()
        self._schedule_tick()

    def _update_metrics(self) -> None:
        self.core.metrics.list_serial.set(self.list_reader.serial)
        self.core.metrics.engines_ready.set(self.list_reader.ready_count)
        self.core.metrics.engines_held_back.set(self.endpoint_list.damping.held_count)

    def _schedule_tick(self) -> None:
        tick_at = self.endpoint_list.next_time()
        if self._tick_timer is not None and self._tick_timer.active():
            self._tick_timer.cancel()
        if tick_at is not None and not self._stopped:
            self._tick_timer = self.reactor.callLater(max(0.0, tick_at - clock.now()) / 1000, self._tick)

    def _tick(self) -> None:
        """Returns engines that stopped flapping to use, and fetches a list that is overdue."""
        event, is_fetch_due = self.endpoint_list.tick(clock.now())
        if event is not None:
            LOG.info(
                "engines that flapped are used again",
                engines=[entry.engine.id.decode() for entry in event.entries],
            )
            self.core.endpoints_updated(event)
        if is_fetch_due and self._connection is not None:
            self.list_reader.fetching = True
            self.fetch()
        self._update_metrics()
        self._schedule_tick()

    def watch(self, enabled: bool) -> None:
        """Subscribes to changes of the endpoint list, or unsubscribes."""
        self._watching = enabled
        if self._connection is not None:
            self._connection.send(Hello(watch=enabled))

    def fetch(self) -> None:
        """Requests the full list; without a connection the policy gets a failed update at once."""
        if self._connection is not None:
            self._connection.send(Hello(fetch=True))
        else:
            self.core.tell(EndpointListUpdate("failed", []))
