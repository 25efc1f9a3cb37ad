"""The client side of a streamed answer, with backpressure from a slow client to the engine."""

from __future__ import annotations

from ..net.server import Exchange
from .request_context import RequestContext


class StreamRelay:
    """Relays a stream to one client's exchange; `context` is set once the request is accepted."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.begun = False
        self.context: RequestContext | None = None

    def is_disconnected(self) -> bool:
        """Whether the client has closed its connection."""
        return self.exchange.client_is_gone()

    def _begin(self, headers: tuple[tuple[str, str], ...] = ()) -> bool:
        """Sends the head of the answer unless it was sent; returns whether this call sent it."""
        if self.begun:
            return False
        self.begun = True
        self.exchange.begin("text/event-stream", headers)
        self._connect_backpressure()
        return True

    def _connect_backpressure(self) -> None:
        """Lets a client that reads slowly pause the engine's stream.

        Failure: the rest of the stream is buffered in this process, which shows as growing memory.
        """
        if self.context is not None and not self.exchange.over:
            for attempt, call in self.context.in_flight.items():
                if attempt.first_token_at:
                    self.exchange.registerProducer(call, True)

    def _disconnect_backpressure(self) -> None:
        if self.begun and not self.exchange.over:
            self.exchange.unregisterProducer()
