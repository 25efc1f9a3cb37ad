"""One HTTP/1.1 client connection (RFC 9112) that carries one request at a time.

Lines, the head, chunks and the time in which a connection comes up are bounded.  Bytes after the end of a
response close the connection and harm no call.
"""

from __future__ import annotations

from enum import Enum, auto
from socket import MSG_PEEK
from typing import Protocol, cast

from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from .errors import CallError, ConnectionBrokenError, MalformedResponseError, NotSentError
from .loop import Transport
from .request_writer import RequestWriter
from .response_parser import BodyEnd, add_header_line, body_framing, parse_chunk_size, parse_status_line

FIRST_FINAL_STATUS = 200  # below it: 100 Continue and the like, and the response is still to come
SWITCHING_PROTOCOLS = 101


class ResponseReceiver(Protocol):
    """Takes a response: `head`, then any number of `piece`, then `done`; or `failed` at any moment."""

    def head_received(self, status: int, headers: dict[str, str]) -> None: ...

    def body_received(self, data: bytes) -> None: ...

    def done(self) -> None: ...

    def failed(self, trouble: CallError) -> None: ...


class ConnectionOwner(Protocol):
    """What a connection asks of the pool that it belongs to."""

    max_head_bytes: int
    max_chunk_bytes: int

    def response_started(self, receiver: ResponseReceiver) -> None:
        """The head of a final response has come."""

    def release(self, connection: Connection) -> None:
        """The connection carries no call and may be used again."""

    def forget(self, connection: Connection) -> None:
        """The connection ends."""


class ReadState(Enum):
    """What the next bytes are read as."""

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
    """Writes a request and hands its response, piece by piece, to the request's receiver."""

    delimiter = b"\r\n"

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool = pool
        self.MAX_LENGTH = pool.max_head_bytes  # LineReceiver's bound of a line
        self.receiver: ResponseReceiver | None = None  # None: no request is out
        self.idle_since_ms = 0.0
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
        self._head_bytes = 0  # of all heads of the response: those of 1xx could go on without end
        self.receiver = receiver
        self._writer = RequestWriter(self._tcp, data)

    def connectionMade(self) -> None:
        self._tcp.setTcpNoDelay(True)

    def is_quiet(self) -> bool:
        """Whether the socket holds nothing that the reactor has not read yet: no close, no stray response."""
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

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.pool.forget(self)
        if self.receiver and self._state is ReadState.BODY_UNTIL_CLOSE:
            self._finish()
        elif self.request_written:
            self._fail(ConnectionBrokenError("the connection ended before the reply did"))
        else:
            self._fail(NotSentError("the connection ended before the call was written"))

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
        """Ends the call without a word to its receiver: the remote side sees the connection close."""
        self.receiver = None
        self.drop()

    def lineLengthExceeded(self, line: bytes) -> None:
        self._fail(MalformedResponseError("a line of the head is too long"))

    def lineReceived(self, line: bytes) -> None:
        if self.receiver is None:  # bytes after the response's end, or without a request
            return self.drop()
        if not self.request_written:
            return self._fail(NotSentError("a reply came before the call was written"))
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
            raise MalformedResponseError("the head is too long")

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
                    raise MalformedResponseError("a chunk is longer than it says")
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
                raise MalformedResponseError("an upgrade that was not asked for")
            return self._expect_response()
        assert self.receiver is not None
        self.pool.response_started(self.receiver)
        if self._headers.get("connection", "").lower() == "close":
            self._persistent = False
        framing = body_framing(self._status, self._headers)
        self._state = STATE_FOR_BODY[framing.end]
        self._bytes_left = framing.length
        self.receiver.head_received(self._status, self._headers)
        if self.receiver is None:  # it abandoned the call
            return
        if self._state is ReadState.BODY and not self._bytes_left:
            self._finish()
        elif self._state is not ReadState.CHUNK_SIZE:
            self.setRawMode()

    def _start_chunk(self, line: bytes) -> None:
        self._bytes_left = parse_chunk_size(line)
        if self._bytes_left > self.pool.max_chunk_bytes:
            raise MalformedResponseError("a chunk is too long")
        if self._bytes_left:
            self._state = ReadState.CHUNK_DATA
            self.setRawMode()
        else:
            self._state = ReadState.TRAILERS

    def rawDataReceived(self, data: bytes) -> None:
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
            self.drop()  # more than the response: no later response here could be trusted
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
