"""The leader's planner: from the health of zones and the demand to the failover plan. Pure.

Requests of a zone that is not healthy go to other zones of its region, and to other regions when those are
full. What fits nowhere is rejected, the lowest credit first.

    plan = planner.update(report)       # every `interval_ms` on the leader; None: the plan stays

Moved requests find none of their shared prefixes in the KV caches where they arrive. Sent all at once they
would fill the caches of those prefill engines, evict what was there, and the healthy zone would fail with the
other one. So moved requests are admitted by degrees, those of the highest credit first, as fast as the zones
that take them have capacity to spare.
"""

from __future__ import annotations

from dataclasses import dataclass

from .load_estimate import FULL_WAIT, LIGHT_LOAD, SHORT_WAIT, LoadEstimate
from .plan import MIN_SHARE, Plan, Shares
from .reports import FleetReport
from .shedding import MIN_PASSED_SHARE, hold_by_rank, shed_lowest_credit
from .zones import ZoneHealth, Zones, ZoneView

INITIAL_HELD_PER_LOAD = 2.0  # share of moved requests held back at first, for each unit above LIGHT_LOAD
PREFILL_CAPACITY = 1.25  # load up to which capacity is left for prefill of moved requests
MIN_SPARE_CAPACITY = 0.08
ADMIT_PER_SPARE_S = 0.5  # share of moved requests admitted per second, for each unit of spare capacity
HOLD_PER_S = 0.08  # share held back again per second, while the zones that take them are full
SPILL_STEP = 0.1  # share of a region's moved requests sent on to other regions, per update
RETURN_STEP = SPILL_STEP / 4
FULL_PATIENCE_S = 4.0  # for which all zones are full, before more is rejected than does not fit
SHED_PER_S = 0.2  # share of all requests rejected, for each second after that
MAX_SHED_SHARE = 0.9
RETRY_AFTER_UPDATES = 2.0
MIN_SHARE_CHANGE = 0.03  # shares that change by less make no new plan


@dataclass(frozen=True)
class PlannerSettings:
    """What the settings say of the fleet."""

    regions: dict[str, str]  # by zone
    credits: dict[str, float]  # by request class
    cold_share: float  # of its full capacity, that a cold engine carries
    interval_ms: float  # between two updates
    capacities: dict[str, float]  # requests a second by zone; learned where not given


class Planner:
    """Makes the next plan whenever the one in force no longer fits."""

    def __init__(self, settings: PlannerSettings, plan: Plan) -> None:
        """Goes on from the plan in force."""
        self.settings = settings
        self.plan = plan
        self.zones = Zones(settings.cold_share)
        self.zones.resume(plan.kept_shares)
        self.load = LoadEstimate(settings.capacities)
        self.held_shares: Shares = dict(plan.held_shares)  # of each zone's moved requests
        self._spill_shares: Shares = {}  # by region: share of its moved requests that leaves it
        self._full_updates = 0  # in a row with all zones full
        self._excess_share = 0.0  # of all requests, rejected as all zones stay full
        self._shed_share = 0.0  # of all requests, wherever they belong

    def update(self, report: FleetReport) -> Plan | None:
        """Takes in one report of all nodes; gives a plan if it is a new one."""
        if not report.nodes:
            return None
        self.zones.update(report)
        self.load.update(report, self.settings.credits)
        self._update_shed_share()
        routes: dict[str, Shares] = {}
        held_shares: Shares = {}
        reasons = []
        for name, view in sorted(self.zones.views.items()):
            if view.health is ZoneHealth.HEALTHY or view.kept_share >= 1.0 - MIN_SHARE:
                self.held_shares.pop(name, None)
                continue
            self._update_held_share(name)
            route = self._route(name, view.kept_share)
            if route:
                routes[name] = route
            held_shares[name] = self.held_shares[name] * (1.0 - view.kept_share)
            reasons.append(f"{name} {view.health.value}")
        if self._shed_share:
            reasons.append(f"{self._shed_share:.0%} of all jobs are deferred")
        return self._next_plan(routes, held_shares, ", ".join(reasons))

    @property
    def _interval_s(self) -> float:
        return self.settings.interval_ms / 1000

    def _serving(self) -> dict[str, ZoneView]:
        return {name: view for name, view in self.zones.views.items() if view.kept_share > 0}

    def _update_shed_share(self) -> None:
        """Sets the share of all requests to reject.

        None without a failure, as overload alone is for the nodes to handle.
        """
        serving = self._serving()
        troubled = any(view.health is not ZoneHealth.HEALTHY for view in self.zones.views.values())
        full = bool(serving) and all(self.load.is_full(name) for name in serving)
        self._full_updates = self._full_updates + 1 if full and troubled else 0
        step = SHED_PER_S * self._interval_s
        if self._full_updates > FULL_PATIENCE_S / self._interval_s:
            self._excess_share = min(MAX_SHED_SHARE, self._excess_share + step)
        elif not full:
            self._excess_share = max(0.0, self._excess_share - step)
        load = self.load.load(serving)
        does_not_fit = 1 - 1 / load if troubled and load > 1 else 0.0
        self._shed_share = min(MAX_SHED_SHARE, max(self._excess_share, does_not_fit))

    def _takers(self, name: str) -> tuple[dict[str, float], dict[str, float]]:
        """Ready sizes of the zones that can take a zone's requests: in its region, and in others."""
        region = self.settings.regions.get(name, "")
        sizes = {
            other: view.ready_size * view.kept_share
            for other, view in self.zones.views.items()
            if other != name
            and view.health is not ZoneHealth.FAILED
            and view.ready_size * view.kept_share > 0
        }
        near = {other: size for other, size in sizes.items() if self._region(other) == region}
        return near, {other: size for other, size in sizes.items() if other not in near}

    def _region(self, zone: str) -> str:
        return self.settings.regions.get(zone, "")

    def _update_held_share(self, name: str) -> None:
        """Admits more of the requests that a zone does not keep, or fewer while their takers are full.

        When only its own region is full, more of them are sent on to other regions instead.
        """
        near, far = self._takers(name)
        region = self._region(name)
        spill = self._spill_shares.get(region, 0.0)
        load = self.load.load(self._serving())
        initial = max(0.0, min(1.0, INITIAL_HELD_PER_LOAD * (load - LIGHT_LOAD)))
        held = self.held_shares.get(name, initial)
        wait = self._longest_wait(near or far, 1.0)
        if wait > FULL_WAIT and near and far and self._longest_wait(far, 0.0) < FULL_WAIT:
            self._spill_shares[region] = min(1.0, spill + SPILL_STEP)
        elif wait > FULL_WAIT:
            held = min(1.0 - MIN_PASSED_SHARE, held + HOLD_PER_S * self._interval_s)
        else:
            spare = max(MIN_SPARE_CAPACITY, PREFILL_CAPACITY - load)
            held = max(0.0, held - ADMIT_PER_SPARE_S * spare * self._interval_s)
            if wait < SHORT_WAIT:
                self._spill_shares[region] = max(0.0, spill - RETURN_STEP)
        self.held_shares[name] = held

    def _longest_wait(self, zones: dict[str, float], default: float) -> float:
        return max((self.load.waits.get(zone, 0.0) for zone in zones), default=default)

    def _route(self, name: str, kept_share: float) -> Shares:
        """Where the requests of a zone go: what it keeps, then its region, then other regions.

        Within each, by what is ready there. Empty if no zone can take them: they stay, for what that is
        worth.
        """
        near, far = self._takers(name)
        if not near and not far:
            return {}
        route = {name: kept_share} if kept_share else {}
        spill = self._spill_share(name, near, far)
        for takers, part in ((near, 1.0 - spill), (far, spill)):
            total_size = sum(takers.values())
            for other, size in sorted(takers.items()):
                share = round((1.0 - kept_share) * part * size / total_size, 4)
                if share >= MIN_SHARE:
                    route[other] = share
        total = sum(route.values())
        return {other: share / total for other, share in route.items()}

    def _spill_share(self, name: str, near: dict[str, float], far: dict[str, float]) -> float:
        """The share of a zone's moved requests that leaves its region."""
        if not near:
            return 1.0
        return self._spill_shares.get(self._region(name), 0.0) if far else 0.0

    def _shed(self, held_shares: Shares) -> dict[str, Shares]:
        """By zone, what is rejected for want of capacity or held back for being moved, whichever is more."""
        demand, credits = self.load.demand, self.settings.credits
        shed: dict[str, Shares] = {}
        for name in self.zones.views:
            shares = shed_lowest_credit(self._shed_share, demand, credits)
            for request_class, share in hold_by_rank(held_shares.get(name, 0.0), demand, credits).items():
                shares[request_class] = max(share, shares.get(request_class, 0.0))
            if shares:
                shed[name] = shares
        return shed

    def _next_plan(self, routes: dict[str, Shares], held_shares: Shares, reason: str) -> Plan | None:
        old = self.plan
        shed = self._shed(held_shares)
        if _is_similar(routes, old.routes) and _is_similar(shed, old.shed):
            return None
        begins_event = old.calm and bool(routes or shed)
        self.plan = Plan(
            number=old.number + 1,
            routes=routes,
            shed=shed,
            retry_after_ms=RETRY_AFTER_UPDATES * self.settings.interval_ms if shed else 0.0,
            reason=reason or "all zones are well",
            kept_shares={
                name: round(view.kept_share, 4)
                for name, view in self.zones.views.items()
                if view.health is not ZoneHealth.HEALTHY
            },
            held_shares=held_shares,
            event=old.event + begins_event,
        )
        return self.plan


def _is_similar(one: dict[str, Shares], other: dict[str, Shares]) -> bool:
    """Whether no share differs by much; a share against none is always a difference."""
    return one.keys() == other.keys() and all(_are_close(one[key], other[key]) for key in one)


def _are_close(one: Shares, other: Shares) -> bool:
    return one.keys() == other.keys() and all(abs(one[key] - other[key]) < MIN_SHARE_CHANGE for key in one)
