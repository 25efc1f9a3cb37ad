"""Keeps a watch on the platform's discovery open and the endpoint list up to date.

A change must reach the node within 6 s of reaching discovery, whatever happens to a single call. That leaves
time for the silence after which a watch is replaced and for three more watches, each of which may connect and
then stay silent; the rest is margin for a late reactor.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import structlog

from ..endpoints.keys import key_of
from ..endpoints.list_reader import EndpointListReader
from ..endpoints.watch_progress import WatchEnd, WatchStage
from ..endpoints.watch_retention import RetentionLimits, WatchRetention
from ..net import client, clock
from ..net.buffer_budget import BufferBudget
from ..net.loop import Reactor, Timer
from ..policy.events import EndpointEntry
from ..policy.state import GONE, READY, Engine
from .core import MAX_HEAD_BYTES, NodeCore
from .discovery_watch import MAX_OBJECT_BYTES, DiscoveryWatch
from .endpoint_list import HostList, convert

LOG = structlog.get_logger()
PATH = "/discovery/hosts"
HEARTBEAT_MS = 2000.0  # discovery sends an empty line at least this often
MAX_WATCH_SILENCE_MS = 1.25 * HEARTBEAT_MS  # then another watch is opened beside a silent one
FIRST_EVENT_TIMEOUT_MS = 0.4 * HEARTBEAT_MS  # mean; then another watch is opened beside a new one
MAX_OPENING_WATCHES = 6  # without an event
MIN_OPEN_TIMEOUT_MS = 3 * HEARTBEAT_MS  # of the oldest watch's silence, if another has no room
MAX_OPEN_TIMEOUT_MS = 30 * HEARTBEAT_MS
RETENTION = RetentionLimits(MAX_OPENING_WATCHES, MIN_OPEN_TIMEOUT_MS, MAX_OPEN_TIMEOUT_MS)
POLL_MS = HEARTBEAT_MS / 16
MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS = 50.0, 1000.0
MAX_BUFFERED_BYTES = 2 * MAX_OBJECT_BYTES  # of all watches
MAX_PARTIAL_OBJECT_BYTES = MAX_BUFFERED_BYTES * 3 // 4  # of all watches; below the limit of their buffers
MAX_LOGGED_NOTES = 8  # per list
MAX_LOGGED_ENGINES = 16  # per list and kind of change
ENDS_BY_REMOTE = frozenset((WatchEnd.LOST, WatchEnd.REFUSED, WatchEnd.CORRUPT))


class Discovery:
    """Keeps one watch open and passes each list to the core.

    A new watch replaces the current one only with its first event. So the previous address is used until
    the new one works, and a silent watch that resumes is not lost. A heartbeat alone does not replace a watch
    that has received a part of an object. Until a new watch has its first event it is not closed for its age
    alone, see `WatchRetention`.
    """

    def __init__(
        self, address: tuple[str, int], core: NodeCore, reactor: Reactor, kinds: list[str], zones: list[str]
    ) -> None:
        self.address, self.core, self.reactor = address, core, reactor
        self.list_reader = EndpointListReader(kinds, zones, self.engine)
        core.on_engines_forgotten = self._engines_forgotten
        self.index = 0  # index of the last list
        self.current: DiscoveryWatch | None = None
        self.opening: list[DiscoveryWatch] = []  # watches without an event yet, oldest first
        self.stopped = False
        self._buffers = BufferBudget("discovery", MAX_BUFFERED_BYTES)
        self.on_first_event: Callable[[], None] | None = None  # called once
        self._last_list_at_ms = -math.inf  # from discovery
        self._retention = WatchRetention(RETENTION)
        self._receive_delay_ms = MAX_WATCH_SILENCE_MS  # to the next watch, while one receives an object
        self._next_open_at = 0.0
        self._retry_delay_ms = MIN_RETRY_DELAY_MS
        self._timer: Timer | None = None

    def engine(self, name: str) -> Engine:
        """Returns the engine with this name."""
        engine_id = name.encode()
        return self.core.id_map.engine(engine_id, key_of(engine_id))

    def restore(self, known: HostList) -> None:
        """Applies the last list of an earlier run, which is used until discovery sends one."""
        self._apply(known, "cached")

    def start(self) -> None:
        """Opens the first watch."""
        self._poll()

    def stop(self) -> None:
        """Closes all watches."""
        self.stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for watch in self.watches:
            watch.end(WatchEnd.STOPPED)

    @property
    def watches(self) -> list[DiscoveryWatch]:
        """All open watches, the current one first."""
        return [*([] if self.current is None else [self.current]), *self.opening]

    @property
    def is_receiving_first_object(self) -> bool:
        """Whether a new watch has received an incomplete first object."""
        return any(watch.has_partial_object for watch in self.opening)

    def watch(self, on: bool) -> None:
        """Does nothing: the watch is always open."""

    def fetch(self) -> None:
        """Does nothing: the watch brings the list."""

    def move(self, address: tuple[str, int]) -> None:
        """Opens a watch at discovery's new address at once."""
        if address != self.address:
            self.address, self._retry_delay_ms, self._next_open_at = address, MIN_RETRY_DELAY_MS, 0.0
            self._reset_backoff()
            while self.opening:
                self.opening[-1].end(WatchEnd.MOVED)
            self._poll()

    # Opening watches.

    def _poll(self) -> None:
        """Opens another watch if one is needed.

        Failure: discovery hangs with an open connection, or connections to it are established late or never.
        A new watch is opened beside those without an event, so that their timeouts do not add up.
        """
        if self.stopped:
            return
        now = clock.now()
        needed = self._needs_watch(now)
        if not needed:
            self._close_silent(now)
        elif now >= self._next_open_at and not self._waits_for_object(now):
            self._make_room(now)
            self._open(now)
        until_open_ms = self._next_open_at - now
        self._poll_in(until_open_ms if needed and 0 < until_open_ms < POLL_MS else POLL_MS)

    def _needs_watch(self, now: float) -> bool:
        """Whether no watch at discovery's address has had an event for too long."""
        return not any(
            watch.address == self.address and now - watch.last_event_at_ms <= MAX_WATCH_SILENCE_MS
            for watch in self.watches
        )

    def _close_silent(self, now: float) -> None:
        """Closes watches that are not needed, as another one works, and that are silent."""
        for watch in list(self.opening):
            awaited = watch.has_partial_object and self._last_list_at_ms < watch.progress.opened_at_ms
            max_silence_ms = MAX_OPEN_TIMEOUT_MS if awaited else MAX_WATCH_SILENCE_MS
            if watch.progress.silence_ms(now) > max_silence_ms:
                watch.end(WatchEnd.SILENT)

    def _waits_for_object(self, now: float) -> bool:
        """Whether another watch has to wait as an object is arriving.

        Failure: a crowded discovery takes long to send its list, and sends it to each further watch too, so
        none gets it. The wait doubles each time, as an object that never ends looks the same at first.
        """
        opened_at_ms = max((watch.progress.opened_at_ms for watch in self.watches), default=-math.inf)
        return now - opened_at_ms < self._receive_delay_ms and self._object_arrives(now)

    def _object_arrives(self, now: float) -> bool:
        """Whether a watch at discovery's address receives an object."""
        return any(
            watch.address == self.address
            and watch.has_partial_object
            and watch.progress.is_receiving(now, FIRST_EVENT_TIMEOUT_MS)
            for watch in self.watches
        )

    def _has_partial_object(self, besides: DiscoveryWatch) -> bool:
        """Whether another watch at discovery's address has received a part of an object."""
        return any(
            watch.address == self.address and watch.has_partial_object
            for watch in self.watches
            if watch is not besides
        )

    def _make_room(self, now: float) -> None:
        index = self._retention.make_room([watch.progress for watch in self.opening], now)
        if index is not None:
            self.opening[index].end(WatchEnd.NO_ROOM)

    def _poll_in(self, delay_ms: float) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = self.reactor.callLater(max(0.0, delay_ms) / 1000, self._poll)

    def _open(self, now: float) -> None:
        if self._object_arrives(now):
            self._receive_delay_ms *= 2
        # Jitter keeps hundreds of nodes that lose discovery together from reconnecting together.
        self._next_open_at = now + FIRST_EVENT_TIMEOUT_MS * random.uniform(0.75, 1.25)
        pool = client.Pool(
            self.reactor,
            *self.address,
            MAX_OPEN_TIMEOUT_MS,
            0.0,
            0,
            MAX_HEAD_BYTES,
            MAX_OBJECT_BYTES,
            buffers=self._buffers,
        )
        watch = DiscoveryWatch(self, now)
        self.opening.append(watch)
        watch.start(pool.call("GET", f"{PATH}?stream=1&index={self.index}", watch))
        self.core.metrics.watch("opened")

    def _reset_backoff(self) -> None:
        self._retention.reset()
        self._receive_delay_ms = MAX_WATCH_SILENCE_MS

    # Called by watches.

    def on_stage(self, watch: DiscoveryWatch, stage: WatchStage) -> None:
        """Counts a stage that a watch has reached."""
        self.core.metrics.watch(stage.value)

    def on_ended(self, watch: DiscoveryWatch, end: WatchEnd, detail: str) -> None:
        """Handles the end of a watch: logs it, and opens another one later if the remote side ended it."""
        was_opening = watch in self.opening
        if was_opening:
            self.opening.remove(watch)
        elif watch is self.current:
            self.current = None
        self._log_end(watch, end, detail)
        if end in ENDS_BY_REMOTE and not self.stopped:
            if watch.progress.time_delivering_ms(clock.now()) > MAX_RETRY_DELAY_MS:
                self._retry_delay_ms = MIN_RETRY_DELAY_MS  # after a short life the backoff continues
            self._retry_later(was_opening)

    def _log_end(self, watch: DiscoveryWatch, end: WatchEnd, detail: str) -> None:
        self.core.metrics.watch(f"ended: {end.value}")
        log = LOG.warning if end in ENDS_BY_REMOTE else LOG.info
        log(
            "discovery watch ended",
            reason=end.value,
            detail=detail,
            address=_text(watch.address),
            index=self.index,
            open_watches=len(self.watches),
            **watch.progress.log_fields(clock.now()),
        )

    def _retry_later(self, was_opening: bool) -> None:
        """Schedules another watch after a delay with exponential backoff."""
        # The delay must not add to the first event's timeout of a watch that was opening.
        planned_open_at = self._next_open_at if was_opening else math.inf
        delay_ms = self._retry_delay_ms * random.uniform(0.5, 1.0)
        self._next_open_at = min(planned_open_at, clock.now() + delay_ms)
        self._retry_delay_ms = min(2 * self._retry_delay_ms, MAX_RETRY_DELAY_MS)
        self._poll_in(min(POLL_MS, delay_ms))

    def on_corrupt_event(self, watch: DiscoveryWatch, reason: str) -> None:
        """Ends the watch and requests the full list from the next one; other watches continue."""
        LOG.error("corrupt discovery event", reason=reason)
        self.index = 0
        watch.end(WatchEnd.CORRUPT, reason)

    def on_data(self, watch: DiscoveryWatch) -> None:
        """Closes the watches that have received the least while all keep too many bytes of objects.

        Failure: each of several watches receives a long list, and together they exceed the limit. If the
        longest part were discarded, as for other connections, none of them would ever be complete.
        """
        while len(self.watches) > 1 and self._buffered_bytes() > MAX_PARTIAL_OBJECT_BYTES:
            shortest = min(filter(_has_partial_object, self.watches), key=_buffered_bytes)
            shortest.end(WatchEnd.BUFFER_LIMIT)

    def _buffered_bytes(self) -> int:
        return sum(map(_buffered_bytes, self.watches))

    def on_event(self, watch: DiscoveryWatch, hosts: HostList | None) -> None:
        """Handles a list or a heartbeat (None) from a watch."""
        now = clock.now()
        watch.last_event_at_ms = now
        if hosts is not None and self._is_behind(watch, hosts, now):
            return watch.end(WatchEnd.BEHIND, f"index {hosts.index}")
        if watch is not self.current and (hosts is not None or not self._has_partial_object(watch)):
            self._make_current(watch)
        if hosts is not None:
            self._last_list_at_ms = now
            self._apply(hosts)
        on_first_event, self.on_first_event = self.on_first_event, None
        if on_first_event is not None:
            on_first_event()

    def _is_behind(self, watch: DiscoveryWatch, hosts: HostList, now: float) -> bool:
        """Whether a new watch has an older list than the current one, which works at the same address."""
        current = self.current
        return (
            current is not None
            and current is not watch
            and current.address == watch.address
            and now - current.last_event_at_ms <= MAX_WATCH_SILENCE_MS
            and hosts.index < self.index
        )

    def _make_current(self, watch: DiscoveryWatch) -> None:
        replaced = [other for other in self.watches if other is not watch]
        self.opening.remove(watch)
        self.current = watch
        for other in replaced:
            other.end(WatchEnd.REPLACED)
        self.list_reader.connected()
        self._reset_backoff()
        LOG.info(
            "discovery watch is current",
            address=_text(watch.address),
            index=self.index,
            **watch.progress.log_fields(clock.now()),
        )

    # Lists.

    def _apply(self, hosts: HostList, scope: str = "") -> None:
        """Converts a list and passes it to the core; `scope` overrides the list's own scope."""
        lines, notes = convert(hosts, self.list_reader.serial, clock.wall())
        self.list_reader.has_full_list = True
        accepted = self.list_reader.take(clock.now(), lines)
        self.index = hosts.index
        self._log_notes([*notes, *accepted.notes])
        entries = accepted.event.entries if accepted.event is not None else []
        LOG.info(
            "endpoint list",
            index=hosts.index,
            snapshot=hosts.snapshot,
            leaving=[line.id for line in lines.engines if line.state != "ready"],
            **_changed_engines("returned", [entry.engine for entry in entries if _has_returned(entry)]),
            **_changed_engines("moved", [known.engine for known in accepted.moved]),
        )
        for known in accepted.moved:
            self.core.address_changed(known.engine, known.line.host, known.line.port)
        if accepted.event is not None:
            if scope:
                accepted.event.scope = scope
            self.core.endpoints_updated(accepted.event)

    def _engines_forgotten(self, engines: list[Engine]) -> None:
        """Forgets the list entries of engines that the core has forgotten."""
        for engine in engines:
            self.list_reader.known.pop(engine.id.decode(), None)
        LOG.info("engines forgotten", **_changed_engines("engines", engines))

    @staticmethod
    def _log_notes(notes: list[str]) -> None:
        """Logs the first notes only: there may be one for each of thousands of engines."""
        for note in notes[:MAX_LOGGED_NOTES]:
            LOG.warning("endpoint list", note=note)
        if len(notes) > MAX_LOGGED_NOTES:
            LOG.warning("endpoint list", notes_omitted=len(notes) - MAX_LOGGED_NOTES)


def _buffered_bytes(watch: DiscoveryWatch) -> int:
    return watch.buffered_bytes


def _has_partial_object(watch: DiscoveryWatch) -> bool:
    return watch.has_partial_object


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def _has_returned(entry: EndpointEntry) -> bool:
    """Whether an engine that was gone is listed as ready; engines that were never listed count too."""
    return entry.state == READY and entry.engine.state == GONE


def _changed_engines(change: str, engines: list[Engine]) -> dict[str, list[str]]:
    """Returns a log field with the first engines of a change; no field without engines."""
    if not engines:
        return {}
    names = [engine.id.decode() for engine in engines[:MAX_LOGGED_ENGINES]]
    if len(engines) > MAX_LOGGED_ENGINES:
        names.append(f"and {len(engines) - MAX_LOGGED_ENGINES} more")
    return {change: names}
