"""The endpoint list: gaps, restarts of the registry, and unknown kinds of engines."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from worksmux.api.listing import Line, Listing
from worksmux.endpoints.list_reader import EndpointListReader
from worksmux.policy.state import Engine


def list_keeper() -> EndpointListReader:
    engines: dict[str, Engine] = {}
    return EndpointListReader(["k"], ["z"], lambda name: engines.setdefault(name, Engine(name.encode(), 1)))


def line(name: str, state: Any = "ready", started: float = 0.0, kind: str = "k") -> Line:
    return Line(name, "127.0.0.1", 1, kind, state, "z", 0, 1.0, started)


def full(serial: int, *lines: Line) -> Listing:
    return Listing("full", serial, None, 1000.0, list(lines))


def delta(serial: int, *lines: Line, previous: int | None = None) -> Listing:
    return Listing("delta", serial, serial - 1 if previous is None else previous, 1000.0, list(lines))


def test_full_list_is_fetched_once_after_a_gap() -> None:
    one = list_keeper()
    one.take(0.0, full(1, line("a"), line("b")))
    told = one.take(0.0, delta(4, line("a", "draining")))
    assert told.fetch and told.event and told.event.entries[0].state == "draining"
    assert not one.take(0.0, delta(5, line("b"), previous=4)).fetch
    assert not one.take(0.0, delta(9, line("b"))).fetch and one.fetching
    assert one.take(0.0, full(9, line("b"))).event and not one.fetching and one.ready_count == 1


def test_older_delta_is_ignored_but_restarted_registry_is_accepted() -> None:
    one = list_keeper()
    one.take(0.0, full(5, line("a")))
    assert one.take(0.0, delta(5, line("a", "gone"))).event is None and one.take(0.0, full(3)).event is None
    one.connected()
    told = one.take(0.0, full(1, line("a")))
    assert told.event and one.serial == 1
    one.take(0.0, full(7, line("a")))
    one.connected()
    old = full(3, line("b"))
    old.now = 900.0  # its clock is behind: an old copy of the registry
    assert one.take(0.0, old).event is None and one.serial == 7


def test_listing_an_engine_again_is_no_restart() -> None:
    one = list_keeper()
    first = one.take(5000.0, full(1, line("a", started=900.0))).event
    again = one.take(9000.0, full(2, line("a", started=900.0))).event
    later = one.take(9000.0, full(3, line("a", started=990.0))).event
    assert first and again and later
    assert (
        first.entries[0].started == again.entries[0].started == 4900.0 and later.entries[0].started == 8990.0
    )


def test_engine_of_unknown_kind_is_ignored() -> None:
    one = list_keeper()
    told = one.take(0.0, full(1, line("a"), line("b", kind="new")))
    assert (
        told.event
        and [entry.engine.id for entry in told.event.entries] == [b"a"]
        and told.notes[0] == "engine b ignored: kind new is not in the settings"
    )
    told = one.take(0.0, delta(2, line("a", kind="new")))
    assert told.event and told.event.entries[0].state == "gone"


@given(
    st.lists(
        st.tuples(
            st.booleans(),
            st.integers(1, 12),
            st.sampled_from("abc"),
            st.sampled_from(["ready", "draining", "gone"]),
        ),
        max_size=30,
    )
)
def test_events_agree_with_the_keeper_state(
    steps: list[tuple[bool, int, str, str]],
) -> None:
    one, believed = list_keeper(), {}  # type: ListKeeper, dict[bytes, str]
    for whole, serial, name, state in steps:
        told = one.take(0.0, full(serial, line(name, state)) if whole else delta(serial, line(name, state)))
        if told.event:
            if told.event.scope == "full":
                believed = dict.fromkeys(believed, "gone")
            believed |= {entry.engine.id: entry.state for entry in told.event.entries}
        assert {name.encode(): known.line.state for name, known in one.known.items()} == believed
