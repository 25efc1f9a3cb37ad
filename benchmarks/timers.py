"""Timers by tick against a heap: `python -m benchmarks.timers`.

Timers of 0 to 60 s, put in, a part of them taken out again before they ring (as time-outs are), the rest rung
in steps of 1 ms; microseconds for each timer, the heap with lazy deletion beside it in the same run.
"""

from __future__ import annotations

import heapq
import random
import time

from worksmux.load.timer_queue import TimerQueue


def wheel(times: list[float], cancelled: set[int]) -> float:
    start = time.perf_counter()
    one = TimerQueue[int]()
    timers = [one.put(at, number) for number, at in enumerate(times)]
    for number in cancelled:
        one.cancel(timers[number])
    rung = 0
    for now in range(60_001):
        for _ in one.due(float(now)):
            rung += 1
    assert rung == len(times) - len(cancelled)
    return time.perf_counter() - start


def heap(times: list[float], cancelled: set[int]) -> float:
    start = time.perf_counter()
    one: list[tuple[float, int]] = []
    for number, at in enumerate(times):
        heapq.heappush(one, (at, number))
    out = set(cancelled)
    rung = 0
    for now in range(60_001):
        while one and one[0][0] <= now:
            rung += heapq.heappop(one)[1] not in out
    assert rung == len(times) - len(cancelled)
    return time.perf_counter() - start


def main() -> None:
    for count in (1_000, 30_000, 300_000):
        for part in (0.0, 0.9):
            chance = random.Random(1)
            times = [chance.uniform(0, 60_000) for _ in range(count)]
            cancelled = set(chance.sample(range(count), int(part * count)))
            ours, plain = wheel(times, cancelled), heap(times, cancelled)
            print(
                f"{count:7} timers, {part:.0%} taken out: by tick {ours / count * 1e6:.2f} us, heap "
                f"{plain / count * 1e6:.2f} us, ratio {ours / plain:.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
