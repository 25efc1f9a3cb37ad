"""A time-out that a late reactor does not call too soon."""

from __future__ import annotations

from collections.abc import Callable

from .loop import Reactor


class TimeOut:
    """Calls `call` when a time is over, after `turns` more turns of the reactor; a timer by its methods.

    Guards against a reactor that is late: it runs timers before it reads, so what has come up meanwhile would
    be taken for missing.  Where each turn takes longer than a connection may, none would come up at all.
    """

    def __init__(self, reactor: Reactor, seconds: float, call: Callable[[], None], turns: int = 1) -> None:
        self._reactor, self._call, self._turns = reactor, call, turns
        self._timer = reactor.callLater(seconds, self._look)

    def active(self) -> bool:
        return self._timer.active()

    def cancel(self) -> None:
        self._timer.cancel()

    def _look(self) -> None:
        if self._turns:
            self._turns -= 1
            self._timer = self._reactor.callLater(0, self._look)
        else:
            self._call()
