"""Runs one node under the bench: maps wire records to events, and actions of the policy to wire records.

Only this module knows the names of the wire.  It takes no decision.
"""

from __future__ import annotations

import json
from typing import Any

from ..policy.actions import (
    AbortRequest,
    Action,
    CancelAttempt,
    CheckHealth,
    CloseConnections,
    FetchEndpointList,
    RejectRequest,
    ReleaseKvCache,
    ReserveSlot,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from ..policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    Event,
    FirstToken,
    HealthCheckEnded,
    SlotReserved,
    TimerFired,
)
from ..policy.id_map import IdMap
from ..policy.state import Engine, Outcome, Request
from ..settings.platform import settings_from
from .codec import ENTRY, Record, WireError

OUTCOMES = {
    1: Outcome.SERVED,
    0: Outcome.ERROR,
    2: Outcome.FULL,
    3: Outcome.TIMED_OUT,
    4: Outcome.UNREACHABLE,
    5: Outcome.RESET,
    6: Outcome.CANCELLED,
    7: Outcome.NOT_SENT,
    102: Outcome.PREFILLED,
}
SCOPES = {0: "delta", 1: "full", 2: "cached", 3: "failed"}
STATES = {2: "ready", 0: "draining", 1: "gone"}
FLAG_EXPECTED_TIME, FLAG_RETRY, FLAG_RESUMED = 1, 2, 16


class Instance:
    """One node under the bench."""

    def __init__(self, number: int, seed: int, settings: bytes) -> None:
        self.number = number
        try:
            self.settings = settings_from(json.loads(settings))
        except ValueError as error:
            raise WireError(str(error)) from error
        self._ids = IdMap(self.settings, seed)

    def decide(self, now: float, records: list[Record]) -> list[Record]:
        """Runs one decision round on event records; returns action records."""
        events = [event for record in records if (event := self._to_event(now, record)) is not None]
        return [self._to_record(action) for action in self._ids.decide(now, events)]

    def _to_event(self, now: float, record: Record) -> Event | None:
        """Returns the event of a record; None for one that the policy ignores and for forgotten requests."""
        values = record.values[1:]
        match record.name:
            case "sync":
                scope, _, entries = values
                return EndpointListUpdate(
                    SCOPES[scope], [self._entry(*line) for line in ENTRY.iter_unpack(entries)]
                )
            case "req":
                return self._ids.request_arrived(self._request(now, *values))
            case "flowing":
                request_id, _, number, elapsed_ms = values
                attempt = self._ids.attempt(request_id, number)
                return FirstToken(attempt, elapsed_ms) if attempt else None
            case "answer":
                return self._attempt_ended(*values)
            case "withdrawn":
                return self._ids.client_disconnected(values[0])
            case "bell":
                return TimerFired(values[0])
            case "pong":
                address, outcome, elapsed_ms, *load = values
                engine = self._engine(address)
                return HealthCheckEnded(engine, OUTCOMES[outcome], elapsed_ms, self._report(load))
            case "note_from":
                return None  # a message from another node: the policy uses none
            case "answer_ahead":
                request_id, number, address, held, _ = values
                attempt = self._ids.attempt(request_id, number)
                return SlotReserved(attempt, self._engine(address), held == 1) if attempt else None
        raise WireError(f"record {record.name!r} is unexpected for a running instance")

    def _request(
        self,
        now: float,
        request_id: int,
        request_class: int,
        tenant: int,
        session: int,
        time_left_ms: float,
        expected_ms: float,
        prefix: int,
        prompt_tokens: float,
        prefix_tokens: float,
        max_tokens: float,
        flags: int,
    ) -> Request:
        if request_class >= len(self.settings.request_classes):
            raise WireError(f"request {request_id}: unknown request class {request_class}")
        interval_ms = self.settings.request_classes[request_class].token_interval_ms
        return Request(
            request_id,
            request_class,
            session,
            prefix,
            prompt_tokens,
            prefix_tokens,
            max_tokens,
            now,
            now + time_left_ms,
            expected_ms / interval_ms if flags & FLAG_EXPECTED_TIME and interval_ms else 0.0,
            tenant,
            bool(flags & FLAG_RETRY),
            bool(flags & FLAG_RESUMED),
        )

    def _attempt_ended(
        self,
        request_id: int,
        number: int,
        _: bytes,
        outcome: int,
        elapsed_ms: float,
        closed: int,
        note: int,
        *load: float,
    ) -> AttemptEnded | None:
        attempt = self._ids.attempt(request_id, number)
        if attempt is None:
            return None
        return AttemptEnded(
            attempt, OUTCOMES[outcome], elapsed_ms, bool(closed), note, self._report(list(load))
        )

    def _engine(self, address: bytes) -> Engine:
        return self._ids.engine(address, int.from_bytes(address, "big"))

    def _entry(
        self, size: float, zone: int, kind: int, state: int, started: float, cell: int, address: bytes
    ) -> EndpointEntry:
        return EndpointEntry(self._engine(address), STATES[state], started, zone, cell, kind, size)

    def _report(self, load: list[float]) -> dict[str, float] | None:
        count, *load_values = load
        fields = self.settings.load_report_fields
        return dict(zip(fields, load_values[: int(count)], strict=False)) if count else None

    def _to_record(self, action: Action) -> Record:
        name, values = self._name_and_values(action)
        return Record(name, (self.number, *values))

    @staticmethod
    def _name_and_values(action: Action) -> tuple[str, tuple[Any, ...]]:
        match action:
            case StartAttempt(attempt, timeout_ms):
                return "route", (attempt.request.id, attempt.engine.id, timeout_ms)
            case RejectRequest(request, retry_after_ms):
                return "say_no", (request.id, retry_after_ms)
            case AbortRequest(request):
                return "finish_error", (request.id,)
            case CancelAttempt(attempt):
                return "undo_send", (attempt.request.id, attempt.number)
            case SetTimer(delay_ms, token):
                return "set_alarm", (delay_ms, token)
            case CheckHealth(engine):
                return "touch", (engine.id,)
            case ReserveSlot(request, engine):
                return "hold_place", (request.id, engine.id)
            case ReleaseKvCache(request):
                return "drop_state", (request.id,)
            case WatchEndpoints(on):
                return "keep_informed", (int(on),)
            case FetchEndpointList():
                return "lookup", ()
            case CloseConnections(engine):
                return "drop_conns", (engine.id,)
            case WriteLog(text):
                return "journal_line", (text.encode(),)
        raise TypeError(f"unknown action of the policy: {action!r}")
