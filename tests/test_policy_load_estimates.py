"""Estimates of how long prefills take."""

from dataclasses import replace

from helpers import NOW, PAIR, fleet, request, settings

from worksmux.policy.events import AttemptEnded
from worksmux.policy.state import Attempt, Outcome


def test_cached_prompts_do_not_set_the_pace_for_uncached_ones():
    """A node has seen prompts with prefix cache hits, which take next to no time, and few others.

    A long prompt without a hit must not be cancelled as hung: only uncached tokens tell the pace.
    """
    router, (prefill_engine, _) = fleet(*PAIR, node_count=200)
    router.probing.enabled = True
    for number, (time, kept) in enumerate([(80.0, 200), (10.0, 950), (15.0, 900)], 1):
        attempt = Attempt(request(number), prefill_engine, 0, NOW, True, prefill_tokens=1000.0)
        router._record_outcome(AttemptEnded(attempt, Outcome.PREFILLED, time, False, kept))
    router.decide(NOW, [])
    assert router.estimates.best_prefill_ms_per_token == 0.1  # 80 ms for 800 tokens
    uncached = Attempt(request(4), prefill_engine, 0, NOW, True, prefill_tokens=1000.0)
    assert router.estimates.allowed_prefill_ms(uncached) == 4.0 * 100.0


def test_prefill_pace_is_that_of_the_settings_until_one_is_seen():
    router, _ = fleet(*PAIR)
    assert router.estimates.best_prefill_ms_per_token == 0.0
    changed = tuple(
        replace(request_class, latency_target_per_1000_tokens_ms=85.0)
        for request_class in settings().request_classes
    )
    router, _ = fleet(*PAIR, request_classes=changed)
    router.probing.enabled = True
    router.decide(NOW, [])
    assert router.estimates.best_prefill_ms_per_token == 0.085
