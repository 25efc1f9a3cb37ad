"""The list of engines as JSON lines, between registry and front.

The front opens with {"hello": its name, "serial": the last it has}; {"watch": true} asks for changes where
they come only when asked for, and {"fetch": true} for the whole list.  The registry sends {"list": "full" |
"delta" | "failed", "serial", "previous" (of a delta), "now", "engines"}; `now` and `started` are milliseconds
since 1970 on its clock.
"""

from __future__ import annotations

from typing import Literal

import msgspec


class Line(msgspec.Struct):
    """One engine."""

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
    scope: Literal["full", "delta", "failed"]
    serial: int = 0
    previous: int | None = None
    now: float = 0.0
    engines: list[Line] = []
    reason: str = ""


class Hello(msgspec.Struct, omit_defaults=True):
    """What a front says: one of the three."""

    hello: str = ""
    serial: int = 0
    watch: bool | None = None
    fetch: bool = False


LISTING_DECODER = msgspec.json.Decoder(Listing)
HELLO_DECODER = msgspec.json.Decoder(Hello)
