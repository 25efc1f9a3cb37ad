"""Events for the policy: endpoint lists, requests and how attempts ended.  Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from .state import Attempt, Engine, Outcome, Request

KV_CACHE_LOST = 1  # note of an attempt that ended "full"


@dataclass(slots=True)
class EndpointEntry:
    """One engine of an endpoint list."""

    engine: Engine
    state: str
    started: float
    zone: int
    cell: int
    kind: int
    size: float


@dataclass(slots=True)
class EndpointListUpdate:
    """A list of endpoints was fetched, or changes to it were pushed."""

    scope: str  # "delta", "full", "cached" or "failed"
    entries: list[EndpointEntry]


@dataclass(slots=True)
class RequestArrived:
    """A client sent a request."""

    request: Request


@dataclass(slots=True)
class FirstToken:
    """An attempt brought its first token, `elapsed_ms` after it was sent."""

    attempt: Attempt
    elapsed_ms: float


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended, `elapsed_ms` after it was sent; told once for each StartAttempt."""

    attempt: Attempt
    outcome: Outcome
    elapsed_ms: float
    closed: bool  # the client has its final answer
    note: int = 0  # of a prefill: tokens found cached; of "full": KV_CACHE_LOST
    report: dict[str, float] | None = None

    @property
    def kv_cache_lost(self) -> bool:
        """The decode engine found no KV cache to take; it had capacity."""
        return self.outcome is Outcome.FULL and self.note == KV_CACHE_LOST


@dataclass(slots=True)
class ClientDisconnected:
    """The client wants no answer any more."""

    request: Request


@dataclass(slots=True)
class TimerFired:
    """The timer with this token fired."""

    token: int


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check ended, `elapsed_ms` after it was sent."""

    engine: Engine
    outcome: Outcome
    elapsed_ms: float
    report: dict[str, float] | None = None


@dataclass(slots=True)
class SlotReserved:
    """A decode engine answered whether it holds a slot; the router takes no notice of it."""

    attempt: Attempt
    engine: Engine
    held: bool


@dataclass(slots=True)
class StateRestored:
    """What this node learned before it was restarted, already weighed by age."""

    window_totals: list[tuple[float, float]]  # sum, count: first-token waits, prefill per token, failures
    ejections: list[tuple[Engine, int, float]]  # request class, milliseconds left
    last_successes: list[tuple[Engine, int, float]]  # request class, milliseconds ago
    window_reductions: list[tuple[Engine, float]]  # requests


@dataclass(slots=True)
class FailoverPlan:
    """Where the requests of which zone run, as all nodes have agreed.

    A zone that is not in its own row of `zone_shares` prefills nothing that others can.
    """

    zone_shares: dict[int, list[tuple[int, float]]]  # by home zone: the zones that prefill, and their shares
    shed: dict[int, list[float]]  # by home zone: the share of new requests to reject, by request class
    retry_after_ms: float  # for those; up to twice that is told
    keep_near: bool = False  # no request leaves the zone that prefills it


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
