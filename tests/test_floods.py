"""Bursts of connections, and a reactor that they make late: requests go on, and KV caches are released."""

from __future__ import annotations

import socket
from typing import Any

import pytest
from fault_injection import schedule as s
from fault_injection.ledger import Rule
from fault_injection.world import play
from node_rig import READ, Engine, Rig
from twisted.internet.epollreactor import EPollReactor

from worksmux.net import client
from worksmux.net.loop import listen
from worksmux.net.server import Server

BURST = 150
MAX_ACCEPTS_PER_ITERATION = 32
ITERATION_GAP_MS = 0.01  # from one late iteration to the next


def test_burst_of_connections_is_accepted_a_few_in_an_iteration() -> None:
    """150 connections arrive at once.

    Were all accepted in one iteration of the reactor, connections to engines that had come up meanwhile would
    be read only after their timeout.
    """
    reactor: Any = EPollReactor()  # type: ignore[no-untyped-call]
    server = Server(lambda exchange: None, 1000, 1000, 2000.0, reactor, 0.0, 50)
    _, port = listen(reactor, ("127.0.0.1", 0), server)
    waiting = [socket.create_connection(("127.0.0.1", port)) for _ in range(BURST)]
    taken = [0]
    server.on_connection = lambda channel: taken.append(taken.pop() + 1)
    most = 0
    while (before := sum(taken)) < BURST:
        reactor.iterate(0.01)
        most = max(most, sum(taken) - before)
    assert most <= MAX_ACCEPTS_PER_ITERATION
    for one in waiting:
        one.close()


class StubConnection:
    """A connection as the server sees it, which counts how often its rank is read."""

    rank_reads = 0

    def __init__(self, rank: int, since: float) -> None:
        self._rank, self.since_ms, self.aborted = rank, since, False
        self.transport = self

    def eviction_rank(self) -> int:
        StubConnection.rank_reads += 1
        return self._rank

    def abortConnection(self) -> None:
        self.aborted = True


def test_connection_to_evict_is_found_without_a_search() -> None:
    """400 connections arrive at a server that has as many as it may.

    A search through all of them for each new one would take longer than the burst.
    """
    server = Server(lambda exchange: None, 1, 1, 2000.0, None, 0.0, 560)
    resting = [StubConnection(2, float(at)) for at in range(560)]
    for one in resting:
        server.connection_made(one)
    StubConnection.rank_reads = 0
    new = [StubConnection(3, 1000.0 + at) for at in range(400)]
    for one in new:
        server.connection_made(one)
    assert len(server.channels) == 560 and StubConnection.rank_reads < 10 * len(new)
    assert resting[0].aborted and sum(one.aborted for one in (*resting, *new)) == len(new)


class RecordingReceiver:
    """Records a response."""

    def __init__(self) -> None:
        self.status, self.trouble = 0, ""

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status = status

    def piece(self, data: bytes) -> None: ...

    def done(self) -> None: ...

    def failed(self, trouble: client.CallError) -> None:
        self.trouble = str(trouble)


def test_connection_that_came_up_while_the_reactor_was_late_is_used() -> None:
    """The reactor is late by more than the connect timeout while a connection comes up.

    The timeout must not fire before the reactor has read that it is up; else no connection would ever come
    up in a process that is that late.
    """
    rig = Rig()
    engine: Engine = rig.engine("prefill", lambda _: READ)
    now = rig.reactor.seconds()
    rig.reactor.seconds = lambda: now
    pool = client.Pool(rig.reactor, "127.0.0.1", engine.number, 250.0, 0.0, 0, 1000)
    response = RecordingReceiver()
    pool.call("GET", "/alive", response)
    now += 0.3  # the iteration is late
    for _ in range(200):
        rig.reactor.iterate(0.005)
        if response.status or response.trouble:
            break
    assert (response.status, response.trouble) == (202, "")


def small_fleet(faults: list[s.Fault], **behaviour: Any) -> s.Schedule:
    """One process, two prefill and two decode engines in one zone, a request every 25 ms."""
    plain: dict[str, Any] = {
        "release_within": 500.0,
        "connect_timeout": 250.0,
        "try_limit": 5,
        "may_cancel": True,
        "may_probe": True,
        "cancel_drops_queued": False,
        "closed_reads_leave_state": False,
        "drops_expired": False,
        "release_ends_reads": True,
        "resets_are_lost": False,
    }
    engines = [s.EngineSpec(role, "a", 0, 30, 30, 50.0, 60.0) for role in ("read", "read", "write", "write")]
    requests = [
        s.RequestSpec(at=25.0 * at, process=0, request_class=0, prompt=1000, timeout=2400, session=at)
        for at in range(140)
    ]
    return s.Schedule(
        1,
        ["a"],
        ["a"],
        engines,
        [s.RequestClass("chat", "free", 1200.0, 2500.0)],
        s.Behaviour(**{**plain, **behaviour}),
        requests,
        faults,
    )


@pytest.mark.parametrize("iteration_ms", [150.0, 260.0])
def test_kv_cache_is_released_by_a_process_whose_every_iteration_is_late(iteration_ms: float) -> None:
    """A flood as an event loop sees it: for 3 s each iteration takes longer than the connect timeout."""
    late: list[s.Fault] = []
    start = 1000.0
    while start < 4000.0:
        late.append(s.Hang(start, start + iteration_ms, "n0"))
        start += iteration_ms + ITERATION_GAP_MS
    result = play(small_fleet(late))
    assert not [one for one in result.violations if one.rule is Rule.PINNED]
    assert result.served > 0.5 * result.requests
