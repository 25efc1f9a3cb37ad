"""An HTTP/1.1 server on Twisted's HTTPFactory with limits on heads, bodies, times and connections."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet.interfaces import IAddress
from twisted.web import http

from . import clock
from .buffer_budget import BufferBudget
from .channel import Channel
from .client_activity import ClientActivity
from .eviction import EvictionQueue
from .exchange import Exchange
from .time_out import TimeOut
from .work_queue import WorkQueue

__all__ = ["Answerer", "Exchange", "Server"]

LOG = structlog.get_logger()
SWEEPS_PER_TIMEOUT = 8
REFUSAL_LOG_INTERVAL_MS = 1000.0
Answerer = Callable[[Exchange], None]


class Server(http.HTTPFactory):
    """Accepts connections and passes each complete request to `answerer`."""

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
        max_buffered_bytes: int = 0,
    ) -> None:
        """Sets the limits.

        Args:
            keep_alive_ms: the time after which an idle connection is closed.
            request_timeout_ms: the time in which a complete request must arrive, for the first request from
                the start of the connection; 0: no limit.
            max_connections: the number of open connections; 0: no limit.
            lateness_ms: how old data read now may be; see `lateness.Lateness`.
            max_buffered_bytes: of requests that have no answer yet, all connections together; 0: no limit.
        """
        super().__init__(timeout=keep_alive_ms / 1000, reactor=reactor)
        self.answerer = answerer
        self.max_body_bytes, self.max_head_bytes = max_body_bytes, max_head_bytes
        self.keep_alive_ms, self.request_timeout_ms = keep_alive_ms, request_timeout_ms
        self.max_connections = max_connections
        self.lateness_ms = lateness_ms
        self.closing = False  # each answer closes its connection
        self.closes: Counter[str] = Counter()  # count of connections that the server closed, by reason
        self._activity = ClientActivity()  # since the last `take_activity`
        self.channels: dict[Any, None] = {}
        self.buffers = BufferBudget("clients", max_buffered_bytes)  # requests without an answer
        self.evictions = EvictionQueue(self.channels)
        self.work_queue = WorkQueue(self.reactor)  # pipelined requests
        self.on_connection: Callable[[Any], None] | None = None  # called with each new channel
        self._sweep_timer: Any = None
        self._refusal_logged_at_ms = -REFUSAL_LOG_INTERVAL_MS

    def connection_made(self, channel: Any) -> None:
        """Registers a new connection, and closes the one with the highest rank if there are too many."""
        self.channels[channel] = None
        self._activity.connections += 1
        self.evictions.update(channel)
        if self.on_connection:
            self.on_connection(channel)
        if self.max_connections and len(self.channels) > self.max_connections:
            self.closes["too many"] += 1
            self._evict(self.evictions.take(channel))
        if self.request_timeout_ms and self._sweep_timer is None:
            self._schedule_sweep()

    def count_refusal(self, reason: str) -> None:
        """Counts a request that is refused before it is complete, and logs the first one of each second."""
        self.closes[reason] += 1
        now = clock.now()
        if now >= self._refusal_logged_at_ms + REFUSAL_LOG_INTERVAL_MS:
            self._refusal_logged_at_ms = now
            LOG.warning("incomplete request refused", reason=reason, refused=self.closes[reason])

    def take_closes(self) -> Counter[str]:
        """Returns the closed connections, by reason, and resets the counts."""
        closes, self.closes = self.closes, Counter()
        return closes

    def data_read(self, size: int, duration_ms: float) -> None:
        """Counts data that a connection has read, and the time in which it was handled."""
        self._activity.add_read(size, duration_ms)

    def request_received(self, exchange: Exchange) -> None:
        """Passes a complete request to the answerer."""
        self._activity.requests += 1
        self.answerer(exchange)

    def take_activity(self) -> dict[str, float]:
        """Returns counts of what clients sent since the last call, as fields of a log line."""
        activity, self._activity = self._activity, ClientActivity()
        return activity.log_fields()

    def _evict(self, channel: Any) -> None:
        """Aborts a connection and removes it at once.

        Failure: its descriptor is freed only a moment later; if it counted as open until then, each new
        connection of a burst would choose it again, and the limit would be exceeded.
        """
        self.channels.pop(channel, None)
        channel.transport.abortConnection()

    def _schedule_sweep(self) -> None:
        reactor: Any = self.reactor
        interval_ms = self.request_timeout_ms / SWEEPS_PER_TIMEOUT
        self._sweep_timer = TimeOut(reactor, interval_ms / 1000, self._sweep)

    def _sweep(self) -> None:
        """Closes idle connections, and those whose request does not arrive completely in time.

        One pass over all connections costs less than a timer for each. A late reactor reads what has arrived
        before the pass.
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
            # One sweep early, since the next sweep would be too late.
            if state_age_ms > self.request_timeout_ms * (1 - 1 / SWEEPS_PER_TIMEOUT):
                self.closes["request not whole in time"] += 1
                channel.refuse(b"408 Request Timeout")
        elif state_age_ms > self.keep_alive_ms:
            self.closes["idle"] += 1
            channel.loseConnection()

    @property
    def has_unsent_answers(self) -> bool:
        """Whether a closed connection has a part of an answer that has not reached its client's machine."""
        return any(channel.answer_unsent for channel in self.channels)

    def close_idle(self, unused_too: bool = True) -> None:
        """Closes connections without a request now, and the others after their next answer.

        Failure: a connection is closed while its first request is on its way.  A client retries a request
        that it sent while the connection was being closed, but only on a connection that it has used before.
        Therefore connections that never had a request stay open unless `unused_too` is set.

        A channel that is not persistent discards the request that it is receiving, so only channels with a
        complete request are made non-persistent here; `Channel.checkPersistence` does it for the others.
        """
        self.closing = True
        for channel in list(self.channels):
            if channel.busy:
                channel.persistent = False
            elif not channel.receiving and (channel.has_answered or unused_too):
                self.closes["stopping"] += 1
                channel.loseConnection()

    def stop(self) -> None:
        """Stops the timer; connections stay open."""
        if self._sweep_timer is not None and self._sweep_timer.active():
            self._sweep_timer.cancel()

    def buildProtocol(self, addr: IAddress | None) -> Any:
        """Creates the channel of a new connection."""
        channel: Any = Channel()  # Any: Twisted's channel has no types for these attributes
        channel.factory = channel.site = self
        channel.requestFactory = Exchange
        channel.timeOut = None if self.request_timeout_ms else self.timeOut
        channel.callLater = self.reactor.callLater
        return channel

    def log(self, request: http.Request) -> None:
        """Writes no access log, since the answerer logs one event per request."""
