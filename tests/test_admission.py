"""Shares, limits, repeats and brown-out: each on a state built by hand, and in a simulated flood."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from worksmux.admission.concurrency_limit import Limit
from worksmux.admission.controller import Asked, Gate, GateSettings, Share, Why
from worksmux.admission.fair_queue import Lines, Shared
from worksmux.admission.overload import Brownout, Pressure
from worksmux.admission.retry_budget import Advice, Budget, Repeats

ANY = lambda cost: True  # noqa: E731


def gate(**changed: float) -> Gate:
    shares = [
        Share("cheap", 1.0, 1.0, 100.0, 2000.0, 50, 1000.0, "a"),
        Share("dear", 4.0, 3.0, 100.0, 2000.0, 50, 1000.0, "a"),
        Share("other", 2.0, 1.0, 100.0, 2000.0, 50, 1000.0, "b"),
    ]
    return Gate(GateSettings(shares, 0.1, 5.0, 100.0, 5000.0, 200.0, 2000.0), 1)


def asked(
    request_class: int = 0,
    caller: str = "c",
    cost: float = 50.0,
    now: float = 0.0,
    body: int = 0,
    repeat: bool = False,
) -> Asked:
    return Asked(
        request_class, caller, cost, now, now + 1000.0, now + 4000.0, repeat, body or random.getrandbits(60)
    )


# Shares.


@given(st.lists(st.tuples(st.integers(0, 5), st.floats(1, 100)), min_size=1, max_size=120))
@settings(max_examples=100, deadline=None)
def test_every_flow_gets_its_share_within_a_quantum_and_an_item(items: list[tuple[int, float]]) -> None:
    lines: Lines[tuple[int, float]] = Lines(100.0, 1e9, 10**6)
    for key, cost in items:
        lines.put(key, (key, cost), cost)
    served = dict.fromkeys(range(6), 0.0)
    while lines.count:
        busy = set(lines.flows)  # as long as all of these wait, none is behind
        before = dict(served)
        while set(lines.flows) == busy:
            item = lines.next(ANY)
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
def test_line_never_holds_more_than_its_bound_and_counts_right(steps: list[tuple[str, int, float]]) -> None:
    lines: Lines[int] = Lines(60.0, 300.0, 8)
    held = {}
    for number, (what, key, cost) in enumerate(steps):
        if what == "put":
            place, pushed = lines.put(key, number, cost)
            for other in pushed:
                del held[other]
            if place:
                held[number] = key, place
        elif what == "next":
            got = lines.next(ANY)
            assert (got is None) == (not held)
            held.pop(got, None)  # type: ignore[arg-type]
        elif held:
            number, (key, place) = next(iter(held.items()))
            lines.drop(key, place)
            del held[number]
        assert lines.count == len(held) <= 8 and lines.cost <= 300.0 + 1e-6
        assert abs(lines.cost - sum(place.cost for _, place in held.values())) < 1e-6


def test_flood_pushes_out_its_own_and_a_light_caller_always_finds_room() -> None:
    lines: Lines[str] = Lines(10.0, 1000.0, 100)
    for at in range(200):
        lines.put("flood", f"f{at}", 10.0)
    place, pushed = lines.put("light", "l", 10.0)
    assert place and pushed == ["f99"] and lines.put("flood", "more", 10.0) == (None, [])


def test_lines_of_one_pool_share_by_weight() -> None:
    one, two = Lines[str](10.0, 1e9, 1000), Lines[str](10.0, 1e9, 1000)
    for _ in range(100):
        one.put("a", "one", 10.0)
        two.put("a", "two", 10.0)
    both = Shared([one, two], [1.0, 3.0], 10.0)
    got = [both.next(ANY) for _ in range(40)]
    assert got.count("two") == 30


def test_what_does_not_fit_keeps_its_turn() -> None:
    lines: Lines[str] = Lines(100.0, 1e9, 10)
    lines.put("big", "big", 100.0)
    lines.put("small", "small", 1.0)
    assert lines.next(lambda cost: cost < 50) is None and lines.next(ANY) == "big"


# Limits.


def played(capacity: int, service: float, length: float = 20_000.0, hold: int = 10_000) -> Limit:
    """A station of `capacity` places, kept busy as far as the limit lets."""
    limit, now = Limit(10.0, 20.0, 1000.0), 0.0
    running: list[tuple[float, float]] = []
    waiting: list[float] = []
    while now < length:
        while limit.fits(10.0) and len(running) + len(waiting) < hold:
            limit.sent(now, 10.0)
            waiting.append(now)
        while waiting and len(running) < capacity:
            running.append((now + service, waiting.pop(0)))
        running.sort()
        now, since = running.pop(0)
        limit.ended(now, 10.0, now - since, True)
    return limit


def test_limit_settles_near_what_the_station_carries_without_a_line() -> None:
    for capacity in (5, 20, 80):
        limit = played(capacity, 50.0, 60_000.0)
        assert 0.9 * capacity <= limit.limit / 10.0 <= 2.5 * capacity + 6
        assert abs(limit.rate(60_000.0) - capacity * 10.0 / 50.0) < 0.25 * capacity * 10.0 / 50.0


def test_limit_that_is_not_used_does_not_grow() -> None:
    assert played(100, 50.0, hold=2).limit <= 8 * 10.0


def test_attempts_turned_away_shrink_the_limit_once_in_a_while() -> None:
    limit = Limit(10.0, 1000.0, 1000.0)
    for _ in range(10):
        limit.sent(0.0, 10.0)
        limit.ended(1.0, 10.0, 1.0, False)
    assert limit.limit == 900.0


# Repeats.


@given(st.lists(st.booleans(), max_size=400))
@settings(max_examples=60, deadline=None)
def test_repeats_never_exceed_their_ratio_of_first_attempts(kinds: list[bool]) -> None:
    budget, firsts, repeats = Budget(0.1, 5.0), 0, 0
    for first in kinds:
        if first:
            budget.first()
            firsts += 1
        else:
            repeats += budget.repeat()
        assert repeats <= 0.1 * firsts + 5.0


def test_who_was_refused_is_known_whatever_it_says_and_forgotten_in_time() -> None:
    repeats = Repeats(1000.0, 10)
    repeats.refused(0.0, 7)
    assert repeats.known(500.0, 7) and repeats.known(1500.0, 7) and not repeats.known(4000.0, 7)
    for key in range(1000):
        repeats.refused(5000.0, key)
    assert len(repeats.young) + len(repeats.old) <= 20


def test_those_turned_away_come_back_spread_and_no_faster_than_is_served() -> None:
    advice = Advice(100.0, 60_000.0, 1)
    back = sorted(advice.stay_away(0.0, 10.0, 1.0, 0.0) for _ in range(500))  # one in 10 ms
    assert back[-1] > 4000.0
    assert max(sum(start <= one < start + 1000 for one in back) for start in back) < 2 * 100


# Brown-out.


def test_the_front_sheds_the_cheapest_first_and_never_all_of_the_dearest() -> None:
    brown = Brownout([5.0, 1.0, 3.0], 200.0, 2000.0)
    for step in range(100):
        brown.note(10.0 * step, Pressure(lag=2.0))
        shares = [brown.shed_share(at) for at in (1, 2, 0)]
        assert shares == sorted(shares, reverse=True)
    assert shares == [1.0, 1.0, 0.5] and brown.sheds(1, 0.99)
    brown.note(1100.0, Pressure(lag=0.9))  # between the bounds: it stays
    assert brown.level == 2.5
    for step in range(60):
        brown.note(1200.0 + 100 * step, Pressure(lag=0.1))
    assert brown.level == 0.0


# The gate.


def test_call_that_could_not_be_served_in_time_is_turned_away_at_once() -> None:
    one = gate()
    first = asked()
    assert one.arrived(0.0, first).go == [first]
    one.ended(100.0, first, 100.0, True)  # half a token a millisecond
    held = [asked(cost=100.0, now=100.0, caller=f"c{at}") for at in range(40)]
    told = [one.arrived(100.0, each) for each in held]
    refused = [each.why for step in told for each in step.refused]
    assert Why.LATE in refused and sum(line.cost for line in one.lines) < 2000.0
    assert all(each.stay_away >= 100.0 for step in told for each in step.refused)


def test_what_waited_too_long_is_never_sent() -> None:
    one = gate()
    calls = [asked(cost=100.0) for _ in range(6)]
    for each in calls:
        one.arrived(0.0, each)
    at = one.next_time()
    assert at == 1000.0
    late = one.tick(at).refused
    assert {each.why for each in late} == {Why.LATE} and len(late) == 4 and one.next_time() is None
    assert not one.ended(1001.0, calls[0], 1001.0, False).go


def test_dear_request_class_gets_its_share_of_the_pool_and_another_pool_is_untouched() -> None:
    one, now, sent = gate(), 0.0, [0, 0, 0]
    out: list[Asked] = []
    for step in range(4000):
        now += 1.0
        for request_class in (0, 1, 2):
            out += one.arrived(now, asked(request_class, f"c{step % 7}", 10.0, now)).go
        out += one.tick(now).go
        if step % 2:
            done = [each for each in out if each.request_class != 2][:1]
            done += [each for each in out if each.request_class == 2]
            for each in done:
                out.remove(each)
                sent[each.request_class] += 1
                out += one.ended(now, each, now - each.arrived, True).go
    assert 2.0 < sent[1] / sent[0] < 4.0 and sent[2] > 3900


def test_storm_of_repeats_is_kept_to_its_ratio() -> None:
    one, now = gate(), 0.0
    one.arrived(now, asked(cost=100.0))  # these two are out for the whole time
    one.arrived(now, asked(cost=100.0))
    held = []
    for number in range(300):
        now += 1.0
        held += one.arrived(now, asked(body=1000 + number, cost=100.0, now=now, caller=f"{number}")).refused
    taken = 0
    for refused in held:  # all come back at once, and say nothing of it
        again = asked(body=refused.asked.body, cost=100.0, now=now)
        taken += not [each for each in one.arrived(now, again).refused if each.why is Why.REPEATS]
    assert len(held) > 200 and taken <= 5 + 0.1 * 300


def test_repeat_is_let_in_where_engines_stand_idle() -> None:
    """Guards against a fleet that does nothing while all who were refused once are refused for ever."""
    one, now = gate(), 0.0
    for _ in range(200):
        one.repeats.refused(now, 9)
        now += 500.0
        again = asked(body=9, now=now)
        assert one.arrived(now, again).go == [again]
        one.ended(now + 20.0, again, 20.0, True)


def test_front_that_is_short_says_so() -> None:
    one = gate()
    for step in range(50):
        one.pressed(10.0 * step, Pressure(sockets=3.0))
    assert one.arrived(500.0, asked(0)).refused[0].why is Why.SHORT
