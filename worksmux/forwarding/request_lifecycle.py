"""The life of jobs between clients, module and engines, whatever protocol carries them.

The front decides nothing.  It keeps what the interface promises the module: each trip has exactly one
outcome, what is sent for a job that has ended is moot, a stream that began belongs to its client, and
whatever may hold state for a job is let go when the module says so.  A protocol derives from it and brings
its carriers, what its small calls look like and its clients' side.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog

from ..net import client, clock
from ..net.loop import Reactor
from ..net.time_out import TimeOut
from ..policy.actions import (
    AbortRequest,
    Action,
    CancelAttempt,
    CheckHealth,
    CloseConnections,
    FetchEndpointList,
    RejectRequest,
    ReleaseKvCache,
    ReserveSlot,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from ..policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    FirstToken,
    HealthCheckEnded,
    TimerFired,
)
from ..policy.id_map import Door
from ..policy.state import Attempt, Engine, Outcome, Request
from .attempt import outcome_of
from .control_call import NeverSent, OutgoingCall, SmallCall
from .counters import Counts
from .decision_loop import Turns
from .request_context import Carrying, Case

LOG = structlog.get_logger()
LATE_LOOKS = 3  # turns of the reactor: a time-out looks again, is told, and the module answers


class Core(Turns):
    def __init__(self, door: Door, reactor: Reactor, metrics: Counts) -> None:
        super().__init__(door, reactor, metrics)
        self.module_settings = door.settings
        self.cases: dict[Request, Case] = {}
        self.pools: dict[Engine, client.Pool] = {}
        self.number = 0
        self.engine_list: Any = None  # the source of the list, set by who builds both
        self.on_fault: Any = None  # called when the module has failed
        self.on_decision: Any = None  # called with a job's name and a trip, -1: its answer
        self.acts_on: Any = None  # gives what of the fleet's decisions holds, for trips
        self.on_attempt: Any = None  # called with an engine and an outcome, at a trip's end
        self.on_empty: Any = None  # called at each end of a job
        self._closing: list[Case] = []

    # What a protocol brings.

    def _carry(self, case: Case, attempt: Attempt, pool: client.Pool, time_out: float) -> Carrying:
        """Starts a trip; what it meets is told later, never before this returns."""
        raise NotImplementedError

    def _pool(self, host: str, port: int) -> client.Pool:
        """Connections to an engine's address."""
        raise NotImplementedError

    def _small_bounds(self) -> tuple[float, int, client.Headers]:
        """A small call's time-out in milliseconds, the bytes of its reply, and its headers."""
        raise NotImplementedError

    def _probe_path(self) -> str:
        raise NotImplementedError

    def _probed(
        self, status: int, headers: dict[str, str], reply: bytes
    ) -> tuple[Outcome, dict[str, float] | None]:
        """Outcome and load report of a whole reply to a probe."""
        raise NotImplementedError

    def _hold(self, request: Request, engine: Engine) -> None:
        """Asks for a place ahead of a job."""
        raise NotImplementedError

    def _release(self, request: Request) -> None:
        """Lets go of all that is held for a job, until that is known to have been heard."""
        raise NotImplementedError

    def _ended_with(self, case: Case) -> dict[str, Any]:
        """What the protocol adds to the log line of a job."""
        return {}

    # The turn.

    def _called(self) -> str:
        return "chat"

    def _turned(self) -> None:
        closing, self._closing = self._closing, []
        # Guards against a place held for a client who leaves while its read is out: the read is called off in
        # this turn, and what the module lets go for it in the next must find its case.
        unheard = {event.attempt.request for event in self._events if isinstance(event, AttemptEnded)}
        for case in closing:
            if case.request in unheard:
                self._closing.append(case)
            else:
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

    def _take(self, case: Case) -> Case:
        """A job is told to the module; from here on it is owed one answer."""
        request = case.request
        slack = float(self.module_settings["answer_slack"])
        left = max(0.0, request.give_up_at + slack - clock.now())
        # Where the reactor itself was late, the module first hears what has come up to now.
        case.guard = TimeOut(self.reactor, left / 1000, lambda: self._overdue(case), LATE_LOOKS)
        self.cases[request] = case
        self.metrics.arrived(case.name)
        self.tell(self.door.arrived(request))
        return case

    def left(self, case: Case) -> None:
        """The client hung up; a stream that nobody reads ends."""
        if not case.answered:
            case.why = "its client left"
            self._answer(case, "left")
            self.tell(ClientDisconnected(case.request))
        for attempt, carrier in list(case.out.items()):
            if attempt.began or attempt.request.began:
                carrier.cancel()
            else:
                carrier.withdraw()  # guards against trips that begin for nobody

    def _overdue(self, case: Case) -> None:
        """Guards against a module that lets a job's time pass: the client is told, and the fault is
        counted."""
        if not case.answered and not case.first_at:
            LOG.error("a job's time passed without an answer", request=case.key)
            self.metrics.overdue()
            case.timed_out, case.why = True, "its time passed without an answer"
            self._answer(case, "broken off")
            self.tell(ClientDisconnected(case.request))

    def _answer(self, case: Case, how: str, stay_away: float = 0.0, result: Any = None) -> None:
        """The one final answer."""
        if case.answered:
            return
        case.answered = how
        if self.on_decision:
            self.on_decision(case.key, -1)
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
        self._soon()  # answered outside a turn: the next one tidies up

    def _close(self, case: Case) -> None:
        """Forgets a job that is answered and has no trip out; logs its end."""
        if case.out or self.cases.pop(case.request, None) is None:
            return
        now = clock.now()
        first = case.first_at - case.request.arrived if case.first_at else None
        self.metrics.ended(
            case.name, case.answered, now - case.request.arrived, first, len(case.request.attempts)
        )
        LOG.info(
            "job",
            request=case.key,
            request_class=case.name,
            answer=case.answered,
            ms=round(now - case.request.arrived, 1),
            first_ms=round(first, 1) if first is not None else None,
            prompt=round(case.request.prompt),
            kept=case.kept,
            why=case.why,
            **self._ended_with(case),
            attempts=[
                {
                    "engine": attempt.engine.id.decode(),
                    "reading": attempt.reading,
                    "at": round(attempt.sent - case.request.arrived, 1),
                    "outcome": attempt.outcome.value if attempt.outcome else None,
                    "why": case.reasons.get(attempt, ""),
                }
                for attempt in case.request.attempts
            ],
        )
        if self.on_empty:
            self.on_empty()

    # What the carriers tell.

    def began(self, attempt: Attempt) -> None:
        case = self.cases[attempt.request]
        if attempt.request.began or case.answered:  # another copy's stream has the client already
            case.out[attempt].cancel()
            return
        now = clock.now()
        attempt.began, attempt.request.began, case.first_at = now, True, now
        self._taken(case)
        if case.guard.active():
            case.guard.cancel()
        self.tell(FirstToken(attempt, now - attempt.sent))

    def _taken(self, case: Case) -> None:
        """The answer has begun: what was held is taken."""
        case.held.clear()

    def _may_hold(self, case: Case, attempt: Attempt, outcome: Outcome, carrier: Any) -> None:
        """A trip has ended: its engine may hold state from now on, also where the reply was lost."""
        if attempt.reading and outcome not in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.MOOT):
            case.held[attempt.engine] = None

    def text(self, attempt: Attempt, content: Any) -> None:
        case = self.cases[attempt.request]
        if not case.answered and attempt.began:
            case.client.text(content)

    def ended(
        self, attempt: Attempt, outcome: Outcome, note: int, report: dict[str, float] | None, result: Any
    ) -> None:
        case = self.cases.get(attempt.request)
        if case is None:  # the module has failed and all is broken off
            return
        carrier = case.out.pop(attempt, None)
        if carrier is not None and carrier.why:
            case.reasons[attempt] = carrier.why
        self._may_hold(case, attempt, outcome, carrier)
        if outcome in (Outcome.CANCELLED, Outcome.TIMED_OUT):
            case.called_off = clock.now()
        if self.on_attempt:
            self.on_attempt(attempt.engine, outcome)
        if attempt.reading:
            if outcome is Outcome.READ:
                case.state = result
                case.kept += note
        elif outcome is Outcome.DELIVERED:
            case.result = result
            self._answer(case, "delivered", result=result)
        elif attempt.began:
            case.timed_out = outcome is Outcome.TIMED_OUT
            case.why = "its stream broke"
            self._answer(case, "broken off")  # the break of a begun stream ends its job
        elif outcome is Outcome.FULL and note == 1:
            case.state = None
        case.timed_out = outcome is Outcome.TIMED_OUT
        if case.answered:
            self._closing.append(case)
        self.tell(
            AttemptEnded(attempt, outcome, clock.now() - attempt.sent, bool(case.answered), note, report)
        )

    # Actions.

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send(action)
            case RejectRequest(request, stay_away, why):
                self._note_reason(request, why)
                self._final(request, "deferred", stay_away)
            case AbortRequest(request, why):
                self._note_reason(request, why)
                self._final(request, "broken off")
            case CancelAttempt(attempt):
                case = self.cases.get(attempt.request)
                if case and attempt in case.out and not attempt.began:
                    case.out[attempt].cancel()
            case SetTimer(after, token):
                self.reactor.callLater(max(0.0, after) / 1000, self.tell, TimerFired(token))
            case CheckHealth(engine):
                self.probe(engine, self.tell)
            case ReserveSlot(request, engine):
                self._hold(request, engine)
            case ReleaseKvCache(request):
                self._release(request)
            case WatchEndpoints(on):
                self.engine_list.watch(on)
            case FetchEndpointList():
                self.engine_list.fetch()
            case CloseConnections(engine):
                self._shut(engine)
            case WriteLog(text):
                LOG.info("module", text=text)
            case _:
                LOG.warning("the front cannot do this", action=type(action).__name__)

    def _note_reason(self, request: Request, why: str) -> None:
        case = self.cases.get(request)
        if case is not None and not case.answered:
            case.why = why

    def _final(self, request: Request, how: str, stay_away: float = 0.0) -> None:
        case = self.cases.get(request)
        if case:
            self._answer(case, how, stay_away)

    def _send(self, action: StartAttempt) -> None:
        attempt, request = action.attempt, action.attempt.request
        case = self.cases.get(request)
        if case is not None and not case.answered and case.client.gone():
            self.left(case)  # seen now, and not when the reactor comes to it
        now = clock.now()
        left = request.give_up_at - now
        moot = (
            case is None
            or bool(case.answered)
            or request.began
            or left <= 0
            or len(request.attempts) > int(self.module_settings["most_trips"])
        )
        if moot or case is None:
            self.metrics.attempt("moot")
            self.tell(AttemptEnded(attempt, Outcome.MOOT, 0.0, case is None or bool(case.answered)))
            return
        if attempt.engine not in self.pools:
            raise LookupError(f"the module sends to an engine without an address: {attempt.engine.id!r}")
        if self.on_decision:
            self.on_decision(case.key, attempt.number)
        time_out = min(action.time_out, left) if action.time_out else left
        case.out[attempt] = self._carry(case, attempt, self.pools[attempt.engine], time_out)
        self.metrics.attempt("read" if attempt.reading else "write")

    # Small calls.

    def _small(
        self, engine: Engine, method: str, path: str, body: bytes, on_end: client.ResponseCallback
    ) -> OutgoingCall:
        """A call beside the jobs, with its own time-out.  One to an engine never listed is unreachable."""
        if engine not in self.pools:
            return NeverSent(self.reactor, on_end)
        time_out, bound, headers = self._small_bounds()
        return SmallCall(
            self.reactor, self.pools[engine], method, path, headers, body, bound, time_out, on_end
        )

    def probe(self, engine: Engine, tell: Callable[[Event], None]) -> None:
        """Asks an engine how it does; `tell` gets the answer."""
        sent = clock.now()

        def ended(
            status: int, headers: dict[str, str], reply: bytes, trouble: client.CallError | None
        ) -> None:
            report = None
            if trouble is not None:
                outcome = outcome_of(trouble)
            elif not status:
                outcome = Outcome.TIMED_OUT
            else:
                outcome, report = self._probed(status, headers, reply)
            self.metrics.probe(outcome.value)
            tell(HealthCheckEnded(engine, outcome, clock.now() - sent, report))

        self._small(engine, "GET", self._probe_path(), b"", ended)

    # The engines.

    def _shut(self, engine: Engine) -> None:
        """Closes the idle connections to an engine."""
        if engine in self.pools:
            self.pools[engine].close()

    def listed(self, event: EndpointListUpdate) -> None:
        for entry in event.entries:
            if entry.state == "gone":
                self._shut(entry.engine)
        self._tell_list(event)

    def _tell_list(self, event: EndpointListUpdate) -> None:
        self.tell(event)

    def moved(self, engine: Engine, host: str, port: int) -> None:
        """An engine has a new address: trips that are out go on where they are."""
        self._shut(engine)
        self.pools[engine] = self._pool(host, port)
