"""What a front keeps on disk for its seat: term, vote, log and snapshot, and its own life.

Written on a thread, several writes in one transaction, each told only once it is synced.  A disk that cannot
be written holds up the seat, which is then as if it were frozen; the front goes on.  A disk whose records do
not agree is no seat's any more: it starts as another one, which votes only after it has caught up.
"""

from __future__ import annotations

import queue
import secrets
import sqlite3
import threading
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import structlog

from ...consensus.entries import Entry, PersistentState, Snapshot, StorageWrite
from ...storage.database import Changes, Store, open_store

LOG = structlog.get_logger()
COUNCIL, FRONT = "council", "front"
AGAIN = 0.3  # seconds before a write that failed is tried again


class StoredHardState(msgspec.Struct):
    term: int
    vote: str


class StoredIdentity(msgspec.Struct):
    """`mark` is of this disk; `life` counts the front's starts."""

    mark: str
    life: int


def _key(index: int) -> str:
    return f"e{index:015d}"


class ConsensusDisk:
    """`told(number)` is called through `later` once a write is on disk."""

    def __init__(self, folder: Path, later: Callable[..., object]) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.path, self.later = folder / "council.db", later
        self.store: Store = open_store(self.path)
        self.store.database.execute("PRAGMA synchronous = FULL")
        self.notes = list(self.store.notes)
        self.saved = PersistentState()
        self.first = self.last = 0  # entries that are there
        self.own = self._read()
        self.failing = self.ended = False
        self.waiting: queue.SimpleQueue[tuple[StorageWrite, Callable[[int], object]] | None] = (
            queue.SimpleQueue()
        )
        self.thread = threading.Thread(target=self._run, name="council", daemon=True)
        self.thread.start()

    def _read(self) -> StoredIdentity:
        council, front = self.store.read(COUNCIL), self.store.read(FRONT)
        own = None
        try:
            if front.whole and "own" in front.values:
                own = msgspec.msgpack.decode(front.values["own"], type=StoredIdentity)
            if council.whole and own is not None:
                self.saved = self._saved(council.values)
            elif council.values or council.bad or front.values:
                raise ValueError(f"{council.bad} records of the council fail their checks")
        except (msgspec.DecodeError, ValueError) as error:
            self.notes.append(f"{self.path}: {error}; this front takes a seat anew, under another mark")
            self.saved = PersistentState()
            life = own.life if own else 0
            self.store.replace(COUNCIL, [], time.time() * 1000)
            own = StoredIdentity(secrets.token_hex(4), life)
        if own is None:
            own = StoredIdentity(secrets.token_hex(4), 0)
        # A clock that counts seconds is ahead of most lives that a lost disk knew.
        own.life = max(own.life + 1, int(time.time()))
        self._write({FRONT: {"own": msgspec.msgpack.encode(own)}})
        if self.saved.entries:
            self.first, self.last = self.saved.entries[0].index, self.saved.entries[-1].index
        return own

    @staticmethod
    def _saved(values: dict[str, bytes]) -> PersistentState:
        """Raises ValueError where something between is missing."""
        hard = (
            msgspec.msgpack.decode(values["hard"], type=StoredHardState)
            if "hard" in values
            else StoredHardState(0, "")
        )
        base = msgspec.msgpack.decode(values["base"], type=Snapshot) if "base" in values else Snapshot()
        entries = [
            msgspec.msgpack.decode(values[key], type=Entry) for key in sorted(values) if key.startswith("e")
        ]
        entries = [entry for entry in entries if entry.index > base.index]
        if [entry.index for entry in entries] != list(range(base.index + 1, base.index + 1 + len(entries))):
            raise ValueError("entries of the council are missing")
        return PersistentState(hard.term, hard.vote, base, entries)

    def _write(self, changes: Changes) -> None:
        self.store.write(changes, time.time() * 1000)

    def put(self, write: StorageWrite, told: Callable[[int], object]) -> None:
        self.waiting.put((write, told))

    def found(self, base: Snapshot) -> None:
        """The first snapshot of a new council, at once."""
        self.saved = PersistentState(snapshot=base)
        self._write(
            {
                COUNCIL: {
                    "base": msgspec.msgpack.encode(base),
                    "hard": msgspec.msgpack.encode(StoredHardState(0, "")),
                }
            }
        )

    def _run(self) -> None:
        while not self.ended:
            taken = [self.waiting.get()]
            while not self.waiting.empty():
                taken.append(self.waiting.get())
            writes = [one for one in taken if one is not None]
            if writes and not self._keep([write for write, _ in writes]):
                return
            for write, told in writes[-1:]:  # the numbers before it are told with it
                self.later(told, write.number)
            if None in taken:
                return

    def _keep(self, writes: list[StorageWrite]) -> bool:
        """Tries until they are on disk; false where the front ends meanwhile."""
        while not self.ended:
            changes, first, last = self._changes(writes)
            try:
                self._write({COUNCIL: changes})
            except sqlite3.Error as error:
                if not self.failing:
                    LOG.error(
                        "the council's disk cannot be written; this front's seat stands still",
                        file=str(self.path),
                        why=str(error),
                    )
                self.failing = True
                time.sleep(AGAIN)
                continue
            if self.failing:
                LOG.info("the council's disk is written again", file=str(self.path))
            self.failing = False
            self.first, self.last = first, last
            return True
        return False

    def _changes(self, writes: list[StorageWrite]) -> tuple[dict[str, bytes | None], int, int]:
        changes: dict[str, bytes | None] = {}
        first, last = self.first, self.last
        for write in writes:
            if write.hard_state is not None:
                changes["hard"] = msgspec.msgpack.encode(
                    StoredHardState(write.hard_state.term, write.hard_state.voted_for)
                )
            if write.truncate_from is not None and first:
                for index in range(max(first, write.truncate_from), last + 1):
                    changes[_key(index)] = None
                last = min(last, max(first, write.truncate_from) - 1)
            if write.snapshot is not None:
                changes["base"] = msgspec.msgpack.encode(write.snapshot)
                for index in range(first, min(last, write.snapshot.index) + 1):
                    changes[_key(index)] = None
                first = max(first, write.snapshot.index + 1)
                last = max(last, write.snapshot.index)
            for entry in write.entries:
                changes[_key(entry.index)] = msgspec.msgpack.encode(entry)
                first, last = first or entry.index, entry.index
        return changes, first, last

    def close(self) -> None:
        self.ended = True
        self.waiting.put(None)
        self.thread.join(2.0)
        if not self.thread.is_alive():
            self.store.close()
