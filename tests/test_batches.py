"""Batches: whatever the split, the joining and the failures, each call gets what it would unsplit."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from worksmux.batching.planner import (
    MAX_WAIT_SHARE,
    SMALL_REQUEST_SHARE,
    BatchedRequest,
    BatchFailure,
    BatchLimits,
    InputBatch,
    Planner,
    RequestResult,
    Step,
    split,
)

BOUNDS = BatchLimits(100.0, 8)


def call(
    *costs: float, group: str = "g", now: float = 0.0, promised: float = 1000.0, bounds: BatchLimits = BOUNDS
) -> BatchedRequest:
    return BatchedRequest(list(costs), group, bounds, now, now + promised, now + 4 * promised)


def planner(again: bool = True) -> Planner:
    return Planner(lambda _: again)


def answers(asked: list[tuple[BatchedRequest, int]]) -> dict[int, tuple[int, int]]:
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
    waiting: list[InputBatch] = []
    dropped: set[int] = set()
    finals: dict[int, list[RequestResult]] = {id(one): [] for one in calls}
    sent_after_end = 0

    def take(step: Step) -> None:
        waiting.extend(step.send)
        waiting.extend(batch for _, batch in step.send_later)
        dropped.update(batch.number for batch in step.cancel)
        for result in step.results:
            finals[id(result.request)].append(result)

    for one in calls:
        take(plan.add(now, one))
    left = chance.choice(calls)
    for _ in range(400):
        now += 1.0
        take(plan.tick(now + 50.0))
        if chance.random() < 0.03 and not left.ended:
            take(plan.client_disconnected(left))
            finals[id(left)].append(RequestResult(left, BatchFailure.ABORTED))
        waiting = [batch for batch in waiting if batch.number not in dropped]
        if not waiting:
            break
        batch = waiting.pop(chance.randrange(len(waiting)))
        asked = batch.missing_inputs()
        sent_after_end += any(one.ended for one, _ in asked)
        match chance.randrange(5):
            case 0:
                some = answers(asked)
                plan.add_results(batch, asked, {at: some[at] for at in some if chance.random() < 0.5})
                if not batch.missing_inputs():
                    take(plan.batch_served(batch, [], {}))
                else:
                    waiting.append(batch)
            case 1:
                take(plan.batch_failed(now, batch, BatchFailure.REJECTED))
            case 2 if len({id(one) for one, _ in batch.inputs}) > 1:
                take(plan.input_rejected(batch, "bad"))
            case _:
                take(plan.batch_served(batch, asked, answers(asked)))
    assert not sent_after_end
    for one in calls:
        assert len(finals[id(one)]) == 1 and one.ended
        if finals[id(one)][0].failure is None:
            assert one.results == [(id(one), at) for at in range(len(one.costs))]
    assert not plan.in_flight and not plan.open_batches


def test_small_calls_join_only_while_engines_are_busy_and_not_for_long() -> None:
    plan = planner()
    first, second, third = call(5.0), call(6.0), call(7.0)
    assert len(plan.add(0.0, first).send) == 1
    assert not plan.add(1.0, second).send and not plan.add(2.0, third).send
    at = plan.next_time()
    assert at is not None and at <= 1.0 + MAX_WAIT_SHARE * 1000.0
    (batch,) = plan.tick(at).send
    assert batch.requests() == [second, third] and batch.cost == 13.0


def test_full_load_goes_at_once_and_a_hasty_call_is_not_joined() -> None:
    plan = planner()
    plan.add(0.0, call(99.0))
    sent = [batch for _ in range(6) for batch in plan.add(0.0, call(20.0)).send]
    assert sent and max(batch.cost for batch in sent) <= 100.0
    hasty = BatchedRequest([5.0], "g", BOUNDS, 0.0, 50.0, 60.0)  # its time ends before the others are due
    plan.add(0.0, call(5.0))
    plan.add(0.0, hasty)
    assert all(
        hasty not in batch.requests() or batch.requests() == [hasty] for batch in plan.open_batches.values()
    )


def test_one_bad_input_harms_none_of_the_others() -> None:
    plan = planner()
    plan.add(0.0, call(5.0))
    good, bad = call(5.0), call(6.0)
    plan.add(0.0, good)
    plan.add(0.0, bad)
    (batch,) = plan.tick(100.0).send
    alone = plan.input_rejected(batch, "too long").send
    assert sorted(len(one.requests()) for one in alone) == [1, 1]
    by_call = {one.requests()[0]: one for one in alone}
    (result,) = plan.input_rejected(by_call[bad], "too long").results
    assert result.request is bad and result.input_error == "too long"
    asked = by_call[good].missing_inputs()
    assert plan.batch_served(by_call[good], asked, answers(asked)).results[0].failure is None


def test_call_whose_results_came_before_its_load_was_refused_is_delivered() -> None:
    plan = planner()
    plan.add(0.0, call(5.0))
    full, bad = call(5.0), call(6.0)
    plan.add(0.0, full)
    plan.add(0.0, bad)
    (batch,) = plan.tick(100.0).send
    plan.add_results(batch, batch.missing_inputs(), {0: "result"})
    step = plan.input_rejected(batch, "too long")
    assert [result.request for result in step.results] == [full] and step.send[0].requests() == [bad]


def test_call_left_over_of_a_refused_load_goes_out_alone_as_it_may_not_be_the_bad_one() -> None:
    plan = planner()
    plan.add(0.0, call(5.0))
    stays, goes = call(5.0), call(6.0)
    plan.add(0.0, stays)
    plan.add(0.0, goes)
    (batch,) = plan.tick(100.0).send
    plan.client_disconnected(goes)
    step = plan.input_rejected(batch, "too long")
    assert not step.results and step.send[0].requests() == [stays]


def test_client_that_leaves_takes_only_its_own_inputs_along() -> None:
    plan = planner()
    plan.add(0.0, call(5.0))
    stays, goes = call(5.0, 5.0), call(6.0)
    plan.add(0.0, stays)
    plan.add(0.0, goes)
    (batch,) = plan.tick(100.0).send
    assert not plan.client_disconnected(goes).cancel and batch.missing_inputs() == [(stays, 0), (stays, 1)]
    assert plan.client_disconnected(stays).cancel == [batch]


def test_what_could_not_be_served_ends_once_the_budget_or_the_time_is_spent() -> None:
    for again, now in ((False, 0.0), (True, 990.0)):
        plan, one = planner(again), call(90.0, 90.0)
        first, second = plan.add(0.0, one).send
        step = plan.batch_failed(now, first, BatchFailure.REJECTED)
        assert [result.failure for result in step.results] == [BatchFailure.REJECTED] and step.cancel == [
            second
        ]
        assert not plan.batch_failed(now, second, BatchFailure.REJECTED).results and not plan.in_flight


def test_large_calls_are_never_joined() -> None:
    plan, one = planner(), call(SMALL_REQUEST_SHARE * 100.0 + 1.0)
    plan.add(0.0, call(5.0))
    assert len(plan.add(0.0, one).send) == 1 and not plan.open_batches
