"""What the policy asks for.  Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from .state import Attempt, Engine, Request


@dataclass(slots=True)
class StartAttempt:
    attempt: Attempt
    time_out: float = 0.0  # 0: until the client leaves


@dataclass(slots=True)
class RejectRequest:
    request: Request
    stay_away: float = 0.0
    why: str = ""  # for the log


@dataclass(slots=True)
class AbortRequest:
    request: Request
    why: str = ""  # for the log


@dataclass(slots=True)
class CancelAttempt:
    attempt: Attempt


@dataclass(slots=True)
class SetTimer:
    after: float
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
class SendToPeer:
    peer: int | None  # None: all
    data: bytes


@dataclass(slots=True)
class MigrateRequest:
    request: Request


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
    | SendToPeer
    | MigrateRequest
    | WriteLog
)
