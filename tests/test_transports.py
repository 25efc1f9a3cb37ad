"""System calls on sound connections that fail for a moment."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Any

import pytest
from node_rig import ANSWER, EVENTS, LAST_CHUNK, STREAM, Rig, chat_request, chunk, start_two_engine_rig
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from worksmux.net import transports, work_queue
from worksmux.net.loop import listen, use_retrying_transports

FAILED_CALLS = 5
CALLS = ("recv", "send")
COSTLY_PEERS, SENT_BYTES = 20, 60_000
MS_PER_BYTE = 0.002


class FailingSocket:
    """A socket whose next calls of one kind fail; all else goes to the real socket."""

    def __init__(self, real: Any, call: str, error: int) -> None:
        self.real, self.failures_left = real, FAILED_CALLS
        setattr(self, call, self._failing(getattr(real, call), error))

    def _failing(self, call: Callable[..., Any], error: int) -> Callable[..., Any]:
        def fail(*arguments: Any) -> Any:
            if self.failures_left:
                self.failures_left -= 1
                raise OSError(error, "injected")
            return call(*arguments)

        return fail

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


def start_stream() -> tuple[Rig, Any, Any, Any]:
    """Starts a stream; returns the rig, the client, and the node's transports to engine and client."""
    rig = Rig()
    use_retrying_transports(rig.reactor)
    rig.engine("prefill")
    rig.engine("decode", lambda _: STREAM + chunk(EVENTS[0]))
    rig.start()
    client = rig.client(chat_request())
    rig.run_until(lambda: EVENTS[0] in client.received)
    (context,) = rig.node.core.open_requests.values()
    (call,) = context.in_flight.values()
    (channel,) = [channel for channel in rig.node.server.channels if channel.busy]
    return rig, client, call.call.connection.transport, channel.transport


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("error", [errno.ENOMEM, errno.ENOBUFS])
def test_stream_is_not_cut_by_a_system_call_that_fails_for_a_moment(call: str, error: int) -> None:
    rig, client, engine_side, client_side = start_stream()
    transport = engine_side if call == "recv" else client_side
    failing = transport.socket = FailingSocket(transport.socket, call, error)
    rig.engines[1].peers[0].transport.write(b"".join(map(chunk, EVENTS[1:])) + LAST_CHUNK)  # type: ignore[union-attr]
    assert rig.wait_for_status(client) == b"200" and client.received.count(b"[DONE]") == 1
    assert not failing.failures_left


def test_client_is_not_taken_for_gone_when_a_system_call_fails_for_a_moment() -> None:
    """The check for a client that has closed its connection reads ahead, and the read fails."""
    rig = start_two_engine_rig(lambda _: ANSWER)
    client = rig.client()
    rig.run_until(lambda: rig.node.server.channels)
    (channel,) = rig.node.server.channels
    channel.transport.socket = FailingSocket(channel.transport.socket, "recv", errno.ENOMEM)
    peek = channel.transport.socket.recv
    channel.transport.socket.recv = lambda *arguments: (
        peek(*arguments) if len(arguments) > 1 else channel.transport.socket.real.recv(*arguments)
    )
    client.transport.write(chat_request())  # type: ignore[union-attr]
    assert rig.wait_for_status(client) == b"200"
    assert channel.transport.socket.failures_left < FAILED_CALLS


def test_broken_connection_still_ends() -> None:
    rig, client, engine_side, _ = start_stream()
    engine_side.socket = FailingSocket(engine_side.socket, "recv", errno.ETIMEDOUT)
    rig.engines[1].peers[0].transport.write(chunk(EVENTS[1]))  # type: ignore[union-attr]
    rig.run_until(lambda: client.ended)
    assert not client.received.endswith(LAST_CHUNK)


def test_read_that_takes_long_to_handle_is_logged(logged: list[Any], monkeypatch: Any) -> None:
    """While one connection's data is handled nothing else is read; the log names the connection."""
    monkeypatch.setattr(transports, "LOGGED_READ_MS", 0.0)
    rig, client, _, _ = start_stream()
    lines = [line for line in logged if line["event"] == "slow read"]
    assert {line["protocol"] for line in lines} >= {"_NewConnection", "Channel"}
    assert all(line["bytes"] and line["duration_ms"] >= 0 and "127." in line["peer"] for line in lines)


class CostlyPeer(Protocol):
    """Takes `MS_PER_BYTE` on a fake clock for each byte that it receives."""

    def __init__(self, reads: Reads) -> None:
        self.reads = reads
        self.is_closed = False  # its data is discarded, which costs nothing
        self.reads_when_closed = 0
        reads.peers.append(self)

    def dataReceived(self, data: bytes) -> None:
        self.reads.unread_since_ms.append(self.transport.unread_since_ms)  # type: ignore[union-attr]
        self.reads_when_closed += self.is_closed
        if not self.is_closed:
            self.reads.now_ms += MS_PER_BYTE * len(data)
        self.reads.sizes.append(len(data))


class Reads:
    """The sizes of the reads of one reactor iteration, and the fake clock."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.sizes: list[int] = []
        self.unread_since_ms: list[float] = []  # of all reads
        self.peers: list[CostlyPeer] = []


class TurnsRig:
    """Costly and cheap peers of one listening port, on a fake clock; counts what is read in an iteration."""

    def __init__(self, monkeypatch: Any, costly_peers: int) -> None:
        self.reads = Reads()
        monkeypatch.setattr(transports.clock, "now", lambda: self.reads.now_ms)
        self.reactor: Any = EPollReactor()  # type: ignore[no-untyped-call]
        factory: Any = Factory.forProtocol(lambda: CostlyPeer(self.reads))  # type: ignore[arg-type]
        _, self.port = listen(self.reactor, ("127.0.0.1", 0), factory)
        self.costly = [self.connect() for _ in range(costly_peers)]
        self.largest_ms = 0.0
        self.iterations_left = 10_000

    def connect(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.port))

    def iterate(self) -> list[int]:
        """Makes one iteration; returns the sizes of its reads."""
        began_ms, self.reads.sizes = self.reads.now_ms, []
        self.iterations_left -= 1
        assert self.iterations_left, "not all data was read"
        self.reactor.iterate(0.01)
        self.largest_ms = max(self.largest_ms, self.reads.now_ms - began_ms)
        return self.reads.sizes

    def send_from_costly_peers(self) -> None:
        for peer in self.costly:
            peer.sendall(b"~" * SENT_BYTES)

    def close(self, *others: socket.socket) -> None:
        for peer in (*self.costly, *others):
            peer.close()


MAX_TURN_MS = work_queue.MAX_ITERATION_MS + MS_PER_BYTE * transports.FIRST_READ_BYTES


def test_costly_reads_take_turns_and_cheap_ones_do_not_wait(monkeypatch: Any) -> None:
    """Many peers send what takes long to handle, such as chunks of a byte each, as fast as it is read.

    If each of them were read in each iteration, usual connections would be served once in seconds. A byte of
    a cheap connection is read in the iteration in which it arrives or, where the time is used up, in the
    next; only its first one waits for the first, small reads of the others, whose cost is not known yet.
    """
    rig = TurnsRig(monkeypatch, COSTLY_PEERS)
    cheap = rig.connect()
    for _ in range(5):
        rig.reactor.iterate(0.01)  # accepts
    rig.send_from_costly_peers()
    cheap.sendall(b"x")
    received = 0
    while 1 not in (sizes := rig.iterate()):
        received += sum(sizes)
    received += sum(sizes)
    assert rig.reads.now_ms <= COSTLY_PEERS * MS_PER_BYTE * transports.FIRST_READ_BYTES + MAX_TURN_MS
    unread_bytes, most_unread_bytes, sent_bytes = 0, 0, 1
    while received < COSTLY_PEERS * SENT_BYTES + sent_bytes:
        cheap.sendall(b"x")
        sent_bytes, unread_bytes = sent_bytes + 1, unread_bytes + 1
        most_unread_bytes = max(most_unread_bytes, unread_bytes)
        sizes = rig.iterate()
        received += sum(sizes)
        unread_bytes -= sum(size for size in sizes if size <= unread_bytes)
    assert rig.largest_ms <= MAX_TURN_MS  # of the first iteration too
    assert most_unread_bytes <= 2
    rig.close(cheap)


def test_first_reads_of_new_connections_share_the_time_of_an_iteration(monkeypatch: Any) -> None:
    """Hundreds of clients connect and send what is costly to read, before any cost is known (review/6).

    All of their first reads in one iteration hold up every usual request for seconds.
    """
    rig = TurnsRig(monkeypatch, 4 * COSTLY_PEERS)
    rig.send_from_costly_peers()
    received = 0
    while received < len(rig.costly) * SENT_BYTES:
        received += sum(rig.iterate())
    assert rig.largest_ms <= MAX_TURN_MS
    rig.close()


def test_connection_without_a_cost_is_read_before_costly_ones(monkeypatch: Any) -> None:
    """A usual client connects while hundreds wait for their turns; in order of arrival it waits for all."""
    rig = TurnsRig(monkeypatch, 4 * COSTLY_PEERS)
    rig.send_from_costly_peers()
    for _ in range(4 * COSTLY_PEERS):
        rig.iterate()  # each of them has been read
    usual = rig.connect()
    usual.sendall(b"x")
    iterations = 0
    while 1 not in rig.iterate():
        iterations += 1
    assert iterations <= 3  # to accept it, to find the time used up, to read it
    rig.close(usual)


def test_closed_connections_do_not_wait_for_turns(monkeypatch: Any) -> None:
    """Clients are refused and come again at once; their closed connections wait behind new ones.

    Until they are read they hold descriptors, and with too many connections usual ones are closed.
    """
    rig = TurnsRig(monkeypatch, COSTLY_PEERS)
    rig.send_from_costly_peers()
    for _ in range(COSTLY_PEERS):
        rig.iterate()
    waiting = [peer for peer in rig.reads.peers if peer.transport._turn]  # type: ignore[union-attr]
    assert len(waiting) > COSTLY_PEERS // 2
    new = [rig.connect() for _ in range(4 * COSTLY_PEERS)]
    for connection in new:
        connection.sendall(b"~" * SENT_BYTES)
    while len(rig.reads.peers) < 5 * COSTLY_PEERS:
        rig.iterate()  # the new ones are accepted, and their first reads wait
    for peer in waiting:
        peer.is_closed = True
        peer.transport.take_turns(False)  # type: ignore[union-attr]
    rig.iterate()
    rig.iterate()
    assert all(peer.reads_when_closed for peer in waiting)
    rig.close(*new)


def test_connections_that_end_do_not_stay_in_the_queue(monkeypatch: Any) -> None:
    """Costly connections wait behind new ones and end meanwhile, thousands of them.

    If their turns stayed in the queue until there is nothing cheaper, memory would grow as long as they come.
    """
    rig = TurnsRig(monkeypatch, COSTLY_PEERS)
    rig.send_from_costly_peers()
    for _ in range(COSTLY_PEERS):
        rig.iterate()
    waiting = [peer.transport for peer in rig.reads.peers if peer.transport._turn]  # type: ignore[union-attr]
    turns = [transport._turn for transport in waiting]  # type: ignore[union-attr]
    assert len(turns) > COSTLY_PEERS // 2
    for transport in waiting:
        transport.connectionLost(Failure(ConnectionDone()))  # type: ignore[union-attr]
    assert not any(turn.call for turn in turns)
    rig.close()


def test_cancelled_work_is_removed_from_the_queue() -> None:
    queue = work_queue.WorkQueue(EPollReactor())  # type: ignore[no-untyped-call]
    usual = queue.add(lambda: None)
    for _ in range(1000):
        queue.cancel(queue.add(lambda: None, 5.0))
    assert len(queue) <= 2 * work_queue.MAX_CANCELLED + 1 and usual.call is not None


def test_failure_of_a_queued_read_ends_its_connection_alone(monkeypatch: Any) -> None:
    """A protocol raises an error in a read that has waited for its turn; the other reads go on."""
    rig = TurnsRig(monkeypatch, COSTLY_PEERS)
    rig.send_from_costly_peers()
    rig.iterate()
    add_cost, failed = CostlyPeer.dataReceived, []  # type: ignore[var-annotated]

    def fail_once(peer: CostlyPeer, data: bytes) -> None:
        if not failed:
            failed.append(peer)
            raise ValueError("injected")
        add_cost(peer, data)

    monkeypatch.setattr(CostlyPeer, "dataReceived", fail_once)
    received = 0
    while received < (COSTLY_PEERS - 1) * SENT_BYTES:
        received += sum(rig.iterate())
    assert failed and failed[0].transport.disconnected
    rig.close()


def test_read_that_waited_tells_since_when_its_data_may_have_waited(monkeypatch: Any) -> None:
    """A request waits for its turn, and its time would be counted from when it is read.

    Its client has gone when the answer comes, and engines are told more time than the client has left.
    """
    rig = TurnsRig(monkeypatch, COSTLY_PEERS)
    for _ in range(5):
        rig.reactor.iterate(0.01)  # accepts
    rig.send_from_costly_peers()
    while len(rig.reads.unread_since_ms) < COSTLY_PEERS:
        rig.iterate()
    assert rig.reads.now_ms > 2 * MAX_TURN_MS
    assert max(rig.reads.unread_since_ms[3:COSTLY_PEERS]) <= MAX_TURN_MS  # those that had to wait
    rig.close()


def test_all_reads_of_a_turn_tell_how_long_their_data_may_have_waited(monkeypatch: Any) -> None:
    """A request that waited is read in several pieces, and its time counts from the read of the last one."""
    rig = TurnsRig(monkeypatch, COSTLY_PEERS)
    usual = rig.connect()
    for _ in range(5):
        rig.reactor.iterate(0.01)  # accepts
    usual_peer = rig.reads.peers[-1]
    usual_peer.is_closed = True  # its data costs nothing
    rig.send_from_costly_peers()
    usual.sendall(b"~" * (transports.FIRST_READ_BYTES + 100))
    while not usual_peer.reads_when_closed:
        seen = len(rig.reads.unread_since_ms)
        rig.iterate()
    sizes, since_ms = rig.reads.sizes, rig.reads.unread_since_ms[seen:]
    first = sizes.index(100) - 1
    assert sizes[first] == transports.FIRST_READ_BYTES
    assert since_ms[first] == since_ms[first + 1] <= MAX_TURN_MS
    rig.close(usual)
