"""The engines of one list, arranged for the decisions on where requests go: made once for each list.

A placement finds here what it looks at without a look at all engines: decode engines by cell and zone in the
order of their turns, prefill engines ranked by hash, ranks kept for the keys seen last.  A search is bounded,
and one in vain goes on at the next try where it stopped: the cost of a request does not grow with the fleet.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from operator import attrgetter
from typing import NamedTuple

from .events import FailoverPlan
from .measure import mix
from .rendezvous import RankedEngines, Ranking
from .settings import PolicySettings
from .state import Engine, Request

LEAN = 6.0  # times the price of moving state: what prefill engines take beyond their even share
MOST_LOOKS = 128  # at decode engines of one circle in one search
HEAD_LOOKS = 128  # at prefill engines in one search, those that the hash puts first
FURTHER_LOOKS = 64  # at those behind them, going on where the last search stopped
FORGOTTEN = 1_000.0  # milliseconds after a vain search: the next one begins with the first engine again
KEPT_RANKINGS = 128  # of the keys seen last


class Scope(NamedTuple):
    """Where a further attempt may go: anywhere, in one zone, or in one cell of it."""

    zone: int | None = None
    cell: int | None = None

    def has(self, engine: Engine) -> bool:
        return (self.zone is None or engine.zone == self.zone) and (
            self.cell is None or engine.cell == self.cell
        )


ANYWHERE = Scope()


class RoundRobin:
    """Engines in the order of their turns."""

    def __init__(self, engines: Iterable[Engine]) -> None:
        self._order = OrderedDict.fromkeys(sorted(engines, key=attrgetter("last_turn")))
        self._start = 0  # where the next search begins, after vain ones
        self._vain_at = 0.0

    def __contains__(self, engine: Engine) -> bool:
        return engine in self._order

    def had_turn(self, engine: Engine) -> None:
        """It comes last from now on."""
        if engine in self._order:
            self._order.move_to_end(engine)

    def first(self, now: float, fits: Callable[[Engine], bool]) -> Engine | None:
        """The first that fits, of MOST_LOOKS at most; `now` is milliseconds."""
        if now - self._vain_at > FORGOTTEN:
            self._start = 0
        for engine in islice(self._order, self._start, self._start + MOST_LOOKS):
            if fits(engine):
                return engine
        self._vain_at = now
        self._start += MOST_LOOKS
        if self._start >= len(self._order):
            self._start = 0
        return None


class EngineIndex:
    """Who runs prefills and who answers, and what part of the work each is due."""

    def __init__(
        self, engines: Iterable[Engine], plan: FailoverPlan | None, settings: PolicySettings, now: float
    ) -> None:
        """`now`, milliseconds, decides which engines are cold."""
        self.settings = settings
        known = list(engines)
        listed = [engine for engine in known if engine.state == "ready"]
        self.ready_by_role = Counter(engine.role for engine in listed)
        ready, self.missed = self._by_plan(known, listed, plan)
        roles: dict[str, list[Engine]] = defaultdict(list)
        for engine in ready:
            roles[engine.role].append(engine)
        self.readers, self.writers, self.mixed = roles["read"], roles["write"], roles["both"]
        self.hosts, self.answering = self.readers + self.mixed, self.writers + self.mixed
        self.prefill_engines, self.host_set = frozenset(self.readers), frozenset(self.hosts)
        warm_up = settings.slow_start_ms
        self.cold = {
            engine: None for engine in ready if 0 < engine.started and now < engine.started + warm_up
        }
        self._readers_warm_at = sorted(
            engine.started + warm_up if engine.started > 0 else 0.0 for engine in self.readers
        )
        self._first_writer_warm_at = min(
            (engine.started + warm_up if engine.started > 0 else 0.0 for engine in self.writers),
            default=0.0,
        )
        self._weigh()
        # What follows is made when it is first asked for: lists come faster than requests, at times.
        self._by_hash: RankedEngines | None = None
        self._rankings: OrderedDict[int, Ranking] = OrderedDict()
        self._in_cell: dict[int, RoundRobin] = {}
        self._in_zone: dict[int, RoundRobin] = {}
        self._everywhere: RoundRobin | None = None

    @staticmethod
    def _by_plan(
        known: list[Engine], listed: list[Engine], plan: FailoverPlan | None
    ) -> tuple[list[Engine], dict[Engine, None]]:
        """Those that take part, and those of zones that the plan moves: where jobs belong stays known."""
        if plan is None or not plan.zone_shares:
            return listed, {}
        rows = {zone: dict(row) for zone, row in plan.zone_shares.items()}
        ready = [one for one in listed if one.zone in rows.get(one.zone, {one.zone: 1})] or listed
        able = set(ready)
        missed = {
            engine: None
            for engine in known
            if engine.zone in rows and engine not in able and engine.role != "write" and engine.weight
        }
        return ready, missed

    def _weigh(self) -> None:
        """Prefill engines weigh as much as their cell's decode engines can answer: where racks hold the two
        unevenly, a plain hash would push a rack's few decode engines over, and a front that seldom meets them
        sees no window fill."""
        reads: dict[int, float] = defaultdict(float)
        answers: dict[int, float] = defaultdict(float)
        for engines, parts in (
            (self.readers, reads),
            (self.writers, answers),
            (self.mixed, defaultdict(float)),
        ):
            whole = sum(engine.size for engine in engines)
            for engine in engines:
                engine.role_share = engine.size / whole
                parts[engine.cell] += engine.role_share
        lean = 1 + LEAN * self.settings.migration_price
        flow = {cell: min(answers[cell], lean * part) for cell, part in reads.items()}
        room = sum(lean * part - flow[cell] for cell, part in reads.items())
        unread = 1 - sum(flow.values())
        self._writers_by_cell: dict[int, list[Engine]] = defaultdict(list)
        for engine in self.writers:
            self._writers_by_cell[engine.cell].append(engine)
        self.keeps: dict[int, float] = {}  # the part of a cell's reads that its own writers are due
        for cell, part in reads.items():
            flow[cell] += unread * (lean * part - flow[cell]) / (room or 1.0) + 1e-6
            self.keeps[cell] = min(1.0, answers[cell] / flow[cell])
        writers = max(1, len(self.writers))
        for engine in self.readers:
            engine.weight = engine.role_share * flow[engine.cell] / reads[engine.cell] * writers
        for engine in self.mixed:  # each takes as many jobs as a writer answers
            engine.weight = engine.role_share * len(self.mixed)

    def _cell(self, cell: int) -> RoundRobin:
        if cell not in self._in_cell:
            self._in_cell[cell] = RoundRobin(self._writers_by_cell.get(cell, ()))
        return self._in_cell[cell]

    def _zone(self, zone: int) -> RoundRobin:
        if zone not in self._in_zone:
            self._in_zone[zone] = RoundRobin(engine for engine in self.writers if engine.zone == zone)
        return self._in_zone[zone]

    def _all(self) -> RoundRobin:
        if self._everywhere is None:
            self._everywhere = RoundRobin(self.writers)
        return self._everywhere

    def had_turn(self, engine: Engine) -> None:
        """A decode engine was chosen."""
        self._cell(engine.cell).had_turn(engine)
        self._zone(engine.zone).had_turn(engine)
        self._all().had_turn(engine)

    def rounds(self, luck: float, near: Engine | None, scope: Scope) -> Iterator[RoundRobin]:
        """Decode engines, nearest first: the prefill engine's cell up to what its decode engines are due, its
        zone, the rest, as far as the scope allows."""
        if near:
            # Guards against a cell whose prefill engines have all gone, while state still lies there.
            if luck < self.keeps.get(near.cell, 1.0):
                yield self._cell(near.cell)
            yield self._zone(near.zone)
        if scope.cell is not None:
            yield self._cell(scope.cell)
        elif scope.zone is not None:
            yield self._zone(scope.zone)
        else:
            yield self._all()

    def any_in(self, group: list[Engine], scope: Scope) -> bool:
        """Whether one of `hosts` or of `answering` lies in the scope."""
        if scope is ANYWHERE:
            return bool(group)
        return any(scope.has(engine) for engine in group)

    def mostly_cold_readers(self, now: float) -> bool:
        """Whether more than half of the prefill engines are cold."""
        cold = len(self._readers_warm_at) - bisect_right(self._readers_warm_at, now)
        return 2 * cold > len(self.readers)

    def all_writers_cold(self, now: float) -> bool:
        return not self.writers or now < self._first_writer_warm_at

    def ranked(self, key: int) -> Ranking:
        """Those that may run a prefill, and those of zones that the plan moves, by weighted rendezvous
        hashing; kept for the keys seen last."""
        if self._by_hash is None:
            self._by_hash = RankedEngines([*self.hosts, *self.missed])
        found = self._rankings.get(key)
        if found is None:
            found = self._rankings[key] = self._by_hash.ranked(key)
            if len(self._rankings) > KEPT_RANKINGS:
                self._rankings.popitem(last=False)
        else:
            self._rankings.move_to_end(key)
        return found

    def ranked_for(self, request: Request) -> tuple[int, int, Ranking]:
        """The hash of the request's prefix, that of its session, and the ranking by the first of them."""
        session = mix(request.session or request.id, 1)
        key = mix(request.prefix, 0) if request.prefix else session
        return key, session, self.ranked(key)

    def hosts_in(self, scope: Scope) -> list[Engine]:
        """Those that may run a prefill in the scope."""
        return [engine for engine in self.hosts if scope.has(engine)]
