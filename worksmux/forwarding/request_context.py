"""The state of one request: its client, its attempts in flight and its final answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from ..net.loop import Timer
from ..policy.state import Attempt, Engine, Request


class FinalAnswer(StrEnum):
    """How a request ended for its client; logs and metrics contain the values."""

    SERVED = "delivered"
    REJECTED = "deferred"  # not executed; the client may retry
    ABORTED = "broken off"  # possibly executed
    CLIENT_DISCONNECTED = "left"


class Client(Protocol):
    """The client's side of one request, in the form of the daemon's protocol."""

    def is_disconnected(self) -> bool:
        """Whether the client has closed its connection."""

    def send_content(self, content: Any, /) -> None:
        """Sends a piece of the answer."""

    def complete(self, *result: Any) -> None:
        """Ends a complete answer; `result` is the result of the protocol's decode attempt."""

    def reject(self, retry_after_ms: float) -> None:
        """Answers that the request was not executed; with `retry_after_ms` 0 the answer has no retry time."""

    def abort(self, timed_out: bool) -> None:
        """Answers that the request was possibly executed, or truncates a stream that has begun."""


class RunningAttempt(Protocol):
    """An attempt in flight."""

    end_reason: str  # for the log

    def cancel(self, reason: str = "cancelled") -> None:
        """Cancels the attempt by closing its connection; logs `reason`."""

    def withdraw(self) -> None:
        """Ends the attempt only if it has not been sent."""


@dataclass(eq=False, slots=True)
class RequestContext:
    """One request from its arrival until it has its final answer and no attempt in flight."""

    request: Request
    client_request: Any  # as parsed by the daemon's protocol
    client: Client
    key: str  # the request id in calls to engines
    class_name: str  # name of its request class
    kv_handle: Any = None  # handle of the KV cache from its prefill, if the protocol has handles
    holding_engines: dict[Engine, None] = field(default_factory=dict)  # may hold its KV cache or decode slot
    reserved_engine: Engine | None = None  # holds its reserved decode slot
    in_flight: dict[Attempt, Any] = field(default_factory=dict)  # with the protocol's `RunningAttempt`
    final_answer: FinalAnswer | None = None
    timed_out: bool = False
    deadline_timer: Timer | None = None
    first_token_at: float = 0.0  # clock time in ms; 0: none yet
    last_cancelled_at: float = 0.0  # clock time of the last cancelled or timed-out attempt
    result: Any = None  # of the attempt that served the request
    cached_tokens: int = 0  # prompt tokens that its prefills found in KV cache
    answer_reason: str = ""  # for the log
    attempt_end_reasons: dict[Attempt, str] = field(default_factory=dict)  # for the log

    def stop_deadline_timer(self) -> None:
        """Stops the deadline timer, if it runs."""
        if self.deadline_timer is not None and self.deadline_timer.active():
            self.deadline_timer.cancel()
