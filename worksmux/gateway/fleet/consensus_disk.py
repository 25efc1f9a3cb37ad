"""Persistent state of this node's consensus voter: term, vote, log and snapshot, and the node's identity.

Writes run on a separate thread, with all waiting writes in one transaction, and are confirmed once they are
synced. While the disk cannot be written, the voter gets no confirmation and takes no part in consensus; the
node continues to serve. Inconsistent records are discarded: the node then joins under a new disk id, which
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
CLOSE_TIMEOUT_S = 2.0  # wait for a write in progress
DISK_ID_BYTES = 4


class StoredHardState(msgspec.Struct):
    """Raft's hard state: the current term and the vote given in it."""

    term: int
    voted_for: str = msgspec.field(name="vote")


class StoredIdentity(msgspec.Struct):
    """The identity of a node: `disk_id` tells its disk from a lost one, `generation` counts its starts."""

    disk_id: str = msgspec.field(name="mark")
    generation: int = msgspec.field(name="life")


class InconsistentStateError(WorksmuxError, ValueError):
    """The stored records fail their checksums or are inconsistent."""


@dataclass(frozen=True, slots=True)
class _PendingWrite:
    write: StorageWrite
    on_synced: Callable[[int], object]


@dataclass(frozen=True, slots=True)
class _LogRange:
    """Indexes of the first and the last stored entry; both are 0 if there was none yet."""

    first: int = 0
    last: int = 0


def _entry_key(index: int) -> str:
    return f"{ENTRY_KEY_PREFIX}{index:015d}"


def _decode_state(values: dict[str, bytes]) -> PersistentState:
    """Decodes the stored state.

    Raises msgspec.DecodeError, and InconsistentStateError if entries after the snapshot are missing.
    """
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
        raise InconsistentStateError("entries of the consensus log are missing")
    return PersistentState(hard_state.term, hard_state.voted_for, snapshot, entries)


class ConsensusDisk:
    """The database with the consensus state of this node.

    `call_in_loop(function, *arguments)` passes a call from the writing thread to the event loop.
    """

    def __init__(self, folder: Path, call_in_loop: Callable[..., object]) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder / FILE_NAME
        self._call_in_loop = call_in_loop
        self._store: Store = open_store(self.path)
        self._store.database.execute("PRAGMA synchronous = FULL")
        self.notes = list(self._store.notes)  # for the log: faults found while opening
        self.saved = PersistentState()
        self._range = _LogRange()
        self.identity = self._load()
        self._failing = self._closed = False
        self._queue: queue.SimpleQueue[_PendingWrite | None] = queue.SimpleQueue()  # None ends the thread
        self._thread = threading.Thread(target=self._run, name="council", daemon=True)
        self._thread.start()

    def _load(self) -> StoredIdentity:
        """Reads the stored state into `saved`, and returns the identity with this start counted."""
        consensus, node = self._store.read(CONSENSUS_TABLE), self._store.read(IDENTITY_TABLE)
        identity = None
        try:
            if node.is_complete and IDENTITY_KEY in node.values:
                identity = msgspec.msgpack.decode(node.values[IDENTITY_KEY], type=StoredIdentity)
            if consensus.is_complete and identity is not None:
                self.saved = _decode_state(consensus.values)
            elif consensus.values or consensus.corrupt_records or node.values:
                raise InconsistentStateError(
                    f"consensus state is incomplete: {consensus.corrupt_records} records fail their checksums"
                )
        except (msgspec.DecodeError, UnicodeDecodeError, InconsistentStateError) as error:
            identity = self._discard(identity, error)
        if identity is None:
            identity = StoredIdentity(secrets.token_hex(DISK_ID_BYTES), 0)
        # The count of starts is lost with the disk, and other nodes ignore a generation below the newest one
        # that they know. The seconds since 1970 are above nearly every count, so they are the minimum.
        identity.generation = max(identity.generation + 1, int(time.time()))
        self._write({IDENTITY_TABLE: {IDENTITY_KEY: msgspec.msgpack.encode(identity)}})
        if self.saved.entries:
            self._range = _LogRange(self.saved.entries[0].index, self.saved.entries[-1].index)
        return identity

    def _discard(self, identity: StoredIdentity | None, error: Exception) -> StoredIdentity:
        """Deletes the stored log, and returns an identity with a new disk id.

        Failure: a voter that has lost its vote or entries votes twice in a term, or elects a leader without
        committed entries. Under the new disk id it is a different server for the group, and not a voter.
        """
        self.notes.append(
            f"{self.path}: {error}; discarded, this node joins the consensus group under a new disk id"
        )
        self.saved = PersistentState()
        self._store.replace(CONSENSUS_TABLE, [], time.time() * 1000)
        generation = identity.generation if identity else 0
        return StoredIdentity(secrets.token_hex(DISK_ID_BYTES), generation)

    def _write(self, changes: Changes) -> None:
        self._store.write(changes, time.time() * 1000)

    def put(self, write: StorageWrite, on_synced: Callable[[int], object]) -> None:
        """Queues a write.

        `on_synced(number)` is called in the event loop once this write and all earlier ones are on disk. Of
        writes that are synced together, only the one with the highest number is confirmed.
        """
        self._queue.put(_PendingWrite(write, on_synced))

    def bootstrap(self, snapshot: Snapshot) -> None:
        """Writes the first snapshot of a new group and waits until it is on disk."""
        self.saved = PersistentState(snapshot=snapshot)
        records: dict[str, bytes | None] = {
            SNAPSHOT_KEY: msgspec.msgpack.encode(snapshot),
            HARD_STATE_KEY: msgspec.msgpack.encode(StoredHardState(0, "")),
        }
        self._write({CONSENSUS_TABLE: records})

    def _run(self) -> None:
        while not self._closed:
            queued = [self._queue.get()]
            while not self._queue.empty():
                queued.append(self._queue.get())
            pending = [item for item in queued if item is not None]
            if pending and not self._write_with_retry([item.write for item in pending]):
                return
            if pending:
                newest = pending[-1]
                self._call_in_loop(newest.on_synced, newest.write.number)
            if None in queued:
                return

    def _write_with_retry(self, writes: list[StorageWrite]) -> bool:
        """Retries until the writes are on disk; returns false if the disk is closed first."""
        while not self._closed:
            changes, log_range = self._changes(writes)
            try:
                self._write({CONSENSUS_TABLE: changes})
            except sqlite3.Error as error:
                self._log_failure(error)
                time.sleep(RETRY_DELAY_S)
                continue
            if self._failing:
                LOG.info("consensus state can be written to disk again", file=str(self.path))
            self._failing = False
            self._range = log_range
            return True
        return False

    def _log_failure(self, error: sqlite3.Error) -> None:
        """Logs the first failure of a series."""
        if not self._failing:
            LOG.error(
                "consensus state cannot be written to disk; "
                "this node's voter takes no part in consensus until it can be",
                file=str(self.path),
                error=str(error),
            )
        self._failing = True

    def _changes(self, writes: list[StorageWrite]) -> tuple[dict[str, bytes | None], _LogRange]:
        """Returns the records to change, and the stored range of the log after the change."""
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
        """Ends the thread; the file stays open if a write is still in progress after CLOSE_TIMEOUT_S."""
        self._closed = True
        self._queue.put(None)
        self._thread.join(CLOSE_TIMEOUT_S)
        if not self._thread.is_alive():
            self._store.close()
