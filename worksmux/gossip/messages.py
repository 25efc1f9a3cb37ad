"""Messages between nodes. Tags and field names on the wire differ from those in the code.

`updates` are the membership updates that a message carries. The sender's own update comes first.
"""

from __future__ import annotations

import msgspec

from .members import MembershipUpdate

NO_REPLY = -1  # generation in a Ping that must not be answered


class Ping(msgspec.Struct, tag="ping"):
    """Asks whether the given generation of the receiver is alive.

    `generation` is NO_REPLY if the message only carries updates.
    """

    number: int
    generation: int = msgspec.field(name="life")
    updates: list[MembershipUpdate] = msgspec.field(default_factory=list, name="rumours")


class Ack(msgspec.Struct, tag="ack"):
    """Answers a Ping or a PingRequest."""

    number: int
    updates: list[MembershipUpdate] = msgspec.field(default_factory=list, name="rumours")


class PingRequest(msgspec.Struct, tag="ask"):
    """Asks the receiver to ping `target` for the sender (SWIM §3.1, ping-req)."""

    number: int
    target: str
    updates: list[MembershipUpdate] = msgspec.field(default_factory=list, name="rumours")


class Nack(msgspec.Struct, tag="nack"):
    """Answers a PingRequest whose target has not answered the helper (Lifeguard, LHA-Probe).

    It shows that the helper itself is alive.
    """

    number: int


class StateDigest(msgspec.Struct, tag="same"):
    """Carries a digest of the sender's full state.

    A receiver whose digest differs answers with BucketDigests.
    """

    digest: int


class BucketDigests(msgspec.Struct, tag="parts"):
    """Carries a digest of each bucket. The receiver answers with the buckets that differ."""

    digests: list[int] = msgspec.field(name="marks")


class BucketState(msgspec.Struct, tag="some"):
    """Carries the updates of some buckets. `wanted_buckets` requests the receiver's in return."""

    updates: list[MembershipUpdate] = msgspec.field(name="rumours")
    wanted_buckets: list[int] = msgspec.field(default_factory=list, name="wanted")


class FullState(msgspec.Struct, tag="everyone"):
    """Carries the updates of all known nodes. `reply_wanted` requests the same in return."""

    updates: list[MembershipUpdate] = msgspec.field(name="rumours")
    reply_wanted: bool = msgspec.field(default=False, name="wanted")


Message = Ping | Ack | PingRequest | Nack | StateDigest | BucketDigests | BucketState | FullState
