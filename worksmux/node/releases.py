"""Lets go of what engines hold for a job, until it is known to have been heard.

One call releases all that is held for a job, at whichever engine it arrives, and also what a trip that is out
was about to leave.  So no call is made while a trip of the job is out, and one that waits is given up as the
connection of a trip comes up; and where the engine that holds the state does not answer at once, any other
will do: one more is asked at each step, for a connection that does not come up is known only after half of
the time there is.
"""
from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from .. import interface as i
from ..front.case import Case
from ..net import client
from ..net.loop import Reactor
from . import protocol

GROWTH = 8               # a step, and the first pause before a repeat, is this part of the time there is
WIDEST = 8               # engines asked beside those that hold


class Calls(Protocol):
    """Sends one small call; what it returns ends it without a word."""

    def __call__(self, engine: i.Engine, method: str, path: str, body: bytes, on_end: client.OnEnd, /
                 ) -> Callable[[], None]: ...


class Releasing:
    """The release of one job; `within` is the time there is for it, milliseconds."""

    def __init__(self, releases: Releases, key: str, engines: list[i.Engine]) -> None:
        self.releases, self.key = releases, key
        self.path = protocol.HOLDS + key
        self.engines = dict.fromkeys(engines)        # that have not yet heard
        self.over = False
        self.out: dict[i.Engine, Callable[[], None]] = {}
        self.timers: dict[i.Engine | None, Any] = {}         # of the repeats; None: of the next step
        self.wider = 0

    def start(self) -> None:
        for engine in list(self.engines):
            self._call(engine, 0)
        self._step()

    def _step(self) -> None:
        self.timers[None] = self.releases.reactor.callLater(self.releases.step / 1000, self._widen, True)

    def _widen(self, on_time: bool = False) -> None:
        """Asks one engine more."""
        other = self.releases.other(set(self.engines) | set(self.out))
        if other is None or self.wider == WIDEST or self.over:
            return
        self.wider += 1
        self.engines[other] = None
        self._call(other, 0)
        if on_time:
            self._step()

    def stop(self) -> None:
        self.over = True
        for end in self.out.values():
            end()
        for timer in self.timers.values():
            if timer.active():
                timer.cancel()
        self.releases.running.pop(self.key, None)

    def _call(self, engine: i.Engine, tries: int) -> None:
        if self.over:
            return

        def ended(status: int, headers: dict[str, str], reply: bytes, trouble: client.Trouble | None) -> None:
            self.out.pop(engine, None)
            if self.over:
                return
            if 200 <= status < 300 and trouble is None:
                self.stop()                          # whichever engine has heard, all is let go
            else:
                self._missed(engine, tries)
            if not self.engines and not self.out:
                self.stop()

        self.out[engine] = self.releases.call(engine, "DELETE", self.path, b"", ended)

    def _missed(self, engine: i.Engine, tries: int) -> None:
        if not tries:
            self._widen()
        if engine.state == "gone":
            self.engines.pop(engine, None)
            return
        within = self.releases.within
        pause = min(within, self.releases.step * 2 ** min(tries, GROWTH))
        self.timers[engine] = self.releases.reactor.callLater(pause / 1000, self._call, engine, tries + 1)


class Releases:
    def __init__(self, reactor: Reactor, call: Calls, other: Callable[[set[i.Engine]], i.Engine | None],
                 within: float) -> None:
        """`other` gives an engine outside a set that is likely to hear, or None."""
        self.reactor, self.call, self.other, self.within = reactor, call, other, within
        self.step = within / GROWTH
        self.running: dict[str, Releasing] = {}

    def start(self, case: Case) -> None:
        engines, case.held = list(case.held), {}
        running = self.running.get(case.key)
        if running is not None:
            engines = list(dict.fromkeys([*running.engines, *engines]))
            running.stop()
        if engines:
            one = self.running[case.key] = Releasing(self, case.key, engines)
            one.start()

    def stop(self, case: Case) -> None:
        """A trip is about to be sent: what was not yet heard stays to be released after it."""
        running = self.running.get(case.key)
        if running is not None:
            for engine in running.engines:
                case.held.setdefault(engine)
            running.stop()
