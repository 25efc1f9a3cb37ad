"""Several processes of the program, with faults between them.  Judged from what engines, clients and relays
wrote down; a front's own word is only waited for."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest

from worksmux.checker.fleet import one_plan
from worksmux.checker.records import Records
from worksmux.checker.rules import check
from worksmux.fault_trial.fleet import FleetRig
from worksmux.fault_trial.small import FIGURES as SMALL

LEASE = 1600.0
ALONE = "alone: what was decided in common is too old to act on"
SERVED = 0.4  # of all jobs, at the least: how many more is a matter of the machine's speed
# The rules' times are judged with what a starved machine adds: nothing here is asserted of speed.
FIGURES = replace(SMALL, slack=1500.0)


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[FleetRig]:
    with FleetRig(tmp_path, 5) as found:
        found.start_engines()
        found.start()
        found.wait_until_ready()
        yield found


def judged(rig: FleetRig) -> Records:
    """The records of a day on which every rule was kept, and no plan outlived its lease."""
    records = rig.settle()
    for verdict in [*check(records, FIGURES), one_plan(records, LEASE, FIGURES.slack)]:
        assert verdict.kept, verdict.findings[0]
    return records


def delivered(records: Records) -> float:
    return sum(request["how"] in ("delivered", "late") for request in records.requests) / len(
        records.requests
    )


def zones_of(rig: FleetRig, records: Records, since: float) -> set[str]:
    return {attempt.zone for attempt in records.attempts if attempt.got > since and attempt.role == "read"}


def number(rig: FleetRig, name: str) -> int:
    return int(rig.status(name)["plan"]["number"])


def test_zone_that_is_lost_is_planned_around_by_all_and_given_back(rig: FleetRig) -> None:
    rig.start_clients(length=9000.0, rate=40.0)
    rig.run(1500.0)
    rig.kill_engines("south")
    rig.until(lambda: all("south" in rig.status(name)["plan"]["rows"] for name in rig.fronts), "one plan")
    rig.restart_engines("south")
    rig.until(lambda: all(not rig.status(name)["plan"]["rows"] for name in rig.fronts), "all is well again")
    records = judged(rig)
    assert delivered(records) > SERVED
    told = rig.status("front-1")["history"]
    assert len({plan["event"] for plan in told}) == 1


def test_leader_killed_in_the_middle_of_a_change(rig: FleetRig) -> None:
    rig.start_clients(length=6000.0, rate=40.0)
    rig.run(1000.0)
    leader = rig.leader()
    rig.kill_engines("south")
    rig.until(lambda: number(rig, leader) > 0, "a first plan")
    rig.kill(leader)
    others = [name for name in rig.fronts if name != leader]
    rig.until(lambda: all(rig.status(name)["plan"]["rows"].get("south") for name in others), "one plan")
    rig.until(lambda: rig.leader() not in ("", leader), "another leads")
    records = judged(rig)
    assert delivered(records) > SERVED


def test_leader_frozen_beyond_its_lease_sends_nothing_by_the_old_plan(rig: FleetRig) -> None:
    rig.start_clients(length=9000.0, rate=40.0)
    rig.run(1000.0)
    leader = rig.leader()
    rig.freeze(leader)
    rig.until(lambda: rig.leader() not in ("", leader), "another leads")
    rig.kill_engines("south")
    others = [name for name in rig.fronts if name != leader]
    rig.until(lambda: all("south" in rig.status(name)["plan"]["rows"] for name in others), "a new plan")
    rig.run(LEASE)
    rig.resume(leader)
    rig.until(lambda: "south" in rig.status(leader)["plan"]["rows"], "it has the plan too")
    records = rig.settle()
    assert one_plan(records, LEASE, FIGURES.slack).kept
    # What a frozen front owes its clients meanwhile comes late by as long as it was frozen.
    assert [verdict.kept for verdict in check(records, FIGURES)][1:4] == [True] * 3


def test_minority_that_is_cut_off_is_alone_and_serves_and_the_majority_goes_on(rig: FleetRig) -> None:
    leader = rig.leader()
    some = [
        leader,
        next(
            name
            for name in rig.fronts
            if name != leader and not any(voter.startswith(f"{name}#") for voter in rig.voters())
        ),
    ]
    others = [name for name in rig.fronts if name not in some]
    said_before = {name: len(rig.fronts[name].seen(ALONE)) for name in others}
    rig.start_clients(length=8000.0, rate=40.0)
    rig.net.cut(some, others)
    rig.until(lambda: all(rig.status(name)["alone"] for name in some), "the minority is alone")
    rig.until(lambda: rig.status(others[0])["council"]["leader"] in others, "the majority has a leader")
    rig.until(lambda: not any(rig.status(name)["alone"] for name in others), "the majority goes on")
    assert all(b"alone" in rig.get(name, "/ready")[1] for name in some)
    rig.net.restore()
    rig.until(lambda: not any(rig.status(name)["alone"] for name in rig.fronts), "together again")
    records = judged(rig)
    assert delivered(records) > SERVED
    acted_alone = {attempt.front for attempt in records.attempts if "alone" in attempt.plan}
    for name in acted_alone & set(others):  # its lease ended before it heard of the new leader
        assert len(rig.fronts[name].seen(ALONE)) > said_before[name]


def test_without_any_majority_the_whole_fleet_is_alone_and_goes_on_serving(rig: FleetRig) -> None:
    names = list(rig.fronts)
    rig.start_clients(length=6000.0, rate=40.0)
    for name in names:
        rig.net.cut([name], [other for other in names if other != name])
    rig.until(lambda: all(rig.status(name)["alone"] for name in names), "everybody is alone")
    rig.run(1000.0)
    rig.net.restore()
    rig.until(lambda: not any(rig.status(name)["alone"] for name in names), "together again")
    assert delivered(judged(rig)) > SERVED


@pytest.mark.parametrize("how", ["out", "in"])
def test_leader_that_is_cut_one_way_is_replaced(rig: FleetRig, how: str) -> None:
    leader = rig.leader()
    others = [name for name in rig.fronts if name != leader]
    rig.start_clients(length=5000.0, rate=40.0)
    rig.net.cut([leader], others, how)
    rig.until(lambda: rig.status(others[0])["council"]["leader"] in others, "another leads")
    rig.net.restore()
    rig.until(lambda: not any(rig.status(name)["alone"] for name in rig.fronts), "together again")
    assert delivered(judged(rig)) > SERVED


def test_zone_lost_with_its_fronts(rig: FleetRig) -> None:
    rig.start_clients(length=7000.0, rate=40.0)
    rig.run(1000.0)
    rig.kill_engines("north")
    lost = [name for name, front in rig.fronts.items() if front.zone == "north"]
    for name in lost:
        rig.kill(name, lose_disk=True)
    others = [name for name in rig.fronts if name not in lost]
    rig.until(lambda: all("north" in rig.status(name)["plan"]["rows"] for name in others), "one plan")
    records = judged(rig)
    assert delivered(records) > SERVED


def test_two_of_three_seats_lost_with_their_disks_found_no_second_council(rig: FleetRig) -> None:
    seats = [voter.rpartition("#")[0] for voter in rig.voters()]
    rig.start_clients(length=8000.0, rate=30.0)
    term = rig.status(rig.leader())["council"]["term"]
    for name in seats[:2]:
        rig.kill(name, lose_disk=True)
    left = [name for name in rig.fronts if name not in seats[:2]]
    rig.until(lambda: all(rig.status(name)["alone"] for name in left), "those left are alone")
    rig.start(*seats[:2])
    rig.until(lambda: all(len(rig.status(name)["fronts"]) == 5 for name in rig.fronts), "all are back")
    rig.run(2000.0)
    assert not any(
        front.seen("the council is founded") for front in rig.fronts.values() if front.name != "front-1"
    )
    assert len(rig.fronts["front-1"].seen("the council is founded")) == 1
    assert all(rig.status(name)["alone"] for name in rig.fronts) and term
    assert delivered(judged(rig)) > SERVED


def test_seat_lost_with_its_disk_is_another_when_it_is_back_and_votes_again(rig: FleetRig) -> None:
    leader = rig.leader()
    name = next(voter.rpartition("#")[0] for voter in rig.voters() if not voter.startswith(leader))
    before = rig.voters()
    rig.kill(name, lose_disk=True)
    rig.start(name)
    old = next(voter for voter in before if voter.startswith(f"{name}#"))

    def replaced() -> bool:
        voters = rig.voters()
        return len(voters) == 3 and old not in voters

    rig.until(replaced, "its old seat is gone and there are three again")
    assert len({voter.rpartition("#")[0] for voter in rig.voters()}) == 3


def test_rolling_restart_under_load_keeps_the_council_and_every_request(rig: FleetRig) -> None:
    rig.start_clients(length=9000.0, rate=30.0)
    for name, front in rig.fronts.items():
        rig.terminate(name)
        rig.start(name)
        rig.until(lambda front=front: bool(front.port), f"{name} serves")
        rig.until(lambda name=name: not rig.status(name)["alone"], f"{name} is back")
    records = judged(rig)
    assert delivered(records) > SERVED


def test_fleet_decides_on_while_discovery_is_dead(rig: FleetRig) -> None:
    rig.start_clients(length=6000.0, rate=40.0)
    rig.registry.go_offline()
    rig.run(500.0)
    for name in rig.engines_in_zone("east"):
        rig.net.cut(list(rig.fronts), [name], "reset")
    rig.until(lambda: all("east" in rig.status(name)["plan"]["rows"] for name in rig.fronts), "one plan")
    rig.net.restore()
    rig.registry.go_online()
    rig.until(lambda: all(not rig.status(name)["plan"]["rows"] for name in rig.fronts), "all is well again")
    judged(rig)


@pytest.mark.parametrize("how", ["full", "stalled"])
def test_leader_whose_disk_does_not_take_writes_gives_way(rig: FleetRig, how: str) -> None:
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
        "all seats hold the same",
    )
    judged(rig)


def test_of_two_processes_with_one_name_the_older_ends_and_says_so(rig: FleetRig) -> None:
    old = rig.fronts["front-5"].child
    assert old is not None
    rig.fronts["front-5"].folder = rig.folder / "disk-again"
    rig.fronts["front-5"].listens = 0
    rig.run(1100.0)  # lives on fresh disks count seconds
    rig.start("front-5")
    rig.until(lambda: not old.alive, "the older ends")
    assert rig.fronts["front-5"].alive
    assert rig.fronts["front-5"].seen("another process with this name has started later; this one ends")


# Accounts.


def told(rig: FleetRig, name: str, query: str = "") -> dict[str, Any]:
    status, body = rig.get(name, f"/fleet/audit{query}", within=4000.0)
    assert status == 200
    found: dict[str, Any] = msgspec.json.decode(body)
    return found


def test_any_front_answers_for_one_that_died_with_its_disk(rig: FleetRig) -> None:
    rig.start_clients(length=3000.0, rate=40.0)
    rig.kill_engines("south")
    rig.until(lambda: all(number(rig, name) > 0 for name in rig.fronts), "a plan")
    rig.until(lambda: rig.answered, "all jobs end")
    rig.run(1500.0)  # copies follow within a second
    before = told(rig, "front-4")
    assert not before["findings"] and before["fronts"] == list(rig.fronts)
    rig.kill("front-4", lose_disk=True)
    after = told(rig, "front-2")
    for found in (before, after):
        spans = [span for span in found["spans"] if span["front"] == "front-4" and span["versions"]]
        assert max(span["versions"]["plan"]["number"] for span in spans) >= 1
    records = judged(rig)
    attempt = next(one for one in records.attempts if one.front == "front-4" and one.plan.isdigit())
    decisions = told(rig, "front-5", f"?job={attempt.request}")["decisions"]
    assert {one["front"] for one in decisions} == {"front-4"}
    assert int(attempt.plan) in {one["versions"]["plan"]["number"] for one in decisions}


def test_account_goes_on_over_kills_and_says_what_is_not_known(rig: FleetRig) -> None:
    for _ in range(3):
        rig.kill("front-3")
        rig.start("front-3")
        rig.until(lambda: not rig.status("front-3")["alone"], "it is back")
    found = told(rig, "front-1")
    assert not found["findings"]
    assert [span for span in found["spans"] if span["front"] == "front-3" and span["versions"] is None]
