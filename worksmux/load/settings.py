"""The settings file of a load, in KDL.

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

Instead of phases: `trace "recorded.parquet" speed=2`, or `closed 20` for a closed loop of 20 clients that
each wait for their answer.  The closed loop is a baseline; it hides stalls.
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
    """The settings of a load."""

    name: str
    processes: int
    seed: int
    targets: list[tuple[str, int]]
    max_lag_ms: float  # a run with more lag is invalid
    timeout_ms: float
    max_open_requests: int  # of each process
    phases: list[Phase]
    request_classes: list[RequestClassLoad]
    trace: str
    speed: float
    closed_loop_clients: int  # 0 for an open loop
    length_ms: float


def read_load(root: Section) -> LoadSettings:
    """Reads the settings; raises SettingsError with all complaints."""
    node = root.required("load")
    name, processes, seed = (
        node.title(),
        node.integer("processes", 1, min_value=1, max_value=64),
        node.integer("seed", 1),
    )
    targets = []
    for target in node.all("target"):
        try:
            targets.append(units.address(target.args[0] if target.args else None))
        except ValueError as error:
            target.complain(f"target: {error}")
        target.end()
    if not targets:
        node.complain('no target; add one or more, such as target "127.0.0.1:8080"')
    max_lag_ms, timeout_ms = (
        node.duration_ms("most-lag", 50.0, min_value=0.1),
        node.duration_ms("time-out", 60_000.0, min_value=1),
    )
    max_open_requests = node.integer("most-open", 4000, min_value=1)
    closed_loop_clients, length_ms = node.integer("closed", 0), node.duration_ms("length", 0.0)
    node.end()
    phases = []
    for phase_node in root.all("phase"):
        rate = phase_node.number("rate", min_value=0.0)
        phases.append(
            Phase(
                phase_node.duration_ms("length", min_value=1),
                rate,
                phase_node.number("to", rate, min_value=0.0),
                phase_node.number("wave", 0.0, max_value=1.0),
                phase_node.duration_ms("every", 1000.0, min_value=1),
                phase_node.number("burst", 1.0),
                phase_node.duration_ms("burst-for", 0.0),
            )
        )
        phase_node.end()
    trace_node = root.optional("trace")
    trace, speed = "", 1.0
    if trace_node is not None:
        trace, speed = trace_node.title(), trace_node.number("speed", 1.0, min_value=0.001)
        if trace and not Path(trace).is_file():
            trace_node.complain(f'trace "{trace}" cannot be read; record one with worksmux load run --record')
        trace_node.end()
    if (len(phases) > 0) + bool(trace) + bool(closed_loop_clients) != 1:
        root.complain("expected phases, or a trace, or closed in load: exactly one of the three")
    if closed_loop_clients and not length_ms:
        node.complain('closed needs a length, such as length="30s"')
    request_classes = []
    for class_node in root.all("offering"):
        request_classes.append(
            RequestClassLoad(
                class_node.title(),
                class_node.number("share", 1.0),
                class_node.number_range("new-tokens", (50.0, 200.0)),
                class_node.number_range("answer-tokens", (10.0, 50.0)),
                class_node.number_range("turns", (1.0, 1.0)),
                class_node.duration_range("think", (1000.0, 1000.0)),
                class_node.integer("beginnings", 0),
                class_node.number("beginning-tokens", 0.0),
                class_node.integer("retries", 0),
                class_node.duration_range("wait", (100.0, 500.0)),
                class_node.duration_ms("patience", 10_000.0, min_value=1),
            )
        )
        class_node.end()
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
        max_lag_ms,
        timeout_ms,
        max_open_requests,
        phases,
        request_classes,
        trace,
        speed,
        closed_loop_clients,
        length_ms or sum(phase.length_ms for phase in phases),
    )


def load_load(path: str | Path) -> LoadSettings:
    """Reads the settings from a file; raises SettingsError with all complaints."""
    return read_load(load(path))
