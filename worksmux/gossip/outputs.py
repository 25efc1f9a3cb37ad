"""What the membership core gives back: messages and events."""

from __future__ import annotations

from dataclasses import dataclass, field

from .members import Member, MembershipUpdate
from .messages import Message


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """`receiver` is a node's name; empty if only its address is known."""

    receiver: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """`before` is None for a node that was not known."""

    before: MembershipUpdate | None
    after: MembershipUpdate


@dataclass(frozen=True, slots=True)
class GenerationRaised:
    """This node has taken a higher generation.

    Others knew of a start of it that its own clock and disk do not show.
    """

    generation: int


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another process with this node's name started later, at `address`: this process has to exit."""

    generation: int
    address: str


Event = MemberChanged | GenerationRaised | Superseded


@dataclass(slots=True)
class Output:
    messages: list[OutgoingMessage] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)

    def send(self, receiver: str, address: str, message: Message) -> None:
        self.messages.append(OutgoingMessage(receiver, address, message))

    def send_to(self, member: Member, message: Message) -> None:
        self.send(member.name, member.address, message)
