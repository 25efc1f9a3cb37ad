"""KV cache that engines may hold for one request, attempt by attempt. Free of I/O and clock.

Each attempt that may have left KV cache at its engine has a claim of its own; two attempts at one engine have
two. The states of a claim and its transitions:

    state      meaning                                    next HELD       the engine has finished prefill
    removed, when a decode engine takes that KV cache or any
                                                          engine acknowledges a release
    POSSIBLE   this side ended the attempt, or its        RELEASED, when any engine acknowledges a release
               connection broke: KV cache may be there
               now, or appear later
    RELEASED   nothing is there now; KV cache may still   removed, when its engine acknowledges a release
    after
               appear                                     it has run for long enough to finish its work

A release acknowledged by any running engine frees all KV cache that is held for its request at that moment,
wherever it lies. It does not free what an engine finishes later: an engine that is cut off or hangs has not
seen the attempt's end, and one that has seen it may go on with a prefill that has begun. So a POSSIBLE claim
is removed only by a release that its own engine acknowledges, once that engine is known to have run for as
long as the work may take.

The time limit for a release counts from `due_since`. It restarts when an attempt ends that is known to have
arrived; an attempt that may not have arrived leaves it as it is, unless a release was acknowledged beside it.

Times are milliseconds of one clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf

from ..policy.state import Engine

MAX_SILENCE_MS = 30_000.0  # an engine that is silent for longer has lost what it held


class ClaimState(Enum):
    """What is known of the KV cache that an attempt may have left."""

    HELD = "held"
    POSSIBLE = "possible"
    RELEASED = "released"


@dataclass(eq=False, slots=True)
class KvClaim:
    """What one attempt may have left at its engine."""

    engine: Engine
    state: ClaimState
    since: float  # the end of the attempt
    work_left_ms: float = 0.0  # how long the engine may go on with the attempt, if it runs
    responsive_since: float | None = None  # from when on the engine is known to run
    refusing_since: float | None = None  # of connections, with none opened in between

    def is_settled_by(self, sent_at: float, now: float) -> bool:
        """Notes that its engine has acknowledged a release sent at `sent_at`.

        Returns whether KV cache can no longer appear.
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
    """All claims of one request; `key` is its id towards engines."""

    key: str
    claims: list[KvClaim] = field(default_factory=list)
    due_since: float | None = None  # the start of the time limit; None: nothing is held
    acknowledged_at: float | None = None  # the last acknowledged release, or a later end of an attempt
    # A release was acknowledged while an attempt was in flight that may not have arrived.
    acknowledged_beside: float | None = None

    def add_held(self, engine: Engine, now: float) -> None:
        """An engine has finished prefill, or its reply made no sense."""
        self._add(KvClaim(engine, ClaimState.HELD, now))

    def add_possible(self, engine: Engine, now: float, work_left_ms: float) -> None:
        """This side ended an attempt, or its connection broke.

        An engine that runs may go on with the attempt for `work_left_ms`.
        """
        self._add(KvClaim(engine, ClaimState.POSSIBLE, now, work_left_ms))

    def _add(self, claim: KvClaim) -> None:
        self.claims.append(claim)
        if self.due_since is None:
            self.due_since = claim.since

    def remove_taken(self, engine: Engine) -> None:
        """A decode engine has taken the newest KV cache that `engine` held."""
        for claim in reversed(self.claims):
            if claim.engine is engine and claim.state is ClaimState.HELD:
                self.claims.remove(claim)
                break
        self._stop_if_not_due()

    def attempt_ended(self, now: float, arrived: bool) -> None:
        """An attempt is over; `arrived`: its engine is known to have received it."""
        if arrived or self.acknowledged_beside is not None:
            self.due_since = None if self.due_since is None else now
            self.acknowledged_at = None if self.acknowledged_at is None else now
        self.acknowledged_beside = None

    def release_acknowledged(self, engine: Engine, sent_at: float, now: float) -> None:
        """An engine has acknowledged a release sent at `sent_at`; no attempt was in flight."""
        remaining = []
        for claim in self.claims:
            settled = claim.engine is engine and claim.is_settled_by(sent_at, now)
            if claim.state is not ClaimState.HELD and not settled:
                claim.state = ClaimState.RELEASED
                remaining.append(claim)
        self.claims, self.due_since, self.acknowledged_at = remaining, None, now

    def connection_opened(self, engine: Engine) -> None:
        """A connection to an engine has come up: its process lives, also where it does not answer."""
        for claim in self.claims:
            if claim.engine is engine:
                claim.refusing_since = None

    def connection_refused(self, engine: Engine, sent_at: float, min_refusing_ms: float) -> None:
        """An engine's machine has refused a connection that was opened at `sent_at`.

        After `min_refusing_ms` of nothing but refusals its process has died, and its KV cache with it. A
        single refusal proves nothing: an engine refuses also while its queue of connections is full.
        """
        for claim in [one for one in self.claims if one.engine is engine and sent_at >= one.since]:
            if claim.refusing_since is None:
                claim.refusing_since = sent_at
            elif sent_at >= claim.refusing_since + min_refusing_ms:
                self.claims.remove(claim)
        self._stop_if_not_due()

    def remove_expired(self, now: float) -> None:
        """Removes the claims at engines that have restarted, or have been silent for `MAX_SILENCE_MS`."""
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
        """Since when KV cache may be held without a release; None: none is."""
        times = [] if self.due_since is None else [self.due_since]
        if self.acknowledged_at is not None and any(
            claim.state is ClaimState.RELEASED for claim in self.claims
        ):
            times.append(self.acknowledged_at)
        return min(times, default=None)

    def work_left_ms(self, now: float) -> float:
        """How long it takes at most until engines that run have finished; infinite where one is silent."""
        ends = [
            inf if claim.responsive_since is None else claim.responsive_since + claim.work_left_ms
            for claim in self.claims
        ]
        return max(0.0, max(ends, default=now) - now)
