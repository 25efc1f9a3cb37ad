"""Batch planning: splitting, sharing and failures of batches do not change the results of a request."""

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

LIMITS = BatchLimits(100.0, 8)


def new_request(
    *costs: float, group: str = "g", now: float = 0.0, target_ms: float = 1000.0, limits: BatchLimits = LIMITS
) -> BatchedRequest:
    """Returns a request whose deadline comes after four times its latency target."""
    return BatchedRequest(list(costs), group, limits, now, now + target_ms, now + 4 * target_ms)


def new_planner(may_retry: bool = True) -> Planner:
    return Planner(lambda _: may_retry)


def results_of(sent: list[tuple[BatchedRequest, int]]) -> dict[int, tuple[int, int]]:
    """Returns results that identify the inputs they belong to, by position."""
    return {position: (id(request), index) for position, (request, index) in enumerate(sent)}


@given(st.lists(st.floats(0.1, 150), max_size=60))
@settings(deadline=None)
def test_split_keeps_order_and_limits(costs: list[float]) -> None:
    parts = split(costs, LIMITS)
    assert [index for part in parts for index in part] == list(range(len(costs)))
    for part in parts:
        assert len(part) <= 8 and (len(part) == 1 or sum(costs[index] for index in part) <= 100.0)


@given(
    st.integers(0, 10**6),
    st.lists(st.lists(st.floats(1, 60), min_size=1, max_size=20), min_size=1, max_size=6),
)
@settings(max_examples=150, deadline=None)
def test_every_order_of_failures_gives_the_unsplit_results_or_one_failure(
    seed: int, sizes: list[list[float]]
) -> None:
    """Batches of several requests end in random order, with each kind of failure."""
    random_source, planner, now = random.Random(seed), new_planner(), 0.0
    requests = [new_request(*costs) for costs in sizes]
    waiting: list[InputBatch] = []
    cancelled: set[int] = set()
    results_by_request: dict[int, list[RequestResult]] = {id(each): [] for each in requests}
    sent_after_end = 0

    def apply(step: Step) -> None:
        waiting.extend(step.send)
        waiting.extend(batch for _, batch in step.send_later)
        cancelled.update(batch.number for batch in step.cancel)
        for result in step.results:
            results_by_request[id(result.request)].append(result)

    for each in requests:
        apply(planner.add(now, each))
    leaving = random_source.choice(requests)
    for _ in range(400):
        now += 1.0
        apply(planner.tick(now + 50.0))
        if random_source.random() < 0.03 and not leaving.ended:
            apply(planner.client_disconnected(leaving))
            results_by_request[id(leaving)].append(RequestResult(leaving, BatchFailure.ABORTED))
        waiting = [batch for batch in waiting if batch.number not in cancelled]
        if not waiting:
            break
        batch = waiting.pop(random_source.randrange(len(waiting)))
        sent = batch.missing_inputs()
        sent_after_end += any(each.ended for each, _ in sent)
        match random_source.randrange(5):
            case 0:
                complete = results_of(sent)
                planner.add_results(
                    batch,
                    sent,
                    {position: complete[position] for position in complete if random_source.random() < 0.5},
                )
                if not batch.missing_inputs():
                    apply(planner.batch_served(batch, [], {}))
                else:
                    waiting.append(batch)
            case 1:
                apply(planner.batch_failed(now, batch, BatchFailure.REJECTED))
            case 2 if len({id(each) for each, _ in batch.inputs}) > 1:
                apply(planner.input_rejected(batch, "bad"))
            case _:
                apply(planner.batch_served(batch, sent, results_of(sent)))
    assert not sent_after_end
    for each in requests:
        assert len(results_by_request[id(each)]) == 1 and each.ended
        if results_by_request[id(each)][0].failure is None:
            assert each.results == [(id(each), position) for position in range(len(each.costs))]
    assert not planner.in_flight and not planner.open_batches


def test_small_requests_share_a_batch_only_while_engines_are_busy_and_not_for_long() -> None:
    planner = new_planner()
    first, second, third = new_request(5.0), new_request(6.0), new_request(7.0)
    assert len(planner.add(0.0, first).send) == 1
    assert not planner.add(1.0, second).send and not planner.add(2.0, third).send
    flush_at = planner.next_time()
    assert flush_at is not None and flush_at <= 1.0 + MAX_WAIT_SHARE * 1000.0
    (batch,) = planner.tick(flush_at).send
    assert batch.requests() == [second, third] and batch.cost == 13.0


def test_full_batch_is_sent_at_once_and_an_urgent_request_shares_none() -> None:
    planner = new_planner()
    planner.add(0.0, new_request(99.0))
    sent = [batch for _ in range(6) for batch in planner.add(0.0, new_request(20.0)).send]
    assert sent and max(batch.cost for batch in sent) <= 100.0
    urgent = BatchedRequest([5.0], "g", LIMITS, 0.0, 50.0, 60.0)  # deadline before the other latency targets
    planner.add(0.0, new_request(5.0))
    planner.add(0.0, urgent)
    assert all(
        urgent not in batch.requests() or batch.requests() == [urgent]
        for batch in planner.open_batches.values()
    )


def test_invalid_input_affects_no_other_request() -> None:
    planner = new_planner()
    planner.add(0.0, new_request(5.0))
    valid, invalid = new_request(5.0), new_request(6.0)
    planner.add(0.0, valid)
    planner.add(0.0, invalid)
    (batch,) = planner.tick(100.0).send
    own_batches = planner.input_rejected(batch, "too long").send
    assert sorted(len(own_batch.requests()) for own_batch in own_batches) == [1, 1]
    by_request = {own_batch.requests()[0]: own_batch for own_batch in own_batches}
    (result,) = planner.input_rejected(by_request[invalid], "too long").results
    assert result.request is invalid and result.input_error == "too long"
    sent = by_request[valid].missing_inputs()
    assert planner.batch_served(by_request[valid], sent, results_of(sent)).results[0].failure is None


def test_request_with_all_results_is_served_though_an_input_of_its_batch_is_rejected() -> None:
    planner = new_planner()
    planner.add(0.0, new_request(5.0))
    complete, invalid = new_request(5.0), new_request(6.0)
    planner.add(0.0, complete)
    planner.add(0.0, invalid)
    (batch,) = planner.tick(100.0).send
    planner.add_results(batch, batch.missing_inputs(), {0: "result"})
    step = planner.input_rejected(batch, "too long")
    assert [result.request for result in step.results] == [complete] and step.send[0].requests() == [invalid]


def test_last_request_of_a_rejected_batch_is_sent_again_alone() -> None:
    """The invalid input may be of the request whose client has disconnected."""
    planner = new_planner()
    planner.add(0.0, new_request(5.0))
    staying, leaving = new_request(5.0), new_request(6.0)
    planner.add(0.0, staying)
    planner.add(0.0, leaving)
    (batch,) = planner.tick(100.0).send
    planner.client_disconnected(leaving)
    step = planner.input_rejected(batch, "too long")
    assert not step.results and step.send[0].requests() == [staying]


def test_disconnected_client_ends_only_its_own_inputs() -> None:
    planner = new_planner()
    planner.add(0.0, new_request(5.0))
    staying, leaving = new_request(5.0, 5.0), new_request(6.0)
    planner.add(0.0, staying)
    planner.add(0.0, leaving)
    (batch,) = planner.tick(100.0).send
    assert not planner.client_disconnected(leaving).cancel and batch.missing_inputs() == [
        (staying, 0),
        (staying, 1),
    ]
    assert planner.client_disconnected(staying).cancel == [batch]


def test_rejected_request_fails_without_retry_budget_or_time() -> None:
    for may_retry, now in ((False, 0.0), (True, 990.0)):
        planner, request = new_planner(may_retry), new_request(90.0, 90.0)
        first, second = planner.add(0.0, request).send
        step = planner.batch_failed(now, first, BatchFailure.REJECTED)
        assert [result.failure for result in step.results] == [BatchFailure.REJECTED] and step.cancel == [
            second
        ]
        assert not planner.batch_failed(now, second, BatchFailure.REJECTED).results and not planner.in_flight


def test_large_requests_share_no_batch() -> None:
    planner, request = new_planner(), new_request(SMALL_REQUEST_SHARE * 100.0 + 1.0)
    planner.add(0.0, new_request(5.0))
    assert len(planner.add(0.0, request).send) == 1 and not planner.open_batches
