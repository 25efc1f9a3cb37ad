"""Selects the shares of request classes to reject when not all requests can be served. Pure.

`demand` is in requests per second by request class; the result is the rejected share of each class. A share
of MIN_PASSED_SHARE of every class is always admitted, because its outcome shows when capacity is back.
"""

from __future__ import annotations

from .plan import MIN_SHARE, Shares

MIN_PASSED_SHARE = 0.02


def shed_lowest_credit(total_share: float, demand: dict[str, float], credits: dict[str, float]) -> Shares:
    """Rejects a share of all requests, from the class with the lowest credit upwards."""
    remaining_rate = total_share * sum(demand.values())
    shed: Shares = {}
    for name in sorted(demand, key=lambda name: credits.get(name, 0.0)):
        rate = demand[name]
        if remaining_rate <= 0 or rate <= 0:
            continue
        share = min(1.0 - MIN_PASSED_SHARE, remaining_rate / rate)
        remaining_rate -= share * rate
        if share >= MIN_SHARE:
            shed[name] = round(share, 3)
    return shed


def hold_by_rank(total_share: float, demand: dict[str, float], credits: dict[str, float]) -> Shares:
    """Holds back moved requests: the full share of the class with the lowest credit, none of the highest.

    The share falls by rank instead of one class after the other, so that the shared prefixes of all classes
    enter the KV caches in parallel.
    """
    ranked = sorted(demand, key=lambda name: credits.get(name, 0.0))
    max_rank = max(1, len(ranked) - 1)
    held: Shares = {}
    for rank, name in enumerate(ranked):
        share = min(1.0 - MIN_PASSED_SHARE, total_share * (1 - rank / max_rank))
        if share >= MIN_SHARE:
            held[name] = round(share, 3)
    return held
