"""What fronts tell each other about who is there."""

from __future__ import annotations

import msgspec

from .members import Rumour


class Ping(msgspec.Struct, tag="ping"):
    """Is this life of you there?  The sender's own rumour comes first."""

    number: int
    life: int  # of who is meant; -1: no answer is wanted
    rumours: list[Rumour] = []


class Ack(msgspec.Struct, tag="ack"):
    number: int
    rumours: list[Rumour] = []


class Ask(msgspec.Struct, tag="ask"):
    """Ping that one for me."""

    number: int
    target: str
    rumours: list[Rumour] = []


class Nack(msgspec.Struct, tag="nack"):
    """I am there, but have not heard from the one you asked for."""

    number: int


class Same(msgspec.Struct, tag="same"):
    """The digest of all that is believed: where it differs, both tell the parts that do."""

    digest: int


class Parts(msgspec.Struct, tag="parts"):
    """Digests of all that is believed, part by part."""

    marks: list[int]


class Some(msgspec.Struct, tag="some"):
    """What is believed in the parts that differ; the same of those `wanted` is asked for."""

    rumours: list[Rumour]
    wanted: list[int] = []


class Everyone(msgspec.Struct, tag="everyone"):
    """All that is believed; with `wanted` the same is asked for."""

    rumours: list[Rumour]
    wanted: bool = False


Message = Ping | Ack | Ask | Nack | Same | Parts | Some | Everyone
