"""The council in simulated time: seats that crash between any two writes, lose disks, freeze and have
clocks of their own, over a network that loses, repeats, reorders and cuts.  What must always hold is
checked as it goes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ..consensus.entries import COMMAND, Configuration, Entry, PersistentState, Snapshot, StorageWrite
from ..consensus.inputs import Compact, Input, MessageReceived, Propose, ReadIndex, Tick, WritesSynced
from ..consensus.messages import Message
from ..consensus.outputs import (
    EntriesCommitted,
    Event,
    InvariantViolation,
    LeaderChanged,
    Output,
    ProposalAppended,
    ReadReady,
    Rejected,
    SnapshotInstalled,
)
from ..consensus.raft import Raft
from ..consensus.voter import RaftTiming, Role
from ..policy.hashing import mix
from ..policy.random_source import RandomSource
from .sim import Sim, Timer
from .wire import NetworkConditions, SimulatedNetwork

RaftFactory = Callable[[str, PersistentState, RaftTiming, int, float], Raft]


class InvariantViolationError(AssertionError):
    """Something that must always hold does not."""


@dataclass
class Disk:
    """What a seat has on disk."""

    saved: PersistentState = field(default_factory=PersistentState)

    def put(self, write: StorageWrite) -> None:
        saved = self.saved
        if write.hard_state is not None:
            saved.term, saved.voted_for = write.hard_state.term, write.hard_state.voted_for
        if write.truncate_from is not None:
            saved.entries = [entry for entry in saved.entries if entry.index < write.truncate_from]
        if write.snapshot is not None:
            saved.snapshot = write.snapshot
            saved.entries = [entry for entry in saved.entries if entry.index > write.snapshot.index]
        saved.entries += write.entries

    def read(self) -> PersistentState:
        return PersistentState(
            self.saved.term, self.saved.voted_for, self.saved.snapshot, list(self.saved.entries)
        )


class SimulatedVoter:
    """One seat and its disk.  Messages leave once the writes before them are on disk."""

    def __init__(self, world: ConsensusSimulation, name: str, disk: Disk) -> None:
        self.world, self.name, self.disk = world, name, disk
        chance = RandomSource(mix(world.seed, len(name) * 7919 + ord(name[0])))
        self.rate = 1 + world.drift * (2 * chance.share() - 1)
        self.zero = 1e6 * chance.share()
        self.raft: Raft | None = None
        self.timer: Timer | None = None
        self.starts = 0
        self.frozen = False
        self.waiting: list[tuple[StorageWrite | None, list[tuple[str, Message]]]] = []
        self.writing = False
        self.unheard: list[tuple[str, Message]] = []
        self.applied: dict[int, Entry] = {}
        self.data = b""

    @property
    def now(self) -> float:
        return self.zero + self.rate * self.world.sim.now

    def start(self) -> None:
        self.starts += 1
        self.waiting, self.writing, self.frozen, self.unheard = [], False, False, []
        self.raft = self.world.make(
            self.name,
            self.disk.read(),
            self.world.timing,
            mix(self.world.seed, self.starts * 31 + ord(self.name[0])),
            self.now,
        )
        self.world.network.listen(self.name, self.take)
        self.rest()

    def crash(self, lose_disk: bool = False) -> None:
        self.world.network.leave(self.name)
        self.raft = None
        if self.timer is not None:
            self.timer.cancel()
        if lose_disk:
            self.disk = Disk()

    def step(self, what: Input) -> Output:
        assert self.raft is not None
        out = self.raft.step(self.now, what)
        for write in out.writes[:-1]:
            self.waiting.append((write, []))
        self.waiting.append((out.writes[-1] if out.writes else None, out.messages))
        for fact in out.events:
            self.world.fact(self, fact)
        self.write_on()
        self.rest()
        return out

    def rest(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.raft is not None and self.raft.due < float("inf"):
            delay = max(0.0, (self.raft.due - self.now) / self.rate)
            self.timer = self.world.sim.after(delay + 0.01, self.ring)

    def ring(self) -> None:
        if not self.frozen and self.raft is not None:
            self.step(Tick())

    def write_on(self) -> None:
        """One write at a time; what needs none leaves at once."""
        while self.waiting and not self.writing:
            write, messages = self.waiting[0]
            if write is not None and self.world.writes_before_sends:
                self.writing = True
                delay = self.world.chance.share() * self.world.disk_ms
                self.world.sim.after(delay, self.written, self.starts)
                return
            self.waiting.pop(0)
            self.post(messages)
            if write is not None:  # an impatient shell: messages leave before the write
                self.world.sim.after(self.world.disk_ms, self.late_write, self.starts, write)
                self.step(WritesSynced(write.number))

    def falls(self) -> bool:
        """Whether the machine loses its power at this very write."""
        if self.world.chance.share() >= self.world.power_loss_share:
            return False
        self.crash()
        self.world.sim.after(500.0 * self.world.chance.share(), restart, self)
        return True

    def written(self, start: int) -> None:
        if start != self.starts or self.raft is None or self.falls():
            return
        self.writing = False
        write, messages = self.waiting.pop(0)
        assert write is not None
        self.disk.put(write)
        self.post(messages)
        self.step(WritesSynced(write.number))

    def late_write(self, start: int, write: StorageWrite) -> None:
        if start == self.starts and self.raft is not None and not self.falls():
            self.disk.put(write)

    def post(self, messages: list[tuple[str, Message]]) -> None:
        for seat, message in messages:
            self.world.network.send(self.name, seat, message)

    def take(self, sender: str, message: Message) -> None:
        if self.frozen:
            self.unheard.append((sender, message))
        elif self.raft is not None:
            self.step(MessageReceived(sender, message))

    def freeze(self) -> None:
        self.frozen = True

    def resume(self, reads_first: bool = False) -> None:
        """`reads_first`: it is asked to read before it has looked at the time."""
        if self.raft is None or not self.frozen:
            return
        self.frozen = False
        if reads_first:
            self.world.read(self.name)
        self.step(Tick())
        unheard, self.unheard = self.unheard, []
        for sender, message in unheard:
            self.take(sender, message)


class ConsensusSimulation:
    """Seats a, b, c and so on; every proposal, read and agreed entry is checked against the others."""

    def __init__(
        self,
        count: int = 3,
        seed: int = 1,
        make: RaftFactory = Raft,
        conditions: NetworkConditions | None = None,
        drift: float = 0.008,
        disk_ms: float = 3.0,
        writes_before_sends: bool = True,
    ) -> None:
        self.sim = Sim()
        self.sim.now = 1000.0
        self.seed, self.make, self.drift, self.disk_ms, self.writes_before_sends = (
            seed,
            make,
            drift,
            disk_ms,
            writes_before_sends,
        )
        self.chance = RandomSource(mix(seed, 17))
        self.network = SimulatedNetwork(self.sim, mix(seed, 3), conditions)
        self.timing = RaftTiming(60.0, 400.0)
        names = [chr(ord("a") + at) for at in range(count)]
        self.voters: dict[str, SimulatedVoter] = {}
        base = Snapshot(configuration=Configuration(tuple(names)))
        for name in names:
            self.voters[name] = SimulatedVoter(self, name, Disk(PersistentState(snapshot=base)))
        self.leaders: dict[int, set[str]] = {}
        self.agreed: dict[int, Entry] = {}
        self.token = 0
        self.proposed: dict[int, tuple[int, int]] = {}  # token: index and term
        self.acknowledged: dict[int, int] = {}  # token: index
        self.reads: dict[int, int] = {}  # token: the highest index acknowledged as it was asked
        self.read_count = self.rejected_count = 0
        self.power_loss_share = 0.0  # the part of writes at which the power fails
        for seat in self.voters.values():
            seat.start()

    def run(self, ms: float) -> None:
        self.sim.run(self.sim.now + ms)

    def leader(self) -> SimulatedVoter | None:
        leading = [
            seat
            for seat in self.voters.values()
            if seat.raft is not None and not seat.frozen and seat.raft.role is Role.LEADER
        ]
        return max(leading, key=lambda seat: seat.raft.term if seat.raft else 0, default=None)

    def wait_for_leader(self, within: float = 10_000.0) -> SimulatedVoter:
        """Runs until there is a leader that a majority follows."""
        end = self.sim.now + within
        while True:
            leader = self.leader()
            if (
                leader is not None
                and leader.raft is not None
                and leader.raft.holds_lease(leader.now)
                and leader.raft.commit_index >= leader.raft.term_start_index
            ):
                return leader
            assert self.sim.now < end, "no leader in time"
            self.run(20.0)

    def propose(self, name: str, data: bytes = b"x") -> int:
        self.token += 1
        self.voters[name].step(Propose(COMMAND, data + str(self.token).encode(), self.token))
        return self.token

    def read(self, name: str) -> None:
        self.token += 1
        self.reads[self.token] = max(self.acknowledged.values(), default=0)
        self.voters[name].step(ReadIndex(self.token))

    def fact(self, seat: SimulatedVoter, fact: Event) -> None:
        match fact:
            case LeaderChanged(term, leader) if leader == seat.name:
                self.leaders.setdefault(term, set()).add(leader)
                if len(self.leaders[term]) > 1:
                    raise InvariantViolationError(f"two leaders in term {term}: {sorted(self.leaders[term])}")
            case EntriesCommitted(entries):
                for entry in entries:
                    self.commits(seat, entry)
            case SnapshotInstalled(base):
                held = self.agreed.get(base.index)
                if held is None or held.digest != base.digest:
                    raise InvariantViolationError(
                        f"{seat.name} took a snapshot at {base.index} that was never agreed"
                    )
            case ProposalAppended(token, index, term):
                self.proposed[token] = index, term
            case ReadReady(token, index):
                self.read_count += 1
                if index < self.reads[token]:
                    raise InvariantViolationError(
                        f"{seat.name} read up to {index}, yet {self.reads[token]} was acknowledged"
                    )
            case Rejected():
                self.rejected_count += 1
            case InvariantViolation(text):
                raise InvariantViolationError(f"{seat.name}: {text}")
            case _:
                pass

    def commits(self, seat: SimulatedVoter, entry: Entry) -> None:
        held = self.agreed.setdefault(entry.index, entry)
        if held.digest != entry.digest:
            raise InvariantViolationError(f"{seat.name} agreed to another entry {entry.index}")
        if entry.index > 1 and entry.index - 1 not in self.agreed:
            raise InvariantViolationError(f"{seat.name} agreed to {entry.index} before the one before it")
        for token, (index, term) in list(self.proposed.items()):
            if index == entry.index:
                del self.proposed[token]
                if term == entry.term:
                    self.acknowledged[token] = index

    def final_check(self) -> None:
        """All seats that are up have the same, and hold all that was acknowledged."""
        for seat in self.voters.values():
            raft = seat.raft
            if raft is None:
                continue
            for index, entry in self.agreed.items():
                held = raft.log.get(index)
                if held is not None and index <= raft.commit_index and held.digest != entry.digest:
                    raise InvariantViolationError(f"{seat.name} holds another entry {index}")
        up = [seat.raft for seat in self.voters.values() if seat.raft is not None]
        most = max(raft.commit_index for raft in up)
        last = max(self.acknowledged.values(), default=0)
        if most < last:
            raise InvariantViolationError(f"{last} was acknowledged, and only {most} is left")

    def compact(self, name: str) -> None:
        raft = self.voters[name].raft
        if raft is not None and raft.commit_index > raft.log.snapshot.index + 5:
            data = msgspec.msgpack.encode(
                [
                    self.agreed[index].digest
                    for index in range(1, raft.commit_index + 1)
                    if index in self.agreed
                ]
            )
            self.voters[name].step(Compact(raft.commit_index, data))


def run_random_faults(
    seed: int,
    make: RaftFactory = Raft,
    steps: int = 120,
    writes_before_sends: bool = True,
    seats: int = 0,
    power_loss_share: float = 0.04,
) -> ConsensusSimulation:
    """One run with everything at once: loss, repeats, reordering, cuts, crashes, freezes, snapshots, reads.
    Raises InvariantViolationError where something that must always hold does not."""
    chance = RandomSource(mix(seed, 99))
    conditions = NetworkConditions(
        (0.3, 3.0 + 60.0 * chance.share()), 0.2 * chance.share(), 0.2 * chance.share()
    )
    world = ConsensusSimulation(
        seats or (3 if chance.share() < 0.6 else 5),
        seed,
        make,
        conditions,
        disk_ms=1.0 + 10.0 * chance.share(),
        writes_before_sends=writes_before_sends,
    )
    world.power_loss_share = power_loss_share * chance.share()
    names = list(world.voters)
    for _ in range(steps):
        world.run(120.0 * chance.share())
        name = names[int(chance.share() * len(names))]
        seat, draw = world.voters[name], chance.share()
        leader = world.leader()
        if draw < 0.35:
            target = leader.name if leader is not None and chance.share() < 0.8 else name
            if world.voters[target].raft is not None and not world.voters[target].frozen:
                for _ in range(1 + int(3 * chance.share())):
                    world.propose(target)
        elif draw < 0.5:
            for other in world.voters.values():  # all that believe to lead, and one more
                if (
                    other.raft is not None
                    and not other.frozen
                    and (other is seat or other.raft.role is Role.LEADER)
                ):
                    world.read(other.name)
        elif draw < 0.62:
            victim = leader if leader is not None and chance.share() < 0.5 else seat
            if victim.raft is not None:
                victim.crash()
                world.sim.after(600.0 * chance.share(), restart, victim)
        elif draw < 0.72:
            some = chance.sample(names, 1 + int(chance.share() * len(names) / 2))
            others = [other for other in names if other not in some]
            if chance.share() < 0.4:  # one pair alone: both still reach the others
                some, others = [leader.name if leader else some[0]], chance.sample(others, 1)
            world.network.cut(some, others, ("both", "out", "in")[int(3 * chance.share())])
            world.sim.after(1200.0 * chance.share(), world.network.remove_partitions)
        elif draw < 0.8:
            victim = leader if leader is not None and chance.share() < 0.6 else seat
            if victim.raft is not None and not victim.frozen:
                victim.freeze()
                world.sim.after(1500.0 * chance.share(), victim.resume, chance.share() < 0.5)
        elif draw < 0.9:
            world.compact(name)
    world.network.remove_partitions()
    world.network.conditions, world.power_loss_share = NetworkConditions(), 0.0
    world.run(2000.0)
    for seat in world.voters.values():
        seat.resume()
        if seat.raft is None:
            seat.start()
    world.wait_for_leader()
    world.run(2000.0)
    world.final_check()
    return world


def restart(seat: SimulatedVoter) -> None:
    if seat.raft is None:
        seat.start()
