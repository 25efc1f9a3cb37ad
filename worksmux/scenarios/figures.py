"""What the audit's rules need to know of a day."""

from __future__ import annotations

from ..checker.rules import Figures
from .scenario import Scenario


def rule_parameters(day: Scenario) -> Figures:
    return Figures(
        day.rules["answer_slack"],
        day.rules["drain_grace"],
        day.rules["release_within"],
        day.rules["fall_time"],
        {one.name: one.group for one in day.request_classes},
        {one.name: one.remembered for one in day.request_classes},
        day.slack,
    )
