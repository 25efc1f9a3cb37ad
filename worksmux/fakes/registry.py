"""A fake registry: sends endpoint lists and changes as JSON lines after a set delay, and records each."""

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
    """The connection of one gateway."""

    delimiter = b"\n"

    def __init__(self, registry: Registry) -> None:
        self.registry, self.gateway_name, self.serial, self.watching = registry, "", 0, not registry.polled

    def lineReceived(self, line: bytes) -> None:
        message = HELLO_DECODER.decode(line)
        if message.hello:
            self.gateway_name = message.hello
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
        """Sends a message and records it, unless the registry truncates lists."""
        if not self.registry.truncates_lists:
            self.registry.journal.note(
                "told",
                front=self.gateway_name,
                serial=message.serial,
                list=message.scope,
                engines=[[line.id, line.state, line.started] for line in message.engines],
            )
        rewrite = self.registry.rewrite_endpoint
        if rewrite is not None:
            engines = [rewrite(self.gateway_name, endpoint) for endpoint in message.engines]
            message = msgspec.structs.replace(message, engines=engines)
        line = msgspec.json.encode(message) + b"\n"
        if self.registry.truncates_lists:
            cast(Transport, self.transport).write(line[: len(line) // 2])
            cast(Transport, self.transport).loseConnection()
        else:
            cast(Transport, self.transport).write(line)


class Registry(ServerFactory):
    """The endpoint list and its subscribers.

    A change is published after a random delay within `delay_range_ms`, plus `extra_delay_ms`.
    """

    noisy = False

    def __init__(
        self, reactor: Reactor, journal: Journal, delay_range_ms: tuple[float, float], polled: bool, seed: int
    ) -> None:
        self.reactor, self.journal, self.delay_range_ms, self.polled = (
            reactor,
            journal,
            delay_range_ms,
            polled,
        )
        self.random_source = random.Random(seed)
        self.extra_delay_ms = 0.0
        self.changes_to_drop = 0  # next changes that no subscriber receives
        self.engines: dict[str, Line] = {}  # the actual state
        self.listed: dict[str, Line] = {}  # the published state
        self.serial = 0
        self.subscribers: dict[Subscriber, None] = {}
        self.port_object: Any = None
        self.port = 0
        self.fails_lists = False
        self.silent = False  # accepts connections and sends nothing
        self.truncates_lists = False  # closes the connection in the middle of each list
        self.rewrite_endpoint: Callable[[str, Line], Line] | None = None  # by gateway name

    def start(self) -> int:
        """Starts to listen and returns the port."""
        self.port_object, self.port = listen(self.reactor, ("127.0.0.1", self.port), self)
        self.reactor.callLater(1.0, self._send_keep_alive)
        return self.port

    def _send_keep_alive(self) -> None:
        for subscriber in self.subscribers:
            if not self.silent:
                cast(Transport, subscriber.transport).write(b"\n")
        self.reactor.callLater(1.0, self._send_keep_alive)

    def buildProtocol(self, addr: IAddress | None) -> Subscriber:
        return Subscriber(self)

    def go_offline(self) -> None:
        """Resets all connections and refuses new ones."""
        self.port_object.stopListening()
        for subscriber in list(self.subscribers):
            cast(Transport, subscriber.transport).abortConnection()

    def go_online(self) -> None:
        """Listens on the same port again."""
        self.port_object, _ = listen(self.reactor, ("127.0.0.1", self.port), self)

    def change(self, line: Line, at_once: bool = False) -> None:
        """Stores an engine's new endpoint and publishes it after the delay."""
        self.engines[line.id] = line
        delay_ms = 0.0 if at_once else self.random_source.uniform(*self.delay_range_ms) + self.extra_delay_ms
        self.reactor.callLater(delay_ms / 1000, self._publish, msgspec.structs.replace(line))

    def _publish(self, line: Line) -> None:
        self.serial += 1
        self.listed[line.id] = line
        if self.changes_to_drop > 0:
            self.changes_to_drop -= 1
            return
        for subscriber in list(self.subscribers):
            if subscriber.watching:
                subscriber.send(Listing("delta", self.serial, self.serial - 1, clock.wall(), [line]))

    def send_full(self, subscriber: Subscriber) -> None:
        """Sends the whole endpoint list, or the faulty reply that is switched on."""
        if self.silent:
            return
        if self.fails_lists:
            return subscriber.send(Listing("failed", self.serial, reason="an injected fault"))
        lines = [line for line in self.listed.values() if line.state != "gone"]
        subscriber.send(Listing("full", self.serial, None, clock.wall(), lines))
