"""Bursts of connections, and a reactor that is late by them: requests are still forwarded and KV cache
released."""

from __future__ import annotations

import socket
from typing import Any

import pytest
from fault_injection import schedule as s
from fault_injection.ledger import Rule
from fault_injection.world import play
from node_rig import PREFILL_REPLY, Engine, Rig
from twisted.internet.epollreactor import EPollReactor

from worksmux.net import client
from worksmux.net.loop import listen
from worksmux.net.server import Server

BURST = 150
MAX_ACCEPTED_PER_ITERATION = 32
ITERATION_GAP_MS = 0.01  # from one late reactor iteration to the next


def test_burst_of_connections_is_accepted_a_few_at_a_time() -> None:
    """1,500 clients connect in a second.

    The reactor accepts a few of them in each iteration. If it took a hundred before it reads anything else,
    it would see connections to engines come up only after their time-out.
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
    assert most <= MAX_ACCEPTED_PER_ITERATION
    for one in waiting:
        one.close()


class Resting:
    """A connection as the server's count sees it, which counts how often it is looked at."""

    looks = 0

    def __init__(self, rank: int, since: float) -> None:
        self._rank, self.since_ms, self.aborted = rank, since, False
        self.transport = self

    def eviction_rank(self) -> int:
        Resting.looks += 1
        return self._rank

    def abortConnection(self) -> None:
        self.aborted = True


def test_connection_to_close_is_found_without_a_full_search() -> None:
    """Clients connect while all descriptors are in use, and each new connection closes another one.

    Finding that one must not cost more with each connection that there is.
    """
    server = Server(lambda exchange: None, 1, 1, 2000.0, None, 0.0, 560)
    resting = [Resting(2, float(at)) for at in range(560)]
    for one in resting:
        server.connection_made(one)
    Resting.looks = 0
    new = [Resting(3, 1000.0 + at) for at in range(400)]
    for one in new:
        server.connection_made(one)
    assert len(server.channels) == 560 and Resting.looks < 10 * len(new)
    assert resting[0].aborted and sum(one.aborted for one in (*resting, *new)) == len(new)


class Reply:
    """Takes one reply."""

    def __init__(self) -> None:
        self.status, self.trouble = 0, ""

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        self.status = status

    def body_received(self, data: bytes) -> None: ...

    def done(self) -> None: ...

    def failed(self, trouble: client.CallError) -> None:
        self.trouble = str(trouble)


def test_connection_that_came_up_in_a_late_iteration_is_used() -> None:
    """A reactor iteration takes longer than a connection may take.

    The connection has come up meanwhile and is used. If its time-out fired first, no connection would ever
    come up.
    """
    rig = Rig()
    engine: Engine = rig.engine("prefill", lambda _: PREFILL_REPLY)
    now = rig.reactor.seconds()
    rig.reactor.seconds = lambda: now
    pool = client.Pool(rig.reactor, "127.0.0.1", engine.port_number, 250.0, 0.0, 0, 1000)
    reply = Reply()
    pool.call("GET", "/alive", reply)
    now += 0.3  # the iteration was late
    for _ in range(200):
        rig.reactor.iterate(0.005)
        if reply.status or reply.trouble:
            break
    assert (reply.status, reply.trouble) == (202, "")


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
def test_kv_cache_is_released_while_every_iteration_is_late(iteration_ms: float) -> None:
    """A flood as a reactor sees it: for 3 s each iteration takes longer than a connection may take."""
    late: list[s.Fault] = []
    start = 1000.0
    while start < 4000.0:
        late.append(s.Hang(start, start + iteration_ms, "n0"))
        start += iteration_ms + ITERATION_GAP_MS
    result = play(small_fleet(late))
    assert not [one for one in result.violations if one.rule is Rule.KV_CACHE_HELD]
    assert result.served > 0.5 * result.requests
