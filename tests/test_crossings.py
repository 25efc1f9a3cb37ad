"""Each stage of a request combined with what may end it there: SIGTERM, a client disconnect, a broken engine
connection.

The fake peers wait until they observe the other side; no test waits for a fixed time for something to happen.
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
    chat_request,
    chunk,
    hold_connections,
)

from worksmux.forwarding import attempt
from worksmux.net import clock
from worksmux.node import core, serve

KV_CACHE_LOST_REPLY = b"HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
POINTS = ("waiting", "connecting to prefill", "in prefill", "connecting to decode", "in decode", "streaming")


@dataclass
class Scene:
    """A node with one request at a point; `up` establishes the delayed connections to engines."""

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
        """Establishes the oldest delayed connection to an engine."""
        self.rig.run_until(lambda: self.waiting[engine.name])
        self.waiting[engine.name].pop(0)()

    def all_up(self) -> None:
        for queue in self.waiting.values():
            while queue:
                queue.pop(0)()

    def request_at(self, point: str, request_class: str = "chat", left: str = "3000") -> socket.socket:
        """Sends a request, stops its progress at a point, and returns its client's connection."""
        rig, position = self.rig, POINTS.index(point)
        if point == "waiting":
            self._set_prefill_unavailable(True)
        client = socket.create_connection(("127.0.0.1", rig.node.port))
        client.sendall(chat_request(request_class=request_class, time_left=left))
        client.setblocking(False)
        rig.run_until(lambda: rig.node.core.open_requests)
        if position >= 1:
            rig.run_until(lambda: self.waiting[self.prefill_engine.name])
        if position >= 2:
            self.up(self.prefill_engine)
            rig.run_until(lambda: self.prefill_engine.requests)
        if position >= 3:
            self.prefill_engine.peers[-1].transport.write(PREFILL_REPLY)  # type: ignore[union-attr]
            rig.run_until(lambda: self.waiting[self.decode_engine.name])
        if position >= 4:
            self.up(self.decode_engine)
            rig.run_until(lambda: self.decode_engine.requests)
        if position >= 5:
            self.decode_engine.peers[-1].transport.write(STREAM + chunk(EVENTS[0]))  # type: ignore[union-attr]
            rig.run_until(
                lambda: [
                    context for context in rig.node.core.open_requests.values() if context.first_token_at
                ]
            )
        return client

    def _set_prefill_unavailable(self, on: bool) -> None:
        for engine in self.rig.node.core.pools:
            engine.skipped_until = 1e12 if on and engine.id.decode() == self.prefill_engine.name else 0.0

    def finish(self, point: str) -> None:
        """Lets the request continue from the point to its answer."""
        self._set_prefill_unavailable(False)
        self.rig.node.core.wake()
        self.prefill_engine.script, self.decode_engine.script = (lambda _: PREFILL_REPLY), (lambda _: ANSWER)
        position = POINTS.index(point)
        if position == 2:
            self.prefill_engine.peers[-1].transport.write(PREFILL_REPLY)  # type: ignore[union-attr]
        elif position == 4:
            self.decode_engine.peers[-1].transport.write(ANSWER)  # type: ignore[union-attr]
        elif position == 5:
            self.decode_engine.peers[-1].transport.write(  # type: ignore[union-attr]
                b"".join(map(chunk, EVENTS[1:])) + LAST_CHUNK
            )

    def read_all(self, client: socket.socket) -> bytes:
        """Returns what a client receives until its connection ends or an answer is complete."""
        received: list[bytes] = []

        def done() -> bool:
            self.all_up()
            try:
                piece = client.recv(100_000)
            except BlockingIOError:
                return False
            except ConnectionResetError:
                received.append(b"RESET")
                return True
            received.append(piece)
            joined = b"".join(received)
            return not piece or joined.endswith(LAST_CHUNK) or b"content-length" in joined.lower()

        self.rig.run_until(done)
        return b"".join(received)

    def run_iterations(self, count: int = 40) -> None:
        """Runs the reactor and establishes all delayed connections."""
        for _ in range(count):
            self.all_up()
            self.rig.reactor.iterate(0.001)

    def decode_attempts(self) -> int:
        return sum(request.startswith(b"POST") for request in self.decode_engine.requests)


@pytest.fixture
def scene(monkeypatch: Any) -> Scene:
    monkeypatch.setattr(serve, "DRAIN_ACCEPT_MS", 50.0)
    return Scene()


# SIGTERM.


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("request_class", ["chat", "mark"])
def test_request_accepted_before_sigterm_is_answered(scene: Scene, point: str, request_class: str) -> None:
    client = scene.request_at(point, request_class)
    scene.rig.node.stop()
    assert not scene.ended
    scene.finish(point)
    received = scene.read_all(client)
    assert received[9:12] == b"200" and received.count(b"[DONE]") == 1 and received.endswith(LAST_CHUNK)
    client.close()
    scene.rig.run_until(lambda: scene.ended)
    assert scene.decode_attempts() == 1 and not scene.rig.node.core.releaser.is_due


@pytest.mark.parametrize("point", POINTS[1:5])
def test_shutdown_releases_after_a_client_disconnect(scene: Scene, point: str) -> None:
    """The last client disconnects while the node shuts down.

    The node ends only after the release that the disconnect requires.
    """
    client = scene.request_at(point)
    scene.rig.node.stop()
    scene.rig.run_until(lambda: not scene.rig.node.accepting)
    client.close()

    def done() -> bool:
        scene.all_up()
        return bool(scene.ended)

    scene.rig.run_until(done)
    deletes = sum(engine.methods().count(b"DELETE") for engine in scene.rig.engines)
    assert deletes >= 1 if point != "connecting to prefill" else deletes == 0


def test_request_accepted_by_the_kernel_alone_is_answered(scene: Scene) -> None:
    rig = scene.rig
    scene.prefill_engine.script, scene.decode_engine.script = (lambda _: PREFILL_REPLY), (lambda _: ANSWER)
    client = socket.create_connection(("127.0.0.1", rig.node.port))  # accepted by the kernel only
    client.sendall(chat_request())
    client.setblocking(False)
    rig.node.stop()
    received = scene.read_all(client)
    assert received[9:12] == b"200" and received.endswith(LAST_CHUNK)
    client.close()
    rig.run_until(lambda: scene.ended)


def test_partial_request_at_sigterm_is_answered(scene: Scene) -> None:
    rig, data = scene.rig, chat_request()
    scene.prefill_engine.script, scene.decode_engine.script = (lambda _: PREFILL_REPLY), (lambda _: ANSWER)
    client = socket.create_connection(("127.0.0.1", rig.node.port))
    client.sendall(data[:150])
    client.setblocking(False)
    rig.run_until(
        lambda: [open_channel for open_channel in rig.node.server.channels if open_channel.receiving]
    )
    rig.node.stop()
    scene.run_iterations()
    client.sendall(data[150:])
    received = scene.read_all(client)
    assert (
        received[9:12] == b"200"
        and received.endswith(LAST_CHUNK)
        and b"close" in received.partition(b"\r\n\r\n")[0].lower()
    )
    client.close()
    rig.run_until(lambda: scene.ended)


def test_request_during_an_idle_close_reaches_no_engine(scene: Scene) -> None:
    rig = scene.rig
    client = socket.create_connection(("127.0.0.1", rig.node.port))
    client.sendall(b"GET /up HTTP/1.1\r\n\r\n")
    rig.run_until(
        lambda: [open_channel for open_channel in rig.node.server.channels if open_channel.has_answered]
    )
    client.sendall(chat_request())
    rig.node.stop()
    scene.run_iterations()
    client.close()
    rig.run_until(lambda: scene.ended)
    assert not scene.prefill_engine.requests and rig.node.core.last_request_id == 0


# Client disconnects.


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("request_class", ["chat", "mark"])
def test_no_attempt_starts_after_a_client_disconnect(scene: Scene, point: str, request_class: str) -> None:
    client = scene.request_at(point, request_class)
    sent = [request for engine in scene.rig.engines for request in engine.requests]
    client.close()
    scene.rig.run_until(
        lambda: (
            [context for context in scene.rig.node.core.open_requests.values() if context.final_answer]
            or not scene.rig.node.core.open_requests
        )
    )
    scene.finish("connecting to prefill")  # from now on the engines answer every request
    scene.run_iterations()

    def done() -> bool:
        scene.all_up()
        return not scene.rig.node.core.open_requests and not scene.rig.node.core.releaser.running

    scene.rig.run_until(done)
    later = [request for engine in scene.rig.engines for request in engine.requests if request not in sent]
    assert all(request.startswith(b"DELETE") for request in later)


@pytest.mark.parametrize("point", ["connecting to prefill", "connecting to decode"])
def test_unread_disconnect_is_seen_before_an_attempt(scene: Scene, point: str) -> None:
    """A client disconnects while a connection to an engine is established, and the reactor has not read it.

    The node checks for the disconnect before it sends.
    """
    client = scene.request_at(point)
    engine = scene.prefill_engine if point == "connecting to prefill" else scene.decode_engine
    (channel,) = [open_channel for open_channel in scene.rig.node.server.channels if open_channel.busy]
    channel.transport.stopReading()  # the reactor does not read the disconnect
    client.close()
    scene.up(engine)
    scene.run_iterations()
    assert not any(request.startswith(b"POST") for request in engine.requests)
    assert not scene.rig.node.core.open_requests


# Broken attempts.


@pytest.mark.parametrize("point", ["in prefill", "in decode"])
@pytest.mark.parametrize("request_class", ["chat", "mark"])
@pytest.mark.parametrize("failure", ["reset", "end", "half an answer", "noise"])
def test_broken_attempt_is_retried_only_if_harmless(
    scene: Scene, point: str, request_class: str, failure: str
) -> None:
    client = scene.request_at(point, request_class)
    engine = scene.prefill_engine if point == "in prefill" else scene.decode_engine
    transport: Any = engine.peers[-1].transport
    scene.prefill_engine.script, scene.decode_engine.script = (lambda _: PREFILL_REPLY), (lambda _: ANSWER)
    match failure:
        case "reset":
            transport.abortConnection()
        case "end":
            transport.loseConnection()
        case "half an answer":
            transport.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Enc")
            transport.loseConnection()
        case "noise":
            transport.write(b"\x00\xff\r\n\r\n")
    status = scene.read_all(client)[9:12]
    may_have_run = point == "in decode"
    if request_class == "mark" and may_have_run:
        assert status == b"502" and scene.decode_attempts() == 1  # neither retried nor rejected
    else:
        assert status in (b"200", b"503") and scene.decode_attempts() <= 2
    client.close()


@pytest.mark.parametrize("request_class", ["chat", "mark"])
def test_attempt_known_not_executed_is_always_retried(scene: Scene, request_class: str) -> None:
    client = scene.request_at("in decode", request_class)
    transport: Any = scene.decode_engine.peers[-1].transport
    scene.prefill_engine.script, scene.decode_engine.script = (lambda _: PREFILL_REPLY), (lambda _: ANSWER)
    transport.write(KV_CACHE_LOST_REPLY)
    assert scene.read_all(client)[9:12] == b"200" and scene.decode_attempts() == 2
    client.close()


# Broken connections.


@pytest.mark.parametrize("request_class", ["chat", "mark"])
@pytest.mark.parametrize("written", [False, True])
def test_broken_connection_proves_only_what_was_not_sent(
    scene: Scene, request_class: str, written: bool
) -> None:
    """A connection breaks before or after the last byte is sent.

    Before it, nothing was executed. After it, the request was possibly executed, even if
    the engine read nothing.
    """
    client = scene.request_at("connecting to decode", request_class)
    if written:
        scene.decode_engine.script = lambda _: None  # the request is received and the connection reset
    else:
        scene.rig.engines[1].port.stopListening()  # refused
    for _ in range(3):
        scene.run_iterations()
    status = scene.read_all(client)[9:12]
    assert scene.decode_attempts() == 0 if not written else scene.decode_attempts() >= 1
    if request_class == "mark" and written:
        assert status == b"502" and scene.decode_attempts() == 1
    else:
        assert status == b"503"
    client.close()


# Requests and events in several pieces.


def test_request_in_single_bytes_is_one_request(scene: Scene) -> None:
    scene.prefill_engine.script, scene.decode_engine.script = (lambda _: PREFILL_REPLY), (lambda _: ANSWER)
    client = socket.create_connection(("127.0.0.1", scene.rig.node.port))
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    head = chat_request().replace(b"X-Timeout-Ms: 3000", b"x-timeout-ms:\t3000 ")
    data = b"\r\n" + head.replace(b"Host: ", b"HOST:")
    for index in range(len(data)):
        client.sendall(data[index : index + 1])
        scene.rig.reactor.iterate(0)
    client.setblocking(False)
    received = scene.read_all(client)
    assert (
        received[9:12] == b"200" and scene.decode_attempts() == 1 and scene.rig.node.core.last_request_id == 1
    )
    client.close()


def test_pipelined_requests_are_answered_in_order(scene: Scene) -> None:
    scene.prefill_engine.script, scene.decode_engine.script = (lambda _: PREFILL_REPLY), (lambda _: ANSWER)
    client = socket.create_connection(("127.0.0.1", scene.rig.node.port))
    client.sendall(chat_request("p1") + chat_request("p2") + b"GET /up HTTP/1.1\r\n\r\n")
    client.setblocking(False)
    received: list[bytes] = []

    def done() -> bool:
        scene.all_up()
        try:
            received.append(client.recv(100_000))
        except BlockingIOError:
            return False
        return b"serving" in b"".join(received)

    scene.rig.run_until(done)
    assert b"".join(received).count(b"[DONE]") == 2 and scene.rig.node.core.last_request_id == 2
    client.close()


@pytest.mark.parametrize("size", [1, 7, 10_000])
def test_each_event_reaches_the_client_at_once(scene: Scene, size: int) -> None:
    """An engine sends the next event only after the client has received the last one.

    No event is delayed until the next one.
    """
    scene.request_at("in decode").close()  # this client disconnects; another one follows
    scene.run_iterations()
    rig = scene.rig
    scene.prefill_engine.script = lambda _: PREFILL_REPLY
    peer: Peer = rig.client(chat_request("b1"))

    def reached() -> bool:
        scene.all_up()
        return any(b"b1" in request for request in scene.decode_engine.requests)

    rig.run_until(reached)
    transport: Any = scene.decode_engine.peers[-1].transport
    transport.write(STREAM)
    for number, event in enumerate(EVENTS[:1] * 5 + EVENTS[1:]):
        data = chunk(event)
        for offset in range(0, len(data), size):
            transport.write(data[offset : offset + size])
            rig.reactor.iterate(0)
        rig.run_until(lambda number=number: peer.received.count(b"data:") == number + 1)
    transport.write(LAST_CHUNK)
    rig.run_until(lambda: peer.received.endswith(LAST_CHUNK))


# Timeouts, replaced engines, file descriptors.


def test_stalled_stream_is_cut_for_its_client(scene: Scene, monkeypatch: Any) -> None:
    monkeypatch.setattr(core, "MAX_STREAM_GAP_MS", 60.0)
    client = scene.request_at("streaming")
    received = scene.read_all(client)
    assert EVENTS[0] in received and not received.endswith(LAST_CHUNK)
    scene.rig.run_until(lambda: scene.decode_engine.peers[-1].ended)
    client.close()


def write_slowly(scene: Scene, data: bytes, duration_ms: float) -> None:
    """Writes data to the node in chunks of a byte, and stops before the end if the node closes."""
    peer, began = scene.decode_engine.peers[-1], clock.now()
    for position in range(len(data)):
        peer.transport.write(chunk(data[position : position + 1]))  # type: ignore[union-attr]
        due = began + duration_ms * (position + 1) / len(data)
        scene.rig.run_until(lambda due=due: clock.now() >= due or peer.ended)
        if peer.ended:
            return


def test_stream_whose_event_is_written_slowly_is_not_cut(scene: Scene, monkeypatch: Any) -> None:
    """An engine takes longer for an event than a stream may pause, and data keeps arriving.

    The stream was cut although the engine was still writing it.
    """
    monkeypatch.setattr(core, "MAX_STREAM_GAP_MS", 60.0)
    client = scene.request_at("streaming")
    write_slowly(scene, EVENTS[1], 300.0)
    peer = scene.decode_engine.peers[-1]
    peer.transport.write(chunk(EVENTS[2]) + LAST_CHUNK)  # type: ignore[union-attr]
    received = scene.read_all(client)
    assert EVENTS[1] in received and received.endswith(LAST_CHUNK)
    client.close()


@pytest.mark.parametrize("data", [b"~" * 80, EVENTS[1][:40]])
def test_noise_and_events_that_stop_are_cut(scene: Scene, monkeypatch: Any, data: bytes) -> None:
    """Noise is no event, and an engine that stops in the middle of one is not writing it."""
    monkeypatch.setattr(core, "MAX_STREAM_GAP_MS", 60.0)
    monkeypatch.setattr(attempt, "MAX_DATA_GAP_MS", 60.0)
    client = scene.request_at("streaming")
    write_slowly(scene, data, 300.0)
    received = scene.read_all(client)
    assert EVENTS[0] in received and not received.endswith(LAST_CHUNK)
    client.close()


@pytest.mark.parametrize("point", POINTS[:5])
@pytest.mark.parametrize("request_class", ["chat", "mark"])
def test_late_reactor_lets_the_policy_answer_first(scene: Scene, point: str, request_class: str) -> None:
    """The reactor is blocked past a deadline, and all timers expire at once.

    The policy answers first, as it knows more about the request than the deadline timer does.
    """
    client = scene.request_at(point, request_class, left="400")
    (context,) = scene.rig.node.core.open_requests.values()
    while clock.now() < context.request.deadline + 30:  # the reactor does not run
        pass
    scene.rig.run_until(lambda: context.final_answer)
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
    client = scene.request_at(point, request_class, left="400")

    def answered() -> bool:
        try:
            return bool(client.recv(1000, socket.MSG_PEEK))
        except BlockingIOError:
            return False

    scene.rig.run_until(answered)
    may_have_run = request_class == "mark" and point == "in decode"
    assert client.recv(1000)[9:12] in ((b"502", b"504") if may_have_run else (b"503",))
    assert clock.now() - begun < 400 + 100  # margin for a busy machine
    client.close()


def test_nothing_is_sent_to_an_engine_replaced_while_connecting(scene: Scene) -> None:
    """An engine is replaced by another process at its address while a connection to it is established.

    The attempt is not sent, as it is for the old process.
    """
    rig = scene.rig
    client = scene.request_at("connecting to prefill", left="900")
    old, new = scene.prefill_engine.entry("DELETED"), {**scene.prefill_engine.entry("DRAINING"), "name": "e9"}
    rig.discovery_server.send_list(2, old, new)
    rig.run_until(lambda: [engine for engine in rig.node.core.pools if engine.state == "gone"])
    scene.run_iterations()
    assert scene.read_all(client)[9:12] == b"503" and not scene.prefill_engine.requests
    client.close()


def test_release_survives_a_shortage_of_descriptors(scene: Scene) -> None:
    client = scene.request_at("in prefill")
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    spare = os.dup(0)
    resource.setrlimit(resource.RLIMIT_NOFILE, (spare + 3, hard))
    descriptors = [spare]
    client.close()
    for _ in range(60):
        try:
            while True:
                descriptors.append(os.dup(0))  # takes each descriptor that becomes free
        except OSError:
            scene.all_up()
            scene.rig.reactor.iterate(0.002)
    assert b"DELETE" not in scene.prefill_engine.methods() + scene.decode_engine.methods()
    for descriptor in descriptors:
        os.close(descriptor)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    def released() -> bool:
        scene.all_up()
        return b"DELETE" in scene.prefill_engine.methods() + scene.decode_engine.methods()

    scene.rig.run_until(released)
    scene.rig.run_until(lambda: scene.all_up() or not scene.rig.node.core.releaser.running)


def test_request_that_becomes_complete_late_in_a_shutdown_is_refused(scene: Scene, monkeypatch: Any) -> None:
    """The rest of a request arrives long after SIGTERM, and its stream could still run at SIGKILL."""
    monkeypatch.setattr(serve, "DRAIN_SERVE_MS", 0.0)
    rig, data = scene.rig, chat_request()
    client = socket.create_connection(("127.0.0.1", rig.node.port))
    client.sendall(data[:150])
    client.setblocking(False)
    rig.run_until(lambda: [channel for channel in rig.node.server.channels if channel.receiving])
    rig.node.stop()
    rig.run_until(lambda: not rig.node.accepting)
    client.sendall(data[150:])
    assert scene.read_all(client)[9:12] == b"503"
    client.close()
    rig.run_until(lambda: scene.ended)
    assert not scene.prefill_engine.requests
