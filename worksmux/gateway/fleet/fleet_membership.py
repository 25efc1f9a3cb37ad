"""I/O of the membership protocol, and queries for the nodes of the fleet. Makes no decisions."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from ...consensus.reconfiguration import Candidate
from ...consensus.replica import TopologyChanged
from ...gossip import inputs, outputs
from ...gossip.members import MembershipUpdate, MemberState
from ...gossip.swim import Swim
from ...net import clock
from ...policy.hashing import mix
from ...settings.fleet import FleetSettings
from ...settings.front import GatewaySettings
from .core_timers import CoreTimers
from .message_transport import GossipMessage, MessageTransport

LOG = structlog.get_logger()
SWIM_SEED = 3  # random stream of the core
# Keys of a node's metadata.
SERVER_KEY = "seat"  # name of its consensus server
GROUP_KEY = "council"  # id of the Raft group that it knows, or empty
VOTER_KEY = "votes"  # present if its server is a voter


class FleetMembership:
    """The SWIM core of this node with its timer and messages.

    `on_topology_change` is called when nodes or voters have changed, `on_superseded` when another process
    with this node's name has started later.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        fleet: FleetSettings,
        transport: MessageTransport,
        timers: CoreTimers,
        seed: int,
    ) -> None:
        self._settings, self._fleet, self._transport = settings, fleet, transport
        self._timers, self._seed = timers, seed
        self._swim: Swim | None = None
        self.on_topology_change: Callable[[], None] = lambda: None
        self.on_superseded: Callable[[], None] = lambda: None

    def start(self, metadata: dict[str, str]) -> None:
        """Creates the core; the transport must listen already, because its address is announced."""
        zone = self._settings.zones[self._settings.policy_settings.zone]
        this_node = MembershipUpdate(
            self._settings.name,
            self._transport.generation,
            0,
            MemberState.ALIVE,
            self._transport.address,
            zone,
            self._settings.regions.get(zone, ""),
            metadata,
        )
        seed = mix(self._seed, SWIM_SEED)
        self._swim = Swim(this_node, self._fleet.seeds, self._fleet.probe_interval_ms, seed, clock.now())

    @property
    def is_started(self) -> bool:
        """Whether `start` was called."""
        return self._swim is not None

    @property
    def swim(self) -> Swim:
        """The SWIM core; available after `start`."""
        assert self._swim is not None
        return self._swim

    def step(self, swim_input: inputs.Input) -> None:
        """Steps the core, and performs the messages and events of its output."""
        output = self.swim.step(clock.now(), swim_input)
        for outgoing in output.messages:
            self._transport.send(outgoing.receiver, outgoing.address, GossipMessage(outgoing.message))
        for event in output.events:
            self._on_event(event)
        if output.events:
            self.on_topology_change()
        self._timers.schedule("swim", self.swim.due, lambda: self.step(inputs.Tick()))

    def _on_event(self, event: outputs.Event) -> None:
        match event:
            case outputs.MemberChanged(before, after):
                self._on_member_changed(before, after)
            case outputs.GenerationRaised(generation):
                LOG.info(
                    "generation raised above that of an earlier start of this node", generation=generation
                )
                self._transport.generation = generation
            case outputs.Superseded(generation, address):
                LOG.error(
                    "another process with this name has started later; this one ends",
                    generation=generation,
                    address=address,
                )
                self.on_superseded()

    def _on_member_changed(self, before: MembershipUpdate | None, after: MembershipUpdate) -> None:
        state = MemberState(after.state)
        if before is None or before.state != after.state or before.generation != after.generation:
            LOG.info(
                "member state changed",
                name=after.name,
                state=state.name.lower(),
                generation=after.generation,
                accuser=after.accuser,
                previous_state=MemberState(before.state).name.lower() if before else None,
            )
        if state >= MemberState.DEAD:
            self._transport.forget(after.address)

    def leave(self) -> None:
        """Announces an orderly exit, so that no other node reports this node as dead."""
        self.step(inputs.Leave())

    def set_metadata(self, metadata: dict[str, str]) -> None:
        """Announces this node's metadata if it has changed."""
        if self._swim is not None and metadata != self._swim.me.metadata:
            self.step(inputs.MetadataChanged(metadata))
            self.on_topology_change()

    def _present(self) -> list[MembershipUpdate]:
        """Returns the updates of the nodes that are present, this node first."""
        return [self.swim.me, *(member.update for member in self.swim.members.present.values())]

    def candidates(self) -> dict[str, Candidate]:
        """Returns the present nodes, by name, that can be members of the consensus group, with this node."""
        return {
            update.name: Candidate(
                update.name, update.metadata[SERVER_KEY], update.zone, update.metadata.get(GROUP_KEY, "")
            )
            for update in self._present()
            if update.metadata.get(SERVER_KEY)
        }

    def topology(self) -> TopologyChanged:
        """Returns the present nodes and the nodes of voters as an input of the replica."""
        voters = frozenset(update.name for update in self._present() if update.metadata.get(VOTER_KEY))
        return TopologyChanged(frozenset(self.swim.members.present), voters)

    def generation_of(self, node: str) -> int | None:
        """Returns the newest known generation of a node; None if the node is unknown."""
        member = self.swim.members.known.get(node)
        return member.update.generation if member else None

    def address_of(self, node: str) -> str:
        """Returns the address that a node announces; empty if the node is unknown."""
        member = self.swim.members.known.get(node)
        return member.update.address if member else ""

    def nodes(self) -> list[str]:
        """Returns the names of all known nodes, present or not, this node first."""
        return [self._settings.name, *(self._swim.members.known if self._swim is not None else ())]

    def updates(self) -> list[MembershipUpdate]:
        """Returns the newest update of each known node, with this node."""
        return [self.swim.me, *(member.update for member in self.swim.members.known.values())]
