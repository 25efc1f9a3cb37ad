"""What is judged of a fleet of fronts, on records built by hand."""

from __future__ import annotations

from worksmux.checker.fleet import check_plan_lease, first_common, sent_abroad
from worksmux.checker.records import Records, gather


def lines(*attempts: tuple[float, str, str, str, str]) -> Records:
    """`trips`: time, engine, job, front, plan; readers' names begin with r, zones stand behind the dash."""
    found = [
        {
            "t": 0.0,
            "who": engine,
            "what": "start",
            "role": "read" if engine[0] == "r" else "write",
            "zone": engine.partition("-")[2],
            "cell": 0,
            "cold": False,
        }
        for _, engine, *_ in attempts
    ]
    found += [
        {
            "t": 1.0,
            "who": "registry",
            "what": "told",
            "front": front,
            "serial": 1,
            "list": "delta",
            "engines": [[engine, "ready", 0.0]],
        }
        for front in {attempt[3] for attempt in attempts}
        for engine in {attempt[1] for attempt in attempts}
    ]
    for at, (time, engine, request, front, plan) in enumerate(attempts):
        facts = {
            "who": engine,
            "job": request,
            "trip": f"t{at}",
            "front": front,
            "try": request,
            "offering": "hint",
        }
        found.append({"t": time, "what": "got", "plan": plan, **facts})
        found.append({"t": time + 50, "what": "end", "how": "read" if engine[0] == "r" else "done", **facts})
    return gather(found)


def test_plan_acted_on_beyond_its_lease_is_found_and_who_is_alone_is_not_judged() -> None:
    kept = lines(
        (100.0, "w-n", "a", "f1", "1"),
        (200.0, "w-n", "b", "f2", "2"),
        (900.0, "w-n", "c", "f1", "1"),
        (9000.0, "w-n", "d", "f1", "1 alone"),
    )
    assert check_plan_lease(kept, 1000.0).kept
    late = lines((200.0, "w-n", "b", "f2", "2"), (1900.0, "w-n", "c", "f1", "1"))
    assert not check_plan_lease(late, 1000.0).kept


def test_time_until_all_act_on_a_newer_plan() -> None:
    records = lines(
        (100.0, "w-n", "a", "f1", "1"), (600.0, "w-n", "b", "f1", "2"), (900.0, "w-n", "c", "f2", "2")
    )
    assert first_common(records, 500.0) == 400.0


def test_answers_that_leave_a_zone_that_could_carry_them_are_found() -> None:
    needless = lines(
        (100.0, "w-n", "x", "f1", "0"), (150.0, "r-n", "a", "f1", "0"), (300.0, "w-s", "a", "f1", "0")
    )
    assert not sent_abroad(needless).kept
    near = lines(
        (100.0, "w-n", "x", "f1", "0"), (150.0, "r-n", "a", "f1", "0"), (300.0, "w-n", "a", "f1", "0")
    )
    assert sent_abroad(near).kept
    nobody = lines((150.0, "r-n", "a", "f1", "0"), (300.0, "w-s", "a", "f1", "0"))
    assert sent_abroad(nobody).kept
