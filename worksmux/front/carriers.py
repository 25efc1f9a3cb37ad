"""Carries one trip over a connection and reports how it went.  `docs/outcomes.md` has the table of outcomes.

Each outcome comes about in exactly one way; whatever an engine sends that makes no sense is an error of that
trip.
"""
from __future__ import annotations

from typing import Any, Protocol

import msgspec

from .. import interface as i
from ..api import engine as calls
from ..api.chat import READ_CHUNK, READ_REPLY, Usage
from ..api.errors import code_of
from ..api.events import Events, TooLong
from ..net import client, clock
from ..net.loop import Reactor


class Listener(Protocol):
    """Who hears of a trip; each trip has at most one `began`, and exactly one `ended`, the last."""

    def began(self, trip: i.Trip) -> None: ...

    def text(self, trip: i.Trip, content: str) -> None: ...

    def ended(self, trip: i.Trip, outcome: i.Outcome, note: int, report: dict[str, float] | None,
              result: Any) -> None: ...


def outcome_of(trouble: client.Trouble) -> i.Outcome:
    """How a call without a whole reply ended."""
    if isinstance(trouble, client.Unsent):
        return i.Outcome.UNREACHABLE
    return i.Outcome.RESET if isinstance(trouble, client.Broken) else i.Outcome.ERROR


def refusal(status: int, body: bytes) -> tuple[i.Outcome, int]:
    """How a whole reply without an answer ended: 429 is full, told apart by its code; all else is an
    error."""
    if status != 429:
        return i.Outcome.ERROR, 0
    return i.Outcome.FULL, int(code_of(body) == calls.STATE_LOST)


class Carrier:
    """One trip.  `time_out` runs until the answer begins, then `silence` between its pieces
    (milliseconds)."""

    def __init__(self, reactor: Reactor, pool: client.Pool, trip: i.Trip, listener: Listener, time_out: float,
                 silence: float, bound: int) -> None:
        self.reactor, self.pool, self.trip, self.listener = reactor, pool, trip, listener
        self.silence, self.bound = silence, bound
        self.status, self.headers = 0, {}  # type: int, dict[str, str]
        self.body = bytearray()
        self.over = False
        self.timer = reactor.callLater(max(0.0, time_out) / 1000, self._time_is_up)
        self.call: client.Call | None = None

    def send(self, headers: client.Headers, body: bytes) -> None:
        self.call = self.pool.call("POST", calls.CHAT, self, headers, body)

    def cancel(self) -> None:
        """Calls the trip off: the connection closes, by which the engine knows."""
        self._end(i.Outcome.CANCELLED)

    def _time_is_up(self) -> None:
        self._end(i.Outcome.TIMED_OUT)

    def _end(self, outcome: i.Outcome, note: int = 0, result: Any = None) -> None:
        if self.over:
            return
        self.over = True
        if self.timer.active():
            self.timer.cancel()
        if self.call is not None and outcome is not i.Outcome.DELIVERED:
            self.call.abandon()
        report = calls.load_report(self.headers.get(calls.LOAD))
        self.listener.ended(self.trip, outcome, note, report, result)

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status, self.headers = status, headers

    def piece(self, data: bytes) -> None:
        if len(self.body) + len(data) > self.bound:
            self._end(i.Outcome.ERROR)
        else:
            self.body += data

    def done(self) -> None:
        self._end(*refusal(self.status, bytes(self.body)))

    def failed(self, trouble: client.Trouble) -> None:
        self._end(outcome_of(trouble))


class Reading(Carrier):
    """A trip to a reader: ends as READ with the handle of the state, and the tokens that were found kept."""

    def done(self) -> None:
        if self.status != 200:
            return super().done()
        try:
            reply = READ_REPLY.decode(bytes(self.body))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return self._end(i.Outcome.ERROR)
        self._end(i.Outcome.READ, reply.usage.cached if reply.usage else 0, reply.kv_transfer_params)


class Writing(Carrier):
    """A trip to what answers: a stream of events that ends with a finish reason and [DONE]."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.events = Events(self.bound)
        self.streaming = False
        self.finish = ""
        self.usage = Usage()
        self.last = 0.0
        self.paused = False

    def head(self, status: int, headers: dict[str, str]) -> None:
        super().head(status, headers)
        self.streaming = status == 200 and headers.get("content-type", "").startswith("text/event-stream")

    def piece(self, data: bytes) -> None:
        if self.over:                                # after its end: no harm to the trip
            return
        if not self.streaming:
            return super().piece(data)
        try:
            for event in self.events.feed(data):
                self._event(event)
                if self.over:
                    return
        except (TooLong, msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            self._end(i.Outcome.ERROR)

    def _event(self, data: bytes) -> None:
        if data == b"[DONE]":
            if not (self.finish and self.trip.began):
                return self._end(i.Outcome.ERROR)    # an end without an answer
            return self._end(i.Outcome.DELIVERED, self.usage.cached, (self.finish, self.usage))
        chunk = READ_CHUNK.decode(data)
        if chunk.usage is not None:
            self.usage = chunk.usage
        for choice in chunk.choices:
            content = choice.delta.content if choice.delta else None
            if content:
                self._content(content)
            self.finish = choice.finish_reason or self.finish

    def _content(self, content: str) -> None:
        now = clock.now()
        if not self.last:
            self.timer.cancel()
            self.timer = self.reactor.callLater(self.silence / 1000, self._listen)
            self.listener.began(self.trip)
        self.last = now
        self.listener.text(self.trip, content)

    def _listen(self) -> None:
        """Guards against a stream that stalls: one timer a silence, not one a token."""
        left = self.last + self.silence - clock.now()
        if left <= 0 or self.paused:
            self._time_is_up()
        else:
            self.timer = self.reactor.callLater(left / 1000, self._listen)

    def done(self) -> None:
        if self.over:
            return
        if self.streaming:
            self._end(i.Outcome.ERROR)               # the reply ended cleanly, yet without [DONE]
        else:
            super().done()

    # The client's side asks for a pause while it cannot take more.

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
