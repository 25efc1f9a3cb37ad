"""One call beside the requests, such as a probe or a release, with its own time-out."""

from __future__ import annotations

from typing import Protocol

from ..net import client
from ..net.loop import Reactor, Timer
from ..net.time_out import TimeOut


class OutgoingCall(Protocol):
    """A call that is out, as its sender sees it."""

    @property
    def connected(self) -> bool:
        """Whether its connection has come up."""

    def end(self) -> None:
        """Gives it up without a word."""


class NeverSent:
    """A call to an engine whose address is not known; its sender hears of it in the reactor's next turn."""

    connected = False

    def __init__(self, reactor: Reactor, on_end: client.ResponseCallback) -> None:
        trouble = client.NotSentError("no address is known")
        self._timer: Timer = reactor.callLater(0, on_end, 0, {}, b"", trouble)

    def end(self) -> None:
        if self._timer.active():
            self._timer.cancel()


class SmallCall:
    """A call whose connection has `time_out` milliseconds to come up, and as long again to be answered.

    `on_end` is called once, with status 0 and no trouble where time was called; never after `end`.

    Guards against a reactor that is late: a call that could not be written in time is not given up before
    its answer could have come.
    """

    def __init__(
        self,
        reactor: Reactor,
        pool: client.Pool,
        method: str,
        path: str,
        headers: client.Headers,
        body: bytes,
        bound: int,
        time_out: float,
        on_end: client.ResponseCallback,
    ) -> None:
        """`bound`: bytes of the answer's body."""
        self._reactor, self._time_out, self._on_end = reactor, time_out, on_end
        self._timer = TimeOut(reactor, time_out / 1000, self._time_is_up)
        self._call = pool.call(method, path, client.BufferedResponse(bound, self._ended), headers, body)
        self._call.on_up = self._came_up
        self.connected = self._call.up

    def end(self) -> None:
        """Gives it up without a word."""
        self._stop_timer()
        self._call.abandon()

    def _came_up(self) -> None:
        self.connected = True
        self._stop_timer()
        self._timer = TimeOut(self._reactor, self._time_out / 1000, self._time_is_up)

    def _time_is_up(self) -> None:
        self.end()
        self._on_end(0, {}, b"", None)

    def _ended(
        self, status: int, headers: dict[str, str], reply: bytes, trouble: client.CallError | None
    ) -> None:
        self._stop_timer()
        self._on_end(status, headers, reply, trouble)

    def _stop_timer(self) -> None:
        if self._timer.active():
            self._timer.cancel()
