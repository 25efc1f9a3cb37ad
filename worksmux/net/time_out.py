"""A timeout that does not fire before a late reactor has read the data that arrived in the meantime."""

from __future__ import annotations

from collections.abc import Callable

from .loop import Reactor


class TimeOut:
    """A `Timer` that calls `call` after `seconds` and then `iterations` more reactor iterations.

    Failure: a late reactor runs its timers before it reads, so a connection that was established in the
    meantime is taken for failed.  If each iteration takes longer than the connect timeout, no connection is
    ever established.  One more iteration reads the sockets first.
    """

    def __init__(
        self, reactor: Reactor, seconds: float, call: Callable[[], None], iterations: int = 1
    ) -> None:
        self._reactor, self._call, self._iterations_left = reactor, call, iterations
        self._timer = reactor.callLater(seconds, self._elapsed)

    def active(self) -> bool:
        """Whether the call is still to be made."""
        return self._timer.active()

    def cancel(self) -> None:
        """Prevents the call."""
        self._timer.cancel()

    def _elapsed(self) -> None:
        if self._iterations_left:
            self._iterations_left -= 1
            self._timer = self._reactor.callLater(0, self._elapsed)
        else:
            self._call()
