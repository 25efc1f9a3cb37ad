"""What the policy is told: the endpoint list, requests, and what became of attempts.  Times: milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from .state import Attempt, Engine, Outcome, Request

KV_CACHE_LOST = 1  # note of an attempt that ended "full"


@dataclass(slots=True)
class EndpointEntry:
    """A line of the list of engines."""

    engine: Engine
    state: str
    started: float
    zone: int
    cell: int
    kind: int
    size: float


@dataclass(slots=True)
class EndpointListUpdate:
    scope: str  # delta, full, cached or failed
    entries: list[EndpointEntry]


@dataclass(slots=True)
class RequestArrived:
    request: Request


@dataclass(slots=True)
class FirstToken:
    attempt: Attempt
    elapsed: float


@dataclass(slots=True)
class AttemptEnded:
    attempt: Attempt
    outcome: Outcome
    elapsed: float
    closed: bool
    note: int = 0
    report: dict[str, float] | None = None

    @property
    def kv_cache_lost(self) -> bool:
        """The decode engine found no KV cache to take; it had capacity."""
        return self.outcome is Outcome.FULL and self.note == KV_CACHE_LOST


@dataclass(slots=True)
class ClientDisconnected:
    request: Request


@dataclass(slots=True)
class TimerFired:
    token: int


@dataclass(slots=True)
class HealthCheckEnded:
    engine: Engine
    outcome: Outcome
    elapsed: float
    report: dict[str, float] | None = None


@dataclass(slots=True)
class SlotReserved:
    attempt: Attempt
    engine: Engine
    held: bool


@dataclass(slots=True)
class StateRestored:
    """What this front saw before it was restarted, weighed by age by who tells it."""

    seen: list[tuple[float, float]]  # sum, count: first tokens' waits, reading a token, fates
    unwell: list[tuple[Engine, int, float]]  # offering, milliseconds left
    good: list[tuple[Engine, int, float]]  # offering, milliseconds ago
    narrowed: list[tuple[Engine, float]]


@dataclass(slots=True)
class FailoverPlan:
    """What the fronts have decided in common.  `rows`: by zone that is not to read all its own jobs, which
    zones do, and what part each; a zone that is not in its own row reads nothing that others can.  `shed`:
    by the zone where they belong and by offering, the part of new jobs that is deferred at once, to come back
    after `stay_away` to twice it.  `near`: jobs go to no zone but the one that reads them."""

    rows: dict[int, list[tuple[int, float]]]
    shed: dict[int, list[float]]
    stay_away: float
    near: bool = False


Event = (
    EndpointListUpdate
    | RequestArrived
    | FirstToken
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | SlotReserved
    | StateRestored
    | FailoverPlan
)
