"""The failover plan from the reports of nodes, and the event of a plan for the policy."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from worksmux.failover.plan import Plan, decode, encode
from worksmux.failover.planner import Planner, PlannerSettings
from worksmux.failover.policy_event import plan_event
from worksmux.failover.reports import FleetReport, ZoneReport, sum_reports
from worksmux.failover.zones import ZoneHealth
from worksmux.policy.events import (
    FailoverPlan,
)

REGIONS = {"a": "west", "b": "west", "c": "east", "d": "east"}
CREDITS = {"hint": 1.0, "explain": 2.0, "mark": 5.0}
NODES = 10


def zone(
    failed: int = 0,
    degraded: int = 0,
    ready: float = 4.0,
    wait: float = 0.1,
    cold: float = 0.0,
    voters: int = NODES,
    full_size: float = 4.0,
) -> ZoneReport:
    return ZoneReport(
        voters,
        failed,
        degraded,
        NODES,
        ready * NODES,
        full_size * NODES,
        cold * NODES,
        20.0,
        20.0,
        20.0 * wait,
        0.0,
    )


def fleet_report(**zones: ZoneReport) -> FleetReport:
    return FleetReport(
        NODES,
        {name: zones.get(name, zone()) for name in REGIONS},
        {"hint": 40.0, "explain": 24.0, "mark": 16.0},
    )


def new_planner(
    capacities: dict[str, float] | None = None, plan: Plan | None = None, interval_ms: float = 250.0
) -> Planner:
    return Planner(PlannerSettings(REGIONS, CREDITS, 0.3, interval_ms, capacities or {}), plan or Plan())


def updates(planner: Planner, count: int, **zones: ZoneReport) -> list[Plan]:
    """Returns the new plans of `count` updates with the same reports."""
    return [plan for _ in range(count) if (plan := planner.update(fleet_report(**zones))) is not None]


FAILED = zone(failed=NODES, ready=0.0, wait=0.0)


# The health of zones.


def test_healthy_zones_make_no_plan() -> None:
    assert not updates(new_planner(), 50)


def test_requests_of_a_failed_zone_go_to_its_region_at_once() -> None:
    planner = new_planner()
    updates(planner, 3)
    plan = planner.update(fleet_report(a=FAILED))
    assert plan is not None and plan.routes == {"a": {"b": 1.0}} and plan.event == 1


def test_requests_of_a_failed_region_go_to_the_other() -> None:
    planner = new_planner()
    updates(planner, 3)
    plan = planner.update(fleet_report(a=FAILED, b=FAILED))
    assert plan is not None and {*plan.routes["a"], *plan.routes["b"]} == {"c", "d"}


def test_requests_leave_the_region_only_once_it_is_full() -> None:
    planner = new_planner()
    updates(planner, 3)
    light_load = updates(planner, 12, a=FAILED)
    assert all(set(plan.routes["a"]) == {"b"} for plan in light_load)
    full = updates(planner, 12, a=FAILED, b=zone(wait=0.9))
    assert 0 < full[-1].routes["a"].get("c", 0.0) + full[-1].routes["a"].get("d", 0.0) <= 1.0


def test_plan_has_no_routes_when_all_zones_have_failed() -> None:
    planner = new_planner()
    updates(planner, 3)
    plans = updates(planner, 5, a=FAILED, b=FAILED, c=FAILED, d=FAILED)
    assert all(not plan.routes for plan in plans)


def test_share_of_a_recovering_zone_grows_up_to_the_capacity_of_its_cold_engines() -> None:
    planner = new_planner()
    updates(planner, 3)
    updates(planner, 4, a=FAILED)
    recovering = updates(planner, 40, a=zone(cold=4.0))
    shares = [plan.routes["a"].get("a", 0.0) for plan in recovering if plan.routes]
    assert shares == sorted(shares) and 0 < shares[-1] <= 0.31
    warm = updates(planner, 60)
    assert not warm[-1].routes and planner.zones.views["a"].health is ZoneHealth.HEALTHY


def test_one_failure_makes_a_bounded_number_of_plans() -> None:
    planner = new_planner()
    updates(planner, 3)
    plans = updates(planner, 200, a=FAILED) + updates(planner, 200)
    assert len(plans) < 60 and {plan.event for plan in plans} == {1} and plans[-1].calm
    assert len(updates(planner, 200)) == 0


def trials_of_flapping_zone(planner: Planner, updates_each: int = 4, cycles: int = 40) -> int:
    """Returns how often a zone that alternately fails and recovers gets requests again."""
    count, previous_share = 0, 1.0
    updates(planner, 3)
    for at in range(2 * cycles):
        for _ in range(updates_each):
            planner.update(fleet_report(a=FAILED if at % 2 == 0 else zone()))
            kept_share = planner.zones.views["a"].kept_share
            count, previous_share = count + (kept_share > 0 and previous_share == 0), kept_share
    return count


def test_flapping_zone_is_tried_less_and_less_often(monkeypatch: pytest.MonkeyPatch) -> None:
    """A zone fails and recovers forty times. Each relapse must double the wait before the next trial."""
    patient = trials_of_flapping_zone(new_planner())
    monkeypatch.setattr("worksmux.failover.zones.MAX_WELL_UPDATES", 2.0)
    impatient = trials_of_flapping_zone(new_planner())  # without the growing wait
    assert patient < 8 < 30 < impatient


def test_degraded_zone_keeps_a_share_that_can_show_its_recovery() -> None:
    planner = new_planner()
    updates(planner, 3)
    plans = updates(planner, 20, a=zone(degraded=NODES))
    assert 0 < plans[-1].routes["a"]["a"] <= 0.11
    assert planner.zones.views["a"].health is ZoneHealth.DEGRADED


@pytest.mark.parametrize("voters", [1, 4])
def test_minority_of_failed_votes_changes_nothing(voters: int) -> None:
    assert not updates(new_planner(), 20, a=zone(failed=voters))


def test_half_of_the_votes_is_no_majority() -> None:
    assert not updates(new_planner(), 20, a=zone(failed=NODES // 2))


def test_zone_without_known_engines_is_not_planned_for() -> None:
    assert not updates(new_planner(), 20, a=ZoneReport())


def test_new_leader_continues_from_the_plan_in_force() -> None:
    """The leader is replaced after a zone has failed. The new leader has never seen that zone healthy."""
    first = new_planner()
    updates(first, 3)
    plan = updates(first, 5, a=FAILED)[-1]
    second = new_planner(plan=plan)
    assert all(
        later.routes == plan.routes and later.event == plan.event for later in updates(second, 5, a=FAILED)
    )
    fresh = new_planner()  # the same without a plan in force
    assert updates(fresh, 2, a=FAILED)[0].routes == {"a": {"b": 1.0}}


# Rejected and held-back requests.


def test_moved_requests_are_admitted_at_once_under_light_load_and_by_credit_under_heavy() -> None:
    light, heavy = (new_planner(dict.fromkeys(REGIONS, capacity)) for capacity in (400.0, 30.0))
    for planner in (light, heavy):
        updates(planner, 3)
    assert not light.update(fleet_report(a=FAILED)).shed  # type: ignore[union-attr]
    shed = heavy.update(fleet_report(a=FAILED)).shed["a"]  # type: ignore[union-attr]
    assert shed["hint"] > shed["explain"] > shed.get("mark", 0.0) == 0.0
    later = updates(heavy, 100, a=FAILED)[-1].shed
    assert later.get("a", {}).get("hint", 0.0) < shed["hint"]


def test_excess_requests_are_rejected_lowest_credit_first_in_all_zones() -> None:
    planner = new_planner(dict.fromkeys(REGIONS, 20.0))  # capacity for 60 of 80 requests per second
    updates(planner, 3)
    shed = updates(planner, 200, a=FAILED)[-1].shed
    assert {name: shares.get("hint") for name, shares in shed.items()} == dict.fromkeys(REGIONS, 0.5)
    assert not any("mark" in shares for shares in shed.values())


def test_overload_without_a_failure_makes_no_plan() -> None:
    full = {name: zone(wait=2.0) for name in REGIONS}
    assert not updates(new_planner(dict.fromkeys(REGIONS, 1.0)), 100, **full)


ZONE = st.builds(
    zone,
    st.integers(0, NODES),
    st.integers(0, NODES),
    st.floats(0.0, 4.0),
    st.floats(0.0, 3.0),
    st.floats(0.0, 4.0),
)


def violation(planner: Planner, zones: dict[str, ZoneReport]) -> str:
    """Returns the rule that the plan breaks after these reports; empty if none."""
    planner.update(fleet_report(**zones))
    plan = planner.plan
    if not plan.is_valid():
        return "shares make no sense"
    for name, route in plan.routes.items():
        if any(planner.zones.views[other].health is ZoneHealth.FAILED for other in route):
            return "requests go to a failed zone"
        near = [other for other in route if REGIONS[other] == REGIONS[name]]
        if not near and any(
            view.health is ZoneHealth.HEALTHY and REGIONS[other] == REGIONS[name]
            for other, view in planner.zones.views.items()
            if other != name
        ):
            return "all requests leave a region that has a healthy zone"
    for shares in plan.shed.values():
        if shares.get("hint", 0.0) + 1e-9 < shares.get("mark", 0.0):
            return "a higher credit is rejected before a lower one"
    return ""


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.fixed_dictionaries(dict.fromkeys(REGIONS, ZONE)), min_size=1, max_size=25),
    st.sampled_from([{}, dict.fromkeys(REGIONS, 25.0)]),
)
def test_plan_breaks_no_rule_for_any_reports(
    reports: list[dict[str, ZoneReport]], capacities: dict[str, float]
) -> None:
    planner = new_planner(capacities)
    updates(planner, 2)
    for zones in reports:
        assert not violation(planner, zones)


def test_rules_detect_a_planner_that_confuses_near_and_far() -> None:
    class FarFirstPlanner(Planner):
        def _takers(self, name: str) -> tuple[dict[str, float], dict[str, float]]:
            near, far = super()._takers(name)
            return far, near

    planner = FarFirstPlanner(PlannerSettings(REGIONS, CREDITS, 0.3, 250.0, {}), Plan())
    updates(planner, 2)
    assert violation(planner, {"a": FAILED})


def test_admission_per_second_does_not_depend_on_the_update_interval() -> None:
    """Rates are per second: a planner that updates twice as often admits requests as fast."""
    held = {}
    for interval_ms in (125.0, 250.0):
        planner = new_planner(dict.fromkeys(REGIONS, 30.0), interval_ms=interval_ms)
        updates(planner, 3)
        updates(planner, int(4000 / interval_ms), a=FAILED)
        held[interval_ms] = planner.held_shares["a"]
    assert held[125.0] == pytest.approx(held[250.0], abs=0.03)


# Reports and plans.


def test_report_with_impossible_figures_is_not_valid() -> None:
    assert sum_reports([fleet_report(), fleet_report()]).is_valid()
    for impossible in (
        FleetReport(1, {"a": ZoneReport(failed_votes=2)}),
        FleetReport(1, {"a": ZoneReport(first_token_rate=float("nan"))}),
        FleetReport(1, {}, {"hint": 1e9}),
        FleetReport(-1),
        FleetReport(1, {"a": ZoneReport(ready_size=-1.0)}),
    ):
        assert not impossible.is_valid()


def test_plan_is_read_back_and_an_invalid_one_is_refused() -> None:
    plan = Plan(3, {"a": {"b": 1.0}}, {"a": {"hint": 0.5}}, 500.0, "a lost", {"a": 0.0}, {"a": 1.0}, 1)
    assert decode(encode(plan)) == plan
    with pytest.raises(msgspec.DecodeError):
        decode(encode(Plan(3, {"a": {"b": 0.4}})))


def test_calm_plan_under_a_lease_makes_no_event() -> None:
    assert plan_event(Plan(4), ["a", "b"], ["hint"], alone=False) is None


def test_node_without_a_lease_keeps_the_last_plan_and_avoids_zones_it_finds_failed() -> None:
    plan = Plan(4, {"a": {"b": 1.0}}, {"a": {"hint": 0.5}}, 500.0)
    own_report = FleetReport(1, {"a": ZoneReport(), "b": ZoneReport(), "c": ZoneReport(1, 1)})
    event = plan_event(plan, ["a", "b", "c"], ["hint"], True, "b", own_report)
    assert event == FailoverPlan({0: [(1, 1.0)], 2: [(1, 1.0)]}, {0: [0.5]}, 500.0, True)
