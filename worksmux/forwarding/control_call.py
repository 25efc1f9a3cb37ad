"""Calls to engines that carry no client request, such as health checks and releases."""

from __future__ import annotations

from typing import Protocol

from ..net import client
from ..net.loop import Reactor, Timer
from ..net.time_out import TimeOut


class OutgoingCall(Protocol):
    """The sender's handle of a control call in flight."""

    @property
    def connected(self) -> bool:
        """Whether the connection of the call is established."""

    def end(self) -> None:
        """Abandons the call; `on_end` is not called afterwards."""


class UnreachableCall:
    """A call to an engine without a known address, which fails in the reactor's next iteration."""

    connected = False

    def __init__(self, reactor: Reactor, on_end: client.ResponseCallback) -> None:
        error = client.NotSentError("the engine has no known address")
        self._timer: Timer = reactor.callLater(0, on_end, 0, {}, b"", error)

    def end(self) -> None:
        """Abandons the call; `on_end` is not called afterwards."""
        if self._timer.active():
            self._timer.cancel()


class ControlCall:
    """A call with `timeout_ms` to connect and, once connected, another `timeout_ms` to be answered.

    `on_end` is called once, with status 0 and no error after a timeout, and never after `end`.

    Failure: the reactor is late, and a single timeout over connecting and answering ends a call that was
    written late before its answer can arrive. The timer restarts when the connection is established, so each
    part has the full `timeout_ms`.
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
        self._call.on_connected = self._on_connected
        self.connected = self._call.is_connected

    def end(self) -> None:
        """Abandons the call; `on_end` is not called afterwards."""
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
        self, status: int, headers: dict[str, str], reply: bytes, error: client.CallError | None
    ) -> None:
        self._stop_timer()
        self._on_end(status, headers, reply, error)

    def _start_timer(self) -> TimeOut:
        return TimeOut(self._reactor, self._timeout_ms / 1000, self._timed_out)

    def _stop_timer(self) -> None:
        if self._timer.active():
            self._timer.cancel()
