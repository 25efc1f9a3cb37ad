"""What the daemon keeps of one request: its client, its attempts in flight and its final answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from ..net.loop import Timer
from ..policy.state import Attempt, Engine, Request


class FinalAnswer(StrEnum):
    """How a request ended for its client; the values stand in logs and metrics."""

    SERVED = "delivered"
    REJECTED = "deferred"  # not executed; the client may retry
    ABORTED = "broken off"  # possibly executed
    CLIENT_DISCONNECTED = "left"


class Client(Protocol):
    """The client's side of one request, in the form of the daemon's protocol."""

    def is_disconnected(self) -> bool:
        """Whether the client has closed its connection."""

    def send_content(self, content: Any, /) -> None:
        """Sends one piece of the answer."""

    def complete(self, *result: Any) -> None:
        """Ends an answer that is whole; `result` is what the protocol's decode attempt ended with."""

    def reject(self, retry_after_ms: float) -> None:
        """Answers that the request was not executed; 0: no time to wait is named."""

    def abort(self, timed_out: bool) -> None:
        """Answers that the request has possibly been executed, or cuts the stream that has begun."""


class RunningAttempt(Protocol):
    """An attempt in flight."""

    end_reason: str  # for the log

    def cancel(self) -> None:
        """Closes its connection."""

    def withdraw(self) -> None:
        """Ends it only if it has not been sent yet."""


@dataclass(eq=False, slots=True)
class RequestContext:
    """One request from its arrival until it has its final answer and no attempt in flight."""

    request: Request
    client_request: Any  # as parsed by the daemon's protocol
    client: Client
    key: str  # the request's id towards engines
    class_name: str  # its request class
    kv_handle: Any = None  # of the KV cache that its prefill left, where the protocol has handles
    holding_engines: dict[Engine, None] = field(default_factory=dict)  # may hold KV cache or a decode slot
    reserved_engine: Engine | None = None  # holds the decode slot
    in_flight: dict[Attempt, Any] = field(default_factory=dict)  # the protocol's `RunningAttempt` of each
    final_answer: FinalAnswer | None = None
    timed_out: bool = False
    deadline_timer: Timer | None = None
    first_token_at: float = 0.0  # milliseconds of the clock; 0: none yet
    last_cancelled_at: float = 0.0  # when this side last ended one of its attempts
    result: Any = None  # of the attempt that served it
    cached_tokens: int = 0  # prompt tokens whose KV cache its prefills found
    answer_reason: str = ""  # for the log
    attempt_end_reasons: dict[Attempt, str] = field(default_factory=dict)  # for the log

    def stop_deadline_timer(self) -> None:
        """From here on the deadline is no longer this side's to watch."""
        if self.deadline_timer is not None and self.deadline_timer.active():
            self.deadline_timer.cancel()
