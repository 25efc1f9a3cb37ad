"""The plan of one run: nodes, engines, traffic and faults, drawn from a seed.

All times are seconds from the start of the traffic.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from signal import Signals

from . import flood

FIRST_FAULT_S = 1.0
LONG_ABSENCE_S = 17.0  # longer than a policy remembers an engine that is gone
SETTLE_S = 2.5  # without new requests, at the end of a run
MAX_STALL_S = 0.15  # of a node, by SIGSTOP: the standing test allows for that much
FLOOD_S = 4.0
MAX_FLOOD_CLIENTS = 80  # a third of the descriptors of a node
MAX_WAIT_S = 4.3  # that a client waits for its first token


@dataclass(frozen=True)
class Absence:
    """An engine leaves the list and returns: at another address, as a new process, or as it was."""

    at: float
    until: float
    engine: int
    moved: bool
    restarted: bool
    drained_first: bool  # it is listed as draining for a while before it leaves


@dataclass(frozen=True)
class Hang:
    """An engine stands still: it reads and writes nothing."""

    at: float
    until: float
    engine: int


@dataclass(frozen=True)
class Resets:
    """An engine resets all its connections."""

    at: float
    engine: int


@dataclass(frozen=True)
class SilentWatches:
    """The open watches of a node fall silent; new ones work."""

    at: float
    node: int


@dataclass(frozen=True)
class LostWatches:
    """The open watches of a node are reset."""

    at: float
    node: int


@dataclass(frozen=True)
class DiscoveryOutage:
    """All discovery agents are silent and learn nothing."""

    at: float
    until: float


@dataclass(frozen=True)
class Reloads:
    """A node gets a new configuration with another discovery address and SIGHUP, several times in a row."""

    at: float
    node: int
    times: int
    gap: float


@dataclass(frozen=True)
class Termination:
    """A node gets SIGTERM and further signals, SIGKILL at the earliest time, and restarts."""

    at: float
    node: int
    further_signals: tuple[tuple[float, Signals], ...]  # with their times after SIGTERM


@dataclass(frozen=True)
class Kill:
    """A node gets SIGKILL and restarts."""

    at: float
    node: int


@dataclass(frozen=True)
class Stalls:
    """A node is stopped and continued several times."""

    at: float
    node: int
    times: int
    length: float


@dataclass(frozen=True)
class Crowd:
    """Idle connections fill the descriptors of a node; some have sent half a request."""

    at: float
    until: float
    node: int
    connections: int


@dataclass(frozen=True)
class ClosedPort:
    """An engine refuses connections; the open ones go on."""

    at: float
    until: float
    engine: int


@dataclass(frozen=True)
class ClockStep:
    """The wall clock of a node is stepped; its monotonic clock runs on."""

    at: float
    node: int
    seconds: float


@dataclass(frozen=True)
class FailingCalls:
    """A share of a node's system calls on sockets fails with errors that pass."""

    at: float
    until: float
    node: int
    share: float


@dataclass(frozen=True)
class Flood:
    """Bad clients send much at once to a node, in a process of their own; see `flood`."""

    at: float
    node: int
    kind: str
    clients: int


@dataclass(frozen=True)
class SpoiltStreams:
    """Each stream that begins at an engine is noise without an end, in chunks of some bytes."""

    at: float
    until: float
    engine: int
    chunk_bytes: int


Fault = (
    Absence
    | Hang
    | ClosedPort
    | ClockStep
    | FailingCalls
    | Resets
    | SilentWatches
    | LostWatches
    | DiscoveryOutage
    | Reloads
    | Termination
    | Kill
    | Stalls
    | Crowd
    | Flood
    | SpoiltStreams
)


@dataclass(frozen=True)
class Plan:
    """All inputs of one run."""

    seed: int
    seconds: float  # of traffic
    nodes: int
    prefill_engines: int
    decode_engines: int
    requests_per_s: float
    leaving_share: float  # of clients that close their connection before their answer is complete
    faults: list[Fault] = field(default_factory=list)

    @property
    def engines(self) -> int:
        """Returns the number of engines; the prefill engines come first."""
        return self.prefill_engines + self.decode_engines


def draw(seed: int, seconds: float) -> Plan:
    """Returns the plan of a seed, the same in each call."""
    random = Random(seed)
    plan = Plan(
        seed,
        seconds,
        nodes=random.randint(2, 4),
        prefill_engines=random.randint(3, 5),
        decode_engines=random.randint(4, 6),
        requests_per_s=random.uniform(12, 30),
        leaving_share=random.choice([0.0, 0.1, 0.3]),
    )
    generators = [
        _absences,
        _absences,
        _hangs,
        _resets,
        _watches,
        _outage,
        _reloads,
        _terminations,
        _crowd,
        _stalls,
        _closed_ports,
        _clock_steps,
        _failing_calls,
    ]
    chosen = random.sample(generators, random.randint(3, 7))
    if _terminations not in chosen and random.random() < 0.5:
        chosen.append(_terminations)
    for generator in chosen:
        plan.faults.extend(generator(random, plan))
    plan.faults.extend(_floods(Random(f"floods {seed}"), plan))  # drawn apart: the other faults stay the same
    plan.faults.extend(_repeated_floods(Random(f"repeated floods {seed}"), plan))
    return plan


def _start(random: Random, plan: Plan, length: float = 0.0) -> float:
    """Draws the start of a fault that ends within the traffic."""
    return random.uniform(FIRST_FAULT_S, max(FIRST_FAULT_S + 0.1, plan.seconds - length))


def _absences(random: Random, plan: Plan) -> list[Fault]:
    """A fifth to a half of the engines leave together; some return after the policy has forgotten them.

    The first engine of each kind stays.
    """
    may_leave = [engine for engine in range(plan.engines) if engine not in (0, plan.prefill_engines)]
    leaving = random.sample(may_leave, max(1, int(plan.engines * random.uniform(0.2, 0.45))))
    length = random.choice([random.uniform(0.5, 4.0), LONG_ABSENCE_S, LONG_ABSENCE_S])
    at = _start(random, plan, length + 3.0)
    moved, restarted = random.random() < 0.3, random.random() < 0.5
    drained_first = random.random() < 0.4
    return [
        Absence(at, at + length + random.choice([0.0, 0.3]), engine, moved, restarted, drained_first)
        for engine in leaving
    ]


def _hangs(random: Random, plan: Plan) -> list[Fault]:
    """Up to a half of the engines hang together, in the middle of their work."""
    length = random.choice([0.5, 2.0, 3.0, 8.0])
    at = _start(random, plan, length)
    count = random.randint(1, plan.engines // 2)
    return [Hang(at, at + length, engine) for engine in random.sample(range(plan.engines), count)]


def _resets(random: Random, plan: Plan) -> list[Fault]:
    return [Resets(_start(random, plan), random.randrange(plan.engines)) for _ in range(random.randint(1, 5))]


def _watches(random: Random, plan: Plan) -> list[Fault]:
    """The watches of all nodes fall silent or are reset; engines begin to drain right after."""
    at = _start(random, plan, 8.0)
    kind = random.choice([SilentWatches, LostWatches])
    faults: list[Fault] = [kind(at, node) for node in range(plan.nodes)]
    engine = random.randrange(plan.prefill_engines, plan.engines)
    faults.append(Absence(at + 0.2, at + 7.0, engine, False, False, drained_first=True))
    return faults


def _outage(random: Random, plan: Plan) -> list[Fault]:
    length = random.uniform(1.0, 8.0)
    at = _start(random, plan, length)
    return [DiscoveryOutage(at, at + length)]


def _reloads(random: Random, plan: Plan) -> list[Fault]:
    at, times = _start(random, plan, 3.0), random.randint(1, 4)
    return [Reloads(at, node, times, random.uniform(0.05, 1.0)) for node in range(plan.nodes)]


def _terminations(random: Random, plan: Plan) -> list[Fault]:
    """One node after the other is restarted; signals come in series."""
    faults: list[Fault] = []
    at = _start(random, plan, 8.0)
    for node in random.sample(range(plan.nodes), random.randint(1, plan.nodes - 1)):
        if random.random() < 0.2:
            faults.append(Kill(at, node))
        else:
            further = [
                (random.uniform(0.0, 2.5), random.choice([Signals.SIGTERM, Signals.SIGHUP, Signals.SIGINT]))
                for _ in range(random.choice([0, 0, 1, 3]))
            ]
            faults.append(Termination(at, node, tuple(sorted(further))))
        at += random.choice([0.1, 1.0, 6.0])
    return [fault for fault in faults if fault.at < plan.seconds]


def _floods(random: Random, plan: Plan) -> list[Fault]:
    """In half of the plans: much comes at once from clients, from engines, or from both."""
    if random.random() < 0.5:
        return []
    faults: list[Fault] = []
    for _ in range(random.randint(1, 3)):
        at = _start(random, plan, FLOOD_S)
        kinds = random.sample(sorted(flood.REQUESTS), random.randint(1, 2))
        node, clients = random.randrange(plan.nodes), random.choice([20, MAX_FLOOD_CLIENTS])
        faults.extend(Flood(at, node, kind, clients // len(kinds)) for kind in kinds)
    for _ in range(random.randint(0, 2)):
        at = _start(random, plan, FLOOD_S)
        engine = random.randrange(plan.prefill_engines, plan.engines)
        faults.append(
            SpoiltStreams(at, at + random.uniform(0.5, FLOOD_S), engine, random.choice([1, 80, 4096]))
        )
    return faults


def _repeated_floods(random: Random, plan: Plan) -> list[Fault]:
    """In a third of the plans: bad clients send costly requests, again as soon as they are turned away."""
    if random.random() < 2 / 3:
        return []
    at, node = _start(random, plan, FLOOD_S), random.randrange(plan.nodes)
    kind = random.choice(sorted(flood.REPEATED_REQUESTS))
    return [Flood(at, node, kind, MAX_FLOOD_CLIENTS)]


def _crowd(random: Random, plan: Plan) -> list[Fault]:
    length = random.uniform(2.0, 6.0)
    at = _start(random, plan, length)
    node = random.randrange(plan.nodes)
    return [Crowd(at, at + length, node, random.choice([60, 200, 400]))]


def _stalls(random: Random, plan: Plan) -> list[Fault]:
    node, times = random.randrange(plan.nodes), random.choice([1, 5, 20])
    return [Stalls(_start(random, plan), node, times, random.uniform(0.05, MAX_STALL_S))]


def _closed_ports(random: Random, plan: Plan) -> list[Fault]:
    length = random.uniform(0.5, 5.0)
    at = _start(random, plan, length)
    closed = random.sample(range(plan.engines), random.randint(1, plan.engines // 2))
    return [ClosedPort(at, at + length, engine) for engine in closed]


def _clock_steps(random: Random, plan: Plan) -> list[Fault]:
    node = random.randrange(plan.nodes)
    steps = [random.choice([-3600.0, -2.0, 2.0, 3600.0]) for _ in range(random.randint(1, 2))]
    return [ClockStep(_start(random, plan), node, seconds) for seconds in steps]


def _failing_calls(random: Random, plan: Plan) -> list[Fault]:
    length = random.choice([0.05, 0.5, 3.0])
    at = _start(random, plan, length)
    share = random.choice([0.01, 0.1, 0.5])
    return [FailingCalls(at, at + length, node, share) for node in range(plan.nodes)]
