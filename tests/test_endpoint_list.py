"""Endpoint lists that are empty, halved or late, and endpoints that flap."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from worksmux.api.listing import Line, Listing
from worksmux.endpoints.endpoint_list import EndpointList
from worksmux.endpoints.flap_damping import MAX_HELD_FRACTION, SUPPRESS_THRESHOLD, FlapDamping
from worksmux.policy.events import EndpointEntry
from worksmux.policy.state import Engine

DOUBT_MS, HALF_LIFE_MS = 1000.0, 4000.0


def empty_list() -> EndpointList:
    engines: dict[str, Engine] = {}
    return EndpointList(
        ["k"], ["z"], lambda name: engines.setdefault(name, Engine(name.encode(), 1)), DOUBT_MS, HALF_LIFE_MS
    )


def line(name: str, state: str = "ready") -> Line:
    return Line(name, "127.0.0.1", 1, "k", state, "z")  # type: ignore[arg-type]


def full(serial: int, *names: str, now: float = 0.0) -> Listing:
    return Listing("full", serial, None, now, [line(name) for name in names])


def apply(view: dict[str, str], scope: str, entries: list[EndpointEntry]) -> None:
    if scope == "full":
        view.update(dict.fromkeys(view, "gone"))
    view.update({entry.engine.id.decode(): entry.state for entry in entries})


def test_empty_list_is_followed_only_after_the_time_of_doubt() -> None:
    """A registry that has lost its data sends empty lists while engines are in use."""
    endpoint_list = empty_list()
    endpoint_list.take(0.0, full(1, "a", "b"))
    assert (
        endpoint_list.take(10.0, full(2)).event is None and endpoint_list.next_time() == 10.0 + DOUBT_MS / 4
    )
    assert endpoint_list.tick(300.0) == (None, True) and endpoint_list.reader.ready_count == 2
    assert endpoint_list.take(500.0, full(3)).event is None
    result = endpoint_list.take(10.0 + DOUBT_MS, full(4))
    assert result.event is not None and endpoint_list.reader.ready_count == 0


def test_full_list_ends_the_doubt() -> None:
    endpoint_list = empty_list()
    endpoint_list.take(0.0, full(1, "a", "b"))
    endpoint_list.take(10.0, full(2))
    assert endpoint_list.take(20.0, full(3, "a", "b")).event is not None
    assert endpoint_list.take(30.0 + DOUBT_MS, full(4)).event is None  # the doubt begins anew


def test_halved_list_is_followed_and_requested_again_once() -> None:
    endpoint_list, view = empty_list(), {}  # type: EndpointList, dict[str, str]
    apply(view, "full", endpoint_list.take(0.0, full(1, "a", "b", "c")).event.entries)  # type: ignore[union-attr]
    result = endpoint_list.take(10.0, full(2, "a"))
    assert result.event and result.notes and endpoint_list.tick(10.0 + DOUBT_MS)[1]
    assert endpoint_list.take(20.0, full(3, "a")).event and endpoint_list.next_time() is None


def test_lateness_is_measured_against_the_promptest_list() -> None:
    endpoint_list = empty_list()
    endpoint_list.take(1000.0, full(1, "a", now=90_000.0))
    endpoint_list.take(2000.0, full(2, "a", now=91_000.0))
    assert endpoint_list.lateness_ms == 0.0
    endpoint_list.take(9000.0, full(3, "a", now=92_000.0))
    assert endpoint_list.lateness_ms == 6000.0


def test_flapping_engine_is_held_back_until_it_stays() -> None:
    endpoint_list, names = empty_list(), [f"e{at}" for at in range(8)]
    endpoint_list.take(0.0, full(1, *names))
    serial, shown = 1, []
    for turn in range(6):
        now = 100.0 * (turn + 1)
        endpoint_list.take(now, Listing("delta", serial + 1, serial, 0.0, [line("e0", "gone")]))
        event = endpoint_list.take(
            now + 50, Listing("delta", serial + 2, serial + 1, 0.0, [line("e0")])
        ).event
        assert event is not None
        shown.append(event.entries[0].state)
        serial += 2
    assert shown[:3] == ["ready"] * 3 and shown[-1] == "draining"
    at = endpoint_list.next_time()
    assert at is not None and at < 700 + 2 * HALF_LIFE_MS
    event, _ = endpoint_list.tick(at)
    assert (
        event
        and [entry.state for entry in event.entries] == ["ready"]
        and endpoint_list.damping.held_count == 0
    )


def test_registry_that_makes_all_engines_flap_cannot_empty_the_fleet() -> None:
    """The registry alternates between the whole fleet and half of it, again and again."""
    endpoint_list, names = empty_list(), [f"e{at}" for at in range(20)]
    view: dict[str, str] = {}
    for turn in range(30):
        listed = names[: 10 if turn % 2 else 20]
        event = endpoint_list.take(10.0 * turn, full(turn + 1, *listed)).event
        assert event is not None
        apply(view, "full", event.entries)
        ready = sum(state == "ready" for state in view.values())
        assert ready >= (1 - MAX_HELD_FRACTION) * len(listed)


def test_penalty_decays_and_its_record_is_forgotten() -> None:
    damping = FlapDamping(HALF_LIFE_MS)
    for at in range(int(SUPPRESS_THRESHOLD) + 1):
        damping.record_departure("a", float(at))
    assert not damping.admit("a", 10.0, 10, 0)
    assert damping.admit("a", 10.0 + 3 * HALF_LIFE_MS, 10, 1) and damping.held_count == 0
    for at in range(1000):
        damping.record_departure(f"e{at}", 1e6 + at * HALF_LIFE_MS)
    assert len(damping.records) < 100


class EndpointListMachine(RuleBasedStateMachine):
    """The module never sees an engine as ready that the list in force does not call ready, never loses the
    fleet to one list, and in the end sees all that is ready."""

    names = st.sampled_from([f"e{at}" for at in range(6)])

    def __init__(self) -> None:
        super().__init__()
        self.now, self.serial = 0.0, 1
        self.truth = {f"e{at}": "ready" for at in range(6)}
        self.endpoint_list, self.view = empty_list(), {}  # type: EndpointList, dict[str, str]
        self.listed: dict[str, str] = {}  # as the list in force has it
        self.send_full(dict(self.truth))

    def send_full(self, states: dict[str, str]) -> None:
        self.serial += 1
        lines = [line(name, state) for name, state in states.items() if state != "gone"]
        event = self.endpoint_list.take(self.now, Listing("full", self.serial, None, self.now, lines)).event
        if event is not None:
            apply(self.view, "full", event.entries)
            self.listed = dict(states)

    @rule(name=names, state=st.sampled_from(["ready", "draining", "gone"]))
    def change(self, name: str, state: str) -> None:
        self.truth[name] = state
        self.serial += 1
        message = Listing("delta", self.serial, self.serial - 1, self.now, [line(name, state)])
        event = self.endpoint_list.take(self.now, message).event
        assert event is not None
        apply(self.view, "delta", event.entries)
        self.listed[name] = state

    @rule(part=st.integers(0, 6))
    def whole_list(self, part: int) -> None:
        self.send_full(dict(list(self.truth.items())[:part]))

    @rule(step=st.floats(1, 3000))
    def wait(self, step: float) -> None:
        self.now += step
        event, _ = self.endpoint_list.tick(self.now)
        if event is not None:
            apply(self.view, "delta", event.entries)

    @rule()
    def settle(self) -> None:
        """All quiet for long, and a true list: nothing stays held back."""
        self.now += 10 * HALF_LIFE_MS
        self.send_full(dict(self.truth))
        if "ready" in self.truth.values():
            ready = {name for name, state in self.view.items() if state == "ready"}
            assert ready == {name for name, state in self.truth.items() if state == "ready"}

    @invariant()
    def only_listed_engines_are_used(self) -> None:
        for name, state in self.view.items():
            assert state != "ready" or self.listed.get(name) == "ready"

    @invariant()
    def fleet_is_never_empty(self) -> None:
        if "ready" in self.listed.values():
            assert "ready" in self.view.values()


TestEndpointList = EndpointListMachine.TestCase
TestEndpointList.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


class CacheToRegistryMachine(EndpointListMachine):
    """The same, beginning with a cached list.

    Nothing is used that neither a cached entry nor the list in force calls ready, and an endpoint that is
    cached as draining stays so until the registry lists it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.endpoint_list, self.view, self.listed = empty_list(), {}, {}
        self.truth["e5"] = "draining"
        entries = []
        for name, state in self.truth.items():
            entry = self.endpoint_list.reader.add_cached(
                0.0, 0.0, line(name), state, as_just_started=name < "e3"
            )
            assert entry is not None
            entries.append(entry)
        self.endpoint_list.add_cached(entries)
        apply(self.view, "cached", entries)
        self.listed = dict(self.truth)


TestCacheToRegistry = CacheToRegistryMachine.TestCase
TestCacheToRegistry.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
