"""Orders the prefill engines that are considered for a request, by rendezvous hashing.

The prefix selects a few engines that keep its prefix cache, and the session selects one of them.  The
order changes under a failover plan, within the scope of a retry, and for a failing request class.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import chain, islice
from math import ceil

from .context import PolicyContext
from .events import FailoverPlan
from .hashing import hash_score, mix
from .load_estimates import LoadEstimates
from .outlier_detection import OutlierDetection
from .prefill_probing import PrefillProbing
from .rendezvous import Ranking, rank
from .round_robin import ANYWHERE, Scope
from .state import Engine, Request

HEAD_ENGINES = 128  # engines examined in every search, the first by hash
ENGINES_PER_STEP = 64  # engines after the head, examined from where the last search stopped

# An engine, and the prompt tokens that may queue there beyond its even share to use its prefix cache.
Candidate = tuple[Engine, float]


class PrefillOrder:
    """Yields candidates for prefills; stores for waiting requests where the last failed search ended."""

    def __init__(
        self,
        context: PolicyContext,
        estimates: LoadEstimates,
        outliers: OutlierDetection,
        probing: PrefillProbing,
    ) -> None:
        self._context, self._estimates = context, estimates
        self._outliers, self._probing = outliers, probing
        self._search_position: dict[Request, int] = {}  # engines after the head that were already examined
        self._head: dict[Request, list[Candidate]] = {}

    def forget(self, request: Request) -> None:
        """Forgets the search of a request that no longer waits."""
        self._search_position.pop(request, None)
        self._head.pop(request, None)

    def forget_all(self) -> None:
        """Forgets all searches; called with each new endpoint index."""
        self._search_position.clear()
        self._head.clear()

    def candidates(self, request: Request, scope: Scope = ANYWHERE) -> Iterator[Candidate]:
        """Yields the first HEAD_ENGINES engines in every search, then the next ENGINES_PER_STEP after them.

        Those after the head begin where the last failed search ended.  A combined engine keeps the KV cache
        that it prefills, as it also decodes the request.
        """
        index = self._context.index
        start = self._search_position.get(request, 0)
        end = start + ENGINES_PER_STEP
        if self._context.plan or scope is not ANYWHERE or self._estimates.is_failing(request.request_class):
            preferred, remaining = self._order_with_exceptions(request, scope)
            yield from self._with_overflow(
                request, preferred, islice(remaining, max(0, HEAD_ENGINES - len(preferred)))
            )
            further = list(islice(remaining, start, end))
        else:
            _, session_hash, ranking = index.ranked_for(request)
            cached_count = self._cached_engine_count(request, ranking)
            head_end = max(cached_count, HEAD_ENGINES)
            if request not in self._head:
                preferred = sorted(
                    ranking.ranked_slice(0, cached_count),
                    key=lambda engine: hash_score(session_hash, engine.key_hash),
                )
                self._head[request] = self._with_overflow(
                    request, preferred, ranking.ranked_slice(cached_count, head_end)
                )
            yield from self._head[request]
            further = (
                []
                if self._probing.only_known_idle(request)
                else ranking.ranked_slice(head_end + start, head_end + end)
            )
        if further or start:
            self._search_position[request] = end if len(further) == ENGINES_PER_STEP else 0
        if len(index.prefill_capable) > HEAD_ENGINES:
            prefill_capable = index.prefill_capable_set
            checked = (
                engine
                for engine in request.checked_engines
                if engine in prefill_capable and scope.has(engine)
            )
            yield from ((engine, 0.0) for engine in chain(checked, further))

    @staticmethod
    def _cached_engine_count(request: Request, ranking: Ranking) -> int:
        """Returns how many engines keep a shared prefix cached."""
        return 1 + ceil(len(ranking) ** 0.5) if request.prefix else 0

    @staticmethod
    def _with_overflow(
        request: Request, preferred: list[Engine], remaining: Iterable[Engine]
    ) -> list[Candidate]:
        """Lists the preferred engines a second time, with a queue allowed, before the remaining ones."""
        return [
            *((engine, 0.0) for engine in preferred),
            *((engine, request.prompt_tokens) for engine in preferred),
            *((engine, 0.0) for engine in remaining),
        ]

    def _order_with_exceptions(self, request: Request, scope: Scope) -> tuple[list[Engine], Iterator[Engine]]:
        """Returns preferred and remaining engines under a plan, within a scope, or for a failing class."""
        prefix_hash, session_hash, ranking = self._context.index.ranked_for(request)
        cached_count = self._cached_engine_count(request, ranking)
        plan = self._context.plan
        if plan and len(ranking):
            planned, moved = self._order_by_plan(list(ranking), plan, prefix_hash)
            ranking = Ranking(len(planned), iter(planned))
            # Outside its home zone only one engine caches a prefix: more would evict prefixes at home there.
            cached_count = min(cached_count, 1) if moved else self._cached_engine_count(request, ranking)
        preferred = sorted(
            ranking.ranked_slice(0, cached_count),
            key=lambda engine: hash_score(session_hash, engine.key_hash),
        )
        remaining = self._remaining_by_hash(preferred, prefix_hash, ranking, scope)
        if self._estimates.is_failing(request.request_class):
            remaining = self._known_good_first(request, preferred, remaining, prefix_hash, scope)
            preferred = list(islice(remaining, cached_count))
        return [engine for engine in preferred if scope.has(engine)], remaining

    def _remaining_by_hash(
        self, preferred: list[Engine], prefix_hash: int, ranking: Ranking, scope: Scope
    ) -> Iterator[Engine]:
        """Returns the engines that are not preferred, by hash."""
        preferred_set = set(preferred)
        if scope is ANYWHERE:
            return (engine for engine in ranking if engine not in preferred_set)
        in_scope = self._context.index.prefill_capable_in(scope)
        return iter(rank(prefix_hash, [engine for engine in in_scope if engine not in preferred_set]))

    def _known_good_first(
        self,
        request: Request,
        preferred: list[Engine],
        remaining: Iterator[Engine],
        prefix_hash: int,
        scope: Scope,
    ) -> Iterator[Engine]:
        """Reorders all engines: those known to serve the request class come first."""
        known_good, preferred_set = self._outliers.all_known_good(request.request_class), set(preferred)
        prefill_capable = self._context.index.prefill_capable_set
        known_good_not_preferred = rank(
            prefix_hash,
            [
                engine
                for engine in known_good
                if engine in prefill_capable and scope.has(engine) and engine not in preferred_set
            ],
        )
        return chain(
            (engine for engine in preferred if engine in known_good),
            known_good_not_preferred,
            (engine for engine in preferred if engine not in known_good),
            (engine for engine in remaining if engine not in known_good),
        )

    def _order_by_plan(
        self, order: list[Engine], plan: FailoverPlan, prefix_hash: int
    ) -> tuple[list[Engine], bool]:
        """Returns the order under a plan, and whether the request moves out of its home zone.

        The home is the zone of the first engine by hash.  A hash of the prefix picks a zone by the plan's
        shares.
        """
        home = zone = order[0].zone
        draw = hash_score(prefix_hash, mix(home, 2))
        for planned_zone, share in plan.zone_shares.get(home, []):
            zone, draw = planned_zone, draw - share
            if draw < 0:
                break
        excluded = self._context.index.excluded_by_plan
        included = [engine for engine in order if engine not in excluded]
        in_zone = [engine for engine in included if engine.zone == zone]
        if in_zone and plan.keep_near:
            return in_zone, zone != home
        return sorted(included, key=lambda engine: engine.zone != zone), zone != home
