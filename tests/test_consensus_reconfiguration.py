"""Which configuration comes next, and when a group is bootstrapped."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from worksmux.consensus.entries import Configuration, node_of
from worksmux.consensus.reconfiguration import Candidate, next_configuration, should_bootstrap


def candidates(names: str, zones: str = "xyz") -> dict[str, Candidate]:
    return {name: Candidate(name, f"{name}#1", zones[at % len(zones)]) for at, name in enumerate(names)}


def all_changes(
    configuration: Configuration, present: dict[str, Candidate], wanted: int = 3, gone: str = ""
) -> list[Configuration]:
    """All changes until none is wanted; each learner catches up at once."""
    found = []
    while (
        change := next_configuration(configuration, present, wanted, gone.__contains__, lambda _: True)
    ) is not None:
        found.append(change)
        configuration = change
        assert len(found) < 30
    return found


def test_group_grows_to_its_size_over_all_zones() -> None:
    found = all_changes(Configuration(("a#1",)), candidates("abcdef"))
    zones = {one.zone for one in candidates("abcdef").values() if one.server in found[-1].voters}
    assert zones == {"x", "y", "z"}
    assert len(found[-1].voters) == 3 and not found[-1].learners


def test_voter_is_replaced_only_once_its_node_is_gone_for_good() -> None:
    """A node is absent. Its voter is kept until the node counts as gone, and then replaced."""
    present = candidates("abcd")
    del present["b"]
    configuration = Configuration(("a#1", "b#1", "c#1"))
    assert not all_changes(configuration, present)
    assert set(all_changes(configuration, present, gone="b")[-1].voters) == {"a#1", "c#1", "d#1"}


def test_node_back_with_another_disk_learns_before_it_votes() -> None:
    """A node lost its disk and with it its votes.

    Under the old identity it could vote twice in a term, so it joins as another server.
    """
    present = candidates("abc") | {"b": Candidate("b", "b#2", "y")}
    first = next_configuration(
        Configuration(("a#1", "b#1", "c#1")), present, 3, lambda _: False, lambda _: False
    )
    assert first is not None and first.learners == ("b#2",) and "b#1" in first.voters
    assert next_configuration(first, present, 3, lambda _: False, lambda _: False) is None
    assert set(all_changes(first, present)[-1].voters) == {"a#1", "b#2", "c#1"}


def test_group_does_not_shrink_for_lack_of_nodes() -> None:
    assert not all_changes(Configuration(("a#1", "b#1", "c#1")), candidates("a"), gone="bc")


def test_voters_are_spread_to_zones_without_one() -> None:
    present = candidates("abcd", "xxyz")
    found = all_changes(Configuration(("a#1", "b#1", "c#1")), present)
    assert {present[node_of(voter)].zone for voter in found[-1].voters} == {"x", "y", "z"}


@settings(max_examples=200)
@given(
    st.sets(st.sampled_from("abcdefgh"), min_size=1),
    st.sets(st.sampled_from("abcdefgh"), min_size=1),
    st.sampled_from([1, 3, 5]),
    st.integers(1, 4),
)
def test_each_change_is_of_one_voter_and_changes_end(
    voters: set[str], there: set[str], wanted: int, zones: int
) -> None:
    present = {name: Candidate(name, f"{name}#1", "xyzw"[ord(name) % zones]) for name in there}
    configuration = Configuration(tuple(sorted(f"{name}#1" for name in voters)))
    for change in all_changes(configuration, present, wanted, "abcdefgh"):
        assert len(set(configuration.voters) ^ set(change.voters)) <= 1 and change.voters
        configuration = change
    assert len(configuration.voters) <= max(wanted, len(voters))


def test_no_second_group_is_bootstrapped_while_a_founder_knows_of_one() -> None:
    """The first founder lost its disk and starts anew while the group still exists."""
    present = candidates("abc")
    assert should_bootstrap("a", ["a", "b", "c"], present, "")
    assert not should_bootstrap("a", ["a", "b", "c"], present | {"b": Candidate("b", "b#1", "y", "old")}, "")
    assert not should_bootstrap("a", ["a", "b", "c"], present, "old")
