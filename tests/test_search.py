"""The search for scenarios of high regret: its ranges, what it finds, shrinking, and the written file."""

from __future__ import annotations

import random
from pathlib import Path

from worksmux.experiment.play import simulate_scenario
from worksmux.experiment.search import (
    LOAD_FACTORS,
    MAX_FAULT_SHARE,
    MAX_FAULTS,
    CandidateScenario,
    Search,
    scenario_file_text,
)
from worksmux.experiment.worst import regret_and_credit
from worksmux.scenarios.scenario import load_scenario, read_scenario
from worksmux.settings.document import parse
from worksmux.simulation.day import SUPPORTED_FAULTS

FILE = Path(__file__).parent.parent / "examples" / "no-discovery-day.kdl"
BASE = load_scenario(FILE)


def hang_regret(candidates: list[CandidateScenario]) -> list[tuple[float, float]]:
    """A regret that only hangs cause, in proportion to their length and the share of engines that hang."""
    return [
        (
            sum(fault.length * fault.part for fault in candidate.faults if fault.kind == "hang")
            / BASE.length,
            0.5,
        )
        for candidate in candidates
    ]


def test_every_candidate_stays_in_the_ranges() -> None:
    search = Search(BASE, 1)
    for _ in range(30):
        candidates = search.batch(12)
        for candidate in candidates:
            assert (
                1 <= len(candidate.faults) <= MAX_FAULTS
                and LOAD_FACTORS[0] <= candidate.load_factor <= LOAD_FACTORS[1]
            )
            for fault in candidate.faults:
                assert (
                    fault.kind in SUPPORTED_FAULTS
                    and fault.at >= 0
                    and fault.length <= MAX_FAULT_SHARE * BASE.length
                )
                assert 0 < fault.part <= 1
        search.add_results(candidates, [(random.Random(1).random(), 0.5) for _ in candidates])


def test_cause_of_regret_is_found_and_other_faults_are_removed() -> None:
    search = Search(BASE, 2)
    for _ in range(40):
        candidates = search.batch(12)
        search.add_results(candidates, hang_regret(candidates))
    worst = search.highest_regret[0]
    assert worst.regret > 0.3
    small = search.shrink(worst, hang_regret, 40)
    assert {fault.kind for fault in small.faults} == {"hang"} and small.regret >= 0.7 * worst.regret
    assert small.load_factor <= max(1.0, worst.load_factor)


def test_same_seed_gives_the_same_candidates() -> None:
    assert Search(BASE, 3).batch(20) == Search(BASE, 3).batch(20) != Search(BASE, 4).batch(20)


def test_written_scenario_file_has_the_faults_and_the_result_of_its_candidate() -> None:
    search = Search(BASE, 5)
    candidate = search.random_candidate()
    written = read_scenario(parse(scenario_file_text(FILE.read_text(), BASE, candidate)))
    expected = candidate.scenario(BASE)
    assert [
        (fault.kind, fault.at, fault.length, fault.part, fault.role, fault.zone) for fault in written.faults
    ] == [
        (fault.kind, fault.at, fault.length, fault.part, fault.role, fault.zone) for fault in expected.faults
    ]
    assert regret_and_credit(written) == regret_and_credit(expected)


def test_worst_scenario_found_so_far_keeps_all_rules_and_the_fleet_recovers() -> None:
    scenario = load_scenario(FILE.parent / "worst-restart-day.kdl")
    figures = simulate_scenario(scenario, True)
    assert figures["rules_broken"] == 0.0 and figures["unanswered"] == 0.0
    assert figures["falls"] == 0.0 and figures["credit"] > 0.8
