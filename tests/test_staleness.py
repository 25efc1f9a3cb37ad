"""A remembered list: trust by age and turnover, no flood, no loop, drains kept."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from worksmux.api.listing import Line
from worksmux.endpoints.staleness import (
    CachedEndpointList,
    EndpointStatus,
    ProbeReply,
    StoredEndpoint,
    Turnover,
    confidence,
)

HOUR = 3_600_000.0


def line(name: str, kind: str = "k", state: str = "ready", started: float = 0.0) -> Line:
    return Line(name, "127.0.0.1", 1, kind, state, "z", 0, 1.0, started)  # type: ignore[arg-type]


def remembered(
    age: float,
    count: int = 10,
    turnover: Turnover | None = None,
    fronts: int = 1,
    rate: float = 10.0,
    whole: bool = True,
    seed: int = 1,
    state: str = "ready",
) -> CachedEndpointList:
    saved = [StoredEndpoint(line(f"e{at}", state=state), 10 * HOUR - age) for at in range(count)]
    return CachedEndpointList(saved, 0.0, 10 * HOUR, turnover or Turnover(), HOUR, fronts, rate, whole, seed)


def stands(beliefs: CachedEndpointList) -> set[EndpointStatus]:
    return {belief.status for belief in beliefs.endpoints.values()}


def test_trust_falls_with_age_and_faster_with_the_turnover_seen() -> None:
    ages = [1000.0, 60_000.0, HOUR, 24 * HOUR]
    calm, busy = Turnover(100 * HOUR, 1), Turnover(100 * HOUR, 400)
    for seen in (Turnover(), calm, busy):
        found = [confidence(StoredEndpoint(line("a"), -age), 0.0, seen, HOUR) for age in ages]
        assert found == sorted(found, reverse=True)
    assert (
        confidence(StoredEndpoint(line("a"), -HOUR), 0.0, calm, HOUR)
        > 0.9
        > confidence(StoredEndpoint(line("a"), -HOUR), 0.0, busy, HOUR)
    )
    assert confidence(StoredEndpoint(line("a"), HOUR), 0.0, calm, HOUR) == confidence(
        StoredEndpoint(line("a"), -HOUR), 0.0, calm, HOUR
    )


def test_fresh_is_used_older_with_care_and_weeks_old_only_asked() -> None:
    assert stands(remembered(1000.0)) == {EndpointStatus.FRESH}
    assert stands(remembered(HOUR / 4)) == {EndpointStatus.STALE}
    assert stands(remembered(21 * 24 * HOUR)) == {EndpointStatus.UNVERIFIED}
    assert stands(remembered(1000.0, whole=False)) == {EndpointStatus.STALE}


def test_drain_that_was_told_outlives_a_restart_and_any_answer() -> None:
    beliefs = remembered(1000.0, state="draining")
    assert stands(beliefs) == {EndpointStatus.DRAINING} and beliefs.next_time() is None
    beliefs.probe_answered("e0", ProbeReply("e0", "k", 5.0))
    beliefs.served("e0")
    assert stands(beliefs) == {EndpointStatus.DRAINING}


def test_contradiction_drops_at_once_and_a_new_start_is_cold() -> None:
    beliefs = remembered(HOUR)
    assert (
        beliefs.probe_answered("e0", ProbeReply("other", "k", 0.0)).changed[0].status
        is EndpointStatus.CONTRADICTED
    )
    assert beliefs.probe_answered("e1", ProbeReply("e1", "writes now", 0.0)).notes
    step = beliefs.probe_answered("e2", ProbeReply("e2", "k", 99.0))
    assert step.changed[0].status is EndpointStatus.CONFIRMED and step.changed[0].line.started == 99.0
    assert (
        beliefs.probe_answered("e3", ProbeReply("e3", "k", 0.0, draining=True)).changed[0].status
        is EndpointStatus.DRAINING
    )
    assert not beliefs.probe_answered("e0", ProbeReply("e0", "k", 0.0)).changed


def test_silent_engine_is_asked_ever_more_seldom_and_used_once_it_answers() -> None:
    beliefs, now, times = remembered(1000.0, count=1), 0.0, []
    for _ in range(12):
        at = beliefs.next_time()
        assert at is not None
        now = at
        assert [one.id for one in beliefs.tick(now).to_probe] == ["e0"] and beliefs.next_time() is None
        times.append(now)
        beliefs.probe_failed("e0", now)
    pauses = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert (
        all(pause >= 500 for pause in pauses)
        and min(pauses[-4:]) > 10_000
        and stands(beliefs) == {EndpointStatus.UNVERIFIED}
    )
    assert (
        beliefs.probe_answered("e0", ProbeReply("e0", "k", 0.0)).changed[0].status is EndpointStatus.CONFIRMED
    )


def test_attempts_that_fail_together_count_once() -> None:
    beliefs = remembered(1000.0, count=1)
    assert beliefs.unreachable("e0", 0.0).changed and not beliefs.unreachable("e0", 1.0).changed
    assert beliefs.endpoints["e0"].failed_probes == 1 and len(beliefs.due_probes) == 1


def test_hundreds_of_fronts_on_one_list_keep_to_the_rate_together() -> None:
    for age in (1000.0, 60_000.0, HOUR, 24 * HOUR, 21 * 24 * HOUR):
        asked: dict[str, list[float]] = {}
        for seed in range(300):
            beliefs = remembered(age, count=50, fronts=300, rate=50.0, seed=seed)
            while (at := beliefs.next_time()) is not None:
                for one in beliefs.tick(at).to_probe:
                    asked.setdefault(one.id, []).append(at)
        for times in asked.values():
            times.sort()
            most = max(sum(start <= time < start + 1000 for time in times) for start in times)
            assert len(times) == 300 and most <= 50 + 5 * 50**0.5


def test_request_that_waits_has_one_of_each_kind_asked_now() -> None:
    saved = [StoredEndpoint(line(f"{kind}{at}", kind), 0.0) for kind in "rw" for at in range(5)]
    beliefs = CachedEndpointList(saved, 0.0, 1000 * HOUR, Turnover(), HOUR, 100, 1.0, True, 2)
    step = beliefs.probe_early(0.0, ["r", "w"])
    assert sorted(one.kind for one in step.to_probe) == ["r", "w"] and len(beliefs.due_probes) == 8
    asked = step.to_probe[0].id
    beliefs.probe_answered(asked, ProbeReply(asked, step.to_probe[0].kind, 0.0))
    assert beliefs.has_usable(step.to_probe[0].kind)


def test_empty_list_does_not_wipe_a_remembered_fleet() -> None:
    beliefs = remembered(1000.0)
    assert not beliefs.accept_list(empty=True) and not beliefs.superseded
    assert beliefs.accept_list(empty=False) and beliefs.superseded and beliefs.next_time() is None
    assert remembered(0.0, count=0).accept_list(empty=True)


class TrustMachine(RuleBasedStateMachine):
    """A dropped line is never used again, a draining one never becomes ready, no engine is asked without
    end."""

    def __init__(self) -> None:
        super().__init__()
        self.beliefs, self.now = remembered(HOUR / 4, count=4), 0.0
        self.beliefs.endpoints["e3"].status = EndpointStatus.DRAINING
        self.asks: dict[str, int] = {}
        self.heard: dict[str, int] = {}
        self.dropped: set[str] = set()

    @rule(step=st.floats(0, 5000))
    def wait(self, step: float) -> None:
        self.now += step
        for one in self.beliefs.tick(self.now).to_probe:
            self.asks[one.id] = self.asks.get(one.id, 0) + 1

    @rule(
        name=st.sampled_from(["e0", "e1", "e2", "e3"]),
        how=st.sampled_from(["same", "cold", "other", "drains", "refused", "silent", "served"]),
    )
    def hear(self, name: str, how: str) -> None:
        self.heard[name] = self.heard.get(name, 0) + 1
        started = {"cold": self.now + 1}.get(how, 0.0)
        match how:
            case "refused":
                step = self.beliefs.unreachable(name, self.now)
            case "silent":
                step = self.beliefs.probe_failed(name, self.now)
            case "served":
                step = self.beliefs.served(name)
            case _:
                step = self.beliefs.probe_answered(
                    name, ProbeReply("x" if how == "other" else name, "k", started, how == "drains")
                )
        for belief in step.changed:
            if belief.status is EndpointStatus.CONTRADICTED:
                self.dropped.add(belief.line.id)

    @invariant()
    def what_is_out_stays_out(self) -> None:
        for name, belief in self.beliefs.endpoints.items():
            assert name not in self.dropped or belief.status is EndpointStatus.CONTRADICTED
        assert self.beliefs.endpoints["e3"].status is EndpointStatus.DRAINING
        names = [name for _, _, name in self.beliefs.due_probes]
        assert len(names) == len(set(names))
        assert all(times <= 2 + self.heard.get(name, 0) for name, times in self.asks.items())


TestTrust = TrustMachine.TestCase
TestTrust.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
