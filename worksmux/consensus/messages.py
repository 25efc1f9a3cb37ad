"""Messages between voters and learners. Tags and field names on the wire differ from those in the code."""

from __future__ import annotations

import msgspec

from .entries import Configuration, Entry


class RequestVote(msgspec.Struct, tag="vote"):
    """Requests a vote (Raft §5.2).

    A pre-vote changes no state: it asks whether the vote would be granted (thesis §9.6).
    `leadership_transfer` states that the leader itself requested this election (thesis §3.10).
    """

    term: int
    last_log_index: int = msgspec.field(name="last_index")
    last_log_term: int = msgspec.field(name="last_term")
    pre_vote: bool = msgspec.field(name="trial")
    leadership_transfer: bool = msgspec.field(default=False, name="handed")


class VoteReply(msgspec.Struct, tag="voted"):
    """Answers RequestVote."""

    term: int
    granted: bool
    pre_vote: bool = msgspec.field(name="trial")


class AppendEntries(msgspec.Struct, tag="append"):
    """Carries the entries after `prev_log_index`; without entries it is a heartbeat (Raft §5.3).

    `round` numbers what a leader sends, so that the leader knows when it sent the message that a reply
    answers.
    """

    term: int
    prev_log_index: int = msgspec.field(name="index")
    prev_log_term: int = msgspec.field(name="before")
    entries: tuple[Entry, ...]
    leader_commit: int = msgspec.field(name="commit")
    round: int


class AppendReply(msgspec.Struct, tag="appended"):
    """Answers AppendEntries.

    `index` is the last index at which the logs are known to match. Without success it is the last index at
    which they may match.
    """

    term: int
    success: bool = msgspec.field(name="agreed")
    index: int
    round: int


class InstallSnapshot(msgspec.Struct, tag="install"):
    """Carries a part of a snapshot, from byte `offset` on (Raft §7).

    `size` is the size of the whole snapshot's data in bytes.
    """

    term: int
    last_included_index: int = msgspec.field(name="index")
    last_included_term: int = msgspec.field(name="before")
    digest: int
    configuration: Configuration = msgspec.field(name="seats")
    offset: int
    size: int
    data: bytes
    round: int


class SnapshotReply(msgspec.Struct, tag="installed"):
    """Answers InstallSnapshot. `offset` is the next byte that the receiver lacks."""

    term: int
    last_included_index: int = msgspec.field(name="index")
    offset: int
    round: int


class TimeoutNow(msgspec.Struct, tag="hurry"):
    """Asks the receiver to start an election at once: the leader transfers its leadership (thesis §3.10)."""

    term: int


Message = RequestVote | VoteReply | AppendEntries | AppendReply | InstallSnapshot | SnapshotReply | TimeoutNow
