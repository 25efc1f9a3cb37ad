"""The calls of one attempt at an engine: prefill and decode over HTTP, and the outcome of each.

`docs/outcomes.md` has the table of outcomes.  Each comes about in exactly one way; a response that makes no
sense is an error of that attempt.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ..api import engine as calls
from ..api.chat import READ_CHUNK, READ_REPLY, Usage
from ..api.errors import code_of
from ..api.events import Events, EventTooLongError
from ..forwarding.attempt import AttemptCall, StreamingAttempt
from ..net import client
from ..policy.state import Outcome

OK = 200
TOO_MANY_REQUESTS = 429
STREAM_END = b"[DONE]"
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


def rejection_outcome(status: int, body: bytes) -> tuple[Outcome, int]:
    """The outcome of a whole response that is no answer, and a note: 1 where the engine lost its KV cache.

    429 means that the engine is full; any other status is an error.
    """
    if status != TOO_MANY_REQUESTS:
        return Outcome.ERROR, 0
    return Outcome.FULL, int(code_of(body) == calls.STATE_LOST)


class EngineCall(AttemptCall):
    """One HTTP request to an engine."""

    def send(self, headers: client.Headers, body: bytes) -> None:
        self.call = self.pool.call("POST", calls.CHAT, self, headers, body)

    def _rejection(self) -> tuple[Outcome, int]:
        return rejection_outcome(self.status, bytes(self.body))

    def _load_report(self) -> dict[str, float] | None:
        return calls.load_report(self.headers.get(calls.LOAD))


class PrefillCall(EngineCall):
    """Ends as READ with the handle of the KV cache, and the count of tokens that were found cached."""

    def done(self) -> None:
        if self.status != OK:
            return super().done()
        try:
            reply = READ_REPLY.decode(bytes(self.body))
        except DECODE_ERRORS:
            return self._end(Outcome.ERROR)
        cached_tokens = reply.usage.cached if reply.usage else 0
        self._end(Outcome.PREFILLED, cached_tokens, reply.kv_transfer_params)


class DecodeCall(StreamingAttempt, EngineCall):
    """A stream of events that ends with a finish reason and `[DONE]`."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._events = Events(self.max_body_bytes)
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
        chunk = READ_CHUNK.decode(data)
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
            self._end(Outcome.ERROR)  # an end without an answer

    def _on_stream_end(self) -> None:
        self._end(Outcome.ERROR)  # the response ended without [DONE]
