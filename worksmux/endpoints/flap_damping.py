"""Holds back endpoints that flap, until they are stable. No I/O; time is passed in.

The method is route flap damping (RFC 2439): each departure adds to an engine's penalty, which decays
with a half-life. Above the suppress threshold the engine is held back, below the reuse threshold it is
admitted again. The policy sees a held engine as draining, so that requests running there continue. Only
engines that are listed as ready are held back.

At most a fraction of each kind is held back, so that a registry that makes all endpoints flap cannot take
all engines out of use.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log2

DEPARTURE_PENALTY = 1.0
SUPPRESS_THRESHOLD = 3.0
REUSE_THRESHOLD = 1.5
MAX_PENALTY = 6.0  # two half-lives above the reuse threshold
FORGET_THRESHOLD = 0.1  # records with a penalty below it are deleted
MAX_HELD_FRACTION = 0.25  # of the engines of a kind that are listed as ready
MIN_RECORDS_TO_PRUNE = 64
REUSE_MARGIN_MS = 1e-3  # keeps the penalty below the threshold despite rounding


@dataclass(slots=True)
class PenaltyRecord:
    """The penalty of one engine as of `updated_at_ms`."""

    penalty: float
    updated_at_ms: float
    held: bool = False


class FlapDamping:
    """The penalties of all engines.

    `half_life_ms` is a time in which an engine that restarts once becomes stable.
    """

    def __init__(self, half_life_ms: float) -> None:
        self.half_life_ms = half_life_ms
        self.records: dict[str, PenaltyRecord] = {}
        self.held_count = 0

    def record_departure(self, name: str, now_ms: float) -> None:
        """Adds to the penalty of a ready engine that has become draining or gone."""
        record = self.records.setdefault(name, PenaltyRecord(0.0, now_ms))
        record.penalty = min(MAX_PENALTY, self._decayed(record, now_ms) + DEPARTURE_PENALTY)
        record.updated_at_ms = now_ms
        if len(self.records) > MIN_RECORDS_TO_PRUNE and len(self.records) > 2 * self.held_count:
            self._prune(now_ms)

    def admit(self, name: str, now_ms: float, listed_ready: int, held_of_kind: int) -> bool:
        """Decides whether an engine that is listed as ready may be used.

        `listed_ready` counts the ready engines of its kind, `held_of_kind` those of them that are held back.
        """
        record = self.records.get(name)
        if record is None:
            return True
        threshold = REUSE_THRESHOLD if record.held else SUPPRESS_THRESHOLD
        hold = self._decayed(record, now_ms) > threshold
        if hold and not record.held and held_of_kind + 1 > MAX_HELD_FRACTION * listed_ready:
            hold = False  # a flapping engine is better than too few engines
        self.held_count += hold - record.held
        record.held = hold
        return not hold

    def is_held(self, name: str) -> bool:
        """Reports whether the engine is held back."""
        record = self.records.get(name)
        return record is not None and record.held

    def release(self, name: str) -> None:
        """Stops holding back an engine that is listed as draining or gone; its penalty stays."""
        record = self.records.get(name)
        if record is not None and record.held:
            record.held = False
            self.held_count -= 1

    def reuse_at_ms(self, name: str) -> float:
        """Returns when a held engine is admitted if it does not depart again."""
        record = self.records[name]
        half_lives = log2(max(1.0, record.penalty / REUSE_THRESHOLD))
        return record.updated_at_ms + self.half_life_ms * half_lives + REUSE_MARGIN_MS

    def _decayed(self, record: PenaltyRecord, now_ms: float) -> float:
        half_lives = (now_ms - record.updated_at_ms) / self.half_life_ms
        return record.penalty * float(0.5**half_lives)

    def _prune(self, now_ms: float) -> None:
        """Deletes decayed records, which would otherwise grow with every engine that ever departed."""
        self.records = {
            name: record
            for name, record in self.records.items()
            if record.held or self._decayed(record, now_ms) > FORGET_THRESHOLD
        }
