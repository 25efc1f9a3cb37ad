"""Estimates the demand of clients and the load of zones. Pure.

The capacity of a zone comes from the settings. Without a configured capacity, it is learned as the highest
rate of first tokens in the zone while waits were short, and the load is estimated from the waits. Waits are
fractions of the latency target.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .reports import FleetReport
from .zones import ZoneView

SMOOTHING = 0.4  # weight of each new report
FULL_WAIT = 0.5  # mean wait above which a zone is full
SHORT_WAIT = 0.25  # mean wait below which the rate of first tokens is within the zone's capacity
IDLE_WAIT = 0.05  # mean wait of nearly idle engines
LIGHT_LOAD = 0.45  # up to which moved requests are not held back
LOAD_PER_WAIT = 3.0  # estimated load above LIGHT_LOAD, per unit of wait above IDLE_WAIT
CAPACITY_DECAY = 0.0005  # of the learned capacity, at each report


class LoadEstimate:
    """Smoothed demand and waits; `capacities` are the configured ones, in requests per second by zone."""

    def __init__(self, capacities: dict[str, float]) -> None:
        self.demand: dict[str, float] = {}  # requests per second, by request class
        self.waits: dict[str, float] = {}  # by zone
        self._capacities = capacities
        self._learned_capacities: dict[str, float] = {}

    def update(self, report: FleetReport, request_classes: Iterable[str]) -> None:
        """Applies one report of all nodes."""
        for name in request_classes:
            _smooth(self.demand, name, report.demand.get(name, 0.0))
        for name, zone in report.zones.items():
            if zone.observed_rate > 0:
                _smooth(self.waits, name, zone.wait_rate / zone.observed_rate)
            if self.waits.get(name, 1.0) < SHORT_WAIT:
                learned = self._learned_capacities.get(name, 0.0) * (1 - CAPACITY_DECAY)
                self._learned_capacities[name] = max(learned, zone.first_token_rate)

    def is_full(self, zone: str) -> bool:
        """Reports whether the mean wait in the zone is above FULL_WAIT."""
        return self.waits.get(zone, 0.0) > FULL_WAIT

    def load(self, views: Mapping[str, ZoneView]) -> float:
        """Returns the demand as a fraction of the capacity of these zones.

        If any of them has no configured capacity, the load is estimated from the waits, and is at most the
        demand divided by the learned capacity.
        """
        demand = sum(self.demand.values())
        if all(self._capacities.get(name) for name in views):
            capacity = 0.0
            for name, view in views.items():
                capacity += self._capacities[name] * view.kept_share * _ready_share(view)
            return demand / capacity if capacity else 1.0
        learned = sum(self._learned_capacities.get(name, 0.0) for name in views)
        longest_wait = max((self.waits.get(name, 1.0) for name in views), default=1.0)
        estimate = min(1.0, LIGHT_LOAD + LOAD_PER_WAIT * max(0.0, longest_wait - IDLE_WAIT))
        return min(estimate, demand / learned) if learned else estimate


def _smooth(values: dict[str, float], name: str, value: float) -> None:
    """Updates an exponential moving average; the first value initializes it."""
    previous = values.get(name, value)
    values[name] = previous + SMOOTHING * (value - previous)


def _ready_share(view: ZoneView) -> float:
    return view.ready_size / view.full_size if view.full_size else 0.0
