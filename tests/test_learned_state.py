"""The learned state of engines and timings after a restart of the node."""

from __future__ import annotations

from worksmux.endpoints.learned_state import (
    FLEET_KEY,
    EngineMarks,
    FleetTimings,
    LearnedState,
    LearnedStateRecorder,
    restored_state,
)
from worksmux.endpoints.staleness import Turnover
from worksmux.policy.events import AttemptEnded, FirstToken
from worksmux.policy.load_estimates import HISTORY_MS
from worksmux.policy.router import Router
from worksmux.policy.settings import PolicySettings, RequestClassSettings
from worksmux.policy.state import ALL_REQUEST_CLASSES, Attempt, Engine, Outcome, Request


def attempt_at(engine: Engine, request_class: int = 0, work: float = 100.0) -> Attempt:
    return Attempt(
        Request(1, request_class, 1, 0, work, 0.0, 10.0, 0.0, 9e9), engine, 0, 0.0, prefill_tokens=work
    )


def recorder_with_outcomes(faults: int, successes: int) -> LearnedStateRecorder:
    recorder, engine = LearnedStateRecorder(["a", "b"]), Engine(b"e", 1)
    for index in range(faults + successes):
        outcome = Outcome.ERROR if index < faults else Outcome.SERVED
        recorder.observe(1000.0 + index, AttemptEnded(attempt_at(engine), outcome, 50.0, False))
    recorder.observe(1100.0, AttemptEnded(attempt_at(engine), Outcome.PREFILLED, 200.0, False))
    recorder.observe(1200.0, FirstToken(attempt_at(engine), 900.0))
    return recorder


def marked_engine(now: float) -> Engine:
    engine = Engine(b"e", 1)
    engine.ejected_until, engine.last_success, engine.window_reduction = (
        {ALL_REQUEST_CLASSES: now + 4000, 1: now + 2000},
        {0: now - 500},
        2.0,
    )
    return engine


def restored_after(age_ms: float, started: float = 0.0) -> tuple[Router, Engine]:
    """Returns a policy and an engine after a restart that took `age_ms`, with the state learned before it."""
    recorder, engine = recorder_with_outcomes(8, 1), marked_engine(2000.0)
    changes = recorder.changes([(engine, 0.0)], 2000.0, 1e9)
    timings, marks = changes[FLEET_KEY], changes["e"]
    assert isinstance(timings, FleetTimings) and isinstance(marks, EngineMarks)
    restored_engine = Engine(b"e", 1)
    event = restored_state(
        LearnedState(timings, {"e": marks}),
        ["a", "b"],
        [(restored_engine, started)],
        1e9 + age_ms,
        Turnover(),
        3.6e6,
    )
    class_settings = RequestClassSettings(latency_target_ms=1000.0)
    router = Router(
        PolicySettings(
            request_classes=(class_settings, class_settings),
            tick_ms=1.0,
            release_within_ms=100.0,
            slow_start_ms=1000.0,
            engine_roles=("both",),
            slow_start_share=0.3,
            overload_multiple=3.0,
        ),
        1,
    )
    router.decide(50.0, [event])
    return router, restored_engine


def test_marks_are_restored_with_the_time_left_unless_the_engine_restarted() -> None:
    router, engine = restored_after(1000.0)
    assert engine.ejected_until == {
        ALL_REQUEST_CLASSES: 50.0 + 3000.0,
        1: 50.0 + 1000.0,
    } and engine.last_success == {0: 50.0 - 1500.0}
    assert 1.5 < engine.window_reduction < 2.0
    _, other = restored_after(1000.0, started=5.0)
    assert not other.ejected_until and not other.last_success and not other.window_reduction


def test_failing_request_class_is_restored_until_fresh_attempts_succeed() -> None:
    router, engine = restored_after(500.0)
    assert router.estimates.is_failing(0) and not router.estimates.is_failing(1)
    router.estimates.failures[0].add(60.0, 0.0)
    router.estimates.failures[0].add(60.0, 0.0)
    assert not router.estimates.is_failing(0)


def test_old_state_is_forgotten_except_the_prefill_speed() -> None:
    router, engine = restored_after(HISTORY_MS + 1.0)
    assert (
        not router.estimates.is_failing(0)
        and not engine.ejected_until
        and not router.estimates.first_token_waits_ms.count(50.0)
    )
    assert (
        router.estimates.prefill_ms_per_token.min_bucket_mean(50.0) == 2.0
        and router.estimates.prefill_ms_per_token.count(50.0) <= 0.5
    )
    ancient, _ = restored_after(30 * 24 * 3.6e6)
    assert ancient.estimates.prefill_ms_per_token.min_bucket_mean(50.0) == 0.0


def test_marks_do_not_last_longer_after_the_clock_was_set_back() -> None:
    router, engine = restored_after(-1e7)
    assert not engine.ejected_until and not router.estimates.is_failing(0)


def test_only_engines_with_marks_are_stored() -> None:
    recorder, engine = recorder_with_outcomes(1, 20), marked_engine(2000.0)
    assert set(recorder.changes([(engine, 0.0), (Engine(b"plain", 2), 0.0)], 2000.0, 1e9)) == {FLEET_KEY, "e"}
    engine.ejected_until, engine.window_reduction, engine.last_success = {}, 0.0, {}
    assert recorder.changes([(engine, 0.0)], 2500.0, 1e9)["e"] is None
