"""The HTTP/1.1 client: a pool of connections to one address, and the calls on them.

The error of a failed call tells whether its request may have been executed; see `errors`.  Bytes in the
transport's buffer count as not sent.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from . import clock
from .buffer_budget import BufferBudget
from .buffered_response import BufferedResponse, ResponseCallback
from .connection import Connection, ResponseReceiver
from .errors import (
    BufferLimitError,
    CallError,
    ConnectionBrokenError,
    ConnectRefusedError,
    MalformedResponseError,
    NotSentError,
)
from .loop import Reactor
from .request_writer import Headers, encode_request
from .time_out import TimeOut

__all__ = [
    "BufferLimitError",
    "BufferedResponse",
    "Call",
    "CallError",
    "ConnectRefusedError",
    "Connection",
    "ConnectionBrokenError",
    "Headers",
    "MalformedResponseError",
    "NotSentError",
    "Pool",
    "ResponseCallback",
    "ResponseReceiver",
    "encode_request",
]

DEFAULT_MAX_CHUNK_BYTES = 2**24


class Call:
    """One request and its response; passes the response to `receiver` until the call is over.

    `on_connected` is called when the connection is established, just before the request is written.  It may
    abandon the call, or set `is_held_back`, after which only `send_held` writes the request.
    """

    def __init__(self, data: bytes, receiver: ResponseReceiver) -> None:
        self.data, self.receiver = data, receiver
        self.connection: Connection | None = None
        self.connector: Any = None
        self.on_connected: Callable[[], None] | None = None
        self.is_held_back = False
        self.over = False
        self.started_ms = clock.now()
        self._reserved: _NewConnection | None = None  # the connection of a call that is held back
        self._connect_timeout: TimeOut | None = None

    def connect(self, pool: Pool) -> None:
        """Opens a new connection for this call."""
        self._connect_timeout = TimeOut(pool.reactor, pool.connect_timeout_ms / 1000, self._connect_timed_out)
        # Not Twisted's own timeout, which a late reactor runs before it sees an established connection.
        self.connector = pool.reactor.connectTCP(pool.host, pool.port, _Connecting(pool, self), timeout=None)  # type: ignore[arg-type]

    def _connect_timed_out(self) -> None:
        self.failed(NotSentError("the connection was not established in time"))
        self.connector.disconnect()

    def connected(self, connection: _NewConnection) -> None:
        """Writes the request, holds it back, or returns the connection to the pool if the call is over."""
        self._cancel_connect_timeout()
        if not self.over and self.on_connected is not None:
            self.on_connected()
        if self.over:
            connection.return_unused()
        elif self.is_held_back:
            self._reserved = connection
        else:
            self.send_on(connection)

    def send_held(self) -> None:
        """Writes the request of a call that was held back."""
        connection, self._reserved, self.is_held_back = self._reserved, None, False
        if connection is not None and not self.over:
            self.send_on(connection)

    def send_on(self, connection: Connection) -> None:
        """Writes the request on an established connection."""
        self.connection = connection
        data, self.data = self.data, b""  # the connection keeps it until it is written
        connection.send(data, self)

    def _cancel_connect_timeout(self) -> None:
        if self._connect_timeout is not None and self._connect_timeout.active():
            self._connect_timeout.cancel()

    @property
    def is_connected(self) -> bool:
        """Whether the request has a connection: before that no byte of it can have arrived."""
        return self.connection is not None

    @property
    def written(self) -> bool:
        """Whether the request's last byte has left: from then on the remote side may execute it."""
        return self.connection is not None and self.connection.request_written

    def abandon(self) -> None:
        """Ends the call at any time, without calling its receiver."""
        if self.over:
            return
        self.over = True
        self._cancel_connect_timeout()
        if self.connection is not None:
            if self.connection.receiver is self:
                self.connection.abandon()
        elif self._reserved is not None:
            self._reserved.return_unused()
        elif self.connector is not None:
            self.connector.disconnect()

    @property
    def buffered_bytes(self) -> int:
        """See `ResponseReceiver`."""
        return 0 if self.over else self.receiver.buffered_bytes

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        """See `ResponseReceiver`."""
        if not self.over:
            self.receiver.head_received(status, headers)

    def body_received(self, data: bytes) -> None:
        """See `ResponseReceiver`."""
        if not self.over:
            self.receiver.body_received(data)

    def done(self) -> None:
        """See `ResponseReceiver`."""
        if not self.over:
            self.over = True
            self.receiver.done()

    def failed(self, error: CallError) -> None:
        """See `ResponseReceiver`."""
        if not self.over:
            self.over = True
            self._cancel_connect_timeout()
            self.receiver.failed(error)


class _Connecting(ClientFactory):
    """One attempt to connect, for one call."""

    noisy = False

    def __init__(self, pool: Pool, call: Call) -> None:
        self._pool, self._call = pool, call

    def buildProtocol(self, addr: IAddress | None) -> Connection:
        connection = _NewConnection(self._pool, self._call)
        self._pool.open[connection] = None
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        error = ConnectRefusedError if reason.check(ConnectionRefusedError) else NotSentError
        self._call.failed(error(reason.getErrorMessage()))


class _NewConnection(Connection):
    """A connection that is established for a call, its first one."""

    def __init__(self, pool: Pool, call: Call) -> None:
        super().__init__(pool)
        self._first_call: Call | None = call

    def connectionMade(self) -> None:
        super().connectionMade()
        if self._first_call is not None:
            self._first_call.connected(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        call, self._first_call = self._first_call, None
        if call is not None and call.is_held_back:  # no byte of it was written
            call.failed(NotSentError("the connection ended before the request was written"))

    def return_unused(self) -> None:
        """Returns the connection to the pool: its call was abandoned before anything was written."""
        self.pool.release(self)


class Pool:
    """Connections to one address; an idle one is closed after `keep_alive_ms`.

    The connection used last is used next, so that the others time out.  The limits may be changed at any
    time and apply from the next use on.
    """

    def __init__(
        self,
        reactor: Reactor,
        host: str,
        port: int,
        connect_timeout_ms: float,
        keep_alive_ms: float,
        max_idle: int,
        max_head_bytes: int,
        max_chunk_bytes: int = DEFAULT_MAX_CHUNK_BYTES,
        name: str = "",
        buffers: BufferBudget | None = None,
    ) -> None:
        """Sets the limits.

        Args:
            max_idle: the number of idle connections; 0 for none.
            name: the Host header; the address by default.
            buffers: limits incomplete responses; several pools may share it.  By default there is no limit.
        """
        self.reactor, self.host, self.port = reactor, host, port
        self.connect_timeout_ms, self.keep_alive_ms = connect_timeout_ms, keep_alive_ms
        self.max_idle = max_idle
        self.max_head_bytes, self.max_chunk_bytes = max_head_bytes, max_chunk_bytes
        self.on_response: Callable[[], None] | None = None  # called with the head of each response
        self.latest_answered_start_ms = 0.0  # start of the latest call that got a response
        self.name = name or f"{host}:{port}"
        self.buffers = BufferBudget() if buffers is None else buffers
        self.idle: deque[Connection] = deque()
        self.open: dict[Connection, None] = {}

    def call(
        self, method: str, path: str, receiver: ResponseReceiver, headers: Headers = (), body: bytes = b""
    ) -> Call:
        """Sends one request; its response is passed to `receiver`, but not before this returns."""
        call = Call(encode_request(method, path, self.name, headers, body), receiver)
        self.sweep()
        while self.idle:
            connection = self.idle.pop()
            if connection.has_no_unread_data():
                call.send_on(connection)
                return call
            connection.drop()
        call.connect(self)
        return call

    def sweep(self) -> None:
        """Closes connections that have been idle for `keep_alive_ms`."""
        now = clock.now()
        while self.idle and now - self.idle[0].idle_since_ms > self.keep_alive_ms:
            self.idle.popleft().drop()

    def close(self) -> None:
        """Closes the idle connections; the others finish their calls."""
        while self.idle:
            self.idle.popleft().drop()

    def response_started(self, receiver: ResponseReceiver) -> None:
        """See `ConnectionOwner`."""
        if self.on_response is not None:
            self.on_response()
        if isinstance(receiver, Call):
            self.latest_answered_start_ms = max(self.latest_answered_start_ms, receiver.started_ms)

    def release(self, connection: Connection) -> None:
        """Makes a connection idle after the reactor has read from it once more.

        Failure: an engine sends a second response right after the first; the next call takes it for its own
        response, and a client gets another client's answer.  One more read finds the data, and the connection
        is closed.
        """
        if not self.max_idle:
            return connection.drop()
        self.reactor.callLater(0, self.reactor.callLater, 0, self._make_idle, connection)

    def _make_idle(self, connection: Connection) -> None:
        if connection not in self.open:
            return
        if len(self.idle) >= self.max_idle:
            return connection.drop()
        connection.idle_since_ms = clock.now()
        self.idle.append(connection)

    def forget(self, connection: Connection) -> None:
        """See `ConnectionOwner`."""
        self.open.pop(connection, None)
        self.buffers.remove(connection)
        if connection in self.idle:
            self.idle.remove(connection)
