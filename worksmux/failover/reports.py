"""Reports of nodes on zones and demand, summed on the way to the leader. Pure.

Each node has one vote on the health of a zone, whatever its load; only rates are summed. A faulty node
therefore has one vote, and its rates are bounded by MAX_RATE_PER_NODE.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import isfinite

import msgspec

MAX_ZONES = 256
MAX_REQUEST_CLASSES = 256
MAX_RATE_PER_NODE = 1e5  # requests per second that one node may report


class ZoneReport(msgspec.Struct):
    """The report on one zone, summed over nodes; sizes are in engines, rates per second."""

    voters: int = msgspec.field(name="spoke", default=0)  # nodes with enough attempts to vote
    failed_votes: int = msgspec.field(name="lost", default=0)  # no engine of the zone answers
    degraded_votes: int = msgspec.field(name="grey", default=0)  # many attempts fail or are late
    listed_by: int = msgspec.field(name="listed", default=0)  # nodes that list ready engines of it
    ready_size: float = msgspec.field(name="ready", default=0.0)
    full_size: float = msgspec.field(name="had", default=0.0)  # highest ready size, decaying
    cold_size: float = msgspec.field(name="cold", default=0.0)  # part of the ready size not warmed up
    first_token_rate: float = msgspec.field(name="begun", default=0.0)  # requests that got a first token
    observed_rate: float = msgspec.field(name="met", default=0.0)  # these and waiting requests
    wait_rate: float = msgspec.field(name="press", default=0.0)  # sum of their waits, in latency targets
    fault_rate: float = msgspec.field(name="vain", default=0.0)  # attempts that failed

    def is_valid(self, nodes: int) -> bool:
        """Whether these figures are possible for that number of nodes."""
        votes = (self.voters, self.failed_votes, self.degraded_votes, self.listed_by)
        figures = (
            self.ready_size,
            self.full_size,
            self.cold_size,
            self.first_token_rate,
            self.observed_rate,
            self.wait_rate,
            self.fault_rate,
        )
        return all(0 <= count <= nodes for count in votes) and all(
            _is_possible(figure, nodes) for figure in figures
        )


class FleetReport(msgspec.Struct):
    """The sum of the reports of `nodes` nodes."""

    nodes: int = msgspec.field(name="fronts", default=0)
    zones: dict[str, ZoneReport] = {}
    demand: dict[str, float] = msgspec.field(name="asked", default_factory=dict)  # requests/s by class

    def is_valid(self) -> bool:
        """Whether these figures are possible for that number of nodes."""
        return (
            self.nodes >= 0
            and len(self.zones) <= MAX_ZONES
            and len(self.demand) <= MAX_REQUEST_CLASSES
            and all(_is_possible(rate, self.nodes) for rate in self.demand.values())
            and all(zone.is_valid(self.nodes) for zone in self.zones.values())
        )


def _is_possible(figure: float, nodes: int) -> bool:
    return isfinite(figure) and 0.0 <= figure <= MAX_RATE_PER_NODE * max(1, nodes)


def sum_reports(reports: Iterable[FleetReport]) -> FleetReport:
    """Returns the sum of several reports.

    >>> report = FleetReport(1, {"n": ZoneReport(1, 1, 0, 1, 4.0)}, {"hint": 3.0})
    >>> total = sum_reports([report, report]); total.nodes, total.zones["n"].failed_votes, total.demand
    (2, 2, {'hint': 6.0})
    """
    total = FleetReport(zones={}, demand={})
    for report in reports:
        total.nodes += report.nodes
        for name, rate in report.demand.items():
            total.demand[name] = total.demand.get(name, 0.0) + rate
        for name, zone in report.zones.items():
            total.zones[name] = _sum_zone_reports(total.zones.get(name, ZoneReport()), zone)
    return total


def _sum_zone_reports(zone: ZoneReport, other: ZoneReport) -> ZoneReport:
    return ZoneReport(
        *(getattr(zone, field) + getattr(other, field) for field in ZoneReport.__struct_fields__)
    )
