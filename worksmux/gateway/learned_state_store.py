"""Stores what the policy has learned about engines on disk, and restores it at a start."""

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

LEARNED = "learned"  # table
SAVE_INTERVAL_MS = HISTORY_MS * SAVE_INTERVAL_FRACTION
Put = Callable[[str, str, bytes | None], None]


def read_learned(store: Store) -> LearnedState:
    """The stored learned state, without records that cannot be decoded."""
    learned = LearnedState(None, {})
    for name, data in store.read(LEARNED).values.items():
        try:
            if name == FLEET_KEY:
                learned.timings = msgspec.msgpack.decode(data, type=FleetTimings)
            else:
                learned.marks[name] = msgspec.msgpack.decode(data, type=EngineMarks)
        except msgspec.DecodeError:
            continue
    return learned


class LearnedStateStore:
    """Observes the policy's events and saves the learned state at regular intervals.

    `put` writes a record by table and key, or deletes it if the value is None.
    """

    def __init__(self, core: ChatEngineClient, reactor: Reactor, put: Put) -> None:
        self._core, self._reactor, self._put = core, reactor, put
        self._recorder = LearnedStateRecorder(
            [request_class.name for request_class in core.settings.request_classes]
        )
        self._timer: Any = None

    def restore(self, learned: LearnedState, turnover: Turnover, max_age_ms: float) -> None:
        """Passes learned state that is still valid to the policy, and starts to observe its events."""
        event = restored_state(
            learned, self._recorder.request_classes, self._engines(), clock.wall(), turnover, max_age_ms
        )
        self._core.tell(event)
        self._core.on_event = self._recorder.observe

    def start(self) -> None:
        """Starts the regular saves."""
        self._schedule_save()

    def stop(self) -> None:
        """Cancels the regular saves and saves once more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._save()

    def _engines(self) -> list[tuple[Engine, float]]:
        """Each known engine with its start time from the endpoint list."""
        known_engines = self._core.engine_list.list_reader.known.values()
        return [(known.engine, known.line.started) for known in known_engines]

    def _schedule_save(self) -> None:
        self._timer = self._reactor.callLater(SAVE_INTERVAL_MS / 1000, self._save_regularly)

    def _save_regularly(self) -> None:
        self._save()
        self._schedule_save()

    def _save(self) -> None:
        changes = self._recorder.changes(self._engines(), clock.now(), clock.wall())
        for name, marks in changes.items():
            self._put(LEARNED, name, None if marks is None else msgspec.msgpack.encode(marks))
