"""The timer queue by ticks against a heap: `python -m benchmarks.timers`.

Timers of 0 to 60 s are added, a share of them is cancelled before they fire (as timeouts are), and the rest
fire in steps of 1 ms. Printed are microseconds for each timer, beside a heap with lazy deletion in the same
run.
"""

from __future__ import annotations

import heapq
import random
import time

from worksmux.load.timer_queue import TimerQueue


def run_timer_queue(due_times: list[float], cancelled: set[int]) -> float:
    """Returns the seconds that the timer queue takes for all timers."""
    start = time.perf_counter()
    pending = TimerQueue[int]()
    timers = [pending.put(due_at, number) for number, due_at in enumerate(due_times)]
    for number in cancelled:
        pending.cancel(timers[number])
    fired_count = 0
    for now in range(60_001):
        for _ in pending.due(float(now)):
            fired_count += 1
    assert fired_count == len(due_times) - len(cancelled)
    return time.perf_counter() - start


def run_heap(due_times: list[float], cancelled: set[int]) -> float:
    """Returns the seconds that a heap with lazy deletion takes for all timers."""
    start = time.perf_counter()
    pending: list[tuple[float, int]] = []
    for number, due_at in enumerate(due_times):
        heapq.heappush(pending, (due_at, number))
    remaining_cancelled = set(cancelled)
    fired_count = 0
    for now in range(60_001):
        while pending and pending[0][0] <= now:
            fired_count += heapq.heappop(pending)[1] not in remaining_cancelled
    assert fired_count == len(due_times) - len(cancelled)
    return time.perf_counter() - start


def main() -> None:
    """Prints the times for several numbers of timers and shares of cancelled ones."""
    for timer_count in (1_000, 30_000, 300_000):
        for cancelled_share in (0.0, 0.9):
            random_source = random.Random(1)
            due_times = [random_source.uniform(0, 60_000) for _ in range(timer_count)]
            cancelled = set(random_source.sample(range(timer_count), int(cancelled_share * timer_count)))
            queue_s, heap_s = run_timer_queue(due_times, cancelled), run_heap(due_times, cancelled)
            print(
                f"{timer_count:7} timers, {cancelled_share:.0%} cancelled: "
                f"timer queue {queue_s / timer_count * 1e6:.2f} us, heap "
                f"{heap_s / timer_count * 1e6:.2f} us, ratio {queue_s / heap_s:.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
