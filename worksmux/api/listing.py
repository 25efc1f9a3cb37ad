"""The endpoint list as JSON lines between the registry and a gateway.

A gateway begins with {"hello": its name, "serial": the last one it has}.  {"watch": true} requests changes
from a registry that sends them only on request, and {"fetch": true} requests the full list.  The registry
sends {"list": "full" | "delta" | "failed", "serial", "previous" (in a delta), "now", "engines"}; `now` and
`started` are milliseconds since 1970 on the registry's clock.
"""

from __future__ import annotations

from typing import Literal

import msgspec


class Line(msgspec.Struct):
    """One engine of the list."""

    id: str
    host: str
    port: int
    kind: str
    state: Literal["ready", "draining", "gone"] = "ready"
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    started: float = 0.0  # 0: long ago


class Listing(msgspec.Struct, rename={"scope": "list"}):
    """A message of the registry: the full list, the changes since `previous`, or why it has no list."""

    scope: Literal["full", "delta", "failed"]
    serial: int = 0
    previous: int | None = None
    now: float = 0.0
    engines: list[Line] = []
    reason: str = ""


class Hello(msgspec.Struct, omit_defaults=True):
    """A message of a gateway: `hello` with `serial`, `watch`, or `fetch`."""

    hello: str = ""
    serial: int = 0
    watch: bool | None = None
    fetch: bool = False


LISTING_DECODER = msgspec.json.Decoder(Listing)
HELLO_DECODER = msgspec.json.Decoder(Hello)
