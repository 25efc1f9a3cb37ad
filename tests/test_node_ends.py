"""How connections of clients end, whoever ends them: no attempt starts after a disconnect, no answer is lost,
and descriptors come back."""

from __future__ import annotations

import socket
from dataclasses import replace
from time import monotonic
from types import SimpleNamespace
from typing import Any

import pytest
from node_rig import (
    ANSWER,
    LAST_CHUNK,
    NO_CONTENT,
    PREFILL_REPLY,
    Peer,
    Rig,
    ask,
    hold_connections,
    rig_of_two,
)
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


def raw(rig: Rig, data: bytes) -> socket.socket:
    client = socket.create_connection(("127.0.0.1", rig.node.port))
    client.sendall(data)
    return client


def some_time(rig: Rig, turns: int = 30) -> None:
    for _ in range(turns):
        rig.reactor.iterate(0.002)


def test_nothing_is_sent_for_a_client_gone_while_connecting() -> None:
    """A client disconnects while the connection to an engine, which may take a quarter of a second, comes up.

    Nothing is sent for it.
    """
    rig = rig_of_two()
    waiting = hold_connections(rig, rig.engines[0])
    policy = rig.node.core.id_map.policy
    policy.settings = replace(policy.settings, may_cancel=False)  # the policy may cancel nothing
    client = raw(rig, ask())
    rig.until(lambda: waiting)
    (context,) = rig.node.core.open_requests.values()
    client.close()
    rig.until(lambda: context.final_answer)
    waiting[0]()
    some_time(rig)
    assert not rig.engines[0].asked


def test_unread_disconnect_is_seen_before_sending() -> None:
    """A client has disconnected, and the reactor has not come to read it when the connection to an engine is
    up.

    The node looks for it before it sends.
    """
    rig = rig_of_two()
    waiting = hold_connections(rig, rig.engines[0])
    client = raw(rig, ask())
    rig.until(lambda: waiting)
    (context,) = rig.node.core.open_requests.values()
    (call,) = context.in_flight.values()
    client.close()
    rig.node.core._on_connected(context, call)
    assert context.final_answer == "left" and call.over and call.attempt not in context.in_flight


def test_unread_disconnect_is_seen_before_an_attempt() -> None:
    rig = rig_of_two()
    client = raw(rig, ask())
    rig.until(lambda: rig.node.core.open_requests)
    core = rig.node.core
    (context,) = core.open_requests.values()
    client.close()
    sent = len(context.in_flight)
    attempt = Attempt(context.request, next(iter(core.pools)), 5, 0.0, True)
    context.request.attempts.append(attempt)
    core._start_attempt(StartAttempt(attempt, 0.0))
    assert context.final_answer == "left" and len(context.in_flight) <= sent


def test_engine_is_sent_the_time_left_after_connecting() -> None:
    rig = rig_of_two()
    waiting = hold_connections(rig, rig.engines[0])
    client = raw(rig, ask(left="900"))
    rig.until(lambda: waiting)
    until = monotonic() + 0.12
    rig.until(lambda: monotonic() > until)
    waiting[0]()
    rig.until(lambda: rig.engines[0].asked)
    head = rig.engines[0].asked[0].partition(b"\r\n\r\n")[0]
    headers = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
    assert int(headers[b"X-Timeout-Ms"]) <= 900 / 2 - 120
    client.close()


class Call:
    """A call of an attempt, as far as its end goes."""

    def __init__(self, written: bool) -> None:
        self.written, self.abandoned = written, False

    def abandon(self) -> None:
        self.abandoned = True


@pytest.mark.parametrize("written", [True, False])
def test_attempt_ended_before_its_last_byte_was_not_sent(written: bool) -> None:
    """An attempt is cancelled or times out while its last byte has not left.

    It was not sent: it neither counts as possibly executed nor restarts the time limit of a release.
    """
    for end, outcome in (("cancel", Outcome.CANCELLED), ("_on_timeout", Outcome.TIMED_OUT)):
        ends: list[Outcome] = []
        listener: Any = SimpleNamespace(
            on_attempt_end=lambda attempt, outcome, *_, ends=ends: ends.append(outcome)
        )
        attempt = Attempt(Request(1, 0, 0, 0, 1.0, 0.0, 1.0, 0.0, 1.0), Engine(b"e", 1), 0, 0.0, False)
        one = PrefillAttempt(Clock(), None, attempt, listener, 100.0, 50.0, 300)  # type: ignore[arg-type]
        one.call = Call(written)  # type: ignore[assignment]
        getattr(one, end)()
        assert ends == [outcome if written else Outcome.NOT_SENT]
        assert one.call.abandoned  # type: ignore[union-attr]


def test_shutdown_waits_for_the_release_of_its_last_request(monkeypatch: Any) -> None:
    """The last client disconnects during prefill while the node shuts down.

    The node stays until the engine can no longer leave KV cache.
    """
    monkeypatch.setattr(serve, "DRAIN_ACCEPT_MS", 5.0)
    rig = Rig()
    prefill_engine = rig.engine("prefill", lambda _: b"")
    rig.engine("decode")
    rig.start()
    ended: list[tuple[int, float]] = []
    rig.node.on_end = lambda: ended.append((prefill_engine.verbs().count(b"DELETE"), monotonic()))
    client = raw(rig, ask(left="1600"))
    rig.until(lambda: prefill_engine.asked)
    rig.node.stop()
    rig.until(lambda: not rig.node.accepting)
    client.close()
    rig.until(lambda: prefill_engine.verbs().count(b"DELETE") == 1)
    first = monotonic()
    rig.until(lambda: ended)  # once the engine can't come to hold anything any more
    ((releases, at),) = ended
    assert releases >= 2 and at - first >= 0.5


def test_release_is_repeated_while_a_hung_engine_may_finish() -> None:
    """An engine hangs with a prefill, and another engine acknowledges the release.

    The release is repeated until the hung one acknowledges it, as it may leave KV cache later.
    """
    rig = Rig()
    hung = rig.engine("prefill", lambda _: b"")
    hung.release_answer = b""
    other = rig.engine("decode")
    rig.start()
    assert rig.answered(rig.client(ask(left="1500"))) == b"503"
    rig.until(lambda: other.verbs().count(b"DELETE") >= 2)
    assert rig.node.core.releaser.running and not rig.node.core.releaser.is_due
    hung.release_answer = NO_CONTENT
    rig.until(lambda: not rig.node.core.releaser.running)


def test_attempt_waits_a_few_steps_for_a_release() -> None:
    """A release is being sent while the connection of a second prefill comes up, and nobody acknowledges.

    The prefill waits for a few steps, then it is sent and no release arrives any more, as that would free
    its KV cache.
    """
    rig = Rig()
    prefill_engines = [rig.engine("prefill", lambda _: None), rig.engine("prefill", lambda _: None)]
    decode_engine = rig.engine("decode")
    rig.start()
    waiting = [hold_connections(rig, engine) for engine in (*prefill_engines, decode_engine)]
    peer = rig.client(ask())
    rig.until(lambda: waiting[0] or waiting[1])
    first, other = (0, 1) if waiting[0] else (1, 0)
    prefill_engines[other].script = lambda _: PREFILL_REPLY
    waiting[first].pop()()  # the prefill is reset; connections of releases wait
    rig.until(lambda: waiting[other] or len(waiting[first]) > 1)
    again = other if waiting[other] else first
    prefill_engines[again].script = lambda _: PREFILL_REPLY
    waiting[again].pop()()
    rig.until(lambda: prefill_engines[again].verbs().count(b"POST") == 1 + (again == first))
    rig.until(lambda: any(b"HTTP/1.1" in request for request in prefill_engines[again].asked))
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
def test_first_request_that_crosses_sigterm_is_answered(before: int) -> None:
    """SIGTERM comes after a client has connected and sent `before` bytes of its first request.

    The connection must not be closed as an idle one; the request is answered.
    """
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
        return bytes(got).endswith(LAST_CHUNK)

    rig.until(answered)
    assert b"200 OK" in got and b"connection: close" in got.lower()
    rig.until(lambda: rig.node.ended)


def releases_heard(rig: Rig) -> int:
    return sum(engine.verbs().count(b"DELETE") for engine in rig.engines)


def test_running_release_pauses_when_an_attempt_arrives() -> None:
    """A release is being sent when a second prefill arrives at its engine.

    The release pauses, as it would free what the prefill brings, and goes on after the attempt.
    """
    rig = Rig()
    prefill_engines = [rig.engine("prefill", lambda _: None), rig.engine("prefill", lambda _: None)]
    rig.engine("decode")
    for engine in rig.engines:
        engine.release_answer = b""
    rig.start()
    waiting = [hold_connections(rig, engine) for engine in rig.engines]
    client = raw(rig, ask())
    rig.until(lambda: waiting[0] or waiting[1])
    first, again = (0, 1) if waiting[0] else (1, 0)
    waiting[first].pop()()  # the prefill is reset
    rig.until(lambda: waiting[again])
    prefill_engines[again].script = lambda request: ALIVE if request.startswith(b"GET") else b""
    rig.until(
        lambda: waiting[first]
    )  # the connection of the second prefill does not come up: a release starts
    waiting[first].pop()()
    rig.until(lambda: b"DELETE" in prefill_engines[first].verbs())
    waiting[again].pop(0)()
    rig.until(lambda: prefill_engines[again].asked)
    rig.until(lambda: prefill_engines[first].peers[-1].ended)
    for queue in waiting:
        queue.clear()
    released = releases_heard(rig)

    def all_come_up() -> None:
        """No connection is held back any more: a probe is answered, and a release would be seen."""
        for queue in waiting:
            while queue:
                queue.pop()()

    end = monotonic() + 3 * rig.node.core.releaser.step_ms / 1000
    rig.until(lambda: all_come_up() or monotonic() > end)
    assert releases_heard(rig) == released and rig.node.core.releaser.is_due
    client.close()
    rig.until(lambda: all_come_up() or releases_heard(rig) > released)  # and goes on once that is over


def test_policy_failure_rejects_requests_and_shutdown_works(monkeypatch: Any) -> None:
    """The policy raises an exception.

    Open requests are aborted, new ones rejected, KV cache is released, and the node still shuts down.
    """
    monkeypatch.setattr(serve, "DRAIN_ACCEPT_MS", 5.0)
    rig = Rig()
    prefill_engine = rig.engine("prefill", lambda _: b"")
    rig.engine("decode")
    rig.start()
    peer = rig.client(ask())
    rig.until(lambda: prefill_engine.asked)
    monkeypatch.setattr(rig.node.core.id_map.policy, "decide", lambda *_: 1 / 0)
    rig.node.core.wake()
    assert rig.answered(peer) == b"502" and rig.node.core.failed
    rig.until(lambda: prefill_engine.verbs().count(b"DELETE") == 1)
    assert rig.answered(rig.client(ask("a2"))) == b"503"
    assert rig.answered(rig.client(b"GET /up HTTP/1.1\r\n\r\n")) == b"503"
    ended: list[bool] = []
    rig.node.on_end = lambda: ended.append(True)
    rig.node.stop()
    rig.until(lambda: ended)
    assert not rig.node.core.open_requests


def test_disconnect_is_seen_behind_pipelined_bytes() -> None:
    """A client sends much behind its request and disconnects.

    The node reads on and sees the disconnect.
    """
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
    rig.until(lambda: not rig.node.core.open_requests)
    rig.idle()
    assert rig.node.core.last_request_id == 1


def test_nothing_is_sent_to_an_engine_draining_while_connecting() -> None:
    rig = Rig()
    prefill_engines = [rig.engine("prefill") for _ in range(2)]
    rig.engine("decode")
    rig.start()
    waiting = [hold_connections(rig, engine) for engine in prefill_engines]
    peer = rig.client(ask())
    rig.until(lambda: waiting[0] or waiting[1])
    first, other = (0, 1) if waiting[0] else (1, 0)
    rig.hosts.tell(2, prefill_engines[first].entry("DRAINING"))
    rig.until(lambda: "draining" in [engine.state for engine in rig.node.core.pools])
    waiting[first][0]()
    rig.until(lambda: waiting[other])
    waiting[other][0]()
    assert rig.answered(peer) == b"200" and not prefill_engines[first].asked


@pytest.mark.parametrize("why", ["SIGTERM", "it rested too long"])
def test_request_that_crosses_the_close_is_not_accepted(why: str) -> None:
    """A request arrives on an idle connection just as the node closes it.

    It is not accepted, as it could get no answer, and the client sees an end of the connection instead of a
    reset.
    """
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
    assert got.endswith(b"serving\n") and rig.node.core.last_request_id == 0
    assert rig.node.server.channels  # it is not closed over what may still come
    client.close()
    rig.until(lambda: not rig.node.server.channels)


def test_answer_is_whole_despite_pipelined_requests() -> None:
    rig = rig_of_two(lambda _: b"")
    peer = rig.client(ask())
    rig.until(lambda: rig.engines[1].asked)
    rig.node.server.close_idle()  # its answer is the last on this connection
    for at in range(150):  # much more than is read ahead of an answer
        peer.transport.write(ask(f"b{at}"))  # type: ignore[union-attr]
    some_time(rig)
    rig.engines[1].peers[0].transport.write(ANSWER)  # type: ignore[union-attr]
    rig.until(lambda: peer.ended)
    assert peer.clean and peer.got.endswith(LAST_CHUNK) and rig.node.core.last_request_id == 1


def test_client_that_never_closes_is_closed() -> None:
    rig = rig_of_two()
    client = raw(rig, b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
    rig.until(lambda: rig.node.server.channels)
    rig.until(lambda: not rig.node.server.channels)
    client.close()


def test_slow_client_gets_its_whole_answer(monkeypatch: Any) -> None:
    """A client reads its last answer slowly.

    The time limit for the client's close must not run while the answer still waits to be sent.
    """
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


def test_burst_of_connections_closes_the_longest_idle() -> None:
    """More clients connect than there are descriptors for them.

    Each new connection closes another one, the longest idle first. A connection that is already closing
    does not count, or the descriptors for engines and discovery would be used up.
    """
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


def test_peers_distinguish_a_reset_from_an_end() -> None:
    from twisted.internet.error import ConnectionLost
    from twisted.python.failure import Failure

    ended, reset = Peer(), Peer()
    ended.connectionLost(Failure(ConnectionDone()))
    reset.connectionLost(Failure(ConnectionLost()))
    assert ended.clean and not reset.clean
