"""What a node makes of the plan: under a lease as it says, alone as is safe. Pure.

A node is alone when a newer plan may have been agreed without its knowing. Requests then stay in the zone
whose prefill engine they use, what the last plan moved stays moved and no more, a zone that this node itself
finds failed counts as failed, and requests that the last plan rejects are still rejected.
"""

from __future__ import annotations

from ..policy.events import FailoverPlan
from .plan import Plan, Shares
from .reports import FleetReport


def plan_event(
    plan: Plan,
    zones: list[str],
    request_classes: list[str],
    alone: bool,
    home: str = "",
    own: FleetReport | None = None,
) -> FailoverPlan | None:
    """The event for the policy; None if there is nothing to tell it, as with a calm plan under a lease.

    `home` is this node's zone and `own` its latest report.
    """
    if not alone and plan.calm:
        return None
    routes = plan.routes
    if alone and own is not None:
        routes = {**routes, **_routes_around_failures(plan, home, own)}
    zone_index = {name: at for at, name in enumerate(zones)}
    return FailoverPlan(
        _indexed_routes(routes, zone_index),
        _indexed_shed(plan.shed, zone_index, request_classes),
        plan.retry_after_ms,
        alone,
    )


def _routes_around_failures(plan: Plan, home: str, own: FleetReport) -> dict[str, Shares]:
    """Sends home the requests of zones that this node itself finds failed, unless its own has failed too."""
    failed = [
        name
        for name, zone in own.zones.items()
        if zone.failed_votes and name != home and name not in plan.routes
    ]
    if not failed or own.zones[home].failed_votes:
        return {}
    return {name: {home: 1.0} for name in failed}


def _indexed_routes(
    routes: dict[str, Shares], zone_index: dict[str, int]
) -> dict[int, list[tuple[int, float]]]:
    """Routes between zones that the settings know, by their place in the settings."""
    indexed = {
        zone_index[name]: [
            (zone_index[other], share) for other, share in route.items() if other in zone_index
        ]
        for name, route in routes.items()
        if name in zone_index
    }
    return {zone: route for zone, route in indexed.items() if route}


def _indexed_shed(
    shed: dict[str, Shares], zone_index: dict[str, int], request_classes: list[str]
) -> dict[int, list[float]]:
    return {
        zone_index[name]: [shares.get(request_class, 0.0) for request_class in request_classes]
        for name, shares in shed.items()
        if name in zone_index
    }
