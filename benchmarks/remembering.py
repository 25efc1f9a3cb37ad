"""Costs of the cached endpoint list: `python -m benchmarks.remembering`.

Bytes of the store, and the times of a first write, of a change of one line and of a load, at 50, 1,000 and
20,000 engines; beside them a plain JSON file of the same lines that is always written as a whole.
"""

from __future__ import annotations

import os
import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from worksmux.api.listing import Line
from worksmux.endpoints.staleness import CachedEndpointList, StoredEndpoint, Turnover
from worksmux.storage.database import open_store


def median_ms(call: Callable[[], object], repetitions: int = 5) -> float:
    """Returns the median time of a call in milliseconds."""
    samples = []
    for _ in range(repetitions):
        started = time.perf_counter()
        call()
        samples.append(1000 * (time.perf_counter() - started))
    return statistics.median(samples)


def main() -> None:
    """Prints the costs for each number of engines."""
    for count in (50, 1000, 20_000):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            lines = [
                Line(
                    f"north-{index // 20}-decode-{index}",
                    "10.0.0.1",
                    8000 + index % 1000,
                    "decode",
                    "ready",
                    "north",
                    index // 20,
                    1.0,
                    1.7e12 + index,
                )
                for index in range(count)
            ]
            stored_endpoints = [StoredEndpoint(line, 1.7e12) for line in lines]
            data = {endpoint.line.id: msgspec.msgpack.encode(endpoint) for endpoint in stored_endpoints}
            store = open_store(folder / "store")
            full_write_ms = median_ms(lambda: store.replace("lines", data.items(), 1.0), 3)  # noqa: B023
            key = next(iter(data))
            single_write_ms = median_ms(lambda: store.write({"lines": {key: data[key]}}, 2.0), 20)  # noqa: B023
            store.close()
            store_bytes = sum(path.stat().st_size for path in folder.glob("store*"))

            def write_json() -> None:
                path = folder / "plain.new"  # noqa: B023
                with path.open("wb") as file:
                    file.write(msgspec.json.encode(stored_endpoints))  # noqa: B023
                    file.flush()
                    os.fsync(file.fileno())
                path.replace(folder / "plain")  # noqa: B023

            def load_store() -> None:
                opened_store = open_store(folder / "store")  # noqa: B023
                table = opened_store.read("lines")
                stored = [
                    msgspec.msgpack.decode(value, type=StoredEndpoint) for value in table.values.values()
                ]
                CachedEndpointList(stored, 0.0, 1.7e12, Turnover(), 3.6e6, 200, 20.0, table.is_complete, 1)
                opened_store.close()

            json_ms = median_ms(write_json)
            print(
                f"{count:6d} engines: store {store_bytes / 1024:.0f} KiB "
                f"({store_bytes / count:.0f} bytes each), all "
                f"{full_write_ms:.1f} ms, one line {single_write_ms:.2f} ms, "
                f"loaded in {median_ms(load_store):.1f} ms; plain JSON "
                f"{(folder / 'plain').stat().st_size / 1024:.0f} KiB, any change {json_ms:.1f} ms "
                f"({json_ms / single_write_ms:.1f} times a line's)"
            )


if __name__ == "__main__":
    main()
