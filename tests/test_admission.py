"""Admission control: fair queues, concurrency limits, retry budgets, load shedding, and a retry storm."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from worksmux.admission.concurrency_limit import ConcurrencyLimit
from worksmux.admission.controller import (
    AdmissionController,
    AdmissionRequest,
    AdmissionSettings,
    ClassSettings,
    RejectReason,
)
from worksmux.admission.fair_queue import DeficitRoundRobin, FairQueue
from worksmux.admission.overload import LoadShedder, Pressure
from worksmux.admission.retry_budget import RejectionHistory, RetryAfterSchedule, RetryBudget

ALLOW_ALL = lambda cost: True  # noqa: E731


def new_controller(**changed: float) -> AdmissionController:
    """Returns a controller with two request classes in pool a and one in pool b."""
    classes = [
        ClassSettings("cheap", 1.0, 1.0, 100.0, 2000.0, 50, 1000.0, "a"),
        ClassSettings("dear", 4.0, 3.0, 100.0, 2000.0, 50, 1000.0, "a"),
        ClassSettings("other", 2.0, 1.0, 100.0, 2000.0, 50, 1000.0, "b"),
    ]
    return AdmissionController(AdmissionSettings(classes, 0.1, 5.0, 100.0, 5000.0, 200.0, 2000.0), 1)


def new_request(
    request_class: int = 0,
    caller: str = "c",
    cost: float = 50.0,
    now: float = 0.0,
    body: int = 0,
    is_retry: bool = False,
) -> AdmissionRequest:
    """Returns a request with a latency target of 1 s and a deadline of 4 s."""
    return AdmissionRequest(
        request_class, caller, cost, now, now + 1000.0, now + 4000.0, is_retry, body or random.getrandbits(60)
    )


# Fair queues.


@given(st.lists(st.tuples(st.integers(0, 5), st.floats(1, 100)), min_size=1, max_size=120))
@settings(max_examples=100, deadline=None)
def test_flow_gets_its_share_within_a_quantum_and_an_item(items: list[tuple[int, float]]) -> None:
    queue: FairQueue[tuple[int, float]] = FairQueue(100.0, 1e9, 10**6)
    for key, cost in items:
        queue.put(key, (key, cost), cost)
    served_cost = dict.fromkeys(range(6), 0.0)
    while queue.count:
        busy = set(queue.flows)  # while all of these wait, none falls behind
        before = dict(served_cost)
        while set(queue.flows) == busy:
            item = queue.pop_if(ALLOW_ALL)
            assert item is not None
            served_cost[item[0]] += item[1]
            gains = [served_cost[key] - before[key] for key in busy]
            assert max(gains) - min(gains) <= 2 * 100.0 + 100.0
    assert (
        sum(served_cost.values()) == sum(cost for _, cost in items)
        or abs(sum(served_cost.values()) - sum(cost for _, cost in items)) < 1e-6
    )


@given(
    st.lists(
        st.tuples(st.sampled_from(["put", "next", "drop"]), st.integers(0, 4), st.floats(1, 60)), max_size=150
    )
)
@settings(max_examples=100, deadline=None)
def test_queue_keeps_its_limits_and_its_sums(steps: list[tuple[str, int, float]]) -> None:
    queue: FairQueue[int] = FairQueue(60.0, 300.0, 8)
    queued_items = {}
    for number, (operation, key, cost) in enumerate(steps):
        if operation == "put":
            queued, displaced = queue.put(key, number, cost)
            for other in displaced:
                del queued_items[other]
            if queued:
                queued_items[number] = key, queued
        elif operation == "next":
            popped = queue.pop_if(ALLOW_ALL)
            assert (popped is None) == (not queued_items)
            queued_items.pop(popped, None)  # type: ignore[arg-type]
        elif queued_items:
            number, (key, queued) = next(iter(queued_items.items()))
            queue.remove(key, queued)
            del queued_items[number]
        assert queue.count == len(queued_items) <= 8 and queue.cost <= 300.0 + 1e-6
        assert abs(queue.cost - sum(queued.cost for _, queued in queued_items.values())) < 1e-6


def test_flood_displaces_its_own_items_only() -> None:
    queue: FairQueue[str] = FairQueue(10.0, 1000.0, 100)
    for number in range(200):
        queue.put("flood", f"f{number}", 10.0)
    queued, displaced = queue.put("light", "l", 10.0)
    assert queued and displaced == ["f99"] and queue.put("flood", "more", 10.0) == (None, [])


def test_queues_of_one_pool_share_by_weight() -> None:
    first, second = FairQueue[str](10.0, 1e9, 1000), FairQueue[str](10.0, 1e9, 1000)
    for _ in range(100):
        first.put("a", "one", 10.0)
        second.put("a", "two", 10.0)
    scheduler = DeficitRoundRobin([first, second], [1.0, 3.0], 10.0)
    popped = [scheduler.pop_if(ALLOW_ALL) for _ in range(40)]
    assert popped.count("two") == 30


def test_item_that_must_wait_stays_the_next() -> None:
    queue: FairQueue[str] = FairQueue(100.0, 1e9, 10)
    queue.put("big", "big", 100.0)
    queue.put("small", "small", 1.0)
    assert queue.pop_if(lambda cost: cost < 50) is None and queue.pop_if(ALLOW_ALL) == "big"


# Concurrency limits.


def run_server(
    capacity: int, service_ms: float, length_ms: float = 20_000.0, max_open: int = 10_000
) -> ConcurrencyLimit:
    """Simulates a server of `capacity` items at once that is kept busy as far as the limit allows."""
    limit, now = ConcurrencyLimit(10.0, 20.0, 1000.0), 0.0
    running: list[tuple[float, float]] = []
    waiting: list[float] = []
    while now < length_ms:
        while limit.allows(10.0) and len(running) + len(waiting) < max_open:
            limit.sent(now, 10.0)
            waiting.append(now)
        while waiting and len(running) < capacity:
            running.append((now + service_ms, waiting.pop(0)))
        running.sort()
        now, sent_at = running.pop(0)
        limit.ended(now, 10.0, now - sent_at, True)
    return limit


def test_limit_settles_near_the_capacity() -> None:
    for capacity in (5, 20, 80):
        limit = run_server(capacity, 50.0, 60_000.0)
        assert 0.9 * capacity <= limit.limit / 10.0 <= 2.5 * capacity + 6
        assert abs(limit.throughput(60_000.0) - capacity * 10.0 / 50.0) < 0.25 * capacity * 10.0 / 50.0


def test_unused_limit_does_not_grow() -> None:
    assert run_server(100, 50.0, max_open=2).limit <= 8 * 10.0


def test_rejected_attempts_shrink_the_limit_once_per_step() -> None:
    limit = ConcurrencyLimit(10.0, 1000.0, 1000.0)
    for _ in range(10):
        limit.sent(0.0, 10.0)
        limit.ended(1.0, 10.0, 1.0, False)
    assert limit.limit == 900.0


# Retries.


@given(st.lists(st.booleans(), max_size=400))
@settings(max_examples=60, deadline=None)
def test_retries_never_exceed_their_ratio_of_first_attempts(kinds: list[bool]) -> None:
    budget, first_attempts, retries = RetryBudget(0.1, 5.0), 0, 0
    for is_first in kinds:
        if is_first:
            budget.first_attempt()
            first_attempts += 1
        else:
            retries += budget.try_retry()
        assert retries <= 0.1 * first_attempts + 5.0


def test_rejected_request_is_recognized_for_a_time() -> None:
    history = RejectionHistory(1000.0, 10)
    history.record(0.0, 7)
    assert history.contains(500.0, 7) and history.contains(1500.0, 7) and not history.contains(4000.0, 7)
    for key in range(1000):
        history.record(5000.0, key)
    assert len(history) <= 20


def test_rejected_requests_return_no_faster_than_they_are_served() -> None:
    schedule = RetryAfterSchedule(100.0, 60_000.0, 1)
    returns = sorted(schedule.retry_after_ms(0.0, 10.0, 1.0, 0.0) for _ in range(500))  # 1 served per 10 ms
    assert returns[-1] > 4000.0
    assert max(sum(start <= at < start + 1000 for at in returns) for start in returns) < 2 * 100


# Load shedding.


def test_least_valuable_class_is_shed_first_and_the_most_valuable_never_completely() -> None:
    shedder = LoadShedder([5.0, 1.0, 3.0], 200.0, 2000.0)
    for step in range(100):
        shedder.update(10.0 * step, Pressure(lag=2.0))
        shares = [shedder.shed_share(request_class) for request_class in (1, 2, 0)]
        assert shares == sorted(shares, reverse=True)
    assert shares == [1.0, 1.0, 0.5] and shedder.sheds(1, 0.99)
    shedder.update(1100.0, Pressure(lag=0.9))  # between the thresholds: the level stays
    assert shedder.level == 2.5
    for step in range(60):
        shedder.update(1200.0 + 100 * step, Pressure(lag=0.1))
    assert shedder.level == 0.0


# The controller.


def test_request_that_would_be_served_too_late_is_rejected_at_once() -> None:
    controller = new_controller()
    first = new_request()
    assert controller.arrived(0.0, first).admitted == [first]
    controller.ended(100.0, first, 100.0, True)  # half a token per millisecond
    requests = [new_request(cost=100.0, now=100.0, caller=f"c{number}") for number in range(40)]
    results = [controller.arrived(100.0, each) for each in requests]
    reasons = [each.reason for result in results for each in result.rejected]
    assert RejectReason.TOO_LATE in reasons and sum(queue.cost for queue in controller.queues) < 2000.0
    assert all(each.retry_after_ms >= 100.0 for result in results for each in result.rejected)


def test_request_that_waited_too_long_is_never_sent() -> None:
    controller = new_controller()
    requests = [new_request(cost=100.0) for _ in range(6)]
    for each in requests:
        controller.arrived(0.0, each)
    tick_at = controller.next_time()
    assert tick_at == 1000.0
    late = controller.tick(tick_at).rejected
    assert (
        {each.reason for each in late} == {RejectReason.TOO_LATE}
        and len(late) == 4
        and controller.next_time() is None
    )
    assert not controller.ended(1001.0, requests[0], 1001.0, False).admitted


def test_request_classes_share_their_pool_by_weight() -> None:
    controller, now, served = new_controller(), 0.0, [0, 0, 0]
    in_flight: list[AdmissionRequest] = []
    for step in range(4000):
        now += 1.0
        for request_class in (0, 1, 2):
            in_flight += controller.arrived(
                now, new_request(request_class, f"c{step % 7}", 10.0, now)
            ).admitted
        in_flight += controller.tick(now).admitted
        if step % 2:
            ended = [each for each in in_flight if each.request_class != 2][:1]
            ended += [each for each in in_flight if each.request_class == 2]
            for each in ended:
                in_flight.remove(each)
                served[each.request_class] += 1
                in_flight += controller.ended(now, each, now - each.arrived_at, True).admitted
    assert 2.0 < served[1] / served[0] < 4.0 and served[2] > 3900


def test_retry_storm_is_kept_to_its_ratio() -> None:
    """All engines are busy, 300 requests arrive, and all that were rejected return at once.

    No client marks its request as a retry, so the controller must recognize them and admit no more than the
    budget.
    """
    controller, now = new_controller(), 0.0
    controller.arrived(now, new_request(cost=100.0))  # these two stay in flight
    controller.arrived(now, new_request(cost=100.0))
    rejections = []
    for number in range(300):
        now += 1.0
        rejections += controller.arrived(
            now, new_request(body=1000 + number, cost=100.0, now=now, caller=f"{number}")
        ).rejected
    passed = 0
    for rejection in rejections:
        retry = new_request(body=rejection.request.content_hash, cost=100.0, now=now)
        passed += not [
            each
            for each in controller.arrived(now, retry).rejected
            if each.reason is RejectReason.RETRY_BUDGET_EMPTY
        ]
    assert len(rejections) > 200 and passed <= 5 + 0.1 * 300


def test_retry_is_admitted_while_engines_are_idle() -> None:
    """The same request is rejected 200 times while no other request is in flight.

    A retry that could be sent at once must not need a token, or idle engines would reject it for ever.
    """
    controller, now = new_controller(), 0.0
    for _ in range(200):
        controller.rejections.record(now, 9)
        now += 500.0
        retry = new_request(body=9, now=now)
        assert controller.arrived(now, retry).admitted == [retry]
        controller.ended(now + 20.0, retry, 20.0, True)


def test_overloaded_gateway_rejects_with_that_reason() -> None:
    controller = new_controller()
    for step in range(50):
        controller.update_pressure(10.0 * step, Pressure(sockets=3.0))
    assert controller.arrived(500.0, new_request(0)).rejected[0].reason is RejectReason.GATEWAY_OVERLOADED
