"""Policies to compare the module with, behind the same entry point.  Never the ordinary path."""

from __future__ import annotations

from ..policy.id_map import Maker
from ..policy.router import Router
from .plain import LeastOfOurOwn, Random, RoundRobin

POLICIES: dict[str, Maker] = {
    "worksmux": Router,
    "random": Random,
    "round-robin": RoundRobin,
    "least-of-our-own": LeastOfOurOwn,
}
