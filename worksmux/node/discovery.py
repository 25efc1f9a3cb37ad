"""Keeps a watch on the platform's discovery open, and the endpoint list up to date.

A change has to be known within 6 s of discovery having it, whatever becomes of a single call. That leaves
time for the silence after which a watch is no longer trusted and for opening three more, each of which may
connect and then stay silent; the rest is for a node that is late itself.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import structlog

from ..endpoints.keys import key_of
from ..endpoints.list_reader import EndpointListReader
from ..net import client, clock
from ..net.loop import Reactor, Timer
from ..policy.state import Engine
from .core import MAX_HEAD_BYTES, NodeCore
from .discovery_watch import MAX_OBJECT_BYTES, DiscoveryWatch
from .endpoint_list import HostList, convert

LOG = structlog.get_logger()
PATH = "/discovery/hosts"
HEARTBEAT_MS = 2000.0  # an empty line comes at least as often
MAX_WATCH_SILENCE_MS = 1.25 * HEARTBEAT_MS  # after it another watch is opened beside a silent one
FIRST_EVENT_TIMEOUT_MS = 0.4 * HEARTBEAT_MS  # mean; after it another watch is opened beside a new one
OPEN_TIMEOUT_MS = 1.5 * HEARTBEAT_MS  # a watch without an event by then is closed
POLL_MS = HEARTBEAT_MS / 16
MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS = 50.0, 1000.0
MAX_LOGGED_NOTES = 8  # of one list


class Discovery:
    """Keeps one watch open and hands each list to the core.

    A new watch replaces the current one with its first event. So a new address is used while the old one
    still works, and a watch that has fallen silent may prove to be alive.
    """

    def __init__(
        self, address: tuple[str, int], core: NodeCore, reactor: Reactor, kinds: list[str], zones: list[str]
    ) -> None:
        self.address, self.core, self.reactor = address, core, reactor
        self.keeper = EndpointListReader(kinds, zones, self.engine)
        self.index = 0  # of the last list
        self.current: DiscoveryWatch | None = None
        self.opening: list[DiscoveryWatch] = []  # without an event, oldest first
        self.stopped = False
        self.on_first_event: Callable[[], None] | None = None  # called once
        self._last_event_at = 0.0  # of the current watch
        self._next_open_at = 0.0
        self._retry_delay_ms = MIN_RETRY_DELAY_MS
        self._timer: Timer | None = None

    def engine(self, name: str) -> Engine:
        """The engine with this name."""
        engine_id = name.encode()
        return self.core.id_map.engine(engine_id, key_of(engine_id))

    def restore(self, known: HostList) -> None:
        """Takes the list as this node last had it, until discovery sends one."""
        self._apply(known, "cached")

    def start(self) -> None:
        """Opens the first watch."""
        self._poll()

    def stop(self) -> None:
        """Closes all watches."""
        self.stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for watch in (self.current, *self.opening):
            if watch is not None:
                watch.close()

    @property
    def is_receiving_first_object(self) -> bool:
        """Whether a new watch has begun to send, and its first object is not whole."""
        return any(watch.has_partial_object for watch in self.opening)

    def watch(self, on: bool) -> None:
        """Does nothing: the watch is always open."""

    def fetch(self) -> None:
        """Does nothing: the watch brings the list."""

    def move(self, address: tuple[str, int]) -> None:
        """Discovery has a new address: opens a watch there at once."""
        if address != self.address:
            self.address, self._retry_delay_ms, self._next_open_at = address, MIN_RETRY_DELAY_MS, 0.0
            while self.opening:
                self.opening.pop().close()
            self._poll()

    # Opening watches.

    def _poll(self) -> None:
        """Opens another watch if one is needed.

        Failure: discovery hangs with its connection open, or connections to it come up late or not at all.
        Each watch is opened beside those without an event, so that their waits do not add up.
        """
        if self.stopped:
            return
        now = clock.now()
        while self.opening and now - self.opening[0].opened_at > OPEN_TIMEOUT_MS:
            self.opening.pop(0).close()
        needed = self._needs_watch(now)
        if needed and now >= self._next_open_at:
            self._open(now)
        self._poll_in(min(POLL_MS, self._next_open_at - now) if needed else POLL_MS)

    def _needs_watch(self, now: float) -> bool:
        """Whether there is no current watch, or it is silent for too long or at an old address."""
        current = self.current
        return (
            current is None
            or current.address != self.address
            or now - self._last_event_at > MAX_WATCH_SILENCE_MS
        )

    def _poll_in(self, delay_ms: float) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = self.reactor.callLater(max(0.0, delay_ms) / 1000, self._poll)

    def _open(self, now: float) -> None:
        # With jitter: hundreds of nodes that lost discovery at once must not call it at once.
        self._next_open_at = now + FIRST_EVENT_TIMEOUT_MS * random.uniform(0.75, 1.25)
        pool = client.Pool(
            self.reactor, *self.address, OPEN_TIMEOUT_MS, 0.0, 0, MAX_HEAD_BYTES, MAX_OBJECT_BYTES
        )
        watch = DiscoveryWatch(self, now)
        self.opening.append(watch)
        watch.call = pool.call("GET", f"{PATH}?stream=1&index={self.index}", watch)

    # Called by watches.

    def on_lost(self, watch: DiscoveryWatch, reason: str) -> None:
        """A watch has ended; another one is opened after a delay."""
        planned_at = math.inf
        if watch in self.opening:
            self.opening.remove(watch)
            planned_at = self._next_open_at  # the delay must not be added to the wait for its first event
        elif watch is self.current:
            self.current = None
        else:
            return
        LOG.warning("discovery watch lost", reason=reason, index=self.index)
        if not self.stopped:
            delay_ms = self._retry_delay_ms * random.uniform(0.5, 1.0)
            self._next_open_at = min(planned_at, clock.now() + delay_ms)
            self._retry_delay_ms = min(2 * self._retry_delay_ms, MAX_RETRY_DELAY_MS)
            self._poll_in(min(POLL_MS, delay_ms))

    def on_corrupt_event(self, watch: DiscoveryWatch, reason: str) -> None:
        """Ends the watch and asks the next one for the whole list; other watches go on."""
        LOG.error("corrupt discovery event", reason=reason)
        self.index = 0
        watch.end("corrupt event")

    def on_event(self, watch: DiscoveryWatch, hosts: HostList | None) -> None:
        """A watch has brought a list, or a heartbeat (None)."""
        if watch in self.opening:
            self._make_current(watch)
        elif watch is not self.current:
            return
        self._last_event_at = clock.now()
        self._retry_delay_ms = MIN_RETRY_DELAY_MS
        if hosts is not None:
            self._apply(hosts)
        on_first_event, self.on_first_event = self.on_first_event, None
        if on_first_event is not None:
            on_first_event()

    def _make_current(self, watch: DiscoveryWatch) -> None:
        old, self.current = self.current, watch
        for other in self.opening:
            if other is not watch:
                other.close()
        self.opening.clear()
        self.keeper.connected()
        if old is not None:
            old.close()

    # Lists.

    def _apply(self, hosts: HostList, scope: str = "") -> None:
        """Takes a list and hands it to the core; `scope` replaces the list's own."""
        lines, notes = convert(hosts, self.keeper.serial, clock.wall())
        self.keeper.has_full_list = True
        accepted = self.keeper.take(clock.now(), lines)
        self.index = hosts.index
        for engine in self.core.forget_gone():
            self.keeper.known.pop(engine.id.decode(), None)
        self._log_notes([*notes, *accepted.notes])
        LOG.info(
            "endpoint list",
            index=hosts.index,
            snapshot=hosts.snapshot,
            leaving=[line.id for line in lines.engines if line.state != "ready"],
        )
        for known in accepted.moved:
            self.core.address_changed(known.engine, known.line.host, known.line.port)
        if accepted.event is not None:
            if scope:
                accepted.event.scope = scope
            self.core.endpoints_updated(accepted.event)

    @staticmethod
    def _log_notes(notes: list[str]) -> None:
        """Logs the first notes: there may be one for each of thousands of engines."""
        for note in notes[:MAX_LOGGED_NOTES]:
            LOG.warning("endpoint list", note=note)
        if len(notes) > MAX_LOGGED_NOTES:
            LOG.warning("endpoint list", notes_omitted=len(notes) - MAX_LOGGED_NOTES)
