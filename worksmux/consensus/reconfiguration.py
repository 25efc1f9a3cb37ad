"""The next configuration: the leader brings the group to its target size, spread over the zones.

The functions are pure and plan one change at a time. A voter is replaced if its node is gone for good, or has
returned with another disk. Its replacement joins as a learner and votes once it has caught up (thesis
§4.2.1). Without a replacement the voter stays, as a smaller group would keep fewer copies. A group is
bootstrapped once, by the first of the founders in the settings, when all founders are present and none knows
of a group.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from .entries import Configuration, node_of


@dataclass(frozen=True)
class Candidate:
    """A node that could be a member: it is present and has a disk.

    `group` is the id of the Raft group that it knows of, empty if none.
    """

    node: str
    server: str
    zone: str
    group: str = ""


def should_bootstrap(
    node: str, founders: list[str], present: Mapping[str, Candidate], known_group: str
) -> bool:
    """Whether this node bootstraps the group now.

    Two groups would each have a leader and a failover plan of its own. A founder that starts late or alone
    cannot cause that: the first founder waits for all others, and does nothing if one of those present knows
    of a group.

    >>> present = {name: Candidate(name, name + "#1", "z") for name in "abc"}
    >>> [should_bootstrap(name, ["a", "b", "c"], present, "") for name in "ab"]
    [True, False]
    >>> should_bootstrap("a", ["a", "b"], {"a": present["a"]}, "")
    False
    """
    if not founders or founders[0] != node or known_group:
        return False
    if any(founder not in present for founder in founders):
        return False
    return not any(candidate.group for candidate in present.values())


def next_configuration(
    configuration: Configuration,
    candidates: Mapping[str, Candidate],
    target_size: int,
    is_gone: Callable[[str], bool],
    caught_up: Callable[[str], bool],
) -> Configuration | None:
    """Returns the next configuration, or None if no change is needed.

    Args:
        candidates: by node, those that are present.
        target_size: the wanted number of voters.
        is_gone: whether a node has been absent for so long that its voter is replaced.
        caught_up: whether a learner is close enough to the end of the log to vote.
    """

    def is_lost(server: str) -> bool:
        candidate = candidates.get(node_of(server))
        return candidate.server != server if candidate else is_gone(node_of(server))

    voters = configuration.voters
    lost = [voter for voter in voters if is_lost(voter)]
    kept = [voter for voter in voters if voter not in lost]
    learners = tuple(learner for learner in configuration.learners if not is_lost(learner))
    ready = [learner for learner in learners if caught_up(learner)]
    size = _reachable_size(target_size, len(candidates), len(voters))

    # The lost voter is removed only once a replacement has caught up, so the group is short only briefly.
    if lost and len(voters) > 1 and (ready or len(voters) > target_size):
        return Configuration(_without(voters, lost[0]), learners)
    if len(kept) < size:
        return _grow(configuration, kept, learners, ready, candidates)
    if len(kept) > size:
        return Configuration(_without(voters, _most_redundant(kept, candidates)), ())
    return _spread(configuration, kept, learners, ready, candidates)


def _reachable_size(target_size: int, present: int, voters: int) -> int:
    """Returns the target size as far as the present nodes allow it.

    It is an odd number of the present nodes, but not fewer than the voters there are. One voter more than an
    odd number would raise the quorum and tolerate no further failure.
    """
    odd_size = present if present % 2 else present - 1
    return max(1, min(target_size, max(odd_size, voters)))


def _grow(
    configuration: Configuration,
    kept: list[str],
    learners: tuple[str, ...],
    ready: list[str],
    candidates: Mapping[str, Candidate],
) -> Configuration | None:
    """Adds a voter: a learner that has caught up is promoted, else a new learner is added."""
    if ready:
        return _promote(configuration, learners, ready[0])
    added = "" if learners else _best_addition(kept, candidates)
    if added:
        return Configuration(configuration.voters, (added,))
    return _with_learners(configuration, learners)


def _spread(
    configuration: Configuration,
    kept: list[str],
    learners: tuple[str, ...],
    ready: list[str],
    candidates: Mapping[str, Candidate],
) -> Configuration | None:
    """Adds a voter in a zone without one. The zone that has two gives one up afterwards."""
    added = _in_uncovered_zone(kept, candidates)
    if not added:
        return _with_learners(configuration, ())
    if added in ready:
        return _promote(configuration, learners, added)
    if added in learners:
        return None  # it is still catching up
    return Configuration(configuration.voters, (added,))


def _promote(configuration: Configuration, learners: tuple[str, ...], learner: str) -> Configuration:
    return Configuration((*configuration.voters, learner), _without(learners, learner))


def _with_learners(configuration: Configuration, learners: tuple[str, ...]) -> Configuration | None:
    if learners == configuration.learners:
        return None
    return Configuration(configuration.voters, learners)


def _without(servers: tuple[str, ...], removed: str) -> tuple[str, ...]:
    return tuple(server for server in servers if server != removed)


def _voters_by_zone(voters: list[str], candidates: Mapping[str, Candidate]) -> Counter[str]:
    return Counter(candidates[node_of(voter)].zone for voter in voters if node_of(voter) in candidates)


def _available(voters: list[str], candidates: Mapping[str, Candidate]) -> list[Candidate]:
    taken = {node_of(voter) for voter in voters}
    return [candidate for candidate in candidates.values() if candidate.node not in taken]


def _best_addition(voters: list[str], candidates: Mapping[str, Candidate]) -> str:
    """Returns the server to add, in the zone with the fewest voters; empty if none is available."""
    by_zone = _voters_by_zone(voters, candidates)
    available = _available(voters, candidates)
    if not available:
        return ""
    return min(available, key=lambda candidate: (by_zone[candidate.zone], candidate.node)).server


def _most_redundant(voters: list[str], candidates: Mapping[str, Candidate]) -> str:
    """Returns the voter to remove, in the zone with the most voters."""
    by_zone = _voters_by_zone(voters, candidates)
    present = [voter for voter in voters if node_of(voter) in candidates]
    if not present:
        return max(voters)
    return max(present, key=lambda voter: (by_zone[candidates[node_of(voter)].zone], voter))


def _in_uncovered_zone(voters: list[str], candidates: Mapping[str, Candidate]) -> str:
    """Returns a server in a zone without voters if another zone has two or more; empty otherwise."""
    by_zone = _voters_by_zone(voters, candidates)
    if max(by_zone.values(), default=0) < 2:
        return ""
    available = [candidate for candidate in _available(voters, candidates) if not by_zone[candidate.zone]]
    if not available:
        return ""
    return min(available, key=lambda candidate: candidate.node).server
