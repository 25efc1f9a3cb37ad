"""Which request classes are rejected when not all requests can be served. Pure.

`demand` is in requests a second by request class; the result is the share of each class that is rejected. A
small share of every class is always let through, as what happens to it shows when things are better.
"""

from __future__ import annotations

from .plan import MIN_SHARE, Shares

MIN_PASSED_SHARE = 0.02


def shed_lowest_credit(part: float, demand: dict[str, float], credits: dict[str, float]) -> Shares:
    """Rejects a part of all requests: the class of the lowest credit first, then the next."""
    left = part * sum(demand.values())
    shed: Shares = {}
    for name in sorted(demand, key=lambda name: credits.get(name, 0.0)):
        rate = demand[name]
        if left <= 0 or rate <= 0:
            continue
        share = min(1.0 - MIN_PASSED_SHARE, left / rate)
        left -= share * rate
        if share >= MIN_SHARE:
            shed[name] = round(share, 3)
    return shed


def hold_by_rank(part: float, demand: dict[str, float], credits: dict[str, float]) -> Shares:
    """Holds back moved requests: all of that part of the lowest credit, down to none of the highest.

    By rank and not one class after the other, so that the prefixes of all classes are let in side by side.
    """
    ranked = sorted(demand, key=lambda name: credits.get(name, 0.0))
    last = max(1, len(ranked) - 1)
    held: Shares = {}
    for at, name in enumerate(ranked):
        share = min(1.0 - MIN_PASSED_SHARE, part * (1 - at / last))
        if share >= MIN_SHARE:
            held[name] = round(share, 3)
    return held
