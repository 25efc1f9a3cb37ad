"""Carries attempts by the platform's protocol; `docs/node.md` has the table of outcomes."""

from __future__ import annotations

from typing import Any

from ..forwarding.attempt import Carriage, Streaming
from ..net import client, clock
from ..policy.state import Engine, Outcome
from . import protocol

TOLD_EARLY = 20.0  # milliseconds that the time told may be older than the attempt


class AttemptCall(Carriage):
    """An attempt whose reply may be a refusal; `fields` are the names of the load report's figures."""

    fields: list[str] = []
    asked: protocol.Asked
    made_at = 0.0  # when its head was written
    expires = 0.0  # when the time told to its engine is over
    written_at = 0.0  # when its connection was up and its bytes were handed over
    held_back = False  # it has waited for a release
    watched = False  # it is looked at for signs of life
    last = 0.0  # when the latest piece of its stream came

    def send(self, asked: protocol.Asked, time_out: float) -> client.Call:
        self.asked, self.made_at = asked, clock.now()
        self.expires = self.made_at + time_out
        self.call = self.pool.call("POST", asked.path, self, self._headers(), asked.body)
        return self.call

    def _headers(self) -> list[tuple[str, str]]:
        left = max(1, round(self.expires - clock.now()))
        headers = [(protocol.ID, self.asked.key), (protocol.TIME_LEFT, str(left)), *self.asked.headers]
        if not any(name.lower() == "content-type" for name, _ in self.asked.headers):
            headers.append(("Content-Type", "application/json"))
        return headers

    def came_up(self) -> None:
        """Its connection has come up: the engine is told the time that is left now."""
        if self.call is not None and clock.now() - self.made_at > TOLD_EARLY:
            self.call.data = client.encode_request(
                "POST", self.asked.path, self.pool.name, self._headers(), self.asked.body
            )

    def go(self) -> None:
        """Its wait for a release is over."""
        if self.call is not None:
            self.call.go()

    @property
    def engine(self) -> Engine:
        return self.attempt.engine

    @property
    def reading(self) -> bool:
        return self.attempt.reading

    @property
    def last_sign(self) -> float:
        """When its engine was last known to run: as the newest call that it answered began, or as the latest
        piece of this one's stream came."""
        return max(self.pool.latest_answered_start_ms, self.last)

    def _refusal(self) -> tuple[Outcome, int]:
        return protocol.refusal(self.status, self.headers)

    def _report(self) -> dict[str, float] | None:
        return protocol.load_report(self.headers.get(protocol.LOAD), self.fields)


class PrefillAttempt(AttemptCall):
    def done(self) -> None:
        if self.status != 202:
            return super().done()
        self._end(Outcome.READ, protocol.cached_tokens(bytes(self.body)))


class DecodeAttempt(Streaming, AttemptCall):
    """A stream of events goes to the client as it comes; it is whole with its last chunk."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.stream = protocol.Stream(self.bound)

    def _stream(self, data: bytes) -> None:
        try:
            self._whole(self.stream.feed(data))
        except protocol.Spoilt as fault:
            self._whole(fault.args[1])
            self._end(Outcome.ERROR)

    def _whole(self, events: bytes) -> None:
        if events and not self.over:
            self._pass_on(events)

    def _stream_over(self) -> None:
        if self.last and not self.stream.cut and self.headers.get("transfer-encoding"):
            self._end(Outcome.DELIVERED, self.stream.cached, ())
        else:
            self._end(Outcome.ERROR)

    def _report(self) -> dict[str, float] | None:
        return protocol.load_report(self.stream.report, self.fields) or super()._report()
