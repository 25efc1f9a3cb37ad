"""Decode engines in the order of their turns, and the scope within which an attempt must stay."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from itertools import islice
from operator import attrgetter
from typing import NamedTuple

from .state import Engine

MAX_TURN_LOOKS = 128  # engines looked at in one search
RESTART_AFTER_MS = 1_000.0  # since a search in vain: the next one begins with the first engine again


class Scope(NamedTuple):
    """Where a further attempt may go: anywhere, in one zone, or in one cell of it."""

    zone: int | None = None
    cell: int | None = None

    def has(self, engine: Engine) -> bool:
        return (self.zone is None or engine.zone == self.zone) and (
            self.cell is None or engine.cell == self.cell
        )


ANYWHERE = Scope()


class RoundRobin:
    """Engines in the order of their turns, the one that waited longest first."""

    def __init__(self, engines: Iterable[Engine]) -> None:
        self._order = OrderedDict.fromkeys(sorted(engines, key=attrgetter("last_turn")))
        self._start = 0  # where the next search begins, after searches in vain
        self._failed_at = 0.0

    def __contains__(self, engine: Engine) -> bool:
        return engine in self._order

    def record_turn(self, engine: Engine) -> None:
        """The engine comes last from now on."""
        if engine in self._order:
            self._order.move_to_end(engine)

    def first(self, now: float, fits: Callable[[Engine], bool]) -> Engine | None:
        """The first that fits, of MAX_TURN_LOOKS at most; `now` is milliseconds.

        The next search goes on behind them, so that the cost of one does not grow with the fleet.
        """
        if now - self._failed_at > RESTART_AFTER_MS:
            self._start = 0
        for engine in islice(self._order, self._start, self._start + MAX_TURN_LOOKS):
            if fits(engine):
                return engine
        self._failed_at = now
        self._start += MAX_TURN_LOOKS
        if self._start >= len(self._order):
            self._start = 0
        return None
