"""HTTP calls that carry prefill and decode attempts to engines, and the outcome of each.

`docs/outcomes.md` lists the outcomes.  Each outcome has exactly one cause.  A malformed response gives the
outcome `ERROR`.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ..api import engine as calls
from ..api.chat import CHUNK_DECODER, PREFILL_REPLY_DECODER, Usage
from ..api.errors import code_of
from ..api.events import EventParser, EventTooLongError
from ..forwarding.attempt import AttemptCall, StreamingAttempt
from ..net import client
from ..policy.state import Outcome

OK = 200
TOO_MANY_REQUESTS = 429
STREAM_END = b"[DONE]"
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


def rejection_outcome(status: int, body: bytes) -> tuple[Outcome, int]:
    """The outcome of a complete response that carries no answer, and a note.

    Status 429 means that the engine is full; any other status is an error.  The note is 1 if the engine has
    lost the request's KV cache.
    """
    if status != TOO_MANY_REQUESTS:
        return Outcome.ERROR, 0
    return Outcome.FULL, int(code_of(body) == calls.STATE_LOST)


class EngineCall(AttemptCall):
    """One attempt, sent to the engine as one HTTP request."""

    def send(self, headers: client.Headers, body: bytes) -> None:
        """Sends the HTTP request of the attempt."""
        self.call = self.pool.call("POST", calls.CHAT, self, headers, body)

    def _rejection(self) -> tuple[Outcome, int]:
        return rejection_outcome(self.status, bytes(self.body))

    def _load_report(self) -> dict[str, float] | None:
        return calls.load_report(self.headers.get(calls.LOAD))


class PrefillCall(EngineCall):
    """A prefill attempt, whose response carries the KV cache handle and the number of cached prompt tokens.

    Its outcome is `PREFILLED` if the response is well-formed.
    """

    def done(self) -> None:
        """Ends the attempt with the complete response."""
        if self.status != OK:
            return super().done()
        try:
            reply = PREFILL_REPLY_DECODER.decode(bytes(self.body))
        except DECODE_ERRORS:
            return self._end(Outcome.ERROR)
        cached_tokens = reply.usage.cached if reply.usage else 0
        self._end(Outcome.PREFILLED, cached_tokens, reply.kv_transfer_params)


class DecodeCall(StreamingAttempt, EngineCall):
    """A decode attempt, whose response is a stream of events.

    A complete stream contains at least one token and a finish reason, and ends with `[DONE]`.
    """

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._events = EventParser(self.max_body_bytes)
        self._finish_reason = ""
        self._usage = Usage()

    def _on_stream_data(self, data: bytes) -> None:
        try:
            for event in self._events.feed(data):
                self._event(event)
                if self.over:
                    return
        except (EventTooLongError, *DECODE_ERRORS):
            self._end(Outcome.ERROR)

    def _event(self, data: bytes) -> None:
        if data == STREAM_END:
            return self._end_of_stream()
        chunk = CHUNK_DECODER.decode(data)
        if chunk.usage is not None:
            self._usage = chunk.usage
        for choice in chunk.choices:
            content = choice.delta.content if choice.delta else None
            if content:
                self._relay(content)
            self._finish_reason = choice.finish_reason or self._finish_reason

    def _end_of_stream(self) -> None:
        if self._finish_reason and self.attempt.first_token_at:
            self._end(Outcome.SERVED, self._usage.cached, (self._finish_reason, self._usage))
        else:
            self._end(Outcome.ERROR)  # `[DONE]` without a token or a finish reason

    def _is_event_arriving(self) -> bool:
        return self._events.is_event_arriving

    def _buffered_event_bytes(self) -> int:
        return self._events.buffered_bytes

    def _on_stream_end(self) -> None:
        self._end(Outcome.ERROR)  # the response ended without [DONE]
