"""The search for worst days: stays in its ranges, finds what is planted, makes it small, writes it down."""

from __future__ import annotations

import random
from pathlib import Path

from worksmux.experiment.play import play
from worksmux.experiment.search import LOADS, LONGEST, MOST, CandidateScenario, Search, scenario_file_text
from worksmux.experiment.worst import one
from worksmux.scenarios.scenario import load_scenario, read_scenario
from worksmux.settings.document import parse
from worksmux.simulation.day import SUPPORTED_FAULTS

FILE = Path(__file__).parent.parent / "examples" / "no-discovery-day.kdl"
BASE = load_scenario(FILE)


def planted(days: list[CandidateScenario]) -> list[tuple[float, float]]:
    """Regret by hangs alone, as much as they last and strike."""
    return [
        (
            sum(trouble.length * trouble.part for trouble in day.faults if trouble.kind == "hang")
            / BASE.length,
            0.5,
        )
        for day in days
    ]


def test_every_day_stays_in_its_ranges() -> None:
    search = Search(BASE, 1)
    for _ in range(30):
        days = search.batch(12)
        for day in days:
            assert 1 <= len(day.faults) <= MOST and LOADS[0] <= day.load <= LOADS[1]
            for trouble in day.faults:
                assert (
                    trouble.kind in SUPPORTED_FAULTS
                    and trouble.at >= 0
                    and trouble.length <= LONGEST * BASE.length
                )
                assert 0 < trouble.part <= 1
        search.add_results(days, [(random.Random(1).random(), 0.5) for _ in days])


def test_what_is_planted_is_found_and_all_else_is_left_out() -> None:
    search = Search(BASE, 2)
    for _ in range(40):
        days = search.batch(12)
        search.add_results(days, planted(days))
    worst = search.highest_regret[0]
    assert worst.regret > 0.3
    small = search.shrink(worst, planted, 40)
    assert {trouble.kind for trouble in small.faults} == {"hang"} and small.regret >= 0.7 * worst.regret
    assert small.load <= max(1.0, worst.load)


def test_same_seed_searches_the_same_days() -> None:
    assert Search(BASE, 3).batch(20) == Search(BASE, 3).batch(20) != Search(BASE, 4).batch(20)


def test_day_that_was_found_is_written_and_plays_as_it_did() -> None:
    search = Search(BASE, 5)
    found = search.fresh()
    day = read_scenario(parse(scenario_file_text(FILE.read_text(), BASE, found)))
    wanted = found.day(BASE)
    assert [(t.kind, t.at, t.length, t.part, t.role, t.zone) for t in day.faults] == [
        (t.kind, t.at, t.length, t.part, t.role, t.zone) for t in wanted.faults
    ]
    assert one(day) == one(wanted)


def test_worst_day_that_was_found_keeps_all_rules_and_the_fleet_comes_back() -> None:
    day = load_scenario(FILE.parent / "worst-restart-day.kdl")
    found = play(day, True)
    assert found["rules_broken"] == 0.0 and found["unanswered"] == 0.0
    assert found["falls"] == 0.0 and found["credit"] > 0.8
