"""KV cache that engines may hold for one request, tracked per attempt, without I/O or clock.

Each attempt that may have left KV cache at its engine has its own claim; two attempts at one engine have two.
The states of a claim and its transitions:

- HELD: the engine has finished prefill. Removed when a decode engine takes that KV cache or any engine
  acknowledges a release.
- POSSIBLE: this process ended the attempt, or its connection broke; KV cache may exist now or appear later.
  Becomes RELEASED when any engine acknowledges a release.
- RELEASED: no KV cache exists now, but it may still appear. Removed when the claim's engine acknowledges a
  release after it has run for long enough to finish its work.

A release acknowledged by any running engine frees all KV cache held for the request at that moment, at every
engine. It does not free KV cache that an engine finishes later: an engine that is cut off or hangs has not
seen the end of the attempt, and one that has seen it may continue a prefill that has begun. So a POSSIBLE
claim is removed only by a release that its own engine acknowledges, after that engine is known to have run
for as long as the work may take.

The time limit of a release counts from `due_since`. The end of an attempt that is known to have arrived
restarts it. The end of an attempt that may not have arrived does not, unless a release was acknowledged
beside that attempt.

All times are clock times in ms.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf

from ..policy.state import Engine

MAX_SILENCE_MS = 30_000.0  # an engine that is silent for longer no longer holds KV cache


class ClaimState(Enum):
    """What is known about the KV cache that an attempt may have left."""

    HELD = "held"
    POSSIBLE = "possible"
    RELEASED = "released"


@dataclass(eq=False, slots=True)
class KvClaim:
    """The KV cache that one attempt may have left at its engine."""

    engine: Engine
    state: ClaimState
    since: float  # when the attempt ended
    work_left_ms: float = 0.0  # how long the engine, if it runs, may continue the attempt
    responsive_since: float | None = None  # since when the engine is known to run
    refusing_since: float | None = None  # first of the uninterrupted connection refusals

    def is_settled_by(self, sent_at: float, now: float) -> bool:
        """Records that the claim's engine acknowledged a release sent at `sent_at`.

        Returns whether KV cache of this attempt can no longer appear.
        """
        if sent_at < self.since:
            return False
        self.refusing_since = None
        if self.responsive_since is None:
            self.responsive_since = now
            return self.work_left_ms <= 0
        return sent_at >= self.responsive_since + self.work_left_ms


@dataclass(eq=False, slots=True)
class KvClaims:
    """All claims of one request; `key` is the request id in calls to engines."""

    key: str
    claims: list[KvClaim] = field(default_factory=list)
    due_since: float | None = None  # start of the time limit; None: no KV cache may be held now
    acknowledged_at: float | None = None  # last acknowledged release, or a later attempt end
    # When a release was acknowledged while an attempt was in flight that may not have arrived.
    acknowledged_beside: float | None = None

    def add_held(self, engine: Engine, now: float) -> None:
        """Adds a HELD claim: the engine finished prefill, or sent an invalid reply."""
        self._add(KvClaim(engine, ClaimState.HELD, now))

    def add_possible(self, engine: Engine, now: float, work_left_ms: float) -> None:
        """Adds a POSSIBLE claim: this process ended an attempt, or its connection broke.

        An engine that runs may continue the attempt for `work_left_ms`.
        """
        self._add(KvClaim(engine, ClaimState.POSSIBLE, now, work_left_ms))

    def _add(self, claim: KvClaim) -> None:
        self.claims.append(claim)
        if self.due_since is None:
            self.due_since = claim.since

    def remove_taken(self, engine: Engine) -> None:
        """Removes the newest HELD claim at `engine`: a decode engine took that KV cache."""
        for claim in reversed(self.claims):
            if claim.engine is engine and claim.state is ClaimState.HELD:
                self.claims.remove(claim)
                break
        self._stop_if_not_due()

    def attempt_ended(self, now: float, arrived: bool) -> None:
        """Applies the end of an attempt to the time limit.

        `arrived` tells whether the engine is known to have received the attempt.
        """
        if arrived or self.acknowledged_beside is not None:
            self.due_since = None if self.due_since is None else now
            self.acknowledged_at = None if self.acknowledged_at is None else now
        self.acknowledged_beside = None

    def release_acknowledged(self, engine: Engine, sent_at: float, now: float) -> None:
        """Applies a release sent at `sent_at` and acknowledged by `engine`, with no attempt in flight."""
        remaining = []
        for claim in self.claims:
            settled = claim.engine is engine and claim.is_settled_by(sent_at, now)
            if claim.state is not ClaimState.HELD and not settled:
                claim.state = ClaimState.RELEASED
                remaining.append(claim)
        self.claims, self.due_since, self.acknowledged_at = remaining, None, now

    def connection_opened(self, engine: Engine) -> None:
        """Records an established connection: the engine's process lives, even if it does not answer."""
        for claim in self.claims:
            if claim.engine is engine:
                claim.refusing_since = None

    def connection_refused(self, engine: Engine, sent_at: float, min_refusing_ms: float) -> None:
        """Records that a connection opened at `sent_at` was refused.

        After `min_refusing_ms` of refusals only, the engine's process has died and its KV cache is gone. A
        single refusal proves nothing: an engine also refuses while its accept queue is full.
        """
        for claim in [item for item in self.claims if item.engine is engine and sent_at >= item.since]:
            if claim.refusing_since is None:
                claim.refusing_since = sent_at
            elif sent_at >= claim.refusing_since + min_refusing_ms:
                self.claims.remove(claim)
        self._stop_if_not_due()

    def remove_expired(self, now: float) -> None:
        """Removes claims at engines that have restarted, and claims older than `MAX_SILENCE_MS`."""
        self.claims = [
            claim
            for claim in self.claims
            if claim.engine.started <= claim.since and now - claim.since < MAX_SILENCE_MS
        ]
        self._stop_if_not_due()

    def _stop_if_not_due(self) -> None:
        if not self.is_due:
            self.due_since = None

    @property
    def is_due(self) -> bool:
        """Whether KV cache may be held now."""
        return any(claim.state is not ClaimState.RELEASED for claim in self.claims)

    @property
    def possible_since(self) -> float | None:
        """The time since which KV cache may be held without a release; None if none may be."""
        times = [] if self.due_since is None else [self.due_since]
        if self.acknowledged_at is not None and any(
            claim.state is ClaimState.RELEASED for claim in self.claims
        ):
            times.append(self.acknowledged_at)
        return min(times, default=None)

    def work_left_ms(self, now: float) -> float:
        """Returns the longest time until all engines have finished; infinite while one is unresponsive."""
        ends = [
            inf if claim.responsive_since is None else claim.responsive_since + claim.work_left_ms
            for claim in self.claims
        ]
        return max(0.0, max(ends, default=now) - now)
