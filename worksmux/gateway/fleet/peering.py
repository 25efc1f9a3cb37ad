"""Connects the I/O-free cores of gossip, consensus and failover with the transport and the policy.

Makes no decisions.

    message_transport  ->  fleet_membership, consensus_voter, replica, audit_log_keeper
    replica            ->  active_plan  ->  policy
    leader_tasks       ->  consensus_voter, on the leader's node

The lease is checked before each decision round. Failure: a process that was suspended applies a plan that the
other nodes have replaced meanwhile. The check finds the lease expired before the process makes a decision.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import structlog

from ...consensus import inputs, replica
from ...consensus.reconfiguration import should_bootstrap
from ...consensus.state_machine import PLAN_KEY
from ...gossip import inputs as gossip_inputs
from ...net import clock
from ...net.loop import Reactor
from ...policy.events import Event
from ...policy.hashing import mix
from ...settings.front import GatewaySettings
from ..active_versions import ActiveVersions
from ..chat_engine_client import ChatEngineClient
from .active_plan import ActivePlan
from .audit_log_keeper import AuditLogKeeper
from .consensus_disk import ConsensusDisk
from .consensus_voter import ConsensusVoter
from .core_timers import CoreTimers
from .fleet_membership import GROUP_KEY, SERVER_KEY, VOTER_KEY, FleetMembership
from .fleet_status import fleet_status
from .leader_tasks import GROUP_ID_KEY, LeaderTasks
from .message_transport import (
    AuditMessage,
    ConsensusMessage,
    Envelope,
    GossipMessage,
    MessageTransport,
    Payload,
    ReplicationMessage,
)
from .zone_reports import ZoneReports

LOG = structlog.get_logger()
REPLICA_SEED = 2  # random stream of the replica
UNKNOWN_GROUP = "?"  # announced by a group member that has not applied the group's id yet


class Peering:
    """All parts of a node's fleet membership.

    `on_superseded` is called when another process with this node's name has started later.
    """

    def __init__(
        self, settings: GatewaySettings, core: ChatEngineClient, reactor: Reactor, seed: int
    ) -> None:
        fleet = settings.fleet
        assert fleet is not None
        self.settings, self.fleet = settings, fleet
        self._core, self._reactor = core, reactor
        self.state_mismatches = 0  # found by the replica; the voter counts its own
        self.on_superseded: Callable[[], None] = lambda: None
        self._closed = False
        self._timers = CoreTimers(reactor)
        self.transport = MessageTransport(fleet, reactor, settings.name, self._on_envelope)

        disk = ConsensusDisk(Path(fleet.disk), reactor.callFromThread)
        for note in disk.notes:
            LOG.warning("fault found while opening the consensus state", note=note)
        self.transport.generation = disk.identity.generation
        self.voter = ConsensusVoter(settings.name, fleet, reactor, seed, disk, self._timers, self._send)
        self.voter.on_step = self._on_voter_step

        self.membership = FleetMembership(settings, fleet, self.transport, self._timers, seed)
        self.membership.on_topology_change = self._on_topology_change
        self.membership.on_superseded = lambda: self.on_superseded()

        self.reports = ZoneReports(settings, lambda detail: self.transport.refuse("report", "", detail))
        self.replica = replica.Replica(
            settings.name, fleet.lease_ms, mix(seed, REPLICA_SEED), clock.now(), self.reports.encoded_total
        )
        self.active_plan = ActivePlan(settings, core, self.replica, self.reports)
        self.leader_tasks = LeaderTasks(
            settings,
            fleet,
            self.voter,
            self.membership,
            lambda: self.reports.total(self.replica.child_reports()),
        )
        self.voter.on_leader_change = self.leader_tasks.on_leader_change

        self.audit_logs = AuditLogKeeper(
            Path(fleet.disk),
            reactor,
            settings.name,
            lambda node, message: self._send(node, AuditMessage(message)),
            self.membership.nodes,
        )
        self._versions = ActiveVersions(settings)

    def start(self) -> None:
        """Listens, joins the fleet and starts the periodic work."""
        self.transport.start()
        self.membership.start({SERVER_KEY: self.voter.name, GROUP_KEY: self._known_group()})
        self._subscribe_to_core()
        LOG.info(
            "fleet",
            peers=self.transport.address,
            server=self.voter.name,
            generation=self.transport.generation,
            voters=list(self.voter.voters),
        )
        self.audit_logs.start(self.transport.generation)
        self.membership.step(gossip_inputs.Tick())
        self.voter.step(inputs.Tick())
        self._step_replica(inputs.Tick())
        self._run_periodic_work()

    def _subscribe_to_core(self) -> None:
        previous_subscriber, watcher = self._core.on_event, self.reports.watcher

        def on_event(now_ms: float, event: Event) -> None:
            if previous_subscriber is not None:
                previous_subscriber(now_ms, event)
            watcher.observe(now_ms, event)

        self._core.on_event = on_event
        self._core.before_round = self._before_decisions
        self._core.plan_version = self.active_plan.header_value
        self._core.on_decision = self.audit_logs.record_decision

    def leave(self) -> None:
        """Starts an orderly exit: transfers leadership, and announces that this node leaves."""
        if not self._closed:
            self.voter.step(inputs.TransferLeadership())
            self.membership.leave()

    def close(self) -> None:
        """Closes timers, sockets and files."""
        self._closed = True
        self._timers.close()
        self.transport.close()
        self.audit_logs.close()
        self.voter.close()

    # Messages

    def _send(self, node: str, payload: Payload) -> None:
        self.transport.send(node, self.membership.address_of(node), payload)

    def _on_envelope(self, envelope: Envelope) -> None:
        if self._closed or not self.membership.is_started or self._is_outdated(envelope):
            return
        match envelope.payload:
            case GossipMessage(message):
                received = gossip_inputs.MessageReceived(envelope.sender, envelope.address, message)
                self.membership.step(received)
            case ReplicationMessage(message):
                self._step_replica(replica.MessageReceived(envelope.sender, message))
            case AuditMessage(message):
                self.audit_logs.on_message(envelope.sender, message)
            case ConsensusMessage(sender, receiver, message):
                if receiver != self.voter.name:
                    detail = f"the message is for {receiver}; this server is {self.voter.name}"
                    return self.transport.refuse("seat", envelope.sender, detail)
                self.voter.step(inputs.MessageReceived(sender, message))

    def _is_outdated(self, envelope: Envelope) -> bool:
        """Refuses messages of a process that was superseded by a later one with its name.

        Gossip messages pass: gossip compares generations itself, and its reply tells the sender that it was
        superseded.
        """
        known = self.membership.generation_of(envelope.sender)
        if known is None or envelope.generation >= known or isinstance(envelope.payload, GossipMessage):
            return False
        detail = f"generation {envelope.generation} is superseded; the newest known is {known}"
        self.transport.refuse("life", envelope.sender, detail)
        return True

    # Replicated state

    def _on_voter_step(self) -> None:
        if self.voter.voters:
            self._step_replica(self.voter.applied_state())

    def _on_topology_change(self) -> None:
        self._step_replica(self.membership.topology())

    def _step_replica(self, replica_input: replica.Input) -> None:
        if self._closed:
            return
        output = self.replica.step(clock.now(), replica_input)
        for node, message in output.messages:
            self._send(node, ReplicationMessage(message))
        for event in output.events:
            self._on_replica_event(event)
        self._timers.schedule("follow", self.replica.due, lambda: self._step_replica(inputs.Tick()))

    def _on_replica_event(self, event: replica.Event) -> None:
        match event:
            case replica.ValuesChanged(keys):
                if PLAN_KEY in keys:
                    self.active_plan.take(self.replica.values[PLAN_KEY])
            case replica.StateMismatch(node, index):
                LOG.error(
                    "replicated state of another node differs at the same index", name=node, index=index
                )
                self.state_mismatches += 1

    def _known_group(self) -> str:
        """Returns the id of the Raft group, UNKNOWN_GROUP, or empty if no group is known."""
        group_id = self.voter.state.values.get(GROUP_ID_KEY) or self.replica.values.get(GROUP_ID_KEY)
        if group_id:
            return group_id.value.decode()
        return UNKNOWN_GROUP if self.voter.voters else ""

    # Periodic work

    def _run_periodic_work(self) -> None:
        if self._closed or not self.membership.is_started:
            return
        self._reactor.callLater(self.fleet.planning_interval_ms / 1000, self._run_periodic_work)
        now_ms = clock.now()
        self.reports.refresh(now_ms)
        self._announce_metadata()
        self._bootstrap_if_first()
        if self.voter.is_leader:
            self.leader_tasks.reconfigure(now_ms)
            self.leader_tasks.plan_failover()
        if not self.active_plan.has_lease:
            self._before_decisions(now_ms)

    def _announce_metadata(self) -> None:
        metadata = {SERVER_KEY: self.voter.name, GROUP_KEY: self._known_group()}
        if self.voter.name in self.voter.voters:
            metadata[VOTER_KEY] = "yes"
        self.membership.set_metadata(metadata)

    def _bootstrap_if_first(self) -> None:
        if not self.voter.voters and should_bootstrap(
            self.settings.name,
            list(self.fleet.founders),
            self.membership.candidates(),
            self._known_group(),
        ):
            self.voter.bootstrap()

    # Policy and operators

    def _before_decisions(self, now_ms: float) -> None:
        self.active_plan.publish(now_ms)
        versions = self._versions.versions(
            self.active_plan.plan, not self.active_plan.has_lease, self._core.engine_list.list_reader
        )
        self.audit_logs.record_versions(versions)

    def readiness_text(self) -> str:
        """Returns the plan's number and whether the lease has expired, for `/ready`."""
        return self.active_plan.readiness_text()

    def status(self) -> dict[str, Any]:
        """Returns the status by its JSON keys, for `/fleet` and the metrics."""
        status_by_key: dict[str, Any] = msgspec.to_builtins(fleet_status(self))
        return status_by_key
