"""Tests the replicated key-value state that results from the log's commands."""

from __future__ import annotations

import msgspec

from worksmux.consensus.entries import COMMAND, Configuration, Entry, Snapshot, next_entry
from worksmux.consensus.state_machine import KeyValueState, Put


def apply_put(state: KeyValueState, put: Put, last: Entry | Snapshot) -> Entry:
    """Applies a command that follows `last`, and returns its entry."""
    entry = next_entry(last, 1, COMMAND, msgspec.msgpack.encode(put))
    state.apply(entry)
    return entry


def test_put_that_builds_on_an_outdated_version_is_ignored() -> None:
    """Two writers read the same version and both write.

    The second write must not overwrite the first unseen.
    """
    state = KeyValueState()
    first_entry = apply_put(state, Put("plan", b"one", 0), Snapshot())
    second_entry = apply_put(state, Put("plan", b"late", 0), first_entry)
    assert state.values["plan"].value == b"one" and state.index == 2
    apply_put(state, Put("plan", b"two", 1), second_entry)
    assert state.values["plan"].value == b"two"


def test_unreadable_or_too_large_commands_change_nothing() -> None:
    state = KeyValueState()
    assert state.apply(next_entry(Snapshot(), 1, COMMAND, b"\xc1")) == ""
    assert not apply_put(state, Put("x", b"y" * 70_000), Snapshot(1)).term == 0 and not state.values


def test_restored_snapshot_gives_the_same_state() -> None:
    state, other = KeyValueState(), KeyValueState()
    last = apply_put(state, Put("a", b"1"), Snapshot())
    apply_put(state, Put("b", b"2"), last)
    other.restore(Snapshot(state.index, 1, 0, Configuration(), state.snapshot_data()))
    assert (other.index, other.values, other.state_hash()) == (state.index, state.values, state.state_hash())
