"""Carries chat completions to engines over their HTTP API, with KV cache handles between prefill and decode.

Beside the attempts there are control calls: health checks, reservations of decode slots, and releases.
"""

from __future__ import annotations

from typing import Any

from ..api import chat
from ..api import engine as calls
from ..forwarding.request_context import Client, RequestContext
from ..forwarding.request_lifecycle import RequestLifecycle
from ..net import client, clock
from ..net.loop import Reactor
from ..policy.events import EndpointListUpdate, SlotReserved
from ..policy.id_map import IdMap
from ..policy.state import Attempt, Engine, Outcome, Request
from ..settings.front import FrontSettings
from .attempts import DecodeCall, EngineCall, PrefillCall, rejection_outcome
from .metrics import Metrics

MAX_RELEASE_ROUNDS = 20  # of `release_tries` calls each; after that the engine's lease has ended
SLOT_RESERVED_REPLY = b'{"held":true}'
JSON_TYPE = ("Content-Type", "application/json")
OK = 200


class ChatEngineClient(RequestLifecycle):
    """The gateway's side of the engines' protocol; see `RequestLifecycle` for what its hooks mean."""

    metrics: Metrics

    def __init__(
        self, settings: FrontSettings, id_map: IdMap, reactor: Reactor, metrics: Metrics, name: str
    ) -> None:
        super().__init__(id_map, reactor, metrics)
        self.settings = settings
        self.name = name  # of this gateway and this start of it
        self.stages: list[Any] = []  # the single-stage dispatchers, set by the process

    def arrived(self, asked: chat.Asked, client_side: Client, arrived: float) -> RequestContext:
        """Takes a request that came at `arrived` (milliseconds); from here on it is owed one answer."""
        left = self._time_left_ms(asked)
        self.last_request_id += 1
        request = Request(
            self.last_request_id,
            asked.request_class,
            asked.session,
            asked.prefix,
            asked.prompt,
            asked.prefix_tokens,
            float(asked.most),
            arrived,
            arrived + left,
            is_retry=asked.repeat,
        )
        case = RequestContext(request, asked, client_side, f"{self.name}.{request.id}", asked.name)
        asked.label = asked.label or case.key
        return self._accept(case)

    def _time_left_ms(self, asked: chat.Asked) -> float:
        """The client's deadline or the request class's, less the time for the answer's way back."""
        request_class = self.settings.request_classes[asked.request_class]
        limit = request_class.outer_limit + 2 * request_class.promised_per_k * asked.prompt / 1000
        if asked.time_left is not None:
            limit = min(limit, asked.time_left)
        return max(0.0, limit - self.settings.transport.answer_margin)

    def corrected(self, case: RequestContext) -> None:
        """The prompt of a request that was taken by an upper bound has been counted.

        Its prefix is taken over only before the first attempt, which has chosen an engine by it.
        """
        request, asked = case.request, case.client_request
        request.prompt_tokens = asked.prompt
        if not request.attempts:
            request.prefix, request.prefix_tokens = asked.prefix, asked.prefix_tokens

    def _log_fields(self, case: RequestContext) -> dict[str, Any]:
        return {"tokens": case.result[1].completion_tokens if case.result else 0}

    def _open_attempt(
        self, case: RequestContext, attempt: Attempt, pool: client.Pool, time_out: float
    ) -> EngineCall:
        if (
            case.reserved_engine is not None
            and case.reserved_engine is not attempt.engine
            and not attempt.is_prefill
        ):
            self._let_go(case, case.reserved_engine)  # another decode engine was chosen
        transport, asked = self.settings.transport, case.client_request
        make = PrefillCall if attempt.is_prefill else DecodeCall
        call = make(self.reactor, pool, attempt, self, time_out, transport.stream_silence, transport.reply)
        kv_handle = case.kv_handle if attempt.request.kv_holder is not None else None
        body = chat.to_reader(asked) if attempt.is_prefill else chat.to_writer(asked, kv_handle)
        call.send(self._attempt_headers(case, attempt), body)
        return call

    def _attempt_headers(self, case: RequestContext, attempt: Attempt) -> list[tuple[str, str]]:
        asked = case.client_request
        headers = [
            JSON_TYPE,
            (chat.REQUEST_ID, f"{case.key}.{attempt.number}"),
            (calls.REQUEST, case.key),
            (calls.FRONT, self.settings.name),
            (chat.LABEL, asked.label),
        ]
        if self.plan_version is not None:
            headers.append((calls.PLAN, self.plan_version()))
        if asked.exact:
            headers.append((calls.PROMPT_TOKENS, str(int(asked.prompt))))
        if asked.request_id:
            headers.append((calls.TRY, asked.request_id))
        return headers

    def _control_call_limits(self) -> tuple[float, int, client.Headers]:
        transport = self.settings.transport
        return (
            transport.call_time_out,
            transport.reply,
            [JSON_TYPE, (calls.FRONT, self.settings.name)],
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
        case = self.open_requests.get(request)
        if case is None or case.final_answer:
            return
        prefill = next((attempt for attempt in case.in_flight if attempt.is_prefill), None)
        if case.reserved_engine is not None and case.reserved_engine is not engine:
            self._let_go(case, case.reserved_engine)
        case.reserved_engine = engine
        case.holding_engines[engine] = None

        def ended(
            status: int, headers: dict[str, str], reply: bytes, trouble: client.CallError | None
        ) -> None:
            answered = trouble is None and status == OK
            reserved = answered and reply.replace(b" ", b"") == SLOT_RESERVED_REPLY
            is_unwanted = bool(case.final_answer or case.first_token_at) or case.reserved_engine is not engine
            if (reserved or not answered) and is_unwanted:
                self._release_unwanted_slot(case, engine, answered)
            if answered and prefill is not None and prefill.outcome is None and prefill in case.in_flight:
                self.tell(SlotReserved(prefill, engine, reserved))

        kv_source = self._kv_source(case, prefill)
        body = chat.ENCODE.encode(calls.Place(case.key, request.prompt_tokens, kv_source))
        self.control_call(engine, "POST", calls.PLACE, body, ended)

    def _kv_source(self, case: RequestContext, prefill: Attempt | None) -> chat.KvParams | None:
        """Where the decode engine can pull the KV cache from, ahead of the request."""
        if prefill is None or prefill.engine not in self.pools:
            return None
        pool = self.pools[prefill.engine]
        return chat.KvParams(prefill.engine.id.decode(), pool.host, pool.port, [], case.key)

    def _release_unwanted_slot(self, case: RequestContext, engine: Engine, answered: bool) -> None:
        """Releases a slot whose request has moved on while the reservation was out.

        Failure: the reservation was slow, or its answer is lost and it may yet be carried out; the slot would
        then stay reserved for nobody.  After a lost answer a second release follows, in case the reservation
        is carried out after the first.
        """
        release = chat.ENCODE.encode(calls.Release(case.key))
        self._release_until(engine, release, 1)
        if not answered:
            pause_ms = self.settings.module.release_within_ms / 2
            self.reactor.callLater(pause_ms / 1000, self._release_until, engine, release, 1)

    def _release_kv_cache(self, request: Request) -> None:
        case = self.open_requests.get(request)
        if case is None:
            return
        case.kv_handle = None
        for engine in list(case.holding_engines):
            self._let_go(case, engine)

    def _let_go(self, case: RequestContext, engine: Engine) -> None:
        case.holding_engines.pop(engine, None)
        if case.reserved_engine is engine:
            case.reserved_engine = None
        self._release_until(engine, chat.ENCODE.encode(calls.Release(case.key)), 1)
        self.metrics.release()

    def _release_until(self, engine: Engine, body: bytes, tries: int) -> None:
        """Repeats a release until the engine acknowledges it or has left the list.

        Failure: a release that gets lost leaves the KV cache pinned at the engine, and nobody else can free
        it.  A release is harmless to repeat.  To an engine that is cut off they go on at a slower pace.
        """
        sent = clock.now()

        def ended(
            status: int, headers: dict[str, str], reply: bytes, trouble: client.CallError | None
        ) -> None:
            round_tries = self.settings.transport.release_tries
            within_ms = self.settings.module.release_within_ms
            if status == OK or engine.state == "gone" or tries >= MAX_RELEASE_ROUNDS * round_tries:
                return
            if tries < round_tries:
                pause_ms = within_ms / (2 * round_tries)
            else:  # they begin `within_ms` apart, so that one arrives in time once a partition is over
                pause_ms = max(0.0, sent + within_ms - clock.now())
            self.reactor.callLater(pause_ms / 1000, self._release_until, engine, body, tries + 1)

        self.control_call(engine, "POST", calls.RELEASE, body, ended)

    def _tell_endpoints(self, event: EndpointListUpdate) -> None:
        self.tell(self._of("chat", event))
        for stage in self.stages:
            stage.tell(self._of(stage.settings.call, event))

    def _of(self, call: str, event: EndpointListUpdate) -> EndpointListUpdate:
        """The engines that serve a call: no policy knows those of another."""
        kinds = self.settings.kinds
        return EndpointListUpdate(
            event.scope, [entry for entry in event.entries if kinds[entry.kind].call == call]
        )

    def _new_pool(self, host: str, port: int) -> client.Pool:
        bounds = self.settings.transport
        return client.Pool(
            self.reactor,
            host,
            port,
            bounds.connect_time_out,
            bounds.keep_alive,
            bounds.idle_connections,
            bounds.head,
        )
