"""Sends releases for what engines hold (`held.HeldState`) until they are known to have been heard.

One call releases all that is held for a request, at whichever engine it arrives, and also what an attempt
that is out was about to leave.  So no call is made while an attempt that has arrived is out, and calls that
wait are given up as an attempt's connection comes up; the release goes on, with its first clock, once that is
over.

The engines that may hold are asked first.  Where none answers at once any other will do: one more is asked at
each step, two later, for a connection that does not come up is known only after half of the time there is.
Once a release was heard, state can only follow at an engine that has not seen its attempt end: that one is
asked until it answers, and beside it another one, so often that what follows is let go in time.
"""
from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import structlog

from .. import interface as i
from ..net import client, clock
from ..net.loop import Reactor
from . import protocol
from .held import HeldState

LOG = structlog.get_logger()
STEPS = 8                # a step, and the first pause before a repeat, is this part of the time there is
SINGLE_STEPS = 4         # steps that ask one engine more; later ones ask two
MOST_AT_ONCE = 8         # calls of one release that are out
SETTLING_ROUNDS = 2      # within the time there is, while state may still follow
GIVE_UP = 20             # times the time there is: by then the engines' own time-outs have ended it


class Calls(Protocol):
    """Sends one small call; what it returns ends it without a word."""

    def __call__(self, engine: i.Engine, method: str, path: str, body: bytes, on_end: client.OnEnd, /
                 ) -> Callable[[], None]: ...


class Release:
    """The release of one request."""

    def __init__(self, releases: Releases, held: HeldState) -> None:
        self.releases, self.held = releases, held
        self.path = protocol.HOLDS + held.key
        self.active = False                          # it rests while an attempt is out
        self.rounds = 0
        self.since: float | None = None              # the clock that the rounds go by
        self.asked: dict[i.Engine, int] = {}         # how often, in this pass over all engines
        self.all_asked = False                       # the first pass is over
        self.not_before: dict[i.Engine, float] = {}  # when an engine may be asked again
        self.out: dict[i.Engine, Callable[[], None]] = {}
        self.timer: Any = None

    def start(self) -> None:
        """Begins, or goes on after a rest."""
        self.held.due(clock.now())
        if self.since != self.held.owed_since:       # a new debt, with time of its own
            self.since, self.rounds, self.all_asked = self.held.owed_since, 0, False
            self.asked.clear()
        self.not_before.clear()
        self.active = True
        self._round()

    def rest(self) -> None:
        """An attempt arrives: nothing may be let go from under it."""
        self.active = False
        for end in self.out.values():
            end()
        self.out.clear()
        self._cancel_round()

    def _round_in(self, ms: float) -> None:
        self._cancel_round()
        self.timer = self.releases.reactor.callLater(ms / 1000, self._round)

    def _cancel_round(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _round(self) -> None:
        now, too_old = clock.now(), clock.now() - GIVE_UP * self.releases.within
        self.held.expire(too_old)
        if (self.held.owed_since or now) < too_old:
            LOG.warning("a release was never heard", request=self.held.key,
                        engines=[engine.id.decode() for engine in self.held.holders])
            self.held.holders.clear()
        if not self.held.holders:
            return self.releases.forget(self)
        for engine in self.held.holders:
            if engine not in self.out and self.not_before.get(engine, 0.0) <= now:
                self._call(engine)
        for _ in range(self._others()):
            self._ask_another(again=True)
        self.rounds += 1
        self._round_in(self._pause())

    def _others(self) -> int:
        """How many engines are asked in this round beside those that may hold."""
        if not self.held.owed:
            return 1
        return 0 if not self.rounds else 1 if self.rounds <= SINGLE_STEPS else 2

    def _pause(self) -> float:
        """Until the next round."""
        within = self.releases.within
        if not self.held.owed:
            return within / SETTLING_ROUNDS
        return min(within, self.releases.step * 2.0 ** max(0, self.rounds - STEPS))

    def _ask_another(self, again: bool = False) -> None:
        """Asks one engine beside those that may hold; with `again` also one that was asked before, once all
        others were."""
        if len(self.out) >= MOST_AT_ONCE:
            return
        busy = {*self.held.holders, *self.out}
        other = self.releases.other({*busy, *self.asked})
        if other is None and again:
            self.all_asked = True
            self.asked = {engine: tries for engine, tries in self.asked.items() if engine in busy}
            other = self.releases.other({*busy, *self.asked})
        if other is not None:
            self._call(other)

    def _call(self, engine: i.Engine) -> None:
        begun = clock.now()
        tries = self.asked[engine] = self.asked.get(engine, 0) + 1
        pause = min(self.releases.within, self.releases.step * 2.0 ** min(tries, STEPS))
        self.not_before[engine] = begun + pause

        def ended(status: int, headers: dict[str, str], reply: bytes, trouble: client.Trouble | None) -> None:
            self.out.pop(engine, None)
            if not self.active:
                return
            if 200 <= status < 300 and trouble is None:
                self._heard(engine, begun)
            elif tries == 1 and self.held.owed and not self.all_asked:
                self._ask_another()                  # at once, for it may have been refused

        self.out[engine] = self.releases.call(engine, "DELETE", self.path, b"", ended)

    def _heard(self, engine: i.Engine, begun: float) -> None:
        was_owed, since = self.held.owed, self.held.owed_since
        self.held.heard(engine, begun)
        if not self.held.holders:
            return self.releases.forget(self)
        if was_owed:
            if since is not None and clock.now() - since > self.releases.within:
                LOG.warning("a release was heard late", request=self.held.key, ms=round(clock.now() - since))
            for other in [one for one in self.out if one not in self.held.holders]:
                self.out.pop(other)()
            self.rounds = 0
            self._round_in(self._pause())


class Releases:
    """All releases of a node; `running` has those that are not over, by the request's id."""

    def __init__(self, reactor: Reactor, call: Calls, other: Callable[[set[i.Engine]], i.Engine | None],
                 within: float) -> None:
        """`other` gives an engine outside a set that is likely to hear, or None; `within` is the time there
        is for a release, milliseconds."""
        self.reactor, self.call, self.other, self.within = reactor, call, other, within
        self.step = within / STEPS
        self.running: dict[str, Release] = {}

    def held(self, key: str) -> HeldState:
        """What is held for a request; it may be owed still for an earlier one with the same id."""
        release = self.running.get(key)
        return HeldState(key) if release is None else release.held

    def start(self, held: HeldState) -> None:
        """What is held is to be let go."""
        release = self.running.get(held.key)
        if release is None:
            release = self.running[held.key] = Release(self, held)
        if not release.active:                       # else it has all of it: nothing is added without a rest
            release.start()

    @property
    def owed(self) -> bool:
        """Whether anything that may be held now has not been heard of."""
        return any(release.held.owed for release in self.running.values())

    def rest(self, held: HeldState) -> None:
        """An attempt arrives: what was not yet heard stays owed."""
        release = self.running.get(held.key)
        if release is not None:
            release.rest()

    def forget(self, release: Release) -> None:
        release.rest()
        if self.running.get(release.held.key) is release:
            del self.running[release.held.key]
