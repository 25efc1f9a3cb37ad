"""How many requests an engine in slow start (a cold one) is sent: credit that is earned and spent.

Failure: an engine that has just started falls over when all nodes send it their even share.  A node sends
it a part of that, in any window of time: each serve at engines of its role, which no storm of retries can
raise, earns it a reduced even share, and a request costs one.  Nodes start with different parts of one
request, as hundreds must not begin at once.  Cold prefill engines earn together: the hash spreads their
requests, and a node that meets them seldom would wait for ever for a request of the one that has earned it.

What all engines of a role have earned is kept as one sum, and an engine's own credit is computed from it when
it is needed: a serve costs the same however many engines are cold.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from .settings import ROLE_PREFILL, PolicySettings
from .state import Engine

BUDGET_SHARE = 0.5  # of this node's even share of a cold engine's budget, that is used
REQUEST_CREDIT = 1.0  # of one request, and the most there is


class SlowStart:
    """Credit of the cold engines of one node."""

    def __init__(self, settings: PolicySettings) -> None:
        self._slow_start_ms = settings.slow_start_ms
        self._budget: float = settings.slow_start_share * settings.overload_multiple * BUDGET_SHARE
        self.prefill_credit = 0.0  # requests that cold prefill engines may be sent, earned together
        self._cold_prefill_share = 0.0  # what cold prefill engines are due of all prefills
        self._earned: dict[str, float] = defaultdict(float)  # by role, for an engine due all of the role's
        self._counted: dict[Engine, float] = {}  # cold engines: the part of `_earned` in their credit

    def is_cold(self, engine: Engine, now: float) -> bool:
        """Times are milliseconds."""
        return engine.started > 0 and now < engine.started + self._slow_start_ms

    def begin(self, engine: Engine, credit: float) -> None:
        """An engine has started."""
        self._counted.pop(engine, None)
        engine.slow_start_credit = credit

    def leave(self, engine: Engine) -> None:
        """The engine's share or role may change; the next endpoint list tells whether it is cold still."""
        self.settle(engine)
        self._counted.pop(engine, None)

    def settle(self, engine: Engine) -> None:
        """Adds to an engine's credit what it has earned; due before its share changes."""
        counted = self._counted.get(engine)
        if counted is None:
            return
        earned = self._earned[engine.role]
        if earned != counted:
            engine.slow_start_credit = min(
                REQUEST_CREDIT, engine.slow_start_credit + (earned - counted) * engine.role_share
            )
            self._counted[engine] = earned

    def settle_all(self) -> None:
        for engine in self._counted:
            self.settle(engine)

    def set_cold(self, engines: Iterable[Engine]) -> None:
        """The cold engines of a new endpoint list; what others earned was settled before."""
        cold = list(engines)
        self._cold_prefill_share = sum(engine.role_share for engine in cold if engine.role == ROLE_PREFILL)
        self._counted = {engine: self._earned[engine.role] for engine in cold if engine.role != ROLE_PREFILL}

    def earn(self, role: str, serves: float) -> None:
        """The cold engines of a role earn from serves, or from a fraction of one."""
        if role == ROLE_PREFILL:
            earned = self._budget * serves * self._cold_prefill_share
            self.prefill_credit = min(REQUEST_CREDIT, self.prefill_credit + earned)
        else:
            self._earned[role] += self._budget * serves

    def credit(self, engine: Engine) -> float:
        """Requests that a cold engine may be sent now."""
        if engine.role == ROLE_PREFILL:
            return self.prefill_credit
        self.settle(engine)
        return engine.slow_start_credit

    def may_prefill(self) -> bool:
        return self.prefill_credit >= REQUEST_CREDIT

    def spend_prefill(self) -> None:
        self.prefill_credit -= REQUEST_CREDIT

    def spend(self, engine: Engine) -> None:
        """A decode or combined engine is sent a request."""
        self.settle(engine)
        engine.slow_start_credit -= REQUEST_CREDIT
