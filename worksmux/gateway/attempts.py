"""Carries one trip over a connection and reports how it went.  `docs/outcomes.md` has the table of outcomes.

Each outcome comes about in exactly one way; whatever an engine sends that makes no sense is an error of that
trip.
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


def refusal(status: int, body: bytes) -> tuple[Outcome, int]:
    """How a whole reply without an answer ended: 429 is full, told apart by its code; all else is an
    error."""
    if status != 429:
        return Outcome.ERROR, 0
    return Outcome.FULL, int(code_of(body) == calls.STATE_LOST)


class Carrier(AttemptCall):
    def send(self, headers: client.Headers, body: bytes) -> None:
        self.call = self.pool.call("POST", calls.CHAT, self, headers, body)

    def _rejection(self) -> tuple[Outcome, int]:
        return refusal(self.status, bytes(self.body))

    def _load_report(self) -> dict[str, float] | None:
        return calls.load_report(self.headers.get(calls.LOAD))


class Reading(Carrier):
    """A trip to a reader: ends as READ with the handle of the state, and the tokens that were found kept."""

    def done(self) -> None:
        if self.status != 200:
            return super().done()
        try:
            reply = READ_REPLY.decode(bytes(self.body))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return self._end(Outcome.ERROR)
        self._end(Outcome.PREFILLED, reply.usage.cached if reply.usage else 0, reply.kv_transfer_params)


class Writing(StreamingAttempt, Carrier):
    """A trip to what answers: a stream of events that ends with a finish reason and [DONE]."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.events = Events(self.max_body_bytes)
        self.finish = ""
        self.usage = Usage()

    def _on_stream_data(self, data: bytes) -> None:
        try:
            for event in self.events.feed(data):
                self._event(event)
                if self.over:
                    return
        except (EventTooLongError, msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            self._end(Outcome.ERROR)

    def _event(self, data: bytes) -> None:
        if data == b"[DONE]":
            if not (self.finish and self.attempt.first_token_at):
                return self._end(Outcome.ERROR)  # an end without an answer
            return self._end(Outcome.SERVED, self.usage.cached, (self.finish, self.usage))
        chunk = READ_CHUNK.decode(data)
        if chunk.usage is not None:
            self.usage = chunk.usage
        for choice in chunk.choices:
            content = choice.delta.content if choice.delta else None
            if content:
                self._relay(content)
            self.finish = choice.finish_reason or self.finish

    def _on_stream_end(self) -> None:
        self._end(Outcome.ERROR)  # the reply ended cleanly, yet without [DONE]
