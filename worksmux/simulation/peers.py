"""Membership among many fronts in simulated time: the core itself over a network that loses, cuts and
delays."""

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
    """One front's membership.  `facts` are what it has found out, with the time."""

    def __init__(
        self, world: GossipSimulation, name: str, generation: int, seeds: list[str], address: str = ""
    ) -> None:
        self.world, self.name, self.address = world, name, address or name
        me = MembershipUpdate(name, generation, 0, MemberState.ALIVE, self.address, world.zone_of(name), "")
        self.swim = Swim(
            me, seeds, world.period, mix(world.seed, name_hash(name) + generation), world.sim.now
        )
        self.events: list[tuple[float, Event]] = []
        self.timer: Timer | None = None
        self.frozen = False
        self.unheard: list[tuple[str, tuple[str, Message]]] = []
        world.network.listen(self.address, self.take)
        self.step(Tick())

    def step(self, what: Input) -> None:
        out = self.swim.step(self.world.sim.now, what)
        for post in out.messages:
            self.world.network.send(self.address, post.address, (self.name, post.message))
        for fact in out.events:
            self.events.append((self.world.sim.now, fact))
            if isinstance(fact, MemberChanged):
                self.world.changes.append((self.world.sim.now, self.name, fact))
            if isinstance(fact, Superseded):
                self.stop()
                return
        self.rest()

    def rest(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.swim.due < float("inf"):
            self.timer = self.world.sim.after(self.swim.due - self.world.sim.now, self.ring)

    def ring(self) -> None:
        if not self.frozen:
            self.step(Tick())

    def take(self, sender: str, told: tuple[str, Message]) -> None:
        if self.frozen:
            self.unheard.append((sender, told))
            return
        name, message = told
        self.step(MessageReceived(name, sender, message))

    def freeze(self) -> None:
        self.frozen = True

    def resume(self) -> None:
        """As a process does: its timers ring first, then it reads what came meanwhile."""
        self.frozen = False
        self.step(Tick())
        unheard, self.unheard = self.unheard, []
        for sender, told in unheard:
            self.take(sender, told)

    def leave(self) -> None:
        self.step(Leave())
        self.stop()

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.world.network.leave(self.address)
        if self.world.peers.get(self.name) is self:
            del self.world.peers[self.name]

    def known_states(self) -> dict[str, MemberState]:
        return {name: member.state for name, member in self.swim.members.known.items()}


class GossipSimulation:
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
        return f"z{name_hash(name) % self.zones}"

    def start(
        self, name: str, generation: int = 1, seeds: list[str] | None = None, address: str = ""
    ) -> Peer:
        peer = Peer(self, name, generation, ["f0", "f1"] if seeds is None else seeds, address)
        self.peers[name] = peer
        return peer

    def run(self, ms: float) -> None:
        self.sim.run(self.sim.now + ms)

    def is_agreed(self) -> bool:
        """Everybody believes all that are there, and nobody else, to be there: alive, or suspected for
        now."""
        names = set(self.peers)
        return all(
            {name for name, state in peer.known_states().items() if state <= MemberState.SUSPECT}
            == names - {peer.name}
            for peer in self.peers.values()
        )

    def wait_for_agreement(self, within: float) -> float:
        """Runs until all agree; the time it took, or fails."""
        start = self.sim.now
        while not self.is_agreed():
            assert self.sim.now < start + within, "they do not agree in time"
            self.run(self.period / 4)
        return self.sim.now - start
