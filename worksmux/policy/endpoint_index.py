"""The engines of one endpoint list, arranged for the decisions on where requests go.

A placement finds here what it looks at without a look at all engines: decode engines by cell and zone in the
order of their turns, and prefill engines ranked by hash.  The index is made once for each list.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Iterable, Iterator

from .events import FailoverPlan
from .hashing import mix
from .prefill_weights import weigh
from .rendezvous import RankedEngines, Ranking
from .round_robin import ANYWHERE, RoundRobin, Scope
from .settings import ROLE_COMBINED, ROLE_DECODE, ROLE_PREFILL, PolicySettings
from .state import READY, Engine, Request

MAX_RANKINGS = 128  # kept, of the keys seen last


class EngineIndex:
    """Which engines prefill and decode, and what share of the work each is due."""

    def __init__(
        self, engines: Iterable[Engine], plan: FailoverPlan | None, settings: PolicySettings, now: float
    ) -> None:
        """`now`, milliseconds, decides which engines are cold."""
        known = list(engines)
        listed = [engine for engine in known if engine.state == READY]
        self.ready_by_role = Counter(engine.role for engine in listed)
        ready, self.excluded_by_plan = self._by_plan(known, listed, plan)
        by_role: dict[str, list[Engine]] = defaultdict(list)
        for engine in ready:
            by_role[engine.role].append(engine)
        self.prefill_engines = by_role[ROLE_PREFILL]
        self.decode_engines = by_role[ROLE_DECODE]
        self.combined_engines = by_role[ROLE_COMBINED]
        self.prefill_capable = self.prefill_engines + self.combined_engines
        self.decode_capable = self.decode_engines + self.combined_engines
        self.prefill_engine_set = frozenset(self.prefill_engines)
        self.prefill_capable_set = frozenset(self.prefill_capable)
        self._slow_start_ms = settings.slow_start_ms
        self.cold_engines = {
            engine: None for engine in ready if engine.started > 0 and now < self._warm_at(engine)
        }
        self._prefill_engines_warm_at = sorted(map(self._warm_at, self.prefill_engines))
        self._first_decode_engine_warm_at = min(map(self._warm_at, self.decode_engines), default=0.0)
        self.local_decode_share = weigh(
            self.prefill_engines, self.decode_engines, self.combined_engines, settings.migration_price
        )
        self._decode_engines_by_cell: dict[int, list[Engine]] = defaultdict(list)
        for engine in self.decode_engines:
            self._decode_engines_by_cell[engine.cell].append(engine)
        # What follows is made when it is first needed, as lists can come faster than requests.
        self._by_hash: RankedEngines | None = None
        self._rankings: OrderedDict[int, Ranking] = OrderedDict()
        self._in_cell: dict[int, RoundRobin] = {}
        self._in_zone: dict[int, RoundRobin] = {}
        self._everywhere: RoundRobin | None = None

    @staticmethod
    def _by_plan(
        known: list[Engine], listed: list[Engine], plan: FailoverPlan | None
    ) -> tuple[list[Engine], dict[Engine, None]]:
        """The engines that take part, and those that the plan excludes: a request's home stays known."""
        if plan is None or not plan.zone_shares:
            return listed, {}
        rows = {zone: dict(row) for zone, row in plan.zone_shares.items()}
        ready = [engine for engine in listed if engine.zone in rows.get(engine.zone, {engine.zone: 1})]
        ready = ready or listed
        taking_part = set(ready)
        excluded = {
            engine: None
            for engine in known
            if engine.zone in rows
            and engine not in taking_part
            and engine.role != ROLE_DECODE
            and engine.weight
        }
        return ready, excluded

    # Slow start.

    def _warm_at(self, engine: Engine) -> float:
        return engine.started + self._slow_start_ms if engine.started > 0 else 0.0

    def most_prefill_engines_cold(self, now: float) -> bool:
        """Whether more than half of the prefill engines are cold."""
        warm = bisect_right(self._prefill_engines_warm_at, now)
        cold = len(self._prefill_engines_warm_at) - warm
        return 2 * cold > len(self.prefill_engines)

    def all_decode_engines_cold(self, now: float) -> bool:
        return not self.decode_engines or now < self._first_decode_engine_warm_at

    # Decode engines.

    def _cell(self, cell: int) -> RoundRobin:
        if cell not in self._in_cell:
            self._in_cell[cell] = RoundRobin(self._decode_engines_by_cell.get(cell, ()))
        return self._in_cell[cell]

    def _zone(self, zone: int) -> RoundRobin:
        if zone not in self._in_zone:
            in_zone = (engine for engine in self.decode_engines if engine.zone == zone)
            self._in_zone[zone] = RoundRobin(in_zone)
        return self._in_zone[zone]

    def _all(self) -> RoundRobin:
        if self._everywhere is None:
            self._everywhere = RoundRobin(self.decode_engines)
        return self._everywhere

    def record_turn(self, engine: Engine) -> None:
        """A decode engine was chosen."""
        self._cell(engine.cell).record_turn(engine)
        self._zone(engine.zone).record_turn(engine)
        self._all().record_turn(engine)

    def decode_groups(self, random_draw: float, near: Engine | None, scope: Scope) -> Iterator[RoundRobin]:
        """Decode engines, nearest first, as far as the scope allows: the cell of the prefill engine, up to
        what its decode engines are due, its zone, the rest."""
        if near:
            # A cell without a share is one whose prefill engines have all gone, while KV cache lies there.
            if random_draw < self.local_decode_share.get(near.cell, 1.0):
                yield self._cell(near.cell)
            yield self._zone(near.zone)
        if scope.cell is not None:
            yield self._cell(scope.cell)
        elif scope.zone is not None:
            yield self._zone(scope.zone)
        else:
            yield self._all()

    @staticmethod
    def any_in(group: list[Engine], scope: Scope) -> bool:
        """Whether an engine of the group lies in the scope."""
        if scope is ANYWHERE:
            return bool(group)
        return any(scope.has(engine) for engine in group)

    # Prefill engines.

    def ranked(self, key: int) -> Ranking:
        """Engines that may prefill, and those that the plan excludes, by weighted rendezvous hashing."""
        if self._by_hash is None:
            self._by_hash = RankedEngines([*self.prefill_capable, *self.excluded_by_plan])
        found = self._rankings.get(key)
        if found is None:
            found = self._rankings[key] = self._by_hash.ranked(key)
            if len(self._rankings) > MAX_RANKINGS:
                self._rankings.popitem(last=False)
        else:
            self._rankings.move_to_end(key)
        return found

    def ranked_for(self, request: Request) -> tuple[int, int, Ranking]:
        """The hash of the request's prefix, that of its session, and the ranking by the first of them."""
        session = mix(request.session or request.id, 1)
        key = mix(request.prefix, 0) if request.prefix else session
        return key, session, self.ranked(key)

    def prefill_capable_in(self, scope: Scope) -> list[Engine]:
        return [engine for engine in self.prefill_capable if scope.has(engine)]
