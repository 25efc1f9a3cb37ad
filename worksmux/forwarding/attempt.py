"""Protocol-independent base classes of attempts: timeout, outcome, and flow control of a stream.

A protocol derives from `AttemptCall` and interprets the engine's replies.
"""

from __future__ import annotations

from typing import Any, Protocol

from ..net import client, clock
from ..net.loop import Reactor, Timer
from ..net.time_out import TimeOut
from ..policy.state import Attempt, Outcome

MAX_EVENT_MS = 30_000.0  # in which an event that the engine is writing has to be complete
MAX_DATA_GAP_MS = 500.0  # between two pieces of such an event
MAX_CLIENT_STALL_MS = 30_000.0  # in which a client takes nothing of its stream; then the stream is ended


class AttemptListener(Protocol):
    """Receives the events of an attempt: at most one first token, and exactly one end as the last event."""

    def on_first_token(self, attempt: Attempt) -> None:
        """Handles the start of the answer."""

    def on_content(self, attempt: Attempt, content: Any) -> None:
        """Handles a piece of the answer, in the protocol's form."""

    def on_attempt_end(
        self, attempt: Attempt, outcome: Outcome, note: int, report: dict[str, float] | None, result: Any
    ) -> None:
        """Handles the end of the attempt.

        `note` and `result` depend on the protocol and the outcome, for example the number of cached tokens
        and a KV cache handle. `report` is the engine's load report.
        """


def outcome_of(error: client.CallError) -> Outcome:
    """Returns the outcome of a call that ended without a complete reply."""
    if isinstance(error, client.NotSentError):
        return Outcome.UNREACHABLE
    return Outcome.RESET if isinstance(error, client.ConnectionBrokenError) else Outcome.ERROR


class AttemptCall:
    """One attempt in flight; `net.client` calls it with the engine's reply."""

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
        """Starts the timeout.

        `timeout_ms` limits the time until the answer begins, `max_stream_gap_ms` the time between two pieces
        of the answer.
        """
        self.reactor, self.pool, self.attempt, self.listener = reactor, pool, attempt, listener
        self.max_stream_gap_ms, self.max_body_bytes = max_stream_gap_ms, max_body_bytes
        self.status = 0  # HTTP status of the reply; 0: none received yet
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.over = False
        self.end_reason = ""  # for the log
        self.timer: Timer = TimeOut(reactor, max(0.0, timeout_ms) / 1000, self._on_timeout)
        self.call: client.Call | None = None

    def _rejection(self) -> tuple[Outcome, int]:
        """Returns outcome and note of a complete reply that is not an answer."""
        raise NotImplementedError

    def _load_report(self) -> dict[str, float] | None:
        """Returns the engine's load report from the reply, None without one."""
        raise NotImplementedError

    def cancel(self, reason: str = "cancelled") -> None:
        """Cancels the attempt by closing its connection, which the engine observes; logs `reason`."""
        self.end_reason = self.end_reason or reason
        self._end(self._outcome_if_sent(Outcome.CANCELLED))

    def withdraw(self) -> None:
        """Ends the attempt only if the last byte of its request has not been sent."""
        if not self._sent:
            self.end_reason = self.end_reason or "withdrawn before it was sent"
            self._end(Outcome.NOT_SENT)

    @property
    def _sent(self) -> bool:
        """Whether the last byte of the request was sent; before that the engine cannot execute it."""
        return bool(self.status) or self.call is not None and self.call.written

    def _outcome_if_sent(self, outcome: Outcome) -> Outcome:
        return outcome if self._sent else Outcome.NOT_SENT

    def _on_timeout(self, reason: str = "timed out") -> None:
        self.end_reason = reason
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

    @property
    def buffered_bytes(self) -> int:
        """How many bytes of the reply are kept until it is complete."""
        return len(self.body)

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        """Receives status and headers of the reply."""
        self.status, self.headers = status, headers

    def body_received(self, data: bytes) -> None:
        """Buffers a piece of the body; a body over `max_body_bytes` ends the attempt with an error."""
        if len(self.body) + len(data) > self.max_body_bytes:
            self._end(Outcome.ERROR)
        else:
            self.body += data

    def done(self) -> None:
        """Handles the end of a complete reply."""
        self.end_reason = f"status {self.status}"
        self._end(*self._rejection())

    def failed(self, error: client.CallError) -> None:
        """Ends the attempt after its call failed before the reply was complete."""
        self.end_reason = str(error)
        self._end(outcome_of(error))


class StreamingAttempt(AttemptCall):
    """An attempt whose answer is a stream; a push producer that pauses while the client's buffer is full."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.streaming = False
        self.last_piece_at = 0.0  # clock time in ms; 0: no piece received yet
        self.last_event_data_at = 0.0  # clock time in ms of data of an event that was not complete
        self.paused = False
        self.paused_at = 0.0  # clock time in ms of the latest pause

    def _on_stream_data(self, data: bytes) -> None:
        """Processes a piece of the stream."""
        raise NotImplementedError

    def _is_event_arriving(self) -> bool:
        """Returns whether a part of an event has arrived."""
        raise NotImplementedError

    def _buffered_event_bytes(self) -> int:
        """Returns the size of what has arrived of an event that is not complete."""
        raise NotImplementedError

    def _on_stream_end(self) -> None:
        """Handles the end of a reply whose transfer encoding was complete."""
        raise NotImplementedError

    @property
    def buffered_bytes(self) -> int:
        """How many bytes of the reply, or of the event that is not complete, are kept."""
        return self._buffered_event_bytes() if self.streaming else len(self.body)

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        """Receives status and headers, which tell whether a stream follows."""
        super().head_received(status, headers)
        content_type = headers.get("content-type", "").lower()
        self.streaming = status == 200 and content_type.startswith("text/event-stream")

    def body_received(self, data: bytes) -> None:
        """Receives a piece of the stream, or of the body of a reply that is not a stream."""
        if self.over:
            return
        if self.streaming:
            self._on_stream_data(data)
            if not self.over and self._is_event_arriving():
                self.last_event_data_at = clock.now()
        else:
            super().body_received(data)

    def done(self) -> None:
        """Handles the end of a complete reply or stream."""
        if self.over:
            return
        if self.streaming:
            self._on_stream_end()
        else:
            super().done()

    def _relay(self, content: Any) -> None:
        """Passes a piece of the answer to the listener; the first piece starts the answer."""
        if not self.last_piece_at:
            self.timer.cancel()
            self._check_gap_in(self.max_stream_gap_ms)
            self.listener.on_first_token(self.attempt)
        self.last_piece_at = clock.now()
        self.listener.on_content(self.attempt, content)

    def _check_gap_in(self, delay_ms: float) -> None:
        self.timer = TimeOut(self.reactor, delay_ms / 1000, self._check_gap)

    def _check_gap(self) -> None:
        """Ends a stream that stalls.

        One timer runs per `max_stream_gap_ms`: restarting a timer for each token would cost too much. A late
        reactor reads what has arrived before the check.
        """
        now = clock.now()
        if self.paused:
            stalled_ms, max_ms, reason = now - self.paused_at, MAX_CLIENT_STALL_MS, "the client read nothing"
        else:
            stalled_ms, max_ms, reason = now - self.last_piece_at, self.max_stream_gap_ms, "no event"
        if stalled_ms < max_ms:
            self._check_gap_in(min(max_ms - stalled_ms, self.max_stream_gap_ms))
        elif not self.paused and self._is_writing_event(now):
            self._check_gap_in(MAX_DATA_GAP_MS)
        else:
            self._on_timeout(f"{reason} for {round(stalled_ms)} ms")

    def _is_writing_event(self, now: float) -> bool:
        """Whether the engine is still writing an event.

        Failure: an engine writes a long event slowly, and its stream is cut although data keeps arriving.
        """
        has_recent_data = now - self.last_event_data_at < MAX_DATA_GAP_MS
        return has_recent_data and self._is_event_arriving() and now - self.last_piece_at < MAX_EVENT_MS

    # Interface of Twisted's push producer, called by the client's transport.

    def pauseProducing(self) -> None:
        """Pauses reading from the engine because the client's buffer is full."""
        if not self.paused:
            self.paused, self.paused_at = True, clock.now()
        transport = self._transport()
        if transport is not None:
            transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Resumes reading from the engine because the client's buffer has space."""
        self.last_piece_at = clock.now()
        self.paused = False
        transport = self._transport()
        if transport is not None:
            transport.resumeProducing()

    def stopProducing(self) -> None:
        """Does nothing: the exchange reports the disconnect to the lifecycle, which cancels the attempt."""

    def _transport(self) -> Any:
        """Returns the transport of the engine's connection, None if the connection is closed."""
        if self.over or self.call is None or self.call.connection is None:
            return None
        return self.call.connection.transport
