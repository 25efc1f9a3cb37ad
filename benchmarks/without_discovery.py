"""A front that starts while discovery is dead: `python -m benchmarks.without_discovery`.

Lists of staged ages times turnover (none, a tenth, half, all replaced), six engines, one front, jobs for 3 s:
the time to the first delivered job, the share delivered against a front with live discovery, and sends to
engines that no longer are. Beside two baselines: the list trusted wholly, and no memory at all.  A replaced
engine is one whose address refuses connections; as many new ones run that the list does not know.
"""

from __future__ import annotations

import contextlib
import io
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from worksmux.endpoints.staleness import StoredEndpoint, Turnover
from worksmux.fault_trial.small import SETTINGS, Rig
from worksmux.gateway.endpoint_cache import ListMetadata
from worksmux.net import clock
from worksmux.storage.database import open_store

FLEET = [("prefill", 0), ("decode", 0), ("prefill", 0), ("decode", 0), ("prefill", 0), ("decode", 0)]
AGES = {"1 s": 1e3, "1 min": 6e4, "1 h": 3.6e6, "1 day": 8.64e7, "3 weeks": 1.8e9}
GONE = {"none": [], "a sixth": [1], "half": [0, 1, 3], "all": [0, 1, 2, 3, 4, 5]}


def remember(rig: Rig, path: Path, age: float, gone: list[int]) -> None:
    store, wall = open_store(path), clock.wall()
    lines = {}
    for at, (name, line) in enumerate(rig.registry.engines.items()):
        one = msgspec.structs.replace(line, port=1) if at in gone else line
        lines[name] = msgspec.msgpack.encode(StoredEndpoint(one, wall - age))
    store.replace("lines", lines.items(), wall - age)
    facts = ListMetadata(wall - age, 5, wall - age, Turnover())
    store.replace("facts", [("list", msgspec.msgpack.encode(facts))], wall - age)
    store.close()


def run(age: float, gone: list[int], how: str) -> tuple[float | None, float, int]:
    """The first delivered job's time in ms, the share delivered, and trips that could not reach their
    engine."""
    with tempfile.TemporaryDirectory() as name, contextlib.redirect_stdout(io.StringIO()):
        folder = Path(name)
        text = (
            SETTINGS
            if how in ("live", "refuse")
            else SETTINGS
            + f"""
memory {{
    file "{folder / "memory"}"
    believed-for "1h"
    probe-rate 20
    write-pause "100ms"
}}
"""
        )
        rig = Rig(folder, FLEET, text=text)
        if how != "live":
            remember(rig, folder / "memory", 0.0 if how == "wholly" else age, gone)
            rig.registry.go_offline()
        front = rig.front()
        lost: list[Any] = []
        tell = front.core.on_attempt

        def attempt(engine: Any, outcome: Any) -> None:
            if outcome.value == "unreachable":
                lost.append(engine)
            if tell and how != "wholly":
                tell(engine, outcome)

        front.core.on_attempt = attempt
        if how == "wholly" and front.endpoint_cache and front.endpoint_cache.cached_list:
            front.endpoint_cache.cached_list.due_probes.clear()  # nothing is asked, nothing is dropped
        records = rig.run_clients(length=3000.0, rate=20.0)
        firsts = [float(line["t"]) for line in records.journal_lines if line["what"] == "first token"]
        start = min(float(line["t"]) for line in records.journal_lines if line["what"] == "try")
        done = sum(request["how"] == "delivered" for request in records.requests)
        return (min(firsts) - start if firsts else None), done / max(1, len(records.requests)), len(lost)


def main() -> None:
    live = run(0.0, [], "live")
    print(f"live discovery: first {live[0]:.0f} ms, {live[1]:.2f} delivered")
    refuse = run(0.0, [], "refuse")
    print(f"no memory: {refuse[1]:.2f} delivered")
    for gone_name, gone in GONE.items():
        wholly = run(0.0, gone, "wholly")
        first = "never" if wholly[0] is None else f"{wholly[0]:.0f} ms"
        print(
            f"{gone_name} gone, trusted wholly: first {first}, {wholly[1] / live[1]:.2f} of live, "
            f"{wholly[2]} sends to engines that are no more"
        )
        for name, age in AGES.items():
            found = run(age, gone, "weighed")
            first = "never" if found[0] is None else f"{found[0]:.0f} ms"
            print(
                f"{gone_name} gone, {name:>7} old: first {first}, {found[1] / live[1]:.2f} of live, "
                f"{found[2]} sends to engines that are no more"
            )


if __name__ == "__main__":
    main()
