"""The platform's list of engines in JSON, turned into lines that the list's keeper knows.  Free of I/O."""

from __future__ import annotations

from typing import Literal

import msgspec

from ..api.listing import Line, Listing
from ..settings import units

STATES: dict[str, Literal["ready", "draining", "gone"]] = {
    "SERVING": "ready",
    "DRAINING": "draining",
    "DELETED": "gone",
}


class Endpoint(msgspec.Struct):
    """One engine; `since_ms` is its latest start in Unix time, 0 for long ago."""

    name: str
    address: str = ""
    zone: str = ""
    type: str = ""
    group: int = 0
    status: str = "SERVING"
    weight: float = 1.0
    since_ms: float = 0.0


class HostList(msgspec.Struct):
    """The whole list (a snapshot) or the entries that changed."""

    index: int = 0
    snapshot: bool = True
    endpoints: list[Endpoint] = []


READ_HOSTS = msgspec.json.Decoder(HostList)


def listing(told: HostList, previous: int, wall: float) -> tuple[Listing, list[str]]:
    """The list in the keeper's form, with what of it was left out and why; `wall` is Unix milliseconds.

    A change is never missed on this platform: a watch opens with what changed since the index asked for, or
    with the whole list.
    """
    lines, notes = [], []
    for one in told.endpoints:
        if one.status not in STATES:
            notes.append(f"engine {one.name}: unknown status {one.status[:40]}")
            continue
        state = STATES[one.status]
        try:
            host, port = units.address(one.address)
        except ValueError:
            if state != "gone":
                notes.append(f"engine {one.name}: no address host:port: {one.address[:60]}")
                continue
            host, port = "", 0
        lines.append(
            Line(one.name, host, port, one.type, state, one.zone, one.group, one.weight, one.since_ms)
        )
    return Listing("full" if told.snapshot else "delta", told.index, previous, wall, lines), notes
