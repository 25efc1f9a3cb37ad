"""What the program asks of Twisted's reactor and transports, as plain types (its interfaces carry none)."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.interfaces import IReactorFDSet
from twisted.internet.tcp import Port

BACKLOG = 1024  # connections that wait to be accepted
ACCEPTED_IN_A_TURN = 16


class Timer(Protocol):
    def cancel(self) -> None: ...

    def active(self) -> bool: ...


class Reactor(Protocol):
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
    """The process's reactor; imported late, as importing installs it."""
    from twisted.internet import reactor

    steady(reactor)
    return reactor


def steady(reactor: Any) -> None:
    """Guards against a machine's clock that is put back: Twisted's timers go by the wall clock, and all of
    them would wait for as long as it was put back."""
    reactor.seconds = time.monotonic


class _FairPort(Port):
    """A listening port that takes few connections in a turn of the reactor.

    Guards against a burst of connections that keeps everything else waiting: Twisted's port takes a hundred
    at a time, more with each full turn, and what is due elsewhere, such as a connection that has come up, is
    not read before all of them are made.
    """

    @property
    def numberAccepts(self) -> int:
        return ACCEPTED_IN_A_TURN

    @numberAccepts.setter
    def numberAccepts(self, number: int) -> None:
        """Twisted adapts the number to the traffic; here it is fixed."""


def listen(reactor: Reactor, address: tuple[str, int], factory: Any) -> tuple[Any, int]:
    """Listens and returns the port object and its number, chosen by the system for port 0."""
    host, number = address
    port: Any
    if IReactorFDSet.providedBy(reactor):
        port = _FairPort(number, factory, BACKLOG, host, reactor)
        port.startListening()
    else:
        port = reactor.listenTCP(number, factory, backlog=BACKLOG, interface=host)
    return port, int(port.getHost().port)
