"""Makes schedules from seeds: sizes, settings, traffic and faults, drawn and combined."""

from __future__ import annotations

from random import Random

import msgspec

from . import schedule as s

LENGTH = 7000.0  # milliseconds in which requests come and faults begin


def draw(seed: int, times: int = 1) -> s.Schedule:
    """The schedule of a seed, the same each time; with `times` as many engines, and faults among them all."""
    random = Random(seed)
    zones = random.choice([[], ["a"], ["a", "b"], ["a", "b", "c"]])
    processes = [random.choice(zones or [""]) for _ in range(random.randint(2, 6))]
    engines = _multiplied(_engines(random, zones), times)
    classes = _classes(random)
    behaviour = _behaviour(random)
    requests = _requests(random, len(processes), classes)
    faults = _faults(random, zones, processes, engines)
    return s.Schedule(seed, zones, processes, engines, classes, behaviour, requests, faults)


def _engines(random: Random, zones: list[str]) -> list[s.EngineSpec]:
    def one(role: s.Role, zone: str, cell: int) -> s.EngineSpec:
        reads = role != "write"
        return s.EngineSpec(
            role,
            zone,
            cell,
            slots=random.randint(1, 6) if reads else random.randint(2, 30),
            queue=random.randint(0, 30),
            pace=random.uniform(30, 100),
            base=random.choice([20.0, 60.0, 150.0, 400.0]),
        )

    engines: list[s.EngineSpec] = []
    for zone in zones or [""]:
        readers, writers = random.randint(1, 4), random.randint(1, 4)
        engines += [one("read", zone, at % 2) for at in range(readers)]
        engines += [one("write", zone, at % 2) for at in range(writers)]
        if random.random() < 0.15:
            engines.append(one("both", zone, 0))
    if random.random() < 0.2:
        newcomer = one(random.choice(["read", "write"]), random.choice(zones or [""]), 0)
        engines.append(msgspec.structs.replace(newcomer, listed=False))
    if random.random() < 0.1:  # one engine alone in a role
        keep = next(at for at, engine in enumerate(engines) if engine.role == "read")
        engines = [engine for at, engine in enumerate(engines) if engine.role != "read" or at == keep]
    return engines


def _multiplied(engines: list[s.EngineSpec], times: int) -> list[s.EngineSpec]:
    """Each engine so many times, each time in a cell of its own."""
    cells = 1 + max(engine.cell for engine in engines)
    return [
        msgspec.structs.replace(engine, cell=engine.cell + copy * cells)
        for copy in range(times)
        for engine in engines
    ]


def _classes(random: Random) -> list[s.RequestClass]:
    effects: list[s.Effect] = random.choice(
        [["free", "single_shot"], ["free"], ["free", "guarded"], ["free", "guarded", "single_shot"]]
    )
    found = []
    for at, effect in enumerate(effects):
        deadline = random.choice([400.0, 1000.0, 2500.0, 4000.0])
        found.append(s.RequestClass(f"c{at}", effect, deadline * random.uniform(0.3, 0.6), deadline))
    return found


def _behaviour(random: Random) -> s.Behaviour:
    return s.Behaviour(
        release_within=random.choice([300.0, 500.0, 500.0, 1000.0]),
        connect_timeout=random.choice([250.0, 250.0, 100.0, 450.0]),
        try_limit=random.choice([5, 5, 3, 8]),
        may_cancel=random.random() < 0.9,
        may_probe=random.random() < 0.8,
        cancel_drops_queued=random.random() < 0.5,
        closed_reads_leave_state=random.random() < 0.5,
        drops_expired=random.random() < 0.5,
        release_ends_reads=random.random() < 0.5,
        resets_are_lost=random.random() < 0.5,
    )


def _requests(random: Random, processes: int, classes: list[s.RequestClass]) -> list[s.RequestSpec]:
    found = []
    early = random.choice([0.0, 0.1, 0.4])  # the part of clients that leave early
    for _ in range(random.randint(10, 50)):
        at = random.randrange(len(classes))
        timeout = int(classes[at].deadline * random.uniform(0.5, 1.0))
        leaves = random.uniform(0, timeout) if random.random() < early else None
        prompt = random.choice([200, 1000, 4000, 20_000])
        found.append(
            s.RequestSpec(
                random.uniform(0, LENGTH),
                random.randrange(processes),
                at,
                prompt,
                timeout,
                random.randint(1, 6),
                leaves,
            )
        )
    return sorted(found, key=lambda request: request.at)


def _faults(
    random: Random, zones: list[str], processes: list[str], engines: list[s.EngineSpec]
) -> list[s.Fault]:
    faults: list[s.Fault] = []
    makers = [
        _cut,
        _silence,
        _hang,
        _hang,
        _vanish,
        _drain,
        _join,
        _connections,
        _answers,
        _answers,
        _end,
        _late_process,
        _late_process,
        _discovery,
    ]
    for maker in random.sample(makers, random.randint(1, 6)):
        faults += maker(random, zones, processes, engines)
    return faults


def _names(engines: list[s.EngineSpec], role: s.Role | None = None, zone: str | None = None) -> list[str]:
    return [
        f"e{at}"
        for at, engine in enumerate(engines)
        if role in (None, engine.role) and zone in (None, engine.zone)
    ]


def _span(random: Random, least: float, most: float) -> tuple[float, float]:
    start = random.uniform(300, LENGTH)
    return start, start + random.uniform(least, most)


def _cut(
    random: Random, zones: list[str], processes: list[str], engines: list[s.EngineSpec]
) -> list[s.Fault]:
    """A zone is cut off, or a part of the engines where there is none."""
    found: list[s.Fault] = []
    for _ in range(random.randint(1, 2)):
        start, end = _span(random, 300, 5000)
        if len(zones) > 1:
            zone = random.choice(zones)
            inside = _names(engines, zone=zone)
            inside += [f"n{at}" for at, home in enumerate(processes) if home == zone]
        else:
            inside = random.sample(_names(engines), max(1, len(engines) // 3))
        ways = random.choice([(True, True), (True, True), (True, False), (False, True)])
        found.append(s.Cut(start, end, inside, *ways))
    return found


def _silence(
    random: Random, zones: list[str], processes: list[str], engines: list[s.EngineSpec]
) -> list[s.Fault]:
    """Four in five engines of one role fall silent together, several times."""
    names = _names(engines, random.choice(["read", "write"]))
    inside = random.sample(names, max(1, len(names) * 4 // 5))
    return [
        s.Cut(start, end, inside)
        for start, end in (_span(random, 300, 2500) for _ in range(random.randint(1, 3)))
    ]


def _hang(
    random: Random, zones: list[str], processes: list[str], engines: list[s.EngineSpec]
) -> list[s.Fault]:
    names = random.sample(_names(engines), random.randint(1, max(1, len(engines) // 2)))
    start, end = _span(random, 300, 8000)
    return [s.Hang(start, end, name) for name in names]


def _vanish(
    random: Random, zones: list[str], processes: list[str], engines: list[s.EngineSpec]
) -> list[s.Fault]:
    start, end = _span(random, 500, 5000)
    return [s.Vanish(start, end, name) for name in random.sample(_names(engines), 1)]


def _drain(
    random: Random, zones: list[str], processes: list[str], engines: list[s.EngineSpec]
) -> list[s.Fault]:
    found: list[s.Fault] = []
    for name in random.sample(_names(engines), max(1, len(engines) // 4)):
        start = random.uniform(300, LENGTH)
        gone = start + random.uniform(300, 4000)
        found.append(s.Drain(start, gone, gone + random.uniform(0, 1000), name))
    return found


def _join(
    random: Random, zones: list[str], processes: list[str], engines: list[s.EngineSpec]
) -> list[s.Fault]:
    """Engines that the list does not name from the start."""
    return [s.Join(random.uniform(300, LENGTH), f"e{at}") for at, one in enumerate(engines) if not one.listed]


def _connections(
    random: Random, zones: list[str], processes: list[str], engines: list[s.EngineSpec]
) -> list[s.Fault]:
    start, end = _span(random, 500, 4000)
    return [
        s.BadConnections(
            start,
            end,
            *(random.choice([0.0, 0.1, 0.3]) for _ in range(3)),
            delay=random.choice([100.0, 400.0, 1000.0]),
        )
    ]


def _answers(
    random: Random, zones: list[str], processes: list[str], engines: list[s.EngineSpec]
) -> list[s.Fault]:
    start, end = _span(random, 500, 5000)
    message: s.Message = random.choice(["read", "write", "release"])
    parts = {
        kind: random.choice([0.0, 0.0, 0.1, 0.3])
        for kind in ("lost", "reset", "error", "turned_away", "spoilt", "late")
    }
    if message != "release":
        parts["late"] = 0.0
    return [s.BadAnswers(start, end, message, delay=random.choice([20.0, 200.0]), **parts)]


def _end(
    random: Random, zones: list[str], processes: list[str], engines: list[s.EngineSpec]
) -> list[s.Fault]:
    start = random.uniform(300, LENGTH)
    host = f"n{random.randrange(len(processes))}"
    kind = random.choice([s.Terminate, s.Terminate, s.Kill, s.Reload])
    return [kind(start, host)]


def _late_process(
    random: Random, zones: list[str], processes: list[str], engines: list[s.EngineSpec]
) -> list[s.Fault]:
    """A process that gets too little of its core: its event loop is late by 50 to 400 ms, once or on end."""
    host = f"n{random.randrange(len(processes))}"
    start, found = random.uniform(300, LENGTH), []  # type: float, list[s.Fault]
    times, length = random.choice([(1, 400.0), (1, 200.0), (5, 120.0), (20, 120.0)])
    length = random.uniform(50, length)
    for _ in range(times):
        found.append(s.Hang(start, start + length, host))
        start += length + random.choice([0.01, 2.0])
    return found


def _discovery(
    random: Random, zones: list[str], processes: list[str], engines: list[s.EngineSpec]
) -> list[s.Fault]:
    start, end = _span(random, 1000, 5000)
    return [s.DiscoveryDown(start, end)]
