"""One call beside the requests, such as a health check or a release, with its own time-out."""

from __future__ import annotations

from typing import Protocol

from ..net import client
from ..net.loop import Reactor, Timer
from ..net.time_out import TimeOut


class OutgoingCall(Protocol):
    """A control call in flight, as its sender sees it."""

    @property
    def connected(self) -> bool:
        """Whether its connection has come up."""

    def end(self) -> None:
        """Gives it up; `on_end` is not called any more."""


class UnreachableCall:
    """A call to an engine whose address is not known; it fails in the reactor's next iteration."""

    connected = False

    def __init__(self, reactor: Reactor, on_end: client.ResponseCallback) -> None:
        trouble = client.NotSentError("no address is known")
        self._timer: Timer = reactor.callLater(0, on_end, 0, {}, b"", trouble)

    def end(self) -> None:
        """Gives it up; `on_end` is not called any more."""
        if self._timer.active():
            self._timer.cancel()


class ControlCall:
    """A call whose connection has `timeout_ms` to come up, and as long again to be answered.

    `on_end` is called once, with status 0 and no trouble where the time ran out; never after `end`.

    Failure: the reactor is late, and a single time-out over both would end a call that was written late
    before its answer could have come. The time starts anew with the connection, so each part has all of it.
    """

    def __init__(
        self,
        reactor: Reactor,
        pool: client.Pool,
        method: str,
        path: str,
        headers: client.Headers,
        body: bytes,
        max_reply_bytes: int,
        timeout_ms: float,
        on_end: client.ResponseCallback,
    ) -> None:
        self._reactor, self._timeout_ms, self._on_end = reactor, timeout_ms, on_end
        self._timer = self._start_timer()
        self._call = pool.call(
            method, path, client.BufferedResponse(max_reply_bytes, self._ended), headers, body
        )
        self._call.on_up = self._on_connected
        self.connected = self._call.up

    def end(self) -> None:
        """Gives it up; `on_end` is not called any more."""
        self._stop_timer()
        self._call.abandon()

    def _on_connected(self) -> None:
        self.connected = True
        self._stop_timer()
        self._timer = self._start_timer()

    def _timed_out(self) -> None:
        self.end()
        self._on_end(0, {}, b"", None)

    def _ended(
        self, status: int, headers: dict[str, str], reply: bytes, trouble: client.CallError | None
    ) -> None:
        self._stop_timer()
        self._on_end(status, headers, reply, trouble)

    def _start_timer(self) -> TimeOut:
        return TimeOut(self._reactor, self._timeout_ms / 1000, self._timed_out)

    def _stop_timer(self) -> None:
        if self._timer.active():
            self._timer.cancel()
