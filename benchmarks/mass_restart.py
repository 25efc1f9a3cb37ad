"""Hundreds of fronts that restart at once on one old list while discovery is dead, in simulated time:
`python -m benchmarks.mass_restart [FRONTS] [ENGINES]`.

Lists of staged ages times turnover (none, a tenth, half, all replaced); a quarter of the engines that remain
have just restarted and are cold.  The decision modules, the remembered list's trust and the roster are the
running front's own; engines, sockets and clients are the model's.  Beside it, in the same run: fronts with
live discovery, and fronts that trust the list wholly.  Fronts that refuse to serve deliver nothing.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass

from worksmux.api.listing import Line
from worksmux.endpoints.staleness import StoredEndpoint, Turnover
from worksmux.policy.events import EndpointListUpdate
from worksmux.scenarios.scenario import Scenario, read_scenario
from worksmux.settings.document import parse
from worksmux.simulation.day import EPOCH_MS, CachedState, Model

AGES = {"1 s": 1e3, "1 min": 6e4, "1 h": 3.6e6, "1 day": 8.64e7, "3 weeks": 1.8e9}
PARTS = {"none": 0.0, "a tenth": 0.1, "half": 0.5, "all": 1.0}
COLD = 0.25
DAY = """
day "restart" length="{length}ms" settle="10s" seed={seed}
zones "north" "south"
fronts count={fronts}
offering "hint" {{
    promised-time "1500ms"
    outer-limit "5s"
    token-time "60ms"
    most-answer 60
    credit 1
    late-credit 0.1
    effect "redoable"
}}
traffic "hint" share=1 {{
    new-tokens 100 300
    answer-tokens 10 40
}}
kind "prefill" role="read" memory=200000
kind "decode" role="write" memory=200000
machine "prefill" slots=16 line=24 read-speed=20000
machine "decode" slots=32 line=16 step="20ms" per-stream="0.2ms"
{cells}
links near=250000 far=150000 zone-slower=2
cold from=0.3 warm-up="14s"
load jobs-per-second={rate}
clients {{
    retries 0 2
    wait "200ms" "800ms"
}}
registry {{
    late "100ms" "400ms"
}}
rules {{
    answer-slack "8ms"
    drain-grace "250ms"
    release-within "1s"
    cold-share 0.3
    warm-up "14s"
    fall-multiple 3
    fall-time "3s"
}}
limits {{
    trips 5
    hold true
}}
transport {{
    connect-time-out "250ms"
    keep-alive "20s"
    stream-silence "3s"
    call-time-out "250ms"
    body "4MiB"
    head "32KiB"
    reply "1MiB"
    open-jobs 5000
    drain-time "10s"
}}
"""


def day(fronts: int, engines: int, length: float = 10_000.0, load: float = 0.4, seed: int = 1) -> Scenario:
    """Engines in cells of six (two read, four write); `load` is a part of what the readers can read."""
    cells = "".join(
        f'cell "c{at}" zone="{"north" if at % 2 else "south"}" {{\n    engines "prefill" 2\n'
        '    engines "decode" 4\n}\n'
        for at in range(engines // 6)
    )
    rate = load * engines / 3 * 20_000 / 200
    return read_scenario(parse(DAY.format(fronts=fronts, cells=cells, rate=rate, length=length, seed=seed)))


@dataclass
class Found:
    first: float | None  # milliseconds until a first job was delivered
    delivered: int
    stale: int  # sends to engines that are no more
    stale_until: float  # when the last of them went
    peak: float  # the most that reached a cold engine, against what it can stand
    falls: int
    probes: int  # the most at one engine within a second


def play(scenario: Scenario, age: float, part: float, how: str) -> Found:
    """`how` is weighed, wholly or live."""
    lines: list[StoredEndpoint] = []

    def built(model: Model) -> None:
        places = list(scenario.engines)
        gone = round(part * len(places))
        for at, place in enumerate(places):
            old = f"old-{place.id}" if (at * 7) % len(places) < gone else place.id
            saved = Line(old, "", 0, place.kind, "ready", place.zone, place.cell)
            lines.append(StoredEndpoint(saved, EPOCH_MS - age))
            if (at * 11) % len(places) < COLD * len(places):
                model.engines[place.id].started = EPOCH_MS - 500.0
                model.registry.lines[place.id].started = EPOCH_MS - 500.0
        model.registry.is_disconnected = how != "live"
        model.registry.last_connected_at = EPOCH_MS - age

    def remembered(_: int) -> CachedState:
        return CachedState(lines, Turnover(), 3.6e6, 20.0)

    model = Model(
        scenario, journal=False, on_built=built, cached_state=remembered if how == "weighed" else None
    )
    if how == "wholly":
        for at in range(scenario.fronts):
            model.sim.after(150.0, trust_wholly, model, at, lines)
    ends: list[float] = []
    start = EPOCH_MS + 1000.0
    model.clients.on_end = lambda end, now: ends.append(now) if end in ("delivered", "late") else None
    model.run()
    fronts = [front for front in model.gateways if front]
    counts = [engine.counts for engine in model.engines.values()]
    return Found(
        min(ends) - start if ends else None,
        model.clients.totals.ends.get("delivered", 0),
        sum(front.counts.unreachable for front in fronts),
        max(
            [
                0.0,
                *(
                    front.counts.last_unreachable_at - start
                    for front in fronts
                    if front.counts.last_unreachable_at
                ),
            ]
        ),
        max(one.cold_peak for one in counts),
        sum(one.falls for one in counts),
        max(one.max_probes_per_second for one in counts),
    )


def trust_wholly(model: Model, at: int, lines: list[StoredEndpoint]) -> None:
    front = model.gateways[at]
    if front is not None:
        entries = [
            entry
            for saved in lines
            if (
                entry := front.endpoint_list.reader.add_cached(
                    front.sim.now, front.sim.now, saved.line, "ready", as_just_started=False
                )
            )
        ]
        front.add_event(EndpointListUpdate("cached", entries))


def row(name: str, found: Found, live: Found) -> None:
    first = "never" if found.first is None else f"{found.first:.0f} ms"
    print(
        f"{name:32} first {first:>8}, {found.delivered / max(1, live.delivered):.2f} of live; "
        f"{found.stale} sends to what is gone, the last after {found.stale_until / 1000:.1f} s; "
        f"cold peak {found.peak:.2f} of what falls, {found.falls} fell; probes {found.probes}/s",
        flush=True,
    )


def main() -> None:
    fronts, engines = (int(one) for one in [*sys.argv[1:], "200", "60"][:2])
    scenario = day(fronts, engines)
    live = play(scenario, 0.0, 0.0, "live")
    print(f"{fronts} fronts, {engines} engines, {scenario.rate:.0f} jobs a second, 10 s")
    row("live discovery", live, live)
    for part_name, part in PARTS.items():
        row(f"{part_name} gone, trusted wholly", play(scenario, 0.0, part, "wholly"), live)
        for age_name, age in AGES.items():
            row(f"{part_name} gone, {age_name} old", play(scenario, age, part, "weighed"), live)


if __name__ == "__main__":
    main()
