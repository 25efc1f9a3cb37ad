"""An HTTP/1.1 server on Twisted's HTTPFactory that bounds heads, bodies, times and connections."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.web import http

from . import clock
from .channel import Channel
from .eviction import EvictionQueue
from .exchange import Exchange

__all__ = ["Answerer", "Exchange", "Server"]

SWEEPS_PER_TIMEOUT = 8
Answerer = Callable[[Exchange], None]


class Server(http.HTTPFactory):
    """Accepts connections and hands each whole request to `answerer`."""

    noisy = False

    def __init__(
        self,
        answerer: Answerer,
        max_body_bytes: int,
        max_head_bytes: int,
        keep_alive_ms: float,
        reactor: Any = None,
        request_timeout_ms: float = 0.0,
        max_connections: int = 0,
        lateness_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Args:
        keep_alive_ms: an idle connection is closed after it.
        request_timeout_ms: a request must arrive whole within it; for the first one it runs from the
            connection's start.  0: no bound.
        max_connections: at once; 0: any number.
        lateness_ms: by how much data read now may be older; see `lateness.Lateness`.
        """
        super().__init__(timeout=keep_alive_ms / 1000, reactor=reactor)
        self.answerer = answerer
        self.max_body_bytes, self.max_head_bytes = max_body_bytes, max_head_bytes
        self.keep_alive_ms, self.request_timeout_ms = keep_alive_ms, request_timeout_ms
        self.max_connections = max_connections
        self.lateness_ms = lateness_ms
        self.closing = False  # each answer closes its connection
        self.closes: Counter[str] = Counter()  # connections that the server ended, by reason
        self.channels: dict[Any, None] = {}
        self.evictions = EvictionQueue(self.channels)
        self.on_connection: Callable[[Any], None] | None = None  # called with each new channel
        self._sweep_timer: Any = None

    def connection_made(self, channel: Any) -> None:
        """Takes a new connection; where they are too many, closes the one that is spared best."""
        self.channels[channel] = None
        self.evictions.update(channel)
        if self.on_connection:
            self.on_connection(channel)
        if self.max_connections and len(self.channels) > self.max_connections:
            self.closes["too many"] += 1
            self._evict(self.evictions.take(channel))
        if self.request_timeout_ms and self._sweep_timer is None:
            self._schedule_sweep()

    def _evict(self, channel: Any) -> None:
        """Aborts a connection and forgets it at once.

        Failure: its descriptor is freed only a moment later; if it still counted as open, each new connection
        of a burst would choose it again, and the bound would be exceeded.
        """
        self.channels.pop(channel, None)
        channel.transport.abortConnection()

    def _schedule_sweep(self) -> None:
        reactor: Any = self.reactor
        interval_ms = self.request_timeout_ms / SWEEPS_PER_TIMEOUT
        self._sweep_timer = reactor.callLater(interval_ms / 1000, self._sweep)

    def _sweep(self) -> None:
        """Closes idle connections, and those whose request does not arrive whole in time.

        One pass over all connections costs less than a timer for each.
        """
        self._sweep_timer = None
        now = clock.now()
        for channel in list(self.channels):
            if not channel.busy and not channel.closing:
                self._close_if_expired(channel, now - channel.since_ms)
        if self.channels:
            self._schedule_sweep()

    def _close_if_expired(self, channel: Any, state_age_ms: float) -> None:
        if channel.receiving:
            # One sweep early, since the next would be too late.
            if state_age_ms > self.request_timeout_ms * (1 - 1 / SWEEPS_PER_TIMEOUT):
                self.closes["request not whole in time"] += 1
                channel.refuse(b"408 Request Timeout")
        elif state_age_ms > self.keep_alive_ms:
            self.closes["idle"] += 1
            channel.loseConnection()

    def close_idle(self, unused_too: bool = True) -> None:
        """Closes connections without a request now, and the others with their next answer.

        Failure: a connection is closed while its first request is on its way.  A client repeats a request
        that crosses the end of a connection it has used before, but not on a new one; so without
        `unused_too` those that never carried a request stay open.

        A channel that is not persistent discards the request it begins to receive, so only channels whose
        request is whole are made so here; for the others `Channel.checkPersistence` does it.
        """
        self.closing = True
        for channel in list(self.channels):
            if channel.busy:
                channel.persistent = False
            elif not channel.receiving and (channel.has_answered or unused_too):
                self.closes["stopping"] += 1
                channel.loseConnection()

    def stop(self) -> None:
        """Stops the timer; open connections stay."""
        if self._sweep_timer is not None and self._sweep_timer.active():
            self._sweep_timer.cancel()

    def buildProtocol(self, addr: IAddress | None) -> Any:
        channel: Any = Channel()  # Any: Twisted's channel is untyped where these are set
        channel.factory = channel.site = self
        channel.requestFactory = Exchange
        channel.timeOut = None if self.request_timeout_ms else self.timeOut
        channel.callLater = self.reactor.callLater
        return channel

    def log(self, request: http.Request) -> None:
        """No access log: the answerer logs one event per request."""
