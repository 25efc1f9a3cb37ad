"""Tests the estimates of prefill time."""

from dataclasses import replace

from helpers import NOW, PAIR, make_fleet, make_request, make_settings

from worksmux.policy.events import AttemptEnded
from worksmux.policy.state import Attempt, Outcome


def test_cached_prompts_do_not_lower_the_estimate_for_uncached_ones():
    """A node has seen prompts with prefix cache hits, which take hardly any time, and few others.

    A long prompt without a hit must not be cancelled as hung, so only uncached tokens are counted.
    """
    router, (prefill_engine, _) = make_fleet(*PAIR, node_count=200)
    router.probing.enabled = True
    for number, (elapsed_ms, cached_tokens) in enumerate([(80.0, 200), (10.0, 950), (15.0, 900)], 1):
        attempt = Attempt(make_request(number), prefill_engine, 0, NOW, True, prefill_tokens=1000.0)
        router._record_outcome(AttemptEnded(attempt, Outcome.PREFILLED, elapsed_ms, False, cached_tokens))
    router.decide(NOW, [])
    assert router.estimates.best_prefill_ms_per_token == 0.1  # 80 ms for 800 tokens
    uncached = Attempt(make_request(4), prefill_engine, 0, NOW, True, prefill_tokens=1000.0)
    assert router.estimates.allowed_prefill_ms(uncached) == 4.0 * 100.0


def test_prefill_estimate_is_that_of_the_settings_until_a_prefill_is_seen():
    router, _ = make_fleet(*PAIR)
    assert router.estimates.best_prefill_ms_per_token == 0.0
    request_classes = tuple(
        replace(request_class, latency_target_per_1000_tokens_ms=85.0)
        for request_class in make_settings().request_classes
    )
    router, _ = make_fleet(*PAIR, request_classes=request_classes)
    router.probing.enabled = True
    router.decide(NOW, [])
    assert router.estimates.best_prefill_ms_per_token == 0.085
