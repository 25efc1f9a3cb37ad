"""Bursts of connections that make the reactor late: requests are still forwarded and KV cache is released."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Any

import pytest
from fault_injection import schedule as s
from fault_injection.ledger import Rule
from fault_injection.world import play
from node_rig import (
    ENGINE_HOST,
    LAST_CHUNK,
    PREFILL_REPLY,
    Engine,
    Rig,
    chat_request,
    start_two_engine_rig,
)
from twisted.internet.epollreactor import EPollReactor

from worksmux.net import client, work_queue
from worksmux.net.channel import RANK_IDLE, RANK_RECEIVING
from worksmux.net.loop import listen
from worksmux.net.server import Server

BURST = 150
UNREAD_REQUESTS = 3000
READY_REQUEST = b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n"
PIPELINING_CLIENTS, PIPELINED = 10, 300
CHUNKED_HEAD = chat_request().partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK_OF_A_BYTE, COSTLY_CHUNKS = b"1\r\nx\r\n", 10_000
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


def test_connection_that_waits_to_be_accepted_has_an_early_arrival(monkeypatch: Any) -> None:
    """A burst of connections is accepted over many iterations, and a usual request waits among them.

    If its time were counted from when it is accepted, its answer would come after its client has gone.
    """
    reactor: Any = EPollReactor()  # type: ignore[no-untyped-call]
    server = Server(lambda exchange: None, 1000, 1000, 2000.0, reactor)
    _, port = listen(reactor, ("127.0.0.1", 0), server)
    now, arrivals = [0.0], []  # type: list[float], list[float]
    monkeypatch.setattr(work_queue.clock, "now", lambda: now[0])
    server.on_connection = lambda channel: arrivals.append(channel.earliest_arrival_ms)
    waiting = [socket.create_connection(("127.0.0.1", port)) for _ in range(BURST)]
    while len(arrivals) < BURST:
        now[0] += 10.0
        reactor.iterate(0.01)
    assert now[0] > 50.0 and max(arrivals) <= 10.0
    now[0] += 10.0
    waiting.append(socket.create_connection(("127.0.0.1", port)))
    while len(arrivals) <= BURST:
        reactor.iterate(0.01)
    assert arrivals[-1] == now[0]  # nobody waited
    for connection in waiting:
        connection.close()


def test_pipelined_requests_are_answered_one_of_a_connection_at_a_time() -> None:
    """Clients send hundreds of requests each at once, read the answers and go.

    If all that has come were answered in one reactor iteration, nothing else would be read or written for
    seconds: usual requests are answered after their time.
    """
    rig = start_two_engine_rig()
    clients = [rig.client(READY_REQUEST * PIPELINED) for _ in range(PIPELINING_CLIENTS)]
    usual = rig.client(chat_request())
    server, max_requests, usual_answered_at = rig.node.server, 0, 0
    server.take_activity()
    while (answers := sum(client.received.count(b"serving\n") for client in clients)) < PIPELINED * len(
        clients
    ):
        rig.reactor.iterate(0.01)
        max_requests = max(max_requests, server.take_activity()["client_requests"])
        if usual.received.endswith(LAST_CHUNK) and not usual_answered_at:
            usual_answered_at = answers
    assert max_requests <= 2 * (len(clients) + 1)
    assert 0 < usual_answered_at < PIPELINED * len(clients) // 2
    assert not any(client.ended for client in clients)


def test_answered_connection_without_further_data_does_not_wait(monkeypatch: Any) -> None:
    """Usual clients keep their connections, one request at a time, beside clients that pipeline (review/7).

    If a connection waited after each answer in the queue of pipelined requests, it would not be read for
    seconds, and its next request would be answered too late.
    """
    rig = start_two_engine_rig()
    client = rig.client(chat_request())
    rig.run_until(lambda: client.received.endswith(LAST_CHUNK))
    (channel,) = [channel for channel in rig.node.server.channels if channel.has_answered]
    assert not channel.paused and not channel.receiving
    assert rig.node.server.work_queue.take_counts().added == 0
    client.transport.write(chat_request("a2"))  # type: ignore[union-attr]
    rig.run_until(lambda: client.received.count(LAST_CHUNK) == 2)


def test_pipelined_requests_of_costly_connections_wait_for_those_of_usual_ones(monkeypatch: Any) -> None:
    """Some clients pipeline what takes long to parse; one pipelines two usual requests after them."""
    rig = start_two_engine_rig()
    body = CHUNK_OF_A_BYTE * COSTLY_CHUNKS + b"no size\r\n"
    costly = READY_REQUEST + CHUNKED_HEAD + body
    clients = [rig.client(costly) for _ in range(PIPELINING_CLIENTS)]
    rig.run_until(lambda: all(client.received for client in clients))
    usual = rig.client(READY_REQUEST * 2)
    rig.run_until(lambda: usual.received.count(b"serving\n") == 2)
    assert sum(client.ended for client in clients) <= len(clients) // 2
    rig.run_until(lambda: all(client.ended for client in clients))
    assert all(b"HTTP/1.1 400 " in client.received for client in clients)


def test_partial_request_behind_pipelined_ones_is_completed() -> None:
    rig = start_two_engine_rig()
    request = chat_request()
    client = rig.client(READY_REQUEST * 3 + request[:50])
    rig.run_until(lambda: client.received.count(b"serving\n") == 3)
    client.transport.write(request[50:] + b"\r\n")  # type: ignore[union-attr]
    rig.run_until(lambda: client.received.endswith(LAST_CHUNK))
    (channel,) = [channel for channel in rig.node.server.channels if channel.has_answered]
    assert not channel.receiving and not channel.paused  # the line break begins no request


def test_pipelined_requests_are_dropped_when_the_connection_closes() -> None:
    """The second request asks for the close; nothing of what follows is parsed or kept."""
    rig = start_two_engine_rig()
    closing = READY_REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    client = rig.client(READY_REQUEST + closing + READY_REQUEST * 200)
    rig.run_until(lambda: client.ended)
    assert client.clean and client.received.count(b"serving\n") == 2
    assert not rig.node.server.buffers.total_bytes


def test_client_that_takes_no_answers_is_not_answered_without_a_limit() -> None:
    """A client sends requests, each in a packet of its own, and reads nothing."""
    rig = start_two_engine_rig()
    rig.node.server.on_connection = lambda channel: limit_buffer(
        channel.transport.getHandle(), socket.SO_SNDBUF
    )
    client = socket.socket()
    limit_buffer(client, socket.SO_RCVBUF)
    client.connect(("127.0.0.1", rig.node.port))
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    client.setblocking(False)
    rig.run_until(lambda: rig.node.server.channels)
    (channel,) = rig.node.server.channels
    largest_bytes, sent = 0, 0
    while sent < UNREAD_REQUESTS and not channel.paused:
        sent += bool(client.send(READY_REQUEST))
        rig.reactor.iterate(0)
        largest_bytes = max(largest_bytes, len(channel.transport.dataBuffer) + channel.transport._tempDataLen)
    assert channel.paused and largest_bytes < 2 * channel.transport.bufferSize
    received = b""
    while received.count(b"serving\n") < sent:
        rig.reactor.iterate(0.001)
        with suppress(BlockingIOError):
            received += client.recv(2**16)
    client.send(READY_REQUEST)
    rig.run_until(lambda: not channel.paused and channel.has_answered)
    client.close()


def test_connection_is_not_idle_before_its_answer_is_sent() -> None:
    """Hundreds of clients connect in the moment in which an answer ends.

    Its connection was evicted as idle before the reactor had sent the end of the answer, which was lost.
    """
    rig = start_two_engine_rig()
    rig.node.server.on_connection = lambda channel: limit_buffer(
        channel.transport.getHandle(), socket.SO_SNDBUF
    )
    rig.node.server.answerer = lambda exchange: exchange.answer(200, b"x" * 100_000)
    client = socket.socket()
    limit_buffer(client, socket.SO_RCVBUF)
    client.connect(("127.0.0.1", rig.node.port))
    client.sendall(READY_REQUEST)
    rig.run_until(lambda: any(channel.has_answered for channel in rig.node.server.channels))
    (channel,) = rig.node.server.channels
    assert channel.eviction_rank() == RANK_RECEIVING
    client.setblocking(False)
    received = 0
    while received < 100_000:
        rig.reactor.iterate(0.001)
        with suppress(BlockingIOError):
            received += len(client.recv(2**16))
    rig.run_until(lambda: channel.eviction_rank() == RANK_IDLE)
    client.close()


def limit_buffer(connection: socket.socket, option: int) -> None:
    connection.setsockopt(socket.SOL_SOCKET, option, 4096)


class ManualReactor:
    """A reactor whose iterations the test makes."""

    def __init__(self) -> None:
        self.calls: list[Any] = []

    def callLater(self, delay: float, call: Any) -> None:
        self.calls.append(call)

    def iterate(self) -> None:
        calls, self.calls = self.calls, []
        for call in calls:
            call()


def test_queued_work_is_spread_over_iterations_in_order(monkeypatch: Any) -> None:
    now, done = [0.0], []  # type: list[float], list[int]
    monkeypatch.setattr(work_queue.clock, "now", lambda: now[0])

    def work(number: int) -> None:
        now[0] += work_queue.MAX_ITERATION_MS / 2 + 0.1
        done.append(number)

    reactor = ManualReactor()
    queue = work_queue.WorkQueue(reactor)
    for number in range(5):
        queue.add(lambda number=number: work(number))
    lengths = []
    while reactor.calls:
        assert len(reactor.calls) == 1
        reactor.iterate()
        lengths.append(len(done))
    assert lengths == [2, 4, 5] and done == [0, 1, 2, 3, 4]


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
