"""Builds a gateway from its settings and runs it: sockets, signals, reload and graceful shutdown."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import structlog

from ..admission.controller import AdmissionController
from ..api import chat
from ..baselines import POLICIES
from ..forwarding.log_setup import LogWriter, set_up
from ..forwarding.process import run_reactor, wait_until_flushed
from ..net.loop import Reactor, listen, the_reactor
from ..net.server import Server
from ..policy.id_map import IdMap, PolicyFactory
from ..settings.document import SettingsError
from ..settings.front import Admission, GatewaySettings, load_gateway_settings
from ..tokenization.service import TokenService
from ..tokenization.vocabulary import TokenizerFormatError, Vocabulary
from ..tokenization.vocabulary import load as load_vocabulary
from .admission_settings import admission_settings
from .chat_engine_client import ChatEngineClient
from .clients import ClientRouter
from .endpoint_cache import EndpointCache
from .engine_list import EngineList
from .load_monitor import LoadMonitor
from .metrics import Metrics
from .settings_reload import changes_that_need_a_restart
from .stage import StageDispatcher
from .status_pages import StatusPages
from .vectors import VectorService

if TYPE_CHECKING:
    from .fleet.peering import Peering

LOG = structlog.get_logger()
SEED_BITS = 48


def vocabularies(settings: GatewaySettings) -> list[Vocabulary]:
    """The tokenizer of each request class; an empty list if prompt lengths are estimated.

    Each file is read once.  Raises TokenizerFormatError.
    """
    if settings.counting is None:
        return []
    loaded_by_name = {name: load_vocabulary(path) for name, path in settings.tokenizers.items()}
    placeholder = next(iter(loaded_by_name.values()))  # for a single-stage request class without a tokenizer
    request_classes = [
        *settings.request_classes,
        *(request_class for stage in settings.stages for request_class in stage.request_classes),
    ]
    return [loaded_by_name.get(request_class.tokenizer, placeholder) for request_class in request_classes]


class GatewayProcess:
    """One gateway with its sockets.

    After `stop` the gateway accepts no new request, finishes the open ones, and calls `on_end`.
    """

    def __init__(
        self, settings: GatewaySettings, reactor: Reactor, make_policy: PolicyFactory | None = None
    ) -> None:
        """Builds all parts; without `make_policy`, the settings name the policy."""
        self.settings, self.reactor = settings, reactor
        self.metrics = Metrics()
        seed = settings.seed if settings.seed is not None else secrets.randbits(SEED_BITS)
        self._make_policy = make_policy or POLICIES[settings.policy]
        self.core = self._make_core(seed)
        self.engine_list = EngineList(settings.source, self.core, reactor)
        self.core.engine_list = self.engine_list
        self.endpoint_cache = self._make_endpoint_cache(seed)
        self.core.on_empty = self._end_if_empty
        self.core.on_policy_failure = self._policy_failed
        self.tokens: TokenService | None = None
        if settings.counting:
            self.tokens = TokenService(reactor, settings.counting, vocabularies(settings))
        self.clients = ClientRouter(self.core, self.tokens)
        self.peering = self._make_peering(seed)
        self.load_monitor: LoadMonitor | None = None
        if settings.admission:
            self._add_single_stages(settings.admission, seed)
        transport = settings.transport
        self.client_server = Server(
            self.clients,
            transport.body,
            transport.head,
            transport.keep_alive,
            reactor,
            max_buffered_bytes=transport.buffered,
        )
        self.watch_server = Server(
            StatusPages(self), transport.head, transport.head, transport.keep_alive, reactor
        )
        self.watch_server.buffers = self.client_server.buffers
        self.port = self.watch_port = 0
        self._ports: list[Any] = []
        self.on_end: Callable[[], None] = lambda: None
        self.writer: LogWriter | None = None
        self.stopping = False
        self.failed = False  # the policy has failed
        self._drain_timer: Any = None

    def _make_core(self, seed: int) -> ChatEngineClient:
        settings = self.settings
        id_map = IdMap(settings.policy_settings, seed, self._make_policy)
        start_name = f"{settings.name}-{secrets.token_hex(4)}"
        return ChatEngineClient(settings, id_map, self.reactor, self.metrics, start_name)

    def _make_endpoint_cache(self, seed: int) -> EndpointCache | None:
        if not self.settings.endpoint_cache:
            return None
        endpoint_cache = EndpointCache(self.settings.endpoint_cache, self.core, self.reactor, seed)
        self.engine_list.endpoint_cache, endpoint_cache.engine_list = endpoint_cache, self.engine_list
        self.core.on_attempt = endpoint_cache.attempt_ended
        return endpoint_cache

    def _make_peering(self, seed: int) -> Peering | None:
        if not self.settings.fleet:
            return None
        from .fleet.peering import Peering

        peering = Peering(self.settings, self.core, self.reactor, seed)
        peering.on_superseded = self.stop
        return peering

    def _add_single_stages(self, bounds: Admission, seed: int) -> None:
        """Adds embeddings and rerank: a dispatcher for each, and one admission controller for both."""
        settings = self.settings
        dispatchers = {
            stage.call: StageDispatcher(stage, self.core, seed + number + 1, self._make_policy)
            for number, stage in enumerate(settings.stages)
        }
        self.core.stages = list(dispatchers.values())
        admission = AdmissionController(admission_settings(settings, bounds), seed)
        first_admission_number = len(settings.request_classes)
        vectors = VectorService(
            self.core, dispatchers, admission, bounds, first_admission_number, self.tokens
        )
        self.clients.vectors = vectors
        chat_names = [request_class.name for request_class in settings.request_classes]
        self.clients.models = chat.models([*chat_names, *vectors.model_names()])
        self.load_monitor = LoadMonitor(self.reactor, admission, bounds, self.metrics, self._open_sockets)

    def _open_sockets(self) -> int:
        return len(self.client_server.channels) + sum(len(pool.open) for pool in self.core.pools.values())

    def start(self) -> None:
        """Opens the ports, and starts the parts of the gateway."""
        port, self.port = listen(self.reactor, self.settings.listen, self.client_server)
        self._ports.append(port)
        port, self.watch_port = listen(self.reactor, self.settings.watch, self.watch_server)
        self._ports.append(port)
        if self.tokens:
            self.tokens.start()
        self.core.start()
        if self.endpoint_cache:
            self.endpoint_cache.start()
            self.clients.on_request = self.endpoint_cache.request_arrived
        if self.peering:
            self.peering.start()
        self.engine_list.start()
        if self.load_monitor:
            self.load_monitor.start()
        LOG.info("serving", port=self.port, watch=self.watch_port, policy=self.settings.policy)

    def stop(self) -> None:
        """Starts to drain; the gateway ends when no request is open, or after the drain time."""
        if self.stopping:
            return
        self.stopping = self.clients.stopping = True
        if self.clients.vectors:
            self.clients.vectors.stopping = True
        self._ports[0].stopListening()
        if self.peering:
            self.peering.leave()
        LOG.info("stopping", open=len(self.core.open_requests))
        drain_s = self.settings.transport.drain_time / 1000
        self._drain_timer = self.reactor.callLater(drain_s, self._end)
        self._end_if_empty()

    def _policy_failed(self) -> None:
        """Drains and ends: streams that have begun need no policy."""
        self.failed = True
        self.stop()

    def _end_if_empty(self) -> None:
        vector_requests = self.clients.vectors.open_requests if self.clients.vectors else None
        is_empty = not self.core.open_requests and not self.clients.counting and not vector_requests
        if self.stopping and is_empty:
            self.reactor.callLater(0, self._end)

    def _end(self) -> None:
        """Closes the clients' connections after the last answers are written; runs once."""
        if self._drain_timer is None:
            return
        if self._drain_timer.active():
            self._drain_timer.cancel()
        self._drain_timer = None
        if self.core.open_requests:
            LOG.error(
                "requests are still open at the end of the drain time; their client connections are closed",
                open=len(self.core.open_requests),
            )
        for channel in list(self.client_server.channels):
            channel.transport.loseConnection()  # closes after all written data is sent
        wait_until_flushed(self.reactor, self.client_server, self._ended)

    def _ended(self) -> None:
        self.close()
        self.on_end()

    def close(self) -> None:
        """Stops all parts of the gateway and closes all connections at once."""
        self.engine_list.stop()
        if self.load_monitor:
            self.load_monitor.stop()
        if self.tokens:
            self.tokens.stop()
        if self.endpoint_cache:
            self.endpoint_cache.stop()
        if self.peering:
            self.peering.close()
        for port in self._ports:
            port.stopListening()
        for pool in self.core.pools.values():
            pool.close()
        for server in (self.client_server, self.watch_server):
            for channel in list(server.channels):
                channel.transport.abortConnection()

    def reload(self, path: str) -> None:
        """Applies settings that can change at run time; after any error the old settings stay in force."""
        try:
            new_settings = load_gateway_settings(path)
        except SettingsError as error:
            LOG.error(
                "configuration not reloaded", complaints=[str(complaint) for complaint in error.complaints]
            )
            return
        restart_only = changes_that_need_a_restart(self.settings, new_settings)
        if restart_only:
            LOG.error("configuration not reloaded: these sections need a restart", sections=restart_only)
            return
        try:
            self._reload_tokenizers(new_settings)
        except TokenizerFormatError as error:
            LOG.error(
                "configuration not reloaded: a tokenizer is unusable; the current ones stay", why=str(error)
            )
            return
        self.settings = self.core.settings = new_settings
        self._apply_bounds(new_settings)
        LOG.info("configuration reloaded")

    def _reload_tokenizers(self, new_settings: GatewaySettings) -> None:
        """Reads the tokenizers again.  Raises TokenizerFormatError; then the old ones stay in use."""
        if not self.tokens:
            return
        new_vocabularies = vocabularies(new_settings)
        pairs = zip(new_vocabularies, self.tokens.vocabularies, strict=True)
        changed_count = sum(new.version != old.version for new, old in pairs)
        self.tokens.switch_vocabularies(new_vocabularies)
        LOG.info("tokenizers reloaded", request_classes_changed=changed_count)

    def _apply_bounds(self, new_settings: GatewaySettings) -> None:
        transport = new_settings.transport
        self.clients.max_answer_tokens = [
            request_class.most_answer for request_class in new_settings.request_classes
        ]
        self.client_server.max_body_bytes = transport.body
        self.watch_server.max_body_bytes = transport.head
        self.client_server.buffers.max_bytes = self.core.engine_buffers.max_bytes = transport.buffered
        self.client_server.max_head_bytes = self.watch_server.max_head_bytes = transport.head
        for pool in self.core.pools.values():
            pool.connect_timeout_ms = transport.connect_time_out
            pool.keep_alive_ms = transport.keep_alive
            pool.max_idle = transport.idle_connections
            pool.max_head_bytes = transport.head


def run(path: str) -> int:
    """Runs a gateway with the settings at `path` until SIGTERM; returns the exit code.

    The exit code is 1 if the start or the policy failed.  Raises SettingsError and TokenizerFormatError.
    """
    settings = load_gateway_settings(path)
    reactor = the_reactor()
    gateway = GatewayProcess(settings, reactor)
    writer = set_up(settings.log_format, settings.log_level, front=settings.name)
    gateway.writer = writer
    gateway.on_end = reactor.stop
    started = run_reactor(reactor, writer, gateway.start, gateway.stop, lambda: gateway.reload(path))
    return int(not started or gateway.failed)
