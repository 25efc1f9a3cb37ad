"""The store's file: one SQLite database, changed in whole transactions.

A missing or empty file starts empty. A damaged one gives the records that pass their checksums, and is moved
aside if SQLite cannot use it. A database of another program, one of a newer version, and one that cannot be
written are left as they are; the node then serves without stored state, or only reads it.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable
from pathlib import Path

from .errors import StoreUnusableError
from .records import Manifest, Table, checksum, seal_manifest, stored_checksum, unseal_manifest, verify_table
from .recovery import OPEN_TIMEOUT_S, IntactRecords, move_aside, read_intact_records

APPLICATION_ID = 0x574D5558  # "WMUX", in the header of the database
SCHEMA_VERSION = 1
SCHEMA = """
CREATE TABLE IF NOT EXISTS record (tab TEXT NOT NULL, key TEXT NOT NULL, value BLOB NOT NULL,
    sum INTEGER NOT NULL, PRIMARY KEY (tab, key)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS manifest (tab TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
"""
Changes = dict[str, dict[str, bytes | None]]  # table, key, value; None deletes


class Store:
    """An open store, made by `open_store`. Not for use by several threads at once.

    `notes` tells operators what was found wrong with the file when it was opened. Times are milliseconds
    since 1970.
    """

    def __init__(
        self, path: Path, database: sqlite3.Connection, notes: list[str], read_only: bool = False
    ) -> None:
        self.path = path
        self.database = database
        self.notes = notes
        self.read_only = read_only

    def read(self, table: str) -> Table:
        """The records of a table that pass their checksums; never raises for what the file holds."""
        try:
            rows = self.database.execute(
                "SELECT key, value, sum FROM record WHERE tab = ?", (table,)
            ).fetchall()
            manifest = self._manifest(table)
        except (sqlite3.DatabaseError, OverflowError, UnicodeError):
            return Table(corrupt_records=1)
        records = [
            (key, value, stored)
            for key, value, stored in rows
            if isinstance(key, str) and isinstance(value, bytes) and isinstance(stored, int)
        ]
        return verify_table(table, records, manifest)

    def write(self, changes: Changes, now_ms: float) -> None:
        """Makes all changes in one transaction; raises sqlite3.Error and leaves the file as it was."""
        with self.database:
            self.database.execute("BEGIN IMMEDIATE")
            for table, entries in changes.items():
                self._write_table(table, entries, now_ms)

    def replace(self, table: str, entries: Iterable[tuple[str, bytes]], now_ms: float) -> None:
        """Replaces the whole table in one transaction; raises sqlite3.Error and leaves the file as it was."""
        with self.database:
            self.database.execute("BEGIN IMMEDIATE")
            self.database.execute("DELETE FROM record WHERE tab = ?", (table,))
            self.delete_manifest(table)
            self._write_table(table, dict(entries), now_ms)

    def delete_manifest(self, table: str) -> None:
        """Leaves the table without a manifest: it is read as not whole until it is replaced."""
        self.database.execute("DELETE FROM manifest WHERE tab = ?", (table,))

    def close(self) -> None:
        """Closes the file; nothing else may be called after it."""
        self.database.close()

    def _manifest(self, table: str) -> Manifest | None:
        row = self.database.execute("SELECT value FROM manifest WHERE tab = ?", (table,)).fetchone()
        return unseal_manifest(row[0]) if row and isinstance(row[0], bytes) else None

    def _write_table(self, table: str, entries: dict[str, bytes | None], now_ms: float) -> None:
        """Makes the changes of one table within a transaction.

        A missing or broken manifest is begun anew from zero. It does not agree with the records that were
        there before, so a damaged table is not taken for a whole one after the next write.
        """
        manifest = self._manifest(table)
        if manifest is None or not manifest.saved_at_ms:
            manifest = Manifest(0, 0, now_ms)
        for key, value in entries.items():
            self._write_record(manifest, table, key, value)
        manifest.saved_at_ms = now_ms
        self.database.execute(
            "INSERT OR REPLACE INTO manifest VALUES (?, ?)", (table, seal_manifest(manifest))
        )

    def _write_record(self, manifest: Manifest, table: str, key: str, value: bytes | None) -> None:
        """Stores or deletes one record and keeps the manifest in step."""
        execute = self.database.execute
        old = execute("SELECT value FROM record WHERE tab = ? AND key = ?", (table, key)).fetchone()
        if old:
            manifest.remove(checksum(table, key, old[0]))
        if value is None:
            execute("DELETE FROM record WHERE tab = ? AND key = ?", (table, key))
            return
        manifest.add(checksum(table, key, value))
        execute(
            "INSERT OR REPLACE INTO record VALUES (?, ?, ?, ?)",
            (table, key, value, stored_checksum(table, key, value)),
        )


def open_store(path: str | Path) -> Store:
    """Opens the store, or creates it; raises StoreUnusableError where the file must be left alone.

    A broken file is moved aside and its intact records are copied into a new one. Their tables have no
    manifest, so they are read as not whole. The store's `notes` say so.
    """
    path = Path(path)
    try:
        return Store(path, _connect(path), [])
    except sqlite3.OperationalError as error:
        return _open_read_only(path, error)
    except (sqlite3.DatabaseError, UnicodeError) as error:
        return _rebuild(path, error)


def _connect(path: Path) -> sqlite3.Connection:
    """A checked connection; raises StoreUnusableError, or sqlite3.DatabaseError for a broken file."""
    database = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=OPEN_TIMEOUT_S)
    try:
        _check_owner(path, database)
        database.execute("PRAGMA journal_mode = WAL")
        database.execute("PRAGMA synchronous = NORMAL")
        database.execute(f"PRAGMA application_id = {APPLICATION_ID}")
        database.execute(f"PRAGMA user_version = {SCHEMA_VERSION}")
        database.executescript(SCHEMA)
        if database.execute("PRAGMA quick_check(1)").fetchone()[0] != "ok":
            raise sqlite3.DatabaseError("its pages do not agree")
    except BaseException:
        database.close()
        raise
    return database


def _check_owner(path: Path, database: sqlite3.Connection) -> None:
    """Raises StoreUnusableError for a database of another program or of a newer version."""
    database.execute("PRAGMA trusted_schema = OFF")
    application_id, version = _header(database)
    tables = database.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
    if application_id != APPLICATION_ID and tables:
        raise StoreUnusableError(f"{path} is a database of another program; name another file")
    if application_id == APPLICATION_ID and version > SCHEMA_VERSION:
        raise StoreUnusableError(
            f"{path} was written by a newer worksmux (version {version}, here {SCHEMA_VERSION}); "
            "it is left as it is: upgrade, or name another file"
        )


def _header(database: sqlite3.Connection) -> tuple[int, int]:
    """The application id and schema version in the database's header."""
    application_id: int = database.execute("PRAGMA application_id").fetchone()[0]
    version: int = database.execute("PRAGMA user_version").fetchone()[0]
    return application_id, version


def _open_read_only(path: Path, error: sqlite3.OperationalError) -> Store:
    """Opens a file that cannot be written: its state is served from, and changes are not kept."""
    try:
        database = sqlite3.connect(
            f"file:{path}?mode=ro&immutable=1",
            uri=True,
            isolation_level=None,
            check_same_thread=False,
            timeout=OPEN_TIMEOUT_S,
        )
        application_id, version = _header(database)
    except sqlite3.Error:
        application_id = version = 0
    if application_id != APPLICATION_ID or version > SCHEMA_VERSION:
        raise StoreUnusableError(
            f"{path} cannot be opened or written ({error}); the front goes on without memory"
        )
    return Store(path, database, [f"{path} cannot be written ({error}); it is only read"], read_only=True)


def _rebuild(path: Path, error: Exception) -> Store:
    """Moves a broken file aside and copies its intact records into a new one; raises StoreUnusableError."""
    intact = read_intact_records(path)
    try:
        kept_as = move_aside(path)
        store = Store(path, _connect(path), [])
    except (OSError, sqlite3.Error) as second:
        raise StoreUnusableError(
            f"{path} is broken ({error}) and cannot be moved aside ({second})"
        ) from second
    count = sum(map(len, intact.values()))
    store.notes.append(
        f"{path} was broken ({error}); it is kept as {kept_as.name}; {count} records were salvaged"
    )
    _restore(store, intact)
    return store


def _restore(store: Store, intact: IntactRecords) -> None:
    """Copies records into a new store; a failure is noted, and the store is used with what it has."""
    try:
        for table, records in intact.items():
            store.replace(table, records, 0.0)
            store.delete_manifest(table)
    except sqlite3.Error as error:
        store.notes.append(f"what was salvaged could not be written: {error}")
