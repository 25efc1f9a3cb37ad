"""Gathers a whole response in memory, for callers that don't stream."""

from __future__ import annotations

from typing import Protocol

from .errors import CallError, MalformedResponseError


class ResponseCallback(Protocol):
    """Called once as a call ends; `trouble` is None after a complete response."""

    def __call__(
        self, status: int, headers: dict[str, str], body: bytes, trouble: CallError | None, /
    ) -> None: ...


class BufferedResponse:
    """A `ResponseReceiver` that keeps up to `max_body_bytes` and hands them to `on_end`.

    A longer body is read to its end and discarded; the call then fails with `MalformedResponseError`.
    """

    def __init__(self, max_body_bytes: int, on_end: ResponseCallback) -> None:
        self._max_body_bytes = max_body_bytes
        self._on_end = on_end
        self._too_long = False
        self._status = 0
        self._headers: dict[str, str] = {}
        self.body = bytearray()

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        self._status, self._headers = status, headers

    def body_received(self, data: bytes) -> None:
        if self._too_long or len(self.body) + len(data) > self._max_body_bytes:
            self._too_long = True
        else:
            self.body += data

    def done(self) -> None:
        self._end(MalformedResponseError("the reply is too long") if self._too_long else None)

    def failed(self, trouble: CallError) -> None:
        self._end(trouble)

    def _end(self, trouble: CallError | None) -> None:
        self._on_end(self._status, self._headers, bytes(self.body), trouble)
