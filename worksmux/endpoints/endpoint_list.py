"""Protects the engines in use against empty, halved or late endpoint lists and against flapping endpoints.

- An empty list that arrives while engines are in use is treated as a failure of the registry. The empty list
  is applied once the registry has repeated it for `empty_list_confirmation_ms`; meanwhile the full list is
  requested again. A registry that has lost its data recovers in that time, and attempts at engines that are
  really gone fail in any case.
- A full list with less than half of the engines in use is applied at once, because an engine missing from a
  full list is gone. The full list is requested again until two consecutive lists agree.
- A late list is applied, because it is newer than the list in force. Lateness is measured against the list
  with the least delay so far, because the clocks of registry and node may differ.
- An endpoint that flaps is held back, see `flap_damping`.

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

MIN_KEPT_FRACTION = 0.5  # of the engines in use; a full list with fewer ready engines is requested again
REQUESTS_PER_CONFIRMATION = 4


class EndpointList:
    """The endpoint list in force, and the state of each endpoint that the policy was given."""

    def __init__(
        self,
        kinds: list[str],
        zones: list[str],
        find_engine: Callable[[str], Engine],
        empty_list_confirmation_ms: float,
        damping_half_life_ms: float,
    ) -> None:
        self.reader = EndpointListReader(kinds, zones, find_engine)
        self.damping = FlapDamping(damping_half_life_ms)
        self.lateness_ms = 0.0  # of the last message of the registry
        self._empty_list_confirmation_ms = empty_list_confirmation_ms
        self._policy_states: dict[str, str] = {}  # by engine, as given to the policy
        self._empty_since_ms: float | None = None
        self._halved_ready_count = 0  # ready engines of the halved list that was requested again
        self._request_at_ms: float | None = None
        self._min_offset_ms: float | None = None  # this clock minus the registry's, least seen

    def take(self, now_ms: float, message: Listing) -> ListResult:
        """Applies one message of the registry, or ignores an empty list that is not confirmed yet."""
        if message.scope == "failed":
            return self.reader.take(now_ms, message)
        if message.scope == "full" and not self.reader.is_older(message):
            if _is_empty(message) and self._count_in_use() and not self._confirm_empty(now_ms):
                self.reader.fetching = False
                return ListResult(
                    notes=[
                        "empty endpoint list ignored while engines are in use; requesting the full list again"
                    ]
                )
            if not _is_empty(message):
                self._empty_since_ms = None
        in_use_before = self._count_in_use()
        result = self.reader.take(now_ms, message)
        if result.event is not None:
            self._measure_lateness(now_ms, message)
            self._damp(now_ms, result.event)
            if message.scope == "full":
                self._check_halved(now_ms, in_use_before, result)
        return result

    def add_cached(self, entries: list[EndpointEntry]) -> None:
        """Records endpoints that the policy was given from the cache before the registry sent a list."""
        for entry in entries:
            self._policy_states[entry.engine.id.decode()] = entry.state

    def tick(self, now_ms: float) -> tuple[EndpointListUpdate | None, bool]:
        """Returns the endpoints admitted again as an event, and whether to request the full list."""
        entries = self._readmit_held(now_ms) if self.damping.held_count else []
        request = self._request_at_ms is not None and self._request_at_ms <= now_ms
        if request:
            self._request_at_ms = None
        return (EndpointListUpdate("delta", entries) if entries else None), request

    def next_time(self) -> float | None:
        """Returns the time of the next `tick`; None if none is needed."""
        times = []
        if self.damping.held_count:
            times = [
                self.damping.reuse_at_ms(name) for name in self.reader.known if self.damping.is_held(name)
            ]
        if self._request_at_ms is not None:
            times.append(self._request_at_ms)
        return min(times, default=None)

    def _count_in_use(self) -> int:
        return sum(state == "ready" for state in self._policy_states.values())

    def _request_again(self, now_ms: float) -> None:
        self._request_at_ms = now_ms + self._empty_list_confirmation_ms / REQUESTS_PER_CONFIRMATION

    def _confirm_empty(self, now_ms: float) -> bool:
        """Reports whether the empty list was repeated for long enough, and requests the full list again."""
        if self._empty_since_ms is None:
            self._empty_since_ms = now_ms
        self._request_again(now_ms)
        return now_ms - self._empty_since_ms >= self._empty_list_confirmation_ms

    def _check_halved(self, now_ms: float, in_use_before: int, result: ListResult) -> None:
        """Requests the full list again after a halved one, until two consecutive lists agree."""
        ready = self.reader.ready_count
        if ready < MIN_KEPT_FRACTION * in_use_before and ready != self._halved_ready_count:
            self._halved_ready_count = ready
            self._request_again(now_ms)
            result.notes.append(
                f"full endpoint list has {ready} ready engines, {in_use_before} were in use; "
                "applied, and requested again"
            )
        else:
            self._halved_ready_count = 0
            self._request_at_ms = None

    def _measure_lateness(self, now_ms: float, message: Listing) -> None:
        if message.now <= 0:
            return
        offset_ms = now_ms - message.now
        if self._min_offset_ms is None or offset_ms < self._min_offset_ms:
            self._min_offset_ms = offset_ms
        self.lateness_ms = offset_ms - self._min_offset_ms

    def _damp(self, now_ms: float, event: EndpointListUpdate) -> None:
        """Records departures, and marks the entries of flapping endpoints as draining."""
        for name in self._departed(event):
            if self._policy_states.get(name) == "ready" or self.damping.is_held(name):
                self.damping.record_departure(name, now_ms)
            self.damping.release(name)
            self._policy_states[name] = "gone"
        if event.scope != "delta":
            self._policy_states = {
                name: state for name, state in self._policy_states.items() if state != "gone"
            }
        self._hold_flapping(now_ms, event)

    def _departed(self, event: EndpointListUpdate) -> list[str]:
        """Returns engines that are listed as draining or gone, or missing from a full list."""
        departed = [entry.engine.id.decode() for entry in event.entries if entry.state != "ready"]
        if event.scope != "delta":
            named = {entry.engine.id.decode() for entry in event.entries}
            departed += self._policy_states.keys() - named
        return departed

    def _hold_flapping(self, now_ms: float, event: EndpointListUpdate) -> None:
        listed, held = self._counts_by_kind()
        for index, entry in enumerate(event.entries):
            name = entry.engine.id.decode()
            if entry.state == "ready":
                kind = self.reader.known[name].line.kind
                was_held = self.damping.is_held(name)
                if not self.damping.admit(name, now_ms, listed[kind], held[kind]):
                    held[kind] += not was_held
                    event.entries[index] = entry = replace(entry, state="draining")
                else:
                    held[kind] -= was_held
            self._policy_states[name] = entry.state

    def _readmit_held(self, now_ms: float) -> list[EndpointEntry]:
        """Returns the entries of held endpoints whose penalty has decayed."""
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
                self._policy_states[name] = "ready"
        return entries

    def _counts_by_kind(self) -> tuple[Counter[str], Counter[str]]:
        """Counts the engines listed as ready, and those of them that are held back, by kind."""
        listed: Counter[str] = Counter()
        held: Counter[str] = Counter()
        for name, known in self.reader.known.items():
            if known.line.state == "ready":
                listed[known.line.kind] += 1
                held[known.line.kind] += self.damping.is_held(name)
        return listed, held


def _is_empty(message: Listing) -> bool:
    return not any(line.state == "ready" for line in message.engines)
