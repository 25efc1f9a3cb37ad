"""Consensus in simulated time.

Voters crash between any two writes, lose disks, freeze and have clocks of their own. The network loses,
duplicates, reorders and cuts messages. The simulation checks the invariants of Raft as it runs.
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
    """An invariant of consensus does not hold."""


@dataclass
class Disk:
    """Persistent state of one voter."""

    state: PersistentState = field(default_factory=PersistentState)

    def write(self, write: StorageWrite) -> None:
        """Applies one write."""
        state = self.state
        if write.hard_state is not None:
            state.term, state.voted_for = write.hard_state.term, write.hard_state.voted_for
        if write.truncate_from is not None:
            state.entries = [entry for entry in state.entries if entry.index < write.truncate_from]
        if write.snapshot is not None:
            state.snapshot = write.snapshot
            state.entries = [entry for entry in state.entries if entry.index > write.snapshot.index]
        state.entries += write.entries

    def read(self) -> PersistentState:
        """Returns a copy of the persistent state, as a starting voter reads it."""
        return PersistentState(
            self.state.term, self.state.voted_for, self.state.snapshot, list(self.state.entries)
        )


class SimulatedVoter:
    """One voter and its disk. Messages are sent once the writes before them are on disk."""

    def __init__(self, simulation: ConsensusSimulation, name: str, disk: Disk) -> None:
        self.simulation, self.name, self.disk = simulation, name, disk
        random = RandomSource(mix(simulation.seed, len(name) * 7919 + ord(name[0])))
        self.clock_rate = 1 + simulation.max_clock_drift * (2 * random.share() - 1)
        self.clock_offset_ms = 1e6 * random.share()
        self.raft: Raft | None = None
        self.timer: Timer | None = None
        self.start_count = 0
        self.frozen = False
        self.pending_writes: list[tuple[StorageWrite | None, list[tuple[str, Message]]]] = []
        self.is_writing = False
        self.queued_messages: list[tuple[str, Message]] = []
        self.applied: dict[int, Entry] = {}
        self.data = b""

    @property
    def now(self) -> float:
        """Time of the voter's own clock."""
        return self.clock_offset_ms + self.clock_rate * self.simulation.sim.now

    def start(self) -> None:
        """Starts the voter from what its disk holds."""
        self.start_count += 1
        self.pending_writes, self.is_writing, self.frozen, self.queued_messages = [], False, False, []
        self.raft = self.simulation.make_raft(
            self.name,
            self.disk.read(),
            self.simulation.timing,
            mix(self.simulation.seed, self.start_count * 31 + ord(self.name[0])),
            self.now,
        )
        self.simulation.network.listen(self.name, self.receive)
        self.schedule_tick()

    def crash(self, lose_disk: bool = False) -> None:
        """Ends the process, optionally with the loss of its disk."""
        self.simulation.network.stop_listening(self.name)
        self.raft = None
        if self.timer is not None:
            self.timer.cancel()
        if lose_disk:
            self.disk = Disk()

    def step(self, input_event: Input) -> Output:
        """Passes an input to the consensus core, queues its writes and messages, and checks its events."""
        assert self.raft is not None
        output = self.raft.step(self.now, input_event)
        for write in output.writes[:-1]:
            self.pending_writes.append((write, []))
        self.pending_writes.append((output.writes[-1] if output.writes else None, output.messages))
        for event in output.events:
            self.simulation.on_event(self, event)
        self.write_next()
        self.schedule_tick()
        return output

    def schedule_tick(self) -> None:
        """Sets the timer to the time at which the consensus core is due next."""
        if self.timer is not None:
            self.timer.cancel()
        if self.raft is not None and self.raft.due < float("inf"):
            delay = max(0.0, (self.raft.due - self.now) / self.clock_rate)
            self.timer = self.simulation.sim.after(delay + 0.01, self.on_timer)

    def on_timer(self) -> None:
        """Runs a tick of the consensus core, unless the process is frozen."""
        if not self.frozen and self.raft is not None:
            self.step(Tick())

    def write_next(self) -> None:
        """Starts the next write, one at a time; messages that need no write are sent at once."""
        while self.pending_writes and not self.is_writing:
            write, messages = self.pending_writes[0]
            if write is not None and self.simulation.writes_before_sends:
                self.is_writing = True
                delay = self.simulation.random.share() * self.simulation.max_write_ms
                self.simulation.sim.after(delay, self.on_written, self.start_count)
                return
            self.pending_writes.pop(0)
            self.send_all(messages)
            if write is not None:  # writes_before_sends is off: messages are sent before the write
                self.simulation.sim.after(
                    self.simulation.max_write_ms, self.write_late, self.start_count, write
                )
                self.step(WritesSynced(write.number))

    def loses_power(self) -> bool:
        """Whether the machine loses its power at this write; the voter then crashes and restarts."""
        if self.simulation.random.share() >= self.simulation.power_loss_share:
            return False
        self.crash()
        self.simulation.sim.after(500.0 * self.simulation.random.share(), restart, self)
        return True

    def on_written(self, start: int) -> None:
        """Completes a write, sends the messages that waited for it and starts the next one."""
        if start != self.start_count or self.raft is None or self.loses_power():
            return
        self.is_writing = False
        write, messages = self.pending_writes.pop(0)
        assert write is not None
        self.disk.write(write)
        self.send_all(messages)
        self.step(WritesSynced(write.number))

    def write_late(self, start: int, write: StorageWrite) -> None:
        """Completes a write whose messages have already been sent."""
        if start == self.start_count and self.raft is not None and not self.loses_power():
            self.disk.write(write)

    def send_all(self, messages: list[tuple[str, Message]]) -> None:
        """Sends messages to other voters."""
        for voter, message in messages:
            self.simulation.network.send(self.name, voter, message)

    def receive(self, sender: str, message: Message) -> None:
        """Passes a message to the consensus core; a frozen process queues the message."""
        if self.frozen:
            self.queued_messages.append((sender, message))
        elif self.raft is not None:
            self.step(MessageReceived(sender, message))

    def freeze(self) -> None:
        """Stops the process; messages queue up until it resumes."""
        self.frozen = True

    def resume(self, reads_first: bool = False) -> None:
        """Resumes the process. With `reads_first` it receives a read before its first tick."""
        if self.raft is None or not self.frozen:
            return
        self.frozen = False
        if reads_first:
            self.simulation.read(self.name)
        self.step(Tick())
        queued_messages, self.queued_messages = self.queued_messages, []
        for sender, message in queued_messages:
            self.receive(sender, message)


class ConsensusSimulation:
    """Voters a, b, c and so on; every proposal, read and committed entry is checked against the others."""

    def __init__(
        self,
        count: int = 3,
        seed: int = 1,
        make: RaftFactory = Raft,
        conditions: NetworkConditions | None = None,
        max_clock_drift: float = 0.008,
        max_write_ms: float = 3.0,
        writes_before_sends: bool = True,
    ) -> None:
        self.sim = Sim()
        self.sim.now = 1000.0
        self.seed, self.make_raft, self.max_clock_drift, self.max_write_ms, self.writes_before_sends = (
            seed,
            make,
            max_clock_drift,
            max_write_ms,
            writes_before_sends,
        )
        self.random = RandomSource(mix(seed, 17))
        self.network = SimulatedNetwork(self.sim, mix(seed, 3), conditions)
        self.timing = RaftTiming(60.0, 400.0)
        names = [chr(ord("a") + position) for position in range(count)]
        self.voters: dict[str, SimulatedVoter] = {}
        snapshot = Snapshot(configuration=Configuration(tuple(names)))
        for name in names:
            self.voters[name] = SimulatedVoter(self, name, Disk(PersistentState(snapshot=snapshot)))
        self.leaders: dict[int, set[str]] = {}
        self.committed: dict[int, Entry] = {}
        self.token = 0
        self.proposed: dict[int, tuple[int, int]] = {}  # token: (index, term)
        self.acknowledged: dict[int, int] = {}  # token: index
        self.min_read_indexes: dict[int, int] = {}  # token: highest index acknowledged at the request
        self.read_count = self.rejected_count = 0
        self.power_loss_share = 0.0  # share of writes at which the power fails
        for voter in self.voters.values():
            voter.start()

    def run(self, ms: float) -> None:
        """Runs the simulation for a number of milliseconds."""
        self.sim.run(self.sim.now + ms)

    def leader(self) -> SimulatedVoter | None:
        """Returns the running leader of the highest term, or None."""
        leading = [
            voter
            for voter in self.voters.values()
            if voter.raft is not None and not voter.frozen and voter.raft.role is Role.LEADER
        ]
        return max(leading, key=lambda voter: voter.raft.term if voter.raft else 0, default=None)

    def wait_for_leader(self, max_ms: float = 10_000.0) -> SimulatedVoter:
        """Runs until a majority follows a leader, and returns that leader; fails after `max_ms`."""
        end = self.sim.now + max_ms
        while True:
            leader = self.leader()
            if (
                leader is not None
                and leader.raft is not None
                and leader.raft.holds_lease(leader.now)
                and leader.raft.commit_index >= leader.raft.term_start_index
            ):
                return leader
            assert self.sim.now < end, f"no leader within {max_ms:.0f} ms"
            self.run(20.0)

    def propose(self, name: str, data: bytes = b"x") -> int:
        """Proposes an entry at a voter and returns the token of the proposal."""
        self.token += 1
        self.voters[name].step(Propose(COMMAND, data + str(self.token).encode(), self.token))
        return self.token

    def read(self, name: str) -> None:
        """Requests a read at a voter, which must cover all entries acknowledged so far."""
        self.token += 1
        self.min_read_indexes[self.token] = max(self.acknowledged.values(), default=0)
        self.voters[name].step(ReadIndex(self.token))

    def on_event(self, voter: SimulatedVoter, event: Event) -> None:
        """Checks an event of a voter against the invariants."""
        match event:
            case LeaderChanged(term, leader) if leader == voter.name:
                self.leaders.setdefault(term, set()).add(leader)
                if len(self.leaders[term]) > 1:
                    raise InvariantViolationError(f"two leaders in term {term}: {sorted(self.leaders[term])}")
            case EntriesCommitted(entries):
                for entry in entries:
                    self.on_committed(voter, entry)
            case SnapshotInstalled(snapshot):
                known_entry = self.committed.get(snapshot.index)
                if known_entry is None or known_entry.digest != snapshot.digest:
                    raise InvariantViolationError(
                        f"{voter.name} installed an uncommitted snapshot at index {snapshot.index}"
                    )
            case ProposalAppended(token, index, term):
                self.proposed[token] = index, term
            case ReadReady(token, index):
                self.read_count += 1
                if index < self.min_read_indexes[token]:
                    raise InvariantViolationError(
                        f"{voter.name} read to {index}, but {self.min_read_indexes[token]} was acknowledged"
                    )
            case Rejected():
                self.rejected_count += 1
            case InvariantViolation(text):
                raise InvariantViolationError(f"{voter.name}: {text}")
            case _:
                pass

    def on_committed(self, voter: SimulatedVoter, entry: Entry) -> None:
        """Checks a committed entry against those of the other voters, and acknowledges its proposal."""
        known_entry = self.committed.setdefault(entry.index, entry)
        if known_entry.digest != entry.digest:
            raise InvariantViolationError(f"{voter.name} committed another entry at index {entry.index}")
        if entry.index > 1 and entry.index - 1 not in self.committed:
            raise InvariantViolationError(
                f"{voter.name} committed index {entry.index} before its predecessor"
            )
        for token, (index, term) in list(self.proposed.items()):
            if index == entry.index:
                del self.proposed[token]
                if term == entry.term:
                    self.acknowledged[token] = index

    def final_check(self) -> None:
        """Checks that all running voters agree and hold every acknowledged entry."""
        for voter in self.voters.values():
            raft = voter.raft
            if raft is None:
                continue
            for index, entry in self.committed.items():
                known_entry = raft.log.get(index)
                if (
                    known_entry is not None
                    and index <= raft.commit_index
                    and known_entry.digest != entry.digest
                ):
                    raise InvariantViolationError(f"{voter.name} holds another entry at index {index}")
        running = [voter.raft for voter in self.voters.values() if voter.raft is not None]
        max_commit_index = max(raft.commit_index for raft in running)
        max_acknowledged = max(self.acknowledged.values(), default=0)
        if max_commit_index < max_acknowledged:
            raise InvariantViolationError(
                f"index {max_acknowledged} was acknowledged, but the last commit is {max_commit_index}"
            )

    def compact(self, name: str) -> None:
        """Compacts the log of a voter into a snapshot if more than 5 entries follow the last one."""
        raft = self.voters[name].raft
        if raft is not None and raft.commit_index > raft.log.snapshot.index + 5:
            data = msgspec.msgpack.encode(
                [
                    self.committed[index].digest
                    for index in range(1, raft.commit_index + 1)
                    if index in self.committed
                ]
            )
            self.voters[name].step(Compact(raft.commit_index, data))


def run_random_faults(
    seed: int,
    make: RaftFactory = Raft,
    steps: int = 120,
    writes_before_sends: bool = True,
    voter_count: int = 0,
    power_loss_share: float = 0.04,
) -> ConsensusSimulation:
    """Runs a simulation with random faults of all kinds, and returns it.

    The faults are loss, duplicates, reordering, partitions, crashes, freezes, snapshots and reads.
    InvariantViolationError is raised where an invariant does not hold.
    """
    random = RandomSource(mix(seed, 99))
    conditions = NetworkConditions(
        (0.3, 3.0 + 60.0 * random.share()), 0.2 * random.share(), 0.2 * random.share()
    )
    simulation = ConsensusSimulation(
        voter_count or (3 if random.share() < 0.6 else 5),
        seed,
        make,
        conditions,
        max_write_ms=1.0 + 10.0 * random.share(),
        writes_before_sends=writes_before_sends,
    )
    simulation.power_loss_share = power_loss_share * random.share()
    names = list(simulation.voters)
    for _ in range(steps):
        simulation.run(120.0 * random.share())
        name = names[int(random.share() * len(names))]
        voter, draw = simulation.voters[name], random.share()
        leader = simulation.leader()
        if draw < 0.35:
            target = leader.name if leader is not None and random.share() < 0.8 else name
            if simulation.voters[target].raft is not None and not simulation.voters[target].frozen:
                for _ in range(1 + int(3 * random.share())):
                    simulation.propose(target)
        elif draw < 0.5:
            for other in simulation.voters.values():  # all that consider themselves leader, and one more
                if (
                    other.raft is not None
                    and not other.frozen
                    and (other is voter or other.raft.role is Role.LEADER)
                ):
                    simulation.read(other.name)
        elif draw < 0.62:
            victim = leader if leader is not None and random.share() < 0.5 else voter
            if victim.raft is not None:
                victim.crash()
                simulation.sim.after(600.0 * random.share(), restart, victim)
        elif draw < 0.72:
            group = random.sample(names, 1 + int(random.share() * len(names) / 2))
            others = [other for other in names if other not in group]
            if random.share() < 0.4:  # cut one pair only; both still reach the others
                group, others = [leader.name if leader else group[0]], random.sample(others, 1)
            simulation.network.cut(group, others, ("both", "out", "in")[int(3 * random.share())])
            simulation.sim.after(1200.0 * random.share(), simulation.network.remove_partitions)
        elif draw < 0.8:
            victim = leader if leader is not None and random.share() < 0.6 else voter
            if victim.raft is not None and not victim.frozen:
                victim.freeze()
                simulation.sim.after(1500.0 * random.share(), victim.resume, random.share() < 0.5)
        elif draw < 0.9:
            simulation.compact(name)
    simulation.network.remove_partitions()
    simulation.network.conditions, simulation.power_loss_share = NetworkConditions(), 0.0
    simulation.run(2000.0)
    for voter in simulation.voters.values():
        voter.resume()
        if voter.raft is None:
            voter.start()
    simulation.wait_for_leader()
    simulation.run(2000.0)
    simulation.final_check()
    return simulation


def restart(voter: SimulatedVoter) -> None:
    """Starts a voter that has crashed."""
    if voter.raft is None:
        voter.start()
