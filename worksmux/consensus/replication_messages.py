"""Messages by which every node, voter or not, learns the committed state. Field names on the wire differ."""

from __future__ import annotations

import msgspec

from .state_machine import VersionedValue


class PullRequest(msgspec.Struct, tag="pull"):
    """Asks for the values that changed after `known_index`, and reports on the sender's part of the tree."""

    number: int
    known_index: int = msgspec.field(name="have")
    state_hash: int = msgspec.field(name="mark")  # of the sender's state at `known_index`
    report: bytes = b""


class PullReply(msgspec.Struct, tag="told"):
    """The values that changed.

    `age_ms` is how long ago it was certain that nothing newer than `index` was committed; negative if
    unknown. `leader` is the leader's node; empty if unknown.
    """

    number: int
    index: int
    state_hash: int = msgspec.field(name="mark")
    age_ms: float = msgspec.field(name="age")
    leader: str
    values: dict[str, VersionedValue] = msgspec.field(default_factory=dict, name="chapters")


class ChangeNotice(msgspec.Struct, tag="news"):
    """The sender's state has reached `index`: pull from it."""

    index: int


Message = PullRequest | PullReply | ChangeNotice
