"""Replication of committed values to many nodes, in simulated time.

Replicas run over a network that loses, delays and cuts messages, under one leader whose voters
commit the values that `put` sets.
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
    """Fleet of replicas; the first node is the leader's."""

    def __init__(self, count: int, seed: int = 1, make: type[Replica] = Replica, loss: float = 0.0) -> None:
        self.sim = Sim()
        self.sim.now = 1000.0
        self.network = SimulatedNetwork(self.sim, seed, NetworkConditions((0.3, 3.0), loss, loss / 2))
        self.names = [f"f{at}" for at in range(count)]
        self.clock_offset_ms = {
            name: 1e5 * RandomSource(seed + at).share() for at, name in enumerate(self.names)
        }
        self.replicas = {
            name: make(name, LEASE_MS, seed + at, self.now(name)) for at, name in enumerate(self.names)
        }
        self.frozen: set[str] = set()
        self.queued_messages: list[tuple[str, str, Any]] = []
        self.sent = 0
        self.values: dict[str, VersionedValue] = {}
        self.index, self.committed_at = 0, {0: 0.0}
        self.stale_replicas: list[str] = []
        self.events: list[tuple[float, str, Any]] = []
        for name in self.names:
            self.network.listen(name, partial(self.receive, name))
            self.step(name, TopologyChanged(frozenset(set(self.names) - {name}), frozenset(self.names[:1])))
        self.sim.after(0.0, self.run_ticks)

    def now(self, name: str) -> float:
        """Returns the time of a node's own clock."""
        return self.clock_offset_ms[name] + self.sim.now

    def run_ticks(self) -> None:
        """Passes the committed values to the leader, ticks replicas that are due, and checks all leases."""
        self.step("f0", LocalVoterApplied(self.index, hash(self.index) & 0xFFFF, self.values, 50.0, "f0"))
        for name, replica in self.replicas.items():
            if name not in self.frozen and replica.due <= self.now(name):
                self.step(name, Tick())
            self.check_lease(name)
        self.sim.after(50.0, self.run_ticks)

    def check_lease(self, name: str) -> None:
        """Records a replica that holds a lease but lacks a value committed longer ago than the lease."""
        replica = self.replicas[name]
        if name not in self.frozen and replica.holds_lease(self.now(name)) and replica.index < self.index:
            replaced_at = self.committed_at[replica.index + 1]
            if self.sim.now > replaced_at + LEASE_MS:
                self.stale_replicas.append(name)

    def receive(self, name: str, sender: str, message: Any) -> None:
        """Passes a message to a replica; a frozen node queues the message."""
        if name in self.frozen:
            self.queued_messages.append((name, sender, message))
        else:
            self.step(name, MessageReceived(sender, message))

    def step(self, name: str, input_event: Any) -> None:
        """Passes an input to a replica, sends its messages and records its events."""
        output: Output = self.replicas[name].step(self.now(name), input_event)
        for receiver, message in output.messages:
            self.sent += 1
            self.network.send(name, receiver, message)
        self.events += [(self.sim.now, name, event) for event in output.events]

    def put(self, value: bytes = b"x") -> None:
        """Commits a new value under the key of the plan."""
        self.index += 1
        self.values = {**self.values, "plan": VersionedValue(self.index, value)}
        self.committed_at[self.index] = self.sim.now

    def run(self, ms: float) -> None:
        """Runs the simulation for a number of milliseconds."""
        self.sim.run(self.sim.now + ms)

    def resume(self, name: str) -> None:
        """Resumes a frozen node, which first reads the queued messages."""
        self.frozen.discard(name)
        self.check_lease(name)
        for receiver, sender, message in [queued for queued in self.queued_messages if queued[0] == name]:
            self.step(receiver, MessageReceived(sender, message))
            self.check_lease(name)
        self.queued_messages = [queued for queued in self.queued_messages if queued[0] != name]
