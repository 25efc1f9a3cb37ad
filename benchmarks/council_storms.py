"""Thousands of storms over the council's core, on all cores: `python -m benchmarks.council_storms 20000`.

Prints how many broke something that must always hold, what was acknowledged and read, and how long it took.
"""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor

from worksmux.simulation.consensus import run_random_faults


def one(seed: int) -> tuple[str, int, int, int]:
    try:
        world = run_random_faults(seed)
    except AssertionError as error:
        return f"seed {seed}: {error}", 0, 0, 0
    return "", len(world.acknowledged), world.read_count, len(world.leaders)


def main(seeds: int) -> int:
    start = time.perf_counter()
    with ProcessPoolExecutor() as pool:
        told = list(pool.map(one, range(seeds), chunksize=16))
    broken = [text for text, *_ in told if text]
    print(
        f"{seeds} storms, {len(broken)} broken, {sum(one[1] for one in told)} acknowledged, "
        f"{sum(one[2] for one in told)} reads, {sum(one[3] for one in told)} terms with a leader, "
        f"{time.perf_counter() - start:.0f} s"
    )
    for text in broken[:10]:
        print(text)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else 2000))
