"""What clients ask for, and how much of their capacity the zones have in use. Pure.

The capacity of a zone comes from the settings. Where they give none, it is learned from the most requests
that began there while waits were short, and the load is guessed from the waits. Waits are fractions of the
latency target.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .reports import FleetReport
from .zones import ZoneView

SMOOTHING = 0.4  # weight of each new report
FULL_WAIT = 0.5  # mean wait above which a zone is full
SHORT_WAIT = 0.25  # mean wait below which what begins there shows what the zone carries
IDLE_WAIT = 0.05  # mean wait of engines that have next to nothing to do
LIGHT_LOAD = 0.45  # at which moved requests need not be held back
LOAD_PER_WAIT = 3.0  # guessed load above LIGHT_LOAD, for each unit of wait above IDLE_WAIT
CAPACITY_DECAY = 0.0005  # of the learned capacity, at each report


class LoadEstimate:
    """Smoothed demand and waits; `capacities` are requests a second by zone, where the settings give them."""

    def __init__(self, capacities: dict[str, float]) -> None:
        self.demand: dict[str, float] = {}  # requests a second by request class
        self.waits: dict[str, float] = {}  # by zone
        self._capacities = capacities
        self._learned_capacities: dict[str, float] = {}

    def update(self, report: FleetReport, request_classes: Iterable[str]) -> None:
        """Takes in one report of all nodes."""
        for name in request_classes:
            _smooth(self.demand, name, report.demand.get(name, 0.0))
        for name, zone in report.zones.items():
            if zone.observed_rate > 0:
                _smooth(self.waits, name, zone.wait_rate / zone.observed_rate)
            if self.waits.get(name, 1.0) < SHORT_WAIT:
                learned = self._learned_capacities.get(name, 0.0) * (1 - CAPACITY_DECAY)
                self._learned_capacities[name] = max(learned, zone.first_token_rate)

    def is_full(self, zone: str) -> bool:
        """Whether requests wait for too large a part of their latency target."""
        return self.waits.get(zone, 0.0) > FULL_WAIT

    def load(self, views: Mapping[str, ZoneView]) -> float:
        """The demand as a fraction of what these zones carry.

        Without configured capacities it is guessed from the waits, and taken for less where the zones were
        seen to carry as much with short waits.
        """
        demand = sum(self.demand.values())
        if all(self._capacities.get(name) for name in views):
            capacity = 0.0
            for name, view in views.items():
                capacity += self._capacities[name] * view.kept_share * _ready_share(view)
            return demand / capacity if capacity else 1.0
        learned = sum(self._learned_capacities.get(name, 0.0) for name in views)
        longest_wait = max((self.waits.get(name, 1.0) for name in views), default=1.0)
        guess = min(1.0, LIGHT_LOAD + LOAD_PER_WAIT * max(0.0, longest_wait - IDLE_WAIT))
        return min(guess, demand / learned) if learned else guess


def _smooth(values: dict[str, float], name: str, value: float) -> None:
    """Moves a value towards a new one; the first is taken as it is."""
    old = values.get(name, value)
    values[name] = old + SMOOTHING * (value - old)


def _ready_share(view: ZoneView) -> float:
    return view.ready_size / view.full_size if view.full_size else 0.0
