"""TCP relays between processes on loopback: a network that the runner can partition, delay and reset.

Each relay carries the connections from one process to one other.  Relays need no privileges, so a partition
does not drop SYN packets: a connection still opens, but then carries no data.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

from ..fakes.journal import Journal
from ..net.loop import listen

FORWARD, BACK = "forward", "back"


class _RelayEnd(Protocol):
    """One of the two TCP connections that a relayed connection consists of."""

    transport: Any

    def __init__(self, connection: _RelayedConnection, direction: str) -> None:
        self.connection, self.direction = connection, direction
        self.is_connected = False

    def connectionMade(self) -> None:
        self.is_connected = True
        self.transport.setTcpNoDelay(True)
        self.connection.end_connected(self)

    def dataReceived(self, data: bytes) -> None:
        self.connection.end_received(self, data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.is_connected = False
        self.connection.end_closed(self)


class _RelayedConnection:
    """A connection through a relay; after dropped data, the same direction carries nothing more."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.source_end, self.target_end = _RelayEnd(self, FORWARD), _RelayEnd(self, BACK)
        self.unsent: list[bytes] = []  # data for the target end, until it is connected
        self.broken_directions: set[str] = set()  # directions in which data was dropped
        self.in_transit_until_ms = {FORWARD: 0.0, BACK: 0.0}  # when the data sent last arrives, by direction
        self.is_closed = False

    def end_connected(self, end: _RelayEnd) -> None:
        """Connects to the target, or sends the data that waited for it."""
        if end is self.source_end:
            if self.relay.resets_connections or self.relay.target is None:
                return self.abort()
            factory = _TargetFactory(self)
            self.relay.reactor.connectTCP(*self.relay.target, factory, timeout=5)
        else:
            unsent, self.unsent = self.unsent, []
            for data in unsent:
                self.target_end.transport.write(data)

    def end_received(self, end: _RelayEnd, data: bytes) -> None:
        """Forwards, delays or drops data, or breaks the connection."""
        relay, direction = self.relay, end.direction
        if direction in relay.dropped_directions or direction in self.broken_directions:
            self.broken_directions.add(direction)  # later data would leave a gap in the stream
            return
        if relay.break_share and relay.random_source.random() < relay.break_share:
            relay.journal.note("broken", relay=relay.name)
            return self.abort()
        delay_ms = relay.delay_ms + (len(data) / relay.bytes_per_s * 1000 if relay.bytes_per_s else 0.0)
        if not delay_ms and self.in_transit_until_ms[direction] <= relay.reactor.seconds() * 1000:
            return self.write(direction, data)
        now_ms = relay.reactor.seconds() * 1000
        self.in_transit_until_ms[direction] = max(
            self.in_transit_until_ms[direction], now_ms + relay.delay_ms
        ) + (delay_ms - relay.delay_ms)
        relay.reactor.callLater(
            (self.in_transit_until_ms[direction] - now_ms) / 1000, self.write, direction, data
        )

    def write(self, direction: str, data: bytes) -> None:
        """Writes data to the other end, unless the direction is broken by now."""
        if self.is_closed or direction in self.broken_directions:
            return
        if direction in self.relay.dropped_directions:
            self.broken_directions.add(direction)
            return
        end = self.target_end if direction == FORWARD else self.source_end
        self.relay.bytes_carried[direction] += len(data)
        if end.is_connected:
            end.transport.write(data)
        elif direction == FORWARD:
            self.unsent.append(data)

    def end_closed(self, end: _RelayEnd) -> None:
        """Closes the other end too, unless the partition covers that direction."""
        other_end = self.target_end if end is self.source_end else self.source_end
        if (
            end.direction not in self.relay.dropped_directions
            and end.direction not in self.broken_directions
            and other_end.is_connected
        ):
            other_end.transport.loseConnection()
        if not self.source_end.is_connected and not self.target_end.is_connected:
            self.is_closed = True
            self.relay.connections.pop(self, None)

    def abort(self) -> None:
        """Resets both ends."""
        for end in (self.source_end, self.target_end):
            if end.is_connected:
                end.transport.abortConnection()


class _TargetFactory(ClientFactory):
    """Connects a relayed connection to its target."""

    noisy = False

    def __init__(self, connection: _RelayedConnection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> _RelayEnd:
        return self.connection.target_end

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.connection.abort()


class Relay(ServerFactory):
    """A relay to one process; `target` changes when that process is restarted on another port."""

    noisy = False

    def __init__(self, reactor: Any, journal: Journal, name: str, seed: int = 1) -> None:
        self.reactor, self.journal, self.name = reactor, journal, name
        self.random_source = random.Random(seed)
        self.target: tuple[str, int] | None = None
        self.dropped_directions: frozenset[str] = frozenset()
        self.resets_connections = False
        # 0 switches each off; break_share is the chance that a piece of data breaks its connection.
        self.delay_ms = self.break_share = self.bytes_per_s = 0.0
        self.connections: dict[_RelayedConnection, None] = {}
        self.bytes_carried = {FORWARD: 0, BACK: 0}
        self.port_object, self.port = listen(reactor, ("127.0.0.1", 0), self)

    def buildProtocol(self, addr: Any) -> _RelayEnd:
        connection = _RelayedConnection(self)
        self.connections[connection] = None
        return connection.source_end

    def drop_data(self, directions: Iterable[str]) -> None:
        """Drops all data in these directions from now on."""
        self.dropped_directions = frozenset(directions)
        # Broken directions stay broken: both ends notice by their own time-outs, as after a real partition.
        self.journal.note("swallows", relay=self.name, ways=sorted(self.dropped_directions))

    def set_reset(self, on: bool = True) -> None:
        """Resets all connections, and while `on` is set also each new one."""
        self.resets_connections = on
        self.journal.note("resets", relay=self.name, on=on)
        for connection in list(self.connections):
            connection.abort()

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self.port_object.stopListening()
        for connection in list(self.connections):
            connection.abort()


class Network:
    """The relays of a fleet, by source and destination."""

    def __init__(self, reactor: Any, journal: Journal) -> None:
        self.reactor, self.journal = reactor, journal
        self.relays: dict[tuple[str, str], Relay] = {}

    def relay(self, source: str, target: str) -> Relay:
        """The relay between two processes, created at the first use."""
        if (source, target) not in self.relays:
            self.relays[source, target] = Relay(
                self.reactor, self.journal, f"{source}>{target}", len(self.relays)
            )
        return self.relays[source, target]

    def set_target(self, target: str, address: tuple[str, int]) -> None:
        """Points all relays to a process at its address."""
        for (_, name), relay in self.relays.items():
            if name == target:
                relay.target = address

    def cut(self, group: Iterable[str], other_group: Iterable[str], mode: str = "both") -> None:
        """Partitions two groups of processes.

        `mode` is "both", "out" (data from `group` to `other_group` is dropped), "in" (the reverse), "reset",
        or "none", which ends the partition.
        """
        other_group = list(other_group)
        for name in group:
            for other_name in other_group:
                if name == other_name:
                    continue
                for source, target, outward in ((name, other_name, True), (other_name, name, False)):
                    relay = self.relays.get((source, target))
                    if relay is None:
                        continue
                    # From name to other_name is FORWARD in relay name>other_name, BACK in the reverse one.
                    forward, backward = (FORWARD, BACK) if outward else (BACK, FORWARD)
                    if mode == "reset":
                        relay.set_reset()
                        continue
                    if relay.resets_connections:
                        relay.set_reset(False)
                    relay.drop_data(
                        {"both": (forward, backward), "out": (forward,), "in": (backward,), "none": ()}[mode]
                    )

    def restore(self) -> None:
        """Ends all partitions, resets, delays and losses."""
        for relay in self.relays.values():
            if relay.resets_connections:
                relay.set_reset(False)
            if relay.dropped_directions:
                relay.drop_data(())
            relay.delay_ms = relay.break_share = relay.bytes_per_s = 0.0

    def close(self) -> None:
        """Closes all relays."""
        for relay in self.relays.values():
            relay.close()
