"""What happens in one run: processes, engines, requests and faults, as data that can be kept in a file.

Times are milliseconds from the start of the run.  Names of hosts: processes `n0`, `n1`, ..., engines `e0`,
`e1`, ...
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec

Effect = Literal["free", "guarded", "single_shot"]
Role = Literal["read", "write", "both"]
Message = Literal["read", "write", "release"]


class BadSchedule(Exception):
    """A file or seed that makes no sense: which, where, and what was expected."""


class RequestClass(msgspec.Struct, frozen=True):
    name: str
    effect: Effect
    target: float  # latency target of the first token
    deadline: float


class EngineSpec(msgspec.Struct, frozen=True):
    role: Role
    zone: str
    cell: int
    slots: int
    queue: int
    pace: float  # prompt tokens a millisecond
    base: float  # milliseconds of any read, or before a first token
    listed: bool = True  # from the start; else it joins the list later


class RequestSpec(msgspec.Struct, frozen=True):
    at: float
    process: int
    request_class: int
    prompt: int  # tokens; the body has four bytes for each
    timeout: int  # what the client says it waits
    session: int
    leaves_at: float | None = None  # after its last byte: the client closes its connection


class Cut(msgspec.Struct, frozen=True, tag=True):
    """Nothing gets across between `inside` and all others: out of it, into it, or both."""

    start: float
    end: float
    inside: list[str]
    outwards: bool = True
    inwards: bool = True


class Hang(msgspec.Struct, frozen=True, tag=True):
    """A process stands still; its machine goes on accepting connections and bytes."""

    start: float
    end: float
    host: str


class Vanish(msgspec.Struct, frozen=True, tag=True):
    """A machine is gone at once, and comes back cold at the same address."""

    start: float
    end: float
    host: str


class Drain(msgspec.Struct, frozen=True, tag=True):
    """An engine is told draining, then gone; it runs until `end`, when its machine goes away."""

    start: float
    gone: float
    end: float
    host: str


class Join(msgspec.Struct, frozen=True, tag=True):
    start: float
    host: str


class BadConnections(msgspec.Struct, frozen=True, tag=True):
    """New connections to engines: a part never comes up, is refused, or comes up late."""

    start: float
    end: float
    never: float
    refused: float
    late: float
    delay: float


class BadAnswers(msgspec.Struct, frozen=True, tag=True):
    """What becomes of a part of one kind of message at the engines.

    `lost`: no answer; `reset`: the connection breaks some time later; `error`: status 500; `turned_away`:
    503; `spoilt`: noise in place of the answer; `late`: it is heard later by up to `delay`.
    """

    start: float
    end: float
    message: Message
    lost: float = 0.0
    reset: float = 0.0
    error: float = 0.0
    turned_away: float = 0.0
    spoilt: float = 0.0
    late: float = 0.0
    delay: float = 0.0


class Terminate(msgspec.Struct, frozen=True, tag=True):
    """SIGTERM; SIGKILL follows after the longest deadline and 0.7 s."""

    start: float
    host: str


class Kill(msgspec.Struct, frozen=True, tag=True):
    start: float
    host: str


class Reload(msgspec.Struct, frozen=True, tag=True):
    start: float
    host: str


class DiscoveryDown(msgspec.Struct, frozen=True, tag=True):
    start: float
    end: float


Fault = (
    Cut
    | Hang
    | Vanish
    | Drain
    | Join
    | BadConnections
    | BadAnswers
    | Terminate
    | Kill
    | Reload
    | DiscoveryDown
)


class Behaviour(msgspec.Struct, frozen=True):
    """What the protocol's page leaves open, or a deployment may choose."""

    release_within: float
    connect_timeout: float
    try_limit: int
    may_cancel: bool
    may_probe: bool
    cancel_drops_queued: bool  # work that waits at an engine ends with its connection
    closed_reads_leave_state: (
        bool  # a read goes on to its end, and leaves state, though its connection closed
    )
    drops_expired: bool  # an engine turns away what waited past the time it was told
    release_ends_reads: bool  # a release takes also what a read that is out will bring
    resets_are_lost: bool  # a reset sent into a cut never arrives


class Schedule(msgspec.Struct, frozen=True):
    seed: int
    zones: list[str]
    processes: list[str]  # the zone of each
    engines: list[EngineSpec]
    classes: list[RequestClass]
    behaviour: Behaviour
    requests: list[RequestSpec]
    faults: list[Fault]

    @property
    def longest_deadline(self) -> float:
        return max(one.deadline for one in self.classes)

    @property
    def end(self) -> float:
        """When all requests and faults are over."""
        ends = [request.at + request.timeout for request in self.requests]
        return max([0.0, *ends, *(getattr(fault, "end", fault.start) for fault in self.faults)])


def load(path: Path) -> Schedule:
    """Raises BadSchedule."""
    try:
        schedule = msgspec.json.decode(path.read_bytes(), type=Schedule)
    except OSError as fault:
        raise BadSchedule(f"{path}: a schedule in JSON was expected: {fault.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        raise BadSchedule(f"{path}: a schedule in JSON was expected: {fault}") from None
    check(schedule, str(path))
    return schedule


def save(schedule: Schedule, path: Path) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(schedule), indent=1))


def check(schedule: Schedule, place: str) -> None:
    """Raises BadSchedule where names or numbers point nowhere."""
    hosts = {f"n{at}" for at in range(len(schedule.processes))}
    hosts |= {f"e{at}" for at in range(len(schedule.engines))}
    if not (schedule.processes and schedule.engines and schedule.classes):
        raise BadSchedule(f"{place}: at least one process, engine and class was expected")
    for at, request in enumerate(schedule.requests):
        if not (
            0 <= request.process < len(schedule.processes)
            and 0 <= request.request_class < len(schedule.classes)
        ):
            raise BadSchedule(
                f"{place}: requests[{at}]: a process and a class of this schedule were expected"
            )
    for at, fault in enumerate(schedule.faults):
        named = [getattr(fault, "host", None) or "n0", *getattr(fault, "inside", [])]
        if unknown := [name for name in named if name not in hosts]:
            raise BadSchedule(
                f"{place}: faults[{at}]: a host of this schedule was expected, not {unknown[0]}"
            )
