"""A registry stand-in: pushes lists and changes as JSON lines, late by what it is told, and journals what it
said."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, cast

import msgspec
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from ..api.listing import HELLO_DECODER, Line, Listing
from ..net import clock
from ..net.loop import Reactor, Transport, listen
from .journal import Journal


class Subscriber(LineReceiver):
    """One front's connection."""

    delimiter = b"\n"

    def __init__(self, registry: Registry) -> None:
        self.registry, self.front, self.serial, self.watching = registry, "", 0, not registry.polled

    def lineReceived(self, line: bytes) -> None:
        message = HELLO_DECODER.decode(line)
        if message.hello:
            self.front = message.hello
            self.registry.subscribers[self] = None
            if self.watching:
                self.registry.send_full(self)
        if message.watch is not None:
            self.watching = message.watch
            if self.watching:
                self.registry.send_full(self)
        if message.fetch:
            self.registry.send_full(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.registry.subscribers.pop(self, None)

    def send(self, message: Listing) -> None:
        if not self.registry.truncates_lists:
            self.registry.journal.note(
                "told",
                front=self.front,
                serial=message.serial,
                list=message.scope,
                engines=[[line.id, line.state, line.started] for line in message.engines],
            )
        way = self.registry.rewrite_endpoint
        if way is not None:
            engines = [way(self.front, one) for one in message.engines]
            message = msgspec.structs.replace(message, engines=engines)
        line = msgspec.json.encode(message) + b"\n"
        if self.registry.truncates_lists:
            cast(Transport, self.transport).write(line[: len(line) // 2])
            cast(Transport, self.transport).loseConnection()
        else:
            cast(Transport, self.transport).write(line)


class Registry(ServerFactory):
    """`late` gives the lower and upper delay of a change in milliseconds; `extra` is added to it."""

    noisy = False

    def __init__(
        self, reactor: Reactor, journal: Journal, late: tuple[float, float], polled: bool, seed: int
    ) -> None:
        self.reactor, self.journal, self.late, self.polled = reactor, journal, late, polled
        self.chance = random.Random(seed)
        self.extra_delay_ms = 0.0
        self.changes_to_drop = 0  # changes that get lost, each front alike
        self.engines: dict[str, Line] = {}  # as they are
        self.listed: dict[str, Line] = {}  # as the registry knows them by now
        self.serial = 0
        self.subscribers: dict[Subscriber, None] = {}
        self.port_object: Any = None
        self.port = 0
        self.fails_lists = False
        self.silent = False  # takes connections and says nothing
        self.truncates_lists = False  # breaks off in the middle of each list
        self.rewrite_endpoint: Callable[[str, Line], Line] | None = (
            None  # how a front is told to reach an engine
        )

    def start(self) -> int:
        self.port_object, self.port = listen(self.reactor, ("127.0.0.1", self.port), self)
        self.reactor.callLater(1.0, self._beat)
        return self.port

    def _beat(self) -> None:
        for front in self.subscribers:
            if not self.silent:
                cast(Transport, front.transport).write(b"\n")
        self.reactor.callLater(1.0, self._beat)

    def buildProtocol(self, addr: IAddress | None) -> Subscriber:
        return Subscriber(self)

    def go_offline(self) -> None:
        """The registry goes away: its connections break and new ones are refused."""
        self.port_object.stopListening()
        for front in list(self.subscribers):
            cast(Transport, front.transport).abortConnection()

    def go_online(self) -> None:
        self.port_object, _ = listen(self.reactor, ("127.0.0.1", self.port), self)

    def change(self, line: Line, at_once: bool = False) -> None:
        """An engine's line has changed; fronts hear of it later."""
        self.engines[line.id] = line
        delay = 0.0 if at_once else self.chance.uniform(*self.late) + self.extra_delay_ms
        self.reactor.callLater(delay / 1000, self._publish, msgspec.structs.replace(line))

    def _publish(self, line: Line) -> None:
        self.serial += 1
        self.listed[line.id] = line
        if self.changes_to_drop > 0:
            self.changes_to_drop -= 1
            return
        for front in list(self.subscribers):
            if front.watching:
                front.send(Listing("delta", self.serial, self.serial - 1, clock.wall(), [line]))

    def send_full(self, front: Subscriber) -> None:
        if self.silent:
            return
        if self.fails_lists:
            return front.send(Listing("failed", self.serial, reason="an injected fault"))
        lines = [line for line in self.listed.values() if line.state != "gone"]
        front.send(Listing("full", self.serial, None, clock.wall(), lines))
