"""Keeps the list of engines in step with a registry that restarts, repeats itself and skips lines.

What it guards against: a gap in the serial numbers (what came is newer than ours and holds, and the whole
list is asked for), a change or list older than ours on the same connection (left out), a registry that starts
its numbers anew (believed on a new connection, unless its clock is behind), an unknown kind or zone (that
engine is left out, the others hold), and a start time that jitters with each listing though the engine never
restarted.
"""

from __future__ import annotations

from collections.abc import Callable
from copy import copy
from dataclasses import dataclass, field

from ..api.listing import Line, Listing
from ..policy.events import EndpointEntry, EndpointListUpdate
from ..policy.state import Engine


@dataclass(slots=True)
class Known:
    """What was last listed of one engine."""

    engine: Engine
    line: Line
    started: float = 0.0  # on this front's clock


@dataclass(slots=True)
class Told:
    """What follows from one message."""

    event: EndpointListUpdate | None = None
    fetch: bool = False  # ask for the whole list
    moved: list[Known] = field(default_factory=list)  # engines whose address is new
    notes: list[str] = field(default_factory=list)  # what was left out, and why


class ListKeeper:
    """Turns the registry's messages into what the module is told.

    `kinds` and `zones` are names in the order of the settings; `find` gives the engine for an id.
    """

    def __init__(self, kinds: list[str], zones: list[str], find: Callable[[str], Engine]) -> None:
        self.kinds = {name: at for at, name in enumerate(kinds)}
        self.zones = {name: at for at, name in enumerate(zones)}
        self.find = find
        self.known: dict[str, Known] = {}
        self.serial = 0
        self.theirs = 0.0  # the latest time of the registry's clock that we saw
        self.whole = False  # a full list has come
        self.fetching = False
        self.fresh = True  # nothing has come yet on this connection

    def connected(self) -> None:
        self.fresh, self.fetching = True, False

    def take(self, now: float, message: Listing) -> Told:
        """`now` is this front's clock in milliseconds."""
        told = Told()
        if message.scope == "failed":
            self.fetching = False
            told.event = EndpointListUpdate("failed", [])
            return told
        if message.scope == "delta":
            return self._change(now, message, told)
        if self.older(message):
            told.notes.append(f"a full list {message.serial} older than ours, {self.serial}, was left out")
            return told
        self.fresh, self.fetching, self.whole = False, False, True
        self.serial, self.theirs = message.serial, max(self.theirs, message.now)
        listed = {line.id for line in message.engines}
        for gone in self.known.keys() - listed:
            self.known[gone].line.state = "gone"
        told.event = EndpointListUpdate("full", self._entries(now, message, told))
        return told

    def older(self, message: Listing) -> bool:
        """Whether a full list is older than what we have: on the same connection by its number, on a new one
        only if the registry's clock is behind too, as a registry may start its numbers anew."""
        return message.serial < self.serial and (not self.fresh or message.now < self.theirs)

    def _change(self, now: float, message: Listing, told: Told) -> Told:
        if message.serial <= self.serial and not self.fresh:
            told.notes.append(f"a change {message.serial} not newer than ours, {self.serial}, was left out")
            return told
        gap = not self.whole or message.previous != self.serial
        self.fresh = False
        if gap:
            told.fetch = not self.fetching
            self.fetching = True
            told.notes.append(
                f"changes between {self.serial} and {message.serial} are missing; the list is asked for"
            )
        if not gap or message.serial > self.serial:
            self.serial = message.serial
        told.event = EndpointListUpdate("delta", self._entries(now, message, told))
        return told

    def _entries(self, now: float, message: Listing, told: Told) -> list[EndpointEntry]:
        entries = []
        for line in message.engines:
            if not self._placed(line):
                what = f"kind {line.kind}" if line.kind not in self.kinds else f"zone {line.zone}"
                told.notes.append(f"engine {line.id}: the settings know no {what}; the engine was left out")
                if line.id in self.known:  # what it was before is no longer true
                    entries.append(self.entry(self.known[line.id], "gone"))
                continue
            entries.append(self.entry(self._known(now, message.now, line, told), line.state))
        return entries

    def _placed(self, line: Line) -> bool:
        """Whether the settings know its kind and zone; where they name no zones, all lie in one."""
        return line.kind in self.kinds and (not self.zones or line.zone in self.zones)

    def _known(self, now: float, theirs: float, line: Line, told: Told) -> Known:
        known = self.known.get(line.id)
        if known is None:
            known = self.known[line.id] = Known(self.find(line.id), line)
            told.moved.append(known)
            known.started = self._started(now, theirs, line)
        else:
            if line.state == "gone" and not line.host:  # what it still holds is released where it was
                line.host, line.port = known.line.host, known.line.port
            if (known.line.host, known.line.port) != (line.host, line.port):
                told.moved.append(known)
            if known.line.started != line.started:
                known.started = self._started(now, theirs, line)
            known.line = line
        return known

    @staticmethod
    def _started(now: float, theirs: float, line: Line) -> float:
        """The start on this front's clock; reckoned once for each start, or each listing would look like
        one."""
        return max(1e-3, now - max(0.0, theirs - line.started)) if line.started else 0.0

    def entry(self, known: Known, state: str) -> EndpointEntry:
        line = known.line
        return EndpointEntry(
            known.engine,
            state,
            known.started,
            self.zones.get(line.zone, 0),
            line.cell,
            self.kinds.get(line.kind, 0),
            line.size,
        )

    def remember(
        self, now: float, wall: float, line: Line, state: str, careful: bool
    ) -> EndpointEntry | None:
        """A line that no registry has told in this life; with `careful` it counts as just started.

        None for a kind or zone that the settings do not know.
        """
        if not self._placed(line):
            return None
        known = self.known.get(line.id)
        if known is None:
            known = self.known[line.id] = Known(self.find(line.id), line)
        known.started = now if careful else self._started(now, wall, line)
        known.line = copy(line)
        known.line.state = state  # type: ignore[assignment]
        if careful:  # so that the first true listing reckons its start anew
            known.line.started = -1.0
        return self.entry(known, state)

    @property
    def ready(self) -> int:
        return sum(known.line.state == "ready" for known in self.known.values())
