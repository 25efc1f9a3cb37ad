"""Membership by gossip: all nodes agree in the end, whatever is lost, cut, frozen or started twice."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from worksmux.gossip.members import AppliedUpdate, MemberList, MembershipUpdate, MemberState
from worksmux.gossip.outputs import Superseded
from worksmux.policy.random_source import RandomSource
from worksmux.simulation.peers import Peer, World
from worksmux.simulation.wire import Weather

PERIOD = 500.0


def world(count: int = 7, seed: int = 1, **weather: float) -> World:
    found = World(seed, PERIOD, Weather(**weather))  # type: ignore[arg-type]
    for at in range(count):
        found.start(f"f{at}")
    found.agree(30 * PERIOD)
    found.told.clear()
    return found


def deaths(found: World) -> list[tuple[str, str]]:
    return [(by, fact.after.name) for _, by, fact in found.told if fact.after.state == MemberState.DEAD]


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
    make: type[MemberList], updates: list[MembershipUpdate], other: list[MembershipUpdate]
) -> bool:
    """Whether two lists differ that took the same updates in different orders."""
    found = []
    for told in (updates, other):
        members = make()
        for update in told:
            members.apply(update, 0.0)
        found.append({name: member.update.precedence for name, member in members.known.items()})
    return found[0] != found[1]


@given(UPDATES, st.randoms(use_true_random=False))
def test_order_of_updates_does_not_matter(updates: list[MembershipUpdate], chance: Any) -> None:
    other = list(updates)
    chance.shuffle(other)
    assert not order_matters(MemberList, updates, other)


def test_order_matters_if_the_last_update_wins() -> None:
    """A list that believes whatever it heard last is shown to differ, so that the test above can fail."""

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
        assert set(members.present) == {one.name for one in known if one.state <= MemberState.SUSPECT}
        assert set(members.suspects) == {one.name for one in known if one.state == MemberState.SUSPECT}


def test_absent_nodes_are_forgotten_so_that_memory_stays_bounded() -> None:
    """A fleet whose nodes are replaced all day, each under a new name."""
    members = MemberList()
    for at in range(1000):
        members.apply(MembershipUpdate(f"f{at}", 1, 0, MemberState.DEAD, "h:1", "z", "r"), float(at))
    assert len(members.known) <= 64 and "f999" in members.known


@pytest.mark.parametrize(
    "odd",
    [
        MembershipUpdate("", 1, 0, 0, "h:1", "z", "r"),
        MembershipUpdate("a", 0, 0, 0, "h:1", "z", "r"),
        MembershipUpdate("a", 1, -1, 0, "h:1", "z", "r"),
        MembershipUpdate("a", 1, 0, 9, "h:1", "z", "r"),
        MembershipUpdate("a" * 999, 1, 0, 0, "h:1", "z", "r"),
        MembershipUpdate("a", 1, 0, 0, "h:1", "z", "r", {str(at): "" for at in range(99)}),
    ],
)
def test_updates_out_of_range_are_invalid(odd: MembershipUpdate) -> None:
    assert not odd.is_valid()


# Deaths.


@pytest.mark.parametrize("loss", [0.0, 0.05, 0.2])
def test_crashed_node_is_declared_dead_by_all_and_no_other_is(loss: float) -> None:
    """One node of nine crashes while the network loses messages."""
    found = world(9, loss=loss)
    found.peers["f4"].stop()
    found.agree(40 * PERIOD)
    found.run(20 * PERIOD)
    assert {name for _, name in deaths(found)} == {"f4"}
    assert {by for by, _ in deaths(found)} == set(found.peers)


def test_node_unreachable_from_one_other_is_not_declared_dead() -> None:
    """The link between two nodes is cut; all others reach both. Helpers must vouch for them."""
    found = world(6)
    found.wire.cut(["f1"], ["f2"])
    found.run(60 * PERIOD)
    assert not deaths(found)


def test_frozen_node_refutes_its_death_and_accuses_nobody() -> None:
    """A process is frozen until all others declare it dead.

    When it goes on, all its own timeouts have passed. It must not declare the others dead, and must come
    back within its generation.
    """
    found = world(6)
    sleeper = found.peers["f3"]
    sleeper.freeze()
    found.run(60 * PERIOD)
    assert {name for _, name in deaths(found)} == {"f3"}
    sleeper.go_on()
    assert sleeper.swim.health.level > 0  # its own health is lower first
    found.agree(30 * PERIOD)
    assert not [pair for pair in deaths(found) if pair[0] == "f3"]
    assert all(
        peer.swim.members.known["f3"].update.generation == 1
        for name, peer in found.peers.items()
        if name != "f3"
    )


def test_starved_node_lowers_its_own_health_before_it_accuses_others() -> None:
    """All that one node sends is late by more than a period."""
    found = world(8)
    starved = found.peers["f2"]
    found.wire.slow["f2"] = 1.3 * PERIOD
    found.run(40 * PERIOD)
    assert not [pair for pair in deaths(found) if pair[0] == "f2"]
    others = [peer.swim.health.level for name, peer in found.peers.items() if name != "f2"]
    assert starved.swim.health.level > max(others)


def test_node_that_leaves_is_never_declared_dead() -> None:
    found = world(7)
    found.peers["f5"].leave()
    found.agree(10 * PERIOD)
    found.run(40 * PERIOD)
    assert not deaths(found)
    assert all(peer.swim.members.known["f5"].state == MemberState.LEFT for peer in found.peers.values())


# Generations.


def test_restarted_node_is_accepted_by_its_new_generation() -> None:
    found = world(6)
    found.peers["f1"].stop()
    found.run(40 * PERIOD)
    found.start("f1", life=2)
    found.agree(20 * PERIOD)
    assert found.peers["f0"].swim.members.known["f1"].update.generation == 2


def test_node_with_lost_disk_and_slow_clock_raises_its_generation() -> None:
    """A node starts under a lower generation than before, so that all others ignore what it says."""
    found = world(6)
    found.peers["f4"].stop()
    found.run(40 * PERIOD)
    found.start("f4", life=50).stop()
    found.run(5 * PERIOD)
    back = found.start("f4", life=3)
    found.run(20 * PERIOD)
    assert back.swim.me.generation > 50
    assert found.peers["f0"].swim.members.known["f4"].update.generation == back.swim.me.generation


def test_older_of_two_processes_with_one_name_is_superseded() -> None:
    """Two processes run under one name at different addresses."""
    found = world(6)
    older = found.peers["f3"]
    younger = Peer(found, "f3", 9, ["f0", "f1"], address="f3-again")
    found.peers["f3"] = younger
    found.run(30 * PERIOD)
    assert [fact for _, fact in older.facts if isinstance(fact, Superseded)]
    assert not [fact for _, fact in younger.facts if isinstance(fact, Superseded)]
    assert found.peers["f0"].swim.members.known["f3"].update.address == "f3-again"


# Partitions.


@pytest.mark.parametrize("how", ["both", "out", "in"])
def test_partitioned_fleet_merges_again(how: str) -> None:
    """Both halves of a fleet declare each other dead and stop pinging. Then the network heals."""
    found = world(8)
    some = ["f0", "f2", "f4", "f6"]
    found.wire.cut(some, [name for name in found.peers if name not in some], how)
    found.run(80 * PERIOD)
    assert deaths(found)
    found.wire.heal()
    found.agree(60 * PERIOD)


def test_node_joins_once_a_seed_is_up() -> None:
    """A node starts while all its seeds are down."""
    found = World(1, PERIOD)
    late = found.start("f9", seeds=["f0", "f1"])
    found.run(20 * PERIOD)
    assert not late.believes()
    for at in range(3):
        found.start(f"f{at}")
    found.agree(30 * PERIOD)


def test_messages_per_node_do_not_grow_with_the_fleet() -> None:
    sent = {}
    for count in (10, 80):
        found = world(count)
        found.run(120 * PERIOD)
        found.wire.sent.clear()
        found.run(40 * PERIOD)
        sent[count] = max(found.wire.sent.values())
    assert sent[80] < 1.5 * sent[10]


def storm(seed: int) -> World:
    """Crashes, restarts, frozen processes, partitions and loss at random; then runs until all agree."""
    chance = RandomSource(seed)
    found = World(seed, PERIOD, Weather((0.3, 80.0 * chance.share()), 0.2 * chance.share(), 0.1))
    names = [f"f{at}" for at in range(7)]
    lives = dict.fromkeys(names, 1)
    for name in names:
        found.start(name)
    for _ in range(12):
        found.run(6 * PERIOD * chance.share())
        name, draw = names[int(chance.share() * 7)], chance.share()
        peer = found.peers.get(name)
        if peer is None:
            lives[name] = lives[name] + 1 if chance.share() < 0.7 else 1
            found.start(name, lives[name])
        elif draw < 0.3:
            peer.stop()
        elif draw < 0.5:
            peer.freeze()
            found.sim.after(20 * PERIOD * chance.share(), peer.go_on)
        elif draw < 0.8:
            some = chance.sample(names, 1 + int(3 * chance.share()))
            found.wire.cut(
                some,
                [one for one in names if one not in some],
                ("both", "out", "in")[int(3 * chance.share())],
            )
            found.sim.after(20 * PERIOD * chance.share(), found.wire.heal)
    found.run(25 * PERIOD)
    found.wire.heal()
    found.wire.weather = Weather()
    for peer in list(found.peers.values()):
        if peer.frozen:
            peer.go_on()
    found.agree(120 * PERIOD)
    return found


@pytest.mark.parametrize("block", range(4))
def test_all_nodes_agree_after_random_faults(block: int) -> None:
    """Crashes, restarts, lost disks, frozen processes, partitions and loss at random; then calm."""
    for seed in range(block * 10, block * 10 + 10):
        found = storm(seed)
        assert len(found.peers) >= 1
