"""A short soak of real node processes; `python -m soak run` with PYTHONPATH=tests is the long one."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

SEEDS = (
    *("1", "3", "5"),  # each breaks on a version whose streams are cut as in incident 56
    "12",  # breaks on a version without limits of what comes at once, as in the cases of issue 63
    "2",  # breaks on a version without a limit of trailer fields, as in issue 70
)
SECONDS = "26"
TIMEOUT_S = 120.0


def test_short_soak_keeps_all_rules(tmp_path: Path) -> None:
    """Incident 56 and the issues 63 and 70 show in these seeds.

    Streams are cut when engines return after a long absence. Half requests exceed a node's memory, and noise
    in place of streams holds a node up until usual answers are late. Many trailer fields exceed its memory.
    """
    runs = [
        subprocess.Popen(
            [sys.executable, "-m", "soak", "run", seed, "--seconds", SECONDS, "--keep", str(tmp_path)],
            env={**os.environ, "PYTHONPATH": str(Path(__file__).parent)},
            stdout=subprocess.PIPE,
            text=True,
        )
        for seed in SEEDS
    ]
    reports = [run.communicate(timeout=TIMEOUT_S)[0] for run in runs]
    assert [run.returncode for run in runs] == [0] * len(SEEDS), "\n".join(reports)
