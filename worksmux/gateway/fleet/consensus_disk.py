"""Persistent state of this node's consensus voter: term, vote, log and snapshot, and the node's identity.

Writes run on a thread of their own, those that wait together in one transaction, and are reported once they
are synced. While the disk cannot be written the voter gets no confirmation and takes no part; the node itself
goes on. Records that contradict each other are discarded: the node then joins under a new identity, which
votes only after it has caught up.
"""

from __future__ import annotations

import queue
import secrets
import sqlite3
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec
import structlog

from ...consensus.entries import Entry, PersistentState, Snapshot, StorageWrite
from ...errors import WorksmuxError
from ...storage.database import Changes, Store, open_store

LOG = structlog.get_logger()
FILE_NAME = "council.db"
CONSENSUS_TABLE, IDENTITY_TABLE = "council", "front"
HARD_STATE_KEY, SNAPSHOT_KEY, IDENTITY_KEY = "hard", "base", "own"
ENTRY_KEY_PREFIX = "e"
RETRY_DELAY_S = 0.3  # after a failed write
CLOSE_TIMEOUT_S = 2.0  # for the write that is under way
DISK_ID_BYTES = 4


class StoredHardState(msgspec.Struct):
    """Raft's hard state: the current term and the vote given in it."""

    term: int
    voted_for: str = msgspec.field(name="vote")


class StoredIdentity(msgspec.Struct):
    """`disk_id` distinguishes this disk from an earlier, lost one; `generation` counts the node's starts."""

    disk_id: str = msgspec.field(name="mark")
    generation: int = msgspec.field(name="life")


class InconsistentStateError(WorksmuxError, ValueError):
    """The stored records fail their checks or contradict each other."""


@dataclass(frozen=True, slots=True)
class _PendingWrite:
    write: StorageWrite
    on_synced: Callable[[int], object]


@dataclass(frozen=True, slots=True)
class _LogRange:
    """Indexes of the first and the last stored entry; both 0 if there was none yet."""

    first: int = 0
    last: int = 0


def _entry_key(index: int) -> str:
    return f"{ENTRY_KEY_PREFIX}{index:015d}"


def _decode_state(values: dict[str, bytes]) -> PersistentState:
    """Raises msgspec.DecodeError, and InconsistentStateError if entries are missing in between."""
    hard_state = StoredHardState(0, "")
    if HARD_STATE_KEY in values:
        hard_state = msgspec.msgpack.decode(values[HARD_STATE_KEY], type=StoredHardState)
    snapshot = Snapshot()
    if SNAPSHOT_KEY in values:
        snapshot = msgspec.msgpack.decode(values[SNAPSHOT_KEY], type=Snapshot)
    keys = sorted(key for key in values if key.startswith(ENTRY_KEY_PREFIX))
    stored = [msgspec.msgpack.decode(values[key], type=Entry) for key in keys]
    entries = [entry for entry in stored if entry.index > snapshot.index]
    first = snapshot.index + 1
    if [entry.index for entry in entries] != list(range(first, first + len(entries))):
        raise InconsistentStateError("entries of the council are missing")
    return PersistentState(hard_state.term, hard_state.voted_for, snapshot, entries)


class ConsensusDisk:
    """`call_in_loop(function, *arguments)` hands a call from the writing thread to the event loop."""

    def __init__(self, folder: Path, call_in_loop: Callable[..., object]) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder / FILE_NAME
        self._call_in_loop = call_in_loop
        self._store: Store = open_store(self.path)
        self._store.database.execute("PRAGMA synchronous = FULL")
        self.notes = list(self._store.notes)  # faults found while opening, for the log
        self.saved = PersistentState()
        self._range = _LogRange()
        self.identity = self._load()
        self._failing = self._closed = False
        self._queue: queue.SimpleQueue[_PendingWrite | None] = queue.SimpleQueue()  # None: end
        self._thread = threading.Thread(target=self._run, name="council", daemon=True)
        self._thread.start()

    def _load(self) -> StoredIdentity:
        """Reads what is stored into `saved` and counts this start."""
        consensus, node = self._store.read(CONSENSUS_TABLE), self._store.read(IDENTITY_TABLE)
        identity = None
        try:
            if node.is_complete and IDENTITY_KEY in node.values:
                identity = msgspec.msgpack.decode(node.values[IDENTITY_KEY], type=StoredIdentity)
            if consensus.is_complete and identity is not None:
                self.saved = _decode_state(consensus.values)
            elif consensus.values or consensus.corrupt_records or node.values:
                raise InconsistentStateError(
                    f"{consensus.corrupt_records} records of the council fail their checks"
                )
        except (msgspec.DecodeError, UnicodeDecodeError, InconsistentStateError) as error:
            identity = self._discard(identity, error)
        if identity is None:
            identity = StoredIdentity(secrets.token_hex(DISK_ID_BYTES), 0)
        # A lost disk takes the count of starts with it. Others would ignore a generation below one that they
        # know; the clock's seconds are above nearly every count.
        identity.generation = max(identity.generation + 1, int(time.time()))
        self._write({IDENTITY_TABLE: {IDENTITY_KEY: msgspec.msgpack.encode(identity)}})
        if self.saved.entries:
            self._range = _LogRange(self.saved.entries[0].index, self.saved.entries[-1].index)
        return identity

    def _discard(self, identity: StoredIdentity | None, error: Exception) -> StoredIdentity:
        """Empties the log and takes a new disk id.

        Failure: a voter that has lost its vote or entries votes twice in a term, or elects a leader without
        committed entries. Under the new id it is another server to the group, and not a voter.
        """
        self.notes.append(f"{self.path}: {error}; this front takes a seat anew, under another mark")
        self.saved = PersistentState()
        self._store.replace(CONSENSUS_TABLE, [], time.time() * 1000)
        generation = identity.generation if identity else 0
        return StoredIdentity(secrets.token_hex(DISK_ID_BYTES), generation)

    def _write(self, changes: Changes) -> None:
        self._store.write(changes, time.time() * 1000)

    def put(self, write: StorageWrite, on_synced: Callable[[int], object]) -> None:
        """Queues a write; `on_synced(number)` is called in the event loop once this write and all before it
        are on disk, and only with the highest number of those synced together."""
        self._queue.put(_PendingWrite(write, on_synced))

    def bootstrap(self, snapshot: Snapshot) -> None:
        """Writes the first snapshot of a new group before it returns."""
        self.saved = PersistentState(snapshot=snapshot)
        records: dict[str, bytes | None] = {
            SNAPSHOT_KEY: msgspec.msgpack.encode(snapshot),
            HARD_STATE_KEY: msgspec.msgpack.encode(StoredHardState(0, "")),
        }
        self._write({CONSENSUS_TABLE: records})

    def _run(self) -> None:
        while not self._closed:
            taken = [self._queue.get()]
            while not self._queue.empty():
                taken.append(self._queue.get())
            pending = [item for item in taken if item is not None]
            if pending and not self._write_with_retry([item.write for item in pending]):
                return
            if pending:
                newest = pending[-1]
                self._call_in_loop(newest.on_synced, newest.write.number)
            if None in taken:
                return

    def _write_with_retry(self, writes: list[StorageWrite]) -> bool:
        """Retries until the writes are on disk; false if the node ends first."""
        while not self._closed:
            changes, log_range = self._changes(writes)
            try:
                self._write({CONSENSUS_TABLE: changes})
            except sqlite3.Error as error:
                self._log_failure(error)
                time.sleep(RETRY_DELAY_S)
                continue
            if self._failing:
                LOG.info("the council's disk is written again", file=str(self.path))
            self._failing = False
            self._range = log_range
            return True
        return False

    def _log_failure(self, error: sqlite3.Error) -> None:
        """Once for each series of failures."""
        if not self._failing:
            LOG.error(
                "the council's disk cannot be written; this front's seat stands still",
                file=str(self.path),
                why=str(error),
            )
        self._failing = True

    def _changes(self, writes: list[StorageWrite]) -> tuple[dict[str, bytes | None], _LogRange]:
        """The records to change, and the stored range of the log after that."""
        changes: dict[str, bytes | None] = {}
        first, last = self._range.first, self._range.last
        for write in writes:
            if write.hard_state is not None:
                hard_state = StoredHardState(write.hard_state.term, write.hard_state.voted_for)
                changes[HARD_STATE_KEY] = msgspec.msgpack.encode(hard_state)
            if write.truncate_from is not None and first:
                truncate_from = max(first, write.truncate_from)
                for index in range(truncate_from, last + 1):
                    changes[_entry_key(index)] = None
                last = min(last, truncate_from - 1)
            if write.snapshot is not None:
                changes[SNAPSHOT_KEY] = msgspec.msgpack.encode(write.snapshot)
                for index in range(first, min(last, write.snapshot.index) + 1):
                    changes[_entry_key(index)] = None
                first = max(first, write.snapshot.index + 1)
                last = max(last, write.snapshot.index)
            for entry in write.entries:
                changes[_entry_key(entry.index)] = msgspec.msgpack.encode(entry)
                first, last = first or entry.index, entry.index
        return changes, _LogRange(first, last)

    def close(self) -> None:
        """Ends the thread; the file stays open if a write is still under way after CLOSE_TIMEOUT_S."""
        self._closed = True
        self._queue.put(None)
        self._thread.join(CLOSE_TIMEOUT_S)
        if not self._thread.is_alive():
            self._store.close()
