"""The status of the fleet as known to this node, for operators and metrics.

The fields are named as the JSON keys that `/fleet` answers with.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...failover.plan import Plan
from ...failover.reports import ZoneReport
from ...gossip.members import MembershipUpdate, MemberState
from ...net import clock
from .active_plan import PlanRecord
from .fleet_membership import VOTER_KEY

if TYPE_CHECKING:
    from .leader_tasks import LeaderTasks
    from .message_transport import MessageTransport
    from .peering import Peering


@dataclass(frozen=True, slots=True)
class ConsensusStatus:
    """Consensus state; `agreed` is the last index applied by this node's voter, `known` by its replica."""

    term: int
    role: str
    leader: str
    voters: list[str]
    learners: list[str]
    agreed: int
    known: int


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """A known node, present or not; `life` is its generation, `seat` says whether it has a voter."""

    name: str
    state: str
    life: int
    zone: str
    region: str
    address: str
    seat: bool


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """The state of a zone in the leader's planner.

    `keeps` is the kept share of its requests, `of` its full size, `waits` the mean wait in latency targets.
    """

    phase: str
    keeps: float
    ready: float
    of: float
    warm: float
    waits: float
    relapses: int


@dataclass(frozen=True, slots=True)
class MessageCounts:
    """Counts of messages to other nodes, and of refused messages by reason."""

    sent: int
    bytes: int
    dropped: int
    refused: dict[str, int]


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """The status of the fleet: `front` is this node, `life` its generation, `seat` its consensus server.

    `alone` means that the lease has expired, `lease_ms` is its remaining time; `doubts_itself` is the level
    of local health; `fronts` are all known nodes; `seen_by_leader` is empty except on the leader's node.
    """

    front: str
    fleet: str
    life: int
    seat: str
    alone: bool
    lease_ms: int
    doubts_itself: int
    council: ConsensusStatus
    fronts: list[NodeStatus]
    plan: Plan
    history: list[PlanRecord]
    zones: dict[str, ZoneReport]
    seen_by_leader: dict[str, ZoneStatus]
    messages: MessageCounts
    contradictions: int


def fleet_status(peering: Peering) -> FleetStatus:
    """Collects the status of the fleet."""
    remaining_ms = peering.replica.lease_expires_at() - clock.now()
    nodes = sorted(peering.membership.updates(), key=lambda update: update.name)
    return FleetStatus(
        front=peering.settings.name,
        fleet=peering.fleet.name,
        life=peering.transport.generation,
        seat=peering.voter.name,
        alone=not peering.active_plan.has_lease,
        lease_ms=round(max(0.0, remaining_ms)),
        doubts_itself=peering.membership.swim.health.level,
        council=_consensus_status(peering),
        fronts=[_node_status(update) for update in nodes],
        plan=peering.active_plan.plan,
        history=list(peering.active_plan.history),
        zones=peering.reports.latest.zones,
        seen_by_leader=_planner_zones(peering.leader_tasks),
        messages=_message_counts(peering.transport),
        contradictions=peering.state_mismatches + peering.voter.invariant_violations,
    )


def _consensus_status(peering: Peering) -> ConsensusStatus:
    voter, replica = peering.voter, peering.replica
    return ConsensusStatus(
        term=voter.raft.term,
        role=voter.raft.role.value,
        leader=replica.leader,
        voters=list(voter.voters),
        learners=list(voter.raft.configuration.learners),
        agreed=voter.state.index,
        known=replica.index,
    )


def _node_status(update: MembershipUpdate) -> NodeStatus:
    return NodeStatus(
        name=update.name,
        state=MemberState(update.state).name.lower(),
        life=update.generation,
        zone=update.zone,
        region=update.region,
        address=update.address,
        seat=bool(update.metadata.get(VOTER_KEY)),
    )


def _planner_zones(leader_tasks: LeaderTasks) -> dict[str, ZoneStatus]:
    """Returns the planner's zones; empty unless this node leads and has planned."""
    planner = leader_tasks.planner
    if planner is None:
        return {}
    return {
        name: ZoneStatus(
            phase=view.health.value,
            keeps=round(view.kept_share, 3),
            ready=round(view.ready_size, 1),
            of=round(view.full_size, 1),
            warm=round(view.warm_share, 2),
            waits=round(planner.load.waits.get(name, 0.0), 3),
            relapses=view.relapses,
        )
        for name, view in planner.zones.views.items()
    }


def _message_counts(transport: MessageTransport) -> MessageCounts:
    return MessageCounts(
        sent=transport.sent_count,
        bytes=transport.sent_bytes,
        dropped=transport.dropped_count,
        refused=dict(transport.refused_count),
    )
