"""The loop that runs a policy.

A decision round passes all events since the last round to the policy, in order, and executes the actions that
the policy returns, in order.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable

import structlog

from ..net import clock
from ..net.loop import Reactor
from ..policy.actions import Action
from ..policy.events import Event
from ..policy.id_map import IdMap
from .counters import Counters

LOG = structlog.get_logger()
SLOW_ROUND_MS = 50.0  # longer decision rounds are logged


class DecisionLoop:
    """Collects events and runs decision rounds; a subclass executes the actions and stores the requests."""

    def __init__(self, id_map: IdMap, reactor: Reactor, metrics: Counters) -> None:
        self.id_map, self.reactor, self.metrics = id_map, reactor, metrics
        self.failed = False  # the policy raised an exception and is not called again
        self.on_event: Callable[[float, Event], None] | None = None  # before each round
        self.before_round: Callable[[float], None] | None = None  # called with the time; may add events
        self._events: list[Event] = []
        self._scheduled = False

    def tell(self, event: Event) -> None:
        """Queues an event for the next decision round."""
        self._events.append(event)
        self.wake()

    def wake(self) -> None:
        """Schedules a decision round, even without events."""
        if not self._scheduled:
            self._scheduled = True
            self.reactor.callLater(0, self._run_round)

    def _run_round(self) -> None:
        if self.before_round:
            self.before_round(clock.now())
        self._scheduled = False
        events, self._events = self._events, []
        if not self.failed:
            self._decide(events)
        self._after_round()  # also after the policy failed: attempts in flight still end

    def _decide(self, events: list[Event]) -> None:
        start, cpu_start_s = clock.now(), time.thread_time()
        if self.on_event:
            for event in events:
                self.on_event(start, event)
        try:
            actions = self.id_map.decide(start, events)
            decided = clock.now()
            self.metrics.decision_round(decided - start, len(events))
            for action in actions:
                self._execute(action)
            if clock.now() - start > SLOW_ROUND_MS:
                self._log_slow_round(start, decided, cpu_start_s, events, actions)
        except Exception:
            LOG.exception("policy failed; requests without an answer are aborted", policy=self._module_name())
            self.failed = True
            self._abort_all()

    def _log_slow_round(
        self, start: float, decided: float, cpu_start_s: float, events: list[Event], actions: list[Action]
    ) -> None:
        """Logs a decision round longer than `SLOW_ROUND_MS`.

        `start` and `decided` are clock times in ms; `cpu_start_s` is this thread's CPU time at the start.
        """
        LOG.warning(
            "slow decision round",
            duration_ms=round(clock.now() - start),
            decide_ms=round(decided - start),
            cpu_ms=round(1000 * (time.thread_time() - cpu_start_s)),
            endpoints=len(self.id_map.engines),
            events=Counter(type(event).__name__ for event in events),
            actions=Counter(type(action).__name__ for action in actions),
        )

    def _module_name(self) -> str:
        """Returns the policy's name in the log."""
        raise NotImplementedError

    def _execute(self, action: Action) -> None:
        raise NotImplementedError

    def _abort_all(self) -> None:
        """Aborts the open requests that need the policy, after it has failed."""
        raise NotImplementedError

    def _after_round(self) -> None:
        """Runs at the end of each round; does nothing by default."""
