"""Sums and counts over a sliding window of time."""

from __future__ import annotations


class SlidingWindow:
    """Keeps sums and counts over the last `span_ms` milliseconds, in a fixed number of buckets.

    >>> window = SlidingWindow(100.0, 10)
    >>> window.add(5.0, 2.0); window.add(95.0, 12.0, 3.0)
    >>> window.mean(99.0), window.min_bucket_mean(99.0), window.count(99.0), window.mean(104.0)
    (3.5, 2.0, 4.0, 4.0)
    """

    __slots__ = ("bucket_ms", "bucket_count", "bucket_numbers", "sums", "counts", "newest_bucket")

    def __init__(self, span_ms: float, buckets: int) -> None:
        self.bucket_ms, self.bucket_count, self.newest_bucket = span_ms / buckets, buckets, -buckets
        self.bucket_numbers: list[int] = []  # allocated with the first value, as most windows stay empty
        self.sums: list[float] = []
        self.counts: list[float] = []

    def add(self, now: float, value: float = 1.0, count: float = 1.0) -> None:
        """Adds `value`, the sum of `count` samples."""
        if not self.bucket_numbers:
            self.bucket_numbers, self.sums = (
                [-self.bucket_count] * self.bucket_count,
                [0.0] * self.bucket_count,
            )
            self.counts = [0.0] * self.bucket_count
        bucket_number = int(now / self.bucket_ms)
        position = bucket_number % self.bucket_count
        if self.bucket_numbers[position] != bucket_number:
            self.bucket_numbers[position], self.sums[position], self.counts[position], self.newest_bucket = (
                bucket_number,
                0.0,
                0.0,
                bucket_number,
            )
        self.sums[position] += value
        self.counts[position] += count

    def _recent_positions(self, now: float, last_buckets: int = 0) -> list[int]:
        oldest = int(now / self.bucket_ms) - (last_buckets or self.bucket_count)
        return (
            [position for position, bucket_number in enumerate(self.bucket_numbers) if bucket_number > oldest]
            if self.newest_bucket > oldest
            else []
        )

    def count(self, now: float) -> float:
        """Returns how many samples are in the window."""
        return sum(self.counts[position] for position in self._recent_positions(now))

    def min_bucket_mean(self, now: float) -> float:
        """Returns the smallest mean of a bucket: a low value that does not depend on a single sample."""
        return min(
            (self.sums[position] / self.counts[position] for position in self._recent_positions(now)),
            default=0.0,
        )

    def mean(self, now: float, default: float = 0.0, last_buckets: int = 0) -> float:
        """Returns the mean over all buckets, or over the `last_buckets`; `default` if they are empty."""
        recent = self._recent_positions(now, last_buckets or self.bucket_count)
        return (
            sum(self.sums[position] for position in recent)
            / sum(self.counts[position] for position in recent)
            if recent
            else default
        )
