"""From how zones are and what clients ask to the plan: near first, then other zones of the region, then other
regions; what fits nowhere is deferred, the lowest credit first.  Pure.

    plan = planner.look(tally)       # every `every` milliseconds, at the seat that leads; None: no other plan

What a zone carries warm is told by settings, or learned from the most that began there while waits were
short.  That it is full after all shows in how long jobs wait, as a part of what was promised.

What moves finds nothing read of what it shares with others where it comes.  Sent at once it fills the
readers' memory, which pushes out what was read there, and the zone that was well goes down with the other
(measured: docs/fleet.md).  So a zone's moved jobs are let in by degrees, those of the highest credit first,
as fast as those who take them have room to spare.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .plan import LEAST_SHARE, Plan
from .tally import Tally
from .zones import Phase, Zones

FULL = 0.5  # of what was promised, spent waiting on average: above it a zone is full
EASY = 0.25  # under it, what begins there shows what the zone carries
LIGHT = 0.45  # of what those who take jobs carry: with less to come all is let in at once
IDLE = 0.05  # of what was promised: waits of engines that have next to nothing to do
GUESS = 3.0  # load, for each part of what was promised that jobs wait beyond that
STEEP = 2.0  # what is held back to begin with, for each part of load above that
SPARE = 1.25  # of what they carry, less the load: what can go into reading anew what moves
LEAST_SPARE = 0.08
LET_IN = 0.5  # of the moved jobs, let in a second for each part that is spare
BACK_OFF = 0.08  # held back again a second, while those who take them are full
PATIENCE = 4.0  # seconds that all are full, before more is deferred than does not fit
CUT = 0.2  # of all jobs, deferred at each further second
FORGET = 0.0005  # of what a zone was seen to carry, at a look
ABROAD = 0.1  # of a region's moved jobs, that a full one sends on to others at a look
LEAVE = 0.02  # of an offering's jobs always let through: what they meet shows the way back
MOST_CUT = 0.9
SMOOTH = 0.4  # of each new look, in what the planner sees
STAY = 2.0  # looks that a deferred job stays away, at least
COARSE = 0.03  # shares that change by less make no new plan


@dataclass(frozen=True)
class Map:
    """What settings say of the fleet: the region of each zone; offerings with their credit."""

    regions: dict[str, str]
    credits: dict[str, float]
    cold_share: float
    every: float  # milliseconds between two looks
    carries: dict[str, float]  # by zone: jobs a second that it carries warm; learned where not told


@dataclass
class Moving:
    """A zone whose jobs go elsewhere."""

    held: float  # of them, the part that is deferred


class Planner:
    def __init__(self, told: Map, plan: Plan) -> None:
        """Goes on from the plan in force."""
        self.map, self.plan = told, plan
        self.zones = Zones(told.cold_share)
        self.zones.take_on(plan.keep)
        self.moving = {name: Moving(held) for name, held in plan.held.items()}
        self.press: dict[str, float] = {}  # by zone, smoothed
        self.full_for = 0  # looks in a row that all zones were full
        self.excess = 0.0  # of all jobs, deferred for what shows beside the load
        self.cut = 0.0  # of all jobs, wherever they belong
        self.seen: dict[str, float] = {}  # jobs a second that began in a zone at ease, the most
        self.abroad: dict[str, float] = {}  # of a region's moved jobs, the part that leaves it
        self.asked: dict[str, float] = {}

    def look(self, tally: Tally) -> Plan | None:
        if not tally.fronts:
            return None
        self.zones.look(tally)
        self._weigh(tally)
        rows: dict[str, dict[str, float]] = {}
        held: dict[str, float] = {}
        words = []
        for name, view in sorted(self.zones.views.items()):
            if view.phase is Phase.WELL or view.keep >= 1.0 - LEAST_SHARE:
                self.moving.pop(name, None)
                continue
            self._move(name)
            row = self._row(name, view.keep)
            if row:
                rows[name] = row
            held[name] = self.moving[name].held * (1.0 - view.keep)
            words.append(f"{name} {view.phase.value}")
        if self.cut:
            words.append(f"{self.cut:.0%} of all jobs are deferred")
        return self._next(rows, held, ", ".join(words))

    def _weigh(self, tally: Tally) -> None:
        """What clients ask, how full zones are, and whether all are, for long."""
        for name in self.map.credits:
            flow = tally.asked.get(name, 0.0)
            old = self.asked.get(name, flow)
            self.asked[name] = old + SMOOTH * (flow - old)
        for name, zone in tally.zones.items():
            if zone.met > 0:
                now = zone.press / zone.met
                old = self.press.get(name, now)
                self.press[name] = old + SMOOTH * (now - old)
            if self.press.get(name, 1.0) < EASY:
                self.seen[name] = max(self.seen.get(name, 0.0) * (1 - FORGET), zone.begun)
        serving = [name for name, view in self.zones.views.items() if view.keep > 0]
        troubled = any(view.phase is not Phase.WELL for view in self.zones.views.values())
        full = bool(serving) and all(self.press.get(name, 0.0) > FULL for name in serving)
        # In calm nothing is taken off: a plan is for failures, and what else is too much the fronts know.
        self.full_for = self.full_for + 1 if full and troubled else 0
        if self.full_for > PATIENCE / self.second:
            self.excess = min(MOST_CUT, self.excess + CUT * self.second)
        elif not full:
            self.excess = max(0.0, self.excess - CUT * self.second)
        load = self._load(serving)
        self.cut = min(MOST_CUT, max(self.excess, 1 - 1 / load if troubled and load > 1 else 0.0))

    @property
    def second(self) -> float:
        """Seconds between two looks."""
        return self.map.every / 1000

    def _load(self, serving: Iterable[str]) -> float:
        """All that is asked, as a part of what these zones carry.  Where that is not told it is guessed from
        their waits, and taken for less where they were seen to carry as much at ease."""
        names, asked = list(serving), sum(self.asked.values())
        if all(self.map.carries.get(name) for name in names):
            carried = 0.0
            for name in names:
                view = self.zones.views[name]
                carried += self.map.carries[name] * view.keep * (view.ready / view.size if view.size else 0.0)
            return asked / carried if carried else 1.0
        seen = sum(self.seen.get(name, 0.0) for name in names)
        waits = max((self.press.get(name, 1.0) for name in names), default=1.0)
        guess = min(1.0, LIGHT + GUESS * max(0.0, waits - IDLE))
        return min(guess, asked / seen) if seen else guess

    def _takers(self, name: str) -> tuple[dict[str, float], dict[str, float]]:
        """What is ready in the other zones of the region, and in those of others."""
        region = self.map.regions.get(name, "")
        room = {
            other: view.ready * view.keep
            for other, view in self.zones.views.items()
            if other != name and view.phase is not Phase.LOST and view.ready * view.keep > 0
        }
        near = {other: size for other, size in room.items() if self.map.regions.get(other, "") == region}
        return near, {other: size for other, size in room.items() if other not in near}

    def _move(self, name: str) -> None:
        """One step of letting in what a zone does not keep."""
        near, far = self._takers(name)
        region = self.map.regions.get(name, "")
        leaves = self.abroad.get(region, 0.0)
        takers = near or far
        load = self._load(other for other, view in self.zones.views.items() if view.keep > 0)
        moving = self.moving.setdefault(name, Moving(max(0.0, min(1.0, STEEP * (load - LIGHT)))))
        press = max((self.press.get(other, 0.0) for other in takers), default=1.0)
        if press > FULL and near and far and max(self.press.get(other, 0.0) for other in far) < FULL:
            self.abroad[region] = min(1.0, leaves + ABROAD)  # regions before that pay their price
        elif press > FULL:
            moving.held = min(1.0 - LEAVE, moving.held + BACK_OFF * self.second)
        else:
            moving.held = max(0.0, moving.held - LET_IN * max(LEAST_SPARE, SPARE - load) * self.second)
            if press < EASY:
                self.abroad[region] = max(0.0, leaves - ABROAD / 4)

    def _row(self, name: str, keep: float) -> dict[str, float]:
        """Where the jobs of a zone go: what it keeps, then its region up to what that can take, then the
        others, each by what is ready there."""
        near, far = self._takers(name)
        if not near and not far:
            return {}  # nowhere to go: it stays, for what it is worth
        leaves = 1.0 if not near else self.abroad.get(self.map.regions.get(name, ""), 0.0) if far else 0.0
        row = {name: keep} if keep else {}
        for others, part in ((near, 1.0 - leaves), (far, leaves)):
            whole = sum(others.values())
            for other, size in sorted(others.items()):
                share = round((1.0 - keep) * part * size / whole, 4)
                if share >= LEAST_SHARE:
                    row[other] = share
        total = sum(row.values())
        return {other: share / total for other, share in row.items()}

    def _shed(self, part: float) -> dict[str, float]:
        """A part of jobs by offering: the lowest credit first, each but for a little that shows how things
        are."""
        left = part * sum(self.asked.values())
        shed: dict[str, float] = {}
        for name in sorted(self.asked, key=lambda name: self.map.credits.get(name, 0.0)):
            flow = self.asked[name]
            if left <= 0 or flow <= 0:
                continue
            share = min(1.0 - LEAVE, left / flow)
            left -= share * flow
            if share >= LEAST_SHARE:
                shed[name] = round(share, 3)
        return shed

    def _hold(self, part: float) -> dict[str, float]:
        """What is held back of moved jobs, by offering: all of that part of the lowest credit, nothing of the
        highest.  By rank and not one after the other: the beginnings of all are let in side by side."""
        ranked = sorted(self.asked, key=lambda name: self.map.credits.get(name, 0.0))
        last = max(1, len(ranked) - 1)
        return {
            name: round(share, 3)
            for at, name in enumerate(ranked)
            if (share := min(1.0 - LEAVE, part * (1 - at / last))) >= LEAST_SHARE
        }

    def _next(self, rows: dict[str, dict[str, float]], held: dict[str, float], why: str) -> Plan | None:
        old = self.plan
        shed = {}
        for name in self.zones.views:
            found = self._shed(self.cut)
            for request_class, share in self._hold(held.get(name, 0.0)).items():
                found[request_class] = max(share, found.get(request_class, 0.0))
            if found:
                shed[name] = found
        if _near(rows, old.rows) and _near(shed, old.shed):
            return None
        calm = not rows and not shed
        keep = {
            name: round(view.keep, 4)
            for name, view in self.zones.views.items()
            if view.phase is not Phase.WELL
        }
        self.plan = Plan(
            old.number + 1,
            rows,
            shed,
            STAY * self.map.every if shed else 0.0,
            why or "all zones are well",
            keep,
            held,
            old.event + (old.calm and not calm),
        )
        return self.plan


def _alike(one: dict[str, float], other: dict[str, float]) -> bool:
    """Whether shares differ by next to nothing; none against some is always a difference."""
    return one.keys() == other.keys() and all(abs(one[key] - other[key]) < COARSE for key in one)


def _near(one: dict[str, dict[str, float]], other: dict[str, dict[str, float]]) -> bool:
    return one.keys() == other.keys() and all(_alike(one[key], other[key]) for key in one)
