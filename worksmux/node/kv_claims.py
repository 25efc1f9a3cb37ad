"""What engines may hold for one request, attempt by attempt, and since when.  Free of I/O and clock.

Each attempt that may have left KV cache at its engine has a claim of its own; two attempts at one engine have
two.  The states of a claim, and what leads from one to the next:

    state      meaning                                    next
    HELD       the engine has read the prompt             gone, when a decode engine takes that state or any
                                                          engine hears a release
    POSSIBLE   this side ended the attempt, or its        CLEARED, when any engine hears a release
               connection broke: state may be there now,
               or appear later
    CLEARED    nothing is there now; state may still      gone, when a release is heard after the engine has
               appear                                     run for long enough to finish what it had

One release, heard by any running engine, lets go of all that is held for its request at that moment,
wherever it lies, but not of what an engine finishes later: one that is cut off or hangs knows nothing of the
attempt's end, and one that does may go on with a read that it has begun.  So a claim that nobody is sure of
ends only by a release that its very engine has answered, once that is known to have run for as long as the
work may take.

The time to let go runs from `since`.  It starts anew with the end of an attempt that is known to have
arrived; an attempt that may never have arrived leaves it running, unless a release was heard beside it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf

from ..policy.state import Engine

LONGEST_SILENCE = 30_000.0  # milliseconds: an engine that is silent for longer has lost what it had


class Presence(Enum):
    """What is known of the state that an attempt may have left."""

    HELD = "held"
    POSSIBLE = "possible"
    CLEARED = "cleared"


@dataclass(eq=False, slots=True)
class Claim:
    """What one attempt may have left at its engine; times are milliseconds."""

    engine: Engine
    presence: Presence
    since: float  # when the attempt ended
    work_left: float = 0.0  # how long the engine may go on with it, if it runs
    runs_since: float | None = None  # from when on the engine is known to run
    refused_since: float | None = None  # when its machine refused a connection, since one last came up

    def answered(self, begun: float, now: float) -> bool:
        """Its engine has answered a release that began at `begun`: whether nothing can appear any more."""
        if begun < self.since:
            return False
        self.refused_since = None
        if self.runs_since is None:
            self.runs_since = now
            return self.work_left <= 0
        return begun >= self.runs_since + self.work_left


@dataclass(eq=False, slots=True)
class HeldState:
    """All claims of one request; `key` is its id towards engines."""

    key: str
    claims: list[Claim] = field(default_factory=list)
    since: float | None = None  # from when the time to let go runs; None: nothing is held
    heard_at: float | None = None  # when a release was last heard, or an attempt has ended since
    heard_beside: float | None = (
        None  # a release was heard while an attempt was out that may not have arrived
    )

    def read(self, engine: Engine, now: float) -> None:
        """An engine has read the prompt, or its answer about that made no sense."""
        self._claim(Claim(engine, Presence.HELD, now))

    def ended_unseen(self, engine: Engine, now: float, work_left: float) -> None:
        """An attempt was ended by this side, or its connection broke; a running engine may go on with it for
        `work_left` milliseconds."""
        self._claim(Claim(engine, Presence.POSSIBLE, now, work_left))

    def _claim(self, claim: Claim) -> None:
        self.claims.append(claim)
        if self.since is None:
            self.since = claim.since

    def taken(self, engine: Engine) -> None:
        """A decode engine has taken the newest state that this one held."""
        for claim in reversed(self.claims):
            if claim.engine is engine and claim.presence is Presence.HELD:
                self.claims.remove(claim)
                break
        if not self.owed:
            self.since = None

    def outcome(self, now: float, arrived: bool) -> None:
        """An attempt is over.  `arrived`: it is known that its engine got it."""
        if arrived or self.heard_beside is not None:
            self.since = None if self.since is None else now
            self.heard_at = None if self.heard_at is None else now
        self.heard_beside = None

    def heard(self, engine: Engine, begun: float, now: float) -> None:
        """An engine has answered a release that began at `begun`; no attempt was out."""
        kept = []
        for claim in self.claims:
            settled = claim.engine is engine and claim.answered(begun, now)
            if claim.presence is not Presence.HELD and not settled:
                claim.presence = Presence.CLEARED
                kept.append(claim)
        self.claims, self.since, self.heard_at = kept, None, now

    def connected(self, engine: Engine) -> None:
        """A connection to an engine has come up: its process lives, also where it does not answer."""
        for claim in self.claims:
            if claim.engine is engine:
                claim.refused_since = None

    def refused(self, engine: Engine, begun: float, apart: float) -> None:
        """An engine's machine has refused a connection.  Where it has done nothing else for `apart`
        milliseconds or more, its process has died, and all that it held with it; once may be for want of
        room."""
        for claim in [one for one in self.claims if one.engine is engine and begun >= one.since]:
            if claim.refused_since is None:
                claim.refused_since = begun
            elif begun >= claim.refused_since + apart:
                self.claims.remove(claim)
        if not self.owed:
            self.since = None

    @property
    def possible_since(self) -> float | None:
        """From when on something may have been held that nobody has let go; None: nothing is."""
        times = [] if self.since is None else [self.since]
        if self.heard_at is not None and any(claim.presence is Presence.CLEARED for claim in self.claims):
            times.append(self.heard_at)
        return min(times, default=None)

    def work_left(self, now: float) -> float:
        """How long it takes at most until engines that run have finished; infinite where one is silent."""
        ends = [
            inf if claim.runs_since is None else claim.runs_since + claim.work_left for claim in self.claims
        ]
        return max(0.0, max(ends, default=now) - now)

    def expire(self, now: float) -> None:
        """Forgets claims at engines that have started anew, or have been silent for very long."""
        self.claims = [
            claim
            for claim in self.claims
            if claim.engine.started <= claim.since and now - claim.since < LONGEST_SILENCE
        ]
        if not self.owed:
            self.since = None

    @property
    def owed(self) -> bool:
        """Whether something may be held now."""
        return any(claim.presence is not Presence.CLEARED for claim in self.claims)
