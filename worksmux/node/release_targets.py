"""Chooses the engine that is most likely to acknowledge a release."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection
from itertools import islice

from ..policy.state import Engine

MAX_CANDIDATES = 512  # that one choice looks at


class ReleaseTargets:
    """The engines, ordered by when they last answered; those that never answered come first.

    Failure: with thousands of engines, a search through all of them for each of dozens of releases blocks the
    reactor, as after a network cut. The order makes the first few candidates good enough.
    """

    def __init__(self, own_zone: int) -> None:
        """`own_zone` is this process's zone."""
        self._own_zone = own_zone
        self._by_last_answer: OrderedDict[Engine, None] = OrderedDict()  # the latest is last

    def add(self, engine: Engine) -> None:
        """Adds an engine with a new address, from which nothing has come yet."""
        self._by_last_answer[engine] = None
        self._by_last_answer.move_to_end(engine, last=False)

    def mark_responsive(self, engine: Engine) -> None:
        """The engine has answered."""
        if engine in self._by_last_answer:
            self._by_last_answer.move_to_end(engine)

    def remove(self, engine: Engine) -> None:
        """The engine is forgotten."""
        self._by_last_answer.pop(engine, None)

    def choose(self, excluded: Collection[Engine]) -> Engine | None:
        """Returns an engine that is listed and not excluded, None where there is none.

        A ready one is preferred, then one of a zone without excluded engines, then one of the own zone, then
        the one that answered last. Failure: a whole zone is cut off and the engines that answered lately all
        lie in it; the preference for another zone finds one that can acknowledge.
        """
        tried_zones = {engine.zone for engine in excluded}
        best_rank = (True, True, self._own_zone not in tried_zones)
        chosen, chosen_rank = None, (False, False, False)
        for engine in islice(reversed(self._by_last_answer), MAX_CANDIDATES + len(excluded)):
            if engine.state == "gone" or engine in excluded:
                continue
            rank = (engine.state == "ready", engine.zone not in tried_zones, engine.zone == self._own_zone)
            if chosen is None or rank > chosen_rank:
                chosen, chosen_rank = engine, rank
            if rank == best_rank:
                break
        return chosen
