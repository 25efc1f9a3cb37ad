"""Tests replicas of the committed state, and their leases."""

from __future__ import annotations

import pytest

from worksmux.consensus.inputs import Tick
from worksmux.consensus.replica import (
    LocalVoterApplied,
    MessageReceived,
    Output,
    PendingPull,
    Replica,
    StateMismatch,
    TopologyChanged,
    ValuesChanged,
)
from worksmux.consensus.replication_messages import ChangeNotice, PullReply, PullRequest
from worksmux.consensus.replication_tree import parent_of
from worksmux.consensus.state_machine import VersionedValue
from worksmux.policy.random_source import RandomSource
from worksmux.simulation.followers import LEASE_MS, ReplicationSimulation


def run_random_faults(replica_type: type[Replica], seed: int) -> ReplicationSimulation:
    """Runs a fleet with random partitions, frozen nodes, slow links and loss while values keep changing."""
    fleet = ReplicationSimulation(12, seed, replica_type, loss=0.1)
    random = RandomSource(seed)
    fleet.run(3000.0)
    for _ in range(40):
        fleet.run(600.0 * random.share())
        draw, name = random.share(), fleet.names[1 + int(random.share() * 11)]
        if draw < 0.4:
            fleet.put()
        elif draw < 0.6 and name not in fleet.frozen:
            fleet.frozen.add(name)
            fleet.sim.after(9000.0 * random.share(), fleet.resume, name)
        elif draw < 0.8:
            group = random.sample(fleet.names, 1 + int(random.share() * 4))
            fleet.network.cut(group, [other for other in fleet.names if other not in group], "both")
            fleet.sim.after(7000.0 * random.share(), fleet.network.remove_partitions)
        else:
            fleet.network.extra_delay_ms[name] = 8000.0 * random.share()
    return fleet


@pytest.mark.parametrize("seed", range(12))
def test_no_replica_acts_on_state_older_than_its_lease(seed: int) -> None:
    """Random partitions, frozen nodes, slow links and loss occur while values keep changing.

    No replica that holds a lease may lack a value that was committed longer ago than the lease.
    """
    assert not run_random_faults(Replica, seed).stale_replicas


def test_random_faults_reveal_a_lease_counted_from_the_reply() -> None:
    """A replica counts the age of its knowledge from when the reply arrived.

    It then takes a delayed reply for fresh, which the random faults must reveal.
    """

    class CountsFromReply(Replica):
        """Counts the lease from when the reply arrived, however long it was in transit."""

        def _on_pull_reply(self, now: float, sender: str, reply: PullReply, output: Output) -> None:
            if reply.number in self.pending_pulls:
                self.pending_pulls[reply.number] = PendingPull(sender, now)
            super()._on_pull_reply(now, sender, reply, output)

    assert any(run_random_faults(CountsFromReply, seed).stale_replicas for seed in range(30))


def test_change_reaches_all_replicas_and_leases_hold() -> None:
    fleet = ReplicationSimulation(300)
    fleet.run(2 * LEASE_MS)
    start = fleet.sim.now
    fleet.put(b"new")
    fleet.run(1000.0)
    delays = [
        time - start for time, _, event in fleet.events if isinstance(event, ValuesChanged) and time >= start
    ]
    assert len(delays) == 300 and max(delays) < 500.0
    fleet.run(2 * LEASE_MS)
    assert all(replica.holds_lease(fleet.now(name)) for name, replica in fleet.replicas.items())


def test_messages_per_node_do_not_grow_with_the_fleet() -> None:
    rates = {}
    for count in (30, 240):
        fleet = ReplicationSimulation(count)
        fleet.run(LEASE_MS)
        fleet.sent = 0
        fleet.run(LEASE_MS)
        rates[count] = fleet.sent / count
    assert rates[240] < 1.5 * rates[30]


def test_replicas_below_frozen_nodes_keep_their_lease() -> None:
    """All inner nodes of the tree are frozen, and membership still reports them as present.

    The nodes below them must pull from others, or their leases end.
    """
    fleet = ReplicationSimulation(60)
    fleet.run(2 * LEASE_MS)
    inner = {parent_of(name, set(fleet.names) - {name}, ["f0"]) for name in fleet.names[1:]} - {
        "f0",
        "",
    }
    assert inner
    fleet.frozen |= inner  # membership still reports them as present
    fleet.run(4 * LEASE_MS)
    assert all(
        replica.holds_lease(fleet.now(name)) for name, replica in fleet.replicas.items() if name not in inner
    )


def test_reports_are_summed_on_their_way_up_the_tree() -> None:
    fleet = ReplicationSimulation(80)
    for replica in fleet.replicas.values():
        replica.build_report = lambda child_reports: str(
            1 + sum(int(report) for report in child_reports)
        ).encode()
    fleet.run(3 * LEASE_MS)
    assert sum(int(report) for report in fleet.replicas["f0"].child_reports()) == 79


def test_different_state_at_one_index_is_reported_and_not_taken() -> None:
    """Two nodes hold different states at the same index, which correct servers never do.

    Neither may take over the state of the other.
    """
    replica = Replica("a", LEASE_MS, 1, 0.0)
    replica.step(0.0, TopologyChanged(frozenset({"b"}), frozenset({"b"})))
    replica.step(1.0, LocalVoterApplied(3, 77, {"plan": VersionedValue(3, b"x")}, -1.0, "b"))
    output = replica.step(2.0, MessageReceived("b", PullRequest(1, 3, 78)))
    assert output.events == [StateMismatch("b", 3)] and not output.messages
    pull = next(
        message
        for _, message in replica.step(replica.due, Tick()).messages
        if isinstance(message, PullRequest)
    )
    output = replica.step(replica.due, MessageReceived("b", PullReply(pull.number, 3, 78, 0.0, "b")))
    assert output.events == [StateMismatch("b", 3)] and not replica.holds_lease(replica.due)


def test_unsolicited_replies_and_notices_of_unknown_nodes_are_ignored() -> None:
    replica = Replica("a", LEASE_MS, 1, 0.0)
    assert (
        not replica.step(1.0, MessageReceived("b", PullReply(9, 5, 1, 0.0, "b"))).events
        and replica.index == 0
    )
    assert not replica.step(1.0, MessageReceived("b", ChangeNotice(5))).messages
