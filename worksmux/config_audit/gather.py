"""What the accounts of several fronts add up to: who acted on which version, and when; gaps are told as gaps.
Pure.

Accounts come from the fronts themselves or from copies, late, in any order and more than once.  Nothing is
filled by guessing: a span for which a front has no record is `unknown`.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from .audit_log import Decision, Line, Record, Requests, Start, Version, faults


@dataclass(frozen=True)
class Span:
    """A front acted on these versions from `since` to `until`; None: not known."""

    front: str
    since: float
    until: float
    versions: dict[str, Version] | None
    line: int = 0


@dataclass(frozen=True)
class Finding:
    front: str
    index: int
    text: str


@dataclass
class Accounts:
    """All records that came of each front, by index."""

    records: dict[str, dict[int, Record]] = field(default_factory=lambda: defaultdict(dict))
    findings: list[Finding] = field(default_factory=list)

    def take(self, front: str, records: Iterable[Record]) -> None:
        known = self.records[front]
        for record in records:
            old = known.setdefault(record.index, record)
            if old.digest != record.digest:
                # A disk put back from earlier goes on under numbers that were used.
                self.findings.append(Finding(front, record.index, "two records under one number"))

    def of(self, front: str) -> list[Record]:
        return [record for _, record in sorted(self.records.get(front, {}).items())]

    def faults(self) -> list[Finding]:
        """Broken chains, missing pieces, stepped clocks, and one number with two contents."""
        found = list(self.findings)
        for front in sorted(self.records):
            found += [Finding(front, fault.index, fault.text) for fault in faults(self.of(front))]
        seen: dict[tuple[str, int], tuple[str, str]] = {}
        for front in sorted(self.records):
            for record in self.of(front):
                if isinstance(record.body, Line):
                    for name, version in record.body.versions.items():
                        if not version.number:
                            continue
                        other = seen.setdefault((name, version.number), (version.mark, front))
                        if other[0] != version.mark:
                            text = f"{name} {version.number} is {version.mark}, and {other[0]} at {other[1]}"
                            found.append(Finding(front, record.index, text))
        return found

    def spans(self, front: str, until: float) -> list[Span]:
        """What it acted on, in order of time; between its last record and `until` nothing is known."""
        found: list[Span] = []
        line: Line | None = None
        since, last = 0.0, None
        for record in self.of(front):
            gap = last is not None and record.index != last.index + 1
            if gap and last is not None:
                if line is not None:
                    found.append(Span(front, since, last.wall, line.versions, line.number))
                found.append(Span(front, last.wall, record.wall, None))
                line = None
            match record.body:
                case Line():
                    if line is not None:
                        found.append(Span(front, since, record.wall, line.versions, line.number))
                    line, since = record.body, record.wall
                case Start():
                    if last is not None and not gap:
                        # The process before it ended somewhere between.
                        if line is not None:
                            found.append(Span(front, since, last.wall, line.versions, line.number))
                        found.append(Span(front, last.wall, record.wall, None))
                    line = None
                case _:
                    pass
            last = record
        if last is not None:
            if line is not None:
                found.append(Span(front, since, last.wall, line.versions, line.number))
            if until > last.wall:
                found.append(Span(front, last.wall, until, None))
        return [span for span in found if span.until > span.since or span.versions is not None]

    def at(self, time: float) -> dict[str, Span]:
        """By front: the span that holds a moment."""
        found = {}
        for front in self.records:
            for span in self.spans(front, time + 1.0):
                if span.since <= time <= span.until:
                    found[front] = span
        return found

    def acted_on(self, name: str, number: int) -> list[Span]:
        """Who acted on one version, and when."""
        return [
            span
            for front in sorted(self.records)
            for span in self.spans(front, 0.0)
            if span.versions and name in span.versions and span.versions[name].number == number
        ]

    def explain(self, request: str) -> list[tuple[str, Decision, dict[str, Version] | None]]:
        """Each decision on a job, with the versions of its line; None where the line is missing."""
        found: list[tuple[str, Decision, dict[str, Version] | None]] = []
        for front in self.records:
            lines = {
                record.body.number: record.body.versions
                for record in self.of(front)
                if isinstance(record.body, Line)
            }
            for record in self.of(front):
                if isinstance(record.body, Requests):
                    found += [
                        (front, one, lines.get(one.line))
                        for one in record.body.decisions
                        if one.request == request
                    ]
        return sorted(found, key=lambda entry: entry[1].at)
