"""The server side of a client's connection: Twisted's HTTPChannel with limits, closed without loss of an
answer."""

from __future__ import annotations

import math
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web import http

from . import clock
from .exchange import MAX_BODY_OVERRUN
from .processing_cost import ProcessingCost
from .transports import NextByte, ServerTransport, peek, unacknowledged_bytes
from .work_queue import Work

MAX_HEADERS = 100  # fields of a head, and fields of the trailers behind a body in chunks
MAX_HEADER_NAME_BYTES = 128  # Twisted keeps the names that it has seen
MAX_PIPELINED_BYTES = 2**16  # received after a request that waits for its answer
FIRST_DATA_MS = 20.0  # data read so soon after the start of a connection may have arrived with it
MAX_UNSENT_MS = 30_000.0  # after this side is closed, for a client to take the rest of its answer
CLOSE_TIMEOUT_MS = 1000.0  # for a client to close its side after the server has closed its own

BUFFER_LIMIT_BODY = (
    b'{"error":{"message":"too much request data is buffered: this request had no effect, try again later",'
    b'"type":"server_error","param":null,"code":"buffer_limit"}}'
)

FIELD_LIMIT_BODY = (
    b'{"error":{"message":"the request has too many trailer fields, or a field with too long a name",'
    b'"type":"invalid_request_error","param":null,"code":"field_limit"}}'
)

# Eviction ranks: the highest is closed first.
RANK_IN_USE = 0
RANK_RECEIVING = 1
RANK_IDLE = 2
RANK_SILENT = 3
RANK_CLOSING = 4


class Channel(http.HTTPChannel):
    """One connection.  The limit of a request's head is on the sum of its lines.

    Failure: after an error in a head, Twisted's channel continues to parse the received data, and takes the
    rest for the end of a valid request.  `discarding` is set with the error response, and each method
    that Twisted calls with data checks it.
    """

    maxHeaders = MAX_HEADERS
    # Failure: Twisted stops reading from a client that has sent this much after its request, so the close of
    # the connection is never seen.  `MAX_PIPELINED_BYTES` limits the memory instead.
    _optimisticEagerReadSize = 2**30

    discarding = False  # rejected or closed: data that still arrives is discarded
    closing = False  # this side is closed
    truncated = False  # closed by `Exchange.truncate`: unsent data may be discarded
    pipelined_bytes = 0  # received after the open request
    buffered_bytes = 0  # received of requests that are not answered yet
    busy = False  # a complete request waits for its answer
    receiving = False  # a part of a request has arrived, or requests that wait to be parsed
    # Of requests that wait to be parsed; `paused` is set as long as they wait.
    _parse_scheduled: Work | None = None
    has_answered = False  # a request was answered on this connection
    _paused_at_ms = math.inf  # clock time from which on the connection is not read
    _unread_since_ms = math.inf  # clock time from which on the next read's data may have been unread

    @property
    def _tcp(self) -> Any:
        return self.transport

    def connectionMade(self) -> None:
        """Sets the limits of the connection and registers it with the server."""
        super().connectionMade()
        self.since_ms = clock.now()  # start of the current state: silent, receiving, idle or closing
        self.earliest_arrival_ms = self.since_ms - self.factory.lateness_ms()
        self.cost = ProcessingCost()
        if isinstance(self._tcp, ServerTransport):
            self.cost = self._tcp.cost
            self.earliest_arrival_ms = min(self.earliest_arrival_ms, self._tcp.accept_wait_since_ms)
        self.totalHeadersSize = self.factory.max_head_bytes
        self.MAX_LENGTH = self.factory.max_head_bytes
        self.factory.connection_made(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Removes the connection from the server."""
        self.factory.channels.pop(self, None)
        self.factory.buffers.remove(self)
        if self._parse_scheduled is not None:
            self.factory.work_queue.cancel(self._parse_scheduled)
        super().connectionLost(reason)
        self._free_parser()

    def dataReceived(self, data: bytes) -> None:
        """Passes data to Twisted, unless the connection is closing or the client pipelines too much."""
        if self.paused:  # Twisted passes on what it has read behind the last request
            self._set_buffered_bytes(self.buffered_bytes + len(data))
            super().dataReceived(data)
            return
        now = clock.now()
        self._receive(data, now)
        self.factory.data_read(len(data), clock.now() - now)

    def _receive(self, data: bytes, now: float) -> None:
        earliest_ms = self._earliest_arrival_ms(now)
        if self.has_answered or earliest_ms - self.since_ms > FIRST_DATA_MS:
            self.earliest_arrival_ms = earliest_ms
        if self.busy or self.discarding:
            self.pipelined_bytes += len(data)
        if self.pipelined_bytes > MAX_PIPELINED_BYTES:
            self._limit_pipelining()
            return
        if self.discarding or not self.persistent and self.busy:
            return
        if not self.busy and not self.receiving:
            self._start_receiving()
        self._set_buffered_bytes(self.buffered_bytes + len(data))
        if not self.discarding:
            super().dataReceived(data)

    def _earliest_arrival_ms(self, now: float) -> float:
        """Returns since when the data that is read at `now` may have been in the socket."""
        earliest_ms: float = min(now - self.factory.lateness_ms(), self._unread_since_ms)
        self._unread_since_ms = math.inf
        if isinstance(self._tcp, ServerTransport):
            earliest_ms = min(earliest_ms, self._tcp.unread_since_ms)
        return earliest_ms

    def buffered_data_freed(self, freed_bytes: int) -> None:
        """Counts received data that is not kept, such as the rest of a body that is too long."""
        self._set_buffered_bytes(max(0, self.buffered_bytes - freed_bytes))

    def _set_buffered_bytes(self, buffered_bytes: int) -> None:
        self.buffered_bytes = buffered_bytes
        self.factory.buffers.update(self, buffered_bytes)

    def discardable_bytes(self) -> int:
        """See `Buffering`: an incomplete request, or what was pipelined after the open one."""
        return min(self.pipelined_bytes, self.buffered_bytes) if self.busy else self.buffered_bytes

    def discard_buffered(self) -> None:
        """Refuses an incomplete request; after an open one, pipelined data is dropped and the connection
        closes with the answer.
        """
        self.factory.closes["buffer limit"] += 1
        if not self.busy:
            return self.refuse(b"503 Service Unavailable", BUFFER_LIMIT_BODY)
        self.persistent = False
        self._dataBuffer: list[bytes] = []
        self._set_buffered_bytes(self.buffered_bytes - self.discardable_bytes())
        self.pipelined_bytes = 0

    def _limit_pipelining(self) -> None:
        """Closes the connection after the answer, or at once if the client pipelines far too much."""
        self.persistent = False
        if self.pipelined_bytes > MAX_BODY_OVERRUN * self.factory.max_body_bytes:
            self._tcp.abortConnection()

    def _start_receiving(self) -> None:
        """Marks the connection as receiving when the first data of a request has arrived."""
        self.receiving = True
        if self.has_answered:  # the first request's time limit runs from the start of the connection
            self.since_ms = clock.now()
        self.factory.evictions.update(self)

    def refuse(self, status: bytes = b"400 Bad Request", body: bytes = b"") -> None:
        """Answers a request that is not read to its end, and closes; nothing after it is parsed."""
        if self.discarding:
            return
        content_type = b"Content-Type: application/json\r\n" if body else b""
        head = b"HTTP/1.1 %s\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n"
        self._tcp.write(head % (status, content_type, len(body)) + body)
        self.loseConnection()

    def loseConnection(self) -> None:
        """Closes this side, and reads and discards data until the client has closed its own.

        Failure: closing a socket with unread data, such as a request that was sent before the client saw the
        close, resets the connection, and an answer on its way to the client is lost.  Reading on leaves no
        data unread.
        """
        if self.closing:
            return
        self.discarding = self.closing = True
        self.since_ms, self.pipelined_bytes = clock.now(), 0
        self._free_buffers()
        self.factory.evictions.update(self)
        self.setTimeout(CLOSE_TIMEOUT_MS / 1000)
        self._tcp.unregisterProducer()
        self._tcp.resumeProducing()
        self._take_turns(False)
        self._tcp.loseWriteConnection()

    def _free_buffers(self) -> None:
        """Frees what was received and will not be parsed: the connection may stay open for seconds."""
        self.paused = False
        self._free_parser()
        self._set_buffered_bytes(0)

    def _take_turns(self, takes_turns: bool) -> None:
        if isinstance(self._tcp, ServerTransport):
            self._tcp.take_turns(takes_turns)

    def _free_parser(self) -> None:
        """Frees what Twisted keeps of a request.

        Failure: a closed connection is a cycle of objects that waits for the garbage collector, for seconds
        in which thousands of others are closed.
        """
        self._buffer, self._dataBuffer, self._transferDecoder = b"", [], None
        for request in self.requests:
            request.free_body()

    @property
    def answer_unsent(self) -> bool:
        """Whether this side is closed and a part of an answer has not reached the client's machine.

        Failure: the client reads slowly, and what waits for it in the kernel is lost when the connection is
        aborted.  A client that reads nothing for `MAX_UNSENT_MS` loses it all the same.
        """
        if not self.closing or self.truncated or clock.now() - self.since_ms > MAX_UNSENT_MS:
            return False
        return not self._tcp._writeDisconnected or unacknowledged_bytes(self._tcp) > 0

    def timeoutConnection(self) -> None:
        """Aborts a connection whose client does not close its side, unless an answer is unsent."""
        if self.answer_unsent:  # a slow client would get a truncated answer
            self.setTimeout(CLOSE_TIMEOUT_MS / 1000)
        elif self.closing:
            self._tcp.abortConnection()
        else:
            super().timeoutConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:
        self.refuse()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Rejects a request with a line that is too long."""
        self.refuse()

    def lineReceived(self, line: bytes) -> None:
        """Ignores lines after an error."""
        if not self.discarding:
            super().lineReceived(line)

    def headerReceived(self, line: bytes) -> bool:
        """Ignores headers after an error, and refuses a field with a name that is too long.

        Failure: Twisted keeps up to 10,000 names of fields.  A client that sends ever new ones, each as long
        as a head may be, takes hundreds of megabytes.
        """
        if self.discarding:
            return False
        if len(line.partition(b":")[0]) > MAX_HEADER_NAME_BYTES:
            self._refuse_fields()
            return False
        return bool(super().headerReceived(line))

    def _refuse_fields(self) -> None:
        self.factory.count_refusal("field limit")
        self.refuse(b"431 Request Header Fields Too Large", FIELD_LIMIT_BODY)

    def allHeadersReceived(self) -> None:
        """Ignores the end of a head after an error."""
        if not self.discarding:
            super().allHeadersReceived()

    def rawDataReceived(self, data: bytes) -> None:
        """Ignores body data after an error, and refuses a body with too many trailer fields.

        Failure: Twisted keeps 64 KiB of trailers, each line of a few bytes as an object of many times its
        size, and a connection of hundreds takes a megabyte.
        """
        if self.discarding:
            return
        super().rawDataReceived(data)
        if len(getattr(self._transferDecoder, "_trailerHeaders", ())) > MAX_HEADERS:
            self._refuse_fields()

    def allContentReceived(self) -> None:
        """Marks the request as complete."""
        if not self.discarding:
            self.busy, self.receiving = True, False
            self._take_turns(False)  # what follows is only kept, and the close of the client is seen soon
            super().allContentReceived()

    def checkPersistence(self, request: http.Request, version: bytes) -> bool:
        """Ends keep-alive while the server is closing."""
        if self.factory.closing:
            request.responseHeaders.setRawHeaders(b"Connection", [b"close"])
            return False
        return bool(super().checkPersistence(request, version))

    def requestDone(self, request: http.Request) -> None:
        """Marks the request as answered; what was pipelined behind it is parsed in a later iteration.

        Failure: hundreds of connections bring hundreds of requests each, all of which are answered at once,
        and nothing else is read or written for seconds.  `WorkQueue` parses one request of a connection at a
        time.  Meanwhile the connection is not read, so no more than one read waits.  Nor is it read while
        its client takes no answers, which would be buffered here without a limit.
        """
        self.busy, self.has_answered = False, True
        self._take_turns(True)
        self.since_ms, self.pipelined_bytes = clock.now(), 0
        self._set_buffered_bytes(len(self._buffer))  # Twisted passes other pipelined data in once more
        # Behind a body Twisted keeps what follows as a piece of its own, which may be empty.
        self.receiving = bool(self._buffer) or any(self._dataBuffer)
        self.paused = self.receiving or self._waitingForTransport
        self.factory.evictions.update(self)
        super().requestDone(request)
        if self.paused and not self.closing:
            self._pause()

    def _pause(self) -> None:
        """Stops reading until the pipelined requests have been parsed."""
        now = clock.now()
        self._paused_at_ms = min(self._paused_at_ms, now)
        self._tcp.pauseProducing()
        if self._parse_scheduled is None:
            self._parse_scheduled = self.factory.work_queue.add(self._parse_next, self.cost.excess_ms(now))

    def _parse_next(self) -> None:
        """Parses the next pipelined request, unless the client does not take the answers to earlier ones."""
        self._parse_scheduled = None
        if self.closing or self not in self.factory.channels or self._waitingForTransport:
            return
        self.paused = False
        started_ms = clock.now()
        super().dataReceived(b"")
        now = clock.now()
        self.cost.add(now - started_ms, now)
        if self.paused or self.closing:
            return
        if not self.busy:
            self.receiving = bool(self._buffer or self.requests)
            self.factory.evictions.update(self)
        self._resume()

    def _resume(self) -> None:
        """Reads again; what has arrived in the meantime may be as old as the pause."""
        if isinstance(self._tcp, ServerTransport) and peek(self._tcp) is NextByte.DATA:
            self._unread_since_ms = self._paused_at_ms
        self._paused_at_ms = math.inf
        self._tcp.resumeProducing()

    def resumeProducing(self) -> None:
        """Continues after the client has taken what was written."""
        super().resumeProducing()
        if self.paused and not self.closing:
            self._pause()

    def eviction_rank(self) -> int:
        """See `Evictable`: closing connections are evicted first, then silent, idle and receiving ones.

        A connection with an unsent answer counts as receiving.
        """
        if self.closing:
            return RANK_IDLE if self.answer_unsent else RANK_CLOSING
        if self.busy:
            return RANK_IN_USE
        if self.receiving or self.has_answered and self._has_unsent_data:
            return RANK_RECEIVING
        return RANK_IDLE if self.has_answered else RANK_SILENT

    @property
    def _has_unsent_data(self) -> bool:
        """Whether a part of an answer has not reached the client's machine.

        Failure: a connection is evicted as idle right after its answer has ended, and the end of the answer,
        which the reactor would have sent in its next iteration, is lost.
        """
        waits_here = getattr(self._tcp, "dataBuffer", b"") or getattr(self._tcp, "_tempDataBuffer", [])
        return bool(waits_here) or unacknowledged_bytes(self._tcp) > 0
