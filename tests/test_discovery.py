"""The watch on discovery in scripted time: for how long nothing may be received, whatever becomes of its
calls."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from worksmux.net import clock
from worksmux.node import discovery as watch
from worksmux.node.discovery import Discovery
from worksmux.node.endpoint_list import HOST_LIST_DECODER
from worksmux.policy.state import Engine

TOLD = 6000.0  # a change counts as told that long after discovery had it and could be reached
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FATES = ["refused", "never up", "up and silent", "ended", "503", "corrupt event", "endless"]


class Wire:
    """A connection's transport: takes what is written at once."""

    disconnecting = False

    def __init__(self) -> None:
        self.aborted = False

    def setTcpNoDelay(self, on: bool) -> None: ...

    def unregisterProducer(self) -> None: ...

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        producer.resumeProducing()
        producer.resumeProducing()

    def write(self, data: bytes) -> None: ...

    def abortConnection(self) -> None:
        self.aborted = True


class Calls:
    """Discovery's calls as they are made; `at` are their times in milliseconds."""

    def __init__(self, monkeypatch: Any) -> None:
        self.reactor = MemoryReactorClock()  # type: ignore[no-untyped-call]
        monkeypatch.setattr(clock, "now", lambda: self.reactor.seconds() * 1000)
        self.lists: list[Any] = []
        core: Any = SimpleNamespace(
            forget_gone=list,
            address_changed=lambda *_: None,
            endpoints_updated=self.lists.append,
            id_map=SimpleNamespace(engine=Engine),
        )
        self.discovery = Discovery(("127.0.0.1", 1), core, self.reactor, ["prefill"], ["a"])
        self.wires: list[Wire] = []
        self.at: list[float] = []

    def run(self, ms: float, fate: Any = None) -> None:
        """Lets time go by; each new call meets its fate at once."""
        for _ in range(int(ms / 25)):
            self.reactor.advance(0.025)
            while len(self.at) < len(self.reactor.tcpClients):
                self.at.append(clock.now())
                if fate is not None:
                    self.meet(len(self.at) - 1, fate())

    def up(self, at: int) -> Any:
        connection = self.reactor.tcpClients[at][2].buildProtocol(None)
        self.wires.append(Wire())
        connection.makeConnection(self.wires[-1])
        return connection

    def meet(self, at: int, fate: str) -> None:
        if fate == "refused":
            refused = Failure(error.ConnectionRefusedError())
            self.reactor.tcpClients[at][2].clientConnectionFailed(None, refused)
        elif fate != "never up":
            connection = self.up(at)
            if fate == "ended":
                connection.connectionLost(Failure(error.ConnectionDone()))
            elif fate == "503":
                connection.dataReceived(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
            elif fate == "corrupt event":
                connection.dataReceived(HEAD + chunk(b'{"index": no}\n'))
            elif fate == "endless":
                connection.dataReceived(HEAD + chunk(b'{"index":1,"endpoints":[{"name":"' + b"x" * 4000))


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


@given(st.lists(st.sampled_from(FATES), min_size=1, max_size=8))
@settings(deadline=None, max_examples=60)
def test_failed_watches_are_reopened_in_time(fates: list[str]) -> None:
    """Watches fail in any way, one after the other: silence, a connection that never comes up, one without an
    event, a refusal with its delay.

    Their waits must not add up: whenever discovery can be reached, a call to it follows soon.
    """
    with pytest.MonkeyPatch.context() as patch:
        calls = Calls(patch)
        calls.discovery.start()
        calls.run(25)
        calls.up(0).dataReceived(HEAD + chunk(b"\n"))  # and nothing from then on
        turn = iter(fates * 100)
        calls.run(4 * TOLD, lambda: next(turn))
        gaps = [b - a for a, b in zip(calls.at, calls.at[1:], strict=False)]
        assert gaps[0] <= watch.MAX_WATCH_SILENCE_MS + 2 * watch.POLL_MS
        assert max(gaps[1:]) <= 1.25 * watch.FIRST_EVENT_TIMEOUT_MS + 2 * watch.POLL_MS
        # Two calls after the silence may meet the worst, and a third is made in time.
        assert gaps[0] + 2 * max(gaps[1:]) < 0.85 * TOLD
        assert sum(not wire.aborted for wire in calls.wires) < 8  # descriptors: the oldest are given up


def test_nodes_do_not_call_discovery_at_once(monkeypatch: Any) -> None:
    seconds = []
    for _ in range(30):
        calls = Calls(monkeypatch)
        calls.discovery.start()
        calls.run(3000, lambda: "up and silent")
        seconds.append(round(calls.at[2], -1))
    assert max(seconds.count(one) for one in seconds) < 12 and max(seconds) - min(seconds) > 200


def test_silent_watch_is_kept_until_another_has_an_event(monkeypatch: Any) -> None:
    """A watch falls silent, and another one is opened.

    The silent one is kept until the new one has its first event; between two watches nothing could be
    received.
    """
    calls = Calls(monkeypatch)
    calls.discovery.start()
    calls.run(25)
    old = calls.up(0)
    old.dataReceived(HEAD + chunk(b"\n"))
    calls.run(watch.MAX_WATCH_SILENCE_MS + 300)
    assert len(calls.at) == 2 and not calls.wires[0].aborted
    old.dataReceived(chunk(json.dumps({"index": 7, "snapshot": True, "endpoints": []}).encode() + b"\n"))
    assert calls.discovery.index == 7
    calls.up(1).dataReceived(HEAD + chunk(b"\n"))
    assert calls.wires[0].aborted and not calls.wires[1].aborted


def test_corrupt_event_on_a_new_watch_keeps_the_current_one(monkeypatch: Any) -> None:
    calls = Calls(monkeypatch)
    words: list[bool] = []
    calls.discovery.on_first_event = lambda: words.append(True)
    calls.discovery.start()
    calls.run(25)
    calls.up(0).dataReceived(HEAD + chunk(b"\x00\xff}\n"))
    assert not words  # a node does not begin to serve by that
    calls.run(100)
    calls.up(1).dataReceived(HEAD + chunk(b"\n"))
    calls.discovery.move(("127.0.0.1", 2))
    calls.run(25)
    calls.up(2).dataReceived(HEAD + chunk(b"corrupt\n"))
    assert words and calls.wires[2].aborted and not calls.wires[1].aborted


@pytest.mark.parametrize("indent", [None, 1, 4])
def test_list_on_several_lines_is_parsed(monkeypatch: Any, indent: int | None) -> None:
    calls = Calls(monkeypatch)
    calls.discovery.start()
    calls.run(25)
    connection = calls.up(0)
    connection.dataReceived(HEAD)
    entry = {"name": "e", "address": "127.0.0.1:9", "zone": "a", "type": "prefill"}
    for index in (3, 4):
        text = json.dumps({"index": index, "snapshot": index == 3, "endpoints": [entry]}, indent=indent)
        for at in range(0, len(text) + 1, 7):
            connection.dataReceived(chunk((text + "\n")[at : at + 7].encode()))
        connection.dataReceived(chunk(b"\n"))
        assert calls.discovery.index == index and calls.discovery.current is not None
    assert [event.entries[0].state for event in calls.lists] == ["ready", "ready"]


def test_cut_line_is_corrupt_at_the_next_heartbeat(monkeypatch: Any) -> None:
    calls = Calls(monkeypatch)
    calls.discovery.start()
    calls.run(25)
    connection = calls.up(0)
    connection.dataReceived(HEAD + chunk(b"\n") + chunk(b'{"index":3,"endpo\n'))
    assert not calls.wires[0].aborted
    connection.dataReceived(chunk(b"\n"))
    assert calls.wires[0].aborted


# Silence, lists and moves, each forced at its moment: what is told must be heard 6 s later at the latest.


def entry(name: str, status: str = "SERVING") -> dict[str, Any]:
    return {"name": name, "address": "127.0.0.1:9", "zone": "a", "type": "prefill", "status": status}


def line(index: int, *entries: dict[str, Any], snapshot: bool = False) -> bytes:
    return json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries}).encode() + b"\n"


class Agent:
    """Discovery as one call after the other meets it: `silent` calls say nothing from then on; each later
    one is given what changed after the index that it asks for."""

    def __init__(self, monkeypatch: Any) -> None:
        self.calls = Calls(monkeypatch)
        self.calls.discovery.restore(
            HOST_LIST_DECODER.decode(line(1, entry("e1"), entry("e2"), snapshot=True))
        )
        self.calls.discovery.start()
        self.open: list[Any] = []

    def accept(self) -> Any:
        """The newest call's connection."""
        self.calls.run(25)
        self.open.append(self.calls.up(len(self.calls.reactor.tcpClients) - 1))
        self.open[-1].dataReceived(HEAD)
        return self.open[-1]

    def states(self) -> dict[str, str]:
        found: dict[str, str] = {}
        for event in self.calls.lists:
            if event.scope != "delta":
                found = dict.fromkeys(found, "gone")
            found.update({one.engine.id.decode(): one.state for one in event.entries})
        return found

    def heard_after(self, answer: bytes, at_most: float = TOLD) -> float:
        """Milliseconds until `e2` is known not to be ready, while each new call is answered."""
        begun, seen = clock.now(), len(self.calls.reactor.tcpClients)
        while self.states()["e2"] == "ready":
            self.calls.run(25)
            if len(self.calls.reactor.tcpClients) > seen:
                seen = len(self.calls.reactor.tcpClients)
                connection = self.calls.up(seen - 1)
                connection.dataReceived(HEAD + chunk(answer))
            assert clock.now() - begun <= at_most
        return clock.now() - begun


def beats(agent: Agent, connection: Any, count: int) -> None:
    for _ in range(count):
        connection.dataReceived(chunk(b"\n"))
        agent.calls.run(2000)


DRAINING = line(2, entry("e2", "DRAINING"))


@pytest.mark.parametrize(
    "moment",
    [
        "at start",
        "after 13 s",
        "after an empty line",
        "in mid-object",
        "in mid-line",
        "while another one opens",
    ],
)
def test_drain_missed_by_a_silent_watch_is_received_in_time(monkeypatch: Any, moment: str) -> None:
    agent = Agent(monkeypatch)
    connection = agent.accept()
    match moment:
        case "after 13 s":
            beats(agent, connection, 6)
            connection.dataReceived(chunk(b"\n"))
            agent.calls.run(1000)
        case "after an empty line":
            connection.dataReceived(chunk(b"\n"))
        case "in mid-object":
            connection.dataReceived(chunk(b"\n") + chunk(b'{"index":2,\n "snapshot":false,\n'))
        case "in mid-line":
            connection.dataReceived(chunk(b"\n") + b"2c\r\n" + DRAINING[:30])
        case "while another one opens":
            connection.dataReceived(chunk(b"\n"))
            agent.calls.run(watch.MAX_WATCH_SILENCE_MS + 2 * watch.POLL_MS)
            agent.accept()  # and says nothing either
    assert agent.heard_after(DRAINING) <= 0.9 * TOLD
    assert agent.states() == {"e1": "ready", "e2": "draining"}


def test_snapshot_removes_what_it_omits(monkeypatch: Any) -> None:
    agent = Agent(monkeypatch)
    connection = agent.accept()
    connection.dataReceived(chunk(b"\n") + chunk(line(5, entry("e1"), entry("e3"), snapshot=True)))
    assert agent.states() == {"e1": "ready", "e2": "gone", "e3": "ready"}
    connection.dataReceived(chunk(line(6, entry("e2"))) + chunk(line(7, entry("e1", "DELETED"))))
    assert agent.states() == {"e1": "gone", "e2": "ready", "e3": "ready"}


def test_engine_gone_without_an_address_keeps_its_own(monkeypatch: Any) -> None:
    """An engine is deleted by an entry without an address, and still runs with KV cache.

    It keeps its address, to which releases go.
    """
    agent = Agent(monkeypatch)
    moved: list[Any] = []
    agent.calls.discovery.core.address_changed = lambda *told: moved.append(told)
    gone = {"name": "e2", "status": "DELETED"}
    agent.accept().dataReceived(chunk(b"\n") + chunk(line(2, {**gone, "zone": "a", "type": "prefill"})))
    assert agent.states()["e2"] == "gone" and not moved


@pytest.mark.parametrize("old", ["speaks", "silent", "closed"])
@pytest.mark.parametrize("first", [line(9, entry("e1"), entry("e2", "DRAINING"), snapshot=True), DRAINING])
def test_drain_in_the_first_list_after_a_move_is_received(monkeypatch: Any, old: str, first: bytes) -> None:
    """A new configuration has to be in force 4 s after its signal, so the first list there counts."""
    agent = Agent(monkeypatch)
    connection = agent.accept()
    beats(agent, connection, 1)
    calls = len(agent.calls.reactor.tcpClients)
    agent.calls.discovery.move(("127.0.0.1", 2))
    agent.calls.run(25)
    assert len(agent.calls.reactor.tcpClients) == calls + 1
    if old == "speaks":
        connection.dataReceived(chunk(b"\n"))
    elif old == "closed":
        connection.connectionLost(Failure(error.ConnectionDone()))
    agent.calls.up(calls).dataReceived(HEAD + chunk(first))
    assert agent.states()["e2"] == "draining"
    assert agent.calls.discovery.current is not None


def test_silent_new_address_is_retried_and_the_old_watch_counts(
    monkeypatch: Any,
) -> None:
    agent = Agent(monkeypatch)
    connection = agent.accept()
    beats(agent, connection, 1)
    agent.calls.discovery.move(("127.0.0.1", 2))
    agent.accept()
    connection.dataReceived(chunk(DRAINING))  # the old one still speaks
    assert agent.states()["e2"] == "draining"
    connection.dataReceived(chunk(line(3, entry("e2"))))
    assert (
        agent.heard_after(line(4, entry("e2", "DELETED")), 4000.0) <= 2 * 1.25 * watch.FIRST_EVENT_TIMEOUT_MS
    )
