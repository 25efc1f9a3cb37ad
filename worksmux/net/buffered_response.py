"""Collects a complete response in memory, for callers that do not stream."""

from __future__ import annotations

from typing import Protocol

from .errors import CallError, MalformedResponseError


class ResponseCallback(Protocol):
    """A function that is called once, when a call ends; `error` is None after a complete response."""

    def __call__(
        self, status: int, headers: dict[str, str], body: bytes, error: CallError | None, /
    ) -> None: ...


class BufferedResponse:
    """A `ResponseReceiver` that keeps a body of up to `max_body_bytes` and passes it to `on_end`.

    A longer body is read to its end and discarded, and the call fails with `MalformedResponseError`.
    """

    def __init__(self, max_body_bytes: int, on_end: ResponseCallback) -> None:
        self._max_body_bytes = max_body_bytes
        self._on_end = on_end
        self._too_long = False
        self._status = 0
        self._headers: dict[str, str] = {}
        self.body = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """See `ResponseReceiver`."""
        return len(self.body)

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        """See `ResponseReceiver`."""
        self._status, self._headers = status, headers

    def body_received(self, data: bytes) -> None:
        """See `ResponseReceiver`."""
        if self._too_long or len(self.body) + len(data) > self._max_body_bytes:
            self._too_long = True
            self.body = bytearray()
        else:
            self.body += data

    def done(self) -> None:
        """See `ResponseReceiver`."""
        self._end(MalformedResponseError("the response body is too long") if self._too_long else None)

    def failed(self, error: CallError) -> None:
        """See `ResponseReceiver`."""
        self._end(error)

    def _end(self, error: CallError | None) -> None:
        self._on_end(self._status, self._headers, bytes(self.body), error)
