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
from worksmux.node.kv_claims import LONGEST_SILENCE, HeldState, Presence
from worksmux.node.kv_release import Releases
from worksmux.policy.state import Engine

WITHIN = 400.0
STEP = WITHIN / module.STEPS


def engines_of(count: int) -> list[Engine]:
    return [Engine(bytes([at]), at, state="ready") for at in range(count)]


ENGINES = engines_of(4)


# Claims.


def test_claims_end_by_what_proves_that_nothing_is_held() -> None:
    held = HeldState("a1")
    reader, unseen, other, _ = ENGINES
    held.read(reader, 100.0)
    held.ended_unseen(unseen, 200.0, 500.0)
    assert held.owed and held.since == 100.0
    held.heard(other, 210.0, 212.0)  # all that is held now is let go, wherever it lies
    (claim,) = held.claims
    assert not held.owed and claim.engine is unseen and claim.presence is Presence.CLEARED
    assert held.since is None
    held.heard(other, 2000.0, 2001.0)  # nobody else's answer tells that it has finished
    held.heard(unseen, 2100.0, 2102.0)  # it may have begun only now
    held.heard(unseen, 2600.0, 2601.0)
    assert held.claims
    held.heard(unseen, 2602.0, 2603.0)
    assert not held.claims


def test_two_attempts_at_one_engine_have_a_claim_each() -> None:
    """Guards against the state of a first read that is forgotten as that of a second one is taken: a decode
    engine takes one."""
    held = HeldState("a1")
    engine = ENGINES[0]
    held.read(engine, 100.0)
    held.read(engine, 300.0)
    held.taken(engine)
    assert [claim.since for claim in held.claims] == [100.0] and held.owed
    held.ended_unseen(engine, 400.0, 1000.0)
    held.taken(engine)
    assert [claim.presence for claim in held.claims] == [Presence.POSSIBLE]


def test_release_begun_before_an_attempt_ended_proves_nothing_of_it() -> None:
    held = HeldState("a1")
    held.ended_unseen(ENGINES[0], 100.0, 0.0)
    held.heard(ENGINES[0], 99.0, 130.0)
    assert held.claims
    held.heard(ENGINES[0], 101.0, 131.0)
    assert not held.claims


def test_attempt_that_arrived_starts_the_time_anew_and_one_that_did_not_leaves_it() -> None:
    held = HeldState("a1")
    held.read(ENGINES[0], 100.0)
    held.outcome(300.0, arrived=False)
    assert held.since == 100.0
    held.outcome(400.0, arrived=True)
    assert held.since == 400.0
    held.heard_beside = 500.0  # what the attempt did not take was let go meanwhile
    held.outcome(900.0, arrived=False)
    assert held.since == 900.0


def test_engine_whose_machine_refuses_connections_for_long_has_died_with_what_it_held() -> None:
    held = HeldState("a1")
    engine = ENGINES[0]
    held.ended_unseen(engine, 100.0, 500.0)
    held.refused(engine, 90.0, WITHIN)  # before the attempt's end: no proof
    held.refused(engine, 110.0, WITHIN)
    held.refused(engine, 110.0 + WITHIN / 2, WITHIN)  # an engine that is full refuses too
    held.heard(engine, 600.0, 601.0)
    held.refused(engine, 700.0, WITHIN)
    assert held.claims
    held.refused(engine, 700.0 + WITHIN, WITHIN)
    assert not held.claims


def test_engine_that_refuses_connections_between_others_that_come_up_lives() -> None:
    """Guards against an engine that hangs with its queue full at times, taken for one that has died."""
    held = HeldState("a1")
    engine = ENGINES[0]
    held.ended_unseen(engine, 100.0, 500.0)
    held.refused(engine, 110.0, WITHIN)
    held.connected(engine)  # nobody answered, but its machine took the connection
    held.refused(engine, 110.0 + WITHIN, WITHIN)
    assert held.claims


def test_engine_that_has_started_anew_or_is_silent_for_very_long_holds_nothing() -> None:
    held = HeldState("a1")
    engine = Engine(b"n", 9)
    held.read(engine, 100.0)
    held.expire(200.0)
    assert held.claims
    engine.started = 150.0
    held.expire(200.0)
    assert not held.claims and held.since is None
    held.ended_unseen(engine, 300.0, 0.0)
    held.expire(300.0 + LONGEST_SILENCE)
    assert not held.claims


EVENTS = st.tuples(
    st.sampled_from(["read", "unseen", "taken", "heard"]), st.integers(0, 3), st.integers(0, 300)
)
WORK = 400.0


@given(st.lists(EVENTS, max_size=25))
def test_no_claim_is_forgotten_without_its_proof(events: list[tuple[str, int, int]]) -> None:
    """Guards against a debt that is lost where several attempts hold for one request."""
    held, now = HeldState("a1"), 0.0
    sure: list[int] = []  # engines, one entry for each read
    unsure: list[tuple[int, float, float]] = []  # engine, end, when its engine is known to run
    for name, at, ms in events:
        now += ms
        match name:
            case "read":
                held.read(ENGINES[at], now)
                sure.append(at)
            case "unseen":
                held.ended_unseen(ENGINES[at], now, WORK)
                unsure.append((at, now, -1.0))
            case "taken":
                held.taken(ENGINES[at])
                if at in sure:
                    sure.remove(at)
            case "heard":
                held.heard(ENGINES[at], now, now)
                sure.clear()
                unsure = [
                    (one, end, now if one == at and runs < 0 else runs)
                    for one, end, runs in unsure
                    if one != at or runs < 0 or now < runs + WORK
                ]
        wanted = sorted([ENGINES[one].key for one in sure] + [ENGINES[one].key for one, _, _ in unsure])
        assert sorted(claim.engine.key for claim in held.claims) == wanted
        assert not sure or held.owed


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
        self.releases = Releases(self.clock, self._call, self._other, WITHIN)  # type: ignore[arg-type]
        self.held = HeldState("a1")

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
        self.held.read(self.engines[0], clock.now())
        self.releases.start(self.held)
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
    assert len(script.asked) == 4 and not script.releases.running


def test_release_that_nobody_hears_asks_all_few_at_once_and_ends(monkeypatch: Any) -> None:
    """Guards against a release that ends in silence after a few engines while others could hear it, and
    against one that goes on for ever."""
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(WITHIN * 3)
    assert set(script.engines_asked()) == set(script.engines)
    first_half = [engine for at, engine, _ in script.asked if at <= 1000.0 + WITHIN]
    assert len(set(first_half)) >= module.MOST_AT_ONCE
    script.run(WITHIN * 20)
    assert script.most_out <= module.MOST_AT_ONCE + 1 and len(script.asked) < 5 * len(script.engines)
    script.run(LONGEST_SILENCE)
    assert not script.releases.running and not script.out
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
    script.start().run(module.OWED_STEPS * STEP + 2)
    assert len(script.asked) == (1 if connected else 2)
    script.run(WITHIN)
    assert len(script.releases.running["a1"]._out) <= module.MOST_TO_ONE


def test_refusals_lead_to_another_engine_at_once_and_never_round_in_circles(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(5)).start()
    refused = client.NotSentError("refused")
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
    script.end(script.engines[0], 0, client.NotSentError("refused"))
    script.run(2 * WITHIN)
    assert script.releases.running
    script.engines[2].state = "ready"
    script.run(WITHIN, answering=[script.engines[2]])
    assert not script.releases.running


def test_release_goes_on_with_its_first_clock_after_an_attempt_that_never_arrived(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(2.5 * STEP)
    script.releases.rest(script.held)
    assert not script.out  # nothing is let go from under an attempt
    script.run(STEP)
    asked = len(script.asked)
    script.releases.start(script.held)
    again = script.engines_asked()[asked:]
    assert again[0] is script.engines[0] and len(again) > 1 and again[1] not in script.engines[:3]
    assert script.held.since == 1000.0


def test_release_starts_anew_after_an_attempt_that_arrived(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(5.5 * STEP)
    script.releases.rest(script.held)
    script.held.outcome(clock.now(), arrived=True)
    asked = len(script.asked)
    script.releases.start(script.held)
    script.run(1.5 * STEP)
    assert script.engines_asked()[asked:] == script.engines[:2]


@pytest.mark.parametrize("answers", [True, False])
def test_state_that_may_follow_is_released_until_it_no_longer_can(monkeypatch: Any, answers: bool) -> None:
    """Guards against a read that an engine finishes after its end was seen nowhere but here: a release that
    another engine heard before does not undo it, nor one that its own engine heard before it had finished."""
    work = 2000.0
    script = Script(monkeypatch, engines_of(5))
    unseen, *others = script.engines
    script.held.ended_unseen(unseen, clock.now(), work)
    script.releases.start(script.held)
    script.run(2 * STEP, answering=others)
    heard = [at for at, engine, _ in script.asked if engine is not unseen]
    assert heard and heard[0] <= 1000.0 + 1.1 * STEP and script.releases.running
    begun = clock.now()
    script.run(3000, answering=script.engines if answers else others)
    heard = [at for at, engine, _ in script.asked if answers or engine is not unseen]
    assert max(b - a for a, b in zip(heard, heard[1:], strict=False)) <= 1.3 * WITHIN
    if answers:
        assert not script.releases.running and begun + work <= heard[-1] <= begun + work + 2 * WITHIN
    else:
        assert heard[-1] >= 3500.0 and script.releases.running


def test_no_release_is_called_while_an_attempt_that_arrived_is_out(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(5))
    script.held.ended_unseen(script.engines[0], clock.now(), 500.0)
    script.releases.start(script.held)
    script.run(2 * STEP, answering=script.engines[1:])
    asked = len(script.asked)
    script.releases.rest(script.held)
    script.run(1000)
    assert len(script.asked) == asked and script.releases.running
    script.releases.start(script.held)
    script.run(3 * WITHIN, answering=script.engines)
    assert not script.releases.running


def test_release_beside_an_attempt_in_doubt_keeps_what_may_still_be_held(monkeypatch: Any) -> None:
    """Guards against state forgotten by a release that spared it, as the attempt had arrived."""
    script = Script(monkeypatch, engines_of(5))
    script.held.read(script.engines[0], clock.now())
    script.releases.start_beside(script.held)
    script.run(STEP, answering=script.engines)
    asked = len(script.asked)
    assert asked and script.held.owed and script.held.heard_beside is not None
    script.run(1000, answering=script.engines)
    assert len(script.asked) == asked  # once is enough
    script.held.outcome(clock.now(), arrived=False)
    script.releases.start(script.held)
    script.run(STEP, answering=script.engines)
    assert not script.releases.running and len(script.asked) > asked


def test_the_less_time_is_left_the_more_engines_are_asked_at_once(monkeypatch: Any) -> None:
    """Guards against steps laid out from the decision on, where the time runs from the last outcome."""
    for used, wanted in ((0.1, 1), (0.65, 2), (0.8, 3)):
        script = Script(monkeypatch, engines_of(9))
        script.held.read(script.engines[0], clock.now())
        script.run(used * WITHIN)
        script.releases.start(script.held)
        assert len(script.asked) == wanted


def test_request_with_the_id_of_an_earlier_one_takes_over_what_is_owed_for_it(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(5)).start()
    assert script.releases.held("a1") is script.held and script.releases.held("a2") is not script.held
