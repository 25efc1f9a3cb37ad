"""Protocols for the methods of Twisted's reactor and transports in use, whose interfaces have no types; the
reactor's clock, and a listening port that accepts few connections at a time."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from twisted.internet.interfaces import IReactorFDSet
from twisted.internet.tcp import Port

from . import clock, transports

LISTEN_BACKLOG = 1024  # connections waiting to be accepted
MAX_ACCEPTS_PER_ITERATION = 16


class Timer(Protocol):
    """A delayed call."""

    def cancel(self) -> None: ...

    def active(self) -> bool: ...


class Reactor(Protocol):
    """Twisted's event loop."""

    def callLater(self, delay: float, call: Callable[..., Any], /, *args: Any) -> Timer: ...

    def connectTCP(self, host: str, port: int, factory: Any, /, timeout: float = 30) -> Any: ...

    def listenTCP(self, port: int, factory: Any, /, backlog: int = 50, interface: str = "") -> Any: ...

    def callFromThread(self, call: Callable[..., Any], /, *args: Any) -> None: ...

    def run(self) -> None: ...

    def stop(self) -> None: ...


class Transport(Protocol):
    """A TCP connection."""

    def write(self, data: bytes) -> None: ...

    def loseConnection(self) -> None: ...

    def abortConnection(self) -> None: ...

    def getHandle(self) -> Any: ...

    def setTcpNoDelay(self, enabled: bool) -> None: ...

    def registerProducer(self, producer: Any, streaming: bool) -> None: ...

    def unregisterProducer(self) -> None: ...


def the_reactor() -> Reactor:
    """The process's reactor, on the monotonic clock; the import is local because it installs the reactor."""
    from twisted.internet import reactor

    use_monotonic_clock(reactor)
    use_retrying_transports(reactor)
    return reactor


def use_monotonic_clock(reactor: Any) -> None:
    """Makes the reactor's timers use the monotonic clock.

    Failure: Twisted's timers use the wall clock; when it is set back, every timer fires that much later.
    """
    reactor.seconds = time.monotonic


def use_retrying_transports(reactor: Any) -> None:
    """Makes the reactor open connections that survive transient errors; see `transports`."""
    reactor.connectTCP = partial(transports.connect, reactor)


class FairPort(Port):
    """A listening port that accepts few connections in each reactor iteration.

    Failure: Twisted's port accepts a hundred at a time, and more after each full iteration.  In a burst all
    else waits until these connections are accepted, and connection attempts to engines time out.
    """

    transport = transports.ServerTransport
    waiting_since_ms = 0.0  # clock time since which the connections that are accepted now may have waited

    def startListening(self) -> None:
        """Starts to listen."""
        self._full_accepts: deque[float] = deque(maxlen=LISTEN_BACKLOG // MAX_ACCEPTS_PER_ITERATION)
        super().startListening()

    def doRead(self) -> None:
        """Accepts connections.

        While as many are accepted as may be, further ones wait, and the one that is accepted last has waited
        for up to `LISTEN_BACKLOG` others.
        """
        now = clock.now()
        self.waiting_since_ms = self._full_accepts[0] if self._full_accepts else now
        accepted_before = self.sessionno
        super().doRead()
        if self.sessionno - accepted_before < MAX_ACCEPTS_PER_ITERATION:
            self._full_accepts.clear()
        else:
            self._full_accepts.append(now)

    @property
    def numberAccepts(self) -> int:
        return MAX_ACCEPTS_PER_ITERATION

    @numberAccepts.setter
    def numberAccepts(self, number: int) -> None:
        """Does nothing: Twisted would adapt the number to the traffic."""


def listen(reactor: Reactor, address: tuple[str, int], factory: Any) -> tuple[Any, int]:
    """Listens; returns the port object and the port number, which the system chooses for port 0."""
    host, number = address
    port: Any
    if IReactorFDSet.providedBy(reactor):
        port = FairPort(number, factory, LISTEN_BACKLOG, host, reactor)
        port.startListening()
    else:
        port = reactor.listenTCP(number, factory, backlog=LISTEN_BACKLOG, interface=host)
    return port, int(port.getHost().port)
