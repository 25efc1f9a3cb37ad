"""Inputs of the membership core."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Message


@dataclass(frozen=True, slots=True)
class Tick:
    """Reports that time has passed. It is due when `Swim.due` is reached."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Carries a message, with the sender's name and the address that it came from."""

    sender: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Leave:
    """Announces the orderly shutdown of this node."""


@dataclass(frozen=True, slots=True)
class MetadataChanged:
    """Carries the new metadata that this node announces of itself."""

    metadata: dict[str, str]


Input = Tick | MessageReceived | Leave | MetadataChanged
