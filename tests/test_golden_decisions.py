"""A seeded play over the bench's wire gives the same bytes as the text before the names were changed.

Some hundred requests a second meet slow and restarted engines, full answers, resets, silent ones, a zone
that is late, lists that fail and slow start. A digest that differs means that a decision or the form of a
message changed.
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
