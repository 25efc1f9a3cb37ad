"""The health of each zone by the reports of all nodes: healthy, degraded, failed or recovering. Pure.

A zone has failed as soon as a majority of voters says so, and is degraded after two consecutive updates in
which a majority says so. A zone recovers in steps: after a time without bad reports it gets a trial share of
its requests, which grows as fast as its engines warm up. Each relapse doubles the time without bad reports
that the next trial requires, so that a flapping zone is tried less and less often.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .reports import FleetReport, ZoneReport

MAJORITY = 0.5  # of the votes
MIN_VOTERS_FRACTION = 0.25  # of the nodes; fewer voters are counted as this many
DEGRADED_AFTER_UPDATES = 2  # consecutive updates with a majority of bad votes
FAILED_BELOW_SIZE = 0.3  # of the full size; a zone with a smaller ready size has failed
DEGRADED_FACTOR = 0.5  # of the kept share, at each degraded update
MIN_DEGRADED_SHARE = 0.1  # so that a degraded zone has requests that can show its recovery
TRIAL_SHARE = 0.05  # first kept share of a recovering zone
GROWTH_FACTOR = 1.3  # of the kept share, at each update of a recovering zone
WELL_UPDATES = 2.0  # without bad votes before a trial; doubled by each relapse
MAX_WELL_UPDATES = 32.0
RELAPSES_FORGOTTEN_AFTER = 30.0  # healthy updates, per relapse
FULL_SHARE = 1.0 - 1e-9
RECOVERED_SIZE = 0.98  # kept share at which a zone has recovered, as a fraction of the ready share
RECOVERED_WARMTH = 0.99  # warm share above which a zone can have recovered


class ZoneHealth(Enum):
    """The health of a zone; the values are shown to operators and in the reason of a plan."""

    HEALTHY = "well"
    DEGRADED = "grey"
    FAILED = "lost"
    RECOVERING = "coming back"


@dataclass
class ZoneView:
    """The planner's state of one zone. Sizes are in engines, averaged over the reporting nodes."""

    health: ZoneHealth = ZoneHealth.HEALTHY
    kept_share: float = 1.0  # of its own requests
    full_size: float = 0.0  # highest ready size, as the nodes remember it
    ready_size: float = 0.0
    warm_share: float = 1.0  # of the ready size
    well_since: int = -1  # update number since which the zone has no majority of bad votes; -1: none
    impaired_updates: int = 0  # consecutive updates with a majority of bad votes
    relapses: int = 0
    last_relapse: int = 0  # update number

    def required_well_updates(self) -> float:
        """Returns the number of updates without bad votes that the next trial requires."""
        return min(MAX_WELL_UPDATES, WELL_UPDATES * 2.0 ** max(0, self.relapses - 1))


class Zones:
    """The views of all zones; `cold_share` is the share of its full capacity that a cold engine has."""

    def __init__(self, cold_share: float) -> None:
        self.cold_share = cold_share
        self.views: dict[str, ZoneView] = {}
        self.updates = 0

    def update(self, report: FleetReport) -> None:
        """Applies one report of all nodes."""
        self.updates += 1
        for name in {*self.views, *report.zones}:
            view = self.views.setdefault(name, ZoneView())
            self._update_view(view, report.zones.get(name, ZoneReport()), report.nodes)

    def resume(self, kept_shares: dict[str, float]) -> None:
        """Continues from the kept shares of the plan in force, on a node that becomes leader."""
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
        if view.full_size:  # otherwise no node has ever listed an engine of the zone
            self._update_health(view, report, nodes)
            self._forget_relapses(view)

    def _update_health(self, view: ZoneView, report: ZoneReport, nodes: int) -> None:
        """Performs one step of the state machine of a zone.

        A few nodes that cannot reach a zone while others can are partitioned from it, which is no failure of
        the zone. Their votes are therefore compared with a minimum number of voters.
        """
        majority = MAJORITY * max(report.voters, nodes * MIN_VOTERS_FRACTION)
        failed = report.failed_votes > majority or view.ready_size < FAILED_BELOW_SIZE * view.full_size
        impaired = report.failed_votes + report.degraded_votes > majority
        view.impaired_updates = view.impaired_updates + 1 if impaired else 0
        if failed:
            self._record_relapse(view)
            view.health, view.kept_share, view.well_since = ZoneHealth.FAILED, 0.0, -1
        elif view.health is ZoneHealth.FAILED:
            if self._is_well_long_enough(view):
                view.health, view.kept_share = ZoneHealth.RECOVERING, TRIAL_SHARE
        elif impaired:
            if view.impaired_updates >= DEGRADED_AFTER_UPDATES:
                self._degrade(view)
        elif view.health is ZoneHealth.DEGRADED:
            if self._is_well_long_enough(view):
                view.health = ZoneHealth.RECOVERING
        elif view.health is ZoneHealth.RECOVERING:
            self._recover(view)

    def _degrade(self, view: ZoneView) -> None:
        self._record_relapse(view)
        view.health, view.well_since = ZoneHealth.DEGRADED, -1
        view.kept_share = max(MIN_DEGRADED_SHARE, view.kept_share * DEGRADED_FACTOR)

    def _is_well_long_enough(self, view: ZoneView) -> bool:
        if view.well_since < 0:
            view.well_since = self.updates
        return self.updates - view.well_since >= view.required_well_updates()

    def _recover(self, view: ZoneView) -> None:
        """Raises the kept share of a recovering zone, up to the capacity of its warm and cold engines."""
        carried_share = view.warm_share + (1 - view.warm_share) * self.cold_share
        limit = max(carried_share * view.ready_size / view.full_size, TRIAL_SHARE)
        view.kept_share = min(1.0, view.kept_share * GROWTH_FACTOR, limit)
        keeps_all_ready = view.kept_share >= RECOVERED_SIZE * view.ready_size / view.full_size
        if view.kept_share >= FULL_SHARE or keeps_all_ready and view.warm_share > RECOVERED_WARMTH:
            view.health, view.kept_share = ZoneHealth.HEALTHY, 1.0

    def _record_relapse(self, view: ZoneView) -> None:
        if view.health in (ZoneHealth.HEALTHY, ZoneHealth.RECOVERING):
            view.relapses += 1
        view.last_relapse = self.updates

    def _forget_relapses(self, view: ZoneView) -> None:
        well_updates = self.updates - view.last_relapse
        if view.health is ZoneHealth.HEALTHY and well_updates > RELAPSES_FORGOTTEN_AFTER * max(
            1, view.relapses
        ):
            view.relapses = 0
