"""The life of jobs on the platform's protocol: trips to engines, releases and probes."""
from __future__ import annotations

from .. import interface as i
from ..door import Door
from ..front.case import Case, Client
from ..front.core import Core
from ..net import client, clock
from ..net.loop import Reactor
from . import protocol
from .counts import NodeCounts
from .limits import Shares
from .releases import Releases
from .trips import Reading, Trip, Writing

HOST = "app.svc"
HEAD, BODY = 2**14, 2**18            # bytes: an engine's head; a body, by the platform's page
SILENCE = 4000.0                     # between two events of a stream: its client may wait 5 s at most
# Each call opens a connection of its own.  On a day when engines closed or reset connections that they had
# kept, 50 of 70 broken trips were on reused ones, idle for as little as 11 ms; a broken trip may have run,
# while a connection that can't be opened proves that it has not.  Opening one costs an engine 2 ms at most.
MOST_IDLE = 0
MARGIN = 10.0                        # off a client's time for both ways; 99 of 100 took under 6 on the bench
SETTLING = 20.0                      # for the close of a trip's connection to be seen, before a deferral is


class NodeCore(Core):
    metrics: NodeCounts

    def __init__(self, door: Door, reactor: Reactor, counts: NodeCounts, offerings: list[str],
                 share: Shares) -> None:
        super().__init__(door, reactor, counts)
        self.offerings = offerings
        self.share = share
        self.keys: dict[str, Case] = {}              # of the jobs that are open
        self.releases = Releases(reactor, self._small, self._other, float(door.settings["release_within"]))
        self._letting_go: list[Case] = []

    def arrived(self, asked: protocol.Asked, client_side: Client, arrived: float) -> Case:
        """A job that came at `arrived` is told to the module; from here on it is owed one answer."""
        self.number += 1
        job = i.Job(self.number, asked.offering, asked.session, asked.prefix, asked.prompt,
                    asked.prefix_tokens, asked.most, arrived, arrived + max(0.0, asked.time_left - MARGIN),
                    repeat=asked.repeat, resumed=asked.resumed)
        case = Case(job, asked, client_side, asked.key, self.offerings[asked.offering])
        self.keys[case.key] = case
        return self._take(case)

    def _close(self, case: Case) -> None:
        super()._close(case)
        if case.job not in self.cases and self.keys.get(case.key) is case:
            del self.keys[case.key]
            self._let_all_go(case)                   # what a broken read may have left, and nobody took

    def _final(self, job: i.Job, how: str, stay_away: float = 0.0) -> None:
        """Guards against a deferral that overtakes the end of a trip: until the engine has seen its
        connection close, the job is still out there, and to ask again is not known to be harmless."""
        case = self.cases.get(job)
        if case is not None and how == "deferred" and not case.answered and (
                self.module_settings["offerings"][job.offering]["effect"] != "redoable"):
            left = SETTLING if case.out else case.called_off + SETTLING - clock.now()
            if left > 0:
                self.reactor.callLater(left / 1000, super()._final, job, how, stay_away)
                return
        super()._final(job, how, stay_away)

    def _turned(self) -> None:
        super()._turned()
        due, self._letting_go = self._letting_go, []
        for case in due:
            self._let_all_go(case)

    def _let_all_go(self, case: Case, late: bool = False) -> None:
        """Guards against a release that takes the state from under a trip: it is due after that.

        A trip whose connection does not come up (`late`) is none to the engines, and time runs on: in a zone
        that is cut off from the others, one such trip after the other put the release off for good.
        """
        if not case.held or any(carrier.call.up for carrier in case.out.values()):
            return
        if case.out and not late:
            self.reactor.callLater(self.releases.step / 1000, self._let_all_go, case, True)
            return
        self.releases.start(case)
        self.metrics.release()

    def _release(self, job: i.Job) -> None:
        case = self.cases.get(job)
        if case is not None:
            self._letting_go.append(case)            # after the turn: a trip may be sent in the same one

    def _taken(self, case: Case) -> None:
        """The state went with the trip; what earlier reads may have left is let go at the end."""
        if case.job.holder is not None:
            case.held.pop(case.job.holder, None)

    # Trips.

    def _carry(self, case: Case, trip: i.Trip, pool: client.Pool, time_out: float) -> Trip:
        make = Reading if trip.reading else Writing
        carrier = make(self.reactor, pool, trip, self, time_out, SILENCE, BODY)
        carrier.fields = self.module_settings["report_fields"]
        call = carrier.send(case.asked, time_out)
        if call.up:
            self.releases.stop(case)
        else:
            call.on_up = lambda: self._came_up(case, carrier)
        return carrier

    def _came_up(self, case: Case, carrier: Trip) -> None:
        """Guards against a trip that is written late, as its connection took time: its client may have left,
        its job been answered, its engine begun to drain.  It was never sent then."""
        if not case.answered and case.client.gone():
            self.left(case)
        if case.answered or carrier.trip.engine.state != "ready":
            carrier.withdraw()
        else:
            self.releases.stop(case)

    # Small calls.

    def _small_bounds(self) -> tuple[float, int, client.Headers]:
        return self.module_settings["connect_time_out"], BODY, ()

    def _other(self, known: set[i.Engine]) -> i.Engine | None:
        """An engine that is ready and not among those known: of a zone that was not asked, this node's own
        first, the one heard last.  Guards against a zone that is cut off: all that were heard lately may lie
        on the other side."""
        asked, here = {engine.zone for engine in known}, self.module_settings["zone"]
        able = [engine for engine in self.pools if engine.state == "ready" and engine not in known]
        return max(able, default=None, key=lambda engine: (
            engine.zone not in asked, engine.zone == here, self.pools[engine].heard))

    def _probe_path(self) -> str:
        return protocol.ALIVE if self.module_settings["reports"] == "off" else protocol.LOAD_PATH

    def _probed(self, status: int, headers: dict[str, str], reply: bytes
                ) -> tuple[i.Outcome, dict[str, float] | None]:
        if status != 200:
            return protocol.refusal(status, headers)[0], None
        text = headers.get(protocol.LOAD) or reply[:1000].decode("latin-1")
        return i.Outcome.DELIVERED, protocol.load_report(text, self.module_settings["report_fields"])

    def _hold(self, job: i.Job, engine: i.Engine) -> None:
        raise LookupError("the platform's protocol has no places held ahead")

    # The engines.

    def _pool(self, host: str, port: int) -> client.Pool:
        return client.Pool(self.reactor, host, port, self.module_settings["connect_time_out"], 0.0, MOST_IDLE,
                           HEAD, BODY, HOST)

    def forget_gone(self) -> list[i.Engine]:
        """Guards against a fleet that is replaced all day; gives the engines forgotten."""
        gone = [engine for engine in self.pools if engine.state == "gone" and self.door.forget(engine)]
        for engine in gone:
            del self.pools[engine]
        return gone
