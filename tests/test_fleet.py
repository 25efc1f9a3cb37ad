"""A fleet of gateway processes with faults between them.

The checks use the records of engines, clients and relays. The status of a gateway is only polled to know when
to continue.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest

from worksmux.checker.fleet import check_plan_lease
from worksmux.checker.records import Records
from worksmux.checker.rules import check
from worksmux.fault_trial.fleet import FleetRig
from worksmux.fault_trial.small import FIGURES as SMALL

LEASE_MS = 1600.0
LEASE_EXPIRED = "lease on the replicated state expired; only the safe part of the failover plan is applied"
MIN_SERVED_SHARE = 0.4  # of all requests; how many more are served depends on the machine's speed
# The time limits of the rules have slack for a machine without free cores: no test here asserts speed.
FIGURES = replace(SMALL, slack=1500.0)


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[FleetRig]:
    with FleetRig(tmp_path, 5) as fleet_rig:
        fleet_rig.start_engines()
        fleet_rig.start()
        fleet_rig.wait_until_ready()
        yield fleet_rig


def checked_records(rig: FleetRig) -> Records:
    """Returns the records of the run, after checking that all rules hold and no plan outlived its lease."""
    records = rig.settle()
    for verdict in [*check(records, FIGURES), check_plan_lease(records, LEASE_MS, FIGURES.slack)]:
        assert verdict.kept, verdict.findings[0]
    return records


def served_share(records: Records) -> float:
    return sum(request["how"] in ("delivered", "late") for request in records.requests) / len(
        records.requests
    )


def zones_of(rig: FleetRig, records: Records, since: float) -> set[str]:
    return {
        attempt.zone
        for attempt in records.attempts
        if attempt.received_at_ms > since and attempt.role == "read"
    }


def plan_number(rig: FleetRig, name: str) -> int:
    return int(rig.status(name)["plan"]["number"])


def test_requests_move_from_a_failed_zone_and_back_after_recovery(rig: FleetRig) -> None:
    rig.start_clients(length=9000.0, rate=40.0)
    rig.run(1500.0)
    rig.kill_engines("south")
    rig.until(lambda: all("south" in rig.status(name)["plan"]["rows"] for name in rig.fronts), "one plan")
    rig.restart_engines("south")
    rig.until(lambda: all(not rig.status(name)["plan"]["rows"] for name in rig.fronts), "all is well again")
    records = checked_records(rig)
    assert served_share(records) > MIN_SERVED_SHARE
    history = rig.status("front-1")["history"]
    assert len({plan["event"] for plan in history}) == 1


def test_leader_killed_during_a_failover(rig: FleetRig) -> None:
    rig.start_clients(length=6000.0, rate=40.0)
    rig.run(1000.0)
    leader = rig.leader()
    rig.kill_engines("south")
    rig.until(lambda: plan_number(rig, leader) > 0, "a first plan")
    rig.kill(leader)
    others = [name for name in rig.fronts if name != leader]
    rig.until(lambda: all(rig.status(name)["plan"]["rows"].get("south") for name in others), "one plan")
    rig.until(lambda: rig.leader() not in ("", leader), "another leads")
    records = checked_records(rig)
    assert served_share(records) > MIN_SERVED_SHARE


def test_leader_suspended_beyond_its_lease_sends_nothing_by_the_old_plan(rig: FleetRig) -> None:
    rig.start_clients(length=9000.0, rate=40.0)
    rig.run(1000.0)
    leader = rig.leader()
    rig.freeze(leader)
    rig.until(lambda: rig.leader() not in ("", leader), "another leads")
    rig.kill_engines("south")
    others = [name for name in rig.fronts if name != leader]
    rig.until(lambda: all("south" in rig.status(name)["plan"]["rows"] for name in others), "a new plan")
    rig.run(LEASE_MS)
    rig.resume(leader)
    rig.until(lambda: "south" in rig.status(leader)["plan"]["rows"], "the old leader has the plan too")
    records = rig.settle()
    assert check_plan_lease(records, LEASE_MS, FIGURES.slack).kept
    # A frozen node answers its clients late by as long as it was frozen.
    assert [verdict.kept for verdict in check(records, FIGURES)][1:4] == [True] * 3


def test_partitioned_minority_serves_without_a_lease_and_the_majority_elects_a_leader(rig: FleetRig) -> None:
    leader = rig.leader()
    minority = [
        leader,
        next(
            name
            for name in rig.fronts
            if name != leader and not any(voter.startswith(f"{name}#") for voter in rig.voters())
        ),
    ]
    others = [name for name in rig.fronts if name not in minority]
    expired_before = {name: len(rig.fronts[name].seen(LEASE_EXPIRED)) for name in others}
    rig.start_clients(length=8000.0, rate=40.0)
    rig.net.cut(minority, others)
    rig.until(lambda: all(rig.status(name)["alone"] for name in minority), "the minority is alone")
    rig.until(lambda: rig.status(others[0])["council"]["leader"] in others, "the majority has a leader")
    rig.until(lambda: not any(rig.status(name)["alone"] for name in others), "the majority goes on")
    assert all(b"alone" in rig.get(name, "/ready")[1] for name in minority)
    rig.net.restore()
    rig.until(lambda: not any(rig.status(name)["alone"] for name in rig.fronts), "together again")
    records = checked_records(rig)
    assert served_share(records) > MIN_SERVED_SHARE
    acted_without_lease = {attempt.gateway for attempt in records.attempts if "alone" in attempt.plan}
    for name in acted_without_lease & set(others):  # its lease expired before it learned of the new leader
        assert len(rig.fronts[name].seen(LEASE_EXPIRED)) > expired_before[name]


def test_fleet_without_a_majority_serves_without_a_lease(rig: FleetRig) -> None:
    names = list(rig.fronts)
    rig.start_clients(length=6000.0, rate=40.0)
    for name in names:
        rig.net.cut([name], [other for other in names if other != name])
    rig.until(lambda: all(rig.status(name)["alone"] for name in names), "everybody is alone")
    rig.run(1000.0)
    rig.net.restore()
    rig.until(lambda: not any(rig.status(name)["alone"] for name in names), "together again")
    assert served_share(checked_records(rig)) > MIN_SERVED_SHARE


@pytest.mark.parametrize("how", ["out", "in"])
def test_leader_with_a_one_way_partition_is_replaced(rig: FleetRig, how: str) -> None:
    leader = rig.leader()
    others = [name for name in rig.fronts if name != leader]
    rig.start_clients(length=5000.0, rate=40.0)
    rig.net.cut([leader], others, how)
    rig.until(lambda: rig.status(others[0])["council"]["leader"] in others, "another leads")
    rig.net.restore()
    rig.until(lambda: not any(rig.status(name)["alone"] for name in rig.fronts), "together again")
    assert served_share(checked_records(rig)) > MIN_SERVED_SHARE


def test_zone_fails_with_its_gateways(rig: FleetRig) -> None:
    rig.start_clients(length=7000.0, rate=40.0)
    rig.run(1000.0)
    rig.kill_engines("north")
    failed_nodes = [name for name, front in rig.fronts.items() if front.zone == "north"]
    for name in failed_nodes:
        rig.kill(name, lose_disk=True)
    others = [name for name in rig.fronts if name not in failed_nodes]
    rig.until(lambda: all("north" in rig.status(name)["plan"]["rows"] for name in others), "one plan")
    records = checked_records(rig)
    assert served_share(records) > MIN_SERVED_SHARE


def test_two_of_three_voters_without_their_disks_bootstrap_no_second_group(rig: FleetRig) -> None:
    voter_nodes = [voter.rpartition("#")[0] for voter in rig.voters()]
    rig.start_clients(length=8000.0, rate=30.0)
    term = rig.status(rig.leader())["council"]["term"]
    for name in voter_nodes[:2]:
        rig.kill(name, lose_disk=True)
    remaining = [name for name in rig.fronts if name not in voter_nodes[:2]]
    rig.until(lambda: all(rig.status(name)["alone"] for name in remaining), "the remaining nodes are alone")
    rig.start(*voter_nodes[:2])
    rig.until(lambda: all(len(rig.status(name)["fronts"]) == 5 for name in rig.fronts), "all are back")
    rig.run(2000.0)
    assert not any(
        front.seen("consensus group bootstrapped") for front in rig.fronts.values() if front.name != "front-1"
    )
    assert len(rig.fronts["front-1"].seen("consensus group bootstrapped")) == 1
    assert all(rig.status(name)["alone"] for name in rig.fronts) and term
    assert served_share(checked_records(rig)) > MIN_SERVED_SHARE


def test_voter_without_its_disk_rejoins_under_a_new_id_and_votes_again(rig: FleetRig) -> None:
    leader = rig.leader()
    name = next(voter.rpartition("#")[0] for voter in rig.voters() if not voter.startswith(leader))
    before = rig.voters()
    rig.kill(name, lose_disk=True)
    rig.start(name)
    old = next(voter for voter in before if voter.startswith(f"{name}#"))

    def replaced() -> bool:
        voters = rig.voters()
        return len(voters) == 3 and old not in voters

    rig.until(replaced, "its old voter is removed and there are three voters again")
    assert len({voter.rpartition("#")[0] for voter in rig.voters()}) == 3


def test_rolling_restart_under_load_keeps_the_group_and_every_request(rig: FleetRig) -> None:
    rig.start_clients(length=9000.0, rate=30.0)
    for name, front in rig.fronts.items():
        rig.terminate(name)
        rig.start(name)
        rig.until(lambda front=front: bool(front.port), f"{name} serves")
        rig.until(lambda name=name: not rig.status(name)["alone"], f"{name} is back")
    records = checked_records(rig)
    assert served_share(records) > MIN_SERVED_SHARE


def test_fleet_plans_failover_without_discovery(rig: FleetRig) -> None:
    rig.start_clients(length=6000.0, rate=40.0)
    rig.registry.go_offline()
    rig.run(500.0)
    for name in rig.engines_in_zone("east"):
        rig.net.cut(list(rig.fronts), [name], "reset")
    rig.until(lambda: all("east" in rig.status(name)["plan"]["rows"] for name in rig.fronts), "one plan")
    rig.net.restore()
    rig.registry.go_online()
    rig.until(lambda: all(not rig.status(name)["plan"]["rows"] for name in rig.fronts), "all is well again")
    checked_records(rig)


@pytest.mark.parametrize("how", ["full", "stalled"])
def test_leader_whose_disk_cannot_be_written_is_replaced(rig: FleetRig, how: str) -> None:
    leader = rig.leader()
    rig.start_clients(length=7000.0, rate=40.0)
    lock = rig.stall_disk(leader) if how == "stalled" else rig.fill_disk(leader)
    rig.kill_engines("south")
    rig.until(lambda: all("south" in rig.status(name)["plan"]["rows"] for name in rig.fronts), "one plan")
    if lock is not None:
        lock.close()
    else:
        rig.fill_disk(leader, full=False)
    rig.until(
        lambda: (
            len(
                {
                    rig.status(name)["council"]["agreed"]
                    for name in (voter.rpartition("#")[0] for voter in rig.voters())
                }
            )
            == 1
        ),
        "all voters have applied the same index",
    )
    checked_records(rig)


def test_older_of_two_processes_with_one_name_ends_and_logs_the_reason(rig: FleetRig) -> None:
    old = rig.fronts["front-5"].child
    assert old is not None
    rig.fronts["front-5"].folder = rig.folder / "disk-again"
    rig.fronts["front-5"].listens = 0
    rig.run(1100.0)  # generations on new disks are times in seconds
    rig.start("front-5")
    rig.until(lambda: not old.alive, "the older process ends")
    assert rig.fronts["front-5"].alive
    assert rig.fronts["front-5"].seen("another process with this name has started later; this one ends")


# Audit logs.


def audit_report(rig: FleetRig, name: str, query: str = "") -> dict[str, Any]:
    status, body = rig.get(name, f"/fleet/audit{query}", within=4000.0)
    assert status == 200
    report: dict[str, Any] = msgspec.json.decode(body)
    return report


def test_any_node_has_the_audit_log_of_a_node_that_lost_its_disk(rig: FleetRig) -> None:
    rig.start_clients(length=3000.0, rate=40.0)
    rig.kill_engines("south")
    rig.until(lambda: all(plan_number(rig, name) > 0 for name in rig.fronts), "a plan")
    rig.until(lambda: rig.answered, "all jobs end")
    rig.run(1500.0)  # copies are made within a second
    before = audit_report(rig, "front-4")
    assert not before["findings"] and before["fronts"] == list(rig.fronts)
    rig.kill("front-4", lose_disk=True)
    after = audit_report(rig, "front-2")
    for report in (before, after):
        spans = [span for span in report["spans"] if span["front"] == "front-4" and span["versions"]]
        assert max(span["versions"]["plan"]["number"] for span in spans) >= 1
    records = checked_records(rig)
    attempt = next(each for each in records.attempts if each.gateway == "front-4" and each.plan.isdigit())
    decisions = audit_report(rig, "front-5", f"?job={attempt.request}")["decisions"]
    assert {decision["front"] for decision in decisions} == {"front-4"}
    assert int(attempt.plan) in {decision["versions"]["plan"]["number"] for decision in decisions}


def test_audit_log_continues_after_kills_and_reports_the_gaps(rig: FleetRig) -> None:
    for _ in range(3):
        rig.kill("front-3")
        rig.start("front-3")
        rig.until(lambda: not rig.status("front-3")["alone"], "it is back")
    report = audit_report(rig, "front-1")
    assert not report["findings"]
    assert [span for span in report["spans"] if span["front"] == "front-3" and span["versions"] is None]
