"""A node's audit log: which versions were active when, and under which of them each decision was made. Pure.

The log is a chain of records. Each carries a digest over itself, which includes the digest of the record
before, so that a record that is missing, changed or restored from a backup shows, and where. The log is
bounded: the oldest records are removed, and the first one that is left tells the digest of its predecessor.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec
import xxhash

MAX_DECISIONS_PER_RECORD = 512
MAX_PENDING_DECISIONS = 100_000
MAX_CLOCK_STEP_MS = 1000.0  # of the wall clock against the monotonic one, between two records


class Version(msgspec.Struct, frozen=True):
    """A version of some content. `number` is the one it was agreed under; 0 if it has none."""

    number: int
    fingerprint: str = msgspec.field(name="mark")


class ActiveVersions(msgspec.Struct, frozen=True, tag="line"):
    """The versions, by name, that are active from this record on.

    Each set of versions has a number that is unique within the log.
    """

    number: int
    versions: dict[str, Version]


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """One decision on a request, with the number of the versions active then.

    `attempt` counts from 0; -1 is the final answer. `at_ms` is of the wall clock.
    """

    request: str
    attempt: int
    versions_number: int
    at_ms: float


class DecisionBatch(msgspec.Struct, frozen=True, tag="jobs"):
    """Decisions since the last batch.

    An empty one is a heartbeat: the node is alive and its versions are unchanged.
    """

    decisions: tuple[Decision, ...]


class ProcessStart(msgspec.Struct, frozen=True, tag="start"):
    """A process of this node has started."""

    generation: int = msgspec.field(name="life")


Body = ActiveVersions | DecisionBatch | ProcessStart


class AuditRecord(msgspec.Struct, frozen=True):
    """`index` counts all records of the log; `monotonic_ms` starts anew with each process."""

    index: int
    previous_digest: int = msgspec.field(name="before")
    wall_ms: float = msgspec.field(name="wall")
    monotonic_ms: float = msgspec.field(name="steady")
    body: Body
    digest: int = 0


DIGEST_ENCODER = msgspec.msgpack.Encoder(order="sorted")  # the same bytes in every process


def record_digest(record: AuditRecord) -> int:
    return xxhash.xxh3_64_intdigest(DIGEST_ENCODER.encode(msgspec.structs.replace(record, digest=0)))


def next_record(last: AuditRecord | None, wall_ms: float, monotonic_ms: float, body: Body) -> AuditRecord:
    """The record that follows `last`, or the first one."""
    index, previous_digest = (last.index + 1, last.digest) if last else (1, 0)
    record = AuditRecord(index, previous_digest, wall_ms, monotonic_ms, body)
    return msgspec.structs.replace(record, digest=record_digest(record))


@dataclass(frozen=True)
class ChainFault:
    """A fault of the chain, after the record `index`."""

    index: int
    text: str


def chain_faults(records: Iterable[AuditRecord]) -> list[ChainFault]:
    """The faults of a chain, in order; a chain whose oldest records were removed has none for that."""
    faults: list[ChainFault] = []
    last: AuditRecord | None = None
    for record in records:
        if record_digest(record) != record.digest:
            faults.append(ChainFault(record.index, "its digest does not fit its content"))
        if last is not None:
            faults += _link_faults(last, record)
        last = record
    return faults


def _link_faults(last: AuditRecord, record: AuditRecord) -> list[ChainFault]:
    """What is wrong between two neighbours."""
    faults = []
    if record.index > last.index + 1:
        faults.append(ChainFault(last.index, f"{record.index - last.index - 1} records are missing"))
    elif record.index <= last.index:
        faults.append(ChainFault(last.index, f"record {record.index} comes again"))
    elif record.previous_digest != last.digest:
        faults.append(ChainFault(last.index, "the next record follows another one"))
    clock_step_ms = (record.wall_ms - last.wall_ms) - (record.monotonic_ms - last.monotonic_ms)
    is_start = isinstance(record.body, ProcessStart)  # its monotonic clock cannot be compared
    if not is_start and abs(clock_step_ms) > MAX_CLOCK_STEP_MS:
        faults.append(ChainFault(last.index, f"the wall clock stepped by {clock_step_ms:.0f} ms"))
    return faults


@dataclass
class AuditLog:
    """Creates the records of this node, in order; each is returned once, for the caller to write.

    `last` is the newest record on disk.
    """

    last: AuditRecord | None = None
    active: ActiveVersions | None = None
    pending: list[Decision] = field(default_factory=list)
    lost: int = 0  # decisions dropped as too many were pending

    def record_start(self, wall_ms: float, monotonic_ms: float, generation: int) -> AuditRecord:
        self.active = None
        return self._append(wall_ms, monotonic_ms, ProcessStart(generation))

    def record_versions(
        self, wall_ms: float, monotonic_ms: float, versions: Mapping[str, Version]
    ) -> AuditRecord | None:
        """A record if any version differs from the active ones, else None."""
        if self.active is not None and self.active.versions == dict(versions):
            return None
        active = ActiveVersions(self._next_versions_number(), dict(versions))
        record = self._append(wall_ms, monotonic_ms, active)
        self.active = active
        return record

    def _next_versions_number(self) -> int:
        """Numbers go on over restarts, so that none is used twice in a log."""
        if self.active is not None:
            return self.active.number + 1
        return self.last.index + 1 if self.last else 1

    def record_decision(
        self, request: str, attempt: int, at_ms: float, max_pending: int = MAX_PENDING_DECISIONS
    ) -> int:
        """Adds a decision to those pending, and returns the number of the active versions (0 if none are).

        Beyond `max_pending` decisions are counted as lost, so that memory stays bounded while the disk is
        slow.
        """
        versions_number = self.active.number if self.active else 0
        if len(self.pending) < max_pending:
            self.pending.append(Decision(request, attempt, versions_number, at_ms))
        else:
            self.lost += 1
        return versions_number

    def flush_decisions(self, wall_ms: float, monotonic_ms: float) -> list[AuditRecord]:
        """The pending decisions, in records."""
        pending, self.pending = self.pending, []
        batches = [
            tuple(pending[start : start + MAX_DECISIONS_PER_RECORD])
            for start in range(0, len(pending), MAX_DECISIONS_PER_RECORD)
        ]
        return [self._append(wall_ms, monotonic_ms, DecisionBatch(batch)) for batch in batches]

    def heartbeat(self, wall_ms: float, monotonic_ms: float, interval_ms: float) -> AuditRecord | None:
        """An empty batch if nothing was recorded for an interval, else None.

        Failure: without it, a node that has nothing to decide looks like one that is gone.
        """
        if self.last is None or monotonic_ms - self.last.monotonic_ms < interval_ms:
            return None
        return self._append(wall_ms, monotonic_ms, DecisionBatch(()))

    def _append(self, wall_ms: float, monotonic_ms: float, body: Body) -> AuditRecord:
        self.last = next_record(self.last, wall_ms, monotonic_ms, body)
        return self.last
