"""Messages among voters and learners. Names on the wire differ from those in the code."""

from __future__ import annotations

import msgspec

from .entries import Configuration, Entry


class RequestVote(msgspec.Struct, tag="vote"):
    """Asks for a vote (Raft §5.2).

    A pre-vote changes no state: it asks whether the vote would be granted (thesis §9.6).

    `leadership_transfer` says that the leader itself asked for this election (thesis §3.10).
    """

    term: int
    last_log_index: int = msgspec.field(name="last_index")
    last_log_term: int = msgspec.field(name="last_term")
    pre_vote: bool = msgspec.field(name="trial")
    leadership_transfer: bool = msgspec.field(default=False, name="handed")


class VoteReply(msgspec.Struct, tag="voted"):
    """The answer to RequestVote."""

    term: int
    granted: bool
    pre_vote: bool = msgspec.field(name="trial")


class AppendEntries(msgspec.Struct, tag="append"):
    """The entries after `prev_log_index`; without any it is a heartbeat (Raft §5.3).

    `round` numbers what a leader sends, so that it knows when the message that a reply belongs to was sent.
    """

    term: int
    prev_log_index: int = msgspec.field(name="index")
    prev_log_term: int = msgspec.field(name="before")
    entries: tuple[Entry, ...]
    leader_commit: int = msgspec.field(name="commit")
    round: int


class AppendReply(msgspec.Struct, tag="appended"):
    """The answer to AppendEntries.

    `index` is the last one at which the logs are known to match; without success, the last at which they
    may match.
    """

    term: int
    success: bool = msgspec.field(name="agreed")
    index: int
    round: int


class InstallSnapshot(msgspec.Struct, tag="install"):
    """A part of a snapshot, from byte `offset` on (Raft §7). `size` is that of the whole, in bytes."""

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
    """The answer to InstallSnapshot; `offset` is the next byte that the receiver lacks."""

    term: int
    last_included_index: int = msgspec.field(name="index")
    offset: int
    round: int


class TimeoutNow(msgspec.Struct, tag="hurry"):
    """Start an election without waiting: the leader transfers its leadership (thesis §3.10)."""

    term: int


Message = RequestVote | VoteReply | AppendEntries | AppendReply | InstallSnapshot | SnapshotReply | TimeoutNow
