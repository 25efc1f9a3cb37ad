"""Generates schedules from seeds: fleet sizes, settings, traffic and faults are drawn at random.

The order of the draws is part of the schedule of a seed: stored seeds and tests depend on it.
"""

from __future__ import annotations

from random import Random

import msgspec

from . import schedule as schedules

MAX_START_MS = 7000.0  # requests arrive and faults begin before this


def draw(seed: int, times: int = 1) -> schedules.Schedule:
    """Returns the schedule of a seed, the same in each call.

    The schedule has `times` as many engines as the seed draws; faults are drawn among all of them.
    """
    random = Random(seed)
    zones = random.choice([[], ["a"], ["a", "b"], ["a", "b", "c"]])
    processes = [random.choice(zones or [""]) for _ in range(random.randint(2, 6))]
    engines = _multiplied(_engines(random, zones), times)
    classes = _classes(random)
    behaviour = _behaviour(random)
    requests = _requests(random, len(processes), classes)
    faults = _faults(random, zones, processes, engines)
    return schedules.Schedule(seed, zones, processes, engines, classes, behaviour, requests, faults)


def _engines(random: Random, zones: list[str]) -> list[schedules.EngineSpec]:
    """Draws the engines of each zone, and at times one that is listed later."""

    def draw_engine(role: schedules.Role, zone: str, cell: int) -> schedules.EngineSpec:
        does_prefill = role != "write"
        return schedules.EngineSpec(
            role,
            zone,
            cell,
            slots=random.randint(1, 6) if does_prefill else random.randint(2, 30),
            queue=random.randint(0, 30),
            pace=random.uniform(30, 100),
            base=random.choice([20.0, 60.0, 150.0, 400.0]),
        )

    engines: list[schedules.EngineSpec] = []
    for zone in zones or [""]:
        prefill_engines, decode_engines = random.randint(1, 4), random.randint(1, 4)
        engines += [draw_engine("read", zone, number % 2) for number in range(prefill_engines)]
        engines += [draw_engine("write", zone, number % 2) for number in range(decode_engines)]
        if random.random() < 0.15:
            engines.append(draw_engine("both", zone, 0))
    if random.random() < 0.2:
        unlisted = draw_engine(random.choice(["read", "write"]), random.choice(zones or [""]), 0)
        engines.append(msgspec.structs.replace(unlisted, listed=False))
    if random.random() < 0.1:  # a single prefill engine
        kept = next(number for number, engine in enumerate(engines) if engine.role == "read")
        engines = [engine for number, engine in enumerate(engines) if engine.role != "read" or number == kept]
    return engines


def _multiplied(engines: list[schedules.EngineSpec], times: int) -> list[schedules.EngineSpec]:
    """Returns `times` copies of each engine; each set of copies has cells of its own."""
    cells = 1 + max(engine.cell for engine in engines)
    return [
        msgspec.structs.replace(engine, cell=engine.cell + copy * cells)
        for copy in range(times)
        for engine in engines
    ]


def _classes(random: Random) -> list[schedules.RequestClass]:
    """Draws the request classes."""
    effects: list[schedules.Effect] = random.choice(
        [["free", "single_shot"], ["free"], ["free", "guarded"], ["free", "guarded", "single_shot"]]
    )
    classes = []
    for number, effect in enumerate(effects):
        deadline = random.choice([400.0, 1000.0, 2500.0, 4000.0])
        classes.append(
            schedules.RequestClass(f"c{number}", effect, deadline * random.uniform(0.3, 0.6), deadline)
        )
    return classes


def _behaviour(random: Random) -> schedules.Behaviour:
    """Draws the settings and the behaviour of engines."""
    return schedules.Behaviour(
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


def _requests(
    random: Random, processes: int, classes: list[schedules.RequestClass]
) -> list[schedules.RequestSpec]:
    """Draws the requests, in the order of their arrival."""
    requests = []
    disconnect_share = random.choice([0.0, 0.1, 0.4])  # of clients that disconnect early
    for _ in range(random.randint(10, 50)):
        class_number = random.randrange(len(classes))
        timeout = int(classes[class_number].deadline * random.uniform(0.5, 1.0))
        leaves_at = random.uniform(0, timeout) if random.random() < disconnect_share else None
        prompt = random.choice([200, 1000, 4000, 20_000])
        requests.append(
            schedules.RequestSpec(
                random.uniform(0, MAX_START_MS),
                random.randrange(processes),
                class_number,
                prompt,
                timeout,
                random.randint(1, 6),
                leaves_at,
            )
        )
    return sorted(requests, key=lambda request: request.at)


def _faults(
    random: Random, zones: list[str], processes: list[str], engines: list[schedules.EngineSpec]
) -> list[schedules.Fault]:
    """Draws one to six fault generators, then the faults of each.

    A generator that is listed twice is more likely, and can be drawn twice.
    """
    faults: list[schedules.Fault] = []
    generators = [
        _cut,
        _role_cut,
        _hang,
        _hang,
        _vanish,
        _drain,
        _join,
        _connection_faults,
        _message_faults,
        _message_faults,
        _process_signal,
        _late_process,
        _late_process,
        _discovery_outage,
    ]
    for generator in random.sample(generators, random.randint(1, 6)):
        faults += generator(random, zones, processes, engines)
    return faults


def _names(
    engines: list[schedules.EngineSpec], role: schedules.Role | None = None, zone: str | None = None
) -> list[str]:
    """Returns the host names of all engines, or of those of one role or zone."""
    return [
        f"e{number}"
        for number, engine in enumerate(engines)
        if role in (None, engine.role) and zone in (None, engine.zone)
    ]


def _span(random: Random, min_ms: float, max_ms: float) -> tuple[float, float]:
    """Draws the start and end of a fault that lasts from `min_ms` to `max_ms`."""
    start = random.uniform(300, MAX_START_MS)
    return start, start + random.uniform(min_ms, max_ms)


def _cut(
    random: Random, zones: list[str], processes: list[str], engines: list[schedules.EngineSpec]
) -> list[schedules.Fault]:
    """One zone is cut off; with fewer than two zones, a third of the engines."""
    faults: list[schedules.Fault] = []
    for _ in range(random.randint(1, 2)):
        start, end = _span(random, 300, 5000)
        if len(zones) > 1:
            zone = random.choice(zones)
            inside = _names(engines, zone=zone)
            inside += [f"n{number}" for number, home in enumerate(processes) if home == zone]
        else:
            inside = random.sample(_names(engines), max(1, len(engines) // 3))
        directions = random.choice([(True, True), (True, True), (True, False), (False, True)])
        faults.append(schedules.Cut(start, end, inside, *directions))
    return faults


def _role_cut(
    random: Random, zones: list[str], processes: list[str], engines: list[schedules.EngineSpec]
) -> list[schedules.Fault]:
    """Four in five engines of one role are cut off together, up to three times."""
    names = _names(engines, random.choice(["read", "write"]))
    inside = random.sample(names, max(1, len(names) * 4 // 5))
    return [
        schedules.Cut(start, end, inside)
        for start, end in (_span(random, 300, 2500) for _ in range(random.randint(1, 3)))
    ]


def _hang(
    random: Random, zones: list[str], processes: list[str], engines: list[schedules.EngineSpec]
) -> list[schedules.Fault]:
    """Up to half of the engines hang together."""
    names = random.sample(_names(engines), random.randint(1, max(1, len(engines) // 2)))
    start, end = _span(random, 300, 8000)
    return [schedules.Hang(start, end, name) for name in names]


def _vanish(
    random: Random, zones: list[str], processes: list[str], engines: list[schedules.EngineSpec]
) -> list[schedules.Fault]:
    """The machine of one engine disappears."""
    start, end = _span(random, 500, 5000)
    return [schedules.Vanish(start, end, name) for name in random.sample(_names(engines), 1)]


def _drain(
    random: Random, zones: list[str], processes: list[str], engines: list[schedules.EngineSpec]
) -> list[schedules.Fault]:
    """A quarter of the engines drain, each at its own time."""
    faults: list[schedules.Fault] = []
    for name in random.sample(_names(engines), max(1, len(engines) // 4)):
        start = random.uniform(300, MAX_START_MS)
        gone = start + random.uniform(300, 4000)
        faults.append(schedules.Drain(start, gone, gone + random.uniform(0, 1000), name))
    return faults


def _join(
    random: Random, zones: list[str], processes: list[str], engines: list[schedules.EngineSpec]
) -> list[schedules.Fault]:
    """The engines that are not listed from the start are added to the list."""
    return [
        schedules.Join(random.uniform(300, MAX_START_MS), f"e{number}")
        for number, engine in enumerate(engines)
        if not engine.listed
    ]


def _connection_faults(
    random: Random, zones: list[str], processes: list[str], engines: list[schedules.EngineSpec]
) -> list[schedules.Fault]:
    """New connections to engines fail or are late."""
    start, end = _span(random, 500, 4000)
    return [
        schedules.BadConnections(
            start,
            end,
            *(random.choice([0.0, 0.1, 0.3]) for _ in range(3)),
            delay=random.choice([100.0, 400.0, 1000.0]),
        )
    ]


def _message_faults(
    random: Random, zones: list[str], processes: list[str], engines: list[schedules.EngineSpec]
) -> list[schedules.Fault]:
    """Engines fail on one kind of message; only releases are handled late."""
    start, end = _span(random, 500, 5000)
    message: schedules.Message = random.choice(["read", "write", "release"])
    probabilities = {
        kind: random.choice([0.0, 0.0, 0.1, 0.3])
        for kind in ("lost", "reset", "error", "turned_away", "spoilt", "late")
    }
    if message != "release":
        probabilities["late"] = 0.0
    return [schedules.BadAnswers(start, end, message, delay=random.choice([20.0, 200.0]), **probabilities)]


def _process_signal(
    random: Random, zones: list[str], processes: list[str], engines: list[schedules.EngineSpec]
) -> list[schedules.Fault]:
    """One process is terminated, killed or reloaded."""
    start = random.uniform(300, MAX_START_MS)
    host = f"n{random.randrange(len(processes))}"
    kind = random.choice([schedules.Terminate, schedules.Terminate, schedules.Kill, schedules.Reload])
    return [kind(start, host)]


def _late_process(
    random: Random, zones: list[str], processes: list[str], engines: list[schedules.EngineSpec]
) -> list[schedules.Fault]:
    """A process gets too little CPU time: its event loop is late by 50 to 400 ms, once or repeatedly."""
    host = f"n{random.randrange(len(processes))}"
    start, faults = random.uniform(300, MAX_START_MS), []  # type: float, list[schedules.Fault]
    times, length_ms = random.choice([(1, 400.0), (1, 200.0), (5, 120.0), (20, 120.0)])
    length_ms = random.uniform(50, length_ms)
    for _ in range(times):
        faults.append(schedules.Hang(start, start + length_ms, host))
        start += length_ms + random.choice([0.01, 2.0])
    return faults


def _discovery_outage(
    random: Random, zones: list[str], processes: list[str], engines: list[schedules.EngineSpec]
) -> list[schedules.Fault]:
    """Discovery is silent for a time."""
    start, end = _span(random, 1000, 5000)
    return [schedules.DiscoveryDown(start, end)]
