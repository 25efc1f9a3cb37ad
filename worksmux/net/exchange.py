"""A request that the server has received completely, and the ways to answer it."""

from __future__ import annotations

from collections.abc import Callable
from io import BytesIO
from typing import Any

from twisted.python.failure import Failure
from twisted.web import http

from .transports import NextByte, ServerTransport, peek, peer_has_closed

CONTENT_TOO_LARGE = 413
MAX_READ_AHEAD_ITERATIONS = 32  # enough to read the most that is discarded, 64 KiB in each
MAX_BODY_OVERRUN = 4  # times the body limit: more is not read, and the connection is aborted


class Exchange(http.Request):
    """A request with its complete body of at most the server's `max_body_bytes`.

    `on_disconnect` is called once if the client disconnects before the answer has ended.
    """

    on_disconnect: Callable[[], None] | None = None
    _body_too_long = False

    def __init__(self, *args: Any) -> None:
        """Creates the request without the parser of forms.

        Failure: the fields of a form of 256 KiB take many times its memory, and time in which nothing else is
        read, before the request is looked at.
        """
        super().__init__(*args, parsePOSTFormSubmission=False)  # type: ignore[misc]

    def gotLength(self, length: int | None) -> None:
        """Checks the announced length of the body; a much too long body is rejected without reading it."""
        self._max_body_bytes = self.channel.factory.max_body_bytes
        self._body_bytes = 0
        self._body_too_long = length is not None and length > self._max_body_bytes
        self._body_file = self.content = BytesIO()  # limited, so it needs no temporary file as Twisted's does
        if length is not None and length > MAX_BODY_OVERRUN * self._max_body_bytes:
            channel: Any = self.channel
            channel.refuse(b"413 Content Too Large")

    def handleContentChunk(self, data: bytes) -> None:
        """Stores body data up to the limit, and discards the rest."""
        self._body_bytes += len(data)
        if self._body_bytes <= self._max_body_bytes and not self._body_too_long:
            self._body_file.write(data)
            return
        channel: Any = self.channel
        channel.buffered_data_freed(len(data) + self._body_file.tell())
        self.free_body()
        self._body_too_long = True  # read and discard the rest: a client reads no answer while it sends
        if self._body_bytes > MAX_BODY_OVERRUN * self._max_body_bytes:
            self.channel.forceAbortClient()

    def free_body(self) -> None:
        """Frees the memory of the body, which is not read any more."""
        self._body_file = self.content = BytesIO()

    def process(self) -> None:
        """Passes the complete request to the answerer, or answers 413."""
        if self._body_too_long:
            self.setHeader("connection", "close")
            self.answer(
                CONTENT_TOO_LARGE,
                b'{"error":{"message":"the body is longer than %d bytes; send less",'
                b'"type":"invalid_request_error","param":null,"code":"body_too_long"}}'
                % self._max_body_bytes,
            )
            return
        self.channel.factory.request_received(self)

    def header(self, name: str) -> str | None:
        """The last value of a header."""
        value = self.getHeader(name)
        return value if value is None or isinstance(value, str) else value.decode("latin-1")

    def header_values(self, name: str) -> list[str]:
        """All values of a header, in order."""
        values = self.requestHeaders.getRawHeaders(name.encode(), [])
        return [value.decode("latin-1") for value in values]

    def header_fields(self) -> list[tuple[str, list[str]]]:
        """All headers, each with its values in order."""
        return [
            (name.decode("latin-1"), [value.decode("latin-1") for value in values])
            for name, values in self.requestHeaders.getAllRawHeaders()
        ]

    def client_host(self) -> str:
        """The client's IP address."""
        return str(self.getClientAddress().host)

    def set_header(self, name: str, value: str) -> None:
        """Sets a header of the answer."""
        self.setHeader(name, value)

    def body(self) -> bytes:
        """The body of the request."""
        return self._body_file.getvalue()

    def client_is_gone(self) -> bool:
        """Whether the client has disconnected, even if the reactor has not read that yet.

        Failure: a client sends further requests and closes its connection.  The close is behind data that
        waits to be read, and its request is sent to an engine afterwards.
        """
        if self.over:
            return True
        transport: Any = self.channel.transport
        next_byte = peek(transport)
        return next_byte is NextByte.END or next_byte is NextByte.DATA and peer_has_closed(transport)

    def when_read_ahead(self, call: Callable[[], None]) -> None:
        """Calls `call` once nothing is unread behind the request; not at all if the client has gone by then.

        Failure: a client sends much behind its request and closes its connection.  The close is behind what
        is not read, even in the client's own buffers, so only reading finds it, and the request is sent to an
        engine for nobody.
        """
        self._call_when_read(call, MAX_READ_AHEAD_ITERATIONS)

    def _call_when_read(self, call: Callable[[], None], iterations_left: int) -> None:
        if self.over:
            return
        if iterations_left and self._has_unread_data:
            reactor: Any = self.channel.factory.reactor
            reactor.callLater(0, self._call_when_read, call, iterations_left - 1)
        else:
            call()

    @property
    def _has_unread_data(self) -> bool:
        transport: Any = self.channel.transport
        return isinstance(transport, ServerTransport) and peek(transport) is NextByte.DATA

    def earliest_arrival_ms(self) -> float:
        """The earliest time at which the complete request may have arrived; see `Lateness`."""
        channel: Any = self.channel
        return float(channel.earliest_arrival_ms)

    @property
    def over(self) -> bool:
        """Whether the answer has ended or the client has disconnected."""
        return bool(self.finished or self._disconnected)

    def answer(
        self,
        status: int,
        body: bytes,
        content_type: str = "application/json",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Sends a complete answer."""
        if self.over:
            return
        self.setResponseCode(status)
        self.setHeader("content-type", content_type)
        self.setHeader("content-length", str(len(body)))
        for name, value in headers:
            self.setHeader(name, value)
        self.on_disconnect = None
        self.write(body)
        self.finish()

    def close_after_answer(self) -> None:
        """Makes the connection close after the answer."""
        self.channel.persistent = False
        self.setHeader("connection", "close")

    def begin(self, content_type: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Sets the head of a 200 answer whose body is sent by `send_chunk` and ended by `end`."""
        if self.over:
            return
        self.setResponseCode(http.OK)
        self.setHeader("content-type", content_type)
        self.setHeader("cache-control", "no-cache")
        for name, value in headers:
            self.setHeader(name, value)

    def send_chunk(self, data: bytes) -> None:
        """Sends a part of the body of an answer that `begin` began."""
        if not self.over:
            self.write(data)

    def end(self) -> None:
        """Ends an answer that `begin` began."""
        if not self.over:
            self.on_disconnect = None
            self.finish()

    def truncate(self, last: bytes = b"") -> None:
        """Sends `last` and closes without the terminating chunk, so that clients see an incomplete answer."""
        if not self.over:
            self.on_disconnect = None
            if last:
                self.write(last)
            channel: Any = self.channel
            channel.truncated = True
            channel.loseConnection()

    def abort(self) -> None:
        """Resets the connection at once; data that was written may be lost."""
        if not self.over:
            self.on_disconnect = None
            self.channel.forceAbortClient()

    def connectionLost(self, reason: Failure) -> None:
        """Calls `on_disconnect` if the answer has not ended."""
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        super().connectionLost(reason)
        if on_disconnect is not None:
            on_disconnect()
