"""Limits the requests sent to an engine in slow start (a cold engine) by credit.

An engine that has just started fails if all nodes send it their even share.  So each node sends it only a
part of that share in any window of time.  Each request served at engines of the same role earns the cold
engine a reduced even share, and a request sent to it costs one.  A storm of retries cannot raise the number
of served requests.  Each node starts with a different part of one request's credit, so that hundreds of nodes
do not begin at once.  Cold prefill engines earn credit together: hashing spreads their requests, and a node
with sparse traffic would wait for ever for a request that hashes to the one engine with credit.

The earnings of a role are kept as one sum, and the credit of an engine is computed from the sum on demand.
So a served request costs the same however many engines are cold.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from .settings import ROLE_PREFILL, PolicySettings
from .state import Engine

BUDGET_SHARE = 0.5  # used part of this node's even share of a cold engine's budget
REQUEST_CREDIT = 1.0  # cost of one request, and the maximum credit


class SlowStart:
    """Keeps one node's credit for cold engines."""

    def __init__(self, settings: PolicySettings) -> None:
        self._slow_start_ms = settings.slow_start_ms
        self._budget: float = settings.slow_start_share * settings.overload_multiple * BUDGET_SHARE
        self.prefill_credit = 0.0  # requests that cold prefill engines together may be sent
        self._cold_prefill_share = 0.0  # share of all prefills that is due to cold prefill engines
        # By role: the earnings of an imaginary engine whose share is all requests of the role.
        self._earned: dict[str, float] = defaultdict(float)
        self._settled: dict[Engine, float] = {}  # by cold engine: the part of `_earned` already in its credit

    def is_cold(self, engine: Engine, now: float) -> bool:
        """Whether the engine is in slow start; times are milliseconds."""
        return engine.started > 0 and now < engine.started + self._slow_start_ms

    def begin(self, engine: Engine, credit: float) -> None:
        """Sets the credit of an engine that has just started."""
        self._settled.pop(engine, None)
        engine.slow_start_credit = credit

    def leave(self, engine: Engine) -> None:
        """Settles an engine whose share or role may change; it earns again once it is in `set_cold`."""
        self.settle(engine)
        self._settled.pop(engine, None)

    def settle(self, engine: Engine) -> None:
        """Adds an engine's earnings to its credit; must be called before its share changes."""
        settled = self._settled.get(engine)
        if settled is None:
            return
        earned = self._earned[engine.role]
        if earned != settled:
            engine.slow_start_credit = min(
                REQUEST_CREDIT, engine.slow_start_credit + (earned - settled) * engine.role_share
            )
            self._settled[engine] = earned

    def settle_all(self) -> None:
        """Adds the earnings of all cold engines to their credit."""
        for engine in self._settled:
            self.settle(engine)

    def set_cold(self, engines: Iterable[Engine]) -> None:
        """Sets the cold engines of a new endpoint list; earlier earnings must be settled before."""
        cold_engines = list(engines)
        self._cold_prefill_share = sum(
            engine.role_share for engine in cold_engines if engine.role == ROLE_PREFILL
        )
        self._settled = {
            engine: self._earned[engine.role] for engine in cold_engines if engine.role != ROLE_PREFILL
        }

    def earn(self, role: str, served_requests: float) -> None:
        """Credits the cold engines of a role for served requests, or for a fraction of one."""
        if role == ROLE_PREFILL:
            earned = self._budget * served_requests * self._cold_prefill_share
            self.prefill_credit = min(REQUEST_CREDIT, self.prefill_credit + earned)
        else:
            self._earned[role] += self._budget * served_requests

    def credit(self, engine: Engine) -> float:
        """Returns how many requests a cold engine may be sent now."""
        if engine.role == ROLE_PREFILL:
            return self.prefill_credit
        self.settle(engine)
        return engine.slow_start_credit

    def may_prefill(self) -> bool:
        """Whether a cold prefill engine may be sent a request."""
        return self.prefill_credit >= REQUEST_CREDIT

    def spend_prefill(self) -> None:
        """Spends the credit of one request at a cold prefill engine."""
        self.prefill_credit -= REQUEST_CREDIT

    def spend(self, engine: Engine) -> None:
        """Spends the credit of one request sent to a decode or combined engine."""
        self.settle(engine)
        engine.slow_start_credit -= REQUEST_CREDIT
