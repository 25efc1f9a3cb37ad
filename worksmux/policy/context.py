"""The state that every part of the policy reads: time, settings, endpoints, actions of this round."""

from __future__ import annotations

from .actions import Action
from .endpoint_index import EngineIndex
from .events import FailoverPlan
from .random_source import RandomSource
from .settings import PolicySettings
from .state import Engine

DEFAULT_RELEASE_WITHIN_MS = 1_000.0  # if the settings name no limit for held KV cache
ROUNDS_PER_RELEASE = 6  # decision rounds within that limit while a request waits


class PolicyContext:
    """State that the parts of one router share; the router alone owns it."""

    __slots__ = (
        "settings",
        "request_classes",
        "random_source",
        "shortest_target_ms",
        "round_interval_ms",
        "now",
        "engines",
        "index",
        "plan",
        "actions",
    )

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        self.settings = settings
        self.request_classes = settings.request_classes
        self.random_source = RandomSource(seed)
        self.shortest_target_ms: float = min(
            request_class.latency_target_ms for request_class in self.request_classes
        )
        self.round_interval_ms: float = max(
            settings.tick_ms,
            (settings.release_within_ms or DEFAULT_RELEASE_WITHIN_MS) / ROUNDS_PER_RELEASE,
        )
        self.now = 0.0  # milliseconds; set at each decision round
        self.engines: dict[Engine, None] = {}
        self.index = EngineIndex([], None, settings, 0.0)
        self.plan: FailoverPlan | None = None  # agreed by all nodes; None: no zone fails over
        self.actions: list[Action] = []  # of the current decision round, in order
