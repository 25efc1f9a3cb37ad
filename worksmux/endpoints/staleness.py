"""How far a cached endpoint list can be relied on, and which endpoints to probe. No I/O; time is passed in.

The confidence that a cached endpoint still holds falls with its age and with the turnover that this node has
seen: endpoints that left or restarted, over the time for which endpoints were watched, with one assumed
departure over `believed_for_ms` to begin with. A fresh endpoint is used as it is. A stale one is used as if
it had just started, so that it is held to a cold engine's budget until an attempt or a probe confirms it. The
others are probed first. An endpoint that contradicts its entry is dropped; one that does not answer is probed
again after growing pauses.

Nodes that restart together share each engine's probe budget without talking to one another: each probes an
engine at a random moment of a period so long that all nodes together keep to the configured rate.

Times are milliseconds, on the node's own clock or, where said so, since 1970.
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

FRESH_CONFIDENCE = 0.95  # from here on an endpoint is used as it is
STALE_CONFIDENCE = 0.5  # from here on it is used with a cold engine's budget
MIN_USEFUL_CONFIDENCE = 0.01  # below it an endpoint is probed after all others
MIN_RETRY_PAUSE_MS = 1000.0
RETRY_PAUSE_FRACTION = 0.5  # of the probe period, before a silent engine is probed again
MAX_PAUSE_DOUBLINGS = 5  # an engine that is away for long is still probed now and then


class StoredEndpoint(msgspec.Struct):
    """An endpoint as it is kept on disk."""

    line: Line
    confirmed_at_ms: float = msgspec.field(name="confirmed")  # when it last held, since 1970


class Turnover(msgspec.Struct):
    """What this node has seen of endpoints leaving."""

    watched_ms: float = msgspec.field(name="watched", default=0.0)  # summed over all endpoints
    departures: int = msgspec.field(name="left", default=0)  # endpoints that left or restarted

    def rate_per_ms(self, believed_for_ms: float) -> float:
        """Departures per millisecond of one endpoint."""
        return (1 + self.departures) / (believed_for_ms + self.watched_ms)


class EndpointStatus(Enum):
    """How a cached endpoint is used."""

    FRESH = "fresh"  # used as it is
    STALE = "stale"  # used with a cold engine's budget
    UNVERIFIED = "unverified"  # not used until it answers a probe
    DRAINING = "draining"  # listed so, and kept so until the registry speaks
    CONFIRMED = "confirmed"  # it answered a probe or served a request, as its entry says
    CONTRADICTED = "contradicted"  # another engine answers at its address

    @property
    def listed_state(self) -> Literal["ready", "draining", "gone"]:
        """The state under which the policy is given such an endpoint."""
        if self in (EndpointStatus.FRESH, EndpointStatus.STALE, EndpointStatus.CONFIRMED):
            return "ready"
        return "draining" if self is EndpointStatus.DRAINING else "gone"


PROBED = (EndpointStatus.FRESH, EndpointStatus.STALE, EndpointStatus.UNVERIFIED)
FINAL = (EndpointStatus.DRAINING, EndpointStatus.CONTRADICTED)  # no probe changes these


@dataclass(slots=True)
class CachedEndpoint:
    """One endpoint of the cached list."""

    line: Line
    confidence: float  # that its entry still holds, 0 to 1
    status: EndpointStatus
    failed_probes: int = 0  # in a row


@dataclass(slots=True)
class ProbeReply:
    """What an engine says of itself when it is probed."""

    id: str
    kind: str
    started: float  # milliseconds since 1970; 0: long ago
    draining: bool = False


@dataclass(slots=True)
class CacheUpdate:
    """What follows from an event: endpoints whose use changes, and engines to probe now."""

    changed: list[CachedEndpoint] = field(default_factory=list)
    to_probe: list[Line] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)  # for the log


class DueProbe(NamedTuple):
    """A scheduled probe; ordered by time, then by when it was scheduled."""

    at_ms: float
    order: int
    name: str


def confidence(stored: StoredEndpoint, wall_ms: float, turnover: Turnover, believed_for_ms: float) -> float:
    """How likely a stored endpoint still holds, 0 to 1.

    A clock that was set back makes the sign of the age meaningless, so that its size counts.

    >>> line = Line("a", "h", 1, "k")
    >>> fresh = confidence(StoredEndpoint(line, 1000.0), 1000.0, Turnover(), 3.6e6)
    >>> old = confidence(StoredEndpoint(line, 0.0), 3.6e6, Turnover(), 3.6e6)
    >>> fresh, round(old, 2)
    (1.0, 0.37)
    """
    return exp(-turnover.rate_per_ms(believed_for_ms) * abs(wall_ms - stored.confirmed_at_ms))


class CachedEndpointList:
    """The cached list of one node, used from its start until the registry sends a list."""

    def __init__(
        self,
        stored: Iterable[StoredEndpoint],
        now_ms: float,
        wall_ms: float,
        turnover: Turnover,
        believed_for_ms: float,
        nodes: int,
        probe_rate: float,
        complete: bool,
        seed: int,
    ) -> None:
        """Rates the stored endpoints and schedules their first probes.

        `probe_rate` is how many probes a second all `nodes` together may send to one engine. `complete` says
        whether the store vouches for the list as a whole: if not, none of its endpoints counts as fresh.
        """
        self.endpoints: dict[str, CachedEndpoint] = {}
        self.due_probes: list[DueProbe] = []  # a heap
        self.superseded = False  # the registry has sent a list
        self._random = RandomSource(seed)
        self._probe_period_ms = 1000 * nodes / probe_rate  # in which all nodes probe one engine once
        self._order = count()
        for one in stored:
            limit = 1.0 if complete else FRESH_CONFIDENCE - 1e-6
            rated = confidence(one, wall_ms, turnover, believed_for_ms) * limit
            self.endpoints[one.line.id] = CachedEndpoint(one.line, rated, _initial_status(one.line, rated))
        self._schedule_first_probes(now_ms)

    def initial_update(self) -> CacheUpdate:
        """All endpoints, for the start of the node."""
        return CacheUpdate(list(self.endpoints.values()))

    def request_arrived(self, now_ms: float, roles: dict[str, str]) -> CacheUpdate:
        """Probes one engine of each missing kind at once if no usable engines can serve a request.

        `roles` gives the role of each kind: read, write or both.
        """
        if self.superseded:
            return CacheUpdate()
        usable = {role for kind, role in roles.items() if self.has_usable(kind)}
        if "both" in usable or {"read", "write"} <= usable:
            return CacheUpdate()
        return self.probe_early(now_ms, [kind for kind, role in roles.items() if role not in usable])

    def probe_early(self, now_ms: float, kinds: Iterable[str]) -> CacheUpdate:
        """Brings forward the next probe of an unverified engine of each kind."""
        update = CacheUpdate()
        for kind in kinds:
            probe = min((one for one in self.due_probes if self._is_unverified(one.name, kind)), default=None)
            if probe is not None and probe.at_ms > now_ms:
                self.due_probes.remove(probe)
                heapq.heapify(self.due_probes)
                update.to_probe.append(self.endpoints[probe.name].line)
        return update

    def tick(self, now_ms: float) -> CacheUpdate:
        """The probes that are due."""
        update = CacheUpdate()
        while self.due_probes and self.due_probes[0].at_ms <= now_ms and not self.superseded:
            endpoint = self.endpoints[heapq.heappop(self.due_probes).name]
            if endpoint.status in PROBED:
                update.to_probe.append(endpoint.line)
        return update

    def next_time(self) -> float | None:
        """When `tick` is due."""
        return self.due_probes[0].at_ms if self.due_probes and not self.superseded else None

    def probe_answered(self, name: str, reply: ProbeReply) -> CacheUpdate:
        """Compares an engine's reply with its entry.

        A later start means that the engine is cold; another id or kind that it is another engine.
        """
        update, endpoint = CacheUpdate(), self.endpoints.get(name)
        if endpoint is None or self.superseded or endpoint.status in FINAL:
            return update
        line = endpoint.line
        if reply.id != line.id or reply.kind != line.kind:
            return self._drop(endpoint, f"its address is now {reply.id} of kind {reply.kind}")
        if reply.draining:
            endpoint.status = EndpointStatus.DRAINING
            line.state = "draining"
        else:
            if reply.started > line.started:
                update.notes.append(f"engine {name} has started anew since it was listed")
            line.started = max(line.started, reply.started)
            endpoint.status, endpoint.confidence = EndpointStatus.CONFIRMED, 1.0
            endpoint.failed_probes = 0
        update.changed.append(endpoint)
        return update

    def probe_failed(self, name: str, now_ms: float) -> CacheUpdate:
        """Stops using an engine that did not answer, and probes it again after a pause that grows."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or self.superseded or endpoint.status in FINAL:
            return CacheUpdate()
        was_unverified = endpoint.status is EndpointStatus.UNVERIFIED
        self._distrust(endpoint, now_ms)
        return CacheUpdate([] if was_unverified else [endpoint])

    def attempt_ended(self, name: str, outcome: Outcome, now_ms: float) -> CacheUpdate:
        """What an attempt shows of its engine."""
        if outcome is Outcome.UNREACHABLE:
            return self.unreachable(name, now_ms)
        return self.served(name) if outcome in (Outcome.PREFILLED, Outcome.SERVED) else CacheUpdate()

    def served(self, name: str) -> CacheUpdate:
        """Confirms an endpoint that was used and served an attempt."""
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

        Attempts that were under way at the same time find it unverified already and change nothing.
        """
        endpoint = self.endpoints.get(name)
        if endpoint is None or self.superseded or endpoint.status.listed_state != "ready":
            return CacheUpdate()
        self._distrust(endpoint, now_ms)
        return CacheUpdate([endpoint])

    def accept_list(self, empty: bool) -> bool:
        """Whether a full list of the registry replaces the cached one; nothing cached counts afterwards.

        Failure: a registry that has lost its data sends an empty list, and a fleet that is serving would be
        lost with it. An empty list is therefore refused while any cached endpoint is not contradicted.
        """
        if empty and not self.superseded and self._has_endpoints():
            return False
        self.superseded = True
        return True

    def has_usable(self, kind: str) -> bool:
        """Whether any endpoint of this kind is given to the policy as ready."""
        return any(
            endpoint.line.kind == kind and endpoint.status.listed_state == "ready"
            for endpoint in self.endpoints.values()
        )

    def _has_endpoints(self) -> bool:
        return any(one.status is not EndpointStatus.CONTRADICTED for one in self.endpoints.values())

    def _is_unverified(self, name: str, kind: str) -> bool:
        endpoint = self.endpoints[name]
        return endpoint.line.kind == kind and endpoint.status is EndpointStatus.UNVERIFIED

    def _schedule_first_probes(self, now_ms: float) -> None:
        """Spreads the first probes over one period.

        Where some endpoints are useful, those that hardly are follow in a second period.
        """
        any_useful = any(one.confidence >= MIN_USEFUL_CONFIDENCE for one in self.endpoints.values())
        for endpoint in self.endpoints.values():
            if endpoint.status in PROBED:
                later = any_useful and endpoint.confidence < MIN_USEFUL_CONFIDENCE
                pause_ms = self._probe_period_ms * (self._random.share() + later)
                self._schedule_probe(now_ms + pause_ms, endpoint.line.id)

    def _schedule_probe(self, at_ms: float, name: str) -> None:
        heapq.heappush(self.due_probes, DueProbe(at_ms, next(self._order), name))

    def _distrust(self, endpoint: CachedEndpoint, now_ms: float) -> None:
        endpoint.status, endpoint.confidence = EndpointStatus.UNVERIFIED, 0.0
        self._schedule_retry(endpoint, now_ms)

    def _schedule_retry(self, endpoint: CachedEndpoint, now_ms: float) -> None:
        """Schedules the next probe of an engine that did not answer.

        Any probe of it that is still scheduled is removed first: two in the schedule would each schedule
        another, and the engine would be probed ever more often.
        """
        name = endpoint.line.id
        self.due_probes = [probe for probe in self.due_probes if probe.name != name]
        heapq.heapify(self.due_probes)
        first_pause_ms = max(MIN_RETRY_PAUSE_MS, self._probe_period_ms * RETRY_PAUSE_FRACTION)
        pause_ms = first_pause_ms * 2 ** min(endpoint.failed_probes, MAX_PAUSE_DOUBLINGS)
        endpoint.failed_probes += 1
        self._schedule_probe(now_ms + pause_ms * (0.5 + self._random.share()), name)

    @staticmethod
    def _drop(endpoint: CachedEndpoint, why: str) -> CacheUpdate:
        endpoint.status, endpoint.confidence = EndpointStatus.CONTRADICTED, 0.0
        note = f"engine {endpoint.line.id} is dropped from the remembered list: {why}"
        return CacheUpdate([endpoint], notes=[note])


def _initial_status(line: Line, rated: float) -> EndpointStatus:
    if line.state != "ready":
        return EndpointStatus.DRAINING
    if rated >= FRESH_CONFIDENCE:
        return EndpointStatus.FRESH
    return EndpointStatus.STALE if rated >= STALE_CONFIDENCE else EndpointStatus.UNVERIFIED
