"""What engines may hold for a request, and releases in scripted time: who is asked, how often, until when."""
from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet import task

from worksmux import interface as i
from worksmux.net import client, clock
from worksmux.node import releases as module
from worksmux.node.held import Claim, HeldState
from worksmux.node.releases import Releases

WITHIN = 400.0
STEP = WITHIN / module.STEPS


def engines_of(count: int) -> list[i.Engine]:
    return [i.Engine(bytes([at]), at, state="ready") for at in range(count)]


ENGINES = engines_of(4)


# Claims.

def test_claims_end_by_what_proves_that_nothing_is_held() -> None:
    held = HeldState("a1")
    reader, unseen, other, _ = ENGINES
    held.held_at(reader)
    held.ended_unseen(unseen, 900.0)
    held.due(100.0)
    held.due(200.0)
    assert held.owed and held.owed_since == 100.0
    held.heard(other, 110.0)                         # all that is held now is let go, wherever it lies
    assert not held.owed and held.holders[unseen].claim is Claim.MAY_FOLLOW and reader not in held.holders
    assert held.owed_since is None
    held.heard(other, 899.0)
    assert unseen in held.holders                    # it may still finish what it began
    held.heard(unseen, 899.5)
    assert not held.holders


def test_attempt_that_arrived_starts_the_time_anew_and_one_that_did_not_leaves_it() -> None:
    held = HeldState("a1")
    held.held_at(ENGINES[0])
    held.due(100.0)
    assert held.owed_since == 100.0
    held.attempt_ended()
    held.due(300.0)
    assert held.owed_since == 300.0


EVENTS = st.tuples(st.sampled_from(["held", "unseen", "taken", "heard", "expire"]),
                   st.integers(0, 3), st.integers(0, 300))


@given(st.lists(EVENTS, max_size=25))
def test_no_claim_is_forgotten_without_its_proof(events: list[tuple[str, int, int]]) -> None:
    """Guards against a debt that is lost where several engines hold for one request."""
    held, now = HeldState("a1"), 0.0
    may: dict[i.Engine, float] = {}                  # unseen ends that nothing has proven over
    sure: set[i.Engine] = set()
    for name, at, ms in events:
        now += ms
        engine = ENGINES[at]
        match name:
            case "held":
                held.held_at(engine)
                sure.add(engine)
                may.pop(engine, None)
            case "unseen":
                held.ended_unseen(engine, now + 500)
                may[engine] = now + 500
                sure.discard(engine)
            case "taken":
                held.taken(engine)
                sure.discard(engine)
                may.pop(engine, None)
            case "heard":
                held.heard(engine, now)
                sure.clear()
                may = {one: until for one, until in may.items() if one is not engine and now < until}
            case "expire":
                held.expire(now - 1000)
                may = {one: until for one, until in may.items() if one in held.holders or until >= now - 1000}
        assert held.holders.keys() == sure | may.keys()
        assert not sure or held.owed


# Releases.

class Script:
    """Calls of releases as they are made; nobody answers unless the test says so."""

    def __init__(self, monkeypatch: Any, engines: list[i.Engine]) -> None:
        self.clock, self.engines = task.Clock(), engines
        monkeypatch.setattr(clock, "now", lambda: self.clock.seconds() * 1000)
        self.clock.advance(1.0)
        self.asked: list[tuple[float, i.Engine, Any]] = []
        self.out: dict[i.Engine, Any] = {}
        self.silent: set[i.Engine] = set()
        self.most_out = 0
        self.releases = Releases(self.clock, self._call, self._other, WITHIN)  # type: ignore[arg-type]
        self.held = HeldState("a1")

    def _call(self, engine: i.Engine, method: str, path: str, body: bytes, on_end: Any) -> Any:
        assert (method, path) == ("DELETE", "/v1/holds/a1")
        self.asked.append((clock.now(), engine, on_end))
        self.out[engine] = on_end
        self.most_out = max(self.most_out, len(self.out))
        timer = self.clock.callLater(0.25, self.end, engine, 0)

        def drop() -> None:
            if timer.active():
                timer.cancel()
            self.out.pop(engine, None)

        return drop

    def end(self, engine: i.Engine, status: int, trouble: client.Trouble | None = None) -> None:
        on_end = self.out.pop(engine, None)
        if on_end is not None:
            on_end(status, {}, b"", trouble)

    def _other(self, known: set[i.Engine]) -> i.Engine | None:
        return next((engine for engine in self.engines
                     if engine.state == "ready" and engine not in known), None)

    def start(self) -> Script:
        self.held.held_at(self.engines[0])
        self.releases.start(self.held)
        return self

    def run(self, ms: float, answering: Any = ()) -> None:
        """Lets time go by; those of `answering` answer each call after 1 ms."""
        for _ in range(round(ms)):
            for engine in [one for one in self.out if one in answering]:
                self.end(engine, 204)
            self.clock.advance(0.001)

    def engines_asked(self) -> list[i.Engine]:
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
    script.run(WITHIN * module.GIVE_UP)
    assert script.most_out <= module.MOST_AT_ONCE and not script.releases.running and not script.out
    asked = len(script.asked)
    assert asked < 5 * len(script.engines)
    script.run(20_000)
    assert len(script.asked) == asked and not script.clock.getDelayedCalls()


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
    assert script.releases.running
    script.engines[2].state = "ready"
    script.run(WITHIN, answering=[script.engines[2]])
    assert not script.releases.running


def test_release_goes_on_with_its_first_clock_after_an_attempt_that_never_arrived(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(2.5 * STEP)
    script.releases.rest(script.held)
    assert not script.out                            # nothing is let go from under an attempt
    script.run(STEP)
    asked = len(script.asked)
    script.releases.start(script.held)
    again = script.engines_asked()[asked:]
    assert again[0] is script.engines[0] and len(again) > 1 and again[1] not in script.engines[:3]
    assert script.held.owed_since == 1000.0


def test_release_starts_anew_after_an_attempt_that_arrived(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(20)).start()
    script.run(5.5 * STEP)
    script.releases.rest(script.held)
    script.held.attempt_ended()
    asked = len(script.asked)
    script.releases.start(script.held)
    script.run(1.5 * STEP)
    assert script.engines_asked()[asked:] == script.engines[:2]


@pytest.mark.parametrize("answers", [True, False])
def test_state_that_may_follow_is_released_until_it_no_longer_can(monkeypatch: Any, answers: bool) -> None:
    """Guards against a read that an engine finishes after its end was seen nowhere but here: a release that
    another engine heard before does not undo it."""
    script = Script(monkeypatch, engines_of(5))
    unseen, *others = script.engines
    script.held.ended_unseen(unseen, clock.now() + 2000)
    script.releases.start(script.held)
    script.run(2 * STEP, answering=others)
    heard = [at for at, engine, _ in script.asked if engine is not unseen]
    assert heard and heard[0] <= 1000.0 + 1.1 * STEP and script.releases.running
    if answers:
        script.run(WITHIN, answering=script.engines)
        assert not script.releases.running
        return
    script.run(3000, answering=others)
    heard = [at for at, engine, _ in script.asked if engine is not unseen]
    assert max(b - a for a, b in zip(heard, heard[1:], strict=False)) < 0.75 * WITHIN
    assert heard[-1] >= 3000.0 and not script.releases.running


def test_no_release_is_called_while_an_attempt_that_arrived_is_out(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(5))
    script.held.ended_unseen(script.engines[0], clock.now() + 2000)
    script.releases.start(script.held)
    script.run(2 * STEP, answering=script.engines[1:])
    asked = len(script.asked)
    script.releases.rest(script.held)
    script.run(1000)
    assert len(script.asked) == asked and script.releases.running
    script.releases.start(script.held)
    script.run(10, answering=script.engines)
    assert not script.releases.running


def test_request_with_the_id_of_an_earlier_one_takes_over_what_is_owed_for_it(monkeypatch: Any) -> None:
    script = Script(monkeypatch, engines_of(5)).start()
    assert script.releases.held("a1") is script.held and script.releases.held("a2") is not script.held
