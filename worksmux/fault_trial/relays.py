"""Relays between processes on loopback: the network of a day, which its runner cuts, delays and breaks.

Each carries connections from one process to one other.  Nothing here needs rights of the machine, so a cut is
not a missing answer to a connection's first packet: it comes up and then says nothing.
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


class _End(Protocol):
    """One of a connection's two ends."""

    transport: Any

    def __init__(self, pair: _Pair, way: str) -> None:
        self.pair, self.way = pair, way
        self.up = False

    def connectionMade(self) -> None:
        self.up = True
        self.transport.setTcpNoDelay(True)
        self.pair.made(self)

    def dataReceived(self, data: bytes) -> None:
        self.pair.came(self, data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.up = False
        self.pair.lost(self)


class _Pair:
    """A connection through a relay: bytes that are swallowed are gone, as is what would follow them."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.near, self.far = _End(self, FORWARD), _End(self, BACK)
        self.waiting: list[bytes] = []  # for the far end to come up
        self.torn: set[str] = set()  # ways on which something was swallowed
        self.at = {FORWARD: 0.0, BACK: 0.0}  # until when bytes are under way
        self.over = False

    def made(self, end: _End) -> None:
        if end is self.near:
            if self.relay.reset or self.relay.target is None:
                return self.abort()
            factory = _Out(self)
            self.relay.reactor.connectTCP(*self.relay.target, factory, timeout=5)
        else:
            waiting, self.waiting = self.waiting, []
            for data in waiting:
                self.far.transport.write(data)

    def came(self, end: _End, data: bytes) -> None:
        relay, way = self.relay, end.way
        if way in relay.swallows or way in self.torn:
            self.torn.add(way)  # a stream with a hole would be another stream
            return
        if relay.loss and relay.chance.random() < relay.loss:
            relay.journal.note("broken", relay=relay.name)
            return self.abort()
        delay = relay.delay + (len(data) / relay.rate * 1000 if relay.rate else 0.0)
        if not delay and self.at[way] <= relay.reactor.seconds() * 1000:
            return self.write(way, data)
        now = relay.reactor.seconds() * 1000
        self.at[way] = max(self.at[way], now + relay.delay) + (delay - relay.delay)
        relay.reactor.callLater((self.at[way] - now) / 1000, self.write, way, data)

    def write(self, way: str, data: bytes) -> None:
        if self.over or way in self.torn:
            return
        if way in self.relay.swallows:
            self.torn.add(way)
            return
        end = self.far if way == FORWARD else self.near
        self.relay.carried[way] += len(data)
        if end.up:
            end.transport.write(data)
        elif way == FORWARD:
            self.waiting.append(data)

    def lost(self, end: _End) -> None:
        """Its end is told to the other side, but for what is cut that way."""
        other = self.far if end is self.near else self.near
        if end.way not in self.relay.swallows and end.way not in self.torn and other.up:
            other.transport.loseConnection()
        if not self.near.up and not self.far.up:
            self.over = True
            self.relay.pairs.pop(self, None)

    def abort(self) -> None:
        for end in (self.near, self.far):
            if end.up:
                end.transport.abortConnection()


class _Out(ClientFactory):
    noisy = False

    def __init__(self, pair: _Pair) -> None:
        self.pair = pair

    def buildProtocol(self, addr: Any) -> _End:
        return self.pair.far

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.pair.abort()


class Relay(ServerFactory):
    """`target` may change while it runs, as the process behind it is started anew."""

    noisy = False

    def __init__(self, reactor: Any, journal: Journal, name: str, seed: int = 1) -> None:
        self.reactor, self.journal, self.name = reactor, journal, name
        self.chance = random.Random(seed)
        self.target: tuple[str, int] | None = None
        self.swallows: frozenset[str] = frozenset()
        self.reset = False
        self.delay = self.loss = self.rate = 0.0  # milliseconds, share of pieces, bytes a second (0: any)
        self.pairs: dict[_Pair, None] = {}
        self.carried = {FORWARD: 0, BACK: 0}
        self.port_object, self.port = listen(reactor, ("127.0.0.1", 0), self)

    def buildProtocol(self, addr: Any) -> _End:
        pair = _Pair(self)
        self.pairs[pair] = None
        return pair.near

    def swallow(self, ways: Iterable[str]) -> None:
        self.swallows = frozenset(ways)
        # What was torn stays so: its ends find out by their own time-outs, as after a real cut.
        self.journal.note("swallows", relay=self.name, ways=sorted(self.swallows))

    def break_all(self, on: bool = True) -> None:
        """Resets what there is, and all that comes while it is on."""
        self.reset = on
        self.journal.note("resets", relay=self.name, on=on)
        for pair in list(self.pairs):
            pair.abort()

    def close(self) -> None:
        self.port_object.stopListening()
        for pair in list(self.pairs):
            pair.abort()


class Network:
    """The relays of a fleet, by source and destination."""

    def __init__(self, reactor: Any, journal: Journal) -> None:
        self.reactor, self.journal = reactor, journal
        self.relays: dict[tuple[str, str], Relay] = {}

    def relay(self, source: str, to: str) -> Relay:
        if (source, to) not in self.relays:
            self.relays[source, to] = Relay(self.reactor, self.journal, f"{source}>{to}", len(self.relays))
        return self.relays[source, to]

    def aim(self, to: str, address: tuple[str, int]) -> None:
        """Where a process is that was started."""
        for (_, name), relay in self.relays.items():
            if name == to:
                relay.target = address

    def cut(self, some: Iterable[str], others: Iterable[str], how: str = "both") -> None:
        """`how`: both, out (nothing of `some` arrives at `others`), in, or reset; "none" heals."""
        others = list(others)
        for one in some:
            for other in others:
                if one == other:
                    continue
                for source, to, out in ((one, other, True), (other, one, False)):
                    relay = self.relays.get((source, to))
                    if relay is None:
                        continue
                    # From one to other is forward in the relay one>other and back in other>one.
                    there, back = (FORWARD, BACK) if out else (BACK, FORWARD)
                    if how == "reset":
                        relay.break_all()
                        continue
                    if relay.reset:
                        relay.break_all(False)
                    relay.swallow({"both": (there, back), "out": (there,), "in": (back,), "none": ()}[how])

    def restore(self) -> None:
        for relay in self.relays.values():
            if relay.reset:
                relay.break_all(False)
            if relay.swallows:
                relay.swallow(())
            relay.delay = relay.loss = relay.rate = 0.0

    def close(self) -> None:
        for relay in self.relays.values():
            relay.close()
