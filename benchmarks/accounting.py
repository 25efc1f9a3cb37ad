"""Time and size of a node's audit log: `python -m benchmarks.accounting 200000`.

Each request has three decisions, and every 200th changes a version. The store's own thread writes them to a
store in a temporary folder, as on a node.
"""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

import msgspec

from worksmux.config_audit.audit_log import AuditLog, AuditRecord, Version, chain_faults
from worksmux.config_audit.fleet_audit import FleetAudit
from worksmux.storage.database import open_store
from worksmux.storage.writer import Writer


def main(request_count: int) -> None:
    """Writes, reads and checks the audit log of a number of requests, and prints the costs."""
    with tempfile.TemporaryDirectory() as folder:
        store = open_store(Path(folder) / "account.db")
        writer = Writer(store, 0.25, print)
        audit_log, records = AuditLog(), []
        start, cpu_start = time.perf_counter(), time.process_time()
        records.append(audit_log.record_start(0.0, 0.0, 1))
        for number in range(request_count):
            if number % 200 == 0:
                plan = Version(number, f"{number:016x}")
                record = audit_log.record_versions(float(number), float(number), {"plan": plan})
                if record is not None:
                    records.append(record)
            for attempt in (0, 1, -1):
                audit_log.record_decision(f"front-1-1a2b3c4d.{number}", attempt, float(number))
            if number % 100 == 99:
                records += audit_log.flush_decisions(float(number), float(number))
        encoded = [msgspec.msgpack.encode(record) for record in records]
        for index, data in enumerate(encoded):
            writer.put("account", f"{index:015d}", data)
        elapsed, cpu = time.perf_counter() - start, time.process_time() - cpu_start
        writer.close()
        size = sum(map(len, encoded))
        disk = sum(path.stat().st_size for path in Path(folder).iterdir())
        print(
            f"{request_count} requests: {1e6 * elapsed / request_count:.1f} us each "
            f"(CPU {1e6 * cpu / request_count:.1f}), "
            f"{len(records)} records, {size / request_count:.0f} bytes a request, {disk / 1e6:.0f} MB on disk"
        )
        start = time.perf_counter()
        decoded_records = [msgspec.msgpack.decode(data, type=AuditRecord) for data in encoded]
        fleet_audit = FleetAudit()
        fleet_audit.add("front-1", decoded_records)
        spans = fleet_audit.spans("front-1", 1e12)
        assert not chain_faults(decoded_records)
        print(
            f"read, checked and turned into spans in {time.perf_counter() - start:.2f} s: {len(spans)} spans"
        )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 200_000)
