"""The store's SQLite database, which is changed only in complete transactions.

A missing or empty file gives an empty store. From a damaged file the records that pass their checksums are
read. The file is moved aside if SQLite cannot use it. A database of another program, one with a newer schema
version, and one that cannot be written are left unchanged. The node then serves without stored state, or uses
the file read-only.
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
Changes = dict[str, dict[str, bytes | None]]  # table -> key -> value; None deletes the key


class Store:
    """An open store, created by `open_store`. It must not be used by several threads at once.

    `notes` tells operators which faults were found when the file was opened. Times are milliseconds since
    1970.
    """

    def __init__(
        self, path: Path, database: sqlite3.Connection, notes: list[str], read_only: bool = False
    ) -> None:
        self.path = path
        self.database = database
        self.notes = notes
        self.read_only = read_only

    def read(self, table: str) -> Table:
        """Returns the records of a table that pass their checksums. No content of the file makes it raise."""
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
        """Applies all changes in one transaction.

        On sqlite3.Error, which it raises, the file is unchanged.
        """
        with self.database:
            self.database.execute("BEGIN IMMEDIATE")
            for table, entries in changes.items():
                self._write_table(table, entries, now_ms)

    def replace(self, table: str, entries: Iterable[tuple[str, bytes]], now_ms: float) -> None:
        """Replaces all records of a table in one transaction.

        On sqlite3.Error, which it raises, the file is unchanged.
        """
        with self.database:
            self.database.execute("BEGIN IMMEDIATE")
            self.database.execute("DELETE FROM record WHERE tab = ?", (table,))
            self.delete_manifest(table)
            self._write_table(table, dict(entries), now_ms)

    def delete_manifest(self, table: str) -> None:
        """Deletes the table's manifest: the table is read as incomplete until it is replaced."""
        self.database.execute("DELETE FROM manifest WHERE tab = ?", (table,))

    def close(self) -> None:
        """Closes the database. The store must not be used afterwards."""
        self.database.close()

    def _manifest(self, table: str) -> Manifest | None:
        row = self.database.execute("SELECT value FROM manifest WHERE tab = ?", (table,)).fetchone()
        return unseal_manifest(row[0]) if row and isinstance(row[0], bytes) else None

    def _write_table(self, table: str, entries: dict[str, bytes | None], now_ms: float) -> None:
        """Writes the changes of one table within a transaction.

        A missing or broken manifest is started again from zero. It then disagrees with the records that were
        stored before, so a damaged table is not reported as complete after the next write.
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
        """Stores or deletes one record and updates the manifest accordingly."""
        execute = self.database.execute
        old_row = execute("SELECT value FROM record WHERE tab = ? AND key = ?", (table, key)).fetchone()
        if old_row:
            manifest.remove(checksum(table, key, old_row[0]))
        if value is None:
            execute("DELETE FROM record WHERE tab = ? AND key = ?", (table, key))
            return
        manifest.add(checksum(table, key, value))
        execute(
            "INSERT OR REPLACE INTO record VALUES (?, ?, ?, ?)",
            (table, key, value, stored_checksum(table, key, value)),
        )


def open_store(path: str | Path) -> Store:
    """Opens or creates the store; raises StoreUnusableError if the file must be left unchanged.

    A broken file is moved aside and its intact records are copied into a new one. The copied tables have no
    manifest, so they are read as incomplete. The store's `notes` report the repair.
    """
    path = Path(path)
    try:
        return Store(path, _connect(path), [])
    except sqlite3.OperationalError as error:
        return _open_read_only(path, error)
    except (sqlite3.DatabaseError, UnicodeError) as error:
        return _rebuild(path, error)


def _connect(path: Path) -> sqlite3.Connection:
    """Returns a checked connection; raises StoreUnusableError, or sqlite3.DatabaseError for a broken file."""
    database = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=OPEN_TIMEOUT_S)
    try:
        _check_owner(path, database)
        database.execute("PRAGMA journal_mode = WAL")
        database.execute("PRAGMA synchronous = NORMAL")
        database.execute(f"PRAGMA application_id = {APPLICATION_ID}")
        database.execute(f"PRAGMA user_version = {SCHEMA_VERSION}")
        database.executescript(SCHEMA)
        if database.execute("PRAGMA quick_check(1)").fetchone()[0] != "ok":
            raise sqlite3.DatabaseError("PRAGMA quick_check found damaged pages")
    except BaseException:
        database.close()
        raise
    return database


def _check_owner(path: Path, database: sqlite3.Connection) -> None:
    """Raises StoreUnusableError for a database of another program or of a newer schema version."""
    database.execute("PRAGMA trusted_schema = OFF")
    application_id, version = _header(database)
    tables = database.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
    if application_id != APPLICATION_ID and tables:
        raise StoreUnusableError(
            f"{path} is a database of another program; it is left unchanged: configure another file"
        )
    if application_id == APPLICATION_ID and version > SCHEMA_VERSION:
        raise StoreUnusableError(
            f"{path} was written by a newer worksmux (schema version {version}, supported {SCHEMA_VERSION}); "
            "it is left unchanged: upgrade, or configure another file"
        )


def _header(database: sqlite3.Connection) -> tuple[int, int]:
    """Returns the application id and the schema version in the database's header."""
    application_id: int = database.execute("PRAGMA application_id").fetchone()[0]
    version: int = database.execute("PRAGMA user_version").fetchone()[0]
    return application_id, version


def _open_read_only(path: Path, error: sqlite3.OperationalError) -> Store:
    """Opens a file that cannot be written. Its state is used, and changes to it are not stored."""
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
            f"{path} cannot be opened or written ({error}); the node continues without stored state"
        )
    return Store(
        path, database, [f"{path} cannot be written ({error}); it is used read-only"], read_only=True
    )


def _rebuild(path: Path, error: Exception) -> Store:
    """Moves a broken file aside and copies its intact records into a new one.

    Raises StoreUnusableError if the file cannot be moved or the new one cannot be created.
    """
    intact = read_intact_records(path)
    try:
        moved_to = move_aside(path)
        store = Store(path, _connect(path), [])
    except (OSError, sqlite3.Error) as move_error:
        raise StoreUnusableError(
            f"{path} is damaged ({error}) and cannot be replaced by a new database ({move_error})"
        ) from move_error
    count = sum(map(len, intact.values()))
    store.notes.append(
        f"{path} was damaged ({error}); it is kept as {moved_to.name}; {count} records were recovered"
    )
    _restore(store, intact)
    return store


def _restore(store: Store, intact: IntactRecords) -> None:
    """Copies records into a new store. A failure is added to the notes, and the store is used as it is."""
    try:
        for table, records in intact.items():
            store.replace(table, records, 0.0)
            store.delete_manifest(table)
    except sqlite3.Error as error:
        store.notes.append(f"the recovered records could not be written to the new database: {error}")
