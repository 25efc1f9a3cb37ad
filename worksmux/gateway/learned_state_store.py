"""Keeps what the policy has learned of engines on disk, and gives it back to the policy at a start."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ..endpoints.learned_state import (
    FLEET_KEY,
    SAVE_INTERVAL_FRACTION,
    EngineMarks,
    FleetTimings,
    LearnedState,
    LearnedStateRecorder,
    restored_state,
)
from ..endpoints.staleness import Turnover
from ..net import clock
from ..net.loop import Reactor
from ..policy.load_estimates import HISTORY_MS
from ..policy.state import Engine
from ..storage.database import Store
from .chat_engine_client import ChatEngineClient

LEARNED = "learned"  # the table
SAVE_INTERVAL_MS = HISTORY_MS * SAVE_INTERVAL_FRACTION
Put = Callable[[str, str, bytes | None], None]


def read_learned(store: Store) -> LearnedState:
    """What was learned, without the records that can't be decoded."""
    kept = LearnedState(None, {})
    for name, data in store.read(LEARNED).values.items():
        try:
            if name == FLEET_KEY:
                kept.timings = msgspec.msgpack.decode(data, type=FleetTimings)
            else:
                kept.marks[name] = msgspec.msgpack.decode(data, type=EngineMarks)
        except msgspec.DecodeError:
            continue
    return kept


class LearnedStateStore:
    """Watches the policy's events and saves what follows from them at regular intervals.

    `put` writes a record by table and key, and deletes it where the value is None.
    """

    def __init__(self, core: ChatEngineClient, reactor: Reactor, put: Put) -> None:
        self._core, self._reactor, self._put = core, reactor, put
        self._learner = LearnedStateRecorder([one.name for one in core.settings.request_classes])
        self._timer: Any = None

    def restore(self, kept: LearnedState, turnover: Turnover, max_age_ms: float) -> None:
        """Tells the policy what still holds, and starts to watch its events."""
        event = restored_state(
            kept, self._learner.request_classes, self._engines(), clock.wall(), turnover, max_age_ms
        )
        self._core.tell(event)
        self._core.on_event = self._learner.observe

    def start(self) -> None:
        self._schedule_save()

    def stop(self) -> None:
        """Saves for the last time."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._save()

    def _engines(self) -> list[tuple[Engine, float]]:
        """Each engine with its start as it was listed."""
        known_engines = self._core.engine_list.list_reader.known.values()
        return [(known.engine, known.line.started) for known in known_engines]

    def _schedule_save(self) -> None:
        self._timer = self._reactor.callLater(SAVE_INTERVAL_MS / 1000, self._save_regularly)

    def _save_regularly(self) -> None:
        self._save()
        self._schedule_save()

    def _save(self) -> None:
        changes = self._learner.changes(self._engines(), clock.now(), clock.wall())
        for name, marks in changes.items():
            self._put(LEARNED, name, None if marks is None else msgspec.msgpack.encode(marks))
