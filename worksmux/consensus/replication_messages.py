"""Messages by which every node, voter or not, receives the committed state.

Tags and field names on the wire differ from those in the code.
"""

from __future__ import annotations

import msgspec

from .state_machine import VersionedValue


class PullRequest(msgspec.Struct, tag="pull"):
    """Requests the values that changed after `known_index`.

    `report` covers the sender and the nodes below it in the tree.
    """

    number: int
    known_index: int = msgspec.field(name="have")
    state_hash: int = msgspec.field(name="mark")  # of the sender's state at `known_index`
    report: bytes = b""


class PullReply(msgspec.Struct, tag="told"):
    """Carries the values that changed.

    `age_ms` is how long ago it was certain that nothing newer than `index` was committed, negative if
    unknown. `leader` is the leader's node, empty if unknown.
    """

    number: int
    index: int
    state_hash: int = msgspec.field(name="mark")
    age_ms: float = msgspec.field(name="age")
    leader: str
    values: dict[str, VersionedValue] = msgspec.field(default_factory=dict, name="chapters")


class ChangeNotice(msgspec.Struct, tag="news"):
    """Reports that the sender's state has reached `index`, so that the receiver pulls from it."""

    index: int


Message = PullRequest | PullReply | ChangeNotice
