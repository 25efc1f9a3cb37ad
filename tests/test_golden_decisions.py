"""Seeded scenarios over the simulator's wire protocol give the same replies as before any rename.

More than a hundred requests per second meet restarted, full, hung and failing engines, resets, a slow zone,
failed endpoint lists and slow start. A different digest means that a decision or the layout of a message
changed.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from golden.decision_trace import VARIANTS, play

SEEDS = (1, 2)
PINNED: dict[str, str] = json.loads((Path(__file__).parent / "golden" / "decisions.json").read_text())


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("variant", VARIANTS)
def test_replies_are_those_of_the_pinned_trace(variant: str, seed: int) -> None:
    assert play(variant, seed).digest.hexdigest() == PINNED[f"{variant}/{seed}"]
