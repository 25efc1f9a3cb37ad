"""Empty, halved and late endpoint lists, and endpoints that flap."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from worksmux.api.listing import Line, Listing
from worksmux.endpoints.endpoint_list import EndpointList
from worksmux.endpoints.flap_damping import MAX_HELD_FRACTION, SUPPRESS_THRESHOLD, FlapDamping
from worksmux.policy.events import EndpointEntry
from worksmux.policy.state import Engine

CONFIRMATION_MS, HALF_LIFE_MS = 1000.0, 4000.0


def new_endpoint_list() -> EndpointList:
    engines: dict[str, Engine] = {}
    return EndpointList(
        ["k"],
        ["z"],
        lambda name: engines.setdefault(name, Engine(name.encode(), 1)),
        CONFIRMATION_MS,
        HALF_LIFE_MS,
    )


def line(name: str, state: str = "ready") -> Line:
    return Line(name, "127.0.0.1", 1, "k", state, "z")  # type: ignore[arg-type]


def full(serial: int, *names: str, now: float = 0.0) -> Listing:
    return Listing("full", serial, None, now, [line(name) for name in names])


def apply_entries(view: dict[str, str], scope: str, entries: list[EndpointEntry]) -> None:
    if scope == "full":
        view.update(dict.fromkeys(view, "gone"))
    view.update({entry.engine.id.decode(): entry.state for entry in entries})


def test_empty_list_is_applied_only_after_the_confirmation_time() -> None:
    """A registry that has lost its data sends empty lists while engines are in use."""
    endpoint_list = new_endpoint_list()
    endpoint_list.take(0.0, full(1, "a", "b"))
    assert (
        endpoint_list.take(10.0, full(2)).event is None
        and endpoint_list.next_time() == 10.0 + CONFIRMATION_MS / 4
    )
    assert endpoint_list.tick(300.0) == (None, True) and endpoint_list.reader.ready_count == 2
    assert endpoint_list.take(500.0, full(3)).event is None
    result = endpoint_list.take(10.0 + CONFIRMATION_MS, full(4))
    assert result.event is not None and endpoint_list.reader.ready_count == 0


def test_full_list_ends_the_confirmation_of_an_empty_list() -> None:
    endpoint_list = new_endpoint_list()
    endpoint_list.take(0.0, full(1, "a", "b"))
    endpoint_list.take(10.0, full(2))
    assert endpoint_list.take(20.0, full(3, "a", "b")).event is not None
    assert endpoint_list.take(30.0 + CONFIRMATION_MS, full(4)).event is None  # the confirmation starts again


def test_halved_list_is_applied_and_requested_again_once() -> None:
    endpoint_list, view = new_endpoint_list(), {}  # type: EndpointList, dict[str, str]
    apply_entries(view, "full", endpoint_list.take(0.0, full(1, "a", "b", "c")).event.entries)  # type: ignore[union-attr]
    result = endpoint_list.take(10.0, full(2, "a"))
    assert result.event and result.notes and endpoint_list.tick(10.0 + CONFIRMATION_MS)[1]
    assert endpoint_list.take(20.0, full(3, "a")).event and endpoint_list.next_time() is None


def test_lateness_is_measured_against_the_least_delayed_list() -> None:
    endpoint_list = new_endpoint_list()
    endpoint_list.take(1000.0, full(1, "a", now=90_000.0))
    endpoint_list.take(2000.0, full(2, "a", now=91_000.0))
    assert endpoint_list.lateness_ms == 0.0
    endpoint_list.take(9000.0, full(3, "a", now=92_000.0))
    assert endpoint_list.lateness_ms == 6000.0


def test_flapping_engine_is_held_back_until_it_is_stable() -> None:
    endpoint_list, names = new_endpoint_list(), [f"e{index}" for index in range(8)]
    endpoint_list.take(0.0, full(1, *names))
    serial, policy_states = 1, []
    for step in range(6):
        now = 100.0 * (step + 1)
        endpoint_list.take(now, Listing("delta", serial + 1, serial, 0.0, [line("e0", "gone")]))
        event = endpoint_list.take(
            now + 50, Listing("delta", serial + 2, serial + 1, 0.0, [line("e0")])
        ).event
        assert event is not None
        policy_states.append(event.entries[0].state)
        serial += 2
    assert policy_states[:3] == ["ready"] * 3 and policy_states[-1] == "draining"
    due_ms = endpoint_list.next_time()
    assert due_ms is not None and due_ms < 700 + 2 * HALF_LIFE_MS
    event, _ = endpoint_list.tick(due_ms)
    assert (
        event
        and [entry.state for entry in event.entries] == ["ready"]
        and endpoint_list.damping.held_count == 0
    )


def test_registry_that_makes_all_engines_flap_cannot_empty_the_fleet() -> None:
    """The registry alternates between the whole fleet and half of it, again and again."""
    endpoint_list, names = new_endpoint_list(), [f"e{index}" for index in range(20)]
    view: dict[str, str] = {}
    for step in range(30):
        listed = names[: 10 if step % 2 else 20]
        event = endpoint_list.take(10.0 * step, full(step + 1, *listed)).event
        assert event is not None
        apply_entries(view, "full", event.entries)
        ready = sum(state == "ready" for state in view.values())
        assert ready >= (1 - MAX_HELD_FRACTION) * len(listed)


def test_penalty_decays_and_its_record_is_forgotten() -> None:
    damping = FlapDamping(HALF_LIFE_MS)
    for index in range(int(SUPPRESS_THRESHOLD) + 1):
        damping.record_departure("a", float(index))
    assert not damping.admit("a", 10.0, 10, 0)
    assert damping.admit("a", 10.0 + 3 * HALF_LIFE_MS, 10, 1) and damping.held_count == 0
    for index in range(1000):
        damping.record_departure(f"e{index}", 1e6 + index * HALF_LIFE_MS)
    assert len(damping.records) < 100


class EndpointListMachine(RuleBasedStateMachine):
    """Random lists and changes.

    The policy gets no engine as ready that the list in force does not list as ready, keeps some ready engine,
    and in the end gets every ready engine.
    """

    names = st.sampled_from([f"e{index}" for index in range(6)])

    def __init__(self) -> None:
        super().__init__()
        self.now, self.serial = 0.0, 1
        self.registry_states = {f"e{index}": "ready" for index in range(6)}
        self.endpoint_list, self.view = new_endpoint_list(), {}  # type: EndpointList, dict[str, str]
        self.listed: dict[str, str] = {}  # by the list in force
        self.send_full(dict(self.registry_states))

    def send_full(self, states: dict[str, str]) -> None:
        self.serial += 1
        lines = [line(name, state) for name, state in states.items() if state != "gone"]
        event = self.endpoint_list.take(self.now, Listing("full", self.serial, None, self.now, lines)).event
        if event is not None:
            apply_entries(self.view, "full", event.entries)
            self.listed = dict(states)

    @rule(name=names, state=st.sampled_from(["ready", "draining", "gone"]))
    def change(self, name: str, state: str) -> None:
        self.registry_states[name] = state
        self.serial += 1
        message = Listing("delta", self.serial, self.serial - 1, self.now, [line(name, state)])
        event = self.endpoint_list.take(self.now, message).event
        assert event is not None
        apply_entries(self.view, "delta", event.entries)
        self.listed[name] = state

    @rule(count=st.integers(0, 6))
    def send_part_of_the_list(self, count: int) -> None:
        self.send_full(dict(list(self.registry_states.items())[:count]))

    @rule(step=st.floats(1, 3000))
    def wait(self, step: float) -> None:
        self.now += step
        event, _ = self.endpoint_list.tick(self.now)
        if event is not None:
            apply_entries(self.view, "delta", event.entries)

    @rule()
    def settle(self) -> None:
        """No change for a long time, then a correct list: no engine is held back."""
        self.now += 10 * HALF_LIFE_MS
        self.send_full(dict(self.registry_states))
        if "ready" in self.registry_states.values():
            ready = {name for name, state in self.view.items() if state == "ready"}
            assert ready == {name for name, state in self.registry_states.items() if state == "ready"}

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
    """Random lists and changes after a start from a cached list.

    No engine is used unless a cached entry or the list in force has it as ready. An endpoint that is cached
    as draining stays draining until the registry lists it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.endpoint_list, self.view, self.listed = new_endpoint_list(), {}, {}
        self.registry_states["e5"] = "draining"
        entries = []
        for name, state in self.registry_states.items():
            entry = self.endpoint_list.reader.add_cached(
                0.0, 0.0, line(name), state, as_just_started=name < "e3"
            )
            assert entry is not None
            entries.append(entry)
        self.endpoint_list.add_cached(entries)
        apply_entries(self.view, "cached", entries)
        self.listed = dict(self.registry_states)


TestCacheToRegistry = CacheToRegistryMachine.TestCase
TestCacheToRegistry.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
