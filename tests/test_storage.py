"""Tests that every record read back from the store was written to it, whatever happens to the file."""

from __future__ import annotations

import os
import random
import shutil
import signal
import sqlite3
import subprocess
import sys
import time
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from worksmux.storage.database import open_store
from worksmux.storage.errors import StoreUnusableError
from worksmux.storage.records import (
    UINT64_MASK,
    Manifest,
    checksum,
    seal_manifest,
    stored_checksum,
    unseal_manifest,
    verify_table,
)

LONG = bool(os.environ.get("WORKSMUX_LONG"))  # tests every prefix, every byte and 200 kills: takes minutes
LINES = {f"engine-{number}": f"line {number} ".encode() * 3 for number in range(20)}


def written_store(path: Path) -> Path:
    """Writes and closes a store with the twenty records of LINES and one record in another table."""
    store = open_store(path)
    store.write({"lines": dict(LINES), "facts": {"serial": b"7"}}, 1000.0)
    store.database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    return path


def read_lines(path: Path) -> tuple[dict[str, bytes], bool]:
    """Returns the intact records of LINES and whether the table is complete. A refused file gives none."""
    try:
        store = open_store(path)
    except StoreUnusableError:
        return {}, False
    table = store.read("lines")
    store.close()
    return table.values, table.is_complete


def test_written_records_are_read_back(tmp_path: Path) -> None:
    path = written_store(tmp_path / "s")
    assert read_lines(path) == (LINES, True)
    store = open_store(path)
    store.write({"lines": {"engine-1": None, "engine-2": b"new"}}, 2000.0)
    table = store.read("lines")
    assert table.is_complete and table.saved_at_ms == 2000.0 and "engine-1" not in table.values
    assert table.values["engine-2"] == b"new" and store.read("none").values == {}


def test_truncated_file_gives_intact_records_only(tmp_path: Path) -> None:
    """The file is truncated to any length, as by a full disk or an interrupted copy."""
    step = 1 if LONG else 97
    data = written_store(tmp_path / "s").read_bytes()
    for size in range(0, len(data), step):
        path = tmp_path / "cut"
        shutil.rmtree(tmp_path / "x", ignore_errors=True)
        for old in tmp_path.glob("cut*"):
            old.unlink()
        path.write_bytes(data[:size])
        values, is_complete = read_lines(path)
        assert values.items() <= LINES.items() and (not is_complete or values == LINES)


def test_flipped_bit_never_gives_a_wrong_record(tmp_path: Path) -> None:
    """One bit of the file flips, as on a failing disk.

    SQLite accepts a flipped bit inside a page as data.
    """
    data = written_store(tmp_path / "s").read_bytes()
    randomness = random.Random(4)
    offsets = [offset for offset, byte in enumerate(data) if byte]
    for offset in offsets if LONG else randomness.sample(offsets, min(len(offsets), 700)):
        for old in tmp_path.glob("flip*"):
            old.unlink()
        path = tmp_path / "flip"
        path.write_bytes(
            data[:offset] + bytes([data[offset] ^ 1 << randomness.randrange(8)]) + data[offset + 1 :]
        )
        values, is_complete = read_lines(path)
        assert values.items() <= LINES.items(), f"byte {offset}"
        assert not is_complete or values == LINES, f"byte {offset}"


def test_foreign_newer_empty_and_garbage_files(tmp_path: Path) -> None:
    """Files of other programs and newer versions are refused unchanged; garbage is moved aside."""
    foreign = sqlite3.connect(tmp_path / "foreign")
    foreign.execute("CREATE TABLE theirs (x)")
    foreign.commit()
    foreign.close()
    with pytest.raises(StoreUnusableError, match="another program"):
        open_store(tmp_path / "foreign")
    newer = written_store(tmp_path / "newer")
    database = sqlite3.connect(newer)
    database.execute("PRAGMA user_version = 99")
    database.close()
    before = newer.read_bytes()
    with pytest.raises(StoreUnusableError, match="newer worksmux"):
        open_store(newer)
    assert newer.read_bytes() == before
    (tmp_path / "empty").write_bytes(b"")
    assert read_lines(tmp_path / "empty") == ({}, False)
    (tmp_path / "garbage").write_bytes(b"engine-1 is ready\n" * 400)
    store = open_store(tmp_path / "garbage")
    assert "kept as garbage.broken-1" in store.notes[0] and store.read("lines").values == {}
    assert (tmp_path / "garbage.broken-1").read_bytes().startswith(b"engine-1")
    with pytest.raises(StoreUnusableError, match="cannot be opened"):
        open_store(tmp_path / "no-such-folder" / "s")


def test_full_disk_leaves_the_last_written_state(tmp_path: Path) -> None:
    """A write does not fit on the disk. Its transaction fails, and the state before it stays readable."""
    path = written_store(tmp_path / "s")
    store = open_store(path)
    pages = store.database.execute("PRAGMA page_count").fetchone()[0]
    store.database.execute(f"PRAGMA max_page_count = {pages}")
    with pytest.raises(sqlite3.Error):
        store.write({"lines": {f"more-{number}": bytes(500) for number in range(100)}}, 3000.0)
    assert store.read("lines").values == LINES and store.read("lines").is_complete


def test_process_killed_while_writing_leaves_whole_transactions(tmp_path: Path) -> None:
    """A process writes one generation of records after another and is killed at random moments.

    Every record holds the number of its generation. After each kill all records must have the same
    generation, which must not be older than the one after the kill before.
    """
    path = tmp_path / "s"
    code = (
        "import sys, itertools\nfrom worksmux.storage.database import open_store\n"
        "store = open_store(sys.argv[1])\nold = store.read('lines').values\n"
        "start = int(next(iter(old.values()), b'0'))\nprint('ready', flush=True)\n"
        "for n in itertools.count(start + 1):\n"
        "    store.write({'lines': {f'e{k}': str(n).encode() for k in range(30)}}, float(n))\n"
    )
    randomness, last_generation = random.Random(5), 0
    for _ in range(200 if LONG else 12):
        child = subprocess.Popen([sys.executable, "-c", code, str(path)], stdout=subprocess.PIPE)
        assert child.stdout and child.stdout.readline()
        time.sleep(randomness.uniform(0.0, 0.02))  # the kill comes at a random point of a write
        os.kill(child.pid, signal.SIGKILL)
        child.wait()
        store = open_store(path)
        table = store.read("lines")
        store.close()
        assert (
            len(set(table.values.values())) <= 1
            and (table.is_complete or not table.values)
            and not store.notes
        )
        generation = int(next(iter(table.values.values()), b"0"))
        assert generation >= last_generation
        last_generation = generation


@settings(max_examples=100, deadline=None)
@given(st.dictionaries(st.text(max_size=5), st.binary(max_size=20), max_size=6), st.data())
def test_manifest_detects_a_missing_and_a_changed_record(
    entries: dict[str, bytes], data: st.DataObject
) -> None:
    records = [(key, value, stored_checksum("t", key, value)) for key, value in entries.items()]
    checksum_sum = sum(checksum("t", key, value) for key, value in entries.items()) & UINT64_MASK
    sealed = seal_manifest(Manifest(len(records), checksum_sum, 5.0))
    manifest = unseal_manifest(sealed)
    table = verify_table("t", records, manifest)
    assert manifest is not None and table.is_complete and table.values == entries and table.saved_at_ms == 5.0
    if records:
        position = data.draw(st.integers(0, len(records) - 1))
        key, value, stored = records[position]
        assert not verify_table("t", records[:position] + records[position + 1 :], manifest).is_complete
        changed = [*records[:position], (key, value + b"x", stored), *records[position + 1 :]]
        assert verify_table("t", changed, manifest).corrupt_records == 1
    assert not verify_table("t", records, unseal_manifest(sealed[:-1])).is_complete
    assert not verify_table("t", records, None).is_complete


def test_file_that_cannot_be_written_is_opened_read_only(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The file is on a disk that is mounted read-only. Its state is used, and a write raises."""
    path = written_store(tmp_path / "s")

    def refuse_writing(_: Path) -> sqlite3.Connection:
        raise sqlite3.OperationalError("attempt to write a readonly database")

    monkeypatch.setattr("worksmux.storage.database._connect", refuse_writing)
    store = open_store(path)
    assert store.read_only and store.read("lines").values == LINES and "is used read-only" in store.notes[0]
    with pytest.raises(sqlite3.Error):
        store.write({"lines": {"engine-1": None}}, 3000.0)
    store.close()
    (tmp_path / "other").write_bytes(b"x" * 5000)
    with pytest.raises(StoreUnusableError, match="continues without stored state"):
        open_store(tmp_path / "other")
