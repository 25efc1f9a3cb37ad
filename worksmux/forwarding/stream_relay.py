"""The client's side of a stream, whatever the protocol: its first piece begins it, and its reader sets the
pace."""

from __future__ import annotations

from ..net.server import Exchange
from .request_context import Case


class StreamSide:
    """One client's exchange; `case` is set once its job is taken."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.begun = False
        self.case: Case | None = None

    def gone(self) -> bool:
        """Whether the client has hung up."""
        return self.exchange.client_is_gone()

    def _begin(self, headers: tuple[tuple[str, str], ...] = ()) -> bool:
        """Begins the answer before its first piece; whether this was it."""
        if self.begun:
            return False
        self.begun = True
        self.exchange.begin("text/event-stream", headers)
        self._link()
        return True

    def _link(self) -> None:
        """A client that reads slowly slows its engine down, instead of filling this process."""
        if self.case is not None and not self.exchange.over:
            for attempt, carrier in self.case.out.items():
                if attempt.began:
                    self.exchange.registerProducer(carrier, True)

    def _unlink(self) -> None:
        if self.begun and not self.exchange.over:
            self.exchange.unregisterProducer()
