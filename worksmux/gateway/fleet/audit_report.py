"""Answers to `/fleet/audit`: the decisions on a request, or the versions that nodes acted on.

The fields are named as the JSON keys of the answer.
"""

from __future__ import annotations

from dataclasses import dataclass

from ...config_audit.audit_log import Version
from ...config_audit.fleet_audit import ExplainedDecision, Finding, FleetAudit, Span


@dataclass(frozen=True, slots=True)
class DecisionReport:
    """A decision of the node `front` on the attempt `trip`, with the versions active at that time.

    `line` is the number of these versions; `versions` is None if the record with them is missing.
    """

    front: str
    trip: int
    at: float
    line: int
    versions: dict[str, Version] | None


@dataclass(frozen=True, slots=True)
class RequestReport:
    """All known decisions on one request."""

    job: str
    decisions: list[DecisionReport]


@dataclass(frozen=True, slots=True)
class VersionsReport:
    """The versions that nodes acted on, and the faults of their logs."""

    fronts: list[str]
    spans: list[Span]
    findings: list[Finding]


def request_report(audit: FleetAudit, request: str) -> RequestReport:
    """Returns each known decision on a request with its versions."""
    return RequestReport(request, [_decision_report(explained) for explained in audit.explain(request)])


def _decision_report(explained: ExplainedDecision) -> DecisionReport:
    decision = explained.decision
    return DecisionReport(
        explained.node, decision.attempt, decision.at_ms, decision.versions_number, explained.versions
    )


def versions_report(audit: FleetAudit, at_ms: float | None, until_ms: float) -> VersionsReport:
    """Returns the spans of all nodes at `at_ms`, or all spans up to `until_ms`; wall clock times."""
    nodes = sorted(audit.records)
    if at_ms is not None:
        spans = list(audit.spans_at(at_ms).values())
    else:
        spans = [span for node in nodes for span in audit.spans(node, until_ms)]
    return VersionsReport(nodes, spans, audit.findings())
