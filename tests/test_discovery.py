"""The watch on discovery in scripted time: how long nothing may be heard, whatever becomes of its calls."""
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

TOLD = 6000.0            # a change counts as told that long after discovery had it and could be reached
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FATES = ["refused", "never up", "up and silent", "ended", "503", "nonsense", "endless"]


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
        core: Any = SimpleNamespace(forget_gone=list, moved=lambda *_: None, listed=self.lists.append,
                                    door=SimpleNamespace(engine=lambda name, key: name))
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
            elif fate == "nonsense":
                connection.dataReceived(HEAD + chunk(b'{"index": no}\n'))
            elif fate == "endless":
                connection.dataReceived(HEAD + chunk(b'{"index":1,"endpoints":[{"name":"' + b"x" * 4000))


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


@given(st.lists(st.sampled_from(FATES), min_size=1, max_size=8))
@settings(deadline=None, max_examples=60)
def test_whatever_fails_discovery_is_called_again_well_within_the_time_that_counts(fates: list[str]) -> None:
    """Guards against waits that add up: silence, a connection that never comes up, one that says nothing, a
    pause after a refusal.  A moment when discovery can be reached has a call soon after it."""
    with pytest.MonkeyPatch.context() as patch:
        calls = Calls(patch)
        calls.discovery.start()
        calls.run(25)
        calls.up(0).dataReceived(HEAD + chunk(b"\n"))        # and no word from then on
        turn = iter(fates * 100)
        calls.run(4 * TOLD, lambda: next(turn))
        gaps = [b - a for a, b in zip(calls.at, calls.at[1:], strict=False)]
        assert gaps[0] <= watch.SILENCE + 2 * watch.LOOK
        assert max(gaps[1:]) <= 1.25 * watch.ANSWER + 2 * watch.LOOK
        # Two calls after the silence may meet the worst, and a third is made in time.
        assert gaps[0] + 2 * max(gaps[1:]) < 0.85 * TOLD
        assert sum(not wire.aborted for wire in calls.wires) < 8     # descriptors: the oldest are given up


def test_many_nodes_do_not_call_discovery_in_step(monkeypatch: Any) -> None:
    seconds = []
    for _ in range(30):
        calls = Calls(monkeypatch)
        calls.discovery.start()
        calls.run(3000, lambda: "up and silent")
        seconds.append(round(calls.at[2], -1))
    assert max(seconds.count(one) for one in seconds) < 12 and max(seconds) - min(seconds) > 200


def test_watch_that_fell_silent_is_kept_until_another_speaks(monkeypatch: Any) -> None:
    """Guards against the time between two watches, in which nothing can be heard."""
    calls = Calls(monkeypatch)
    calls.discovery.start()
    calls.run(25)
    old = calls.up(0)
    old.dataReceived(HEAD + chunk(b"\n"))
    calls.run(watch.SILENCE + 300)
    assert len(calls.at) == 2 and not calls.wires[0].aborted
    old.dataReceived(chunk(json.dumps({"index": 7, "snapshot": True, "endpoints": []}).encode() + b"\n"))
    assert calls.discovery.index == 7
    calls.up(1).dataReceived(HEAD + chunk(b"\n"))
    assert calls.wires[0].aborted and not calls.wires[1].aborted


def test_nonsense_on_a_watch_that_comes_up_does_not_cost_the_one_at_work(monkeypatch: Any) -> None:
    calls = Calls(monkeypatch)
    words: list[bool] = []
    calls.discovery.on_word = lambda: words.append(True)
    calls.discovery.start()
    calls.run(25)
    calls.up(0).dataReceived(HEAD + chunk(b"\x00\xff}\n"))
    assert not words                                 # a node does not begin to serve by that
    calls.run(100)
    calls.up(1).dataReceived(HEAD + chunk(b"\n"))
    calls.discovery.move(("127.0.0.1", 2))
    calls.run(25)
    calls.up(2).dataReceived(HEAD + chunk(b"nonsense\n"))
    assert words and calls.wires[2].aborted and not calls.wires[1].aborted


@pytest.mark.parametrize("indent", [None, 1, 4])
def test_list_may_come_on_several_lines(monkeypatch: Any, indent: int | None) -> None:
    calls = Calls(monkeypatch)
    calls.discovery.start()
    calls.run(25)
    connection = calls.up(0)
    connection.dataReceived(HEAD)
    entry = {"name": "e", "address": "127.0.0.1:9", "zone": "a", "type": "prefill"}
    for index in (3, 4):
        text = json.dumps({"index": index, "snapshot": index == 3, "endpoints": [entry]}, indent=indent)
        for at in range(0, len(text) + 1, 7):
            connection.dataReceived(chunk((text + "\n")[at:at + 7].encode()))
        connection.dataReceived(chunk(b"\n"))
        assert calls.discovery.index == index and calls.discovery.watching is not None
    assert [event.entries[0].state for event in calls.lists] == ["ready", "ready"]


def test_line_cut_off_in_the_middle_is_nonsense_by_the_next_beat(monkeypatch: Any) -> None:
    calls = Calls(monkeypatch)
    calls.discovery.start()
    calls.run(25)
    connection = calls.up(0)
    connection.dataReceived(HEAD + chunk(b"\n") + chunk(b'{"index":3,"endpo\n'))
    assert not calls.wires[0].aborted
    connection.dataReceived(chunk(b"\n"))
    assert calls.wires[0].aborted
