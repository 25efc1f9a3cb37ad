"""Keeps a connection to the registry, which sends the endpoint list as JSON lines.

After a lost connection it reconnects with exponential backoff and jitter; the last list stays in force
meanwhile. A connection that is silent is kept while others are opened beside it, since it may be slow rather
than dead; see `endpoints.watch_retention`.
"""

from __future__ import annotations

import math
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
from ..endpoints.watch_progress import WatchEnd, WatchProgress, WatchStage
from ..endpoints.watch_retention import RetentionLimits, WatchRetention
from ..net import clock
from ..net.loop import Reactor, Transport
from ..policy.events import EndpointListUpdate
from ..policy.state import Engine
from ..settings.front import EndpointListSource
from .chat_engine_client import ChatEngineClient
from .endpoint_cache import EndpointCache

LOG = structlog.get_logger()
MAX_CONNECTIONS = 6
MIN_TIMEOUT_PERIODS, MAX_TIMEOUT_PERIODS = 3, 30  # of `max_silence_ms`, for the oldest silent connection
MIN_JITTER = 0.5  # a pause is multiplied by a random factor from this to 1
ENDS_BY_REMOTE = frozenset((WatchEnd.LOST, WatchEnd.CORRUPT))


class RegistryConnection(LineReceiver):
    """One connection to the registry, read line by line."""

    delimiter = b"\n"

    def __init__(self, engine_list: EngineList) -> None:
        self.engine_list = engine_list
        self.MAX_LENGTH = engine_list.source.max_line_bytes
        self.progress = WatchProgress(clock.now())
        self.last_line_at_ms = self.progress.opened_at_ms  # clock time; the opening before the first line
        self.end = WatchEnd.LOST

    @property
    def has_partial_line(self) -> bool:
        """Whether a line was received in part."""
        return bool(self._buffer)

    def connectionMade(self) -> None:
        """Reports the new connection to the engine list."""
        self.engine_list.stage_reached(self, WatchStage.CONNECTED)
        self.engine_list.connection_opened(self)

    def dataReceived(self, data: bytes) -> None:
        """Records that data has arrived, and splits it into lines."""
        self.engine_list.stage_reached(self, WatchStage.FIRST_BYTE)
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def lineReceived(self, line: bytes) -> None:
        """Passes a line of the registry to the engine list, unless this connection was closed meanwhile."""
        if self.end is not WatchEnd.LOST:
            return
        self.engine_list.stage_reached(self, WatchStage.FIRST_EVENT)
        if line.strip():
            self.engine_list.stage_reached(self, WatchStage.FIRST_OBJECT)
        self.engine_list.line_received(self, line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Logs a line that exceeds the limit, and drops the connection."""
        LOG.error("line of the registry too long; its connection is reopened", bound=self.MAX_LENGTH)
        self.drop(WatchEnd.CORRUPT)

    def drop(self, end: WatchEnd) -> None:
        """Aborts the connection; `end` tells why."""
        self.end = end
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
        self._connection: RegistryConnection | None = None  # in use; None while not connected
        self._connections: list[RegistryConnection] = []  # all, oldest first
        self._retention = WatchRetention(
            RetentionLimits(
                MAX_CONNECTIONS,
                MIN_TIMEOUT_PERIODS * source.max_silence_ms,
                MAX_TIMEOUT_PERIODS * source.max_silence_ms,
            )
        )
        self._pause_ms = source.min_pause_ms
        self.endpoint_cache: EndpointCache | None = None  # set by GatewayProcess
        self._watching = not source.polls
        self._stopped = False
        self._connect_timer: Any = None
        self._silence_timer: Any = None
        self._tick_timer: Any = None  # for `endpoint_list.next_time`

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
        for timer in (self._connect_timer, self._silence_timer, self._tick_timer):
            _cancel(timer)
        for connection in self._connections:
            connection.drop(WatchEnd.STOPPED)

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
            _cancel(self._connect_timer)
            self._connect_timer = self.reactor.callLater(pause_ms / 1000, self._connect)
            self._pause_ms = min(2 * self._pause_ms, self.source.max_pause_ms)

    def stage_reached(self, connection: RegistryConnection, stage: WatchStage) -> None:
        """Counts a stage that a connection has reached for the first time."""
        if connection.progress.reach(stage, clock.now()):
            self.core.metrics.registry_stage_reached(stage)

    def connection_opened(self, connection: RegistryConnection) -> None:
        """Introduces the gateway to the registry, and subscribes to changes if the policy wants them."""
        self._make_room()
        self._connections.append(connection)
        if self._connection is None:
            self._use(connection)
        connection.send(Hello(hello=self.core.settings.name, serial=self.list_reader.serial))
        if self.source.polls and self._watching:
            connection.send(Hello(watch=True))
        self._check_silence()

    def _use(self, connection: RegistryConnection) -> None:
        self._connection = connection
        self.list_reader.connected()
        self.core.metrics.registry_connected.set(1)

    def _make_room(self) -> None:
        """Closes a silent connection if there are too many."""
        index = self._retention.make_room([each.progress for each in self._connections], clock.now())
        if index is not None:
            self._connections[index].drop(WatchEnd.NO_ROOM)

    def _check_silence(self) -> None:
        """Opens another connection beside those of a registry that has sent no line for too long.

        Failure: the registry hangs with its connection open, and no error shows it; one that works sends an
        empty line as a heartbeat. A registry that is slow looks the same, so the silent connection stays.
        """
        _cancel(self._silence_timer)
        newest_sign_ms = max((each.last_line_at_ms for each in self._connections), default=-math.inf)
        silence_left_ms = newest_sign_ms + self.source.max_silence_ms - clock.now()
        if silence_left_ms > 0:
            self._silence_timer = self.reactor.callLater(silence_left_ms / 1000, self._check_silence)
        elif self._connections and not self._stopped:
            LOG.warning("registry silent; another connection is opened", connections=len(self._connections))
            self._reconnect_later()

    def connection_lost(self, connection: RegistryConnection, reason: Failure) -> None:
        """Schedules a new connection if the registry ended one; the last list stays in force."""
        self._connections.remove(connection)
        self._log_end(connection, reason)
        if self._stopped:
            return
        if connection is self._connection:
            self._lose_current()
        if connection.end not in ENDS_BY_REMOTE:
            return
        if clock.now() - connection.progress.opened_at_ms > self.source.max_pause_ms:
            self._pause_ms = self.source.min_pause_ms  # after a short connection the backoff continues
        self._reconnect_later()

    def _lose_current(self) -> None:
        self._connection = None
        self.core.metrics.registry_connected.set(0)
        if self.source.polls:
            self.core.tell(EndpointListUpdate("failed", []))
        if self._connections:
            self._use(self._connections[0])

    def _log_end(self, connection: RegistryConnection, reason: Failure) -> None:
        self.core.metrics.registry_connection_ended(connection.end)
        log = LOG.warning if connection.end in ENDS_BY_REMOTE else LOG.info
        log(
            "registry connection lost; the last endpoint list stays in force"
            if connection is self._connection
            else "registry connection closed",
            reason=connection.end.value,
            why=reason.getErrorMessage(),
            serial=self.list_reader.serial,
            **connection.progress.log_fields(clock.now()),
        )

    def line_received(self, connection: RegistryConnection, line: bytes) -> None:
        """Applies one line of the registry; requests the full list after a malformed one."""
        connection.last_line_at_ms = clock.now()
        if not self._takes_over(connection, line):
            return
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

    def _takes_over(self, connection: RegistryConnection, line: bytes) -> bool:
        """Whether a connection is in use or is from now on, with its first line.

        A heartbeat alone does not replace a connection that has received a part of a list.
        """
        others = [each for each in self._connections if each is not connection]
        if connection is not self._connection:
            if not line.strip() and any(each.has_partial_line for each in others):
                return False
            if self._connection is not None and self.source.polls:
                self.core.tell(EndpointListUpdate("failed", []))  # a list requested there will not come
            self._use(connection)
            self._retention.reset()
        for other in others:
            other.drop(WatchEnd.REPLACED)
        return True

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
        _cancel(self._tick_timer)
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
        for connection in self._connections:
            connection.send(Hello(watch=enabled))

    def fetch(self) -> None:
        """Requests the full list; without a connection the policy gets a failed update at once."""
        if self._connection is not None:
            self._connection.send(Hello(fetch=True))
        else:
            self.core.tell(EndpointListUpdate("failed", []))


def _cancel(timer: Any) -> None:
    if timer is not None and timer.active():
        timer.cancel()
