"""The state that the log's commands add up to: a small map of keys to bounded values (Raft §2). Pure.

A command may name the version of the value that it builds on. If that is no longer the current one, every
server ignores the command alike, so that of two concurrent writers neither overwrites the other unseen.
"""

from __future__ import annotations

import msgspec
import xxhash

from .entries import COMMAND, Entry, Snapshot

MAX_KEYS = 64
MAX_VALUE_BYTES = 65_536
PLAN_KEY = "plan"
ANY_VERSION = -1


class Put(msgspec.Struct, frozen=True):
    """A command: set a key if its value still has the version `expected_index`.

    ANY_VERSION sets it unconditionally. The version of a key that does not exist is 0.
    """

    key: str = msgspec.field(name="chapter")
    value: bytes
    expected_index: int = msgspec.field(default=ANY_VERSION, name="after")


class VersionedValue(msgspec.Struct, frozen=True):
    """A value; its version is the index of the entry that last changed it."""

    index: int
    value: bytes


class StateSnapshot(msgspec.Struct):
    """The data of a snapshot."""

    index: int
    values: dict[str, VersionedValue] = msgspec.field(name="chapters")


class KeyValueState:
    """
    >>> from .entries import next_entry
    >>> state, command = KeyValueState(), msgspec.msgpack.encode(Put("plan", b"one", 0))
    >>> state.apply(next_entry(Snapshot(), 1, COMMAND, command)), state.values["plan"].value, state.index
    ('plan', b'one', 1)
    """

    def __init__(self) -> None:
        self.index = 0  # of the last entry that was applied
        self.values: dict[str, VersionedValue] = {}

    def apply(self, entry: Entry) -> str:
        """Applies a committed entry; returns the key that it changed, empty if none."""
        self.index = entry.index
        if entry.kind != COMMAND:
            return ""
        try:
            put = msgspec.msgpack.decode(entry.data, type=Put)
        except msgspec.DecodeError:
            return ""  # written by a newer version of the program; all servers of this version ignore it
        old = self.values.get(put.key)
        outdated = put.expected_index >= 0 and put.expected_index != (old.index if old else 0)
        full = old is None and len(self.values) >= MAX_KEYS
        if outdated or full or len(put.value) > MAX_VALUE_BYTES:
            return ""
        self.values[put.key] = VersionedValue(entry.index, put.value)
        return put.key

    def snapshot_data(self) -> bytes:
        return msgspec.msgpack.encode(StateSnapshot(self.index, dict(sorted(self.values.items()))))

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the state by that of a snapshot; one without data is the start of an empty group."""
        if snapshot.data:
            restored = msgspec.msgpack.decode(snapshot.data, type=StateSnapshot)
            self.index, self.values = restored.index, restored.values
        else:
            self.index, self.values = snapshot.index, {}

    def state_hash(self) -> int:
        """A hash of all values: nodes that have applied the same index have the same hash."""
        return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(dict(sorted(self.values.items()))))
