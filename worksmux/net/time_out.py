"""A timeout that does not fire before a late reactor has read what has come meanwhile."""

from __future__ import annotations

from collections.abc import Callable

from .loop import Reactor


class TimeOut:
    """Calls `call` after `seconds` and `iterations` more reactor iterations; has a `Timer`'s methods.

    Failure: a reactor that is late runs its timers before it reads, so a connection that has come up
    meanwhile is taken for missing.  Where each iteration takes longer than the connect timeout, none would
    ever come up.  One more iteration reads the sockets first.
    """

    def __init__(
        self, reactor: Reactor, seconds: float, call: Callable[[], None], iterations: int = 1
    ) -> None:
        self._reactor, self._call, self._iterations_left = reactor, call, iterations
        self._timer = reactor.callLater(seconds, self._elapsed)

    def active(self) -> bool:
        return self._timer.active()

    def cancel(self) -> None:
        self._timer.cancel()

    def _elapsed(self) -> None:
        if self._iterations_left:
            self._iterations_left -= 1
            self._timer = self._reactor.callLater(0, self._elapsed)
        else:
            self._call()
