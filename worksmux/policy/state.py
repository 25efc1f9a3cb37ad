"""State of requests, attempts and engines as this node sees them.

No decision is taken here.  Times are milliseconds with fractions.  Objects refer to each other directly, and
their ids are for the callers of the policy.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .sliding_window import SlidingWindow

READY, DRAINING, GONE = "ready", "draining", "gone"  # states of an engine
ALL_REQUEST_CLASSES = -1  # key of `ejected_until` for an ejection from every request class
EMPTY_WINDOW = SlidingWindow(1.0, 1)  # placeholder until the endpoint table lists the engine


class Outcome(Enum):
    """Result of an attempt."""

    SERVED = "delivered"
    PREFILLED = "read"  # the engine holds the KV cache; the client has no token yet
    ERROR = "error"
    FULL = "full"  # the engine rejected the attempt
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


KNOWN_NOT_EXECUTED = frozenset({Outcome.PREFILLED, Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT})


@dataclass(eq=False, slots=True)
class Engine:
    """An engine that prefills, decodes or does both, and what this node has learned about it."""

    id: bytes
    key: int  # number for hashing
    zone: int = 0
    cell: int = 0
    kind: int = 0
    size: float = 1.0
    state: str = GONE  # READY, DRAINING or GONE
    started: float = 0.0  # 0: long ago, so that it is warm
    gone_since: float = 0.0
    role: str = ""  # ROLE_PREFILL, ROLE_DECODE or ROLE_COMBINED
    attempts: dict[Attempt, None] = field(default_factory=dict)  # in flight at this engine
    reserved: dict[Request, None] = field(default_factory=dict)  # in prefill, with a decode slot here
    window_reduction: float = 0.0  # requests by which "full" answers reduced the window
    skipped_until: float = 0.0  # set when it answered "full"
    last_turn: float = 0.0  # number of its last selection in the round-robin
    key_hash: int = 0
    role_share: float = 0.0  # part of the total size of all engines of its role
    weight: float = 1.0  # in rendezvous hashing
    slow_start_credit: float = 0.0  # requests that it may be sent in slow start; unused by prefill engines
    silent_since: float = 0.0  # first attempt since the last sign of life; 0: no answer is awaited
    ejected_until: dict[int, float] = field(default_factory=dict)  # by request class
    last_success: dict[int, float] = field(default_factory=dict)  # by request class
    health_check_pending: bool = False  # the engine is suspected
    failures: SlidingWindow = EMPTY_WINDOW
    first_token_delays: SlidingWindow = EMPTY_WINDOW
    report: dict[str, float] = field(default_factory=dict)  # last load report
    health_check_answered_at: float = 0.0  # when it last answered a health check

    @property
    def unanswered(self) -> list[Attempt]:
        """Attempts in flight at this engine without a first token, in the order they were sent."""
        return [attempt for attempt in self.attempts if not attempt.first_token_at]


@dataclass(eq=False, slots=True)
class Request:
    """A client's request, which gets exactly one final answer."""

    id: int
    request_class: int
    session: int
    prefix: int  # number of the prefix shared with other sessions; 0: none
    prompt_tokens: float
    prefix_tokens: float
    max_tokens: float
    arrived: float
    deadline: float  # when the client disconnects, for this client attempt
    expected_output_tokens: float = 0.0  # an estimate; 0: none
    tenant: int = 0
    is_retry: bool = False  # a retry by the client
    resumed: bool = False
    latency_target_at: float = 0.0  # set by the router, as are all fields below
    attempts: list[Attempt] = field(default_factory=list)
    decode_engine: Engine | None = None  # engine with a reserved decode slot
    kv_holder: Engine | None = None  # prefill engine that holds the KV cache
    kv_held_since: float = 0.0
    random_draw: float = 0.0  # from 0 to 1; the same in all decisions on the request
    checked_engines: dict[Engine, float] = field(default_factory=dict)  # before its prefill, with the time
    ended: bool = False
    streaming: bool = False  # the first token has arrived

    @property
    def in_flight(self) -> list[Attempt]:
        """Attempts that have not ended."""
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    @property
    def possibly_executed(self) -> list[Attempt]:
        """Attempts that may have had a side effect: a prefill has none, and some outcomes rule one out."""
        return [
            attempt
            for attempt in self.attempts
            if not attempt.is_prefill and attempt.outcome not in KNOWN_NOT_EXECUTED
        ]


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a request at one engine."""

    request: Request
    engine: Engine
    number: int
    sent_at: float
    is_prefill: bool = False  # a prefill has no side effect, however it ends
    outcome: Outcome | None = None
    first_token_at: float = 0.0  # 0: none yet
    cancel_requested: bool = False
    prefill_tokens: float = 0.0  # 0 if the KV cache is transferred
