"""What the front keeps of one job beside what the module knows: its client, its text, and where its state may
lie."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from ..policy.state import Attempt, Engine, Request


class Client(Protocol):
    """The client's side of a job; what its text and its end are made of is the protocol's."""

    def gone(self) -> bool: ...

    def text(self, content: Any, /) -> None: ...

    def delivered(self, *result: Any) -> None: ...

    def deferred(self, stay_away: float) -> None: ...

    def broken_off(self, timed_out: bool) -> None: ...


class Carrying(Protocol):
    """A trip that is out."""

    why: str

    def cancel(self) -> None: ...

    def withdraw(self) -> None: ...


@dataclass(eq=False, slots=True)
class Case:
    request: Request
    asked: Any  # what the client asks for, in its protocol's form
    client: Client
    key: str  # the job's name towards engines
    name: str  # of its offering
    state: Any = None  # the handle of its read state, where the protocol has one
    held: dict[Engine, None] = field(default_factory=dict)  # where state or a place may lie
    place: Engine | None = None
    out: dict[Attempt, Any] = field(default_factory=dict)  # the carriers of its trips
    answered: str = ""  # delivered, deferred, broken off or left
    timed_out: bool = False
    guard: Any = None
    first_at: float = 0.0
    called_off: float = 0.0  # when this front last ended one of its trips
    result: Any = None  # of the trip that delivered
    kept: int = 0  # prompt tokens that its reads found kept
    why: str = ""  # the reason of its answer, for the log
    reasons: dict[Attempt, str] = field(default_factory=dict)  # of its attempts' ends, for the log
