"""A simulated network: hosts, paths that can be cut in each direction, and TCP connections with buffers.

The model of TCP: bytes arrive in order; bytes sent into a cut arrive after it, with the delay of a
retransmission; a reset is sent once, so a cut can lose it, and it discards bytes that have not arrived;
a peer that sends on a connection which the other side has closed is reset; the send buffer is bounded;
a machine that has disappeared sends nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from .simulation import EventLoop, Simulation

SEND_BUFFER_BYTES = 65_536  # that a connection holds until the peer acknowledges them
SAME_ZONE_LATENCY_S, OTHER_ZONE_LATENCY_S = 0.0002, 0.0008  # one way
MAX_RETRANSMISSION_S = 0.4  # from the end of a cut to the arrival of bytes that it delayed
SYN_RETRY_S = 1.0  # until the kernel sends SYN again
REFUSED = "refused"
END_OF_STREAM = b""  # the end of a stream, as in a read from a socket


class Handler(Protocol):
    """Receives the events of one side of a connection."""

    def received(self, data: bytes) -> None:
        """Handles bytes from the peer."""

    def ended(self, reset: bool) -> None:
        """Handles the end of the peer's stream, or a reset."""

    def writable(self) -> None:
        """Handles space in the send buffer."""


@dataclass(eq=False)
class Host:
    """A machine with one process; `accept` handles new connections, None refuses them."""

    name: str
    zone: str
    loop: EventLoop
    accept: Callable[[ConnectionEnd], Handler] | None = None
    up: bool = True
    ends: dict[ConnectionEnd, None] = field(default_factory=dict)


@dataclass(frozen=True)
class Block:
    """A cut of all paths from `sources` to `targets` between two times (seconds)."""

    start: float
    end: float
    sources: frozenset[str]
    targets: frozenset[str]


class ConnectionEnd:
    """One side of a connection, with the buffers of its kernel.  Times are in seconds."""

    def __init__(self, network: Network, host: Host) -> None:
        self.network, self.host = network, host
        self.peer: ConnectionEnd
        self.handler: Handler | None = None
        self.inbox: list[bytes] = []  # arrived and unread; END_OF_STREAM is the end of the stream
        self.reset_arrived = False
        self.paused = False
        self.unacknowledged = 0
        self.shut = False  # the process has ended its stream
        self.closed = False  # the process has closed the connection
        self.sent_at = 0.0  # last send of the process
        self.last_arrival = 0.0  # of the bytes sent, at the peer
        self.closed_at: float | None = None  # when the stream or the connection ended on this side

    # Calls of the process.

    def send(self, data: bytes) -> int:
        """Puts as many bytes as fit into the send buffer; returns their number."""
        if self.closed or self.shut:
            return 0
        accepted = data[: max(0, SEND_BUFFER_BYTES - self.unacknowledged)]
        if accepted:
            self.sent_at = self.network.simulation.now
            self.unacknowledged += len(accepted)
            self.network.transmit(self, accepted)
        return len(accepted)

    def shutdown(self) -> None:
        """Ends the stream to the peer."""
        if not self.shut and not self.closed:
            self.shut = True
            self._note_close()
            self.network.transmit(self, END_OF_STREAM)

    def close(self) -> None:
        """Closes the connection in order: bytes already sent still arrive."""
        if not self.closed:
            self.shutdown()
            self.closed = True
            self.host.ends.pop(self, None)

    def abort(self) -> None:
        """Resets the connection: bytes that have not arrived are dropped."""
        if not self.closed:
            self._note_close()
            self.closed = True
            self.host.ends.pop(self, None)
            self.network.transmit_reset(self)

    def resume_reading(self) -> None:
        """Delivers arrived bytes to the handler again."""
        self.paused = False
        self.host.loop.deliver(self._read)

    def _note_close(self) -> None:
        """Records the time of the first end on this side and reports it to the network."""
        if self.closed_at is None:
            self.closed_at = self.network.simulation.now
            self.network.side_ended(self)

    # Calls of the kernel.

    def arrive(self, data: bytes) -> None:
        """Takes bytes from the peer."""
        if not self.host.up:
            return
        if self.closed:  # the connection is unknown here: the kernel sends a reset
            return self.network.transmit_reset(self)
        self.inbox.append(data)
        self.network.acknowledge(self.peer, len(data))
        self.host.loop.deliver(self._read)

    def arrive_reset(self) -> None:
        """Takes a reset from the peer; unread bytes are dropped."""
        if self.host.up and not self.closed:
            self.reset_arrived = True
            self.inbox.clear()
            self.host.loop.deliver(self._read)

    def acknowledged(self, size: int) -> None:
        """Frees space in the send buffer."""
        self.unacknowledged -= size
        if not self.closed and self.host.up and self.handler is not None:
            self.host.loop.deliver(self.handler.writable)

    def _read(self) -> None:
        """Passes arrived bytes, the end of the stream or a reset to the handler."""
        if self.handler is None:
            return
        if self.reset_arrived and not self.closed:
            self.closed = True
            self.host.ends.pop(self, None)
            self._note_close()
            return self.handler.ended(True)
        while self.inbox and not self.paused and not self.closed:
            data = self.inbox.pop(0)
            if data == END_OF_STREAM:
                self.handler.ended(False)
            else:
                self.handler.received(data)


class Connecting:
    """A connection that is being opened."""

    def __init__(self) -> None:
        self.over = False

    def abandon(self) -> None:
        """Stops opening the connection."""
        self.over = True


class Network:
    """All hosts by name, the cuts of paths between them, and the transport of bytes."""

    def __init__(self, simulation: Simulation, random: Random, resets_are_lost: bool) -> None:
        self.simulation, self.random, self.resets_are_lost = simulation, random, resets_are_lost
        self.hosts: dict[str, Host] = {}
        self.blocks: list[Block] = []
        # Returns the fault of a connection that is opened: the extra delay in seconds, None for a connection
        # that is never established, negative for one that is refused.
        self.connect_fault: Callable[[Host, Host], float | None] = lambda source, target: 0.0
        self.side_ended: Callable[[ConnectionEnd], None] = lambda end: None

    def host(self, name: str, zone: str, loop: EventLoop) -> Host:
        """Adds a host."""
        self.hosts[name] = Host(name, zone, loop)
        return self.hosts[name]

    def latency(self, source: Host, target: Host) -> float:
        """Returns the seconds that bytes take from one host to another."""
        return SAME_ZONE_LATENCY_S if source.zone == target.zone else OTHER_ZONE_LATENCY_S

    def open_at(self, source: str, target: str, time: float) -> float:
        """Returns the earliest time, not before `time`, at which the path between two hosts is not cut."""
        while True:
            blocks = [
                block.end
                for block in self.blocks
                if block.start <= time < block.end and source in block.sources and target in block.targets
            ]
            if not blocks:
                return time
            time = max(blocks)

    def _passes(self, source: Host, target: Host, time: float) -> bool:
        """Returns whether the path between two hosts is open at a time."""
        return self.open_at(source.name, target.name, time) <= time

    def _arrival(self, source: Host, target: Host) -> float:
        """Returns the time at which bytes sent now arrive, after a cut with a random retransmission delay."""
        now, latency = self.simulation.now, self.latency(source, target)
        if self._passes(source, target, now) and self._passes(source, target, now + latency):
            return now + latency
        opened = self.open_at(source.name, target.name, now + latency)
        return opened + latency + self.random.uniform(0, MAX_RETRANSMISSION_S)

    # Connections.

    def connect(
        self,
        source: Host,
        target_name: str,
        established: Callable[[ConnectionEnd], None],
        failed: Callable[[str], None],
    ) -> Connecting:
        """Opens a connection.

        Calls `established` or `failed` at most once; neither if no reply to the SYN arrives.
        """
        connecting = Connecting()

        def fail(reason: str) -> None:
            if not connecting.over:
                connecting.over = True
                failed(reason)

        def send_syn() -> None:
            target = self.hosts.get(target_name)
            if connecting.over or target is None or not target.up:
                return
            round_trip_s = self.latency(source, target) + self.latency(target, source)
            now = self.simulation.now
            if not (self._passes(source, target, now) and self._passes(target, source, now + round_trip_s)):
                return
            delay = self.connect_fault(source, target)
            if delay is None:
                return
            if target.accept is None or delay < 0:
                self.simulation.call_at(now + round_trip_s, source.loop.deliver, fail, REFUSED)
            else:
                self.simulation.call_at(now + round_trip_s + delay, source.loop.deliver, establish, target)

        def establish(target: Host) -> None:
            if connecting.over:
                return None
            if not target.up or target.accept is None:
                return fail(REFUSED)
            connecting.over = True
            source_end, target_end = ConnectionEnd(self, source), ConnectionEnd(self, target)
            source_end.peer, target_end.peer = target_end, source_end
            source.ends[source_end] = target.ends[target_end] = None
            target_end.handler = target.accept(target_end)
            return established(source_end)

        self.simulation.call_at(self.simulation.now, send_syn)
        self.simulation.call_at(self.simulation.now + SYN_RETRY_S, send_syn)
        return connecting

    def transmit(self, sender: ConnectionEnd, data: bytes) -> None:
        """Sends bytes to the peer, to arrive after all bytes sent before."""
        receiver = sender.peer
        arrival = max(self._arrival(sender.host, receiver.host), sender.last_arrival)
        sender.last_arrival = arrival

        def arrive() -> None:
            if not (sender.closed and not sender.shut):  # a reset has dropped bytes that had not arrived
                receiver.arrive(data)

        self.simulation.call_at(arrival, arrive)

    def acknowledge(self, sender: ConnectionEnd, size: int) -> None:
        """Sends an acknowledgement back to the sender of bytes."""
        arrival = self._arrival(sender.peer.host, sender.host)
        self.simulation.call_at(arrival, sender.acknowledged, size)

    def transmit_reset(self, sender: ConnectionEnd) -> None:
        """Sends a reset to the peer; a cut loses it, or delays it, as the schedule says."""
        source, target = sender.host, sender.peer.host
        passes = self._passes(source, target, self.simulation.now)
        if passes or not self.resets_are_lost:
            self.simulation.call_at(self._arrival(source, target), sender.peer.arrive_reset)

    def break_connection(self, end: ConnectionEnd) -> None:
        """Resets both sides, as a device on the path can do."""
        for side in (end, end.peer):
            self.simulation.call_at(self.simulation.now, side.arrive_reset)

    def process_dies(self, host: Host) -> None:
        """Ends the process of a host: connections are reset, and new ones refused."""
        host.accept = None
        for end in list(host.ends):
            end.abort()
        host.loop.die()

    def machine_vanishes(self, host: Host) -> None:
        """Removes a host from the network: it sends nothing any more."""
        host.up, host.accept = False, None
        for end in list(host.ends):
            end.closed = True
        host.ends.clear()
        host.loop.die()
