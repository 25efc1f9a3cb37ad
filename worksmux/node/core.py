"""The life of requests on the platform's protocol: attempts at engines, releases and probes."""

from __future__ import annotations

from collections import deque

from ..forwarding.request_context import Case, Client
from ..forwarding.request_lifecycle import Core
from ..net import client, clock
from ..net.loop import Reactor
from ..net.time_out import TimeOut
from ..policy.id_map import Door
from ..policy.state import Attempt, Engine, Outcome, Request
from . import protocol
from .attempts import AttemptCall, DecodeAttempt, PrefillAttempt
from .counters import NodeCounts
from .kv_claims import HeldState
from .kv_release import Release, Releases
from .limits import Shares
from .release_targets import Contacts
from .unresponsive_attempts import DoubtWatch

HOST = "app.svc"
HEAD, BODY = 2**14, 2**18  # bytes: an engine's head; a body, by the platform's page
SILENCE = 4000.0  # between two events of a stream: its client may wait 5 s at most
# Each call opens a connection of its own.  On a day when engines closed or reset connections that they had
# kept, 50 of 70 broken attempts were on reused ones, idle for as little as 11 ms; a broken one may have run,
# while a connection that can't be opened proves that it has not.  Opening one costs an engine 2 ms at most.
MOST_IDLE = 0
MARGIN = 10.0  # off a client's time for both ways; 99 of 100 took under 6 on the bench
SETTLING = 20.0  # for the close of an attempt's connection to be seen, before a refusal
ENGINE_LATE = 150.0  # for an engine to end what it was told to end
READS = 32  # the latest, of which the slowest tells how long an engine may go on
SLOWER = 3.0  # times the slowest of them
HELD_BACK_STEPS = 2  # of a release: so long an attempt waits for it to be heard
SECOND = 1000.0  # to let go in, where the settings know no time for it
CONNECTING = 250.0  # for a connection to come up, where the settings do not say
NOT_SEEN = frozenset({Outcome.CANCELLED, Outcome.TIMED_OUT, Outcome.RESET})


class NodeCore(Core):
    metrics: NodeCounts

    def __init__(
        self, door: Door, reactor: Reactor, counts: NodeCounts, request_classes: list[str], share: Shares
    ) -> None:
        super().__init__(door, reactor, counts)
        self.request_classes = request_classes
        self.share = share
        self.connect_time_out = float(door.settings["connect_time_out"]) or CONNECTING
        self.keys: dict[str, Case] = {}  # of the jobs that are open
        self.contacts = Contacts(int(door.settings["zone"]))
        self.releases = Releases(
            reactor, self._small, self.contacts.other, float(door.settings["release_within"]) or SECOND
        )
        self.doubts = DoubtWatch(
            reactor, self.releases, self._seek_sign if door.settings["may_probe"] else None
        )
        self.held: dict[Request, HeldState] = {}  # what engines may hold for the jobs that are open
        self.read_times: deque[tuple[float, float]] = deque(maxlen=READS)  # tokens, milliseconds
        self._letting_go: list[Case] = []

    def arrived(self, asked: protocol.Asked, client_side: Client, arrived: float) -> Case:
        """A job that came at `arrived` is told to the module; from here on it is owed one answer."""
        self.number += 1
        request = Request(
            self.number,
            asked.request_class,
            asked.session,
            asked.prefix,
            asked.prompt,
            asked.prefix_tokens,
            asked.most,
            arrived,
            arrived + max(0.0, asked.time_left - MARGIN),
            repeat=asked.repeat,
            resumed=asked.resumed,
        )
        case = Case(request, asked, client_side, asked.key, self.request_classes[asked.request_class])
        self.keys[case.key] = case
        self.held[request] = self.releases.held(case.key)
        return self._take(case)

    def _close(self, case: Case) -> None:
        """Guards against a node that ends with its last job before what is held for that is released: the
        release begins first."""
        if not case.out and case.request in self.cases:
            self._let_all_go(case)  # what a broken read may have left, and nobody took
            del self.keys[case.key], self.held[case.request]
        super()._close(case)

    def _final(self, request: Request, how: str, stay_away: float = 0.0) -> None:
        """Guards against a deferral that overtakes the end of a trip: until the engine has seen its
        connection close, the job is still out there, and to ask again is not known to be harmless."""
        case = self.cases.get(request)
        if (
            case is not None
            and how == "deferred"
            and not case.answered
            and (self.module_settings["offerings"][request.request_class]["effect"] != "redoable")
        ):
            left = SETTLING if case.out else case.called_off + SETTLING - clock.now()
            if left > 0:
                if case.guard.active():  # it is decided
                    case.guard.cancel()
                self.reactor.callLater(left / 1000, super()._final, request, how, stay_away)
                return
        super()._final(request, how, stay_away)

    def _turned(self) -> None:
        super()._turned()
        due, self._letting_go = self._letting_go, []
        for case in due:
            self._let_all_go(case)

    def _let_all_go(self, case: Case) -> None:
        """Nothing is to be kept for a next attempt; what is out now has it until its end."""
        held = self.held.get(case.request)
        if held is None or any(attempt_call.call.up for attempt_call in case.out.values()):
            return
        if not held.claims:
            return self.releases.drop_if_over(held)
        self.releases.start(held)
        self.metrics.release()

    def _arrives(self, case: Case, attempt_call: AttemptCall) -> None:
        """An attempt is about to be written: nothing may be let go from under it."""
        held = self.held[case.request]
        self.releases.rest(held)
        attempt_call.written_at = clock.now()
        self._watch(case, attempt_call)

    def _watch(self, case: Case, attempt_call: AttemptCall) -> None:
        """Looks at an attempt where something may be held for its request beside it."""
        held = self.held[case.request]
        if held.claims and not attempt_call.watched:
            attempt_call.watched = True
            self.doubts.watch(held, attempt_call, lambda: self._let_all_go(case))

    def _seek_sign(self, engine: Engine) -> None:
        """Probes an engine for a sign of life, of which the module is told nothing."""
        self.probe(engine, lambda _: None)

    def _may_hold(self, case: Case, attempt: Attempt, outcome: Outcome, attempt_call: AttemptCall) -> None:
        held = self.held[case.request]
        if attempt_call is None or outcome in (Outcome.UNREACHABLE, Outcome.MOOT):
            return  # it never arrived: the time to let go runs on
        now = clock.now()
        self.releases.stop_beside(held)
        unseen = outcome in NOT_SEEN and not attempt.began
        held.outcome(now, not unseen or attempt_call.pool.latest_answered_start_ms >= attempt_call.written_at)
        if outcome is Outcome.READ:
            self.read_times.append((case.request.prompt, now - attempt_call.written_at))
        if unseen:
            held.ended_unseen(attempt.engine, now, self._work_left(case, attempt_call, now))
        elif attempt.reading and outcome is not Outcome.FULL:
            held.read(attempt.engine, now)
        for other in case.out.values():  # this one is no longer among them
            self._watch(case, other)

    def _work_left(self, case: Case, attempt_call: AttemptCall, now: float) -> float:
        """How long an engine that runs may go on with a read that was given up: at least for what is left of
        the time that it was told.  One that was silent may begin only when it runs again: by the slowest of
        the latest reads, or for all of the time told, where none was as long.  What waits for state ends at
        once."""
        if not attempt_call.attempt.reading:
            return 0.0
        ends = attempt_call.expires + ENGINE_LATE
        longest = max((time for _, time in self.read_times), default=0.0)
        most = max((tokens for tokens, _ in self.read_times), default=0.0)
        unknown = case.request.prompt > most or now - attempt_call.written_at > longest
        takes = ends - attempt_call.written_at if unknown else SLOWER * longest
        return max(self.releases.within, ends - now, takes)

    def _release(self, request: Request) -> None:
        case = self.cases.get(request)
        if case is not None:
            self._letting_go.append(case)  # after the turn: a trip may be sent in the same one

    def _taken(self, case: Case) -> None:
        """The state went with the trip; what earlier reads may have left is let go at the end."""
        if case.request.holder is not None:
            self.held[case.request].taken(case.request.holder)

    # Attempts.

    def _carry(self, case: Case, attempt: Attempt, pool: client.Pool, time_out: float) -> AttemptCall:
        make = PrefillAttempt if attempt.reading else DecodeAttempt
        attempt_call = make(self.reactor, pool, attempt, self, time_out, SILENCE, BODY)
        attempt_call.fields = self.module_settings["report_fields"]
        call = attempt_call.send(case.asked, time_out)
        if call.up:
            self._arrives(case, attempt_call)
        else:
            call.on_up = lambda: self._came_up(case, attempt_call)
            self._watch(case, attempt_call)
        return attempt_call

    def _came_up(self, case: Case, attempt_call: AttemptCall) -> None:
        """Guards against a trip that is written late, as its connection took time: its client may have left,
        its job been answered, its engine begun to drain.  It was never sent then."""
        if not case.answered and case.client.gone():
            self.left(case)
        if case.answered or attempt_call.attempt.engine.state != "ready":
            return attempt_call.withdraw()
        release = self.releases.seeking(self.held[case.request])
        if release is not None and not attempt_call.held_back:
            return self._hold_back(case, attempt_call, release)
        attempt_call.came_up()
        self._arrives(case, attempt_call)

    def _hold_back(self, case: Case, attempt_call: AttemptCall, release: Release) -> None:
        """Guards against an attempt that puts a release off, or is harmed by it: an engine hears the release
        first, or has had the time of some steps to do so."""
        assert attempt_call.call is not None
        attempt_call.held_back = attempt_call.call.held_back = True

        def go() -> None:
            if timer.active():
                timer.cancel()
            release.on_heard = None
            if not attempt_call.over:
                self._came_up(case, attempt_call)
                attempt_call.go()

        timer = TimeOut(self.reactor, HELD_BACK_STEPS * self.releases.step / 1000, go)
        release.on_heard = go

    # Small calls.

    def _small_bounds(self) -> tuple[float, int, client.Headers]:
        return self.connect_time_out, BODY, ()

    def _probe_path(self) -> str:
        return protocol.ALIVE if self.module_settings["reports"] == "off" else protocol.LOAD_PATH

    def _probed(
        self, status: int, headers: dict[str, str], reply: bytes
    ) -> tuple[Outcome, dict[str, float] | None]:
        if status != 200:
            return protocol.refusal(status, headers)[0], None
        text = headers.get(protocol.LOAD) or reply[:1000].decode("latin-1")
        return Outcome.DELIVERED, protocol.load_report(text, self.module_settings["report_fields"])

    def _hold(self, request: Request, engine: Engine) -> None:
        raise LookupError("the platform's protocol has no places held ahead")

    # The engines.

    def moved(self, engine: Engine, host: str, port: int) -> None:
        super().moved(engine, host, port)
        self.contacts.listed(engine)
        self.pools[engine].on_heard = lambda: self.contacts.heard(engine)

    def _pool(self, host: str, port: int) -> client.Pool:
        return client.Pool(self.reactor, host, port, self.connect_time_out, 0.0, MOST_IDLE, HEAD, BODY, HOST)

    def forget_gone(self) -> list[Engine]:
        """Guards against a fleet that is replaced all day; gives the engines forgotten."""
        gone = [engine for engine in self.pools if engine.state == "gone" and self.door.forget(engine)]
        for engine in gone:
            del self.pools[engine]
            self.contacts.forget(engine)
        return gone
