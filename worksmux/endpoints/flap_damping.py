"""Lines of the list that come and go: held back until they stay.  Free of I/O; time is passed in.

The form is that of route flap damping (RFC 2439): each leaving adds to an engine's penalty, which halves in a
set time; above one bound the engine is held back, below a lower one it is let in again.  Holding back only
ever leaves out an engine that the list calls ready, so no rule can be broken by it; it is told as draining,
and what runs there goes on.  Never is more than a part of a kind held back, so that a registry that makes all
lines flap cannot empty the fleet.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log2

HOLD = 3.0  # leavings, less what has faded: above it an engine is held back
REUSE = 1.5  # below it, it is let in again
MOST = 6.0  # a penalty never grows beyond it: two halvings lead back
PART = 0.25  # of a kind's listed engines may be held back


@dataclass(slots=True)
class Record:
    penalty: float
    at: float
    held: bool = False


class Damping:
    """`half_life` in milliseconds: a time in which an engine that restarts once is settled."""

    def __init__(self, half_life: float) -> None:
        self.half_life = half_life
        self.records: dict[str, Record] = {}  # of engines with a penalty worth counting
        self.held = 0

    def _faded(self, record: Record, now: float) -> float:
        return record.penalty * float(0.5 ** ((now - record.at) / self.half_life))

    def left(self, name: str, now: float) -> None:
        """A ready engine has become draining or gone."""
        record = self.records.setdefault(name, Record(0.0, now))
        record.penalty, record.at = min(MOST, self._faded(record, now) + 1.0), now
        if len(self.records) > 64 and len(self.records) > 2 * self.held:
            self._forget(now)

    def _forget(self, now: float) -> None:
        """Guards against growing with every engine that ever left."""
        self.records = {
            name: record
            for name, record in self.records.items()
            if record.held or self._faded(record, now) > 0.1
        }

    def admit(self, name: str, now: float, listed: int, held_of_kind: int) -> bool:
        """Whether an engine that the list calls ready may be used; `listed` counts its kind's ready ones."""
        record = self.records.get(name)
        if record is None:
            return True
        bound = REUSE if record.held else HOLD
        hold = self._faded(record, now) > bound
        if hold and not record.held and held_of_kind + 1 > PART * listed:
            hold = False  # better a flapping engine than too few
        self.held += hold - record.held
        record.held = hold
        return not hold

    def is_held(self, name: str) -> bool:
        record = self.records.get(name)
        return record is not None and record.held

    def release(self, name: str) -> None:
        """The engine is listed as leaving: there is nothing to hold back."""
        record = self.records.get(name)
        if record is not None and record.held:
            record.held = False
            self.held -= 1

    def let_in_at(self, name: str) -> float:
        """When a held engine is let in, if it does not leave again."""
        record = self.records[name]
        return record.at + self.half_life * log2(max(1.0, record.penalty / REUSE)) + 1e-3
