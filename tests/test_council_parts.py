"""The council's book, its followers and its seats."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from worksmux.consensus.entries import CHANGE, Base, Entry, Seats, front_of, next_entry
from worksmux.consensus.reconfiguration import Able, founds, next_seats
from worksmux.consensus.replication import (
    Agreed,
    Contradicts,
    Follower,
    Fresh,
    Fronts,
    Heard,
    News,
    Out,
    Pull,
    Tick,
    Told,
    parent_of,
)
from worksmux.consensus.state_machine import Book, Chapter, Put
from worksmux.policy.random_source import RandomSource
from worksmux.simulation.followers import LEASE, Following

# The book.


def written(book: Book, put: Put, last: Entry | Base) -> Entry:
    entry = next_entry(last, 1, CHANGE, msgspec.msgpack.encode(put))
    book.apply(entry)
    return entry


def test_change_that_builds_on_an_older_chapter_is_passed_over_by_all() -> None:
    book = Book()
    one = written(book, Put("plan", b"one", 0), Base())
    two = written(book, Put("plan", b"late", 0), one)
    assert book.chapters["plan"].value == b"one" and book.index == 2
    written(book, Put("plan", b"two", 1), two)
    assert book.chapters["plan"].value == b"two"


def test_what_is_no_change_of_this_form_or_too_large_changes_nothing() -> None:
    book = Book()
    assert book.apply(next_entry(Base(), 1, CHANGE, b"\xc1")) == ""
    assert not written(book, Put("x", b"y" * 70_000), Base(1)).term == 0 and not book.chapters


def test_snapshot_gives_the_same_book() -> None:
    book, other = Book(), Book()
    last = written(book, Put("a", b"1"), Base())
    written(book, Put("b", b"2"), last)
    other.take_whole(Base(book.index, 1, 0, Seats(), book.whole()))
    assert (other.index, other.chapters, other.mark()) == (book.index, book.chapters, book.mark())


# Seats.


def ables(names: str, zones: str = "xyz") -> dict[str, Able]:
    return {name: Able(name, f"{name}#1", zones[at % len(zones)]) for at, name in enumerate(names)}


def settled(seats: Seats, able: dict[str, Able], wanted: int = 3, gone: str = "") -> list[Seats]:
    """All changes until none is wanted; each learner catches up at once."""
    found = []
    while (following := next_seats(seats, able, wanted, gone.__contains__, lambda _: True)) is not None:
        found.append(following)
        seats = following
        assert len(found) < 30
    return found


def test_council_grows_to_its_size_in_as_many_zones_as_there_are() -> None:
    found = settled(Seats(("a#1",)), ables("abcdef"))
    assert {able.zone for able in ables("abcdef").values() if able.seat in found[-1].voters} == {
        "x",
        "y",
        "z",
    }
    assert len(found[-1].voters) == 3 and not found[-1].learners


def test_seat_of_a_front_gone_for_good_is_given_to_another_and_never_before() -> None:
    able = ables("abcd")
    del able["b"]
    seats = Seats(("a#1", "b#1", "c#1"))
    assert not settled(seats, able)
    assert set(settled(seats, able, gone="b")[-1].voters) == {"a#1", "c#1", "d#1"}


def test_front_back_with_another_disk_is_another_seat_and_learns_before_it_votes() -> None:
    able = ables("abc") | {"b": Able("b", "b#2", "y")}
    first = next_seats(Seats(("a#1", "b#1", "c#1")), able, 3, lambda _: False, lambda _: False)
    assert first is not None and first.learners == ("b#2",) and "b#1" in first.voters
    assert next_seats(first, able, 3, lambda _: False, lambda _: False) is None
    assert set(settled(first, able)[-1].voters) == {"a#1", "b#2", "c#1"}


def test_council_never_shrinks_for_want_of_fronts() -> None:
    assert not settled(Seats(("a#1", "b#1", "c#1")), ables("a"), gone="bc")


def test_two_seats_in_a_zone_while_another_has_none_are_parted() -> None:
    able = ables("abcd", "xxyz")
    found = settled(Seats(("a#1", "b#1", "c#1")), able)
    assert {able[front_of(seat)].zone for seat in found[-1].voters} == {"x", "y", "z"}


@settings(max_examples=200)
@given(
    st.sets(st.sampled_from("abcdefgh"), min_size=1),
    st.sets(st.sampled_from("abcdefgh"), min_size=1),
    st.sampled_from([1, 3, 5]),
    st.integers(1, 4),
)
def test_each_change_moves_one_voter_and_it_comes_to_an_end(
    voters: set[str], there: set[str], wanted: int, zones: int
) -> None:
    able = {name: Able(name, f"{name}#1", "xyzw"[ord(name) % zones]) for name in there}
    seats = Seats(tuple(sorted(f"{name}#1" for name in voters)))
    for following in settled(seats, able, wanted, "abcdefgh"):
        assert len(set(seats.voters) ^ set(following.voters)) <= 1 and following.voters
        seats = following
    assert len(seats.voters) <= max(wanted, len(voters))


def test_no_second_council_is_founded_while_a_founder_knows_of_one() -> None:
    able = ables("abc")
    assert founds("a", ["a", "b", "c"], able, "")
    assert not founds("a", ["a", "b", "c"], able | {"b": Able("b", "b#1", "y", "old")}, "")
    assert not founds("a", ["a", "b", "c"], able, "old")


# Followers.


def storm(make: type[Follower], seed: int) -> Following:
    """Cuts, freezes and losses while the council goes on agreeing."""
    fleet = Following(12, seed, make, loss=0.1)
    chance = RandomSource(seed)
    fleet.run(3000.0)
    for _ in range(40):
        fleet.run(600.0 * chance.share())
        draw, name = chance.share(), fleet.names[1 + int(chance.share() * 11)]
        if draw < 0.4:
            fleet.put()
        elif draw < 0.6 and name not in fleet.frozen:
            fleet.frozen.add(name)
            fleet.sim.after(9000.0 * chance.share(), fleet.go_on, name)
        elif draw < 0.8:
            some = chance.some(fleet.names, 1 + int(chance.share() * 4))
            fleet.wire.cut(some, [one for one in fleet.names if one not in some], "both")
            fleet.sim.after(7000.0 * chance.share(), fleet.wire.heal)
        else:
            fleet.wire.slow[name] = 8000.0 * chance.share()
    return fleet


@pytest.mark.parametrize("seed", range(12))
def test_nobody_acts_on_what_was_replaced_longer_ago_than_the_lease(seed: int) -> None:
    assert not storm(Follower, seed).old


def test_follower_that_counts_from_the_answer_is_found() -> None:
    class Hasty(Follower):
        """A lease from when the answer came, however long that was under way."""

        def _told(self, now: float, name: str, told: Told, out: Out) -> None:
            if told.number in self.asked:
                self.asked[told.number] = name, now
            super()._told(now, name, told, out)

    assert any(storm(Hasty, seed).old for seed in range(30))


def test_news_reaches_all_and_the_lease_holds_everywhere() -> None:
    fleet = Following(300)
    fleet.run(2 * LEASE)
    start = fleet.sim.now
    fleet.put(b"new")
    fleet.run(1000.0)
    told = [at - start for at, _, fact in fleet.facts if isinstance(fact, Fresh) and at >= start]
    assert len(told) == 300 and max(told) < 500.0
    fleet.run(2 * LEASE)
    assert all(one.holds(fleet.now(name)) for name, one in fleet.followers.items())


def test_what_a_front_sends_stays_bounded_as_the_fleet_grows() -> None:
    rates = {}
    for count in (30, 240):
        fleet = Following(count)
        fleet.run(LEASE)
        fleet.sent = 0
        fleet.run(LEASE)
        rates[count] = fleet.sent / count
    assert rates[240] < 1.5 * rates[30]


def test_tree_whose_middle_is_gone_is_gone_around() -> None:
    fleet = Following(60)
    fleet.run(2 * LEASE)
    middle = {parent_of(name, set(fleet.names) - {name}, ["f0"]) for name in fleet.names[1:]} - {"f0", ""}
    assert middle
    fleet.frozen |= middle  # nobody has told the others that they are
    fleet.run(4 * LEASE)
    assert all(one.holds(fleet.now(name)) for name, one in fleet.followers.items() if name not in middle)


def test_reports_run_up_the_tree_added_up() -> None:
    fleet = Following(80)
    for one in fleet.followers.values():
        one.report = lambda below: str(1 + sum(int(part) for part in below)).encode()
    fleet.run(3 * LEASE)
    assert sum(int(part) for part in fleet.followers["f0"].reports()) == 79


def test_same_number_with_other_content_is_named_and_not_taken() -> None:
    one = Follower("a", LEASE, 1, 0.0)
    one.step(0.0, Fronts(frozenset({"b"}), frozenset({"b"})))
    one.step(1.0, Agreed(3, 77, {"plan": Chapter(3, b"x")}, -1.0, "b"))
    out = one.step(2.0, Heard("b", Pull(1, 3, 78)))
    assert out.facts == [Contradicts("b", 3)] and not out.posts
    asked = next(message for _, message in one.step(one.due, Tick()).posts if isinstance(message, Pull))
    out = one.step(one.due, Heard("b", Told(asked.number, 3, 78, 0.0, "b")))
    assert out.facts == [Contradicts("b", 3)] and not one.holds(one.due)


def test_answer_to_nothing_and_news_of_strangers_are_passed_over() -> None:
    one = Follower("a", LEASE, 1, 0.0)
    assert not one.step(1.0, Heard("b", Told(9, 5, 1, 0.0, "b"))).facts and one.index == 0
    assert not one.step(1.0, Heard("b", News(5))).posts
