"""The plan that all fronts act on, and its form in the council's book.  Pure."""

from __future__ import annotations

from math import isfinite

import msgspec

from .tally import MOST_ZONES

LEAST_SHARE = 0.005  # smaller ones are rounded away


class Plan(msgspec.Struct, frozen=True):
    """`rows`: by zone that does not keep all its own jobs, which zones take what part of them; a zone that
    is lost is not in its own row.  `shed`: by zone where jobs belong and by offering, the part of new ones
    that is deferred at once, to come back after `stay_away` milliseconds to twice that."""

    number: int = 0
    rows: dict[str, dict[str, float]] = {}
    shed: dict[str, dict[str, float]] = {}
    stay_away: float = 0.0
    why: str = ""  # in words, for operators
    keep: dict[str, float] = {}  # by zone that is not well: the part that it keeps
    held: dict[str, float] = {}  # by zone: of its jobs, the part that is deferred for being moved
    event: int = 0  # of which this plan is part; who leaves calm begins a new one

    @property
    def calm(self) -> bool:
        return not self.rows and not self.shed

    def sound(self) -> bool:
        def share(value: float) -> bool:
            return isfinite(value) and 0.0 <= value <= 1.0

        return (
            self.number >= 0
            and len(self.rows) <= MOST_ZONES
            and len(self.shed) <= MOST_ZONES
            and all(share(part) for row in self.rows.values() for part in row.values())
            and all(abs(sum(row.values()) - 1.0) < 0.01 for row in self.rows.values())
            and all(share(part) for one in self.shed.values() for part in one.values())
            and all(map(share, (*self.keep.values(), *self.held.values())))
            and isfinite(self.stay_away)
            and self.stay_away >= 0
        )


def encode(plan: Plan) -> bytes:
    return msgspec.msgpack.encode(plan)


def decode(data: bytes) -> Plan:
    """Raises msgspec.DecodeError for what is no plan."""
    plan = msgspec.msgpack.decode(data, type=Plan)
    if not plan.sound():
        raise msgspec.ValidationError("the plan's shares make no sense")
    return plan
