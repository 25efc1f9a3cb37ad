"""Tests which configuration comes next, and when a group is bootstrapped."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from worksmux.consensus.entries import Configuration, node_of
from worksmux.consensus.reconfiguration import Candidate, next_configuration, should_bootstrap


def candidates(names: str, zones: str = "xyz") -> dict[str, Candidate]:
    """Returns one candidate per letter of `names`, in the zones in turn."""
    return {
        name: Candidate(name, f"{name}#1", zones[position % len(zones)])
        for position, name in enumerate(names)
    }


def all_changes(
    configuration: Configuration, present: dict[str, Candidate], target_size: int = 3, gone: str = ""
) -> list[Configuration]:
    """Returns all changes until none is needed. Each learner catches up at once."""
    changes = []
    while (
        change := next_configuration(configuration, present, target_size, gone.__contains__, lambda _: True)
    ) is not None:
        changes.append(change)
        configuration = change
        assert len(changes) < 30
    return changes


def test_group_grows_to_its_size_over_all_zones() -> None:
    changes = all_changes(Configuration(("a#1",)), candidates("abcdef"))
    zones = {
        candidate.zone
        for candidate in candidates("abcdef").values()
        if candidate.server in changes[-1].voters
    }
    assert zones == {"x", "y", "z"}
    assert len(changes[-1].voters) == 3 and not changes[-1].learners


def test_voter_is_replaced_only_once_its_node_is_gone_for_good() -> None:
    """A node is absent. Its voter is kept until the node counts as gone, and is then replaced."""
    present = candidates("abcd")
    del present["b"]
    configuration = Configuration(("a#1", "b#1", "c#1"))
    assert not all_changes(configuration, present)
    assert set(all_changes(configuration, present, gone="b")[-1].voters) == {"a#1", "c#1", "d#1"}


def test_node_back_with_another_disk_learns_before_it_votes() -> None:
    """A node lost its disk, and with it the votes that it gave.

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
    changes = all_changes(Configuration(("a#1", "b#1", "c#1")), present)
    assert {present[node_of(voter)].zone for voter in changes[-1].voters} == {"x", "y", "z"}


@settings(max_examples=200)
@given(
    st.sets(st.sampled_from("abcdefgh"), min_size=1),
    st.sets(st.sampled_from("abcdefgh"), min_size=1),
    st.sampled_from([1, 3, 5]),
    st.integers(1, 4),
)
def test_each_change_is_of_one_voter_and_changes_end(
    voters: set[str], present_names: set[str], target_size: int, zone_count: int
) -> None:
    present = {name: Candidate(name, f"{name}#1", "xyzw"[ord(name) % zone_count]) for name in present_names}
    configuration = Configuration(tuple(sorted(f"{name}#1" for name in voters)))
    for change in all_changes(configuration, present, target_size, "abcdefgh"):
        assert len(set(configuration.voters) ^ set(change.voters)) <= 1 and change.voters
        configuration = change
    assert len(configuration.voters) <= max(target_size, len(voters))


def test_no_second_group_is_bootstrapped_while_a_founder_knows_of_one() -> None:
    """The first founder lost its disk and starts again while the group still exists."""
    present = candidates("abc")
    assert should_bootstrap("a", ["a", "b", "c"], present, "")
    assert not should_bootstrap("a", ["a", "b", "c"], present | {"b": Candidate("b", "b#1", "y", "old")}, "")
    assert not should_bootstrap("a", ["a", "b", "c"], present, "old")
