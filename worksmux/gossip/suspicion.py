"""How long a suspected node has to refute the suspicion (SWIM §4.2, Lifeguard, LHA-Suspicion). Pure."""

from __future__ import annotations

from math import log, log10

from .members import Member

MIN_TIMEOUT_PERIODS = 4.0  # times the logarithm of the number of nodes
MAX_TIMEOUT_FACTOR = 6.0  # times the least timeout, while one node alone suspects
MAX_CONFIRMATIONS = 3  # further accusers that bring the timeout down to the least one


def confirm(member: Member, accuser: str) -> bool:
    """Counts another accuser; False if it was counted before, or if there are enough."""
    if accuser in member.accusers or len(member.accusers) > MAX_CONFIRMATIONS:
        return False
    member.accusers.add(accuser)
    return True


def dead_at(member: Member, node_count: int, period_ms: float) -> float:
    """When a suspect is declared dead; the more nodes suspect it independently, the sooner."""
    min_timeout_ms = MIN_TIMEOUT_PERIODS * period_ms * max(1.0, log10(node_count))
    # In a small fleet fewer can confirm: neither the accuser, nor the suspect, nor this node.
    wanted = min(MAX_CONFIRMATIONS, node_count - 3)
    confirmations = max(0, len(member.accusers) - 1)
    part = 1.0 if confirmations >= wanted else log(confirmations + 1) / log(wanted + 1)
    factor = MAX_TIMEOUT_FACTOR - (MAX_TIMEOUT_FACTOR - 1) * part
    return member.suspected_at + min_timeout_ms * factor
