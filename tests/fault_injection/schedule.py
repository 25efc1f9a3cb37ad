"""The schedule of one run: processes, engines, requests and faults, as data that can be stored in a file.

Times are milliseconds from the start of the run.  Hosts are named `n0`, `n1`, ... (processes) and `e0`, `e1`,
... (engines).  Names of fields and types are keys and tags of the stored files.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec

Effect = Literal["free", "guarded", "single_shot"]
Role = Literal["read", "write", "both"]
Message = Literal["read", "write", "release"]


class ScheduleError(Exception):
    """A file or seed is invalid; the message names it, the position and what was expected."""


class RequestClass(msgspec.Struct, frozen=True):
    """A request class: its idempotence, latency target and deadline."""

    name: str
    effect: Effect
    target: float  # latency target of the first token, in milliseconds
    deadline: float


class EngineSpec(msgspec.Struct, frozen=True):
    """An engine: its role, location, capacity and speed."""

    role: Role
    zone: str
    cell: int
    slots: int
    queue: int
    pace: float  # prompt tokens per millisecond
    base: float  # milliseconds of each prefill, or before the first token of a decode
    listed: bool = True  # in the endpoint list from the start; otherwise added later by Join


class RequestSpec(msgspec.Struct, frozen=True):
    """A request of one client."""

    at: float
    process: int
    request_class: int
    prompt: int  # tokens; the body has four bytes for each
    timeout: int  # milliseconds that the client waits, as it states in its request
    session: int
    leaves_at: float | None = None  # milliseconds from its last byte until the client disconnects


class Cut(msgspec.Struct, frozen=True, tag=True):
    """A network partition between `inside` and all other hosts: outwards, inwards, or both."""

    start: float
    end: float
    inside: list[str]
    outwards: bool = True
    inwards: bool = True


class Hang(msgspec.Struct, frozen=True, tag=True):
    """A process hangs; its kernel still accepts connections and bytes."""

    start: float
    end: float
    host: str


class Vanish(msgspec.Struct, frozen=True, tag=True):
    """A machine disappears without closing connections; it returns cold at the same address."""

    start: float
    end: float
    host: str


class Drain(msgspec.Struct, frozen=True, tag=True):
    """An engine is listed as draining, then removed from the list; its machine disappears at `end`."""

    start: float
    gone: float
    end: float
    host: str


class Join(msgspec.Struct, frozen=True, tag=True):
    """An engine is added to the endpoint list."""

    start: float
    host: str


class BadConnections(msgspec.Struct, frozen=True, tag=True):
    """Faults of new connections to engines: some are never established, are refused, or are late.

    `never`, `refused` and `late` are probabilities; a late connection takes up to `delay` longer.
    """

    start: float
    end: float
    never: float
    refused: float
    late: float
    delay: float


class BadAnswers(msgspec.Struct, frozen=True, tag=True):
    """Faults of engines on one kind of message, each with its probability.

    `lost`: no response; `reset`: the connection is reset some time later; `error`: status 500;
    `turned_away`: 503; `spoilt`: invalid bytes in place of the response; `late`: the engine handles the
    message later by up to `delay`.
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
    """A process gets SIGTERM, and SIGKILL after the longest deadline (3 s at most) and 0.7 s."""

    start: float
    host: str


class Kill(msgspec.Struct, frozen=True, tag=True):
    """A process gets SIGKILL."""

    start: float
    host: str


class Reload(msgspec.Struct, frozen=True, tag=True):
    """A process connects to discovery again, as after a reload of its configuration."""

    start: float
    host: str


class DiscoveryDown(msgspec.Struct, frozen=True, tag=True):
    """All discovery agents are silent."""

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
    """Settings of the deployment, and engine behaviour that the protocol leaves open."""

    release_within: float
    connect_timeout: float
    try_limit: int
    may_cancel: bool
    may_probe: bool
    cancel_drops_queued: bool  # the end of a connection removes its attempt from the engine's queue
    closed_reads_leave_state: bool  # a prefill whose connection closed still completes and leaves KV cache
    drops_expired: bool  # an engine rejects attempts that were queued beyond their time limit
    release_ends_reads: bool  # a release also covers the KV cache of a prefill that is still running
    resets_are_lost: bool  # a TCP reset sent into a network partition never arrives


class Schedule(msgspec.Struct, frozen=True):
    """All inputs of one run."""

    seed: int
    zones: list[str]
    processes: list[str]  # the zone of each process
    engines: list[EngineSpec]
    classes: list[RequestClass]
    behaviour: Behaviour
    requests: list[RequestSpec]
    faults: list[Fault]

    @property
    def longest_deadline(self) -> float:
        """Returns the longest deadline of the request classes."""
        return max(request_class.deadline for request_class in self.classes)

    @property
    def end(self) -> float:
        """Returns the time at which all requests and faults are over."""
        ends = [request.at + request.timeout for request in self.requests]
        return max([0.0, *ends, *(getattr(fault, "end", fault.start) for fault in self.faults)])


def load(path: Path) -> Schedule:
    """Reads a schedule file.  Raises ScheduleError."""
    try:
        schedule = msgspec.json.decode(path.read_bytes(), type=Schedule)
    except OSError as error:
        raise ScheduleError(f"{path}: a schedule in JSON was expected: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ScheduleError(f"{path}: a schedule in JSON was expected: {error}") from None
    check(schedule, str(path))
    return schedule


def save(schedule: Schedule, path: Path) -> None:
    """Writes a schedule file."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(schedule), indent=1))


def check(schedule: Schedule, source: str) -> None:
    """Raises ScheduleError where the schedule refers to hosts or classes that it does not define."""
    hosts = {f"n{number}" for number in range(len(schedule.processes))}
    hosts |= {f"e{number}" for number in range(len(schedule.engines))}
    if not (schedule.processes and schedule.engines and schedule.classes):
        raise ScheduleError(f"{source}: at least one process, engine and class was expected")
    for number, request in enumerate(schedule.requests):
        if not (
            0 <= request.process < len(schedule.processes)
            and 0 <= request.request_class < len(schedule.classes)
        ):
            raise ScheduleError(
                f"{source}: requests[{number}]: a process and a class of this schedule were expected"
            )
    for number, fault in enumerate(schedule.faults):
        host_names = [getattr(fault, "host", None) or "n0", *getattr(fault, "inside", [])]
        if unknown := [name for name in host_names if name not in hosts]:
            raise ScheduleError(
                f"{source}: faults[{number}]: a host of this schedule was expected, found {unknown[0]}"
            )
