"""How much may be out at once for one offering, found from how long it takes.

The limit follows the ratio of the shortest time a token took lately to the usual one now (the idea of TCP
Vegas, and of concurrency limits in service meshes): as long as the two are near each other the limit grows by
its square root (by half of that once it has been too high), when work queues at the engines it shrinks in
proportion.  A trip that was turned away shrinks it too; one that came late for having waited before does not.
Now and then it is cut for a moment, so that the shortest time is measured anew (as BBR does): else, with work
always queued, the queue's own time would come to count as the shortest.  It is one front's own: fronts that
share engines each see the time that all of them make.
"""

from __future__ import annotations

from ..policy.sliding_window import SlidingWindow

TOLERATED = 2.0  # times the shortest: a token may take so long before the limit shrinks
SHRINK = 0.9  # at a trip turned away, once in a step
DRAIN = 0.8  # of what would just keep the engines busy: let out while looking
LEAST_RATIO = 0.5  # by which the limit shrinks at most in one step
USED = 0.5  # of the limit must have been out, for it to grow
SPAN = 16  # times the promised time over which times are seen
BUCKETS = 8
LOOK = 0.5  # of the span between two looks at the shortest time
LOOK_FOR = 0.5  # of the promised time that a look takes


class Limit:
    """`unit` is a small item's cost, `first` the limit to begin with; milliseconds."""

    def __init__(self, unit: float, first: float, promised: float) -> None:
        self.unit, self.limit = unit, max(unit, first)
        self.promised = promised
        self.least = unit
        self.times = SlidingWindow(SPAN * promised, SPAN * 4)  # elapsed by cost; fine enough to show a look
        self.lately = SlidingWindow(promised / 4, BUCKETS)  # short: what acts on old times swings
        self.gain = 1.0
        self.served = SlidingWindow(2 * promised, BUCKETS)  # cost
        self.out = self.most_out = 0.0
        self.next_step = 0.0
        self.shrunk_until = 0.0
        self.since = -1.0
        self.look_at = self.look_until = 0.0
        self.cut = 1.0  # of the limit that is used while looking

    def fits(self, cost: float) -> bool:
        """An item larger than the limit goes when nothing else is out."""
        return not self.out or self.out + cost <= self.limit * self.cut

    def sent(self, now: float, cost: float) -> None:
        if self.since < 0:
            self.since = now
            self.look_at = now + LOOK * SPAN * self.promised
        self.out += cost
        self.most_out = max(self.most_out, self.out)

    def ended(self, now: float, cost: float, elapsed: float, good: bool) -> None:
        """`good` is false for what the engines turned away."""
        self.out = max(0.0, self.out - cost)
        if good:
            self.times.add(now, elapsed, cost + self.unit)
            self.lately.add(now, elapsed, cost + self.unit)
            self.served.add(now, cost, 1.0)
        elif now >= self.shrunk_until:
            self.limit = max(self.least, self.limit * SHRINK)
            self.shrunk_until = now + self.promised / BUCKETS
        if now >= self.next_step:
            self._step(now)

    def _step(self, now: float) -> None:
        self.next_step = now + self.promised / BUCKETS
        usual, shortest = self.lately.mean(now), self.times.least(now)
        if self.cut < 1.0:
            if now >= self.look_until:
                self.cut = 1.0
            return
        if now >= self.look_at and usual > 0:
            self.cut = DRAIN * min(1.0, shortest / usual)
            self.look_until, self.look_at = now + LOOK_FOR * self.promised, now + LOOK * SPAN * self.promised
            return
        if usual > 0 and shortest > 0:
            ratio = max(LEAST_RATIO, min(1.0, TOLERATED * shortest / usual))
            if ratio < 1.0:
                self.gain = 0.5
                room = float((self.unit * self.limit) ** 0.5) * self.gain
                self.limit = max(self.least, (self.limit + room) * ratio)
            elif self.most_out >= USED * self.limit and now >= self.shrunk_until:
                self.limit += float((self.unit * self.limit) ** 0.5) * self.gain
        self.most_out = self.out

    def rate(self, now: float) -> float:
        """Cost served a millisecond, of late; 0 while nothing is known."""
        whole = 2 * self.promised * (1 - 0.5 / BUCKETS)  # the newest bucket is half full, in the mean
        span = min(whole, now - self.since) if self.since >= 0 else 0.0
        count = self.served.count(now)
        return self.served.mean(now) * count / max(span, self.promised / BUCKETS) if count else 0.0
