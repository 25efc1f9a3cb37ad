"""Stores the endpoint list on disk, and serves from it after a start until the registry answers."""

from __future__ import annotations

from typing import Any

import msgspec
import structlog

from ..api import engine as calls
from ..api.listing import Line
from ..endpoints.learned_state import LearnedState
from ..endpoints.staleness import (
    CachedEndpoint,
    CachedEndpointList,
    CacheUpdate,
    EndpointStatus,
    ProbeReply,
    StoredEndpoint,
    Turnover,
)
from ..net import client, clock
from ..net.loop import Reactor
from ..policy.events import EndpointEntry, EndpointListUpdate
from ..policy.state import Engine, Outcome
from ..settings.front import EndpointCacheSettings
from ..storage.database import Store, open_store
from ..storage.errors import StoreUnusableError
from ..storage.writer import Writer
from .chat_engine_client import ChatEngineClient
from .learned_state_store import LearnedStateStore, read_learned

LOG = structlog.get_logger()
LINES, FACTS = "lines", "facts"  # tables
FACTS_KEY = "list"
OK = 200
UNKNOWN_TIME_MS = 0.0  # 1970: only the address of such an endpoint is relied on


class ListMetadata(msgspec.Struct):
    """Stored metadata of the endpoint list; times are milliseconds since 1970."""

    registry_heard_at_ms: float = msgspec.field(name="alive", default=0.0)  # when it last sent anything
    serial: int = 0
    registry_time_ms: float = msgspec.field(name="theirs", default=0.0)  # on the registry's clock
    turnover: Turnover = msgspec.field(default_factory=Turnover)


class EndpointCache:
    """Serves from the cached endpoint list after a start, and keeps the cache up to date.

    `engine_list` is set by GatewayProcess, which builds both.
    """

    def __init__(
        self, settings: EndpointCacheSettings, core: ChatEngineClient, reactor: Reactor, seed: int
    ) -> None:
        self.settings, self.core, self.reactor = settings, core, reactor
        self.cached_list: CachedEndpointList | None = None  # set by `start`
        self.engine_list: Any = None
        self._seed = seed
        self._writer: Writer | None = None
        self._metadata = ListMetadata()
        self._listed: dict[str, Line] = {}  # the registry's last list, from which the turnover is counted
        self._listed_at = 0.0
        self._learned = LearnedStateStore(core, reactor, self._put)
        self._timer: Any = None

    def start(self) -> None:
        """Opens the store and serves from it; without a usable store, serves from the configured seeds."""
        saved, is_complete, learned = self._open()
        list_reader = self.engine_list.list_reader
        list_reader.serial, list_reader.registry_time_ms = (
            self._metadata.serial,
            self._metadata.registry_time_ms,
        )
        source = "the store" if saved else "seeds" if self.settings.seeds else "nothing"
        if not saved:
            saved = [StoredEndpoint(line, UNKNOWN_TIME_MS) for line in self.settings.seeds]
        self.cached_list = self._make_cached_list(saved, is_complete)
        self._log_start(self.cached_list, source, is_complete)
        self._apply(self.cached_list.initial_update(), "cached")
        self._learned.restore(learned, self._metadata.turnover, self.settings.expected_lifetime_ms)
        self._schedule_tick()
        self._learned.start()

    def _open(self) -> tuple[list[StoredEndpoint], bool, LearnedState]:
        """The saved endpoints, whether the saved list is complete, and the learned state."""
        saved: list[StoredEndpoint] = []
        is_complete, learned = True, LearnedState(None, {})
        try:
            store = open_store(self.settings.file)
            saved, is_complete = self._read(store)
            learned = read_learned(store)
            if not store.read_only:
                self._writer = Writer(store, self.settings.min_write_interval_ms / 1000, self._store_failed)
        except StoreUnusableError as error:
            LOG.error("endpoint cache unusable; nothing is saved until the next start", why=str(error))
        return saved, is_complete, learned

    def _read(self, store: Store) -> tuple[list[StoredEndpoint], bool]:
        for note in store.notes:
            LOG.error("problem found in the endpoint cache file", note=note)
        lines, metadata = store.read(LINES), store.read(FACTS)
        try:
            self._metadata = msgspec.msgpack.decode(metadata.values.get(FACTS_KEY, b""), type=ListMetadata)
        except msgspec.DecodeError:
            self._metadata = ListMetadata()
        saved = []
        for data in lines.values.values():
            try:
                endpoint = msgspec.msgpack.decode(data, type=StoredEndpoint)
            except msgspec.DecodeError:
                continue
            endpoint.confirmed_at_ms = max(endpoint.confirmed_at_ms, self._metadata.registry_heard_at_ms)
            saved.append(endpoint)
        return saved, lines.is_complete or not saved

    def _make_cached_list(self, saved: list[StoredEndpoint], is_complete: bool) -> CachedEndpointList:
        return CachedEndpointList(
            saved,
            clock.now(),
            clock.wall(),
            self._metadata.turnover,
            self.settings.expected_lifetime_ms,
            self.core.settings.policy_settings.node_count,
            self.settings.max_probes_per_s,
            is_complete,
            self._seed,
        )

    def _log_start(self, cached_list: CachedEndpointList, source: str, is_complete: bool) -> None:
        statuses = [endpoint.status for endpoint in cached_list.endpoints.values()]
        registry_heard_at_ms = self._metadata.registry_heard_at_ms
        LOG.info(
            "remembered list",
            source=source,
            whole=is_complete,
            age_s=round((clock.wall() - registry_heard_at_ms) / 1000) if registry_heard_at_ms else None,
            lines=len(statuses),
            **{
                status.name.lower(): statuses.count(status) for status in EndpointStatus if status in statuses
            },
        )

    def _store_failed(self, reason: str) -> None:
        """Logs a failed write; the writer's thread calls it."""
        self.reactor.callFromThread(lambda: LOG.error("writing the endpoint cache failed", why=reason))

    def _apply(self, update: CacheUpdate, scope: str = "delta") -> None:
        """Passes changed endpoints to the policy and probes those that the update names."""
        for note in update.notes:
            LOG.warning("remembered list", note=note)
        if update.changed or scope == "cached":
            entries = [entry for endpoint in update.changed if (entry := self._entry(endpoint)) is not None]
            self.core.endpoints_updated(EndpointListUpdate(scope, entries))
        for line in update.to_probe:
            self._probe(line)

    def _entry(self, endpoint: CachedEndpoint) -> EndpointEntry | None:
        """Returns the endpoint's entry for the policy; None while its address is only probed.

        The policy has not been given such an endpoint.
        """
        line, state = endpoint.line, endpoint.status.listed_state
        if state == "gone" and line.id not in self.engine_list.list_reader.known:
            self.core.address_changed(self.engine_list.engine(line.id), line.host, line.port)
            return None
        entry: EndpointEntry | None = self.engine_list.list_reader.add_cached(
            clock.now(), clock.wall(), line, state, as_just_started=endpoint.status is EndpointStatus.STALE
        )
        if entry is not None:
            self.engine_list.endpoint_list.add_cached([entry])
            self.core.address_changed(entry.engine, line.host, line.port)
        return entry

    def _schedule_tick(self) -> None:
        tick_at = self.cached_list.next_time() if self.cached_list else None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if tick_at is not None:
            self._timer = self.reactor.callLater(max(0.0, tick_at - clock.now()) / 1000, self._tick)

    def _tick(self) -> None:
        if self.cached_list:
            self._apply(self.cached_list.tick(clock.now()))
            self._schedule_tick()

    def _probe(self, line: Line) -> None:
        """Asks the engine at a cached address for its identity."""

        def on_end(
            status: int, headers: dict[str, str], reply: bytes, error: client.CallError | None
        ) -> None:
            if self.cached_list is None:
                return
            probe_reply = self._decode_probe(reply) if status == OK and not error else None
            if probe_reply is None or not probe_reply.id:
                self._apply(self.cached_list.probe_failed(line.id, clock.now()))
            else:
                probe_answer = ProbeReply(
                    probe_reply.id, probe_reply.kind, probe_reply.started, probe_reply.draining
                )
                self._apply(self.cached_list.probe_answered(line.id, probe_answer))
            self._schedule_tick()

        self.core.metrics.probe("remembered")
        self.core.control_call(self.engine_list.engine(line.id), "GET", calls.PROBE, b"", on_end)

    @staticmethod
    def _decode_probe(reply: bytes) -> calls.ProbeReply | None:
        try:
            return msgspec.json.decode(reply, type=calls.ProbeReply)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return None

    def request_arrived(self) -> None:
        """Probes endpoints that a new chat completion may need."""
        if self.cached_list is not None and not self.cached_list.superseded:
            roles = {kind.name: kind.role for kind in self.core.settings.kinds if kind.call == "chat"}
            update = self.cached_list.request_arrived(clock.now(), roles)
            self._apply(update)
            if update.to_probe:  # endpoints that are probed now are no longer due
                self._schedule_tick()

    def attempt_ended(self, engine: Engine, outcome: Outcome) -> None:
        """Confirms or contradicts a cached endpoint by the outcome of an attempt there."""
        if self.cached_list is not None and not self.cached_list.superseded:
            self._apply(self.cached_list.attempt_ended(engine.id.decode(), outcome, clock.now()))
            if outcome is Outcome.UNREACHABLE:
                self._schedule_tick()

    def accepts_list(self, is_empty: bool) -> bool:
        """Whether a full list of the registry is accepted; the first accepted one replaces the cache."""
        if self.cached_list is None:
            return True
        accepted = self.cached_list.accept_list(is_empty)
        if not accepted:
            LOG.error("empty endpoint list ignored; the cached endpoints stay in use")
        return accepted

    def list_received(self, lines: list[Line], is_full: bool, serial: int) -> None:
        """Saves a full list or a delta of the registry, and counts the turnover of endpoints."""
        wall_ms, turnover = clock.wall(), self._metadata.turnover
        if self._listed_at:
            turnover.watched_ms += len(self._listed) * (wall_ms - self._listed_at)
        self._listed_at = wall_ms
        listed_ids = {line.id for line in lines}
        gone_ids = [endpoint_id for endpoint_id in self._listed if is_full and endpoint_id not in listed_ids]
        for line in lines:
            previous = self._listed.get(line.id)
            turnover.departures += bool(
                previous and (line.state == "gone" or line.started != previous.started)
            )
            if line.state == "gone":
                gone_ids.append(line.id)
            elif previous != line:
                self._listed[line.id] = line
                self._put(LINES, line.id, msgspec.msgpack.encode(StoredEndpoint(line, wall_ms)))
        turnover.departures += sum(endpoint_id not in listed_ids for endpoint_id in gone_ids)
        for endpoint_id in gone_ids:
            self._listed.pop(endpoint_id, None)
            self._put(LINES, endpoint_id, None)
        if is_full and self.cached_list is not None:
            for endpoint_id in self.cached_list.endpoints.keys() - listed_ids:
                self._put(LINES, endpoint_id, None)
        self._metadata.serial, self._metadata.registry_time_ms = (
            serial,
            self.engine_list.list_reader.registry_time_ms,
        )
        self.registry_heard()

    def registry_heard(self) -> None:
        """Confirms all listed endpoints, since the registry has sent something."""
        self._metadata.registry_heard_at_ms = clock.wall()
        self._put(FACTS, FACTS_KEY, msgspec.msgpack.encode(self._metadata))

    def _put(self, table: str, key: str, value: bytes | None) -> None:
        if self._writer is not None:
            self._writer.put(table, key, value)

    def stop(self) -> None:
        """Saves the learned state and closes the store."""
        self._learned.stop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._writer is not None:
            self._writer.close()
