"""A node that starts while discovery is down: `python -m benchmarks.without_discovery`.

Stored lists have several ages and several shares of replaced engines (none, a sixth, half, all); there are
six engines and one node, with requests for 3 s. Printed are the time to the first served request, the served
share against a node with live discovery, and attempts at engines that no longer exist. The baselines are a
list that is trusted fully, and no stored list at all. A replaced engine is one whose address refuses
connections; as many new ones run that the list does not have.
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
AGES_MS = {"1 s": 1e3, "1 min": 6e4, "1 h": 3.6e6, "1 day": 8.64e7, "3 weeks": 1.8e9}
REPLACED = {"none": [], "a sixth": [1], "half": [0, 1, 3], "all": [0, 1, 2, 3, 4, 5]}


def write_store(rig: Rig, path: Path, age_ms: float, replaced: list[int]) -> None:
    """Writes a stored list of an age, with some engines replaced."""
    store, wall_ms = open_store(path), clock.wall()
    lines = {}
    for index, (name, line) in enumerate(rig.registry.engines.items()):
        listed = msgspec.structs.replace(line, port=1) if index in replaced else line
        lines[name] = msgspec.msgpack.encode(StoredEndpoint(listed, wall_ms - age_ms))
    store.replace("lines", lines.items(), wall_ms - age_ms)
    metadata = ListMetadata(wall_ms - age_ms, 5, wall_ms - age_ms, Turnover())
    store.replace("facts", [("list", msgspec.msgpack.encode(metadata))], wall_ms - age_ms)
    store.close()


def run(age_ms: float, replaced: list[int], trust: str) -> tuple[float | None, float, int]:
    """Returns the time of the first token in ms, the served share, and the number of attempts at unreachable
    engines.
    """
    with tempfile.TemporaryDirectory() as name, contextlib.redirect_stdout(io.StringIO()):
        folder = Path(name)
        text = (
            SETTINGS
            if trust in ("live", "refuse")
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
        if trust != "live":
            write_store(rig, folder / "memory", 0.0 if trust == "fully" else age_ms, replaced)
            rig.registry.go_offline()
        node = rig.front()
        unreachable_engines: list[Any] = []
        on_attempt = node.core.on_attempt

        def record_attempt(engine: Any, outcome: Any) -> None:
            if outcome.value == "unreachable":
                unreachable_engines.append(engine)
            if on_attempt and trust != "fully":
                on_attempt(engine, outcome)

        node.core.on_attempt = record_attempt
        if trust == "fully" and node.endpoint_cache and node.endpoint_cache.cached_list:
            node.endpoint_cache.cached_list.due_probes.clear()  # no engine is probed or removed
        records = rig.run_clients(length=3000.0, rate=20.0)
        first_token_times = [
            float(line["t"]) for line in records.journal_lines if line["what"] == "first token"
        ]
        start = min(float(line["t"]) for line in records.journal_lines if line["what"] == "try")
        served_count = sum(request["how"] == "delivered" for request in records.requests)
        return (
            (min(first_token_times) - start if first_token_times else None),
            served_count / max(1, len(records.requests)),
            len(unreachable_engines),
        )


def main() -> None:
    """Prints the figures for each age and each set of replaced engines."""
    live_result = run(0.0, [], "live")
    print(f"live discovery: first {live_result[0]:.0f} ms, {live_result[1]:.2f} served")
    no_list_result = run(0.0, [], "refuse")
    print(f"no stored list: {no_list_result[1]:.2f} served")
    for replaced_name, replaced in REPLACED.items():
        full_trust_result = run(0.0, replaced, "fully")
        first = "never" if full_trust_result[0] is None else f"{full_trust_result[0]:.0f} ms"
        print(
            f"{replaced_name} replaced, trusted fully: first {first}, "
            f"{full_trust_result[1] / live_result[1]:.2f} of live, "
            f"{full_trust_result[2]} attempts at replaced engines"
        )
        for name, age_ms in AGES_MS.items():
            result = run(age_ms, replaced, "weighed")
            first = "never" if result[0] is None else f"{result[0]:.0f} ms"
            print(
                f"{replaced_name} replaced, {name:>7} old: first {first}, "
                f"{result[1] / live_result[1]:.2f} of live, "
                f"{result[2]} attempts at replaced engines"
            )


if __name__ == "__main__":
    main()
