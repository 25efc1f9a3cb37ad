"""Builds a front from its settings and runs it: sockets, signals, an orderly end."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec
import structlog

from ..admission.controller import AdmissionController, AdmissionSettings, ClassSettings
from ..api import chat
from ..baselines import POLICIES
from ..forwarding.log_setup import Writer, set_up
from ..forwarding.process import let_out, run_reactor
from ..net.loop import Reactor, listen, the_reactor
from ..net.server import Exchange, Server
from ..policy.id_map import Door, Maker
from ..settings.document import SettingsError
from ..settings.front import Admission, FrontSettings, load_front
from ..tokenization.service import TokenService
from ..tokenization.vocabulary import BadTokenizer, Vocabulary
from ..tokenization.vocabulary import load as load_vocabulary
from .chat_engine_client import PublishedCore
from .clients import ClientSide
from .endpoint_cache import Memory
from .engine_list import EngineList
from .load_monitor import LoadMonitor
from .metrics import Metrics
from .stage import StageDispatcher
from .vectors import VectorService

if TYPE_CHECKING:
    from .fleet.audit_log_keeper import AccountKeeper
    from .fleet.peering import Peering

LOG = structlog.get_logger()


def vocabularies(settings: FrontSettings) -> list[Vocabulary]:
    """Each offering's tokenizer, each file read once; none where lengths are guessed.  Raises
    BadTokenizer."""
    if settings.counting is None:
        return []
    read = {name: load_vocabulary(path) for name, path in settings.tokenizers.items()}
    plain = next(iter(read.values()))  # of one-stage offerings without a tokenizer; never asked
    return [
        read.get(one.tokenizer, plain)
        for one in (
            *settings.request_classes,
            *(one for lane in settings.lanes for one in lane.request_classes),
        )
    ]


def gate_settings(settings: FrontSettings, bounds: Admission) -> AdmissionSettings:
    """The gate's shares: those of chat come first, for the front's own shortage alone."""
    shares = [
        ClassSettings(
            one.name, one.credit, one.share, float(bounds.load_tokens), 0.0, 0, one.promised_time, "chat"
        )
        for one in settings.request_classes
    ]
    shares += [
        ClassSettings(
            one.name,
            one.credit,
            one.share,
            float(bounds.load_tokens),
            float(bounds.line_tokens),
            bounds.line_calls,
            one.promised_time,
            lane.call,
        )
        for lane in settings.lanes
        for one in lane.request_classes
    ]
    return AdmissionSettings(
        shares,
        bounds.repeat_ratio,
        bounds.repeat_burst,
        *bounds.stay_away,
        2 * bounds.loop_lag,
        20 * bounds.loop_lag,
    )


class FrontProcess:
    """One front with its sockets; `stop` takes no new job, finishes what is out, then calls `on_end`."""

    def __init__(self, settings: FrontSettings, reactor: Reactor, make: Maker | None = None) -> None:
        self.settings, self.reactor = settings, reactor
        self.metrics = Metrics()
        seed = settings.seed if settings.seed is not None else secrets.randbits(48)
        door = Door(settings.module, seed, make or POLICIES[settings.policy])
        self.core = PublishedCore(
            settings, door, reactor, self.metrics, f"{settings.name}-{secrets.token_hex(4)}"
        )
        self.engine_list = EngineList(settings.source, self.core, reactor)
        self.core.engine_list = self.engine_list
        self.memory: Memory | None = None
        if settings.memory:
            self.memory = self.engine_list.memory = Memory(settings.memory, self.core, reactor, seed)
            self.memory.engine_list = self.engine_list
            self.core.on_attempt = self.memory.attempt_ended
        self.core.on_empty = self._emptied
        self.tokens: TokenService | None = None
        if settings.counting:
            self.tokens = TokenService(reactor, settings.counting, vocabularies(settings))
        self.clients = ClientSide(self.core, self.tokens)
        self.peering: Peering | None = None
        if settings.fleet:
            from .fleet.peering import Peering

            self.peering = Peering(settings, self.core, reactor, seed)
            self.peering.on_outlived = self.stop
        self.load_monitor: LoadMonitor | None = None
        if settings.admission:
            self._one_stage(settings.admission, seed, make)
        transport = settings.transport
        self.client_server = Server(
            self.clients, transport.body, transport.head, transport.keep_alive, reactor
        )
        self.watch_server = Server(self._watch, transport.head, transport.head, transport.keep_alive, reactor)
        self.port = self.watch_port = 0
        self.ports: list[Any] = []
        self.on_end: Callable[[], None] = lambda: None
        self.writer: Writer | None = None
        self.stopping = False
        self.timer: Any = None

    def _one_stage(self, bounds: Admission, seed: int, make: Maker | None) -> None:
        """Embeddings and rerank: a lane for each, one gate before them."""
        settings = self.settings
        lanes = {
            one.call: StageDispatcher(one, self.core, seed + at + 1, make or POLICIES[settings.policy])
            for at, one in enumerate(settings.lanes)
        }
        self.core.lanes = list(lanes.values())
        gate = AdmissionController(gate_settings(settings, bounds), seed)
        self.clients.vectors = VectorService(
            self.core, lanes, gate, bounds, len(settings.request_classes), self.tokens
        )
        self.clients.models = chat.models(
            [*(one.name for one in settings.request_classes), *self.clients.vectors.names()]
        )
        self.load_monitor = LoadMonitor(self.reactor, gate, bounds, self.metrics, self._sockets)

    def _sockets(self) -> int:
        return len(self.client_server.channels) + sum(len(pool.open) for pool in self.core.pools.values())

    def start(self) -> None:
        port, self.port = listen(self.reactor, self.settings.listen, self.client_server)
        self.ports.append(port)
        port, self.watch_port = listen(self.reactor, self.settings.watch, self.watch_server)
        self.ports.append(port)
        if self.tokens:
            self.tokens.start()
        self.core.tell_start()
        if self.memory:
            self.memory.start()
            self.clients.on_request = self.memory.request_came
        if self.peering:
            self.peering.start()
        self.engine_list.start()
        if self.load_monitor:
            self.load_monitor.start()
        LOG.info("serving", port=self.port, watch=self.watch_port, policy=self.settings.policy)

    def _watch(self, exchange: Exchange) -> None:
        path = exchange.path.decode("latin-1")
        if path == "/metrics":
            self.metrics.lines_lost.set(self.writer.lost if self.writer else 0)
            if self.tokens:
                self.metrics.tokens(self.tokens)
            if self.peering:
                self.metrics.fleet(self.peering.status())
            exchange.answer(200, self.metrics.text(), "text/plain; version=0.0.4; charset=utf-8")
        elif path == "/live":
            exchange.answer(200, b"running\n", "text/plain")
        elif path in ("/health", "/ready"):
            ready = self.engine_list.keeper.ready
            state = "stopping" if self.stopping else "serving" if ready else "no engine is listed as ready"
            common = f"; {self.peering.stands()}" if self.peering else ""
            exchange.answer(
                200 if ready and not self.stopping else 503,
                f"{state}; engines ready: {ready}; open jobs: {len(self.core.cases)}{common}\n".encode(),
                "text/plain",
            )
        elif path == "/fleet/audit" and self.peering:
            self._audit(exchange, self.peering.keeper)
        elif path == "/fleet" and self.peering:
            exchange.answer(200, msgspec.json.encode(self.peering.status()))
        else:
            exchange.answer(404, b"known here: /metrics /health /ready /live\n", "text/plain")

    def _audit(self, exchange: Exchange, keeper: AccountKeeper) -> None:
        """What all accounts say, by `at` (milliseconds since 1970) or `job`; others are asked first."""
        asked = {key.decode("latin-1"): values[0].decode("latin-1") for key, values in exchange.args.items()}
        try:
            at = float(asked["at"]) if "at" in asked else None
        except ValueError:
            return exchange.answer(400, b"at: expected milliseconds since 1970\n", "text/plain")
        request = asked.get("job", "")
        keeper.gather(lambda: exchange.answer(200, msgspec.json.encode(keeper.told(at, request))))

    def stop(self) -> None:
        if self.stopping:
            return
        self.stopping = self.clients.stopping = True
        if self.clients.vectors:
            self.clients.vectors.stopping = True
        self.ports[0].stopListening()
        if self.peering:
            self.peering.leave()
        LOG.info("stopping", open=len(self.core.cases))
        self.timer = self.reactor.callLater(self.settings.transport.drain_time / 1000, self._end)
        self._emptied()

    def _emptied(self) -> None:
        calls = self.clients.vectors.open if self.clients.vectors else None
        if self.stopping and not self.core.cases and not self.clients.counting and not calls:
            self.reactor.callLater(0, self._end)

    def _end(self) -> None:
        if self.timer is None:
            return
        if self.timer.active():
            self.timer.cancel()
        self.timer = None
        if self.core.cases:
            LOG.error(
                "jobs are still out at the end of the drain time; their clients see the connection close",
                open=len(self.core.cases),
            )
        for channel in list(self.client_server.channels):
            channel.transport.loseConnection()  # once what was written is out
        let_out(self.reactor, lambda: self.client_server.channels, self._over)

    def _over(self) -> None:
        self.close()
        self.on_end()

    def close(self) -> None:
        self.engine_list.stop()
        if self.load_monitor:
            self.load_monitor.stop()
        if self.tokens:
            self.tokens.stop()
        if self.memory:
            self.memory.stop()
        if self.peering:
            self.peering.close()
        for port in self.ports:
            port.stopListening()
        for pool in self.core.pools.values():
            pool.close()
        for server in (self.client_server, self.watch_server):
            for channel in list(server.channels):
                channel.transport.abortConnection()

    def reload(self, path: str) -> None:
        """Takes over what can change in service; anything wrong or out of reach leaves all as it was."""
        try:
            fresh = load_front(path)
        except SettingsError as error:
            LOG.error("the settings were not reloaded", complaints=[str(one) for one in error.complaints])
            return
        old = self.settings
        fixed = [
            name
            for name in (
                "name",
                "listen",
                "watch",
                "turn",
                "policy",
                "zones",
                "kinds",
                "module",
                "lanes",
                "admission",
                "source",
                "memory",
                "regions",
                "fleet",
                "log_format",
            )
            if getattr(old, name) != getattr(fresh, name)
        ]
        if [one.name for one in old.request_classes] != [one.name for one in fresh.request_classes]:
            fixed.append("offerings")
        if (old.counting is None) != (fresh.counting is None):
            fixed.append("counting")
        if fixed:
            LOG.error("the settings were not reloaded: these need a restart", sections=fixed)
            return
        if self.tokens:
            try:
                told = vocabularies(fresh)
            except BadTokenizer as error:
                LOG.error("the settings were not reloaded: the tokenizers at work stay", why=str(error))
                return
            changed = sum(
                new.version != one.version for new, one in zip(told, self.tokens.vocabularies, strict=True)
            )
            self.tokens.use(told)
            LOG.info("tokenizers read again", request_classes_changed=changed)
        self.settings = self.core.settings = fresh
        self.clients.most = [one.most_answer for one in fresh.request_classes]
        for server, bound in (
            (self.client_server, fresh.transport.body),
            (self.watch_server, fresh.transport.head),
        ):
            server.max_body_bytes, server.max_head_bytes = bound, fresh.transport.head
        for pool in self.core.pools.values():
            pool.connect_timeout_ms, pool.keep_alive_ms = (
                fresh.transport.connect_time_out,
                fresh.transport.keep_alive,
            )
            pool.max_idle, pool.max_head_bytes = fresh.transport.idle_connections, fresh.transport.head
        LOG.info("settings reloaded")


def run(path: str) -> int:
    """Serves by the settings at `path` until SIGTERM; the exit code is 1 if the module failed.

    Raises SettingsError and BadTokenizer.
    """
    settings = load_front(path)
    reactor = the_reactor()
    front = FrontProcess(settings, reactor)
    writer = set_up(settings.log_format, settings.log_level, front=settings.name)
    front.writer = writer
    status = 0

    def fault() -> None:
        nonlocal status
        status = 1
        reactor.callLater(0.2, reactor.stop)  # a moment for the last answers to leave

    front.on_end = reactor.stop
    front.core.on_fault = fault
    if not run_reactor(reactor, writer, front.start, front.stop, lambda: front.reload(path)):
        return 1
    return status
