"""TCP transports that survive system calls which fail for a moment, and take turns where reads are costly.

Failure: the kernel lacks memory or buffers for a moment, and `recv` or `send` reports it. Twisted takes any
error but EWOULDBLOCK for the end of the connection, and a sound stream is cut. recv(2) and send(2) name the
errors after which the connection is as it was.
"""

from __future__ import annotations

import errno
import fcntl
import math
import select
import sys
import termios
from enum import Enum, auto
from functools import cached_property
from socket import MSG_PEEK
from typing import Any, NamedTuple
from weakref import WeakKeyDictionary

import structlog
from twisted.internet import main, tcp
from twisted.python.failure import Failure

from . import clock
from .processing_cost import ProcessingCost
from .work_queue import Work, WorkQueue

LOG = structlog.get_logger()
TRANSIENT_ERRNOS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
SIZE_OF_INT = 4
LOGGED_READ_MS = 50.0  # a longer handling of one read has a log line
MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES = 2**10, 2**11, 2**16
COSTLY_READ_MS = 2.0  # of handling, after which the next read is smaller
CHEAP_READ_MS = 1.0  # of handling, up to which the next read follows at once and may be larger
RETRY_DELAY_S = 0.005  # after a failed read, so that a lasting failure does not keep the reactor busy


def unacknowledged_bytes(transport: Any) -> int:
    """Returns how many written bytes the remote machine has not acknowledged; 0 where that is not known."""
    try:
        answer = fcntl.ioctl(transport.getHandle().fileno(), termios.TIOCOUTQ, bytes(SIZE_OF_INT))
    except (AttributeError, OSError, ValueError):  # closed, or not a socket of the kernel
        return 0
    return int.from_bytes(answer, sys.byteorder)


class NextByte(Enum):
    """What the next read of a connection would find."""

    NOTHING = auto()
    DATA = auto()
    END = auto()  # the peer has closed its side, or the connection is broken


def peek(transport: Any) -> NextByte:
    """Looks at what has arrived on a connection without reading it."""
    try:
        data = transport.getHandle().recv(1, MSG_PEEK)
    except BlockingIOError:
        return NextByte.NOTHING
    except OSError as error:
        return NextByte.NOTHING if error.errno in TRANSIENT_ERRNOS else NextByte.END
    return NextByte.DATA if data else NextByte.END


def peer_has_closed(transport: Any) -> bool:
    """Whether the peer has closed its side, also behind data that is not read yet; False if not known."""
    poller = select.poll()
    try:
        poller.register(transport.getHandle().fileno(), select.POLLRDHUP)
        return any(events & CLOSED_EVENTS for _, events in poller.poll(0))
    except (AttributeError, OSError, ValueError):  # closed, or not a socket of the kernel
        return False


class ReadQueues(NamedTuple):
    """The queues of a reactor's connections, whose reads take turns when there is too much to read."""

    accepted: WorkQueue  # connections that peers have opened
    opened: WorkQueue  # connections that this process has opened


_read_queues: WeakKeyDictionary[Any, ReadQueues] = WeakKeyDictionary()


def read_queues(reactor: Any) -> ReadQueues:
    """Returns the queues of a reactor."""
    if reactor not in _read_queues:
        _read_queues[reactor] = ReadQueues(WorkQueue(reactor), WorkQueue(reactor))
    return _read_queues[reactor]


class _RetryingTransport(tcp.Connection):
    """Reads and writes again after a transient error, and takes turns with others of its kind.

    Failure: hundreds of connections, new ones among them, bring at once what takes long to handle, such as
    chunks of a byte each.  All of it is handled before anything else is read or written.  In an iteration
    some milliseconds are spent on reads; further connections wait in a queue, in which those that have caused
    the least processing time come first.  A first read is small, as its cost is not known.
    """

    _is_paused = False  # by a consumer, through `pauseProducing`
    _turn: Work | None = None  # for which the next read waits
    _takes_turns = True
    _read_bytes = FIRST_READ_BYTES
    unread_since_ms = math.inf  # clock time from which on the data that is read now may have been unread

    @cached_property
    def cost(self) -> ProcessingCost:
        """The processing time that the connection's data has caused."""
        return ProcessingCost()

    def _read_queue(self) -> WorkQueue:
        raise NotImplementedError

    def doRead(self) -> Any:
        """Reads what has arrived, or waits for a turn if the reads of this iteration took long already."""
        queue = self._read_queue()
        if not self._takes_turns or queue.has_time():
            return self._read_available()
        now = clock.now()
        self.unread_since_ms = now
        self.stopReading()
        self._turn = queue.add(self._take_turn, self.cost.excess_ms(now))
        return None

    def _read_available(self) -> Any:
        """Reads what may be read at once, all of which may have waited since `unread_since_ms`."""
        try:
            return self._read_while_cheap()
        finally:
            self.unread_since_ms = math.inf

    def _read_while_cheap(self) -> Any:
        """Reads until the socket is empty or a read was not cheap; one that fails is repeated later."""
        bytes_left = MAX_READ_BYTES
        while True:
            size = min(self._read_bytes, bytes_left)
            try:
                data = self.socket.recv(size)
            except OSError as error:
                if error.errno not in TRANSIENT_ERRNOS:
                    return main.CONNECTION_LOST
                if error.errno not in (errno.EAGAIN, errno.EWOULDBLOCK):
                    self._read_later()
                return None
            bytes_left -= len(data)
            result, duration_ms = self._handle(data)
            has_more = len(data) == size and bytes_left > 0
            if result is not None or not has_more or duration_ms > CHEAP_READ_MS or not self._may_read():
                return result

    def _may_read(self) -> bool:
        is_open = self.connected and not self.disconnecting and not self._aborting
        return bool(is_open and not self._is_paused and self._turn is None)

    def _handle(self, data: bytes) -> tuple[Any, float]:
        """Passes data to the protocol; returns Twisted's result and the duration in milliseconds.

        A long one is logged, as nothing else is read meanwhile.
        """
        started_ms = clock.now()
        result = self._dataReceived(data)
        now = clock.now()
        duration_ms = now - started_ms
        self.cost.add(duration_ms, now)
        if self._takes_turns:
            self._read_queue().spend(duration_ms)
        self._set_read_size(len(data), duration_ms)
        if duration_ms > LOGGED_READ_MS:
            LOG.warning(
                "slow read",
                protocol=type(self.protocol).__name__,
                peer=str(self.getPeer()),
                bytes=len(data),
                duration_ms=round(duration_ms, 1),
            )
        return result, duration_ms

    def _set_read_size(self, size: int, duration_ms: float) -> None:
        """Sets how much is read next by what the handling of a read of `size` bytes took."""
        if duration_ms <= CHEAP_READ_MS and size == self._read_bytes:
            self._read_bytes = min(MAX_READ_BYTES, 2 * self._read_bytes)
        elif duration_ms > COSTLY_READ_MS and size >= MIN_READ_BYTES:  # short ones are costly by other causes
            self._read_bytes = max(MIN_READ_BYTES, self._read_bytes // 2)

    def _take_turn(self) -> None:
        """Reads at once: in the reactor's order the connection might have to wait again."""
        self._turn = None
        self._read_again()
        if not self._may_read():
            self.unread_since_ms = math.inf
            return
        try:
            result = self._read_available()
        except Exception as error:  # as the reactor does: the connection ends, and the others go on
            LOG.exception("handling of received data failed", protocol=type(self.protocol).__name__)
            result = error
        if result is not None:
            self.reactor._disconnectSelectable(self, result, True)

    def take_turns(self, takes_turns: bool) -> None:
        """Sets whether reads take turns; not where data is only kept or discarded, which costs little.

        Failure: refused clients come again while their closed connections wait for turns, until there are too
        many connections and usual ones are closed.  The close of a client whose request runs is not seen.
        """
        self._takes_turns = takes_turns
        if self._turn is not None and not takes_turns:
            self._give_up_turn()
            self._read_again()

    def _give_up_turn(self) -> None:
        if self._turn is not None:
            self._read_queue().cancel(self._turn)
            self._turn = None

    def connectionLost(self, reason: Failure) -> None:
        """Gives up the turn of a connection that has ended."""
        self._give_up_turn()
        super().connectionLost(reason)

    def _read_later(self) -> None:
        self.stopReading()
        self.reactor.callLater(RETRY_DELAY_S, self._read_again)

    def _read_again(self) -> None:
        if self._may_read():
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
        if self._turn is None:
            super().resumeProducing()


class ServerTransport(_RetryingTransport, tcp.Server):
    """A connection that a `FairPort` has accepted."""

    @property
    def accept_wait_since_ms(self) -> float:
        """Clock time since which the connection may have waited to be accepted, at the earliest."""
        port: Any = self.server
        return float(port.waiting_since_ms)

    def _read_queue(self) -> WorkQueue:
        return read_queues(self.reactor).accepted


class ClientTransport(_RetryingTransport, tcp.Client):
    """A connection that this process opens."""

    def _read_queue(self) -> WorkQueue:
        return read_queues(self.reactor).opened


class TcpConnector(tcp.Connector):
    """Opens connections of the type `ClientTransport`."""

    def _makeTransport(self) -> ClientTransport:
        return ClientTransport(self.host, self.port, self.bindAddress, self, self.reactor)


def connect(reactor: Any, host: str, port: int, factory: Any, timeout: Any = 30) -> TcpConnector:
    """Opens a connection, as the reactor's `connectTCP` does."""
    connector = TcpConnector(host, port, factory, timeout, None, reactor)
    connector.connect()
    return connector
