"""Converts the failover plan to an event for the policy of one node. Pure.

With a lease the node applies the plan unchanged. Without a lease a newer plan may have been committed that
the node does not know. The node then keeps each request in the zone of its prefill engine, and keeps the
routes and rejections of the last plan. Only requests of zones that the node's own report finds failed are
moved in addition.
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
    home_zone: str = "",
    own_report: FleetReport | None = None,
) -> FailoverPlan | None:
    """Returns the event for the policy; None for a calm plan under a lease, which needs no event.

    `alone` says that the lease has expired. `home_zone` is this node's zone, `own_report` its latest report.
    """
    if not alone and plan.calm:
        return None
    routes = plan.routes
    if alone and own_report is not None:
        routes = {**routes, **_routes_around_failures(plan, home_zone, own_report)}
    zone_index = {name: index for index, name in enumerate(zones)}
    return FailoverPlan(
        _indexed_routes(routes, zone_index),
        _indexed_shed(plan.shed, zone_index, request_classes),
        plan.retry_after_ms,
        alone,
    )


def _routes_around_failures(plan: Plan, home_zone: str, own_report: FleetReport) -> dict[str, Shares]:
    """Routes requests of zones that `own_report` finds failed to the home zone.

    There are no such routes if `own_report` finds the home zone failed too.
    """
    failed = [
        name
        for name, zone in own_report.zones.items()
        if zone.failed_votes and name != home_zone and name not in plan.routes
    ]
    if not failed or own_report.zones[home_zone].failed_votes:
        return {}
    return {name: {home_zone: 1.0} for name in failed}


def _indexed_routes(
    routes: dict[str, Shares], zone_index: dict[str, int]
) -> dict[int, list[tuple[int, float]]]:
    """Replaces zone names in routes by indexes; zones that are not in the settings are dropped."""
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
