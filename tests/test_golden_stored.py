"""Files stored by an earlier version are read as they were written, and the same content gives the same rows.

The files under `golden/stored` were written by the code before any rename (commit e47005a). `contents.json`
lists the contents of each in their stored form. The files are never regenerated: a version that cannot read
them cannot read the files of an upgraded node either.
"""

from __future__ import annotations

import json
import queue
import secrets
import shutil
import sqlite3
import time
from pathlib import Path
from typing import Any

import msgspec
import pyarrow.parquet as pq
import pytest
from golden.registry import FORMS
from test_golden_forms import struct_type

from worksmux.config_audit.audit_log import AuditRecord, chain_faults
from worksmux.consensus.entries import HardState, Snapshot, StorageWrite
from worksmux.experiment.book import RunStore
from worksmux.gateway.endpoint_cache import read_learned
from worksmux.gateway.fleet.consensus_disk import ConsensusDisk
from worksmux.load import trace
from worksmux.storage.database import open_store

STORED = Path(__file__).parent / "golden" / "stored"
CONTENTS: dict[str, Any] = json.loads((STORED / "contents.json").read_text())
STORES = ["council.db", "account.db", "memory.db"]
WRITTEN_AT_S = 1_700_000_000.0
WRITTEN_AT_MS = WRITTEN_AT_S * 1000
FORM_OF_KEY = {
    ("council", "base"): "council/entries/Base",
    ("council", "hard"): "front/council_disk/Hard",
    ("front", "own"): "front/council_disk/Own",
    ("facts", "list"): "front/memory/Facts",
    ("learned", ""): "membership/learned/Pace",
}
FORM_OF_TABLE = {
    "council": "council/entries/Entry",
    "account": "versions/account/Record",
    "copy:front-2": "versions/account/Record",
    "lines": "membership/trust/Saved",
    "learned": "membership/learned/Marks",
}


def copied(name: str, folder: Path) -> Path:
    """Copies a stored file to a folder."""
    return Path(shutil.copy(STORED / name, folder / name))


def plain(value: Any) -> Any:
    """Returns the stored form of a value, as in `contents.json`."""
    return json.loads(msgspec.json.encode(value))


def stored_rows(path: Path) -> tuple[list[tuple[str, str, bytes, int]], list[tuple[str, bytes]]]:
    """Returns the rows of records and manifests in an SQLite file."""
    database = sqlite3.connect(path)
    records = database.execute("SELECT tab, key, value, sum FROM record ORDER BY tab, key").fetchall()
    manifests = database.execute("SELECT tab, value FROM manifest ORDER BY tab").fetchall()
    database.close()
    return records, manifests


def pinned_rows(name: str) -> tuple[list[tuple[str, str, bytes, int]], list[tuple[str, bytes]]]:
    """Returns the rows of records and manifests that `contents.json` lists for a file."""
    pinned = CONTENTS[name]
    records = [
        (record["table"], record["key"], bytes.fromhex(record["value"]), record["sum"])
        for record in pinned["records"]
    ]
    return records, [(table, bytes.fromhex(value)) for table, value in pinned["manifests"].items()]


def record_type(table: str, key: str) -> type[msgspec.Struct]:
    """Returns the struct that a record is stored as."""
    return struct_type(FORMS[FORM_OF_KEY.get((table, key)) or FORM_OF_TABLE[table]])


@pytest.mark.parametrize("name", STORES)
def test_stored_records_are_read_with_every_value(name: str, tmp_path: Path) -> None:
    path = copied(name, tmp_path)
    store = open_store(path)
    assert not store.notes and not store.read_only
    for table in CONTENTS[name]["manifests"]:
        stored = store.read(table)
        pinned = {record["key"]: record for record in CONTENTS[name]["records"] if record["table"] == table}
        assert stored.is_complete and stored.corrupt_records == 0 and stored.saved_at_ms == WRITTEN_AT_MS
        assert stored.values == {key: bytes.fromhex(record["value"]) for key, record in pinned.items()}
        for key, value in stored.values.items():
            decoded = msgspec.msgpack.decode(value, type=record_type(table, key))
            assert plain(decoded) == pinned[key]["content"]
            assert msgspec.msgpack.encode(decoded) == value
    store.close()
    assert stored_rows(path) == pinned_rows(name)


@pytest.mark.parametrize("name", STORES)
@pytest.mark.parametrize("method", ["write", "replace", "one by one"])
def test_same_content_gives_the_same_rows(name: str, method: str, tmp_path: Path) -> None:
    tables: dict[str, dict[str, bytes | None]] = {}
    for record in CONTENTS[name]["records"]:
        decoded = msgspec.convert(record["content"], record_type(record["table"], record["key"]))
        tables.setdefault(record["table"], {})[record["key"]] = msgspec.msgpack.encode(decoded)
    store = open_store(tmp_path / name)
    if method == "write":
        store.write(tables, WRITTEN_AT_MS)
    for table, entries in tables.items():
        if method == "replace":
            store.replace(table, [(key, value) for key, value in entries.items() if value], WRITTEN_AT_MS)
        if method == "one by one":
            store.write({table: {"removed later": b"x"}}, WRITTEN_AT_MS - 2)
            for key, value in entries.items():
                store.write({table: {key: value}}, WRITTEN_AT_MS - 1)
            store.write({table: {"removed later": None}}, WRITTEN_AT_MS)
    store.close()
    assert stored_rows(tmp_path / name) == pinned_rows(name)


def test_database_has_the_stored_identification(tmp_path: Path) -> None:
    open_store(tmp_path / "new").close()
    for path in (tmp_path / "new", copied("memory.db", tmp_path)):
        database = sqlite3.connect(path)
        assert database.execute("PRAGMA application_id").fetchone() == (0x574D5558,)
        assert database.execute("PRAGMA user_version").fetchone() == (1,)
        assert database.execute("PRAGMA journal_mode").fetchone() == ("wal",)
        database.close()


def test_consensus_disk_restores_and_writes_the_stored_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """ConsensusDisk restores the stored term, vote, snapshot and entries; a new disk stores the same rows."""
    monkeypatch.setattr(time, "time", lambda: WRITTEN_AT_S)
    monkeypatch.setattr(secrets, "token_hex", lambda size: "5ca1ab1e"[: 2 * size])
    (tmp_path / "old").mkdir()
    copied("council.db", tmp_path / "old")
    old = ConsensusDisk(tmp_path / "old", lambda call, *args: call(*args))
    old.close()
    assert (
        not old.notes
        and old.identity.disk_id == "5ca1ab1e"
        and old.identity.generation == int(WRITTEN_AT_S) + 1
    )
    assert (old.saved.term, old.saved.voted_for) == (3, "front-1#5ca1ab1e")
    pinned = {record["key"]: record["content"] for record in CONTENTS["council.db"]["records"]}
    assert plain(old.saved.snapshot) == pinned["base"]
    assert [plain(entry) for entry in old.saved.entries] == [
        pinned[f"e{index:015d}"] for index in (2, 3, 4, 5)
    ]
    new = ConsensusDisk(tmp_path / "new", lambda call, *args: call(*args))
    new.bootstrap(msgspec.convert(pinned["base"], Snapshot))
    written: queue.SimpleQueue[int] = queue.SimpleQueue()
    new.put(StorageWrite(1, HardState(3, "front-1#5ca1ab1e"), entries=tuple(old.saved.entries)), written.put)
    assert written.get(timeout=10.0) == 1
    new.close()
    assert stored_rows(tmp_path / "new" / "council.db") == pinned_rows("council.db")


def test_stored_audit_log_is_an_unbroken_chain(tmp_path: Path) -> None:
    store = open_store(copied("account.db", tmp_path))
    for table in ("account", "copy:front-2"):
        values = store.read(table).values
        records = [msgspec.msgpack.decode(values[key], type=AuditRecord) for key in sorted(values)]
        assert [record.index for record in records] == [1, 2, 3, 4, 5] and chain_faults(records) == []
    store.close()


def test_learned_state_is_read_from_the_stored_file(tmp_path: Path) -> None:
    store = open_store(copied("memory.db", tmp_path))
    learned = read_learned(store)
    store.close()
    pinned = {
        record["key"]: record["content"]
        for record in CONTENTS["memory.db"]["records"]
        if record["table"] == "learned"
    }
    assert plain(learned.timings) == pinned[""]
    assert plain(learned.marks) == {"engine-1": pinned["engine-1"]}


def test_experiment_runs_are_read_and_written_as_before(tmp_path: Path) -> None:
    pinned = CONTENTS["runs.db"]
    old, new = RunStore(copied("runs.db", tmp_path)), RunStore(tmp_path / "new.db")
    assert old.rows() == pinned["read"] and old.completed_keys() == {"k1", "k2"}
    for key, seed, values, figures in pinned["rows"]:
        new.add(key, seed, json.loads(values), json.loads(figures))
    old.close()
    new.close()
    for name in ("runs.db", "new.db"):
        database = sqlite3.connect(tmp_path / name)
        rows = database.execute("SELECT key, seed, vals, figures FROM run ORDER BY key").fetchall()
        database.close()
        assert [list(row) for row in rows] == pinned["rows"]


def test_load_trace_is_read_and_written_as_before(tmp_path: Path) -> None:
    old = copied("trace.parquet", tmp_path)
    rows = list(trace.read(old))
    assert [plain(row) for row in rows] == CONTENTS["trace.parquet"]
    recorder = trace.Recorder(tmp_path / "new.parquet")
    for row in rows:
        recorder.add(row)
    recorder.close()
    assert pq.read_table(tmp_path / "new.parquet").equals(pq.read_table(old))
    assert pq.read_schema(tmp_path / "new.parquet").equals(pq.read_schema(old))
