"""A node without discovery serves from its cached endpoint list until the registry takes over."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from worksmux.checker.rules import check
from worksmux.endpoints.staleness import EndpointStatus, StoredEndpoint, Turnover
from worksmux.fault_trial.small import FIGURES, SETTINGS, Rig
from worksmux.gateway.endpoint_cache import ListMetadata
from worksmux.gateway.learned_state_store import read_learned
from worksmux.net import clock
from worksmux.storage.database import open_store
from worksmux.storage.records import Table

HOUR_MS = 3_600_000.0
FLEET = [("prefill", 0), ("decode", 0), ("prefill", 1), ("decode", 1)]


def settings_with_cache(path: Path, extra_settings: str = "") -> str:
    return (
        SETTINGS
        + f"""
memory {{
    file "{path}"
    believed-for "1h"
    probe-rate 20
    write-pause "10ms"
{extra_settings}
}}
"""
    )


def write_cache(
    rig: Rig, path: Path, age_ms: float, turnover: Turnover | None = None, **changes_by_engine: Any
) -> None:
    """Writes the list as a node would have `age_ms` ago, with other field values by engine id."""
    store, wall = open_store(path), clock.wall()
    lines = {}
    for name, line in rig.registry.engines.items():
        stored_line = msgspec.structs.replace(line, **changes_by_engine.get(name, {}))
        lines[name] = msgspec.msgpack.encode(StoredEndpoint(stored_line, wall - age_ms))
    store.replace("lines", lines.items(), wall - age_ms)
    facts = ListMetadata(wall - age_ms, 5, wall - age_ms, turnover or Turnover())
    store.replace("facts", [("list", msgspec.msgpack.encode(facts))], wall - age_ms)
    store.close()


def rig_with_cache(
    tmp_path: Path, age_ms: float, registry_down: bool = True, **changes_by_engine: Any
) -> Rig:
    rig = Rig(tmp_path, FLEET, text=settings_with_cache(tmp_path / "memory"))
    write_cache(rig, tmp_path / "memory", age_ms, **changes_by_engine)
    if registry_down:
        rig.registry.go_offline()
    return rig


def keeps_rules(records: Any) -> bool:
    return all(verdict.kept for verdict in check(records, FIGURES))


def stored_lines(path: Path) -> Table:
    store = open_store(path)
    table = store.read("lines")
    store.close()
    return table


@pytest.mark.parametrize("age_ms", [1000.0, 60_000.0, HOUR_MS, 24 * HOUR_MS, 21 * 24 * HOUR_MS])
def test_node_serves_from_a_list_of_any_age_while_discovery_is_down(tmp_path: Path, age_ms: float) -> None:
    records = rig_with_cache(tmp_path, age_ms).run_clients(length=1500.0, rate=15.0)
    final_answers = [request["how"] for request in records.requests]
    assert keeps_rules(records) and final_answers.count("delivered") >= 0.9 * len(final_answers)


def test_draining_and_vanished_engines_of_the_cached_list_are_avoided(tmp_path: Path) -> None:
    rig = rig_with_cache(tmp_path, 60_000.0, e0={"state": "draining"}, e1={"port": 1})
    records = rig.run_clients(length=1500.0, rate=15.0)
    assert keeps_rules(records) and not [attempt for attempt in records.attempts if attempt.engine == "e0"]
    cached_list = rig.fronts[0].endpoint_cache.cached_list  # type: ignore[union-attr]
    assert cached_list and cached_list.endpoints["e0"].status is EndpointStatus.DRAINING
    assert cached_list.endpoints["e1"].status in (EndpointStatus.UNVERIFIED, EndpointStatus.CONTRADICTED)
    assert {request["how"] for request in records.requests} <= {"delivered", "late"}


def test_engine_that_restarted_counts_as_cold(tmp_path: Path) -> None:
    rig = Rig(tmp_path, FLEET, text=settings_with_cache(tmp_path / "memory"), capacity=6.0)
    cold = rig.add_engine("decode", 0, cold=True)
    write_cache(rig, tmp_path / "memory", HOUR_MS, e4={"started": 1.0})
    rig.registry.go_offline()
    records = rig.run_clients(length=2500.0, rate=20.0)
    assert keeps_rules(records) and not records.overload_failures and cold.spec.id == "e4"
    known_endpoint = rig.fronts[0].engine_list.list_reader.known["e4"]
    assert clock.now() - known_endpoint.started < 20_000


def test_registry_takes_over_without_a_gap_when_it_comes_back(tmp_path: Path) -> None:
    rig = rig_with_cache(tmp_path, 1000.0)
    rig.announce(rig.engines[1], "draining")
    rig.at(700, rig.registry.go_online)
    records = rig.run_clients(length=2000.0, rate=15.0)
    listed_at = records.endpoint_histories["a", "e1"].times[0]
    assert keeps_rules(records) and {request["how"] for request in records.requests} == {"delivered"}
    assert not [
        attempt
        for attempt in records.attempts
        if attempt.engine == "e1" and attempt.received_at_ms > listed_at + 250
    ]
    cache = rig.fronts[0].endpoint_cache
    assert cache and cache.cached_list and cache.cached_list.superseded


def test_empty_list_does_not_wipe_a_serving_fleet(tmp_path: Path) -> None:
    rig = rig_with_cache(tmp_path, 1000.0, registry_down=False)
    rig.registry.listed = {}
    records = rig.run_clients(length=800.0, rate=15.0)
    assert {request["how"] for request in records.requests} == {"delivered"}


def test_list_older_than_the_cached_one_is_ignored(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    rig = rig_with_cache(tmp_path, 1000.0, registry_down=False)

    def age_registry() -> None:
        rig.registry.serial = 3
        rig.registry.listed = dict(list(rig.registry.listed.items())[:1])

    rig.reactor.callLater(0, age_registry)  # after the rig has published its own endpoints
    monkeypatch.setattr("worksmux.fakes.registry.clock.wall", lambda: 5000.0)
    records = rig.run_clients(length=500.0, rate=15.0)
    assert {request["how"] for request in records.requests} == {"delivered"}
    assert len({attempt.engine for attempt in records.attempts}) > 1
    cache = rig.fronts[0].endpoint_cache
    assert cache and cache.cached_list and not cache.cached_list.superseded


def test_changes_of_the_list_are_stored_and_gone_engines_removed(tmp_path: Path) -> None:
    rig = Rig(tmp_path, FLEET, text=settings_with_cache(tmp_path / "memory"))
    rig.at(200, rig.announce, rig.engines[1], "gone")
    rig.at(300, rig.announce, rig.engines[2], "draining")
    rig.run_clients(length=600.0)
    rig.fronts[0].endpoint_cache.stop()  # type: ignore[union-attr]
    table = stored_lines(tmp_path / "memory")
    saved = {name: msgspec.msgpack.decode(data, type=StoredEndpoint) for name, data in table.values.items()}
    assert table.is_complete and set(saved) == {"e0", "e2", "e3"} and saved["e2"].line.state == "draining"


def test_seeds_are_used_if_nothing_is_cached(tmp_path: Path) -> None:
    rig = Rig(tmp_path, FLEET[:2])
    seeds = "".join(
        f'    seed "{engine.spec.id}" address="127.0.0.1:{engine.port}" kind="{engine.spec.kind}" '
        'zone="north"\n'
        for engine in rig.engines
    )
    rig.text = settings_with_cache(tmp_path / "memory", seeds)
    rig.registry.go_offline()
    records = rig.run_clients(length=1000.0, rate=10.0)
    assert keeps_rules(records) and "delivered" in {request["how"] for request in records.requests}


@pytest.mark.parametrize("data", [b"", b"nonsense" * 900])
def test_broken_store_is_an_empty_start(tmp_path: Path, data: bytes) -> None:
    (tmp_path / "memory").write_bytes(data)
    rig = Rig(tmp_path, FLEET, text=settings_with_cache(tmp_path / "memory"))
    records = rig.run_clients(length=500.0)
    assert {request["how"] for request in records.requests} == {"delivered"}


def test_list_commands_show_verify_and_forget(tmp_path: Path) -> None:
    import json
    import subprocess
    import sys

    rig = Rig(tmp_path, FLEET[:2])
    path = tmp_path / "memory"
    write_cache(rig, path, HOUR_MS)
    rig.engines[1].port_object.stopListening()
    rig.reactor.callLater(0, rig.reactor.stop)
    rig.run()

    def command(*args: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "worksmux", "list", *args],
            capture_output=True,
            text=True,
            check=False,
            timeout=30,
        )

    shown = json.loads(command("show", str(path), "--json").stdout)
    assert shown["whole"] and [line["id"] for line in shown["lines"]] == ["e0", "e1"]
    assert 0.3 < shown["lines"][0]["trust"] < 0.4 and shown["lines"][0]["age_s"] >= 3600
    checked = command("verify", str(path), "--time-out", "0.3")
    assert checked.returncode == 1 and "no answer" in checked.stdout
    assert command("forget", str(path), "e9").returncode == 2
    assert command("forget", str(path), "e1").returncode == 0
    assert [line["id"] for line in json.loads(command("show", str(path), "--json").stdout)["lines"]] == ["e0"]
    assert (
        command("forget", str(path)).returncode == 0 and command("show", str(tmp_path / "no")).returncode == 2
    )


def test_list_that_becomes_empty_in_service_does_not_wipe_the_fleet(tmp_path: Path) -> None:
    rig = Rig(tmp_path, FLEET)

    def send_empty_list() -> None:
        rig.registry.listed = {}
        for front in list(rig.registry.subscribers):
            rig.registry.send_full(front)

    rig.at(300, send_empty_list)
    records = rig.run_clients(length=1200.0, rate=15.0)
    assert keeps_rules(records) and {request["how"] for request in records.requests} == {"delivered"}


def test_registry_that_hangs_or_breaks_off_is_followed_once_it_sends_a_list(tmp_path: Path) -> None:
    """The registry accepts connections but sends nothing, then sends partial lists, then recovers.

    The node must serve from its cache until a full list arrives.
    """
    rig = Rig(
        tmp_path,
        FLEET,
        text=settings_with_cache(tmp_path / "memory").replace('silence "5s"', 'silence "100ms"'),
    )
    write_cache(rig, tmp_path / "memory", 1000.0)
    rig.registry.silent = True

    def send_partial_lists() -> None:
        rig.registry.silent, rig.registry.truncates_lists = False, True

    def send_full_lists() -> None:
        rig.registry.truncates_lists = False

    rig.at(300, send_partial_lists)
    rig.at(800, send_full_lists)
    records = rig.run_clients(length=1500.0, rate=15.0)
    assert keeps_rules(records) and {request["how"] for request in records.requests} == {"delivered"}
    cache = rig.fronts[0].endpoint_cache
    assert cache and cache.cached_list and cache.cached_list.superseded


def test_learned_state_is_stored_for_the_next_start(tmp_path: Path) -> None:
    rig = Rig(tmp_path, FLEET, text=settings_with_cache(tmp_path / "memory"))
    rig.inject_fault(rig.engines[1], "fail_fast", share=1.0)
    front = rig.front()
    rig.run_clients(length=800.0, rate=20.0)
    cache = front.endpoint_cache
    assert cache
    cache.stop()
    store = open_store(tmp_path / "memory")
    learned = read_learned(store)
    store.close()
    assert (
        learned.timings
        and learned.timings.faults["hint"].total > 0
        and learned.timings.fastest_per_token_ms > 0
    )
    assert learned.marks["e1"].ejected_until_ms
