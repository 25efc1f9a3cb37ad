"""The checker's rules for a fleet of gateways, on records built by hand."""

from __future__ import annotations

from worksmux.checker.fleet import check_decode_zones, check_plan_lease, convergence_time_ms
from worksmux.checker.records import Records, gather


def records_of(*attempts: tuple[float, str, str, str, str]) -> Records:
    """Records of attempts given as time, engine, request, gateway and plan.

    The names of prefill engines begin with r; the part after the dash is the engine's zone.
    """
    lines = [
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
    lines += [
        {
            "t": 1.0,
            "who": "registry",
            "what": "told",
            "front": gateway,
            "serial": 1,
            "list": "delta",
            "engines": [[engine, "ready", 0.0]],
        }
        for gateway in {attempt[3] for attempt in attempts}
        for engine in {attempt[1] for attempt in attempts}
    ]
    for index, (time_ms, engine, request, gateway, plan) in enumerate(attempts):
        fields = {
            "who": engine,
            "job": request,
            "trip": f"t{index}",
            "front": gateway,
            "try": request,
            "offering": "hint",
        }
        lines.append({"t": time_ms, "what": "got", "plan": plan, **fields})
        lines.append(
            {"t": time_ms + 50, "what": "end", "how": "read" if engine[0] == "r" else "done", **fields}
        )
    return gather(lines)


def test_plan_used_beyond_its_lease_is_found_and_a_gateway_without_a_lease_is_not_checked() -> None:
    kept = records_of(
        (100.0, "w-n", "a", "f1", "1"),
        (200.0, "w-n", "b", "f2", "2"),
        (900.0, "w-n", "c", "f1", "1"),
        (9000.0, "w-n", "d", "f1", "1 alone"),
    )
    assert check_plan_lease(kept, 1000.0).kept
    late = records_of((200.0, "w-n", "b", "f2", "2"), (1900.0, "w-n", "c", "f1", "1"))
    assert not check_plan_lease(late, 1000.0).kept


def test_convergence_time_ends_when_the_last_gateway_uses_a_newer_plan() -> None:
    records = records_of(
        (100.0, "w-n", "a", "f1", "1"), (600.0, "w-n", "b", "f1", "2"), (900.0, "w-n", "c", "f2", "2")
    )
    assert convergence_time_ms(records, 500.0) == 400.0


def test_decode_outside_a_zone_that_has_capacity_is_found() -> None:
    avoidable = records_of(
        (100.0, "w-n", "x", "f1", "0"), (150.0, "r-n", "a", "f1", "0"), (300.0, "w-s", "a", "f1", "0")
    )
    assert not check_decode_zones(avoidable).kept
    same_zone = records_of(
        (100.0, "w-n", "x", "f1", "0"), (150.0, "r-n", "a", "f1", "0"), (300.0, "w-n", "a", "f1", "0")
    )
    assert check_decode_zones(same_zone).kept
    no_decode_engine = records_of((150.0, "r-n", "a", "f1", "0"), (300.0, "w-s", "a", "f1", "0"))
    assert check_decode_zones(no_decode_engine).kept
