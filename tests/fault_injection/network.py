"""A simulated network: hosts, paths that can be cut in each direction, and TCP connections with buffers.

What is modelled of TCP: bytes arrive in order; what meets a cut arrives after it, with a retransmission's
delay; a reset is sent once, so it can be lost in a cut, and takes unsent bytes with it; a peer that sends to
a connection which is no longer known is reset; the send buffer is bounded; a machine that is gone says
nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from .simulation import EventLoop, Simulation

SEND_BUFFER = 65_536  # bytes that a connection holds for a peer that has not got them
SAME_ZONE, OTHER_ZONE = 0.0002, 0.0008  # seconds one way
RETRANSMISSION = 0.4  # seconds at most between a cut's end and what it held back
SYN_RETRY = 1.0  # seconds until the kernel tries a connection again
REFUSED = "refused"
END = b""  # stands for the end of a stream, as in a read from a socket


class Handler(Protocol):
    """What a connection's end tells its owner."""

    def received(self, data: bytes) -> None: ...

    def ended(self, reset: bool) -> None: ...

    def writable(self) -> None: ...


@dataclass(eq=False)
class Host:
    """A machine with one process; `accept` takes new connections, None refuses them."""

    name: str
    zone: str
    loop: EventLoop
    accept: Callable[[End], Handler] | None = None
    up: bool = True
    ends: dict[End, None] = field(default_factory=dict)


@dataclass(frozen=True)
class Block:
    """Nothing gets from `sources` to `targets` between two times."""

    start: float
    end: float
    sources: frozenset[str]
    targets: frozenset[str]


class End:
    """One side of a connection, with its kernel's buffers."""

    def __init__(self, network: Network, host: Host) -> None:
        self.network, self.host = network, host
        self.peer: End
        self.handler: Handler | None = None
        self.inbox: list[bytes] = []  # has arrived and is not read; END for the stream's end
        self.reset_arrived = False
        self.paused = False
        self.unacknowledged = 0
        self.shut = False  # this side has ended its sending
        self.closed = False  # this side's process knows it no more
        self.sent_at = 0.0  # when this side's process last sent something
        self.last_arrival = 0.0  # of what this side has sent
        self.closed_at: float | None = None  # when this side ended its sending, or all

    # The process's side.

    def send(self, data: bytes) -> int:
        """Takes as many bytes as the buffer has room for; tells how many."""
        if self.closed or self.shut:
            return 0
        taken = data[: max(0, SEND_BUFFER - self.unacknowledged)]
        if taken:
            self.sent_at = self.network.simulation.now
            self.unacknowledged += len(taken)
            self.network.transmit(self, taken)
        return len(taken)

    def shutdown(self) -> None:
        """Ends this side's sending."""
        if not self.shut and not self.closed:
            self.shut = True
            self._note_close()
            self.network.transmit(self, END)

    def close(self) -> None:
        """The process lets go of it in order: what was sent still goes out."""
        if not self.closed:
            self.shutdown()
            self.closed = True
            self.host.ends.pop(self, None)

    def abort(self) -> None:
        """A reset: what has not arrived is dropped."""
        if not self.closed:
            self._note_close()
            self.closed = True
            self.host.ends.pop(self, None)
            self.network.transmit_reset(self)

    def resume_reading(self) -> None:
        self.paused = False
        self.host.loop.deliver(self._read)

    def _note_close(self) -> None:
        if self.closed_at is None:
            self.closed_at = self.network.simulation.now
            self.network.side_ended(self)

    # The kernel's side.

    def arrive(self, data: bytes) -> None:
        if not self.host.up:
            return
        if self.closed:  # nobody knows this connection: a reset goes back
            return self.network.transmit_reset(self)
        self.inbox.append(data)
        self.network.acknowledge(self.peer, len(data))
        self.host.loop.deliver(self._read)

    def arrive_reset(self) -> None:
        if self.host.up and not self.closed:
            self.reset_arrived = True
            self.inbox.clear()
            self.host.loop.deliver(self._read)

    def acknowledged(self, size: int) -> None:
        self.unacknowledged -= size
        if not self.closed and self.host.up and self.handler is not None:
            self.host.loop.deliver(self.handler.writable)

    def _read(self) -> None:
        if self.handler is None:
            return
        if self.reset_arrived and not self.closed:
            self.closed = True
            self.host.ends.pop(self, None)
            self._note_close()
            return self.handler.ended(True)
        while self.inbox and not self.paused and not self.closed:
            data = self.inbox.pop(0)
            if data == END:
                self.handler.ended(False)
            else:
                self.handler.received(data)


class Connecting:
    """A connection that is being opened; `abandon` gives it up."""

    def __init__(self) -> None:
        self.over = False

    def abandon(self) -> None:
        self.over = True


class Network:
    """All hosts by name, and what happens between them."""

    def __init__(self, simulation: Simulation, random: Random, resets_are_lost: bool) -> None:
        self.simulation, self.random, self.resets_are_lost = simulation, random, resets_are_lost
        self.hosts: dict[str, Host] = {}
        self.blocks: list[Block] = []
        # Faults of opening connections: gives the extra delay in seconds, None for one that never comes up,
        # negative for one that is refused.
        self.connect_fault: Callable[[Host, Host], float | None] = lambda source, target: 0.0
        self.side_ended: Callable[[End], None] = lambda end: None

    def host(self, name: str, zone: str, loop: EventLoop) -> Host:
        self.hosts[name] = Host(name, zone, loop)
        return self.hosts[name]

    def latency(self, source: Host, target: Host) -> float:
        return SAME_ZONE if source.zone == target.zone else OTHER_ZONE

    def open_at(self, source: str, target: str, time: float) -> float:
        """The earliest moment from `time` on at which something gets from one host to the other."""
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
        return self.open_at(source.name, target.name, time) <= time

    def _arrival(self, source: Host, target: Host) -> float:
        now, latency = self.simulation.now, self.latency(source, target)
        if self._passes(source, target, now) and self._passes(source, target, now + latency):
            return now + latency
        opened = self.open_at(source.name, target.name, now + latency)
        return opened + latency + self.random.uniform(0, RETRANSMISSION)

    # Connections.

    def connect(
        self,
        source: Host,
        target_name: str,
        established: Callable[[End], None],
        failed: Callable[[str], None],
    ) -> Connecting:
        """Opens a connection; at most one of both is called, neither where nothing is heard."""
        connecting = Connecting()

        def give_up(reason: str) -> None:
            if not connecting.over:
                connecting.over = True
                failed(reason)

        def attempt() -> None:
            target = self.hosts.get(target_name)
            if connecting.over or target is None or not target.up:
                return
            back_and_forth = self.latency(source, target) + self.latency(target, source)
            now = self.simulation.now
            if not (self._passes(source, target, now) and self._passes(target, source, now + back_and_forth)):
                return
            delay = self.connect_fault(source, target)
            if delay is None:
                return
            if target.accept is None or delay < 0:
                self.simulation.call_at(now + back_and_forth, source.loop.deliver, give_up, REFUSED)
            else:
                self.simulation.call_at(now + back_and_forth + delay, source.loop.deliver, come_up, target)

        def come_up(target: Host) -> None:
            if connecting.over:
                return None
            if not target.up or target.accept is None:
                return give_up(REFUSED)
            connecting.over = True
            ours, theirs = End(self, source), End(self, target)
            ours.peer, theirs.peer = theirs, ours
            source.ends[ours] = target.ends[theirs] = None
            theirs.handler = target.accept(theirs)
            return established(ours)

        self.simulation.call_at(self.simulation.now, attempt)
        self.simulation.call_at(self.simulation.now + SYN_RETRY, attempt)
        return connecting

    def transmit(self, sender: End, data: bytes) -> None:
        receiver = sender.peer
        arrival = max(self._arrival(sender.host, receiver.host), sender.last_arrival)
        sender.last_arrival = arrival

        def arrive() -> None:
            if not (sender.closed and not sender.shut):  # a reset took what had not arrived
                receiver.arrive(data)

        self.simulation.call_at(arrival, arrive)

    def acknowledge(self, sender: End, size: int) -> None:
        back = self._arrival(sender.peer.host, sender.host)
        self.simulation.call_at(back, sender.acknowledged, size)

    def transmit_reset(self, sender: End) -> None:
        source, target = sender.host, sender.peer.host
        passes = self._passes(source, target, self.simulation.now)
        if passes or not self.resets_are_lost:
            self.simulation.call_at(self._arrival(source, target), sender.peer.arrive_reset)

    def break_connection(self, end: End) -> None:
        """Something between the two resets both sides."""
        for side in (end, end.peer):
            self.simulation.call_at(self.simulation.now, side.arrive_reset)

    def process_dies(self, host: Host) -> None:
        """Its connections are reset, and new ones refused."""
        host.accept = None
        for end in list(host.ends):
            end.abort()
        host.loop.die()

    def machine_vanishes(self, host: Host) -> None:
        """It says nothing any more."""
        host.up, host.accept = False, None
        for end in list(host.ends):
            end.closed = True
        host.ends.clear()
        host.loop.die()
