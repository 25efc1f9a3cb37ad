"""Carries trips by the platform's protocol; `docs/node.md` has the table of outcomes."""
from __future__ import annotations

from typing import Any

from .. import interface as i
from ..front.carriage import Carriage, Streaming
from ..net import client, clock
from . import protocol


class Trip(Carriage):
    """A trip whose reply may be a refusal; `fields` are the names of the load report's figures."""

    fields: list[str] = []
    expires = 0.0                    # when the time told to its engine is over

    def send(self, asked: protocol.Asked, time_out: float) -> client.Call:
        self.expires = clock.now() + time_out
        headers = [(protocol.ID, asked.key), (protocol.TIME_LEFT, str(max(1, round(time_out))))]
        headers += asked.headers
        if not any(name.lower() == "content-type" for name, _ in asked.headers):
            headers.append(("Content-Type", "application/json"))
        self.call = self.pool.call("POST", asked.path, self, headers, asked.body)
        return self.call

    def _refusal(self) -> tuple[i.Outcome, int]:
        return protocol.refusal(self.status, self.headers)

    def _report(self) -> dict[str, float] | None:
        return protocol.load_report(self.headers.get(protocol.LOAD), self.fields)


class Reading(Trip):
    def done(self) -> None:
        if self.status != 202:
            return super().done()
        self._end(i.Outcome.READ, protocol.cached_tokens(bytes(self.body)))


class Writing(Streaming, Trip):
    """A stream of events goes to the client as it comes; it is whole with its last chunk."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.stream = protocol.Stream(self.bound)

    def _stream(self, data: bytes) -> None:
        try:
            self._whole(self.stream.feed(data))
        except protocol.Spoilt as fault:
            self._whole(fault.args[1])
            self._end(i.Outcome.ERROR)

    def _whole(self, events: bytes) -> None:
        if events and not self.over:
            self._pass_on(events)

    def _stream_over(self) -> None:
        if self.last and not self.stream.cut and self.headers.get("transfer-encoding"):
            self._end(i.Outcome.DELIVERED, self.stream.cached, ())
        else:
            self._end(i.Outcome.ERROR)

    def _report(self) -> dict[str, float] | None:
        return protocol.load_report(self.stream.report, self.fields) or super()._report()
