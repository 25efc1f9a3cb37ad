"""What one front sees of zones, from the events that its module is told.  Free of I/O."""
from __future__ import annotations

from collections import defaultdict

from .. import interface as i
from ..measure import Ring
from .tally import Tally, ZoneTally

SPAN = 1000.0            # milliseconds that a report looks back
BUCKETS = 5
ENOUGH = 3               # trips, before a front votes on a zone
HALF = 600 * SPAN        # after which half of what a zone had is forgotten
LASTS = 6 * SPAN         # how an engine was last found
ALL_BUT = 0.6            # of a zone's engines were last found at fault, and nothing went well: it is lost
GREY = 0.25              # of trips fail: the zone is grey
LATE = 0.9               # of what was promised is spent waiting, on average: the zone is grey
FAULTS = frozenset({i.Outcome.ERROR, i.Outcome.UNREACHABLE, i.Outcome.RESET, i.Outcome.TIMED_OUT})
GOOD = frozenset({i.Outcome.READ, i.Outcome.DELIVERED})


class _Zone:
    def __init__(self) -> None:
        self.good, self.faults, self.press = (Ring(SPAN, BUCKETS) for _ in range(3))
        self.last_good = self.had = self.had_at = 0.0
        self.fine: dict[i.Engine, float] = {}        # by when their last trip ended well
        self.bad: dict[i.Engine, float] = {}         # of the others, when it ended in a fault

    def lacks_role(self, ready: list[i.Engine]) -> bool:
        """Whether the zone's engines for one of both stages were last found at fault, and nothing there has
        ended well since.  Without prefill its decode engines get no attempts that could tell how they are."""
        for stage in ("read", "write"):
            able = [engine for engine in ready if engine.role in (stage, "both")]
            found = [self.bad[engine] for engine in able if engine in self.bad]
            if found and len(found) >= ALL_BUT * len(able) and max(found) > self.last_good:
                return True
        return False


class Watcher:
    """`saw` each event, in the order told; `report` what came of it."""

    def __init__(self, zones: list[str], offerings: list[str], settings: i.Settings) -> None:
        self.zones, self.offerings, self.settings = zones, offerings, settings
        self.seen: dict[int, _Zone] = defaultdict(_Zone)
        self.asked = [Ring(SPAN, BUCKETS) for _ in offerings]
        self.engines: dict[i.Engine, tuple[str, int, float, float]] = {}     # state, zone, size, started
        self.open: dict[i.Job, float] = {}           # not yet begun, with what was promised

    def saw(self, now: float, event: i.Event) -> None:
        match event:
            case i.Arrived(job):
                self.asked[job.offering].add(now)
                offering = self.settings["offerings"][job.offering]
                self.open[job] = offering["promised_time"] + offering["promised_per_k"] * job.prompt / 1000
            case i.Began(trip, _):
                zone = self.seen[trip.engine.zone]
                if promised := self.open.pop(trip.job, 0.0):
                    zone.press.add(now, (now - trip.job.arrived) / promised)
                self._good(now, zone, trip.engine)
            case i.Ended(trip, outcome):
                zone = self.seen[trip.engine.zone]
                if outcome in FAULTS:
                    zone.faults.add(now)
                    zone.bad[trip.engine] = now
                    zone.fine.pop(trip.engine, None)
                elif outcome in GOOD:
                    self._good(now, zone, trip.engine)
            case i.Listed(scope, entries) if scope != "failed":
                if scope != "delta":
                    self.engines = {}
                for entry in entries:
                    self.engines[entry.engine] = entry.state, entry.zone, entry.size, entry.started
                    if entry.state == "gone":
                        del self.engines[entry.engine]
            case _:
                pass

    def _good(self, now: float, zone: _Zone, engine: i.Engine) -> None:
        zone.good.add(now)
        zone.last_good = zone.fine[engine] = now
        zone.bad.pop(engine, None)

    def report(self, now: float) -> Tally:
        second = SPAN / 1000
        asked = {name: ring.count(now) / second
                 for name, ring in zip(self.offerings, self.asked, strict=True)}
        told = Tally(1, {}, asked)
        warm_up: float = self.settings["warm_up"]
        waits = self._waits(now)
        whole = sum(one[2] for one in self.engines.values() if one[0] == "ready") or 1.0
        for at, name in enumerate(self.zones):
            engines = [engine for engine, one in self.engines.items() if one[1] == at and one[0] == "ready"]
            ready = [self.engines[engine] for engine in engines]
            zone = self.seen[at]
            good, faults = zone.good.count(now), zone.faults.count(now)
            begun, size = zone.press.count(now), sum(one[2] for one in ready)
            # Who waits for any engine waits for each, as far as it is there.
            open_, aged = (waits[at][part] + waits[-1][part] * size / whole for part in (0, 1))
            press = zone.press.mean(now) * begun + aged
            wait = press / (begun + open_) if begun + open_ else 0.0
            # Votes need something seen; where nothing was sent, the list alone is told.  An engine that the
            # module has set aside after a fault is asked no more: how it was last found goes on counting.
            for found in (zone.fine, zone.bad):
                for engine in [one for one, at in found.items() if at < now - LASTS]:
                    del found[engine]
            lacks_role = zone.lacks_role(engines)
            spoke = lacks_role or good + faults >= ENOUGH or len(zone.bad) + len(zone.fine) >= min(
                ENOUGH, max(1, len(ready)))
            lost = (spoke and bool(zone.bad) and now - zone.last_good > SPAN / 4
                    and (faults >= ENOUGH and faults > good or len(zone.bad) >= ALL_BUT * len(ready)
                         or lacks_role))
            grey = spoke and not lost and (faults > GREY * (good + faults)
                                           or begun >= ENOUGH and wait > LATE)
            told.zones[name] = ZoneTally(
                int(spoke), int(lost), int(grey), int(bool(ready)), size, self._had(now, zone, size),
                sum(one[2] * max(0.0, 1 - (now - one[3]) / warm_up) for one in ready if one[3] > 0),
                begun / second, (begun + open_) / second, press / second, faults / second)
        return told

    def _had(self, now: float, zone: _Zone, size: float) -> float:
        """Guards against a seat that begins to lead after a zone was lost, and would take it for one that
        never was: fronts remember what they knew of it.  Fleets shrink on purpose too, so it fades."""
        fades = 0.5 ** (max(0.0, now - zone.had_at) / HALF) if zone.had_at else 1.0
        zone.had, zone.had_at = max(size, zone.had * fades), now
        return zone.had

    def _waits(self, now: float) -> dict[int, list[float]]:
        """Of jobs that have not begun: how many, and the sum of their waits as parts of what was promised,
        by the zone of their latest trip; -1 where they have none.  What began tells of a jam too late."""
        found: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        for job, promised in list(self.open.items()):
            if job.ended or job.began or now > job.give_up_at:
                del self.open[job]
                continue
            entry = found[job.trips[-1].engine.zone if job.trips else -1]
            entry[0] += 1
            entry[1] += (now - job.arrived) / promised
        return found
