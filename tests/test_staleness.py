"""The cached endpoint list: confidence by age and turnover, bounded probing, draining endpoints."""

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

HOUR_MS = 3_600_000.0


def line(name: str, kind: str = "k", state: str = "ready", started: float = 0.0) -> Line:
    return Line(name, "127.0.0.1", 1, kind, state, "z", 0, 1.0, started)  # type: ignore[arg-type]


def cached_list(
    age_ms: float,
    count: int = 10,
    turnover: Turnover | None = None,
    nodes: int = 1,
    probe_rate: float = 10.0,
    complete: bool = True,
    seed: int = 1,
    state: str = "ready",
) -> CachedEndpointList:
    stored = [StoredEndpoint(line(f"e{index}", state=state), 10 * HOUR_MS - age_ms) for index in range(count)]
    return CachedEndpointList(
        stored, 0.0, 10 * HOUR_MS, turnover or Turnover(), HOUR_MS, nodes, probe_rate, complete, seed
    )


def statuses(cached: CachedEndpointList) -> set[EndpointStatus]:
    return {endpoint.status for endpoint in cached.endpoints.values()}


def test_confidence_falls_with_age_and_faster_with_turnover() -> None:
    ages = [1000.0, 60_000.0, HOUR_MS, 24 * HOUR_MS]
    calm, busy = Turnover(100 * HOUR_MS, 1), Turnover(100 * HOUR_MS, 400)
    for turnover in (Turnover(), calm, busy):
        confidences = [confidence(StoredEndpoint(line("a"), -age), 0.0, turnover, HOUR_MS) for age in ages]
        assert confidences == sorted(confidences, reverse=True)
    assert (
        confidence(StoredEndpoint(line("a"), -HOUR_MS), 0.0, calm, HOUR_MS)
        > 0.9
        > confidence(StoredEndpoint(line("a"), -HOUR_MS), 0.0, busy, HOUR_MS)
    )
    assert confidence(StoredEndpoint(line("a"), HOUR_MS), 0.0, calm, HOUR_MS) == confidence(
        StoredEndpoint(line("a"), -HOUR_MS), 0.0, calm, HOUR_MS
    )


def test_status_at_start_follows_from_the_age_of_the_entry() -> None:
    assert statuses(cached_list(1000.0)) == {EndpointStatus.FRESH}
    assert statuses(cached_list(HOUR_MS / 4)) == {EndpointStatus.STALE}
    assert statuses(cached_list(21 * 24 * HOUR_MS)) == {EndpointStatus.UNVERIFIED}
    assert statuses(cached_list(1000.0, complete=False)) == {EndpointStatus.STALE}


def test_draining_endpoint_stays_draining_after_a_restart() -> None:
    cached = cached_list(1000.0, state="draining")
    assert statuses(cached) == {EndpointStatus.DRAINING} and cached.next_time() is None
    cached.probe_answered("e0", ProbeReply("e0", "k", 5.0))
    cached.served("e0")
    assert statuses(cached) == {EndpointStatus.DRAINING}


def test_probe_reply_confirms_contradicts_or_updates_the_entry() -> None:
    cached = cached_list(HOUR_MS)
    assert (
        cached.probe_answered("e0", ProbeReply("other", "k", 0.0)).changed[0].status
        is EndpointStatus.CONTRADICTED
    )
    assert cached.probe_answered("e1", ProbeReply("e1", "writes now", 0.0)).notes
    update = cached.probe_answered("e2", ProbeReply("e2", "k", 99.0))
    assert update.changed[0].status is EndpointStatus.CONFIRMED and update.changed[0].line.started == 99.0
    assert (
        cached.probe_answered("e3", ProbeReply("e3", "k", 0.0, draining=True)).changed[0].status
        is EndpointStatus.DRAINING
    )
    assert not cached.probe_answered("e0", ProbeReply("e0", "k", 0.0)).changed


def test_silent_engine_is_probed_after_growing_pauses_until_it_answers() -> None:
    cached, now, times = cached_list(1000.0, count=1), 0.0, []
    for _ in range(12):
        due_ms = cached.next_time()
        assert due_ms is not None
        now = due_ms
        assert [engine_line.id for engine_line in cached.tick(now).to_probe] == [
            "e0"
        ] and cached.next_time() is None
        times.append(now)
        cached.probe_failed("e0", now)
    pauses = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert (
        all(pause >= 500 for pause in pauses)
        and min(pauses[-4:]) > 10_000
        and statuses(cached) == {EndpointStatus.UNVERIFIED}
    )
    assert (
        cached.probe_answered("e0", ProbeReply("e0", "k", 0.0)).changed[0].status is EndpointStatus.CONFIRMED
    )


def test_attempts_that_fail_together_count_as_one_failure() -> None:
    cached = cached_list(1000.0, count=1)
    assert cached.unreachable("e0", 0.0).changed and not cached.unreachable("e0", 1.0).changed
    assert cached.endpoints["e0"].failed_probes == 1 and len(cached.due_probes) == 1


def test_300_nodes_share_the_probe_rate_of_an_engine() -> None:
    """All nodes of a fleet restart with the same cached list at once.

    Each engine must get one probe from each node, and at most little more per second than
    the configured rate.
    """
    for age in (1000.0, 60_000.0, HOUR_MS, 24 * HOUR_MS, 21 * 24 * HOUR_MS):
        probed: dict[str, list[float]] = {}
        for seed in range(300):
            cached = cached_list(age, count=50, nodes=300, probe_rate=50.0, seed=seed)
            while (due_ms := cached.next_time()) is not None:
                for engine_line in cached.tick(due_ms).to_probe:
                    probed.setdefault(engine_line.id, []).append(due_ms)
        for times in probed.values():
            times.sort()
            max_per_second = max(sum(start <= time < start + 1000 for time in times) for start in times)
            assert len(times) == 300 and max_per_second <= 50 + 5 * 50**0.5


def test_waiting_request_probes_one_engine_of_each_kind_early() -> None:
    stored = [StoredEndpoint(line(f"{kind}{index}", kind), 0.0) for kind in "rw" for index in range(5)]
    cached = CachedEndpointList(stored, 0.0, 1000 * HOUR_MS, Turnover(), HOUR_MS, 100, 1.0, True, 2)
    update = cached.probe_early(0.0, ["r", "w"])
    assert (
        sorted(engine_line.kind for engine_line in update.to_probe) == ["r", "w"]
        and len(cached.due_probes) == 8
    )
    probed = update.to_probe[0].id
    cached.probe_answered(probed, ProbeReply(probed, update.to_probe[0].kind, 0.0))
    assert cached.has_usable(update.to_probe[0].kind)


def test_empty_list_does_not_replace_the_cached_one() -> None:
    """A registry that has lost its data sends an empty list while a node uses its cached list."""
    cached = cached_list(1000.0)
    assert not cached.accept_list(empty=True) and not cached.superseded
    assert cached.accept_list(empty=False) and cached.superseded and cached.next_time() is None
    assert cached_list(0.0, count=0).accept_list(empty=True)


class CachedListMachine(RuleBasedStateMachine):
    """Random events at a cached list.

    A contradicted endpoint is never used again, a draining endpoint never becomes ready, and the number of
    probes of an engine is bounded by its events.
    """

    def __init__(self) -> None:
        super().__init__()
        self.cached, self.now = cached_list(HOUR_MS / 4, count=4), 0.0
        self.cached.endpoints["e3"].status = EndpointStatus.DRAINING
        self.probes: dict[str, int] = {}
        self.events: dict[str, int] = {}
        self.dropped: set[str] = set()

    @rule(step=st.floats(0, 5000))
    def wait(self, step: float) -> None:
        self.now += step
        for engine_line in self.cached.tick(self.now).to_probe:
            self.probes[engine_line.id] = self.probes.get(engine_line.id, 0) + 1

    @rule(
        name=st.sampled_from(["e0", "e1", "e2", "e3"]),
        event_name=st.sampled_from(["same", "cold", "other", "drains", "refused", "silent", "served"]),
    )
    def event(self, name: str, event_name: str) -> None:
        self.events[name] = self.events.get(name, 0) + 1
        started = {"cold": self.now + 1}.get(event_name, 0.0)
        match event_name:
            case "refused":
                update = self.cached.unreachable(name, self.now)
            case "silent":
                update = self.cached.probe_failed(name, self.now)
            case "served":
                update = self.cached.served(name)
            case _:
                update = self.cached.probe_answered(
                    name,
                    ProbeReply("x" if event_name == "other" else name, "k", started, event_name == "drains"),
                )
        for endpoint in update.changed:
            if endpoint.status is EndpointStatus.CONTRADICTED:
                self.dropped.add(endpoint.line.id)

    @invariant()
    def dropped_endpoints_stay_dropped(self) -> None:
        for name, endpoint in self.cached.endpoints.items():
            assert name not in self.dropped or endpoint.status is EndpointStatus.CONTRADICTED
        assert self.cached.endpoints["e3"].status is EndpointStatus.DRAINING
        names = [name for _, _, name in self.cached.due_probes]
        assert len(names) == len(set(names))
        assert all(probe_count <= 2 + self.events.get(name, 0) for name, probe_count in self.probes.items())


TestCachedList = CachedListMachine.TestCase
TestCachedList.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
