"""Policies to compare the module with, behind the same entry point.  Never the ordinary path."""

from __future__ import annotations

from ..policy.id_map import PolicyFactory
from ..policy.router import Router
from .plain import LeastOfOurOwn, Random, RoundRobin

POLICIES: dict[str, PolicyFactory] = {
    "worksmux": Router,
    "random": Random,
    "round-robin": RoundRobin,
    "least-of-our-own": LeastOfOurOwn,
}
