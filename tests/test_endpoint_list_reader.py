"""The endpoint list reader: gaps, restarts of the registry, and unknown kinds of engines."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from worksmux.api.listing import Line, Listing
from worksmux.endpoints.list_reader import EndpointListReader
from worksmux.policy.state import Engine


def new_reader() -> EndpointListReader:
    engines: dict[str, Engine] = {}
    return EndpointListReader(["k"], ["z"], lambda name: engines.setdefault(name, Engine(name.encode(), 1)))


def line(name: str, state: Any = "ready", started: float = 0.0, kind: str = "k") -> Line:
    return Line(name, "127.0.0.1", 1, kind, state, "z", 0, 1.0, started)


def full(serial: int, *lines: Line) -> Listing:
    return Listing("full", serial, None, 1000.0, list(lines))


def delta(serial: int, *lines: Line, previous: int | None = None) -> Listing:
    return Listing("delta", serial, serial - 1 if previous is None else previous, 1000.0, list(lines))


def test_full_list_is_fetched_once_after_a_gap() -> None:
    reader = new_reader()
    reader.take(0.0, full(1, line("a"), line("b")))
    result = reader.take(0.0, delta(4, line("a", "draining")))
    assert result.fetch and result.event and result.event.entries[0].state == "draining"
    assert not reader.take(0.0, delta(5, line("b"), previous=4)).fetch
    assert not reader.take(0.0, delta(9, line("b"))).fetch and reader.fetching
    assert reader.take(0.0, full(9, line("b"))).event and not reader.fetching and reader.ready_count == 1


def test_older_delta_is_ignored_but_restarted_registry_is_accepted() -> None:
    reader = new_reader()
    reader.take(0.0, full(5, line("a")))
    assert (
        reader.take(0.0, delta(5, line("a", "gone"))).event is None
        and reader.take(0.0, full(3)).event is None
    )
    reader.connected()
    result = reader.take(0.0, full(1, line("a")))
    assert result.event and reader.serial == 1
    reader.take(0.0, full(7, line("a")))
    reader.connected()
    old = full(3, line("b"))
    old.now = 900.0  # the clock is behind: a registry with old data
    assert reader.take(0.0, old).event is None and reader.serial == 7


def test_engine_listed_again_has_not_restarted() -> None:
    reader = new_reader()
    first = reader.take(5000.0, full(1, line("a", started=900.0))).event
    again = reader.take(9000.0, full(2, line("a", started=900.0))).event
    later = reader.take(9000.0, full(3, line("a", started=990.0))).event
    assert first and again and later
    assert (
        first.entries[0].started == again.entries[0].started == 4900.0 and later.entries[0].started == 8990.0
    )


def test_engine_of_unknown_kind_is_ignored() -> None:
    reader = new_reader()
    result = reader.take(0.0, full(1, line("a"), line("b", kind="new")))
    assert (
        result.event
        and [entry.engine.id for entry in result.event.entries] == [b"a"]
        and result.notes[0] == "engine b ignored: kind new is not in the settings"
    )
    result = reader.take(0.0, delta(2, line("a", kind="new")))
    assert result.event and result.event.entries[0].state == "gone"


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
def test_events_agree_with_the_reader_state(
    steps: list[tuple[bool, int, str, str]],
) -> None:
    reader, expected_states = new_reader(), {}  # type: EndpointListReader, dict[bytes, str]
    for is_full, serial, name, state in steps:
        result = reader.take(
            0.0, full(serial, line(name, state)) if is_full else delta(serial, line(name, state))
        )
        if result.event:
            if result.event.scope == "full":
                expected_states = dict.fromkeys(expected_states, "gone")
            expected_states |= {entry.engine.id: entry.state for entry in result.event.entries}
        assert {name.encode(): known.line.state for name, known in reader.known.items()} == expected_states
