"""What one front sees of zones, from the events that its module is told.

Free of I/O; times are milliseconds.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from ..policy.events import AttemptEnded, EndpointEntry, EndpointListUpdate, Event, FirstToken, RequestArrived
from ..policy.settings import PolicySettings
from ..policy.sliding_window import SlidingWindow
from ..policy.state import Engine, Outcome, Request
from .tally import Tally, ZoneTally

SPAN = 1000.0  # that a report looks back
BUCKETS = 5
MIN_ATTEMPTS = 3  # before a front votes on a zone
HALF_LIFE = 600 * SPAN  # after which half of the size that a zone had is forgotten
FINDING_LIFETIME = 6 * SPAN  # how long it counts how an engine was last found
SINCE_LAST_SUCCESS = SPAN / 4  # no vote for lost sooner after an attempt that ended well
MOST_ENGINES = 0.6  # of a zone's engines were last found at fault: it is lost
GREY_FAULTS = 0.25  # of attempts fail: the zone is grey
GREY_WAIT = 0.9  # of the latency target is spent waiting, on average: the zone is grey
FAULTS = frozenset({Outcome.ERROR, Outcome.UNREACHABLE, Outcome.RESET, Outcome.TIMED_OUT})
SUCCESSES = frozenset({Outcome.PREFILLED, Outcome.SERVED})
STAGES = ("read", "write")
EITHER_STAGE = "both"
ANY_ZONE = -1  # of requests that have no attempt yet


class ListedEngine(NamedTuple):
    """What the list says of an engine."""

    state: str
    zone: int
    size: float
    started: float  # 0: long ago


class Vote(NamedTuple):
    """What this front has to say of a zone."""

    spoke: bool  # whether it has anything to say
    lost: bool
    grey: bool


@dataclass(frozen=True, slots=True)
class Waiting:
    """Requests whose answer has not begun."""

    count: float = 0.0
    pressure: float = 0.0  # the sum of their waits, as parts of their latency targets

    def plus(self, count: float, pressure: float) -> Waiting:
        return Waiting(self.count + count, self.pressure + pressure)


def _ring() -> SlidingWindow:
    return SlidingWindow(SPAN, BUCKETS)


@dataclass(eq=False)
class ZoneRecord:
    """What was lately seen of one zone."""

    successes: SlidingWindow = field(default_factory=_ring)
    faults: SlidingWindow = field(default_factory=_ring)
    # Waits of answers that began, as parts of their targets.
    pressure: SlidingWindow = field(default_factory=_ring)
    last_success: float = 0.0
    size: float = 0.0  # the most that was listed as ready, slowly forgotten
    sized_at: float = 0.0
    healthy: dict[Engine, float] = field(default_factory=dict)  # when an attempt last ended well there
    faulty: dict[Engine, float] = field(default_factory=dict)  # of the others, when one ended in a fault

    def succeeded(self, now: float, engine: Engine) -> None:
        self.successes.add(now)
        self.last_success = self.healthy[engine] = now
        self.faulty.pop(engine, None)

    def failed(self, now: float, engine: Engine) -> None:
        self.faults.add(now)
        self.faulty[engine] = now
        self.healthy.pop(engine, None)

    def forget_old_findings(self, now: float) -> None:
        """An engine that the module has set aside after a fault gets no attempts: how it was last found goes
        on counting for a while."""
        for found in (self.healthy, self.faulty):
            for engine in [one for one, at in found.items() if at < now - FINDING_LIFETIME]:
                del found[engine]

    def lacks_stage(self, ready: list[Engine]) -> bool:
        """Whether the engines for prefill, or those for decode, were last found at fault, and nothing in the
        zone has ended well since.  Without prefill, decode engines get no attempts that could tell how they
        are."""
        for stage in STAGES:
            able = [engine for engine in ready if engine.role in (stage, EITHER_STAGE)]
            found = [self.faulty[engine] for engine in able if engine in self.faulty]
            if found and len(found) >= MOST_ENGINES * len(able) and max(found) > self.last_success:
                return True
        return False

    def remembered_size(self, now: float, size: float) -> float:
        """Guards against a seat that begins to lead after a zone was lost, and would take it for one that
        never was: fronts remember what they knew of it.  Fleets shrink on purpose too, so it fades."""
        age = max(0.0, now - self.sized_at) if self.sized_at else 0.0
        self.size, self.sized_at = max(size, self.size * 0.5 ** (age / HALF_LIFE)), now
        return self.size


class Watcher:
    """`saw` each event, in the order told; `report` what came of it."""

    def __init__(self, zones: list[str], request_classes: list[str], settings: PolicySettings) -> None:
        self.zones, self.request_classes, self.settings = zones, request_classes, settings
        self.records: dict[int, ZoneRecord] = defaultdict(ZoneRecord)
        self.arrivals = [_ring() for _ in request_classes]
        self.engines: dict[Engine, ListedEngine] = {}
        self.open: dict[
            Request, float
        ] = {}  # requests whose answer has not begun, with their latency targets

    def saw(self, now: float, event: Event) -> None:
        match event:
            case RequestArrived(request):
                self._arrived(now, request)
            case FirstToken(attempt, _):
                record = self.records[attempt.engine.zone]
                if target := self.open.pop(attempt.request, 0.0):
                    record.pressure.add(now, (now - attempt.request.arrived) / target)
                record.succeeded(now, attempt.engine)
            case AttemptEnded(attempt, outcome):
                record = self.records[attempt.engine.zone]
                if outcome in FAULTS:
                    record.failed(now, attempt.engine)
                elif outcome in SUCCESSES:
                    record.succeeded(now, attempt.engine)
            case EndpointListUpdate(scope, entries) if scope != "failed":
                self._listed(scope, entries)
            case _:
                pass

    def _arrived(self, now: float, request: Request) -> None:
        self.arrivals[request.request_class].add(now)
        request_class = self.settings.request_classes[request.request_class]
        self.open[request] = (
            request_class.latency_target_ms
            + request_class.latency_target_per_1000_tokens_ms * request.prompt_tokens / 1000
        )

    def _listed(self, scope: str, entries: list[EndpointEntry]) -> None:
        if scope != "delta":
            self.engines = {}
        for entry in entries:
            if entry.state == "gone":
                self.engines.pop(entry.engine, None)
            else:
                self.engines[entry.engine] = ListedEngine(entry.state, entry.zone, entry.size, entry.started)

    def report(self, now: float) -> Tally:
        seconds = SPAN / 1000
        flows = {
            name: ring.count(now) / seconds
            for name, ring in zip(self.request_classes, self.arrivals, strict=True)
        }
        waiting = self._waiting(now)
        whole = sum(one.size for one in self.engines.values() if one.state == "ready") or 1.0
        told = Tally(1, {}, flows)
        for zone, name in enumerate(self.zones):
            told.zones[name] = self._zone_report(now, zone, waiting, whole)
        return told

    def _zone_report(self, now: float, zone: int, waiting: dict[int, Waiting], whole: float) -> ZoneTally:
        """`whole`: the size of all engines that are ready."""
        record, seconds = self.records[zone], SPAN / 1000
        ready = [engine for engine, one in self.engines.items() if one.zone == zone and one.state == "ready"]
        size = sum(self.engines[engine].size for engine in ready)
        # Who waits for any engine waits for each, as far as it is there.
        anywhere = waiting[ANY_ZONE]
        open_ = waiting[zone].plus(anywhere.count * size / whole, anywhere.pressure * size / whole)
        begun = record.pressure.count(now)
        pressure = record.pressure.mean(now) * begun + open_.pressure
        wait = pressure / (begun + open_.count) if begun + open_.count else 0.0
        record.forget_old_findings(now)
        vote = self._vote(now, record, ready, wait)
        return ZoneTally(
            spoke=int(vote.spoke),
            lost=int(vote.lost),
            grey=int(vote.grey),
            listed=int(bool(ready)),
            ready=size,
            had=record.remembered_size(now, size),
            cold=sum(self._cold_size(now, engine) for engine in ready),
            begun=begun / seconds,
            met=(begun + open_.count) / seconds,
            press=pressure / seconds,
            vain=record.faults.count(now) / seconds,
        )

    def _vote(self, now: float, record: ZoneRecord, ready: list[Engine], wait: float) -> Vote:
        """Where nothing was sent, the list alone is told."""
        successes, faults = record.successes.count(now), record.faults.count(now)
        lacks_stage = record.lacks_stage(ready)
        found = len(record.faulty) + len(record.healthy)
        enough = successes + faults >= MIN_ATTEMPTS or found >= min(MIN_ATTEMPTS, max(1, len(ready)))
        spoke = lacks_stage or enough
        mostly_faults = faults >= MIN_ATTEMPTS and faults > successes
        engines_faulty = len(record.faulty) >= MOST_ENGINES * len(ready)
        quiet = bool(record.faulty) and now - record.last_success > SINCE_LAST_SUCCESS
        lost = spoke and quiet and (mostly_faults or engines_faulty or lacks_stage)
        late = record.pressure.count(now) >= MIN_ATTEMPTS and wait > GREY_WAIT
        grey = spoke and not lost and (faults > GREY_FAULTS * (successes + faults) or late)
        return Vote(spoke, lost, grey)

    def _cold_size(self, now: float, engine: Engine) -> float:
        """The part of an engine's size that has still to warm up."""
        listed, warm_up = self.engines[engine], float(self.settings.slow_start_ms)
        return listed.size * max(0.0, 1 - (now - listed.started) / warm_up) if listed.started > 0 else 0.0

    def _waiting(self, now: float) -> dict[int, Waiting]:
        """Requests that have not begun, by the zone of their latest attempt.  What began tells of a jam too
        late."""
        found: dict[int, Waiting] = defaultdict(Waiting)
        for request, target in list(self.open.items()):
            if request.ended or request.streaming or now > request.deadline:
                del self.open[request]
                continue
            zone = request.attempts[-1].engine.zone if request.attempts else ANY_ZONE
            found[zone] = found[zone].plus(1, (now - request.arrived) / target)
        return found
