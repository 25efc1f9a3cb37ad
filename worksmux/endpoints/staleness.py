"""Confidence in a cached endpoint list, and which endpoints to probe. No I/O; time is passed in.

The confidence that a cached entry still holds falls with its age and with the observed turnover: endpoints
that left or restarted, divided by the time for which endpoints were watched, starting from one assumed
departure in `assumed_lifetime_ms`. A fresh endpoint is used unchanged. A stale endpoint is used as if it had
just started, so that it has a cold engine's budget until an attempt or a probe confirms it. Other endpoints
are probed before use. An endpoint that contradicts its entry is dropped; an endpoint that does not answer is
probed again after growing pauses.

Nodes that restart together share each engine's probe budget without coordination: each node probes an engine
at a random time in a period that is long enough for all nodes together to keep to the configured rate.

Times are milliseconds on the node's own clock or, where stated, since 1970.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from math import exp
from typing import Literal, NamedTuple

import msgspec

from ..api.listing import Line
from ..policy.random_source import RandomSource
from ..policy.state import Outcome

FRESH_CONFIDENCE = 0.95  # at or above it an endpoint is used unchanged
STALE_CONFIDENCE = 0.5  # at or above it an endpoint is used with a cold engine's budget
MIN_USEFUL_CONFIDENCE = 0.01  # below it an endpoint is probed after all others
MIN_RETRY_PAUSE_MS = 1000.0
RETRY_PAUSE_FRACTION = 0.5  # of the probe period, before an engine that did not answer is probed again
MAX_PAUSE_DOUBLINGS = 5  # bounds the pause, so that an engine that is away for long is still probed


class StoredEndpoint(msgspec.Struct):
    """An endpoint in its stored form."""

    line: Line
    confirmed_at_ms: float = msgspec.field(name="confirmed")  # when the entry last held, since 1970


class Turnover(msgspec.Struct):
    """The departures of endpoints that this node has observed."""

    watched_ms: float = msgspec.field(name="watched", default=0.0)  # summed over all endpoints
    departures: int = msgspec.field(name="left", default=0)  # endpoints that left or restarted

    def rate_per_ms(self, assumed_lifetime_ms: float) -> float:
        """Returns the departures per millisecond of one endpoint."""
        return (1 + self.departures) / (assumed_lifetime_ms + self.watched_ms)


class EndpointStatus(Enum):
    """How a cached endpoint is used."""

    FRESH = "fresh"  # used unchanged
    STALE = "stale"  # used with a cold engine's budget
    UNVERIFIED = "unverified"  # not used until it answers a probe
    DRAINING = "draining"  # listed as draining, until the registry sends a list
    CONFIRMED = "confirmed"  # answered a probe or served a request as its entry says
    CONTRADICTED = "contradicted"  # another engine answered at its address

    @property
    def listed_state(self) -> Literal["ready", "draining", "gone"]:
        """The listed state that the policy is given for such an endpoint."""
        if self in (EndpointStatus.FRESH, EndpointStatus.STALE, EndpointStatus.CONFIRMED):
            return "ready"
        return "draining" if self is EndpointStatus.DRAINING else "gone"


PROBED = (EndpointStatus.FRESH, EndpointStatus.STALE, EndpointStatus.UNVERIFIED)
FINAL = (EndpointStatus.DRAINING, EndpointStatus.CONTRADICTED)  # not changed by probes


@dataclass(slots=True)
class CachedEndpoint:
    """One endpoint of the cached list."""

    line: Line
    confidence: float  # probability that its entry still holds, 0 to 1
    status: EndpointStatus
    failed_probes: int = 0  # in a row


@dataclass(slots=True)
class ProbeReply:
    """The answer of an engine to a probe."""

    id: str
    kind: str
    started: float  # milliseconds since 1970; 0: long ago
    draining: bool = False


@dataclass(slots=True)
class CacheUpdate:
    """The effects of an event: endpoints whose use changes, and engines to probe now."""

    changed: list[CachedEndpoint] = field(default_factory=list)
    to_probe: list[Line] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)  # for the log


class DueProbe(NamedTuple):
    """A scheduled probe, ordered by time, then in order of scheduling."""

    at_ms: float
    order: int
    name: str


def confidence(
    stored: StoredEndpoint, wall_ms: float, turnover: Turnover, assumed_lifetime_ms: float
) -> float:
    """Returns the probability that a stored endpoint still holds, 0 to 1.

    A clock that was set back makes the sign of the age meaningless; its absolute value is used.

    >>> line = Line("a", "h", 1, "k")
    >>> fresh = confidence(StoredEndpoint(line, 1000.0), 1000.0, Turnover(), 3.6e6)
    >>> old = confidence(StoredEndpoint(line, 0.0), 3.6e6, Turnover(), 3.6e6)
    >>> fresh, round(old, 2)
    (1.0, 0.37)
    """
    return exp(-turnover.rate_per_ms(assumed_lifetime_ms) * abs(wall_ms - stored.confirmed_at_ms))


class CachedEndpointList:
    """The cached endpoint list of one node, used from its start until the registry sends a list."""

    def __init__(
        self,
        stored: Iterable[StoredEndpoint],
        now_ms: float,
        wall_ms: float,
        turnover: Turnover,
        assumed_lifetime_ms: float,
        nodes: int,
        probe_rate: float,
        complete: bool,
        seed: int,
    ) -> None:
        """Sets the initial status of the stored endpoints and schedules their first probes.

        `probe_rate` is the number of probes per second that all `nodes` together may send to one engine.
        `complete` says whether the stored list is known to be complete: otherwise no endpoint is fresh.
        """
        self.endpoints: dict[str, CachedEndpoint] = {}
        self.due_probes: list[DueProbe] = []  # a heap, the next probe first
        self.superseded = False  # whether the registry has sent a list
        self._random = RandomSource(seed)
        self._probe_period_ms = 1000 * nodes / probe_rate  # in which each node probes an engine once
        self._order = count()
        for stored_endpoint in stored:
            limit = 1.0 if complete else FRESH_CONFIDENCE - 1e-6
            initial_confidence = confidence(stored_endpoint, wall_ms, turnover, assumed_lifetime_ms) * limit
            self.endpoints[stored_endpoint.line.id] = CachedEndpoint(
                stored_endpoint.line,
                initial_confidence,
                _initial_status(stored_endpoint.line, initial_confidence),
            )
        self._schedule_first_probes(now_ms)

    def initial_update(self) -> CacheUpdate:
        """Returns all endpoints as changed, for the start of the node."""
        return CacheUpdate(list(self.endpoints.values()))

    def request_arrived(self, now_ms: float, roles: dict[str, str]) -> CacheUpdate:
        """Probes one engine of each missing role now if the usable engines cannot serve a request.

        `roles` is the role of each kind: read, write or both.
        """
        if self.superseded:
            return CacheUpdate()
        usable = {role for kind, role in roles.items() if self.has_usable(kind)}
        if "both" in usable or {"read", "write"} <= usable:
            return CacheUpdate()
        return self.probe_early(now_ms, [kind for kind, role in roles.items() if role not in usable])

    def probe_early(self, now_ms: float, kinds: Iterable[str]) -> CacheUpdate:
        """Sends the next probe of an unverified engine of each kind now instead of when it is due."""
        update = CacheUpdate()
        for kind in kinds:
            probe = min(
                (scheduled for scheduled in self.due_probes if self._is_unverified(scheduled.name, kind)),
                default=None,
            )
            if probe is not None and probe.at_ms > now_ms:
                self.due_probes.remove(probe)
                heapq.heapify(self.due_probes)
                update.to_probe.append(self.endpoints[probe.name].line)
        return update

    def tick(self, now_ms: float) -> CacheUpdate:
        """Returns the probes that are due."""
        update = CacheUpdate()
        while self.due_probes and self.due_probes[0].at_ms <= now_ms and not self.superseded:
            endpoint = self.endpoints[heapq.heappop(self.due_probes).name]
            if endpoint.status in PROBED:
                update.to_probe.append(endpoint.line)
        return update

    def next_time(self) -> float | None:
        """Returns the time of the next `tick`; None if none is needed."""
        return self.due_probes[0].at_ms if self.due_probes and not self.superseded else None

    def probe_answered(self, name: str, reply: ProbeReply) -> CacheUpdate:
        """Compares an engine's reply with its entry.

        A later start means that the engine is cold. Another id or kind means that it is another engine.
        """
        update, endpoint = CacheUpdate(), self.endpoints.get(name)
        if endpoint is None or self.superseded or endpoint.status in FINAL:
            return update
        line = endpoint.line
        if reply.id != line.id or reply.kind != line.kind:
            return self._drop(endpoint, f"its address belongs to engine {reply.id} of kind {reply.kind} now")
        if reply.draining:
            endpoint.status = EndpointStatus.DRAINING
            line.state = "draining"
        else:
            if reply.started > line.started:
                update.notes.append(f"engine {name} has restarted since it was listed")
            line.started = max(line.started, reply.started)
            endpoint.status, endpoint.confidence = EndpointStatus.CONFIRMED, 1.0
            endpoint.failed_probes = 0
        update.changed.append(endpoint)
        return update

    def probe_failed(self, name: str, now_ms: float) -> CacheUpdate:
        """Stops using an engine that did not answer, and schedules another probe after a growing pause."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or self.superseded or endpoint.status in FINAL:
            return CacheUpdate()
        was_unverified = endpoint.status is EndpointStatus.UNVERIFIED
        self._mark_unverified(endpoint, now_ms)
        return CacheUpdate([] if was_unverified else [endpoint])

    def attempt_ended(self, name: str, outcome: Outcome, now_ms: float) -> CacheUpdate:
        """Updates an endpoint by the outcome of an attempt at it."""
        if outcome is Outcome.UNREACHABLE:
            return self.unreachable(name, now_ms)
        return self.served(name) if outcome in (Outcome.PREFILLED, Outcome.SERVED) else CacheUpdate()

    def served(self, name: str) -> CacheUpdate:
        """Confirms a fresh or stale endpoint that served an attempt."""
        endpoint = self.endpoints.get(name)
        if (
            endpoint is None
            or self.superseded
            or endpoint.status not in (EndpointStatus.FRESH, EndpointStatus.STALE)
        ):
            return CacheUpdate()
        endpoint.status, endpoint.confidence = EndpointStatus.CONFIRMED, 1.0
        return CacheUpdate([endpoint])

    def unreachable(self, name: str, now_ms: float) -> CacheUpdate:
        """Stops using an engine that an attempt could not connect to, until it answers a probe.

        Further attempts that fail at the same time find the endpoint unverified and change nothing.
        """
        endpoint = self.endpoints.get(name)
        if endpoint is None or self.superseded or endpoint.status.listed_state != "ready":
            return CacheUpdate()
        self._mark_unverified(endpoint, now_ms)
        return CacheUpdate([endpoint])

    def accept_list(self, empty: bool) -> bool:
        """Decides whether a full list of the registry replaces the cached list.

        After that the cached list is no longer used. Failure: a registry that has lost its data sends an
        empty list, and all engines that are serving would be dropped. An empty list is therefore refused
        while any cached endpoint is not contradicted.
        """
        if empty and not self.superseded and self._has_uncontradicted():
            return False
        self.superseded = True
        return True

    def has_usable(self, kind: str) -> bool:
        """Reports whether any endpoint of this kind is given to the policy as ready."""
        return any(
            endpoint.line.kind == kind and endpoint.status.listed_state == "ready"
            for endpoint in self.endpoints.values()
        )

    def _has_uncontradicted(self) -> bool:
        return any(cached.status is not EndpointStatus.CONTRADICTED for cached in self.endpoints.values())

    def _is_unverified(self, name: str, kind: str) -> bool:
        endpoint = self.endpoints[name]
        return endpoint.line.kind == kind and endpoint.status is EndpointStatus.UNVERIFIED

    def _schedule_first_probes(self, now_ms: float) -> None:
        """Spreads the first probes over one period.

        Endpoints below MIN_USEFUL_CONFIDENCE are probed in a second period if others are at or above it.
        """
        any_useful = any(cached.confidence >= MIN_USEFUL_CONFIDENCE for cached in self.endpoints.values())
        for endpoint in self.endpoints.values():
            if endpoint.status in PROBED:
                in_second_period = any_useful and endpoint.confidence < MIN_USEFUL_CONFIDENCE
                pause_ms = self._probe_period_ms * (self._random.share() + in_second_period)
                self._schedule_probe(now_ms + pause_ms, endpoint.line.id)

    def _schedule_probe(self, at_ms: float, name: str) -> None:
        heapq.heappush(self.due_probes, DueProbe(at_ms, next(self._order), name))

    def _mark_unverified(self, endpoint: CachedEndpoint, now_ms: float) -> None:
        endpoint.status, endpoint.confidence = EndpointStatus.UNVERIFIED, 0.0
        self._schedule_retry(endpoint, now_ms)

    def _schedule_retry(self, endpoint: CachedEndpoint, now_ms: float) -> None:
        """Schedules the next probe of an engine that did not answer.

        Failure: with two scheduled probes of one engine, each schedules a successor, and the engine is probed
        more and more often. A probe that is still scheduled is therefore removed first.
        """
        name = endpoint.line.id
        self.due_probes = [probe for probe in self.due_probes if probe.name != name]
        heapq.heapify(self.due_probes)
        first_pause_ms = max(MIN_RETRY_PAUSE_MS, self._probe_period_ms * RETRY_PAUSE_FRACTION)
        pause_ms = first_pause_ms * 2 ** min(endpoint.failed_probes, MAX_PAUSE_DOUBLINGS)
        endpoint.failed_probes += 1
        self._schedule_probe(now_ms + pause_ms * (0.5 + self._random.share()), name)

    @staticmethod
    def _drop(endpoint: CachedEndpoint, reason: str) -> CacheUpdate:
        endpoint.status, endpoint.confidence = EndpointStatus.CONTRADICTED, 0.0
        note = f"engine {endpoint.line.id} dropped from the cached endpoint list: {reason}"
        return CacheUpdate([endpoint], notes=[note])


def _initial_status(line: Line, initial_confidence: float) -> EndpointStatus:
    if line.state != "ready":
        return EndpointStatus.DRAINING
    if initial_confidence >= FRESH_CONFIDENCE:
        return EndpointStatus.FRESH
    return EndpointStatus.STALE if initial_confidence >= STALE_CONFIDENCE else EndpointStatus.UNVERIFIED
