"""Releases in simulated time: which engines are tried, how often, and for how long."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet import task

from worksmux.net import client, clock
from worksmux.node import kv_release
from worksmux.node.kv_claims import MAX_SILENCE_MS, KvClaims
from worksmux.node.kv_releaser import KvReleaser
from worksmux.policy.state import Engine

TIME_LIMIT_MS = 400.0  # the time limit of a release
STEP_MS = TIME_LIMIT_MS / kv_release.STEPS_PER_TIME_LIMIT


def engines_of(count: int) -> list[Engine]:
    return [Engine(bytes([index]), index, state="ready") for index in range(count)]


class Script:
    """Records release calls; a call is answered only if the test does so, and times out after 250 ms."""

    def __init__(self, monkeypatch: Any, engines: list[Engine]) -> None:
        self.clock, self.engines = task.Clock(), engines
        monkeypatch.setattr(clock, "now", lambda: self.clock.seconds() * 1000)
        self.clock.advance(1.0)
        self.calls: list[tuple[float, Engine, Any]] = []
        self.in_flight: dict[Engine, Any] = {}
        self.silent: set[Engine] = set()
        self.unconnected: set[Engine] = set()  # engines whose connections are never established
        self.max_in_flight = 0
        self.releaser = KvReleaser(self.clock, self._call, self._choose_target, TIME_LIMIT_MS)  # type: ignore[arg-type]
        self.claims = KvClaims("a1")

    def _call(self, engine: Engine, method: str, path: str, body: bytes, on_end: Any) -> Any:
        assert (method, path) == ("DELETE", "/v1/holds/a1")
        self.calls.append((clock.now(), engine, on_end))
        self.in_flight[engine] = on_end
        self.max_in_flight = max(self.max_in_flight, len(self.in_flight))
        timer = self.clock.callLater(0.25, self.end, engine, 0)

        def abandon() -> None:
            if timer.active():
                timer.cancel()
            self.in_flight.pop(engine, None)

        return SimpleNamespace(connected=engine not in self.unconnected, end=abandon)

    def end(self, engine: Engine, status: int, error: client.CallError | None = None) -> None:
        on_end = self.in_flight.pop(engine, None)
        if on_end is not None:
            on_end(status, {}, b"", error)

    def _choose_target(self, excluded: set[Engine]) -> Engine | None:
        return next(
            (engine for engine in self.engines if engine.state == "ready" and engine not in excluded), None
        )

    def start(self) -> Script:
        self.claims.add_held(self.engines[0], clock.now())
        self.releaser.start(self.claims)
        return self

    def run(self, ms: float, answering: Any = ()) -> None:
        """Advances the clock; the engines in `answering` acknowledge each call within 1 ms."""
        for _ in range(round(ms)):
            for engine in [called for called in self.in_flight if called in answering]:
                self.end(engine, 204)
            self.clock.advance(0.001)

    def called_engines(self) -> list[Engine]:
        return [engine for _, engine, _ in self.calls]


def test_release_tries_one_engine_more_at_each_step(monkeypatch: Any) -> None:
    """Connections to the engines are never established, which is detected after half of the time limit each.

    The release tries one more engine at each step.
    """
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(3.5 * STEP_MS)
    assert script.called_engines() == [*script.engines[:4]]
    script.end(script.engines[3], 204)
    script.run(10_000)
    assert len(script.calls) == 4 and not script.releaser.running


def test_unacknowledged_release_tries_all_engines_and_ends(monkeypatch: Any) -> None:
    """No engine answers.

    The release tries all of them, a few at a time, and ends after `MAX_SILENCE_MS`.
    """
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(TIME_LIMIT_MS * 3)
    assert set(script.called_engines()) == set(script.engines)
    first_half = [engine for at, engine, _ in script.calls if at <= 1000.0 + TIME_LIMIT_MS]
    assert len(set(first_half)) >= kv_release.MAX_CALLS
    script.run(TIME_LIMIT_MS * 20)
    assert script.max_in_flight <= kv_release.MAX_CALLS + 1 and len(script.calls) < 5 * len(script.engines)
    script.run(MAX_SILENCE_MS)
    assert not script.releaser.running and not script.in_flight
    call_count = len(script.calls)
    script.run(20_000)
    assert len(script.calls) == call_count and not script.clock.getDelayedCalls()


@pytest.mark.parametrize("connected", [True, False])
def test_engine_is_retried_while_a_connection_does_not_come_up(monkeypatch: Any, connected: bool) -> None:
    """A connection is never established and never fails.

    Another one is opened; an engine that has the release and does not answer gets no second call.
    """
    script = Script(monkeypatch, engines_of(1))
    if not connected:
        script.unconnected.update(script.engines)
    script.start().run(kv_release.RETRY_STEPS_WHILE_DUE * STEP_MS + 2)
    assert len(script.calls) == (1 if connected else 2)
    script.run(TIME_LIMIT_MS)
    assert len(script.releaser.running["a1"]._calls) <= kv_release.MAX_CALLS_PER_ENGINE


def test_refused_connection_leads_to_another_engine_at_once(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(5)).start()
    refused = client.NotSentError("refused")
    for _ in range(50):
        for engine in list(script.in_flight):
            script.end(engine, 0, refused)
    assert script.called_engines() == script.engines  # each once, without delay
    script.run(2 * STEP_MS)
    assert len(script.calls) > 5


def test_release_continues_while_the_endpoint_list_is_empty(monkeypatch: Any) -> None:
    """All engines leave the list for a while, including the one that holds KV cache and still runs.

    The release continues and is acknowledged once an engine is listed again.
    """
    script = Script(monkeypatch, engines_of(3)).start()
    for engine in script.engines:
        engine.state = "gone"
    script.end(script.engines[0], 0, client.NotSentError("refused"))
    script.run(2 * TIME_LIMIT_MS)
    assert script.releaser.running
    script.engines[2].state = "ready"
    script.run(TIME_LIMIT_MS, answering=[script.engines[2]])
    assert not script.releaser.running


def test_release_resumes_after_an_attempt_that_never_arrived(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(2.5 * STEP_MS)
    script.releaser.pause(script.claims)
    assert not script.in_flight  # a release would free the KV cache of the attempt
    script.run(STEP_MS)
    call_count = len(script.calls)
    script.releaser.start(script.claims)
    again = script.called_engines()[call_count:]
    assert again[0] is script.engines[0] and len(again) > 1 and again[1] not in script.engines[:3]
    assert script.claims.due_since == 1000.0


def test_release_restarts_after_an_attempt_that_arrived(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(5.5 * STEP_MS)
    script.releaser.pause(script.claims)
    script.claims.attempt_ended(clock.now(), arrived=True)
    call_count = len(script.calls)
    script.releaser.start(script.claims)
    script.run(1.5 * STEP_MS)
    assert script.called_engines()[call_count:] == script.engines[:2]


@pytest.mark.parametrize("answers", [True, False])
def test_possible_kv_cache_is_released_until_ruled_out(monkeypatch: Any, answers: bool) -> None:
    """An engine continues an abandoned prefill and may leave KV cache after a release was acknowledged.

    The acknowledgement came from another engine, or from the engine itself before it had finished. The
    release is repeated until KV cache can no longer appear.
    """
    work_ms = 2000.0
    script = Script(monkeypatch, engines_of(5))
    unresponsive, *others = script.engines
    script.claims.add_possible(unresponsive, clock.now(), work_ms)
    script.releaser.start(script.claims)
    script.run(2 * STEP_MS, answering=others)
    call_times = [at for at, engine, _ in script.calls if engine is not unresponsive]
    assert call_times and call_times[0] <= 1000.0 + 1.1 * STEP_MS and script.releaser.running
    start = clock.now()
    script.run(3000, answering=script.engines if answers else others)
    call_times = [at for at, engine, _ in script.calls if answers or engine is not unresponsive]
    assert max(b - a for a, b in zip(call_times, call_times[1:], strict=False)) <= 1.3 * TIME_LIMIT_MS
    if answers:
        assert (
            not script.releaser.running
            and start + work_ms <= call_times[-1] <= start + work_ms + 2 * TIME_LIMIT_MS
        )
    else:
        assert call_times[-1] >= 3500.0 and script.releaser.running


def test_release_pauses_while_an_attempt_is_in_flight(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(5))
    script.claims.add_possible(script.engines[0], clock.now(), 500.0)
    script.releaser.start(script.claims)
    script.run(2 * STEP_MS, answering=script.engines[1:])
    call_count = len(script.calls)
    script.releaser.pause(script.claims)
    script.run(1000)
    assert len(script.calls) == call_count and script.releaser.running
    script.releaser.start(script.claims)
    script.run(3 * TIME_LIMIT_MS, answering=script.engines)
    assert not script.releaser.running


def test_release_beside_an_unresponsive_attempt_keeps_the_claims(monkeypatch: Any) -> None:
    """A release beside an attempt that may have arrived is acknowledged; it spares that attempt's KV cache.

    The claims stay, and the release is sent again after the attempt.
    """
    script = Script(monkeypatch, engines_of(5))
    script.claims.add_held(script.engines[0], clock.now())
    script.releaser.start_beside(script.claims)
    script.run(STEP_MS, answering=script.engines)
    call_count = len(script.calls)
    assert call_count and script.claims.is_due and script.claims.acknowledged_beside is not None
    script.run(1000, answering=script.engines)
    assert len(script.calls) == call_count  # it is sent only once
    script.claims.attempt_ended(clock.now(), arrived=False)
    script.releaser.start(script.claims)
    script.run(STEP_MS, answering=script.engines)
    assert not script.releaser.running and len(script.calls) > call_count


def test_late_release_tries_several_engines_at_once(monkeypatch: Any) -> None:
    """A release starts when much of its time limit has passed since the end of the last attempt.

    The less time is left, the more engines are tried at once.
    """
    for used_fraction, expected_calls in ((0.1, 1), (0.65, 2), (0.8, 3)):
        script = Script(monkeypatch, engines_of(9))
        script.claims.add_held(script.engines[0], clock.now())
        script.run(used_fraction * TIME_LIMIT_MS)
        script.releaser.start(script.claims)
        assert len(script.calls) == expected_calls


def test_request_takes_over_the_claims_of_its_id(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(5)).start()
    assert (
        script.releaser.claims_of("a1") is script.claims
        and script.releaser.claims_of("a2") is not script.claims
    )
