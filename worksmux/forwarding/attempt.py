"""What carries one trip, whatever the protocol: its time, its end, and the pace of a stream.

A trip has at most one `began` and exactly one `ended`; a protocol says what its replies mean.
"""

from __future__ import annotations

from typing import Any, Protocol

from ..net import client, clock
from ..net.loop import Reactor, Timer
from ..net.time_out import TimeOut
from ..policy.state import Attempt, Outcome


class Listener(Protocol):
    """Who hears of a trip; each trip has at most one `began`, and exactly one `ended`, the last."""

    def began(self, attempt: Attempt) -> None: ...

    def text(self, attempt: Attempt, content: Any) -> None: ...

    def ended(
        self, attempt: Attempt, outcome: Outcome, note: int, report: dict[str, float] | None, result: Any
    ) -> None: ...


def outcome_of(trouble: client.CallError) -> Outcome:
    """How a call without a whole reply ended."""
    if isinstance(trouble, client.NotSentError):
        return Outcome.UNREACHABLE
    return Outcome.RESET if isinstance(trouble, client.ConnectionBrokenError) else Outcome.ERROR


class Carriage:
    """One trip.  `time_out` runs until the answer begins, then `silence` between its pieces
    (milliseconds)."""

    def __init__(
        self,
        reactor: Reactor,
        pool: client.Pool,
        attempt: Attempt,
        listener: Listener,
        time_out: float,
        silence: float,
        bound: int,
    ) -> None:
        self.reactor, self.pool, self.attempt, self.listener = reactor, pool, attempt, listener
        self.silence, self.bound = silence, bound
        self.status, self.headers = 0, {}  # type: int, dict[str, str]
        self.body = bytearray()
        self.over = False
        self.why = ""  # the reason of its end, for the log
        self.timer: Timer = TimeOut(reactor, max(0.0, time_out) / 1000, self._time_is_up)
        self.call: client.Call | None = None

    # What a protocol brings.

    def _refusal(self) -> tuple[Outcome, int]:
        """The outcome and note of a whole reply that is no answer."""
        raise NotImplementedError

    def _report(self) -> dict[str, float] | None:
        """The load report that came along."""
        raise NotImplementedError

    # Its end.

    def cancel(self) -> None:
        """Calls the trip off: the connection closes, by which the engine knows."""
        self.why = self.why or "called off"
        self._end(Outcome.CANCELLED if self._sent else Outcome.MOOT)

    def withdraw(self) -> None:
        """Ends a trip whose last byte has not left: it was never sent."""
        if not self._sent:
            self.why = self.why or "withdrawn before it was written"
            self._end(Outcome.MOOT)

    @property
    def _sent(self) -> bool:
        """Whether its last byte has left; what this side ends before that was never sent."""
        return bool(self.status) or self.call is not None and self.call.written

    def _time_is_up(self) -> None:
        self.why = "its time is up"
        self._end(Outcome.TIMED_OUT if self._sent else Outcome.MOOT)

    def _end(self, outcome: Outcome, note: int = 0, result: Any = None) -> None:
        if self.over:
            return
        self.over = True
        if self.timer.active():
            self.timer.cancel()
        if self.call is not None and outcome is not Outcome.DELIVERED:
            self.call.abandon()
        self.listener.ended(self.attempt, outcome, note, self._report(), result)

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status, self.headers = status, headers

    def piece(self, data: bytes) -> None:
        if len(self.body) + len(data) > self.bound:
            self._end(Outcome.ERROR)
        else:
            self.body += data

    def done(self) -> None:
        self.why = f"status {self.status}"
        self._end(*self._refusal())

    def failed(self, trouble: client.CallError) -> None:
        self.why = str(trouble)
        self._end(outcome_of(trouble))


class Streaming(Carriage):
    """A trip whose answer comes in pieces; the client's side asks for a pause while it cannot take more."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.streaming = False
        self.last = 0.0
        self.paused = False

    # What a protocol brings.

    def _stream(self, data: bytes) -> None:
        """Takes a piece of the stream."""
        raise NotImplementedError

    def _stream_over(self) -> None:
        """The reply has ended cleanly, the stream with it."""
        raise NotImplementedError

    def head(self, status: int, headers: dict[str, str]) -> None:
        super().head(status, headers)
        kind = headers.get("content-type", "").lower()
        self.streaming = status == 200 and kind.startswith("text/event-stream")

    def piece(self, data: bytes) -> None:
        if self.over:  # after its end: no harm to the trip
            return
        if self.streaming:
            self._stream(data)
        else:
            super().piece(data)

    def done(self) -> None:
        if self.over:
            return
        if self.streaming:
            self._stream_over()
        else:
            super().done()

    def _pass_on(self, content: Any) -> None:
        """A piece of the answer goes to the client; with the first one the answer has begun."""
        if not self.last:
            self.timer.cancel()
            self.timer = self.reactor.callLater(self.silence / 1000, self._listen)
            self.listener.began(self.attempt)
        self.last = clock.now()
        self.listener.text(self.attempt, content)

    def _listen(self) -> None:
        """Guards against a stream that stalls: one timer a silence, not one a token."""
        left = self.last + self.silence - clock.now()
        if left <= 0 or self.paused:
            self._time_is_up()
        else:
            self.timer = self.reactor.callLater(left / 1000, self._listen)

    def pauseProducing(self) -> None:
        self._flow("pauseProducing", True)

    def resumeProducing(self) -> None:
        self.last = clock.now()
        self._flow("resumeProducing", False)

    def stopProducing(self) -> None:
        """The client hung up: told by its own way."""

    def _flow(self, name: str, paused: bool) -> None:
        self.paused = paused
        if not self.over and self.call is not None and self.call.connection is not None:
            getattr(self.call.connection.transport, name)()
