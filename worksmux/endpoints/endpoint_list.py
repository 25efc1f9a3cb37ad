"""What a front makes of each message of its registry, beyond its order: lists that are empty, halved or
late, and engines that flap.  Free of I/O; time is passed in.

- An empty list, while engines are in use, is taken for a failed call. It is believed once it has been
  repeated for `doubt` milliseconds and was asked for anew in between: a registry that has lost its data
  recovers or is mended in that time, and a fleet that is truly gone fails its trips in any case.
- A whole list that names less than half of the engines in use is obeyed at once, for what it leaves out is
  told gone; but the list is asked for again, until two that follow each other agree.
- A list that comes late is obeyed, being newer than ours; its lateness is reckoned against the promptest one
  seen and told, since the two clocks need not agree.
- An engine that comes and goes is held back, as `damping` says.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from ..api.listing import Listing
from ..policy.events import EndpointEntry, EndpointListUpdate
from ..policy.state import Engine
from .flap_damping import Damping
from .list_reader import ListKeeper, Told

HALF = 0.5  # of the engines in use: a whole list with fewer is asked for again
ASKS = 4  # within the time of doubt


class Roster:
    """`doubt` is how long an empty list must be repeated, `half_life` that of damping; milliseconds."""

    def __init__(
        self,
        kinds: list[str],
        zones: list[str],
        find: Callable[[str], Engine],
        doubt: float,
        half_life: float,
    ) -> None:
        self.keeper = ListKeeper(kinds, zones, find)
        self.doubt = doubt
        self.damping = Damping(half_life)
        self.told: dict[str, str] = {}  # the state that the module was told, by engine
        self.empty_since: float | None = None
        self.doubted = 0  # ready engines of a halved list, asked for again
        self.ask_at: float | None = None
        self.late = 0.0  # milliseconds, of the last message
        self.promptest: float | None = None

    def take(self, now: float, message: Listing) -> Told:
        """`now` on this front's clock, milliseconds."""
        if message.scope == "failed":
            return self.keeper.take(now, message)
        if message.scope == "full" and not self.keeper.older(message):
            if self._empty(message) and self._in_use() and not self._believe_empty(now):
                self.keeper.fetching = False
                return Told(notes=["an empty list does not wipe a serving fleet; it is asked for again"])
            if not self._empty(message):
                self.empty_since = None
        before = self._in_use()
        told = self.keeper.take(now, message)
        if told.event is not None:
            self._lateness(now, message)
            self._damp(now, told.event)
            if message.scope == "full":
                self._halved(now, before, told)
        return told

    @staticmethod
    def _empty(message: Listing) -> bool:
        return not any(line.state == "ready" for line in message.engines)

    def _in_use(self) -> int:
        return sum(state == "ready" for state in self.told.values())

    def _believe_empty(self, now: float) -> bool:
        if self.empty_since is None:
            self.empty_since = now
        self.ask_at = now + self.doubt / ASKS
        return now - self.empty_since >= self.doubt

    def _halved(self, now: float, before: int, told: Told) -> None:
        after = self.keeper.ready
        if after < HALF * before and after != self.doubted:
            self.doubted, self.ask_at = after, now + self.doubt / ASKS
            told.notes.append(f"the list names {after} of {before} engines; it is obeyed, asked again")
        else:
            self.doubted = 0
            self.ask_at = None

    def _lateness(self, now: float, message: Listing) -> None:
        if message.now > 0:
            ahead = now - message.now
            self.promptest = ahead if self.promptest is None else min(self.promptest, ahead)
            self.late = ahead - self.promptest

    def _damp(self, now: float, event: EndpointListUpdate) -> None:
        """Replaces the entries of engines that flap; keeps what the module is told of each."""
        leaving = [entry.engine.id.decode() for entry in event.entries if entry.state != "ready"]
        if event.scope != "delta":
            named = {entry.engine.id.decode() for entry in event.entries}
            leaving += self.told.keys() - named
        for name in leaving:
            known = self.told.get(name)
            if known == "ready" or self.damping.is_held(name):
                self.damping.left(name, now)
            self.damping.release(name)
            self.told[name] = "gone"
        self._forget_gone(event)
        listed, held = self._counts()
        for at, entry in enumerate(event.entries):
            name = entry.engine.id.decode()
            if entry.state == "ready":
                kind = self.keeper.known[name].line.kind
                was = self.damping.is_held(name)
                if not self.damping.admit(name, now, listed[kind], held[kind]):
                    held[kind] += not was
                    event.entries[at] = entry = replace(entry, state="draining")
                else:
                    held[kind] -= was
            self.told[name] = entry.state

    def _forget_gone(self, event: EndpointListUpdate) -> None:
        if event.scope != "delta":
            self.told = {name: state for name, state in self.told.items() if state != "gone"}

    def _counts(self) -> tuple[Counter[str], Counter[str]]:
        """By kind: engines that the list calls ready, and those of them held back."""
        listed: Counter[str] = Counter()
        held: Counter[str] = Counter()
        for name, known in self.keeper.known.items():
            if known.line.state == "ready":
                listed[known.line.kind] += 1
                held[known.line.kind] += self.damping.is_held(name)
        return listed, held

    def remembered(self, entries: list[EndpointEntry]) -> None:
        """Lines that the module is told of before any registry has spoken."""
        for entry in entries:
            self.told[entry.engine.id.decode()] = entry.state

    def tick(self, now: float) -> tuple[EndpointListUpdate | None, bool]:
        """Engines let in again, and whether the whole list is to be asked for."""
        entries = []
        if self.damping.held:
            listed, held = self._counts()
            for name, known in self.keeper.known.items():
                if (
                    self.damping.is_held(name)
                    and known.line.state == "ready"
                    and self.damping.admit(name, now, listed[known.line.kind], held[known.line.kind])
                ):
                    entries.append(self.keeper.entry(known, "ready"))
                    self.told[name] = "ready"
        ask = self.ask_at is not None and self.ask_at <= now
        if ask:
            self.ask_at = None
        return (EndpointListUpdate("delta", entries) if entries else None), ask

    def next_time(self) -> float | None:
        """When `tick` is due."""
        times = (
            [
                self.damping.let_in_at(name)
                for name, known in self.keeper.known.items()
                if self.damping.is_held(name)
            ]
            if self.damping.held
            else []
        )
        if self.ask_at is not None:
            times.append(self.ask_at)
        return min(times, default=None)
