"""Requests, attempts and engines as this node sees them.

No decision is taken here.  Times are milliseconds with fractions; objects point to each other, and the ids
they carry are for the adapter alone.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .sliding_window import SlidingWindow

READY, DRAINING, GONE = "ready", "draining", "gone"  # states of an engine
ALL_REQUEST_CLASSES = -1  # as a key of `ejected_until`: the engine is ejected for every class
EMPTY_WINDOW = SlidingWindow(1.0, 1)  # until the engine enters the endpoint table


class Outcome(Enum):
    """How an attempt ended."""

    SERVED = "delivered"
    PREFILLED = "read"  # the KV cache waits at the engine; nothing has been answered
    ERROR = "error"
    FULL = "full"  # the engine rejected it
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


KNOWN_NOT_EXECUTED = frozenset({Outcome.PREFILLED, Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT})


@dataclass(eq=False, slots=True)
class Engine:
    """An engine that prefills, decodes or does both, and what this node has seen of it."""

    id: bytes
    key: int  # a number for hashing
    zone: int = 0
    cell: int = 0
    kind: int = 0
    size: float = 1.0
    state: str = GONE  # READY, DRAINING or GONE
    started: float = 0.0  # 0: long ago
    gone_since: float = 0.0
    role: str = ""  # ROLE_PREFILL, ROLE_DECODE or ROLE_COMBINED
    attempts: dict[Attempt, None] = field(default_factory=dict)  # in flight here
    reserved: dict[Request, None] = field(default_factory=dict)  # in prefill, to be decoded here
    window_reduction: float = 0.0  # requests taken off the window since the engine answered "full"
    skipped_until: float = 0.0  # after it answered "full"
    last_turn: float = 0.0  # number of its last turn in the round-robin
    key_hash: int = 0
    role_share: float = 0.0  # of the size of all engines of its role
    weight: float = 1.0  # in the rendezvous hash
    slow_start_credit: float = 0.0  # in slow start: requests that it may be sent, unless it only prefills
    silent_since: float = 0.0  # first send since the last sign of life; 0: no answer is awaited
    ejected_until: dict[int, float] = field(default_factory=dict)  # by request class
    last_success: dict[int, float] = field(default_factory=dict)  # by request class
    health_check_pending: bool = False  # suspected
    failures: SlidingWindow = EMPTY_WINDOW
    first_token_delays: SlidingWindow = EMPTY_WINDOW
    report: dict[str, float] = field(default_factory=dict)  # of its load
    health_check_answered_at: float = 0.0  # when it last answered a health check

    @property
    def unanswered(self) -> list[Attempt]:
        """Attempts in flight here without a first token, the first sent first."""
        return [attempt for attempt in self.attempts if not attempt.first_token_at]


@dataclass(eq=False, slots=True)
class Request:
    """A client's request, to be given exactly one final answer."""

    id: int
    request_class: int
    session: int
    prefix: int  # that it shares with other sessions; 0: none
    prompt_tokens: float  # tokens
    prefix_tokens: float
    max_tokens: float  # tokens
    arrived: float
    deadline: float  # when this try's client disconnects
    hint: float = 0.0  # a guess at the answer's tokens; 0: none
    tenant: int = 0  # tenant
    is_retry: bool = False  # a client's retry
    resumed: bool = False
    latency_target_at: float = 0.0  # set by the router, as are all that follow
    attempts: list[Attempt] = field(default_factory=list)
    decode_engine: Engine | None = None  # where a slot is reserved
    kv_holder: Engine | None = None  # the prefill engine that holds its KV cache
    kv_held_since: float = 0.0
    random_draw: float = 0.0  # from 0 to 1, the same for all decisions on the request
    checked_engines: dict[Engine, float] = field(default_factory=dict)  # before its prefill, and when
    ended: bool = False
    streaming: bool = False  # its first token has come

    @property
    def in_flight(self) -> list[Attempt]:
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    @property
    def possibly_executed(self) -> list[Attempt]:
        """Attempts whose outcome does not prove that they had no side effect; a prefill has none."""
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
    is_prefill: bool = False  # it has no side effect, however it ends
    outcome: Outcome | None = None
    first_token_at: float = 0.0  # 0: none yet
    cancel_requested: bool = False
    prefill_tokens: float = 0.0  # 0 where the KV cache is transferred
