"""Observes the policy events of one node and reports the health of zones. No I/O.

Times are milliseconds on the node's clock.
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

WINDOW_MS = 1000.0  # period that a report covers
WINDOW_BUCKETS = 5
MIN_ATTEMPTS = 3  # ended attempts, before a node votes on a zone
SIZE_HALF_LIFE_MS = 600 * WINDOW_MS  # after which the remembered full size of a zone has fallen by half
OUTCOME_LIFETIME_MS = 6 * WINDOW_MS  # for which the last outcome at an engine counts
FAILED_AFTER_SUCCESS_MS = WINDOW_MS / 4  # least time after a success before a vote for failed
FAILED_ENGINE_SHARE = 0.6  # of a zone's engines with a fault as last outcome; the zone has failed
DEGRADED_FAULT_SHARE = 0.25  # of attempts that failed; the zone is degraded
DEGRADED_WAIT = 0.9  # mean wait in latency targets; the zone is degraded
FAULTS = frozenset({Outcome.ERROR, Outcome.UNREACHABLE, Outcome.RESET, Outcome.TIMED_OUT})
SUCCESSES = frozenset({Outcome.PREFILLED, Outcome.SERVED})
STAGES = ("read", "write")  # roles of prefill and decode engines
BOTH_STAGES = "both"
ANY_ZONE = -1  # zone of requests without an attempt


class ListedEngine(NamedTuple):
    """The endpoint list's entry of an engine."""

    state: str
    zone: int
    size: float
    started: float  # 0: long ago


class Vote(NamedTuple):
    """The vote of this node on the health of a zone."""

    has_vote: bool  # whether there were enough attempts to vote
    failed: bool
    degraded: bool


@dataclass(frozen=True, slots=True)
class Waiting:
    """Requests that wait for their first token."""

    count: float = 0.0
    wait: float = 0.0  # the sum of their waits, in latency targets

    def plus(self, count: float, wait: float) -> Waiting:
        """Returns the sum with further requests."""
        return Waiting(self.count + count, self.wait + wait)


def _window() -> SlidingWindow:
    return SlidingWindow(WINDOW_MS, WINDOW_BUCKETS)


@dataclass(eq=False)
class ZoneRecord:
    """Recent outcomes and waits in one zone."""

    successes: SlidingWindow = field(default_factory=_window)
    faults: SlidingWindow = field(default_factory=_window)
    waits: SlidingWindow = field(default_factory=_window)  # until the first token, in latency targets
    last_success_ms: float = 0.0
    full_size: float = 0.0  # highest ready size, decaying
    sized_at_ms: float = 0.0
    # Time of the last success, and of the last fault of engines without a success since.
    healthy_engines: dict[Engine, float] = field(default_factory=dict)
    faulty_engines: dict[Engine, float] = field(default_factory=dict)

    def record_success(self, now_ms: float, engine: Engine) -> None:
        """Records a success of an attempt at the engine."""
        self.successes.add(now_ms)
        self.last_success_ms = self.healthy_engines[engine] = now_ms
        self.faulty_engines.pop(engine, None)

    def record_failure(self, now_ms: float, engine: Engine) -> None:
        """Records a fault of an attempt at the engine."""
        self.faults.add(now_ms)
        self.faulty_engines[engine] = now_ms
        self.healthy_engines.pop(engine, None)

    def forget_old_outcomes(self, now_ms: float) -> None:
        """Deletes the last outcomes of engines that are older than OUTCOME_LIFETIME_MS.

        The last outcome counts for longer than the sliding windows, because an engine that was ejected after
        a fault gets no more attempts.
        """
        for last_outcomes in (self.healthy_engines, self.faulty_engines):
            for engine in [
                key for key, at_ms in last_outcomes.items() if at_ms < now_ms - OUTCOME_LIFETIME_MS
            ]:
                del last_outcomes[engine]

    def lacks_stage(self, ready: list[Engine]) -> bool:
        """Reports whether most engines of one stage had a fault, with no success in the zone since.

        Without prefill, decode engines get no attempts that could show their health.
        """
        for stage in STAGES:
            able_engines = [engine for engine in ready if engine.role in (stage, BOTH_STAGES)]
            fault_times = [
                self.faulty_engines[engine] for engine in able_engines if engine in self.faulty_engines
            ]
            mostly_faulty = bool(fault_times) and len(fault_times) >= FAILED_ENGINE_SHARE * len(able_engines)
            if mostly_faulty and max(fault_times) > self.last_success_ms:
                return True
        return False

    def remembered_size(self, now_ms: float, ready_size: float) -> float:
        """Returns the highest ready size of the zone; it decays, because fleets also shrink on purpose.

        Failure: a leader elected after a zone failed has never seen its engines, and treats it as a zone
        without engines. Each node therefore remembers the size and reports it.
        """
        age_ms = max(0.0, now_ms - self.sized_at_ms) if self.sized_at_ms else 0.0
        self.full_size = max(ready_size, self.full_size * 0.5 ** (age_ms / SIZE_HALF_LIFE_MS))
        self.sized_at_ms = now_ms
        return self.full_size


class Watcher:
    """Observes the policy's events in their order, and reports on the zones."""

    def __init__(self, zones: list[str], request_classes: list[str], settings: PolicySettings) -> None:
        self.engines: dict[Engine, ListedEngine] = {}
        self._zones = zones
        self._request_classes = request_classes
        self._settings = settings
        self._records: dict[int, ZoneRecord] = defaultdict(ZoneRecord)
        self._arrivals = [_window() for _ in request_classes]
        self._latency_targets_ms: dict[Request, float] = {}  # of requests without a first token

    def observe(self, now_ms: float, event: Event) -> None:
        """Records an event."""
        match event:
            case RequestArrived(request):
                self._request_arrived(now_ms, request)
            case FirstToken(attempt, _):
                record = self._records[attempt.engine.zone]
                if target_ms := self._latency_targets_ms.pop(attempt.request, 0.0):
                    record.waits.add(now_ms, (now_ms - attempt.request.arrived) / target_ms)
                record.record_success(now_ms, attempt.engine)
            case AttemptEnded(attempt, outcome):
                record = self._records[attempt.engine.zone]
                if outcome in FAULTS:
                    record.record_failure(now_ms, attempt.engine)
                elif outcome in SUCCESSES:
                    record.record_success(now_ms, attempt.engine)
            case EndpointListUpdate(scope, entries) if scope != "failed":
                self._list_updated(scope, entries)
            case _:
                pass

    def report(self, now_ms: float) -> FleetReport:
        """Returns this node's report."""
        demand = {
            name: arrivals.count(now_ms) / (WINDOW_MS / 1000)
            for name, arrivals in zip(self._request_classes, self._arrivals, strict=True)
        }
        waiting = self._waiting(now_ms)
        fleet_size = sum(listed.size for listed in self.engines.values() if listed.state == "ready") or 1.0
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
        """Returns the report on one zone; `fleet_size` is the size of all ready engines."""
        record, window_s = self._records[zone], WINDOW_MS / 1000
        ready = [
            engine
            for engine, listed in self.engines.items()
            if listed.zone == zone and listed.state == "ready"
        ]
        size = sum(self.engines[engine].size for engine in ready)
        # A request without an attempt counts in each zone, in proportion to the zone's size.
        without_attempt = waiting[ANY_ZONE]
        here = waiting[zone].plus(
            without_attempt.count * size / fleet_size, without_attempt.wait * size / fleet_size
        )
        first_token_count = record.waits.count(now_ms)
        wait_sum = record.waits.mean(now_ms) * first_token_count + here.wait
        mean_wait = wait_sum / (first_token_count + here.count) if first_token_count + here.count else 0.0
        record.forget_old_outcomes(now_ms)
        vote = self._vote(now_ms, record, ready, mean_wait)
        return ZoneReport(
            voters=int(vote.has_vote),
            failed_votes=int(vote.failed),
            degraded_votes=int(vote.degraded),
            listed_by=int(bool(ready)),
            ready_size=size,
            full_size=record.remembered_size(now_ms, size),
            cold_size=sum(self._cold_size(now_ms, engine) for engine in ready),
            first_token_rate=first_token_count / window_s,
            observed_rate=(first_token_count + here.count) / window_s,
            wait_rate=wait_sum / window_s,
            fault_rate=record.faults.count(now_ms) / window_s,
        )

    def _vote(self, now_ms: float, record: ZoneRecord, ready: list[Engine], mean_wait: float) -> Vote:
        """Returns this node's vote on a zone; there is no vote after too few attempts."""
        successes, faults = record.successes.count(now_ms), record.faults.count(now_ms)
        lacks_stage = record.lacks_stage(ready)
        engines_tried = len(record.faulty_engines) + len(record.healthy_engines)
        seen_enough = successes + faults >= MIN_ATTEMPTS or engines_tried >= min(
            MIN_ATTEMPTS, max(1, len(ready))
        )
        has_vote = lacks_stage or seen_enough
        mostly_faults = faults >= MIN_ATTEMPTS and faults > successes
        engines_faulty = len(record.faulty_engines) >= FAILED_ENGINE_SHARE * len(ready)
        no_recent_success = (
            bool(record.faulty_engines) and now_ms - record.last_success_ms > FAILED_AFTER_SUCCESS_MS
        )
        failed = has_vote and no_recent_success and (mostly_faults or engines_faulty or lacks_stage)
        late = record.waits.count(now_ms) >= MIN_ATTEMPTS and mean_wait > DEGRADED_WAIT
        many_faults = faults > DEGRADED_FAULT_SHARE * (successes + faults)
        degraded = has_vote and not failed and (many_faults or late)
        return Vote(has_vote, failed, degraded)

    def _cold_size(self, now_ms: float, engine: Engine) -> float:
        """Returns the part of an engine's size that is not warmed up."""
        listed, warm_up_ms = self.engines[engine], float(self._settings.slow_start_ms)
        if listed.started <= 0:
            return 0.0
        return listed.size * max(0.0, 1 - (now_ms - listed.started) / warm_up_ms)

    def _waiting(self, now_ms: float) -> dict[int, Waiting]:
        """Returns the requests without a first token, by the zone of their latest attempt.

        They show a congested zone earlier than requests that got a first token there.
        """
        waiting: dict[int, Waiting] = defaultdict(Waiting)
        for request, target_ms in list(self._latency_targets_ms.items()):
            if request.ended or request.streaming or now_ms > request.deadline:
                del self._latency_targets_ms[request]
                continue
            zone = request.attempts[-1].engine.zone if request.attempts else ANY_ZONE
            waiting[zone] = waiting[zone].plus(1, (now_ms - request.arrived) / target_ms)
        return waiting
