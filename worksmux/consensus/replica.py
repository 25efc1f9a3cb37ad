"""A node's replica of the committed state, and its lease on it. Does no I/O and reads no clock.

    output = replica.step(now, replica_input)

Times are milliseconds. Nodes form a tree below the leader's node (`replication_tree`). A change notice is
passed down the tree: a node that receives one pulls from its parent and notifies the nodes that recently
pulled from it. State is taken only from the reply to a pull, because of the lease. A reply states the age of
its knowledge, and the age counts from when the pull was sent. So a delayed message cannot make knowledge look
younger than it is.

    known as of = (when the pull was sent) - (age in the reply) * (1 + MAX_CLOCK_DRIFT)

Everything that was committed before that moment is known here. Reports are passed up the same tree, and
summed on the way.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from ..policy.random_source import RandomSource
from .inputs import Tick
from .replication_messages import ChangeNotice, Message, PullReply, PullRequest
from .replication_tree import parent_of, tree_order
from .state_machine import VersionedValue
from .voter import MAX_CLOCK_DRIFT

PULLS_PER_LEASE = 8
CHILD_TTL_PULLS = 3.0  # pull intervals after which a node that no longer pulls gets no more notices
MAX_FAILED_PULLS = 2  # rounds without newer knowledge, beyond which other nodes are pulled from too
UNKNOWN_AGE = -1.0


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Carries a message from another node."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class TopologyChanged:
    """Carries the nodes that are present, without this one, and the nodes of all voters."""

    others: frozenset[str]
    voters: frozenset[str]


@dataclass(frozen=True, slots=True)
class LocalVoterApplied:
    """Reports that this node's own voter has applied the log up to `index`.

    `age_ms` is as in `PullReply` if the voter leads, and negative otherwise.
    """

    index: int
    state_hash: int
    values: dict[str, VersionedValue]
    age_ms: float
    leader: str


Input = Tick | MessageReceived | TopologyChanged | LocalVoterApplied


@dataclass(frozen=True, slots=True)
class ValuesChanged:
    """Reports the keys whose values have changed."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StateMismatch:
    """Reports that another node holds a different state at the same index.

    Neither node takes state from the other.
    """

    node: str
    index: int


Event = ValuesChanged | StateMismatch


@dataclass(slots=True)
class Output:
    """Collects the messages and events of one step. `messages` are pairs (receiver's node, message)."""

    messages: list[tuple[str, Message]] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)


@dataclass(slots=True)
class Child:
    """A node that pulls from this one, with its last report."""

    last_pull_at: float
    report: bytes


@dataclass(slots=True)
class PendingPull:
    """A pull that was sent and not answered yet."""

    node: str
    sent_at: float


class Replica:
    """One node's copy of the committed state.

    Args:
        lease_ms: the maximum age of knowledge that is acted on.
        build_report: builds this node's report from those of the nodes below it.
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
        self.known_as_of = -inf  # by this node's clock; everything committed by then is known
        self.leader = ""
        self.leads = False  # whether this node's own voter is the leader
        self.others: frozenset[str] = frozenset()
        self.voters: frozenset[str] = frozenset()
        self.parent = ""
        self.children: dict[str, Child] = {}
        self.pending_pulls: dict[int, PendingPull] = {}
        self.last_pull_number = 0
        self.failed_pulls = 0
        self.due = now + self.pull_interval_ms * self.random.share()

    def holds_lease(self, now: float) -> bool:
        """Whether the known state is recent enough to act on."""
        return now - self.known_as_of < self.lease_ms

    def lease_expires_at(self) -> float:
        """Returns when the lease ends unless it is renewed."""
        return self.known_as_of + self.lease_ms

    def child_reports(self) -> list[bytes]:
        """Returns the reports of the nodes below this one.

        Two nodes that see the tree differently can take each other for a child. Reports would then circulate
        and grow without bound. So voters' reports are counted by the leader alone, and those of other nodes
        only by voters and by nodes that come before them in the order of the tree. No cycle is possible along
        that order.
        """
        if self.leads:
            return [child.report for child in self.children.values() if child.report]
        is_voter, own_order = self.node in self.voters, tree_order(self.node)
        return [
            child.report
            for node, child in self.children.items()
            if child.report and node not in self.voters and (is_voter or tree_order(node) > own_order)
        ]

    def step(self, now: float, replica_input: Input) -> Output:
        """Processes one input and returns the messages to send and the events to report."""
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
        parent = self._pull_source()
        if parent:
            self._pull(now, parent, output)
        self.failed_pulls += 1
        if self.failed_pulls > MAX_FAILED_PULLS:
            # The tree may be broken above the parent, so it pulls from a random voter and a random node.
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

    def _pull_source(self) -> str:
        """Returns the node to pull from: the leader for a voter, the parent in the tree for all others."""
        if self.node in self.voters and self.leader in self.others:
            return self.leader
        return self.parent

    def _pull(self, now: float, node: str, output: Output) -> None:
        self.last_pull_number += 1
        self.pending_pulls[self.last_pull_number] = PendingPull(node, now)
        report = self.build_report(self.child_reports()) if node == self._pull_source() else b""
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
            return  # the sender lacks entries known here, so its age does not apply to newer entries
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
