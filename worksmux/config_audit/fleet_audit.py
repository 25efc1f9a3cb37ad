"""The combined audit logs of several nodes: which node acted on which version, and when.

Records come from the nodes themselves or from copies, late, in any order and more than once. Nothing is
inferred: a time for which a node has no record is reported as unknown. The module does no I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from .audit_log import (
    ActiveVersions,
    AuditRecord,
    Decision,
    DecisionBatch,
    ProcessStart,
    Version,
    chain_faults,
)


@dataclass(frozen=True)
class Span:
    """The time from `since` to `until`, by a node's wall clock in milliseconds, in which it used `versions`.

    `versions` is None if they are unknown. `line` is the number of the set of versions in the node's log. The
    fields have the names of the JSON that `/fleet/audit` returns.
    """

    front: str
    since: float
    until: float
    versions: dict[str, Version] | None
    line: int = 0


@dataclass(frozen=True)
class Finding:
    """A fault in a node's log, at or after the record `index`.

    The fields have the names of the JSON that `/fleet/audit` returns.
    """

    front: str
    index: int
    text: str


@dataclass(frozen=True)
class ExplainedDecision:
    """A decision and the versions that were active; None if the record with them is missing."""

    node: str
    decision: Decision
    versions: dict[str, Version] | None


@dataclass
class FleetAudit:
    """Collects the records of all nodes, by node and index."""

    records: dict[str, dict[int, AuditRecord]] = field(default_factory=lambda: defaultdict(dict))
    conflicts: list[Finding] = field(default_factory=list)

    def add(self, node: str, records: Iterable[AuditRecord]) -> None:
        """Adds records of a node's log.

        A disk that is restored from a backup reuses indices that were assigned before. It shows as two
        different records at one index. These are reported as a conflict, and the first one is kept.
        """
        known = self.records[node]
        for record in records:
            existing = known.setdefault(record.index, record)
            if existing.digest != record.digest:
                self.conflicts.append(Finding(node, record.index, "two different records have this index"))

    def records_of(self, node: str) -> list[AuditRecord]:
        """Returns the records of a node, in order of their indices."""
        return [record for _, record in sorted(self.records.get(node, {}).items())]

    def findings(self) -> list[Finding]:
        """Returns conflicting records, faults of the chains, and versions with more than one content."""
        findings = list(self.conflicts)
        for node in sorted(self.records):
            faults = chain_faults(self.records_of(node))
            findings += [Finding(node, fault.index, fault.text) for fault in faults]
        return findings + self._version_conflicts()

    def _version_conflicts(self) -> list[Finding]:
        """Finds numbered versions that have different contents on different nodes or at different times."""
        findings = []
        first_seen: dict[tuple[str, int], tuple[str, str]] = {}  # (name, number) -> (fingerprint, node)
        for node in sorted(self.records):
            for record in self.records_of(node):
                if not isinstance(record.body, ActiveVersions):
                    continue
                for name, version in record.body.versions.items():
                    if not version.number:
                        continue
                    fingerprint, first_node = first_seen.setdefault(
                        (name, version.number), (version.fingerprint, node)
                    )
                    if fingerprint != version.fingerprint:
                        version_text = f"{name} {version.number} is {version.fingerprint}"
                        text = f"{version_text}, and {fingerprint} at {first_node}"
                        findings.append(Finding(node, record.index, text))
        return findings

    def spans(self, node: str, until: float) -> list[Span]:
        """Returns a node's spans in order of time. The time from its last record to `until` is unknown."""
        builder = _SpanBuilder(node)
        for record in self.records_of(node):
            builder.add(record)
        return builder.finish(until)

    def spans_at(self, time: float) -> dict[str, Span]:
        """Returns, by node, the span that includes a moment."""
        spans_by_node = {}
        for node in self.records:
            for span in self.spans(node, time + 1.0):
                if span.since <= time <= span.until:
                    spans_by_node[node] = span
        return spans_by_node

    def spans_of_version(self, name: str, number: int) -> list[Span]:
        """Returns the spans in which a node acted on one version."""
        return [
            span
            for node in sorted(self.records)
            for span in self.spans(node, 0.0)
            if span.versions and name in span.versions and span.versions[name].number == number
        ]

    def explain(self, request: str) -> list[ExplainedDecision]:
        """Returns all decisions on a request, in order of time."""
        explained: list[ExplainedDecision] = []
        for node in self.records:
            bodies = [record.body for record in self.records_of(node)]
            versions = {body.number: body.versions for body in bodies if isinstance(body, ActiveVersions)}
            explained += [
                ExplainedDecision(node, decision, versions.get(decision.versions_number))
                for body in bodies
                if isinstance(body, DecisionBatch)
                for decision in body.decisions
                if decision.request == request
            ]
        return sorted(explained, key=lambda entry: entry.decision.at_ms)


class _SpanBuilder:
    """Converts the records of one node, in order, into spans."""

    def __init__(self, node: str) -> None:
        self.node = node
        self.spans: list[Span] = []
        self.active: ActiveVersions | None = None
        self.active_since = 0.0
        self.last: AuditRecord | None = None

    def add(self, record: AuditRecord) -> None:
        """Adds the next record, and ends the span that it closes."""
        last = self.last
        is_gap = last is not None and record.index != last.index + 1
        is_start = isinstance(record.body, ProcessStart)
        if last is not None and (is_gap or is_start):
            # Records are missing, or the previous process ended at an unknown time after its last record.
            self._end_active(last.wall_ms)
            self._add_unknown(last.wall_ms, record.wall_ms)
        if isinstance(record.body, ActiveVersions):
            self._end_active(record.wall_ms)
            self.active, self.active_since = record.body, record.wall_ms
        self.last = record

    def finish(self, until: float) -> list[Span]:
        """Ends the last span and returns all that are not empty."""
        if self.last is not None:
            self._end_active(self.last.wall_ms)
            if until > self.last.wall_ms:
                self._add_unknown(self.last.wall_ms, until)
        return [span for span in self.spans if span.until > span.since or span.versions is not None]

    def _end_active(self, until: float) -> None:
        if self.active is not None:
            self.spans.append(
                Span(self.node, self.active_since, until, self.active.versions, self.active.number)
            )
            self.active = None

    def _add_unknown(self, since: float, until: float) -> None:
        self.spans.append(Span(self.node, since, until, None))
