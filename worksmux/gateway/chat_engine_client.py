"""Carries chat completions to engines over HTTP, and passes KV cache handles from prefill to decode.

Besides attempts it sends control calls: health checks, reservations of decode slots and releases.
"""

from __future__ import annotations

from typing import Any

from ..api import chat
from ..api import engine as calls
from ..forwarding.request_context import Client, RequestContext
from ..forwarding.request_lifecycle import RequestLifecycle
from ..net import client, clock
from ..net.buffer_budget import BufferBudget
from ..net.loop import Reactor
from ..policy.events import EndpointListUpdate, SlotReserved
from ..policy.id_map import IdMap
from ..policy.settings import NON_IDEMPOTENT
from ..policy.state import Attempt, Engine, Outcome, Request
from ..settings.front import GatewaySettings
from .attempts import DecodeCall, EngineCall, PrefillCall, rejection_outcome
from .metrics import Metrics

# A round is `release_tries` calls.  After this many rounds the engine's lease on the KV cache has expired.
MAX_RELEASE_ROUNDS = 20
SLOT_RESERVED_REPLY = b'{"held":true}'
JSON_TYPE = ("Content-Type", "application/json")
OK = 200


class ChatEngineClient(RequestLifecycle):
    """Implements the engine protocol of the gateway; `RequestLifecycle` describes the hooks."""

    metrics: Metrics

    def __init__(
        self, settings: GatewaySettings, id_map: IdMap, reactor: Reactor, metrics: Metrics, name: str
    ) -> None:
        super().__init__(id_map, reactor, metrics)
        self.settings = settings
        self.engine_buffers = BufferBudget("engines", settings.transport.buffered)
        self.name = name  # unique to this start of this gateway
        self.stages: list[Any] = []  # single-stage dispatchers, set by GatewayProcess

    def accept_request(
        self, chat_request: chat.ChatRequest, chat_client: Client, arrived_at: float
    ) -> RequestContext:
        """Accepts a request that arrived at `arrived_at` (milliseconds); it gets exactly one final answer."""
        time_left_ms = self._time_left_ms(chat_request)
        self.last_request_id += 1
        request = Request(
            self.last_request_id,
            chat_request.request_class,
            chat_request.session,
            chat_request.prefix,
            chat_request.prompt_tokens,
            chat_request.prefix_tokens,
            float(chat_request.max_tokens),
            arrived_at,
            arrived_at + time_left_ms,
            is_retry=chat_request.is_retry,
        )
        context = RequestContext(
            request, chat_request, chat_client, f"{self.name}.{request.id}", chat_request.model
        )
        chat_request.has_own_key = bool(chat_request.idempotency_key)
        chat_request.idempotency_key = chat_request.idempotency_key or context.key
        return self._accept(context)

    def _time_left_ms(self, chat_request: chat.ChatRequest) -> float:
        """The time until the deadline of the client or of the request class, whichever is earlier.

        The time that the answer takes back to the client is subtracted.
        """
        request_class = self.settings.request_classes[chat_request.request_class]
        limit_ms = (
            request_class.outer_limit + 2 * request_class.promised_per_k * chat_request.prompt_tokens / 1000
        )
        if chat_request.time_left_ms is not None:
            limit_ms = min(limit_ms, chat_request.time_left_ms)
        return max(0.0, limit_ms - self.settings.transport.answer_margin)

    def correct_prompt(self, context: RequestContext) -> None:
        """Replaces the upper bound on a request's prompt length by the exact count.

        The prefix is replaced only before the first attempt, because that attempt's engine was chosen by it.
        """
        request, chat_request = context.request, context.client_request
        request.prompt_tokens = chat_request.prompt_tokens
        if not request.attempts:
            request.prefix, request.prefix_tokens = chat_request.prefix, chat_request.prefix_tokens

    def _effect_key(self, context: RequestContext) -> str:
        """Returns the client's idempotency key of a non-idempotent request."""
        request_class = self.module_settings.request_classes[context.request.request_class]
        is_keyed = context.client_request.has_own_key and request_class.effect == NON_IDEMPOTENT
        return context.client_request.idempotency_key if is_keyed else ""

    def has_executed(self, chat_request: chat.ChatRequest) -> bool:
        """Whether a non-idempotent request with the same idempotency key is open or may have run."""
        key = chat_request.idempotency_key
        return key in self.executed_keys or key in self.open_effect_keys

    def _log_fields(self, context: RequestContext) -> dict[str, Any]:
        return {"tokens": context.result[1].completion_tokens if context.result else 0}

    def _open_attempt(
        self, context: RequestContext, attempt: Attempt, pool: client.Pool, timeout_ms: float
    ) -> EngineCall:
        if (
            context.reserved_engine is not None
            and context.reserved_engine is not attempt.engine
            and not attempt.is_prefill
        ):
            self._release_engine(context, context.reserved_engine)  # the policy chose another decode engine
        transport, chat_request = self.settings.transport, context.client_request
        call_class = PrefillCall if attempt.is_prefill else DecodeCall
        call = call_class(
            self.reactor, pool, attempt, self, timeout_ms, transport.stream_silence, transport.reply
        )
        kv_handle = context.kv_handle if attempt.request.kv_holder is not None else None
        body = (
            chat.prefill_body(chat_request)
            if attempt.is_prefill
            else chat.decode_body(chat_request, kv_handle)
        )
        call.send(self._attempt_headers(context, attempt), body)
        if call.call is not None and not call.call.is_connected:
            state = attempt.engine.state
            call.call.on_connected = lambda: self._on_connected(context, call, state)
        return call

    def _on_connected(self, context: RequestContext, call: EngineCall, state: str) -> None:
        """Withdraws an attempt on its new connection if its client has left or its engine's state changed.

        Failure: while connecting, the client disconnects, another attempt answers, or the engine starts
        draining, and the attempt executes for nobody.  Nothing was written yet, so the engine has not
        executed it.
        """
        if not context.final_answer and context.client.is_disconnected():
            self.client_disconnected(context)
        if context.final_answer or call.attempt.engine.state != state:
            call.withdraw()

    def _attempt_headers(self, context: RequestContext, attempt: Attempt) -> list[tuple[str, str]]:
        chat_request = context.client_request
        headers = [
            JSON_TYPE,
            (chat.REQUEST_ID, f"{context.key}.{attempt.number}"),
            (calls.REQUEST, context.key),
            (calls.GATEWAY, self.settings.name),
            (chat.IDEMPOTENCY_KEY, chat_request.idempotency_key),
        ]
        if self.plan_version is not None:
            headers.append((calls.PLAN, self.plan_version()))
        if chat_request.is_prompt_exact:
            headers.append((calls.PROMPT_TOKENS, str(int(chat_request.prompt_tokens))))
        if chat_request.request_id:
            headers.append((calls.CLIENT_ATTEMPT, chat_request.request_id))
        return headers

    def _control_call_limits(self) -> tuple[float, int, client.Headers]:
        transport = self.settings.transport
        return (
            transport.call_time_out,
            transport.reply,
            [JSON_TYPE, (calls.GATEWAY, self.settings.name)],
        )

    def _health_check_path(self) -> str:
        return calls.PROBE

    def _health_check_result(
        self, status: int, headers: dict[str, str], reply: bytes
    ) -> tuple[Outcome, dict[str, float] | None]:
        if status != OK:
            return rejection_outcome(status, reply)[0], None
        return Outcome.SERVED, calls.load_report(headers.get(calls.LOAD))

    def _reserve_slot(self, request: Request, engine: Engine) -> None:
        context = self.open_requests.get(request)
        if context is None or context.final_answer:
            return
        prefill = next((attempt for attempt in context.in_flight if attempt.is_prefill), None)
        if context.reserved_engine is not None and context.reserved_engine is not engine:
            self._release_engine(context, context.reserved_engine)
        context.reserved_engine = engine
        context.holding_engines[engine] = None

        def on_end(
            status: int, headers: dict[str, str], reply: bytes, error: client.CallError | None
        ) -> None:
            is_answered = error is None and status == OK
            is_reserved = is_answered and reply.replace(b" ", b"") == SLOT_RESERVED_REPLY
            is_obsolete = (
                bool(context.final_answer or context.first_token_at) or context.reserved_engine is not engine
            )
            if (is_reserved or not is_answered) and is_obsolete:
                self._release_unwanted_slot(context, engine, is_answered)
            if (
                is_answered
                and prefill is not None
                and prefill.outcome is None
                and prefill in context.in_flight
            ):
                self.tell(SlotReserved(prefill, engine, is_reserved))

        kv_source = self._kv_source(context, prefill)
        body = chat.ENCODER.encode(calls.ReserveSlot(context.key, request.prompt_tokens, kv_source))
        self.control_call(engine, "POST", calls.RESERVE_SLOT, body, on_end)

    def _kv_source(self, context: RequestContext, prefill: Attempt | None) -> chat.KvParams | None:
        """The prefill engine from which the decode engine can pull the KV cache before the decode attempt."""
        if prefill is None or prefill.engine not in self.pools:
            return None
        pool = self.pools[prefill.engine]
        return chat.KvParams(prefill.engine.id.decode(), pool.host, pool.port, [], context.key)

    def _release_unwanted_slot(self, context: RequestContext, engine: Engine, is_answered: bool) -> None:
        """Releases a decode slot that its request no longer needs when the reservation call ends.

        Failure: the reservation was slow, or its answer was lost and the engine may still execute it.  The
        slot would stay reserved although no request uses it.  After a lost answer a second release follows,
        in case the engine executes the reservation after the first release.
        """
        release = chat.ENCODER.encode(calls.Release(context.key))
        self._release_until(engine, release, 1)
        if not is_answered:
            pause_ms = self.settings.policy_settings.release_within_ms / 2
            self.reactor.callLater(pause_ms / 1000, self._release_until, engine, release, 1)

    def _release_kv_cache(self, request: Request) -> None:
        context = self.open_requests.get(request)
        if context is None:
            return
        context.kv_handle = None
        for engine in list(context.holding_engines):
            self._release_engine(context, engine)

    def _release_engine(self, context: RequestContext, engine: Engine) -> None:
        context.holding_engines.pop(engine, None)
        if context.reserved_engine is engine:
            context.reserved_engine = None
        self._release_until(engine, chat.ENCODER.encode(calls.Release(context.key)), 1)
        self.metrics.release()

    def _release_until(self, engine: Engine, body: bytes, call_number: int) -> None:
        """Repeats a release until the engine acknowledges it or leaves the endpoint list.

        Failure: after a lost release the KV cache stays pinned at the engine, and no other process can free
        it.  A release is idempotent.  After the first round the calls continue at longer intervals, for an
        engine that is cut off by a network partition.
        """
        sent_at = clock.now()

        def on_end(
            status: int, headers: dict[str, str], reply: bytes, error: client.CallError | None
        ) -> None:
            calls_per_round = self.settings.transport.release_tries
            release_within_ms = self.settings.policy_settings.release_within_ms
            if status == OK or engine.state == "gone" or call_number >= MAX_RELEASE_ROUNDS * calls_per_round:
                return
            if call_number < calls_per_round:
                pause_ms = release_within_ms / (2 * calls_per_round)
            else:  # calls start `release_within_ms` apart, so that one arrives in time after a partition ends
                pause_ms = max(0.0, sent_at + release_within_ms - clock.now())
            self.reactor.callLater(pause_ms / 1000, self._release_until, engine, body, call_number + 1)

        self.control_call(engine, "POST", calls.RELEASE, body, on_end)

    def _tell_endpoints(self, event: EndpointListUpdate) -> None:
        self.tell(self._select_by_call("chat", event))
        for stage in self.stages:
            stage.tell(self._select_by_call(stage.settings.call, event))

    def _select_by_call(self, call: str, event: EndpointListUpdate) -> EndpointListUpdate:
        """The part of an endpoint list update with the engines that serve `call`.

        Each policy knows only the engines of its own call.
        """
        kinds = self.settings.kinds
        return EndpointListUpdate(
            event.scope, [entry for entry in event.entries if kinds[entry.kind].call == call]
        )

    def _new_pool(self, host: str, port: int) -> client.Pool:
        transport = self.settings.transport
        return client.Pool(
            self.reactor,
            host,
            port,
            transport.connect_time_out,
            transport.keep_alive,
            transport.idle_connections,
            transport.head,
            buffers=self.engine_buffers,
        )
