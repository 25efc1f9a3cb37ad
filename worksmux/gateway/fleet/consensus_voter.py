"""The shell of this front's seat in the council: its log on disk and its messages to other seats.  It decides
nothing.

The Raft core is stepped with what came and the time.  Its messages leave once its writes, and all before
them, are on disk.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import inf
from typing import Any

import msgspec
import structlog

from ...consensus import inputs, outputs, raft
from ...consensus import replica as follow
from ...consensus.entries import COMMAND, Configuration, Snapshot, node_of
from ...consensus.state_machine import KeyValueState, Put
from ...consensus.voter import RaftTiming
from ...net import clock
from ...net.loop import Reactor
from ...policy.measure import mix
from ...settings.fleet import FleetSettings
from .consensus_disk import ConsensusDisk
from .core_timers import CoreTimers
from .message_transport import ConsensusMessage

LOG = structlog.get_logger()
LONGEST_LOG = 1000  # entries, from which the log is cut
FIRST, FOUNDED = 1, 4  # streams of chance: of the core at the start, and of a council that is founded here


class ConsensusVoter:
    """`send(front, message)` goes to another front; `on_step` is called after each step, `on_leader` as a
    seat begins to lead, this one or another."""

    def __init__(
        self,
        front: str,
        fleet: FleetSettings,
        reactor: Reactor,
        seed: int,
        disk: ConsensusDisk,
        timers: CoreTimers,
        send: Callable[[str, ConsensusMessage], None],
    ) -> None:
        self.fleet, self.reactor, self.seed, self.disk, self.timers = fleet, reactor, seed, disk, timers
        self.send = send
        self.name = f"{front}#{disk.own.mark}"
        self.raft = self._core(FIRST)
        self.book = KeyValueState()
        self.book.restore(disk.saved.snapshot)
        self.led_since = -inf
        self.contradictions = 0
        self.ended = False
        self.on_step: Callable[[], None] = lambda: None
        self.on_leader: Callable[[], None] = lambda: None
        self._synced_number = 0  # the last write that is on disk
        self._held: deque[tuple[int, list[tuple[str, Any]]]] = deque()  # messages that wait for one
        self._marked = -1, 0  # of the book: index and mark

    def _core(self, stream: int) -> raft.Raft:
        figures = RaftTiming(self.fleet.beat, self.fleet.patience)
        return raft.Raft(self.name, self.disk.saved, figures, mix(self.seed, stream), clock.now())

    @property
    def voters(self) -> tuple[str, ...]:
        return self.raft.configuration.voters

    @property
    def leads(self) -> bool:
        """Surely, and with all that was agreed before it applied."""
        return self.raft.holds_lease(clock.now()) and self.raft.commit_index >= self.raft.term_start_index

    def agreed(self) -> follow.LocalVoterApplied:
        """What this seat has applied, for this front's follower."""
        if self.book.index != self._marked[0]:
            self._marked = self.book.index, self.book.state_hash()
        age = self.raft.quorum_contact_age(clock.now()) if self.leads else -1.0
        leader = node_of(self.raft.leader)
        return follow.LocalVoterApplied(self.book.index, self._marked[1], self.book.values, age, leader)

    def found(self) -> None:
        """Begins a council of this seat alone."""
        LOG.info("the council is founded", by=self.name)
        self.disk.found(Snapshot(configuration=Configuration((self.name,))))
        self.raft = self._core(FOUNDED)
        self._synced_number = 0
        self._held.clear()
        self.step(inputs.Tick())

    def propose(self, put: Put) -> None:
        self.step(inputs.Propose(COMMAND, msgspec.msgpack.encode(put)))

    def step(self, what: inputs.Input) -> None:
        if self.ended:
            return
        out = self.raft.step(clock.now(), what)
        for write in out.writes:
            self.disk.put(write, self._synced)
        if out.messages and self.raft.last_write_number > self._synced_number:
            self._held.append((self.raft.last_write_number, out.messages))
        else:
            self._post(out.messages)
        for fact in out.events:
            self._fact(fact)
        self.on_step()
        self.timers.ring_at("raft", self.raft.due, lambda: self.step(inputs.Tick()))

    def _synced(self, number: int) -> None:
        if self.ended:
            return
        self._synced_number = max(self._synced_number, number)
        while self._held and self._held[0][0] <= self._synced_number:
            self._post(self._held.popleft()[1])
        self.step(inputs.WritesSynced(number))

    def _post(self, messages: list[tuple[str, Any]]) -> None:
        for seat, message in messages:
            self.send(node_of(seat), ConsensusMessage(self.name, seat, message))

    def _fact(self, fact: outputs.Event) -> None:
        match fact:
            case outputs.EntriesCommitted(entries):
                for entry in entries:
                    self.book.apply(entry)
                if self.book.index - self.raft.log.snapshot.index > LONGEST_LOG:
                    compact = inputs.Compact(self.book.index, self.book.snapshot_data())
                    self.reactor.callLater(0, self.step, compact)
            case outputs.SnapshotInstalled(base):
                self.book.restore(base)
            case outputs.LeaderChanged(term, seat):
                LOG.info("council", term=term, leader=node_of(seat), seats=list(self.voters))
                self.led_since = clock.now()
                self.on_leader()
            case outputs.InvariantViolation(text):
                LOG.error("the council contradicts itself", what=text)
                self.contradictions += 1
            case _:
                pass

    def close(self) -> None:
        self.ended = True
        self.disk.close()
