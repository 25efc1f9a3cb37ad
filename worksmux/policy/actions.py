"""Actions that the policy asks for."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .state import Attempt, Engine, Request


class EndReason(StrEnum):
    """The rule that ended a request without an answer; the value is what the log shows."""

    UNSPECIFIED = ""
    FAILOVER_PLAN_SHED = "failover_plan_shed"
    LATENCY_TARGET_UNREACHABLE = "latency_target_unreachable"
    PREFILL_TOO_LATE = "prefill_too_late"
    RETRY_EXHAUSTED = "retry_exhausted"
    POSSIBLY_EXECUTED = "possibly_executed"


@dataclass(slots=True)
class StartAttempt:
    """Send the attempt to its engine."""

    attempt: Attempt
    timeout_ms: float = 0.0  # 0: until the deadline


@dataclass(slots=True)
class RejectRequest:
    """Answer that the client may send the request again."""

    request: Request
    retry_after_ms: float = 0.0  # 0: not told
    reason: EndReason = EndReason.UNSPECIFIED


@dataclass(slots=True)
class AbortRequest:
    """Answer that the request failed and was possibly executed."""

    request: Request
    reason: EndReason = EndReason.UNSPECIFIED


@dataclass(slots=True)
class CancelAttempt:
    """Withdraw an attempt that has no first token yet."""

    attempt: Attempt


@dataclass(slots=True)
class SetTimer:
    """Tell a TimerFired with the token after the delay."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class CheckHealth:
    """Check the health of an engine; ends in a HealthCheckEnded."""

    engine: Engine


@dataclass(slots=True)
class ReserveSlot:
    """Reserve a decode slot for a request in prefill."""

    request: Request
    engine: Engine


@dataclass(slots=True)
class ReleaseKvCache:
    """Release all KV cache and reserved slots that the request may have."""

    request: Request


@dataclass(slots=True)
class WatchEndpoints:
    """Start or stop watching the endpoint list."""

    on: bool


@dataclass(slots=True)
class FetchEndpointList:
    """Fetch the endpoint list once."""


@dataclass(slots=True)
class CloseConnections:
    """Close idle connections to the engine."""

    engine: Engine


@dataclass(slots=True)
class WriteLog:
    """Write a line to the log."""

    text: str


Action = (
    StartAttempt
    | RejectRequest
    | AbortRequest
    | CancelAttempt
    | SetTimer
    | CheckHealth
    | ReserveSlot
    | ReleaseKvCache
    | WatchEndpoints
    | FetchEndpointList
    | CloseConnections
    | WriteLog
)
