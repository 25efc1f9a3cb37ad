"""Membership among fronts: all agree in the end, whatever is lost, cut, frozen or started twice."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from worksmux.gossip.members import Member, Members, Rumour, State
from worksmux.gossip.swim import Outlived
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
    return [(by, fact.now.name) for _, by, fact in found.told if fact.now.state == State.DEAD]


# What is believed.

RUMOURS = st.lists(
    st.builds(
        Rumour,
        st.sampled_from(["a", "b"]),
        st.integers(1, 3),
        st.integers(0, 3),
        st.sampled_from(list(State)),
        st.just("h:1"),
        st.just("z"),
        st.just("r"),
    ),
    max_size=8,
)


def order_matters(make: type[Members], rumours: list[Rumour], other: list[Rumour]) -> bool:
    """Whether two fronts that heard the same in different orders believe different things."""
    found = []
    for told in (rumours, other):
        members = make("me")
        for rumour in told:
            members.take(rumour, 0.0)
        found.append({name: member.rumour.rank for name, member in members.known.items()})
    return found[0] != found[1]


@given(RUMOURS, st.randoms(use_true_random=False))
def test_all_believe_the_same_whatever_the_order_they_heard_it_in(rumours: list[Rumour], chance: Any) -> None:
    other = list(rumours)
    chance.shuffle(other)
    assert not order_matters(Members, rumours, other)


def test_members_that_believe_the_last_they_heard_are_found_to_differ() -> None:
    class Gullible(Members):
        def take(self, rumour: Rumour, now: float) -> tuple[Rumour | None, Member] | None:
            self.known.pop(rumour.name, None)
            return super().take(rumour, now)

    pair = [Rumour("a", 1, 0, state, "h:1", "z", "r") for state in (State.ALIVE, State.DEAD)]
    assert order_matters(Gullible, pair, pair[::-1])


@given(RUMOURS)
def test_what_is_there_and_suspected_agrees_with_what_is_known(rumours: list[Rumour]) -> None:
    members = Members("me")
    for rumour in rumours:
        members.take(rumour, 0.0)
        known = members.known.values()
        assert set(members.there) == {one.name for one in known if one.state <= State.SUSPECT}
        assert set(members.suspects) == {one.name for one in known if one.state == State.SUSPECT}


def test_fronts_that_are_gone_are_forgotten_and_memory_stays_bounded() -> None:
    members = Members("me")
    for at in range(1000):
        members.take(Rumour(f"f{at}", 1, 0, State.DEAD, "h:1", "z", "r"), float(at))
    assert len(members.known) <= 64 and "f999" in members.known


@pytest.mark.parametrize(
    "odd",
    [
        Rumour("", 1, 0, 0, "h:1", "z", "r"),
        Rumour("a", 0, 0, 0, "h:1", "z", "r"),
        Rumour("a", 1, -1, 0, "h:1", "z", "r"),
        Rumour("a", 1, 0, 9, "h:1", "z", "r"),
        Rumour("a" * 999, 1, 0, 0, "h:1", "z", "r"),
        Rumour("a", 1, 0, 0, "h:1", "z", "r", {str(at): "" for at in range(99)}),
    ],
)
def test_rumours_that_make_no_sense_are_not_sound(odd: Rumour) -> None:
    assert not odd.sound()


# Deaths.


@pytest.mark.parametrize("loss", [0.0, 0.05, 0.2])
def test_front_that_dies_is_taken_for_dead_by_all_and_no_other_is(loss: float) -> None:
    found = world(9, loss=loss)
    found.peers["f4"].stop()
    found.agree(40 * PERIOD)
    found.run(20 * PERIOD)
    assert {name for _, name in deaths(found)} == {"f4"}
    assert {by for by, _ in deaths(found)} == set(found.peers)


def test_front_that_cannot_be_reached_by_one_other_is_not_taken_for_dead() -> None:
    found = world(6)
    found.wire.cut(["f1"], ["f2"])
    found.run(60 * PERIOD)
    assert not deaths(found)


def test_frozen_front_refutes_what_is_said_of_it_and_accuses_nobody() -> None:
    found = world(6)
    sleeper = found.peers["f3"]
    sleeper.freeze()
    found.run(60 * PERIOD)
    assert {name for _, name in deaths(found)} == {"f3"}
    sleeper.go_on()
    assert sleeper.swim.health.level > 0  # it doubts itself first
    found.agree(30 * PERIOD)
    assert not [pair for pair in deaths(found) if pair[0] == "f3"]
    assert all(
        peer.swim.members.known["f3"].rumour.life == 1 for name, peer in found.peers.items() if name != "f3"
    )


def test_starved_front_suspects_itself_before_others() -> None:
    """All that it says is late by more than a period."""
    found = world(8)
    starved = found.peers["f2"]
    found.wire.slow["f2"] = 1.3 * PERIOD
    found.run(40 * PERIOD)
    assert not [pair for pair in deaths(found) if pair[0] == "f2"]
    others = [peer.swim.health.level for name, peer in found.peers.items() if name != "f2"]
    assert starved.swim.health.level > max(others)


def test_front_that_leaves_in_order_is_never_called_dead() -> None:
    found = world(7)
    found.peers["f5"].leave()
    found.agree(10 * PERIOD)
    found.run(40 * PERIOD)
    assert not deaths(found)
    assert all(peer.swim.members.known["f5"].state == State.LEFT for peer in found.peers.values())


# Lives.


def test_front_that_comes_back_is_believed_by_its_new_life() -> None:
    found = world(6)
    found.peers["f1"].stop()
    found.run(40 * PERIOD)
    found.start("f1", life=2)
    found.agree(20 * PERIOD)
    assert found.peers["f0"].swim.members.known["f1"].rumour.life == 2


def test_front_that_lost_its_disk_and_whose_clock_is_behind_takes_a_higher_life() -> None:
    found = world(6)
    found.peers["f4"].stop()
    found.run(40 * PERIOD)
    found.start("f4", life=50).stop()
    found.run(5 * PERIOD)
    back = found.start("f4", life=3)
    found.run(20 * PERIOD)
    assert back.swim.me.life > 50
    assert found.peers["f0"].swim.members.known["f4"].rumour.life == back.swim.me.life


def test_of_two_processes_with_one_name_the_older_ends() -> None:
    found = world(6)
    older = found.peers["f3"]
    younger = Peer(found, "f3", 9, ["f0", "f1"], address="f3-again")
    found.peers["f3"] = younger
    found.run(30 * PERIOD)
    assert [fact for _, fact in older.facts if isinstance(fact, Outlived)]
    assert not [fact for _, fact in younger.facts if isinstance(fact, Outlived)]
    assert found.peers["f0"].swim.members.known["f3"].rumour.address == "f3-again"


# Cuts.


@pytest.mark.parametrize("how", ["both", "out", "in"])
def test_halves_of_a_cut_fleet_meet_again(how: str) -> None:
    found = world(8)
    some = ["f0", "f2", "f4", "f6"]
    found.wire.cut(some, [name for name in found.peers if name not in some], how)
    found.run(80 * PERIOD)
    assert deaths(found)
    found.wire.heal()
    found.agree(60 * PERIOD)


def test_front_without_any_seed_alive_joins_once_one_is() -> None:
    found = World(1, PERIOD)
    late = found.start("f9", seeds=["f0", "f1"])
    found.run(20 * PERIOD)
    assert not late.believes()
    for at in range(3):
        found.start(f"f{at}")
    found.agree(30 * PERIOD)


def test_what_a_front_sends_does_not_grow_with_their_number() -> None:
    sent = {}
    for count in (10, 80):
        found = world(count)
        found.run(120 * PERIOD)
        found.wire.sent.clear()
        found.run(40 * PERIOD)
        sent[count] = max(found.wire.sent.values())
    assert sent[80] < 1.5 * sent[10]


def storm(seed: int) -> World:
    """Deaths, returns with and without a disk, freezes, cuts and losses; then calm: all agree."""
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
            some = chance.some(names, 1 + int(3 * chance.share()))
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
def test_whatever_happens_all_agree_once_it_is_over(block: int) -> None:
    for seed in range(block * 10, block * 10 + 10):
        found = storm(seed)
        assert len(found.peers) >= 1
