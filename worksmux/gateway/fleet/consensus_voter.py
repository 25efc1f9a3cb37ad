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

from ...consensus import raft, steps
from ...consensus import replication as follow
from ...consensus.entries import CHANGE, Base, Seats, front_of
from ...consensus.state_machine import Book, Put
from ...net import clock
from ...net.loop import Reactor
from ...policy.hashing import mix
from ...settings.fleet import FleetSettings
from .consensus_disk import CouncilDisk
from .core_timers import CoreTimers
from .peers_link import ToSeat

LOG = structlog.get_logger()
LONGEST_LOG = 1000  # entries, from which the log is cut
FIRST, FOUNDED = 1, 4  # streams of chance: of the core at the start, and of a council that is founded here


class CouncilSeat:
    """`send(front, message)` goes to another front; `on_step` is called after each step, `on_leader` as a
    seat begins to lead, this one or another."""

    def __init__(
        self,
        front: str,
        fleet: FleetSettings,
        reactor: Reactor,
        seed: int,
        disk: CouncilDisk,
        timers: CoreTimers,
        send: Callable[[str, ToSeat], None],
    ) -> None:
        self.fleet, self.reactor, self.seed, self.disk, self.timers = fleet, reactor, seed, disk, timers
        self.send = send
        self.name = f"{front}#{disk.own.mark}"
        self.raft = self._core(FIRST)
        self.book = Book()
        self.book.take_whole(disk.saved.base)
        self.led_since = -inf
        self.contradictions = 0
        self.ended = False
        self.on_step: Callable[[], None] = lambda: None
        self.on_leader: Callable[[], None] = lambda: None
        self._synced_number = 0  # the last write that is on disk
        self._held: deque[tuple[int, list[tuple[str, Any]]]] = deque()  # messages that wait for one
        self._marked = -1, 0  # of the book: index and mark

    def _core(self, stream: int) -> raft.Raft:
        figures = steps.Figures(self.fleet.beat, self.fleet.patience)
        return raft.Raft(self.name, self.disk.saved, figures, mix(self.seed, stream), clock.now())

    @property
    def voters(self) -> tuple[str, ...]:
        return self.raft.seats.voters

    @property
    def leads(self) -> bool:
        """Surely, and with all that was agreed before it applied."""
        return self.raft.leads_surely(clock.now()) and self.raft.commit >= self.raft.began

    def agreed(self) -> follow.Agreed:
        """What this seat has applied, for this front's follower."""
        if self.book.index != self._marked[0]:
            self._marked = self.book.index, self.book.mark()
        age = self.raft.quorum_age(clock.now()) if self.leads else -1.0
        leader = front_of(self.raft.leader)
        return follow.Agreed(self.book.index, self._marked[1], self.book.chapters, age, leader)

    def found(self) -> None:
        """Begins a council of this seat alone."""
        LOG.info("the council is founded", by=self.name)
        self.disk.found(Base(seats=Seats((self.name,))))
        self.raft = self._core(FOUNDED)
        self._synced_number = 0
        self._held.clear()
        self.step(steps.Tick())

    def propose(self, put: Put) -> None:
        self.step(steps.Propose(CHANGE, msgspec.msgpack.encode(put)))

    def step(self, what: steps.What) -> None:
        if self.ended:
            return
        out = self.raft.step(clock.now(), what)
        for write in out.writes:
            self.disk.put(write, self._synced)
        if out.messages and self.raft.number > self._synced_number:
            self._held.append((self.raft.number, out.messages))
        else:
            self._post(out.messages)
        for fact in out.facts:
            self._fact(fact)
        self.on_step()
        self.timers.ring_at("raft", self.raft.due, lambda: self.step(steps.Tick()))

    def _synced(self, number: int) -> None:
        if self.ended:
            return
        self._synced_number = max(self._synced_number, number)
        while self._held and self._held[0][0] <= self._synced_number:
            self._post(self._held.popleft()[1])
        self.step(steps.Written(number))

    def _post(self, messages: list[tuple[str, Any]]) -> None:
        for seat, message in messages:
            self.send(front_of(seat), ToSeat(self.name, seat, message))

    def _fact(self, fact: steps.Fact) -> None:
        match fact:
            case steps.Committed(entries):
                for entry in entries:
                    self.book.apply(entry)
                if self.book.index - self.raft.log.base.index > LONGEST_LOG:
                    compact = steps.Compact(self.book.index, self.book.whole())
                    self.reactor.callLater(0, self.step, compact)
            case steps.Rebased(base):
                self.book.take_whole(base)
            case steps.Leads(term, seat):
                LOG.info("council", term=term, leader=front_of(seat), seats=list(self.voters))
                self.led_since = clock.now()
                self.on_leader()
            case steps.Odd(text):
                LOG.error("the council contradicts itself", what=text)
                self.contradictions += 1
            case _:
                pass

    def close(self) -> None:
        self.ended = True
        self.disk.close()
