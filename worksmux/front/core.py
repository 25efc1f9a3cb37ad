"""Chat's jobs between clients, module and engines.

The front decides nothing.  It keeps what the interface promises the module: each trip has exactly one
outcome, what is sent for a job that has ended is moot, a stream that began belongs to its client, and
whatever may hold state for a job is let go when the module says so.
"""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog

from .. import interface as i
from ..api import chat
from ..api import engine as calls
from ..door import Door
from ..net import client, clock
from ..net.loop import Reactor
from ..settings.front import FrontSettings
from . import carriers
from .case import Case, Client
from .metrics import Metrics
from .turns import Turns

LOG = structlog.get_logger()


class Core(Turns):
    def __init__(
        self, settings: FrontSettings, door: Door, reactor: Reactor, metrics: Metrics, name: str
    ) -> None:
        super().__init__(door, reactor, metrics)
        self.settings = settings
        self.name = name                             # of this front and this start of it
        self.cases: dict[i.Job, Case] = {}
        self.pools: dict[i.Engine, client.Pool] = {}
        self.number = 0
        self.lanes: list[Any] = []                   # of one-stage calls, set by who builds both
        self.fleet: Any = None                       # the connection to the registry, set by who builds both
        self.on_fault: Any = None                    # called when the module has failed
        self.on_trip: Any = None                     # called with an engine and an outcome, at a trip's end
        self.on_empty: Any = None                    # called at each end of a job
        self._closing: list[Case] = []

    # The turn.

    def _called(self) -> str:
        return "chat"

    def _turned(self) -> None:
        closing, self._closing = self._closing, []
        for case in closing:
            self._close(case)

    def _break_off(self) -> None:
        for case in list(self.cases.values()):
            self._answer(case, "broken off")
            for carrier in list(case.out.values()):
                carrier.cancel()
        if self.on_fault:
            self.on_fault()

    def tell_start(self) -> None:
        """A first turn without events: what the module wants from the start, such as a list, is asked for."""
        self._soon()

    # Clients.

    def arrived(self, asked: chat.Asked, client_side: Client, arrived: float) -> Case:
        """A job that came at `arrived` is told to the module; from here on it is owed one answer."""
        now = clock.now()
        offering = self.settings.offerings[asked.offering]
        limit = offering.outer_limit + 2 * offering.promised_per_k * asked.prompt / 1000
        left = max(0.0, min(limit, asked.time_left if asked.time_left is not None else limit)
                   - self.settings.transport.answer_margin)
        self.number += 1
        job = i.Job(self.number, asked.offering, asked.session, asked.prefix, asked.prompt,
                    asked.prefix_tokens, float(asked.most), arrived, arrived + left, repeat=asked.repeat)
        case = Case(job, asked, client_side, f"{self.name}.{job.id}")
        asked.label = asked.label or case.key
        slack = float(self.settings.module["answer_slack"])
        case.guard = self.reactor.callLater(
            max(0.0, arrived + left + slack - now) / 1000, self._overdue, case
        )
        self.cases[job] = case
        self.metrics.arrived(asked.name)
        self.tell(self.door.arrived(job))
        return case

    def corrected(self, case: Case) -> None:
        """The prompt of a job that went on by a bound is counted; its beginning counts until its first
        trip."""
        job, asked = case.job, case.asked
        job.prompt = asked.prompt
        if not job.trips:
            job.prefix, job.prefix_tokens = asked.prefix, asked.prefix_tokens

    def left(self, case: Case) -> None:
        """The client hung up; a stream that nobody reads ends."""
        if not case.answered:
            self._answer(case, "left")
            self.tell(i.Left(case.job))
        for trip, carrier in list(case.out.items()):
            if trip.began or trip.job.began:
                carrier.cancel()

    def _overdue(self, case: Case, again: bool = False) -> None:
        """Guards against a module that lets a job's time pass: the client is told, and the fault is counted.

        Where the reactor itself was late, the module first hears what has come up to now.
        """
        if self._due and not again:
            self.reactor.callLater(0, self._overdue, case, True)
        elif not case.answered and not case.first_at:
            LOG.error("a job's time passed without an answer", job=case.key)
            self.metrics.overdue()
            case.timed_out = True
            self._answer(case, "broken off")
            self.tell(i.Left(case.job))

    def _answer(self, case: Case, how: str, stay_away: float = 0.0, result: Any = None) -> None:
        """The one final answer."""
        if case.answered:
            return
        case.answered = how
        if case.guard.active():
            case.guard.cancel()
        match how:
            case "delivered":
                case.client.delivered(*result)
            case "deferred":
                case.client.deferred(stay_away)
            case "broken off":
                case.client.broken_off(case.timed_out)
        self._closing.append(case)
        self._soon()                                 # answered outside a turn: the next one tidies up

    def _close(self, case: Case) -> None:
        """Forgets a job that is answered and has no trip out; logs its end."""
        if case.out or self.cases.pop(case.job, None) is None:
            return
        now = clock.now()
        first = case.first_at - case.job.arrived if case.first_at else None
        self.metrics.ended(case.asked.name, case.answered, now - case.job.arrived, first, len(case.job.trips))
        LOG.info("job", job=case.key, offering=case.asked.name, answer=case.answered,
                 ms=round(now - case.job.arrived, 1), first_ms=round(first, 1) if first is not None else None,
                 prompt=round(case.job.prompt), tokens=case.usage.completion_tokens if case.usage else 0,
                 trips=[{"engine": trip.engine.id.decode(), "reading": trip.reading,
                         "at": round(trip.sent - case.job.arrived, 1),
                         "outcome": trip.outcome.value if trip.outcome else None} for trip in case.job.trips])
        if self.on_empty:
            self.on_empty()

    # What the carriers tell.

    def began(self, trip: i.Trip) -> None:
        case = self.cases[trip.job]
        if trip.job.began or case.answered:          # another copy's stream has the client already
            case.out[trip].cancel()
            return
        now = clock.now()
        trip.began, trip.job.began, case.first_at = now, True, now
        case.held.clear()                            # the answer has begun: all else that was held is taken
        if case.guard.active():
            case.guard.cancel()
        self.tell(i.Began(trip, now - trip.sent))

    def text(self, trip: i.Trip, content: str) -> None:
        case = self.cases[trip.job]
        if not case.answered and trip.began:
            case.client.text(content)

    def ended(self, trip: i.Trip, outcome: i.Outcome, note: int, report: dict[str, float] | None,
              result: Any) -> None:
        case = self.cases.get(trip.job)
        if case is None:                             # the module has failed and all is broken off
            return
        case.out.pop(trip, None)
        if self.on_trip:
            self.on_trip(trip.engine, outcome)
        if trip.reading:
            if outcome is i.Outcome.READ:
                case.state = result
            if outcome not in (i.Outcome.FULL, i.Outcome.UNREACHABLE, i.Outcome.MOOT):
                case.held[trip.engine] = None        # also where the reply was lost: the state may lie there
        elif outcome is i.Outcome.DELIVERED:
            case.usage = result[1]
            self._answer(case, "delivered", result=result)
        elif trip.began:
            case.timed_out = outcome is i.Outcome.TIMED_OUT
            self._answer(case, "broken off")         # the break of a begun stream ends its job
        elif outcome is i.Outcome.FULL and note == 1:
            case.state = None
        case.timed_out = outcome is i.Outcome.TIMED_OUT
        if case.answered:
            self._closing.append(case)
        self.tell(i.Ended(trip, outcome, clock.now() - trip.sent, bool(case.answered), note, report))

    # Actions.

    def _carry_out(self, action: i.Action) -> None:
        match action:
            case i.Send():
                self._send(action)
            case i.Defer(job, stay_away):
                self._final(job, "deferred", stay_away)
            case i.BreakOff(job):
                self._final(job, "broken off")
            case i.Cancel(trip):
                case = self.cases.get(trip.job)
                if case and trip in case.out and not trip.began:
                    case.out[trip].cancel()
            case i.Alarm(after, token):
                self.reactor.callLater(max(0.0, after) / 1000, self.tell, i.Rang(token))
            case i.Probe(engine):
                self.probe(engine, self.tell)
            case i.Hold(job, engine):
                self._hold(job, engine)
            case i.Release(job):
                self._release(job)
            case i.Watch(on):
                self.fleet.watch(on)
            case i.Fetch():
                self.fleet.fetch()
            case i.Close(engine):
                if engine in self.pools:
                    self.pools[engine].close()
            case i.Log(text):
                LOG.info("module", text=text)
            case _:
                LOG.warning("the front cannot do this", action=type(action).__name__)

    def _final(self, job: i.Job, how: str, stay_away: float = 0.0) -> None:
        case = self.cases.get(job)
        if case:
            self._answer(case, how, stay_away)

    def _send(self, action: i.Send) -> None:
        trip, job = action.trip, action.trip.job
        case = self.cases.get(job)
        now = clock.now()
        left = job.give_up_at - now
        moot = (case is None or bool(case.answered) or job.began or left <= 0
                or len(job.trips) > int(self.settings.module["most_trips"]))
        if moot or case is None:
            self.metrics.trip("moot")
            self.tell(i.Ended(trip, i.Outcome.MOOT, 0.0, case is None or bool(case.answered)))
            return
        if trip.engine not in self.pools:
            raise LookupError(f"the module sends to an engine without an address: {trip.engine.id!r}")
        time_out = min(action.time_out, left) if action.time_out else left
        transport = self.settings.transport
        make = carriers.Reading if trip.reading else carriers.Writing
        carrier = make(self.reactor, self.pools[trip.engine], trip, self, time_out, transport.stream_silence,
                       transport.reply)
        case.out[trip] = carrier
        if case.place not in (None, trip.engine) and not trip.reading:
            self._let_go(case, case.place)           # a send to another writer gives the place up
        headers = [("Content-Type", "application/json"), (chat.REQUEST_ID, f"{case.key}.{trip.number}"),
                   (calls.JOB, case.key), (calls.FRONT, self.settings.name), (chat.LABEL, case.asked.label)]
        if case.asked.exact:
            headers.append((calls.PROMPT_TOKENS, str(int(case.asked.prompt))))
        if case.asked.request_id:
            headers.append((calls.TRY, case.asked.request_id))
        state = case.state if job.holder is not None else None
        carrier.send(
            headers, chat.to_reader(case.asked) if trip.reading else chat.to_writer(case.asked, state)
        )
        self.metrics.trip("read" if trip.reading else "write")

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
                outcome = carriers.outcome_of(trouble)
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
                self._call_release(engine, release, 1)
                if not answered:
                    pause = self.settings.module["release_within"] / 2
                    self.reactor.callLater(pause / 1000, self._call_release, engine, release, 1)
            if answered and reading is not None and reading.outcome is None and reading in case.out:
                self.tell(i.Placed(reading, engine, held))

        body = chat.ENCODE.encode(calls.Place(case.key, job.prompt, reader))
        self._small(engine, "POST", calls.PLACE, body, ended)

    def _release(self, job: i.Job) -> None:
        case = self.cases.get(job)
        if case is None:
            return
        case.state = None
        for engine in list(case.held):
            self._let_go(case, engine)

    def _let_go(self, case: Case, engine: i.Engine) -> None:
        case.held.pop(engine, None)
        if case.place is engine:
            case.place = None
        self._call_release(engine, chat.ENCODE.encode(calls.Release(case.key)), 1)

    def _call_release(self, engine: i.Engine, body: bytes, tries: int) -> None:
        """Guards against a release that gets lost, which would leave state pinned: it is harmless to
        repeat."""
        def ended(status: int, headers: dict[str, str], reply: bytes, trouble: client.Trouble | None) -> None:
            most = self.settings.transport.release_tries
            if status != 200 and tries < most:
                pause = self.settings.module["release_within"] / (2 * most)      # a refusal comes at once
                self.reactor.callLater(pause / 1000, self._call_release, engine, body, tries + 1)

        self._small(engine, "POST", calls.RELEASE, body, ended)
        self.metrics.release()

    # The fleet.

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
