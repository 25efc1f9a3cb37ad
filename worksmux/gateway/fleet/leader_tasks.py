"""What the node of the consensus leader does beside Raft: reconfigures the group and proposes failover plans.

The decisions are those of `consensus.reconfiguration` and `failover.planner`; here they get their inputs, and
their results are proposed.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from math import inf

import structlog

from ...consensus import inputs
from ...consensus.reconfiguration import next_configuration
from ...consensus.state_machine import PLAN_KEY, Put
from ...failover.plan import Plan, decode, encode
from ...failover.planner import Planner, PlannerSettings
from ...failover.reports import FleetReport
from ...net import clock
from ...settings.fleet import FleetSettings
from ...settings.front import FrontSettings
from .consensus_voter import ConsensusVoter
from .fleet_membership import FleetMembership

LOG = structlog.get_logger()
GROUP_ID_KEY = "council"  # key of the replicated state that holds the group's random id
GROUP_ID_BYTES = 8


class LeaderTasks:
    """`fleet_report()` is the sum of all nodes' reports, as far as they have reached this node."""

    def __init__(
        self,
        settings: FrontSettings,
        fleet: FleetSettings,
        voter: ConsensusVoter,
        membership: FleetMembership,
        fleet_report: Callable[[], FleetReport],
    ) -> None:
        self._fleet, self._voter, self._membership, self._fleet_report = (
            fleet,
            voter,
            membership,
            fleet_report,
        )
        self._map = PlannerSettings(
            {zone: settings.regions.get(zone, "") for zone in settings.zones},
            {request_class.name: request_class.credit for request_class in settings.request_classes},
            settings.module.slow_start_share,
            fleet.look,
            fleet.carries,
        )
        self._planner: Planner | None = None
        self._proposed_at_ms = -inf

    @property
    def planner(self) -> Planner | None:
        """The planner, while this node leads and has planned."""
        return self._planner if self._voter.is_leader else None

    def on_leader_change(self) -> None:
        """Forgets the planner: another leader may have changed the plan that it goes on from."""
        self._planner = None

    def reconfigure(self, now: float) -> None:
        """Names a new group; after that, brings it to its size by one change at a time."""
        if GROUP_ID_KEY not in self._voter.state.values:
            group_id = secrets.token_hex(GROUP_ID_BYTES).encode()
            self._voter.propose(Put(GROUP_ID_KEY, group_id, 0))
            return
        raft = self._voter.raft
        if raft.configuration_index > raft.commit_index:
            return
        configuration = next_configuration(
            raft.configuration,
            self._membership.candidates(),
            self._fleet.seats,
            lambda node: self._is_gone(node, now),
            raft.caught_up,
        )
        if configuration is not None:
            LOG.info("seats", voters=list(configuration.voters), learners=list(configuration.learners))
            self._voter.step(inputs.ChangeConfiguration(configuration))

    def _is_gone(self, node: str, now: float) -> bool:
        """Whether a node was away long enough to be replaced.

        A new leader counts from its own start: it does not know how long the others have been away.
        """
        member = self._membership.swim.members.known.get(node)
        if member is not None and member.is_present:
            return False
        leader_since_ms = self._voter.leader_since_ms
        away_since_ms = member.state_since if member is not None else leader_since_ms
        return now - max(away_since_ms, leader_since_ms) > self._fleet.gone

    def plan_failover(self) -> None:
        """Runs the planner once and proposes its plan; not while an earlier proposal may still commit."""
        now = clock.now()
        committed = self._voter.state.values.get(PLAN_KEY)
        plan_in_force = decode(committed.value) if committed else Plan()
        if self._awaits_commit(plan_in_force, now):
            return
        if self._planner is None or self._planner.plan.number != plan_in_force.number:
            self._planner = Planner(self._map, plan_in_force)
        plan = self._planner.update(self._fleet_report())
        if plan is not None:
            self._proposed_at_ms = now
            self._voter.propose(Put(PLAN_KEY, encode(plan), committed.index if committed else 0))

    def _awaits_commit(self, plan_in_force: Plan, now: float) -> bool:
        return (
            self._planner is not None
            and self._planner.plan.number > plan_in_force.number
            and now < self._proposed_at_ms + self._fleet.patience
        )
