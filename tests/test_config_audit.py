"""FleetAudit of what fronts acted on: chains that show every hole, and what several of them add up to."""

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


def account(steps: int = 6) -> list[AuditRecord]:
    """A start, then lines and pages of jobs by turns, a second apart."""
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


def test_line_is_added_where_a_version_changes_and_only_there() -> None:
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


def test_lines_of_a_later_start_share_no_number_with_earlier_ones() -> None:
    records = account(8)
    log = AuditLog(records[-1])
    log.record_start(1e6, 0.0, 2)
    line = log.record_versions(1e6 + 1, 1.0, {"plan": ONE})
    assert line is not None and isinstance(line.body, ActiveVersions)
    assert line.body.number not in {
        one.body.number for one in records if isinstance(one.body, ActiveVersions)
    }


def test_quiet_front_says_that_it_goes_on() -> None:
    log = AuditLog()
    log.record_start(0.0, 0.0, 1)
    assert log.heartbeat(100.0, 100.0, 500.0) is None
    quiet = log.heartbeat(600.0, 600.0, 500.0)
    assert (
        quiet is not None and quiet.body == DecisionBatch(()) and log.heartbeat(700.0, 700.0, 500.0) is None
    )


def test_whole_chain_has_no_fault() -> None:
    assert not chain_faults(account(20))
    assert not chain_faults(account(20)[7:])  # nor one whose oldest part was let go


@given(st.integers(2, 12), st.data())
def test_any_record_that_is_missing_changed_or_twice_is_found(steps: int, data: st.DataObject) -> None:
    records = account(steps + 2)
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


def test_chain_without_its_digest_hides_a_change() -> None:
    """A reader that trusts indices alone is found: this is what the digest is for."""
    records = account(6)
    records[2] = msgspec.structs.replace(records[2], body=ProcessStart(9))
    assert [record.index for record in records] == list(range(1, 7)) and chain_faults(records)


def test_wall_clock_that_stepped_is_named_and_a_restart_is_none() -> None:
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


def test_what_waits_to_be_written_stays_bounded() -> None:
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


def test_accounts_add_up_whatever_their_order_and_however_often_they_come() -> None:
    records = account(9)
    whole = gathered(a=records)
    parts = FleetAudit()
    for piece in (records[5:], records[:3], records[2:7], records[:3]):
        parts.add("a", piece)
    assert parts.spans("a", 1e5) == whole.spans("a", 1e5) and not parts.findings()


def test_gap_is_a_gap_and_is_named() -> None:
    records = account(9)
    found = gathered(a=records[:4] + records[6:])
    spans = found.spans("a", 8000.0)
    assert any(span.versions is None and (span.since, span.until) == (3000.0, 6000.0) for span in spans)
    assert [fault.text for fault in found.findings()] == ["2 records are missing"]
    assert found.spans_at(4500.0)["a"].versions is None


def test_after_its_last_record_nothing_is_known_of_a_front() -> None:
    found = gathered(a=account(4))
    assert found.spans_at(1e9)["a"].versions is None
    held = found.spans_at(2500.0)["a"].versions
    assert held is not None and held["plan"].number == 1


def test_time_between_two_starts_is_not_known() -> None:
    records = account(4)
    log = AuditLog(records[-1])
    records.append(log.record_start(60_000.0, 0.0, 2))
    line = log.record_versions(61_000.0, 1000.0, {"plan": TWO})
    assert line is not None
    found = gathered(a=[*records, line])
    assert found.spans_at(30_000.0)["a"].versions is None and not found.findings()


def test_same_number_with_other_content_is_named_and_never_merged() -> None:
    accounts = {}
    for name, version in (("a", Version(7, "x")), ("b", Version(7, "y"))):
        log = AuditLog()
        line = log.record_versions(1.0, 1.0, {"settings": version})
        assert line is not None
        accounts[name] = [line]
    found = gathered(**accounts)
    assert any("settings 7" in finding.text for finding in found.findings())
    assert {span.front for span in found.spans_of_version("settings", 7)} == {"a", "b"}


def test_disk_put_back_from_earlier_shows_as_two_records_under_one_number() -> None:
    records = account(6)
    log = AuditLog(records[2])
    other = log.record_versions(9e4, 9e4, {"plan": TWO})
    assert other is not None
    found = gathered(a=records)
    found.add("a", [other])
    assert any("two records" in finding.text for finding in found.findings())


def test_request_is_explained_over_its_fronts_with_the_versions_of_each_decision() -> None:
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
