"""Monitoring of attempts whose engine is unresponsive while KV cache may be held for their request.

An attempt that was written during a network cut, or to an engine that hangs, has not arrived. An attempt at a
machine that has vanished is over, though its connection stays open. In both cases no engine executes the
attempt, and the time limit of the release runs. So each attempt of a request with claims is monitored until
it is over. Once its engine has been silent for most of that limit, a release is sent beside it:

- An attempt without a connection: the release frees the KV cache that it needs. It is sent only while a
  release is due.
- A decode stream: the release is harmless. It is sent while the engine is silent.
- A decode attempt that waits for KV cache: the release is harmless if the attempt has arrived. It is sent
  while the engine is silent.
- A prefill: the release frees the KV cache that it produces. It is sent while nothing shows that the prefill
  has arrived. A health check is tried first; where none is allowed the release is sent once, or while one is
  due.

All times are in ms.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..net import clock
from ..net.loop import Reactor
from ..policy.state import Engine
from .kv_claims import KvClaims
from .kv_releaser import KvReleaser

SILENT_FRACTION = 0.6  # of the time limit: an engine that is silent for this long is unresponsive
HEALTH_CHECK_STEPS = 2  # release steps within which a health check must be answered


class MonitoredAttempt(Protocol):
    """The view of an attempt in flight that the monitor needs."""

    @property
    def over(self) -> bool:
        """Whether the attempt has ended."""
        ...

    @property
    def engine(self) -> Engine:
        """The engine that executes the attempt."""
        ...

    @property
    def is_prefill(self) -> bool:
        """Whether the attempt is a prefill."""

    @property
    def written_at(self) -> float:
        """When the attempt was written to its established connection; 0 before."""

    @property
    def engine_responsive_at(self) -> float:
        """When the attempt's engine was last known to run."""


class UnresponsiveAttemptMonitor:
    """Sends releases beside attempts whose engine is unresponsive."""

    def __init__(
        self, reactor: Reactor, releaser: KvReleaser, check_health: Callable[[Engine], None] | None
    ) -> None:
        """`check_health` sends a health check to an engine; None if health checks are not allowed."""
        self.reactor, self.releaser, self.check_health = reactor, releaser, check_health

    def watch(self, claims: KvClaims, attempt: MonitoredAttempt, release: Callable[[], None]) -> None:
        """Monitors an attempt until it is over.

        `release` releases the KV cache held for the request, unless another attempt has a connection.
        """
        _Monitor(self, claims, attempt, release).schedule_check()


class _Monitor:
    """Monitors one attempt."""

    def __init__(
        self,
        owner: UnresponsiveAttemptMonitor,
        claims: KvClaims,
        attempt: MonitoredAttempt,
        release: Callable[[], None],
    ) -> None:
        self._owner, self._claims, self._attempt, self._release = owner, claims, attempt, release
        self._health_checked = False  # a health check was sent for the prefill
        self._released_unchecked = False  # a release was sent beside an unchecked prefill
        self._next_release_at = 0.0  # while the attempt has no connection

    def schedule_check(self) -> None:
        due_at = self._silent_since() + SILENT_FRACTION * self._owner.releaser.time_limit_ms
        self._check_in(due_at - clock.now())

    def _check_in(self, delay_ms: float) -> None:
        self._owner.reactor.callLater(max(self._owner.releaser.step_ms, delay_ms) / 1000, self._check)

    def _silent_since(self) -> float:
        if self._arrived:
            return self._attempt.engine_responsive_at
        written_at = self._attempt.written_at or clock.now()
        due_since = self._claims.due_since
        return written_at if due_since is None else min(written_at, due_since)

    @property
    def _arrived(self) -> bool:
        attempt = self._attempt
        return bool(attempt.written_at) and attempt.engine_responsive_at >= attempt.written_at

    def _check(self) -> None:
        attempt = self._attempt
        if attempt.over or attempt.is_prefill and self._arrived:
            return
        unresponsive_at = self._silent_since() + SILENT_FRACTION * self._owner.releaser.time_limit_ms
        if not self._claims.claims or clock.now() < unresponsive_at:
            self.schedule_check()
        elif not attempt.written_at:
            self._release_without_connection()
        elif attempt.is_prefill:
            self._release_beside_prefill()
        else:
            self._release_beside()

    def _release_without_connection(self) -> None:
        if clock.now() >= self._next_release_at:
            self._next_release_at = clock.now() + self._owner.releaser.time_limit_ms
            self._release()
        self._check_in(0.0)  # its connection may be established at any moment

    def _release_beside_prefill(self) -> None:
        check_health = self._owner.check_health
        if check_health is None:
            self._release_beside_unchecked_prefill()
        elif self._health_checked:
            self._health_checked = False
            self._release_beside()
        else:
            self._health_checked = True
            check_health(self._attempt.engine)
            self._check_in(HEALTH_CHECK_STEPS * self._owner.releaser.step_ms)

    def _release_beside_unchecked_prefill(self) -> None:
        if self._released_unchecked and not self._claims.is_due:
            self._check_in(self._owner.releaser.time_limit_ms)
        else:
            self._released_unchecked = True
            self._release_beside()

    def _release_beside(self) -> None:
        self._owner.releaser.start_beside(self._claims)
        self._check_in(self._owner.releaser.time_limit_ms)
