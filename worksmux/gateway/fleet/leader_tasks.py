"""Tasks of the consensus leader's node: reconfigures the group and proposes failover plans.

`consensus.reconfiguration` and `failover.planner` make the decisions; this module collects their inputs and
proposes their results.
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
from ...settings.front import GatewaySettings
from .consensus_voter import ConsensusVoter
from .fleet_membership import FleetMembership

LOG = structlog.get_logger()
GROUP_ID_KEY = "council"  # key of the replicated state that holds the group's random id
GROUP_ID_BYTES = 8


class LeaderTasks:
    """Tasks of the leader; `fleet_report()` returns the sum of the reports that have reached this node."""

    def __init__(
        self,
        settings: GatewaySettings,
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
        self._planner_settings = PlannerSettings(
            {zone: settings.regions.get(zone, "") for zone in settings.zones},
            {request_class.name: request_class.credit for request_class in settings.request_classes},
            settings.policy_settings.slow_start_share,
            fleet.planning_interval_ms,
            fleet.zone_capacity,
        )
        self._planner: Planner | None = None
        self._proposed_at_ms = -inf

    @property
    def planner(self) -> Planner | None:
        """The planner, while this node leads and has planned."""
        return self._planner if self._voter.is_leader else None

    def on_leader_change(self) -> None:
        """Discards the planner, because another leader may have changed the plan that it continues from."""
        self._planner = None

    def reconfigure(self, now_ms: float) -> None:
        """Sets the id of a new group; afterwards changes one member at a time up to the configured size."""
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
            self._fleet.voter_count,
            lambda node: self._is_gone(node, now_ms),
            raft.caught_up,
        )
        if configuration is not None:
            LOG.info(
                "consensus configuration change proposed",
                voters=list(configuration.voters),
                learners=list(configuration.learners),
            )
            self._voter.step(inputs.ChangeConfiguration(configuration))

    def _is_gone(self, node: str, now_ms: float) -> bool:
        """Reports whether a node was absent for long enough to be replaced.

        A new leader counts from the start of its term, because it does not know how long a node was absent.
        """
        member = self._membership.swim.members.known.get(node)
        if member is not None and member.is_present:
            return False
        leader_since_ms = self._voter.leader_since_ms
        absent_since_ms = member.state_since if member is not None else leader_since_ms
        return now_ms - max(absent_since_ms, leader_since_ms) > self._fleet.removal_delay_ms

    def plan_failover(self) -> None:
        """Runs the planner once and proposes its plan, unless an earlier proposal may still be committed."""
        now_ms = clock.now()
        committed = self._voter.state.values.get(PLAN_KEY)
        plan_in_force = decode(committed.value) if committed else Plan()
        if self._awaits_commit(plan_in_force, now_ms):
            return
        if self._planner is None or self._planner.plan.number != plan_in_force.number:
            self._planner = Planner(self._planner_settings, plan_in_force)
        plan = self._planner.update(self._fleet_report())
        if plan is not None:
            self._proposed_at_ms = now_ms
            self._voter.propose(Put(PLAN_KEY, encode(plan), committed.index if committed else 0))

    def _awaits_commit(self, plan_in_force: Plan, now_ms: float) -> bool:
        return (
            self._planner is not None
            and self._planner.plan.number > plan_in_force.number
            and now_ms < self._proposed_at_ms + self._fleet.election_timeout_ms
        )
