"""The file of a load, in KDL.

    load "lab opening" processes=2 seed=1 {
        target "127.0.0.1:8080"
        most-lag "50ms"
    }
    phase length="10s" rate=20 to=100
    phase length="20s" rate=100 burst=4 every="5s" burst-for="500ms"
    offering "hint" share=1 {
        new-tokens 50 200
        answer-tokens 10 60
        patience "4s"
    }

In place of phases: `trace "recorded.parquet" speed=2`, or `closed 20` for as many clients that each wait for
their answer, the baseline that hides stalls.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from ..settings import units
from ..settings.document import Section, SettingsError, load
from .arrivals import Phase
from .worker import RequestClassLoad


@dataclass(frozen=True)
class LoadSettings:
    name: str
    processes: int
    seed: int
    targets: list[tuple[str, int]]
    most_lag: float  # beyond it the run counts for nothing
    time_out: float
    most_open: int  # of each process
    phases: list[Phase]
    request_classes: list[RequestClassLoad]
    trace: str
    speed: float
    closed: int
    length: float


def read_load(root: Section) -> LoadSettings:
    """Raises SettingsError with every complaint at once."""
    node = root.required("load")
    name, processes, seed = (
        node.title(),
        node.integer("processes", 1, min_value=1, max_value=64),
        node.integer("seed", 1),
    )
    targets = []
    for one in node.all("target"):
        try:
            targets.append(units.address(one.args[0] if one.args else None))
        except ValueError as error:
            one.complain(f"target: {error}")
        one.end()
    if not targets:
        node.complain('no target; add one or more, such as target "127.0.0.1:8080"')
    most_lag, time_out = (
        node.duration_ms("most-lag", 50.0, min_value=0.1),
        node.duration_ms("time-out", 60_000.0, min_value=1),
    )
    most_open = node.integer("most-open", 4000, min_value=1)
    closed, length = node.integer("closed", 0), node.duration_ms("length", 0.0)
    node.end()
    phases = []
    for one in root.all("phase"):
        rate = one.number("rate", min_value=0.0)
        phases.append(
            Phase(
                one.duration_ms("length", min_value=1),
                rate,
                one.number("to", rate, min_value=0.0),
                one.number("wave", 0.0, max_value=1.0),
                one.duration_ms("every", 1000.0, min_value=1),
                one.number("burst", 1.0),
                one.duration_ms("burst-for", 0.0),
            )
        )
        one.end()
    trace_node = root.optional("trace")
    trace, speed = "", 1.0
    if trace_node is not None:
        trace, speed = trace_node.title(), trace_node.number("speed", 1.0, min_value=0.001)
        if trace and not Path(trace).is_file():
            trace_node.complain(f'trace "{trace}" cannot be read; record one with worksmux load run --record')
        trace_node.end()
    if (len(phases) > 0) + bool(trace) + bool(closed) != 1:
        root.complain("give phases, or a trace, or closed in load: one of the three")
    if closed and not length:
        node.complain('closed needs a length, such as length="30s"')
    request_classes = []
    for one in root.all("offering"):
        request_classes.append(
            RequestClassLoad(
                one.title(),
                one.number("share", 1.0),
                one.number_range("new-tokens", (50.0, 200.0)),
                one.number_range("answer-tokens", (10.0, 50.0)),
                one.number_range("turns", (1.0, 1.0)),
                one.duration_range("think", (1000.0, 1000.0)),
                one.integer("beginnings", 0),
                one.number("beginning-tokens", 0.0),
                one.integer("retries", 0),
                one.duration_range("wait", (100.0, 500.0)),
                one.duration_ms("patience", 10_000.0, min_value=1),
            )
        )
        one.end()
    if not request_classes:
        root.complain("no offering; add at least one section offering")
    root.end()
    if root.complaints:
        raise SettingsError(root.complaints)
    return LoadSettings(
        name,
        processes,
        seed,
        targets,
        most_lag,
        time_out,
        most_open,
        phases,
        request_classes,
        trace,
        speed,
        closed,
        length or sum(phase.length for phase in phases),
    )


def load_load(path: str | Path) -> LoadSettings:
    return read_load(load(path))
