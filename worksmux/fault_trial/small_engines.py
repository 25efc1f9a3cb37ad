"""The engines of small fleets for tests: one size, and how one is announced in the endpoint list."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from ..api.listing import Line
from ..fakes.engine import EngineProcess
from ..fakes.generator import Spec

LOOPBACK = "127.0.0.1"
ROLES = {"prefill": "read", "decode": "write"}  # by kind; any other kind does both
SLOTS = 16  # requests at once
MAX_QUEUED = 16  # requests that wait for a slot
MEMORY_TOKENS = 100_000.0
PREFILL_TOKENS_PER_S = 40_000.0
TOKEN_MS = 4.0  # between two tokens of a stream
TOKEN_MS_PER_STREAM = 0.1  # added for each stream beside it
WARM_UP_MS = 4000.0
OVERLOAD_WINDOW_MS = 1000.0


def small_spec(folder: Path, name: str, kind: str, zone: str, cell: int, cold: bool) -> Spec:
    """An engine whose journal lies in the folder."""
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
    """The engine's line in the endpoint list; `started` is milliseconds of the wall clock, 0: long ago."""
    spec = engine.spec
    return Line(spec.id, LOOPBACK, engine.port, spec.kind, state, spec.zone, spec.cell, 1.0, started)
