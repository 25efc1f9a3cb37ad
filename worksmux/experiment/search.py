"""Searches for scenarios in which the router does worse than the baseline policies, and shrinks them.

The search maximizes regret: the credit of the best baseline policy less that of the router.  Low credit alone
would only find scenarios in which no policy does well.  Candidates start at random within the ranges below,
those of the highest regret are mutated and crossed, and the one of the highest regret is shrunk: faults are
removed, shortened and weakened as long as most of the regret remains.

The module does no I/O; its random source is seeded, and the caller passes the function that simulates.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from ..scenarios.scenario import Scenario, ScenarioFault

FAULT_KINDS = (
    "crash",
    "vanish",
    "hang",
    "slow",
    "fast-errors",
    "offering-fails",
    "drain",
    "mass-restart",
    "zone-loss",
    "list-stale",
    "list-lost",
    "front-crash",
    "burst",
    "hot-beginning",
    "heavy-tail",
    "give-up",
)
ROLE_FAULT_KINDS = ("crash", "hang", "slow", "drain")
MAX_FAULT_SHARE = 0.5  # of the scenario's length, for one fault
MAX_FAULTS = 6
LOAD_FACTORS = (0.5, 2.0)  # times the request rate of the base scenario
SEVERITIES = {
    "slow": (1.5, 10.0),
    "burst": (1.2, 4.0),
    "heavy-tail": (2.0, 10.0),
    "give-up": (0.3, 1.0),
    "hot-beginning": (200.0, 2000.0),
    "list-stale": (1000.0, 8000.0),
}
MIN_REGRET_SHARE = 0.7  # of a candidate's regret must remain while it is shrunk
BEAM_WIDTH = 6  # candidates that are kept for mutation and crossing


@dataclass(frozen=True)
class CandidateScenario:
    """Changes to the base scenario, and their regret and the router's credit once simulated."""

    faults: tuple[ScenarioFault, ...]
    load_factor: float
    regret: float = 0.0
    credit: float = 0.0

    def scenario(self, base: Scenario) -> Scenario:
        """The base scenario with the faults and the load of this candidate."""
        faults = sorted(self.faults, key=lambda fault: fault.at)
        return replace(base, faults=faults, rate=base.rate * self.load_factor)


# Simulates candidates; returns the regret and the credit of each, in order.
Evaluate = Callable[[list[CandidateScenario]], list[tuple[float, float]]]


class Search:
    """An evolutionary search for scenarios of high regret."""

    def __init__(self, base: Scenario, seed: int) -> None:
        self.base, self.random_source = base, random.Random(seed)
        self.highest_regret: list[CandidateScenario] = []
        self.evaluated_count = 0

    # Candidates.

    def random_fault(self) -> ScenarioFault:
        """A fault at random within the ranges."""
        random_source, base = self.random_source, self.base
        kind = random_source.choice(FAULT_KINDS)
        length_ms = base.length * MAX_FAULT_SHARE * random_source.uniform(0.05, 1.0)
        start_ms = random_source.uniform(0.1 * base.length, max(0.1 * base.length, base.length - length_ms))
        zone = random_source.choice(base.zones) if kind == "zone-loss" else ""
        return ScenarioFault(
            kind,
            round(start_ms),
            round(length_ms),
            round(random_source.uniform(0.05, 0.6), 2),
            random_source.choice(["", "read", "write"]) if kind in ROLE_FAULT_KINDS else "",
            zone,
            -1,
            (),
            round(random_source.uniform(0.2, 1.0), 2),
            round(random_source.uniform(*SEVERITIES.get(kind, (1.0, 1.0))), 2),
            random_source.choice(base.request_classes).name if kind == "offering-fails" else "",
            "",
            round(min(1000.0, length_ms / 4)),
            0,
        )

    def random_candidate(self) -> CandidateScenario:
        """A candidate with faults and load at random."""
        count = self.random_source.randint(1, MAX_FAULTS)
        return CandidateScenario(
            tuple(self.random_fault() for _ in range(count)),
            round(self.random_source.uniform(*LOAD_FACTORS), 2),
        )

    def mutated(self, candidate: CandidateScenario) -> CandidateScenario:
        """The candidate with one change: a fault added, removed, altered or replaced, or another load."""
        random_source, faults = self.random_source, list(candidate.faults)
        match random_source.randrange(5):
            case 0 if len(faults) < MAX_FAULTS:
                faults.append(self.random_fault())
            case 1 if len(faults) > 1:
                del faults[random_source.randrange(len(faults))]
            case 2:
                load_factor = candidate.load_factor * random_source.uniform(0.7, 1.4)
                return replace(
                    candidate, load_factor=round(max(LOAD_FACTORS[0], min(LOAD_FACTORS[1], load_factor)), 2)
                )
            case 3:
                index = random_source.randrange(len(faults))
                fault = faults[index]
                faults[index] = replace(
                    fault,
                    at=round(max(0.0, fault.at + random_source.uniform(-0.2, 0.2) * self.base.length)),
                    length=round(
                        min(
                            MAX_FAULT_SHARE * self.base.length, fault.length * random_source.uniform(0.5, 2.0)
                        )
                    ),
                    part=round(min(1.0, fault.part * random_source.uniform(0.5, 2.0)), 2),
                )
            case _:
                faults[random_source.randrange(len(faults))] = self.random_fault()
        return CandidateScenario(tuple(faults), candidate.load_factor)

    def crossed(self, first: CandidateScenario, second: CandidateScenario) -> CandidateScenario:
        """A candidate with faults of both and the load of the first."""
        pool = [*first.faults, *second.faults]
        count = min(MAX_FAULTS, len(pool), max(1, (len(first.faults) + len(second.faults)) // 2))
        return CandidateScenario(tuple(self.random_source.sample(pool, count)), first.load_factor)

    def batch(self, size: int) -> list[CandidateScenario]:
        """The next candidates: a third at random, the rest from those of the highest regret."""
        candidates = []
        for index in range(size):
            if not self.highest_regret or index % 3 == 0:
                candidates.append(self.random_candidate())
            elif index % 3 == 1 or len(self.highest_regret) < 2:
                candidates.append(self.mutated(self.random_source.choice(self.highest_regret)))
            else:
                candidates.append(self.crossed(*self.random_source.sample(self.highest_regret, 2)))
        return candidates

    # Results.

    def add_results(
        self, candidates: Iterable[CandidateScenario], results: Iterable[tuple[float, float]]
    ) -> None:
        """Takes the regret and credit of candidates; keeps those of the highest regret."""
        evaluated = [
            replace(candidate, regret=regret, credit=credit)
            for candidate, (regret, credit) in zip(candidates, results, strict=True)
        ]
        self.evaluated_count += len(evaluated)
        self.highest_regret = sorted(
            [*self.highest_regret, *evaluated], key=lambda candidate: -candidate.regret
        )[:BEAM_WIDTH]

    def smaller_variants(self, candidate: CandidateScenario) -> list[CandidateScenario]:
        """The candidate made smaller by one step, in each possible way, the largest steps first."""
        variants = []
        if len(candidate.faults) > 1:
            variants += [
                replace(candidate, faults=candidate.faults[:index] + candidate.faults[index + 1 :])
                for index in range(len(candidate.faults))
            ]
        for index, fault in enumerate(candidate.faults):
            rest = candidate.faults[:index], candidate.faults[index + 1 :]
            for changed in (
                replace(fault, length=round(fault.length / 2)),
                replace(fault, part=round(fault.part / 2, 2)),
            ):
                if changed.length >= 0.02 * self.base.length and changed.part >= 0.02:
                    variants.append(replace(candidate, faults=(*rest[0], changed, *rest[1])))
        if candidate.load_factor > 1.05:
            variants.append(replace(candidate, load_factor=round(max(1.0, candidate.load_factor * 0.8), 2)))
        return variants

    def shrink(self, candidate: CandidateScenario, evaluate: Evaluate, rounds: int = 12) -> CandidateScenario:
        """The candidate made smaller step by step while it keeps most of its regret."""
        min_regret = MIN_REGRET_SHARE * candidate.regret
        for _ in range(rounds):
            variants = self.smaller_variants(candidate)
            results = evaluate(variants)
            self.evaluated_count += len(variants)
            smaller = next(
                (
                    replace(variant, regret=regret, credit=credit)
                    for variant, (regret, credit) in zip(variants, results, strict=True)
                    if regret >= min_regret
                ),
                None,
            )
            if smaller is None:
                break
            candidate = smaller
        return candidate


def fault_lines(candidate: CandidateScenario) -> str:
    """The faults as lines of a scenario file."""
    lines = []
    for fault in sorted(candidate.faults, key=lambda fault: fault.at):
        filters = "".join(
            f' {key}="{value}"'
            for key, value in (("role", fault.role), ("zone", fault.zone), ("offering", fault.request_class))
            if value
        )
        lines.append(
            f'trouble "{fault.kind}" at="{fault.at:.0f}ms" for="{fault.length:.0f}ms" '
            f'every="{fault.every:.0f}ms" part={fault.part:g} share={fault.share:g} '
            f"factor={fault.factor:g}{filters}"
        )
    return "\n".join(lines) + "\n"


def scenario_file_text(text: str, base: Scenario, candidate: CandidateScenario) -> str:
    """The text of the base scenario's file with the faults and the load of the candidate."""
    kept_lines = [
        line for line in text.splitlines() if not line.startswith("trouble ") and not line.startswith("load ")
    ]
    header = (
        f"// Regret {candidate.regret:.3f}: the credit of the best baseline policy less that of worksmux, "
        f"{candidate.credit:.3f}, in simulation.\n"
    )
    return (
        header
        + "\n".join(kept_lines)
        + f"\nload jobs-per-second={base.rate * candidate.load_factor:g}\n{fault_lines(candidate)}"
    )
