"""A fake of Twisted's reactor and transports on the simulated network, as far as a node uses them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import error, interfaces
from twisted.internet.address import IPv4Address
from twisted.python.failure import Failure
from zope.interface import implementer

from .network import REFUSED, Connecting, ConnectionEnd, Host, Network
from .simulation import ScheduledCall


class SocketHandle:
    """A fake of a transport's socket, which shows bytes that have arrived and are unread."""

    def __init__(self, end: ConnectionEnd) -> None:
        self._end = end

    def recv(self, size: int, flags: int) -> bytes:
        """Returns unread bytes without removing them; raises as a non-blocking socket does."""
        if self._end.reset_arrived or self._end.closed:
            raise ConnectionResetError
        if not self._end.inbox:
            raise BlockingIOError
        return self._end.inbox[0][:size]


@implementer(interfaces.ITCPTransport, interfaces.IPushProducer, interfaces.IConsumer)
class Transport:
    """A TCP transport of Twisted over one side of a simulated connection."""

    def __init__(self, reactor: Reactor, end: ConnectionEnd) -> None:
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
        """Connects the protocol to the transport."""
        self.protocol = protocol
        self.end.handler = self
        protocol.makeConnection(self)

    # Calls of the network.

    def received(self, data: bytes) -> None:
        """Passes bytes to the protocol."""
        if not (self.disconnected or self._aborting):
            self.protocol.dataReceived(data)

    def ended(self, reset: bool) -> None:
        """Handles the end of the peer's stream, or a reset."""
        if not self._aborting:
            self._lost(error.ConnectionLost() if reset else error.ConnectionDone())

    def writable(self) -> None:
        """Sends more of the buffered bytes."""
        self._flush()

    # Calls of protocols, with the names and behaviour that Twisted defines.

    def write(self, data: bytes) -> None:
        """Buffers bytes; pauses a streaming producer above 64 KiB of them."""
        if self.disconnected or self._aborting or self._write_disconnecting or not data:
            return
        self._buffer += data
        if self._producer is not None and self._streaming and len(self._buffer) > 2**16:
            self._producer_paused = True
            self._producer.pauseProducing()
        self._schedule_flush()

    def writeSequence(self, pieces: Any) -> None:
        """Buffers several byte strings."""
        self.write(b"".join(pieces))

    def loseConnection(self) -> None:
        """Closes the connection after all buffered bytes are sent."""
        if not self.disconnected and not self.disconnecting:
            self.disconnecting = True
            self._schedule_flush()

    def loseWriteConnection(self) -> None:
        """Ends the stream to the peer after all buffered bytes are sent."""
        self._write_disconnecting = True
        self._schedule_flush()

    def abortConnection(self) -> None:
        """Resets the connection in the next iteration of the event loop."""
        if self.disconnected or self._aborting:
            return
        self._aborting = True
        self.reactor.callLater(0, self._lost, error.ConnectionAborted())

    def getHandle(self) -> SocketHandle:
        """Returns the fake socket."""
        return SocketHandle(self.end)

    def getPeer(self) -> IPv4Address:
        """Returns the same address for each peer."""
        return IPv4Address("TCP", "127.0.0.1", 1)

    getHost = getPeer

    def setTcpNoDelay(self, enabled: bool) -> None: ...

    def setTcpKeepAlive(self, enabled: bool) -> None: ...

    def getTcpNoDelay(self) -> bool:
        """Returns True, whatever the protocol has set."""
        return True

    def getTcpKeepAlive(self) -> bool:
        """Returns False, whatever the protocol has set."""
        return False

    def pauseProducing(self) -> None:
        """Stops the delivery of arrived bytes to the protocol."""
        self.end.paused = True

    def resumeProducing(self) -> None:
        """Continues the delivery of arrived bytes to the protocol."""
        if self.connected and not self.disconnecting:
            self.end.resume_reading()

    def stopProducing(self) -> None:
        """Closes the connection, as a producer that is no longer wanted."""
        self.loseConnection()

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Accepts the one producer of the transport; a pull producer is resumed at once."""
        if self._producer is not None:
            raise RuntimeError("cannot register a producer: another one is registered already")
        if self.disconnected:
            return producer.stopProducing()
        self._producer, self._streaming, self._producer_paused = producer, streaming, False
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:
        """Removes the producer; a pending close continues."""
        self._producer = None
        if self.disconnecting or self._write_disconnecting:
            self._schedule_flush()

    # Writing and closing.

    def _schedule_flush(self) -> None:
        """Schedules a flush for the next iteration of the event loop."""
        if not self._flushing:
            self._flushing = True
            self.reactor.callLater(0, self._flush)

    def _flush(self) -> None:
        """Sends buffered bytes; then resumes the producer or closes, as requested."""
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
        """Closes the connection and notifies producer and protocol, once."""
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
        """Fails the connection if it is not established yet."""
        if not self.connecting.over:
            self.connecting.over = True
            self._failed("connection not established before the time-out")

    def _established(self, end: ConnectionEnd) -> None:
        """Builds the protocol and its transport."""
        protocol = self.factory.buildProtocol(IPv4Address("TCP", "127.0.0.1", 1))
        self.transport = Transport(self.reactor, end)
        self.transport.on_lost = lambda reason: self.factory.clientConnectionLost(self, reason)
        self.transport.start(protocol)

    def _failed(self, reason: str) -> None:
        """Notifies the factory of a failed connection."""
        kind = error.ConnectionRefusedError if reason == REFUSED else error.ConnectError
        self.factory.clientConnectionFailed(self, Failure(kind(string=reason)))

    def disconnect(self) -> None:
        """Closes the connection, or stops opening it."""
        if self.transport is not None:
            self.transport.loseConnection()
        elif not self.connecting.over:
            self.connecting.abandon()
            self._failed("connection attempt cancelled")


class Listening:
    """A listening port."""

    def __init__(self, reactor: Reactor, factory: Any) -> None:
        self.reactor = reactor
        factory.doStart()

        def accept(end: ConnectionEnd) -> Transport:
            protocol = factory.buildProtocol(IPv4Address("TCP", "127.0.0.1", 1))
            transport = Transport(reactor, end)
            reactor.host.loop.deliver(transport.start, protocol)
            return transport

        reactor.host.accept = accept

    def getHost(self) -> IPv4Address:
        return IPv4Address("TCP", "127.0.0.1", 1)

    def stopListening(self) -> None:
        """Refuses new connections."""
        self.reactor.host.accept = None


class Reactor:
    """The reactor of one process; `port_of` and `host_at` map hosts of the network to ports and back."""

    def __init__(self, network: Network, host: Host) -> None:
        self.network, self.host = network, host

    def seconds(self) -> float:
        """Returns the simulated clock."""
        return self.network.simulation.now

    def callLater(
        self, delay: float, call: Callable[..., Any], *arguments: Any, **kwargs: Any
    ) -> ScheduledCall:
        """Starts a timer in the event loop of the process."""
        if kwargs:
            return self.host.loop.call_later(delay, lambda: call(*arguments, **kwargs))
        return self.host.loop.call_later(delay, call, *arguments)

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float | None = 30) -> Connector:
        """Opens a connection to the host that the port represents."""
        return Connector(self, host_at(port), factory, timeout)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Listening:
        """Accepts connections to the host of the process."""
        return Listening(self, factory)


def port_of(number: int) -> int:
    """Returns the port that represents host number `number`."""
    return 10_000 + number


def host_at(port: int) -> str:
    """Returns the name of the host that a port represents."""
    return f"h{port - 10_000}"
