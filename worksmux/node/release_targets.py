"""Which engine is likely to hear a release: found without a look at all engines."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection
from itertools import islice

from ..policy.state import Engine

MOST_LOOKS = 512  # at engines, for one that is likely to hear


class Contacts:
    """The engines in the order in which they were last heard, those never heard by when they were listed.

    Guards against releases that look through thousands of engines at each step: dozens of them at once, as
    after a cut, kept the process from everything else.
    """

    def __init__(self, here: int) -> None:
        """`here` is the process's own zone."""
        self._here = here
        self._order: OrderedDict[Engine, None] = OrderedDict()  # the one heard last is the last

    def listed(self, engine: Engine) -> None:
        """It has an address, or a new one, where it was never heard."""
        self._order[engine] = None
        self._order.move_to_end(engine, last=False)

    def heard(self, engine: Engine) -> None:
        if engine in self._order:
            self._order.move_to_end(engine)

    def forget(self, engine: Engine) -> None:
        self._order.pop(engine, None)

    def other(self, known: Collection[Engine]) -> Engine | None:
        """An engine that is listed and not among those known: a ready one first, then of a zone that was not
        asked, the process's own first, the one heard last.  Guards against a zone that is cut off: all that
        were heard lately may lie on the other side."""
        asked = {engine.zone for engine in known}
        best = (True, True, self._here not in asked)
        found, found_rank = None, (False, False, False)
        for engine in islice(reversed(self._order), MOST_LOOKS + len(known)):
            if engine.state == "gone" or engine in known:
                continue
            rank = (engine.state == "ready", engine.zone not in asked, engine.zone == self._here)
            if found is None or rank > found_rank:
                found, found_rank = engine, rank
            if rank == best:
                break
        return found
