"""The part of Twisted's reactor and transports that a node uses, on the simulated network."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import error, interfaces
from twisted.internet.address import IPv4Address
from twisted.python.failure import Failure
from zope.interface import implementer

from .network import REFUSED, Connecting, End, Host, Network
from .simulation import Scheduled


class Handle:
    """Stands for a transport's socket: a look at what has arrived and was not read."""

    def __init__(self, end: End) -> None:
        self._end = end

    def recv(self, size: int, flags: int) -> bytes:
        if self._end.reset_arrived or self._end.closed:
            raise ConnectionResetError
        if not self._end.inbox:
            raise BlockingIOError
        return self._end.inbox[0][:size]


@implementer(interfaces.ITCPTransport, interfaces.IPushProducer, interfaces.IConsumer)
class Transport:
    """A TCP transport of Twisted over one end of a simulated connection."""

    def __init__(self, reactor: Reactor, end: End) -> None:
        self.reactor, self.end = reactor, end
        self.protocol: Any = None
        self.on_lost: Callable[[Failure], None] = lambda reason: None
        self.connected, self.disconnected, self.disconnecting = True, False, False
        self._buffer = bytearray()
        self._producer: Any = None
        self._streaming = False
        self._producer_paused = False
        self._write_disconnecting = self._writeDisconnected = False
        self._aborting = False
        self._flushing = False

    def start(self, protocol: Any) -> None:
        self.protocol = protocol
        self.end.handler = self
        protocol.makeConnection(self)

    # What the network tells.

    def received(self, data: bytes) -> None:
        if not (self.disconnected or self._aborting):
            self.protocol.dataReceived(data)

    def ended(self, reset: bool) -> None:
        if not self._aborting:
            self._lost(error.ConnectionLost() if reset else error.ConnectionDone())

    def writable(self) -> None:
        self._flush()

    # What protocols ask.

    def write(self, data: bytes) -> None:
        if self.disconnected or self._aborting or self._write_disconnecting or not data:
            return
        self._buffer += data
        if self._producer is not None and self._streaming and len(self._buffer) > 2**16:
            self._producer_paused = True
            self._producer.pauseProducing()
        self._flush_soon()

    def writeSequence(self, pieces: Any) -> None:
        self.write(b"".join(pieces))

    def loseConnection(self) -> None:
        if not self.disconnected and not self.disconnecting:
            self.disconnecting = True
            self._flush_soon()

    def loseWriteConnection(self) -> None:
        self._write_disconnecting = True
        self._flush_soon()

    def abortConnection(self) -> None:
        if self.disconnected or self._aborting:
            return
        self._aborting = True
        self.reactor.callLater(0, self._lost, error.ConnectionAborted())

    def getHandle(self) -> Handle:
        return Handle(self.end)

    def getPeer(self) -> IPv4Address:
        return IPv4Address("TCP", "127.0.0.1", 1)

    getHost = getPeer

    def setTcpNoDelay(self, enabled: bool) -> None: ...

    def setTcpKeepAlive(self, enabled: bool) -> None: ...

    def getTcpNoDelay(self) -> bool:
        return True

    def getTcpKeepAlive(self) -> bool:
        return False

    def pauseProducing(self) -> None:
        self.end.paused = True

    def resumeProducing(self) -> None:
        if self.connected and not self.disconnecting:
            self.end.resume_reading()

    def stopProducing(self) -> None:
        self.loseConnection()

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        if self._producer is not None:
            raise RuntimeError("a producer is registered already")
        if self.disconnected:
            return producer.stopProducing()
        self._producer, self._streaming, self._producer_paused = producer, streaming, False
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:
        self._producer = None
        if self.disconnecting or self._write_disconnecting:
            self._flush_soon()

    # Its ends.

    def _flush_soon(self) -> None:
        if not self._flushing:
            self._flushing = True
            self.reactor.callLater(0, self._flush)

    def _flush(self) -> None:
        self._flushing = False
        if self.disconnected or self._aborting:
            return
        if self._buffer:
            del self._buffer[: self.end.send(bytes(self._buffer))]
        if self._buffer:
            return
        if self._producer is not None and (not self._streaming or self._producer_paused):
            self._producer_paused = False
            self._producer.resumeProducing()
        elif self.disconnecting and self._producer is None:
            self._lost(error.ConnectionDone())
        elif self._write_disconnecting and not self._writeDisconnected:
            self._writeDisconnected = True
            self.end.shutdown()

    def _lost(self, reason: Exception) -> None:
        if self.disconnected:
            return
        self.disconnected, self.connected = True, False
        if isinstance(reason, error.ConnectionAborted) or self._buffer:
            self.end.abort()
        else:
            self.end.close()
        if self._producer is not None:
            producer, self._producer = self._producer, None
            producer.stopProducing()
        failure = Failure(reason)
        self.protocol.connectionLost(failure)
        self.on_lost(failure)


class Connector:
    """A connection that a node opens."""

    def __init__(self, reactor: Reactor, name: str, factory: Any, timeout: float | None) -> None:
        self.reactor, self.factory = reactor, factory
        self.transport: Transport | None = None
        factory.doStart()
        factory.startedConnecting(self)
        self.connecting: Connecting = reactor.network.connect(
            reactor.host, name, self._established, self._failed
        )
        if timeout is not None:
            reactor.callLater(timeout, self._timed_out)

    def _timed_out(self) -> None:
        if not self.connecting.over:
            self.connecting.over = True
            self._failed("no answer in time")

    def _established(self, end: End) -> None:
        protocol = self.factory.buildProtocol(IPv4Address("TCP", "127.0.0.1", 1))
        self.transport = Transport(self.reactor, end)
        self.transport.on_lost = lambda reason: self.factory.clientConnectionLost(self, reason)
        self.transport.start(protocol)

    def _failed(self, reason: str) -> None:
        kind = error.ConnectionRefusedError if reason == REFUSED else error.ConnectError
        self.factory.clientConnectionFailed(self, Failure(kind(string=reason)))

    def disconnect(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()
        elif not self.connecting.over:
            self.connecting.abandon()
            self._failed("given up")


class Listening:
    """A listening port."""

    def __init__(self, reactor: Reactor, factory: Any) -> None:
        self.reactor = reactor
        factory.doStart()

        def accept(end: End) -> Transport:
            protocol = factory.buildProtocol(IPv4Address("TCP", "127.0.0.1", 1))
            transport = Transport(reactor, end)
            reactor.host.loop.deliver(transport.start, protocol)
            return transport

        reactor.host.accept = accept

    def getHost(self) -> IPv4Address:
        return IPv4Address("TCP", "127.0.0.1", 1)

    def stopListening(self) -> None:
        self.reactor.host.accept = None


class Reactor:
    """One process's reactor; `port_of` and `host_at` turn hosts of the network into ports and back."""

    def __init__(self, network: Network, host: Host) -> None:
        self.network, self.host = network, host

    def seconds(self) -> float:
        return self.network.simulation.now

    def callLater(self, delay: float, call: Callable[..., Any], *arguments: Any, **named: Any) -> Scheduled:
        if named:
            return self.host.loop.call_later(delay, lambda: call(*arguments, **named))
        return self.host.loop.call_later(delay, call, *arguments)

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float | None = 30) -> Connector:
        return Connector(self, host_at(port), factory, timeout)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Listening:
        return Listening(self, factory)


def port_of(number: int) -> int:
    """The port that stands for host number `number`."""
    return 10_000 + number


def host_at(port: int) -> str:
    return f"h{port - 10_000}"
