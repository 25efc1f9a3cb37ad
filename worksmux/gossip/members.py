"""What is known of each node: one membership update per node, of which the one with precedence wins. Pure.

A node is known by its name. Each start of it has a generation, a number that grows. Within a generation the
node raises its incarnation number to refute a suspicion, or to announce that its metadata changed (SWIM
§4.2).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

import msgspec
import xxhash

ABSENT_KEPT_RATIO = 2  # absent nodes that are remembered, as a multiple of those present
MIN_ABSENT_KEPT = 64
MAX_METADATA = 16  # entries of a node's metadata
MAX_TEXT_LENGTH = 200  # characters of a name, an address, or a key or value of the metadata
DIGEST_BUCKETS = 64  # nodes are compared bucket by bucket, by a hash of their names
LEFT_PRECEDENCE = 2**62  # above any incarnation


def bucket_of(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % DIGEST_BUCKETS


class MemberState(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # it shut down in order; this generation does not come back


class MembershipUpdate(msgspec.Struct, frozen=True):
    """What one node tells of another, or of itself. `metadata` is what the node announces of itself."""

    name: str
    generation: int = msgspec.field(name="life")
    incarnation: int = msgspec.field(name="beat")
    state: int
    address: str  # host:port of its listener for peers
    zone: str
    region: str
    metadata: dict[str, str] = msgspec.field(default_factory=dict, name="facts")
    accuser: str = msgspec.field(default="", name="by")  # the node that suspects it or found it dead

    @property
    def precedence(self) -> tuple[int, int, int]:
        """The higher one is believed (SWIM §4.2).

        Within an incarnation the worse state wins: only the node itself can refute it, by a higher
        incarnation. A node that has left stays so for that generation.
        """
        has_left = self.state == MemberState.LEFT
        return self.generation, (LEFT_PRECEDENCE if has_left else 0) + self.incarnation, self.state

    @property
    def digest(self) -> int:
        return xxhash.xxh3_64_intdigest(repr((self.name, *self.precedence)).encode())

    def is_valid(self) -> bool:
        """Whether all values are in their range; what a peer sends may be anything."""
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
            and len(self.metadata) <= MAX_METADATA
            and all(len(text) <= MAX_TEXT_LENGTH for text in texts)
        )


@dataclass(slots=True)
class Member:
    """Another node as known here; times are milliseconds of this node's clock."""

    update: MembershipUpdate
    state_since: float
    accusers: set[str] = field(default_factory=set)  # nodes that suspect it, each on its own
    suspected_at: float = 0.0

    @property
    def name(self) -> str:
        return self.update.name

    @property
    def address(self) -> str:
        return self.update.address

    @property
    def state(self) -> MemberState:
        return MemberState(self.update.state)

    @property
    def is_present(self) -> bool:
        """Alive or suspected: a suspect is still probed and counted."""
        return self.update.state <= MemberState.SUSPECT


@dataclass(frozen=True, slots=True)
class AppliedUpdate:
    """`before` is None for a node that was not known."""

    before: MembershipUpdate | None
    member: Member


class MemberList:
    """All nodes but this one."""

    def __init__(self) -> None:
        self.known: dict[str, Member] = {}
        self.present: dict[str, Member] = {}
        self.suspects: dict[str, Member] = {}
        self.bucket_digests = [
            0
        ] * DIGEST_BUCKETS  # XOR of the updates' digests, so that order does not matter

    def apply(self, update: MembershipUpdate, now: float) -> AppliedUpdate | None:
        """Takes an update over; None if what is known has precedence."""
        member = self.known.get(update.name)
        if member is not None and update.precedence <= member.update.precedence:
            return None
        before = member.update if member else None
        self.bucket_digests[bucket_of(update.name)] ^= update.digest ^ (before.digest if before else 0)
        if member is None or before is None or _is_other_phase(before, update):
            member = self.known[update.name] = Member(update, now)
        member.update = update
        if update.state == MemberState.ALIVE:
            member.accusers.clear()
        self._classify(member)
        if len(self.known) - len(self.present) > max(MIN_ABSENT_KEPT, ABSENT_KEPT_RATIO * len(self.present)):
            self._forget_absent()
        return AppliedUpdate(before, member)

    def _classify(self, member: Member) -> None:
        """Keeps `present` and `suspects` in step with `known`."""
        for group, belongs in (
            (self.present, member.is_present),
            (self.suspects, member.state == MemberState.SUSPECT),
        ):
            if belongs:
                group[member.name] = member
            else:
                group.pop(member.name, None)

    def _forget_absent(self) -> None:
        """Forgets the absent nodes that have been so the longest.

        Failure: in a fleet whose nodes are replaced all day under new names, memory and messages grow
        without end.
        """
        absent = [member for member in self.known.values() if not member.is_present]
        for member in sorted(absent, key=lambda member: member.state_since)[: len(absent) // 2]:
            self.bucket_digests[bucket_of(member.name)] ^= member.update.digest
            del self.known[member.name]


def _is_other_phase(before: MembershipUpdate, after: MembershipUpdate) -> bool:
    return (before.state, before.generation) != (after.state, after.generation)
