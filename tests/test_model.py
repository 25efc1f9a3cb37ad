"""The model of the fleet: the same day twice is the same, and the audit finds what a bad module breaks."""

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


def day(name: str = "no-discovery-day", **changed: str) -> Scenario:
    text = (EXAMPLES / f"{name}.kdl").read_text()
    for old, new in changed.items():
        text = text.replace(old, new)
    return read_scenario(parse(text))


def test_same_seed_gives_the_same_day_to_the_last_line() -> None:
    one, two = Model(day()), Model(day())
    one.run()
    two.run()
    assert one.lines == two.lines and one.lines


def test_day_of_troubles_keeps_all_rules_and_answers_every_request() -> None:
    model = Model(day())
    records = model.run()
    assert records is not None
    told = summary(records, rule_parameters(model.day))
    assert told["kept"] and told["unanswered"] == 0 and told["delivered_share"] > 0.7


def test_totals_without_a_journal_are_those_of_the_records() -> None:
    with_journal, without = Model(day()), Model(day(), journal=False)
    records = with_journal.run()
    assert records is not None and without.run() is None
    totals = without.clients.totals
    assert totals.requests == len(records.requests)
    assert abs(totals.credit - sum(request["credit"] for request in records.requests)) < 1e-9


class Careless:
    """Sends each job to the first engine that writes or does both, whatever it was told of it, twice."""

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        self.engines: list[Engine] = []

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        actions: list[Action] = []
        for event in events:
            if isinstance(event, EndpointListUpdate):
                self.engines += [one.engine for one in event.entries if b"mixed" in one.engine.id]
            if isinstance(event, RequestArrived) and self.engines:
                for number in range(2):
                    attempt = Attempt(event.request, self.engines[0], number, now)
                    event.request.attempts.append(attempt)
                    actions.append(StartAttempt(attempt))
        return actions


def test_audit_finds_what_a_careless_module_breaks() -> None:
    model = Model(day(), Careless)
    records = model.run()
    assert records is not None
    broken = {verdict.rule for verdict in check(records, rule_parameters(model.day)) if not verdict.kept}
    assert 2 in broken


def test_trouble_of_sockets_alone_is_refused_by_name() -> None:
    with pytest.raises(UnsupportedScenarioError, match="slow-links"):
        Model(load_scenario(EXAMPLES / "bad-day.kdl"))


def test_fleet_of_engines_with_like_names_shares_the_reads() -> None:
    """Guards against names that end alike, such as n1-prefill-1 and s1-prefill-1, counting as one."""
    scenario = replace(day(), faults=[])
    model = Model(scenario)
    model.run()
    reads = [engine.counts.attempts for name, engine in model.engines.items() if "prefill" in name]
    assert min(reads) > max(reads) / 4


def test_cancelled_timer_never_rings() -> None:
    sim, rung = Sim(), []
    for at in range(5):
        timer = sim.after(float(at), rung.append, at)
        if at % 2:
            timer.cancel()
    sim.run(10.0)
    assert rung == [0, 2, 4] and sim.steps == 3
