"""A background thread that writes to the store, so that no request waits for the disk.

Waiting changes are merged.
"""

from __future__ import annotations

import sqlite3
import threading
from collections.abc import Callable
from time import time

from .database import Changes, Store

CLOSE_TIMEOUT_S = 2.0  # wait for a write in progress when the writer is closed


class Writer:
    """Writes pending changes to a store, at most once in `pause_s` seconds.

    The writer's thread calls `on_error` once for each series of consecutive failed writes.
    """

    def __init__(self, store: Store, pause_s: float, on_error: Callable[[str], None]) -> None:
        self.store = store
        self.pause_s = pause_s
        self.on_error = on_error
        self._pending: Changes = {}  # only the last value of each key
        self._in_progress: Changes = {}
        self._failing = False
        self._lock = threading.Lock()
        self._has_work = threading.Event()
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Schedules a value to be written; None deletes. It replaces a pending value of the same key."""
        with self._lock:
            self._pending.setdefault(table, {})[key] = value
        self._has_work.set()

    def unwritten_keys(self, table: str) -> set[str]:
        """Returns the keys of a table whose last value is not on disk yet."""
        with self._lock:
            return {*self._pending.get(table, ()), *self._in_progress.get(table, ())}

    def close(self) -> None:
        """Stops the thread, writes the pending changes and closes the store."""
        self._closed.set()
        self._has_work.set()
        self._thread.join(CLOSE_TIMEOUT_S)
        self._flush()
        self.store.close()

    def _run(self) -> None:
        while not self._closed.is_set():
            self._has_work.wait()
            self._has_work.clear()
            self._flush()
            self._closed.wait(self.pause_s)

    def _flush(self) -> None:
        """Writes all pending changes. Those that cannot be written stay pending."""
        with self._lock:
            changes, self._pending = self._pending, {}
            self._in_progress = changes
        if not changes:
            return
        try:
            self.store.write(changes, time() * 1000)
        except sqlite3.Error as error:
            self._return_to_pending(changes)
            self._report(error)
            self._has_work.set()
        else:
            with self._lock:
                self._in_progress = {}
            self._failing = False

    def _return_to_pending(self, changes: Changes) -> None:
        """Merges changes that were not written with those put meanwhile, which are newer."""
        with self._lock:
            for table, entries in changes.items():
                self._pending[table] = entries | self._pending.get(table, {})
            self._in_progress = {}

    def _report(self, error: sqlite3.Error) -> None:
        if not self._failing:
            self.on_error(f"the store cannot be written: {error}; the node continues and retries the write")
        self._failing = True
