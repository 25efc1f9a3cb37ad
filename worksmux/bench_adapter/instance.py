"""One front: turns the wire's records into worksmux's events and its actions back.  No decision."""

from __future__ import annotations

import json
from typing import Any

from ..policy import interface as i
from ..policy.id_map import Door
from ..settings.platform import settings_from
from .codec import ENTRY, Record, WireError

OUTCOMES = {
    1: i.Outcome.DELIVERED,
    0: i.Outcome.ERROR,
    2: i.Outcome.FULL,
    3: i.Outcome.TIMED_OUT,
    4: i.Outcome.UNREACHABLE,
    5: i.Outcome.RESET,
    6: i.Outcome.CANCELLED,
    7: i.Outcome.MOOT,
    102: i.Outcome.READ,
}
SCOPES = {0: "delta", 1: "full", 2: "cached", 3: "failed"}
STATES = {2: "ready", 0: "draining", 1: "gone"}
HINTED, REPEAT, RESUMED = 1, 2, 16
TO_ALL = 0xFFFF


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

    def _event(self, now: float, record: Record) -> i.Event | None:
        values = record.values[1:]
        match record.name:
            case "sync":
                scope, _, entries = values
                return i.Listed(SCOPES[scope], [self._entry(*line) for line in ENTRY.iter_unpack(entries)])
            case "req":
                call, offering, party, session, left, guess, prefix, prompt, shared, most, options = values
                if offering >= len(self.settings["offerings"]):
                    raise WireError(f"request {call}: unknown class {offering}")
                pace = self.settings["offerings"][offering]["token_time"]
                hint = guess / pace if options & HINTED and pace else 0.0
                return self.door.arrived(
                    i.Job(
                        call,
                        offering,
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
                trip = self.door.trip(call, number)
                return i.Began(trip, elapsed) if trip else None
            case "answer":
                call, number, _, how, elapsed, done, note, *load = values
                trip = self.door.trip(call, number)
                report = self._report(load)
                return i.Ended(trip, OUTCOMES[how], elapsed, bool(done), note, report) if trip else None
            case "withdrawn":
                return self.door.left(values[0])
            case "bell":
                return i.Rang(values[0])
            case "pong":
                address, how, elapsed, *load = values
                engine = self._engine(address)
                return i.Probed(engine, OUTCOMES[how], elapsed, self._report(load))
            case "note_from":
                return i.Heard(*values)
            case "answer_ahead":
                call, number, address, what, _ = values
                trip = self.door.trip(call, number)
                return i.Placed(trip, self._engine(address), what == 1) if trip else None
        raise WireError(f"{record.name} is not for a running instance")

    def _engine(self, address: bytes) -> i.Engine:
        return self.door.engine(address, int.from_bytes(address, "big"))

    def _entry(
        self, size: float, zone: int, kind: int, state: int, started: float, cell: int, address: bytes
    ) -> i.Entry:
        return i.Entry(self._engine(address), STATES[state], started, zone, cell, kind, size)

    def _report(self, load: list[float]) -> dict[str, float] | None:
        count, *figures = load
        fields = self.settings["report_fields"]
        return dict(zip(fields, figures[: int(count)], strict=False)) if count else None

    def _record(self, action: i.Action) -> Record:
        name, values = self._words(action)
        return Record(name, (self.number, *values))

    @staticmethod
    def _words(action: i.Action) -> tuple[str, tuple[Any, ...]]:
        match action:
            case i.Send(trip, time_out):
                return "route", (trip.job.id, trip.engine.id, time_out)
            case i.Defer(job, stay_away):
                return "say_no", (job.id, stay_away)
            case i.BreakOff(job):
                return "finish_error", (job.id,)
            case i.Cancel(trip):
                return "undo_send", (trip.job.id, trip.number)
            case i.Alarm(after, token):
                return "set_alarm", (after, token)
            case i.Probe(engine):
                return "touch", (engine.id,)
            case i.Hold(job, engine):
                return "hold_place", (job.id, engine.id)
            case i.Release(job):
                return "drop_state", (job.id,)
            case i.Watch(on):
                return "keep_informed", (int(on),)
            case i.Fetch():
                return "lookup", ()
            case i.Close(engine):
                return "drop_conns", (engine.id,)
            case i.Tell(peer, data):
                return "tell", (TO_ALL if peer is None else peer, data)
            case i.Move(job):
                return "go_away", (job.id,)
            case i.Log(text):
                return "journal_line", (text.encode(),)
        raise TypeError(f"not an action: {action!r}")
