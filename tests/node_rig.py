"""A front node between scripted peers on loopback: what they send is in the test."""

from __future__ import annotations

import json
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


def ask(
    key: str = "a1", request_class: str = "chat", left: str = "3000", body: bytes = BODY, more: str = ""
) -> bytes:
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {key}\r\n"
        f"X-Priority-Class: {request_class}\r\nX-Route-Key: 7f\r\nX-Timeout-Ms: {left}\r\n"
        f"X-Attrs: prefix=5c,prompt_len=500,prefix_len=100,max_out=80\r\n{more}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Peer(Protocol):
    """One connection; `got` is all that came, `ended` whether it is over, `clean` whether without a reset."""

    def __init__(self, on_data: Callable[[Peer], None] | None = None) -> None:
        self.on_data, self.got, self.ended, self.clean = on_data, b"", False, False

    def dataReceived(self, data: bytes) -> None:
        self.got += data
        if self.on_data:
            self.on_data(self)

    def connectionLost(self, reason: Any = None) -> None:
        self.ended, self.clean = True, reason is not None and bool(reason.check(ConnectionDone))

    def whole(self) -> bytes | None:
        """The next whole request, taken off what came."""
        head, end, rest = self.got.partition(b"\r\n\r\n")
        length = next(
            (int(line[15:]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length:")), 0
        )
        if not end or len(rest) < length:
            return None
        self.got = rest[length:]
        return head + end + rest[:length]


class Engine:
    """Answers each whole request by `script(request)`: bytes to send, or None to close."""

    def __init__(self, rig: Rig, name: str, kind: str, script: Callable[[bytes], bytes | None]) -> None:
        self.name, self.kind, self.script = name, kind, script
        self.asked: list[bytes] = []
        self.release_answer = NO_CONTENT
        self.on_release: Callable[[], Any] = lambda: None
        self.peers: list[Peer] = []
        factory: Any = Factory.forProtocol(self._peer)  # type: ignore[arg-type]
        self.port, self.port_number = listen(rig.reactor, ("127.0.0.1", 0), factory)

    def _peer(self) -> Peer:
        self.peers.append(Peer(self._data))
        return self.peers[-1]

    def _data(self, peer: Peer) -> None:
        while (request := peer.whole()) is not None:
            self.asked.append(request)
            if request.startswith(b"DELETE"):
                self.on_release()
            answer = self.release_answer if request.startswith(b"DELETE") else self.script(request)
            if answer is None:
                return peer.transport.abortConnection()  # type: ignore[union-attr]
            peer.transport.write(answer)  # type: ignore[union-attr]

    def verbs(self) -> list[bytes]:
        return [request.split(b" ")[0] for request in self.asked]

    def entry(self, status: str = "SERVING") -> dict[str, Any]:
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port_number}",
            "zone": "a",
            "type": self.kind,
            "group": 1,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }


class Silent:
    """An address where connections never come up: its queue of one is full and nobody accepts."""

    def __init__(self) -> None:
        self.sockets = [socket.socket()]
        self.sockets[0].bind(("127.0.0.1", 0))
        self.sockets[0].listen(0)
        self.port = self.sockets[0].getsockname()[1]
        for _ in range(3):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex(("127.0.0.1", self.port))
            self.sockets.append(filling)

    def close(self) -> None:
        for one in self.sockets:
            one.close()


class Hosts:
    """Discovery: each watch gets a head and then the lines of `tell`."""

    def __init__(self, rig: Rig, first: bytes = chunk(b"\n")) -> None:
        self.watches: list[Peer] = []
        self.first = first
        factory: Any = Factory.forProtocol(lambda: Peer(self._data))  # type: ignore[arg-type]
        self.port, self.port_number = listen(rig.reactor, ("127.0.0.1", 0), factory)

    def _data(self, peer: Peer) -> None:
        if peer.whole() is not None:
            self.watches.append(peer)
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            peer.transport.write(head + self.first)  # type: ignore[union-attr]

    def tell(self, index: int, *entries: dict[str, Any], snapshot: bool = False) -> None:
        line = json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries}).encode() + b"\n"
        self.watches[-1].transport.write(chunk(line))  # type: ignore[union-attr]


class Rig:
    """A node with the engines added before `start`."""

    def __init__(self, sockets: int = 256) -> None:
        self.reactor: Any = EPollReactor()  # type: ignore[no-untyped-call]
        self.engines: list[Engine] = []
        self.hosts = Hosts(self)
        self.sockets = sockets
        self.node: Any = None

    def engine(self, kind: str, script: Callable[[bytes], bytes | None] | None = None) -> Engine:
        usual = PREFILL_REPLY if kind == "prefill" else ANSWER
        self.engines.append(Engine(self, f"e{len(self.engines)}", kind, script or (lambda _: usual)))
        return self.engines[-1]

    def config(self) -> Config:
        config = {
            "name": "n",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.hosts.port_number}",
            "seed": "8c",
            "limits": {"sockets": self.sockets},
            "settings": SETTINGS,
            "known": {"index": 1, "snapshot": True, "endpoints": [one.entry() for one in self.engines]},
        }
        return parse_config(json.dumps(config).encode(), "config.json", {})

    def start(self) -> Rig:
        self.node = Node(self.config(), self.reactor)
        self.node.start()
        self.until(lambda: self.node.listener and (self.node.discovery.current or not self.hosts.first))
        return self

    def client(self, *data: bytes) -> Peer:
        peer = Peer()
        factory: Any = Factory.forProtocol(lambda: peer)  # type: ignore[arg-type]
        factory.doStart = factory.doStop = factory.startedConnecting = lambda *_: None
        factory.clientConnectionLost = factory.clientConnectionFailed = lambda *_: None
        self.reactor.connectTCP("127.0.0.1", self.node.port, factory)
        self.until(lambda: peer.connected)
        for piece in data:
            peer.transport.write(piece)  # type: ignore[union-attr]
        return peer

    def until(self, reached: Callable[[], Any], seconds: float = 8.0) -> None:
        """Lets time go by until something is so."""
        end = monotonic() + seconds
        while not reached():
            assert monotonic() < end, "it never came"
            self.reactor.iterate(0.01)

    def answered(self, peer: Peer) -> bytes:
        """The status of a whole answer, or of what came before the connection ended."""
        self.until(
            lambda: (
                peer.ended
                or peer.got.endswith(LAST_CHUNK)
                or b"\r\n\r\n" in peer.got
                and (b"Content-Length" in peer.got or b"content-length" in peer.got)
            )
        )
        return peer.got[9:12]

    def idle(self) -> None:
        """Waits until no request is open and no release is left."""
        self.until(lambda: not self.node.core.open_requests and not self.node.core.releaser.running)


def hold_connections(rig: Rig, engine: Engine) -> list[Callable[[], Any]]:
    """Connections to an engine come up only when the test calls what this gathers, the oldest first."""
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


def rig_of_two(decode_engine: Any = None, sockets: int = 256) -> Rig:
    """A started node with a prefill engine and a decode engine; `decode_engine` scripts the latter."""
    rig = Rig(sockets)
    rig.engine("prefill")
    rig.engine("decode", decode_engine)
    return rig.start()
