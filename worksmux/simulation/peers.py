"""Gossip membership among many nodes in simulated time.

The membership core runs unchanged over a network that loses, cuts and delays messages.
"""

from __future__ import annotations

from ..gossip.inputs import Input, Leave, MessageReceived, Tick
from ..gossip.members import MembershipUpdate, MemberState
from ..gossip.messages import Message
from ..gossip.outputs import Event, MemberChanged, Superseded
from ..gossip.swim import Swim
from ..policy.hashing import mix
from ..scenarios.engines import name_hash
from .sim import Sim, Timer
from .wire import NetworkConditions, SimulatedNetwork


class Peer:
    """Membership state of one node; `events` are the events that it reported, with their times."""

    def __init__(
        self, simulation: GossipSimulation, name: str, generation: int, seeds: list[str], address: str = ""
    ) -> None:
        self.simulation, self.name, self.address = simulation, name, address or name
        own_update = MembershipUpdate(
            name, generation, 0, MemberState.ALIVE, self.address, simulation.zone_of(name), ""
        )
        self.swim = Swim(
            own_update,
            seeds,
            simulation.period,
            mix(simulation.seed, name_hash(name) + generation),
            simulation.sim.now,
        )
        self.events: list[tuple[float, Event]] = []
        self.timer: Timer | None = None
        self.frozen = False
        self.queued_messages: list[tuple[str, tuple[str, Message]]] = []
        simulation.network.listen(self.address, self.receive)
        self.step(Tick())

    def step(self, input_event: Input) -> None:
        """Passes an input to the membership core, sends its messages and records its events."""
        output = self.swim.step(self.simulation.sim.now, input_event)
        for envelope in output.messages:
            self.simulation.network.send(self.address, envelope.address, (self.name, envelope.message))
        for event in output.events:
            self.events.append((self.simulation.sim.now, event))
            if isinstance(event, MemberChanged):
                self.simulation.changes.append((self.simulation.sim.now, self.name, event))
            if isinstance(event, Superseded):
                self.stop()
                return
        self.schedule_tick()

    def schedule_tick(self) -> None:
        """Sets the timer to the time at which the membership core is due next."""
        if self.timer is not None:
            self.timer.cancel()
        if self.swim.due < float("inf"):
            self.timer = self.simulation.sim.after(self.swim.due - self.simulation.sim.now, self.on_timer)

    def on_timer(self) -> None:
        """Runs a tick of the membership core, unless the process is frozen."""
        if not self.frozen:
            self.step(Tick())

    def receive(self, sender: str, payload: tuple[str, Message]) -> None:
        """Passes a message to the membership core; a frozen process queues the message."""
        if self.frozen:
            self.queued_messages.append((sender, payload))
            return
        name, message = payload
        self.step(MessageReceived(name, sender, message))

    def freeze(self) -> None:
        """Stops the process; messages queue up until it resumes."""
        self.frozen = True

    def resume(self) -> None:
        """Resumes the process; as in an operating system, overdue timers fire before messages are read."""
        self.frozen = False
        self.step(Tick())
        queued_messages, self.queued_messages = self.queued_messages, []
        for sender, payload in queued_messages:
            self.receive(sender, payload)

    def leave(self) -> None:
        """Announces that the node leaves, and stops it."""
        self.step(Leave())
        self.stop()

    def stop(self) -> None:
        """Stops the node without an announcement, as a crash does."""
        if self.timer is not None:
            self.timer.cancel()
        self.simulation.network.stop_listening(self.address)
        if self.simulation.peers.get(self.name) is self:
            del self.simulation.peers[self.name]

    def known_states(self) -> dict[str, MemberState]:
        """Returns the state of each member that the node knows of."""
        return {name: member.state for name, member in self.swim.members.known.items()}


class GossipSimulation:
    """Fleet of nodes that gossip over a simulated network."""

    def __init__(
        self,
        seed: int = 1,
        period: float = 500.0,
        conditions: NetworkConditions | None = None,
        zones: int = 3,
    ) -> None:
        self.sim = Sim()
        self.sim.now = 1000.0
        self.seed, self.period, self.zones = seed, period, zones
        self.network = SimulatedNetwork(self.sim, seed, conditions)
        self.peers: dict[str, Peer] = {}
        self.changes: list[tuple[float, str, MemberChanged]] = []

    def zone_of(self, name: str) -> str:
        """Returns the zone of a node, by the hash of its name."""
        return f"z{name_hash(name) % self.zones}"

    def start(
        self, name: str, generation: int = 1, seeds: list[str] | None = None, address: str = ""
    ) -> Peer:
        """Starts a node under a name; the default seeds are f0 and f1."""
        peer = Peer(self, name, generation, ["f0", "f1"] if seeds is None else seeds, address)
        self.peers[name] = peer
        return peer

    def run(self, ms: float) -> None:
        """Runs the simulation for a number of milliseconds."""
        self.sim.run(self.sim.now + ms)

    def is_agreed(self) -> bool:
        """Whether each node lists exactly the other running nodes as alive or suspected."""
        names = set(self.peers)
        return all(
            {name for name, state in peer.known_states().items() if state <= MemberState.SUSPECT}
            == names - {peer.name}
            for peer in self.peers.values()
        )

    def wait_for_agreement(self, max_ms: float) -> float:
        """Runs until all nodes agree, and returns how long that took; fails after `max_ms`."""
        start = self.sim.now
        while not self.is_agreed():
            assert self.sim.now < start + max_ms, f"nodes do not agree within {max_ms:.0f} ms"
            self.run(self.period / 4)
        return self.sim.now - start
