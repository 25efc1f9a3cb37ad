"""The node's HTTP interface for clients: validates requests, relays streams, sends one answer per request."""

from __future__ import annotations

import math

import structlog

from ..api import errors
from ..forwarding.stream_relay import StreamRelay
from ..net import clock
from ..net.server import Exchange
from . import protocol
from .client_request import MAX_ID_CHARACTERS, end_to_end_headers, parse_client_request
from .core import NodeCore
from .errors import InvalidRequestError

LOG = structlog.get_logger()
REJECTED_STATUS, ABORTED_STATUS, TIMED_OUT_STATUS = 503, 502, 504
CONFLICT_STATUS = 409


class StreamClient(StreamRelay):
    """The client of one request; implements `forwarding.request_context.Client`."""

    def send_content(self, content: bytes) -> None:
        """Sends complete server-sent events."""
        self._begin()
        self.exchange.send_chunk(content)

    def complete(self, *result: object) -> None:
        """Ends a complete stream."""
        self._disconnect_backpressure()
        self.exchange.end()

    def reject(self, retry_after_ms: float) -> None:
        """Answers that the request was not executed."""
        headers = (("Retry-After", f"{retry_after_ms / 1000:.3f}"),) if retry_after_ms else ()
        message = "deferred: it has had no effect, and trying again is harmless"
        self._answer_error(REJECTED_STATUS, message, headers)

    def abort(self, timed_out: bool) -> None:
        """Answers that the request was possibly executed."""
        self._answer_error(TIMED_OUT_STATUS if timed_out else ABORTED_STATUS, "broken off: it may have run")

    def _answer_error(self, status: int, message: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
        if self.begun:
            self._disconnect_backpressure()
            self.exchange.truncate()  # no last chunk: the client detects the truncation
        else:
            self.exchange.answer(status, errors.error(message, "server_error"), headers=headers)


class NodeClients:
    """Handles client calls; `ready` is what the readiness path reports while the policy works."""

    def __init__(self, core: NodeCore) -> None:
        self.core = core
        self.request_classes = {name: index for index, name in enumerate(core.request_classes)}
        self.ready = False
        self.refuse_after = math.inf  # clock time in ms; requests that are read later are refused

    def __call__(self, exchange: Exchange) -> None:
        """Handles one client call."""
        path = exchange.uri.decode("latin-1").partition("?")[0]
        if path == protocol.CHAT_PATH and exchange.method == b"POST":
            exchange.when_read_ahead(lambda: self._chat(exchange))
        elif path == protocol.READY_PATH and exchange.method in (b"GET", b"HEAD"):
            self._answer_ready(exchange)
        elif path in (protocol.CHAT_PATH, protocol.READY_PATH):
            self._answer_invalid(exchange, 405, "another method was expected")
        else:
            self._answer_invalid(exchange, 404, "no such path")

    def _record_refusal(self, exchange: Exchange, reason: str, message: str = "") -> None:
        """Counts a call that does not become a request, and logs the first ones of each period."""
        self.core.metrics.turned_away(reason)
        if self.core.metrics.is_refusal_logged():
            request = (exchange.header(protocol.REQUEST_ID) or "")[:MAX_ID_CHARACTERS]
            LOG.info("request refused on arrival", request=request, reason=reason, message=message)

    def _answer_ready(self, exchange: Exchange) -> None:
        is_serving = self.ready and not self.core.failed
        status, text = (200, b"serving\n") if is_serving else (503, b"not serving\n")
        exchange.answer(status, text, "text/plain")

    def _answer_invalid(self, exchange: Exchange, status: int, message: str) -> None:
        """Answers an invalid request and closes its connection, whose framing may be wrong too."""
        self._record_refusal(exchange, str(status), message)
        exchange.close_after_answer()
        exchange.answer(status, errors.error(message, "invalid_request_error"))

    def _chat(self, exchange: Exchange) -> None:
        path = exchange.uri.decode("latin-1")
        try:
            request = parse_client_request(
                exchange.header_values, path, exchange.body(), self.request_classes
            )
        except InvalidRequestError as error:
            return self._answer_invalid(exchange, error.status, error.reason)
        request.headers = end_to_end_headers(exchange.header_fields())
        if request.key in self.core.open_keys:
            return self._answer_invalid(exchange, CONFLICT_STATUS, "a job with this id is open")
        if request.key in self.core.executed_keys:
            return self._answer_invalid(exchange, CONFLICT_STATUS, "a job with this id may have run")
        client = StreamClient(exchange)
        if self.core.failed:
            self._record_refusal(exchange, "module failed")
            return client.reject(0.0)
        if clock.now() > self.refuse_after:
            self._record_refusal(exchange, "stopping")
            return client.reject(0.0)
        if len(self.core.open_requests) >= self.core.share.requests:
            self._record_refusal(exchange, "too many open")
            return client.reject(0.0)
        context = client.context = self.core.arrived(request, client, exchange.earliest_arrival_ms())
        exchange.on_disconnect = lambda: self.core.client_disconnected(context)
