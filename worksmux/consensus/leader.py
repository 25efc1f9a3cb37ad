"""The leader: replication, commits, reads, configuration changes and leadership transfer.

Times are milliseconds.
"""

from __future__ import annotations

from math import inf

import msgspec

from .entries import CONFIGURATION, Configuration, Entry, Snapshot, next_entry
from .messages import AppendEntries, AppendReply, InstallSnapshot, SnapshotReply, TimeoutNow
from .outputs import Output, ProposalAppended, ReadReady, Rejected
from .voter import PendingRead, Progress, Role, Voter

MAX_MESSAGE_BYTES = 48_000  # size of the entries or the snapshot data in one message
MAX_LEARNER_LAG_ENTRIES = 64  # a learner that lacks no more may become a voter
MAX_UNCOMMITTED_ENTRIES = 1000  # proposals are rejected beyond it
RESEND_HEARTBEATS = 2  # heartbeat intervals without a reply, after which entries are sent again
ROUND_TTL_TIMEOUTS = 2  # election timeouts for which the send time of a round is kept


class LeaderOperations(Voter):
    """The operations of a server that leads its term."""

    def caught_up(self, server: str) -> bool:
        """Whether a learner is close enough to the end of the log to be made a voter (thesis §4.2.1)."""
        progress = self.progress.get(server)
        if progress is None:
            return False
        return progress.match_index >= max(
            self.term_start_index, self.log.last.index - MAX_LEARNER_LAG_ENTRIES
        )

    def _lost_quorum(self, now: float) -> bool:
        """Whether no majority has replied for an election timeout, so that a leader steps down (thesis §6.2).

        For a server that has just been added, the time counts from when it was added.
        """
        contact = self._reached_by_quorum(
            now, lambda progress: max(progress.last_contact, progress.tracked_since)
        )
        return now - contact > self.timing.election_timeout_ms

    def _track_members(self, now: float) -> None:
        """Keeps the progress of each other member of the configuration, and of no other server."""
        others = [server for server in self.configuration.members if server != self.server_id]
        self.progress = {
            server: self.progress.get(server) or Progress(0, self.log.last.index + 1, now)
            for server in others
        }

    def _transfer_leadership(self, now: float, output: Output) -> None:
        """Asks an up-to-date voter to start an election at once (thesis §3.10).

        Until the transfer ends, this leader accepts no proposals and holds no lease. The other voter may win
        before this leader learns of it, and a read by lease would miss entries that the other one commits.
        """
        if self.role is not Role.LEADER:
            return
        up_to_date = [
            voter
            for voter in self.configuration.voters
            if voter != self.server_id and self.progress[voter].match_index == self.log.last.index
        ]
        if up_to_date:
            self.transferring = True
            self.transfer_deadline = now + self.timing.election_timeout_ms
            target = max(up_to_date, key=lambda voter: self.progress[voter].last_contact)
            output.messages.append((target, TimeoutNow(self.term)))

    def _append_own(self, kind: str, data: bytes, output: Output) -> Entry:
        entry = next_entry(self.log.last, self.term, kind, data)
        self.log.entries.append(entry)
        self._write(output, entries=(entry,))
        return entry

    def _propose(self, now: float, kind: str, data: bytes, token: int, output: Output) -> None:
        uncommitted = self.log.last.index - self.commit_index
        if self.role is not Role.LEADER or self.transferring or uncommitted > MAX_UNCOMMITTED_ENTRIES:
            output.events.append(Rejected(token, self.leader))
            return
        entry = self._append_own(kind, data, output)
        output.events.append(ProposalAppended(token, entry.index, entry.term))
        self._send_to_all(now, output)
        self._advance_commit(now, output)

    def _may_change_to(self, configuration: Configuration) -> bool:
        """Whether the configuration may be changed now, by at most one voter (thesis §4.1).

        The last change and an entry of this term must be committed first. Without the latter, two majorities
        that share no server can form when a leader crashes between changes (Ongaro, "bug in single-server
        membership changes", raft-dev 2015). It shows as two different entries committed at one index.
        """
        changed_voters = set(self.configuration.voters) ^ set(configuration.voters)
        return (
            self.role is Role.LEADER
            and self.configuration_index <= self.commit_index
            and self.commit_index >= self.term_start_index
            and len(changed_voters) <= 1
            and bool(configuration.voters)
            and configuration != self.configuration
        )

    def _change_configuration(self, now: float, configuration: Configuration, output: Output) -> None:
        if not self._may_change_to(configuration):
            output.events.append(Rejected(0, self.leader))
            return
        entry = self._append_own(CONFIGURATION, msgspec.msgpack.encode(configuration), output)
        self.configuration_index, self.configuration = entry.index, configuration
        self._track_members(now)
        self._send_to_all(now, output)
        self._advance_commit(now, output)

    def _heartbeat(self, now: float, output: Output) -> None:
        self.heartbeat_at = now + self.timing.heartbeat_ms
        oldest = now - ROUND_TTL_TIMEOUTS * self.timing.election_timeout_ms
        self.round_sent_at = {
            number: sent_at for number, sent_at in self.round_sent_at.items() if sent_at > oldest
        }
        self._send_to_all(now, output)

    def _send_to_all(self, now: float, output: Output) -> None:
        self.round += 1
        self.round_sent_at[self.round] = now
        for server in self.progress:
            self._send(now, server, output)

    def _awaits_reply(self, now: float, progress: Progress) -> bool:
        return now < progress.data_sent_at + RESEND_HEARTBEATS * self.timing.heartbeat_ms

    def _send(self, now: float, server: str, output: Output) -> None:
        """Sends the entries that a server lacks, or the snapshot if they are compacted.

        While sent entries await a reply, it sends a heartbeat without entries.
        """
        progress = self.progress[server]
        if progress.next_index <= self.log.snapshot.index:
            self._send_snapshot(now, server, progress, output)
            return
        progress.snapshot_offset = -1
        previous = self.log.get(progress.next_index - 1)
        assert previous is not None
        entries: tuple[Entry, ...] = ()
        if not self._awaits_reply(now, progress):
            entries = self.log.entries_after(previous.index, MAX_MESSAGE_BYTES)
        if entries:
            progress.data_sent_at = now
        message = AppendEntries(
            self.term, previous.index, previous.term, entries, self.commit_index, self.round
        )
        output.messages.append((server, message))

    def _send_snapshot(self, now: float, server: str, progress: Progress, output: Output) -> None:
        snapshot = self.log.snapshot
        offset = max(0, progress.snapshot_offset)
        data = b""
        if not self._awaits_reply(now, progress):
            data = snapshot.data[offset : offset + MAX_MESSAGE_BYTES]
            progress.data_sent_at, progress.snapshot_offset = now, offset
        message = InstallSnapshot(
            self.term,
            snapshot.index,
            snapshot.term,
            snapshot.digest,
            snapshot.configuration,
            offset,
            len(snapshot.data),
            data,
            self.round,
        )
        output.messages.append((server, message))

    def _record_contact(self, server: str, round_number: int) -> Progress | None:
        """Records that a server followed this leader when the message that it replies to was sent.

        Returns the server's progress; None if the server is not tracked.
        """
        progress = self.progress.get(server)
        if progress is not None:
            sent_at = self.round_sent_at.get(round_number, -inf)
            progress.last_contact = max(progress.last_contact, sent_at)
        return progress

    def _on_append_reply(self, now: float, server: str, reply: AppendReply, output: Output) -> None:
        progress = self._record_contact(server, reply.round)
        if progress is None:
            return
        if reply.success:
            if reply.index > progress.match_index:
                progress.match_index, progress.next_index = reply.index, reply.index + 1
                progress.data_sent_at = -inf
                self._advance_commit(now, output)
            if progress.next_index <= self.log.last.index and progress.data_sent_at == -inf:
                self._send(now, server, output)
        elif reply.index + 1 < progress.next_index:
            progress.next_index = max(progress.match_index, reply.index) + 1
            progress.data_sent_at = -inf
            self._send(now, server, output)

    def _on_snapshot_reply(self, now: float, server: str, reply: SnapshotReply, output: Output) -> None:
        progress, snapshot = self._record_contact(server, reply.round), self.log.snapshot
        if progress is None:
            return
        if reply.last_included_index != snapshot.index or progress.next_index > snapshot.index:
            return
        progress.data_sent_at = -inf
        if reply.offset >= len(snapshot.data):
            progress.match_index = max(progress.match_index, snapshot.index)
            progress.next_index, progress.snapshot_offset = progress.match_index + 1, -1
        else:
            progress.snapshot_offset = reply.offset
        self._send(now, server, output)

    def _quorum_match_index(self) -> int:
        """Returns the highest index that a majority has on disk."""
        return int(self._reached_by_quorum(self.synced_index, lambda progress: progress.match_index))

    def _advance_commit(self, now: float, output: Output) -> None:
        """Commits the entries that a majority has on disk.

        Only entries of the leader's own term are committed by counting replicas (Raft §5.4.2, figure 8).
        """
        index = self._quorum_match_index()
        if index <= self.commit_index or index < self.term_start_index:
            return
        self._commit(index, output)
        self._send_to_all(now, output)
        if self.configuration_index <= self.commit_index and not self._is_voter():
            # A leader that is no longer a voter steps down once its removal is committed (thesis §4.2.2). The
            # messages sent above carry that commit index to the others.
            self._become_follower(now, self.term, "", output)

    def _read_index(self, now: float, token: int, output: Output) -> None:
        """Answers at once under a lease, else after a majority has replied to a new round (thesis §6.4).

        The commit index is up to date only after an entry of this term is committed (Raft §8).
        """
        if self.role is not Role.LEADER or self.commit_index < self.term_start_index:
            output.events.append(Rejected(token, self.leader))
            return
        if self.holds_lease(now):
            output.events.append(ReadReady(token, self.commit_index))
            return
        self._send_to_all(now, output)
        self.pending_reads.append(PendingRead(token, self.commit_index, self.round))

    def _answer_pending_reads(self, output: Output) -> None:
        """Answers the reads whose round a majority has replied to.

        The replies show that this server still led after the reads were requested.
        """
        if self.role is not Role.LEADER or not self.pending_reads:
            return
        confirmed_at = self._reached_by_quorum(inf, lambda progress: progress.last_contact)
        still_pending = []
        for read in self.pending_reads:
            if self.round_sent_at.get(read.round, inf) <= confirmed_at:
                output.events.append(ReadReady(read.token, read.index))
            elif read.round in self.round_sent_at:
                still_pending.append(read)
            else:
                output.events.append(Rejected(read.token, ""))
        self.pending_reads = still_pending

    def _compact(self, index: int, data: bytes, output: Output) -> None:
        """Replaces committed entries by a snapshot. An index out of range is ignored."""
        last_included = self.log.get(index)
        if last_included is None or index <= self.log.snapshot.index or index > self.commit_index:
            return
        _, configuration = self.log.latest_configuration(index)
        snapshot = Snapshot(index, last_included.term, last_included.digest, configuration, data)
        self.log.replace_prefix(snapshot)
        self._write(output, snapshot=snapshot)
