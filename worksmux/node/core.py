"""The request lifecycle in the platform's protocol: attempts, KV cache releases, health checks."""

from __future__ import annotations

from collections.abc import Callable

from ..forwarding.request_context import Client, FinalAnswer, RequestContext
from ..forwarding.request_lifecycle import RequestLifecycle
from ..net import client, clock
from ..net.buffer_budget import BufferBudget
from ..net.loop import Reactor
from ..net.time_out import TimeOut
from ..policy.events import EndpointListUpdate
from ..policy.id_map import IdMap
from ..policy.settings import IDEMPOTENT
from ..policy.state import Attempt, Engine, Outcome, Request
from . import engine_reply, protocol
from .attempts import DecodeAttempt, NodeAttempt, PrefillAttempt
from .client_request import ClientRequest
from .counters import NodeCounts
from .kv_claims import KvClaims
from .kv_release import KvRelease
from .kv_releaser import KvReleaser
from .limits import Shares
from .prefill_work import PrefillWorkEstimate
from .release_targets import ReleaseTargets
from .unresponsive_attempts import UnresponsiveAttemptMonitor

HOST = "app.svc"
MAX_HEAD_BYTES = 2**14  # of an engine reply
MAX_BODY_BYTES = 2**18  # of a client request or an engine reply
MAX_STREAM_GAP_MS = 4000.0  # between two events; clients wait for at most 5 s
# Each call opens its own connection. An attempt whose reused connection breaks was possibly executed, as
# engines close idle connections at any moment; a connection that cannot be opened proves that it was not.
MAX_IDLE_CONNECTIONS = 0
CLIENT_RTT_ALLOWANCE_MS = 10.0  # subtracted from the client's time left for the round trip
CLOSE_SETTLE_MS = 20.0  # for an engine to see that an attempt's connection closed
MAX_RELEASE_WAIT_STEPS = 2  # release steps that an attempt waits for an acknowledgement
DEFAULT_RELEASE_TIME_LIMIT_MS = 1000.0  # if the settings have none
DEFAULT_CONNECT_TIMEOUT_MS = 250.0  # if the settings have none
OUTCOMES_UNSEEN_BY_ENGINE = frozenset({Outcome.CANCELLED, Outcome.TIMED_OUT, Outcome.RESET})


class NodeCore(RequestLifecycle):
    """Manages all open requests of a node."""

    metrics: NodeCounts

    def __init__(
        self, id_map: IdMap, reactor: Reactor, counts: NodeCounts, request_classes: list[str], share: Shares
    ) -> None:
        super().__init__(id_map, reactor, counts)
        self.request_classes = request_classes
        self.share = share
        self.connect_timeout_ms = float(id_map.settings.connect_timeout_ms) or DEFAULT_CONNECT_TIMEOUT_MS
        self.open_keys: dict[str, RequestContext] = {}
        self.release_targets = ReleaseTargets(int(id_map.settings.zone))
        self.releaser = KvReleaser(
            reactor,
            self.control_call,
            self.release_targets.choose,
            float(id_map.settings.release_within_ms) or DEFAULT_RELEASE_TIME_LIMIT_MS,
        )
        self.unresponsive_attempts = UnresponsiveAttemptMonitor(
            reactor, self.releaser, self._check_liveness if id_map.settings.may_check_health else None
        )
        self.kv_claims: dict[Request, KvClaims] = {}  # claims of the open requests
        self.prefill_work = PrefillWorkEstimate(self.releaser.time_limit_ms)
        self.on_engines_forgotten: Callable[[list[Engine]], None] | None = None
        self.engine_buffers = BufferBudget("engines")  # the limit is set when the node begins to serve
        self._releases_due: list[RequestContext] = []  # releases to start after the round
        self._list_in_round = False  # the next round applies an endpoint list

    def arrived(self, client_request: ClientRequest, client_side: Client, arrived: float) -> RequestContext:
        """Accepts a request that arrived at `arrived` (clock time in ms)."""
        self.last_request_id += 1
        request = Request(
            self.last_request_id,
            client_request.request_class,
            client_request.session,
            client_request.prefix,
            client_request.prompt_tokens,
            client_request.prefix_tokens,
            client_request.max_answer_tokens,
            arrived,
            arrived + max(0.0, client_request.time_left_ms - CLIENT_RTT_ALLOWANCE_MS),
            is_retry=client_request.retried,
            resumed=client_request.resumed,
        )
        class_name = self.request_classes[client_request.request_class]
        context = RequestContext(request, client_request, client_side, client_request.key, class_name)
        self.open_keys[context.key] = context
        self.kv_claims[request] = self.releaser.claims_of(context.key)
        return self._accept(context)

    def _close(self, context: RequestContext) -> None:
        """Starts the release of KV cache that the request's attempts have left, and closes the request.

        Failure: the node exits after its last request without releasing the KV cache. The release starts
        before the request is closed, so that the node waits for it.
        """
        if not context.in_flight and context.request in self.open_requests:
            self._start_release(context)
            del self.open_keys[context.key], self.kv_claims[context.request]
        super()._close(context)

    def _effect_key(self, context: RequestContext) -> str:
        """Returns the request id; engines drop repeats of a deduplicated class only in their own group."""
        is_idempotent = self._effect(context.request) == IDEMPOTENT
        return "" if is_idempotent else context.key

    def _effect(self, request: Request) -> str:
        return self.module_settings.request_classes[request.request_class].effect

    def _answer_for_policy(self, request: Request, answer: FinalAnswer, retry_after_ms: float = 0.0) -> None:
        """Sends the final answer; a rejection waits until engines have seen the end of cancelled attempts.

        Failure: the rejection reaches the client before the engine sees the attempt's connection close. The
        client retries while the engine still executes the first attempt, which shows as a duplicated side
        effect. Idempotent requests need no wait.
        """
        context = self.open_requests.get(request)
        if (
            context is not None
            and answer is FinalAnswer.REJECTED
            and not context.final_answer
            and self._effect(request) != IDEMPOTENT
        ):
            settled_at = context.last_cancelled_at + CLOSE_SETTLE_MS
            wait_ms = CLOSE_SETTLE_MS if context.in_flight else settled_at - clock.now()
            if wait_ms > 0:
                context.stop_deadline_timer()  # the policy has answered in time
                self.reactor.callLater(
                    wait_ms / 1000, super()._answer_for_policy, request, answer, retry_after_ms
                )
                return
        super()._answer_for_policy(request, answer, retry_after_ms)

    # KV cache.

    def _release_kv_cache(self, request: Request) -> None:
        context = self.open_requests.get(request)
        if context is not None:
            self._releases_due.append(context)  # the same round may start an attempt, which pauses releases

    def _after_round(self) -> None:
        super()._after_round()
        due, self._releases_due = self._releases_due, []
        for context in due:
            self._start_release(context)
        if self._list_in_round and not self.failed:
            self._list_in_round = False
            self._forget_gone()

    def _start_release(self, context: RequestContext) -> None:
        """Releases the KV cache held for a request, unless an attempt with a connection is in flight."""
        claims = self.kv_claims.get(context.request)
        if claims is None or any(call.call.is_connected for call in context.in_flight.values()):
            return
        if not claims.claims:
            return self.releaser.forget_if_settled(claims)
        self.releaser.start(claims)
        self.metrics.release()

    def _record_kv_cache(
        self, context: RequestContext, attempt: Attempt, outcome: Outcome, call: NodeAttempt
    ) -> None:
        if call is None or outcome in (Outcome.UNREACHABLE, Outcome.NOT_SENT):
            return  # it never arrived: the time limit of the release continues
        now = clock.now()
        claims = self.kv_claims[context.request]
        self.releaser.stop_beside(claims)
        unseen = outcome in OUTCOMES_UNSEEN_BY_ENGINE and not attempt.first_token_at
        claims.attempt_ended(now, not unseen or call.pool.latest_answered_start_ms >= call.written_at)
        if outcome is Outcome.PREFILLED:
            self.prefill_work.record(context.request.prompt_tokens, now - call.written_at)
        if unseen:
            claims.add_possible(attempt.engine, now, self._work_left_ms(context, call, now))
        elif attempt.is_prefill and outcome is not Outcome.FULL:
            claims.add_held(attempt.engine, now)
        for other in context.in_flight.values():
            self._monitor(context, other)

    def _work_left_ms(self, context: RequestContext, call: NodeAttempt, now: float) -> float:
        """Returns how long an engine that runs may continue an abandoned attempt."""
        if not call.is_prefill:
            return 0.0  # a decode engine that waits for KV cache stops at once
        return self.prefill_work.work_left_ms(
            context.request.prompt_tokens, call.written_at, call.expires_at, now
        )

    def _on_answer_begun(self, context: RequestContext) -> None:
        """Removes the claim of the KV cache that the decode engine took; other claims are released later."""
        if context.request.kv_holder is not None:
            self.kv_claims[context.request].remove_taken(context.request.kv_holder)

    def _monitor(self, context: RequestContext, call: NodeAttempt) -> None:
        """Starts monitoring an attempt if other KV cache may be held for its request."""
        claims = self.kv_claims[context.request]
        if claims.claims and not call.monitored:
            call.monitored = True
            self.unresponsive_attempts.watch(claims, call, lambda: self._start_release(context))

    def _check_liveness(self, engine: Engine) -> None:
        """Sends a health check only to see whether the engine replies; the policy does not get the result."""
        self.check_health(engine, lambda _: None)

    # Attempts.

    def _open_attempt(
        self, context: RequestContext, attempt: Attempt, pool: client.Pool, timeout_ms: float
    ) -> NodeAttempt:
        attempt_class = PrefillAttempt if attempt.is_prefill else DecodeAttempt
        node_attempt = attempt_class(
            self.reactor, pool, attempt, self, timeout_ms, MAX_STREAM_GAP_MS, MAX_BODY_BYTES
        )
        node_attempt.report_fields = list(self.module_settings.load_report_fields)
        call = node_attempt.send(context.client_request, timeout_ms)
        if call.is_connected:
            self._on_written(context, node_attempt)
        else:
            call.on_connected = lambda: self._on_connected(context, node_attempt)
            self._monitor(context, node_attempt)
        return node_attempt

    def _on_connected(self, context: RequestContext, call: NodeAttempt) -> None:
        """Sends the attempt on its established connection, or withdraws it.

        Failure: while connecting, the client disconnects, another attempt answers, or the engine starts
        draining, and the attempt executes for nobody. Nothing was written yet, so withdrawing the attempt
        here proves that the engine did not execute it.
        """
        if not context.final_answer and context.client.is_disconnected():
            self.client_disconnected(context)
        if context.final_answer or call.engine.state != "ready":
            return call.withdraw()
        release = self.releaser.unacknowledged(self.kv_claims[context.request])
        if release is not None and not call.has_waited_for_release:
            return self._wait_for_release(context, call, release)
        call.refresh_head()
        self._on_written(context, call)

    def _wait_for_release(
        self, context: RequestContext, node_attempt: NodeAttempt, release: KvRelease
    ) -> None:
        """Delays an attempt until the release is acknowledged, at most for `MAX_RELEASE_WAIT_STEPS`.

        Failure: the attempt pauses a release that is due, or the release frees the KV cache that the attempt
        produces.
        """
        assert node_attempt.call is not None
        node_attempt.has_waited_for_release = node_attempt.call.is_held_back = True

        def resume() -> None:
            if timer.active():
                timer.cancel()
            release.on_acknowledged = None
            if not node_attempt.over:
                self._on_connected(context, node_attempt)
                node_attempt.resume()

        timer = TimeOut(self.reactor, MAX_RELEASE_WAIT_STEPS * self.releaser.step_ms / 1000, resume)
        release.on_acknowledged = resume

    def _on_written(self, context: RequestContext, call: NodeAttempt) -> None:
        """Pauses releases as the attempt is about to be written: none may free its KV cache."""
        self.releaser.pause(self.kv_claims[context.request])
        call.written_at = clock.now()
        self._monitor(context, call)

    # Control calls.

    def _control_call_limits(self) -> tuple[float, int, client.Headers]:
        return self.connect_timeout_ms, MAX_BODY_BYTES, ()

    def _health_check_path(self) -> str:
        return protocol.ALIVE_PATH if self.module_settings.load_reports == "off" else protocol.LOAD_PATH

    def _health_check_result(
        self, status: int, headers: dict[str, str], reply: bytes
    ) -> tuple[Outcome, dict[str, float] | None]:
        if status != 200:
            return engine_reply.rejection(status, headers)[0], None
        text = headers.get(protocol.LOAD) or reply[:1000].decode("latin-1")
        return Outcome.SERVED, engine_reply.parse_load_report(
            text, list(self.module_settings.load_report_fields)
        )

    def _reserve_slot(self, request: Request, engine: Engine) -> None:
        raise LookupError("the policy reserved a decode slot, which the platform's protocol does not support")

    # The endpoint list.

    def address_changed(self, engine: Engine, host: str, port: int) -> None:
        """Replaces the connection pool of an engine with a new or first address."""
        super().address_changed(engine, host, port)
        self.release_targets.add(engine)
        self.pools[engine].on_response = lambda: self.release_targets.mark_responsive(engine)

    def _new_pool(self, host: str, port: int) -> client.Pool:
        return client.Pool(
            self.reactor,
            host,
            port,
            self.connect_timeout_ms,
            0.0,
            MAX_IDLE_CONNECTIONS,
            MAX_HEAD_BYTES,
            MAX_BODY_BYTES,
            HOST,
            self.engine_buffers,
        )

    def _tell_endpoints(self, event: EndpointListUpdate) -> None:
        super()._tell_endpoints(event)
        self._list_in_round = True

    def _forget_gone(self) -> None:
        """Forgets the engines that have left the list and that the policy no longer needs.

        Failure: in a fleet whose engines are constantly replaced, memory grows with each engine that leaves.

        Called only when the policy has applied every list that was received. Before that an engine that a
        list has just brought back still counts as gone.
        """
        gone = [engine for engine in self.pools if engine.state == "gone" and self.id_map.forget(engine)]
        for engine in gone:
            del self.pools[engine]
            self.release_targets.remove(engine)
        if gone and self.on_engines_forgotten is not None:
            self.on_engines_forgotten(gone)
