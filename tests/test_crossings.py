"""Every point that a request can be at, combined with what may end it there: SIGTERM, a client disconnect,
the end of an engine's connection.

The fake peers wait until they have seen the other side; nothing waits by the clock for something to happen.
"""

from __future__ import annotations

import os
import resource
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pytest
from node_rig import (
    ANSWER,
    EVENTS,
    LAST_CHUNK,
    PREFILL_REPLY,
    STREAM,
    Engine,
    Peer,
    Rig,
    ask,
    chunk,
    hold_connections,
)

from worksmux.net import clock
from worksmux.node import core, serve

LOST = b"HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
POINTS = ("waiting", "connecting to prefill", "in prefill", "connecting to decode", "in decode", "streaming")


@dataclass
class Scene:
    """A node with one request at a point; connections to engines come up when `up` is called."""

    rig: Rig = field(default_factory=Rig)
    waiting: dict[str, list[Callable[[], Any]]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.prefill_engine = self.rig.engine("prefill", lambda _: b"")
        self.decode_engine = self.rig.engine("decode", lambda _: b"")
        self.rig.start()
        self.ended: list[bool] = []
        self.rig.node.on_end = lambda: self.ended.append(True)
        for engine in self.rig.engines:
            self.waiting[engine.name] = hold_connections(self.rig, engine)

    def up(self, engine: Engine) -> None:
        """The oldest connection to an engine that waits comes up."""
        self.rig.until(lambda: self.waiting[engine.name])
        self.waiting[engine.name].pop(0)()

    def all_up(self) -> None:
        for queue in self.waiting.values():
            while queue:
                queue.pop(0)()

    def to(self, point: str, request_class: str = "chat", left: str = "3000") -> socket.socket:
        """A request whose progress is stopped at a point; gives its client's connection."""
        rig, at = self.rig, POINTS.index(point)
        if point == "waiting":
            self._no_room(True)
        client = socket.create_connection(("127.0.0.1", rig.node.port))
        client.sendall(ask(request_class=request_class, left=left))
        client.setblocking(False)
        rig.until(lambda: rig.node.core.open_requests)
        if at >= 1:
            rig.until(lambda: self.waiting[self.prefill_engine.name])
        if at >= 2:
            self.up(self.prefill_engine)
            rig.until(lambda: self.prefill_engine.asked)
        if at >= 3:
            self.prefill_engine.peers[-1].transport.write(PREFILL_REPLY)  # type: ignore[union-attr]
            rig.until(lambda: self.waiting[self.decode_engine.name])
        if at >= 4:
            self.up(self.decode_engine)
            rig.until(lambda: self.decode_engine.asked)
        if at >= 5:
            self.decode_engine.peers[-1].transport.write(STREAM + chunk(EVENTS[0]))  # type: ignore[union-attr]
            rig.until(
                lambda: [
                    context for context in rig.node.core.open_requests.values() if context.first_token_at
                ]
            )
        return client

    def _no_room(self, on: bool) -> None:
        for engine in self.rig.node.core.pools:
            engine.skipped_until = 1e12 if on and engine.id.decode() == self.prefill_engine.name else 0.0

    def finish(self, point: str) -> None:
        """Everything goes its way from the point."""
        self._no_room(False)
        self.rig.node.core.wake()
        self.prefill_engine.script, self.decode_engine.script = (lambda _: PREFILL_REPLY), (lambda _: ANSWER)
        at = POINTS.index(point)
        if at == 2:
            self.prefill_engine.peers[-1].transport.write(PREFILL_REPLY)  # type: ignore[union-attr]
        elif at == 4:
            self.decode_engine.peers[-1].transport.write(ANSWER)  # type: ignore[union-attr]
        elif at == 5:
            self.decode_engine.peers[-1].transport.write(  # type: ignore[union-attr]
                b"".join(map(chunk, EVENTS[1:])) + LAST_CHUNK
            )

    def read_all(self, client: socket.socket) -> bytes:
        """What a client gets until its connection ends or an answer is whole."""
        got: list[bytes] = []

        def over() -> bool:
            self.all_up()
            try:
                piece = client.recv(100_000)
            except BlockingIOError:
                return False
            except ConnectionResetError:
                got.append(b"RESET")
                return True
            got.append(piece)
            whole = b"".join(got)
            return not piece or whole.endswith(LAST_CHUNK) or b"content-length" in whole.lower()

        self.rig.until(over)
        return b"".join(got)

    def turns(self, count: int = 40) -> None:
        """Lets all that is due happen, and connections come up."""
        for _ in range(count):
            self.all_up()
            self.rig.reactor.iterate(0.001)

    def effects(self) -> int:
        return sum(request.startswith(b"POST") for request in self.decode_engine.asked)


@pytest.fixture
def scene(monkeypatch: Any) -> Scene:
    monkeypatch.setattr(serve, "DRAIN_ACCEPT_MS", 50.0)
    return Scene()


# SIGTERM.


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("request_class", ["chat", "mark"])
def test_request_accepted_before_sigterm_is_answered(scene: Scene, point: str, request_class: str) -> None:
    client = scene.to(point, request_class)
    scene.rig.node.stop()
    assert not scene.ended
    scene.finish(point)
    got = scene.read_all(client)
    assert got[9:12] == b"200" and got.count(b"[DONE]") == 1 and got.endswith(LAST_CHUNK)
    client.close()
    scene.rig.until(lambda: scene.ended)
    assert scene.effects() == 1 and not scene.rig.node.core.releaser.is_due


@pytest.mark.parametrize("point", POINTS[1:5])
def test_shutdown_releases_after_a_client_disconnect(scene: Scene, point: str) -> None:
    """The last client disconnects while the node shuts down.

    The process ends only after the release that this calls for.
    """
    client = scene.to(point)
    scene.rig.node.stop()
    scene.rig.until(lambda: not scene.rig.node.accepting)
    client.close()

    def over() -> bool:
        scene.all_up()
        return bool(scene.ended)

    scene.rig.until(over)
    deletes = sum(engine.verbs().count(b"DELETE") for engine in scene.rig.engines)
    assert deletes >= 1 if point != "connecting to prefill" else deletes == 0


def test_request_accepted_by_the_kernel_alone_is_answered(scene: Scene) -> None:
    rig = scene.rig
    scene.prefill_engine.script, scene.decode_engine.script = (lambda _: PREFILL_REPLY), (lambda _: ANSWER)
    client = socket.create_connection(("127.0.0.1", rig.node.port))  # accepted by the machine alone
    client.sendall(ask())
    client.setblocking(False)
    rig.node.stop()
    got = scene.read_all(client)
    assert got[9:12] == b"200" and got.endswith(LAST_CHUNK)
    client.close()
    rig.until(lambda: scene.ended)


def test_partial_request_at_sigterm_is_answered(scene: Scene) -> None:
    rig, data = scene.rig, ask()
    scene.prefill_engine.script, scene.decode_engine.script = (lambda _: PREFILL_REPLY), (lambda _: ANSWER)
    client = socket.create_connection(("127.0.0.1", rig.node.port))
    client.sendall(data[:150])
    client.setblocking(False)
    rig.until(lambda: [one for one in rig.node.server.channels if one.receiving])
    rig.node.stop()
    scene.turns()
    client.sendall(data[150:])
    got = scene.read_all(client)
    assert (
        got[9:12] == b"200" and got.endswith(LAST_CHUNK) and b"close" in got.partition(b"\r\n\r\n")[0].lower()
    )
    client.close()
    rig.until(lambda: scene.ended)


def test_request_that_crosses_an_idle_close_reaches_no_engine(scene: Scene) -> None:
    rig = scene.rig
    client = socket.create_connection(("127.0.0.1", rig.node.port))
    client.sendall(b"GET /up HTTP/1.1\r\n\r\n")
    rig.until(lambda: [one for one in rig.node.server.channels if one.has_answered])
    client.sendall(ask())
    rig.node.stop()
    scene.turns()
    client.close()
    rig.until(lambda: scene.ended)
    assert not scene.prefill_engine.asked and rig.node.core.last_request_id == 0


# A client that leaves.


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("request_class", ["chat", "mark"])
def test_no_attempt_starts_after_a_client_disconnect(scene: Scene, point: str, request_class: str) -> None:
    client = scene.to(point, request_class)
    sent = [request for engine in scene.rig.engines for request in engine.asked]
    client.close()
    scene.rig.until(
        lambda: (
            [context for context in scene.rig.node.core.open_requests.values() if context.final_answer]
            or not scene.rig.node.core.open_requests
        )
    )
    scene.finish("connecting to prefill")  # whatever is asked from now on is answered
    scene.turns()

    def over() -> bool:
        scene.all_up()
        return not scene.rig.node.core.open_requests and not scene.rig.node.core.releaser.running

    scene.rig.until(over)
    later = [request for engine in scene.rig.engines for request in engine.asked if request not in sent]
    assert all(request.startswith(b"DELETE") for request in later)


@pytest.mark.parametrize("point", ["connecting to prefill", "connecting to decode"])
def test_unread_disconnect_is_seen_before_an_attempt(scene: Scene, point: str) -> None:
    """A client disconnects while the connection to an engine comes up, and the reactor has not read it.

    The node looks for it before it sends.
    """
    client = scene.to(point)
    engine = scene.prefill_engine if point == "connecting to prefill" else scene.decode_engine
    (channel,) = [one for one in scene.rig.node.server.channels if one.busy]
    channel.transport.stopReading()  # the reactor does not come to read it
    client.close()
    scene.up(engine)
    scene.turns()
    assert not any(request.startswith(b"POST") for request in engine.asked)
    assert not scene.rig.node.core.open_requests


# What cannot be repeated.


@pytest.mark.parametrize("point", ["in prefill", "in decode"])
@pytest.mark.parametrize("request_class", ["chat", "mark"])
@pytest.mark.parametrize("how", ["reset", "end", "half an answer", "noise"])
def test_broken_attempt_is_retried_only_if_harmless(
    scene: Scene, point: str, request_class: str, how: str
) -> None:
    client = scene.to(point, request_class)
    engine = scene.prefill_engine if point == "in prefill" else scene.decode_engine
    wire: Any = engine.peers[-1].transport
    scene.prefill_engine.script, scene.decode_engine.script = (lambda _: PREFILL_REPLY), (lambda _: ANSWER)
    match how:
        case "reset":
            wire.abortConnection()
        case "end":
            wire.loseConnection()
        case "half an answer":
            wire.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Enc")
            wire.loseConnection()
        case "noise":
            wire.write(b"\x00\xff\r\n\r\n")
    status = scene.read_all(client)[9:12]
    may_have_run = point == "in decode"
    if request_class == "mark" and may_have_run:
        assert status == b"502" and scene.effects() == 1  # neither repeated nor refused
    else:
        assert status in (b"200", b"503") and scene.effects() <= 2
    client.close()


@pytest.mark.parametrize("request_class", ["chat", "mark"])
def test_attempt_known_not_executed_is_always_retried(scene: Scene, request_class: str) -> None:
    client = scene.to("in decode", request_class)
    wire: Any = scene.decode_engine.peers[-1].transport
    scene.prefill_engine.script, scene.decode_engine.script = (lambda _: PREFILL_REPLY), (lambda _: ANSWER)
    wire.write(LOST)
    assert scene.read_all(client)[9:12] == b"200" and scene.effects() == 2
    client.close()


# A process that dies behind an accept.


@pytest.mark.parametrize("request_class", ["chat", "mark"])
@pytest.mark.parametrize("written", [False, True])
def test_broken_connection_proves_only_what_was_not_sent(
    scene: Scene, request_class: str, written: bool
) -> None:
    """A connection breaks before or after the last byte has left.

    Before it nothing was executed; after it something possibly was, also where the engine read nothing.
    """
    client = scene.to("connecting to decode", request_class)
    if written:
        scene.decode_engine.script = lambda _: None  # the request is received and the connection reset
    else:
        scene.rig.engines[1].port.stopListening()  # refused
    for _ in range(3):
        scene.turns()
    status = scene.read_all(client)[9:12]
    assert scene.effects() == 0 if not written else scene.effects() >= 1
    if request_class == "mark" and written:
        assert status == b"502" and scene.effects() == 1
    else:
        assert status == b"503"
    client.close()


# Requests and events in pieces.


def test_request_in_single_bytes_is_one_request(scene: Scene) -> None:
    scene.prefill_engine.script, scene.decode_engine.script = (lambda _: PREFILL_REPLY), (lambda _: ANSWER)
    client = socket.create_connection(("127.0.0.1", scene.rig.node.port))
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    head = ask().replace(b"X-Timeout-Ms: 3000", b"x-timeout-ms:\t3000 ")
    data = b"\r\n" + head.replace(b"Host: ", b"HOST:")
    for at in range(len(data)):
        client.sendall(data[at : at + 1])
        scene.rig.reactor.iterate(0)
    client.setblocking(False)
    got = scene.read_all(client)
    assert got[9:12] == b"200" and scene.effects() == 1 and scene.rig.node.core.last_request_id == 1
    client.close()


def test_pipelined_requests_are_answered_in_order(scene: Scene) -> None:
    scene.prefill_engine.script, scene.decode_engine.script = (lambda _: PREFILL_REPLY), (lambda _: ANSWER)
    client = socket.create_connection(("127.0.0.1", scene.rig.node.port))
    client.sendall(ask("p1") + ask("p2") + b"GET /up HTTP/1.1\r\n\r\n")
    client.setblocking(False)
    got: list[bytes] = []

    def over() -> bool:
        scene.all_up()
        try:
            got.append(client.recv(100_000))
        except BlockingIOError:
            return False
        return b"serving" in b"".join(got)

    scene.rig.until(over)
    assert b"".join(got).count(b"[DONE]") == 2 and scene.rig.node.core.last_request_id == 2
    client.close()


@pytest.mark.parametrize("size", [1, 7, 10_000])
def test_each_event_reaches_the_client_at_once(scene: Scene, size: int) -> None:
    """An engine sends an event and waits until the client has seen it before it sends the next.

    No event is held back or merged with the next.
    """
    scene.to("in decode").close()  # its client leaves; another one comes
    scene.turns()
    rig = scene.rig
    scene.prefill_engine.script = lambda _: PREFILL_REPLY
    peer: Peer = rig.client(ask("b1"))

    def reached() -> bool:
        scene.all_up()
        return any(b"b1" in request for request in scene.decode_engine.asked)

    rig.until(reached)
    wire: Any = scene.decode_engine.peers[-1].transport
    wire.write(STREAM)
    for number, event in enumerate(EVENTS[:1] * 5 + EVENTS[1:]):
        data = chunk(event)
        for at in range(0, len(data), size):
            wire.write(data[at : at + size])
            rig.reactor.iterate(0)
        rig.until(lambda number=number: peer.got.count(b"data:") == number + 1)
    wire.write(LAST_CHUNK)
    rig.until(lambda: peer.got.endswith(LAST_CHUNK))


# Time-outs, engines that change, descriptors.


def test_stalled_stream_is_cut_for_its_client(scene: Scene, monkeypatch: Any) -> None:
    monkeypatch.setattr(core, "MAX_STREAM_GAP_MS", 60.0)
    client = scene.to("streaming")
    got = scene.read_all(client)
    assert EVENTS[0] in got and not got.endswith(LAST_CHUNK)
    scene.rig.until(lambda: scene.decode_engine.peers[-1].ended)
    client.close()


@pytest.mark.parametrize("point", POINTS[:5])
@pytest.mark.parametrize("request_class", ["chat", "mark"])
def test_late_reactor_lets_the_policy_answer_first(scene: Scene, point: str, request_class: str) -> None:
    """The reactor is blocked past a deadline, and all timers come due at once.

    The policy answers, which knows more of the request than the guard of its deadline does.
    """
    client = scene.to(point, request_class, left="400")
    (context,) = scene.rig.node.core.open_requests.values()
    while clock.now() < context.request.deadline + 30:  # the reactor does not turn
        pass
    scene.rig.until(lambda: context.final_answer)
    may_have_run = request_class == "mark" and point == "in decode"
    assert context.final_answer == ("broken off" if may_have_run else "deferred")
    assert "deadlines_missed" not in scene.rig.node.counts.counts
    client.close()


@pytest.mark.parametrize("point", POINTS[:5])
@pytest.mark.parametrize("request_class", ["chat", "mark"])
def test_expired_request_is_answered_before_its_client_gives_up(
    scene: Scene, point: str, request_class: str
) -> None:
    begun = clock.now()
    client = scene.to(point, request_class, left="400")

    def answered() -> bool:
        try:
            return bool(client.recv(1000, socket.MSG_PEEK))
        except BlockingIOError:
            return False

    scene.rig.until(answered)
    may_have_run = request_class == "mark" and point == "in decode"
    assert client.recv(1000)[9:12] in ((b"502", b"504") if may_have_run else (b"503",))
    assert clock.now() - begun < 400 + 100  # a busy machine has its share in it
    client.close()


def test_nothing_is_sent_to_an_engine_replaced_while_connecting(scene: Scene) -> None:
    """An engine is replaced by another process at its address while a connection to it comes up.

    The attempt, meant for the old process, is not sent.
    """
    rig = scene.rig
    client = scene.to("connecting to prefill", left="900")
    old, new = scene.prefill_engine.entry("DELETED"), {**scene.prefill_engine.entry("DRAINING"), "name": "e9"}
    rig.hosts.tell(2, old, new)
    rig.until(lambda: [one for one in rig.node.core.pools if one.state == "gone"])
    scene.turns()
    assert scene.read_all(client)[9:12] == b"503" and not scene.prefill_engine.asked
    client.close()


def test_release_survives_a_shortage_of_descriptors(scene: Scene) -> None:
    client = scene.to("in prefill")
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    spare = os.dup(0)
    resource.setrlimit(resource.RLIMIT_NOFILE, (spare + 3, hard))
    taken = [spare]
    client.close()
    for _ in range(60):
        try:
            while True:
                taken.append(os.dup(0))  # whatever becomes free is gone again at once
        except OSError:
            scene.all_up()
            scene.rig.reactor.iterate(0.002)
    assert b"DELETE" not in scene.prefill_engine.verbs() + scene.decode_engine.verbs()
    for one in taken:
        os.close(one)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    def heard() -> bool:
        scene.all_up()
        return b"DELETE" in scene.prefill_engine.verbs() + scene.decode_engine.verbs()

    scene.rig.until(heard)
    scene.rig.until(lambda: scene.all_up() or not scene.rig.node.core.releaser.running)
