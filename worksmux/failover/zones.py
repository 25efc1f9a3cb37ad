"""How each zone is, from what all fronts report: well, grey, lost, or coming back.  Pure.

A zone is lost at once when most of those that spoke say so, grey when they say so twice, and back by steps:
first a trial, then as fast as its engines warm up.  Each relapse doubles the time it has to be well first.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .tally import Tally, ZoneTally

MOST = 0.5  # of the votes that count
SURE = 2  # looks in a row, before a zone counts as grey
GONE = 0.3  # of the size that it had: with less listed as ready a zone counts as lost
DOWN = 0.5  # of what it kept, at each look at a grey zone
LEAST = 0.1  # that a grey zone keeps, or nothing would show its mending
TRIAL = 0.05  # of its jobs, that a zone coming back is given first
GROWTH = 1.3  # times what it kept, at each look while it comes back
HOLD = 2.0  # looks, that a zone has to be well before its trial, doubled with each relapse
MOST_HOLD = 32.0
LASTING = 30.0  # looks without a relapse, after which relapses are forgotten


class Phase(Enum):
    WELL = "well"
    GREY = "grey"
    LOST = "lost"
    BACK = "coming back"


@dataclass
class ZoneView:
    phase: Phase = Phase.WELL
    keep: float = 1.0  # the part of its own jobs that it keeps
    size: float = 0.0  # the most that was ready there, as the fronts remember
    ready: float = 0.0
    warm: float = 1.0  # part of what is ready
    well_since: int = -1  # looks
    grey: int = 0  # looks in a row that say so
    relapses: int = 0
    relapsed: int = 0  # at which look it last did

    def hold(self) -> float:
        return min(MOST_HOLD, HOLD * 2.0 ** max(0, self.relapses - 1))


class Zones:
    """One look at each tally.  `cold_share` is the part that a cold engine carries."""

    def __init__(self, cold_share: float) -> None:
        self.cold_share = cold_share
        self.views: dict[str, ZoneView] = {}
        self.looks = 0

    def look(self, tally: Tally) -> None:
        self.looks += 1
        for name in {*self.views, *tally.zones}:
            view = self.views.setdefault(name, ZoneView())
            self._look(view, tally.zones.get(name, ZoneTally()), tally.fronts)

    def _look(self, view: ZoneView, told: ZoneTally, fronts: int) -> None:
        if not fronts:
            return
        view.ready = told.ready / fronts
        view.warm = 1.0 - told.cold / told.ready if told.ready else 0.0
        view.size = told.had / fronts
        if not view.size:
            return  # nobody has ever known an engine of it
        # A few fronts that alone fail to reach a zone are cut off from it: that is theirs to see to.
        lost = told.lost > MOST * max(told.spoke, fronts / 4) or view.ready < GONE * view.size
        bad = told.lost + told.grey > MOST * max(told.spoke, fronts / 4)
        view.grey = view.grey + 1 if bad else 0
        if lost:
            self._relapse(view)
            view.phase, view.keep, view.well_since = Phase.LOST, 0.0, -1
        elif view.phase is Phase.LOST:
            view.well_since = self.looks if view.well_since < 0 else view.well_since
            if self.looks - view.well_since >= view.hold():
                view.phase, view.keep = Phase.BACK, TRIAL
        elif bad and view.grey >= SURE:
            self._relapse(view)
            view.phase, view.keep = Phase.GREY, max(LEAST, view.keep * DOWN)
            view.well_since = -1
        elif view.phase is Phase.GREY and not bad:
            view.well_since = self.looks if view.well_since < 0 else view.well_since
            if self.looks - view.well_since >= view.hold():
                view.phase = Phase.BACK
        elif view.phase is Phase.BACK and not bad:
            warm = view.warm + (1 - view.warm) * self.cold_share
            view.keep = min(1.0, view.keep * GROWTH, max(warm * view.ready / view.size, TRIAL))
            if view.keep >= 1.0 - 1e-9 or view.keep >= 0.98 * view.ready / view.size and view.warm > 0.99:
                view.phase, view.keep = Phase.WELL, 1.0
        if view.phase is Phase.WELL and self.looks - view.relapsed > LASTING * max(1, view.relapses):
            view.relapses = 0

    def _relapse(self, view: ZoneView) -> None:
        if view.phase in (Phase.WELL, Phase.BACK):
            view.relapses += 1
        view.relapsed = self.looks

    def take_on(self, keep: dict[str, float]) -> None:
        """A seat that begins to lead goes on from the plan in force."""
        for name, part in keep.items():
            view = self.views.setdefault(name, ZoneView())
            view.keep = part
            view.phase = Phase.LOST if not part else Phase.BACK
