"""Choice of the engine that is most likely to acknowledge a release."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection
from itertools import islice

from ..policy.state import Engine

MAX_CANDIDATES = 512  # examined in one choice


class ReleaseTargets:
    """The engines ordered by their last answer, with those that never answered first.

    Failure: after a network cut among thousands of engines, a search through all of them for each of dozens
    of releases blocks the reactor. The order makes the last few engines good enough candidates.
    """

    def __init__(self, own_zone: int) -> None:
        """`own_zone` is the zone of this node."""
        self._own_zone = own_zone
        self._by_last_answer: OrderedDict[Engine, None] = OrderedDict()  # latest answer last

    def add(self, engine: Engine) -> None:
        """Adds an engine with a new address, which has not answered there yet."""
        self._by_last_answer[engine] = None
        self._by_last_answer.move_to_end(engine, last=False)

    def mark_responsive(self, engine: Engine) -> None:
        """Records an answer of an engine."""
        if engine in self._by_last_answer:
            self._by_last_answer.move_to_end(engine)

    def remove(self, engine: Engine) -> None:
        """Removes an engine."""
        self._by_last_answer.pop(engine, None)

    def choose(self, excluded: Collection[Engine]) -> Engine | None:
        """Returns an engine that is listed and not excluded, None if there is none.

        Preferred are, in this order: a ready engine, one in a zone without excluded engines, one in this
        node's zone, the one that answered last. Failure: a zone is cut off, and all engines that answered
        recently are in it; the preference for another zone finds an engine that can acknowledge.
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
