"""The failover plan that all nodes act on, and its stored form. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from math import isfinite

import msgspec

from .reports import MAX_ZONES

MIN_SHARE = 0.005  # smaller shares are rounded away
SUM_TOLERANCE = 0.01  # by which the shares of a route may miss 1

Shares = dict[str, float]  # by zone or request class, 0 to 1


class Plan(msgspec.Struct, frozen=True):
    """Where the requests of each zone go, and which are rejected.

    `routes` gives, for each zone that does not keep all of its requests, the shares that zones take of them;
    a failed zone is not in its own route. `shed` gives, by the zone where requests belong and by request
    class, the share of new ones that is rejected at once, with a Retry-After of `retry_after_ms` to twice
    that.
    """

    number: int = 0
    routes: dict[str, Shares] = msgspec.field(name="rows", default_factory=dict)
    shed: dict[str, Shares] = {}
    retry_after_ms: float = msgspec.field(name="stay_away", default=0.0)
    reason: str = msgspec.field(name="why", default="")  # in words, for operators
    kept_shares: Shares = msgspec.field(name="keep", default_factory=dict)  # of zones that are not healthy
    held_shares: Shares = msgspec.field(
        name="held", default_factory=dict
    )  # rejected for being moved, by zone
    event: int = 0  # the failure that this plan belongs to; the first plan after calm begins a new one

    @property
    def calm(self) -> bool:
        """Whether the plan changes nothing."""
        return not self.routes and not self.shed

    def is_valid(self) -> bool:
        """Whether all shares are shares, and those of each route add up to 1."""
        return (
            self.number >= 0
            and len(self.routes) <= MAX_ZONES
            and len(self.shed) <= MAX_ZONES
            and all(_are_shares(route.values()) for route in self.routes.values())
            and all(abs(sum(route.values()) - 1.0) < SUM_TOLERANCE for route in self.routes.values())
            and all(_are_shares(shed.values()) for shed in self.shed.values())
            and _are_shares(self.kept_shares.values())
            and _are_shares(self.held_shares.values())
            and isfinite(self.retry_after_ms)
            and self.retry_after_ms >= 0
        )


def _are_shares(values: Iterable[float]) -> bool:
    return all(isfinite(value) and 0.0 <= value <= 1.0 for value in values)


def encode(plan: Plan) -> bytes:
    """The stored form of a plan."""
    return msgspec.msgpack.encode(plan)


def decode(data: bytes) -> Plan:
    """The plan in a stored form; raises msgspec.DecodeError for what is no valid plan."""
    plan = msgspec.msgpack.decode(data, type=Plan)
    if not plan.is_valid():
        raise msgspec.ValidationError("the plan's shares make no sense")
    return plan
