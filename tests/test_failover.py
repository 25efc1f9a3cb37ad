"""From reports to a plan, and what the module makes of it."""

from __future__ import annotations

import msgspec
import pytest
from helpers import NOW, fleet, request
from hypothesis import given, settings
from hypothesis import strategies as st

from worksmux.failover.acting import told
from worksmux.failover.plan import Plan, decode, encode
from worksmux.failover.planner import Map, Planner
from worksmux.failover.tally import Tally, ZoneTally, added
from worksmux.failover.watcher import Watcher
from worksmux.failover.zones import Phase
from worksmux.policy.actions import RejectRequest
from worksmux.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    FailoverPlan,
    RequestArrived,
)
from worksmux.policy.state import Attempt, Engine, Outcome, Request

REGIONS = {"a": "west", "b": "west", "c": "east", "d": "east"}
CREDITS = {"hint": 1.0, "explain": 2.0, "mark": 5.0}
FRONTS = 10


def zone(
    lost: int = 0,
    grey: int = 0,
    ready: float = 4.0,
    wait: float = 0.1,
    cold: float = 0.0,
    spoke: int = FRONTS,
    had: float = 4.0,
) -> ZoneTally:
    return ZoneTally(
        spoke, lost, grey, FRONTS, ready * FRONTS, had * FRONTS, cold * FRONTS, 20.0, 20.0, 20.0 * wait, 0.0
    )


def tally(**zones: ZoneTally) -> Tally:
    return Tally(
        FRONTS,
        {name: zones.get(name, zone()) for name in REGIONS},
        {"hint": 40.0, "explain": 24.0, "mark": 16.0},
    )


def made(carries: dict[str, float] | None = None, plan: Plan | None = None, every: float = 250.0) -> Planner:
    return Planner(Map(REGIONS, CREDITS, 0.3, every, carries or {}), plan or Plan())


def looks(planner: Planner, count: int, **zones: ZoneTally) -> list[Plan]:
    return [plan for _ in range(count) if (plan := planner.look(tally(**zones))) is not None]


LOST = zone(lost=FRONTS, ready=0.0, wait=0.0)


# How zones are.


def test_calm_makes_no_plan() -> None:
    assert not looks(made(), 50)


def test_lost_zone_keeps_nothing_at_once_and_its_region_takes_its_requests() -> None:
    planner = made()
    looks(planner, 3)
    plan = planner.look(tally(a=LOST))
    assert plan is not None and plan.rows == {"a": {"b": 1.0}} and plan.event == 1


def test_region_that_is_lost_whole_goes_to_the_other() -> None:
    planner = made()
    looks(planner, 3)
    plan = planner.look(tally(a=LOST, b=LOST))
    assert plan is not None and {*plan.rows["a"], *plan.rows["b"]} == {"c", "d"}


def test_requests_leave_the_region_only_once_it_is_full() -> None:
    planner = made()
    looks(planner, 3)
    easy = looks(planner, 12, a=LOST)
    assert all(set(plan.rows["a"]) == {"b"} for plan in easy)
    full = looks(planner, 12, a=LOST, b=zone(wait=0.9))
    assert 0 < full[-1].rows["a"].get("c", 0.0) + full[-1].rows["a"].get("d", 0.0) <= 1.0


def test_nowhere_to_go_leaves_every_zone_to_itself() -> None:
    planner = made()
    looks(planner, 3)
    plans = looks(planner, 5, a=LOST, b=LOST, c=LOST, d=LOST)
    assert all(not plan.rows for plan in plans)


def test_zone_comes_back_by_steps_and_not_above_what_its_cold_engines_carry() -> None:
    planner = made()
    looks(planner, 3)
    looks(planner, 4, a=LOST)
    back = looks(planner, 40, a=zone(cold=4.0))
    shares = [plan.rows["a"].get("a", 0.0) for plan in back if plan.rows]
    assert shares == sorted(shares) and 0 < shares[-1] <= 0.31
    warm = looks(planner, 60)
    assert not warm[-1].rows and planner.zones.views["a"].phase is Phase.WELL


def test_one_event_makes_a_bounded_number_of_plans() -> None:
    planner = made()
    looks(planner, 3)
    plans = looks(planner, 200, a=LOST) + looks(planner, 200)
    assert len(plans) < 60 and {plan.event for plan in plans} == {1} and plans[-1].calm
    assert len(looks(planner, 200)) == 0


def returns(planner: Planner, looks_each: int = 4, times: int = 40) -> int:
    """How often a zone that flaps is given jobs again."""
    count, before = 0, 1.0
    looks(planner, 3)
    for at in range(2 * times):
        for _ in range(looks_each):
            planner.look(tally(a=LOST if at % 2 == 0 else zone()))
            keep = planner.zones.views["a"].keep
            count, before = count + (keep > 0 and before == 0), keep
    return count


def test_flapping_zone_is_given_requests_ever_more_seldom(monkeypatch: pytest.MonkeyPatch) -> None:
    patient = returns(made())
    monkeypatch.setattr("worksmux.failover.zones.MOST_HOLD", 2.0)
    assert patient < 8 < 30 < returns(made())  # without the growing hold it is given them each time


def test_grey_zone_keeps_a_part_that_shows_its_mending() -> None:
    planner = made()
    looks(planner, 3)
    plans = looks(planner, 20, a=zone(grey=FRONTS))
    assert 0 < plans[-1].rows["a"]["a"] <= 0.11
    assert planner.zones.views["a"].phase is Phase.GREY


@pytest.mark.parametrize("liars", [1, 4])
def test_few_fronts_that_say_a_zone_is_lost_are_not_believed(liars: int) -> None:
    assert not looks(made(), 20, a=zone(lost=liars))


def test_fronts_that_contradict_one_another_by_halves_change_nothing() -> None:
    assert not looks(made(), 20, a=zone(lost=FRONTS // 2))


def test_zone_that_no_front_knows_is_not_planned_for() -> None:
    assert not looks(made(), 20, a=ZoneTally())


def test_seat_that_begins_to_lead_after_a_loss_goes_on_from_the_plan_in_force() -> None:
    first = made()
    looks(first, 3)
    plan = looks(first, 5, a=LOST)[-1]
    second = made(plan=plan)
    assert all(one.rows == plan.rows and one.event == plan.event for one in looks(second, 5, a=LOST))
    fresh = made()  # or where no plan was made yet
    assert looks(fresh, 2, a=LOST)[0].rows == {"a": {"b": 1.0}}


# What is deferred.


def test_light_load_is_let_in_at_once_and_heavy_load_by_degrees_highest_credit_first() -> None:
    light, heavy = (made(dict.fromkeys(REGIONS, carry)) for carry in (400.0, 30.0))
    for planner in (light, heavy):
        looks(planner, 3)
    assert not light.look(tally(a=LOST)).shed  # type: ignore[union-attr]
    shed = heavy.look(tally(a=LOST)).shed["a"]  # type: ignore[union-attr]
    assert shed["hint"] > shed["explain"] > shed.get("mark", 0.0) == 0.0
    later = looks(heavy, 100, a=LOST)[-1].shed
    assert later.get("a", {}).get("hint", 0.0) < shed["hint"]


def test_what_fits_nowhere_is_deferred_lowest_credit_first_wherever_it_belongs() -> None:
    planner = made(dict.fromkeys(REGIONS, 20.0))  # 60 carried of 80 asked
    looks(planner, 3)
    shed = looks(planner, 200, a=LOST)[-1].shed
    assert {name: one.get("hint") for name, one in shed.items()} == dict.fromkeys(REGIONS, 0.5)
    assert not any("mark" in one for one in shed.values())


def test_too_much_without_any_failure_is_left_to_the_fronts() -> None:
    full = {name: zone(wait=2.0) for name in REGIONS}
    assert not looks(made(dict.fromkeys(REGIONS, 1.0)), 100, **full)


ZONE = st.builds(
    zone,
    st.integers(0, FRONTS),
    st.integers(0, FRONTS),
    st.floats(0.0, 4.0),
    st.floats(0.0, 3.0),
    st.floats(0.0, 4.0),
)


def unsound(planner: Planner, zones: dict[str, ZoneTally]) -> str:
    """What must hold of any plan, whatever was reported."""
    planner.look(tally(**zones))
    plan = planner.plan
    if not plan.sound():
        return "shares make no sense"
    for name, row in plan.rows.items():
        if any(planner.zones.views[other].phase is Phase.LOST for other in row):
            return "jobs go to a lost zone"
        near = [other for other in row if REGIONS[other] == REGIONS[name]]
        if not near and any(
            view.phase is Phase.WELL and REGIONS[other] == REGIONS[name]
            for other, view in planner.zones.views.items()
            if other != name
        ):
            return "all leaves a region that has a zone that is well"
    for one in plan.shed.values():
        if one.get("hint", 0.0) + 1e-9 < one.get("mark", 0.0):
            return "a higher credit is deferred before a lower one"
    return ""


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.fixed_dictionaries(dict.fromkeys(REGIONS, ZONE)), min_size=1, max_size=25),
    st.sampled_from([{}, dict.fromkeys(REGIONS, 25.0)]),
)
def test_whatever_is_reported_the_plan_is_sound(
    told_zones: list[dict[str, ZoneTally]], carries: dict[str, float]
) -> None:
    planner = made(carries)
    looks(planner, 2)
    for zones in told_zones:
        assert not unsound(planner, zones)


def test_planner_that_takes_the_far_for_the_near_is_found() -> None:
    class Far(Planner):
        def _takers(self, name: str) -> tuple[dict[str, float], dict[str, float]]:
            near, far = super()._takers(name)
            return far, near

    planner = Far(Map(REGIONS, CREDITS, 0.3, 250.0, {}), Plan())
    looks(planner, 2)
    assert unsound(planner, {"a": LOST})


# Reports.


def test_report_whose_figures_make_no_sense_is_not_sound() -> None:
    assert added([tally(), tally()]).sound()
    for odd in (
        Tally(1, {"a": ZoneTally(lost=2)}),
        Tally(1, {"a": ZoneTally(begun=float("nan"))}),
        Tally(1, {}, {"hint": 1e9}),
        Tally(-1),
        Tally(1, {"a": ZoneTally(ready=-1.0)}),
    ):
        assert not odd.sound()


def watched() -> tuple[Watcher, list[Engine]]:
    front, engines = fleet((0, 0, 0), (1, 0, 0), (0, 1, 1), (1, 1, 1))
    watcher = Watcher(["north", "south"], ["hint", "mark", "note"], front.settings)
    watcher.saw(
        NOW,
        EndpointListUpdate(
            "full", [EndpointEntry(one, "ready", 0.0, one.zone, one.cell, one.kind, 1.0) for one in engines]
        ),
    )
    return watcher, engines


def fault(watcher: Watcher, engine: Engine, at: float, outcome: Outcome = Outcome.UNREACHABLE) -> None:
    attempt = Attempt(request(), engine, 0, at - 10, True)
    watcher.saw(at, AttemptEnded(attempt, outcome, 10.0, False))


def test_zone_of_which_nothing_answers_is_lost_to_who_asks_it_though_it_asks_seldom() -> None:
    """The module sets an engine aside after one fault, so that a few trips are all there is to see."""
    watcher, (reader, writer, other, _) = watched()
    fault(watcher, reader, NOW + 500)
    fault(watcher, writer, NOW + 600)
    fault(watcher, other, NOW + 600, Outcome.PREFILLED)
    report = watcher.report(NOW + 900)
    assert report.zones["north"].lost == 1 and report.zones["south"].lost == 0
    assert watcher.report(NOW + 3000).zones["north"].lost == 1
    assert watcher.report(NOW + 9000).zones["north"].lost == 0


def test_zone_whose_only_prefill_engine_fails_is_lost_though_its_decode_engine_was_fine() -> None:
    """Guards against a zone that is cut off while fronts wait for its decode engines to fail, which get no
    attempts any more: two votes of five, and no plan."""
    watcher, (reader, writer, *_) = watched()
    fault(watcher, writer, NOW + 300, Outcome.SERVED)
    fault(watcher, reader, NOW + 500)
    report = watcher.report(NOW + 900).zones["north"]
    assert report.lost == 1 and report.spoke == 1
    fault(watcher, writer, NOW + 950, Outcome.SERVED)
    assert watcher.report(NOW + 1500).zones["north"].lost == 0


def test_one_engine_of_many_at_fault_loses_no_zone() -> None:
    watcher, (reader, writer, *_) = watched()
    fault(watcher, reader, NOW + 500)
    fault(watcher, writer, NOW + 600, Outcome.PREFILLED)
    assert watcher.report(NOW + 900).zones["north"].lost == 0


def test_requests_that_wait_count_before_they_begin() -> None:
    watcher, _ = watched()
    one = request(now=NOW)
    watcher.saw(NOW, RequestArrived(one))
    zones = watcher.report(NOW + 800).zones
    assert zones["north"].press == pytest.approx(0.4) and zones["north"].begun == 0
    one.ended = True
    assert watcher.report(NOW + 900).zones["north"].press == 0


def test_what_a_zone_had_is_remembered_when_it_is_gone() -> None:
    watcher, engines = watched()
    watcher.report(NOW)
    watcher.saw(
        NOW + 1,
        EndpointListUpdate("delta", [EndpointEntry(one, "gone", 0.0, 0, 0, 0, 1.0) for one in engines[:2]]),
    )
    told_zone = watcher.report(NOW + 1000).zones["north"]
    assert told_zone.ready == 0 and told_zone.had == pytest.approx(2.0, rel=0.01)


# What a front and its module make of it.


def test_plan_survives_its_form_and_nonsense_is_refused() -> None:
    plan = Plan(3, {"a": {"b": 1.0}}, {"a": {"hint": 0.5}}, 500.0, "a lost", {"a": 0.0}, {"a": 1.0}, 1)
    assert decode(encode(plan)) == plan
    with pytest.raises(msgspec.DecodeError):
        decode(encode(Plan(3, {"a": {"b": 0.4}})))


def test_calm_plan_under_a_lease_tells_the_module_nothing() -> None:
    assert told(Plan(4), ["a", "b"], ["hint"], alone=False) is None


def test_front_that_is_alone_keeps_to_the_last_plan_and_to_what_it_sees_lost() -> None:
    plan = Plan(4, {"a": {"b": 1.0}}, {"a": {"hint": 0.5}}, 500.0)
    own = Tally(1, {"a": ZoneTally(), "b": ZoneTally(), "c": ZoneTally(1, 1)})
    event = told(plan, ["a", "b", "c"], ["hint"], True, "b", own)
    assert event == FailoverPlan({0: [(1, 1.0)], 2: [(1, 1.0)]}, {0: [0.5]}, 500.0, True)


PLACES = ((0, 0, 0), (1, 0, 0), (0, 1, 1), (1, 1, 1), (0, 1, 1))


def placed(front, count: int = 60) -> list[Request]:
    requests = [request(number, left=9000.0) for number in range(1, count + 1)]
    for one in requests:
        front.decide(NOW, [RequestArrived(one)])
        for attempt in one.attempts:
            front.decide(NOW, [AttemptEnded(attempt, Outcome.PREFILLED, 5.0, False)])
    return requests


def test_module_moves_a_lost_zones_requests_and_leaves_the_others_where_they_were() -> None:
    before, engines = fleet(*PLACES)
    home = {one.id: one.attempts[0].engine.zone for one in placed(before)}
    front, engines = fleet(*PLACES)
    front.decide(NOW, [FailoverPlan({0: [(1, 1.0)]}, {}, 0.0)])
    requests = placed(front)
    assert {one.attempts[0].engine.zone for one in requests} == {1}
    assert set(home.values()) == {0, 1}
    assert not any(attempt.engine.zone == 0 for one in requests for attempt in one.attempts)


def test_share_that_grows_moves_no_beginning_back() -> None:
    moved: set[int] = set()
    for share in (0.2, 0.5, 0.8, 1.0):
        front, _ = fleet(*PLACES)
        front.decide(NOW, [FailoverPlan({0: [(1, share), (0, 1 - share)]}, {}, 0.0)])
        now = {one.id for one in placed(front) if one.attempts and one.attempts[0].engine.zone == 1}
        assert moved <= now
        moved = now


def test_module_uses_a_shut_zone_where_nothing_else_is_left() -> None:
    front, engines = fleet(*PLACES[:2])
    front.decide(NOW, [FailoverPlan({0: [(1, 1.0)]}, {}, 0.0)])
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    assert one.attempts[0].engine is engines[0]


def test_module_defers_what_the_plan_sheds_at_once_and_before_any_attempt() -> None:
    front, _ = fleet(*PLACES, max_retry_after_ms=1.0)
    front.decide(NOW, [FailoverPlan({}, {0: [1.0, 0.0, 0.0], 1: [1.0, 0.0, 0.0]}, 400.0)])
    hint, mark = request(1), request(2, request_class=1)
    actions = front.decide(NOW, [RequestArrived(hint), RequestArrived(mark)])
    defers = [action for action in actions if isinstance(action, RejectRequest)]
    assert [one.request for one in defers] == [hint] and 400.0 <= defers[0].retry_after_ms <= 800.0
    assert hint.ended and not hint.attempts and mark.attempts


def test_module_alone_keeps_each_request_in_the_zone_that_reads_it() -> None:
    front, engines = fleet(*PLACES)
    front.decide(NOW, [FailoverPlan({}, {}, 0.0, True)])
    full = engines[0]
    requests = (request(number) for number in range(1, 100))
    one = next(one for one in requests if next(iter(front.index.ranked_for(one)[2])) is full)
    assert {engine.zone for engine, _ in front.prefill_order.candidates(one)} == {0}


def test_calm_plan_changes_no_placement() -> None:
    front, _ = fleet(*PLACES)
    other, _ = fleet(*PLACES)
    other.decide(NOW, [FailoverPlan({}, {}, 0.0)])
    assert [one.attempts[0].engine.id for one in placed(front)] == [
        one.attempts[0].engine.id for one in placed(other)
    ]


def test_looks_are_reckoned_in_time_whatever_their_pace() -> None:
    """Rates are told by the second, so that a planner that looks twice as often lets in as fast."""
    held = {}
    for every in (125.0, 250.0):
        planner = made(dict.fromkeys(REGIONS, 30.0), every=every)
        looks(planner, 3)
        looks(planner, int(4000 / every), a=LOST)
        held[every] = planner.moving["a"].held
    assert held[125.0] == pytest.approx(held[250.0], abs=0.03)
