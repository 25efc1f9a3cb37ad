"""Lists that are empty, halved, late, or that flap; and what was learned, kept over a restart."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from worksmux.api.listing import Line, Listing
from worksmux.endpoints.endpoint_list import Roster
from worksmux.endpoints.flap_damping import HOLD, PART, Damping
from worksmux.endpoints.learned_state import FLEET, Kept, Learner, Marks, Pace, recall
from worksmux.endpoints.staleness import Turnover
from worksmux.policy.events import AttemptEnded, EndpointEntry, FirstToken
from worksmux.policy.load_estimates import HISTORY_MS
from worksmux.policy.router import Router
from worksmux.policy.settings import PolicySettings, RequestClassSettings
from worksmux.policy.state import ALL_REQUEST_CLASSES, Attempt, Engine, Outcome, Request

DOUBT, HALF_LIFE = 1000.0, 4000.0


def roster() -> Roster:
    engines: dict[str, Engine] = {}
    return Roster(
        ["k"], ["z"], lambda name: engines.setdefault(name, Engine(name.encode(), 1)), DOUBT, HALF_LIFE
    )


def line(name: str, state: str = "ready") -> Line:
    return Line(name, "127.0.0.1", 1, "k", state, "z")  # type: ignore[arg-type]


def full(serial: int, *names: str, now: float = 0.0) -> Listing:
    return Listing("full", serial, None, now, [line(name) for name in names])


def apply(view: dict[str, str], scope: str, entries: list[EndpointEntry]) -> None:
    if scope == "full":
        view.update(dict.fromkeys(view, "gone"))
    view.update({entry.engine.id.decode(): entry.state for entry in entries})


def test_empty_list_is_believed_only_once_it_was_repeated_for_the_time_of_doubt() -> None:
    one = roster()
    one.take(0.0, full(1, "a", "b"))
    assert one.take(10.0, full(2)).event is None and one.next_time() == 10.0 + DOUBT / 4
    assert one.tick(300.0) == (None, True) and one.keeper.ready == 2
    assert one.take(500.0, full(3)).event is None
    told = one.take(10.0 + DOUBT, full(4))
    assert told.event is not None and one.keeper.ready == 0


def test_list_that_comes_back_full_ends_the_doubt() -> None:
    one = roster()
    one.take(0.0, full(1, "a", "b"))
    one.take(10.0, full(2))
    assert one.take(20.0, full(3, "a", "b")).event is not None
    assert one.take(30.0 + DOUBT, full(4)).event is None  # the doubt begins anew


def test_halved_list_is_obeyed_and_asked_for_again_once() -> None:
    one, view = roster(), {}  # type: Roster, dict[str, str]
    apply(view, "full", one.take(0.0, full(1, "a", "b", "c")).event.entries)  # type: ignore[union-attr]
    told = one.take(10.0, full(2, "a"))
    assert told.event and told.notes and one.tick(10.0 + DOUBT)[1]
    assert one.take(20.0, full(3, "a")).event and one.next_time() is None


def test_lateness_is_reckoned_against_the_promptest_list() -> None:
    one = roster()
    one.take(1000.0, full(1, "a", now=90_000.0))
    one.take(2000.0, full(2, "a", now=91_000.0))
    assert one.late == 0.0
    one.take(9000.0, full(3, "a", now=92_000.0))
    assert one.late == 6000.0


def test_engine_that_comes_and_goes_is_held_back_until_it_stays() -> None:
    one, names = roster(), [f"e{at}" for at in range(8)]
    one.take(0.0, full(1, *names))
    serial, shown = 1, []
    for turn in range(6):
        now = 100.0 * (turn + 1)
        one.take(now, Listing("delta", serial + 1, serial, 0.0, [line("e0", "gone")]))
        event = one.take(now + 50, Listing("delta", serial + 2, serial + 1, 0.0, [line("e0")])).event
        assert event is not None
        shown.append(event.entries[0].state)
        serial += 2
    assert shown[:3] == ["ready"] * 3 and shown[-1] == "draining"
    at = one.next_time()
    assert at is not None and at < 700 + 2 * HALF_LIFE
    event, _ = one.tick(at)
    assert event and [entry.state for entry in event.entries] == ["ready"] and one.damping.held == 0


def test_registry_that_makes_all_flap_cannot_empty_the_fleet() -> None:
    one, names = roster(), [f"e{at}" for at in range(20)]
    view: dict[str, str] = {}
    for turn in range(30):
        listed = names[: 10 if turn % 2 else 20]
        event = one.take(10.0 * turn, full(turn + 1, *listed)).event
        assert event is not None
        apply(view, "full", event.entries)
        ready = sum(state == "ready" for state in view.values())
        assert ready >= (1 - PART) * len(listed)


def test_penalty_fades_and_records_are_forgotten() -> None:
    damping = Damping(HALF_LIFE)
    for at in range(int(HOLD) + 1):
        damping.left("a", float(at))
    assert not damping.admit("a", 10.0, 10, 0)
    assert damping.admit("a", 10.0 + 3 * HALF_LIFE, 10, 1) and damping.held == 0
    for at in range(1000):
        damping.left(f"e{at}", 1e6 + at * HALF_LIFE)
    assert len(damping.records) < 100


class RosterMachine(RuleBasedStateMachine):
    """The module never sees an engine as ready that the list in force does not call ready, never loses the
    fleet to one list, and in the end sees all that is ready."""

    names = st.sampled_from([f"e{at}" for at in range(6)])

    def __init__(self) -> None:
        super().__init__()
        self.now, self.serial = 0.0, 1
        self.truth = {f"e{at}": "ready" for at in range(6)}
        self.roster, self.view = roster(), {}  # type: Roster, dict[str, str]
        self.listed: dict[str, str] = {}  # as the list in force has it
        self.send_full(dict(self.truth))

    def send_full(self, states: dict[str, str]) -> None:
        self.serial += 1
        lines = [line(name, state) for name, state in states.items() if state != "gone"]
        event = self.roster.take(self.now, Listing("full", self.serial, None, self.now, lines)).event
        if event is not None:
            apply(self.view, "full", event.entries)
            self.listed = dict(states)

    @rule(name=names, state=st.sampled_from(["ready", "draining", "gone"]))
    def change(self, name: str, state: str) -> None:
        self.truth[name] = state
        self.serial += 1
        message = Listing("delta", self.serial, self.serial - 1, self.now, [line(name, state)])
        event = self.roster.take(self.now, message).event
        assert event is not None
        apply(self.view, "delta", event.entries)
        self.listed[name] = state

    @rule(part=st.integers(0, 6))
    def whole_list(self, part: int) -> None:
        self.send_full(dict(list(self.truth.items())[:part]))

    @rule(step=st.floats(1, 3000))
    def wait(self, step: float) -> None:
        self.now += step
        event, _ = self.roster.tick(self.now)
        if event is not None:
            apply(self.view, "delta", event.entries)

    @rule()
    def settle(self) -> None:
        """All quiet for long, and a true list: nothing stays held back."""
        self.now += 10 * HALF_LIFE
        self.send_full(dict(self.truth))
        if "ready" in self.truth.values():
            ready = {name for name, state in self.view.items() if state == "ready"}
            assert ready == {name for name, state in self.truth.items() if state == "ready"}

    @invariant()
    def nothing_is_used_against_the_list(self) -> None:
        for name, state in self.view.items():
            assert state != "ready" or self.listed.get(name) == "ready"

    @invariant()
    def fleet_stays(self) -> None:
        if "ready" in self.listed.values():
            assert "ready" in self.view.values()


TestRoster = RosterMachine.TestCase
TestRoster.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


# What was learned.


def attempt_at(engine: Engine, request_class: int = 0, work: float = 100.0) -> Attempt:
    return Attempt(
        Request(1, request_class, 1, 0, work, 0.0, 10.0, 0.0, 9e9), engine, 0, 0.0, prefill_tokens=work
    )


def taught(faults: int, good: int) -> Learner:
    learner, engine = Learner(["a", "b"]), Engine(b"e", 1)
    for at in range(faults + good):
        outcome = Outcome.ERROR if at < faults else Outcome.SERVED
        learner.saw(1000.0 + at, AttemptEnded(attempt_at(engine), outcome, 50.0, False))
    learner.saw(1100.0, AttemptEnded(attempt_at(engine), Outcome.PREFILLED, 200.0, False))
    learner.saw(1200.0, FirstToken(attempt_at(engine), 900.0))
    return learner


def marked(now: float) -> Engine:
    engine = Engine(b"e", 1)
    engine.ejected_until, engine.last_success, engine.window_reduction = (
        {ALL_REQUEST_CLASSES: now + 4000, 1: now + 2000},
        {0: now - 500},
        2.0,
    )
    return engine


def told_after(age: float, started: float = 0.0) -> tuple[Router, Engine]:
    """A module that was told what a front had learned before it was away for `age`."""
    learner, engine = taught(8, 1), marked(2000.0)
    kept = learner.changes([(engine, 0.0)], 2000.0, 1e9)
    pace, marks = kept[FLEET], kept["e"]
    assert isinstance(pace, Pace) and isinstance(marks, Marks)
    again = Engine(b"e", 1)
    event = recall(Kept(pace, {"e": marks}), ["a", "b"], [(again, started)], 1e9 + age, Turnover(), 3.6e6)
    one = RequestClassSettings(latency_target_ms=1000.0)
    front = Router(
        PolicySettings(
            request_classes=(one, one),
            tick_ms=1.0,
            release_within_ms=100.0,
            slow_start_ms=1000.0,
            engine_roles=("both",),
            slow_start_share=0.3,
            overload_multiple=3.0,
        ),
        1,
    )
    front.decide(50.0, [event])
    return front, again


def test_marks_come_back_with_the_time_they_have_left_and_a_new_start_voids_them() -> None:
    front, engine = told_after(1000.0)
    assert engine.ejected_until == {
        ALL_REQUEST_CLASSES: 50.0 + 3000.0,
        1: 50.0 + 1000.0,
    } and engine.last_success == {0: 50.0 - 1500.0}
    assert 1.5 < engine.window_reduction < 2.0
    _, other = told_after(1000.0, started=5.0)
    assert not other.ejected_until and not other.last_success and not other.window_reduction


def test_failing_request_class_is_known_after_a_restart_until_a_few_fresh_attempts_go_well() -> None:
    front, engine = told_after(500.0)
    assert front.estimates.is_failing(0) and not front.estimates.is_failing(1)
    front.estimates.failures[0].add(60.0, 0.0)
    front.estimates.failures[0].add(60.0, 0.0)
    assert not front.estimates.is_failing(0)


def test_what_is_old_is_forgotten_but_how_fast_prompts_are_read() -> None:
    front, engine = told_after(HISTORY_MS + 1.0)
    assert (
        not front.estimates.is_failing(0)
        and not engine.ejected_until
        and not front.estimates.first_token_waits_ms.count(50.0)
    )
    assert (
        front.estimates.prefill_ms_per_token.least(50.0) == 2.0
        and front.estimates.prefill_ms_per_token.count(50.0) <= 0.5
    )
    ancient, _ = told_after(30 * 24 * 3.6e6)
    assert ancient.estimates.prefill_ms_per_token.least(50.0) == 0.0


def test_clock_that_ran_backwards_makes_no_mark_last() -> None:
    front, engine = told_after(-1e7)
    assert not engine.ejected_until and not front.estimates.is_failing(0)


def test_only_what_is_out_of_the_ordinary_is_written() -> None:
    learner, engine = taught(1, 20), marked(2000.0)
    assert set(learner.changes([(engine, 0.0), (Engine(b"plain", 2), 0.0)], 2000.0, 1e9)) == {FLEET, "e"}
    engine.ejected_until, engine.window_reduction, engine.last_success = {}, 0.0, {}
    assert learner.changes([(engine, 0.0)], 2500.0, 1e9)["e"] is None


class HandOverMachine(RosterMachine):
    """The same from a remembered list on: until the registry speaks, and from then on, nothing is used that
    neither a remembered line nor the list in force calls ready, and a remembered drain holds."""

    def __init__(self) -> None:
        super().__init__()
        self.roster, self.view, self.listed = roster(), {}, {}
        self.truth["e5"] = "draining"
        entries = []
        for name, state in self.truth.items():
            entry = self.roster.keeper.remember(0.0, 0.0, line(name), state, careful=name < "e3")
            assert entry is not None
            entries.append(entry)
        self.roster.remembered(entries)
        apply(self.view, "cached", entries)
        self.listed = dict(self.truth)


TestHandOver = HandOverMachine.TestCase
TestHandOver.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
