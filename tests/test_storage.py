"""The store: whatever happens to its file, what is read back was written."""

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

from worksmux.storage.database import Unusable, open_store
from worksmux.storage.records import check, checksum, seal

LONG = bool(os.environ.get("WORKSMUX_LONG"))  # every prefix, every byte, 200 kills: some minutes
GOOD = {f"engine-{at}": f"line {at} ".encode() * 3 for at in range(20)}


def made(path: Path) -> Path:
    store = open_store(path)
    store.write({"lines": dict(GOOD), "facts": {"serial": b"7"}}, 1000.0)
    store.database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    return path


def read(path: Path) -> tuple[dict[str, bytes], bool]:
    """What is believed of the lines, and whether they are whole; nothing where the file is refused."""
    try:
        store = open_store(path)
    except Unusable:
        return {}, False
    found = store.read("lines")
    store.close()
    return found.values, found.whole


def test_what_was_written_is_read_back(tmp_path: Path) -> None:
    path = made(tmp_path / "s")
    assert read(path) == (GOOD, True)
    store = open_store(path)
    store.write({"lines": {"engine-1": None, "engine-2": b"new"}}, 2000.0)
    table = store.read("lines")
    assert table.whole and table.saved_at == 2000.0 and "engine-1" not in table.values
    assert table.values["engine-2"] == b"new" and store.read("none").values == {}


def test_prefix_of_the_file_gives_a_good_state(tmp_path: Path) -> None:
    step = 1 if LONG else 97
    data = made(tmp_path / "s").read_bytes()
    for size in range(0, len(data), step):
        path = tmp_path / "cut"
        shutil.rmtree(tmp_path / "x", ignore_errors=True)
        for old in tmp_path.glob("cut*"):
            old.unlink()
        path.write_bytes(data[:size])
        values, whole = read(path)
        assert values.items() <= GOOD.items() and (not whole or values == GOOD)


def test_flipped_bytes_never_bring_a_wrong_record(tmp_path: Path) -> None:
    data = made(tmp_path / "s").read_bytes()
    chance, used = random.Random(4), [at for at, byte in enumerate(data) if byte]
    for at in used if LONG else chance.sample(used, min(len(used), 700)):
        for old in tmp_path.glob("flip*"):
            old.unlink()
        path = tmp_path / "flip"
        path.write_bytes(data[:at] + bytes([data[at] ^ 1 << chance.randrange(8)]) + data[at + 1 :])
        values, whole = read(path)
        assert values.items() <= GOOD.items(), f"byte {at}"
        assert not whole or values == GOOD, f"byte {at}"


def test_foreign_newer_empty_and_nonsense_files(tmp_path: Path) -> None:
    foreign = sqlite3.connect(tmp_path / "foreign")
    foreign.execute("CREATE TABLE theirs (x)")
    foreign.commit()
    foreign.close()
    with pytest.raises(Unusable, match="another program"):
        open_store(tmp_path / "foreign")
    newer = made(tmp_path / "newer")
    database = sqlite3.connect(newer)
    database.execute("PRAGMA user_version = 99")
    database.close()
    before = newer.read_bytes()
    with pytest.raises(Unusable, match="newer worksmux"):
        open_store(newer)
    assert newer.read_bytes() == before
    (tmp_path / "empty").write_bytes(b"")
    assert read(tmp_path / "empty") == ({}, False)
    (tmp_path / "nonsense").write_bytes(b"engine-1 is ready\n" * 400)
    store = open_store(tmp_path / "nonsense")
    assert "kept as nonsense.broken-1" in store.notes[0] and store.read("lines").values == {}
    assert (tmp_path / "nonsense.broken-1").read_bytes().startswith(b"engine-1")
    with pytest.raises(Unusable, match="cannot be opened"):
        open_store(tmp_path / "no-such-folder" / "s")


def test_full_disk_leaves_the_last_good_state(tmp_path: Path) -> None:
    path = made(tmp_path / "s")
    store = open_store(path)
    pages = store.database.execute("PRAGMA page_count").fetchone()[0]
    store.database.execute(f"PRAGMA max_page_count = {pages}")
    with pytest.raises(sqlite3.Error):
        store.write({"lines": {f"more-{at}": bytes(500) for at in range(100)}}, 3000.0)
    assert store.read("lines").values == GOOD and store.read("lines").whole


def test_front_killed_at_random_points_of_writing(tmp_path: Path) -> None:
    """A process writes generations, each line of one naming it; after each kill all lines agree."""
    path = tmp_path / "s"
    code = (
        "import sys, itertools\nfrom worksmux.storage.database import open_store\n"
        "store = open_store(sys.argv[1])\nold = store.read('lines').values\n"
        "start = int(next(iter(old.values()), b'0'))\nprint('ready', flush=True)\n"
        "for n in itertools.count(start + 1):\n"
        "    store.write({'lines': {f'e{k}': str(n).encode() for k in range(30)}}, float(n))\n"
    )
    chance, last = random.Random(5), 0
    for _ in range(200 if LONG else 12):
        child = subprocess.Popen([sys.executable, "-c", code, str(path)], stdout=subprocess.PIPE)
        assert child.stdout and child.stdout.readline()
        time.sleep(chance.uniform(0.0, 0.02))  # the point of writing at which it is killed
        os.kill(child.pid, signal.SIGKILL)
        child.wait()
        store = open_store(path)
        table = store.read("lines")
        store.close()
        assert len(set(table.values.values())) <= 1 and (table.whole or not table.values) and not store.notes
        now = int(next(iter(table.values.values()), b"0"))
        assert now >= last
        last = now


@settings(max_examples=100, deadline=None)
@given(st.dictionaries(st.text(max_size=5), st.binary(max_size=20), max_size=6), st.data())
def test_manifest_tells_a_missing_a_foreign_and_a_changed_record(
    entries: dict[str, bytes], data: st.DataObject
) -> None:
    import msgspec

    from worksmux.storage.records import WORD, Manifest

    rows = [(key, value, checksum("t", key, value) & (WORD >> 1)) for key, value in entries.items()]
    total = sum(checksum("t", key, value) for key, value in entries.items()) & WORD
    manifest = seal(msgspec.msgpack.encode(Manifest(len(rows), total, 5.0)))
    assert check("t", rows, manifest).whole and check("t", rows, manifest).values == entries
    if rows:
        at = data.draw(st.integers(0, len(rows) - 1))
        key, value, stored = rows[at]
        assert not check("t", rows[:at] + rows[at + 1 :], manifest).whole
        assert check("t", [*rows[:at], (key, value + b"x", stored), *rows[at + 1 :]], manifest).bad == 1
    assert not check("t", rows, manifest[:-1]).whole and not check("t", rows, None).whole


def test_file_that_cannot_be_written_is_read_all_the_same(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = made(tmp_path / "s")

    def refused(_: Path) -> sqlite3.Connection:
        raise sqlite3.OperationalError("attempt to write a readonly database")

    monkeypatch.setattr("worksmux.storage.database._connect", refused)
    store = open_store(path)
    assert store.read_only and store.read("lines").values == GOOD and "only read" in store.notes[0]
    with pytest.raises(sqlite3.Error):
        store.write({"lines": {"engine-1": None}}, 3000.0)
    store.close()
    (tmp_path / "other").write_bytes(b"x" * 5000)
    with pytest.raises(Unusable, match="without memory"):
        open_store(tmp_path / "other")
