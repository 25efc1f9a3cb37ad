"""One server of a Raft group, with pre-votes, leases, snapshots and single-server membership changes.

    output = raft.step(now, raft_input)

The core does no I/O and reads no clock. Times are milliseconds. `output.writes` have to reach the disk in
order. `output.messages` may be sent only once these writes, and all before them, are on disk; `WritesSynced`
then reports that. `raft.due` is when the next `Tick` is due.

Leases rest on one rule: within an election timeout of its last contact with a leader, a server votes for no
other. A restart counts as contact. So a leader that a majority answered within that time, counted from when
it sent the message, is the only one. Clocks may drift apart by MAX_CLOCK_DRIFT.
"""

from __future__ import annotations

from .election import Elections
from .entries import Entry, Snapshot, is_successor
from .inputs import (
    ChangeConfiguration,
    Compact,
    Input,
    MessageReceived,
    Propose,
    ReadIndex,
    Tick,
    TransferLeadership,
    WritesSynced,
)
from .messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    Message,
    RequestVote,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
)
from .outputs import InvariantViolation, Output, SnapshotInstalled
from .voter import IncomingSnapshot, Role


class Raft(Elections):
    """A server of a Raft group, which processes one input at a time."""

    def step(self, now: float, raft_input: Input) -> Output:
        """Processes one input and returns the writes, the messages to send and the events to report."""
        output = Output()
        match raft_input:
            case Tick():
                self._tick(now, output)
            case MessageReceived(sender, message):
                self._receive(now, sender, message, output)
            case WritesSynced(number):
                self.unsynced = [append for append in self.unsynced if append.write_number > number]
                if self.role is Role.LEADER:
                    self._advance_commit(now, output)
            case Propose(kind, data, token):
                self._propose(now, kind, data, token, output)
            case ChangeConfiguration(configuration):
                self._change_configuration(now, configuration, output)
            case ReadIndex(token):
                self._read_index(now, token, output)
            case Compact(index, data):
                self._compact(index, data, output)
            case TransferLeadership():
                self._transfer_leadership(now, output)
        return output

    def _tick(self, now: float, output: Output) -> None:
        if self.role is Role.LEADER:
            self.transferring = self.transferring and now < self.transfer_deadline
            if self._lost_quorum(now):
                self._become_follower(now, self.term, "", output)
            elif now >= self.heartbeat_at:
                self._heartbeat(now, output)
        elif now >= self.election_at and self._is_voter():
            self._start_pre_vote(now, output)

    def _receive(self, now: float, sender: str, message: Message, output: Output) -> None:
        match message:
            case RequestVote():
                self._on_request_vote(now, sender, message, output)
                return
            case VoteReply() if message.pre_vote and message.granted:
                # The reply carries the term of the election to come, which must not raise this term yet.
                self._on_vote_reply(now, sender, message, output)
                return
        if message.term > self.term:
            self._become_follower(now, message.term, "", output)
        if message.term < self.term:
            if isinstance(message, AppendEntries | InstallSnapshot):
                # The higher term makes a deposed leader step down (Raft §5.1).
                output.messages.append((sender, AppendReply(self.term, False, 0, message.round)))
            return
        self._receive_in_term(now, sender, message, output)

    def _receive_in_term(self, now: float, sender: str, message: Message, output: Output) -> None:
        """Processes a message of this server's own term."""
        match message:
            case VoteReply():
                self._on_vote_reply(now, sender, message, output)
            case AppendEntries():
                self._on_append_entries(now, sender, message, output)
            case InstallSnapshot():
                self._on_install_snapshot(now, sender, message, output)
            case AppendReply() if self.role is Role.LEADER:
                self._on_append_reply(now, sender, message, output)
                self._answer_pending_reads(output)
            case SnapshotReply() if self.role is Role.LEADER:
                self._on_snapshot_reply(now, sender, message, output)
                self._answer_pending_reads(output)
            case TimeoutNow() if self._is_voter() and sender == self.leader:
                self._start_election(now, True, output)
            case _:
                pass

    def _accept_leader(self, now: float, sender: str, output: Output) -> bool:
        """Follows the leader of this term; returns False if this server itself leads the term."""
        if self.role is Role.LEADER:
            text = f"{sender} claims to lead term {self.term}, but its leader is {self.server_id}"
            output.events.append(InvariantViolation(text))
            return False
        self.role, self.leader_contact_at = Role.FOLLOWER, now
        self.election_at = self._election_deadline(now)
        self._set_leader(sender, output)
        return True

    def _on_append_entries(self, now: float, sender: str, message: AppendEntries, output: Output) -> None:
        if not self._accept_leader(now, sender, output):
            return
        log, index = self.log, message.prev_log_index
        if index >= log.snapshot.index:
            previous = log.get(index)
            if previous is None or previous.term != message.prev_log_term:
                reply = AppendReply(self.term, False, self._last_possible_match(index), message.round)
                output.messages.append((sender, reply))
                return
        matched = max(index, log.snapshot.index)  # the snapshot's entries are committed, hence equal
        matched = self._append_received(message.entries, matched, output)
        self._commit(min(message.leader_commit, matched), output)
        output.messages.append((sender, AppendReply(self.term, True, matched, message.round)))

    def _last_possible_match(self, index: int) -> int:
        """Returns the last index at which the logs may match.

        All entries of a conflicting term are skipped at once (Raft §5.3).
        """
        log = self.log
        conflicting = log.get(index)
        conflicting_term = conflicting.term if conflicting else -1
        candidate_index = min(index, log.last.index + 1) - 1
        while candidate_index > log.snapshot.index:
            entry = log.get(candidate_index)
            if entry is None or entry.term != conflicting_term:
                break
            candidate_index -= 1
        return max(candidate_index, log.snapshot.index)

    def _append_received(self, entries: tuple[Entry, ...], matched: int, output: Output) -> int:
        """Appends the entries that are new and returns the last index that matches the leader's log.

        Conflicting entries are removed (Raft §5.3). Entries that the log contains already are kept: a late
        message must not shorten the log.
        """
        for position, entry in enumerate(entries):
            existing = self.log.get(entry.index)
            is_present = existing is not None and existing.term == entry.term
            if entry.index <= self.log.snapshot.index or is_present:
                matched = max(matched, entry.index)
                continue
            new = entries[position:]
            return new[-1].index if self._replace_tail(new, existing is not None, output) else matched
        return matched

    def _replace_tail(self, new: tuple[Entry, ...], conflicting: bool, output: Output) -> bool:
        """Replaces the log from the first index of `new` on by `new`.

        Returns False, and reports a violation, if that would break an invariant.
        """
        log = self.log
        truncate_from = new[0].index if conflicting else None
        if truncate_from is not None:
            if truncate_from <= self.commit_index:
                text = f"the committed entry {truncate_from} would be overwritten by the leader's entries"
                output.events.append(InvariantViolation(text))
                return False
            log.truncate_from(truncate_from)
            self.unsynced = [append for append in self.unsynced if append.first_index < truncate_from]
        last = log.last
        for entry in new:
            if not is_successor(last, entry):
                text = f"entry {entry.index} of term {entry.term} does not follow entry {last.index}"
                output.events.append(InvariantViolation(text))
                return False
            last = entry
        log.entries += new
        self._write(output, truncate_from=truncate_from, entries=new)
        self.configuration_index, self.configuration = log.latest_configuration()
        return True

    def _on_install_snapshot(self, now: float, sender: str, message: InstallSnapshot, output: Output) -> None:
        if not self._accept_leader(now, sender, output):
            return
        index = message.last_included_index
        received = message.size
        if index > self.commit_index:
            received = self._add_snapshot_part(message, output)
        output.messages.append((sender, SnapshotReply(self.term, index, received, message.round)))

    def _add_snapshot_part(self, message: InstallSnapshot, output: Output) -> int:
        """Adds the next part and installs a complete snapshot.

        Returns the number of bytes received so far.
        """
        incoming = self.incoming_snapshot
        key = (message.last_included_index, message.digest)
        if incoming is None or (incoming.index, incoming.digest) != key:
            incoming = self.incoming_snapshot = IncomingSnapshot(*key, bytearray())
        if message.offset == len(incoming.data):
            incoming.data += message.data
        if len(incoming.data) >= message.size:
            self.incoming_snapshot = None
            snapshot = Snapshot(
                message.last_included_index,
                message.last_included_term,
                message.digest,
                message.configuration,
                bytes(incoming.data),
            )
            self._install(snapshot, output)
        return len(incoming.data)

    def _install(self, snapshot: Snapshot, output: Output) -> None:
        self.log.replace_prefix(snapshot)
        tail_kept = bool(self.log.entries)
        self.unsynced = [
            append for append in self.unsynced if tail_kept and append.first_index > snapshot.index
        ]
        truncate_from = None if tail_kept else snapshot.index + 1
        self._write(output, truncate_from=truncate_from, snapshot=snapshot)
        self.configuration_index, self.configuration = self.log.latest_configuration()
        self.commit_index = snapshot.index
        output.events.append(SnapshotInstalled(snapshot))
