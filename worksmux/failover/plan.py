"""The failover plan that all nodes apply, and its stored form. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from math import isfinite

import msgspec

from .reports import MAX_ZONES

MIN_SHARE = 0.005  # smaller shares are rounded away
SUM_TOLERANCE = 0.01  # largest difference of the sum of a route's shares from 1

Shares = dict[str, float]  # by zone or request class, 0 to 1


class Plan(msgspec.Struct, frozen=True):
    """Routes of requests between zones, and the shares of requests that are rejected.

    `routes` has an entry for each zone that does not keep all of its requests: the shares of them by the zone
    that serves them. A failed zone is not in its own route. `shed` is the share of new requests to reject at
    once, by home zone and request class. The Retry-After of a rejected request is between `retry_after_ms`
    and twice that.
    """

    number: int = 0
    routes: dict[str, Shares] = msgspec.field(name="rows", default_factory=dict)
    shed: dict[str, Shares] = {}
    retry_after_ms: float = msgspec.field(name="stay_away", default=0.0)
    reason: str = msgspec.field(name="why", default="")  # for operators
    # By zone, of the zones that are not healthy.
    kept_shares: Shares = msgspec.field(name="keep", default_factory=dict)
    # By zone, of its requests: the share that is held back because it would be moved.
    held_shares: Shares = msgspec.field(name="held", default_factory=dict)
    event: int = 0  # number of the failure; the first plan after a calm plan starts a new one

    @property
    def calm(self) -> bool:
        """Whether the plan moves and rejects no requests."""
        return not self.routes and not self.shed

    def is_valid(self) -> bool:
        """Reports whether all shares are from 0 to 1, and the shares of each route add up to 1."""
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
    """Returns the stored form of a plan."""
    return msgspec.msgpack.encode(plan)


def decode(data: bytes) -> Plan:
    """Decodes the stored form of a plan; raises msgspec.DecodeError if the plan is not valid."""
    plan = msgspec.msgpack.decode(data, type=Plan)
    if not plan.is_valid():
        raise msgspec.ValidationError(
            "invalid failover plan: a share, the sum of a route, the number or the delay is out of range"
        )
    return plan
