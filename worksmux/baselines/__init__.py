"""Baseline policies to compare the router with, behind the same entry point."""

from __future__ import annotations

from ..policy.id_map import PolicyFactory
from ..policy.router import Router
from .plain import LeastInFlight, RandomEngine, RoundRobin

POLICIES: dict[str, PolicyFactory] = {
    "worksmux": Router,
    "random": RandomEngine,
    "round-robin": RoundRobin,
    "least-of-our-own": LeastInFlight,
}
