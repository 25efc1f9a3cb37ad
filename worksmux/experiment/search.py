"""Looks for days on which the decisions do worst against plain policies, and makes them small.  Free of I/O;
chance is seeded, and who plays a day is passed in.

What counts is regret: the best plain policy's credit less the module's.  Credit alone would only find days on
which nobody could have done well.  Days begin at random within the ranges below, the worst are mutated and
crossed, and the worst of all is shrunk: troubles are left out, shortened and weakened as long as most of the
regret stays.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from ..scenarios.scenario import Scenario, ScenarioFault

KINDS = (
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
OF_A_ROLE = ("crash", "hang", "slow", "drain")
LONGEST = 0.5  # of the day: one trouble at most
MOST = 6  # troubles of a day
LOADS = (0.5, 2.0)  # times the day's own
FACTORS = {
    "slow": (1.5, 10.0),
    "burst": (1.2, 4.0),
    "heavy-tail": (2.0, 10.0),
    "give-up": (0.3, 1.0),
    "hot-beginning": (200.0, 2000.0),
    "list-stale": (1000.0, 8000.0),
}
KEEPS = 0.7  # of the regret must stay while a day is shrunk
BEAM = 6  # days that are carried on


@dataclass(frozen=True)
class CandidateScenario:
    """A day's changes to its base, and what they came to."""

    faults: tuple[ScenarioFault, ...]
    load: float
    regret: float = 0.0
    credit: float = 0.0

    def day(self, base: Scenario) -> Scenario:
        troubles = sorted(self.faults, key=lambda one: one.at)
        return replace(base, faults=troubles, rate=base.rate * self.load)


# Regret and credit of each, in order.
Players = Callable[[list[CandidateScenario]], list[tuple[float, float]]]


class Search:
    def __init__(self, base: Scenario, seed: int) -> None:
        self.base, self.chance = base, random.Random(seed)
        self.highest_regret: list[CandidateScenario] = []
        self.evaluated_count = 0

    # What is tried.

    def random_fault(self) -> ScenarioFault:
        """One at random."""
        chance, base = self.chance, self.base
        kind = chance.choice(KINDS)
        length = base.length * LONGEST * chance.uniform(0.05, 1.0)
        at = chance.uniform(0.1 * base.length, max(0.1 * base.length, base.length - length))
        zone = chance.choice(base.zones) if kind == "zone-loss" else ""
        return ScenarioFault(
            kind,
            round(at),
            round(length),
            round(chance.uniform(0.05, 0.6), 2),
            chance.choice(["", "read", "write"]) if kind in OF_A_ROLE else "",
            zone,
            -1,
            (),
            round(chance.uniform(0.2, 1.0), 2),
            round(chance.uniform(*FACTORS.get(kind, (1.0, 1.0))), 2),
            chance.choice(base.request_classes).name if kind == "offering-fails" else "",
            "",
            round(min(1000.0, length / 4)),
            0,
        )

    def fresh(self) -> CandidateScenario:
        count = self.chance.randint(1, MOST)
        return CandidateScenario(
            tuple(self.random_fault() for _ in range(count)), round(self.chance.uniform(*LOADS), 2)
        )

    def mutated(self, found: CandidateScenario) -> CandidateScenario:
        chance, troubles = self.chance, list(found.faults)
        match chance.randrange(5):
            case 0 if len(troubles) < MOST:
                troubles.append(self.random_fault())
            case 1 if len(troubles) > 1:
                del troubles[chance.randrange(len(troubles))]
            case 2:
                load = found.load * chance.uniform(0.7, 1.4)
                return replace(found, load=round(max(LOADS[0], min(LOADS[1], load)), 2))
            case 3:
                at = chance.randrange(len(troubles))
                one = troubles[at]
                troubles[at] = replace(
                    one,
                    at=round(max(0.0, one.at + chance.uniform(-0.2, 0.2) * self.base.length)),
                    length=round(min(LONGEST * self.base.length, one.length * chance.uniform(0.5, 2.0))),
                    part=round(min(1.0, one.part * chance.uniform(0.5, 2.0)), 2),
                )
            case _:
                troubles[chance.randrange(len(troubles))] = self.random_fault()
        return CandidateScenario(tuple(troubles), found.load)

    def crossed(self, one: CandidateScenario, other: CandidateScenario) -> CandidateScenario:
        pool = [*one.faults, *other.faults]
        count = min(MOST, len(pool), max(1, (len(one.faults) + len(other.faults)) // 2))
        return CandidateScenario(tuple(self.chance.sample(pool, count)), one.load)

    def batch(self, size: int) -> list[CandidateScenario]:
        """What to play next: a third new, the rest from the worst so far."""
        days = []
        for at in range(size):
            if not self.highest_regret or at % 3 == 0:
                days.append(self.fresh())
            elif at % 3 == 1 or len(self.highest_regret) < 2:
                days.append(self.mutated(self.chance.choice(self.highest_regret)))
            else:
                days.append(self.crossed(*self.chance.sample(self.highest_regret, 2)))
        return days

    # What came of it.

    def add_results(self, days: Iterable[CandidateScenario], figures: Iterable[tuple[float, float]]) -> None:
        told = [
            replace(day, regret=regret, credit=credit)
            for day, (regret, credit) in zip(days, figures, strict=True)
        ]
        self.evaluated_count += len(told)
        self.highest_regret = sorted([*self.highest_regret, *told], key=lambda one: -one.regret)[:BEAM]

    def smaller(self, found: CandidateScenario) -> list[CandidateScenario]:
        """Each one step smaller, the largest steps first."""
        tries = []
        if len(found.faults) > 1:
            tries += [
                replace(found, faults=found.faults[:at] + found.faults[at + 1 :])
                for at in range(len(found.faults))
            ]
        for at, one in enumerate(found.faults):
            rest = found.faults[:at], found.faults[at + 1 :]
            for changed in (
                replace(one, length=round(one.length / 2)),
                replace(one, part=round(one.part / 2, 2)),
            ):
                if changed.length >= 0.02 * self.base.length and changed.part >= 0.02:
                    tries.append(replace(found, faults=(*rest[0], changed, *rest[1])))
        if found.load > 1.05:
            tries.append(replace(found, load=round(max(1.0, found.load * 0.8), 2)))
        return tries

    def shrink(self, found: CandidateScenario, play: Players, rounds: int = 12) -> CandidateScenario:
        """The smallest day that keeps most of the regret."""
        bound = KEEPS * found.regret
        for _ in range(rounds):
            tries = self.smaller(found)
            figures = play(tries)
            self.evaluated_count += len(tries)
            kept = next(
                (
                    replace(one, regret=regret, credit=credit)
                    for one, (regret, credit) in zip(tries, figures, strict=True)
                    if regret >= bound
                ),
                None,
            )
            if kept is None:
                break
            found = kept
        return found


def lines(found: CandidateScenario) -> str:
    """The troubles as they stand in a day's file."""
    told = []
    for one in sorted(found.faults, key=lambda one: one.at):
        more = "".join(
            f' {key}="{value}"'
            for key, value in (("role", one.role), ("zone", one.zone), ("offering", one.request_class))
            if value
        )
        told.append(
            f'trouble "{one.kind}" at="{one.at:.0f}ms" for="{one.length:.0f}ms" '
            f'every="{one.every:.0f}ms" part={one.part:g} share={one.share:g} '
            f"factor={one.factor:g}{more}"
        )
    return "\n".join(told) + "\n"


def scenario_file_text(text: str, base: Scenario, found: CandidateScenario) -> str:
    """The base day's file with these troubles in place of its own, and the load."""
    kept = [
        line for line in text.splitlines() if not line.startswith("trouble ") and not line.startswith("load ")
    ]
    head = (
        f"// Regret {found.regret:.3f}: the best plain policy's credit over the module's "
        f"{found.credit:.3f}, in the model.\n"
    )
    return head + "\n".join(kept) + f"\nload jobs-per-second={base.rate * found.load:g}\n{lines(found)}"
