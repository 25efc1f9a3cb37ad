"""Guards the fleet in use against lists that are empty, halved or late, and against endpoints that flap.

- An empty list, while engines are in use, is taken for a failure of the registry. It is followed once it
  has been repeated for `empty_list_doubt_ms`, with requests for the full list in between: a registry that
  has lost its data recovers in that time, and attempts at a fleet that is really gone fail in any case.
- A full list with less than half of the engines in use is followed at once, as what it leaves out is listed
  gone; but the full list is requested again, until two in a row agree.
- A late list is followed, being newer than ours. Its lateness is measured against the promptest list seen,
  as the clocks of registry and node need not agree.
- An endpoint that comes and goes is held back, see `flap_damping`.

No I/O; times are milliseconds on this node's clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from ..api.listing import Listing
from ..policy.events import EndpointEntry, EndpointListUpdate
from ..policy.state import Engine
from .flap_damping import FlapDamping
from .list_reader import EndpointListReader, ListResult

MIN_KEPT_FRACTION = 0.5  # of the engines in use: a full list with fewer is requested again
REQUESTS_WHILE_IN_DOUBT = 4


class EndpointList:
    """The list in force, and what the policy was given of it."""

    def __init__(
        self,
        kinds: list[str],
        zones: list[str],
        find_engine: Callable[[str], Engine],
        empty_list_doubt_ms: float,
        damping_half_life_ms: float,
    ) -> None:
        self.reader = EndpointListReader(kinds, zones, find_engine)
        self.damping = FlapDamping(damping_half_life_ms)
        self.lateness_ms = 0.0  # of the last message
        self._empty_list_doubt_ms = empty_list_doubt_ms
        self._given_states: dict[str, str] = {}  # by engine, as the policy was given them
        self._empty_since_ms: float | None = None
        self._halved_to = 0  # ready engines of a halved list that was requested again
        self._request_at_ms: float | None = None
        self._least_offset_ms: float | None = None  # our clock minus the registry's, for the promptest list

    def take(self, now_ms: float, message: Listing) -> ListResult:
        """Applies one message of the registry, or refuses an empty list."""
        if message.scope == "failed":
            return self.reader.take(now_ms, message)
        if message.scope == "full" and not self.reader.is_older(message):
            if _is_empty(message) and self._in_use() and not self._believe_empty(now_ms):
                self.reader.fetching = False
                return ListResult(
                    notes=["an empty list does not wipe a serving fleet; it is asked for again"]
                )
            if not _is_empty(message):
                self._empty_since_ms = None
        in_use_before = self._in_use()
        result = self.reader.take(now_ms, message)
        if result.event is not None:
            self._measure_lateness(now_ms, message)
            self._damp(now_ms, result.event)
            if message.scope == "full":
                self._check_halved(now_ms, in_use_before, result)
        return result

    def add_cached(self, entries: list[EndpointEntry]) -> None:
        """Notes endpoints that the policy was given from the cache, before the registry sent a list."""
        for entry in entries:
            self._given_states[entry.engine.id.decode()] = entry.state

    def tick(self, now_ms: float) -> tuple[EndpointListUpdate | None, bool]:
        """The endpoints that are admitted again, and whether the full list is to be requested."""
        entries = self._readmitted(now_ms) if self.damping.held_count else []
        request = self._request_at_ms is not None and self._request_at_ms <= now_ms
        if request:
            self._request_at_ms = None
        return (EndpointListUpdate("delta", entries) if entries else None), request

    def next_time(self) -> float | None:
        """When `tick` is due."""
        times = []
        if self.damping.held_count:
            times = [
                self.damping.reuse_at_ms(name) for name in self.reader.known if self.damping.is_held(name)
            ]
        if self._request_at_ms is not None:
            times.append(self._request_at_ms)
        return min(times, default=None)

    def _in_use(self) -> int:
        return sum(state == "ready" for state in self._given_states.values())

    def _request_again(self, now_ms: float) -> None:
        self._request_at_ms = now_ms + self._empty_list_doubt_ms / REQUESTS_WHILE_IN_DOUBT

    def _believe_empty(self, now_ms: float) -> bool:
        """Whether the empty list has been repeated for long enough."""
        if self._empty_since_ms is None:
            self._empty_since_ms = now_ms
        self._request_again(now_ms)
        return now_ms - self._empty_since_ms >= self._empty_list_doubt_ms

    def _check_halved(self, now_ms: float, in_use_before: int, result: ListResult) -> None:
        """Requests the full list again after one that names much fewer engines, until two in a row agree."""
        ready = self.reader.ready_count
        if ready < MIN_KEPT_FRACTION * in_use_before and ready != self._halved_to:
            self._halved_to = ready
            self._request_again(now_ms)
            result.notes.append(
                f"the list names {ready} of {in_use_before} engines; it is obeyed, asked again"
            )
        else:
            self._halved_to = 0
            self._request_at_ms = None

    def _measure_lateness(self, now_ms: float, message: Listing) -> None:
        if message.now <= 0:
            return
        offset_ms = now_ms - message.now
        if self._least_offset_ms is None or offset_ms < self._least_offset_ms:
            self._least_offset_ms = offset_ms
        self.lateness_ms = offset_ms - self._least_offset_ms

    def _damp(self, now_ms: float, event: EndpointListUpdate) -> None:
        """Records departures, and turns the entries of endpoints that flap into draining ones."""
        for name in self._leaving(event):
            if self._given_states.get(name) == "ready" or self.damping.is_held(name):
                self.damping.record_departure(name, now_ms)
            self.damping.release(name)
            self._given_states[name] = "gone"
        if event.scope != "delta":
            self._given_states = {
                name: state for name, state in self._given_states.items() if state != "gone"
            }
        self._hold_flapping(now_ms, event)

    def _leaving(self, event: EndpointListUpdate) -> list[str]:
        """Engines that are listed as draining or gone, or left out of a full list."""
        leaving = [entry.engine.id.decode() for entry in event.entries if entry.state != "ready"]
        if event.scope != "delta":
            named = {entry.engine.id.decode() for entry in event.entries}
            leaving += self._given_states.keys() - named
        return leaving

    def _hold_flapping(self, now_ms: float, event: EndpointListUpdate) -> None:
        listed, held = self._counts_by_kind()
        for at, entry in enumerate(event.entries):
            name = entry.engine.id.decode()
            if entry.state == "ready":
                kind = self.reader.known[name].line.kind
                was_held = self.damping.is_held(name)
                if not self.damping.admit(name, now_ms, listed[kind], held[kind]):
                    held[kind] += not was_held
                    event.entries[at] = entry = replace(entry, state="draining")
                else:
                    held[kind] -= was_held
            self._given_states[name] = entry.state

    def _readmitted(self, now_ms: float) -> list[EndpointEntry]:
        """Entries of held endpoints whose penalty has decayed."""
        entries = []
        listed, held = self._counts_by_kind()
        for name, known in self.reader.known.items():
            kind = known.line.kind
            if (
                self.damping.is_held(name)
                and known.line.state == "ready"
                and self.damping.admit(name, now_ms, listed[kind], held[kind])
            ):
                entries.append(self.reader.entry(known, "ready"))
                self._given_states[name] = "ready"
        return entries

    def _counts_by_kind(self) -> tuple[Counter[str], Counter[str]]:
        """Engines that the list calls ready, and those of them that are held back."""
        listed: Counter[str] = Counter()
        held: Counter[str] = Counter()
        for name, known in self.reader.known.items():
            if known.line.state == "ready":
                listed[known.line.kind] += 1
                held[known.line.kind] += self.damping.is_held(name)
        return listed, held


def _is_empty(message: Listing) -> bool:
    return not any(line.state == "ready" for line in message.engines)
