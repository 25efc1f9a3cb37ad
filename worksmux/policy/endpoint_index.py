"""Indexes the engines of one endpoint list for placement.

Placement finds engines here without a scan of the whole fleet: decode engines by cell and zone in the order
of the round-robin, and prefill engines ranked by hash.  Each endpoint list and each failover plan gets a new
index.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Iterable, Iterator

from .events import FailoverPlan
from .hashing import mix
from .prefill_weights import set_weights
from .rendezvous import RankedEngines, Ranking
from .round_robin import ANYWHERE, RoundRobin, Scope
from .settings import ROLE_COMBINED, ROLE_DECODE, ROLE_PREFILL, PolicySettings
from .state import READY, Engine, Request

MAX_RANKINGS = 128  # kept, those of the keys used last


class EngineIndex:
    """Groups engines by role, cell and zone, and sets the share of the work that each is due."""

    def __init__(
        self, engines: Iterable[Engine], plan: FailoverPlan | None, settings: PolicySettings, now: float
    ) -> None:
        """Builds the index; `now` is milliseconds and decides which engines are cold."""
        all_engines = list(engines)
        ready_engines = [engine for engine in all_engines if engine.state == READY]
        self.ready_by_role = Counter(engine.role for engine in ready_engines)
        included, self.excluded_by_plan = self._split_by_plan(all_engines, ready_engines, plan)
        by_role: dict[str, list[Engine]] = defaultdict(list)
        for engine in included:
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
            engine: None for engine in included if engine.started > 0 and now < self._warm_at(engine)
        }
        self._prefill_engines_warm_at = sorted(map(self._warm_at, self.prefill_engines))
        self._first_decode_engine_warm_at = min(map(self._warm_at, self.decode_engines), default=0.0)
        self.local_decode_share = set_weights(
            self.prefill_engines, self.decode_engines, self.combined_engines, settings.migration_price
        )
        self._decode_engines_by_cell: dict[int, list[Engine]] = defaultdict(list)
        for engine in self.decode_engines:
            self._decode_engines_by_cell[engine.cell].append(engine)
        # The rest is built on first use, as endpoint lists can arrive faster than requests.
        self._ranked_engines: RankedEngines | None = None
        self._rankings: OrderedDict[int, Ranking] = OrderedDict()
        self._round_robin_by_cell: dict[int, RoundRobin] = {}
        self._round_robin_by_zone: dict[int, RoundRobin] = {}
        self._round_robin_of_fleet: RoundRobin | None = None

    @staticmethod
    def _split_by_plan(
        all_engines: list[Engine], ready_engines: list[Engine], plan: FailoverPlan | None
    ) -> tuple[list[Engine], dict[Engine, None]]:
        """Returns the engines that the plan includes, and the excluded ones that stay in the ranking.

        They stay because the home zone of a request is the zone of its first-ranked engine.
        """
        if plan is None or not plan.zone_shares:
            return ready_engines, {}
        shares_by_home = {zone: dict(zone_shares) for zone, zone_shares in plan.zone_shares.items()}
        included = [
            engine
            for engine in ready_engines
            if engine.zone in shares_by_home.get(engine.zone, {engine.zone: 1})
        ]
        included = included or ready_engines
        included_set = set(included)
        excluded = {
            engine: None
            for engine in all_engines
            if engine.zone in shares_by_home
            and engine not in included_set
            and engine.role != ROLE_DECODE
            and engine.weight
        }
        return included, excluded

    # Slow start.

    def _warm_at(self, engine: Engine) -> float:
        return engine.started + self._slow_start_ms if engine.started > 0 else 0.0

    def most_prefill_engines_cold(self, now: float) -> bool:
        """Whether more than half of the prefill engines are in slow start."""
        warm = bisect_right(self._prefill_engines_warm_at, now)
        cold = len(self._prefill_engines_warm_at) - warm
        return 2 * cold > len(self.prefill_engines)

    def all_decode_engines_cold(self, now: float) -> bool:
        """Whether every decode engine is in slow start, or there is none."""
        return not self.decode_engines or now < self._first_decode_engine_warm_at

    # Decode engines.

    def _cell_round_robin(self, cell: int) -> RoundRobin:
        if cell not in self._round_robin_by_cell:
            self._round_robin_by_cell[cell] = RoundRobin(self._decode_engines_by_cell.get(cell, ()))
        return self._round_robin_by_cell[cell]

    def _zone_round_robin(self, zone: int) -> RoundRobin:
        if zone not in self._round_robin_by_zone:
            in_zone = (engine for engine in self.decode_engines if engine.zone == zone)
            self._round_robin_by_zone[zone] = RoundRobin(in_zone)
        return self._round_robin_by_zone[zone]

    def _fleet_round_robin(self) -> RoundRobin:
        if self._round_robin_of_fleet is None:
            self._round_robin_of_fleet = RoundRobin(self.decode_engines)
        return self._round_robin_of_fleet

    def record_turn(self, engine: Engine) -> None:
        """Moves a chosen decode engine to the end of every round-robin order."""
        self._cell_round_robin(engine.cell).record_turn(engine)
        self._zone_round_robin(engine.zone).record_turn(engine)
        self._fleet_round_robin().record_turn(engine)

    def decode_groups(
        self, random_draw: float, kv_source: Engine | None, scope: Scope
    ) -> Iterator[RoundRobin]:
        """Yields groups of decode engines, nearest first: the cell of the KV cache, its zone, the rest.

        The random draw skips the cell for the share of requests that its decode engines cannot take.  The
        scope limits the last group.
        """
        if kv_source:
            # A cell without a share has lost all its prefill engines but still holds KV cache.
            if random_draw < self.local_decode_share.get(kv_source.cell, 1.0):
                yield self._cell_round_robin(kv_source.cell)
            yield self._zone_round_robin(kv_source.zone)
        if scope.cell is not None:
            yield self._cell_round_robin(scope.cell)
        elif scope.zone is not None:
            yield self._zone_round_robin(scope.zone)
        else:
            yield self._fleet_round_robin()

    @staticmethod
    def any_in(group: list[Engine], scope: Scope) -> bool:
        """Whether an engine of the group is within the scope."""
        if scope is ANYWHERE:
            return bool(group)
        return any(scope.has(engine) for engine in group)

    # Prefill engines.

    def ranked(self, key: int) -> Ranking:
        """Ranks prefill-capable engines and those that the plan excludes by weighted rendezvous hashing."""
        if self._ranked_engines is None:
            self._ranked_engines = RankedEngines([*self.prefill_capable, *self.excluded_by_plan])
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = self._rankings[key] = self._ranked_engines.ranked(key)
            if len(self._rankings) > MAX_RANKINGS:
                self._rankings.popitem(last=False)
        else:
            self._rankings.move_to_end(key)
        return ranking

    def ranked_for(self, request: Request) -> tuple[int, int, Ranking]:
        """Returns the hash of the request's prefix, that of its session, and the ranking by the prefix hash.

        A request without a shared prefix is ranked by its session.
        """
        session_hash = mix(request.session or request.id, 1)
        prefix_hash = mix(request.prefix, 0) if request.prefix else session_hash
        return prefix_hash, session_hash, self.ranked(prefix_hash)

    def prefill_capable_in(self, scope: Scope) -> list[Engine]:
        """Returns the prefill-capable engines within the scope."""
        return [engine for engine in self.prefill_capable if scope.has(engine)]
