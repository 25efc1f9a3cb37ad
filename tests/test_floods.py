"""Bursts of connections that make the reactor late: requests are still forwarded and KV cache is released."""

from __future__ import annotations

import socket
from typing import Any

import pytest
from fault_injection import schedule as s
from fault_injection.ledger import Rule
from fault_injection.world import play
from node_rig import ENGINE_HOST, PREFILL_REPLY, Engine, Rig
from twisted.internet.epollreactor import EPollReactor

from worksmux.net import client
from worksmux.net.loop import listen
from worksmux.net.server import Server

BURST = 150
MAX_ACCEPTED_PER_ITERATION = 32
ITERATION_GAP_MS = 0.01  # from one late reactor iteration to the next


def test_burst_of_connections_is_accepted_a_few_at_a_time() -> None:
    """1,500 clients connect in a second, and the reactor accepts a few of them in each iteration.

    If it accepted a hundred at a time, it would notice established connections to engines only after their
    connect timeout.
    """
    reactor: Any = EPollReactor()  # type: ignore[no-untyped-call]
    server = Server(lambda exchange: None, 1000, 1000, 2000.0, reactor, 0.0, 50)
    _, port = listen(reactor, ("127.0.0.1", 0), server)
    waiting = [socket.create_connection(("127.0.0.1", port)) for _ in range(BURST)]
    accepted = [0]
    server.on_connection = lambda channel: accepted.append(accepted.pop() + 1)
    max_accepted = 0
    while (before := sum(accepted)) < BURST:
        reactor.iterate(0.01)
        max_accepted = max(max_accepted, sum(accepted) - before)
    assert max_accepted <= MAX_ACCEPTED_PER_ITERATION
    for connection in waiting:
        connection.close()


class FakeChannel:
    """A fake connection; counts how often the rank of any connection is read."""

    rank_reads = 0

    def __init__(self, rank: int, since_ms: float) -> None:
        self._rank, self.since_ms, self.aborted = rank, since_ms, False
        self.transport = self

    def eviction_rank(self) -> int:
        FakeChannel.rank_reads += 1
        return self._rank

    def abortConnection(self) -> None:
        self.aborted = True


def test_connection_to_close_is_found_without_a_full_search() -> None:
    """Clients connect while all descriptors are in use, and each new connection evicts another one.

    The cost of finding that one must not grow with the number of connections.
    """
    server = Server(lambda exchange: None, 1, 1, 2000.0, None, 0.0, 560)
    idle = [FakeChannel(2, float(at)) for at in range(560)]
    for channel in idle:
        server.connection_made(channel)
    FakeChannel.rank_reads = 0
    new = [FakeChannel(3, 1000.0 + at) for at in range(400)]
    for channel in new:
        server.connection_made(channel)
    assert len(server.channels) == 560 and FakeChannel.rank_reads < 10 * len(new)
    assert idle[0].aborted and sum(channel.aborted for channel in (*idle, *new)) == len(new)


class StatusReceiver:
    """Records the status of a response, or the error."""

    buffered_bytes = 0

    def __init__(self) -> None:
        self.status, self.error = 0, ""

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        self.status = status

    def body_received(self, data: bytes) -> None: ...

    def done(self) -> None: ...

    def failed(self, error: client.CallError) -> None:
        self.error = str(error)


def test_connection_that_is_established_in_a_late_iteration_is_used() -> None:
    """A reactor iteration takes longer than the connect timeout.

    The connection was established in the meantime and is used. If its timeout fired first, no connection
    would ever be established.
    """
    rig = Rig()
    engine: Engine = rig.engine("prefill", lambda _: PREFILL_REPLY)
    now = rig.reactor.seconds()
    rig.reactor.seconds = lambda: now
    pool = client.Pool(rig.reactor, ENGINE_HOST, engine.port_number, 250.0, 0.0, 0, 1000)
    receiver = StatusReceiver()
    pool.call("GET", "/alive", receiver)
    now += 0.3  # the iteration was late
    for _ in range(200):
        rig.reactor.iterate(0.005)
        if receiver.status or receiver.error:
            break
    assert (receiver.status, receiver.error) == (202, "")


def small_fleet(faults: list[s.Fault], **behaviour: Any) -> s.Schedule:
    """One process, two prefill and two decode engines in one zone, a request every 25 ms."""
    defaults: dict[str, Any] = {
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
        s.Behaviour(**{**defaults, **behaviour}),
        requests,
        faults,
    )


@pytest.mark.parametrize("iteration_ms", [150.0, 260.0])
def test_kv_cache_is_released_while_every_iteration_is_late(iteration_ms: float) -> None:
    """For 3 s every reactor iteration takes that long; the connect timeout is 250 ms."""
    faults: list[s.Fault] = []
    start = 1000.0
    while start < 4000.0:
        faults.append(s.Hang(start, start + iteration_ms, "n0"))
        start += iteration_ms + ITERATION_GAP_MS
    result = play(small_fleet(faults))
    assert not [violation for violation in result.violations if violation.rule is Rule.KV_CACHE_HELD]
    assert result.served > 0.5 * result.requests
