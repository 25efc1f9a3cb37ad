"""Chat's jobs by the published form: prompts to engines as chat completions, handles of state between them,
and the small calls beside them."""

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
from . import attempts as carriers
from .metrics import Metrics

PATIENT = 20  # times the tries that a release has: what lies cut off for longer ends by its lease


class PublishedCore(RequestLifecycle):
    metrics: Metrics

    def __init__(
        self, settings: FrontSettings, door: IdMap, reactor: Reactor, metrics: Metrics, name: str
    ) -> None:
        super().__init__(door, reactor, metrics)
        self.settings = settings
        self.name = name  # of this front and this start of it
        self.lanes: list[Any] = []  # of one-stage calls, set by who builds both

    def arrived(self, asked: chat.Asked, client_side: Client, arrived: float) -> RequestContext:
        """A job that came at `arrived` is told to the module; from here on it is owed one answer."""
        request_class = self.settings.request_classes[asked.request_class]
        limit = request_class.outer_limit + 2 * request_class.promised_per_k * asked.prompt / 1000
        left = max(
            0.0,
            min(limit, asked.time_left if asked.time_left is not None else limit)
            - self.settings.transport.answer_margin,
        )
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

    def corrected(self, case: RequestContext) -> None:
        """The prompt of a job that went on by a bound is counted; its beginning counts until its first
        trip."""
        request, asked = case.request, case.client_request
        request.prompt_tokens = asked.prompt_tokens
        if not request.attempts:
            request.prefix, request.prefix_tokens = asked.prefix, asked.prefix_tokens

    def _log_fields(self, case: RequestContext) -> dict[str, Any]:
        return {"tokens": case.result[1].completion_tokens if case.result else 0}

    # Trips.

    def _open_attempt(
        self, case: RequestContext, attempt: Attempt, pool: client.Pool, time_out: float
    ) -> carriers.Carrier:
        if (
            case.reserved_engine is not None
            and case.reserved_engine is not attempt.engine
            and not attempt.is_prefill
        ):
            self._let_go(case, case.reserved_engine)  # a send to another writer gives the place up
        transport, asked = self.settings.transport, case.client_request
        make = carriers.Reading if attempt.is_prefill else carriers.Writing
        carrier = make(self.reactor, pool, attempt, self, time_out, transport.stream_silence, transport.reply)
        headers = [
            ("Content-Type", "application/json"),
            (chat.REQUEST_ID, f"{case.key}.{attempt.number}"),
            (calls.REQUEST, case.key),
            (calls.FRONT, self.settings.name),
            (chat.LABEL, asked.label),
        ]
        if self.acts_on is not None:
            headers.append((calls.PLAN, self.acts_on()))
        if asked.exact:
            headers.append((calls.PROMPT_TOKENS, str(int(asked.prompt))))
        if asked.request_id:
            headers.append((calls.TRY, asked.request_id))
        state = case.kv_handle if attempt.request.kv_holder is not None else None
        carrier.send(headers, chat.to_reader(asked) if attempt.is_prefill else chat.to_writer(asked, state))
        return carrier

    # Small calls.

    def _control_call_limits(self) -> tuple[float, int, client.Headers]:
        transport = self.settings.transport
        return (
            transport.call_time_out,
            transport.reply,
            [("Content-Type", "application/json"), (calls.FRONT, self.settings.name)],
        )

    def _health_check_path(self) -> str:
        return calls.PROBE

    def _health_check_result(
        self, status: int, headers: dict[str, str], reply: bytes
    ) -> tuple[Outcome, dict[str, float] | None]:
        if status != 200:
            return carriers.refusal(status, reply)[0], None
        return Outcome.SERVED, calls.load_report(headers.get(calls.LOAD))

    def _reserve_slot(self, request: Request, engine: Engine) -> None:
        case = self.open_requests.get(request)
        if case is None or case.final_answer:
            return
        reading = next((attempt for attempt in case.in_flight if attempt.is_prefill), None)
        reader = None
        if reading is not None and reading.engine in self.pools:
            pool = self.pools[reading.engine]
            reader = chat.KvParams(reading.engine.id.decode(), pool.host, pool.port, [], case.key)
        if case.reserved_engine is not None and case.reserved_engine is not engine:
            self._let_go(case, case.reserved_engine)
        case.reserved_engine = engine
        case.holding_engines[engine] = None

        def ended(status: int, headers: dict[str, str], reply: bytes, trouble: client.Trouble | None) -> None:
            answered = trouble is None and status == 200
            held = answered and reply.replace(b" ", b"") == b'{"held":true}'
            if (held or not answered) and (
                case.final_answer or case.first_token_at or case.reserved_engine is not engine
            ):
                # Guards against a place that is held after its job has gone by: the call was slow, or its
                # answer is lost and it may yet be carried out.
                release = chat.ENCODE.encode(calls.Release(case.key))
                self._release_until(engine, release, 1)
                if not answered:
                    pause = self.settings.module.release_within_ms / 2
                    self.reactor.callLater(pause / 1000, self._release_until, engine, release, 1)
            if answered and reading is not None and reading.outcome is None and reading in case.in_flight:
                self.tell(SlotReserved(reading, engine, held))

        body = chat.ENCODE.encode(calls.Place(case.key, request.prompt_tokens, reader))
        self.control_call(engine, "POST", calls.PLACE, body, ended)

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
        """Guards against a release that gets lost, which would leave state pinned: it is harmless to
        repeat, and only the engine that holds can be asked.  Where that one is cut off it goes on, slowly,
        until it has been heard or the engine has left the list."""
        sent = clock.now()

        def ended(status: int, headers: dict[str, str], reply: bytes, trouble: client.Trouble | None) -> None:
            most, within = self.settings.transport.release_tries, self.settings.module.release_within_ms
            if status == 200 or engine.state == "gone" or tries >= PATIENT * most:
                return
            # Later ones begin that far apart, so that one is heard in time once a cut is over.
            pause = within / (2 * most) if tries < most else max(0.0, sent + within - clock.now())
            self.reactor.callLater(pause / 1000, self._release_until, engine, body, tries + 1)

        self.control_call(engine, "POST", calls.RELEASE, body, ended)

    # The engines.

    def _tell_endpoints(self, event: EndpointListUpdate) -> None:
        self.tell(self._of("chat", event))
        for lane in self.lanes:
            lane.tell(self._of(lane.settings.call, event))

    def _of(self, call: str, event: EndpointListUpdate) -> EndpointListUpdate:
        """The part of a list that carries a call: no lane's module knows another's engines."""
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
