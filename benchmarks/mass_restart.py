"""Mass restart on an old list in simulated time: `python -m benchmarks.mass_restart [NODES] [ENGINES]`.

Hundreds of nodes restart at once while discovery is down. The lists have several ages and several shares of
replaced engines (none, a tenth, half, all). A quarter of the engines that remain have just restarted and are
cold. The policy, the trust in the cached list and the endpoint list are the code of the real gateway;
engines, sockets and clients are the model's. The same run also has nodes with live discovery, and nodes that
trust the list fully. Nodes that refuse to serve would serve nothing.
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

AGES_MS = {"1 s": 1e3, "1 min": 6e4, "1 h": 3.6e6, "1 day": 8.64e7, "3 weeks": 1.8e9}
REPLACED_SHARES = {"none": 0.0, "a tenth": 0.1, "half": 0.5, "all": 1.0}
COLD_SHARE = 0.25
SCENARIO = """
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


def make_scenario(
    gateways: int, engines: int, length: float = 10_000.0, load: float = 0.4, seed: int = 1
) -> Scenario:
    """Returns a scenario with engines in cells of six (two for prefill, four for decode).

    `load` is a share of what the prefill engines can process.
    """
    cells = "".join(
        f'cell "c{index}" zone="{"north" if index % 2 else "south"}" {{\n    engines "prefill" 2\n'
        '    engines "decode" 4\n}\n'
        for index in range(engines // 6)
    )
    rate = load * engines / 3 * 20_000 / 200
    return read_scenario(
        parse(SCENARIO.format(fronts=gateways, cells=cells, rate=rate, length=length, seed=seed))
    )


@dataclass
class Result:
    """Figures of one run."""

    first_served_ms: float | None  # until the first request was served
    served: int
    stale_attempts: int  # attempts at engines that no longer exist
    last_stale_ms: float  # time of the last of them
    cold_peak: float  # highest ratio of arrivals to those that a cold engine can bear
    falls: int  # cold engines that failed under overload
    max_probes_per_second: int  # at one engine


def play(scenario: Scenario, age_ms: float, replaced_share: float, trust: str) -> Result:
    """Runs a scenario with a list of an age and a share of replaced engines; `trust` is weighed, fully or
    live.
    """
    lines: list[StoredEndpoint] = []

    def on_built(model: Model) -> None:
        scenario_engines = list(scenario.engines)
        replaced_count = round(replaced_share * len(scenario_engines))
        for index, scenario_engine in enumerate(scenario_engines):
            listed_id = (
                f"old-{scenario_engine.id}"
                if (index * 7) % len(scenario_engines) < replaced_count
                else scenario_engine.id
            )
            listed = Line(
                listed_id, "", 0, scenario_engine.kind, "ready", scenario_engine.zone, scenario_engine.cell
            )
            lines.append(StoredEndpoint(listed, EPOCH_MS - age_ms))
            if (index * 11) % len(scenario_engines) < COLD_SHARE * len(scenario_engines):
                model.engines[scenario_engine.id].started = EPOCH_MS - 500.0
                model.registry.lines[scenario_engine.id].started = EPOCH_MS - 500.0
        model.registry.is_disconnected = trust != "live"
        model.registry.last_connected_at = EPOCH_MS - age_ms

    def cached_state(_: int) -> CachedState:
        return CachedState(lines, Turnover(), 3.6e6, 20.0)

    model = Model(
        scenario, journal=False, on_built=on_built, cached_state=cached_state if trust == "weighed" else None
    )
    if trust == "fully":
        for index in range(scenario.fronts):
            model.sim.after(150.0, trust_fully, model, index, lines)
    ends: list[float] = []
    start = EPOCH_MS + 1000.0
    model.clients.on_end = lambda end, now: ends.append(now) if end in ("delivered", "late") else None
    model.run()
    gateways = [gateway for gateway in model.gateways if gateway]
    engine_counts = [engine.counts for engine in model.engines.values()]
    return Result(
        min(ends) - start if ends else None,
        model.clients.totals.ends.get("delivered", 0),
        sum(gateway.counts.unreachable for gateway in gateways),
        max(
            [
                0.0,
                *(
                    gateway.counts.last_unreachable_at - start
                    for gateway in gateways
                    if gateway.counts.last_unreachable_at
                ),
            ]
        ),
        max(counts.cold_peak for counts in engine_counts),
        sum(counts.falls for counts in engine_counts),
        max(counts.max_probes_per_second for counts in engine_counts),
    )


def trust_fully(model: Model, index: int, lines: list[StoredEndpoint]) -> None:
    """Gives a gateway all listed engines as ready."""
    gateway = model.gateways[index]
    if gateway is not None:
        entries = [
            entry
            for listed in lines
            if (
                entry := gateway.endpoint_list.reader.add_cached(
                    gateway.sim.now, gateway.sim.now, listed.line, "ready", as_just_started=False
                )
            )
        ]
        gateway.add_event(EndpointListUpdate("cached", entries))


def print_row(name: str, result: Result, live_result: Result) -> None:
    """Prints the figures of one run beside those with live discovery."""
    first = "never" if result.first_served_ms is None else f"{result.first_served_ms:.0f} ms"
    print(
        f"{name:32} first {first:>8}, {result.served / max(1, live_result.served):.2f} of live; "
        f"{result.stale_attempts} attempts at replaced engines, "
        f"the last after {result.last_stale_ms / 1000:.1f} s; "
        f"cold peak {result.cold_peak:.2f} of the limit, {result.falls} failed; "
        f"probes {result.max_probes_per_second}/s",
        flush=True,
    )


def main() -> None:
    """Runs all ages and shares, and prints a row for each."""
    gateways, engines = (int(argument) for argument in [*sys.argv[1:], "200", "60"][:2])
    scenario = make_scenario(gateways, engines)
    live_result = play(scenario, 0.0, 0.0, "live")
    print(f"{gateways} nodes, {engines} engines, {scenario.rate:.0f} requests a second, 10 s")
    print_row("live discovery", live_result, live_result)
    for share_name, replaced_share in REPLACED_SHARES.items():
        print_row(
            f"{share_name} replaced, trusted fully", play(scenario, 0.0, replaced_share, "fully"), live_result
        )
        for age_name, age_ms in AGES_MS.items():
            print_row(
                f"{share_name} replaced, {age_name} old",
                play(scenario, age_ms, replaced_share, "weighed"),
                live_result,
            )


if __name__ == "__main__":
    main()
