"""Conversion of the platform's JSON endpoint list for `endpoints.list_reader`, without I/O."""

from __future__ import annotations

from typing import Literal

import msgspec

from ..api.listing import Line, Listing
from ..settings import units

EndpointState = Literal["ready", "draining", "gone"]
STATES: dict[str, EndpointState] = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}


class Endpoint(msgspec.Struct):
    """One engine of the list; `since_ms` is its latest start in Unix time, 0 for long ago."""

    name: str
    address: str = ""
    zone: str = ""
    type: str = ""
    group: int = 0
    status: str = "SERVING"
    weight: float = 1.0
    since_ms: float = 0.0


class HostList(msgspec.Struct):
    """The full list (a snapshot) or the endpoints that changed."""

    index: int = 0
    snapshot: bool = True
    endpoints: list[Endpoint] = []


HOST_LIST_DECODER = msgspec.json.Decoder(HostList)


def convert(hosts: HostList, previous_index: int, wall_ms: float) -> tuple[Listing, list[str]]:
    """Converts a list; returns it with a note for each endpoint that was left out.

    `wall_ms` is Unix time. `previous_index` is used as the index before this list: this platform never skips
    a change, as a watch starts with the changes since the index that it requests, or with the full list.
    """
    lines, notes = [], []
    for endpoint in hosts.endpoints:
        converted = _convert_endpoint(endpoint)
        if isinstance(converted, str):
            notes.append(converted)
        else:
            lines.append(converted)
    scope: Literal["full", "delta"] = "full" if hosts.snapshot else "delta"
    return Listing(scope, hosts.index, previous_index, wall_ms, lines), notes


def _convert_endpoint(endpoint: Endpoint) -> Line | str:
    """Returns the endpoint's line, or a note on why it is left out."""
    if endpoint.status not in STATES:
        return f"engine {endpoint.name}: unknown status {endpoint.status[:40]}"
    state = STATES[endpoint.status]
    try:
        host, port = units.address(endpoint.address)
    except ValueError:
        if state != "gone":
            return f"engine {endpoint.name}: no address host:port: {endpoint.address[:60]}"
        host, port = "", 0  # the engine keeps its known address
    return Line(
        endpoint.name,
        host,
        port,
        endpoint.type,
        state,
        endpoint.zone,
        endpoint.group,
        endpoint.weight,
        endpoint.since_ms,
    )
