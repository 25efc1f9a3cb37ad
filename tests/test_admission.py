"""Fair queues, concurrency limits, retry budgets and load shedding: unit tests, and a simulated flood."""

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


def controller(**changed: float) -> AdmissionController:
    shares = [
        ClassSettings("cheap", 1.0, 1.0, 100.0, 2000.0, 50, 1000.0, "a"),
        ClassSettings("dear", 4.0, 3.0, 100.0, 2000.0, 50, 1000.0, "a"),
        ClassSettings("other", 2.0, 1.0, 100.0, 2000.0, 50, 1000.0, "b"),
    ]
    return AdmissionController(AdmissionSettings(shares, 0.1, 5.0, 100.0, 5000.0, 200.0, 2000.0), 1)


def request(
    request_class: int = 0,
    caller: str = "c",
    cost: float = 50.0,
    now: float = 0.0,
    body: int = 0,
    is_retry: bool = False,
) -> AdmissionRequest:
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
    served = dict.fromkeys(range(6), 0.0)
    while queue.count:
        busy = set(queue.flows)  # as long as all of these wait, none is behind
        before = dict(served)
        while set(queue.flows) == busy:
            item = queue.pop_if(ALLOW_ALL)
            assert item is not None
            served[item[0]] += item[1]
            gains = [served[key] - before[key] for key in busy]
            assert max(gains) - min(gains) <= 2 * 100.0 + 100.0
    assert (
        sum(served.values()) == sum(cost for _, cost in items)
        or abs(sum(served.values()) - sum(cost for _, cost in items)) < 1e-6
    )


@given(
    st.lists(
        st.tuples(st.sampled_from(["put", "next", "drop"]), st.integers(0, 4), st.floats(1, 60)), max_size=150
    )
)
@settings(max_examples=100, deadline=None)
def test_queue_keeps_its_bounds_and_its_sums(steps: list[tuple[str, int, float]]) -> None:
    queue: FairQueue[int] = FairQueue(60.0, 300.0, 8)
    held = {}
    for number, (what, key, cost) in enumerate(steps):
        if what == "put":
            queued, displaced = queue.put(key, number, cost)
            for other in displaced:
                del held[other]
            if queued:
                held[number] = key, queued
        elif what == "next":
            got = queue.pop_if(ALLOW_ALL)
            assert (got is None) == (not held)
            held.pop(got, None)  # type: ignore[arg-type]
        elif held:
            number, (key, queued) = next(iter(held.items()))
            queue.remove(key, queued)
            del held[number]
        assert queue.count == len(held) <= 8 and queue.cost <= 300.0 + 1e-6
        assert abs(queue.cost - sum(queued.cost for _, queued in held.values())) < 1e-6


def test_flood_displaces_its_own_items_only() -> None:
    queue: FairQueue[str] = FairQueue(10.0, 1000.0, 100)
    for at in range(200):
        queue.put("flood", f"f{at}", 10.0)
    queued, displaced = queue.put("light", "l", 10.0)
    assert queued and displaced == ["f99"] and queue.put("flood", "more", 10.0) == (None, [])


def test_queues_of_one_pool_share_by_weight() -> None:
    one, two = FairQueue[str](10.0, 1e9, 1000), FairQueue[str](10.0, 1e9, 1000)
    for _ in range(100):
        one.put("a", "one", 10.0)
        two.put("a", "two", 10.0)
    scheduler = DeficitRoundRobin([one, two], [1.0, 3.0], 10.0)
    got = [scheduler.pop_if(ALLOW_ALL) for _ in range(40)]
    assert got.count("two") == 30


def test_item_that_may_not_go_keeps_its_turn() -> None:
    queue: FairQueue[str] = FairQueue(100.0, 1e9, 10)
    queue.put("big", "big", 100.0)
    queue.put("small", "small", 1.0)
    assert queue.pop_if(lambda cost: cost < 50) is None and queue.pop_if(ALLOW_ALL) == "big"


# Concurrency limits.


def run_station(
    capacity: int, service: float, length: float = 20_000.0, hold: int = 10_000
) -> ConcurrencyLimit:
    """A station that serves `capacity` items at once, kept busy as far as the limit allows."""
    limit, now = ConcurrencyLimit(10.0, 20.0, 1000.0), 0.0
    running: list[tuple[float, float]] = []
    waiting: list[float] = []
    while now < length:
        while limit.allows(10.0) and len(running) + len(waiting) < hold:
            limit.sent(now, 10.0)
            waiting.append(now)
        while waiting and len(running) < capacity:
            running.append((now + service, waiting.pop(0)))
        running.sort()
        now, since = running.pop(0)
        limit.ended(now, 10.0, now - since, True)
    return limit


def test_limit_settles_near_the_capacity() -> None:
    for capacity in (5, 20, 80):
        limit = run_station(capacity, 50.0, 60_000.0)
        assert 0.9 * capacity <= limit.limit / 10.0 <= 2.5 * capacity + 6
        assert abs(limit.throughput(60_000.0) - capacity * 10.0 / 50.0) < 0.25 * capacity * 10.0 / 50.0


def test_unused_limit_does_not_grow() -> None:
    assert run_station(100, 50.0, hold=2).limit <= 8 * 10.0


def test_rejected_attempts_shrink_the_limit_once_in_a_step() -> None:
    limit = ConcurrencyLimit(10.0, 1000.0, 1000.0)
    for _ in range(10):
        limit.sent(0.0, 10.0)
        limit.ended(1.0, 10.0, 1.0, False)
    assert limit.limit == 900.0


# Retries.


@given(st.lists(st.booleans(), max_size=400))
@settings(max_examples=60, deadline=None)
def test_retries_never_exceed_their_ratio_of_first_attempts(kinds: list[bool]) -> None:
    budget, firsts, repeats = RetryBudget(0.1, 5.0), 0, 0
    for first in kinds:
        if first:
            budget.first_attempt()
            firsts += 1
        else:
            repeats += budget.try_retry()
        assert repeats <= 0.1 * firsts + 5.0


def test_rejected_request_is_recognized_for_a_time() -> None:
    history = RejectionHistory(1000.0, 10)
    history.record(0.0, 7)
    assert history.contains(500.0, 7) and history.contains(1500.0, 7) and not history.contains(4000.0, 7)
    for key in range(1000):
        history.record(5000.0, key)
    assert len(history) <= 20


def test_rejected_requests_return_no_faster_than_they_are_served() -> None:
    schedule = RetryAfterSchedule(100.0, 60_000.0, 1)
    back = sorted(schedule.retry_after_ms(0.0, 10.0, 1.0, 0.0) for _ in range(500))  # one in 10 ms
    assert back[-1] > 4000.0
    assert max(sum(start <= one < start + 1000 for one in back) for start in back) < 2 * 100


# Load shedding.


def test_least_valuable_class_is_shed_first_and_the_most_valuable_never_wholly() -> None:
    shedder = LoadShedder([5.0, 1.0, 3.0], 200.0, 2000.0)
    for step in range(100):
        shedder.update(10.0 * step, Pressure(lag=2.0))
        shares = [shedder.shed_share(at) for at in (1, 2, 0)]
        assert shares == sorted(shares, reverse=True)
    assert shares == [1.0, 1.0, 0.5] and shedder.sheds(1, 0.99)
    shedder.update(1100.0, Pressure(lag=0.9))  # between the bounds: it stays
    assert shedder.level == 2.5
    for step in range(60):
        shedder.update(1200.0 + 100 * step, Pressure(lag=0.1))
    assert shedder.level == 0.0


# The controller.


def test_request_that_would_be_served_too_late_is_rejected_at_once() -> None:
    one = controller()
    first = request()
    assert one.arrived(0.0, first).admitted == [first]
    one.ended(100.0, first, 100.0, True)  # half a token a millisecond
    held = [request(cost=100.0, now=100.0, caller=f"c{at}") for at in range(40)]
    results = [one.arrived(100.0, each) for each in held]
    refused = [each.reason for result in results for each in result.rejected]
    assert RejectReason.TOO_LATE in refused and sum(queue.cost for queue in one.queues) < 2000.0
    assert all(each.retry_after_ms >= 100.0 for result in results for each in result.rejected)


def test_request_that_waited_too_long_is_never_sent() -> None:
    one = controller()
    calls = [request(cost=100.0) for _ in range(6)]
    for each in calls:
        one.arrived(0.0, each)
    at = one.next_time()
    assert at == 1000.0
    late = one.tick(at).rejected
    assert (
        {each.reason for each in late} == {RejectReason.TOO_LATE}
        and len(late) == 4
        and one.next_time() is None
    )
    assert not one.ended(1001.0, calls[0], 1001.0, False).admitted


def test_request_classes_share_their_pool_by_weight() -> None:
    one, now, sent = controller(), 0.0, [0, 0, 0]
    out: list[AdmissionRequest] = []
    for step in range(4000):
        now += 1.0
        for request_class in (0, 1, 2):
            out += one.arrived(now, request(request_class, f"c{step % 7}", 10.0, now)).admitted
        out += one.tick(now).admitted
        if step % 2:
            done = [each for each in out if each.request_class != 2][:1]
            done += [each for each in out if each.request_class == 2]
            for each in done:
                out.remove(each)
                sent[each.request_class] += 1
                out += one.ended(now, each, now - each.arrived_at, True).admitted
    assert 2.0 < sent[1] / sent[0] < 4.0 and sent[2] > 3900


def test_retry_storm_is_kept_to_its_ratio() -> None:
    """All engines are busy, 300 requests come, and all that were rejected return at once.

    None of them says that it is a retry; they must be recognized, and only the budget may pass.
    """
    one, now = controller(), 0.0
    one.arrived(now, request(cost=100.0))  # these two are out for the whole time
    one.arrived(now, request(cost=100.0))
    held = []
    for number in range(300):
        now += 1.0
        held += one.arrived(
            now, request(body=1000 + number, cost=100.0, now=now, caller=f"{number}")
        ).rejected
    taken = 0
    for refused in held:  # all come back at once, and say nothing of it
        again = request(body=refused.request.content_hash, cost=100.0, now=now)
        taken += not [
            each
            for each in one.arrived(now, again).rejected
            if each.reason is RejectReason.RETRY_BUDGET_EMPTY
        ]
    assert len(held) > 200 and taken <= 5 + 0.1 * 300


def test_retry_is_admitted_where_engines_are_idle() -> None:
    """The same request was rejected 200 times, and nothing else is running.

    A retry that could be sent at once must not need a token, or idle engines would reject it for ever.
    """
    one, now = controller(), 0.0
    for _ in range(200):
        one.rejections.record(now, 9)
        now += 500.0
        again = request(body=9, now=now)
        assert one.arrived(now, again).admitted == [again]
        one.ended(now + 20.0, again, 20.0, True)


def test_short_gateway_gives_overload_as_its_reason() -> None:
    one = controller()
    for step in range(50):
        one.update_pressure(10.0 * step, Pressure(sockets=3.0))
    assert one.arrived(500.0, request(0)).rejected[0].reason is RejectReason.GATEWAY_OVERLOADED
