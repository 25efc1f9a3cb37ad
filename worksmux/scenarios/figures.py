"""The parameters that the audit's rules take from a scenario."""

from __future__ import annotations

from ..checker.rules import RuleParameters
from .scenario import Scenario


def rule_parameters(scenario: Scenario) -> RuleParameters:
    """The time limits and the deduplication settings of a scenario, for the audit's rules."""
    return RuleParameters(
        scenario.rules["answer_slack"],
        scenario.rules["drain_grace"],
        scenario.rules["release_within"],
        scenario.rules["fall_time"],
        {request_class.name: request_class.group for request_class in scenario.request_classes},
        {request_class.name: request_class.remembered for request_class in scenario.request_classes},
        scenario.slack,
    )
