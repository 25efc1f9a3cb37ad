"""What the decision module is told, what it answers, and the things both speak of.

No decision is taken here.  Times are milliseconds with fractions; objects point to each other, and the ids
they carry are for the door (the adapter) alone.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from .measure import Ring

Settings = dict[str, Any]
UNMADE = Ring(1.0, 1)  # stands for a ring that the module has yet to make


class Outcome(Enum):
    """How a trip ended."""

    DELIVERED = "delivered"
    READ = "read"  # the prompt is read and its state waits; nothing has been answered
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


NEVER_RAN = frozenset({Outcome.READ, Outcome.FULL, Outcome.UNREACHABLE, Outcome.MOOT})


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
    left: float = 0.0  # when it was told gone
    role: str = ""  # read, write or both
    trips: dict[Trip, None] = field(default_factory=dict)  # out at this engine
    paired: dict[Job, None] = field(default_factory=dict)  # being read for this writer
    narrowed: float = 0.0  # by how many jobs its window is under the even share and margin
    skip_until: float = 0.0  # answered full lately
    turn: float = 0.0  # when it last had its turn
    salt: int = 0  # the key, hashed
    part: float = 0.0  # of its role's size
    weight: float = 1.0  # among those that read
    credit: float = 0.0  # while it is cold: jobs that it may be sent, as a writer or mixed
    quiet_since: float = 0.0  # the first send since its last sign of life; 0: none is awaited
    unwell: dict[int, float] = field(default_factory=dict)  # by offering: set aside until then
    good: dict[int, float] = field(default_factory=dict)  # by offering: when it last served one
    suspected: bool = False  # silent, and a probe is out
    faults: Ring = UNMADE  # made by the module
    pace: Ring = UNMADE
    report: dict[str, float] = field(default_factory=dict)
    reported: float = 0.0

    @property
    def unanswered(self) -> list[Trip]:
        """Trips out here that have brought no first token, the first sent first."""
        return [trip for trip in self.trips if not trip.began]


@dataclass(eq=False, slots=True)
class Job:
    """One client's question, to be given exactly one final answer."""

    id: int
    offering: int
    session: int
    prefix: int  # the beginning it shares with other sessions; 0: none
    prompt: float
    prefix_tokens: float
    max_answer: float
    arrived: float
    give_up_at: float  # when this try's client leaves
    hint: float = 0.0  # a guess at the answer's tokens; 0: none
    party: int = 0
    repeat: bool = False
    resumed: bool = False
    promised_at: float = 0.0  # set by the module
    trips: list[Trip] = field(default_factory=list)
    writer: Engine | None = None  # the writer it is paired with
    holder: Engine | None = None  # the reader that holds its state
    held_since: float = 0.0
    luck: float = 0.0  # its draw by chance
    asked: dict[Engine, float] = field(default_factory=dict)  # probed before its read, and when
    ended: bool = False
    began: bool = False

    @property
    def out(self) -> list[Trip]:
        return [trip for trip in self.trips if trip.outcome is None]

    @property
    def may_have_run(self) -> list[Trip]:
        """Trips whose outcome does not prove that they had no effect; reading has none."""
        return [trip for trip in self.trips if not trip.reading and trip.outcome not in NEVER_RAN]


@dataclass(eq=False, slots=True)
class Trip:
    """One attempt at one engine."""

    job: Job
    engine: Engine
    number: int
    sent: float
    reading: bool = False  # a trip to a reader: it has no effect, however it ends
    outcome: Outcome | None = None
    began: float = 0.0
    called_off: bool = False
    work: float = 0.0


@dataclass(slots=True)
class Entry:
    """A line of the list of engines."""

    engine: Engine
    state: str
    started: float
    zone: int
    cell: int
    kind: int
    size: float


# What happened.


@dataclass(slots=True)
class Listed:
    scope: str  # delta, full, cached or failed
    entries: list[Entry]


@dataclass(slots=True)
class Arrived:
    job: Job


@dataclass(slots=True)
class Began:
    trip: Trip
    elapsed: float


@dataclass(slots=True)
class Ended:
    trip: Trip
    outcome: Outcome
    elapsed: float
    closed: bool
    note: int = 0
    report: dict[str, float] | None = None


@dataclass(slots=True)
class Left:
    job: Job


@dataclass(slots=True)
class Rang:
    token: int


@dataclass(slots=True)
class Probed:
    engine: Engine
    outcome: Outcome
    elapsed: float
    report: dict[str, float] | None = None


@dataclass(slots=True)
class Placed:
    trip: Trip
    engine: Engine
    held: bool


@dataclass(slots=True)
class Heard:
    peer: int
    data: bytes


@dataclass(slots=True)
class Recalled:
    """What this front saw before it was restarted, weighed by age by who tells it."""

    seen: list[tuple[float, float]]  # sum, count: first tokens' waits, reading a token, fates
    unwell: list[tuple[Engine, int, float]]  # offering, milliseconds left
    good: list[tuple[Engine, int, float]]  # offering, milliseconds ago
    narrowed: list[tuple[Engine, float]]


@dataclass(slots=True)
class Planned:
    """What the fronts have decided in common.  `rows`: by zone that is not to read all its own jobs, which
    zones do, and what part each; a zone that is not in its own row reads nothing that others can.  `shed`:
    by the zone where they belong and by offering, the part of new jobs that is deferred at once, to come back
    after `stay_away` to twice it.  `near`: jobs go to no zone but the one that reads them."""

    rows: dict[int, list[tuple[int, float]]]
    shed: dict[int, list[float]]
    stay_away: float
    near: bool = False


Event = Listed | Arrived | Began | Ended | Left | Rang | Probed | Placed | Heard | Recalled | Planned


# What is to be done.


@dataclass(slots=True)
class Send:
    trip: Trip
    time_out: float = 0.0  # 0: until the client leaves


@dataclass(slots=True)
class Defer:
    job: Job
    stay_away: float = 0.0
    why: str = ""  # for the log


@dataclass(slots=True)
class BreakOff:
    job: Job
    why: str = ""  # for the log


@dataclass(slots=True)
class Cancel:
    trip: Trip


@dataclass(slots=True)
class Alarm:
    after: float
    token: int


@dataclass(slots=True)
class Probe:
    engine: Engine


@dataclass(slots=True)
class Hold:
    job: Job
    engine: Engine


@dataclass(slots=True)
class Release:
    job: Job


@dataclass(slots=True)
class Watch:
    on: bool


@dataclass(slots=True)
class Fetch:
    pass


@dataclass(slots=True)
class Close:
    engine: Engine


@dataclass(slots=True)
class Tell:
    peer: int | None  # None: all
    data: bytes


@dataclass(slots=True)
class Move:
    job: Job


@dataclass(slots=True)
class Log:
    text: str


Action = (
    Send
    | Defer
    | BreakOff
    | Cancel
    | Alarm
    | Probe
    | Hold
    | Release
    | Watch
    | Fetch
    | Close
    | Tell
    | Move
    | Log
)
