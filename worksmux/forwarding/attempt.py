"""The call that carries one attempt, whatever the protocol: its time-out, its end, and the flow of a stream.

A protocol derives from `AttemptCall` and says what the engine's replies mean.
"""

from __future__ import annotations

from typing import Any, Protocol

from ..net import client, clock
from ..net.loop import Reactor, Timer
from ..net.time_out import TimeOut
from ..policy.state import Attempt, Outcome


class AttemptListener(Protocol):
    """Is called with what an attempt meets: at most one first token, and exactly one end, last."""

    def on_first_token(self, attempt: Attempt) -> None:
        """The answer begins."""

    def on_content(self, attempt: Attempt, content: Any) -> None:
        """A piece of the answer, in the protocol's form."""

    def on_attempt_end(
        self, attempt: Attempt, outcome: Outcome, note: int, report: dict[str, float] | None, result: Any
    ) -> None:
        """The end.

        `note` and `result` depend on the protocol and outcome (such as cached tokens and a handle of KV
        cache); `report` is the engine's load.
        """


def outcome_of(trouble: client.CallError) -> Outcome:
    """The outcome of a call that brought no whole reply."""
    if isinstance(trouble, client.NotSentError):
        return Outcome.UNREACHABLE
    return Outcome.RESET if isinstance(trouble, client.ConnectionBrokenError) else Outcome.ERROR


class AttemptCall:
    """One attempt; it receives the engine's reply from `net.client`."""

    def __init__(
        self,
        reactor: Reactor,
        pool: client.Pool,
        attempt: Attempt,
        listener: AttemptListener,
        timeout_ms: float,
        max_stream_gap_ms: float,
        max_body_bytes: int,
    ) -> None:
        """`timeout_ms` runs until the answer begins, then `max_stream_gap_ms` between two pieces of it."""
        self.reactor, self.pool, self.attempt, self.listener = reactor, pool, attempt, listener
        self.max_stream_gap_ms, self.max_body_bytes = max_stream_gap_ms, max_body_bytes
        self.status = 0  # of the reply; 0: none yet
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.over = False
        self.end_reason = ""  # for the log
        self.timer: Timer = TimeOut(reactor, max(0.0, timeout_ms) / 1000, self._time_is_up)
        self.call: client.Call | None = None

    def _rejection(self) -> tuple[Outcome, int]:
        """Outcome and note of a whole reply that is no answer."""
        raise NotImplementedError

    def _load_report(self) -> dict[str, float] | None:
        """The engine's load report in the reply, if any."""
        raise NotImplementedError

    def cancel(self) -> None:
        """Ends the attempt; the engine sees its connection close."""
        self.end_reason = self.end_reason or "cancelled"
        self._end(self._outcome_if_sent(Outcome.CANCELLED))

    def withdraw(self) -> None:
        """Ends the attempt only if it was not sent, that is while its last byte has not left."""
        if not self._sent:
            self.end_reason = self.end_reason or "withdrawn before it was sent"
            self._end(Outcome.NOT_SENT)

    @property
    def _sent(self) -> bool:
        """Whether the last byte of the request has left; the engine cannot execute it before."""
        return bool(self.status) or self.call is not None and self.call.written

    def _outcome_if_sent(self, outcome: Outcome) -> Outcome:
        return outcome if self._sent else Outcome.NOT_SENT

    def _time_is_up(self) -> None:
        self.end_reason = "timed out"
        self._end(self._outcome_if_sent(Outcome.TIMED_OUT))

    def _end(self, outcome: Outcome, note: int = 0, result: Any = None) -> None:
        if self.over:
            return
        self.over = True
        if self.timer.active():
            self.timer.cancel()
        if self.call is not None and outcome is not Outcome.SERVED:
            self.call.abandon()
        self.listener.on_attempt_end(self.attempt, outcome, note, self._load_report(), result)

    # Called by `net.client` with the reply.

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Takes the head of the reply."""
        self.status, self.headers = status, headers

    def piece(self, data: bytes) -> None:
        """Takes a piece of the reply's body."""
        if len(self.body) + len(data) > self.max_body_bytes:
            self._end(Outcome.ERROR)
        else:
            self.body += data

    def done(self) -> None:
        """The reply is whole."""
        self.end_reason = f"status {self.status}"
        self._end(*self._rejection())

    def failed(self, trouble: client.CallError) -> None:
        """The call ended without a whole reply."""
        self.end_reason = str(trouble)
        self._end(outcome_of(trouble))


class StreamingAttempt(AttemptCall):
    """An attempt whose answer is a stream; as a push producer it pauses while the client cannot take more."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.streaming = False
        self.last_piece_at = 0.0  # milliseconds of the clock; 0: none yet
        self.paused = False

    def _on_stream_data(self, data: bytes) -> None:
        """Takes a piece of the stream."""
        raise NotImplementedError

    def _on_stream_end(self) -> None:
        """The reply has ended cleanly, the stream with it."""
        raise NotImplementedError

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Takes the head of the reply, which says whether a stream follows."""
        super().head(status, headers)
        content_type = headers.get("content-type", "").lower()
        self.streaming = status == 200 and content_type.startswith("text/event-stream")

    def piece(self, data: bytes) -> None:
        """Takes a piece of the stream or of another reply."""
        if self.over:
            return
        if self.streaming:
            self._on_stream_data(data)
        else:
            super().piece(data)

    def done(self) -> None:
        """The reply is whole."""
        if self.over:
            return
        if self.streaming:
            self._on_stream_end()
        else:
            super().done()

    def _relay(self, content: Any) -> None:
        """Passes a piece of the answer on to the client; with the first one the answer has begun."""
        if not self.last_piece_at:
            self.timer.cancel()
            self._check_gap_in(self.max_stream_gap_ms)
            self.listener.on_first_token(self.attempt)
        self.last_piece_at = clock.now()
        self.listener.on_content(self.attempt, content)

    def _check_gap_in(self, delay_ms: float) -> None:
        self.timer = self.reactor.callLater(delay_ms / 1000, self._check_gap)

    def _check_gap(self) -> None:
        """Ends a stream that stalls; one timer for each gap, as one for each token would cost too much."""
        left_ms = self.last_piece_at + self.max_stream_gap_ms - clock.now()
        if left_ms <= 0 or self.paused:
            self._time_is_up()
        else:
            self._check_gap_in(left_ms)

    # Twisted's push producer: called by the client's transport.

    def pauseProducing(self) -> None:
        """The client's buffer is full."""
        self.paused = True
        transport = self._transport()
        if transport is not None:
            transport.pauseProducing()

    def resumeProducing(self) -> None:
        """The client takes more."""
        self.last_piece_at = clock.now()
        self.paused = False
        transport = self._transport()
        if transport is not None:
            transport.resumeProducing()

    def stopProducing(self) -> None:
        """The client disconnected; the lifecycle learns it from the exchange and cancels the attempt."""

    def _transport(self) -> Any:
        """The engine's transport, None where there is none any more."""
        if self.over or self.call is None or self.call.connection is None:
            return None
        return self.call.connection.transport
