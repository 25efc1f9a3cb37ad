"""A node's audit log: the active versions over time, and the versions that each decision was made under.

The log is a chain of records. Each record carries a digest of itself, which includes the digest of the record
before it. A record that is missing, changed or restored from a backup is therefore detected and located. The
log is bounded: the oldest records are removed, and the first remaining one carries the digest of its
predecessor. The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec
import xxhash

MAX_DECISIONS_PER_RECORD = 512
MAX_PENDING_DECISIONS = 100_000
MAX_CLOCK_STEP_MS = 1000.0  # by which the wall and the monotonic clock may diverge between two records


class Version(msgspec.Struct, frozen=True):
    """The version of some content, such as the failover plan.

    `number` is the number under which it was agreed, or 0 if it has none.
    """

    number: int
    fingerprint: str = msgspec.field(name="mark")


class ActiveVersions(msgspec.Struct, frozen=True, tag="line"):
    """The versions, by name, that are active from this record on.

    `number` identifies this set of versions and is unique within the log.
    """

    number: int
    versions: dict[str, Version]


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """One decision on a request, with the number of the set of versions that was active.

    `attempt` counts from 0; -1 stands for the final answer. `at_ms` is wall-clock time.
    """

    request: str
    attempt: int
    versions_number: int
    at_ms: float


class DecisionBatch(msgspec.Struct, frozen=True, tag="jobs"):
    """The decisions since the last batch.

    An empty batch is a heartbeat: the node is alive and its versions are unchanged.
    """

    decisions: tuple[Decision, ...]


class ProcessStart(msgspec.Struct, frozen=True, tag="start"):
    """Records that a process of this node has started."""

    generation: int = msgspec.field(name="life")


Body = ActiveVersions | DecisionBatch | ProcessStart


class AuditRecord(msgspec.Struct, frozen=True):
    """One record of the chain.

    `index` counts all records of the log. `monotonic_ms` starts again with each process.
    """

    index: int
    previous_digest: int = msgspec.field(name="before")
    wall_ms: float = msgspec.field(name="wall")
    monotonic_ms: float = msgspec.field(name="steady")
    body: Body
    digest: int = 0


DIGEST_ENCODER = msgspec.msgpack.Encoder(order="sorted")  # sorted keys give the same bytes in every process


def record_digest(record: AuditRecord) -> int:
    """Returns the digest of a record, computed with its own digest field set to 0."""
    return xxhash.xxh3_64_intdigest(DIGEST_ENCODER.encode(msgspec.structs.replace(record, digest=0)))


def next_record(last: AuditRecord | None, wall_ms: float, monotonic_ms: float, body: Body) -> AuditRecord:
    """Returns the record that follows `last`, or the first record if `last` is None."""
    index, previous_digest = (last.index + 1, last.digest) if last else (1, 0)
    record = AuditRecord(index, previous_digest, wall_ms, monotonic_ms, body)
    return msgspec.structs.replace(record, digest=record_digest(record))


@dataclass(frozen=True)
class ChainFault:
    """A fault found in the chain, at or after the record `index`."""

    index: int
    text: str


def chain_faults(records: Iterable[AuditRecord]) -> list[ChainFault]:
    """Returns the faults of a chain, in order.

    A chain whose oldest records were removed has no fault for that reason.
    """
    faults: list[ChainFault] = []
    last: AuditRecord | None = None
    for record in records:
        if record_digest(record) != record.digest:
            faults.append(ChainFault(record.index, "the record's digest does not match its content"))
        if last is not None:
            faults += _link_faults(last, record)
        last = record
    return faults


def _link_faults(last: AuditRecord, record: AuditRecord) -> list[ChainFault]:
    """Returns the faults between two consecutive records."""
    faults = []
    if record.index > last.index + 1:
        faults.append(ChainFault(last.index, f"{record.index - last.index - 1} records are missing"))
    elif record.index <= last.index:
        faults.append(ChainFault(last.index, f"record {record.index} occurs again or out of order"))
    elif record.previous_digest != last.digest:
        faults.append(ChainFault(last.index, "the next record carries the digest of a different predecessor"))
    clock_step_ms = (record.wall_ms - last.wall_ms) - (record.monotonic_ms - last.monotonic_ms)
    is_start = isinstance(record.body, ProcessStart)  # its monotonic clock started again
    if not is_start and abs(clock_step_ms) > MAX_CLOCK_STEP_MS:
        faults.append(ChainFault(last.index, f"the wall clock stepped by {clock_step_ms:.0f} ms"))
    return faults


@dataclass
class AuditLog:
    """Creates the records of this node in order. Each record is returned once, for the caller to store.

    `last` is the newest record on disk.
    """

    last: AuditRecord | None = None
    active: ActiveVersions | None = None
    pending: list[Decision] = field(default_factory=list)
    dropped_decisions: int = 0  # dropped because too many were pending

    def record_start(self, wall_ms: float, monotonic_ms: float, generation: int) -> AuditRecord:
        """Appends the record of a process start, after which no versions are active."""
        self.active = None
        return self._append(wall_ms, monotonic_ms, ProcessStart(generation))

    def record_versions(
        self, wall_ms: float, monotonic_ms: float, versions: Mapping[str, Version]
    ) -> AuditRecord | None:
        """Appends a record if any version differs from the active ones; returns None otherwise."""
        if self.active is not None and self.active.versions == dict(versions):
            return None
        active = ActiveVersions(self._next_versions_number(), dict(versions))
        record = self._append(wall_ms, monotonic_ms, active)
        self.active = active
        return record

    def _next_versions_number(self) -> int:
        """Returns a number that no earlier set of versions in the log has, across restarts."""
        if self.active is not None:
            return self.active.number + 1
        return self.last.index + 1 if self.last else 1

    def record_decision(
        self, request: str, attempt: int, at_ms: float, max_pending: int = MAX_PENDING_DECISIONS
    ) -> int:
        """Adds a decision to the pending ones and returns the number of the active versions, 0 if none are.

        Decisions beyond `max_pending` are dropped and counted, so that memory stays bounded while the disk is
        slow.
        """
        versions_number = self.active.number if self.active else 0
        if len(self.pending) < max_pending:
            self.pending.append(Decision(request, attempt, versions_number, at_ms))
        else:
            self.dropped_decisions += 1
        return versions_number

    def flush_decisions(self, wall_ms: float, monotonic_ms: float) -> list[AuditRecord]:
        """Appends the pending decisions, in as many records as they need."""
        pending, self.pending = self.pending, []
        batches = [
            tuple(pending[start : start + MAX_DECISIONS_PER_RECORD])
            for start in range(0, len(pending), MAX_DECISIONS_PER_RECORD)
        ]
        return [self._append(wall_ms, monotonic_ms, DecisionBatch(batch)) for batch in batches]

    def heartbeat(self, wall_ms: float, monotonic_ms: float, interval_ms: float) -> AuditRecord | None:
        """Appends an empty batch if nothing was recorded for an interval; returns None otherwise.

        Without it, a node that has nothing to decide looks like one that has stopped.
        """
        if self.last is None or monotonic_ms - self.last.monotonic_ms < interval_ms:
            return None
        return self._append(wall_ms, monotonic_ms, DecisionBatch(()))

    def _append(self, wall_ms: float, monotonic_ms: float, body: Body) -> AuditRecord:
        self.last = next_record(self.last, wall_ms, monotonic_ms, body)
        return self.last
