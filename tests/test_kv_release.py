"""Releases in scripted time: which engines are tried, how often, and until when."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet import task

from worksmux.net import client, clock
from worksmux.node import kv_release as module
from worksmux.node.kv_claims import MAX_SILENCE_MS, KvClaims
from worksmux.node.kv_releaser import KvReleaser
from worksmux.policy.state import Engine

WITHIN = 400.0  # milliseconds: the time limit of a release
STEP = WITHIN / module.STEPS_PER_TIME_LIMIT


def engines_of(count: int) -> list[Engine]:
    return [Engine(bytes([at]), at, state="ready") for at in range(count)]


class Script:
    """Calls of releases as they are made; nobody answers unless the test says so."""

    def __init__(self, monkeypatch: Any, engines: list[Engine]) -> None:
        self.clock, self.engines = task.Clock(), engines
        monkeypatch.setattr(clock, "now", lambda: self.clock.seconds() * 1000)
        self.clock.advance(1.0)
        self.asked: list[tuple[float, Engine, Any]] = []
        self.out: dict[Engine, Any] = {}
        self.silent: set[Engine] = set()
        self.unconnected: set[Engine] = set()  # connections to these do not come up
        self.most_out = 0
        self.releaser = KvReleaser(self.clock, self._call, self._other, WITHIN)  # type: ignore[arg-type]
        self.claims = KvClaims("a1")

    def _call(self, engine: Engine, method: str, path: str, body: bytes, on_end: Any) -> Any:
        assert (method, path) == ("DELETE", "/v1/holds/a1")
        self.asked.append((clock.now(), engine, on_end))
        self.out[engine] = on_end
        self.most_out = max(self.most_out, len(self.out))
        timer = self.clock.callLater(0.25, self.end, engine, 0)

        def drop() -> None:
            if timer.active():
                timer.cancel()
            self.out.pop(engine, None)

        return SimpleNamespace(connected=engine not in self.unconnected, end=drop)

    def end(self, engine: Engine, status: int, trouble: client.CallError | None = None) -> None:
        on_end = self.out.pop(engine, None)
        if on_end is not None:
            on_end(status, {}, b"", trouble)

    def _other(self, known: set[Engine]) -> Engine | None:
        return next(
            (engine for engine in self.engines if engine.state == "ready" and engine not in known), None
        )

    def start(self) -> Script:
        self.claims.add_held(self.engines[0], clock.now())
        self.releaser.start(self.claims)
        return self

    def run(self, ms: float, answering: Any = ()) -> None:
        """Lets time go by; those of `answering` answer each call after 1 ms."""
        for _ in range(round(ms)):
            for engine in [one for one in self.out if one in answering]:
                self.end(engine, 204)
            self.clock.advance(0.001)

    def engines_asked(self) -> list[Engine]:
        return [engine for _, engine, _ in self.asked]


def test_release_tries_one_engine_more_at_each_step(monkeypatch: Any) -> None:
    """Connections to the engines do not come up, which is known for each only after half of the time limit.

    The release tries one engine more at each step.
    """
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(3.5 * STEP)
    assert script.engines_asked() == [*script.engines[:4]]
    script.end(script.engines[3], 204)
    script.run(10_000)
    assert len(script.asked) == 4 and not script.releaser.running


def test_unacknowledged_release_tries_all_engines_and_ends(monkeypatch: Any) -> None:
    """No engine answers.

    The release tries all of them, a few at once, and ends some day.
    """
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(WITHIN * 3)
    assert set(script.engines_asked()) == set(script.engines)
    first_half = [engine for at, engine, _ in script.asked if at <= 1000.0 + WITHIN]
    assert len(set(first_half)) >= module.MAX_CALLS
    script.run(WITHIN * 20)
    assert script.most_out <= module.MAX_CALLS + 1 and len(script.asked) < 5 * len(script.engines)
    script.run(MAX_SILENCE_MS)
    assert not script.releaser.running and not script.out
    asked = len(script.asked)
    script.run(20_000)
    assert len(script.asked) == asked and not script.clock.getDelayedCalls()


@pytest.mark.parametrize("connected", [True, False])
def test_engine_is_retried_while_a_connection_does_not_come_up(monkeypatch: Any, connected: bool) -> None:
    """One connection is lost without a sign.

    Another one is opened; an engine that has the release and does not answer gets no second call.
    """
    script = Script(monkeypatch, engines_of(1))
    if not connected:
        script.unconnected.update(script.engines)
    script.start().run(module.RETRY_STEPS_WHILE_DUE * STEP + 2)
    assert len(script.asked) == (1 if connected else 2)
    script.run(WITHIN)
    assert len(script.releaser.running["a1"]._calls) <= module.MAX_CALLS_PER_ENGINE


def test_refused_connection_leads_to_another_engine_at_once(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(5)).start()
    refused = client.NotSentError("refused")
    for _ in range(50):
        for engine in list(script.out):
            script.end(engine, 0, refused)
    assert script.engines_asked() == script.engines  # each once, without a step between them
    script.run(2 * STEP)
    assert len(script.asked) > 5


def test_release_continues_while_the_endpoint_list_is_empty(monkeypatch: Any) -> None:
    """All engines leave the list for a while, also the one that holds KV cache and still runs.

    The release goes on and arrives once an engine is listed again.
    """
    script = Script(monkeypatch, engines_of(3)).start()
    for engine in script.engines:
        engine.state = "gone"
    script.end(script.engines[0], 0, client.NotSentError("refused"))
    script.run(2 * WITHIN)
    assert script.releaser.running
    script.engines[2].state = "ready"
    script.run(WITHIN, answering=[script.engines[2]])
    assert not script.releaser.running


def test_release_resumes_after_an_attempt_that_never_arrived(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(2.5 * STEP)
    script.releaser.pause(script.claims)
    assert not script.out  # a release would free the KV cache of the attempt
    script.run(STEP)
    asked = len(script.asked)
    script.releaser.start(script.claims)
    again = script.engines_asked()[asked:]
    assert again[0] is script.engines[0] and len(again) > 1 and again[1] not in script.engines[:3]
    assert script.claims.due_since == 1000.0


def test_release_restarts_after_an_attempt_that_arrived(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(5.5 * STEP)
    script.releaser.pause(script.claims)
    script.claims.attempt_ended(clock.now(), arrived=True)
    asked = len(script.asked)
    script.releaser.start(script.claims)
    script.run(1.5 * STEP)
    assert script.engines_asked()[asked:] == script.engines[:2]


@pytest.mark.parametrize("answers", [True, False])
def test_possible_kv_cache_is_released_until_ruled_out(monkeypatch: Any, answers: bool) -> None:
    """An engine goes on with a prefill whose end it has not seen, and leaves KV cache after a release was
    acknowledged elsewhere, or by itself before it had finished.

    The release is repeated until that is ruled out.
    """
    work = 2000.0
    script = Script(monkeypatch, engines_of(5))
    unseen, *others = script.engines
    script.claims.add_possible(unseen, clock.now(), work)
    script.releaser.start(script.claims)
    script.run(2 * STEP, answering=others)
    heard = [at for at, engine, _ in script.asked if engine is not unseen]
    assert heard and heard[0] <= 1000.0 + 1.1 * STEP and script.releaser.running
    begun = clock.now()
    script.run(3000, answering=script.engines if answers else others)
    heard = [at for at, engine, _ in script.asked if answers or engine is not unseen]
    assert max(b - a for a, b in zip(heard, heard[1:], strict=False)) <= 1.3 * WITHIN
    if answers:
        assert not script.releaser.running and begun + work <= heard[-1] <= begun + work + 2 * WITHIN
    else:
        assert heard[-1] >= 3500.0 and script.releaser.running


def test_release_pauses_while_an_attempt_is_in_flight(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(5))
    script.claims.add_possible(script.engines[0], clock.now(), 500.0)
    script.releaser.start(script.claims)
    script.run(2 * STEP, answering=script.engines[1:])
    asked = len(script.asked)
    script.releaser.pause(script.claims)
    script.run(1000)
    assert len(script.asked) == asked and script.releaser.running
    script.releaser.start(script.claims)
    script.run(3 * WITHIN, answering=script.engines)
    assert not script.releaser.running


def test_release_beside_an_unresponsive_attempt_keeps_the_claims(monkeypatch: Any) -> None:
    """A release is acknowledged beside an attempt that may have arrived, and then spares its KV cache.

    The claims stay, and the release is sent again after the attempt.
    """
    script = Script(monkeypatch, engines_of(5))
    script.claims.add_held(script.engines[0], clock.now())
    script.releaser.start_beside(script.claims)
    script.run(STEP, answering=script.engines)
    asked = len(script.asked)
    assert asked and script.claims.is_due and script.claims.acknowledged_beside is not None
    script.run(1000, answering=script.engines)
    assert len(script.asked) == asked  # once is enough
    script.claims.attempt_ended(clock.now(), arrived=False)
    script.releaser.start(script.claims)
    script.run(STEP, answering=script.engines)
    assert not script.releaser.running and len(script.asked) > asked


def test_late_release_tries_several_engines_at_once(monkeypatch: Any) -> None:
    """A release starts when much of its time limit has passed, which counts from the end of the last attempt.

    The less time is left, the more engines are tried at once.
    """
    for used, wanted in ((0.1, 1), (0.65, 2), (0.8, 3)):
        script = Script(monkeypatch, engines_of(9))
        script.claims.add_held(script.engines[0], clock.now())
        script.run(used * WITHIN)
        script.releaser.start(script.claims)
        assert len(script.asked) == wanted


def test_request_takes_over_the_claims_of_its_id(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(5)).start()
    assert (
        script.releaser.claims_of("a1") is script.claims
        and script.releaser.claims_of("a2") is not script.claims
    )
