"""A front's memory of the list: kept on disk as lists come, and served from at a start until the registry
speaks."""

from __future__ import annotations

from typing import Any

import msgspec
import structlog

from ..api import engine as calls
from ..api.listing import Line
from ..endpoints.learned_state import EVERY, FLEET, Kept, Learner, Marks, Pace, recall
from ..endpoints.staleness import Answer, Belief, Beliefs, Saved, Stand, Step, Turnover
from ..net import client, clock
from ..net.loop import Reactor
from ..policy.events import EndpointEntry, EndpointListUpdate
from ..policy.router import MEMORY
from ..policy.state import Engine, Outcome
from ..settings.front import MemorySettings
from ..storage.database import Store, Unusable, open_store
from ..storage.writer import Writer
from .chat_engine_client import ChatEngineClient

LOG = structlog.get_logger()
LINES, FACTS, LEARNED = "lines", "facts", "learned"


class Facts(msgspec.Struct):
    """What is kept of the list as a whole; milliseconds since 1970."""

    alive: float = 0.0  # when the registry was last heard
    serial: int = 0
    theirs: float = 0.0  # on the registry's clock
    turnover: Turnover = msgspec.field(default_factory=Turnover)


def read_learned(store: Store) -> Kept:
    """What was learned, as far as the store vouches for each record."""
    kept = Kept(None, {})
    for name, data in store.read(LEARNED).values.items():
        try:
            if name == FLEET:
                kept.pace = msgspec.msgpack.decode(data, type=Pace)
            else:
                kept.marks[name] = msgspec.msgpack.decode(data, type=Marks)
        except msgspec.DecodeError:
            continue
    return kept


class Memory:
    def __init__(self, settings: MemorySettings, core: ChatEngineClient, reactor: Reactor, seed: int) -> None:
        self.settings, self.core, self.reactor, self.seed = settings, core, reactor, seed
        self.writer: Writer | None = None
        self.facts = Facts()
        self.kept: dict[str, Line] = {}  # as the registry last told, for turnover
        self.told_at = 0.0
        self.beliefs: Beliefs | None = None
        self.learner = Learner([one.name for one in core.settings.request_classes])
        self.timer: Any = None
        self.keep_timer: Any = None
        self.engine_list: Any = None  # set by who builds both

    # At a start.

    def start(self) -> None:
        """Opens the store and serves from what it holds; a store of no use is told, and the front starts
        empty."""
        saved: list[Saved] = []
        whole, kept = True, Kept(None, {})
        try:
            store = open_store(self.settings.file)
            saved, whole = self._read(store)
            kept = read_learned(store)
            if not store.read_only:
                self.writer = Writer(store, self.settings.write_pause / 1000, self._store_failed)
        except Unusable as error:
            LOG.error("no memory", why=str(error))
        self.engine_list.keeper.serial, self.engine_list.keeper.theirs = self.facts.serial, self.facts.theirs
        source = "the store" if saved else "seeds" if self.settings.seeds else "nothing"
        if not saved:
            saved = [Saved(line, 0.0) for line in self.settings.seeds]  # an age of decades: addresses to ask
        self.beliefs = Beliefs(
            saved,
            clock.now(),
            clock.wall(),
            self.facts.turnover,
            self.settings.believed_for,
            self.core.settings.module["fronts"],
            self.settings.probe_rate,
            whole,
            self.seed,
        )
        stands = [belief.stand for belief in self.beliefs.beliefs.values()]
        LOG.info(
            "remembered list",
            source=source,
            whole=whole,
            age_s=round((clock.wall() - self.facts.alive) / 1000) if self.facts.alive else None,
            lines=len(stands),
            **{stand.name.lower(): stands.count(stand) for stand in Stand if stand in stands},
        )
        self._apply(self.beliefs.start(), "cached")
        self.core.tell(
            recall(
                kept,
                self.learner.request_classes,
                self._engines(),
                clock.wall(),
                self.facts.turnover,
                self.settings.believed_for,
            )
        )
        self.core.on_event = self.learner.saw
        self._watch()
        self._keep_later()

    def _engines(self) -> list[tuple[Engine, float]]:
        """Each engine with its start as it was listed."""
        return [(known.engine, known.line.started) for known in self.engine_list.keeper.known.values()]

    def _keep_later(self) -> None:
        self.keep_timer = self.reactor.callLater(MEMORY * EVERY / 1000, self._keep)

    def _keep(self) -> None:
        self._keep_learned()
        self._keep_later()

    def _keep_learned(self) -> None:
        for name, one in self.learner.changes(self._engines(), clock.now(), clock.wall()).items():
            self._put(LEARNED, name, None if one is None else msgspec.msgpack.encode(one))

    def _read(self, store: Store) -> tuple[list[Saved], bool]:
        for note in store.notes:
            LOG.error("store", note=note)
        lines, facts = store.read(LINES), store.read(FACTS)
        try:
            self.facts = msgspec.msgpack.decode(facts.values.get("list", b""), type=Facts)
        except msgspec.DecodeError:
            self.facts = Facts()
        saved = []
        for data in lines.values.values():
            try:
                one = msgspec.msgpack.decode(data, type=Saved)
            except msgspec.DecodeError:
                continue
            one.confirmed = max(one.confirmed, self.facts.alive)
            saved.append(one)
        return saved, lines.whole or not saved

    def _store_failed(self, why: str) -> None:
        self.reactor.callFromThread(lambda: LOG.error("store", why=why))

    def _apply(self, step: Step, scope: str = "delta") -> None:
        for note in step.notes:
            LOG.warning("remembered list", note=note)
        if step.changed or scope == "cached":
            entries = [entry for belief in step.changed if (entry := self._entry(belief)) is not None]
            self.core.listed(EndpointListUpdate(scope, entries))
        for line in step.ask:
            self._probe(line)

    def _entry(self, belief: Belief) -> EndpointEntry | None:
        state = belief.stand.listed
        if state == "gone" and belief.line.id not in self.engine_list.keeper.known:
            self.core.moved(self.engine_list.engine(belief.line.id), belief.line.host, belief.line.port)
            return None  # an address to ask; the module has never heard of it
        entry: EndpointEntry | None = self.engine_list.keeper.remember(
            clock.now(), clock.wall(), belief.line, state, careful=belief.stand is Stand.LIKELY
        )
        if entry is not None:
            self.engine_list.roster.remembered([entry])
            self.core.moved(entry.engine, belief.line.host, belief.line.port)
        return entry

    def _watch(self) -> None:
        at = self.beliefs.next_time() if self.beliefs else None
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if at is not None:
            self.timer = self.reactor.callLater(max(0.0, at - clock.now()) / 1000, self._tick)

    def _tick(self) -> None:
        if self.beliefs:
            self._apply(self.beliefs.tick(clock.now()))
            self._watch()

    def _probe(self, line: Line) -> None:
        engine = self.engine_list.engine(line.id)

        def ended(
            status: int, headers: dict[str, str], reply: bytes, trouble: client.CallError | None
        ) -> None:
            if self.beliefs is None:
                return
            try:
                told = (
                    msgspec.json.decode(reply, type=calls.Probed) if status == 200 and not trouble else None
                )
            except (msgspec.DecodeError, UnicodeDecodeError):
                told = None
            if told is None or not told.id:
                self._apply(self.beliefs.silent(line.id, clock.now()))
            else:
                self._apply(
                    self.beliefs.answered(line.id, Answer(told.id, told.kind, told.started, told.draining))
                )
            self._watch()

        self.core.metrics.probe("remembered")
        self.core._small(engine, "GET", calls.PROBE, b"", ended)

    # While it serves.

    def request_came(self) -> None:
        """Of chat: the calls of one stage have the gate before them."""
        if self.beliefs is not None and not self.beliefs.over:
            roles = {kind.name: kind.role for kind in self.core.settings.kinds if kind.call == "chat"}
            step = self.beliefs.request_came(clock.now(), roles)
            self._apply(step)
            if step.ask:  # what is asked now is no longer due
                self._watch()

    def attempt_ended(self, engine: Engine, outcome: Outcome) -> None:
        if self.beliefs is not None and not self.beliefs.over:
            self._apply(self.beliefs.attempt_ended(engine.id.decode(), outcome, clock.now()))
            if outcome is Outcome.UNREACHABLE:
                self._watch()

    # What the registry tells.

    def accepts(self, empty: bool) -> bool:
        """Whether a full list is to be believed; from the first one on, nothing remembered counts."""
        if self.beliefs is None:
            return True
        accepted = self.beliefs.listed(empty)
        if not accepted:
            LOG.error("an empty list does not wipe the remembered fleet, which stays in use")
        return accepted

    def heard(self, lines: list[Line], whole: bool, serial: int) -> None:
        """Keeps what a list says, and learns from what has left."""
        wall = clock.wall()
        turnover = self.facts.turnover
        if self.told_at:
            turnover.watched += len(self.kept) * (wall - self.told_at)
        self.told_at = wall
        named = {line.id for line in lines}
        gone = [name for name in self.kept if whole and name not in named]
        for line in lines:
            old = self.kept.get(line.id)
            turnover.left += bool(old and (line.state == "gone" or line.started != old.started))
            if line.state == "gone":
                gone.append(line.id)
            elif old != line:
                self.kept[line.id] = line
                self._put(LINES, line.id, msgspec.msgpack.encode(Saved(line, wall)))
        turnover.left += sum(name not in named for name in gone)
        for name in gone:
            self.kept.pop(name, None)
            self._put(LINES, name, None)
        if whole and self.beliefs is not None:
            for name in self.beliefs.beliefs.keys() - named:
                self._put(LINES, name, None)
        self.facts.serial, self.facts.theirs = serial, self.engine_list.keeper.theirs
        self.alive()

    def alive(self) -> None:
        """The registry was heard: all that is listed still holds."""
        self.facts.alive = clock.wall()
        self._put(FACTS, "list", msgspec.msgpack.encode(self.facts))

    def _put(self, table: str, key: str, value: bytes | None) -> None:
        if self.writer is not None:
            self.writer.put(table, key, value)

    def stop(self) -> None:
        if self.keep_timer is not None and self.keep_timer.active():
            self.keep_timer.cancel()
        self._keep_learned()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.writer is not None:
            self.writer.close()
