"""Network between components without I/O, in simulated time.

The network delays, loses and duplicates messages, and cuts any pair of addresses, also in one direction only.
A receiver that listens at an address gets each message that arrives there. Messages overtake one another
according to their delays, as calls on several connections do.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from ..policy.random_source import RandomSource
from .sim import Sim

Receiver = Callable[[str, Any], object]


@dataclass
class NetworkConditions:
    """Delay, loss and duplication of messages; times are in milliseconds, the others are shares."""

    delay_ms: tuple[float, float] = (0.3, 2.0)
    loss: float = 0.0
    duplicates: float = 0.0


class SimulatedNetwork:
    """Network that delivers messages between addresses under given conditions."""

    def __init__(self, sim: Sim, seed: int, conditions: NetworkConditions | None = None) -> None:
        self.sim, self.random, self.conditions = sim, RandomSource(seed), conditions or NetworkConditions()
        self.receivers: dict[str, Receiver] = {}
        self.cuts: set[tuple[str, str]] = set()  # directed pairs of addresses
        self.extra_delay_ms: dict[str, float] = {}  # added to all messages from an address
        self.sent: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.counts_bytes = False  # counting encodes each message, which takes time

    def listen(self, address: str, receiver: Receiver) -> None:
        """Registers `receiver(sender, message)` for the messages to an address."""
        self.receivers[address] = receiver

    def stop_listening(self, address: str) -> None:
        """Discards the messages that arrive at an address from now on."""
        self.receivers.pop(address, None)

    def cut(self, group: list[str], others: list[str], direction: str = "both") -> None:
        """Cuts the links between two groups of addresses.

        `direction` is "both", "out" (nothing from `group` arrives at `others`) or "in".
        """
        for address in group:
            for other in others:
                if address != other:
                    if direction in ("both", "out"):
                        self.cuts.add((address, other))
                    if direction in ("both", "in"):
                        self.cuts.add((other, address))

    def remove_partitions(self) -> None:
        """Removes all cuts of links."""
        self.cuts.clear()

    def send(self, sender: str, receiver_address: str, message: Any) -> None:
        """Sends a message; the conditions decide whether, when and how often it arrives."""
        self.sent[sender] += 1
        if self.counts_bytes:
            self.bytes[sender] += len(msgspec.msgpack.encode(message))
        if (sender, receiver_address) in self.cuts or self.random.share() < self.conditions.loss:
            return
        copies = 1 + (self.random.share() < self.conditions.duplicates)
        for _ in range(copies):
            min_delay, max_delay = self.conditions.delay_ms
            delay = (
                min_delay
                + (max_delay - min_delay) * self.random.share()
                + self.extra_delay_ms.get(sender, 0.0)
            )
            self.sim.after(delay, self._arrive, sender, receiver_address, message)

    def _arrive(self, sender: str, receiver_address: str, message: Any) -> None:
        receiver = self.receivers.get(receiver_address)
        if receiver is not None and (sender, receiver_address) not in self.cuts:
            receiver(sender, message)
