"""Messages between nodes. Tags and names of fields on the wire differ from those in the code.

`updates` are membership updates that ride on a message; the sender's own comes first.
"""

from __future__ import annotations

import msgspec

from .members import MembershipUpdate

NO_REPLY = -1  # as the generation in a Ping


class Ping(msgspec.Struct, tag="ping"):
    """Is this generation of you alive? `generation` is that of the receiver, or NO_REPLY."""

    number: int
    generation: int = msgspec.field(name="life")
    updates: list[MembershipUpdate] = msgspec.field(default_factory=list, name="rumours")


class Ack(msgspec.Struct, tag="ack"):
    number: int
    updates: list[MembershipUpdate] = msgspec.field(default_factory=list, name="rumours")


class PingRequest(msgspec.Struct, tag="ask"):
    """Ping `target` for me (SWIM §3.1, ping-req)."""

    number: int
    target: str
    updates: list[MembershipUpdate] = msgspec.field(default_factory=list, name="rumours")


class Nack(msgspec.Struct, tag="nack"):
    """I am alive, but the target of your PingRequest has not answered me (Lifeguard, LHA-Probe)."""

    number: int


class StateDigest(msgspec.Struct, tag="same"):
    """A digest of all that the sender knows. If it differs, the receiver answers with BucketDigests."""

    digest: int


class BucketDigests(msgspec.Struct, tag="parts"):
    """A digest of each bucket. The receiver answers with the buckets that differ."""

    digests: list[int] = msgspec.field(name="marks")


class BucketState(msgspec.Struct, tag="some"):
    """All that is known of some buckets; `wanted_buckets` are asked for in return."""

    updates: list[MembershipUpdate] = msgspec.field(name="rumours")
    wanted_buckets: list[int] = msgspec.field(default_factory=list, name="wanted")


class FullState(msgspec.Struct, tag="everyone"):
    """All that is known; `reply_wanted` asks for the same in return."""

    updates: list[MembershipUpdate] = msgspec.field(name="rumours")
    reply_wanted: bool = msgspec.field(default=False, name="wanted")


Message = Ping | Ack | PingRequest | Nack | StateDigest | BucketDigests | BucketState | FullState
