"""Log entries, configurations, snapshots and the persistent state of a voter.

Each entry carries a digest of itself and of the digest of the entry before it. Two logs with one digest in
common are equal up to it. Two entries with the same index and different digests reveal a fault. The module
does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
import xxhash

# Kinds of log entries.
NOOP = "noop"
CONFIGURATION = "seats"
COMMAND = "change"

ENTRY_OVERHEAD_BYTES = 64  # size of an entry on the wire without its data


class Configuration(msgspec.Struct, frozen=True):
    """The voters of the group, and the non-voting learners that are catching up to become voters.

    A server is identified by its node's name and an id of its disk, as in `node-1#9f3a`. A node that lost
    its disk also lost its votes and its log (Raft figure 2), so it returns as another server.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        """Returns the voters and the learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Returns the number of voters that is a majority."""
        return len(self.voters) // 2 + 1


def node_of(server: str) -> str:
    """Returns the name of a server's node.

    >>> node_of("node-1#9f3a")
    'node-1'
    """
    return server.rpartition("#")[0]


class Entry(msgspec.Struct, frozen=True):
    """One entry of the replicated log. `kind` is NOOP, CONFIGURATION or COMMAND."""

    index: int
    term: int
    kind: str
    data: bytes
    digest: int


class Snapshot(msgspec.Struct, frozen=True):
    """Replaces all entries up to and including `index`, which had `term` and `digest` (Raft §7)."""

    index: int = 0
    term: int = 0
    digest: int = 0
    configuration: Configuration = msgspec.field(default=Configuration(), name="seats")
    data: bytes = b""


@dataclass
class PersistentState:
    """The state that a voter reads from its disk when it starts (Raft figure 2)."""

    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)


@dataclass(frozen=True)
class HardState:
    """The state that must be on disk before a vote or a reply of this term is sent (Raft figure 2)."""

    term: int
    voted_for: str


@dataclass(frozen=True)
class StorageWrite:
    """One change of the persistent state. Writes are numbered, and each is applied once, in order.

    `truncate_from` removes all entries from that index on, before `entries` are appended. `snapshot` removes
    all entries up to its own index.
    """

    number: int
    hard_state: HardState | None = None
    truncate_from: int | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


def next_entry(last: Entry | Snapshot, term: int, kind: str, data: bytes) -> Entry:
    """Returns the entry that follows `last`."""
    index = last.index + 1
    return Entry(index, term, kind, data, entry_digest(last.digest, index, term, kind, data))


def entry_digest(previous_digest: int, index: int, term: int, kind: str, data: bytes) -> int:
    """Returns the digest of an entry, chained to the digest of the entry before it."""
    header = f"{previous_digest}:{index}:{term}:{kind}:{len(data)}:".encode()
    return xxhash.xxh3_64_intdigest(header + data)


def is_successor(last: Entry | Snapshot, entry: Entry) -> bool:
    """Whether `entry` has the index and the digest of the entry that follows `last`."""
    if entry.index != last.index + 1:
        return False
    return entry.digest == entry_digest(last.digest, entry.index, entry.term, entry.kind, entry.data)


def configuration_in(entry: Entry) -> Configuration:
    """Decodes the configuration from an entry of the kind CONFIGURATION."""
    return msgspec.msgpack.decode(entry.data, type=Configuration)


class Log:
    """Holds a snapshot and the entries after it."""

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        self.snapshot = snapshot
        self.entries = entries

    @property
    def last(self) -> Entry | Snapshot:
        """Returns the last entry, or the snapshot if there are no entries after it."""
        return self.entries[-1] if self.entries else self.snapshot

    def get(self, index: int) -> Entry | Snapshot | None:
        """Returns the entry at an index, or the snapshot for the snapshot's own index.

        Returns None if the index is compacted or not yet appended.
        """
        if index == self.snapshot.index:
            return self.snapshot
        position = index - self.snapshot.index - 1
        return self.entries[position] if 0 <= position < len(self.entries) else None

    def entries_between(self, after: int, last: int) -> tuple[Entry, ...]:
        """Returns the entries after `after`, up to and including `last`."""
        start = max(0, after - self.snapshot.index)
        return tuple(self.entries[start : last - self.snapshot.index])

    def entries_after(self, index: int, max_bytes: int) -> tuple[Entry, ...]:
        """Returns as many entries after `index` as fit into `max_bytes`, and at least one if there is any."""
        selected: list[Entry] = []
        size = 0
        for entry in self.entries[max(0, index - self.snapshot.index) :]:
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if selected and size > max_bytes:
                break
            selected.append(entry)
        return tuple(selected)

    def truncate_from(self, index: int) -> None:
        """Removes the entry at `index` and all entries after it."""
        del self.entries[max(0, index - self.snapshot.index - 1) :]

    def replace_prefix(self, snapshot: Snapshot) -> None:
        """Replaces the entries up to a snapshot's index by the snapshot.

        Later entries are kept only if the log contains the snapshot's last entry (Raft §7, figure 13 rule 6).
        """
        existing = self.get(snapshot.index)
        is_same_log = existing is not None and existing.digest == snapshot.digest
        self.entries = self.entries[snapshot.index - self.snapshot.index :] if is_same_log else []
        self.snapshot = snapshot

    def latest_configuration(self, last: int | None = None) -> tuple[int, Configuration]:
        """Returns the newest configuration up to index `last`, and its index.

        If `last` is None, the whole log is searched. A server uses the newest configuration in its log,
        committed or not (Raft §6).
        """
        end = None if last is None else last - self.snapshot.index
        for entry in reversed(self.entries[:end]):
            if entry.kind == CONFIGURATION:
                return entry.index, configuration_in(entry)
        return self.snapshot.index, self.snapshot.configuration
