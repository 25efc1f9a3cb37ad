"""Audit logs: faults of the chain are found, and several logs add up without guessing."""

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
    """A start, then versions and decisions in turns, a second apart."""
    log = AuditLog()
    found = [log.record_start(0.0, 0.0, 1)]
    for at in range(1, steps):
        time = 1000.0 * at
        if at % 2:
            record = log.record_versions(time, time, {"plan": Version(at, f"m{at}")})
            assert record is not None
            found.append(record)
        else:
            log.record_decision(f"job-{at}", 0, time)
            found += log.flush_decisions(time, time)
    return found


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
    line = log.record_versions(1e6 + 1, 1.0, {"plan": ONE})
    assert line is not None and isinstance(line.body, ActiveVersions)
    assert line.body.number not in {
        one.body.number for one in records if isinstance(one.body, ActiveVersions)
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
    at = data.draw(st.integers(1, len(records) - 2))
    how = data.draw(st.sampled_from(["missing", "wall", "body", "twice", "swapped"]))
    one = records[at]
    match how:
        case "missing":
            records = records[:at] + records[at + 1 :]
        case "wall":
            records[at] = msgspec.structs.replace(one, wall_ms=one.wall_ms + 1)
        case "body":
            records[at] = msgspec.structs.replace(one, body=ProcessStart(9))
        case "twice":
            records = records[:at] + [one] + records[at:]
        case _:
            records[at], records[at + 1] = records[at + 1], one
    assert chain_faults(records)


def test_changed_record_is_found_though_indices_are_complete() -> None:
    """The content of a record is changed while all indices stay in order; only the digest shows it."""
    records = audit_log(6)
    records[2] = msgspec.structs.replace(records[2], body=ProcessStart(9))
    assert [record.index for record in records] == list(range(1, 7)) and chain_faults(records)


def test_wall_clock_step_is_found_and_a_restart_is_not_one() -> None:
    """The wall clock jumps by 93 s while the process runs.

    Later the process restarts, and its monotonic clock with it.
    """
    log = AuditLog()
    records = [log.record_start(0.0, 0.0, 1)]
    records += [
        found
        for at, wall in ((1.0, 1000.0), (2.0, 95_000.0))
        if (found := log.record_versions(wall, at * 1000, {"plan": Version(int(at), "x")})) is not None
    ]
    assert ["stepped" in fault.text for fault in chain_faults(records)] == [True]
    records.append(log.record_start(99_000.0, 10.0, 2))
    assert len(chain_faults(records)) == 1


def test_pending_decisions_are_bounded() -> None:
    """The disk is slow, and decisions come faster than they are written."""
    log = AuditLog()
    log.record_start(0.0, 0.0, 1)
    for at in range(3 * MAX_DECISIONS_PER_RECORD):
        log.record_decision(f"j{at}", 0, float(at), max_pending=2 * MAX_DECISIONS_PER_RECORD)
    pages = log.flush_decisions(1.0, 1.0)
    assert [len(page.body.decisions) for page in pages if isinstance(page.body, DecisionBatch)] == [
        MAX_DECISIONS_PER_RECORD,
        MAX_DECISIONS_PER_RECORD,
    ]
    assert log.lost == MAX_DECISIONS_PER_RECORD and not log.flush_decisions(2.0, 2.0)


def gathered(**fronts: list[AuditRecord]) -> FleetAudit:
    found = FleetAudit()
    for name, records in fronts.items():
        found.add(name, records)
    return found


def test_records_may_come_in_any_order_and_repeatedly() -> None:
    records = audit_log(9)
    whole = gathered(a=records)
    parts = FleetAudit()
    for piece in (records[5:], records[:3], records[2:7], records[:3]):
        parts.add("a", piece)
    assert parts.spans("a", 1e5) == whole.spans("a", 1e5) and not parts.findings()


def test_missing_records_are_reported_as_an_unknown_span() -> None:
    """Two records of a node are lost. What it acted on meanwhile must not be guessed from its neighbours."""
    records = audit_log(9)
    found = gathered(a=records[:4] + records[6:])
    spans = found.spans("a", 8000.0)
    assert any(span.versions is None and (span.since, span.until) == (3000.0, 6000.0) for span in spans)
    assert [fault.text for fault in found.findings()] == ["2 records are missing"]
    assert found.spans_at(4500.0)["a"].versions is None


def test_nothing_is_known_after_the_last_record() -> None:
    found = gathered(a=audit_log(4))
    assert found.spans_at(1e9)["a"].versions is None
    held = found.spans_at(2500.0)["a"].versions
    assert held is not None and held["plan"].number == 1


def test_time_between_a_crash_and_the_next_start_is_unknown() -> None:
    """A process is killed at an unknown time, and another one starts a minute after the last record."""
    records = audit_log(4)
    log = AuditLog(records[-1])
    records.append(log.record_start(60_000.0, 0.0, 2))
    line = log.record_versions(61_000.0, 1000.0, {"plan": TWO})
    assert line is not None
    found = gathered(a=[*records, line])
    assert found.spans_at(30_000.0)["a"].versions is None and not found.findings()


def test_one_version_with_two_contents_is_reported() -> None:
    """Two nodes hold different contents under the same version number."""
    accounts = {}
    for name, version in (("a", Version(7, "x")), ("b", Version(7, "y"))):
        log = AuditLog()
        line = log.record_versions(1.0, 1.0, {"settings": version})
        assert line is not None
        accounts[name] = [line]
    found = gathered(**accounts)
    assert any("settings 7" in finding.text for finding in found.findings())
    assert {span.front for span in found.spans_of_version("settings", 7)} == {"a", "b"}


def test_disk_restored_from_a_backup_is_reported() -> None:
    """A disk is restored from a backup, and the node goes on under record numbers that it had used before."""
    records = audit_log(6)
    log = AuditLog(records[2])
    other = log.record_versions(9e4, 9e4, {"plan": TWO})
    assert other is not None
    found = gathered(a=records)
    found.add("a", [other])
    assert any("two records" in finding.text for finding in found.findings())


def test_request_is_explained_with_the_versions_of_each_decision() -> None:
    log = AuditLog()
    records = [log.record_start(0.0, 0.0, 1)]
    for at, version in ((1.0, ONE), (2.0, TWO)):
        line = log.record_versions(at, at, {"plan": version})
        assert line is not None
        records.append(line)
        log.record_decision("j1", int(at) - 1, at)
    records += log.flush_decisions(3.0, 3.0)
    told = gathered(a=records).explain("j1")
    assert [(found.decision.attempt, found.versions) for found in told] == [
        (0, {"plan": ONE}),
        (1, {"plan": TWO}),
    ]
    lacking = gathered(a=[record for record in records if record.index != 2]).explain("j1")
    assert lacking[0].versions is None
