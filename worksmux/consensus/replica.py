"""How every node replicates the committed state and holds a lease on it. Free of I/O and clock.

    output = replica.step(now, replica_input)

Times are milliseconds. Nodes form a tree under the leader's node (`replication_tree`). A change notice runs
down the tree: whoever gets one pulls from its parent and notifies the nodes that lately pulled from it.
State is taken only from the reply to a pull, because of the lease: a reply says how old its knowledge is,
and the age counts from when the pull was sent, so that a delayed message cannot make it look younger.

    known as of = (when the pull was sent) - (age in the reply) * (1 + MAX_CLOCK_DRIFT)

Everything that was committed before that moment is known here. Reports run up the same tree, summed on
their way.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from ..policy.random_source import RandomSource
from .inputs import Tick
from .replication_messages import ChangeNotice, Message, PullReply, PullRequest
from .replication_tree import parent_of, place_of
from .state_machine import VersionedValue
from .voter import MAX_CLOCK_DRIFT

PULLS_PER_LEASE = 8
CHILD_TTL_PULLS = 3.0  # pull intervals after which a node that no longer pulls gets no more notices
MAX_FAILED_PULLS = 2  # pulls of the parent without newer knowledge, before other nodes are asked too
UNKNOWN_AGE = -1.0


@dataclass(frozen=True, slots=True)
class MessageReceived:
    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class TopologyChanged:
    """The nodes that are present, without this one, and the nodes of all voters."""

    others: frozenset[str]
    voters: frozenset[str]


@dataclass(frozen=True, slots=True)
class LocalVoterApplied:
    """This node's own voter has applied up to `index`.

    `age_ms` is as in `PullReply` if the voter leads, else negative.
    """

    index: int
    state_hash: int
    values: dict[str, VersionedValue]
    age_ms: float
    leader: str


Input = Tick | MessageReceived | TopologyChanged | LocalVoterApplied


@dataclass(frozen=True, slots=True)
class ValuesChanged:
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StateMismatch:
    """Another node holds a different state at the same index. Neither takes anything from the other."""

    node: str
    index: int


Event = ValuesChanged | StateMismatch


@dataclass(slots=True)
class Output:
    """`messages` are (receiver's node, message)."""

    messages: list[tuple[str, Message]] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)


@dataclass(slots=True)
class Child:
    """A node that pulls from this one."""

    last_pull_at: float
    report: bytes


@dataclass(slots=True)
class PendingPull:
    node: str
    sent_at: float


class Replica:
    """
    Args:
        lease_ms: how old knowledge may be that is acted on.
        build_report: this node's report, from those of the nodes below it.
    """

    def __init__(
        self,
        node: str,
        lease_ms: float,
        seed: int,
        now: float,
        build_report: Callable[[list[bytes]], bytes] = lambda _: b"",
    ) -> None:
        self.node, self.lease_ms, self.random, self.build_report = (
            node,
            lease_ms,
            RandomSource(seed),
            build_report,
        )
        self.pull_interval_ms = lease_ms / PULLS_PER_LEASE
        self.index, self.state_hash = 0, 0
        self.values: dict[str, VersionedValue] = {}
        self.known_as_of = -inf  # on this node's clock: everything committed by then is known
        self.leader = ""
        self.leads = False  # this node's own voter does
        self.others: frozenset[str] = frozenset()
        self.voters: frozenset[str] = frozenset()
        self.parent = ""
        self.children: dict[str, Child] = {}
        self.pending_pulls: dict[int, PendingPull] = {}
        self.last_pull_number = 0
        self.failed_pulls = 0
        self.due = now + self.pull_interval_ms * self.random.share()

    def holds_lease(self, now: float) -> bool:
        return now - self.known_as_of < self.lease_ms

    def lease_expires_at(self) -> float:
        return self.known_as_of + self.lease_ms

    def child_reports(self) -> list[bytes]:
        """The reports of the nodes below this one.

        Failure: two nodes that see the tree differently can take each other for their child, and reports
        that run in circles grow without bound. So voters' reports go to the leader alone, and others' only
        to nodes of a lower place: along those no circle closes.
        """
        if self.leads:
            return [child.report for child in self.children.values() if child.report]
        is_voter, own_place = self.node in self.voters, place_of(self.node)
        return [
            child.report
            for node, child in self.children.items()
            if child.report and node not in self.voters and (is_voter or place_of(node) > own_place)
        ]

    def step(self, now: float, replica_input: Input) -> Output:
        """Takes one input and returns what to send and to report."""
        output = Output()
        match replica_input:
            case Tick():
                if now >= self.due:
                    self._pull_round(now, output)
            case TopologyChanged(others, voters):
                self.others, self.voters = others, voters
                self.parent = parent_of(self.node, others, voters)
            case LocalVoterApplied():
                self._on_voter_applied(now, replica_input, output)
            case MessageReceived(sender, PullRequest() as request):
                self._on_pull_request(now, sender, request, output)
            case MessageReceived(sender, PullReply() as reply):
                self._on_pull_reply(now, sender, reply, output)
            case MessageReceived(sender, ChangeNotice()):
                if not self.leads and sender in self.others:
                    self._pull(now, sender, output)
        return output

    def _pull_round(self, now: float, output: Output) -> None:
        self.due = now + self.pull_interval_ms
        self._expire(now)
        if self.leads:
            self._notify_children(output)
            return
        parent = self._source()
        if parent:
            self._pull(now, parent, output)
        self.failed_pulls += 1
        if self.failed_pulls > MAX_FAILED_PULLS:
            # The tree may be broken above the parent: a voter is asked, and any node.
            for nodes in (self.voters & self.others, self.others):
                for node in self.random.sample(sorted(nodes - {parent}), 1):
                    self._pull(now, node, output)

    def _expire(self, now: float) -> None:
        oldest_child = now - CHILD_TTL_PULLS * self.pull_interval_ms
        self.children = {
            node: child for node, child in self.children.items() if child.last_pull_at > oldest_child
        }
        oldest_pull = now - 2 * self.lease_ms
        self.pending_pulls = {
            number: pull for number, pull in self.pending_pulls.items() if pull.sent_at > oldest_pull
        }

    def _source(self) -> str:
        """The node to pull from: the leader for a voter, the parent in the tree for all others."""
        if self.node in self.voters and self.leader in self.others:
            return self.leader
        return self.parent

    def _pull(self, now: float, node: str, output: Output) -> None:
        self.last_pull_number += 1
        self.pending_pulls[self.last_pull_number] = PendingPull(node, now)
        report = self.build_report(self.child_reports()) if node == self._source() else b""
        request = PullRequest(self.last_pull_number, self.index, self.state_hash, report)
        output.messages.append((node, request))

    def _on_pull_request(self, now: float, sender: str, request: PullRequest, output: Output) -> None:
        if sender in self.others:
            self.children[sender] = Child(now, request.report)
        if self._mismatches(request.known_index, request.state_hash):
            output.events.append(StateMismatch(sender, self.index))
            return
        age_ms = now - self.known_as_of
        changed = {key: value for key, value in self.values.items() if value.index > request.known_index}
        reply = PullReply(
            request.number,
            self.index,
            self.state_hash,
            age_ms if age_ms < inf else UNKNOWN_AGE,
            self.leader,
            changed,
        )
        output.messages.append((sender, reply))

    def _mismatches(self, index: int, state_hash: int) -> bool:
        return index == self.index != 0 and state_hash != self.state_hash

    def _on_pull_reply(self, now: float, sender: str, reply: PullReply, output: Output) -> None:
        pull = self.pending_pulls.pop(reply.number, None)
        if pull is None or pull.node != sender or self.leads:
            return  # unsolicited or a duplicate
        if reply.index < self.index:
            return  # the sender lacks entries known here, so its age says nothing of what is newer
        if self._mismatches(reply.index, reply.state_hash):
            output.events.append(StateMismatch(sender, self.index))
            return
        if reply.index > self.index:
            self.values = {**self.values, **reply.values}
            self.index, self.state_hash = reply.index, reply.state_hash
            output.events.append(ValuesChanged(tuple(sorted(reply.values))))
        if reply.age_ms < 0:
            return
        known_as_of = pull.sent_at - reply.age_ms * (1 + MAX_CLOCK_DRIFT)
        if known_as_of > self.known_as_of:
            self.known_as_of, self.failed_pulls, self.leader = known_as_of, 0, reply.leader
            self._notify_children(output)

    def _on_voter_applied(self, now: float, applied: LocalVoterApplied, output: Output) -> None:
        led_before, self.leads = self.leads, applied.age_ms >= 0
        if applied.index > self.index:
            output.events.append(ValuesChanged(self._newer_keys(applied.values)))
            self.index, self.state_hash = applied.index, applied.state_hash
            self.values = dict(applied.values)
        if applied.leader:
            self.leader = applied.leader
        if self.leads:
            known_as_of = now - applied.age_ms * (1 + MAX_CLOCK_DRIFT)
            self.known_as_of = max(self.known_as_of, known_as_of)
            if output.events or not led_before:
                self._notify_children(output)

    def _newer_keys(self, values: dict[str, VersionedValue]) -> tuple[str, ...]:
        return tuple(
            sorted(
                key
                for key, value in values.items()
                if key not in self.values or value.index > self.values[key].index
            )
        )

    def _notify_children(self, output: Output) -> None:
        for node in self.children:
            output.messages.append((node, ChangeNotice(self.index)))
