"""Attempts whose engine gives no sign of life, while KV cache may be held for their request.

An attempt that was written into a cut, or to an engine that hangs, has not arrived; one at a machine that has
vanished is over, though its connection stays open.  To the engines none is out then, and the time to let go
runs.  So each attempt beside claims is looked at until it is over, and once its engine has been silent for
most of that time, a release is sought beside it:

    attempt             a release beside it             sought
    has no connection   loses what it is sent for       while something is owed for sure
    a stream            does it no harm                 while its engine is silent
    waiting for state   spares that state, if it has    while its engine is silent
                        arrived
    a prefill           loses what it brings            while nothing shows that it has arrived; a probe is
                                                        tried first; where none is allowed, once, or while
                                                        something is owed for sure
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..net import clock
from ..net.loop import Reactor
from ..policy.state import Engine
from .kv_claims import HeldState
from .kv_release import Releases

QUIET = 0.6  # of the time to let go: an engine that is silent for so long is in doubt
PROBE_STEPS = 2  # steps of a release that a probe has to be answered in


class AttemptCall(Protocol):
    """An attempt that is out, as far as it is looked at here; times are milliseconds."""

    @property
    def over(self) -> bool: ...

    @property
    def engine(self) -> Engine: ...

    @property
    def reading(self) -> bool: ...

    @property
    def written_at(self) -> float:
        """When its connection was up and it was written; 0 before."""

    @property
    def last_sign(self) -> float:
        """When its engine was last known to run."""


class DoubtWatch:
    """Looks at attempts that are out; `probe` asks an engine for a sign of life, None where that is not
    allowed."""

    def __init__(self, reactor: Reactor, releases: Releases, probe: Callable[[Engine], None] | None) -> None:
        self.reactor, self.releases, self.probe = reactor, releases, probe

    def watch(self, held: HeldState, attempt_call: AttemptCall, let_go: Callable[[], None]) -> None:
        """Looks at an attempt from now on until it is over; `let_go` releases what is held for its request,
        where no other attempt has a connection."""
        _Watched(self, held, attempt_call, let_go).look_when_due()


class _Watched:
    """One attempt that is looked at."""

    def __init__(
        self, watch: DoubtWatch, held: HeldState, attempt_call: AttemptCall, let_go: Callable[[], None]
    ) -> None:
        self._watch, self._held, self._attempt, self._let_go = watch, held, attempt_call, let_go
        self._probed = False  # a prefill, which has still to show a sign of life
        self._harmed = False  # a prefill, by a release sought beside it without a probe
        self._next_release = 0.0  # not before it, while there is no connection

    def look_when_due(self) -> None:
        due = self._quiet_since() + QUIET * self._watch.releases.within
        self._look_in(due - clock.now())

    def _look_in(self, ms: float) -> None:
        self._watch.reactor.callLater(max(self._watch.releases.step, ms) / 1000, self._look)

    def _quiet_since(self) -> float:
        attempt_call, held = self._attempt, self._held
        if self._arrived:
            return attempt_call.last_sign
        begun = attempt_call.written_at or clock.now()
        return begun if held.since is None else min(begun, held.since)

    @property
    def _arrived(self) -> bool:
        attempt_call = self._attempt
        return bool(attempt_call.written_at) and attempt_call.last_sign >= attempt_call.written_at

    def _look(self) -> None:
        attempt_call, within = self._attempt, self._watch.releases.within
        if attempt_call.over or attempt_call.reading and self._arrived:
            return
        if not self._held.claims or clock.now() < self._quiet_since() + QUIET * within:
            self.look_when_due()
        elif not attempt_call.written_at:
            self._release_without_connection()
        elif attempt_call.reading:
            self._doubt_prefill()
        else:
            self._release_beside()

    def _release_without_connection(self) -> None:
        if clock.now() >= self._next_release:
            self._next_release = clock.now() + self._watch.releases.within
            self._let_go()
        self._look_in(0.0)  # its connection may come up at any moment

    def _doubt_prefill(self) -> None:
        probe = self._watch.probe
        if probe is None:
            self._doubt_prefill_without_probe()
        elif self._probed:
            self._probed = False
            self._release_beside()
        else:
            self._probed = True
            probe(self._attempt.engine)
            self._look_in(PROBE_STEPS * self._watch.releases.step)

    def _doubt_prefill_without_probe(self) -> None:
        if self._harmed and not self._held.owed:
            self._look_in(self._watch.releases.within)
        else:
            self._harmed = True
            self._release_beside()

    def _release_beside(self) -> None:
        self._watch.releases.start_beside(self._held)
        self._look_in(self._watch.releases.within)
