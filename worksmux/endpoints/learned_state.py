"""State learned of engines and timings, kept across a restart and weighted by its age. No I/O.

Three kinds of state are kept: the marks of single engines (ejections, in-flight windows reduced by "full"
answers, the last success of each request class), the recent fault rate of each request class, and the typical
times of prefill and of first tokens. Ejections expire. Fault rates and waiting times return to the policy's
sliding windows with a weight that falls with age and is at most half an attempt, so that the first new
attempts outweigh the restored samples. The prefill speed is a property of the machines: its fastest time is
used for as long as the entries of the endpoint list are.

Times are milliseconds on the node's own clock or, where stated, since 1970.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp

import msgspec

from ..policy.events import AttemptEnded, Event, FirstToken, StateRestored
from ..policy.load_estimates import BUCKETS, HISTORY_MS, SLOW_FACTOR
from ..policy.sliding_window import SlidingWindow
from ..policy.state import ALL_REQUEST_CLASSES, Engine, Outcome
from .staleness import MIN_USEFUL_CONFIDENCE, Turnover

MAX_RESTORED_WEIGHT = 0.5  # in attempts, of a restored value
SAVE_INTERVAL_FRACTION = 1 / 8  # of the policy's sliding window, between two saves
FLEET_KEY = ""  # key of the state of all engines together
ALL_CLASSES = ""  # in stored records, in place of a request class
FAULTS = frozenset({Outcome.ERROR, Outcome.UNREACHABLE, Outcome.RESET, Outcome.TIMED_OUT})
SUCCESSES = frozenset({Outcome.PREFILLED, Outcome.SERVED})


class SampleSum(msgspec.Struct, array_like=True):
    """A sum over a number of attempts or tokens."""

    total: float = 0.0
    count: float = 0.0


class FleetTimings(msgspec.Struct):
    """Timings and fault rates over all engines."""

    saved_at_ms: float = msgspec.field(name="at")  # since 1970
    first_token_wait: SampleSum = msgspec.field(name="first")  # ms, without the time of prefill
    prefill_per_token: SampleSum = msgspec.field(name="per_token")  # ms
    fastest_per_token_ms: float = msgspec.field(name="shortest")
    fastest_seen_at_ms: float = msgspec.field(name="shortest_at")  # since 1970
    faults: dict[str, SampleSum] = msgspec.field(name="fates")  # by request class


class EngineMarks(msgspec.Struct):
    """The state learned of one engine; times since 1970."""

    saved_at_ms: float = msgspec.field(name="at")
    started: float  # as listed; the marks are void after another start
    ejected_until_ms: dict[str, float] = msgspec.field(name="unwell")  # by request class or ALL_CLASSES
    last_success_ms: dict[str, float] = msgspec.field(name="good")  # by request class
    window_reduction: float = msgspec.field(name="narrowed")  # requests


@dataclass(slots=True)
class LearnedState:
    """The learned state read from the store."""

    timings: FleetTimings | None
    marks: dict[str, EngineMarks]  # by engine


class LearnedStateRecorder:
    """Observes the policy events of one node and returns the state to store."""

    def __init__(self, request_classes: list[str]) -> None:
        self.request_classes = request_classes
        self._first_token_wait = SlidingWindow(HISTORY_MS, BUCKETS)
        self._prefill_per_token = SlidingWindow(HISTORY_MS, BUCKETS)
        self._faults = [SlidingWindow(HISTORY_MS, BUCKETS) for _ in request_classes]
        self._fastest_per_token_ms = self._fastest_seen_at_ms = 0.0
        self._saved: dict[str, FleetTimings | EngineMarks] = {}

    def observe(self, now_ms: float, event: Event) -> None:
        """Records an event that the policy is given."""
        if isinstance(event, FirstToken):
            prefill_ms = (
                SLOW_FACTOR * self._prefill_per_token.min_bucket_mean(now_ms) * event.attempt.prefill_tokens
            )
            self._first_token_wait.add(now_ms, max(0.0, event.elapsed_ms - prefill_ms))
        elif isinstance(event, AttemptEnded):
            if event.outcome is Outcome.PREFILLED:
                self._prefill_per_token.add(now_ms, event.elapsed_ms, max(1.0, event.attempt.prefill_tokens))
            if event.outcome in FAULTS or event.outcome in SUCCESSES:
                faults = self._faults[event.attempt.request.request_class]
                faults.add(now_ms, float(event.outcome in FAULTS))

    def changes(
        self, engines: Iterable[tuple[Engine, float]], now_ms: float, wall_ms: float
    ) -> dict[str, FleetTimings | EngineMarks | None]:
        """Returns the records to store since the last call, by key; None deletes a record.

        `engines` are paired with their listed start. Timings are never deleted: old timings are better than
        none.
        """
        records: dict[str, FleetTimings | EngineMarks] = {}
        timings = self._timings(now_ms, wall_ms)
        if timings is not None:
            records[FLEET_KEY] = timings
        for engine, started in engines:
            marks = self._marks(engine, started, now_ms, wall_ms)
            if marks is not None:
                records[engine.id.decode()] = marks
        changes: dict[str, FleetTimings | EngineMarks | None] = dict(records)
        for name in self._saved.keys() - records.keys() - {FLEET_KEY}:
            changes[name] = None
        self._saved = records
        return changes

    def _timings(self, now_ms: float, wall_ms: float) -> FleetTimings | None:
        """Returns the timings of the sliding windows; None if they have no samples."""
        first_token_wait = _sample_sum(self._first_token_wait, now_ms)
        prefill_per_token = _sample_sum(self._prefill_per_token, now_ms)
        faults = {
            name: samples
            for name, window in zip(self.request_classes, self._faults, strict=True)
            if (samples := _sample_sum(window, now_ms)).count
        }
        if not (first_token_wait.count or prefill_per_token.count or faults):
            return None
        fastest_ms = self._prefill_per_token.min_bucket_mean(now_ms)
        if fastest_ms:
            self._fastest_per_token_ms, self._fastest_seen_at_ms = fastest_ms, wall_ms
        return FleetTimings(
            wall_ms,
            first_token_wait,
            prefill_per_token,
            self._fastest_per_token_ms,
            self._fastest_seen_at_ms,
            faults,
        )

    def _marks(self, engine: Engine, started: float, now_ms: float, wall_ms: float) -> EngineMarks | None:
        """Returns the marks of an engine; None if it has none.

        A last success is kept only while its request class has faults, because only then the policy uses it.
        """
        ejected_until_ms = {
            self._class_name(request_class): wall_ms + until - now_ms
            for request_class, until in engine.ejected_until.items()
            if until > now_ms
        }
        last_success_ms = {
            self.request_classes[request_class]: wall_ms + time - now_ms
            for request_class, time in engine.last_success.items()
            if now_ms - time < HISTORY_MS and self._faults[request_class].mean(now_ms) > 0
        }
        if not (ejected_until_ms or last_success_ms or engine.window_reduction):
            return None
        return EngineMarks(wall_ms, started, ejected_until_ms, last_success_ms, engine.window_reduction)

    def _class_name(self, request_class: int) -> str:
        return ALL_CLASSES if request_class == ALL_REQUEST_CLASSES else self.request_classes[request_class]


def restored_state(
    learned: LearnedState,
    request_classes: list[str],
    engines: Iterable[tuple[Engine, float]],
    wall_ms: float,
    turnover: Turnover,
    assumed_lifetime_ms: float,
) -> StateRestored:
    """Returns the event that restores the learned state in the policy, weighted by age.

    If the clock was set back, the absolute difference counts as the age. No ejection lasts longer than the
    longest ejection that can have been set.
    """
    departure_rate_per_ms = turnover.rate_per_ms(assumed_lifetime_ms)
    event = StateRestored(
        _restored_sums(learned.timings, request_classes, wall_ms, departure_rate_per_ms), [], [], []
    )
    class_index = {name: index for index, name in enumerate(request_classes)} | {
        ALL_CLASSES: ALL_REQUEST_CLASSES
    }
    for engine, started in engines:
        marks = learned.marks.get(engine.id.decode())
        if marks is not None and marks.started == started:
            _restore_marks(event, engine, marks, class_index, wall_ms)
    return event


def _restored_sums(
    timings: FleetTimings | None, request_classes: list[str], wall_ms: float, departure_rate_per_ms: float
) -> list[tuple[float, float]]:
    """Returns sum and count of first-token waits, of prefill per token, and of faults by request class."""
    sums = [(0.0, 0.0)] * (2 + len(request_classes))
    if timings is None:
        return sums
    weight = MAX_RESTORED_WEIGHT * max(0.0, 1 - abs(wall_ms - timings.saved_at_ms) / HISTORY_MS)
    sums[0] = _weighted(timings.first_token_wait, weight)
    sums[1] = _weighted(timings.prefill_per_token, weight)
    speed_weight = MAX_RESTORED_WEIGHT * exp(
        -departure_rate_per_ms * abs(wall_ms - timings.fastest_seen_at_ms)
    )
    if not sums[1][1] and timings.fastest_per_token_ms > 0 and speed_weight > MIN_USEFUL_CONFIDENCE:
        sums[1] = timings.fastest_per_token_ms * speed_weight, speed_weight
    for index, name in enumerate(request_classes):
        if name in timings.faults:
            sums[2 + index] = _weighted(timings.faults[name], weight)
    return sums


def _restore_marks(
    event: StateRestored,
    engine: Engine,
    marks: EngineMarks,
    class_index: dict[str, int],
    wall_ms: float,
) -> None:
    """Adds the marks of one engine to the event, with their remaining time."""
    age_ms = abs(wall_ms - marks.saved_at_ms)
    if age_ms >= HISTORY_MS:
        return
    for name, until_ms in marks.ejected_until_ms.items():
        remaining_ms = min(until_ms - wall_ms, HISTORY_MS - age_ms)
        if remaining_ms > 0 and name in class_index:
            event.ejections.append((engine, class_index[name], remaining_ms))
    for name, success_ms in marks.last_success_ms.items():
        if (
            0 <= wall_ms - success_ms < HISTORY_MS
            and class_index.get(name, ALL_REQUEST_CLASSES) != ALL_REQUEST_CLASSES
        ):
            event.last_successes.append((engine, class_index[name], wall_ms - success_ms))
    if marks.window_reduction > 0:
        event.window_reductions.append((engine, marks.window_reduction * (1 - age_ms / HISTORY_MS)))


def _sample_sum(window: SlidingWindow, now_ms: float) -> SampleSum:
    count = window.count(now_ms)
    return SampleSum(window.mean(now_ms) * count, count)


def _weighted(samples: SampleSum, weight: float) -> tuple[float, float]:
    """Returns sum and count of samples, scaled to count for at most `weight` of one sample."""
    count = min(samples.count, 1.0) * weight
    return (samples.total / samples.count * count, count) if count > 0 else (0.0, 0.0)
