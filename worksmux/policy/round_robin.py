"""Selects decode engines by round-robin, and defines the scope within which an attempt must stay."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from itertools import islice
from operator import attrgetter
from typing import NamedTuple

from .state import Engine

MAX_ENGINES_PER_SEARCH = 128  # engines examined in one search
RESTART_AFTER_MS = 1_000.0  # since a failed search: the next search begins with the first engine again


class Scope(NamedTuple):
    """Limits an attempt to one zone or to one cell of it; without limits it may go anywhere."""

    zone: int | None = None
    cell: int | None = None

    def has(self, engine: Engine) -> bool:
        """Whether the engine is within the scope."""
        return (self.zone is None or engine.zone == self.zone) and (
            self.cell is None or engine.cell == self.cell
        )


ANYWHERE = Scope()


class RoundRobin:
    """Engines in round-robin order, the one chosen longest ago first."""

    def __init__(self, engines: Iterable[Engine]) -> None:
        self._order = OrderedDict.fromkeys(sorted(engines, key=attrgetter("last_turn")))
        self._next_start = 0  # where the next search begins, after failed searches
        self._last_failed_search_at = 0.0

    def __contains__(self, engine: Engine) -> bool:
        return engine in self._order

    def record_turn(self, engine: Engine) -> None:
        """Moves the engine to the end of the order."""
        if engine in self._order:
            self._order.move_to_end(engine)

    def first(self, now: float, fits: Callable[[Engine], bool]) -> Engine | None:
        """Returns the first engine that fits, of at most MAX_ENGINES_PER_SEARCH; `now` is milliseconds.

        After a failed search the next one continues where it ended, so that the cost of one search does not
        grow with the fleet.
        """
        if now - self._last_failed_search_at > RESTART_AFTER_MS:
            self._next_start = 0
        for engine in islice(self._order, self._next_start, self._next_start + MAX_ENGINES_PER_SEARCH):
            if fits(engine):
                return engine
        self._last_failed_search_at = now
        self._next_start += MAX_ENGINES_PER_SEARCH
        if self._next_start >= len(self._order):
            self._next_start = 0
        return None
