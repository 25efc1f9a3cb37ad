"""The endpoint list on disk: kept as lists come, and served from at a start until the registry answers."""

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
from ..settings.front import MemorySettings
from ..storage.database import Store, open_store
from ..storage.errors import StoreUnusableError
from ..storage.writer import Writer
from .chat_engine_client import ChatEngineClient
from .learned_state_store import LearnedStateStore, read_learned

LOG = structlog.get_logger()
LINES, FACTS = "lines", "facts"  # tables
FACTS_KEY = "list"
OK = 200
UNKNOWN_AGE = 0.0  # as of 1970, so that nothing but the address is believed


class ListMetadata(msgspec.Struct):
    """What is kept of the list as a whole; milliseconds since 1970."""

    registry_heard_at_ms: float = msgspec.field(name="alive", default=0.0)  # when it last sent anything
    serial: int = 0
    registry_time_ms: float = msgspec.field(name="theirs", default=0.0)  # on the registry's clock
    turnover: Turnover = msgspec.field(default_factory=Turnover)


class EndpointCache:
    """Serves from the cached list at a start, and keeps it up to date.

    `engine_list` is set by the process that builds both.
    """

    def __init__(self, settings: MemorySettings, core: ChatEngineClient, reactor: Reactor, seed: int) -> None:
        self.settings, self.core, self.reactor = settings, core, reactor
        self.cached_list: CachedEndpointList | None = None  # once it is started
        self.engine_list: Any = None
        self._seed = seed
        self._writer: Writer | None = None
        self._metadata = ListMetadata()
        self._listed: dict[str, Line] = {}  # as the registry last sent it, for the turnover
        self._listed_at = 0.0
        self._learned = LearnedStateStore(core, reactor, self._put)
        self._timer: Any = None

    def start(self) -> None:
        """Opens the store and serves from it; without a usable one, from the seeds of the settings."""
        saved, is_complete, kept = self._open()
        list_reader = self.engine_list.list_reader
        list_reader.serial, list_reader.registry_time_ms = (
            self._metadata.serial,
            self._metadata.registry_time_ms,
        )
        source = "the store" if saved else "seeds" if self.settings.seeds else "nothing"
        if not saved:
            saved = [StoredEndpoint(line, UNKNOWN_AGE) for line in self.settings.seeds]
        self.cached_list = self._make_beliefs(saved, is_complete)
        self._log_start(self.cached_list, source, is_complete)
        self._apply(self.cached_list.initial_update(), "cached")
        self._learned.restore(kept, self._metadata.turnover, self.settings.believed_for)
        self._schedule_tick()
        self._learned.start()

    def _open(self) -> tuple[list[StoredEndpoint], bool, LearnedState]:
        """The saved lines, whether none of them is lost, and what was learned."""
        saved: list[StoredEndpoint] = []
        is_complete, kept = True, LearnedState(None, {})
        try:
            store = open_store(self.settings.file)
            saved, is_complete = self._read(store)
            kept = read_learned(store)
            if not store.read_only:
                self._writer = Writer(store, self.settings.write_pause / 1000, self._store_failed)
        except StoreUnusableError as error:
            LOG.error("no memory", why=str(error))
        return saved, is_complete, kept

    def _read(self, store: Store) -> tuple[list[StoredEndpoint], bool]:
        for note in store.notes:
            LOG.error("store", note=note)
        lines, facts = store.read(LINES), store.read(FACTS)
        try:
            self._metadata = msgspec.msgpack.decode(facts.values.get(FACTS_KEY, b""), type=ListMetadata)
        except msgspec.DecodeError:
            self._metadata = ListMetadata()
        saved = []
        for data in lines.values.values():
            try:
                one = msgspec.msgpack.decode(data, type=StoredEndpoint)
            except msgspec.DecodeError:
                continue
            one.confirmed_at_ms = max(one.confirmed_at_ms, self._metadata.registry_heard_at_ms)
            saved.append(one)
        return saved, lines.is_complete or not saved

    def _make_beliefs(self, saved: list[StoredEndpoint], is_complete: bool) -> CachedEndpointList:
        return CachedEndpointList(
            saved,
            clock.now(),
            clock.wall(),
            self._metadata.turnover,
            self.settings.believed_for,
            self.core.settings.module.node_count,
            self.settings.probe_rate,
            is_complete,
            self._seed,
        )

    def _log_start(self, beliefs: CachedEndpointList, source: str, is_complete: bool) -> None:
        stands = [belief.status for belief in beliefs.endpoints.values()]
        alive = self._metadata.registry_heard_at_ms
        LOG.info(
            "remembered list",
            source=source,
            whole=is_complete,
            age_s=round((clock.wall() - alive) / 1000) if alive else None,
            lines=len(stands),
            **{stand.name.lower(): stands.count(stand) for stand in EndpointStatus if stand in stands},
        )

    def _store_failed(self, why: str) -> None:
        """Called from the writer's thread."""
        self.reactor.callFromThread(lambda: LOG.error("store", why=why))

    def _apply(self, step: CacheUpdate, scope: str = "delta") -> None:
        """Tells the policy which endpoints have changed, and checks those that are in doubt."""
        for note in step.notes:
            LOG.warning("remembered list", note=note)
        if step.changed or scope == "cached":
            entries = [entry for belief in step.changed if (entry := self._entry(belief)) is not None]
            self.core.endpoints_updated(EndpointListUpdate(scope, entries))
        for line in step.to_probe:
            self._check(line)

    def _entry(self, belief: CachedEndpoint) -> EndpointEntry | None:
        """None for an endpoint that is only an address to check, which the policy has never heard of."""
        line, state = belief.line, belief.status.listed_state
        if state == "gone" and line.id not in self.engine_list.list_reader.known:
            self.core.address_changed(self.engine_list.engine(line.id), line.host, line.port)
            return None
        entry: EndpointEntry | None = self.engine_list.list_reader.add_cached(
            clock.now(), clock.wall(), line, state, as_just_started=belief.status is EndpointStatus.STALE
        )
        if entry is not None:
            self.engine_list.endpoint_list.add_cached([entry])
            self.core.address_changed(entry.engine, line.host, line.port)
        return entry

    def _schedule_tick(self) -> None:
        at = self.cached_list.next_time() if self.cached_list else None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if at is not None:
            self._timer = self.reactor.callLater(max(0.0, at - clock.now()) / 1000, self._tick)

    def _tick(self) -> None:
        if self.cached_list:
            self._apply(self.cached_list.tick(clock.now()))
            self._schedule_tick()

    def _check(self, line: Line) -> None:
        """Asks the engine at a cached address who it is."""

        def ended(
            status: int, headers: dict[str, str], reply: bytes, trouble: client.CallError | None
        ) -> None:
            if self.cached_list is None:
                return
            probed = self._decode_probe(reply) if status == OK and not trouble else None
            if probed is None or not probed.id:
                self._apply(self.cached_list.probe_failed(line.id, clock.now()))
            else:
                answer = ProbeReply(probed.id, probed.kind, probed.started, probed.draining)
                self._apply(self.cached_list.probe_answered(line.id, answer))
            self._schedule_tick()

        self.core.metrics.probe("remembered")
        self.core.control_call(self.engine_list.engine(line.id), "GET", calls.PROBE, b"", ended)

    @staticmethod
    def _decode_probe(reply: bytes) -> calls.Probed | None:
        try:
            return msgspec.json.decode(reply, type=calls.Probed)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return None

    def request_came(self) -> None:
        """A chat completion has come, which may need endpoints that are in doubt."""
        if self.cached_list is not None and not self.cached_list.superseded:
            roles = {kind.name: kind.role for kind in self.core.settings.kinds if kind.call == "chat"}
            step = self.cached_list.request_arrived(clock.now(), roles)
            self._apply(step)
            if step.to_probe:  # what is checked now is no longer due
                self._schedule_tick()

    def attempt_ended(self, engine: Engine, outcome: Outcome) -> None:
        """An attempt proves or refutes that its engine is where the cached list says."""
        if self.cached_list is not None and not self.cached_list.superseded:
            self._apply(self.cached_list.attempt_ended(engine.id.decode(), outcome, clock.now()))
            if outcome is Outcome.UNREACHABLE:
                self._schedule_tick()

    def accepts(self, empty: bool) -> bool:
        """Whether a full list is to be believed; from the first one on, nothing cached counts."""
        if self.cached_list is None:
            return True
        accepted = self.cached_list.accept_list(empty)
        if not accepted:
            LOG.error("an empty list does not wipe the remembered fleet, which stays in use")
        return accepted

    def heard(self, lines: list[Line], whole: bool, serial: int) -> None:
        """Saves a list (`whole`) or a delta of the registry, and counts the turnover of endpoints."""
        wall, turnover = clock.wall(), self._metadata.turnover
        if self._listed_at:
            turnover.watched_ms += len(self._listed) * (wall - self._listed_at)
        self._listed_at = wall
        named = {line.id for line in lines}
        gone = [name for name in self._listed if whole and name not in named]
        for line in lines:
            old = self._listed.get(line.id)
            turnover.departures += bool(old and (line.state == "gone" or line.started != old.started))
            if line.state == "gone":
                gone.append(line.id)
            elif old != line:
                self._listed[line.id] = line
                self._put(LINES, line.id, msgspec.msgpack.encode(StoredEndpoint(line, wall)))
        turnover.departures += sum(name not in named for name in gone)
        for name in gone:
            self._listed.pop(name, None)
            self._put(LINES, name, None)
        if whole and self.cached_list is not None:
            for name in self.cached_list.endpoints.keys() - named:
                self._put(LINES, name, None)
        self._metadata.serial, self._metadata.registry_time_ms = (
            serial,
            self.engine_list.list_reader.registry_time_ms,
        )
        self.alive()

    def alive(self) -> None:
        """The registry was heard: all that is listed still holds."""
        self._metadata.registry_heard_at_ms = clock.wall()
        self._put(FACTS, FACTS_KEY, msgspec.msgpack.encode(self._metadata))

    def _put(self, table: str, key: str, value: bytes | None) -> None:
        if self._writer is not None:
            self._writer.put(table, key, value)

    def stop(self) -> None:
        """Saves what was learned and closes the store."""
        self._learned.stop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._writer is not None:
            self._writer.close()
