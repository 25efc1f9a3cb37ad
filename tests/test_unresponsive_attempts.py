"""Attempts whose engine is unresponsive while KV cache may be held for their request, in simulated time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest
from twisted.internet import task

from worksmux.net import clock
from worksmux.node import kv_release, unresponsive_attempts
from worksmux.node.kv_claims import KvClaims
from worksmux.node.unresponsive_attempts import UnresponsiveAttemptMonitor
from worksmux.policy.state import Engine

TIME_LIMIT_MS = 400.0
STEP_MS = TIME_LIMIT_MS / kv_release.STEPS_PER_TIME_LIMIT
START_MS = 1000.0
EARLIER, ENGINE = Engine(b"earlier", 1), Engine(b"engine", 2)


@dataclass(eq=False)
class Attempt:
    is_prefill: bool
    written_at: float
    engine_responsive_at: float = 0.0
    over: bool = False
    engine: Engine = field(default_factory=lambda: ENGINE)


class Script:
    """One request with an attempt in flight; records the times of releases and health checks."""

    def __init__(self, monkeypatch: Any, is_prefill: bool, may_check_health: bool = True) -> None:
        self.clock = task.Clock()
        monkeypatch.setattr(clock, "now", lambda: self.clock.seconds() * 1000)
        self.clock.advance(START_MS / 1000)
        self.time_limit_ms, self.step_ms = TIME_LIMIT_MS, STEP_MS
        self.released: list[float] = []
        self.health_checks: list[float] = []
        self.released_without_connection: list[float] = []
        self.claims = KvClaims("a1")
        self.attempt = Attempt(is_prefill, START_MS)
        check_health = (lambda engine: self.health_checks.append(clock.now())) if may_check_health else None
        self.monitor = UnresponsiveAttemptMonitor(self.clock, self, check_health)  # type: ignore[arg-type]

    def start_beside(self, claims: KvClaims) -> None:
        assert claims is self.claims
        self.released.append(clock.now())

    def release(self) -> None:
        self.released_without_connection.append(clock.now())

    def run(self, ms: float) -> None:
        for _ in range(round(ms)):
            self.clock.advance(0.001)

    def engine_answers(self) -> None:
        """Records that the engine answered a call that started now."""
        self.attempt.engine_responsive_at = clock.now()


def kv_cache_held_before(script: Script, ms: float) -> None:
    """KV cache is held since `ms` before the attempt was written."""
    script.claims.add_held(EARLIER, START_MS - ms)


def kv_cache_may_appear(script: Script) -> None:
    """An earlier prefill may still leave KV cache; a release was acknowledged at the attempt's write."""
    script.claims.add_possible(EARLIER, START_MS - 10, 1000.0)
    script.claims.release_acknowledged(ENGINE, START_MS - 5, START_MS)
    assert not script.claims.is_due


def times_match(times: list[float], expected: list[float]) -> bool:
    return len(times) == len(expected) and all(abs(a - b) <= 3 for a, b in zip(times, expected, strict=True))


def test_release_beside_an_unresponsive_decode_attempt(monkeypatch: Any) -> None:
    script = Script(monkeypatch, is_prefill=False)
    kv_cache_held_before(script, 100.0)
    script.monitor.watch(script.claims, script.attempt, script.release)
    due_ms = START_MS - 100.0 + unresponsive_attempts.SILENT_FRACTION * TIME_LIMIT_MS
    script.run(TIME_LIMIT_MS)
    assert times_match(script.released, [due_ms])
    script.run(2 * TIME_LIMIT_MS)
    assert times_match(script.released, [due_ms, due_ms + TIME_LIMIT_MS, due_ms + 2 * TIME_LIMIT_MS])


def test_no_release_beside_a_responsive_decode_attempt(monkeypatch: Any) -> None:
    script = Script(monkeypatch, is_prefill=False)
    kv_cache_held_before(script, 0.0)
    script.monitor.watch(script.claims, script.attempt, script.release)
    for _ in range(10):
        script.run(0.4 * TIME_LIMIT_MS)
        script.engine_answers()
    assert not script.released
    script.run(TIME_LIMIT_MS)  # the machine vanishes after the attempt has arrived
    assert times_match(
        script.released[:1],
        [script.attempt.engine_responsive_at + unresponsive_attempts.SILENT_FRACTION * TIME_LIMIT_MS],
    )


def test_release_beside_a_silent_stream_for_possible_kv_cache(monkeypatch: Any) -> None:
    """The machine that sends a stream vanishes while KV cache of an earlier prefill may still appear.

    A release is sent beside the stream.
    """
    script = Script(monkeypatch, is_prefill=False)
    kv_cache_may_appear(script)
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.engine_answers()
    script.run(unresponsive_attempts.SILENT_FRACTION * TIME_LIMIT_MS + STEP_MS)
    assert len(script.released) == 1


def test_no_release_without_claims_or_after_the_attempt(
    monkeypatch: Any,
) -> None:
    script = Script(monkeypatch, is_prefill=False)
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.run(3 * TIME_LIMIT_MS)
    assert not script.released  # no claims
    kv_cache_held_before(script, 0.0)
    script.attempt.over = True
    script.run(3 * TIME_LIMIT_MS)
    assert not script.released and not script.clock.getDelayedCalls()


@pytest.mark.parametrize("claims", [kv_cache_may_appear, lambda script: kv_cache_held_before(script, 10.0)])
def test_unresponsive_prefill_gets_a_health_check_first(monkeypatch: Any, claims: Any) -> None:
    script = Script(monkeypatch, is_prefill=True)
    claims(script)
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.run(unresponsive_attempts.SILENT_FRACTION * TIME_LIMIT_MS + 2)
    assert len(script.health_checks) == 1 and not script.released
    script.run(unresponsive_attempts.HEALTH_CHECK_STEPS * STEP_MS + 2)
    assert len(script.released) == 1 and script.released[0] < START_MS + TIME_LIMIT_MS


def test_no_release_beside_a_prefill_that_has_arrived(monkeypatch: Any) -> None:
    """A long prefill sends nothing while it runs.

    Once a health check shows that its engine runs, no release may free the KV cache that it produces.
    """
    script = Script(monkeypatch, is_prefill=True)
    kv_cache_may_appear(script)
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.run(unresponsive_attempts.SILENT_FRACTION * TIME_LIMIT_MS + 2)
    script.engine_answers()  # answers the health check
    script.run(10 * TIME_LIMIT_MS)
    assert len(script.health_checks) == 1 and not script.released


@pytest.mark.parametrize("due", [True, False])
def test_unchecked_prefill_gets_one_release_or_while_due(monkeypatch: Any, due: bool) -> None:
    """Health checks are not allowed, and a long prefill sends nothing.

    The release, which may free its KV cache, is sent once, or while a release is due; repeating it would
    break every long prefill.
    """
    script = Script(monkeypatch, is_prefill=True, may_check_health=False)
    if due:
        kv_cache_held_before(script, 0.0)
    else:
        kv_cache_may_appear(script)
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.run(4 * TIME_LIMIT_MS)
    assert len(script.released) == (4 if due else 1) and not script.health_checks
    assert script.released[0] < START_MS + TIME_LIMIT_MS


@pytest.mark.parametrize("is_prefill", [True, False])
def test_release_while_a_connection_does_not_come_up(monkeypatch: Any, is_prefill: bool) -> None:
    """Several connections are not established one after the other and together exceed the time limit.

    The release is sent before the time limit ends.
    """
    script = Script(monkeypatch, is_prefill)
    kv_cache_held_before(script, 100.0)
    script.attempt.written_at = 0.0
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.run(unresponsive_attempts.SILENT_FRACTION * TIME_LIMIT_MS)
    assert (
        times_match(
            script.released_without_connection,
            [START_MS - 100.0 + unresponsive_attempts.SILENT_FRACTION * TIME_LIMIT_MS],
        )
        and not script.released
    )
    script.attempt.over = True
    script.run(2 * TIME_LIMIT_MS)
    assert len(script.released_without_connection) == 1


def test_connection_in_time_keeps_the_kv_cache(monkeypatch: Any) -> None:
    script = Script(monkeypatch, is_prefill=False)
    kv_cache_held_before(script, 0.0)
    script.attempt.written_at = 0.0
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.run(0.5 * TIME_LIMIT_MS)
    script.attempt.written_at = clock.now()
    for _ in range(5):
        script.engine_answers()
        script.run(0.5 * TIME_LIMIT_MS)
    assert not script.released_without_connection and not script.released
