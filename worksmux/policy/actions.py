"""Actions that the policy returns from a decision round; the caller carries them out."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .state import Attempt, Engine, Request


class EndReason(StrEnum):
    """Names the rule that ended a request without an answer; its value is written to the log."""

    UNSPECIFIED = ""
    FAILOVER_PLAN_SHED = "failover_plan_shed"
    LATENCY_TARGET_UNREACHABLE = "latency_target_unreachable"
    PREFILL_TOO_LATE = "prefill_too_late"
    RETRY_EXHAUSTED = "retry_exhausted"
    POSSIBLY_EXECUTED = "possibly_executed"


@dataclass(slots=True)
class StartAttempt:
    """Sends the attempt to its engine."""

    attempt: Attempt
    timeout_ms: float = 0.0  # 0: the attempt may take until the request's deadline


@dataclass(slots=True)
class RejectRequest:
    """Answers the client that the request was rejected and may be sent again."""

    request: Request
    retry_after_ms: float = 0.0  # 0: the answer names no time
    reason: EndReason = EndReason.UNSPECIFIED


@dataclass(slots=True)
class AbortRequest:
    """Answers the client that the request failed and was possibly executed."""

    request: Request
    reason: EndReason = EndReason.UNSPECIFIED


@dataclass(slots=True)
class CancelAttempt:
    """Cancels an attempt that has no first token yet."""

    attempt: Attempt


@dataclass(slots=True)
class SetTimer:
    """Starts a timer; its TimerFired event carries the token."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class CheckHealth:
    """Checks the health of an engine; the result arrives as a HealthCheckEnded event."""

    engine: Engine


@dataclass(slots=True)
class ReserveSlot:
    """Reserves a decode slot for a request that is in prefill."""

    request: Request
    engine: Engine


@dataclass(slots=True)
class ReleaseKvCache:
    """Releases all KV cache and reserved decode slots that the request may have."""

    request: Request


@dataclass(slots=True)
class WatchEndpoints:
    """Starts or stops watching the endpoint list."""

    on: bool


@dataclass(slots=True)
class FetchEndpointList:
    """Fetches the endpoint list once."""


@dataclass(slots=True)
class CloseConnections:
    """Closes idle connections to the engine."""

    engine: Engine


@dataclass(slots=True)
class WriteLog:
    """Writes a line to the log."""

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
