"""Attempts whose engine is silent while KV cache may be held for their request, in scripted time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest
from twisted.internet import task

from worksmux.net import clock
from worksmux.node import kv_release as releases
from worksmux.node import unresponsive_attempts as module
from worksmux.node.kv_claims import KvClaims
from worksmux.node.unresponsive_attempts import UnresponsiveAttemptMonitor
from worksmux.policy.state import Engine

WITHIN = 400.0
STEP = WITHIN / releases.STEPS_PER_TIME_LIMIT
START = 1000.0
EARLIER, ENGINE = Engine(b"earlier", 1), Engine(b"engine", 2)


@dataclass(eq=False)
class Attempt:
    reading: bool
    written_at: float
    engine_responsive_at: float = 0.0
    over: bool = False
    engine: Engine = field(default_factory=lambda: ENGINE)


class Script:
    """One request with an attempt that is out; releases beside it and probes are noted with their times."""

    def __init__(self, monkeypatch: Any, reading: bool, may_probe: bool = True) -> None:
        self.clock = task.Clock()
        monkeypatch.setattr(clock, "now", lambda: self.clock.seconds() * 1000)
        self.clock.advance(START / 1000)
        self.time_limit_ms, self.step_ms = WITHIN, STEP
        self.released: list[float] = []
        self.probed: list[float] = []
        self.released_without_connection: list[float] = []
        self.claims = KvClaims("a1")
        self.attempt = Attempt(reading, START)
        probe = (lambda engine: self.probed.append(clock.now())) if may_probe else None
        self.monitor = UnresponsiveAttemptMonitor(self.clock, self, probe)  # type: ignore[arg-type]

    def start_beside(self, claims: KvClaims) -> None:
        assert claims is self.claims
        self.released.append(clock.now())

    def release(self) -> None:
        self.released_without_connection.append(clock.now())

    def run(self, ms: float) -> None:
        for _ in range(round(ms)):
            self.clock.advance(0.001)

    def answered(self) -> None:
        """Its engine answers something that began just now."""
        self.attempt.engine_responsive_at = clock.now()


def held_before(script: Script, ms: float) -> None:
    """KV cache is held since `ms` before the attempt was written."""
    script.claims.add_held(EARLIER, START - ms)


def may_appear(script: Script) -> None:
    """An earlier prefill may still leave KV cache; a release was heard as the attempt was written."""
    script.claims.add_possible(EARLIER, START - 10, 1000.0)
    script.claims.release_acknowledged(ENGINE, START - 5, START)
    assert not script.claims.is_due


def near(times: list[float], wanted: list[float]) -> bool:
    return len(times) == len(wanted) and all(abs(a - b) <= 3 for a, b in zip(times, wanted, strict=True))


def test_decode_attempt_in_doubt_has_a_release_beside_it_by_the_first_clock(monkeypatch: Any) -> None:
    script = Script(monkeypatch, reading=False)
    held_before(script, 100.0)
    script.monitor.watch(script.claims, script.attempt, script.release)
    due = START - 100.0 + module.SILENT_FRACTION * WITHIN
    script.run(WITHIN)
    assert near(script.released, [due])
    script.run(2 * WITHIN)
    assert near(script.released, [due, due + WITHIN, due + 2 * WITHIN])


def test_decode_attempt_whose_engine_gives_signs_of_life_is_left_alone(monkeypatch: Any) -> None:
    script = Script(monkeypatch, reading=False)
    held_before(script, 0.0)
    script.monitor.watch(script.claims, script.attempt, script.release)
    for _ in range(10):
        script.run(0.4 * WITHIN)
        script.answered()
    assert not script.released
    script.run(WITHIN)  # its machine vanishes, after the attempt has arrived
    assert near(script.released[:1], [script.attempt.engine_responsive_at + module.SILENT_FRACTION * WITHIN])


def test_stream_that_falls_silent_has_a_release_beside_it_for_what_may_still_appear(monkeypatch: Any) -> None:
    """Guards against state of an earlier prefill that appears while the stream's machine is gone."""
    script = Script(monkeypatch, reading=False)
    may_appear(script)
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.answered()
    script.run(module.SILENT_FRACTION * WITHIN + STEP)
    assert len(script.released) == 1


def test_nothing_is_released_beside_an_attempt_that_is_over_or_where_nothing_can_be_held(
    monkeypatch: Any,
) -> None:
    script = Script(monkeypatch, reading=False)
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.run(3 * WITHIN)
    assert not script.released  # no claims
    held_before(script, 0.0)
    script.attempt.over = True
    script.run(3 * WITHIN)
    assert not script.released and not script.clock.getDelayedCalls()


@pytest.mark.parametrize("claims", [may_appear, lambda script: held_before(script, 10.0)])
def test_prefill_in_doubt_is_probed_before_a_release_takes_what_it_brings(
    monkeypatch: Any, claims: Any
) -> None:
    script = Script(monkeypatch, reading=True)
    claims(script)
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.run(module.SILENT_FRACTION * WITHIN + 2)
    assert len(script.probed) == 1 and not script.released
    script.run(module.HEALTH_CHECK_STEPS * STEP + 2)
    assert len(script.released) == 1 and script.released[0] < START + WITHIN


def test_prefill_that_is_known_to_have_arrived_is_left_alone(monkeypatch: Any) -> None:
    """Guards against long prefills that lose what they bring, again and again."""
    script = Script(monkeypatch, reading=True)
    may_appear(script)
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.run(module.SILENT_FRACTION * WITHIN + 2)
    script.answered()  # the probe
    script.run(10 * WITHIN)
    assert len(script.probed) == 1 and not script.released


@pytest.mark.parametrize("owed", [True, False])
def test_prefill_in_doubt_without_probes_is_harmed_once_or_while_something_is_owed(
    monkeypatch: Any, owed: bool
) -> None:
    """Guards against long prefills that lose what they bring, again and again."""
    script = Script(monkeypatch, reading=True, may_probe=False)
    if owed:
        held_before(script, 0.0)
    else:
        may_appear(script)
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.run(4 * WITHIN)
    assert len(script.released) == (4 if owed else 1) and not script.probed
    assert script.released[0] < START + WITHIN


@pytest.mark.parametrize("reading", [True, False])
def test_state_is_let_go_while_the_connection_of_an_attempt_does_not_come_up(
    monkeypatch: Any, reading: bool
) -> None:
    """Guards against one connection after the other that takes all the time there is."""
    script = Script(monkeypatch, reading)
    held_before(script, 100.0)
    script.attempt.written_at = 0.0
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.run(module.SILENT_FRACTION * WITHIN)
    assert (
        near(script.released_without_connection, [START - 100.0 + module.SILENT_FRACTION * WITHIN])
        and not script.released
    )
    script.attempt.over = True
    script.run(2 * WITHIN)
    assert len(script.released_without_connection) == 1


def test_connection_that_comes_up_in_time_keeps_what_its_attempt_is_sent_for(monkeypatch: Any) -> None:
    script = Script(monkeypatch, reading=False)
    held_before(script, 0.0)
    script.attempt.written_at = 0.0
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.run(0.5 * WITHIN)
    script.attempt.written_at = clock.now()
    for _ in range(5):
        script.answered()
        script.run(0.5 * WITHIN)
    assert not script.released_without_connection and not script.released
