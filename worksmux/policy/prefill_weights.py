"""How prefills are weighed between cells, by what the decode engines of each cell can take.

Failure: where cells hold prefill and decode engines unevenly, a plain hash overloads the few decode engines
of some cell.  A node that seldom meets them sees no window fill, so only the weights can prevent it.
"""

from __future__ import annotations

from collections import defaultdict

from .state import Engine

EXCESS_PER_MIGRATION_PRICE = 6.0  # of its even share, what a cell may prefill more than the others
MIN_FLOW = 1e-6  # guards against a division by 0 where a cell gets no prefills


def share_by_cell(engines: list[Engine]) -> dict[int, float]:
    """Sets each engine's share of its role's size, and gives the sum of them by cell."""
    shares: dict[int, float] = defaultdict(float)
    total = sum(engine.size for engine in engines)
    for engine in engines:
        engine.role_share = engine.size / total
        shares[engine.cell] += engine.role_share
    return shares


def weigh(
    prefill_engines: list[Engine],
    decode_engines: list[Engine],
    combined_engines: list[Engine],
    migration_price: float,
) -> dict[int, float]:
    """Sets the engines' weights, and gives by cell the share of its prefills that its decode engines take.

    A cell prefills what its decode engines can take, up to its even share and an excess; what is left goes to
    the cells that have room for it.
    """
    prefill = share_by_cell(prefill_engines)
    decode = share_by_cell(decode_engines)
    share_by_cell(combined_engines)
    limit = 1 + EXCESS_PER_MIGRATION_PRICE * migration_price
    flow = {cell: min(decode[cell], limit * share) for cell, share in prefill.items()}
    room = sum(limit * share - flow[cell] for cell, share in prefill.items())
    left = 1 - sum(flow.values())
    local_decode_share: dict[int, float] = {}
    for cell, share in prefill.items():
        flow[cell] += left * (limit * share - flow[cell]) / (room or 1.0) + MIN_FLOW
        local_decode_share[cell] = min(1.0, decode[cell] / flow[cell])
    decode_count = max(1, len(decode_engines))
    for engine in prefill_engines:
        engine.weight = engine.role_share * flow[engine.cell] / prefill[engine.cell] * decode_count
    for engine in combined_engines:  # each takes as many requests as a decode engine
        engine.weight = engine.role_share * len(combined_engines)
    return local_decode_share
