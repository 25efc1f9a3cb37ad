"""An HTTP/1.1 client connection (RFC 9112) as a LineReceiver, and a pool of them for one address.

A call either never left whole (`Unsent`), broke while it was out (`Broken`), or its reply made no sense
(`Malformed`): the three are told apart, since only the first proves that the other side did nothing.  What
still lies in the transport's own buffer has not left.  All is bounded: lines, the head, chunks, the body, and
the time to connect.  What comes after a reply's end closes the connection and harms no call.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from socket import MSG_PEEK
from typing import Any, Protocol, cast

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from . import clock
from .loop import Reactor, Transport
from .time_out import TimeOut

Headers = Iterable[tuple[str, str]]
CHUNK = 2**24  # bytes of one chunk, where nothing else is said
HEX = b"0123456789abcdefABCDEF"


class Trouble(Exception):
    """Why a call brought no whole reply."""


class Unsent(Trouble):
    """No connection came about, or it ended before the call's last byte was written."""


class Refused(Unsent):
    """The other side's machine answered that nobody takes connections there."""


class Broken(Trouble):
    """The connection ended while the call was out: the other side may have acted on it."""


class Malformed(Trouble):
    """The reply breaks HTTP or a bound."""


class Receiver(Protocol):
    """What takes a reply: `head`, then any number of `piece`, then `done`; or `failed` at any moment."""

    def head(self, status: int, headers: dict[str, str]) -> None: ...

    def piece(self, data: bytes) -> None: ...

    def done(self) -> None: ...

    def failed(self, trouble: Trouble) -> None: ...


def request(method: str, path: str, host: str, headers: Headers = (), body: bytes = b"") -> bytes:
    """The bytes of one request with its body."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *(f"{name}: {value}" for name, value in headers)]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n" + body


class _Sending:
    """Writes one call and notes when its last byte has left the transport's buffer."""

    def __init__(self, wire: Transport, data: bytes) -> None:
        self.wire, self.data, self.written = wire, data, False
        wire.registerProducer(self, False)

    def resumeProducing(self) -> None:
        data, self.data = self.data, b""
        if data:
            self.wire.write(data)
        else:
            self.written = True  # asked for more: the buffer is empty
            self.wire.unregisterProducer()

    def stopProducing(self) -> None:
        """The connection is lost: told by its own way."""


class Connection(LineReceiver):
    """One connection that carries one call at a time."""

    delimiter = b"\r\n"

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.MAX_LENGTH = pool.head_bound
        self.receiver: Receiver | None = None
        self.used_at = 0.0
        self.calls = 0
        self._head_size = 0
        self._sending: _Sending | None = None
        self._clear()

    @property
    def _wire(self) -> Transport:
        return cast(Transport, self.transport)

    def _clear(self) -> None:
        self._at = "status"
        self._status = 0
        self._headers: dict[str, str] = {}
        self._left = 0
        self._keep = True

    def send(self, data: bytes, receiver: Receiver) -> None:
        self._clear()
        self._head_size = 0  # of all heads, or those of 1xx could go on for ever
        self.receiver = receiver
        self.calls += 1
        self._sending = _Sending(self._wire, data)

    def connectionMade(self) -> None:
        self._wire.setTcpNoDelay(True)

    def quiet(self) -> bool:
        """Whether nothing has come that the reactor has not read yet: not its end, nor a second answer."""
        try:
            self._wire.getHandle().recv(1, MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.pool._forget(self)
        if self.receiver and self._at == "until close":
            self._finish()
        elif self.left_whole:
            self._fail(Broken("the connection ended before the reply did"))
        else:
            self._fail(Unsent("the connection ended before the call was written"))

    @property
    def left_whole(self) -> bool:
        return self._sending is not None and self._sending.written

    def _fail(self, trouble: Trouble) -> None:
        receiver, self.receiver = self.receiver, None
        self._drop()
        if receiver:
            receiver.failed(trouble)

    def _drop(self) -> None:
        self.pool._forget(self)
        if self.transport is not None:
            self._wire.abortConnection()

    def abandon(self) -> None:
        """Ends the call without a word to its receiver: the other side sees the connection close."""
        self.receiver = None
        self._drop()

    def lineLengthExceeded(self, line: bytes) -> None:
        self._fail(Malformed("a line of the head is too long"))

    def lineReceived(self, line: bytes) -> None:
        if self.receiver is None:  # after its end, or unasked for
            return self._drop()
        if not self.left_whole:
            return self._fail(Unsent("a reply came before the call was written"))
        if self._at in ("status", "headers", "trailers"):
            self._head_size += len(line)
            if self._head_size > self.pool.head_bound:
                return self._fail(Malformed("the head is too long"))
        try:
            match self._at:
                case "status":
                    self._status_line(line)
                case "headers" if line:
                    self._header(line)
                case "headers":
                    self._head_done()
                case "chunk size":
                    self._chunk_size(line)
                case "chunk end":
                    if line:
                        raise Malformed("a chunk is longer than it says")
                    self._at = "chunk size"
                case "trailers":
                    if not line:
                        self._finish()
        except Malformed as trouble:
            self._fail(trouble)

    def _status_line(self, line: bytes) -> None:
        version, _, rest = line.partition(b" ")
        if not version.startswith(b"HTTP/1.") or not rest[:3].isdigit() or rest[3:4] not in (b" ", b""):
            raise Malformed("no HTTP/1 status line")
        self._status, self._at = int(rest[:3]), "headers"
        self._keep = version != b"HTTP/1.0"

    def _header(self, line: bytes) -> None:
        name, colon, value = line.partition(b":")
        if not colon or not name or name != name.strip():
            raise Malformed("a header without a name")
        key = name.decode("latin-1").lower()
        if key in self._headers and key in ("content-length", "transfer-encoding"):
            raise Malformed(f"{key} is given twice")
        self._headers[key] = value.strip().decode("latin-1")

    def _head_done(self) -> None:
        if self._status < 200:  # 100 Continue and the like: the reply is still to come
            if self._status == 101:
                raise Malformed("an upgrade that was not asked for")
            return self._clear()
        assert self.receiver is not None
        if self.pool.on_heard is not None:
            self.pool.on_heard()
        if isinstance(self.receiver, Call):
            self.pool.answered = max(self.pool.answered, self.receiver.begun)
        headers = self._headers
        self._keep = self._keep and headers.get("connection", "").lower() != "close"
        coding, length = headers.get("transfer-encoding"), headers.get("content-length")
        if coding is not None and coding.lower() != "chunked":
            raise Malformed(f"an unknown transfer coding {coding[:40]}")
        if coding is None and length is not None and not (length.isascii() and length.isdigit()):
            raise Malformed("content-length is no number")
        bare = self._status in (204, 304)
        self._at = (
            "chunk size" if coding and not bare else "body" if length is not None or bare else "until close"
        )
        self._left = int(length or 0) if not bare and coding is None else 0
        self.receiver.head(self._status, headers)
        if self.receiver is None:  # its receiver gave the call up
            return
        if self._at == "body" and not self._left:
            self._finish()
        elif self._at != "chunk size":
            self.setRawMode()

    def _chunk_size(self, line: bytes) -> None:
        digits = line.partition(b";")[0].strip()
        if not digits or len(digits) > 8 or digits.strip(HEX):
            raise Malformed("a chunk without a size")
        self._left = int(digits, 16)
        if self._left > self.pool.chunk_bound:
            raise Malformed("a chunk is too long")
        if self._left:
            self._at = "chunk data"
            self.setRawMode()
        else:
            self._at = "trailers"

    def rawDataReceived(self, data: bytes) -> None:
        if self.receiver is None:
            return self._drop()
        if self._at == "until close":
            return self.receiver.piece(data)
        piece, rest = data[: self._left], data[self._left :]
        self._left -= len(piece)
        self.receiver.piece(piece)
        if self._left or self.receiver is None:
            return
        if self._at == "chunk data":
            self._at = "chunk end"
            self.setLineMode(rest)
        else:
            self._finish()
            if rest:
                self._drop()  # more than the reply: nothing here can be trusted
            else:
                self.setLineMode()

    def _finish(self) -> None:
        receiver, self.receiver = self.receiver, None
        if self._keep and self._at != "until close":
            self.pool._idle(self)
        else:
            self._drop()
        if receiver:
            receiver.done()


class Call:
    """A call that waits for a connection or is out; `abandon` ends it at any moment.

    `on_up` is called as its connection comes up, just before it is written: the last moment to give it up, or
    to set `held_back`, after which it is written only by `go`.
    """

    def __init__(self, data: bytes, receiver: Receiver) -> None:
        self.data, self.receiver = data, receiver
        self.connection: Connection | None = None
        self.connector: Any = None
        self.on_up: Callable[[], None] | None = None
        self.held_back = False
        self.over = False
        self.begun = clock.now()
        self._opened: _Opened | None = None  # its connection, while it is held back
        self._time_out: TimeOut | None = None  # for its connection to come up

    def connect(self, pool: Pool) -> None:
        """Opens a connection of its own."""
        self._time_out = TimeOut(pool.reactor, pool.connect_time_out / 1000, self._connect_timed_out)
        # No time-out of Twisted's own, which would be called before what has come up is read.
        self.connector = pool.reactor.connectTCP(pool.host, pool.port, _Opening(pool, self), timeout=None)  # type: ignore[arg-type]

    def _connect_timed_out(self) -> None:
        self.failed(Unsent("no connection came up in time"))
        self.connector.disconnect()

    def came_up(self, opened: _Opened) -> None:
        """Its connection is up: it is written, held back, or given up."""
        self._no_time_out()
        if not self.over and self.on_up is not None:
            self.on_up()
        if self.over:
            opened.unused()
        elif self.held_back:
            self._opened = opened
        else:
            self._write(opened)

    def go(self) -> None:
        """Writes what was held back."""
        opened, self._opened, self.held_back = self._opened, None, False
        if opened is not None and not self.over:
            self._write(opened)

    def _write(self, opened: _Opened) -> None:
        self.connection = opened
        opened.send(self.data, self)

    def _no_time_out(self) -> None:
        if self._time_out is not None and self._time_out.active():
            self._time_out.cancel()

    @property
    def up(self) -> bool:
        """Whether its connection has come up: until then nothing of it has arrived anywhere."""
        return self.connection is not None

    @property
    def written(self) -> bool:
        """Whether its last byte has left: from then on the other side may act on it."""
        return self.connection is not None and self.connection.left_whole

    def abandon(self) -> None:
        if self.over:
            return
        self.over = True
        self._no_time_out()
        if self.connection is not None:
            if self.connection.receiver is self:
                self.connection.abandon()
        elif self._opened is not None:
            self._opened.unused()
        elif self.connector is not None:
            self.connector.disconnect()

    def head(self, status: int, headers: dict[str, str]) -> None:
        if not self.over:
            self.receiver.head(status, headers)

    def piece(self, data: bytes) -> None:
        if not self.over:
            self.receiver.piece(data)

    def done(self) -> None:
        if not self.over:
            self.over = True
            self.receiver.done()

    def failed(self, trouble: Trouble) -> None:
        if not self.over:
            self.over = True
            self._no_time_out()
            self.receiver.failed(trouble)


class _Opening(ClientFactory):
    """One attempt to connect, for one call."""

    noisy = False

    def __init__(self, pool: Pool, call: Call) -> None:
        self.pool, self.call = pool, call

    def buildProtocol(self, addr: IAddress | None) -> Connection:
        connection = _Opened(self.pool, self.call)
        self.pool.open[connection] = None
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        trouble = Refused if reason.check(ConnectionRefusedError) else Unsent
        self.call.failed(trouble(reason.getErrorMessage()))


class _Opened(Connection):
    """A connection whose first call waits for it."""

    def __init__(self, pool: Pool, call: Call) -> None:
        super().__init__(pool)
        self._first: Call | None = call

    def connectionMade(self) -> None:
        super().connectionMade()
        if self._first is not None:
            self._first.came_up(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        call, self._first = self._first, None
        if call is not None and call.held_back:  # nothing of it was written
            call.failed(Unsent("the connection ended before the call was written"))

    def unused(self) -> None:
        """Its call was given up before anything was written."""
        self.pool._idle(self)


class Pool:
    """Connections to one address; an idle one is closed after `keep_alive` milliseconds.

    The newest idle connection is used first, so that the others age and are closed.
    """

    def __init__(
        self,
        reactor: Reactor,
        host: str,
        port: int,
        connect_time_out: float,
        keep_alive: float,
        most_idle: int,
        head_bound: int,
        chunk_bound: int = CHUNK,
        name: str = "",
    ) -> None:
        """`name` stands in the head in place of the address."""
        self.reactor, self.host, self.port = reactor, host, port
        self.connect_time_out, self.keep_alive = connect_time_out, keep_alive
        self.most_idle, self.head_bound, self.chunk_bound = most_idle, head_bound, chunk_bound
        self.on_heard: Callable[[], None] | None = None  # called as a reply begins
        self.answered = 0.0  # when the newest call began that brought a reply
        self.name = name or f"{host}:{port}"
        self.idle: deque[Connection] = deque()
        self.open: dict[Connection, None] = {}

    def call(
        self, method: str, path: str, receiver: Receiver, headers: Headers = (), body: bytes = b""
    ) -> Call:
        """Sends one request; its reply goes to `receiver`, never before this returns."""
        call = Call(request(method, path, self.name, headers, body), receiver)
        self.sweep()
        while self.idle and call.connection is None:
            connection = self.idle.pop()
            if connection.quiet():
                call.connection = connection
                connection.send(call.data, call)
            else:
                connection._drop()
        if call.connection is None:
            call.connect(self)
        return call

    def sweep(self) -> None:
        """Closes what has been idle for too long."""
        now = clock.now()
        while self.idle and now - self.idle[0].used_at > self.keep_alive:
            self.idle.popleft()._drop()

    def close(self) -> None:
        """Closes the idle connections; those with a call out finish it."""
        while self.idle:
            self.idle.popleft()._drop()

    def _idle(self, connection: Connection) -> None:
        """Guards against a second answer right behind the first, which the next call would take for its own:
        a connection is used again only after the reactor has read it once more."""
        if not self.most_idle:
            return connection._drop()
        self.reactor.callLater(0, self.reactor.callLater, 0, self._rested, connection)

    def _rested(self, connection: Connection) -> None:
        if connection not in self.open:
            return
        if len(self.idle) >= self.most_idle:
            return connection._drop()
        connection.used_at = clock.now()
        self.idle.append(connection)

    def _forget(self, connection: Connection) -> None:
        self.open.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)


class Whole:
    """Gathers a whole reply of at most `bound` bytes and hands it over: `on_end(status, headers, body,
    trouble)`."""

    def __init__(self, bound: int, on_end: OnEnd) -> None:
        self.bound, self.on_end = bound, on_end
        self.status, self.headers, self.body = 0, {}, bytearray()  # type: int, dict[str, str], bytearray

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status, self.headers = status, headers

    def piece(self, data: bytes) -> None:
        if len(self.body) + len(data) <= self.bound:
            self.body += data
        else:
            self.bound = -1  # too long: the rest is let by, the end says so

    def done(self) -> None:
        trouble = Malformed("the reply is too long") if self.bound < 0 else None
        self.on_end(self.status, self.headers, bytes(self.body), trouble)

    def failed(self, trouble: Trouble) -> None:
        self.on_end(self.status, self.headers, bytes(self.body), trouble)


class OnEnd(Protocol):
    def __call__(
        self, status: int, headers: dict[str, str], body: bytes, trouble: Trouble | None, /
    ) -> None: ...
