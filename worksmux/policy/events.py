"""Events that the policy receives: endpoint lists, requests, results of attempts.  Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from .state import Attempt, Engine, Outcome, Request

KV_CACHE_LOST = 1  # value of `note` where an attempt ended "full"


@dataclass(slots=True)
class EndpointEntry:
    """State of one engine in an endpoint list."""

    engine: Engine
    state: str
    started: float
    zone: int
    cell: int
    kind: int
    size: float


@dataclass(slots=True)
class EndpointListUpdate:
    """An endpoint list was fetched, or changes to it were pushed."""

    scope: str  # "delta", "full", "cached" or "failed"
    entries: list[EndpointEntry]


@dataclass(slots=True)
class RequestArrived:
    """A client sent a request."""

    request: Request


@dataclass(slots=True)
class FirstToken:
    """An attempt returned its first token, `elapsed_ms` after it was sent."""

    attempt: Attempt
    elapsed_ms: float


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended, `elapsed_ms` after it was sent; arrives once for each StartAttempt."""

    attempt: Attempt
    outcome: Outcome
    elapsed_ms: float
    closed: bool  # the client has its final answer
    note: int = 0  # of a prefill: tokens found in the prefix cache; of "full": KV_CACHE_LOST or 0
    report: dict[str, float] | None = None  # the engine's load report

    @property
    def kv_cache_lost(self) -> bool:
        """Whether the decode engine had capacity and rejected the attempt because the KV cache was gone."""
        return self.outcome is Outcome.FULL and self.note == KV_CACHE_LOST


@dataclass(slots=True)
class ClientDisconnected:
    """The client disconnected and no longer waits for an answer."""

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
    report: dict[str, float] | None = None  # the engine's load report


@dataclass(slots=True)
class SlotReserved:
    """A decode engine answered whether it reserved a slot; the router ignores the event."""

    attempt: Attempt
    engine: Engine
    held: bool


@dataclass(slots=True)
class StateRestored:
    """State that this node learned before a restart, already weighted by age."""

    # Sum and count of each window: first-token waits, prefill per token, failures by request class.
    window_totals: list[tuple[float, float]]
    ejections: list[tuple[Engine, int, float]]  # request class, milliseconds that remain
    last_successes: list[tuple[Engine, int, float]]  # request class, milliseconds ago
    window_reductions: list[tuple[Engine, float]]  # requests


@dataclass(slots=True)
class FailoverPlan:
    """Assigns the requests of each home zone to zones, as agreed by all nodes.

    A zone that is missing from its own row of `zone_shares` prefills only what no other zone can.
    """

    zone_shares: dict[int, list[tuple[int, float]]]  # by home zone: the zones that prefill, and their shares
    shed: dict[int, list[float]]  # by home zone: the share of new requests to reject, by request class
    retry_after_ms: float  # for rejected requests; a client is told up to twice this delay
    keep_near: bool = False  # a request stays in the zone that prefills it


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
