"""What the front keeps of one job beside what the module knows: its client, its text, and where its state may
lie."""
from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from .. import interface as i
from ..api.chat import Asked, KvParams, Usage


class Client(Protocol):
    """The client's side of a job."""

    def text(self, content: str) -> None: ...

    def delivered(self, finish: str, usage: Usage) -> None: ...

    def deferred(self, stay_away: float) -> None: ...

    def broken_off(self, timed_out: bool) -> None: ...


@dataclass(eq=False, slots=True)
class Case:
    job: i.Job
    asked: Asked
    client: Client
    key: str                         # the job's name towards engines
    state: KvParams | None = None    # the handle of its read state
    held: dict[i.Engine, None] = field(default_factory=dict)     # where state or a place may lie
    place: i.Engine | None = None
    out: dict[i.Trip, Any] = field(default_factory=dict)         # the carriers of its trips
    answered: str = ""               # delivered, deferred, broken off or left
    timed_out: bool = False
    guard: Any = None
    first_at: float = 0.0
    usage: Usage | None = None
