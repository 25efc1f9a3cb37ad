"""Serves the pages of the watch port: metrics, health, and the state of the fleet."""

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
    """Answers the exchanges of the watch port by path."""

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
        """All metrics, after an update of those that other objects hold."""
        gateway = self._gateway
        gateway.metrics.log_lines_lost.set(gateway.writer.lost if gateway.writer else 0)
        for budget in (gateway.client_server.buffers, gateway.core.engine_buffers):
            gateway.metrics.buffers(budget)
        gateway.metrics.connections_closed(gateway.client_server.take_closes())
        if gateway.tokens:
            gateway.metrics.tokens(gateway.tokens)
        if gateway.peering:
            gateway.metrics.fleet(gateway.peering.status())
        return gateway.metrics.text()

    def _answer_health(self, exchange: Exchange) -> None:
        """Answers 200 while an engine is ready and the gateway is not stopping, else 503."""
        gateway = self._gateway
        ready_count = gateway.engine_list.list_reader.ready_count
        state = (
            "stopping" if gateway.stopping else "serving" if ready_count else "no engine is listed as ready"
        )
        fleet = f"; {gateway.peering.readiness_text()}" if gateway.peering else ""
        text = f"{state}; engines ready: {ready_count}; open jobs: {len(gateway.core.open_requests)}{fleet}\n"
        status = OK if ready_count and not gateway.stopping else SERVICE_UNAVAILABLE
        exchange.answer(status, text.encode(), PLAIN_TEXT)

    @staticmethod
    def _answer_audit(exchange: Exchange, audit_log_keeper: AuditLogKeeper) -> None:
        """Answers what all audit logs record, by `at` (milliseconds since 1970) or `job`.

        The records of other gateways are collected first.
        """
        query = {key.decode("latin-1"): values[0].decode("latin-1") for key, values in exchange.args.items()}
        try:
            at_ms = float(query["at"]) if "at" in query else None
        except ValueError:
            return exchange.answer(BAD_REQUEST, b"at: expected milliseconds since 1970\n", PLAIN_TEXT)
        request = query.get("job", "")
        audit_log_keeper.collect(
            lambda: exchange.answer(OK, msgspec.json.encode(audit_log_keeper.report(at_ms, request)))
        )
