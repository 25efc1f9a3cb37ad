"""Failover in simulated time, with the gateway's own planner.

The mode sets which reports a planner gets and how fast. Plans made in common can thus be compared with plans
made by single gateways and by a planner that sees everything.

`today`: no plan. `static`: the requests of a lost zone are moved by size once the zone is delisted, and
nothing is shed. `alone`: each gateway plans from its own reports. `common`: one plan from all reports, which
arrive and are distributed with the delays of consensus and replication. `ceiling`: a planner that sees the
engines themselves, at once.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..failover.plan import Plan
from ..failover.planner import Planner, PlannerSettings
from ..failover.policy_event import plan_event
from ..failover.reports import FleetReport, sum_reports
from ..failover.shedding import hold_by_rank
from ..failover.watcher import ListedEngine, Watcher
from ..policy.events import FailoverPlan
from ..scenarios.scenario import Scenario
from .day import Model
from .front import ModelGateway

MODES = ("today", "static", "alone", "common", "ceiling")
CEILING_INTERVAL_MS = 50.0
# Share of a lost zone's requests that is shed; for how many ms; over how many further ms it falls to 0.
SHED_RAMP = (1.0, 1000.0, 8000.0)


@dataclass(frozen=True)
class PlanDelays:
    """Delays between two rounds, until reports arrive, and until a plan is committed and distributed."""

    interval_ms: float = 250.0
    report_ms: float = 150.0
    distribution_ms: float = 150.0


class FailoverSimulation:
    """Failover of one simulated fleet in one mode."""

    def __init__(
        self,
        model: Model,
        mode: str,
        delays: PlanDelays | None = None,
        zone_capacities: dict[str, float] | None = None,
    ) -> None:
        self.model, self.scenario, self.mode, self.delays = (
            model,
            model.scenario,
            mode,
            delays or PlanDelays(),
        )
        scenario = self.scenario
        self.planner_settings = PlannerSettings(
            {zone: scenario.regions.get(zone, "") for zone in scenario.zones},
            {request_class.name: request_class.credit for request_class in scenario.request_classes},
            scenario.rules["cold_share"],
            CEILING_INTERVAL_MS if mode == "ceiling" else self.delays.interval_ms,
            zone_capacities or {},
        )
        self.planner = Planner(self.planner_settings, Plan())
        self.local_planners: dict[int, Planner] = {}
        self.plans: list[tuple[float, Plan]] = []
        self.delivered_plans: dict[int, tuple[ModelGateway, int]] = {}
        self.plan = Plan()
        self.max_zone_sizes = dict.fromkeys(scenario.zones, 0.0)
        self.lost_since: dict[str, float] = {}  # time at which each zone was found lost
        if mode != "today":
            model.sim.after(self.planner_settings.interval_ms, self.run_round)

    def run_round(self) -> None:
        """Collects the reports of all gateways and updates the plans."""
        model, now = self.model, self.model.sim.now
        model.sim.after(self.planner_settings.interval_ms, self.run_round)
        reports: dict[int, FleetReport] = {}
        for index, gateway in enumerate(model.gateways):
            if gateway is None:
                continue
            if gateway.watcher is None:
                gateway.watcher = watcher_of(self.scenario)
                for known in gateway.endpoint_list.reader.known.values():
                    gateway.watcher.engines[known.engine] = ListedEngine(
                        known.line.state,
                        self.scenario.zones.index(known.line.zone),
                        known.line.size,
                        known.line.started,
                    )
            reports[index] = gateway.watcher.report(now)
        if self.mode == "alone":
            for index, report in reports.items():
                planner = self.local_planners.setdefault(index, Planner(self.planner_settings, Plan()))
                plan = planner.update(report)
                gateway = model.gateways[index]
                if plan is not None and gateway is not None:
                    self.deliver(index, gateway, plan)
        elif self.mode == "ceiling":
            self.update_ceiling_plan(sum_reports(reports.values()))
        else:
            model.sim.after(self.delays.report_ms, self.update_common_plan, sum_reports(reports.values()))
        if self.mode != "alone":
            for index, gateway in enumerate(model.gateways):  # gateways that have started since
                if gateway is not None and self.delivered_plans.get(index, (gateway, 0))[0] is not gateway:
                    self.deliver(index, gateway, self.plan)

    def update_common_plan(self, fleet_report: FleetReport) -> None:
        """Updates the common plan from the fleet's report, and distributes a changed plan."""
        plan = self.planner.update(fleet_report)
        if plan is not None and self.mode == "static":
            plan = Plan(plan.number, plan.routes, {}, 0.0, plan.reason)
        if plan is not None:
            self.plans.append((self.model.sim.now, plan))
            self.model.sim.after(self.delays.distribution_ms, self.distribute, plan)

    def distribute(self, plan: Plan) -> None:
        """Delivers a plan to all gateways."""
        self.plan = plan
        for index, gateway in enumerate(self.model.gateways):
            if gateway is not None:
                self.deliver(index, gateway, plan)

    def deliver(self, index: int, gateway: ModelGateway, plan: Plan) -> None:
        """Delivers a plan to one gateway."""
        self.delivered_plans[index] = gateway, plan.number
        event = plan_event(
            plan,
            self.scenario.zones,
            [request_class.name for request_class in self.scenario.request_classes],
            alone=False,
        )
        gateway.add_event(event or FailoverPlan({}, {}, 0.0))

    def update_ceiling_plan(self, report: FleetReport) -> None:
        """Plans from the state of the engines themselves.

        What is admitted follows the ramp that was the best of many in hindsight.
        """
        now, scenario = self.model.sim.now, self.scenario
        running_sizes = dict.fromkeys(scenario.zones, 0.0)
        for scenario_engine in scenario.engines:
            engine = self.model.engines[scenario_engine.id]
            if engine.alive and not engine.hanging:
                running_sizes[scenario_engine.zone] += engine.warmth()
        routes: dict[str, dict[str, float]] = {}
        shed: dict[str, dict[str, float]] = {}
        self.planner.load.demand = dict(report.demand)
        for zone in scenario.zones:
            self.max_zone_sizes[zone] = max(self.max_zone_sizes[zone], running_sizes[zone])
            remaining_share = (
                running_sizes[zone] / self.max_zone_sizes[zone] if self.max_zone_sizes[zone] else 1.0
            )
            if remaining_share >= 0.99:
                self.lost_since.pop(zone, None)
                continue
            lost_ms = now - self.lost_since.setdefault(zone, now)
            other_sizes = {other: size for other, size in running_sizes.items() if other != zone and size}
            total_size = sum(other_sizes.values())
            routes[zone] = {
                other: (1 - remaining_share) * size / total_size for other, size in other_sizes.items()
            }
            if remaining_share:
                routes[zone][zone] = remaining_share
            held_share = min(1.0, 1 - (lost_ms - SHED_RAMP[1]) / SHED_RAMP[2])
            if held_share > 0 and not remaining_share:
                shed[zone] = hold_by_rank(
                    SHED_RAMP[0] * held_share, self.planner.load.demand, self.planner_settings.credits
                )
        if routes != self.plan.routes or shed != self.plan.shed:
            self.plan = Plan(self.plan.number + 1, routes, shed, 500.0 if shed else 0.0)
            self.distribute(self.plan)


def watcher_of(scenario: Scenario) -> Watcher:
    """Returns a watcher of the zones and request classes of a scenario."""
    return Watcher(
        scenario.zones,
        [request_class.name for request_class in scenario.request_classes],
        scenario.module_settings(0, scenario.zones[0]),
    )
