"""An HTTP/1.1 server on Twisted's HTTPChannel with bounded heads, bodies, times and numbers of connections,
and plain methods to answer by."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from io import BytesIO
from socket import MSG_PEEK
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web import http

from . import clock
from .eviction import EvictionQueue

PATIENCE = 4  # times the bound that a body may have before its connection is cut
MOST_HEADERS = 100
LOOKS = 8  # at the connections' times, within the shortest of them
BEHIND = 2**16  # bytes kept of what a client sends behind a request that waits for its answer
FIRST_DATA = 20.0  # milliseconds after a connection's start: what is read then may have come with it
LINGER = 1000.0  # for a client to end its side after this one has ended, milliseconds
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
        self._kept = self.content = BytesIO()  # bounded, so it never goes to a file on the disk
        if length is not None and length > PATIENCE * self._bound:
            channel: Any = self.channel
            channel.refuse(b"413 Content Too Large")  # nobody waits for the rest

    def handleContentChunk(self, data: bytes) -> None:
        self._size += len(data)
        if self._size <= self._bound and not self.too_long:
            self._kept.write(data)
            return
        self.too_long = True  # let by and not kept, so that the client reads why
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

    def fields(self) -> list[tuple[str, list[str]]]:
        """All fields of the head, each with its values in their order."""
        return [
            (name.decode("latin-1"), [value.decode("latin-1") for value in values])
            for name, values in self.requestHeaders.getAllRawHeaders()
        ]

    def body(self) -> bytes:
        return self._kept.getvalue()

    def gone(self) -> bool:
        """Whether the client has hung up, also where the reactor has not come to read it yet."""
        if self.over:
            return True
        wire: Any = self.channel.transport
        try:
            return not wire.getHandle().recv(1, MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def came(self) -> float:
        """When the request may have come whole, at the earliest."""
        channel: Any = self.channel
        return float(channel.came)

    @property
    def over(self) -> bool:
        return bool(self.finished or self._disconnected)

    def answer(
        self,
        status: int,
        body: bytes,
        kind: str = "application/json",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
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

    def last(self) -> None:
        """The connection closes with this answer."""
        self.channel.persistent = False
        self.setHeader("connection", "close")

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
            channel: Any = self.channel
            channel.hurried = True  # its end does not wait for its reader
            channel.loseConnection()

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
    """A connection of a client.  The head's bound counts all of its lines.

    Guards against Twisted's channel going on after a fault within a head: what follows in the same piece
    would be taken for the rest of a good one.
    """

    maxHeaders = MOST_HEADERS
    spoilt = False  # refused or ended: what still comes is thrown away
    closing = False  # this side has ended
    hurried = False  # it is cut: what was not sent need not be
    behind = 0  # bytes that came behind the request that is open
    # Guards against a close that is not seen: a client that sent much behind its request would be read no
    # further, and with it the end of its connection.
    _optimisticEagerReadSize = 2**30
    busy = False  # a whole request waits for its answer
    receiving = False  # a part of a request has come
    asked = False  # a request was answered here

    @property
    def _wire(self) -> Any:
        return self.transport

    def connectionMade(self) -> None:
        super().connectionMade()
        self.since = clock.now()  # of its state: silent, receiving or idle
        self.came = self.since - self.factory.late()  # what comes right after it may be as old
        self.totalHeadersSize = self.factory.head_bound
        self.MAX_LENGTH = self.factory.head_bound
        self.factory.made(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.factory.channels.pop(self, None)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:
        now = clock.now()
        if self.asked or now - self.since > FIRST_DATA:
            self.came = now - self.factory.late()
        self.behind += len(data) if self.busy or self.spoilt else 0
        if self.behind > BEHIND:  # let by; the connection ends with the answer
            self.persistent = False
            if self.behind > PATIENCE * self.factory.body_bound:
                self._wire.abortConnection()
            return
        if self.spoilt:
            return
        if not self.busy and not self.receiving:
            self.receiving = True
            if self.asked:
                self.since = clock.now()  # the first one's time runs from the connection's start
            self.factory.evictions.file(self)
        super().dataReceived(data)

    def refuse(self, status: bytes = b"400 Bad Request") -> None:
        """Answers what is no request, and closes; nothing after it is read."""
        if not self.spoilt:
            self._wire.write(b"HTTP/1.1 " + status + b"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
            self.loseConnection()

    def loseConnection(self) -> None:
        """Ends this side, and reads on until the client has ended its own.

        Guards against a close over bytes that were not read, such as a request that crosses it: that resets
        the connection, and an answer on its way is lost.  What is read from here on is no request.
        """
        if self.closing:
            return
        self.spoilt = self.closing = True
        self.since, self.behind = clock.now(), 0
        self.factory.evictions.file(self)
        self.setTimeout(LINGER / 1000)
        self._wire.unregisterProducer()
        self._wire.resumeProducing()
        self._wire.loseWriteConnection()

    @property
    def unsent(self) -> bool:
        """Whether an answer still waits for its reader after this side has ended."""
        return self.closing and not self.hurried and not self._wire._writeDisconnected

    def timeoutConnection(self) -> None:
        if self.unsent:
            self.setTimeout(LINGER / 1000)  # guards against an answer cut off for a slow reader
        elif self.closing:
            self._wire.abortConnection()
        else:
            super().timeoutConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:
        self.refuse()

    def lineLengthExceeded(self, line: bytes) -> None:
        self.refuse()

    def lineReceived(self, line: bytes) -> None:
        if not self.spoilt:
            super().lineReceived(line)

    def headerReceived(self, line: bytes) -> bool:
        return not self.spoilt and bool(super().headerReceived(line))

    def allHeadersReceived(self) -> None:
        if not self.spoilt:
            super().allHeadersReceived()

    def rawDataReceived(self, data: bytes) -> None:
        if not self.spoilt:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:
        if not self.spoilt:
            self.busy, self.receiving = True, False
            super().allContentReceived()

    def checkPersistence(self, request: http.Request, version: bytes) -> bool:
        if self.factory.closing:
            request.responseHeaders.setRawHeaders(b"Connection", [b"close"])
            return False
        return bool(super().checkPersistence(request, version))

    def requestDone(self, request: http.Request) -> None:
        self.busy, self.asked, self.since, self.behind = False, True, clock.now(), 0
        self.factory.evictions.file(self)
        super().requestDone(request)

    def rank(self) -> int:
        """Which goes first where room is short: those that end, those that never spoke, the idle, the slow;
        0 for none."""
        if self.closing:
            return 2 if self.unsent else 4
        return 0 if self.busy else 1 if self.receiving else 2 if self.asked else 3


class Server(http.HTTPFactory):
    """Takes connections and hands each whole request to `answerer`."""

    noisy = False

    def __init__(
        self,
        answerer: Answerer,
        body_bound: int,
        head_bound: int,
        keep_alive: float,
        reactor: Any = None,
        patience: float = 0.0,
        most: int = 0,
        late: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """`keep_alive`: an idle connection is closed after it; `patience`: a request must come whole within
        it, counted from the connection's start for the first (both in milliseconds, 0: no bound); `most`
        connections at once (0: any number); `late` tells by how much what is read now may be older
        (`lateness.Lateness`)."""
        super().__init__(timeout=keep_alive / 1000, reactor=reactor)
        self.answerer, self.body_bound, self.head_bound = answerer, body_bound, head_bound
        self.keep_alive, self.patience, self.most, self.late = keep_alive, patience, most, late
        self.closing = False  # each answer closes its connection
        self.closes: Counter[str] = Counter()  # connections that this side ended, by reason
        self.channels: dict[Any, None] = {}
        self.evictions = EvictionQueue(self.channels)
        self.channel_hook: Callable[[Any], None] | None = None  # called with each new connection
        self._look: Any = None

    def made(self, channel: Any) -> None:
        """A connection has come; where they are too many, one that is of the least use is closed."""
        self.channels[channel] = None
        self.evictions.file(channel)
        if self.channel_hook:
            self.channel_hook(channel)
        if self.most and len(self.channels) > self.most:
            self.closes["too many"] += 1
            self._abort(self.evictions.take(channel))
        if self.patience and self._look is None:
            self._look_later()

    def _abort(self, channel: Any) -> None:
        """Its descriptor is free a moment later: until then it must not be chosen again."""
        self.channels.pop(channel, None)
        channel.transport.abortConnection()

    def _look_later(self) -> None:
        reactor: Any = self.reactor
        self._look = reactor.callLater(self.patience / LOOKS / 1000, self._look_round)

    def _look_round(self) -> None:
        """Guards against clients that say nothing, or never end what they say: one look at all of them costs
        less than a timer for each."""
        self._look, now = None, clock.now()
        for channel in list(self.channels):
            since = now - channel.since
            if channel.busy or channel.closing:
                continue
            elif channel.receiving:
                if since > self.patience * (1 - 1 / LOOKS):
                    self.closes["request not whole in time"] += 1
                    channel.refuse(b"408 Request Timeout")
            elif since > self.keep_alive:
                self.closes["idle"] += 1
                channel.loseConnection()
        if self.channels:
            self._look_later()

    def close_idle(self, unused_too: bool = True) -> None:
        """From now on each answer closes its connection, and those without a request are closed at once;
        without `unused_too` only those that have had one.

        Guards against a new connection that is closed as its first request is on its way: a client sends a
        request again where that crosses the end of one that rested, not on a new one.  A channel that is not
        persistent throws away what begins a request, so that only those with a whole one are told so here;
        for the others `checkPersistence` sees to it.
        """
        self.closing = True
        for channel in list(self.channels):
            if channel.busy:
                channel.persistent = False
            elif not channel.receiving and (channel.asked or unused_too):
                self.closes["stopping"] += 1
                channel.loseConnection()

    def stop(self) -> None:
        if self._look is not None and self._look.active():
            self._look.cancel()

    def buildProtocol(self, addr: IAddress | None) -> Any:
        channel: Any = Channel()  # Any: Twisted's channel is untyped where these are set
        channel.factory = channel.site = self
        channel.requestFactory = Exchange
        channel.timeOut = None if self.patience else self.timeOut
        channel.callLater = self.reactor.callLater
        return channel

    def log(self, request: http.Request) -> None:
        """No access log: one event a job is logged by who answers."""
