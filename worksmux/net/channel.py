"""A client's connection at the server: Twisted's HTTPChannel with bounds, and an end that loses no answer."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web import http

from . import clock
from .exchange import MAX_BODY_OVERRUN

MAX_HEADERS = 100
MAX_BYTES_BEHIND = 2**16  # kept of what a client sends behind a request that waits for its answer
FIRST_DATA_MS = 20.0  # after a connection's start: data read then may have come together with it
CLOSE_TIMEOUT_MS = 1000.0  # for a client to end its side after the server has ended its own

# Eviction ranks: the highest is closed first.
RANK_IN_USE = 0
RANK_RECEIVING = 1
RANK_IDLE = 2
RANK_SILENT = 3
RANK_CLOSING = 4


class Channel(http.HTTPChannel):
    """One connection.  The head's bound counts all of its lines.

    Failure: after a fault within a head, Twisted's channel goes on with what follows in the same piece, and
    takes it for the rest of a good request.  `discarding` is set with the refusal and checked at each entry.
    """

    maxHeaders = MAX_HEADERS
    # Failure: Twisted stops reading from a client that has sent this much behind its request, so that a close
    # behind it would never be seen.  `MAX_BYTES_BEHIND` bounds the memory instead.
    _optimisticEagerReadSize = 2**30

    discarding = False  # refused or ended: what still comes is thrown away
    closing = False  # this side has ended
    truncated = False  # ended by `Exchange.truncate`: what was not sent need not be
    bytes_behind = 0  # received behind the request that is open
    busy = False  # a whole request waits for its answer
    receiving = False  # a part of a request has come
    has_answered = False  # a request was answered on this connection

    @property
    def _tcp(self) -> Any:
        return self.transport

    def connectionMade(self) -> None:
        super().connectionMade()
        self.since_ms = clock.now()  # start of the present state: silent, receiving, idle or closing
        self.earliest_arrival_ms = self.since_ms - self.factory.lateness_ms()
        self.totalHeadersSize = self.factory.max_head_bytes
        self.MAX_LENGTH = self.factory.max_head_bytes
        self.factory.connection_made(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.factory.channels.pop(self, None)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:
        now = clock.now()
        if self.has_answered or now - self.since_ms > FIRST_DATA_MS:
            self.earliest_arrival_ms = now - self.factory.lateness_ms()
        if self.busy or self.discarding:
            self.bytes_behind += len(data)
        if self.bytes_behind > MAX_BYTES_BEHIND:
            self._discard_behind()
            return
        if self.discarding:
            return
        if not self.busy and not self.receiving:
            self._start_receiving()
        super().dataReceived(data)

    def _discard_behind(self) -> None:
        """Too much has come behind the open request: the connection ends with its answer, or at once."""
        self.persistent = False
        if self.bytes_behind > MAX_BODY_OVERRUN * self.factory.max_body_bytes:
            self._tcp.abortConnection()

    def _start_receiving(self) -> None:
        self.receiving = True
        if self.has_answered:  # the time for the first request runs from the connection's start
            self.since_ms = clock.now()
        self.factory.evictions.update(self)

    def refuse(self, status: bytes = b"400 Bad Request") -> None:
        """Answers a request that can't be read, and closes; nothing after it is read."""
        if not self.discarding:
            self._tcp.write(b"HTTP/1.1 " + status + b"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
            self.loseConnection()

    def loseConnection(self) -> None:
        """Ends this side, and reads and discards until the client has ended its own.

        Failure: closing a socket that holds unread bytes, such as a request that crosses the close, resets
        the connection, and an answer on its way to the client is lost.  Reading on leaves none unread.
        """
        if self.closing:
            return
        self.discarding = self.closing = True
        self.since_ms, self.bytes_behind = clock.now(), 0
        self.factory.evictions.update(self)
        self.setTimeout(CLOSE_TIMEOUT_MS / 1000)
        self._tcp.unregisterProducer()
        self._tcp.resumeProducing()
        self._tcp.loseWriteConnection()

    @property
    def answer_unsent(self) -> bool:
        """Whether this side has ended and an answer still waits for the client to read it."""
        return self.closing and not self.truncated and not self._tcp._writeDisconnected

    def timeoutConnection(self) -> None:
        if self.answer_unsent:  # a slow client would find its answer cut off
            self.setTimeout(CLOSE_TIMEOUT_MS / 1000)
        elif self.closing:
            self._tcp.abortConnection()
        else:
            super().timeoutConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:
        self.refuse()

    def lineLengthExceeded(self, line: bytes) -> None:
        self.refuse()

    def lineReceived(self, line: bytes) -> None:
        if not self.discarding:
            super().lineReceived(line)

    def headerReceived(self, line: bytes) -> bool:
        return not self.discarding and bool(super().headerReceived(line))

    def allHeadersReceived(self) -> None:
        if not self.discarding:
            super().allHeadersReceived()

    def rawDataReceived(self, data: bytes) -> None:
        if not self.discarding:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:
        if not self.discarding:
            self.busy, self.receiving = True, False
            super().allContentReceived()

    def checkPersistence(self, request: http.Request, version: bytes) -> bool:
        if self.factory.closing:
            request.responseHeaders.setRawHeaders(b"Connection", [b"close"])
            return False
        return bool(super().checkPersistence(request, version))

    def requestDone(self, request: http.Request) -> None:
        self.busy, self.has_answered = False, True
        self.since_ms, self.bytes_behind = clock.now(), 0
        self.factory.evictions.update(self)
        super().requestDone(request)

    def eviction_rank(self) -> int:
        """See `Evictable`: closing connections go first, then silent, idle and slow ones."""
        if self.closing:
            return RANK_IDLE if self.answer_unsent else RANK_CLOSING
        if self.busy:
            return RANK_IN_USE
        if self.receiving:
            return RANK_RECEIVING
        return RANK_IDLE if self.has_answered else RANK_SILENT
