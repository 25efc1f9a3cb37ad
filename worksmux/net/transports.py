"""TCP transports that survive system calls which fail for a moment, and take turns where reads are costly.

Failure: the kernel lacks memory or buffers for a moment, and `recv` or `send` reports it. Twisted takes any
error but EWOULDBLOCK for the end of the connection, and a sound stream is cut. recv(2) and send(2) name the
errors after which the connection is as it was.
"""

from __future__ import annotations

import errno
import fcntl
import sys
import termios
from typing import Any
from weakref import WeakKeyDictionary

import structlog
from twisted.internet import main, tcp

from . import clock
from .work_queue import WorkQueue

LOG = structlog.get_logger()
TRANSIENT_ERRNOS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
SIZE_OF_INT = 4
LOGGED_READ_MS = 50.0  # a longer handling of one read has a log line
MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES = 2**10, 2**14, 2**16
COSTLY_READ_MS = 2.0  # of handling, after which the next read is smaller and waits for its turn
CHEAP_READ_MS = 1.0  # of handling, up to which the next read may be larger
RETRY_DELAY_S = 0.005  # after a failed read, so that a lasting failure does not keep the reactor busy


def unacknowledged_bytes(transport: Any) -> int:
    """Returns how many written bytes the remote machine has not acknowledged; 0 where that is not known."""
    try:
        answer = fcntl.ioctl(transport.getHandle().fileno(), termios.TIOCOUTQ, bytes(SIZE_OF_INT))
    except (AttributeError, OSError, ValueError):  # closed, or not a socket of the kernel
        return 0
    return int.from_bytes(answer, sys.byteorder)


_read_queues: WeakKeyDictionary[Any, WorkQueue] = WeakKeyDictionary()


def read_queue(reactor: Any) -> WorkQueue:
    """Returns the queue of the connections of a reactor whose reads are costly."""
    if reactor not in _read_queues:
        _read_queues[reactor] = WorkQueue(reactor)
    return _read_queues[reactor]


class _RetryingTransport(tcp.Connection):
    """Reads and writes again after a transient error.

    Failure: hundreds of connections bring at once what takes long to handle, such as chunks of a byte each.
    All of it is handled before anything else is read or written.  A connection whose read was costly reads
    less at a time, and waits in a queue of which some milliseconds are done in each iteration; the other
    connections are read in every iteration.
    """

    _is_paused = False  # by a consumer, through `pauseProducing`
    _is_queued = False  # the next read waits for its turn
    _read_bytes = FIRST_READ_BYTES

    def doRead(self) -> Any:
        """Reads what has arrived; after a transient error the read is repeated a little later."""
        try:
            data = self.socket.recv(self._read_bytes)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS:
                return main.CONNECTION_LOST
            if error.errno not in (errno.EAGAIN, errno.EWOULDBLOCK):
                self._read_later()
            return None
        return self._handle(data)

    def _handle(self, data: bytes) -> Any:
        """Passes data to the protocol, and logs when that takes long: nothing else is read meanwhile."""
        started_ms = clock.now()
        result = self._dataReceived(data)
        duration_ms = clock.now() - started_ms
        self._set_pace(len(data), duration_ms)
        if duration_ms > LOGGED_READ_MS:
            LOG.warning(
                "slow read",
                protocol=type(self.protocol).__name__,
                peer=str(self.getPeer()),
                bytes=len(data),
                duration_ms=round(duration_ms, 1),
            )
        return result

    def _set_pace(self, size: int, duration_ms: float) -> None:
        """Sets how much is read next, and when, by what the handling of a read of `size` bytes took."""
        if duration_ms <= CHEAP_READ_MS and size == self._read_bytes:
            self._read_bytes = min(MAX_READ_BYTES, 2 * self._read_bytes)
        if duration_ms <= COSTLY_READ_MS or size < MIN_READ_BYTES:  # a short read is costly for other reasons
            return
        self._read_bytes = max(MIN_READ_BYTES, self._read_bytes // 2)
        if self.connected and not self.disconnecting and not self._is_paused and not self._is_queued:
            self._is_queued = True
            self.stopReading()
            read_queue(self.reactor).add(self._take_turn, duration_ms / 2)

    def _take_turn(self) -> None:
        self._is_queued = False
        self._read_again()

    def _read_later(self) -> None:
        self.stopReading()
        self.reactor.callLater(RETRY_DELAY_S, self._read_again)

    def _read_again(self) -> None:
        if self.connected and not self.disconnecting and not self._is_paused and not self._is_queued:
            self.startReading()

    def writeSomeData(self, data: bytes) -> Any:
        """Writes some data and returns how much; 0 after a transient error."""
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as error:
            return 0 if error.errno in TRANSIENT_ERRNOS else main.CONNECTION_LOST

    def pauseProducing(self) -> None:
        """Stops reading until `resumeProducing`."""
        self._is_paused = True
        super().pauseProducing()

    def resumeProducing(self) -> None:
        """Reads again, but not before the connection's turn."""
        self._is_paused = False
        if not self._is_queued:
            super().resumeProducing()


class ServerTransport(_RetryingTransport, tcp.Server):
    """An accepted connection."""


class ClientTransport(_RetryingTransport, tcp.Client):
    """A connection that this process opens."""


class TcpConnector(tcp.Connector):
    """Opens connections of the type `ClientTransport`."""

    def _makeTransport(self) -> ClientTransport:
        return ClientTransport(self.host, self.port, self.bindAddress, self, self.reactor)


def connect(reactor: Any, host: str, port: int, factory: Any, timeout: Any = 30) -> TcpConnector:
    """Opens a connection, as the reactor's `connectTCP` does."""
    connector = TcpConnector(host, port, factory, timeout, None, reactor)
    connector.connect()
    return connector
