"""Chat's jobs by the published form: prompts to engines as chat completions, handles of state between them,
and the small calls beside them."""

from __future__ import annotations

from typing import Any

from ..api import chat
from ..api import engine as calls
from ..forwarding.request_context import Case, Client
from ..forwarding.request_lifecycle import Core
from ..net import client, clock
from ..net.loop import Reactor
from ..policy.events import EndpointListUpdate, SlotReserved
from ..policy.id_map import Door
from ..policy.state import Attempt, Engine, Outcome, Request
from ..settings.front import FrontSettings
from .attempts import DecodeCall, EngineCall, PrefillCall, rejection_outcome
from .metrics import Metrics

PATIENT = 20  # times the tries that a release has: what lies cut off for longer ends by its lease


class PublishedCore(Core):
    metrics: Metrics

    def __init__(
        self, settings: FrontSettings, door: Door, reactor: Reactor, metrics: Metrics, name: str
    ) -> None:
        super().__init__(door, reactor, metrics)
        self.settings = settings
        self.name = name  # of this front and this start of it
        self.lanes: list[Any] = []  # of one-stage calls, set by who builds both

    def arrived(self, asked: chat.Asked, client_side: Client, arrived: float) -> Case:
        """A job that came at `arrived` is told to the module; from here on it is owed one answer."""
        request_class = self.settings.request_classes[asked.request_class]
        limit = request_class.outer_limit + 2 * request_class.promised_per_k * asked.prompt / 1000
        left = max(
            0.0,
            min(limit, asked.time_left if asked.time_left is not None else limit)
            - self.settings.transport.answer_margin,
        )
        self.number += 1
        request = Request(
            self.number,
            asked.request_class,
            asked.session,
            asked.prefix,
            asked.prompt,
            asked.prefix_tokens,
            float(asked.most),
            arrived,
            arrived + left,
            repeat=asked.repeat,
        )
        case = Case(request, asked, client_side, f"{self.name}.{request.id}", asked.name)
        asked.label = asked.label or case.key
        return self._take(case)

    def corrected(self, case: Case) -> None:
        """The prompt of a job that went on by a bound is counted; its beginning counts until its first
        trip."""
        request, asked = case.request, case.asked
        request.prompt = asked.prompt
        if not request.attempts:
            request.prefix, request.prefix_tokens = asked.prefix, asked.prefix_tokens

    def _ended_with(self, case: Case) -> dict[str, Any]:
        return {"tokens": case.result[1].completion_tokens if case.result else 0}

    # Trips.

    def _carry(self, case: Case, attempt: Attempt, pool: client.Pool, time_out: float) -> EngineCall:
        if case.place is not None and case.place is not attempt.engine and not attempt.reading:
            self._let_go(case, case.place)  # a send to another writer gives the place up
        transport, asked = self.settings.transport, case.asked
        make = PrefillCall if attempt.reading else DecodeCall
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
        state = case.state if attempt.request.holder is not None else None
        carrier.send(headers, chat.to_reader(asked) if attempt.reading else chat.to_writer(asked, state))
        return carrier

    # Small calls.

    def _small_bounds(self) -> tuple[float, int, client.Headers]:
        transport = self.settings.transport
        return (
            transport.call_time_out,
            transport.reply,
            [("Content-Type", "application/json"), (calls.FRONT, self.settings.name)],
        )

    def _probe_path(self) -> str:
        return calls.PROBE

    def _probed(
        self, status: int, headers: dict[str, str], reply: bytes
    ) -> tuple[Outcome, dict[str, float] | None]:
        if status != 200:
            return rejection_outcome(status, reply)[0], None
        return Outcome.DELIVERED, calls.load_report(headers.get(calls.LOAD))

    def _hold(self, request: Request, engine: Engine) -> None:
        case = self.cases.get(request)
        if case is None or case.answered:
            return
        reading = next((attempt for attempt in case.out if attempt.reading), None)
        reader = None
        if reading is not None and reading.engine in self.pools:
            pool = self.pools[reading.engine]
            reader = chat.KvParams(reading.engine.id.decode(), pool.host, pool.port, [], case.key)
        if case.place is not None and case.place is not engine:
            self._let_go(case, case.place)
        case.place = engine
        case.held[engine] = None

        def ended(
            status: int, headers: dict[str, str], reply: bytes, trouble: client.CallError | None
        ) -> None:
            answered = trouble is None and status == 200
            held = answered and reply.replace(b" ", b"") == b'{"held":true}'
            if (held or not answered) and (case.answered or case.first_at or case.place is not engine):
                # Guards against a place that is held after its job has gone by: the call was slow, or its
                # answer is lost and it may yet be carried out.
                release = chat.ENCODE.encode(calls.Release(case.key))
                self._release_until(engine, release, 1)
                if not answered:
                    pause = self.settings.module["release_within"] / 2
                    self.reactor.callLater(pause / 1000, self._release_until, engine, release, 1)
            if answered and reading is not None and reading.outcome is None and reading in case.out:
                self.tell(SlotReserved(reading, engine, held))

        body = chat.ENCODE.encode(calls.Place(case.key, request.prompt, reader))
        self._small(engine, "POST", calls.PLACE, body, ended)

    def _release(self, request: Request) -> None:
        case = self.cases.get(request)
        if case is None:
            return
        case.state = None
        for engine in list(case.held):
            self._let_go(case, engine)

    def _let_go(self, case: Case, engine: Engine) -> None:
        case.held.pop(engine, None)
        if case.place is engine:
            case.place = None
        self._release_until(engine, chat.ENCODE.encode(calls.Release(case.key)), 1)
        self.metrics.release()

    def _release_until(self, engine: Engine, body: bytes, tries: int) -> None:
        """Guards against a release that gets lost, which would leave state pinned: it is harmless to
        repeat, and only the engine that holds can be asked.  Where that one is cut off it goes on, slowly,
        until it has been heard or the engine has left the list."""
        sent = clock.now()

        def ended(
            status: int, headers: dict[str, str], reply: bytes, trouble: client.CallError | None
        ) -> None:
            most, within = self.settings.transport.release_tries, self.settings.module["release_within"]
            if status == 200 or engine.state == "gone" or tries >= PATIENT * most:
                return
            # Later ones begin that far apart, so that one is heard in time once a cut is over.
            pause = within / (2 * most) if tries < most else max(0.0, sent + within - clock.now())
            self.reactor.callLater(pause / 1000, self._release_until, engine, body, tries + 1)

        self._small(engine, "POST", calls.RELEASE, body, ended)

    # The engines.

    def _tell_list(self, event: EndpointListUpdate) -> None:
        self.tell(self._of("chat", event))
        for lane in self.lanes:
            lane.tell(self._of(lane.settings.call, event))

    def _of(self, call: str, event: EndpointListUpdate) -> EndpointListUpdate:
        """The part of a list that carries a call: no lane's module knows another's engines."""
        kinds = self.settings.kinds
        return EndpointListUpdate(
            event.scope, [entry for entry in event.entries if kinds[entry.kind].call == call]
        )

    def _pool(self, host: str, port: int) -> client.Pool:
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
