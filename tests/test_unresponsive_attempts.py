"""Attempts whose engine is unresponsive while KV cache may be held for their request, in scripted time."""

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
    is_prefill: bool
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


def test_release_beside_an_unresponsive_decode_attempt(monkeypatch: Any) -> None:
    script = Script(monkeypatch, reading=False)
    held_before(script, 100.0)
    script.monitor.watch(script.claims, script.attempt, script.release)
    due = START - 100.0 + module.SILENT_FRACTION * WITHIN
    script.run(WITHIN)
    assert near(script.released, [due])
    script.run(2 * WITHIN)
    assert near(script.released, [due, due + WITHIN, due + 2 * WITHIN])


def test_no_release_beside_a_responsive_decode_attempt(monkeypatch: Any) -> None:
    script = Script(monkeypatch, reading=False)
    held_before(script, 0.0)
    script.monitor.watch(script.claims, script.attempt, script.release)
    for _ in range(10):
        script.run(0.4 * WITHIN)
        script.answered()
    assert not script.released
    script.run(WITHIN)  # its machine vanishes, after the attempt has arrived
    assert near(script.released[:1], [script.attempt.engine_responsive_at + module.SILENT_FRACTION * WITHIN])


def test_release_beside_a_silent_stream_for_possible_kv_cache(monkeypatch: Any) -> None:
    """The machine of a stream vanishes while KV cache of an earlier prefill may still appear.

    A release is sent beside the stream.
    """
    script = Script(monkeypatch, reading=False)
    may_appear(script)
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.answered()
    script.run(module.SILENT_FRACTION * WITHIN + STEP)
    assert len(script.released) == 1


def test_no_release_without_claims_or_after_the_attempt(
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
def test_unresponsive_prefill_gets_a_health_check_first(monkeypatch: Any, claims: Any) -> None:
    script = Script(monkeypatch, reading=True)
    claims(script)
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.run(module.SILENT_FRACTION * WITHIN + 2)
    assert len(script.probed) == 1 and not script.released
    script.run(module.HEALTH_CHECK_STEPS * STEP + 2)
    assert len(script.released) == 1 and script.released[0] < START + WITHIN


def test_no_release_beside_a_prefill_that_has_arrived(monkeypatch: Any) -> None:
    """A long prefill is silent while it runs.

    Once a health check shows that its engine runs, no release may free the KV cache that it brings.
    """
    script = Script(monkeypatch, reading=True)
    may_appear(script)
    script.monitor.watch(script.claims, script.attempt, script.release)
    script.run(module.SILENT_FRACTION * WITHIN + 2)
    script.answered()  # the probe
    script.run(10 * WITHIN)
    assert len(script.probed) == 1 and not script.released


@pytest.mark.parametrize("owed", [True, False])
def test_unchecked_prefill_gets_one_release_or_while_due(monkeypatch: Any, owed: bool) -> None:
    """Health checks are not allowed, and a long prefill is silent.

    The release that may free its KV cache is sent once, or while a release is due; repeating it would cost
    every long prefill.
    """
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
def test_release_while_a_connection_does_not_come_up(monkeypatch: Any, reading: bool) -> None:
    """One connection after the other does not come up, and together they take all of the time limit.

    The release is sent before it is over.
    """
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


def test_connection_in_time_keeps_the_kv_cache(monkeypatch: Any) -> None:
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
