"""The clients' side of a node: heads checked, streams passed on unchanged, one answer to each job."""
from __future__ import annotations

import msgspec

from ..front.case import Case
from ..net import clock
from ..net.server import Exchange
from . import protocol
from .core import NodeCore

DEFERRED, BROKEN_OFF, TIMED_OUT = 503, 502, 504
MARGIN = 10.0            # milliseconds off a client's time for both ways; 99 of 100 took under 6 on the bench


def problem(message: str) -> bytes:
    return msgspec.json.encode({"error": {"message": message}})


class StreamClient:
    """One client's job; see `case.Client`."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.begun = False
        self.case: Case | None = None

    def text(self, content: bytes) -> None:
        if not self.begun:
            self.begun = True
            self.exchange.begin("text/event-stream")
            self._link()
        self.exchange.more(content)

    def _link(self) -> None:
        """A client that reads slowly slows its engine down, instead of filling this process."""
        if self.case is not None and not self.exchange.over:
            for trip, carrier in self.case.out.items():
                if trip.began:
                    self.exchange.registerProducer(carrier, True)

    def _unlink(self) -> None:
        if not self.exchange.over:
            self.exchange.unregisterProducer()

    def delivered(self, *result: object) -> None:
        self._unlink()
        self.exchange.end()

    def deferred(self, stay_away: float) -> None:
        wait = (("Retry-After", f"{stay_away / 1000:.3f}"),) if stay_away else ()
        self._refused(DEFERRED, "deferred: it has had no effect, and trying again is harmless", wait)

    def broken_off(self, timed_out: bool) -> None:
        self._refused(TIMED_OUT if timed_out else BROKEN_OFF, "broken off: it may have run")

    def _refused(self, status: int, message: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
        if self.begun:
            self._unlink()
            self.exchange.cut()                      # without the last chunk
        else:
            self.exchange.answer(status, problem(message), headers=headers)


class NodeClients:
    """Takes the calls of clients; `ready` says whether the node can serve."""

    def __init__(self, core: NodeCore) -> None:
        self.core = core
        self.offerings = {name: at for at, name in enumerate(core.offerings)}
        self.stopping = False
        self.ready = False

    def __call__(self, exchange: Exchange) -> None:
        path, _, query = exchange.uri.decode("latin-1").partition("?")
        if path == protocol.CHAT and exchange.method == b"POST":
            self._chat(exchange)
        elif path == protocol.READY and exchange.method in (b"GET", b"HEAD"):
            serving = self.ready and not self.stopping
            exchange.answer(200 if serving else 503, b"serving\n" if serving else b"stopping\n", "text/plain")
        elif path in (protocol.CHAT, protocol.READY):
            self._no(exchange, 405, "another method was expected")
        else:
            self._no(exchange, 404, "no such path")

    def _no(self, exchange: Exchange, status: int, message: str) -> None:
        """An error for what is no job; its connection is not trusted further."""
        self.core.metrics.turned_away(str(status))
        exchange.last()
        exchange.answer(status, problem(message))

    def _chat(self, exchange: Exchange) -> None:
        try:
            asked = protocol.asked(exchange.values, exchange.uri.decode("latin-1"), exchange.body(),
                                   self.offerings)
        except protocol.Refused as fault:
            return self._no(exchange, fault.status, fault.why)
        if asked.key in self.core.keys:
            return self._no(exchange, 409, "a job with this id is open")
        side = StreamClient(exchange)
        if len(self.core.cases) >= self.core.share.jobs:
            self.core.metrics.turned_away("too many open")
            return side.deferred(0.0)
        case = side.case = self.core.arrived(asked, side, clock.now() - MARGIN)
        exchange.on_gone = lambda: self.core.left(case)
