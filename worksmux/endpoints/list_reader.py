"""Keeps the endpoint list in sync with a registry that restarts, repeats messages and skips changes.

- After a gap in the serial numbers the received change is applied, because it is newer, and the full list is
  requested.
- A change or full list that is not newer than the list in force is ignored on the same connection.
- A registry may reset its serial numbers: on a new connection a lower serial number is accepted, unless the
  registry's clock is behind too.
- An endpoint of an unknown kind or zone is ignored; the other endpoints of the message are applied.
- A converted start time may jitter from list to list without a restart of the engine. It is therefore
  converted to this node's clock only once for each start.

No I/O; times are milliseconds on this node's clock unless stated otherwise.
"""

from __future__ import annotations

from collections.abc import Callable
from copy import copy
from dataclasses import dataclass, field

from ..api.listing import Line, Listing
from ..policy.events import EndpointEntry, EndpointListUpdate
from ..policy.state import Engine

EARLIEST_START_MS = 1e-3  # 0 means that the engine started long ago
UNKNOWN_START = -1.0  # a listed start that no engine has


@dataclass(slots=True)
class KnownEndpoint:
    """The last listed entry of one engine."""

    engine: Engine
    line: Line
    started: float = 0.0  # on this node's clock; 0: long ago


@dataclass(slots=True)
class ListResult:
    """The effects of one message of the registry."""

    event: EndpointListUpdate | None = None
    fetch: bool = False  # whether to request the full list
    moved: list[KnownEndpoint] = field(default_factory=list)  # engines that are new or have a new address
    notes: list[str] = field(default_factory=list)  # for the log: what was ignored, and why


class EndpointListReader:
    """Converts the registry's messages to events for the policy.

    `kinds` and `zones` are names in the order of the settings; `find_engine` returns the engine with an id.
    """

    def __init__(self, kinds: list[str], zones: list[str], find_engine: Callable[[str], Engine]) -> None:
        self.kinds = {name: index for index, name in enumerate(kinds)}
        self.zones = {name: index for index, name in enumerate(zones)}
        self.known: dict[str, KnownEndpoint] = {}
        self.serial = 0
        self.registry_time_ms = 0.0  # the latest time seen on the registry's clock
        self.has_full_list = False  # a full list was received
        self.fetching = False  # a full list was requested and not received yet
        self._find_engine = find_engine
        self._is_new_connection = True  # no message was received on it yet

    def connected(self) -> None:
        """Handles a new connection to the registry."""
        self._is_new_connection = True
        self.fetching = False

    def take(self, now_ms: float, message: Listing) -> ListResult:
        """Applies one message of the registry."""
        if message.scope == "failed":
            self.fetching = False
            return ListResult(EndpointListUpdate("failed", []))
        result = ListResult()
        if message.scope == "delta":
            self._take_change(now_ms, message, result)
        else:
            self._take_full(now_ms, message, result)
        return result

    def is_older(self, message: Listing) -> bool:
        """Reports whether a full list is older than the list in force.

        On the same connection the serial number decides. On a new connection the registry's clock must be
        behind too, because a registry that restarted may reset its serial numbers.
        """
        if message.serial >= self.serial:
            return False
        return not self._is_new_connection or message.now < self.registry_time_ms

    def entry(self, known: KnownEndpoint, state: str) -> EndpointEntry:
        """Returns the endpoint as an entry for the policy, in the given state."""
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

    def add_cached(
        self, now_ms: float, wall_ms: float, line: Line, state: str, as_just_started: bool
    ) -> EndpointEntry | None:
        """Adds an endpoint from the cache instead of the registry.

        With `as_just_started` the endpoint counts as just started until the first list of the registry
        corrects its start. Returns None for a kind or zone that is not in the settings. `wall_ms` is since
        1970.
        """
        if not self._is_configured(line):
            return None
        known = self.known.get(line.id)
        if known is None:
            known = self.known[line.id] = KnownEndpoint(self._find_engine(line.id), line)
        known.started = now_ms if as_just_started else _start_on_local_clock(now_ms, wall_ms, line)
        known.line = copy(line)
        known.line.state = state  # type: ignore[assignment]
        if as_just_started:
            known.line.started = UNKNOWN_START
        return self.entry(known, state)

    @property
    def ready_count(self) -> int:
        """The number of endpoints listed as ready."""
        return sum(known.line.state == "ready" for known in self.known.values())

    def _take_full(self, now_ms: float, message: Listing, result: ListResult) -> None:
        if self.is_older(message):
            result.notes.append(
                f"full endpoint list with serial {message.serial} ignored: older than serial {self.serial}"
            )
            return
        self._is_new_connection, self.fetching, self.has_full_list = False, False, True
        self.serial = message.serial
        self.registry_time_ms = max(self.registry_time_ms, message.now)
        listed = {line.id for line in message.engines}
        for name in self.known.keys() - listed:
            self.known[name].line.state = "gone"
        result.event = EndpointListUpdate("full", self._entries(now_ms, message, result))

    def _take_change(self, now_ms: float, message: Listing, result: ListResult) -> None:
        if message.serial <= self.serial and not self._is_new_connection:
            result.notes.append(
                f"endpoint list change with serial {message.serial} ignored: "
                f"not newer than serial {self.serial}"
            )
            return
        self._is_new_connection = False
        if not self.has_full_list or message.previous != self.serial:
            self._request_full(message, result)
            self.serial = max(self.serial, message.serial)
        else:
            self.serial = message.serial
        result.event = EndpointListUpdate("delta", self._entries(now_ms, message, result))

    def _request_full(self, message: Listing, result: ListResult) -> None:
        """Requests the full list after a gap, unless a request is pending."""
        result.fetch = not self.fetching
        self.fetching = True
        result.notes.append(
            f"endpoint list changes from serial {self.serial} to {message.serial} are missing; "
            "requesting the full list"
        )

    def _entries(self, now_ms: float, message: Listing, result: ListResult) -> list[EndpointEntry]:
        entries = []
        for line in message.engines:
            if self._is_configured(line):
                known = self._update_known(now_ms, message.now, line, result)
                entries.append(self.entry(known, line.state))
                continue
            unknown = f"kind {line.kind}" if line.kind not in self.kinds else f"zone {line.zone}"
            result.notes.append(f"engine {line.id} ignored: {unknown} is not in the settings")
            if line.id in self.known:  # its earlier entry no longer holds
                entries.append(self.entry(self.known[line.id], "gone"))
        return entries

    def _is_configured(self, line: Line) -> bool:
        """Reports whether its kind and zone are in the settings; settings without zones accept any zone."""
        return line.kind in self.kinds and (not self.zones or line.zone in self.zones)

    def _update_known(
        self, now_ms: float, registry_time_ms: float, line: Line, result: ListResult
    ) -> KnownEndpoint:
        known = self.known.get(line.id)
        if known is None:
            known = self.known[line.id] = KnownEndpoint(self._find_engine(line.id), line)
            known.started = _start_on_local_clock(now_ms, registry_time_ms, line)
            result.moved.append(known)
            return known
        if (
            line.state == "gone" and not line.host
        ):  # KV cache held by the engine is released at its last known address
            line.host, line.port = known.line.host, known.line.port
        if (known.line.host, known.line.port) != (line.host, line.port):
            result.moved.append(known)
        if known.line.started != line.started:
            known.started = _start_on_local_clock(now_ms, registry_time_ms, line)
        known.line = line
        return known


def _start_on_local_clock(now_ms: float, other_clock_ms: float, line: Line) -> float:
    """Converts a listed start to this node's clock, given the current time on this clock and on the other.

    Failure: if each list were converted again, the start would change by the jitter of the messages, and each
    list would look like a restart of the engine. Callers convert a start only when the listed start changes.
    """
    if not line.started:
        return 0.0
    return max(EARLIEST_START_MS, now_ms - max(0.0, other_clock_ms - line.started))
