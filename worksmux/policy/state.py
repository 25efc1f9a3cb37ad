"""Requests, attempts and engines as this node sees them.

No decision is taken here.  Times are milliseconds with fractions; objects point to each other, and the ids
they carry are for the adapter alone.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .measure import Ring

ALL_REQUEST_CLASSES = -1  # as a key of `ejected_until`: the engine is ejected for every class
EMPTY_WINDOW = Ring(1.0, 1)  # stands for a ring that the module has yet to make


class Outcome(Enum):
    """How a trip ended."""

    SERVED = "delivered"
    PREFILLED = "read"  # the prompt is read and its state waits; nothing has been answered
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


KNOWN_NOT_EXECUTED = frozenset({Outcome.PREFILLED, Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT})


@dataclass(eq=False, slots=True)
class Engine:
    """A machine that reads, writes or does both, and what this front has seen of it."""

    id: bytes
    key: int  # a number for hashing
    zone: int = 0
    cell: int = 0
    kind: int = 0
    size: float = 1.0
    state: str = "gone"  # ready, draining or gone
    started: float = 0.0  # 0: long ago
    gone_since: float = 0.0  # when it was told gone
    role: str = ""  # read, write or both
    attempts: dict[Attempt, None] = field(default_factory=dict)  # out at this engine
    reserved: dict[Request, None] = field(default_factory=dict)  # being read for this writer
    window_reduction: float = 0.0  # by how many jobs its window is under the even share and margin
    skipped_until: float = 0.0  # answered full lately
    last_turn: float = 0.0  # when it last had its turn
    key_hash: int = 0  # the key, hashed
    role_share: float = 0.0  # of its role's size
    weight: float = 1.0  # among those that read
    credit: float = 0.0  # while it is cold: jobs that it may be sent, as a writer or mixed
    silent_since: float = 0.0  # the first send since its last sign of life; 0: none is awaited
    ejected_until: dict[int, float] = field(default_factory=dict)  # by offering: set aside until then
    last_success: dict[int, float] = field(default_factory=dict)  # by offering: when it last served one
    health_check_pending: bool = False  # silent, and a probe is out
    failures: Ring = EMPTY_WINDOW  # made by the module
    first_token_delays: Ring = EMPTY_WINDOW
    report: dict[str, float] = field(default_factory=dict)
    reported: float = 0.0

    @property
    def unanswered(self) -> list[Attempt]:
        """Trips out here that have brought no first token, the first sent first."""
        return [attempt for attempt in self.attempts if not attempt.first_token_at]


@dataclass(eq=False, slots=True)
class Request:
    """One client's question, to be given exactly one final answer."""

    id: int
    request_class: int
    session: int
    prefix: int  # the beginning it shares with other sessions; 0: none
    prompt: float
    prefix_tokens: float
    max_answer: float
    arrived: float
    deadline: float  # when this try's client leaves
    hint: float = 0.0  # a guess at the answer's tokens; 0: none
    party: int = 0
    repeat: bool = False
    resumed: bool = False
    latency_target_at: float = 0.0  # set by the module
    attempts: list[Attempt] = field(default_factory=list)
    decode_engine: Engine | None = None  # the writer it is paired with
    kv_holder: Engine | None = None  # the reader that holds its state
    kv_held_since: float = 0.0
    random_draw: float = 0.0  # its draw by chance
    checked_engines: dict[Engine, float] = field(default_factory=dict)  # probed before its read, and when
    ended: bool = False
    streaming: bool = False

    @property
    def in_flight(self) -> list[Attempt]:
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    @property
    def possibly_executed(self) -> list[Attempt]:
        """Trips whose outcome does not prove that they had no effect; reading has none."""
        return [
            attempt
            for attempt in self.attempts
            if not attempt.is_prefill and attempt.outcome not in KNOWN_NOT_EXECUTED
        ]


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt at one engine."""

    request: Request
    engine: Engine
    number: int
    sent_at: float
    is_prefill: bool = False  # a trip to a reader: it has no effect, however it ends
    outcome: Outcome | None = None
    first_token_at: float = 0.0
    cancel_requested: bool = False
    prefill_tokens: float = 0.0
