"""Held state under faults, judged at the engines: a fixed set of drawn schedules, small ones that once broke
the rule, and planted faults that have to be found."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest
from fault_injection import schedule as s
from fault_injection.draw import draw
from fault_injection.ledger import Rule
from fault_injection.shrink import shrink
from fault_injection.world import play
from test_floods import small_fleet

from worksmux.net.lateness import Lateness
from worksmux.node.kv_claims import KvClaim, KvClaims
from worksmux.node.kv_releaser import KvReleaser

SEEDS, CHUNKS = 320, 8
LARGE_SEEDS, TIMES = range(401, 411), 100  # 500 to 2,000 engines each
REGRESSIONS = sorted((Path(__file__).parent / "fault_injection" / "regressions").glob("*.json"))


@pytest.mark.parametrize("chunk", range(CHUNKS))
def test_drawn_schedules_keep_the_rules(chunk: int) -> None:
    broken = []
    for seed in range(1 + chunk, SEEDS + 1, CHUNKS):
        broken += [(seed, one.request, one.rule.name, one.detail) for one in play(draw(seed)).violations]
    assert not broken


@pytest.mark.parametrize("seed", LARGE_SEEDS)
def test_drawn_schedules_keep_the_rules_among_thousands_of_engines(seed: int) -> None:
    assert not play(draw(seed, TIMES)).violations


@pytest.mark.parametrize("path", REGRESSIONS, ids=[path.stem for path in REGRESSIONS])
def test_schedule_that_once_broke_a_rule_keeps_them(path: Path) -> None:
    """Shrunk from a drawn schedule that broke a rule; its name says what happens."""
    assert not play(s.load(path)).violations


def test_schedules_that_once_broke_a_rule_are_there() -> None:
    """Guards against a folder that is not kept, of which the test above would play nothing."""
    assert len(REGRESSIONS) >= 8


def test_schedule_gives_the_same_result_each_time() -> None:
    first, second = play(draw(8)), play(draw(8))
    assert first.trace == second.trace and first.releases == second.releases


def request(at: float, **changes: Any) -> s.RequestSpec:
    plain: dict[str, Any] = {"at": at, "process": 0, "request_class": 0, "prompt": 1000, "timeout": 2400}
    return s.RequestSpec(**{**plain, "session": int(at), **changes})


def fleet_with(faults: list[s.Fault], requests: list[s.RequestSpec], **behaviour: Any) -> s.Schedule:
    return msgspec.structs.replace(small_fleet(faults, **behaviour), requests=requests)


def pinned(schedule: s.Schedule) -> list[str]:
    return [one.detail for one in play(schedule).violations if one.rule is Rule.KV_CACHE_HELD]


def hung(*hosts: str, start: float, end: float) -> list[s.Fault]:
    return [s.Hang(start, end, host) for host in hosts]


def test_state_that_waits_for_an_attempt_at_a_hung_engine_is_let_go() -> None:
    """Guards against an attempt that never arrived taken for one that is out: state was held until the client
    gave up."""
    writers = hung("e2", "e3", start=90.0, end=5000.0)
    assert not pinned(fleet_with(writers, [request(20.0 * at) for at in range(6)], may_probe=False))


def test_two_reads_at_one_engine_whose_first_state_was_not_taken() -> None:
    """Guards against one claim for two attempts: a write's connection does not come up for nearly all of the
    time, the prompt is read again at the same engine, and the first state was forgotten as the second's was
    taken."""
    away: list[s.Fault] = [s.Vanish(50.0, 9000.0, "e2")]
    requests = [request(20.0 * at, timeout=2500) for at in range(12)]
    assert not pinned(fleet_with(away, requests, connect_timeout=450.0))


@pytest.mark.parametrize("cut", [True, False])
def test_read_that_ends_after_its_end_was_seen_nowhere_but_here(cut: bool) -> None:
    """Guards against state that appears at an engine which was cut off or hung, after a release was heard by
    another one and the time told to it was over."""
    away: list[s.Fault] = (
        [s.Cut(60.0, 3500.0, ["e0", "e1"])] if cut else hung("e0", "e1", start=60.0, end=3500.0)
    )
    requests = [request(20.0 * at, timeout=800) for at in range(3)]
    assert not pinned(fleet_with(away, requests, release_ends_reads=False, closed_reads_leave_state=True))


def test_process_that_ends_stays_until_nothing_can_appear_any_more() -> None:
    """Guards against an exit while an engine hangs with a read of a request that is answered."""
    faults = [*hung("e0", "e1", start=60.0, end=1900.0), s.Terminate(300.0, "n0")]
    requests = [request(20.0 * at, timeout=900) for at in range(3)]
    assert not pinned(fleet_with(faults, requests, release_ends_reads=False))


PLANTED: dict[str, tuple[Any, str, Any, int]] = {
    "a claim is dropped": (KvClaims, "add_possible", lambda *_: None, 4),
    "a release ends one answer early": (KvClaim, "is_settled_by", lambda *_: True, 4),
    "no release beside an attempt in doubt": (KvReleaser, "start_beside", lambda *_: None, 8),
    "an attempt does not wait for a release": (KvReleaser, "unacknowledged", lambda *_: None, 1774),
}


@pytest.mark.parametrize("name", PLANTED)
def test_planted_faults_are_found(monkeypatch: Any, name: str) -> None:
    """The checker can fail: each is found by the seed beside it."""
    owner, attribute, wrong, seed = PLANTED[name]
    monkeypatch.setattr(owner, attribute, wrong)
    assert any(one.rule is Rule.KV_CACHE_HELD for one in play(draw(seed)).violations)


def test_time_that_counts_from_when_a_request_was_read_is_found(monkeypatch: Any) -> None:
    """Guards against a deadline that is told longer than its client waits, by a process that was late."""
    monkeypatch.setattr(Lateness, "__call__", lambda self: 0.0)
    assert any(one.rule is Rule.TOLD_TOO_MUCH for one in play(draw(72)).violations)


def test_exit_too_soon_is_found(monkeypatch: Any) -> None:
    monkeypatch.setattr(KvReleaser, "has_claims", property(lambda _: False))
    with pytest.raises(AssertionError):
        test_process_that_ends_stays_until_nothing_can_appear_any_more()


def test_clock_that_starts_anew_is_found(monkeypatch: Any) -> None:
    """Where attempts one after the other do not arrive, and each starts the time again."""
    begun: Any = KvClaims.attempt_ended
    monkeypatch.setattr(KvClaims, "attempt_ended", lambda self, now, arrived: begun(self, now, True))
    monkeypatch.setattr(KvReleaser, "start_beside", lambda *_: None)
    with pytest.raises(AssertionError):
        test_state_that_waits_for_an_attempt_at_a_hung_engine_is_let_go()


def test_schedule_is_shrunk_to_what_breaks_the_rule(monkeypatch: Any) -> None:
    monkeypatch.setattr(KvClaims, "add_possible", lambda *_: None)
    small = shrink(draw(4))
    assert len(small.requests) <= 2 and any(one.rule is Rule.KV_CACHE_HELD for one in play(small).violations)


@pytest.mark.parametrize(
    "arguments, wanted",
    [
        (["run", "x"], "a seed such as 7"),
        (["run", "9-3"], "a seed such as 7"),
        (["replay", "nowhere.json"], "nowhere.json: a schedule in JSON was expected"),
        (["replay", "{}"], "a schedule in JSON was expected"),
        (["replay", "WRONG"], "requests[0]: a process and a class of this schedule"),
    ],
)
def test_input_that_makes_no_sense_is_named(tmp_path: Path, arguments: list[str], wanted: str) -> None:
    file = tmp_path / "schedule.json"
    if arguments[1] == "WRONG":
        s.save(fleet_with([], [request(0.0, process=7)]), file)
        arguments = [arguments[0], str(file)]
    elif arguments[1] == "{}":
        file.write_text("{}")
        arguments = [arguments[0], str(file)]
    done = subprocess.run(
        [sys.executable, "-m", "fault_injection", *arguments],
        cwd=Path(__file__).parent,
        capture_output=True,
        text=True,
        env={"PYTHONPATH": str(Path(__file__).parent.parent)},
    )
    assert done.returncode == 2 and wanted in done.stderr and len(done.stderr.splitlines()) == 1


def test_command_line_plays_seeds() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "fault_injection", "run", "1-2", "--jobs", "2"],
        cwd=Path(__file__).parent,
        capture_output=True,
        text=True,
        env={"PYTHONPATH": str(Path(__file__).parent.parent)},
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout.startswith("2 seeds, 0 broke a rule; ")
