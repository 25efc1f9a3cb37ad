"""In which order prefill engines are considered for a request, by rendezvous hashing.

The prefix picks a few engines, where its KV cache is kept, and the session one of them.  A failover plan, a
scope within which the request must stay, or a request class that fails changes the order.
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

HEAD_LOOKS = 128  # engines looked at in each search, those that the hash puts first
FURTHER_LOOKS = 64  # engines behind them, from where the last search stopped

# An engine, and the prompt tokens that may wait there beyond its even share for the sake of a cached prefix.
Candidate = tuple[Engine, float]


class PrefillOrder:
    """Candidates for prefills; remembers for waiting requests how far a search in vain went."""

    def __init__(
        self,
        context: PolicyContext,
        estimates: LoadEstimates,
        outliers: OutlierDetection,
        probing: PrefillProbing,
    ) -> None:
        self._context, self._estimates = context, estimates
        self._outliers, self._probing = outliers, probing
        self._searched: dict[Request, int] = {}  # engines behind the head already looked at
        self._head: dict[Request, list[Candidate]] = {}

    def forget(self, request: Request) -> None:
        self._searched.pop(request, None)
        self._head.pop(request, None)

    def forget_all(self) -> None:
        """Due with each new endpoint index."""
        self._searched.clear()
        self._head.clear()

    def candidates(self, request: Request, scope: Scope = ANYWHERE) -> Iterator[Candidate]:
        """The first HEAD_LOOKS engines each time, those behind them by parts, from where the last search
        in vain ended.  Combined engines keep what they prefill, for they decode it too."""
        index = self._context.index
        start = self._searched.get(request, 0)
        end = start + FURTHER_LOOKS
        if self._context.plan or scope is not ANYWHERE or self._estimates.is_failing(request.request_class):
            first, others = self._order_with_exceptions(request, scope)
            yield from self._with_overflow(request, first, islice(others, max(0, HEAD_LOOKS - len(first))))
            further = list(islice(others, start, end))
        else:
            _, session, ranking = index.ranked_for(request)
            few = self._cached_at(request, ranking)
            behind = max(few, HEAD_LOOKS)
            if request not in self._head:
                first = sorted(ranking.part(0, few), key=lambda engine: hash_score(session, engine.key_hash))
                self._head[request] = self._with_overflow(request, first, ranking.part(few, behind))
            yield from self._head[request]
            further = (
                [] if self._probing.only_known_idle(request) else ranking.part(behind + start, behind + end)
            )
        if further or start:
            self._searched[request] = end if len(further) == FURTHER_LOOKS else 0
        if len(index.prefill_capable) > HEAD_LOOKS:
            capable = index.prefill_capable_set
            probed = (engine for engine in request.checked_engines if engine in capable and scope.has(engine))
            yield from ((engine, 0.0) for engine in chain(probed, further))

    @staticmethod
    def _cached_at(request: Request, ranking: Ranking) -> int:
        """How many engines keep a prefix cached."""
        return 1 + ceil(len(ranking) ** 0.5) if request.prefix else 0

    @staticmethod
    def _with_overflow(request: Request, first: list[Engine], others: Iterable[Engine]) -> list[Candidate]:
        """The first engines come a second time, with a queue, before the prefix is computed elsewhere."""
        return [
            *((engine, 0.0) for engine in first),
            *((engine, request.prompt_tokens) for engine in first),
            *((engine, 0.0) for engine in others),
        ]

    def _order_with_exceptions(self, request: Request, scope: Scope) -> tuple[list[Engine], Iterator[Engine]]:
        """The first few and those behind them, under a plan, within a scope, or for a failing class."""
        key, session, ranking = self._context.index.ranked_for(request)
        few = self._cached_at(request, ranking)
        plan = self._context.plan
        if plan and len(ranking):
            planned, moved = self._planned(list(ranking), plan, key)
            ranking = Ranking(len(planned), iter(planned))
            # Away from home one engine keeps a prefix: kept by several, it would evict those at home there.
            few = min(few, 1) if moved else self._cached_at(request, ranking)
        first = sorted(ranking.part(0, few), key=lambda engine: hash_score(session, engine.key_hash))
        others = self._behind(first, key, ranking, scope)
        if self._estimates.is_failing(request.request_class):
            others = self._known_good_first(request, first, others, key, scope)
            first = list(islice(others, few))
        return [engine for engine in first if scope.has(engine)], others

    def _behind(self, first: list[Engine], key: int, ranking: Ranking, scope: Scope) -> Iterator[Engine]:
        """Those behind the first few, by hash."""
        before = set(first)
        if scope is ANYWHERE:
            return (engine for engine in ranking if engine not in before)
        in_scope = self._context.index.prefill_capable_in(scope)
        return iter(rank(key, [engine for engine in in_scope if engine not in before]))

    def _known_good_first(
        self, request: Request, first: list[Engine], others: Iterator[Engine], key: int, scope: Scope
    ) -> Iterator[Engine]:
        """All of them again, those known to serve the request class before the rest."""
        known, before = self._outliers.all_known_good(request.request_class), set(first)
        host_set = self._context.index.prefill_capable_set
        behind = rank(
            key,
            [engine for engine in known if engine in host_set and scope.has(engine) and engine not in before],
        )
        return chain(
            (engine for engine in first if engine in known),
            behind,
            (engine for engine in first if engine not in known),
            (engine for engine in others if engine not in known),
        )

    def _planned(self, order: list[Engine], plan: FailoverPlan, key: int) -> tuple[list[Engine], bool]:
        """The order under a plan, and whether the request is moved out of its home zone.

        Its home is the zone of the first engine by hash; the plan's shares draw the zone by the prefix.
        """
        home = zone = order[0].zone
        draw = hash_score(key, mix(home, 2))
        for other, share in plan.zone_shares.get(home, []):
            zone, draw = other, draw - share
            if draw < 0:
                break
        missed = self._context.index.excluded_by_plan
        able = [engine for engine in order if engine not in missed]
        in_zone = [engine for engine in able if engine.zone == zone]
        if in_zone and plan.keep_near:
            return in_zone, zone != home
        return sorted(able, key=lambda engine: engine.zone != zone), zone != home
