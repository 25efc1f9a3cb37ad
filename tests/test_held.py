"""What engines may hold for a request, and releases in scripted time: who is asked, how often, until when."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet import task

from worksmux.net import client, clock
from worksmux.node import kv_release as module
from worksmux.node.kv_claims import MAX_SILENCE_MS, ClaimState, KvClaims
from worksmux.node.kv_releaser import KvReleaser
from worksmux.policy.state import Engine

WITHIN = 400.0
STEP = WITHIN / module.STEPS_PER_TIME_LIMIT


def engines_of(count: int) -> list[Engine]:
    return [Engine(bytes([at]), at, state="ready") for at in range(count)]


ENGINES = engines_of(4)


# Claims.


def test_claims_end_by_what_proves_that_nothing_is_held() -> None:
    claims = KvClaims("a1")
    reader, unseen, other, _ = ENGINES
    claims.add_held(reader, 100.0)
    claims.add_possible(unseen, 200.0, 500.0)
    assert claims.is_due and claims.due_since == 100.0
    claims.release_acknowledged(other, 210.0, 212.0)  # all that is held now is let go, wherever it lies
    (claim,) = claims.claims
    assert not claims.is_due and claim.engine is unseen and claim.state is ClaimState.RELEASED
    assert claims.due_since is None
    claims.release_acknowledged(other, 2000.0, 2001.0)  # nobody else's answer tells that it has finished
    claims.release_acknowledged(unseen, 2100.0, 2102.0)  # it may have begun only now
    claims.release_acknowledged(unseen, 2600.0, 2601.0)
    assert claims.claims
    claims.release_acknowledged(unseen, 2602.0, 2603.0)
    assert not claims.claims


def test_two_attempts_at_one_engine_have_a_claim_each() -> None:
    """Guards against the state of a first read that is forgotten as that of a second one is taken: a decode
    engine takes one."""
    claims = KvClaims("a1")
    engine = ENGINES[0]
    claims.add_held(engine, 100.0)
    claims.add_held(engine, 300.0)
    claims.remove_taken(engine)
    assert [claim.since for claim in claims.claims] == [100.0] and claims.is_due
    claims.add_possible(engine, 400.0, 1000.0)
    claims.remove_taken(engine)
    assert [claim.state for claim in claims.claims] == [ClaimState.POSSIBLE]


def test_release_begun_before_an_attempt_ended_proves_nothing_of_it() -> None:
    claims = KvClaims("a1")
    claims.add_possible(ENGINES[0], 100.0, 0.0)
    claims.release_acknowledged(ENGINES[0], 99.0, 130.0)
    assert claims.claims
    claims.release_acknowledged(ENGINES[0], 101.0, 131.0)
    assert not claims.claims


def test_attempt_that_arrived_starts_the_time_anew_and_one_that_did_not_leaves_it() -> None:
    claims = KvClaims("a1")
    claims.add_held(ENGINES[0], 100.0)
    claims.attempt_ended(300.0, arrived=False)
    assert claims.due_since == 100.0
    claims.attempt_ended(400.0, arrived=True)
    assert claims.due_since == 400.0
    claims.acknowledged_beside = 500.0  # what the attempt did not take was let go meanwhile
    claims.attempt_ended(900.0, arrived=False)
    assert claims.due_since == 900.0


def test_engine_whose_machine_refuses_connections_for_long_has_died_with_what_it_held() -> None:
    claims = KvClaims("a1")
    engine = ENGINES[0]
    claims.add_possible(engine, 100.0, 500.0)
    claims.connection_refused(engine, 90.0, WITHIN)  # before the attempt's end: no proof
    claims.connection_refused(engine, 110.0, WITHIN)
    claims.connection_refused(engine, 110.0 + WITHIN / 2, WITHIN)  # an engine that is full refuses too
    claims.release_acknowledged(engine, 600.0, 601.0)
    claims.connection_refused(engine, 700.0, WITHIN)
    assert claims.claims
    claims.connection_refused(engine, 700.0 + WITHIN, WITHIN)
    assert not claims.claims


def test_engine_that_refuses_connections_between_others_that_come_up_lives() -> None:
    """Guards against an engine that hangs with its queue full at times, taken for one that has died."""
    claims = KvClaims("a1")
    engine = ENGINES[0]
    claims.add_possible(engine, 100.0, 500.0)
    claims.connection_refused(engine, 110.0, WITHIN)
    claims.connection_opened(engine)  # nobody answered, but its machine took the connection
    claims.connection_refused(engine, 110.0 + WITHIN, WITHIN)
    assert claims.claims


def test_engine_that_has_started_anew_or_is_silent_for_very_long_holds_nothing() -> None:
    claims = KvClaims("a1")
    engine = Engine(b"n", 9)
    claims.add_held(engine, 100.0)
    claims.remove_expired(200.0)
    assert claims.claims
    engine.started = 150.0
    claims.remove_expired(200.0)
    assert not claims.claims and claims.due_since is None
    claims.add_possible(engine, 300.0, 0.0)
    claims.remove_expired(300.0 + MAX_SILENCE_MS)
    assert not claims.claims


EVENTS = st.tuples(
    st.sampled_from(["read", "unseen", "taken", "heard"]), st.integers(0, 3), st.integers(0, 300)
)
WORK = 400.0


@given(st.lists(EVENTS, max_size=25))
def test_no_claim_is_forgotten_without_its_proof(events: list[tuple[str, int, int]]) -> None:
    """Guards against a debt that is lost where several attempts hold for one request."""
    claims, now = KvClaims("a1"), 0.0
    sure: list[int] = []  # engines, one entry for each read
    unsure: list[tuple[int, float, float]] = []  # engine, end, when its engine is known to run
    for name, at, ms in events:
        now += ms
        match name:
            case "read":
                claims.add_held(ENGINES[at], now)
                sure.append(at)
            case "unseen":
                claims.add_possible(ENGINES[at], now, WORK)
                unsure.append((at, now, -1.0))
            case "taken":
                claims.remove_taken(ENGINES[at])
                if at in sure:
                    sure.remove(at)
            case "heard":
                claims.release_acknowledged(ENGINES[at], now, now)
                sure.clear()
                unsure = [
                    (one, end, now if one == at and runs < 0 else runs)
                    for one, end, runs in unsure
                    if one != at or runs < 0 or now < runs + WORK
                ]
        wanted = sorted([ENGINES[one].key for one in sure] + [ENGINES[one].key for one, _, _ in unsure])
        assert sorted(claim.engine.key for claim in claims.claims) == wanted
        assert not sure or claims.is_due


# Releases.


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

    def end(self, engine: Engine, status: int, trouble: client.Trouble | None = None) -> None:
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


def test_release_asks_one_engine_more_at_each_step_while_none_answers(monkeypatch: Any) -> None:
    """Guards against state pinned where connections do not come up, each known only after half the time."""
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(3.5 * STEP)
    assert script.engines_asked() == [*script.engines[:4]]
    script.end(script.engines[3], 204)
    script.run(10_000)
    assert len(script.asked) == 4 and not script.releaser.running


def test_release_that_nobody_hears_asks_all_few_at_once_and_ends(monkeypatch: Any) -> None:
    """Guards against a release that ends in silence after a few engines while others could hear it, and
    against one that goes on for ever."""
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
def test_engine_is_asked_again_while_a_connection_does_not_come_up(monkeypatch: Any, connected: bool) -> None:
    """Guards against one lost connection that takes most of the time there is; an engine that has the release
    and does not answer is not asked twice at once."""
    script = Script(monkeypatch, engines_of(1))
    if not connected:
        script.unconnected.update(script.engines)
    script.start().run(module.RETRY_STEPS_WHILE_DUE * STEP + 2)
    assert len(script.asked) == (1 if connected else 2)
    script.run(WITHIN)
    assert len(script.releaser.running["a1"]._calls) <= module.MAX_CALLS_PER_ENGINE


def test_refusals_lead_to_another_engine_at_once_and_never_round_in_circles(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(5)).start()
    refused = client.Unsent("refused")
    for _ in range(50):
        for engine in list(script.out):
            script.end(engine, 0, refused)
    assert script.engines_asked() == script.engines  # each once, without a step between them
    script.run(2 * STEP)
    assert len(script.asked) > 5


def test_release_goes_on_where_every_known_engine_has_left_the_list(monkeypatch: Any) -> None:
    """Guards against a holder told gone that still runs, with a list that is empty for a while."""
    script = Script(monkeypatch, engines_of(3)).start()
    for engine in script.engines:
        engine.state = "gone"
    script.end(script.engines[0], 0, client.Unsent("refused"))
    script.run(2 * WITHIN)
    assert script.releaser.running
    script.engines[2].state = "ready"
    script.run(WITHIN, answering=[script.engines[2]])
    assert not script.releaser.running


def test_release_goes_on_with_its_first_clock_after_an_attempt_that_never_arrived(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(2.5 * STEP)
    script.releaser.pause(script.claims)
    assert not script.out  # nothing is let go from under an attempt
    script.run(STEP)
    asked = len(script.asked)
    script.releaser.start(script.claims)
    again = script.engines_asked()[asked:]
    assert again[0] is script.engines[0] and len(again) > 1 and again[1] not in script.engines[:3]
    assert script.claims.due_since == 1000.0


def test_release_starts_anew_after_an_attempt_that_arrived(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(5.5 * STEP)
    script.releaser.pause(script.claims)
    script.claims.attempt_ended(clock.now(), arrived=True)
    asked = len(script.asked)
    script.releaser.start(script.claims)
    script.run(1.5 * STEP)
    assert script.engines_asked()[asked:] == script.engines[:2]


@pytest.mark.parametrize("answers", [True, False])
def test_state_that_may_follow_is_released_until_it_no_longer_can(monkeypatch: Any, answers: bool) -> None:
    """Guards against a read that an engine finishes after its end was seen nowhere but here: a release that
    another engine heard before does not undo it, nor one that its own engine heard before it had finished."""
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


def test_no_release_is_called_while_an_attempt_that_arrived_is_out(monkeypatch: Any) -> None:
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


def test_release_beside_an_attempt_in_doubt_keeps_what_may_still_be_held(monkeypatch: Any) -> None:
    """Guards against state forgotten by a release that spared it, as the attempt had arrived."""
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


def test_the_less_time_is_left_the_more_engines_are_asked_at_once(monkeypatch: Any) -> None:
    """Guards against steps laid out from the decision on, where the time runs from the last outcome."""
    for used, wanted in ((0.1, 1), (0.65, 2), (0.8, 3)):
        script = Script(monkeypatch, engines_of(9))
        script.claims.add_held(script.engines[0], clock.now())
        script.run(used * WITHIN)
        script.releaser.start(script.claims)
        assert len(script.asked) == wanted


def test_request_with_the_id_of_an_earlier_one_takes_over_what_is_owed_for_it(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(5)).start()
    assert (
        script.releaser.claims_of("a1") is script.claims
        and script.releaser.claims_of("a2") is not script.claims
    )
