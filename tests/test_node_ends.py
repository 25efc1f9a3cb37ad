"""How connections of clients end, whoever ends them: no trip begins for one who has left, nothing that was
answered is lost, and descriptors come back."""

from __future__ import annotations

import socket
from time import monotonic
from types import SimpleNamespace
from typing import Any

import pytest
from node_rig import ANSWER, LAST, NO_CONTENT, READ, Peer, Rig, ask, hold_connections
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock

from worksmux.net import channel
from worksmux.net.loop import listen
from worksmux.net.server import Server
from worksmux.node import serve
from worksmux.node.attempts import PrefillAttempt
from worksmux.policy.actions import StartAttempt
from worksmux.policy.state import Attempt, Engine, Outcome, Request

ALIVE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def rig_of_two(writer: Any = None) -> Rig:
    rig = Rig()
    rig.engine("prefill")
    rig.engine("decode", writer)
    return rig.start()


def raw(rig: Rig, data: bytes) -> socket.socket:
    client = socket.create_connection(("127.0.0.1", rig.node.port))
    client.sendall(data)
    return client


def some_time(rig: Rig, turns: int = 30) -> None:
    for _ in range(turns):
        rig.reactor.iterate(0.002)


def test_client_that_leaves_while_a_connection_comes_up_has_nothing_sent() -> None:
    """Guards against a trip that is written for nobody: connections may take a quarter of a second."""
    rig = rig_of_two()
    waiting = hold_connections(rig, rig.engines[0])
    rig.node.core.module_settings["may_cancel"] = False  # nothing that the module may call off
    client = raw(rig, ask())
    rig.until(lambda: waiting)
    (case,) = rig.node.core.cases.values()
    client.close()
    rig.until(lambda: case.answered)
    waiting[0]()
    some_time(rig)
    assert not rig.engines[0].asked


def test_client_that_left_unseen_is_looked_for_as_the_connection_is_up() -> None:
    """Guards against a close that waits unread while the reactor is busy with what came before it."""
    rig = rig_of_two()
    waiting = hold_connections(rig, rig.engines[0])
    client = raw(rig, ask())
    rig.until(lambda: waiting)
    (case,) = rig.node.core.cases.values()
    (carrier,) = case.out.values()
    client.close()
    rig.node.core._came_up(case, carrier)
    assert case.answered == "left" and carrier.over and carrier.attempt not in case.out


def test_client_that_left_unseen_gets_no_further_attempt() -> None:
    rig = rig_of_two()
    client = raw(rig, ask())
    rig.until(lambda: rig.node.core.cases)
    core = rig.node.core
    (case,) = core.cases.values()
    client.close()
    sent = len(case.out)
    attempt = Attempt(case.request, next(iter(core.pools)), 5, 0.0, True)
    case.request.attempts.append(attempt)
    core._send(StartAttempt(attempt, 0.0))
    assert case.answered == "left" and len(case.out) <= sent


def test_time_told_is_what_is_left_once_the_connection_is_up() -> None:
    rig = rig_of_two()
    waiting = hold_connections(rig, rig.engines[0])
    client = raw(rig, ask(left="900"))
    rig.until(lambda: waiting)
    until = monotonic() + 0.12
    rig.until(lambda: monotonic() > until)
    waiting[0]()
    rig.until(lambda: rig.engines[0].asked)
    head = rig.engines[0].asked[0].partition(b"\r\n\r\n")[0]
    told = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
    assert int(told[b"X-Timeout-Ms"]) <= 900 / 2 - 120
    client.close()


class Call:
    """A call of an attempt, as far as its end goes."""

    def __init__(self, written: bool) -> None:
        self.written, self.abandoned = written, False

    def abandon(self) -> None:
        self.abandoned = True


@pytest.mark.parametrize("written", [True, False])
def test_attempt_that_this_side_ends_before_its_last_byte_has_left_was_never_sent(written: bool) -> None:
    """Guards against time to let go that starts anew by attempts whose connections never come up, and against
    a request taken for one that may have run."""
    for end, outcome in (("cancel", Outcome.CANCELLED), ("_time_is_up", Outcome.TIMED_OUT)):
        ends: list[Outcome] = []
        told: Any = SimpleNamespace(ended=lambda attempt, outcome, *_, ends=ends: ends.append(outcome))
        attempt = Attempt(Request(1, 0, 0, 0, 1.0, 0.0, 1.0, 0.0, 1.0), Engine(b"e", 1), 0, 0.0, False)
        one = PrefillAttempt(Clock(), None, attempt, told, 100.0, 50.0, 300)  # type: ignore[arg-type]
        one.call = Call(written)  # type: ignore[assignment]
        getattr(one, end)()
        assert ends == [outcome if written else Outcome.MOOT]
        assert one.call.abandoned  # type: ignore[union-attr]


def test_node_that_stops_begins_what_it_owes_before_it_ends(monkeypatch: Any) -> None:
    """Guards against a last client that hangs up while its request is read: nothing else keeps the node."""
    monkeypatch.setattr(serve, "ACCEPTING", 5.0)
    rig = Rig()
    reader = rig.engine("prefill", lambda _: b"")
    rig.engine("decode")
    rig.start()
    ended: list[tuple[int, float]] = []
    rig.node.on_end = lambda: ended.append((reader.verbs().count(b"DELETE"), monotonic()))
    client = raw(rig, ask(left="1600"))
    rig.until(lambda: reader.asked)
    rig.node.stop()
    rig.until(lambda: not rig.node.accepting)
    client.close()
    rig.until(lambda: reader.verbs().count(b"DELETE") == 1)
    first = monotonic()
    rig.until(lambda: ended)  # once the engine can't come to hold anything any more
    ((releases, at),) = ended
    assert releases >= 2 and at - first >= 0.5


def test_release_is_repeated_while_an_engine_that_saw_no_end_may_still_finish_its_read() -> None:
    """Guards against state that appears after a release that another engine heard."""
    rig = Rig()
    hung = rig.engine("prefill", lambda _: b"")
    hung.release_answer = b""
    other = rig.engine("decode")
    rig.start()
    assert rig.answered(rig.client(ask(left="1500"))) == b"503"
    rig.until(lambda: other.verbs().count(b"DELETE") >= 2)
    assert rig.node.core.releases.running and not rig.node.core.releases.owed
    hung.release_answer = NO_CONTENT
    rig.until(lambda: not rig.node.core.releases.running)


def test_attempt_waits_for_a_release_some_steps_and_nothing_is_let_go_from_under_it() -> None:
    """Guards against a release on its way as a second read comes up, which would let go of what that one
    brings; and against a read that waits for ever for a release that nobody hears."""
    rig = Rig()
    readers = [rig.engine("prefill", lambda _: None), rig.engine("prefill", lambda _: None)]
    writer = rig.engine("decode")
    rig.start()
    waiting = [hold_connections(rig, engine) for engine in (*readers, writer)]
    peer = rig.client(ask())
    rig.until(lambda: waiting[0] or waiting[1])
    first, other = (0, 1) if waiting[0] else (1, 0)
    readers[other].script = lambda _: READ
    waiting[first].pop()()  # read, and reset: a release's connections wait
    rig.until(lambda: waiting[other] or len(waiting[first]) > 1)
    again = other if waiting[other] else first
    readers[again].script = lambda _: READ
    waiting[again].pop()()
    rig.until(lambda: readers[again].verbs().count(b"POST") == 1 + (again == first))
    rig.until(lambda: any(b"HTTP/1.1" in request for request in readers[again].asked))
    for queue in waiting[:2]:
        while queue:  # what was on its way comes up now: it is given up
            queue.pop()()
    some_time(rig)
    assert not any(b"DELETE" in engine.verbs() for engine in rig.engines)
    rig.until(lambda: waiting[2])
    while waiting[2]:
        waiting[2].pop(0)()
    assert rig.answered(peer) == b"200" and b"[DONE]" in peer.got


@pytest.mark.parametrize("before", [0, 8, 60])
def test_first_request_of_a_connection_that_crosses_sigterm_is_answered(before: int) -> None:
    """Guards against a new connection closed unread, as resting ones are, and against a request of which
    `before` bytes came before and the rest is thrown away."""
    rig = rig_of_two(lambda _: ANSWER)
    fresh = socket.create_connection(("127.0.0.1", rig.node.port))
    rig.until(lambda: rig.node.server.channels)
    fresh.sendall(ask()[:before])
    some_time(rig)
    rig.node.stop()
    some_time(rig)
    fresh.sendall(ask()[before:])
    fresh.setblocking(False)
    got = bytearray()

    def answered() -> bool:
        try:
            got.extend(fresh.recv(65_536))
        except BlockingIOError:
            pass
        return bytes(got).endswith(LAST)

    rig.until(answered)
    assert b"200 OK" in got and b"connection: close" in got.lower()
    rig.until(lambda: rig.node.ended)


def releases_heard(rig: Rig) -> int:
    return sum(engine.verbs().count(b"DELETE") for engine in rig.engines)


def test_release_that_runs_rests_while_an_attempt_that_arrived_is_out() -> None:
    """Guards against a release that lets go, at whichever engine, of what the attempt brings."""
    rig = Rig()
    readers = [rig.engine("prefill", lambda _: None), rig.engine("prefill", lambda _: None)]
    rig.engine("decode")
    for engine in rig.engines:
        engine.release_answer = b""
    rig.start()
    waiting = [hold_connections(rig, engine) for engine in rig.engines]
    client = raw(rig, ask())
    rig.until(lambda: waiting[0] or waiting[1])
    first, again = (0, 1) if waiting[0] else (1, 0)
    waiting[first].pop()()  # read, and reset
    rig.until(lambda: waiting[again])
    readers[again].script = lambda request: ALIVE if request.startswith(b"GET") else b""
    rig.until(lambda: waiting[first])  # the second read does not come up: a release begins
    waiting[first].pop()()
    rig.until(lambda: b"DELETE" in readers[first].verbs())
    waiting[again].pop(0)()
    rig.until(lambda: readers[again].asked)
    rig.until(lambda: readers[first].peers[-1].ended)
    for queue in waiting:
        queue.clear()
    released = releases_heard(rig)

    def all_come_up() -> None:
        """No connection is held back any more: a probe is answered, and a release would be seen."""
        for queue in waiting:
            while queue:
                queue.pop()()

    end = monotonic() + 3 * rig.node.core.releases.step / 1000
    rig.until(lambda: all_come_up() or monotonic() > end)
    assert releases_heard(rig) == released and rig.node.core.releases.owed
    client.close()
    rig.until(lambda: all_come_up() or releases_heard(rig) > released)  # and goes on once that is over


def test_node_whose_module_fails_refuses_and_still_ends_in_order(monkeypatch: Any) -> None:
    """Guards against a node that takes requests which nobody decides on, and never ends."""
    monkeypatch.setattr(serve, "ACCEPTING", 5.0)
    rig = Rig()
    reader = rig.engine("prefill", lambda _: b"")
    rig.engine("decode")
    rig.start()
    peer = rig.client(ask())
    rig.until(lambda: reader.asked)
    monkeypatch.setattr(rig.node.core.door.module, "decide", lambda *_: 1 / 0)
    rig.node.core.wake()
    assert rig.answered(peer) == b"502" and rig.node.core.failed
    rig.until(lambda: reader.verbs().count(b"DELETE") == 1)
    assert rig.answered(rig.client(ask("a2"))) == b"503"
    assert rig.answered(rig.client(b"GET /up HTTP/1.1\r\n\r\n")) == b"503"
    ended: list[bool] = []
    rig.node.on_end = lambda: ended.append(True)
    rig.node.stop()
    rig.until(lambda: ended)
    assert not rig.node.core.cases


def test_close_is_seen_behind_bytes_that_wait_for_the_answer() -> None:
    """Guards against a client that sent much behind its request, and was read no further."""
    rig = rig_of_two(lambda _: b"")
    client = raw(rig, ask())
    rig.until(lambda: rig.engines[1].asked)
    client.setblocking(False)
    sent = 0
    while sent < 4 * channel.MAX_BYTES_BEHIND:
        try:
            sent += client.send(ask("a2") * 20)
        except BlockingIOError:
            some_time(rig, 3)
    client.close()
    rig.until(lambda: not rig.node.core.cases)
    rig.idle()
    assert rig.node.core.number == 1


def test_engine_that_is_told_draining_while_its_connection_comes_up_is_sent_nothing() -> None:
    rig = Rig()
    readers = [rig.engine("prefill") for _ in range(2)]
    rig.engine("decode")
    rig.start()
    waiting = [hold_connections(rig, engine) for engine in readers]
    peer = rig.client(ask())
    rig.until(lambda: waiting[0] or waiting[1])
    first, other = (0, 1) if waiting[0] else (1, 0)
    rig.hosts.tell(2, readers[first].entry("DRAINING"))
    rig.until(lambda: "draining" in [engine.state for engine in rig.node.core.pools])
    waiting[first][0]()
    rig.until(lambda: waiting[other])
    waiting[other][0]()
    assert rig.answered(peer) == b"200" and not readers[first].asked


@pytest.mark.parametrize("why", ["SIGTERM", "it rested too long"])
def test_request_that_crosses_the_end_of_its_connection_is_not_taken(why: str) -> None:
    """Guards against a request read after the shutdown, which can be given no answer, and against the reset
    that a close over unread bytes would be."""
    rig = rig_of_two()
    client = raw(rig, b"GET /up HTTP/1.1\r\n\r\n")
    rig.until(lambda: any(one.has_answered for one in rig.node.server.channels))
    client.sendall(ask("a2"))  # not read yet
    if why == "SIGTERM":
        rig.node.server.close_idle()
    else:
        rig.node.server.keep_alive_ms = 0.0
        rig.node.server._sweep()
    client.settimeout(0.0)
    got = b""
    for _ in range(1000):
        rig.reactor.iterate(0.002)
        try:
            if not (piece := client.recv(10_000)):
                break
            got += piece
        except BlockingIOError:
            continue
    assert got.endswith(b"serving\n") and rig.node.core.number == 0
    assert rig.node.server.channels  # it is not closed over what may still come
    client.close()
    rig.until(lambda: not rig.node.server.channels)


def test_answer_is_whole_where_more_came_behind_its_request() -> None:
    rig = rig_of_two(lambda _: b"")
    peer = rig.client(ask())
    rig.until(lambda: rig.engines[1].asked)
    rig.node.server.close_idle()  # its answer is the last on this connection
    for at in range(150):  # much more than is read ahead of an answer
        peer.transport.write(ask(f"b{at}"))  # type: ignore[union-attr]
    some_time(rig)
    rig.engines[1].peers[0].transport.write(ANSWER)  # type: ignore[union-attr]
    rig.until(lambda: peer.ended)
    assert peer.clean and peer.got.endswith(LAST) and rig.node.core.number == 1


def test_client_that_never_ends_its_side_is_closed_all_the_same() -> None:
    rig = rig_of_two()
    client = raw(rig, b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
    rig.until(lambda: rig.node.server.channels)
    rig.until(lambda: not rig.node.server.channels)
    client.close()


def test_answer_is_not_cut_off_for_a_client_that_reads_slowly(monkeypatch: Any) -> None:
    """Guards against the bound on a client's end running while its answer still waits to be sent."""
    monkeypatch.setattr(channel, "CLOSE_TIMEOUT_MS", 5.0)
    rig, body = Rig(), b"x" * 12_000_000  # more than the sockets of both sides hold

    def answer(exchange: Any) -> None:
        exchange.close_after_answer()
        exchange.answer(200, body)

    one_server = Server(answer, 1000, 1000, 2000.0, rig.reactor, 2600.0)
    _, port = listen(rig.reactor, ("127.0.0.1", 0), one_server)
    client = socket.create_connection(("127.0.0.1", port))
    client.sendall(b"GET / HTTP/1.1\r\n\r\n")
    rig.until(lambda: any(one.closing for one in one_server.channels))
    some_time(rig, 60)  # the client's time is over several times
    client.setblocking(False)
    got = 0
    for _ in range(20_000):
        rig.reactor.iterate(0)
        try:
            piece = client.recv(1_000_000)
        except BlockingIOError:
            continue
        if not piece:
            break
        got += len(piece)
    client.close()
    one_server.stop()
    assert got > len(body)


class Stub:
    """A connection as the server's count sees it."""

    def __init__(self, rank: int, since: float) -> None:
        self.eviction_rank, self.since_ms, self.aborted = lambda: rank, since, 0
        self.transport = self

    def abortConnection(self) -> None:
        self.aborted += 1


def test_burst_of_connections_closes_as_many_others_those_that_rest_longest_first() -> None:
    """Guards against one that is closed over and over while its descriptor is not free yet: each new one
    would stay, and the descriptors for engines and discovery be taken."""
    one_server = Server(lambda _: None, 1, 1, 2000.0, None, 0.0, 10)
    busy = [Stub(0, at) for at in range(4)]
    resting = [Stub(2, 100.0 - at) for at in range(6)]
    for one in (*busy, *resting):
        one_server.connection_made(one)
    new = [Stub(3, 200.0) for _ in range(5)]
    for one in new:
        one_server.connection_made(one)
    assert len(one_server.channels) == 10 and not any(one.aborted for one in busy)
    assert [one.aborted for one in resting] == [0, 0, 0, 0, 0, 1] and sum(one.aborted for one in new) == 4
    spoken = [Stub(2, 300.0) for _ in range(3)]
    for one in spoken:
        one_server.connection_made(one)
    assert [one.aborted for one in resting] == [0, 0, 0, 1, 1, 1] and all(one.aborted for one in new)
    assert max(one.aborted for one in (*new, *spoken)) == 1


def test_peers_of_these_tests_tell_a_reset_from_an_end() -> None:
    from twisted.internet.error import ConnectionLost
    from twisted.python.failure import Failure

    ended, reset = Peer(), Peer()
    ended.connectionLost(Failure(ConnectionDone()))
    reset.connectionLost(Failure(ConnectionLost()))
    assert ended.clean and not reset.clean
