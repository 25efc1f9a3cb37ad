"""The replicated key-value state that results from the log's commands (Raft §2): a small, bounded map.

A command may name the version of the value that it is based on. If that is no longer the current one, every
server ignores the command. So neither of two concurrent writers overwrites the other unseen. The module does
no I/O.
"""

from __future__ import annotations

import msgspec
import xxhash

from .entries import COMMAND, Entry, Snapshot

MAX_KEYS = 64
MAX_VALUE_BYTES = 65_536
PLAN_KEY = "plan"
ANY_VERSION = -1  # as `expected_index`: set the value whatever its version is


class Put(msgspec.Struct, frozen=True):
    """A command that sets a key if its value still has the version `expected_index`.

    ANY_VERSION sets the key unconditionally. The version of a key that does not exist is 0.
    """

    key: str = msgspec.field(name="chapter")
    value: bytes
    expected_index: int = msgspec.field(default=ANY_VERSION, name="after")


class VersionedValue(msgspec.Struct, frozen=True):
    """A value and its version: the index of the entry that last changed it."""

    index: int
    value: bytes


class StateSnapshot(msgspec.Struct):
    """The content of `Snapshot.data`."""

    index: int
    values: dict[str, VersionedValue] = msgspec.field(name="chapters")


class KeyValueState:
    """The replicated key-value state at one index of the log.

    >>> from .entries import next_entry
    >>> state, command = KeyValueState(), msgspec.msgpack.encode(Put("plan", b"one", 0))
    >>> state.apply(next_entry(Snapshot(), 1, COMMAND, command)), state.values["plan"].value, state.index
    ('plan', b'one', 1)
    """

    def __init__(self) -> None:
        self.index = 0  # index of the last entry that was applied
        self.values: dict[str, VersionedValue] = {}

    def apply(self, entry: Entry) -> str:
        """Applies a committed entry. Returns the key that it changed, empty if none."""
        self.index = entry.index
        if entry.kind != COMMAND:
            return ""
        try:
            put = msgspec.msgpack.decode(entry.data, type=Put)
        except msgspec.DecodeError:
            return ""  # written by a newer version of the program; all servers of this version ignore it
        current = self.values.get(put.key)
        is_outdated = put.expected_index >= 0 and put.expected_index != (current.index if current else 0)
        is_full = current is None and len(self.values) >= MAX_KEYS
        if is_outdated or is_full or len(put.value) > MAX_VALUE_BYTES:
            return ""
        self.values[put.key] = VersionedValue(entry.index, put.value)
        return put.key

    def snapshot_data(self) -> bytes:
        """Returns the encoded state, for a snapshot."""
        return msgspec.msgpack.encode(StateSnapshot(self.index, dict(sorted(self.values.items()))))

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the state by that of a snapshot.

        A snapshot without data gives an empty state, as at the start of a group.
        """
        if snapshot.data:
            restored = msgspec.msgpack.decode(snapshot.data, type=StateSnapshot)
            self.index, self.values = restored.index, restored.values
        else:
            self.index, self.values = snapshot.index, {}

    def state_hash(self) -> int:
        """Returns a hash of all values. Nodes that have applied the same index have the same hash."""
        return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(dict(sorted(self.values.items()))))
