"""Tests that faults of the chain are found, and that several logs are combined without inference."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from worksmux.config_audit.audit_log import (
    MAX_DECISIONS_PER_RECORD,
    ActiveVersions,
    AuditLog,
    AuditRecord,
    DecisionBatch,
    ProcessStart,
    Version,
    chain_faults,
)
from worksmux.config_audit.fleet_audit import FleetAudit

ONE, TWO = Version(1, "aa"), Version(2, "bb")


def audit_log(steps: int = 6) -> list[AuditRecord]:
    """Returns a process start, then versions and decisions alternately, one second apart."""
    log = AuditLog()
    records = [log.record_start(0.0, 0.0, 1)]
    for step in range(1, steps):
        time = 1000.0 * step
        if step % 2:
            record = log.record_versions(time, time, {"plan": Version(step, f"m{step}")})
            assert record is not None
            records.append(record)
        else:
            log.record_decision(f"job-{step}", 0, time)
            records += log.flush_decisions(time, time)
    return records


def test_versions_are_recorded_only_if_one_changes() -> None:
    log = AuditLog()
    log.record_start(0.0, 0.0, 1)
    first = log.record_versions(1.0, 1.0, {"plan": ONE})
    assert first is not None and log.record_versions(2.0, 2.0, {"plan": ONE}) is None
    second = log.record_versions(3.0, 3.0, {"plan": TWO})
    assert (
        second is not None
        and isinstance(second.body, ActiveVersions)
        and isinstance(first.body, ActiveVersions)
    )
    assert second.body.number > first.body.number and second.previous_digest == first.digest


def test_versions_numbers_are_not_reused_after_a_restart() -> None:
    records = audit_log(8)
    log = AuditLog(records[-1])
    log.record_start(1e6, 0.0, 2)
    active_versions = log.record_versions(1e6 + 1, 1.0, {"plan": ONE})
    assert active_versions is not None and isinstance(active_versions.body, ActiveVersions)
    assert active_versions.body.number not in {
        record.body.number for record in records if isinstance(record.body, ActiveVersions)
    }


def test_heartbeat_is_recorded_after_a_quiet_interval() -> None:
    log = AuditLog()
    log.record_start(0.0, 0.0, 1)
    assert log.heartbeat(100.0, 100.0, 500.0) is None
    quiet = log.heartbeat(600.0, 600.0, 500.0)
    assert (
        quiet is not None and quiet.body == DecisionBatch(()) and log.heartbeat(700.0, 700.0, 500.0) is None
    )


def test_intact_chain_has_no_fault() -> None:
    assert not chain_faults(audit_log(20))
    assert not chain_faults(audit_log(20)[7:])  # nor one whose oldest records were removed


@given(st.integers(2, 12), st.data())
def test_missing_changed_repeated_or_swapped_records_are_found(steps: int, data: st.DataObject) -> None:
    """Someone edits the log on disk, or the disk loses a part of it."""
    records = audit_log(steps + 2)
    position = data.draw(st.integers(1, len(records) - 2))
    change = data.draw(st.sampled_from(["missing", "wall", "body", "twice", "swapped"]))
    record = records[position]
    match change:
        case "missing":
            records = records[:position] + records[position + 1 :]
        case "wall":
            records[position] = msgspec.structs.replace(record, wall_ms=record.wall_ms + 1)
        case "body":
            records[position] = msgspec.structs.replace(record, body=ProcessStart(9))
        case "twice":
            records = records[:position] + [record] + records[position:]
        case _:
            records[position], records[position + 1] = records[position + 1], record
    assert chain_faults(records)


def test_changed_record_is_found_though_indices_are_complete() -> None:
    """The content of a record is changed while all indices stay in order. Only the digest shows it."""
    records = audit_log(6)
    records[2] = msgspec.structs.replace(records[2], body=ProcessStart(9))
    assert [record.index for record in records] == list(range(1, 7)) and chain_faults(records)


def test_wall_clock_step_is_found_and_a_restart_is_not_one() -> None:
    """The wall clock jumps by 93 s while the process runs, which is a fault.

    Later the process restarts, and its monotonic clock starts again. That is not a fault.
    """
    log = AuditLog()
    records = [log.record_start(0.0, 0.0, 1)]
    records += [
        record
        for seconds, wall_ms in ((1.0, 1000.0), (2.0, 95_000.0))
        if (record := log.record_versions(wall_ms, seconds * 1000, {"plan": Version(int(seconds), "x")}))
        is not None
    ]
    assert ["stepped" in fault.text for fault in chain_faults(records)] == [True]
    records.append(log.record_start(99_000.0, 10.0, 2))
    assert len(chain_faults(records)) == 1


def test_pending_decisions_are_bounded() -> None:
    """The disk is slow, and decisions are made faster than they are written."""
    log = AuditLog()
    log.record_start(0.0, 0.0, 1)
    for number in range(3 * MAX_DECISIONS_PER_RECORD):
        log.record_decision(f"j{number}", 0, float(number), max_pending=2 * MAX_DECISIONS_PER_RECORD)
    batches = log.flush_decisions(1.0, 1.0)
    assert [len(batch.body.decisions) for batch in batches if isinstance(batch.body, DecisionBatch)] == [
        MAX_DECISIONS_PER_RECORD,
        MAX_DECISIONS_PER_RECORD,
    ]
    assert log.dropped_decisions == MAX_DECISIONS_PER_RECORD and not log.flush_decisions(2.0, 2.0)


def audit_of(**records_by_node: list[AuditRecord]) -> FleetAudit:
    """Returns an audit of the given records, by node."""
    audit = FleetAudit()
    for node, records in records_by_node.items():
        audit.add(node, records)
    return audit


def test_records_may_come_in_any_order_and_repeatedly() -> None:
    records = audit_log(9)
    complete = audit_of(a=records)
    audit = FleetAudit()
    for part in (records[5:], records[:3], records[2:7], records[:3]):
        audit.add("a", part)
    assert audit.spans("a", 1e5) == complete.spans("a", 1e5) and not audit.findings()


def test_missing_records_are_reported_as_an_unknown_span() -> None:
    """Two records of a node are lost.

    What it acted on meanwhile must not be inferred from those around them.
    """
    records = audit_log(9)
    audit = audit_of(a=records[:4] + records[6:])
    spans = audit.spans("a", 8000.0)
    assert any(span.versions is None and (span.since, span.until) == (3000.0, 6000.0) for span in spans)
    assert [finding.text for finding in audit.findings()] == ["2 records are missing"]
    assert audit.spans_at(4500.0)["a"].versions is None


def test_nothing_is_known_after_the_last_record() -> None:
    audit = audit_of(a=audit_log(4))
    assert audit.spans_at(1e9)["a"].versions is None
    versions = audit.spans_at(2500.0)["a"].versions
    assert versions is not None and versions["plan"].number == 1


def test_time_between_a_crash_and_the_next_start_is_unknown() -> None:
    """A process is killed at an unknown time. Another one starts a minute after its last record."""
    records = audit_log(4)
    log = AuditLog(records[-1])
    records.append(log.record_start(60_000.0, 0.0, 2))
    active_versions = log.record_versions(61_000.0, 1000.0, {"plan": TWO})
    assert active_versions is not None
    audit = audit_of(a=[*records, active_versions])
    assert audit.spans_at(30_000.0)["a"].versions is None and not audit.findings()


def test_one_version_with_two_contents_is_reported() -> None:
    """Two nodes hold different contents under the same version number."""
    records_by_node = {}
    for node, version in (("a", Version(7, "x")), ("b", Version(7, "y"))):
        log = AuditLog()
        active_versions = log.record_versions(1.0, 1.0, {"settings": version})
        assert active_versions is not None
        records_by_node[node] = [active_versions]
    audit = audit_of(**records_by_node)
    assert any("settings 7" in finding.text for finding in audit.findings())
    assert {span.front for span in audit.spans_of_version("settings", 7)} == {"a", "b"}


def test_disk_restored_from_a_backup_is_reported() -> None:
    """A disk is restored from a backup.

    The node then writes records at indices that it had used before.
    """
    records = audit_log(6)
    log = AuditLog(records[2])
    conflicting = log.record_versions(9e4, 9e4, {"plan": TWO})
    assert conflicting is not None
    audit = audit_of(a=records)
    audit.add("a", [conflicting])
    assert any("two different records" in finding.text for finding in audit.findings())


def test_request_is_explained_with_the_versions_of_each_decision() -> None:
    log = AuditLog()
    records = [log.record_start(0.0, 0.0, 1)]
    for time, version in ((1.0, ONE), (2.0, TWO)):
        active_versions = log.record_versions(time, time, {"plan": version})
        assert active_versions is not None
        records.append(active_versions)
        log.record_decision("j1", int(time) - 1, time)
    records += log.flush_decisions(3.0, 3.0)
    explained = audit_of(a=records).explain("j1")
    assert [(entry.decision.attempt, entry.versions) for entry in explained] == [
        (0, {"plan": ONE}),
        (1, {"plan": TWO}),
    ]
    without_versions = audit_of(a=[record for record in records if record.index != 2]).explain("j1")
    assert without_versions[0].versions is None
