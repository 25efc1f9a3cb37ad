"""Writes to the store on a thread of its own: changes are merged while they wait, and a job never waits for
them."""

from __future__ import annotations

import sqlite3
import threading
from collections.abc import Callable
from time import time

from .database import Changes, Store


class Writer:
    """At most one write in `pause` seconds.  `on_error` is called on the thread, once for each row of
    failures."""

    def __init__(self, store: Store, pause: float, on_error: Callable[[str], None]) -> None:
        self.store, self.pause, self.on_error = store, pause, on_error
        self.pending: Changes = {}  # bounded by the keys that there are
        self.writing: Changes = {}  # on its way to the disk
        self.lock, self.due, self.ended = threading.Lock(), threading.Event(), threading.Event()
        self.failing = False
        self.writes = 0
        self.thread = threading.Thread(target=self._run, name="store", daemon=True)
        self.thread.start()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        with self.lock:
            self.pending.setdefault(table, {})[key] = value
        self.due.set()

    def waits(self, table: str) -> set[str]:
        """The keys of a table that are not on disk as they were last put."""
        with self.lock:
            return {*self.pending.get(table, ()), *self.writing.get(table, ())}

    def _run(self) -> None:
        while not self.ended.is_set():
            self.due.wait()
            self.due.clear()
            self.flush()
            self.ended.wait(self.pause)

    def flush(self) -> None:
        """Writes what waits; what cannot be written waits on."""
        with self.lock:
            changes, self.pending = self.pending, {}
            self.writing = changes
        if not changes:
            return
        try:
            self.store.write(changes, time() * 1000)
            with self.lock:
                self.writing = {}
            self.writes += 1
            self.failing = False
        except sqlite3.Error as error:
            with self.lock:
                for table, entries in changes.items():
                    self.pending[table] = entries | self.pending.get(table, {})
                self.writing = {}
            if not self.failing:
                self.on_error(f"the store cannot be written: {error}; the front goes on, and tries again")
            self.failing = True
            self.due.set()

    def close(self) -> None:
        """Writes once more and ends the thread."""
        self.ended.set()
        self.due.set()
        self.thread.join(2.0)
        self.flush()
        self.store.close()
