"""All releases of a node, started and paused as attempts end and start."""

from __future__ import annotations

from collections.abc import Callable

from ..net.loop import Reactor
from ..policy.state import Engine
from .kv_claims import KvClaims
from .kv_release import KvRelease, Phase, ReleaseCall, ReleaseEnvironment


class KvReleaser:
    """Manages the unsettled releases; `running` maps request ids to them."""

    def __init__(
        self,
        reactor: Reactor,
        call: ReleaseCall,
        choose_target: Callable[[set[Engine]], Engine | None],
        time_limit_ms: float,
    ) -> None:
        """`choose_target` returns an engine outside a set that is likely to acknowledge, or None."""
        self.running: dict[str, KvRelease] = {}
        self._environment = ReleaseEnvironment(reactor, call, choose_target, time_limit_ms, self._forget)
        self.time_limit_ms, self.step_ms = time_limit_ms, self._environment.step_ms

    def claims_of(self, key: str) -> KvClaims:
        """Returns the claims of a request, including those of an earlier request with the same id."""
        release = self.running.get(key)
        return KvClaims(key) if release is None else release.claims

    def start(self, claims: KvClaims) -> None:
        """Releases all KV cache held for a request without an attempt in flight."""
        release = self._release_of(claims)
        if release.phase in (Phase.PAUSED, Phase.BESIDE):
            release.pause()
            release.start()

    def start_beside(self, claims: KvClaims) -> None:
        """Releases all KV cache held for a request beside an attempt whose engine is unresponsive."""
        release = self._release_of(claims)
        if release.phase is Phase.PAUSED:
            release.start(beside=True)

    def stop_beside(self, claims: KvClaims) -> None:
        """Pauses a release beside an attempt, because that attempt is over."""
        release = self.running.get(claims.key)
        if release is not None and release.phase is Phase.BESIDE:
            release.pause()

    def pause(self, claims: KvClaims) -> None:
        """Pauses a release, because an attempt is about to arrive; unacknowledged claims stay due."""
        release = self.running.get(claims.key)
        if release is not None:
            release.pause()

    def unacknowledged(self, claims: KvClaims) -> KvRelease | None:
        """Returns the release that is being sent for KV cache held now, None once it is acknowledged."""
        release = self.running.get(claims.key)
        if release is None or release.phase is not Phase.SENDING or not claims.is_due:
            return None
        return release

    def forget_if_settled(self, claims: KvClaims) -> None:
        """Forgets a paused release whose claims are all settled."""
        release = self.running.get(claims.key)
        if release is not None and not claims.claims:
            self._forget(release)

    @property
    def has_claims(self) -> bool:
        """Whether KV cache may be held now or may still appear."""
        return any(release.claims.claims for release in self.running.values())

    @property
    def is_due(self) -> bool:
        """Whether KV cache may be held now without an acknowledged release."""
        return any(release.claims.is_due for release in self.running.values())

    def _release_of(self, claims: KvClaims) -> KvRelease:
        release = self.running.get(claims.key)
        if release is None:
            release = self.running[claims.key] = KvRelease(self._environment, claims)
        return release

    def _forget(self, release: KvRelease) -> None:
        release.pause()
        if self.running.get(release.claims.key) is release:
            del self.running[release.claims.key]
