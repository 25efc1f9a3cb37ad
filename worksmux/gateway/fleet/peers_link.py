"""Messages between fronts: one POST each over the program's own HTTP, on a listener of their own.

A message is sent and forgotten: what it asks for comes back as another.  Each is bounded, typed, and names
fleet, form and sender; what does not fit is refused, counted and logged with sender and field, and changes
nothing.  Calls are few to each address and end by time, so that a front that is there and says nothing costs
little.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
import structlog

from ...config_audit import copies
from ...consensus import messages as council
from ...consensus import replication as following
from ...gossip import messages as peers
from ...net import client, clock
from ...net.loop import Reactor, listen
from ...net.server import Exchange, Server
from ...settings.fleet import FleetSettings

LOG = structlog.get_logger()
FORM = 1  # of messages; another one is refused by its number
PATH = "/fleet/message"
KIND = "application/msgpack"
HEAD = 8192
OUT = 16  # calls to one address at once; more are dropped, as a network does
IDLE = 2
SAY_AGAIN = 10_000.0  # milliseconds between two lines of the log about the same fault


class ToSeat(msgspec.Struct, tag="seat"):
    """Of the council: from one seat to another."""

    seat: str
    to: str
    message: council.Message


class ToPeer(msgspec.Struct, tag="peer"):
    message: peers.Message


class ToFollower(msgspec.Struct, tag="follow"):
    message: following.Message


class ToAccount(msgspec.Struct, tag="account"):
    message: copies.Message


Inner = ToSeat | ToPeer | ToFollower | ToAccount


class Envelope(msgspec.Struct):
    form: int
    fleet: str
    name: str
    life: int
    address: str
    inner: Inner


class _Head(msgspec.Struct):
    """What must be readable of a message of any form."""

    form: int
    fleet: str = ""
    name: str = ""


DECODE = msgspec.msgpack.Decoder(Envelope)
HEAD_OF = msgspec.msgpack.Decoder(_Head)
Take = Callable[[Envelope], None]


class PeersLink:
    def __init__(self, settings: FleetSettings, reactor: Reactor, name: str, take: Take) -> None:
        self.settings, self.reactor, self.name, self.take = settings, reactor, name, take
        self.life = 0
        self.address = settings.address
        self.server = Server(self._came, settings.body, HEAD, 10 * settings.period, reactor)
        self.pools: dict[str, client.Pool] = {}
        self.out: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.sent = self.sent_bytes = self.dropped = 0
        self.said: dict[str, float] = {}
        self.port: Any = None
        self.ended = False

    def start(self) -> None:
        self.port, number = listen(self.reactor, self.settings.listen, self.server)
        self.address = self.address or f"{self.settings.listen[0]}:{number}"

    def close(self) -> None:
        self.ended = True
        if self.port is not None:
            self.port.stopListening()
        for pool in self.pools.values():
            pool.close()
        for channel in list(self.server.channels):
            channel.transport.abortConnection()

    # Out.

    def post(self, name: str, address: str, inner: Inner) -> None:
        """To a front by name, by the way that settings tell or the address that it told."""
        address = self.settings.reach.get(name, address)
        if not address or self.ended:
            return
        if self.out[address] >= OUT:
            self.dropped += 1
            return
        body = msgspec.msgpack.encode(
            Envelope(FORM, self.settings.name, self.name, self.life, self.address, inner)
        )
        if address not in self.pools:
            host, _, port = address.rpartition(":")
            if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
                return self.refuse("address", name, f"{address[:100]!r} is no address")
            patience = self.settings.period
            self.pools[address] = client.Pool(
                self.reactor, host, int(port), patience, 10 * patience, IDLE, HEAD
            )
        self.out[address] += 1
        self.sent += 1
        self.sent_bytes += len(body)

        def over(*_: Any) -> None:
            if timer.active():
                timer.cancel()
            self.out[address] -= 1

        def late() -> None:
            call.abandon()
            self.out[address] -= 1

        timer = self.reactor.callLater(self.settings.period / 1000, late)
        call = self.pools[address].call(
            "POST", PATH, client.BufferedResponse(HEAD, over), (("Content-Type", KIND),), body
        )

    def forget(self, address: str) -> None:
        """A front has gone: its connections too."""
        pool = self.pools.pop(address, None)
        if pool is not None and not self.out[address]:
            pool.close()
            del self.out[address]

    # In.

    def _came(self, exchange: Exchange) -> None:
        if exchange.method != b"POST" or exchange.path.decode("latin-1") != PATH:
            return exchange.answer(404, b"")
        body = exchange.body()
        exchange.answer(204, b"", KIND)
        try:
            envelope = DECODE.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return self._refuse(body, str(error))
        if envelope.form != FORM or envelope.fleet != self.settings.name:
            return self._refuse(body, f"its form is {envelope.form}, its fleet {envelope.fleet!r}")
        self.take(envelope)

    def _refuse(self, body: bytes, why: str) -> None:
        try:
            head = HEAD_OF.decode(body)
            sender, reason = (
                head.name[:200],
                "form" if head.form != FORM else ("fleet" if head.fleet != self.settings.name else "field"),
            )
        except (msgspec.DecodeError, UnicodeDecodeError):
            sender, reason = "", "no message"
        self.refuse(reason, sender, why)

    def refuse(self, reason: str, sender: str, why: str) -> None:
        """Counts what was refused; logs it, each fault of each sender once in a while."""
        self.refused[reason] += 1
        now, fault = clock.now(), f"{reason} {sender}"
        if now > self.said.get(fault, -SAY_AGAIN) + SAY_AGAIN:
            if len(self.said) > 1000:
                self.said.clear()
            self.said[fault] = now
            LOG.warning("a message of another front is refused", sender=sender, reason=reason, why=why[:300])
