"""Makes a failing schedule small: what can be left out while the same rule is still broken is left out."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from .ledger import Rule
from .schedule import BadSchedule, Schedule
from .world import play

Item = TypeVar("Item")


def shrink(schedule: Schedule) -> Schedule:
    """Raises BadSchedule where nothing is broken."""
    broken = {violation.rule for violation in play(schedule).violations}
    if not broken:
        raise BadSchedule(f"seed {schedule.seed}: it breaks no rule")
    rule = next(iter(sorted(broken, key=lambda one: one.name)))
    size = -1
    while size != len(schedule.requests) + len(schedule.faults):
        size = len(schedule.requests) + len(schedule.faults)
        schedule = _without(schedule, "faults", schedule.faults, rule)
        schedule = _without(schedule, "requests", schedule.requests, rule)
    return schedule


def _without(schedule: Schedule, field: str, items: Sequence[Item], rule: Rule) -> Schedule:
    """Leaves out runs of items, halves first."""
    kept, step = list(items), max(1, len(items) // 2)
    while True:
        at = 0
        while at < len(kept):
            fewer = kept[:at] + kept[at + step :]
            smaller = msgspec.structs.replace(schedule, **{field: fewer})
            if any(violation.rule is rule for violation in play(smaller).violations):
                kept, schedule = fewer, smaller
            else:
                at += step
        if step == 1:
            return schedule
        step = max(1, step // 2)
