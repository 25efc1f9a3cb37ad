"""I/O of this node's consensus voter: its log on disk and messages to other voters. Makes no decisions.

The Raft core is stepped with each input and the time. The messages of a step are sent only after all writes
up to that step are on disk, because a vote or an acknowledgement must be durable before others receive it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

import msgspec
import structlog

from ...consensus import inputs, outputs, raft, replica
from ...consensus.entries import COMMAND, Configuration, Snapshot, node_of
from ...consensus.messages import Message
from ...consensus.state_machine import KeyValueState, Put
from ...consensus.voter import RaftTiming
from ...net import clock
from ...net.loop import Reactor
from ...policy.hashing import mix
from ...settings.fleet import FleetSettings
from .consensus_disk import ConsensusDisk
from .core_timers import CoreTimers
from .message_transport import ConsensusMessage

LOG = structlog.get_logger()
MAX_LOG_ENTRIES = 1000  # applied since the last snapshot; a longer log is compacted
RESTART_SEED, BOOTSTRAP_SEED = (
    1,
    4,
)  # random streams of the core: after a start, and in a group bootstrapped here


@dataclass(frozen=True, slots=True)
class _UnsentMessages:
    """Messages, with their receivers, that wait for a write to be synced."""

    write_number: int
    messages: list[tuple[str, Message]]


@dataclass(frozen=True, slots=True)
class _StateHash:
    """The hash of the applied state at an index, computed once for each index."""

    index: int
    value: int


class ConsensusVoter:
    """The Raft core of this node with its disk, timer and messages.

    `send(node, message)` sends to the node of another voter. `on_step` is called after each step,
    `on_leader_change` when a new leader is known, which may be this voter.
    """

    def __init__(
        self,
        node: str,
        fleet: FleetSettings,
        reactor: Reactor,
        seed: int,
        disk: ConsensusDisk,
        timers: CoreTimers,
        send: Callable[[str, ConsensusMessage], None],
    ) -> None:
        self._fleet, self._reactor, self._seed, self._disk, self._timers = fleet, reactor, seed, disk, timers
        self._send = send
        self.name = f"{node}#{disk.identity.disk_id}"
        self.raft = self._new_core(RESTART_SEED)
        self.state = KeyValueState()
        self.state.restore(disk.saved.snapshot)
        self.leader_since_ms = -inf  # when the current leader became known
        self.invariant_violations = 0
        self.on_step: Callable[[], None] = lambda: None
        self.on_leader_change: Callable[[], None] = lambda: None
        self._closed = False
        self._synced_write = 0
        self._unsent: deque[_UnsentMessages] = deque()
        self._state_hash = _StateHash(-1, 0)

    def _new_core(self, stream: int) -> raft.Raft:
        timing = RaftTiming(self._fleet.heartbeat_ms, self._fleet.election_timeout_ms)
        return raft.Raft(self.name, self._disk.saved, timing, mix(self._seed, stream), clock.now())

    @property
    def voters(self) -> tuple[str, ...]:
        """The names of all voters in the newest configuration."""
        return self.raft.configuration.voters

    @property
    def is_leader(self) -> bool:
        """Whether this voter leads with a lease and has applied all entries committed before its term."""
        return self.raft.holds_lease(clock.now()) and self.raft.commit_index >= self.raft.term_start_index

    def applied_state(self) -> replica.LocalVoterApplied:
        """Returns the applied state of this voter as an input of this node's replica."""
        if self.state.index != self._state_hash.index:
            self._state_hash = _StateHash(self.state.index, self.state.state_hash())
        age_ms = self.raft.quorum_contact_age(clock.now()) if self.is_leader else replica.UNKNOWN_AGE
        leader = node_of(self.raft.leader)
        return replica.LocalVoterApplied(
            self.state.index, self._state_hash.value, self.state.values, age_ms, leader
        )

    def bootstrap(self) -> None:
        """Bootstraps a group with this voter as its only member."""
        LOG.info("consensus group bootstrapped", voter=self.name)
        self._disk.bootstrap(Snapshot(configuration=Configuration((self.name,))))
        self.raft = self._new_core(BOOTSTRAP_SEED)
        self._synced_write = 0
        self._unsent.clear()
        self.step(inputs.Tick())

    def propose(self, put: Put) -> None:
        """Proposes a change of the replicated state; it has no effect unless this voter leads."""
        self.step(inputs.Propose(COMMAND, msgspec.msgpack.encode(put)))

    def step(self, raft_input: inputs.Input) -> None:
        """Steps the core, and performs the writes, messages and events of its output."""
        if self._closed:
            return
        output = self.raft.step(clock.now(), raft_input)
        for write in output.writes:
            self._disk.put(write, self._on_synced)
        if output.messages and self.raft.last_write_number > self._synced_write:
            self._unsent.append(_UnsentMessages(self.raft.last_write_number, output.messages))
        else:
            self._send_all(output.messages)
        for event in output.events:
            self._on_event(event)
        self.on_step()
        self._timers.schedule("raft", self.raft.due, lambda: self.step(inputs.Tick()))

    def _on_synced(self, write_number: int) -> None:
        if self._closed:
            return
        self._synced_write = max(self._synced_write, write_number)
        while self._unsent and self._unsent[0].write_number <= self._synced_write:
            self._send_all(self._unsent.popleft().messages)
        self.step(inputs.WritesSynced(write_number))

    def _send_all(self, messages: list[tuple[str, Message]]) -> None:
        for receiver, message in messages:
            self._send(node_of(receiver), ConsensusMessage(self.name, receiver, message))

    def _on_event(self, event: outputs.Event) -> None:
        match event:
            case outputs.EntriesCommitted(entries):
                for entry in entries:
                    self.state.apply(entry)
                self._compact_long_log()
            case outputs.SnapshotInstalled(snapshot):
                self.state.restore(snapshot)
            case outputs.LeaderChanged(term, leader):
                LOG.info(
                    "consensus leader changed", term=term, leader=node_of(leader), voters=list(self.voters)
                )
                self.leader_since_ms = clock.now()
                self.on_leader_change()
            case outputs.InvariantViolation(text):
                LOG.error("consensus invariant violated", violation=text)
                self.invariant_violations += 1
            case _:
                pass

    def _compact_long_log(self) -> None:
        if self.state.index - self.raft.log.snapshot.index > MAX_LOG_ENTRIES:
            compact = inputs.Compact(self.state.index, self.state.snapshot_data())
            self._reactor.callLater(0, self.step, compact)  # not within a step of the core

    def close(self) -> None:
        """Stops the voter and closes its disk."""
        self._closed = True
        self._disk.close()
