"""The turn of one decision module: what happened since the last one goes to it in order, and its actions are
carried out in order."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

import structlog

from ..net import clock
from ..net.loop import Reactor
from ..policy.actions import Action
from ..policy.events import Event
from ..policy.id_map import IdMap
from .counters import Counts

LOG = structlog.get_logger()
SLOW_TURN = 50.0  # milliseconds: a longer one is logged, with what it was about


class Turns:
    """What chat's core and the lanes share; who derives from it carries out actions and ends jobs."""

    def __init__(self, door: IdMap, reactor: Reactor, metrics: Counts) -> None:
        self.door, self.reactor, self.metrics = door, reactor, metrics
        self.failed = False  # the module has: nothing more is asked of it
        self.on_event: Any = None  # called with the time and each event told to the module
        self.before_turn: Any = None  # called with the time, before events are taken
        self._events: list[Event] = []
        self._due = False

    def tell(self, event: Event) -> None:
        self._events.append(event)
        self._soon()

    def _soon(self) -> None:
        if not self._due:
            self._due = True
            self.reactor.callLater(0, self._turn)

    def wake(self) -> None:
        """A turn is due, though nothing has happened that the module is told of yet."""
        self._soon()

    def _turn(self) -> None:
        if self.before_turn:
            self.before_turn(clock.now())
        self._due = False
        events, self._events = self._events, []
        if self.failed:
            return self._turned()  # what is still out ends, and is tidied up
        start, used = clock.now(), time.thread_time()
        if self.on_event:
            for event in events:
                self.on_event(start, event)
        try:
            actions = self.door.decide(start, events)
            self.metrics.turn(clock.now() - start, len(events))
            decided = clock.now()
            for action in actions:
                self._carry_out(action)
            if clock.now() - start > SLOW_TURN:
                self._log_slow_turn(start, decided, used, events, actions)
        except Exception:
            LOG.exception("a module has failed; its open jobs are broken off", module=self._called())
            self.failed = True
            self._break_off()
        self._turned()

    def _log_slow_turn(
        self, start: float, decided: float, used: float, events: list[Event], actions: list[Action]
    ) -> None:
        """`start` and `decided` are times of the clock, `used` is the processor time of this thread at the
        start, in seconds."""
        LOG.warning(
            "a turn took long",
            ms=round(clock.now() - start),
            deciding_ms=round(decided - start),
            processor_ms=round(1000 * (time.thread_time() - used)),
            engines=len(self.door.engines),
            events=Counter(type(event).__name__ for event in events),
            actions=Counter(type(action).__name__ for action in actions),
        )

    def _called(self) -> str:
        """The module's name in the log."""
        raise NotImplementedError

    def _carry_out(self, action: Action) -> None:
        raise NotImplementedError

    def _break_off(self) -> None:
        """Ends every open job: the module has failed."""
        raise NotImplementedError

    def _turned(self) -> None:
        """After a turn: nothing, if not told otherwise."""
