"""How many requests an engine in slow start (a cold one) is sent: credit that is earned and spent.

Guards against pushing a cold engine over: a front's part of its budget, in any window.  Each serve at engines
of its role, which no storm of retries can raise, earns it its even share, made smaller; a request costs one.
Fronts start at different parts of one: hundreds must not begin at once.  Cold prefill engines earn together:
the hash spreads their requests, and a front that meets them seldom would wait for ever for a request that
falls to the very one that has earned it.

What all engines of a role have earned is kept as one sum, and an engine's own credit is reckoned from it when
it is asked for: a serve costs the same however many engines are cold.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from .settings import PolicySettings
from .state import Engine

PRUDENCE = 0.5  # of this front's even share of a cold engine's budget is used
FULL = 1.0  # credit of one request, and the most there is


class SlowStart:
    """Credit of the cold engines of one front."""

    def __init__(self, settings: PolicySettings) -> None:
        self._slow_start_ms = settings.slow_start_ms
        self._budget: float = settings.slow_start_share * settings.overload_multiple * PRUDENCE
        self.read_credit = 0.0  # requests that cold prefill engines may be sent, earned together
        self._read_part = 0.0  # what cold prefill engines are due of all prefills
        self._earned: dict[str, float] = defaultdict(float)  # by role: in all, for an engine due all of it
        self._counted: dict[Engine, float] = {}  # cold engines: up to where their credit has it

    def begin(self, engine: Engine, credit: float) -> None:
        """An engine has started."""
        self._counted.pop(engine, None)
        engine.credit = credit

    def leave(self, engine: Engine) -> None:
        """Its part or role may change; the next list tells whether it is cold still."""
        self.settle(engine)
        self._counted.pop(engine, None)

    def settle(self, engine: Engine) -> None:
        """Adds to an engine's credit what it has earned; due before its part changes."""
        counted = self._counted.get(engine)
        if counted is None:
            return
        earned = self._earned[engine.role]
        if earned != counted:
            engine.credit = min(FULL, engine.credit + (earned - counted) * engine.role_share)
            self._counted[engine] = earned

    def settle_all(self) -> None:
        for engine in self._counted:
            self.settle(engine)

    def cold_are(self, engines: Iterable[Engine]) -> None:
        """A new list tells who is cold; what others earned was settled before."""
        cold = list(engines)
        self._read_part = sum(engine.role_share for engine in cold if engine.role == "read")
        self._counted = {engine: self._earned[engine.role] for engine in cold if engine.role != "read"}

    def earn(self, role: str, part: float) -> None:
        """A part of a serve is earned by the cold engines of a role."""
        if role == "read":
            self.read_credit = min(FULL, self.read_credit + self._budget * part * self._read_part)
        else:
            self._earned[role] += self._budget * part

    def is_cold(self, engine: Engine, now: float) -> bool:
        return engine.started > 0 and now < engine.started + self._slow_start_ms

    def credit(self, engine: Engine) -> float:
        if engine.role == "read":
            return self.read_credit
        self.settle(engine)
        return engine.credit

    def spend_read(self) -> None:
        self.read_credit -= FULL

    def spend(self, engine: Engine) -> None:
        """A decode or mixed engine is sent a request."""
        self.settle(engine)
        engine.credit -= FULL
