"""An HTTP/1.1 server on Twisted's HTTPChannel with bounded heads and bodies, and plain methods to answer
by."""
from __future__ import annotations

from collections.abc import Callable
from io import BytesIO
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web import http

PATIENCE = 4             # times the bound that a body may have before its connection is cut
Answerer = Callable[["Exchange"], None]


class Exchange(http.Request):
    """One request with its whole body, and the ways to answer it.

    `on_gone` is called once if the client hangs up before the answer has ended.
    """

    on_gone: Callable[[], None] | None = None
    too_long = False

    def gotLength(self, length: int | None) -> None:
        self._bound = self.channel.factory.body_bound
        self._size = 0
        self.too_long = length is not None and length > self._bound
        self._kept = self.content = BytesIO()        # bounded, so it never goes to a file on the disk

    def handleContentChunk(self, data: bytes) -> None:
        self._size += len(data)
        if self._size <= self._bound and not self.too_long:
            self._kept.write(data)
            return
        self.too_long = True                         # let by and not kept, so that the client reads why
        if self._size > PATIENCE * self._bound:
            self.channel.forceAbortClient()

    def process(self) -> None:
        if self.too_long:
            self.setHeader("connection", "close")
            self.answer(
                413,
                b'{"error":{"message":"the body is longer than %d bytes; send less",'
                b'"type":"invalid_request_error","param":null,"code":"body_too_long"}}' % self._bound,
            )
            return
        self.channel.factory.answerer(self)

    def header(self, name: str) -> str | None:
        found = self.getHeader(name)
        return found if found is None or isinstance(found, str) else found.decode("latin-1")

    def values(self, name: str) -> list[str]:
        """All values of a header, in their order."""
        found = self.requestHeaders.getRawHeaders(name.encode(), [])
        return [value.decode("latin-1") for value in found]

    def body(self) -> bytes:
        return self._kept.getvalue()

    @property
    def over(self) -> bool:
        return bool(self.finished or self._disconnected)

    def answer(self, status: int, body: bytes, kind: str = "application/json",
               headers: tuple[tuple[str, str], ...] = ()) -> None:
        """The whole answer at once."""
        if self.over:
            return
        self.setResponseCode(status)
        self.setHeader("content-type", kind)
        self.setHeader("content-length", str(len(body)))
        for name, value in headers:
            self.setHeader(name, value)
        self.on_gone = None
        self.write(body)
        self.finish()

    def begin(self, kind: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """The head of an answer whose body comes in pieces by `write`, and ends by `end`."""
        if self.over:
            return
        self.setResponseCode(200)
        self.setHeader("content-type", kind)
        self.setHeader("cache-control", "no-cache")
        for name, value in headers:
            self.setHeader(name, value)

    def more(self, data: bytes) -> None:
        if not self.over:
            self.write(data)

    def end(self) -> None:
        if not self.over:
            self.on_gone = None
            self.finish()

    def cut(self, last: bytes = b"") -> None:
        """Sends `last` and closes without the body's end, so that nobody takes it for a whole answer."""
        if not self.over:
            self.on_gone = None
            if last:
                self.write(last)
            self.channel.loseConnection()

    def abort(self) -> None:
        """Resets the connection at once; what was written may not arrive."""
        if not self.over:
            self.on_gone = None
            self.channel.forceAbortClient()

    def connectionLost(self, reason: Failure) -> None:
        gone, self.on_gone = self.on_gone, None
        super().connectionLost(reason)
        if gone is not None:
            gone()


class Channel(http.HTTPChannel):
    """A connection of a client.  The head's bound counts all of its lines."""

    def connectionMade(self) -> None:
        super().connectionMade()
        self.factory.channels[self] = None
        self.totalHeadersSize = self.factory.head_bound
        self.MAX_LENGTH = self.factory.head_bound
        if self.factory.channel_hook:
            self.factory.channel_hook(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.factory.channels.pop(self, None)
        super().connectionLost(reason)


class Server(http.HTTPFactory):
    """Takes connections and hands each whole request to `answerer`."""

    noisy = False

    def __init__(self, answerer: Answerer, body_bound: int, head_bound: int, keep_alive: float,
                 reactor: Any = None) -> None:
        super().__init__(timeout=keep_alive / 1000, reactor=reactor)
        self.answerer, self.body_bound, self.head_bound = answerer, body_bound, head_bound
        self.channels: dict[Any, None] = {}
        self.channel_hook: Callable[[Any], None] | None = None     # called with each new connection

    def buildProtocol(self, addr: IAddress | None) -> Any:
        channel: Any = Channel()  # Any: Twisted's channel is untyped where these are set
        channel.factory = channel.site = self
        channel.requestFactory = Exchange
        channel.timeOut = self.timeOut
        channel.callLater = self.reactor.callLater
        return channel

    def log(self, request: http.Request) -> None:
        """No access log: one event a job is logged by who answers."""
