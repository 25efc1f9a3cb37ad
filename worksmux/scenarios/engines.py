"""What a day's engines are and whom a trouble strikes, without I/O."""

from __future__ import annotations

import random

from ..fakes.generator import Spec
from .scenario import Scenario, ScenarioEngine, ScenarioFault


def engine_spec(
    day: Scenario, place: ScenarioEngine, journal: str, port: int, cold: bool, starts: int
) -> Spec:
    """The stand-in at `place`; its capacity is reckoned from the day's mean job, for falling over when
    cold."""
    machine = day.machines[place.kind]
    kind = next(kind for kind in day.kinds if kind.name == place.kind)
    readers = sum(other.cell == place.cell and other.kind == place.kind for other in day.engines)
    return Spec(
        place.id,
        place.kind,
        kind.role,
        place.zone,
        place.cell,
        machine.slots,
        machine.line,
        kind.memory,
        machine.read_speed,
        machine.step,
        machine.per_stream,
        day.near,
        day.far / max(1, readers),
        day.zone_slower,
        cold_from=day.cold_from,
        warm_up=day.warm_up,
        fall_multiple=day.rules["fall_multiple"],
        fall_time=day.rules["fall_time"],
        capacity=capacity(day, place),
        lease=day.lease,
        cold=cold,
        journal=journal,
        port=port,
        seed=day.seed * 7919 + name_hash(place.id) + starts,
        tokenizer=next(iter(day.tokenizers.values()), ""),
    )


def name_hash(name: str) -> int:
    return sum((at + 1) * byte for at, byte in enumerate(name.encode()))


def capacity(day: Scenario, place: ScenarioEngine) -> float:
    """Jobs a second that an engine of this kind can carry when warm."""
    machine = day.machines[place.kind]
    role = next(kind.role for kind in day.kinds if kind.name == place.kind)
    call = next(kind.call for kind in day.kinds if kind.name == place.kind)
    calls = {one.name: one.call for one in day.request_classes}
    traffic = [one for one in day.traffic if calls[one.request_class] == call]
    shares = sum(one.share for one in traffic) or 1.0
    if call != "chat":
        tokens = sum(one.share * sum(one.inputs) / 2 * sum(one.new_tokens) / 2 for one in traffic) / shares
        return machine.read_speed / max(1.0, tokens)
    prompt = (
        sum(
            one.share
            * (
                sum(one.new_tokens) / 2 * (1 + sum(one.turns) / 4)
                + one.beginning_share * sum(one.beginning_tokens) / 2
            )
            for one in traffic
        )
        / shares
    )
    answer = sum(one.share * sum(one.answer_tokens) / 2 for one in traffic) / shares
    reads = machine.read_speed / max(1.0, prompt)
    pace = machine.step + machine.per_stream * machine.slots
    writes = machine.slots * 1000 / (pace * max(1.0, answer))
    return {"read": reads, "write": writes}.get(role, 1 / (1 / max(reads, 1e-9) + 1 / writes))


def select_engines(day: Scenario, trouble: ScenarioFault, chance: random.Random) -> list[ScenarioEngine]:
    """The engines that a trouble strikes: those it names or describes, and of these its part, at least
    one."""
    roles = {kind.name: kind.role for kind in day.kinds}
    able = [
        place
        for place in day.engines
        if (not trouble.names or place.id in trouble.names)
        and (not trouble.role or roles[place.kind] == trouble.role)
        and (not trouble.zone or place.zone == trouble.zone)
        and (not trouble.region or day.regions.get(place.zone) == trouble.region)
        and (trouble.cell < 0 or place.cell == trouble.cell)
    ]
    if not trouble.part:
        return able
    return sorted(chance.sample(able, max(1, round(trouble.part * len(able)))), key=lambda place: place.id)


def select_gateways(trouble: ScenarioFault, fronts: list[str], chance: random.Random) -> list[str]:
    able = [name for name in fronts if not trouble.names or name in trouble.names]
    return chance.sample(able, max(1, round((trouble.part or 1.0) * len(able)))) if able else []
