"""One front: turns the wire's records into worksmux's events and its actions back.  No decision."""

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
from ..policy.id_map import Door
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
HINTED, REPEAT, RESUMED = 1, 2, 16


class Instance:
    """One front on the wire: records in, records out."""

    def __init__(self, number: int, seed: int, settings: bytes) -> None:
        self.number = number
        try:
            self.settings = settings_from(json.loads(settings))
        except ValueError as error:
            raise WireError(str(error)) from error
        self.door = Door(self.settings, seed)

    def decide(self, now: float, records: list[Record]) -> list[Record]:
        events = [event for record in records if (event := self._event(now, record)) is not None]
        return [self._record(action) for action in self.door.decide(now, events)]

    def _event(self, now: float, record: Record) -> Event | None:
        values = record.values[1:]
        match record.name:
            case "sync":
                scope, _, entries = values
                return EndpointListUpdate(
                    SCOPES[scope], [self._entry(*line) for line in ENTRY.iter_unpack(entries)]
                )
            case "req":
                call, request_class, party, session, left, guess, prefix, prompt, shared, most, options = (
                    values
                )
                if request_class >= len(self.settings.request_classes):
                    raise WireError(f"request {call}: unknown class {request_class}")
                pace = self.settings.request_classes[request_class].token_interval_ms
                hint = guess / pace if options & HINTED and pace else 0.0
                return self.door.arrived(
                    Request(
                        call,
                        request_class,
                        session,
                        prefix,
                        prompt,
                        shared,
                        most,
                        now,
                        now + left,
                        hint,
                        party,
                        bool(options & REPEAT),
                        bool(options & RESUMED),
                    )
                )
            case "flowing":
                call, _, number, elapsed = values
                attempt = self.door.attempt(call, number)
                return FirstToken(attempt, elapsed) if attempt else None
            case "answer":
                call, number, _, how, elapsed, done, note, *load = values
                attempt = self.door.attempt(call, number)
                report = self._report(load)
                return (
                    AttemptEnded(attempt, OUTCOMES[how], elapsed, bool(done), note, report)
                    if attempt
                    else None
                )
            case "withdrawn":
                return self.door.left(values[0])
            case "bell":
                return TimerFired(values[0])
            case "pong":
                address, how, elapsed, *load = values
                engine = self._engine(address)
                return HealthCheckEnded(engine, OUTCOMES[how], elapsed, self._report(load))
            case "note_from":
                return None  # messages between nodes: the policy has none
            case "answer_ahead":
                call, number, address, what, _ = values
                attempt = self.door.attempt(call, number)
                return SlotReserved(attempt, self._engine(address), what == 1) if attempt else None
        raise WireError(f"{record.name} is not for a running instance")

    def _engine(self, address: bytes) -> Engine:
        return self.door.engine(address, int.from_bytes(address, "big"))

    def _entry(
        self, size: float, zone: int, kind: int, state: int, started: float, cell: int, address: bytes
    ) -> EndpointEntry:
        return EndpointEntry(self._engine(address), STATES[state], started, zone, cell, kind, size)

    def _report(self, load: list[float]) -> dict[str, float] | None:
        count, *figures = load
        fields = self.settings.load_report_fields
        return dict(zip(fields, figures[: int(count)], strict=False)) if count else None

    def _record(self, action: Action) -> Record:
        name, values = self._words(action)
        return Record(name, (self.number, *values))

    @staticmethod
    def _words(action: Action) -> tuple[str, tuple[Any, ...]]:
        match action:
            case StartAttempt(attempt, time_out):
                return "route", (attempt.request.id, attempt.engine.id, time_out)
            case RejectRequest(request, stay_away):
                return "say_no", (request.id, stay_away)
            case AbortRequest(request):
                return "finish_error", (request.id,)
            case CancelAttempt(attempt):
                return "undo_send", (attempt.request.id, attempt.number)
            case SetTimer(after, token):
                return "set_alarm", (after, token)
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
        raise TypeError(f"not an action: {action!r}")
