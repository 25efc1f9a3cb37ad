"""The engines of the test rigs: their parameters and their endpoints."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from ..api.listing import Line
from ..fakes.engine import EngineProcess
from ..fakes.generator import Spec

LOOPBACK = "127.0.0.1"
ROLES = {"prefill": "read", "decode": "write"}  # by kind; engines of other kinds are combined
SLOTS = 16  # concurrent requests
MAX_QUEUED = 16  # requests that wait for a slot
MEMORY_TOKENS = 100_000.0
PREFILL_TOKENS_PER_S = 40_000.0
TOKEN_MS = 4.0  # interval between two tokens of one stream
TOKEN_MS_PER_STREAM = 0.1  # added for each concurrent stream
WARM_UP_MS = 4000.0
OVERLOAD_WINDOW_MS = 1000.0


def small_spec(folder: Path, name: str, kind: str, zone: str, cell: int, cold: bool) -> Spec:
    """The parameters of an engine that writes its journal to the folder."""
    return Spec(
        id=name,
        kind=kind,
        role=ROLES.get(kind, "both"),
        zone=zone,
        cell=cell,
        slots=SLOTS,
        line=MAX_QUEUED,
        memory=MEMORY_TOKENS,
        read_speed=PREFILL_TOKENS_PER_S,
        step=TOKEN_MS,
        per_stream=TOKEN_MS_PER_STREAM,
        cold=cold,
        warm_up=WARM_UP_MS,
        fall_time=OVERLOAD_WINDOW_MS,
        journal=str(folder / f"engine-{name}.jsonl"),
    )


def list_entry(engine: EngineProcess, state: Any, started: float) -> Line:
    """The engine's endpoint; `started` is wall-clock milliseconds, 0 for an engine that is warm."""
    spec = engine.spec
    return Line(spec.id, LOOPBACK, engine.port, spec.kind, state, spec.zone, spec.cell, 1.0, started)
