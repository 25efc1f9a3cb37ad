"""Which engines may hold KV cache for one request, since when, and what ends that.  Free of I/O and clock.

One release, heard by any running engine, lets go of all that is held for its request at that moment,
wherever it lies.  It does not undo what an engine does later: an engine that has not seen an attempt end, as
its zone is cut off or it hangs, may finish a read after the release, or drop a write whose state then still
waits.

States of one engine's claim, and what ends them:

    HELD        The engine has read the prompt.  Ends when a decode engine takes the state, or when any engine
                hears a release.
    UNSEEN_END  This side ended an attempt there, and the engine may hold state now or later.  Ends when this
                very engine hears a release; becomes MAY_FOLLOW when another one does.
    MAY_FOLLOW  Nothing is held now; state may still appear.  Ends when this engine hears a release, or when
                any one does after the attempt's own time is over.

The time to let go runs from `owed_since`.  It rests while an attempt that has arrived is out, and starts anew
with that attempt's end; attempts that never arrived leave it running.
"""
from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..interface import Engine


class Claim(Enum):
    """How sure it is that an engine holds something."""
    HELD = "held"
    UNSEEN_END = "unseen end"
    MAY_FOLLOW = "may follow"


@dataclass(slots=True)
class Holder:
    """One engine's claim; `until` (milliseconds) is when the attempt that led to it is over by itself."""
    claim: Claim
    until: float = 0.0


@dataclass(eq=False, slots=True)
class HeldState:
    """All claims of one request; `key` is its id towards engines."""
    key: str
    holders: dict[Engine, Holder] = field(default_factory=dict)
    owed_since: float | None = None          # when the release first fell due; None: it is not due

    def held_at(self, engine: Engine) -> None:
        """A prefill engine has read the prompt, or its answer about that was lost or made no sense."""
        self.holders[engine] = Holder(Claim.HELD)

    def ended_unseen(self, engine: Engine, until: float) -> None:
        """An attempt was ended by this side, or its connection broke."""
        self.holders[engine] = Holder(Claim.UNSEEN_END, until)

    def taken(self, engine: Engine) -> None:
        """A decode engine has taken the state that this one held."""
        self.holders.pop(engine, None)

    def attempt_ended(self) -> None:
        """An attempt that had arrived is over: the time to let go starts anew."""
        self.owed_since = None

    def due(self, now: float) -> None:
        """No attempt is out and nothing is to be kept for a next one."""
        if self.owed_since is None:
            self.owed_since = now

    def heard(self, engine: Engine, called_at: float) -> None:
        """An engine has answered a release that was begun at `called_at`."""
        for one, holder in list(self.holders.items()):
            if one is engine or holder.claim is Claim.HELD or called_at >= holder.until:
                del self.holders[one]
            else:
                holder.claim = Claim.MAY_FOLLOW
        if not self.owed:
            self.owed_since = None

    def expire(self, before: float) -> None:
        """Forgets where state could only have followed until `before`."""
        self.holders = {engine: holder for engine, holder in self.holders.items()
                        if holder.claim is not Claim.MAY_FOLLOW or holder.until >= before}

    @property
    def owed(self) -> bool:
        """Whether something may be held now."""
        return any(holder.claim is not Claim.MAY_FOLLOW for holder in self.holders.values())
