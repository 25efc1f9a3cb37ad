"""Outputs of the membership core: messages and events."""

from __future__ import annotations

from dataclasses import dataclass, field

from .members import Member, MembershipUpdate
from .messages import Message


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to be sent. `receiver` is a node's name, or empty if only the address is known."""

    receiver: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """Reports a new or changed member. `before` is None for a node that was not known."""

    before: MembershipUpdate | None
    after: MembershipUpdate


@dataclass(frozen=True, slots=True)
class GenerationRaised:
    """Reports that this node has taken a higher generation.

    Other nodes knew of a later start of it than its own clock and disk show.
    """

    generation: int


@dataclass(frozen=True, slots=True)
class Superseded:
    """Reports that another process with this node's name started later, at `address`.

    This process has to exit.
    """

    generation: int
    address: str


Event = MemberChanged | GenerationRaised | Superseded


@dataclass(slots=True)
class Output:
    """Collects the messages and events of one step."""

    messages: list[OutgoingMessage] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)

    def send(self, receiver: str, address: str, message: Message) -> None:
        """Adds a message to an address."""
        self.messages.append(OutgoingMessage(receiver, address, message))

    def send_to(self, member: Member, message: Message) -> None:
        """Adds a message to a member."""
        self.send(member.name, member.address, message)
