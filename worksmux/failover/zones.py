"""The health of each zone, from what all nodes report: healthy, degraded, failed or recovering. Pure.

A zone has failed as soon as most of the voters say so, and is degraded once they say so twice in a row. It
comes back by steps: after a while without bad reports it is given a trial share, which then grows as fast as
its engines warm up. Each relapse doubles the time that it has to be well before its next trial, so that a
flapping zone is used ever more seldom.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .reports import FleetReport, ZoneReport

MAJORITY = 0.5  # of the votes
MIN_VOTERS_FRACTION = 0.25  # of the nodes; a smaller number of voters counts as this
DEGRADED_AFTER_UPDATES = 2  # in a row
FAILED_BELOW_SIZE = 0.3  # of its full size: with less that is ready a zone has failed
DEGRADED_FACTOR = 0.5  # times the kept share, at each update of a degraded zone
MIN_DEGRADED_SHARE = 0.1  # kept by a degraded zone, as without requests nothing would show that it is well
TRIAL_SHARE = 0.05  # of its requests, for a recovering zone
GROWTH_FACTOR = 1.3  # times the kept share, at each update of a recovering zone
WELL_UPDATES = 2.0  # without bad reports before the trial; doubled by each relapse
MAX_WELL_UPDATES = 32.0
RELAPSES_FORGOTTEN_AFTER = 30.0  # updates, for each relapse
FULL_SHARE = 1.0 - 1e-9
RECOVERED_SIZE = 0.98  # of the ready size, kept
RECOVERED_WARMTH = 0.99  # of the ready size, warm


class ZoneHealth(Enum):
    """The values are shown to operators and stand in the plan's reason."""

    HEALTHY = "well"
    DEGRADED = "grey"
    FAILED = "lost"
    RECOVERING = "coming back"


@dataclass
class ZoneView:
    """What the planner holds of one zone. Sizes are in engines, per node that reports."""

    health: ZoneHealth = ZoneHealth.HEALTHY
    kept_share: float = 1.0  # of its own requests
    full_size: float = 0.0  # the most that was ready there, as the nodes remember
    ready_size: float = 0.0
    warm_share: float = 1.0  # of the ready size
    well_since: int = -1  # update number; -1: not well
    impaired_updates: int = 0  # in a row
    relapses: int = 0
    last_relapse: int = 0  # update number

    def required_well_updates(self) -> float:
        """How long it has to be without bad reports before its trial."""
        return min(MAX_WELL_UPDATES, WELL_UPDATES * 2.0 ** max(0, self.relapses - 1))


class Zones:
    """The views of all zones; `cold_share` is the part of its full capacity that a cold engine carries."""

    def __init__(self, cold_share: float) -> None:
        self.cold_share = cold_share
        self.views: dict[str, ZoneView] = {}
        self.updates = 0

    def update(self, report: FleetReport) -> None:
        """Takes in one report of all nodes."""
        self.updates += 1
        for name in {*self.views, *report.zones}:
            view = self.views.setdefault(name, ZoneView())
            self._update_view(view, report.zones.get(name, ZoneReport()), report.nodes)

    def resume(self, kept_shares: dict[str, float]) -> None:
        """Goes on from the plan in force, on a node that begins to lead."""
        for name, share in kept_shares.items():
            view = self.views.setdefault(name, ZoneView())
            view.kept_share = share
            view.health = ZoneHealth.RECOVERING if share else ZoneHealth.FAILED

    def _update_view(self, view: ZoneView, report: ZoneReport, nodes: int) -> None:
        if not nodes:
            return
        view.ready_size = report.ready_size / nodes
        view.warm_share = 1.0 - report.cold_size / report.ready_size if report.ready_size else 0.0
        view.full_size = report.full_size / nodes
        if view.full_size:  # else no node has ever known an engine of it
            self._update_health(view, report, nodes)
            self._forget_relapses(view)

    def _update_health(self, view: ZoneView, report: ZoneReport, nodes: int) -> None:
        """One step of the state machine.

        A few nodes that alone cannot reach a zone are cut off from it, and that is theirs to see to: their
        votes are weighed against a minimum of voters.
        """
        majority = MAJORITY * max(report.voters, nodes * MIN_VOTERS_FRACTION)
        failed = report.failed_votes > majority or view.ready_size < FAILED_BELOW_SIZE * view.full_size
        impaired = report.failed_votes + report.degraded_votes > majority
        view.impaired_updates = view.impaired_updates + 1 if impaired else 0
        if failed:
            self._record_relapse(view)
            view.health, view.kept_share, view.well_since = ZoneHealth.FAILED, 0.0, -1
        elif view.health is ZoneHealth.FAILED:
            if self._is_well_for_long(view):
                view.health, view.kept_share = ZoneHealth.RECOVERING, TRIAL_SHARE
        elif impaired:
            if view.impaired_updates >= DEGRADED_AFTER_UPDATES:
                self._degrade(view)
        elif view.health is ZoneHealth.DEGRADED:
            if self._is_well_for_long(view):
                view.health = ZoneHealth.RECOVERING
        elif view.health is ZoneHealth.RECOVERING:
            self._recover(view)

    def _degrade(self, view: ZoneView) -> None:
        self._record_relapse(view)
        view.health, view.well_since = ZoneHealth.DEGRADED, -1
        view.kept_share = max(MIN_DEGRADED_SHARE, view.kept_share * DEGRADED_FACTOR)

    def _is_well_for_long(self, view: ZoneView) -> bool:
        if view.well_since < 0:
            view.well_since = self.updates
        return self.updates - view.well_since >= view.required_well_updates()

    def _recover(self, view: ZoneView) -> None:
        """Gives a recovering zone more of its requests, up to what its warm and cold engines carry."""
        carried = view.warm_share + (1 - view.warm_share) * self.cold_share
        limit = max(carried * view.ready_size / view.full_size, TRIAL_SHARE)
        view.kept_share = min(1.0, view.kept_share * GROWTH_FACTOR, limit)
        keeps_all_ready = view.kept_share >= RECOVERED_SIZE * view.ready_size / view.full_size
        if view.kept_share >= FULL_SHARE or keeps_all_ready and view.warm_share > RECOVERED_WARMTH:
            view.health, view.kept_share = ZoneHealth.HEALTHY, 1.0

    def _record_relapse(self, view: ZoneView) -> None:
        if view.health in (ZoneHealth.HEALTHY, ZoneHealth.RECOVERING):
            view.relapses += 1
        view.last_relapse = self.updates

    def _forget_relapses(self, view: ZoneView) -> None:
        well_for = self.updates - view.last_relapse
        if view.health is ZoneHealth.HEALTHY and well_for > RELAPSES_FORGOTTEN_AFTER * max(1, view.relapses):
            view.relapses = 0
