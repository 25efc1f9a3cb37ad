"""Tests that all nodes agree on the membership after loss, partitions, frozen nodes and restarts."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from worksmux.gossip.members import AppliedUpdate, MemberList, MembershipUpdate, MemberState
from worksmux.gossip.outputs import Superseded
from worksmux.policy.random_source import RandomSource
from worksmux.simulation.peers import GossipSimulation, Peer
from worksmux.simulation.wire import NetworkConditions

PERIOD = 500.0


def make_fleet(count: int = 7, seed: int = 1, **conditions: float) -> GossipSimulation:
    """Returns a fleet whose nodes have joined and agree, with its list of changes emptied."""
    fleet = GossipSimulation(seed, PERIOD, NetworkConditions(**conditions))  # type: ignore[arg-type]
    for number in range(count):
        fleet.start(f"f{number}")
    fleet.wait_for_agreement(30 * PERIOD)
    fleet.changes.clear()
    return fleet


def deaths(fleet: GossipSimulation) -> list[tuple[str, str]]:
    """Returns the pairs (observer, node) of all declarations that a node is dead."""
    return [
        (observer, change.after.name)
        for _, observer, change in fleet.changes
        if change.after.state == MemberState.DEAD
    ]


# Precedence of updates.

UPDATES = st.lists(
    st.builds(
        MembershipUpdate,
        st.sampled_from(["a", "b"]),
        st.integers(1, 3),
        st.integers(0, 3),
        st.sampled_from(list(MemberState)),
        st.just("h:1"),
        st.just("z"),
        st.just("r"),
    ),
    max_size=8,
)


def order_matters(
    list_type: type[MemberList], updates: list[MembershipUpdate], reordered: list[MembershipUpdate]
) -> bool:
    """Whether two lists differ after they took the same updates in different orders."""
    precedences = []
    for ordered_updates in (updates, reordered):
        members = list_type()
        for update in ordered_updates:
            members.apply(update, 0.0)
        precedences.append({name: member.update.precedence for name, member in members.known.items()})
    return precedences[0] != precedences[1]


@given(UPDATES, st.randoms(use_true_random=False))
def test_order_of_updates_does_not_matter(updates: list[MembershipUpdate], randoms: Any) -> None:
    reordered = list(updates)
    randoms.shuffle(reordered)
    assert not order_matters(MemberList, updates, reordered)


def test_order_matters_if_the_last_update_wins() -> None:
    """A list that stores the last update it received differs, so the test above can fail."""

    class LastUpdateWins(MemberList):
        def apply(self, update: MembershipUpdate, now: float) -> AppliedUpdate | None:
            self.known.pop(update.name, None)
            return super().apply(update, now)

    pair = [
        MembershipUpdate("a", 1, 0, state, "h:1", "z", "r") for state in (MemberState.ALIVE, MemberState.DEAD)
    ]
    assert order_matters(LastUpdateWins, pair, pair[::-1])


@given(UPDATES)
def test_present_and_suspected_members_agree_with_known_ones(updates: list[MembershipUpdate]) -> None:
    members = MemberList()
    for update in updates:
        members.apply(update, 0.0)
        known = members.known.values()
        assert set(members.present) == {
            member.name for member in known if member.state <= MemberState.SUSPECT
        }
        assert set(members.suspects) == {
            member.name for member in known if member.state == MemberState.SUSPECT
        }


def test_absent_nodes_are_forgotten_so_that_memory_stays_bounded() -> None:
    """All nodes of a fleet are replaced all day, each under a new name."""
    members = MemberList()
    for number in range(1000):
        members.apply(MembershipUpdate(f"f{number}", 1, 0, MemberState.DEAD, "h:1", "z", "r"), float(number))
    assert len(members.known) <= 64 and "f999" in members.known


@pytest.mark.parametrize(
    "invalid_update",
    [
        MembershipUpdate("", 1, 0, 0, "h:1", "z", "r"),
        MembershipUpdate("a", 0, 0, 0, "h:1", "z", "r"),
        MembershipUpdate("a", 1, -1, 0, "h:1", "z", "r"),
        MembershipUpdate("a", 1, 0, 9, "h:1", "z", "r"),
        MembershipUpdate("a" * 999, 1, 0, 0, "h:1", "z", "r"),
        MembershipUpdate("a", 1, 0, 0, "h:1", "z", "r", {str(number): "" for number in range(99)}),
    ],
)
def test_updates_out_of_range_are_invalid(invalid_update: MembershipUpdate) -> None:
    assert not invalid_update.is_valid()


# Deaths.


@pytest.mark.parametrize("loss", [0.0, 0.05, 0.2])
def test_crashed_node_is_declared_dead_by_all_and_no_other_is(loss: float) -> None:
    """One node of nine crashes while the network loses messages."""
    fleet = make_fleet(9, loss=loss)
    fleet.peers["f4"].stop()
    fleet.wait_for_agreement(40 * PERIOD)
    fleet.run(20 * PERIOD)
    assert {name for _, name in deaths(fleet)} == {"f4"}
    assert {observer for observer, _ in deaths(fleet)} == set(fleet.peers)


def test_node_unreachable_from_one_other_is_not_declared_dead() -> None:
    """The link between two nodes is cut, and all others reach both.

    The two must not declare each other dead, as helpers report each of them alive.
    """
    fleet = make_fleet(6)
    fleet.network.cut(["f1"], ["f2"])
    fleet.run(60 * PERIOD)
    assert not deaths(fleet)


def test_frozen_node_refutes_its_death_and_accuses_nobody() -> None:
    """A process is frozen until all others declare it dead.

    When it continues, all its own timeouts have passed. It must not declare the others dead, and must come
    back within its generation.
    """
    fleet = make_fleet(6)
    frozen = fleet.peers["f3"]
    frozen.freeze()
    fleet.run(60 * PERIOD)
    assert {name for _, name in deaths(fleet)} == {"f3"}
    frozen.resume()
    assert frozen.swim.health.level > 0  # it lowers its own health first
    fleet.wait_for_agreement(30 * PERIOD)
    assert not [death for death in deaths(fleet) if death[0] == "f3"]
    assert all(
        peer.swim.members.known["f3"].update.generation == 1
        for name, peer in fleet.peers.items()
        if name != "f3"
    )


def test_starved_node_lowers_its_own_health_before_it_accuses_others() -> None:
    """All messages of one node are late by more than a period."""
    fleet = make_fleet(8)
    starved = fleet.peers["f2"]
    fleet.network.extra_delay_ms["f2"] = 1.3 * PERIOD
    fleet.run(40 * PERIOD)
    assert not [death for death in deaths(fleet) if death[0] == "f2"]
    other_levels = [peer.swim.health.level for name, peer in fleet.peers.items() if name != "f2"]
    assert starved.swim.health.level > max(other_levels)


def test_node_that_leaves_is_never_declared_dead() -> None:
    fleet = make_fleet(7)
    fleet.peers["f5"].leave()
    fleet.wait_for_agreement(10 * PERIOD)
    fleet.run(40 * PERIOD)
    assert not deaths(fleet)
    assert all(peer.swim.members.known["f5"].state == MemberState.LEFT for peer in fleet.peers.values())


# Generations.


def test_restarted_node_is_accepted_by_its_new_generation() -> None:
    fleet = make_fleet(6)
    fleet.peers["f1"].stop()
    fleet.run(40 * PERIOD)
    fleet.start("f1", generation=2)
    fleet.wait_for_agreement(20 * PERIOD)
    assert fleet.peers["f0"].swim.members.known["f1"].update.generation == 2


def test_node_with_lost_disk_and_slow_clock_raises_its_generation() -> None:
    """A node lost its disk and starts under a lower generation than before.

    All others ignore its updates until it takes a higher generation.
    """
    fleet = make_fleet(6)
    fleet.peers["f4"].stop()
    fleet.run(40 * PERIOD)
    fleet.start("f4", generation=50).stop()
    fleet.run(5 * PERIOD)
    restarted = fleet.start("f4", generation=3)
    fleet.run(20 * PERIOD)
    assert restarted.swim.me.generation > 50
    assert fleet.peers["f0"].swim.members.known["f4"].update.generation == restarted.swim.me.generation


def test_older_of_two_processes_with_one_name_is_superseded() -> None:
    """Two processes run under one name at different addresses."""
    fleet = make_fleet(6)
    older = fleet.peers["f3"]
    newer = Peer(fleet, "f3", 9, ["f0", "f1"], address="f3-again")
    fleet.peers["f3"] = newer
    fleet.run(30 * PERIOD)
    assert [event for _, event in older.events if isinstance(event, Superseded)]
    assert not [event for _, event in newer.events if isinstance(event, Superseded)]
    assert fleet.peers["f0"].swim.members.known["f3"].update.address == "f3-again"


# Partitions.


@pytest.mark.parametrize("direction", ["both", "out", "in"])
def test_partitioned_fleet_merges_again(direction: str) -> None:
    """Two halves of a fleet are cut off from each other until nodes are declared dead.

    They no longer ping the dead ones. After the partition all nodes must agree again.
    """
    fleet = make_fleet(8)
    half = ["f0", "f2", "f4", "f6"]
    fleet.network.cut(half, [name for name in fleet.peers if name not in half], direction)
    fleet.run(80 * PERIOD)
    assert deaths(fleet)
    fleet.network.remove_partitions()
    fleet.wait_for_agreement(60 * PERIOD)


def test_node_joins_once_a_seed_is_up() -> None:
    """A node starts while all its seeds are down."""
    fleet = GossipSimulation(1, PERIOD)
    late = fleet.start("f9", seeds=["f0", "f1"])
    fleet.run(20 * PERIOD)
    assert not late.known_states()
    for number in range(3):
        fleet.start(f"f{number}")
    fleet.wait_for_agreement(30 * PERIOD)


def test_messages_per_node_do_not_grow_with_the_fleet() -> None:
    sent = {}
    for count in (10, 80):
        fleet = make_fleet(count)
        fleet.run(120 * PERIOD)
        fleet.network.sent.clear()
        fleet.run(40 * PERIOD)
        sent[count] = max(fleet.network.sent.values())
    assert sent[80] < 1.5 * sent[10]


def run_random_faults(seed: int) -> GossipSimulation:
    """Runs random crashes, restarts, frozen processes, partitions and loss, then waits until all agree."""
    random = RandomSource(seed)
    fleet = GossipSimulation(
        seed, PERIOD, NetworkConditions((0.3, 80.0 * random.share()), 0.2 * random.share(), 0.1)
    )
    names = [f"f{number}" for number in range(7)]
    generations = dict.fromkeys(names, 1)
    for name in names:
        fleet.start(name)
    for _ in range(12):
        fleet.run(6 * PERIOD * random.share())
        name, draw = names[int(random.share() * 7)], random.share()
        peer = fleet.peers.get(name)
        if peer is None:
            generations[name] = generations[name] + 1 if random.share() < 0.7 else 1
            fleet.start(name, generations[name])
        elif draw < 0.3:
            peer.stop()
        elif draw < 0.5:
            peer.freeze()
            fleet.sim.after(20 * PERIOD * random.share(), peer.resume)
        elif draw < 0.8:
            group = random.sample(names, 1 + int(3 * random.share()))
            fleet.network.cut(
                group,
                [other for other in names if other not in group],
                ("both", "out", "in")[int(3 * random.share())],
            )
            fleet.sim.after(20 * PERIOD * random.share(), fleet.network.remove_partitions)
    fleet.run(25 * PERIOD)
    fleet.network.remove_partitions()
    fleet.network.conditions = NetworkConditions()
    for peer in list(fleet.peers.values()):
        if peer.frozen:
            peer.resume()
    fleet.wait_for_agreement(120 * PERIOD)
    return fleet


@pytest.mark.parametrize("block", range(4))
def test_all_nodes_agree_after_random_faults(block: int) -> None:
    """Random crashes, restarts, lost disks, frozen processes, partitions and loss are followed by calm."""
    for seed in range(block * 10, block * 10 + 10):
        fleet = run_random_faults(seed)
        assert len(fleet.peers) >= 1
