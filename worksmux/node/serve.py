"""Start and shutdown of a node: sockets, signals and draining."""

from __future__ import annotations

import gc
import signal
import sys
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

import structlog

from ..forwarding.log_setup import set_up
from ..forwarding.memory import private_bytes
from ..forwarding.process import run_reactor, wait_until_flushed
from ..net import clock
from ..net.lateness import Lateness
from ..net.loop import Reactor, Timer, listen, the_reactor
from ..net.server import Server
from ..net.time_out import TimeOut
from ..net.transports import read_queues
from ..policy.id_map import IdMap
from .clients import NodeClients
from .config import Config, load
from .core import MAX_BODY_BYTES, MAX_HEAD_BYTES, NodeCore
from .counters import NodeCounts
from .discovery import Discovery
from .errors import ConfigError
from .limits import buffer_shares, shares

LOG = structlog.get_logger()
CONFIG_ERROR_EXIT_CODE = 2
CLIENT_IDLE_TIMEOUT_MS = 2000.0  # of a client connection without an open request
REQUEST_READ_TIMEOUT_MS = 2600.0  # to receive a complete request; clients must get an end within 3 s
DRAIN_ACCEPT_MS = 700.0  # after SIGTERM, for connections still being established
# After SIGTERM; new connections arrive for up to 400 ms.  A request that comes later could still stream when
# the process is killed, so it is refused instead.
DRAIN_SERVE_MS = 500.0
DRAIN_ACCEPT_ITERATIONS = 3  # further reactor iterations to accept, read and handle a connection
COUNTERS_PERIOD_MS = 1000.0
DISCOVERY_WAIT_MS = 250.0  # for discovery's first event before the node listens
MAX_DISCOVERY_WAIT_MS = 3000.0  # for a partly received first event, as a long list takes long
DISCOVERY_POLL_MS = 50.0  # while that event is incomplete
DISCOVERY_WAIT_ITERATIONS = 3  # further reactor iterations to read received data
RESTART_SECTIONS = ("name", "listen", "settings", "request_classes", "kinds", "zones")


class Node:
    """One node with its sockets; `stop` answers all accepted requests, then calls `on_end`."""

    def __init__(self, config: Config, reactor: Reactor) -> None:
        self.config, self.reactor = config, reactor
        self.counts = NodeCounts()
        id_map = IdMap(config.settings, config.seed)
        share = shares(config.sockets)
        self.core = NodeCore(id_map, reactor, self.counts, config.request_classes, share)
        self.discovery = Discovery(config.discovery, self.core, reactor, config.kinds, config.zones)
        self.core.engine_list = self.discovery
        self.core.on_empty = self._end_if_drained
        self.clients = NodeClients(self.core)
        self.lateness = Lateness(reactor, lambda: self.server.take_activity())
        self.server = Server(
            self.clients,
            MAX_BODY_BYTES,
            MAX_HEAD_BYTES,
            CLIENT_IDLE_TIMEOUT_MS,
            reactor,
            REQUEST_READ_TIMEOUT_MS,
            share.clients,
            self.lateness,
        )
        self.listener: Any = None
        self.port = 0
        self.on_end: Callable[[], None] = lambda: None
        self.on_serving: Callable[[], None] = lambda: None
        self.stopping = False
        self.accepting = True
        self.ended = False
        self.failed = False  # listening failed
        self._counters_timer: Timer | None = None
        self._discovery_timer: Timer | None = None
        self._discovery_deadline = 0.0

    # Start.

    def start(self) -> None:
        """Opens the watch on discovery; the node listens after discovery's first event or a timeout."""
        self.discovery.restore(self.config.known)
        self.discovery.start()
        self.lateness.start()
        self._discovery_timer = self.reactor.callLater(0, self._wait_for_discovery)
        self._log_counters()

    def _wait_for_discovery(self) -> None:
        """Starts the wait for discovery, in the reactor's next iteration after the start.

        Failure: applying the last list of thousands of engines takes as long as the wait, which ends before
        anything can be received.
        """
        self.discovery.on_first_event = self._serve
        self._discovery_deadline = clock.now() + MAX_DISCOVERY_WAIT_MS
        self._discovery_timer = TimeOut(
            self.reactor, DISCOVERY_WAIT_MS / 1000, self._discovery_is_late, DISCOVERY_WAIT_ITERATIONS
        )

    def _discovery_is_late(self) -> None:
        if self.discovery.is_receiving_first_object and clock.now() < self._discovery_deadline:
            self._discovery_timer = TimeOut(self.reactor, DISCOVERY_POLL_MS / 1000, self._discovery_is_late)
        else:
            self._serve()

    def _serve(self) -> None:
        """Starts to listen for clients.

        Failure: requests are routed by the list of an earlier run, to engines that have left since. A request
        can arrive within milliseconds of the start, so the node first waits for discovery's first event.
        """
        if self.listener is not None or self.stopping or self.failed:
            return
        _cancel(self._discovery_timer)
        buffers = buffer_shares(self.config.memory_bytes, private_bytes())
        self.server.buffers.max_bytes = buffers.clients
        self.core.engine_buffers.max_bytes = buffers.engines
        try:
            self.listener, self.port = listen(self.reactor, self.config.listen, self.server)
        except Exception as error:
            LOG.error("listening failed; the node exits", reason=str(error))
            self.failed = True
            return self._end()
        self.clients.ready = True
        self.on_serving()
        LOG.info(
            "serving",
            port=self.port,
            cores=self.config.cores,
            sockets=self.config.sockets,
            memory_bytes=round(self.config.memory_bytes),
            max_client_buffer_bytes=buffers.clients,
            max_engine_buffer_bytes=buffers.engines,
            frozen_objects=gc.get_freeze_count(),
        )

    def _log_counters(self) -> None:
        self.counts.closed(self.server.take_closes())
        client_buffers, engine_buffers = (
            self.server.buffers.take_counts(),
            self.core.engine_buffers.take_counts(),
        )
        self.counts.discarded(engine_buffers.discards)
        if counts := self.counts.take():
            parsed_later = self.server.work_queue.take_counts()
            client_reads, engine_reads = (queue.take_counts() for queue in read_queues(self.reactor))
            LOG.info(
                "counters",
                open_requests=self.counts.open,
                private_bytes=private_bytes(),
                connections=len(self.server.channels),
                client_buffer_bytes=client_buffers.peak_bytes,
                engine_buffer_bytes=engine_buffers.peak_bytes,
                requests_parsed_later=parsed_later.added,
                longest_parse_wait_ms=round(parsed_later.longest_wait_ms),
                client_reads_in_turn=client_reads.added,
                longest_client_read_wait_ms=round(client_reads.longest_wait_ms),
                engine_reads_in_turn=engine_reads.added,
                longest_engine_read_wait_ms=round(engine_reads.longest_wait_ms),
                **counts,
            )
        self._counters_timer = self.reactor.callLater(COUNTERS_PERIOD_MS / 1000, self._log_counters)

    def reload(self, variables: Mapping[str, str]) -> None:
        """Applies a new discovery address; an invalid configuration changes nothing."""
        try:
            loaded = load(variables)
        except ConfigError as error:
            LOG.error("configuration not reloaded", reason=str(error))
            return
        previous = self.config
        changed = [name for name in RESTART_SECTIONS if getattr(previous, name) != getattr(loaded, name)]
        if changed:
            LOG.warning("configuration change needs a restart", sections=changed)
        self.config = replace(previous, discovery=loaded.discovery)
        self.discovery.move(loaded.discovery)
        LOG.info("configuration reloaded", discovery=loaded.discovery)

    # Shutdown.

    def stop(self) -> None:
        """Drains and ends: accepts connections for a short time, answers all requests, releases KV cache."""
        if self.stopping:
            return
        self.stopping, self.clients.ready = True, False
        LOG.info("stopping", open_requests=len(self.core.open_requests))
        self.clients.refuse_after = clock.now() + DRAIN_SERVE_MS
        self.server.close_idle(unused_too=False)
        TimeOut(self.reactor, DRAIN_ACCEPT_MS / 1000, self._stop_accepting, DRAIN_ACCEPT_ITERATIONS)

    def _stop_accepting(self) -> None:
        self.accepting = False
        if self.listener is not None:
            self.listener.stopListening()
        self.server.close_idle()
        self._end_if_drained()

    def _end_if_drained(self) -> None:
        """Ends once no request is open, all answers are sent, and no KV cache may be held."""
        if self.accepting or not self.stopping or self.core.open_requests or self.ended:
            return
        self.ended = True
        wait_until_flushed(self.reactor, self.server, self._end, lambda: self.core.releaser.has_claims)

    def _end(self) -> None:
        LOG.info("ended", open_requests=len(self.core.open_requests), connections=len(self.server.channels))
        self.close()
        self.on_end()

    def close(self) -> None:
        """Closes all sockets at once."""
        self.discovery.stop()
        self.server.stop()
        self.lateness.stop()
        _cancel(self._counters_timer)
        _cancel(self._discovery_timer)
        if self.listener is not None:
            self.listener.stopListening()
        for pool in self.core.pools.values():
            pool.close()
        for channel in list(self.server.channels):
            channel.transport.abortConnection()


def _cancel(timer: Timer | None) -> None:
    if timer is not None and timer.active():
        timer.cancel()


def run(variables: Mapping[str, str]) -> int:
    """Serves until SIGTERM; returns the exit code."""
    try:
        config = load(variables)
    except ConfigError as error:
        print(f"worksmux node: {error}", file=sys.stderr)
        return CONFIG_ERROR_EXIT_CODE
    signal.signal(
        signal.SIGHUP, signal.SIG_IGN
    )  # until the reactor runs; the default action ends the process
    reactor = the_reactor()
    writer = set_up("json", "info", node=config.name)
    node = Node(config, reactor)
    node.on_end = reactor.stop
    # Failure: the garbage collector repeatedly traverses the objects of all engines and blocks the reactor.
    # The objects that exist when serving starts (program and first list) are long-lived and are frozen.
    node.on_serving = gc.freeze
    started = run_reactor(reactor, writer, node.start, node.stop, lambda: node.reload(variables))
    return int(not started or node.failed)
