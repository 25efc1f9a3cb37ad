"""Decides which requests are rejected before their prefill.

A request is rejected if the failover plan sheds it, or if its latency target can no longer be met.  Times
are milliseconds.
"""

from __future__ import annotations

from .actions import EndReason, RejectRequest
from .context import PolicyContext
from .hashing import hash_score, mix
from .load_estimates import LoadEstimates
from .prefill_probing import PrefillProbing
from .state import Request

MAX_EARLY_MARGIN = 1.0  # added to the margin factor, times the request's random draw
CLIENT_RETRY_MARGIN = 4.0  # added for a client's retry, which has already spent part of its latency target
MIN_NEED_ROUNDS = 2  # decision rounds that every request needs at least
TRIAL_SHARE = 0.05  # of requests are admitted whatever the estimate: only they can show that it has fallen


class Admission:
    """Decides on rejections before the prefill of a request."""

    def __init__(self, context: PolicyContext, estimates: LoadEstimates, probing: PrefillProbing) -> None:
        self._context, self._estimates, self._probing = context, estimates, probing
        self._typical_times: tuple[float, float] | None = None  # kept while waiting requests are placed

    def begin_placement(self) -> None:
        """Takes the typical times once for all requests that wait in this decision round."""
        self._typical_times = self._estimates.typical_times()

    def end_placement(self) -> None:
        """Drops the typical times taken for this decision round."""
        self._typical_times = None

    def shed(self, request: Request) -> RejectRequest | None:
        """Rejects a request for which the failover plan has no capacity, with a delay that spreads retries.

        The shed share is that of the request's home zone, so that moved requests displace no others.  The
        prefix decides, so that admitted requests share a prefix cache.
        """
        plan = self._context.plan
        if not plan or not plan.shed:
            return None
        key, _, ranking = self._context.index.ranked_for(request)
        home_engine = next(iter(ranking), None)
        shares = plan.shed.get(home_engine.zone) if home_engine else None
        if shares is None or hash_score(key, mix(request.request_class, 3)) >= shares[request.request_class]:
            return None
        retry_after_ms = plan.retry_after_ms if self._context.settings.max_retry_after_ms else 0.0
        return RejectRequest(
            request,
            retry_after_ms * (1 + self._context.random_source.share()),
            EndReason.FAILOVER_PLAN_SHED,
        )

    def latency_target_unreachable(self, request: Request) -> bool:
        """Whether the typical time to a first token ends after the latency target or the deadline.

        The random draw rejects some requests earlier, so that a growing queue is shortened gradually.
        """
        first_token_ms, prefill_ms_per_token = self._typical_times or self._estimates.typical_times()
        best_per_token = self._estimates.best_prefill_ms_per_token
        if self._probing.enabled and not self._probing.checks_unanswered(request):
            # Health checks show the engines' queues; this node runs too few prefills to estimate them.
            need_ms = first_token_ms + best_per_token * request.prompt_tokens
        else:
            need_ms = self._need_with_margin_ms(request, first_token_ms, prefill_ms_per_token, best_per_token)
        first_token_expected_at = self._context.now + max(
            need_ms, MIN_NEED_ROUNDS * self._context.round_interval_ms
        )
        return first_token_expected_at > min(request.latency_target_at, request.deadline)

    def _need_with_margin_ms(
        self, request: Request, first_token_ms: float, prefill_ms_per_token: float, best_per_token: float
    ) -> float:
        """Estimates the time to a first token with a margin; 0 for a trial request, which is always admitted.

        Queueing time is that of an average prompt: a short prompt waits as long as a long one.
        """
        margin = 1 + MAX_EARLY_MARGIN * request.random_draw + CLIENT_RETRY_MARGIN * request.is_retry
        per_token = max(prefill_ms_per_token, self._estimates.in_flight_prefill_ms_per_token)
        best = min(per_token, best_per_token)
        average_prompt_tokens = self._estimates.prefill_tokens_seen.mean(
            self._context.now, request.prompt_tokens
        )
        queue_ms = (per_token - best) * average_prompt_tokens
        return (
            (first_token_ms + queue_ms + best * request.prompt_tokens)
            * margin
            * (request.random_draw > TRIAL_SHARE)
        )
