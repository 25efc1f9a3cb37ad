"""Distributes prefills among cells by the decode capacity of each cell.

Where prefill and decode engines are spread unevenly over cells, an unweighted hash overloads the few decode
engines of some cell.  A node with sparse traffic sees no decode window fill up, so only the weights prevent
the overload.
"""

from __future__ import annotations

from collections import defaultdict

from .state import Engine

EXCESS_PER_MIGRATION_PRICE = 6.0  # what a cell may prefill beyond its even share, as a part of that share
MIN_CELL_SHARE = 1e-6  # prevents a division by 0 for a cell without prefills


def share_by_cell(engines: list[Engine]) -> dict[int, float]:
    """Sets each engine's share of the total size of its role; returns the sum of the shares by cell."""
    shares: dict[int, float] = defaultdict(float)
    total_size = sum(engine.size for engine in engines)
    for engine in engines:
        engine.role_share = engine.size / total_size
        shares[engine.cell] += engine.role_share
    return shares


def set_weights(
    prefill_engines: list[Engine],
    decode_engines: list[Engine],
    combined_engines: list[Engine],
    migration_price: float,
) -> dict[int, float]:
    """Sets engine weights; returns by cell the share of its prefills that its decode engines take.

    A cell prefills what its decode engines can take, up to its even share and an excess.  The rest goes to
    the cells that are below that limit.
    """
    prefill_capacity = share_by_cell(prefill_engines)
    decode_capacity = share_by_cell(decode_engines)
    share_by_cell(combined_engines)
    max_share_factor = 1 + EXCESS_PER_MIGRATION_PRICE * migration_price
    prefill_share = {
        cell: min(decode_capacity[cell], max_share_factor * share) for cell, share in prefill_capacity.items()
    }
    spare_share = sum(
        max_share_factor * share - prefill_share[cell] for cell, share in prefill_capacity.items()
    )
    unassigned_share = 1 - sum(prefill_share.values())
    local_decode_share: dict[int, float] = {}
    for cell, share in prefill_capacity.items():
        prefill_share[cell] += (
            unassigned_share * (max_share_factor * share - prefill_share[cell]) / (spare_share or 1.0)
            + MIN_CELL_SHARE
        )
        local_decode_share[cell] = min(1.0, decode_capacity[cell] / prefill_share[cell])
    decode_count = max(1, len(decode_engines))
    for engine in prefill_engines:
        engine.weight = (
            engine.role_share * prefill_share[engine.cell] / prefill_capacity[engine.cell] * decode_count
        )
    for engine in combined_engines:  # each takes as many requests as one decode engine
        engine.weight = engine.role_share * len(combined_engines)
    return local_decode_share
