"""Batches: whatever the split, the joining and the failures, each call gets what it would unsplit."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from worksmux.batching.planner import SMALL, WAIT, Bounds, Call, Done, How, Load, Planner, Step, split

BOUNDS = Bounds(100.0, 8)


def call(
    *costs: float, group: str = "g", now: float = 0.0, promised: float = 1000.0, bounds: Bounds = BOUNDS
) -> Call:
    return Call(list(costs), group, bounds, now, now + promised, now + 4 * promised)


def planner(again: bool = True) -> Planner:
    return Planner(lambda _: again)


def answers(asked: list[tuple[Call, int]]) -> dict[int, tuple[int, int]]:
    return {position: (id(one), at) for position, (one, at) in enumerate(asked)}


@given(st.lists(st.floats(0.1, 150), max_size=60))
@settings(deadline=None)
def test_split_keeps_order_and_bounds(costs: list[float]) -> None:
    parts = split(costs, BOUNDS)
    assert [at for part in parts for at in part] == list(range(len(costs)))
    for part in parts:
        assert len(part) <= 8 and (len(part) == 1 or sum(costs[at] for at in part) <= 100.0)


@given(
    st.integers(0, 10**6),
    st.lists(st.lists(st.floats(1, 60), min_size=1, max_size=20), min_size=1, max_size=6),
)
@settings(max_examples=150, deadline=None)
def test_every_order_of_failures_gives_the_unsplit_results_or_one_failure(
    seed: int, sizes: list[list[float]]
) -> None:
    chance, plan, now = random.Random(seed), planner(), 0.0
    calls = [call(*costs) for costs in sizes]
    waiting: list[Load] = []
    dropped: set[int] = set()
    finals: dict[int, list[Done]] = {id(one): [] for one in calls}
    sent_after_end = 0

    def take(step: Step) -> None:
        waiting.extend(step.send)
        waiting.extend(load for _, load in step.later)
        dropped.update(load.number for load in step.drop)
        for done in step.done:
            finals[id(done.call)].append(done)

    for one in calls:
        take(plan.add(now, one))
    left = chance.choice(calls)
    for _ in range(400):
        now += 1.0
        take(plan.tick(now + 50.0))
        if chance.random() < 0.03 and not left.over:
            take(plan.left(left))
            finals[id(left)].append(Done(left, How.BROKEN))
        waiting = [load for load in waiting if load.number not in dropped]
        if not waiting:
            break
        load = waiting.pop(chance.randrange(len(waiting)))
        asked = load.needs()
        sent_after_end += any(one.over for one, _ in asked)
        match chance.randrange(5):
            case 0:
                some = answers(asked)
                plan.partial(load, asked, {at: some[at] for at in some if chance.random() < 0.5})
                if not load.needs():
                    take(plan.delivered(load, [], {}))
                else:
                    waiting.append(load)
            case 1:
                take(plan.failed(now, load, How.DEFERRED))
            case 2 if len({id(one) for one, _ in load.wanted}) > 1:
                take(plan.refused(load, "bad"))
            case _:
                take(plan.delivered(load, asked, answers(asked)))
    assert not sent_after_end
    for one in calls:
        assert len(finals[id(one)]) == 1 and one.over
        if finals[id(one)][0].how is None:
            assert one.results == [(id(one), at) for at in range(len(one.costs))]
    assert not plan.out and not plan.joining


def test_small_calls_join_only_while_engines_are_busy_and_not_for_long() -> None:
    plan = planner()
    first, second, third = call(5.0), call(6.0), call(7.0)
    assert len(plan.add(0.0, first).send) == 1
    assert not plan.add(1.0, second).send and not plan.add(2.0, third).send
    at = plan.next_time()
    assert at is not None and at <= 1.0 + WAIT * 1000.0
    (load,) = plan.tick(at).send
    assert load.calls() == [second, third] and load.cost == 13.0


def test_full_load_goes_at_once_and_a_hasty_call_is_not_joined() -> None:
    plan = planner()
    plan.add(0.0, call(99.0))
    sent = [load for _ in range(6) for load in plan.add(0.0, call(20.0)).send]
    assert sent and max(load.cost for load in sent) <= 100.0
    hasty = Call([5.0], "g", BOUNDS, 0.0, 50.0, 60.0)  # its time ends before the others are due
    plan.add(0.0, call(5.0))
    plan.add(0.0, hasty)
    assert all(hasty not in load.calls() or load.calls() == [hasty] for load in plan.joining.values())


def test_one_bad_input_harms_none_of_the_others() -> None:
    plan = planner()
    plan.add(0.0, call(5.0))
    good, bad = call(5.0), call(6.0)
    plan.add(0.0, good)
    plan.add(0.0, bad)
    (load,) = plan.tick(100.0).send
    alone = plan.refused(load, "too long").send
    assert sorted(len(one.calls()) for one in alone) == [1, 1]
    by_call = {one.calls()[0]: one for one in alone}
    (done,) = plan.refused(by_call[bad], "too long").done
    assert done.call is bad and done.bad == "too long"
    asked = by_call[good].needs()
    assert plan.delivered(by_call[good], asked, answers(asked)).done[0].how is None


def test_call_whose_results_came_before_its_load_was_refused_is_delivered() -> None:
    plan = planner()
    plan.add(0.0, call(5.0))
    full, bad = call(5.0), call(6.0)
    plan.add(0.0, full)
    plan.add(0.0, bad)
    (load,) = plan.tick(100.0).send
    plan.partial(load, load.needs(), {0: "result"})
    step = plan.refused(load, "too long")
    assert [done.call for done in step.done] == [full] and step.send[0].calls() == [bad]


def test_call_left_over_of_a_refused_load_goes_out_alone_as_it_may_not_be_the_bad_one() -> None:
    plan = planner()
    plan.add(0.0, call(5.0))
    stays, goes = call(5.0), call(6.0)
    plan.add(0.0, stays)
    plan.add(0.0, goes)
    (load,) = plan.tick(100.0).send
    plan.left(goes)
    step = plan.refused(load, "too long")
    assert not step.done and step.send[0].calls() == [stays]


def test_client_that_leaves_takes_only_its_own_inputs_along() -> None:
    plan = planner()
    plan.add(0.0, call(5.0))
    stays, goes = call(5.0, 5.0), call(6.0)
    plan.add(0.0, stays)
    plan.add(0.0, goes)
    (load,) = plan.tick(100.0).send
    assert not plan.left(goes).drop and load.needs() == [(stays, 0), (stays, 1)]
    assert plan.left(stays).drop == [load]


def test_what_could_not_be_served_ends_once_the_budget_or_the_time_is_spent() -> None:
    for again, now in ((False, 0.0), (True, 990.0)):
        plan, one = planner(again), call(90.0, 90.0)
        first, second = plan.add(0.0, one).send
        step = plan.failed(now, first, How.DEFERRED)
        assert [done.how for done in step.done] == [How.DEFERRED] and step.drop == [second]
        assert not plan.failed(now, second, How.DEFERRED).done and not plan.out


def test_large_calls_are_never_joined() -> None:
    plan, one = planner(), call(SMALL * 100.0 + 1.0)
    plan.add(0.0, call(5.0))
    assert len(plan.add(0.0, one).send) == 1 and not plan.joining
