"""The store's file: one SQLite database, opened with care, written in whole transactions.

Every way of being broken has a plain answer: a file that is missing or empty starts empty; one that is torn
or has flipped bits gives what passes its checks, and is moved aside if SQLite itself cannot go on; a foreign
file, one of a newer version, or one that cannot be written is left as it is, and the front goes on without
memory.
"""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Iterable
from pathlib import Path

import msgspec

from .records import WORD, Manifest, Table, check, checksum, seal

OURS = 0x574D5558  # "WMUX", the database's application id
VERSION = 1
SCHEMA = """
CREATE TABLE IF NOT EXISTS record (tab TEXT NOT NULL, key TEXT NOT NULL, value BLOB NOT NULL,
    sum INTEGER NOT NULL, PRIMARY KEY (tab, key)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS manifest (tab TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
"""
Changes = dict[str, dict[str, bytes | None]]  # table, key, value; None deletes


class Unusable(Exception):
    """The file is not ours to use; the message says why and what to do."""


class Store:
    """Opened by `open_store`.  Not for use by several threads at once."""

    def __init__(
        self, path: Path, database: sqlite3.Connection, notes: list[str], read_only: bool = False
    ) -> None:
        self.path, self.database, self.notes, self.read_only = path, database, notes, read_only

    def read(self, table: str) -> Table:
        """A table as far as it can be believed; never raises for what the file holds."""
        try:
            rows = self.database.execute(
                "SELECT key, value, sum FROM record WHERE tab = ?", (table,)
            ).fetchall()
            row = self.database.execute("SELECT value FROM manifest WHERE tab = ?", (table,)).fetchone()
        except (sqlite3.DatabaseError, OverflowError, UnicodeError):
            return Table(bad=1)
        rows = [
            (key, value, stored)
            for key, value, stored in rows
            if isinstance(key, str) and isinstance(value, bytes) and isinstance(stored, int)
        ]
        manifest = row[0] if row and isinstance(row[0], bytes) else None
        return check(table, rows, manifest)

    def write(self, changes: Changes, now: float) -> None:
        """All changes in one transaction; raises sqlite3.Error and leaves the file as it was."""
        with self.database:
            self.database.execute("BEGIN IMMEDIATE")
            for table, entries in changes.items():
                self._write_table(table, entries, now)

    def _write_table(self, table: str, entries: dict[str, bytes | None], now: float) -> None:
        run = self.database.execute
        row = run("SELECT value FROM manifest WHERE tab = ?", (table,)).fetchone()
        told = check(table, [], row[0] if row else None)
        manifest = Manifest(0, 0, now)
        if row and told.saved_at:
            manifest = msgspec.msgpack.decode(row[0][8:], type=Manifest)
        for key, value in entries.items():
            old = run("SELECT value FROM record WHERE tab = ? AND key = ?", (table, key)).fetchone()
            if old:
                manifest.count -= 1
                manifest.total = (manifest.total - checksum(table, key, old[0])) & WORD
            if value is None:
                run("DELETE FROM record WHERE tab = ? AND key = ?", (table, key))
                continue
            own = checksum(table, key, value)
            manifest.count += 1
            manifest.total = (manifest.total + own) & WORD
            run("INSERT OR REPLACE INTO record VALUES (?, ?, ?, ?)", (table, key, value, own & (WORD >> 1)))
        manifest.saved_at = now
        run("INSERT OR REPLACE INTO manifest VALUES (?, ?)", (table, seal(msgspec.msgpack.encode(manifest))))

    def replace(self, table: str, entries: Iterable[tuple[str, bytes]], now: float) -> None:
        """The whole table anew, in one transaction."""
        with self.database:
            self.database.execute("BEGIN IMMEDIATE")
            self.database.execute("DELETE FROM record WHERE tab = ?", (table,))
            self.database.execute("DELETE FROM manifest WHERE tab = ?", (table,))
            self._write_table(table, dict(entries), now)

    def close(self) -> None:
        self.database.close()


def _connect(path: Path) -> sqlite3.Connection:
    database = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=1.0)
    try:
        database.execute("PRAGMA trusted_schema = OFF")
        mark = database.execute("PRAGMA application_id").fetchone()[0]
        version = database.execute("PRAGMA user_version").fetchone()[0]
        tables = database.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
        if mark != OURS and tables:
            raise Unusable(f"{path} is a database of another program; name another file")
        if mark == OURS and version > VERSION:
            raise Unusable(
                f"{path} was written by a newer worksmux (version {version}, here {VERSION}); it is left as "
                "it is: upgrade, or name another file"
            )
        database.execute("PRAGMA journal_mode = WAL")
        database.execute("PRAGMA synchronous = NORMAL")
        database.execute(f"PRAGMA application_id = {OURS}")
        database.execute(f"PRAGMA user_version = {VERSION}")
        database.executescript(SCHEMA)
        if database.execute("PRAGMA quick_check(1)").fetchone()[0] != "ok":
            raise sqlite3.DatabaseError("its pages do not agree")
    except BaseException:
        database.close()
        raise
    return database


def _aside(path: Path) -> Path:
    """Moves a broken database out of the way, with what belongs to it."""
    number = 1
    while (target := path.with_name(f"{path.name}.broken-{number}")).exists():
        number += 1
    os.replace(path, target)
    for ending in ("-wal", "-shm"):
        part = path.with_name(path.name + ending)
        if part.exists():
            os.replace(part, target.with_name(target.name + ending))
    return target


def _salvage(path: Path) -> dict[str, list[tuple[str, bytes]]]:
    """What can still be read of a broken database and passes its checks."""
    found: dict[str, list[tuple[str, bytes]]] = {}
    try:
        database = sqlite3.connect(f"file:{path}?mode=ro", uri=True, timeout=1.0)
    except sqlite3.Error:
        return found
    try:
        for table, key, value, stored in database.execute("SELECT tab, key, value, sum FROM record"):
            if (
                isinstance(value, bytes)
                and isinstance(table, str)
                and isinstance(key, str)
                and checksum(table, key, value) & (WORD >> 1) == stored
            ):
                found.setdefault(table, []).append((key, value))
    except (sqlite3.Error, OverflowError, UnicodeError):
        pass
    finally:
        database.close()
    return found


def _read_only(path: Path, error: sqlite3.OperationalError) -> Store:
    """A file that cannot be written may still be read: what it holds is served from, and kept no further."""
    try:
        database = sqlite3.connect(
            f"file:{path}?mode=ro&immutable=1",
            uri=True,
            isolation_level=None,
            check_same_thread=False,
            timeout=1.0,
        )
        mark = database.execute("PRAGMA application_id").fetchone()[0]
        version = database.execute("PRAGMA user_version").fetchone()[0]
    except sqlite3.Error:
        mark = version = 0
    if mark != OURS or version > VERSION:
        raise Unusable(f"{path} cannot be opened or written ({error}); the front goes on without memory")
    return Store(path, database, [f"{path} cannot be written ({error}); it is only read"], read_only=True)


def open_store(path: str | Path) -> Store:
    """Opens or makes the store; raises Unusable where the file must be left alone.

    What was moved aside or salvaged stands in the store's `notes`.  Salvaged tables have no manifest, so they
    are told as not whole.
    """
    path = Path(path)
    notes: list[str] = []
    try:
        return Store(path, _connect(path), notes)
    except sqlite3.OperationalError as error:
        return _read_only(path, error)
    except (sqlite3.DatabaseError, UnicodeError) as error:
        saved = _salvage(path)
        try:
            target = _aside(path)
            store = Store(path, _connect(path), notes)
        except (OSError, sqlite3.Error) as second:
            raise Unusable(f"{path} is broken ({error}) and cannot be moved aside ({second})") from second
        count = sum(map(len, saved.values()))
        notes.append(
            f"{path} was broken ({error}); it is kept as {target.name}; {count} records were salvaged"
        )
        try:
            for table, entries in saved.items():
                store.replace(table, entries, 0.0)
                store.database.execute("DELETE FROM manifest WHERE tab = ?", (table,))
        except sqlite3.Error as second:
            notes.append(f"what was salvaged could not be written: {second}")
        return store
