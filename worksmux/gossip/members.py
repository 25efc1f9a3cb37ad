"""The known state of each node: one membership update per node, the one with the highest precedence.

A node is identified by its name. Each start of a node has a generation, a number that grows. Within a
generation the node raises its incarnation to refute a suspicion, or to announce changed metadata (SWIM §4.2).
The module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

import msgspec
import xxhash

ABSENT_KEPT_RATIO = 2  # limit of absent nodes that are remembered, as a multiple of those present
MIN_ABSENT_KEPT = 64
MAX_METADATA_ENTRIES = 16
MAX_TEXT_LENGTH = 200  # characters of a name, an address, or a key or value of the metadata
DIGEST_BUCKETS = 64  # nodes are assigned to buckets by a hash of their names, and compared by bucket
LEFT_PRECEDENCE = 2**62  # higher than any incarnation


def bucket_of(name: str) -> int:
    """Returns the digest bucket that a node's name belongs to."""
    return xxhash.xxh3_64_intdigest(name.encode()) % DIGEST_BUCKETS


class MemberState(IntEnum):
    """The state of a node. Within an incarnation the higher value has precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # orderly shutdown; this generation does not return


class MembershipUpdate(msgspec.Struct, frozen=True):
    """One node's statement about another node, or about itself.

    `metadata` is what the node in question announces of itself.
    """

    name: str
    generation: int = msgspec.field(name="life")
    incarnation: int = msgspec.field(name="beat")
    state: int
    address: str  # host:port of its peer listener
    zone: str
    region: str
    metadata: dict[str, str] = msgspec.field(default_factory=dict, name="facts")
    accuser: str = msgspec.field(default="", name="by")  # the node that suspects it or declared it dead

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Returns the key by which updates of a node are compared; the highest one wins (SWIM §4.2).

        Within an incarnation the worse state wins: only the node itself can refute it, by a higher
        incarnation. A node that has left stays in that state for the generation.
        """
        has_left = self.state == MemberState.LEFT
        return self.generation, (LEFT_PRECEDENCE if has_left else 0) + self.incarnation, self.state

    @property
    def digest(self) -> int:
        """Returns a hash of the name and the precedence."""
        return xxhash.xxh3_64_intdigest(repr((self.name, *self.precedence)).encode())

    def is_valid(self) -> bool:
        """Whether all values are in range. A peer may send anything."""
        texts = (
            self.name,
            self.address,
            self.zone,
            self.region,
            self.accuser,
            *self.metadata,
            *self.metadata.values(),
        )
        return (
            bool(self.name)
            and self.generation > 0
            and self.incarnation >= 0
            and self.state in tuple(MemberState)
            and len(self.metadata) <= MAX_METADATA_ENTRIES
            and all(len(text) <= MAX_TEXT_LENGTH for text in texts)
        )


@dataclass(slots=True)
class Member:
    """Another node as this node knows it. Times are milliseconds of this node's clock."""

    update: MembershipUpdate
    state_since: float
    accusers: set[str] = field(default_factory=set)  # nodes that suspect it independently
    suspected_at: float = 0.0

    @property
    def name(self) -> str:
        """Returns the node's name."""
        return self.update.name

    @property
    def address(self) -> str:
        """Returns the address of the node's peer listener."""
        return self.update.address

    @property
    def state(self) -> MemberState:
        """Returns the node's state."""
        return MemberState(self.update.state)

    @property
    def is_present(self) -> bool:
        """Whether the node is alive or suspected: a suspect is still probed and counted."""
        return self.update.state <= MemberState.SUSPECT


@dataclass(frozen=True, slots=True)
class AppliedUpdate:
    """The result of an update that was applied. `before` is None for a node that was not known."""

    before: MembershipUpdate | None
    member: Member


class MemberList:
    """Holds the known nodes, without this one."""

    def __init__(self) -> None:
        self.known: dict[str, Member] = {}
        self.present: dict[str, Member] = {}
        self.suspects: dict[str, Member] = {}
        # Per bucket the XOR of the updates' digests, so that their order does not matter.
        self.bucket_digests = [0] * DIGEST_BUCKETS

    def apply(self, update: MembershipUpdate, now: float) -> AppliedUpdate | None:
        """Stores an update; returns None if the known one has precedence."""
        member = self.known.get(update.name)
        if member is not None and update.precedence <= member.update.precedence:
            return None
        before = member.update if member else None
        self.bucket_digests[bucket_of(update.name)] ^= update.digest ^ (before.digest if before else 0)
        if member is None or before is None or _state_differs(before, update):
            member = self.known[update.name] = Member(update, now)
        member.update = update
        if update.state == MemberState.ALIVE:
            member.accusers.clear()
        self._classify(member)
        if len(self.known) - len(self.present) > max(MIN_ABSENT_KEPT, ABSENT_KEPT_RATIO * len(self.present)):
            self._forget_absent()
        return AppliedUpdate(before, member)

    def _classify(self, member: Member) -> None:
        """Updates `present` and `suspects` for one member."""
        for group, belongs in (
            (self.present, member.is_present),
            (self.suspects, member.state == MemberState.SUSPECT),
        ):
            if belongs:
                group[member.name] = member
            else:
                group.pop(member.name, None)

    def _forget_absent(self) -> None:
        """Forgets the half of the absent nodes that have been absent longest.

        Without this, memory and messages grow without bound in a fleet whose nodes are replaced all day under
        new names.
        """
        absent = [member for member in self.known.values() if not member.is_present]
        for member in sorted(absent, key=lambda member: member.state_since)[: len(absent) // 2]:
            self.bucket_digests[bucket_of(member.name)] ^= member.update.digest
            del self.known[member.name]


def _state_differs(before: MembershipUpdate, after: MembershipUpdate) -> bool:
    return (before.state, before.generation) != (after.state, after.generation)
