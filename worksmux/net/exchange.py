"""One request that the server has received whole, and the ways to answer it."""

from __future__ import annotations

from collections.abc import Callable
from io import BytesIO
from socket import MSG_PEEK
from typing import Any

from twisted.python.failure import Failure
from twisted.web import http

CONTENT_TOO_LARGE = 413
MAX_BODY_OVERRUN = 4  # times the body's bound that are read and discarded before the connection is cut


class Exchange(http.Request):
    """A request with its whole body; bodies are bounded by the server's `max_body_bytes`.

    `on_disconnect` is called once if the client disconnects before the answer has ended.
    """

    on_disconnect: Callable[[], None] | None = None
    _body_too_long = False

    def gotLength(self, length: int | None) -> None:
        self._max_body_bytes = self.channel.factory.max_body_bytes
        self._body_bytes = 0
        self._body_too_long = length is not None and length > self._max_body_bytes
        self._kept = self.content = BytesIO()  # bounded, so it need not spill to disk as Twisted's does
        if length is not None and length > MAX_BODY_OVERRUN * self._max_body_bytes:
            channel: Any = self.channel
            channel.refuse(b"413 Content Too Large")

    def handleContentChunk(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes <= self._max_body_bytes and not self._body_too_long:
            self._kept.write(data)
            return
        self._body_too_long = True  # read on and discard: a client reads no answer while it still sends
        if self._body_bytes > MAX_BODY_OVERRUN * self._max_body_bytes:
            self.channel.forceAbortClient()

    def process(self) -> None:
        if self._body_too_long:
            self.setHeader("connection", "close")
            self.answer(
                CONTENT_TOO_LARGE,
                b'{"error":{"message":"the body is longer than %d bytes; send less",'
                b'"type":"invalid_request_error","param":null,"code":"body_too_long"}}'
                % self._max_body_bytes,
            )
            return
        self.channel.factory.answerer(self)

    def header(self, name: str) -> str | None:
        """The last value of a header."""
        found = self.getHeader(name)
        return found if found is None or isinstance(found, str) else found.decode("latin-1")

    def header_values(self, name: str) -> list[str]:
        """All values of a header, in their order."""
        found = self.requestHeaders.getRawHeaders(name.encode(), [])
        return [value.decode("latin-1") for value in found]

    def header_fields(self) -> list[tuple[str, list[str]]]:
        """All headers, each with its values in their order."""
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
        return self._kept.getvalue()

    def client_is_gone(self) -> bool:
        """Whether the client has disconnected, also where the reactor has not read that yet."""
        if self.over:
            return True
        transport: Any = self.channel.transport
        try:
            return not transport.getHandle().recv(1, MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def earliest_arrival_ms(self) -> float:
        """The earliest time at which the request may have arrived whole; see `Lateness`."""
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
        """Sends the whole answer at once."""
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
        """Ends the connection with this answer."""
        self.channel.persistent = False
        self.setHeader("connection", "close")

    def begin(self, content_type: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Sets the head of a 200 answer whose body is sent in pieces by `send_chunk` and ended by `end`."""
        if self.over:
            return
        self.setResponseCode(http.OK)
        self.setHeader("content-type", content_type)
        self.setHeader("cache-control", "no-cache")
        for name, value in headers:
            self.setHeader(name, value)

    def send_chunk(self, data: bytes) -> None:
        if not self.over:
            self.write(data)

    def end(self) -> None:
        """Ends an answer that `begin` began."""
        if not self.over:
            self.on_disconnect = None
            self.finish()

    def truncate(self, last: bytes = b"") -> None:
        """Sends `last` and closes without the last chunk, so that no client takes the answer for complete."""
        if not self.over:
            self.on_disconnect = None
            if last:
                self.write(last)
            channel: Any = self.channel
            channel.truncated = True
            channel.loseConnection()

    def abort(self) -> None:
        """Resets the connection at once; what was written may not arrive."""
        if not self.over:
            self.on_disconnect = None
            self.channel.forceAbortClient()

    def connectionLost(self, reason: Failure) -> None:
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        super().connectionLost(reason)
        if on_disconnect is not None:
            on_disconnect()
