"""Tests that a simulation is deterministic and that the audit finds what a broken policy violates."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from worksmux.checker.report import summary
from worksmux.checker.rules import check
from worksmux.policy.actions import Action, StartAttempt
from worksmux.policy.events import EndpointListUpdate, Event, RequestArrived
from worksmux.policy.settings import PolicySettings
from worksmux.policy.state import Attempt, Engine
from worksmux.scenarios.figures import rule_parameters
from worksmux.scenarios.scenario import Scenario, load_scenario, read_scenario
from worksmux.settings.document import parse
from worksmux.simulation.day import Model, UnsupportedScenarioError
from worksmux.simulation.sim import Sim

EXAMPLES = Path(__file__).parent.parent / "examples"


def example_scenario(name: str = "no-discovery-day", **replacements: str) -> Scenario:
    """Returns an example scenario; `replacements` maps texts of the file to new texts."""
    text = (EXAMPLES / f"{name}.kdl").read_text()
    for old, new in replacements.items():
        text = text.replace(old, new)
    return read_scenario(parse(text))


def test_same_seed_gives_the_same_journal() -> None:
    first, second = Model(example_scenario()), Model(example_scenario())
    first.run()
    second.run()
    assert first.lines == second.lines and first.lines


def test_scenario_with_faults_keeps_all_rules_and_answers_every_request() -> None:
    model = Model(example_scenario())
    records = model.run()
    assert records is not None
    figures = summary(records, rule_parameters(model.scenario))
    assert figures["kept"] and figures["unanswered"] == 0 and figures["delivered_share"] > 0.7


def test_totals_without_a_journal_are_those_of_the_records() -> None:
    with_journal, without_journal = Model(example_scenario()), Model(example_scenario(), journal=False)
    records = with_journal.run()
    assert records is not None and without_journal.run() is None
    totals = without_journal.clients.totals
    assert totals.requests == len(records.requests)
    assert abs(totals.credit - sum(request["credit"] for request in records.requests)) < 1e-9


class CarelessPolicy:
    """Sends each request twice to the first combined engine, whatever it was told of that engine."""

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        self.engines: list[Engine] = []

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        """Starts two attempts for each request that arrives."""
        actions: list[Action] = []
        for event in events:
            if isinstance(event, EndpointListUpdate):
                self.engines += [entry.engine for entry in event.entries if b"mixed" in entry.engine.id]
            if isinstance(event, RequestArrived) and self.engines:
                for number in range(2):
                    attempt = Attempt(event.request, self.engines[0], number, now)
                    event.request.attempts.append(attempt)
                    actions.append(StartAttempt(attempt))
        return actions


def test_audit_finds_the_rule_that_a_careless_policy_breaks() -> None:
    model = Model(example_scenario(), CarelessPolicy)
    records = model.run()
    assert records is not None
    broken_rules = {
        verdict.rule for verdict in check(records, rule_parameters(model.scenario)) if not verdict.kept
    }
    assert 2 in broken_rules


def test_unsupported_fault_is_refused_by_name() -> None:
    with pytest.raises(UnsupportedScenarioError, match="slow-links"):
        Model(load_scenario(EXAMPLES / "bad-day.kdl"))


def test_engines_with_similar_names_share_the_prefills() -> None:
    """Names that end alike, such as n1-prefill-1 and s1-prefill-1, must not count as one engine.

    That would skew their shares of the prefills.
    """
    scenario = replace(example_scenario(), faults=[])
    model = Model(scenario)
    model.run()
    prefills = [engine.counts.attempts for name, engine in model.engines.items() if "prefill" in name]
    assert min(prefills) > max(prefills) / 4


def test_cancelled_timer_never_fires() -> None:
    sim, fired = Sim(), []
    for index in range(5):
        timer = sim.after(float(index), fired.append, index)
        if index % 2:
            timer.cancel()
    sim.run(10.0)
    assert fired == [0, 2, 4] and sim.steps == 3
