"""Reduces a failing schedule: leaves out all that is not needed to break the same rule."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from .ledger import Rule
from .schedule import Schedule, ScheduleError
from .world import play

Item = TypeVar("Item")


def shrink(schedule: Schedule) -> Schedule:
    """Returns a smaller schedule that breaks the same rule.  Raises ScheduleError where no rule is broken."""
    broken = {violation.rule for violation in play(schedule).violations}
    if not broken:
        raise ScheduleError(
            f"seed {schedule.seed}: a schedule that breaks a rule was expected, it breaks none"
        )
    rule = next(iter(sorted(broken, key=lambda broken_rule: broken_rule.name)))
    size = -1
    while size != len(schedule.requests) + len(schedule.faults):
        size = len(schedule.requests) + len(schedule.faults)
        schedule = _without(schedule, "faults", schedule.faults, rule)
        schedule = _without(schedule, "requests", schedule.requests, rule)
    return schedule


def _without(schedule: Schedule, field: str, items: Sequence[Item], rule: Rule) -> Schedule:
    """Leaves out runs of items that the violation does not need; the runs are half of all items at first."""
    kept, step = list(items), max(1, len(items) // 2)
    while True:
        position = 0
        while position < len(kept):
            fewer = kept[:position] + kept[position + step :]
            smaller = msgspec.structs.replace(schedule, **{field: fewer})
            if any(violation.rule is rule for violation in play(smaller).violations):
                kept, schedule = fewer, smaller
            else:
                position += step
        if step == 1:
            return schedule
        step = max(1, step // 2)
