"""How what the council agrees reaches many fronts, in simulated time: followers over a network that loses,
delays and cuts, under one leader whose council agrees to what `put` says.
"""

from __future__ import annotations

from functools import partial
from typing import Any

from ..consensus.inputs import Tick
from ..consensus.replica import LocalVoterApplied, MessageReceived, Output, Replica, TopologyChanged
from ..consensus.state_machine import VersionedValue
from ..policy.random_source import RandomSource
from .sim import Sim
from .wire import NetworkConditions, SimulatedNetwork

LEASE_MS = 4000.0


class ReplicationSimulation:
    """The first front is the leader's."""

    def __init__(self, count: int, seed: int = 1, make: type[Replica] = Replica, loss: float = 0.0) -> None:
        self.sim = Sim()
        self.sim.now = 1000.0
        self.network = SimulatedNetwork(self.sim, seed, NetworkConditions((0.3, 3.0), loss, loss / 2))
        self.names = [f"f{at}" for at in range(count)]
        self.zero = {name: 1e5 * RandomSource(seed + at).share() for at, name in enumerate(self.names)}
        self.replicas = {
            name: make(name, LEASE_MS, seed + at, self.now(name)) for at, name in enumerate(self.names)
        }
        self.frozen: set[str] = set()
        self.unheard: list[tuple[str, str, Any]] = []
        self.sent = 0
        self.chapters: dict[str, VersionedValue] = {}
        self.index, self.agreed_at = 0, {0: 0.0}
        self.stale_replicas: list[str] = []
        self.events: list[tuple[float, str, Any]] = []
        for name in self.names:
            self.network.listen(name, partial(self.take, name))
            self.step(name, TopologyChanged(frozenset(set(self.names) - {name}), frozenset(self.names[:1])))
        self.sim.after(0.0, self.beat)

    def now(self, name: str) -> float:
        return self.zero[name] + self.sim.now

    def beat(self) -> None:
        self.step("f0", LocalVoterApplied(self.index, hash(self.index) & 0xFFFF, self.chapters, 50.0, "f0"))
        for name, one in self.replicas.items():
            if name not in self.frozen and one.due <= self.now(name):
                self.step(name, Tick())
            self.look(name)
        self.sim.after(50.0, self.beat)

    def look(self, name: str) -> None:
        """Nobody acts on what was replaced longer ago than the lease."""
        one = self.replicas[name]
        if name not in self.frozen and one.holds_lease(self.now(name)) and one.index < self.index:
            replaced = self.agreed_at[one.index + 1]
            if self.sim.now > replaced + LEASE_MS:
                self.stale_replicas.append(name)

    def take(self, name: str, sender: str, message: Any) -> None:
        if name in self.frozen:
            self.unheard.append((name, sender, message))
        else:
            self.step(name, MessageReceived(sender, message))

    def step(self, name: str, what: Any) -> None:
        out: Output = self.replicas[name].step(self.now(name), what)
        for to, message in out.messages:
            self.sent += 1
            self.network.send(name, to, message)
        self.events += [(self.sim.now, name, fact) for fact in out.events]

    def put(self, value: bytes = b"x") -> None:
        self.index += 1
        self.chapters = {**self.chapters, "plan": VersionedValue(self.index, value)}
        self.agreed_at[self.index] = self.sim.now

    def run(self, ms: float) -> None:
        self.sim.run(self.sim.now + ms)

    def resume(self, name: str) -> None:
        self.frozen.discard(name)
        self.look(name)
        for to, sender, message in [one for one in self.unheard if one[0] == name]:
            self.step(to, MessageReceived(sender, message))
            self.look(name)
        self.unheard = [one for one in self.unheard if one[0] != name]
