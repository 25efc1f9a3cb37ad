"""What memory costs: `python -m benchmarks.remembering`.

Bytes of the store, time of a first write, of a change of one line and of a start, at 50, 1,000 and 20,000
engines; beside a plain file of JSON that is written whole, for the same lines.
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


def timed(call: Callable[[], object], times: int = 5) -> float:
    """The median time of a call in milliseconds."""
    found = []
    for _ in range(times):
        start = time.perf_counter()
        call()
        found.append(1000 * (time.perf_counter() - start))
    return statistics.median(found)


def main() -> None:
    for count in (50, 1000, 20_000):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            lines = [
                Line(
                    f"north-{at // 20}-decode-{at}",
                    "10.0.0.1",
                    8000 + at % 1000,
                    "decode",
                    "ready",
                    "north",
                    at // 20,
                    1.0,
                    1.7e12 + at,
                )
                for at in range(count)
            ]
            saved = [StoredEndpoint(line, 1.7e12) for line in lines]
            data = {one.line.id: msgspec.msgpack.encode(one) for one in saved}
            store = open_store(folder / "store")
            whole = timed(lambda: store.replace("lines", data.items(), 1.0), 3)  # noqa: B023
            key = next(iter(data))
            one = timed(lambda: store.write({"lines": {key: data[key]}}, 2.0), 20)  # noqa: B023
            store.close()
            size = sum(path.stat().st_size for path in folder.glob("store*"))

            def plain() -> None:
                path = folder / "plain.new"  # noqa: B023
                with path.open("wb") as file:
                    file.write(msgspec.json.encode(saved))  # noqa: B023
                    file.flush()
                    os.fsync(file.fileno())
                path.replace(folder / "plain")  # noqa: B023

            def start() -> None:
                opened = open_store(folder / "store")  # noqa: B023
                table = opened.read("lines")
                found = [
                    msgspec.msgpack.decode(value, type=StoredEndpoint) for value in table.values.values()
                ]
                CachedEndpointList(found, 0.0, 1.7e12, Turnover(), 3.6e6, 200, 20.0, table.is_complete, 1)
                opened.close()

            flat = timed(plain)
            print(
                f"{count:6d} engines: store {size / 1024:.0f} KiB ({size / count:.0f} bytes each), all "
                f"{whole:.1f} ms, one line {one:.2f} ms, started from {timed(start):.1f} ms; plain JSON "
                f"{(folder / 'plain').stat().st_size / 1024:.0f} KiB, any change {flat:.1f} ms "
                f"({flat / one:.1f} times a line's)"
            )


if __name__ == "__main__":
    main()
