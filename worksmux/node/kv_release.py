"""Sends releases for what engines may hold (`held.HeldState`) until they are known to have been heard.

A release that any running engine hears lets go of all that is held for a request.  So it is sought by rounds:
first the engines that may hold are asked, then at each step one more, for a connection that does not come up
is known only after half of the time there is; the less of that time is left, the more are asked at once.

Once a release was heard, state can still appear at an engine that works on its attempt yet (CLEARED claims):
another release is sought when it has finished by rights, and each time that the time to let go has passed,
until that is ruled out.

No release is sent while an attempt is out, which would lose what it brings.  The exception is one whose
engine is silent (`in_doubt`): to the engines it may not be out, and the time runs.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import structlog

from ..forwarding.control_call import OutgoingCall
from ..net import client, clock
from ..net.loop import Reactor, Timer
from ..policy.state import Engine
from . import protocol
from .kv_claims import HeldState

LOG = structlog.get_logger()
STEPS = 8  # a step, and the first pause before a repeat, is this part of the time there is
SINGLE_STEPS = 4  # steps that ask one engine more; later ones ask two
MOST_AT_ONCE = 8  # calls of one release that are out, beside those to engines that may hold
MOST_TO_ONE = 3  # calls to one engine that are out while their connections do not come up
MOST_IN_A_ROUND = 4  # other engines asked in one round, when hardly any time is left
STRETCH = 1.25  # times the time: the next release is put off to when an engine has finished, so far at most
LATE, VERY_LATE = 0.6, 0.75  # parts of the time: after them more engines are asked at once
HOPELESS = 1.75  # times the time: by then nobody is likely to hear, and fewer are asked again
OWED_STEPS = 2  # between two calls to an engine that may hold, while something is owed
DEAD = 4.0  # times the time: an engine whose machine refuses every connection for that long has died
LONGEST_PAUSE = 8.0  # times the time there is, between two calls to an engine that does not answer


class Calls(Protocol):
    """Sends one small call."""

    def __call__(
        self, engine: Engine, method: str, path: str, body: bytes, on_end: client.ResponseCallback, /
    ) -> OutgoingCall: ...


@dataclass(eq=False, slots=True)
class _Asked:
    """One engine that is being asked."""

    engine: Engine
    call: OutgoingCall


class Phase(Enum):
    """What a release is doing."""

    RESTING = "an attempt is out"
    SEEKING = "engines are asked until one has heard"
    WATCHING = "one has heard; state may still appear, so that others are sought later"
    BESIDE = "as SEEKING, beside an attempt whose engine is silent"


class Release:
    """The release of one request."""

    def __init__(self, releases: Releases, held: HeldState) -> None:
        self.releases, self.held = releases, held
        self.path = protocol.HOLDS + held.key
        self.phase = Phase.RESTING
        self.on_heard: Callable[[], None] | None = None  # called once, with the next answer or end
        self._rounds = 0
        self._since: float | None = None  # the clock by which the engines were asked so far
        self._asked: dict[Engine, None] = {}  # in this pass over all engines
        self._all_asked = False  # the first pass is over
        self._tries: dict[Engine, int] = {}  # calls that were not answered, since the last answer
        self._not_before: dict[Engine, float] = {}  # when an engine may be asked again
        self._out: list[_Asked] = []
        self._timer: Timer | None = None

    @property
    def seeking(self) -> bool:
        return self.phase in (Phase.SEEKING, Phase.BESIDE)

    def start(self, beside: bool = False) -> None:
        """Begins, or goes on after a rest."""
        if self._since is None or self._since != self.held.since:
            self._begin_pass()  # else those that were silent are not asked first again
        self._since = self.held.since
        self._not_before.clear()
        self.phase = Phase.BESIDE if beside else Phase.SEEKING
        self._round()

    def _begin_pass(self) -> None:
        self._asked.clear()
        self._all_asked, self._rounds = False, 0

    def rest(self) -> None:
        """An attempt arrives, or the release is over: nothing is sent."""
        self.phase = Phase.RESTING
        self._end_calls(set())
        self._no_round()
        self._tell_heard()

    def _round(self) -> None:
        now = clock.now()
        self.held.expire(now)
        if not self.held.claims:
            return self.releases.forget(self)
        if self.phase is Phase.WATCHING:
            self._begin_pass()
        if self.phase is not Phase.BESIDE:
            self.phase = Phase.SEEKING
        self._ask_claimed(now)
        for _ in range(self._others(now)):
            self._ask_another(again=True)
        if not self._out:  # nobody else is left to ask
            self._not_before.clear()
            self._ask_claimed(now)
        self._rounds += 1
        self._round_in(
            min(self.releases.within, self.releases.step * 2.0 ** max(0, self._rounds - 2 * STEPS))
        )

    def _end_calls(self, kept: set[Engine]) -> None:
        """Gives up the calls that are out, but for those to the engines that are kept."""
        ended = [asked for asked in self._out if asked.engine not in kept]
        self._out = [asked for asked in self._out if asked.engine in kept]
        for asked in ended:
            asked.call.end()

    def _may_ask(self, engine: Engine, now: float) -> bool:
        """Whether it is time to ask an engine, first or again.

        Guards against a connection that never comes up, known as such only after most of the time there is:
        meanwhile another one is opened.
        """
        out = [asked.call for asked in self._out if asked.engine is engine]
        if any(call.connected for call in out) or len(out) >= MOST_TO_ONE:
            return False
        return self._not_before.get(engine, 0.0) <= now

    def _ask_claimed(self, now: float) -> None:
        """Asks the engines that may hold, if it is time for each."""
        for engine in {claim.engine: None for claim in self.held.claims}:
            if self._may_ask(engine, now):
                self._call(engine)

    def _others(self, now: float) -> int:
        """How many engines are asked in this round beside those that may hold: the more, the less time is
        left."""
        since = self.held.possible_since
        used = 0.0 if since is None else (now - since) / self.releases.within
        if self._rounds and VERY_LATE <= used < HOPELESS:
            return MOST_IN_A_ROUND
        if self._rounds > SINGLE_STEPS or self._rounds and used >= LATE:
            return 2
        if self._rounds or not self._out:
            return 1
        if self.held.since is None:
            return 0 if any(claim.runs_since is not None for claim in self.held.claims) else 1
        return (used >= LATE) + (used >= VERY_LATE)

    def _ask_another(self, again: bool) -> None:
        """Asks one engine beside those that may hold; with `again` also one that was asked before, once all
        others were."""
        claimed = {claim.engine for claim in self.held.claims}
        out = {asked.engine for asked in self._out}
        if sum(asked.engine not in claimed for asked in self._out) >= MOST_AT_ONCE:
            return
        other = self.releases.other({*claimed, *out, *self._asked})
        if other is None and again:
            self._all_asked = True
            self._asked.clear()
            now = clock.now()
            other = self.releases.other(
                claimed | {engine for engine in out if not self._may_ask(engine, now)}
            )
        if other is not None:
            self._call(other)

    def _call(self, engine: Engine) -> None:
        begun = clock.now()
        first = engine not in self._asked
        self._asked[engine] = None
        tries = self._tries[engine] = self._tries.get(engine, 0) + 1
        longest = OWED_STEPS * self.releases.step if self.held.owed else LONGEST_PAUSE * self.releases.within
        pause = min(longest, self.releases.step * 2.0**tries)
        self._not_before[engine] = begun + pause

        def ended(
            status: int, headers: dict[str, str], reply: bytes, trouble: client.CallError | None
        ) -> None:
            if asked not in self._out:
                return
            self._out.remove(asked)
            if asked.call.connected:
                self.held.connected(engine)
            if 200 <= status < 300 and trouble is None:
                self._tries.pop(engine, None)
                self._heard(engine, begun)
                return
            if isinstance(trouble, client.ConnectRefusedError):
                self.held.refused(engine, begun, DEAD * self.releases.within)
                if not self.held.claims:
                    return self.releases.forget(self)
            if first and self.seeking and not self._all_asked:
                self._ask_another(again=False)  # at once, for it may have been refused

        asked = _Asked(engine, self.releases.call(engine, "DELETE", self.path, b"", ended))
        self._out.append(asked)

    def _heard(self, engine: Engine, begun: float) -> None:
        now = clock.now()
        if self.phase is Phase.BESIDE:
            self.held.heard_beside = begun
            return self.rest()
        since = self.held.since
        self.held.heard(engine, begun, now)
        if since is not None and now - since > self.releases.within:
            LOG.warning("a release was heard late", request=self.held.key, ms=round(now - since))
        if not self.held.claims:
            return self.releases.forget(self)
        if self.phase is Phase.SEEKING:
            self.phase = Phase.WATCHING
            self._end_calls({claim.engine for claim in self.held.claims})
            self._round_in(self._next_pass(now))
        self._tell_heard()

    def _next_pass(self, now: float) -> float:
        """Milliseconds until the next release is sought: when the engines have finished by rights, if that is
        soon."""
        within, left = self.releases.within, self.held.work_left(now)
        return left + 1.0 if 0 < left <= STRETCH * within else within

    def _tell_heard(self) -> None:
        on_heard, self.on_heard = self.on_heard, None
        if on_heard is not None:
            on_heard()

    def _round_in(self, ms: float) -> None:
        self._no_round()
        self._timer = self.releases.reactor.callLater(max(0.0, ms) / 1000, self._round)

    def _no_round(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


class Releases:
    """All releases of a node; `running` has those that are not over, by the request's id."""

    def __init__(
        self,
        reactor: Reactor,
        call: Calls,
        other: Callable[[set[Engine]], Engine | None],
        within: float,
    ) -> None:
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
        release = self._of(held)
        if release.phase in (Phase.RESTING, Phase.BESIDE):
            release.rest()
            release.start()

    def start_beside(self, held: HeldState) -> None:
        """To the engines the attempt that is out may not be: what is held is let go beside it."""
        release = self._of(held)
        if release.phase is Phase.RESTING:
            release.start(beside=True)

    def stop_beside(self, held: HeldState) -> None:
        """The attempt that was in doubt is over."""
        release = self.running.get(held.key)
        if release is not None and release.phase is Phase.BESIDE:
            release.rest()

    def _of(self, held: HeldState) -> Release:
        release = self.running.get(held.key)
        if release is None:
            release = self.running[held.key] = Release(self, held)
        return release

    def seeking(self, held: HeldState) -> Release | None:
        """The release that is on its way for what may be held now, and that nobody has heard yet."""
        release = self.running.get(held.key)
        return release if release is not None and release.phase is Phase.SEEKING and held.owed else None

    @property
    def open(self) -> bool:
        """Whether anything may be held now, or still appear."""
        return any(release.held.claims for release in self.running.values())

    @property
    def owed(self) -> bool:
        """Whether anything that may be held now has not been heard of."""
        return any(release.held.owed for release in self.running.values())

    def rest(self, held: HeldState) -> None:
        """An attempt arrives: what was not yet heard stays owed."""
        release = self.running.get(held.key)
        if release is not None:
            release.rest()

    def drop_if_over(self, held: HeldState) -> None:
        """Forgets a release that rests and has nothing left to let go."""
        release = self.running.get(held.key)
        if release is not None and not held.claims:
            self.forget(release)

    def forget(self, release: Release) -> None:
        release.rest()
        if self.running.get(release.held.key) is release:
            del self.running[release.held.key]
