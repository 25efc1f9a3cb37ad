"""What the caller gives to the membership core."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Message


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; wanted when `due` is reached."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message, with the sender's name and the address that it came from."""

    sender: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Leave:
    """This node shuts down in order."""


@dataclass(frozen=True, slots=True)
class MetadataChanged:
    """What this node announces of itself."""

    metadata: dict[str, str]


Input = Tick | MessageReceived | Leave | MetadataChanged
