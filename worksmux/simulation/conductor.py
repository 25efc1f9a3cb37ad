"""Failover in the model: the very planner of the front, with what it hears and how fast it is heard told by
its mode, so that plans made in common can be laid beside plans made alone and by one that sees all.

`today`: no plan.  `static`: a lost zone's jobs are moved once it is delisted, by size, and nothing is shed.
`alone`: each front plans by its own reports.  `common`: one plan from all reports, heard and told late as a
council and its followers are.  `ceiling`: a planner that sees the engines themselves, at once.
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
from .front import ModelFront

MODES = ("today", "static", "alone", "common", "ceiling")
CEILING_EVERY = 50.0
RAMP = (1.0, 1000.0, 8000.0)  # of a lost zone's jobs, held back; for how long; until all are let in


@dataclass(frozen=True)
class Ways:
    """Milliseconds: between two looks, until reports have come up, until a plan is agreed and has spread."""

    every: float = 250.0
    up: float = 150.0
    down: float = 150.0


class Conductor:
    def __init__(
        self, model: Model, mode: str, ways: Ways | None = None, carries: dict[str, float] | None = None
    ) -> None:
        self.model, self.day, self.mode, self.ways = model, model.day, mode, ways or Ways()
        day = self.day
        self.map = PlannerSettings(
            {zone: day.regions.get(zone, "") for zone in day.zones},
            {one.name: one.credit for one in day.request_classes},
            day.rules["cold_share"],
            CEILING_EVERY if mode == "ceiling" else self.ways.every,
            carries or {},
        )
        self.planner = Planner(self.map, Plan())
        self.alone: dict[int, Planner] = {}
        self.plans: list[tuple[float, Plan]] = []
        self.told: dict[int, tuple[ModelFront, int]] = {}
        self.plan = Plan()
        self.sizes = dict.fromkeys(day.zones, 0.0)
        self.since: dict[str, float] = {}  # when a zone was found lost
        if mode != "today":
            model.sim.after(self.map.interval_ms, self.look)

    def look(self) -> None:
        model, now = self.model, self.model.sim.now
        model.sim.after(self.map.interval_ms, self.look)
        reports: dict[int, FleetReport] = {}
        for at, front in enumerate(model.gateways):
            if front is None:
                continue
            if front.watcher is None:
                front.watcher = watcher_of(self.day)
                for known in front.roster.reader.known.values():
                    front.watcher.engines[known.engine] = ListedEngine(
                        known.line.state,
                        self.day.zones.index(known.line.zone),
                        known.line.size,
                        known.line.started,
                    )
            reports[at] = front.watcher.report(now)
        if self.mode == "alone":
            for at, own in reports.items():
                planner = self.alone.setdefault(at, Planner(self.map, Plan()))
                plan = planner.update(own)
                front = model.gateways[at]
                if plan is not None and front is not None:
                    self.tell(at, front, plan)
        elif self.mode == "ceiling":
            self.see_all(sum_reports(reports.values()))
        else:
            model.sim.after(self.ways.up, self.plan_for_all, sum_reports(reports.values()))
        if self.mode != "alone":
            for at, front in enumerate(model.gateways):  # those that were started since
                if front is not None and self.told.get(at, (front, 0))[0] is not front:
                    self.tell(at, front, self.plan)

    def plan_for_all(self, fleet_report: FleetReport) -> None:
        plan = self.planner.update(fleet_report)
        if plan is not None and self.mode == "static":
            plan = Plan(plan.number, plan.routes, {}, 0.0, plan.reason)
        if plan is not None:
            self.plans.append((self.model.sim.now, plan))
            self.model.sim.after(self.ways.down, self.spread, plan)

    def spread(self, plan: Plan) -> None:
        self.plan = plan
        for at, front in enumerate(self.model.gateways):
            if front is not None:
                self.tell(at, front, plan)

    def tell(self, at: int, front: ModelFront, plan: Plan) -> None:
        self.told[at] = front, plan.number
        event = plan_event(plan, self.day.zones, [one.name for one in self.day.request_classes], alone=False)
        front.tell(event or FailoverPlan({}, {}, 0.0))

    def see_all(self, asked: FleetReport) -> None:
        """Zones by the engines that live; what is let in by a ramp that was the best of many in hindsight."""
        now, day = self.model.sim.now, self.day
        up = dict.fromkeys(day.zones, 0.0)
        for place in day.engines:
            engine = self.model.engines[place.id]
            if engine.alive and not engine.hanging:
                up[place.zone] += engine.warmth()
        rows: dict[str, dict[str, float]] = {}
        shed: dict[str, dict[str, float]] = {}
        self.planner.load.demand = dict(asked.demand)
        for zone in day.zones:
            self.sizes[zone] = max(self.sizes[zone], up[zone])
            part = up[zone] / self.sizes[zone] if self.sizes[zone] else 1.0
            if part >= 0.99:
                self.since.pop(zone, None)
                continue
            past = now - self.since.setdefault(zone, now)
            rest = {other: size for other, size in up.items() if other != zone and size}
            whole = sum(rest.values())
            rows[zone] = {other: (1 - part) * size / whole for other, size in rest.items()}
            if part:
                rows[zone][zone] = part
            held = min(1.0, 1 - (past - RAMP[1]) / RAMP[2])
            if held > 0 and not part:
                shed[zone] = hold_by_rank(RAMP[0] * held, self.planner.load.demand, self.map.credits)
        if rows != self.plan.routes or shed != self.plan.shed:
            self.plan = Plan(self.plan.number + 1, rows, shed, 500.0 if shed else 0.0)
            self.spread(self.plan)


def watcher_of(day: Scenario) -> Watcher:
    return Watcher(day.zones, [one.name for one in day.request_classes], day.module_settings(0, day.zones[0]))
