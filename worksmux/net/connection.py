"""One HTTP/1.1 client connection (RFC 9112) with one request at a time.

The lengths of lines, heads and chunks and the time to connect are limited.  Data after the end of a response
closes the connection and affects no call.
"""

from __future__ import annotations

from enum import Enum, auto
from socket import MSG_PEEK
from typing import Protocol, cast

from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from . import clock
from .buffer_budget import BufferBudget
from .errors import (
    BufferLimitError,
    CallError,
    ConnectionBrokenError,
    MalformedResponseError,
    NotSentError,
)
from .loop import Transport
from .request_writer import RequestWriter
from .response_parser import BodyEnd, add_header_line, body_framing, parse_chunk_size, parse_status_line

FIRST_FINAL_STATUS = 200  # lower ones, such as 100 Continue, precede the final response
SWITCHING_PROTOCOLS = 101


class ResponseReceiver(Protocol):
    """Receives a response: `head_received`, any number of `body_received`, then `done`; or `failed` at any
    time."""

    @property
    def buffered_bytes(self) -> int:
        """How many received bytes the receiver keeps until the response, or a part of it, is complete."""

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        """Takes the status and the headers, whose names are in lower case."""

    def body_received(self, data: bytes) -> None:
        """Takes the next bytes of the body."""

    def done(self) -> None:
        """Handles the end of a complete response."""

    def failed(self, error: CallError) -> None:
        """Handles the end of a call without a complete response."""


class ConnectionOwner(Protocol):
    """The attributes and methods of a pool that its connections use."""

    max_head_bytes: int
    max_chunk_bytes: int
    buffers: BufferBudget

    def response_started(self, receiver: ResponseReceiver) -> None:
        """Records that the head of a final response has arrived."""

    def release(self, connection: Connection) -> None:
        """Takes back a connection that has no call and may be used again."""

    def forget(self, connection: Connection) -> None:
        """Removes a connection that has ended."""


class ReadState(Enum):
    """The part of a response that the next bytes belong to."""

    STATUS_LINE = auto()
    HEADERS = auto()
    BODY = auto()
    BODY_UNTIL_CLOSE = auto()
    CHUNK_SIZE = auto()
    CHUNK_DATA = auto()
    CHUNK_END = auto()
    TRAILERS = auto()


HEAD_STATES = (ReadState.STATUS_LINE, ReadState.HEADERS, ReadState.TRAILERS)
STATE_FOR_BODY = {
    BodyEnd.CONTENT_LENGTH: ReadState.BODY,
    BodyEnd.LAST_CHUNK: ReadState.CHUNK_SIZE,
    BodyEnd.CONNECTION_CLOSE: ReadState.BODY_UNTIL_CLOSE,
}


class Connection(LineReceiver):
    """Writes a request and passes its response to the receiver as it arrives."""

    delimiter = b"\r\n"

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool = pool
        self.MAX_LENGTH = pool.max_head_bytes  # LineReceiver's limit of a line
        self.receiver: ResponseReceiver | None = None  # None: no request is in flight
        self.idle_since_ms = 0.0
        self.since_ms = 0.0  # clock time at which the request was sent
        self._head_bytes = 0
        self._writer: RequestWriter | None = None
        self._expect_response()

    @property
    def _tcp(self) -> Transport:
        return cast(Transport, self.transport)

    def _expect_response(self) -> None:
        self._state = ReadState.STATUS_LINE
        self._status = 0
        self._headers: dict[str, str] = {}
        self._bytes_left = 0
        self._persistent = True

    def send(self, data: bytes, receiver: ResponseReceiver) -> None:
        """Writes an encoded request."""
        self._expect_response()
        self._head_bytes = 0  # of all heads of a response: nothing else limits the number of 1xx heads
        self.receiver, self.since_ms = receiver, clock.now()
        self._writer = RequestWriter(self._tcp, data)

    def connectionMade(self) -> None:
        """Disables the Nagle algorithm, so that short requests are sent at once."""
        self._tcp.setTcpNoDelay(True)

    def has_no_unread_data(self) -> bool:
        """Whether the socket has no unread data and the remote side has not closed the connection."""
        try:
            self._tcp.getHandle().recv(1, MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    @property
    def request_written(self) -> bool:
        """Whether the last byte of the request has left the transport's buffer."""
        return self._writer is not None and self._writer.written

    def dataReceived(self, data: bytes) -> None:
        """Parses data, and counts what of it has to be kept."""
        super().dataReceived(data)
        if self.receiver is None:
            return self.pool.buffers.remove(self)
        self.pool.buffers.update(self, self._buffered_bytes)

    @property
    def _buffered_bytes(self) -> int:
        received = 0 if self.receiver is None else self.receiver.buffered_bytes
        return self._head_bytes + len(self._buffer) + received

    def discardable_bytes(self) -> int:
        """See `Buffering`."""
        return self._buffered_bytes

    def discard_buffered(self) -> None:
        """Fails the call, since all responses together exceed the limit of what may be kept."""
        error = BufferLimitError if self.request_written else NotSentError
        self._fail(error("the limit of buffered responses is reached"))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Ends the call: a body that ends with the connection is complete, any other is not."""
        self.pool.forget(self)
        if self.receiver and self._state is ReadState.BODY_UNTIL_CLOSE:
            self._finish()
        elif self.request_written:
            self._fail(ConnectionBrokenError("the connection ended before the response did"))
        else:
            self._fail(NotSentError("the connection ended before the request was written"))

    def _fail(self, error: CallError) -> None:
        receiver, self.receiver = self.receiver, None
        self.drop()
        if receiver:
            receiver.failed(error)

    def drop(self) -> None:
        """Closes the connection at once."""
        self.pool.forget(self)
        if self.transport is not None:
            self._tcp.abortConnection()

    def abandon(self) -> None:
        """Ends the call without calling its receiver; the remote side sees the connection close."""
        self.receiver = None
        self.drop()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Fails the call."""
        self._fail(MalformedResponseError("a line of the response is too long"))

    def lineReceived(self, line: bytes) -> None:
        """Parses a line of a head, a chunk size or a trailer."""
        if self.receiver is None:  # data after the end of the response, or without a request
            return self.drop()
        if not self.request_written:
            return self._fail(NotSentError("a response came before the request was written"))
        try:
            self._count_head_bytes(line)
            self._read_line(line)
        except MalformedResponseError as error:
            self._fail(error)

    def _count_head_bytes(self, line: bytes) -> None:
        if self._state not in HEAD_STATES:
            return
        self._head_bytes += len(line)
        if self._head_bytes > self.pool.max_head_bytes:
            raise MalformedResponseError(f"the response head is longer than {self.pool.max_head_bytes} bytes")

    def _read_line(self, line: bytes) -> None:
        match self._state:
            case ReadState.STATUS_LINE:
                self._read_status_line(line)
            case ReadState.HEADERS if line:
                add_header_line(self._headers, line)
            case ReadState.HEADERS:
                self._end_head()
            case ReadState.CHUNK_SIZE:
                self._start_chunk(line)
            case ReadState.CHUNK_END:
                if line:
                    raise MalformedResponseError("a chunk is longer than its size line says")
                self._state = ReadState.CHUNK_SIZE
            case ReadState.TRAILERS:
                if not line:
                    self._finish()

    def _read_status_line(self, line: bytes) -> None:
        parsed = parse_status_line(line)
        self._status = parsed.status
        self._persistent = parsed.persistent
        self._state = ReadState.HEADERS

    def _end_head(self) -> None:
        if self._status < FIRST_FINAL_STATUS:
            if self._status == SWITCHING_PROTOCOLS:
                raise MalformedResponseError(
                    f"unexpected status {SWITCHING_PROTOCOLS}: no upgrade was requested"
                )
            return self._expect_response()
        assert self.receiver is not None
        self.pool.response_started(self.receiver)
        if self._headers.get("connection", "").lower() == "close":
            self._persistent = False
        framing = body_framing(self._status, self._headers)
        self._state = STATE_FOR_BODY[framing.end]
        self._bytes_left = framing.length
        self.receiver.head_received(self._status, self._headers)
        if self.receiver is None:  # the receiver abandoned the call
            return
        if self._state is ReadState.BODY and not self._bytes_left:
            self._finish()
        elif self._state is not ReadState.CHUNK_SIZE:
            self.setRawMode()

    def _start_chunk(self, line: bytes) -> None:
        self._bytes_left = parse_chunk_size(line)
        if self._bytes_left > self.pool.max_chunk_bytes:
            raise MalformedResponseError(
                f"a chunk of {self._bytes_left} bytes exceeds the limit of {self.pool.max_chunk_bytes}"
            )
        if self._bytes_left:
            self._state = ReadState.CHUNK_DATA
            self.setRawMode()
        else:
            self._state = ReadState.TRAILERS

    def rawDataReceived(self, data: bytes) -> None:
        """Passes body data to the receiver until the body or the chunk ends."""
        if self.receiver is None:
            return self.drop()
        if self._state is ReadState.BODY_UNTIL_CLOSE:
            return self.receiver.body_received(data)
        piece, rest = data[: self._bytes_left], data[self._bytes_left :]
        self._bytes_left -= len(piece)
        self.receiver.body_received(piece)
        if self._bytes_left or self.receiver is None:
            return
        if self._state is ReadState.CHUNK_DATA:
            self._state = ReadState.CHUNK_END
            self.setLineMode(rest)
            return
        self._finish()
        if rest:
            self.drop()  # more than the response: no later response on this connection could be trusted
        else:
            self.setLineMode()

    def _finish(self) -> None:
        receiver, self.receiver = self.receiver, None
        if self._persistent and self._state is not ReadState.BODY_UNTIL_CLOSE:
            self.pool.release(self)
        else:
            self.drop()
        if receiver:
            receiver.done()
