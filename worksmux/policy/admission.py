"""Which requests are rejected before a prefill: by the failover plan, or as their latency target is lost.

Times are milliseconds.
"""

from __future__ import annotations

from .actions import EndReason, RejectRequest
from .context import PolicyContext
from .hashing import hash_score, mix
from .load_estimates import LoadEstimates
from .prefill_probing import PrefillProbing
from .state import Request

MAX_EARLY_MARGIN = 1.0  # added to the factor on the need, in proportion to the request's random draw
CLIENT_RETRY_MARGIN = 4.0  # added for a client's retry, part of whose latency target is spent
MIN_NEED_ROUNDS = 2  # decision rounds that a request needs in any case
TRIAL_SHARE = 0.05  # of the requests go ahead whatever the usual need: else nothing would show its fall


class Admission:
    """Rejections before a request's prefill."""

    def __init__(self, context: PolicyContext, estimates: LoadEstimates, probing: PrefillProbing) -> None:
        self._context, self._estimates, self._probing = context, estimates, probing
        self._typical: tuple[float, float] | None = None  # while waiting requests are placed

    def begin_placement(self) -> None:
        """The usual times are the same for all requests that wait."""
        self._typical = self._estimates.typical()

    def end_placement(self) -> None:
        self._typical = None

    def shed(self, request: Request) -> RejectRequest | None:
        """Rejects what the plan has no capacity for, with a time that spreads the retries.

        The share is that of the request's home zone, so that what is moved crowds nobody out, and is drawn by
        prefix, so that requests that are let in share their prefix cache.
        """
        plan = self._context.plan
        if not plan or not plan.shed:
            return None
        key, _, ranking = self._context.index.ranked_for(request)
        first = next(iter(ranking), None)
        shares = plan.shed.get(first.zone) if first else None
        if shares is None or hash_score(key, mix(request.request_class, 3)) >= shares[request.request_class]:
            return None
        retry_after_ms = plan.retry_after_ms if self._context.settings.max_retry_after_ms else 0.0
        return RejectRequest(
            request,
            retry_after_ms * (1 + self._context.random_source.share()),
            EndReason.FAILOVER_PLAN_SHED,
        )

    def latency_target_unreachable(self, request: Request) -> bool:
        """Whether the first token is due before the usual need has passed.

        The random draw rejects some requests earlier, so that a growing queue is cut by degrees.
        """
        first_ms, prefill_ms_per_token = self._typical or self._estimates.typical()
        best_per_token = self._estimates.best_prefill_ms_per_token
        if self._probing.enabled and not self._probing.unanswered(request):
            # Engines tell of their queues themselves; the few prefills of this node tell little.
            need_ms = first_ms + best_per_token * request.prompt_tokens
        else:
            need_ms = self._need_with_margin_ms(request, first_ms, prefill_ms_per_token, best_per_token)
        earliest = self._context.now + max(need_ms, MIN_NEED_ROUNDS * self._context.round_interval_ms)
        return earliest > min(request.latency_target_at, request.deadline)

    def _need_with_margin_ms(
        self, request: Request, first_ms: float, prefill_ms_per_token: float, best_per_token: float
    ) -> float:
        """The usual need times its margin; 0 for a trial request, which goes ahead whatever the need.

        Queueing counts once for an average prompt: it lasts as long for a short prompt as for a long.
        """
        margin = 1 + MAX_EARLY_MARGIN * request.random_draw + CLIENT_RETRY_MARGIN * request.is_retry
        per_token = max(prefill_ms_per_token, self._estimates.in_flight_prefill_ms_per_token)
        best = min(per_token, best_per_token)
        average_tokens = self._estimates.prefill_tokens_seen.mean(self._context.now, request.prompt_tokens)
        queue_ms = (per_token - best) * average_tokens
        return (
            (first_ms + queue_ms + best * request.prompt_tokens)
            * margin
            * (request.random_draw > TRIAL_SHARE)
        )
