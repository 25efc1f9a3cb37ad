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
    attempt: Attempt
    timeout_ms: float = 0.0  # 0: until the deadline


@dataclass(slots=True)
class RejectRequest:
    request: Request
    retry_after_ms: float = 0.0  # 0: not told
    reason: EndReason = EndReason.UNSPECIFIED


@dataclass(slots=True)
class AbortRequest:
    request: Request
    reason: EndReason = EndReason.UNSPECIFIED


@dataclass(slots=True)
class CancelAttempt:
    attempt: Attempt


@dataclass(slots=True)
class SetTimer:
    delay_ms: float
    token: int


@dataclass(slots=True)
class CheckHealth:
    engine: Engine


@dataclass(slots=True)
class ReserveSlot:
    request: Request
    engine: Engine


@dataclass(slots=True)
class ReleaseKvCache:
    request: Request


@dataclass(slots=True)
class WatchEndpoints:
    on: bool


@dataclass(slots=True)
class FetchEndpointList:
    pass


@dataclass(slots=True)
class CloseConnections:
    engine: Engine


@dataclass(slots=True)
class WriteLog:
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
