"""A sliding window of sums and counts over time."""

from __future__ import annotations


class SlidingWindow:
    """Sums and counts over the last `span` milliseconds, in a fixed number of buckets.

    >>> window = SlidingWindow(100.0, 10)
    >>> window.add(5.0, 2.0); window.add(95.0, 12.0, 3.0)
    >>> window.mean(99.0), window.min_bucket_mean(99.0), window.count(99.0), window.mean(104.0)
    (3.5, 2.0, 4.0, 4.0)
    """

    __slots__ = ("width", "size", "marks", "sums", "counts", "newest")

    def __init__(self, span: float, buckets: int) -> None:
        self.width, self.size, self.newest = span / buckets, buckets, -buckets
        self.marks: list[int] = []  # made with the first value: most windows stay empty
        self.sums: list[float] = []
        self.counts: list[float] = []

    def add(self, now: float, value: float = 1.0, of: float = 1.0) -> None:
        """Adds `value`, the sum over `of` things."""
        if not self.marks:
            self.marks, self.sums = [-self.size] * self.size, [0.0] * self.size
            self.counts = [0.0] * self.size
        mark = int(now / self.width)
        at = mark % self.size
        if self.marks[at] != mark:
            self.marks[at], self.sums[at], self.counts[at], self.newest = mark, 0.0, 0.0, mark
        self.sums[at] += value
        self.counts[at] += of

    def _live(self, now: float, last: int = 0) -> list[int]:
        oldest = int(now / self.width) - (last or self.size)
        return [at for at, mark in enumerate(self.marks) if mark > oldest] if self.newest > oldest else []

    def count(self, now: float) -> float:
        return sum(self.counts[at] for at in self._live(now))

    def min_bucket_mean(self, now: float) -> float:
        """The smallest mean of a bucket: the shortest time seen, without a single lucky one deciding it."""
        return min((self.sums[at] / self.counts[at] for at in self._live(now)), default=0.0)

    def mean(self, now: float, otherwise: float = 0.0, last: int = 0) -> float:
        """The mean over all buckets, or over the `last` ones; `otherwise` where there is nothing."""
        live = self._live(now, last or self.size)
        return sum(self.sums[at] for at in live) / sum(self.counts[at] for at in live) if live else otherwise
