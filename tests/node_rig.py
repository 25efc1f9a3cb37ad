"""A node between scripted peers on loopback; each test scripts what the peers send."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Callable
from time import monotonic
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol

from worksmux.net.loop import listen
from worksmux.node.config import Config, parse_config
from worksmux.node.serve import Node

# Loopback address of this process's engines.  Where an engine stops listening, a process that is given its
# port on another address does not answer in its place: connections to the engine are refused.
ENGINE_HOST = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.1"

SETTINGS = {
    "me": 0,
    "balancers": 1,
    "zone": 0,
    "tick": 2.0,
    "kinds": ["prefill", "decode"],
    "zones": ["a"],
    "services": [
        {"name": "chat", "aim": 1000.0, "deadline": 4000.0, "worth": 1.0, "repeat": "free"},
        {"name": "mark", "aim": 1000.0, "deadline": 4000.0, "worth": 5.0, "repeat": "single_shot"},
    ],
    "limits": {"cancel": True, "probes": True, "try_limit": 5, "connect_timeout": 250.0},
    "extra": {"duty_by_kind": ["read", "write"], "release_within": 500.0},
    "rules": {
        "answer_slack": 8.0,
        "drain_grace": 250.0,
        "cold_share": 0.3,
        "warm_up": 13000.0,
        "tip_multiple": 4.0,
        "fall": 2000.0,
    },
}
EVENTS = (
    b'data: {"choices":[{"index":0,"delta":{"content":"oq"},"finish_reason":null}]}\n\n',
    b'data: {"choices":[{"index":0,"delta":{"content":"vh"},"finish_reason":"stop"}]}\n\n',
    b"data: [DONE]\n\n",
)
PREFILL_REPLY = b'HTTP/1.1 202 Accepted\r\nContent-Length: 21\r\n\r\n{"cached_tokens":409}'
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
BODY = b'{"model":"chat","stream":true,"messages":[{"role":"user","content":"x"}]}'


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


ANSWER = STREAM + b"".join(map(chunk, EVENTS)) + LAST_CHUNK


def chat_request(
    key: str = "a1",
    request_class: str = "chat",
    time_left: str = "3000",
    body: bytes = BODY,
    extra_headers: str = "",
) -> bytes:
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {key}\r\n"
        f"X-Priority-Class: {request_class}\r\nX-Route-Key: 7f\r\nX-Timeout-Ms: {time_left}\r\n"
        f"X-Attrs: prefix=5c,prompt_len=500,prefix_len=100,max_out=80\r\n{extra_headers}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Peer(Protocol):
    """One connection.

    `received` has the received data, `ended` tells whether the connection is closed, `clean` whether it
    closed without a reset.
    """

    def __init__(self, on_data: Callable[[Peer], None] | None = None) -> None:
        self.on_data, self.received, self.ended, self.clean = on_data, b"", False, False

    def dataReceived(self, data: bytes) -> None:
        self.received += data
        if self.on_data:
            self.on_data(self)

    def connectionLost(self, reason: Any = None) -> None:
        self.ended, self.clean = True, reason is not None and bool(reason.check(ConnectionDone))

    def next_request(self) -> bytes | None:
        """Removes the next complete request from the received data and returns it; None without one."""
        head, end, rest = self.received.partition(b"\r\n\r\n")
        length = next(
            (int(line[15:]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length:")), 0
        )
        if not end or len(rest) < length:
            return None
        self.received = rest[length:]
        return head + end + rest[:length]


class Engine:
    """An engine that answers each complete request with `script(request)`; None resets the connection."""

    def __init__(self, rig: Rig, name: str, kind: str, script: Callable[[bytes], bytes | None]) -> None:
        self.name, self.kind, self.script = name, kind, script
        self.requests: list[bytes] = []
        self.release_answer = NO_CONTENT
        self.on_release: Callable[[], Any] = lambda: None
        self.peers: list[Peer] = []
        factory: Any = Factory.forProtocol(self._peer)  # type: ignore[arg-type]
        self.port, self.port_number = listen(rig.reactor, (ENGINE_HOST, 0), factory)

    def _peer(self) -> Peer:
        self.peers.append(Peer(self._data))
        return self.peers[-1]

    def _data(self, peer: Peer) -> None:
        while (request := peer.next_request()) is not None:
            self.requests.append(request)
            if request.startswith(b"DELETE"):
                self.on_release()
            answer = self.release_answer if request.startswith(b"DELETE") else self.script(request)
            if answer is None:
                return peer.transport.abortConnection()  # type: ignore[union-attr]
            peer.transport.write(answer)  # type: ignore[union-attr]

    def methods(self) -> list[bytes]:
        return [request.split(b" ")[0] for request in self.requests]

    def entry(self, status: str = "SERVING") -> dict[str, Any]:
        return {
            "name": self.name,
            "address": f"{ENGINE_HOST}:{self.port_number}",
            "zone": "a",
            "type": self.kind,
            "group": 1,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }


class UnacceptingListener:
    """A listener where connections are never established: its accept queue of one is full."""

    def __init__(self) -> None:
        self.sockets = [socket.socket()]
        self.sockets[0].bind((ENGINE_HOST, 0))
        self.sockets[0].listen(0)
        self.port = self.sockets[0].getsockname()[1]
        for _ in range(3):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex((ENGINE_HOST, self.port))
            self.sockets.append(filling)

    def close(self) -> None:
        for opened in self.sockets:
            opened.close()


class DiscoveryServer:
    """Discovery: each watch gets a response head and `first`, then the lists of `send_list`."""

    def __init__(self, rig: Rig, first: bytes = chunk(b"\n")) -> None:
        self.watches: list[Peer] = []
        self.first = first
        factory: Any = Factory.forProtocol(lambda: Peer(self._data))  # type: ignore[arg-type]
        self.port, self.port_number = listen(rig.reactor, ("127.0.0.1", 0), factory)

    def _data(self, peer: Peer) -> None:
        if peer.next_request() is not None:
            self.watches.append(peer)
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            peer.transport.write(head + self.first)  # type: ignore[union-attr]

    def send_list(self, index: int, *entries: dict[str, Any], snapshot: bool = False) -> None:
        line = json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries}).encode() + b"\n"
        self.watches[-1].transport.write(chunk(line))  # type: ignore[union-attr]


class Rig:
    """A node with the engines that were added before `start`."""

    def __init__(self, sockets: int = 256) -> None:
        self.reactor: Any = EPollReactor()  # type: ignore[no-untyped-call]
        self.engines: list[Engine] = []
        self.discovery_server = DiscoveryServer(self)
        self.sockets = sockets
        self.node: Any = None

    def engine(self, kind: str, script: Callable[[bytes], bytes | None] | None = None) -> Engine:
        default_reply = PREFILL_REPLY if kind == "prefill" else ANSWER
        self.engines.append(Engine(self, f"e{len(self.engines)}", kind, script or (lambda _: default_reply)))
        return self.engines[-1]

    def config(self) -> Config:
        config = {
            "name": "n",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.discovery_server.port_number}",
            "seed": "8c",
            "limits": {"sockets": self.sockets},
            "settings": SETTINGS,
            "known": {"index": 1, "snapshot": True, "endpoints": [engine.entry() for engine in self.engines]},
        }
        return parse_config(json.dumps(config).encode(), "config.json", {})

    def start(self) -> Rig:
        self.node = Node(self.config(), self.reactor)
        self.node.start()
        self.run_until(
            lambda: self.node.listener and (self.node.discovery.current or not self.discovery_server.first)
        )
        return self

    def client(self, *data: bytes) -> Peer:
        peer = Peer()
        factory: Any = Factory.forProtocol(lambda: peer)  # type: ignore[arg-type]
        factory.doStart = factory.doStop = factory.startedConnecting = lambda *_: None
        factory.clientConnectionLost = factory.clientConnectionFailed = lambda *_: None
        self.reactor.connectTCP("127.0.0.1", self.node.port, factory)
        self.run_until(lambda: peer.connected)
        for piece in data:
            peer.transport.write(piece)  # type: ignore[union-attr]
        return peer

    def run_until(self, reached: Callable[[], Any], seconds: float = 8.0) -> None:
        """Runs the reactor until `reached` returns a true value."""
        end = monotonic() + seconds
        while not reached():
            assert monotonic() < end, f"condition not reached within {seconds} s"
            self.reactor.iterate(0.01)

    def wait_for_status(self, peer: Peer) -> bytes:
        """Waits for a complete answer or the end of the connection; returns the status."""
        self.run_until(
            lambda: (
                peer.ended
                or peer.received.endswith(LAST_CHUNK)
                or b"\r\n\r\n" in peer.received
                and (b"Content-Length" in peer.received or b"content-length" in peer.received)
            )
        )
        return peer.received[9:12]

    def wait_until_idle(self) -> None:
        """Waits until no request is open and no release is running."""
        self.run_until(lambda: not self.node.core.open_requests and not self.node.core.releaser.running)


def hold_connections(rig: Rig, engine: Engine) -> list[Callable[[], Any]]:
    """Delays connections to an engine.

    Returns the list of delayed connections, oldest first; calling an item establishes its connection.
    """
    connect, waiting = rig.reactor.connectTCP, []  # type: Any, list[Callable[[], Any]]

    class Connector:
        def disconnect(self) -> None: ...

    def connectTCP(host: str, port: int, factory: Any, timeout: float = 30) -> Any:
        if port != engine.port_number:
            return connect(host, port, factory, timeout=timeout)
        waiting.append(lambda: connect(host, port, factory, timeout=timeout))
        return Connector()

    rig.reactor.connectTCP = connectTCP
    return waiting


def start_two_engine_rig(decode_engine: Any = None, sockets: int = 256) -> Rig:
    """Starts a node with a prefill engine and a decode engine that is scripted by `decode_engine`."""
    rig = Rig(sockets)
    rig.engine("prefill")
    rig.engine("decode", decode_engine)
    return rig.start()
