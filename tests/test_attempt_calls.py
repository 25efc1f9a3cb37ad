"""Attempt calls of the gateway: the outcome of each response and of each connection error."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from worksmux.api import chat
from worksmux.api.events import DONE, event
from worksmux.forwarding.attempt import MAX_EVENT_MS
from worksmux.gateway.attempts import DecodeCall, EngineCall, PrefillCall
from worksmux.net import client, clock
from worksmux.policy.state import Attempt, Engine, Outcome, Request


class RecordingListener:
    """Records an attempt's events; also serves as a reactor whose timers never fire."""

    def __init__(self) -> None:
        self.events: list[Any] = []

    def callLater(self, delay: float, call: Any, *args: Any) -> Any:
        timer = type("Timer", (), {"cancel": lambda self: None, "active": lambda self: False})()
        self.last_call = call
        return timer

    def on_first_token(self, attempt: Attempt) -> None:
        attempt.first_token_at = 1.0
        self.events.append("began")

    def on_content(self, attempt: Attempt, content: str) -> None:
        self.events.append(content)

    def on_attempt_end(self, attempt: Attempt, outcome: Outcome, note: int, report: Any, result: Any) -> None:
        self.events.append((outcome, note))


def attempt_call(call_class: type[EngineCall]) -> tuple[Any, RecordingListener]:
    listener = RecordingListener()
    request = Request(1, 0, 0, 0, 1.0, 0.0, 1.0, 0.0, 1.0)
    return call_class(
        listener, None, Attempt(request, Engine(b"e", 1), 0, 0.0), listener, 100.0, 50.0, 300
    ), listener  # type: ignore[arg-type]


CHUNK = event(chat.chunk("c", "hint", "word "))
LAST = event(chat.chunk("c", "hint", finish="stop"))


@pytest.mark.parametrize(
    ("status", "pieces", "outcome", "note"),
    [
        (200, [CHUNK, LAST, DONE], Outcome.SERVED, 0),
        (200, [CHUNK, LAST, DONE, b"data: {junk\n\n"], Outcome.SERVED, 0),
        (200, [CHUNK, LAST], Outcome.ERROR, 0),
        (200, [DONE], Outcome.ERROR, 0),
        (200, [LAST, DONE], Outcome.ERROR, 0),
        (200, [b"data: {\n\n"], Outcome.ERROR, 0),
        (200, [CHUNK, b'data: {"error": {"message": "x"}}\n\n'], Outcome.ERROR, 0),
        (200, [b"data: " + b"x" * 400], Outcome.ERROR, 0),
        (500, [b"{}"], Outcome.ERROR, 0),
        (429, [b'{"error":{"message":"","type":"","code":"state_lost"}}'], Outcome.FULL, 1),
        (429, [b"{}"], Outcome.FULL, 0),
        (503, [b"x" * 400], Outcome.ERROR, 0),
        (204, [], Outcome.ERROR, 0),
    ],
)
def test_outcome_follows_from_status_and_body(
    status: int, pieces: list[bytes], outcome: Outcome, note: int
) -> None:
    call, listener = attempt_call(DecodeCall)
    call.head_received(status, {"content-type": "text/event-stream" if status == 200 else "application/json"})
    for data in pieces:
        call.body_received(data)
    call.done()
    assert (
        listener.events[-1] == (outcome, note)
        and sum(isinstance(event, tuple) for event in listener.events) == 1
    )


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (client.NotSentError(""), Outcome.UNREACHABLE),
        (client.ConnectionBrokenError(""), Outcome.RESET),
        (client.MalformedResponseError(""), Outcome.ERROR),
    ],
)
def test_outcome_follows_from_connection_error(error: client.CallError, outcome: Outcome) -> None:
    call, listener = attempt_call(PrefillCall)
    call.failed(error)
    call.cancel()
    assert listener.events == [(outcome, 0)]


def test_prefill_returns_handle_and_cached_tokens() -> None:
    call, listener = attempt_call(PrefillCall)
    call.head_received(200, {})
    call.body_received(
        msgspec.json.encode(
            chat.PrefillReply(chat.KvParams("e", "h", 1), chat.Usage(9, 1, 10, {"cached_tokens": 4}))
        )
    )
    call.done()
    assert listener.events == [(Outcome.PREFILLED, 4)]
    call_without_handle, listener = attempt_call(PrefillCall)
    call_without_handle.head_received(200, {})
    call_without_handle.body_received(b'{"choices": []}')  # a prefill response needs a KV cache handle
    call_without_handle.done()
    assert listener.events == [(Outcome.ERROR, 0)]


def test_stalled_stream_times_out() -> None:
    call, listener = attempt_call(DecodeCall)
    call.head_received(200, {"content-type": "text/event-stream"})
    call.body_received(CHUNK)
    call.last_piece_at = clock.now() - 60
    call._check_gap()
    assert listener.events == ["began", "word ", (Outcome.TIMED_OUT, 0)]


def test_stream_whose_event_is_written_slowly_does_not_time_out() -> None:
    """An engine takes longer for one event than a stream may pause; the stream was cut while it wrote."""
    call, listener = attempt_call(DecodeCall)
    call.head_received(200, {"content-type": "text/event-stream"})
    call.body_received(CHUNK)
    call.last_piece_at = clock.now() - 60
    call.body_received(CHUNK[:20])
    call._check_gap()
    assert not call.over
    call.last_piece_at = clock.now() - MAX_EVENT_MS
    call._check_gap()
    assert listener.events == ["began", "word ", (Outcome.TIMED_OUT, 0)]
