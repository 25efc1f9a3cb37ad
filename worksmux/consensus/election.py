"""Elections: how a server requests votes, grants them and becomes leader (Raft §5.2, §5.4.1).

Times are milliseconds.
"""

from __future__ import annotations

from .entries import NOOP
from .leader import LeaderOperations
from .messages import RequestVote, VoteReply
from .outputs import Output
from .voter import Role


class Elections(LeaderOperations):
    """The operations of a candidate, and of a server that is asked for its vote."""

    def _start_pre_vote(self, now: float, output: Output) -> None:
        """Asks the voters whether an election could be won, before the term is raised (thesis §9.6).

        Without it, a server that was cut off raises its term over and over, and deposes a healthy leader when
        it is connected again.
        """
        self.pre_voting = True
        self._request_votes(now, self.term + 1, False, output)

    def _start_election(self, now: float, leadership_transfer: bool, output: Output) -> None:
        self.pre_voting = False
        self.term, self.voted_for = self.term + 1, self.server_id
        self._write_hard_state(output)
        self._request_votes(now, self.term, leadership_transfer, output)

    def _request_votes(self, now: float, term: int, leadership_transfer: bool, output: Output) -> None:
        self.role, self.votes = Role.CANDIDATE, {self.server_id}
        self._set_leader("", output)
        self.election_at = self._election_deadline(now)
        last = self.log.last
        request = RequestVote(term, last.index, last.term, self.pre_voting, leadership_transfer)
        for voter in self.configuration.voters:
            if voter != self.server_id:
                output.messages.append((voter, request))
        self._count_votes(now, output)

    def _count_votes(self, now: float, output: Output) -> None:
        if len(self.votes & set(self.configuration.voters)) < self.configuration.quorum:
            return
        if self.pre_voting:
            self._start_election(now, False, output)
        else:
            self._become_leader(now, output)

    def _log_is_up_to_date(self, request: RequestVote) -> bool:
        """Whether the candidate's log is at least as up to date as this server's (Raft §5.4.1)."""
        last = self.log.last
        return (request.last_log_term, request.last_log_index) >= (last.term, last.index)

    def _may_vote_for(self, candidate: str) -> bool:
        """Whether the vote of this term is free or was given to the candidate (Raft §5.2)."""
        return self.voted_for in ("", candidate)

    def _follows_live_leader(self, now: float) -> bool:
        return self.role is Role.LEADER or now < self.leader_contact_at + self.timing.election_timeout_ms

    def _on_request_vote(self, now: float, sender: str, request: RequestVote, output: Output) -> None:
        """Grants or denies a vote.

        A server votes for no candidate within an election timeout of its last contact with a leader (thesis
        §4.2.3). Leases rest on that rule. Without it, a leader could answer a read by its lease while another
        one commits writes. It would show as a read that misses an acknowledged write. An election that the
        leader itself requested is exempt, because that leader no longer uses its lease.
        """
        if self._follows_live_leader(now) and not request.leadership_transfer:
            if request.pre_vote and request.term > self.term:
                output.messages.append((sender, VoteReply(self.term, False, True)))
            return
        if request.pre_vote:
            self._answer_pre_vote(sender, request, output)
            return
        if request.term > self.term:
            self._become_follower(now, request.term, "", output)
        granted = (
            request.term == self.term and self._may_vote_for(sender) and self._log_is_up_to_date(request)
        )
        if granted and not self.voted_for:
            self.voted_for = sender
            self._write_hard_state(output)
        if granted:
            self.election_at = self._election_deadline(now)
        output.messages.append((sender, VoteReply(self.term, granted, False)))

    def _answer_pre_vote(self, sender: str, request: RequestVote, output: Output) -> None:
        granted = request.term > self.term and self._log_is_up_to_date(request)
        output.messages.append((sender, VoteReply(request.term if granted else self.term, granted, True)))

    def _on_vote_reply(self, now: float, sender: str, reply: VoteReply, output: Output) -> None:
        if self.role is not Role.CANDIDATE or reply.pre_vote != self.pre_voting:
            return
        requested_term = self.term + 1 if self.pre_voting else self.term
        if reply.granted and reply.term == requested_term:
            self.votes.add(sender)
            self._count_votes(now, output)

    def _become_leader(self, now: float, output: Output) -> None:
        """Starts the term with an entry of its own, so that earlier entries can be committed (Raft §8)."""
        self.role = Role.LEADER
        self.term_start_index = self.log.last.index + 1
        self.progress, self.round_sent_at, self.pending_reads = {}, {}, []
        self.transferring = False
        self._track_members(now)
        self._set_leader(self.server_id, output)
        self._append_own(NOOP, b"", output)
        self._heartbeat(now, output)
        self._advance_commit(now, output)
