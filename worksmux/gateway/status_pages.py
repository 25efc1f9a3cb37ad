"""The pages of the watch port: metrics, health, and what the gateways of a fleet know."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..net.server import Exchange

if TYPE_CHECKING:
    from .fleet.audit_log_keeper import AuditLogKeeper
    from .serve import GatewayProcess

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
SERVICE_UNAVAILABLE = 503
PLAIN_TEXT = "text/plain"
PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8"


class StatusPages:
    """Answers the exchanges of the watch port."""

    def __init__(self, gateway: GatewayProcess) -> None:
        self._gateway = gateway

    def __call__(self, exchange: Exchange) -> None:
        path, peering = exchange.path.decode("latin-1"), self._gateway.peering
        if path == "/metrics":
            exchange.answer(OK, self._metrics(), PROMETHEUS_TEXT)
        elif path == "/live":
            exchange.answer(OK, b"running\n", PLAIN_TEXT)
        elif path in ("/health", "/ready"):
            self._answer_health(exchange)
        elif path == "/fleet/audit" and peering:
            self._answer_audit(exchange, peering.audit_logs)
        elif path == "/fleet" and peering:
            exchange.answer(OK, msgspec.json.encode(peering.status()))
        else:
            exchange.answer(NOT_FOUND, b"known here: /metrics /health /ready /live\n", PLAIN_TEXT)

    def _metrics(self) -> bytes:
        """All metrics; those that are read from elsewhere are updated first."""
        gateway = self._gateway
        gateway.metrics.lines_lost.set(gateway.writer.lost if gateway.writer else 0)
        if gateway.tokens:
            gateway.metrics.tokens(gateway.tokens)
        if gateway.peering:
            gateway.metrics.fleet(gateway.peering.status())
        return gateway.metrics.text()

    def _answer_health(self, exchange: Exchange) -> None:
        """200 while new requests should come here."""
        gateway = self._gateway
        ready = gateway.engine_list.list_reader.ready_count
        state = "stopping" if gateway.stopping else "serving" if ready else "no engine is listed as ready"
        fleet = f"; {gateway.peering.readiness_text()}" if gateway.peering else ""
        text = f"{state}; engines ready: {ready}; open jobs: {len(gateway.core.open_requests)}{fleet}\n"
        status = OK if ready and not gateway.stopping else SERVICE_UNAVAILABLE
        exchange.answer(status, text.encode(), PLAIN_TEXT)

    @staticmethod
    def _answer_audit(exchange: Exchange, keeper: AuditLogKeeper) -> None:
        """What all audit logs say, by `at` (milliseconds since 1970) or `job`; other gateways are asked
        first."""
        query = {key.decode("latin-1"): values[0].decode("latin-1") for key, values in exchange.args.items()}
        try:
            at = float(query["at"]) if "at" in query else None
        except ValueError:
            return exchange.answer(BAD_REQUEST, b"at: expected milliseconds since 1970\n", PLAIN_TEXT)
        request = query.get("job", "")
        keeper.collect(lambda: exchange.answer(OK, msgspec.json.encode(keeper.report(at, request))))
