"""What a front's account costs and weighs: `python -m benchmarks.accounting 200000`.

Each job has three decisions and every 200th changes a version; written to a store in a temporary folder by
the store's own thread, as a front does.
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


def main(requests: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        store = open_store(Path(folder) / "account.db")
        writer = Writer(store, 0.25, print)
        account, kept = AuditLog(), []
        start, own = time.perf_counter(), time.process_time()
        kept.append(account.record_start(0.0, 0.0, 1))
        for number in range(requests):
            if number % 200 == 0:
                plan = Version(number, f"{number:016x}")
                line = account.record_versions(float(number), float(number), {"plan": plan})
                if line is not None:
                    kept.append(line)
            for attempt in (0, 1, -1):
                account.record_decision(f"front-1-1a2b3c4d.{number}", attempt, float(number))
            if number % 100 == 99:
                kept += account.flush_decisions(float(number), float(number))
        encoded = [msgspec.msgpack.encode(record) for record in kept]
        for at, data in enumerate(encoded):
            writer.put("account", f"{at:015d}", data)
        took, cpu = time.perf_counter() - start, time.process_time() - own
        writer.close()
        size = sum(map(len, encoded))
        disk = sum(path.stat().st_size for path in Path(folder).iterdir())
        print(
            f"{requests} jobs: {1e6 * took / requests:.1f} us a job (CPU {1e6 * cpu / requests:.1f}), "
            f"{len(kept)} records, {size / requests:.0f} bytes a job, {disk / 1e6:.0f} MB on disk"
        )
        start = time.perf_counter()
        records = [msgspec.msgpack.decode(data, type=AuditRecord) for data in encoded]
        accounts = FleetAudit()
        accounts.add("front-1", records)
        spans = accounts.spans("front-1", 1e12)
        assert not chain_faults(records)
        print(f"read, checked and laid out in {time.perf_counter() - start:.2f} s: {len(spans)} spans")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 200_000)
