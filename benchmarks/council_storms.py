"""Consensus under random faults, on all cores: `python -m benchmarks.council_storms 20000`.

Prints how many of thousands of runs violated an invariant, the numbers of acknowledged entries, reads and
terms with a leader, and the time taken.
"""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor

from worksmux.simulation.consensus import run_random_faults


def run_seed(seed: int) -> tuple[str, int, int, int]:
    """Returns the violation or "", and the numbers of acknowledged entries, reads and terms with a leader."""
    try:
        simulation = run_random_faults(seed)
    except AssertionError as error:
        return f"seed {seed}: {error}", 0, 0, 0
    return "", len(simulation.acknowledged), simulation.read_count, len(simulation.leaders)


def main(seeds: int) -> int:
    """Runs a number of seeds and prints the totals; returns 1 if there was a violation."""
    start = time.perf_counter()
    with ProcessPoolExecutor() as pool:
        results = list(pool.map(run_seed, range(seeds), chunksize=16))
    violations = [text for text, *_ in results if text]
    print(
        f"{seeds} runs, {len(violations)} with a violation, "
        f"{sum(result[1] for result in results)} acknowledged, "
        f"{sum(result[2] for result in results)} reads, {sum(result[3] for result in results)} terms "
        f"with a leader, "
        f"{time.perf_counter() - start:.0f} s"
    )
    for text in violations[:10]:
        print(text)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else 2000))
