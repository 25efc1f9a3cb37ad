"""The clients' side of a node: heads checked, streams passed on unchanged, one answer to each job."""

from __future__ import annotations

from ..api import errors
from ..forwarding.stream_relay import StreamSide
from ..net.server import Exchange
from . import protocol
from .core import NodeCore

DEFERRED, BROKEN_OFF, TIMED_OUT = 503, 502, 504


class StreamClient(StreamSide):
    """One client's job; see `case.Client`."""

    def text(self, content: bytes) -> None:
        self._begin()
        self.exchange.send_piece(content)

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
            self.exchange.truncate()  # without the last chunk
        else:
            self.exchange.answer(status, errors.error(message, "server_error"), headers=headers)


class NodeClients:
    """Takes the calls of clients; `ready` says whether new ones should come."""

    def __init__(self, core: NodeCore) -> None:
        self.core = core
        self.request_classes = {name: at for at, name in enumerate(core.request_classes)}
        self.ready = False

    def __call__(self, exchange: Exchange) -> None:
        path = exchange.uri.decode("latin-1").partition("?")[0]
        if path == protocol.CHAT and exchange.method == b"POST":
            self._chat(exchange)
        elif path == protocol.READY and exchange.method in (b"GET", b"HEAD"):
            able = self.ready and not self.core.failed
            status, text = (200, b"serving\n") if able else (503, b"not serving\n")
            exchange.answer(status, text, "text/plain")
        elif path in (protocol.CHAT, protocol.READY):
            self._no(exchange, 405, "another method was expected")
        else:
            self._no(exchange, 404, "no such path")

    def _no(self, exchange: Exchange, status: int, message: str) -> None:
        """An error for what is no job; its connection is not trusted further."""
        self.core.metrics.turned_away(str(status))
        exchange.close_after_answer()
        exchange.answer(status, errors.error(message, "invalid_request_error"))

    def _chat(self, exchange: Exchange) -> None:
        try:
            asked = protocol.asked(
                exchange.header_values, exchange.uri.decode("latin-1"), exchange.body(), self.request_classes
            )
        except protocol.Refused as fault:
            return self._no(exchange, fault.status, fault.why)
        asked.headers = protocol.forwarded(exchange.header_fields())
        if asked.key in self.core.keys:
            return self._no(exchange, 409, "a job with this id is open")
        side = StreamClient(exchange)
        if self.core.failed:  # the module has: nothing would decide on it
            self.core.metrics.turned_away("module failed")
            return side.deferred(0.0)
        if len(self.core.cases) >= self.core.share.requests:
            self.core.metrics.turned_away("too many open")
            return side.deferred(0.0)
        case = side.case = self.core.arrived(asked, side, exchange.earliest_arrival_ms())
        exchange.on_disconnect = lambda: self.core.left(case)
