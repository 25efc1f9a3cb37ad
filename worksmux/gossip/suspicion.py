"""How long a suspected node has to refute the suspicion (SWIM §4.2; Lifeguard, LHA-Suspicion).

The module does no I/O.
"""

from __future__ import annotations

from math import log, log10

from .members import Member

MIN_TIMEOUT_PERIODS = 4.0  # periods, per log10 of the number of nodes
MAX_TIMEOUT_FACTOR = 6.0  # times the minimum timeout, while only one node suspects
MAX_CONFIRMATIONS = 3  # further accusers, after which the minimum timeout applies


def confirm(member: Member, accuser: str) -> bool:
    """Counts another accuser; returns False if it was counted before or no more are needed."""
    if accuser in member.accusers or len(member.accusers) > MAX_CONFIRMATIONS:
        return False
    member.accusers.add(accuser)
    return True


def dead_at(member: Member, node_count: int, period_ms: float) -> float:
    """Returns when a suspect is declared dead.

    The more nodes suspect it independently, the sooner it is.
    """
    min_timeout_ms = MIN_TIMEOUT_PERIODS * period_ms * max(1.0, log10(node_count))
    # In a small fleet fewer nodes can confirm: the first accuser, the suspect and this node cannot.
    max_confirmations = min(MAX_CONFIRMATIONS, node_count - 3)
    confirmations = max(0, len(member.accusers) - 1)
    confirmed_fraction = (
        1.0 if confirmations >= max_confirmations else log(confirmations + 1) / log(max_confirmations + 1)
    )
    factor = MAX_TIMEOUT_FACTOR - (MAX_TIMEOUT_FACTOR - 1) * confirmed_fraction
    return member.suspected_at + min_timeout_ms * factor
