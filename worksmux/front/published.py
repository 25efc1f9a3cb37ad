"""Chat's jobs by the published form: prompts to engines as chat completions, handles of state between them,
and the small calls beside them."""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .. import interface as i
from ..api import chat
from ..api import engine as calls
from ..door import Door
from ..net import client, clock
from ..net.loop import Reactor
from ..settings.front import FrontSettings
from . import carriers
from .carriage import outcome_of
from .case import Case, Client
from .core import Core
from .metrics import Metrics


class PublishedCore(Core):
    metrics: Metrics

    def __init__(
        self, settings: FrontSettings, door: Door, reactor: Reactor, metrics: Metrics, name: str
    ) -> None:
        super().__init__(door, reactor, metrics)
        self.settings = settings
        self.name = name                             # of this front and this start of it
        self.pools: dict[i.Engine, client.Pool] = {}
        self.lanes: list[Any] = []                   # of one-stage calls, set by who builds both

    def arrived(self, asked: chat.Asked, client_side: Client, arrived: float) -> Case:
        """A job that came at `arrived` is told to the module; from here on it is owed one answer."""
        offering = self.settings.offerings[asked.offering]
        limit = offering.outer_limit + 2 * offering.promised_per_k * asked.prompt / 1000
        left = max(0.0, min(limit, asked.time_left if asked.time_left is not None else limit)
                   - self.settings.transport.answer_margin)
        self.number += 1
        job = i.Job(self.number, asked.offering, asked.session, asked.prefix, asked.prompt,
                    asked.prefix_tokens, float(asked.most), arrived, arrived + left, repeat=asked.repeat)
        case = Case(job, asked, client_side, f"{self.name}.{job.id}", asked.name)
        asked.label = asked.label or case.key
        return self._take(case)

    def corrected(self, case: Case) -> None:
        """The prompt of a job that went on by a bound is counted; its beginning counts until its first
        trip."""
        job, asked = case.job, case.asked
        job.prompt = asked.prompt
        if not job.trips:
            job.prefix, job.prefix_tokens = asked.prefix, asked.prefix_tokens

    def _ended_with(self, case: Case) -> dict[str, Any]:
        return {"tokens": case.result[1].completion_tokens if case.result else 0}

    # Trips.

    def _carry(self, case: Case, trip: i.Trip, time_out: float) -> carriers.Carrier:
        if trip.engine not in self.pools:
            raise LookupError(f"the module sends to an engine without an address: {trip.engine.id!r}")
        transport, asked = self.settings.transport, case.asked
        make = carriers.Reading if trip.reading else carriers.Writing
        carrier = make(self.reactor, self.pools[trip.engine], trip, self, time_out, transport.stream_silence,
                       transport.reply)
        headers = [("Content-Type", "application/json"), (chat.REQUEST_ID, f"{case.key}.{trip.number}"),
                   (calls.JOB, case.key), (calls.FRONT, self.settings.name), (chat.LABEL, asked.label)]
        if asked.exact:
            headers.append((calls.PROMPT_TOKENS, str(int(asked.prompt))))
        if asked.request_id:
            headers.append((calls.TRY, asked.request_id))
        state = case.state if trip.job.holder is not None else None
        carrier.send(headers, chat.to_reader(asked) if trip.reading else chat.to_writer(asked, state))
        return carrier

    # Small calls.

    def _small(self, engine: i.Engine, method: str, path: str, body: bytes, on_end: client.OnEnd) -> None:
        """A call beside the jobs, with its own time-out; one to an engine never listed is unreachable."""
        pool = self.pools.get(engine)
        if pool is None:
            on_end(0, {}, b"", client.Unsent("no address is known"))
            return
        call: client.Call | None = None
        timer: Any = None

        def ended(status: int, headers: dict[str, str], reply: bytes, trouble: client.Trouble | None) -> None:
            if timer.active():
                timer.cancel()
            on_end(status, headers, reply, trouble)

        def late() -> None:
            if call is not None:
                call.abandon()
            on_end(0, {}, b"", None)

        timer = self.reactor.callLater(self.settings.transport.call_time_out / 1000, late)
        call = pool.call(method, path, client.Whole(self.settings.transport.reply, ended),
                         [("Content-Type", "application/json"), (calls.FRONT, self.settings.name)], body)

    def probe(self, engine: i.Engine, tell: Callable[[i.Event], None]) -> None:
        """Asks an engine how it does; `tell` gets the answer."""
        sent = clock.now()

        def ended(status: int, headers: dict[str, str], reply: bytes, trouble: client.Trouble | None) -> None:
            report = None
            if trouble is not None:
                outcome = outcome_of(trouble)
            elif not status:
                outcome = i.Outcome.TIMED_OUT
            elif status != 200:
                outcome = carriers.refusal(status, reply)[0]
            else:
                outcome, report = i.Outcome.DELIVERED, calls.load_report(headers.get(calls.LOAD))
            self.metrics.probe(outcome.value)
            tell(i.Probed(engine, outcome, clock.now() - sent, report))

        self._small(engine, "GET", calls.PROBE, b"", ended)

    def _hold(self, job: i.Job, engine: i.Engine) -> None:
        case = self.cases.get(job)
        if case is None or case.answered:
            return
        reading = next((trip for trip in case.out if trip.reading), None)
        reader = None
        if reading is not None and reading.engine in self.pools:
            pool = self.pools[reading.engine]
            reader = chat.KvParams(reading.engine.id.decode(), pool.host, pool.port, [], case.key)
        if case.place not in (None, engine):
            self._let_go(case, case.place)
        case.place = engine
        case.held[engine] = None

        def ended(status: int, headers: dict[str, str], reply: bytes, trouble: client.Trouble | None) -> None:
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
                self.tell(i.Placed(reading, engine, held))

        body = chat.ENCODE.encode(calls.Place(case.key, job.prompt, reader))
        self._small(engine, "POST", calls.PLACE, body, ended)

    def _call_release(self, case: Case, engine: i.Engine) -> None:
        self._release_until(engine, chat.ENCODE.encode(calls.Release(case.key)), 1)

    def _release_until(self, engine: i.Engine, body: bytes, tries: int) -> None:
        """Guards against a release that gets lost, which would leave state pinned: it is harmless to
        repeat."""
        def ended(status: int, headers: dict[str, str], reply: bytes, trouble: client.Trouble | None) -> None:
            most = self.settings.transport.release_tries
            if status != 200 and tries < most:
                pause = self.settings.module["release_within"] / (2 * most)      # a refusal comes at once
                self.reactor.callLater(pause / 1000, self._release_until, engine, body, tries + 1)

        self._small(engine, "POST", calls.RELEASE, body, ended)

    # The fleet.

    def _shut(self, engine: i.Engine) -> None:
        if engine in self.pools:
            self.pools[engine].close()

    def listed(self, event: i.Listed) -> None:
        for entry in event.entries:
            if entry.state == "gone" and entry.engine in self.pools:
                self.pools[entry.engine].close()
        self.tell(self._of("chat", event))
        for lane in self.lanes:
            lane.tell(self._of(lane.settings.call, event))

    def _of(self, call: str, event: i.Listed) -> i.Listed:
        """The part of a list that carries a call: no lane's module knows another's engines."""
        kinds = self.settings.kinds
        return i.Listed(event.scope, [entry for entry in event.entries if kinds[entry.kind].call == call])

    def moved(self, engine: i.Engine, host: str, port: int) -> None:
        """An engine has a new address: trips that are out go on where they are."""
        old, bounds = self.pools.get(engine), self.settings.transport
        self.pools[engine] = client.Pool(self.reactor, host, port, bounds.connect_time_out, bounds.keep_alive,
                                         bounds.idle_connections, bounds.head)
        if old:
            old.close()
