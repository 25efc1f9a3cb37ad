"""The leader's planner: computes the failover plan from the health of zones and the demand. Pure.

Requests of a zone that is not healthy move to other zones of its region, and to other regions when those are
full. Requests beyond the capacity of all zones are rejected, the lowest credit first.

    plan = planner.update(report)       # every `interval_ms` on the leader; None: the plan stays

Failure: moved requests find none of their shared prefixes in the KV caches of the zones that take them. If
all were sent at once, they would fill those caches and evict their contents, and the healthy zone would fail
too. Moved requests are therefore admitted gradually, the highest credit first, as fast as the zones that take
them have spare capacity.
"""

from __future__ import annotations

from dataclasses import dataclass

from .load_estimate import FULL_WAIT, LIGHT_LOAD, SHORT_WAIT, LoadEstimate
from .plan import MIN_SHARE, Plan, Shares
from .reports import FleetReport
from .shedding import MIN_PASSED_SHARE, hold_by_rank, shed_lowest_credit
from .zones import ZoneHealth, Zones, ZoneView

INITIAL_HELD_PER_LOAD = 2.0  # share of moved requests first held back, per load above LIGHT_LOAD
PREFILL_CAPACITY = 1.25  # load at which no capacity is left for prefill of moved requests
MIN_SPARE_CAPACITY = 0.08
ADMIT_PER_SPARE_S = 0.5  # share of moved requests admitted per second, per unit of spare capacity
HOLD_PER_S = 0.08  # share of moved requests held back again per second while the taking zones are full
SPILL_STEP = 0.1  # share of a region's moved requests sent to other regions, per update
RETURN_STEP = SPILL_STEP / 4
FULL_PATIENCE_S = 4.0  # all zones are full for this long before more than the excess demand is rejected
SHED_PER_S = 0.2  # share of all requests rejected, per second after that
MAX_SHED_SHARE = 0.9
RETRY_AFTER_UPDATES = 2.0
MIN_SHARE_CHANGE = 0.03  # smaller changes of shares make no new plan


@dataclass(frozen=True)
class PlannerSettings:
    """Settings of the fleet that the planner uses."""

    regions: dict[str, str]  # by zone
    credits: dict[str, float]  # by request class
    cold_share: float  # capacity of a cold engine, as a share of its full capacity
    interval_ms: float  # between two updates
    capacities: dict[str, float]  # requests per second by zone; learned if not configured


class Planner:
    """Computes a new plan when the plan in force no longer fits the reports."""

    def __init__(self, settings: PlannerSettings, plan: Plan) -> None:
        """Continues from the plan in force."""
        self.settings = settings
        self.plan = plan
        self.zones = Zones(settings.cold_share)
        self.zones.resume(plan.kept_shares)
        self.load = LoadEstimate(settings.capacities)
        self.held_shares: Shares = dict(plan.held_shares)  # of each zone's moved requests
        self._spill_shares: Shares = {}  # by region: share of its moved requests sent to other regions
        self._full_updates = 0  # consecutive updates with all zones full
        self._excess_share = 0.0  # of all requests, rejected because all zones stay full
        self._shed_share = 0.0  # of all requests of all zones

    def update(self, report: FleetReport) -> Plan | None:
        """Applies one report of all nodes; returns the new plan, or None if the plan stays."""
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
        """Updates the share of all requests to reject.

        Without an unhealthy zone nothing is rejected, because the nodes handle overload alone themselves.
        """
        serving = self._serving()
        any_unhealthy = any(view.health is not ZoneHealth.HEALTHY for view in self.zones.views.values())
        full = bool(serving) and all(self.load.is_full(name) for name in serving)
        self._full_updates = self._full_updates + 1 if full and any_unhealthy else 0
        step = SHED_PER_S * self._interval_s
        if self._full_updates > FULL_PATIENCE_S / self._interval_s:
            self._excess_share = min(MAX_SHED_SHARE, self._excess_share + step)
        elif not full:
            self._excess_share = max(0.0, self._excess_share - step)
        load = self.load.load(serving)
        excess_demand = 1 - 1 / load if any_unhealthy and load > 1 else 0.0
        self._shed_share = min(MAX_SHED_SHARE, max(self._excess_share, excess_demand))

    def _takers(self, name: str) -> tuple[dict[str, float], dict[str, float]]:
        """Returns the ready sizes of zones that can take a zone's requests: in its region, and in others."""
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
        """Admits more of a zone's moved requests, or fewer while the zones that take them are full.

        When only the zone's own region is full, more of them are sent to other regions instead.
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
        """Returns the route of a zone's requests: the kept share, then its region, then other regions.

        Within a region the shares are proportional to the ready sizes. The route is empty if no zone can take
        the requests: they stay in their zone.
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
        """Returns the share of a zone's moved requests that leaves its region."""
        if not near:
            return 1.0
        return self._spill_shares.get(self._region(name), 0.0) if far else 0.0

    def _shed(self, held_shares: Shares) -> dict[str, Shares]:
        """Returns, by zone and class, the larger of the share shed for capacity and the share held back."""
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


def _is_similar(previous: dict[str, Shares], other: dict[str, Shares]) -> bool:
    """Reports whether all shares are close; a share on one side only is always a difference."""
    return previous.keys() == other.keys() and all(_are_close(previous[key], other[key]) for key in previous)


def _are_close(previous: Shares, other: Shares) -> bool:
    return previous.keys() == other.keys() and all(
        abs(previous[key] - other[key]) < MIN_SHARE_CHANGE for key in previous
    )
