"""What one node sees of the zones, from the events that its policy is given.

No I/O; times are milliseconds on the node's clock.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from ..policy.events import AttemptEnded, EndpointEntry, EndpointListUpdate, Event, FirstToken, RequestArrived
from ..policy.settings import PolicySettings
from ..policy.sliding_window import SlidingWindow
from ..policy.state import Engine, Outcome, Request
from .reports import FleetReport, ZoneReport

WINDOW_MS = 1000.0  # that a report looks back
WINDOW_BUCKETS = 5
MIN_ATTEMPTS = 3  # seen before a node votes on a zone
SIZE_HALF_LIFE_MS = 600 * WINDOW_MS  # after which half of a zone's full size is forgotten
FINDING_LIFETIME_MS = 6 * WINDOW_MS  # for which the last finding at an engine counts
FAILED_AFTER_SUCCESS_MS = WINDOW_MS / 4  # no vote for failed sooner after a success
FAILED_ENGINE_SHARE = 0.6  # of a zone's engines last found at fault: it has failed
DEGRADED_FAULT_SHARE = 0.25  # of attempts that failed: the zone is degraded
DEGRADED_WAIT = 0.9  # mean wait, in latency targets: the zone is degraded
FAULTS = frozenset({Outcome.ERROR, Outcome.UNREACHABLE, Outcome.RESET, Outcome.TIMED_OUT})
SUCCESSES = frozenset({Outcome.PREFILLED, Outcome.SERVED})
STAGES = ("read", "write")  # as the roles of engines have them
BOTH_STAGES = "both"
ANY_ZONE = -1  # of requests that have no attempt yet


class ListedEngine(NamedTuple):
    """What the endpoint list says of an engine."""

    state: str
    zone: int
    size: float
    started: float  # 0: long ago


class Vote(NamedTuple):
    """How this node finds a zone."""

    votes: bool  # whether it has seen enough to say
    failed: bool
    degraded: bool


@dataclass(frozen=True, slots=True)
class Waiting:
    """Requests whose answer has not begun."""

    count: float = 0.0
    wait: float = 0.0  # the sum of their waits, in latency targets

    def plus(self, count: float, wait: float) -> Waiting:
        """These and other requests."""
        return Waiting(self.count + count, self.wait + wait)


def _window() -> SlidingWindow:
    return SlidingWindow(WINDOW_MS, WINDOW_BUCKETS)


@dataclass(eq=False)
class ZoneRecord:
    """What was lately seen of one zone."""

    successes: SlidingWindow = field(default_factory=_window)
    faults: SlidingWindow = field(default_factory=_window)
    waits: SlidingWindow = field(default_factory=_window)  # of answers that began, in latency targets
    last_success_ms: float = 0.0
    full_size: float = 0.0  # the most that was listed as ready, slowly forgotten
    sized_at_ms: float = 0.0
    healthy: dict[Engine, float] = field(default_factory=dict)  # engines and when they last succeeded
    faulty: dict[Engine, float] = field(default_factory=dict)  # the others, and when they last failed

    def succeeded(self, now_ms: float, engine: Engine) -> None:
        """An attempt made progress at the engine."""
        self.successes.add(now_ms)
        self.last_success_ms = self.healthy[engine] = now_ms
        self.faulty.pop(engine, None)

    def failed(self, now_ms: float, engine: Engine) -> None:
        """An attempt failed at the engine."""
        self.faults.add(now_ms)
        self.faulty[engine] = now_ms
        self.healthy.pop(engine, None)

    def forget_old_findings(self, now_ms: float) -> None:
        """Forgets how engines were found long ago.

        An engine that was ejected after a fault gets no attempts, so that its last finding counts for longer
        than the sliding windows.
        """
        for found in (self.healthy, self.faulty):
            for engine in [one for one, at_ms in found.items() if at_ms < now_ms - FINDING_LIFETIME_MS]:
                del found[engine]

    def lacks_stage(self, ready: list[Engine]) -> bool:
        """Whether the engines of one stage were last found at fault, with no success since.

        Without prefill, decode engines get no attempts that could show how they are.
        """
        for stage in STAGES:
            able = [engine for engine in ready if engine.role in (stage, BOTH_STAGES)]
            found = [self.faulty[engine] for engine in able if engine in self.faulty]
            mostly_faulty = bool(found) and len(found) >= FAILED_ENGINE_SHARE * len(able)
            if mostly_faulty and max(found) > self.last_success_ms:
                return True
        return False

    def remembered_size(self, now_ms: float, ready_size: float) -> float:
        """The most that was ready here, which fades, as fleets also shrink on purpose.

        Failure: a leader elected after a zone failed has never seen its engines, and takes it for a zone
        without any. The nodes remember its size and report it.
        """
        age_ms = max(0.0, now_ms - self.sized_at_ms) if self.sized_at_ms else 0.0
        self.full_size = max(ready_size, self.full_size * 0.5 ** (age_ms / SIZE_HALF_LIFE_MS))
        self.sized_at_ms = now_ms
        return self.full_size


class Watcher:
    """Observes each event in the order in which the policy is given it, and reports what came of it."""

    def __init__(self, zones: list[str], request_classes: list[str], settings: PolicySettings) -> None:
        self.engines: dict[Engine, ListedEngine] = {}
        self._zones = zones
        self._request_classes = request_classes
        self._settings = settings
        self._records: dict[int, ZoneRecord] = defaultdict(ZoneRecord)
        self._arrivals = [_window() for _ in request_classes]
        self._latency_targets_ms: dict[Request, float] = {}  # of requests whose answer has not begun

    def observe(self, now_ms: float, event: Event) -> None:
        """Takes note of an event."""
        match event:
            case RequestArrived(request):
                self._request_arrived(now_ms, request)
            case FirstToken(attempt, _):
                record = self._records[attempt.engine.zone]
                if target_ms := self._latency_targets_ms.pop(attempt.request, 0.0):
                    record.waits.add(now_ms, (now_ms - attempt.request.arrived) / target_ms)
                record.succeeded(now_ms, attempt.engine)
            case AttemptEnded(attempt, outcome):
                record = self._records[attempt.engine.zone]
                if outcome in FAULTS:
                    record.failed(now_ms, attempt.engine)
                elif outcome in SUCCESSES:
                    record.succeeded(now_ms, attempt.engine)
            case EndpointListUpdate(scope, entries) if scope != "failed":
                self._list_updated(scope, entries)
            case _:
                pass

    def report(self, now_ms: float) -> FleetReport:
        """This node's own report."""
        demand = {
            name: arrivals.count(now_ms) / (WINDOW_MS / 1000)
            for name, arrivals in zip(self._request_classes, self._arrivals, strict=True)
        }
        waiting = self._waiting(now_ms)
        fleet_size = sum(one.size for one in self.engines.values() if one.state == "ready") or 1.0
        zones = {
            name: self._zone_report(now_ms, zone, waiting, fleet_size)
            for zone, name in enumerate(self._zones)
        }
        return FleetReport(1, zones, demand)

    def _request_arrived(self, now_ms: float, request: Request) -> None:
        self._arrivals[request.request_class].add(now_ms)
        request_class = self._settings.request_classes[request.request_class]
        self._latency_targets_ms[request] = (
            request_class.latency_target_ms
            + request_class.latency_target_per_1000_tokens_ms * request.prompt_tokens / 1000
        )

    def _list_updated(self, scope: str, entries: list[EndpointEntry]) -> None:
        if scope != "delta":
            self.engines = {}
        for entry in entries:
            if entry.state == "gone":
                self.engines.pop(entry.engine, None)
            else:
                self.engines[entry.engine] = ListedEngine(entry.state, entry.zone, entry.size, entry.started)

    def _zone_report(
        self, now_ms: float, zone: int, waiting: dict[int, Waiting], fleet_size: float
    ) -> ZoneReport:
        """The report on one zone; `fleet_size` is the size of all ready engines."""
        record, window_s = self._records[zone], WINDOW_MS / 1000
        ready = [engine for engine, one in self.engines.items() if one.zone == zone and one.state == "ready"]
        size = sum(self.engines[engine].size for engine in ready)
        # A request that waits for any engine counts at each zone, in proportion to the zone's size.
        anywhere = waiting[ANY_ZONE]
        here = waiting[zone].plus(anywhere.count * size / fleet_size, anywhere.wait * size / fleet_size)
        begun = record.waits.count(now_ms)
        wait = record.waits.mean(now_ms) * begun + here.wait
        mean_wait = wait / (begun + here.count) if begun + here.count else 0.0
        record.forget_old_findings(now_ms)
        vote = self._vote(now_ms, record, ready, mean_wait)
        return ZoneReport(
            voters=int(vote.votes),
            failed_votes=int(vote.failed),
            degraded_votes=int(vote.degraded),
            listed_by=int(bool(ready)),
            ready_size=size,
            full_size=record.remembered_size(now_ms, size),
            cold_size=sum(self._cold_size(now_ms, engine) for engine in ready),
            first_token_rate=begun / window_s,
            observed_rate=(begun + here.count) / window_s,
            wait_rate=wait / window_s,
            fault_rate=record.faults.count(now_ms) / window_s,
        )

    def _vote(self, now_ms: float, record: ZoneRecord, ready: list[Engine], mean_wait: float) -> Vote:
        """How the zone is found; no vote where too few attempts were sent to tell."""
        successes, faults = record.successes.count(now_ms), record.faults.count(now_ms)
        lacks_stage = record.lacks_stage(ready)
        found = len(record.faulty) + len(record.healthy)
        seen_enough = successes + faults >= MIN_ATTEMPTS or found >= min(MIN_ATTEMPTS, max(1, len(ready)))
        votes = lacks_stage or seen_enough
        mostly_faults = faults >= MIN_ATTEMPTS and faults > successes
        engines_faulty = len(record.faulty) >= FAILED_ENGINE_SHARE * len(ready)
        quiet = bool(record.faulty) and now_ms - record.last_success_ms > FAILED_AFTER_SUCCESS_MS
        failed = votes and quiet and (mostly_faults or engines_faulty or lacks_stage)
        late = record.waits.count(now_ms) >= MIN_ATTEMPTS and mean_wait > DEGRADED_WAIT
        many_faults = faults > DEGRADED_FAULT_SHARE * (successes + faults)
        degraded = votes and not failed and (many_faults or late)
        return Vote(votes, failed, degraded)

    def _cold_size(self, now_ms: float, engine: Engine) -> float:
        """The part of an engine's size that has still to warm up."""
        listed, warm_up_ms = self.engines[engine], float(self._settings.slow_start_ms)
        if listed.started <= 0:
            return 0.0
        return listed.size * max(0.0, 1 - (now_ms - listed.started) / warm_up_ms)

    def _waiting(self, now_ms: float) -> dict[int, Waiting]:
        """Requests that have not begun, by the zone of their latest attempt.

        They show a congested zone sooner than the requests that began there.
        """
        found: dict[int, Waiting] = defaultdict(Waiting)
        for request, target_ms in list(self._latency_targets_ms.items()):
            if request.ended or request.streaming or now_ms > request.deadline:
                del self._latency_targets_ms[request]
                continue
            zone = request.attempts[-1].engine.zone if request.attempts else ANY_ZONE
            found[zone] = found[zone].plus(1, (now_ms - request.arrived) / target_ms)
        return found
