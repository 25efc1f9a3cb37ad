"""Attempts in the platform's protocol; `docs/node.md` has the table of outcomes."""

from __future__ import annotations

from typing import Any

from ..forwarding.attempt import AttemptCall, StreamingAttempt
from ..net import client, clock
from ..policy.state import Engine, Outcome
from . import engine_reply, protocol
from .client_request import ClientRequest
from .errors import CorruptStreamError
from .event_stream import EventStream

MAX_HEAD_AGE_MS = 20.0  # an older request head is rewritten, as the time left in it is too long


class NodeAttempt(AttemptCall):
    """An attempt whose reply may be a rejection; its times are clock times in ms."""

    report_fields: list[str] = []  # names of the metrics read from load reports
    client_request: ClientRequest
    head_written_at = 0.0
    expires_at = 0.0  # the end of the time left that is sent to the engine
    written_at = 0.0  # when its request was written to an established connection; 0: not yet
    has_waited_for_release = False
    monitored = False  # by the `UnresponsiveAttemptMonitor`
    last_piece_at = 0.0  # of its stream; 0: none yet

    def send(self, client_request: ClientRequest, timeout_ms: float) -> client.Call:
        """Starts the call to the engine."""
        self.client_request, self.head_written_at = client_request, clock.now()
        self.expires_at = self.head_written_at + timeout_ms
        self.call = self.pool.call("POST", client_request.path, self, self._headers(), client_request.body)
        return self.call

    def _headers(self) -> list[tuple[str, str]]:
        request = self.client_request
        remaining_ms = max(1, round(self.expires_at - clock.now()))
        headers = [
            (protocol.REQUEST_ID, request.key),
            (protocol.TIME_LEFT, str(remaining_ms)),
            *request.headers,
        ]
        if not any(name.lower() == "content-type" for name, _ in request.headers):
            headers.append(("Content-Type", "application/json"))
        return headers

    def refresh_head(self) -> None:
        """Rewrites an outdated request head with the time left after connecting took its time."""
        if self.call is not None and clock.now() - self.head_written_at > MAX_HEAD_AGE_MS:
            request = self.client_request
            self.call.data = client.encode_request(
                "POST", request.path, self.pool.name, self._headers(), request.body
            )

    def resume(self) -> None:
        """Sends the attempt after its wait for a release."""
        if self.call is not None:
            self.call.send_held()

    @property
    def engine(self) -> Engine:
        """The engine that executes the attempt."""
        return self.attempt.engine

    @property
    def is_prefill(self) -> bool:
        """Whether the attempt is a prefill."""
        return self.attempt.is_prefill

    @property
    def engine_responsive_at(self) -> float:
        """The latest clock time at which the engine was known to run.

        This is the start of the newest call that the engine answered, or the latest piece of this attempt's
        stream.
        """
        return max(self.pool.latest_answered_start_ms, self.last_piece_at)

    def _rejection(self) -> tuple[Outcome, int]:
        return engine_reply.rejection(self.status, self.headers)

    def _load_report(self) -> dict[str, float] | None:
        return engine_reply.parse_load_report(self.headers.get(protocol.LOAD), self.report_fields)


class PrefillAttempt(NodeAttempt):
    """A prefill attempt, which ends as PREFILLED with the number of cached tokens."""

    def done(self) -> None:
        """Handles the end of a complete reply."""
        if self.status != 202:
            return super().done()
        self._end(Outcome.PREFILLED, engine_reply.cached_tokens(bytes(self.body)))


class DecodeAttempt(StreamingAttempt, NodeAttempt):
    """A decode attempt, which relays a stream of events unchanged.

    The stream is complete with the last chunk of its transfer encoding.
    """

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.stream = EventStream(self.max_body_bytes)

    def _on_stream_data(self, data: bytes) -> None:
        try:
            self._relay_events(self.stream.feed(data))
        except CorruptStreamError as error:
            self._relay_events(error.intact)
            self._end(Outcome.ERROR)

    def _relay_events(self, events: bytes) -> None:
        if events and not self.over:
            self._relay(events)

    def _is_event_arriving(self) -> bool:
        return self.stream.is_event_arriving

    def _buffered_event_bytes(self) -> int:
        return self.stream.buffered_bytes

    def _on_stream_end(self) -> None:
        if self.last_piece_at and not self.stream.is_cut and self.headers.get("transfer-encoding"):
            self._end(Outcome.SERVED, self.stream.cached_tokens, ())
        else:
            self._end(Outcome.ERROR)

    def _load_report(self) -> dict[str, float] | None:
        report_in_stream = engine_reply.parse_load_report(self.stream.load_report, self.report_fields)
        return report_in_stream or super()._load_report()
