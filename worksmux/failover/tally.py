"""What fronts report of zones, added up on its way to the seat that leads.  Pure.

A front's own report counts as one, whatever its load, where it votes on how a zone is; only flows are summed.
So one front that lies has one vote, and its flows are bounded by what a front can claim.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import isfinite

import msgspec

MOST_ZONES = 256
MOST_REQUEST_CLASSES = 256
MOST_FLOW = 1e5  # jobs a second that one front may claim


class ZoneTally(msgspec.Struct):
    """Of one zone's engines.  Sums over the fronts that spoke; flows in jobs a second."""

    spoke: int = 0  # fronts that had something to say of it
    lost: int = 0  # votes: nothing there answers
    grey: int = 0  # votes: much fails there, or is late
    listed: int = 0  # fronts that know engines of it
    ready: float = 0.0  # size listed as ready
    had: float = 0.0  # the most that was, slowly forgotten
    cold: float = 0.0  # of it, still to warm up
    begun: float = 0.0  # jobs a second whose answer began
    met: float = 0.0  # the same, and those that wait there
    press: float = 0.0  # of these, the sum of waits as parts of what was promised
    vain: float = 0.0  # trips a second that failed


class Tally(msgspec.Struct):
    fronts: int = 0
    zones: dict[str, ZoneTally] = {}
    asked: dict[str, float] = {}  # jobs a second that clients ask, by offering

    def sound(self) -> bool:
        """Whether these can be the figures of so many fronts."""

        def flow(value: float) -> bool:
            return isfinite(value) and 0.0 <= value <= MOST_FLOW * max(1, self.fronts)

        return (
            self.fronts >= 0
            and len(self.zones) <= MOST_ZONES
            and len(self.asked) <= MOST_REQUEST_CLASSES
            and all(map(flow, self.asked.values()))
            and all(
                0 <= votes <= self.fronts
                for one in self.zones.values()
                for votes in (one.spoke, one.lost, one.grey, one.listed)
            )
            and all(
                flow(value)
                for one in self.zones.values()
                for value in (one.ready, one.had, one.cold, one.begun, one.met, one.press, one.vain)
            )
        )


def added(tallies: Iterable[Tally]) -> Tally:
    """
    >>> one = Tally(1, {"n": ZoneTally(1, 1, 0, 1, 4.0)}, {"hint": 3.0})
    >>> both = added([one, one]); both.fronts, both.zones["n"].lost, both.asked
    (2, 2, {'hint': 6.0})
    """
    found = Tally(zones={}, asked={})
    for tally in tallies:
        found.fronts += tally.fronts
        for name, flow in tally.asked.items():
            found.asked[name] = found.asked.get(name, 0.0) + flow
        for name, zone in tally.zones.items():
            old = found.zones.get(name, ZoneTally())
            found.zones[name] = ZoneTally(
                *(getattr(old, field) + getattr(zone, field) for field in ZoneTally.__struct_fields__)
            )
    return found
