"""Estimates of how long prefills take."""

from dataclasses import replace

from helpers import NOW, PAIR, fleet, request, settings

from worksmux.policy.events import AttemptEnded
from worksmux.policy.state import Attempt, Outcome


def test_long_prompt_is_not_held_to_the_pace_of_prompts_that_were_found_kept():
    # Guards against reads called off as hung that only had nothing to go by: kept tokens cost no time.
    front, (reader, _) = fleet(*PAIR, node_count=200)
    front.probing.enabled = True
    for number, (time, kept) in enumerate([(80.0, 200), (10.0, 950), (15.0, 900)], 1):
        attempt = Attempt(request(number), reader, 0, NOW, True, prefill_tokens=1000.0)
        front._learn(AttemptEnded(attempt, Outcome.PREFILLED, time, False, kept))
    front.decide(NOW, [])
    assert front.estimates.best_prefill_per_token == 0.1  # 80 ms for 800 tokens
    uncached = Attempt(request(4), reader, 0, NOW, True, prefill_tokens=1000.0)
    assert front.estimates.allowed_prefill_ms(uncached) == 4.0 * 100.0


def test_pace_that_was_never_seen_is_that_of_the_settings():
    front, _ = fleet(*PAIR)
    assert front.estimates.best_prefill_per_token == 0.0
    changed = tuple(
        replace(request_class, latency_target_per_1000_tokens_ms=85.0)
        for request_class in settings().request_classes
    )
    front, _ = fleet(*PAIR, request_classes=changed)
    front.probing.enabled = True
    front.decide(NOW, [])
    assert front.estimates.best_prefill_per_token == 0.085
