"""Audit records on disk: this node's log and copies of other nodes' logs, each of bounded size.

Records are written in batches on the store's own thread, so that no request waits for the disk. Records that
are not written when the process is killed are lost, and are reported as a gap.
"""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import structlog

from ...storage.database import open_store
from ...storage.writer import Writer

LOG = structlog.get_logger()
FILE_NAME = "account.db"
OWN_TABLE, COPY_TABLE_PREFIX = "account", "copy:"
MAX_BYTES_PER_NODE = 16 * 2**20  # above it the oldest records are deleted


def _key(index: int) -> str:
    return f"{index:015d}"


class AuditRecordStore:
    """Encoded records by node and index, in memory and on disk."""

    def __init__(self, folder: Path, own_node: str, write_interval_ms: float) -> None:
        self._own_node = own_node
        self._store = open_store(folder / FILE_NAME)
        for note in self._store.notes:
            LOG.warning("fault found while opening the audit log store", note=note)
        self._records: dict[str, dict[int, bytes]] = {}
        self._bytes: Counter[str] = Counter()  # by node
        self._load()
        self._writer = Writer(
            self._store,
            write_interval_ms / 1000,
            lambda text: LOG.error("audit log store cannot be written", error=text),
        )

    def _load(self) -> None:
        tables = self._store.database.execute("SELECT DISTINCT tab FROM record").fetchall()
        for (table,) in tables:
            node = self._own_node if table == OWN_TABLE else str(table).removeprefix(COPY_TABLE_PREFIX)
            values = self._store.read(str(table)).values
            records = {int(key): value for key, value in sorted(values.items()) if key.isdecimal()}
            self._records[node] = records
            self._bytes[node] = sum(map(len, records.values()))
        self._records.setdefault(self._own_node, {})

    def _table(self, node: str) -> str:
        return OWN_TABLE if node == self._own_node else f"{COPY_TABLE_PREFIX}{node}"

    def nodes(self) -> list[str]:
        """Returns the nodes that have records here, with this node."""
        return list(self._records)

    def records(self, node: str) -> dict[int, bytes]:
        """Returns a node's records by index."""
        return self._records.get(node, {})

    def last_index(self, node: str) -> int:
        """Returns the newest index of a node's records; 0 if there are none."""
        return max(self.records(node), default=0)

    def synced_records(self, node: str) -> dict[int, bytes]:
        """Returns the records of a node that are on disk.

        Failure: this node is killed before it has written records that another node has copied. After the
        restart it reuses their indexes for other records, and the two logs conflict. Copies therefore get
        only records that are on disk here.
        """
        unsynced_keys = self._writer.unwritten_keys(self._table(node))
        return {index: data for index, data in self.records(node).items() if _key(index) not in unsynced_keys}

    def put(self, node: str, index: int, data: bytes) -> None:
        """Adds a record, and deletes the node's oldest records above MAX_BYTES_PER_NODE."""
        records, table = self._records.setdefault(node, {}), self._table(node)
        records[index] = data
        self._bytes[node] += len(data)
        self._writer.put(table, _key(index), data)
        while self._bytes[node] > MAX_BYTES_PER_NODE and len(records) > 1:
            oldest = next(iter(records))
            self._bytes[node] -= len(records.pop(oldest))
            self._writer.put(table, _key(oldest), None)

    def close(self) -> None:
        """Writes the remaining records and closes the file."""
        self._writer.close()
