"""Zone reports of this node, and their sum with the reports of its children in the replication tree."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ...failover.reports import FleetReport, sum_reports
from ...failover.watcher import Watcher
from ...settings.front import GatewaySettings

_REPORT_DECODER = msgspec.msgpack.Decoder(FleetReport)


class ZoneReports:
    """Collects zone reports; `on_refused(detail)` is called for each report that cannot be used."""

    def __init__(self, settings: GatewaySettings, on_refused: Callable[[str], None]) -> None:
        request_classes = [request_class.name for request_class in settings.request_classes]
        self.watcher = Watcher(settings.zones, request_classes, settings.policy_settings)
        self.latest = FleetReport(zones={}, demand={})  # this node's own
        self._on_refused = on_refused

    def refresh(self, now_ms: float) -> None:
        """Replaces this node's latest report by a new one."""
        self.latest = self.watcher.report(now_ms)

    def total(self, child_reports: list[bytes]) -> FleetReport:
        """Returns the sum of this node's latest report and those of its children, without unusable ones."""
        reports = [self.latest]
        for data in child_reports:
            try:
                reports.append(_decode(data))
            except msgspec.DecodeError as error:
                self._on_refused(str(error))
        return sum_reports(reports)

    def encoded_total(self, child_reports: list[bytes]) -> bytes:
        """Returns `total` as it is sent to the parent."""
        return msgspec.msgpack.encode(self.total(child_reports))


def _decode(data: bytes) -> FleetReport:
    """Decodes a report; raises msgspec.DecodeError, also for figures that are out of range."""
    report = _REPORT_DECODER.decode(data)
    if not report.is_valid():
        raise msgspec.ValidationError("invalid zone report: a figure is out of range for its number of nodes")
    return report
