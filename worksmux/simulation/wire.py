"""A network between parts without I/O, in simulated time: delays, losses, repeats, cuts of any pairs, one
way too.

Whoever listens at an address is given each message that arrives there.  Messages overtake one another by
their delays, as calls on several connections do.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from ..policy.random_source import RandomSource
from .sim import Sim

Take = Callable[[str, Any], object]


@dataclass
class NetworkConditions:
    """How the network is; milliseconds and shares."""

    delay: tuple[float, float] = (0.3, 2.0)
    loss: float = 0.0
    duplicates: float = 0.0


class SimulatedNetwork:
    def __init__(self, sim: Sim, seed: int, conditions: NetworkConditions | None = None) -> None:
        self.sim, self.chance, self.conditions = sim, RandomSource(seed), conditions or NetworkConditions()
        self.at: dict[str, Take] = {}
        self.cuts: set[tuple[str, str]] = set()  # directed pairs of addresses
        self.extra_delay_ms: dict[str, float] = {}  # milliseconds more, for all that comes from an address
        self.sent: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.counts_bytes = False  # count bytes, which costs time

    def listen(self, address: str, take: Take) -> None:
        """`take(sender, message)`."""
        self.at[address] = take

    def leave(self, address: str) -> None:
        self.at.pop(address, None)

    def cut(self, some: list[str], others: list[str], how: str = "both") -> None:
        """`how`: both, out (nothing from `some` arrives at `others`) or in."""
        for one in some:
            for other in others:
                if one != other:
                    if how in ("both", "out"):
                        self.cuts.add((one, other))
                    if how in ("both", "in"):
                        self.cuts.add((other, one))

    def remove_partitions(self) -> None:
        self.cuts.clear()

    def send(self, sender: str, to: str, message: Any) -> None:
        self.sent[sender] += 1
        if self.counts_bytes:
            self.bytes[sender] += len(msgspec.msgpack.encode(message))
        if (sender, to) in self.cuts or self.chance.share() < self.conditions.loss:
            return
        copies = 1 + (self.chance.share() < self.conditions.duplicates)
        for _ in range(copies):
            least, most = self.conditions.delay
            delay = least + (most - least) * self.chance.share() + self.extra_delay_ms.get(sender, 0.0)
            self.sim.after(delay, self._arrive, sender, to, message)

    def _arrive(self, sender: str, to: str, message: Any) -> None:
        take = self.at.get(to)
        if take is not None and (sender, to) not in self.cuts:
            take(sender, message)
