"""Client retries: recognized, limited to a ratio of first attempts, and spread out by Retry-After.

Failure: a retry storm.  Clients and gateways that retry failed requests add load during overload, and keep
the fleet overloaded after the cause is gone.  A retry takes a token that first attempts have earned.  A
rejected request gets a Retry-After from a schedule that fills at the rate at which requests are served, so
that requests rejected together do not return together.
"""

from __future__ import annotations

from ..policy.random_source import RandomSource

JITTER_SHARE = 0.5  # of the wait; up to this much is added at random
MAX_FACTOR_AT_UNKNOWN_RATE = 3  # times the minimum wait


class RejectionHistory:
    """Recognizes a retry by the hash of caller and body, even if its client does not mark it as one.

    The hashes are kept in two generations of `generation_ms` and at most `max_keys` each: a key is known for
    at least one generation's time after its rejection, unless a generation fills up before.
    """

    def __init__(self, generation_ms: float, max_keys: int) -> None:
        self._generation_ms, self._max_keys = generation_ms, max_keys
        self._current: set[int] = set()
        self._previous: set[int] = set()
        self._current_since = 0.0

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def record(self, now: float, key: int) -> None:
        """Records that a request with this key was rejected."""
        self._start_generation_if_due(now)
        self._current.add(key)

    def contains(self, now: float, key: int) -> bool:
        """Whether a request with this key was rejected recently."""
        self._start_generation_if_due(now)
        return key in self._current or key in self._previous

    def _start_generation_if_due(self, now: float) -> None:
        if now < self._current_since + self._generation_ms and len(self._current) < self._max_keys:
            return
        is_recent = now < self._current_since + 2 * self._generation_ms
        self._previous = self._current if is_recent else set()
        self._current, self._current_since = set(), now


class RetryBudget:
    """A token bucket: first attempts add tokens and retries take them.

    In any span of time there are no more retries than `ratio` times the first attempts, plus `max_tokens`.
    """

    def __init__(self, ratio: float, max_tokens: float) -> None:
        self._ratio, self._max_tokens = ratio, max_tokens
        self._tokens = max_tokens

    def first_attempt(self) -> None:
        """Adds the tokens of a first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    def try_retry(self) -> bool:
        """Takes a token; False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryAfterSchedule:
    """Determines when rejected requests should return, between `min_ms` and `max_ms` from now."""

    def __init__(self, min_ms: float, max_ms: float, seed: int) -> None:
        self._min_ms, self._max_ms = min_ms, max_ms
        self._random = RandomSource(seed)
        self._booked_until = 0.0

    def retry_after_ms(self, now: float, cost: float, throughput: float, backlog: float) -> float:
        """Books time in the schedule for a request and returns the wait until then.

        `throughput` is the cost served per millisecond, and `backlog` the cost already queued.  If the
        throughput is unknown (0), the wait is only randomized.
        """
        if throughput <= 0:
            return self._min_ms * (1 + (MAX_FACTOR_AT_UNKNOWN_RATE - 1) * self._random.share())
        backlog_served_at = now + backlog / throughput
        self._booked_until = max(self._booked_until, backlog_served_at) + cost / throughput
        if self._booked_until > now + self._max_ms:  # the schedule is full: a random time in it
            self._booked_until = now + self._max_ms
            return self._min_ms + (self._max_ms - self._min_ms) * self._random.share()
        wait_ms = max(self._min_ms, self._booked_until - now)
        return min(self._max_ms, wait_ms * (1 + JITTER_SHARE * self._random.share()))
