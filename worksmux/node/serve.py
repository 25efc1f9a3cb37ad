"""Starts a front node and ends it in order: sockets, signals."""

from __future__ import annotations

import gc
import signal
import sys
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

import structlog

from ..forwarding.log_setup import set_up
from ..forwarding.process import FLUSH, let_out, run_reactor
from ..net import clock
from ..net.lateness import Lateness
from ..net.loop import Reactor, listen, the_reactor
from ..net.server import Server
from ..net.time_out import TimeOut
from ..policy.id_map import IdMap
from .clients import NodeClients
from .config import BadConfig, Config, load
from .core import BODY, HEAD, NodeCore
from .counters import NodeCounts
from .discovery import Discovery
from .kv_claims import LONGEST_SILENCE
from .limits import shares

LOG = structlog.get_logger()
BAD_CONFIG = 2
IDLE = 2000.0  # a client's connection without an open job, milliseconds
PATIENCE = 2600.0  # for a request to come whole: who sends none is owed an end within 3 s
ACCEPTING = 700.0  # after SIGTERM: connections may still come
LAST_TURNS = 3  # of the reactor after that: a connection is accepted, read and taken
TELL = 1000.0  # between two lines of counts
FIRST_WORD = 250.0  # what discovery's agent has it tells at once; a silent one has nothing to tell
LONGEST_FIRST_WORD = 3000.0  # for one that has begun to come and is not whole: a long list takes time to read
LOOK_AGAIN = 50.0  # at whether it is whole
READ_TURNS = 3  # of the reactor after that: what has come is read


class Node:
    """One front node with its sockets; `stop` answers what it has taken, then calls `on_end`."""

    def __init__(self, config: Config, reactor: Reactor) -> None:
        self.config, self.reactor = config, reactor
        self.counts = NodeCounts()
        door = IdMap(config.settings, config.seed)
        share = shares(config.sockets)
        self.core = NodeCore(door, reactor, self.counts, config.request_classes, share)
        self.discovery = Discovery(config.discovery, self.core, reactor, config.kinds, config.zones)
        self.core.engine_list = self.discovery
        self.core.on_empty = self._emptied
        self.clients = NodeClients(self.core)
        self.lateness = Lateness(reactor)
        self.server = Server(self.clients, BODY, HEAD, IDLE, reactor, PATIENCE, share.clients, self.lateness)
        self.listener: Any = None
        self.port = 0
        self.on_end: Callable[[], None] = lambda: None
        self.on_serving: Callable[[], None] = lambda: None
        self.stopping = False
        self.accepting = True
        self.ended = False
        self.failed = False  # it could not listen
        self.timer: Any = None
        self.waiting: Any = None  # for discovery's first word
        self._latest_start = 0.0

    def start(self) -> None:
        self.discovery.remember(self.config.known)
        self.discovery.start()
        self.lateness.start()
        self.waiting = self.reactor.callLater(0, self._wait_for_first_word)
        self._tell_counts()

    def _wait_for_first_word(self) -> None:
        """Guards against a time that is over before anything could be heard, as taking up the last list of
        thousands of engines took as long: it begins after that."""
        self.discovery.on_word = self._serve
        self._latest_start = clock.now() + LONGEST_FIRST_WORD
        self.waiting = TimeOut(self.reactor, FIRST_WORD / 1000, self._first_word_is_late, READ_TURNS)

    def _first_word_is_late(self) -> None:
        if self.discovery.hearing and clock.now() < self._latest_start:
            self.waiting = TimeOut(self.reactor, LOOK_AGAIN / 1000, self._first_word_is_late)
        else:
            self._serve()

    def _serve(self) -> None:
        """Guards against jobs sent by the list of an earlier life: what left meanwhile counts as told from
        the node's first moment, and a job can come within the milliseconds before the watch speaks."""
        if self.listener is not None or self.stopping or self.failed:
            return
        if self.waiting.active():
            self.waiting.cancel()
        try:
            self.listener, self.port = listen(self.reactor, self.config.listen, self.server)
        except Exception as error:
            LOG.error("cannot listen", why=str(error))
            self.failed = True
            return self._over()
        self.clients.ready = True
        self.on_serving()
        LOG.info(
            "serving",
            port=self.port,
            cores=self.config.cores,
            sockets=self.config.sockets,
            memory=round(self.config.memory),
            frozen=gc.get_freeze_count(),
        )

    def _tell_counts(self) -> None:
        closes, self.server.closes = self.server.closes, Counter()
        self.counts.closed(closes)
        if counts := self.counts.take():
            LOG.info("counts", open=self.counts.open, **counts)
        self.timer = self.reactor.callLater(TELL / 1000, self._tell_counts)

    def reload(self, variables: Mapping[str, str]) -> None:
        """Takes up discovery's new address; a configuration that is wrong leaves all as it was."""
        try:
            fresh = load(variables)
        except BadConfig as error:
            LOG.error("the configuration was not taken up; the old one holds", why=str(error))
            return
        old = self.config
        fixed = [
            name
            for name in ("name", "listen", "settings", "offerings", "kinds", "zones")
            if getattr(old, name) != getattr(fresh, name)
        ]
        if fixed:
            LOG.warning("parts of the configuration need a restart and stay as they were", parts=fixed)
        self.config = replace(old, discovery=fresh.discovery)
        self.discovery.move(fresh.discovery)
        LOG.info("configuration taken up", discovery=fresh.discovery)

    def stop(self) -> None:
        if self.stopping:
            return
        self.stopping, self.clients.ready = True, False
        LOG.info("stopping", open=len(self.core.cases))
        self.server.close_idle(unused_too=False)
        TimeOut(self.reactor, ACCEPTING / 1000, self._accepted, LAST_TURNS)

    def _accepted(self) -> None:
        """No more connections are to come: what is left is answered and the node ends."""
        self.accepting = False
        if self.listener is not None:
            self.listener.stopListening()
        self.server.close_idle()
        self._emptied()

    def _emptied(self) -> None:
        if self.stopping and not self.accepting and not self.core.cases and not self.ended:
            self.ended = True
            flushed = clock.now() + FLUSH

            def waiting() -> bool:
                return self.core.releases.open or bool(self.server.channels) and clock.now() < flushed

            let_out(self.reactor, waiting, self._over, LONGEST_SILENCE)

    def _over(self) -> None:
        self.close()
        self.on_end()

    def close(self) -> None:
        self.discovery.stop()
        self.server.stop()
        self.lateness.stop()
        for timer in (self.timer, self.waiting):
            if timer is not None and timer.active():
                timer.cancel()
        if self.listener is not None:
            self.listener.stopListening()
        for pool in self.core.pools.values():
            pool.close()
        for channel in list(self.server.channels):
            channel.transport.abortConnection()


def run(variables: Mapping[str, str]) -> int:
    """Serves until SIGTERM."""
    try:
        config = load(variables)
    except BadConfig as error:
        print(f"worksmux node: {error}", file=sys.stderr)
        return BAD_CONFIG
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it can be acted on
    reactor = the_reactor()
    writer = set_up("json", "info", node=config.name)
    node = Node(config, reactor)
    node.on_end = reactor.stop
    # Guards against a collector that walks through all engines each time, and keeps the reactor for as long:
    # what there is by now, the program and the first list, stays for good.
    node.on_serving = gc.freeze
    started = run_reactor(reactor, writer, node.start, node.stop, lambda: node.reload(variables))
    return int(not started or node.failed)
