"""What nodes report of zones, added up on its way to the leader. Pure.

On the health of a zone each node has one vote, whatever its load; only rates are summed. A node that reports
nonsense therefore has one vote, and its rates are bounded by what a single node can claim.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import isfinite

import msgspec

MAX_ZONES = 256
MAX_REQUEST_CLASSES = 256
MAX_RATE_PER_NODE = 1e5  # requests a second that one node may claim


class ZoneReport(msgspec.Struct):
    """What is reported of one zone's engines: sums over nodes, sizes in engines, rates per second."""

    voters: int = msgspec.field(name="spoke", default=0)  # nodes that saw enough of it to vote
    failed_votes: int = msgspec.field(name="lost", default=0)  # nothing there answers
    degraded_votes: int = msgspec.field(name="grey", default=0)  # much fails there, or is late
    listed_by: int = msgspec.field(name="listed", default=0)  # nodes that know ready engines of it
    ready_size: float = msgspec.field(name="ready", default=0.0)
    full_size: float = msgspec.field(name="had", default=0.0)  # the most that was ready, slowly forgotten
    cold_size: float = msgspec.field(name="cold", default=0.0)  # of the ready size, still to warm up
    first_token_rate: float = msgspec.field(name="begun", default=0.0)  # requests whose answer began
    observed_rate: float = msgspec.field(name="met", default=0.0)  # these, and requests that wait there
    wait_rate: float = msgspec.field(name="press", default=0.0)  # their waits, in latency targets
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
    """The reports of `nodes` nodes, added up."""

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
    """The sum of several reports.

    >>> one = FleetReport(1, {"n": ZoneReport(1, 1, 0, 1, 4.0)}, {"hint": 3.0})
    >>> both = sum_reports([one, one]); both.nodes, both.zones["n"].failed_votes, both.demand
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


def _sum_zone_reports(one: ZoneReport, other: ZoneReport) -> ZoneReport:
    return ZoneReport(
        *(getattr(one, field) + getattr(other, field) for field in ZoneReport.__struct_fields__)
    )
