"""The engines of a scenario and the selection of a fault's targets, without I/O."""

from __future__ import annotations

import random

from ..fakes.generator import Spec
from .scenario import Scenario, ScenarioEngine, ScenarioFault


def engine_spec(
    scenario: Scenario, engine: ScenarioEngine, journal: str, port: int, cold: bool, starts: int
) -> Spec:
    """The fake engine's parameters.

    The capacity follows from the scenario's mean request; a cold engine fails under a multiple of it.
    """
    machine = scenario.machines[engine.kind]
    kind = next(kind for kind in scenario.kinds if kind.name == engine.kind)
    sharing_link = sum(other.cell == engine.cell and other.kind == engine.kind for other in scenario.engines)
    return Spec(
        engine.id,
        engine.kind,
        kind.role,
        engine.zone,
        engine.cell,
        machine.slots,
        machine.line,
        kind.memory,
        machine.read_speed,
        machine.step,
        machine.per_stream,
        scenario.near,
        scenario.far / max(1, sharing_link),
        scenario.zone_slower,
        cold_from=scenario.cold_from,
        warm_up=scenario.warm_up,
        fall_multiple=scenario.rules["fall_multiple"],
        fall_time=scenario.rules["fall_time"],
        capacity=capacity(scenario, engine),
        lease=scenario.lease,
        cold=cold,
        journal=journal,
        port=port,
        seed=scenario.seed * 7919 + name_hash(engine.id) + starts,
        tokenizer=next(iter(scenario.tokenizers.values()), ""),
    )


def name_hash(name: str) -> int:
    """A hash of a name that is the same in every process."""
    return sum((index + 1) * byte for index, byte in enumerate(name.encode()))


def capacity(scenario: Scenario, engine: ScenarioEngine) -> float:
    """Requests per second that a warm engine of this kind can serve."""
    machine = scenario.machines[engine.kind]
    role = next(kind.role for kind in scenario.kinds if kind.name == engine.kind)
    call = next(kind.call for kind in scenario.kinds if kind.name == engine.kind)
    calls = {entry.name: entry.call for entry in scenario.request_classes}
    traffic = [entry for entry in scenario.traffic if calls[entry.request_class] == call]
    total_share = sum(entry.share for entry in traffic) or 1.0
    if call != "chat":
        mean_tokens = (
            sum(entry.share * sum(entry.inputs) / 2 * sum(entry.new_tokens) / 2 for entry in traffic)
            / total_share
        )
        return machine.read_speed / max(1.0, mean_tokens)
    mean_prompt_tokens = (
        sum(
            entry.share
            * (
                sum(entry.new_tokens) / 2 * (1 + sum(entry.turns) / 4)
                + entry.beginning_share * sum(entry.beginning_tokens) / 2
            )
            for entry in traffic
        )
        / total_share
    )
    mean_answer_tokens = sum(entry.share * sum(entry.answer_tokens) / 2 for entry in traffic) / total_share
    prefill_rate = machine.read_speed / max(1.0, mean_prompt_tokens)
    token_interval_ms = machine.step + machine.per_stream * machine.slots
    decode_rate = machine.slots * 1000 / (token_interval_ms * max(1.0, mean_answer_tokens))
    return {"read": prefill_rate, "write": decode_rate}.get(
        role, 1 / (1 / max(prefill_rate, 1e-9) + 1 / decode_rate)
    )


def select_engines(
    scenario: Scenario, fault: ScenarioFault, random_source: random.Random
) -> list[ScenarioEngine]:
    """The engines that a fault affects: a random share of those that match, at least one, or all of them."""
    roles = {kind.name: kind.role for kind in scenario.kinds}
    candidates = [
        engine
        for engine in scenario.engines
        if (not fault.names or engine.id in fault.names)
        and (not fault.role or roles[engine.kind] == fault.role)
        and (not fault.zone or engine.zone == fault.zone)
        and (not fault.region or scenario.regions.get(engine.zone) == fault.region)
        and (fault.cell < 0 or engine.cell == fault.cell)
    ]
    if not fault.part:
        return candidates
    return sorted(
        random_source.sample(candidates, max(1, round(fault.part * len(candidates)))),
        key=lambda engine: engine.id,
    )


def select_gateways(fault: ScenarioFault, gateways: list[str], random_source: random.Random) -> list[str]:
    """The gateways that a fault affects: a random share of those it names, at least one."""
    candidates = [name for name in gateways if not fault.names or name in fault.names]
    return (
        random_source.sample(candidates, max(1, round((fault.part or 1.0) * len(candidates))))
        if candidates
        else []
    )
