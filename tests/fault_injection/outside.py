"""What else is outside a node: its clients, and discovery's agent."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from node_rig import chunk

from .engine import RequestParser
from .ledger import Ledger, Rule
from .network import End, Host, Network
from .schedule import RequestClass, RequestSpec

TOKEN = 4  # bytes
LATE_ANSWER = 0.5  # seconds after its time at which a final answer only earns nothing
BEAT = 2.0  # seconds between two empty lines of a watch
BODY_HEAD, BODY_TAIL = b'{"model":"chat","stream":true,"messages":[{"role":"user","content":"', b'"}]}'


class Answer(Enum):
    """What a client got."""

    NONE = "none"
    SERVED = "served"
    BROKEN = "a stream without its end"
    STATUS = "a status"
    CLOSED = "closed without an answer"
    LEFT = "the client left"
    REFUSED = "no connection"


class Client:
    """One request of one client, on a connection of its own."""

    def __init__(
        self,
        key: str,
        spec: RequestSpec,
        request_class: RequestClass,
        network: Network,
        host: Host,
        node: Host,
        ledger: Ledger,
    ) -> None:
        self.key, self.spec, self.request_class = key, spec, request_class
        self.network, self.host, self.node, self.ledger = network, host, node, ledger
        self.end: End | None = None
        self.got = b""
        self.answer = Answer.NONE
        self.status = 0
        self.left_at: float | None = None
        self.sent_at = 0.0
        self.answered_at = 0.0
        self._unsent = b""

    def start(self) -> None:
        self.network.connect(self.host, self.node.name, self._connected, self._refused)

    def _refused(self, reason: str) -> None:
        self.answer = Answer.REFUSED

    def _connected(self, end: End) -> None:
        self.end, end.handler = end, self
        simulation = self.network.simulation
        self.sent_at = simulation.now
        body = BODY_HEAD + b"x" * max(0, TOKEN * self.spec.prompt - 80) + BODY_TAIL
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {self.key}\r\n"
            f"X-Priority-Class: {self.request_class.name}\r\nX-Route-Key: {self.spec.session:016x}\r\n"
            f"X-Timeout-Ms: {self.spec.timeout}\r\nX-Attrs: prompt_len={self.spec.prompt},max_out=80\r\n"
            f"Idempotency-Key: {self.key}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._unsent = head.encode() + body
        self.writable()
        if self.spec.leaves_at is not None:
            simulation.call_at(simulation.now + self.spec.leaves_at / 1000, self._leave)

    def writable(self) -> None:
        if self.end is not None and self._unsent:
            self._unsent = self._unsent[self.end.send(self._unsent) :]

    def _leave(self) -> None:
        if self.answer is Answer.NONE and self.end is not None:
            self.answer, self.left_at = Answer.LEFT, self.network.simulation.now
            self.end.close()

    def received(self, data: bytes) -> None:
        if self.answer not in (Answer.NONE, Answer.LEFT):
            self.ledger.break_rule(Rule.ANSWERED_TWICE, self.key, f"{data[:40]!r}")
        self.got += data
        head, end, rest = self.got.partition(b"\r\n\r\n")
        if not end or self.answer is not Answer.NONE:
            return
        self.status = int(head[9:12])
        if self.status == 200:
            if rest.endswith(b"0\r\n\r\n"):
                self._final(Answer.SERVED)
            return
        lines = head.lower().split(b"\r\n")
        length = next((int(line[15:]) for line in lines if line.startswith(b"content-length:")), 0)
        if len(rest) >= length:
            self._final(Answer.STATUS)

    def ended(self, reset: bool) -> None:
        if self.answer is Answer.NONE:
            self._final(Answer.BROKEN if self.got else Answer.CLOSED)
        if self.end is not None:
            self.end.close()

    def _final(self, answer: Answer) -> None:
        self.answer, self.answered_at = answer, self.network.simulation.now
        self.ledger.note(self.key, f"client: {answer.value} {self.status or ''}")

    @property
    def gives_up_at(self) -> float:
        return self.sent_at + self.spec.timeout / 1000

    def judge(self, excused: Callable[[Client], bool]) -> None:
        """At the end of the run."""
        if self.answer in (Answer.LEFT, Answer.REFUSED) or excused(self):
            return
        if self.answer in (Answer.NONE, Answer.CLOSED):
            self.ledger.break_rule(Rule.UNANSWERED, self.key, self.answer.value)
        elif self.answer is Answer.STATUS and self.answered_at > self.gives_up_at + LATE_ANSWER:
            late = 1000 * (self.answered_at - self.gives_up_at)
            self.ledger.break_rule(Rule.UNANSWERED, self.key, f"answered {late:.0f} ms after its time")


class Agent:
    """Discovery's agent on one process's machine: watches, each with what it has and then the changes."""

    def __init__(
        self, network: Network, host: Host, whole: Callable[[], bytes], down: list[tuple[float, float]]
    ) -> None:
        """`down`: times in seconds at which it says nothing."""
        self.network, self.host, self.whole, self.down = network, host, whole, down
        self.watches: dict[Watch, None] = {}
        host.accept = lambda end: Watch(self, end)
        self._beat()

    @property
    def silent(self) -> bool:
        return any(start <= self.network.simulation.now < end for start, end in self.down)

    def tell(self, line: bytes) -> None:
        if not self.silent:
            for watch in self.watches:
                watch.say(line)

    def _beat(self) -> None:
        self.tell(b"\n")
        self.network.simulation.call_at(self.network.simulation.now + BEAT, self._beat)


class Watch:
    def __init__(self, agent: Agent, end: End) -> None:
        self.agent, self.end = agent, end
        self._requests = RequestParser()

    def received(self, data: bytes) -> None:
        if self._requests.feed(data) and not self.agent.silent:
            self.end.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.say(self.agent.whole())
            self.agent.watches[self] = None

    def say(self, line: bytes) -> None:
        self.end.send(chunk(line))

    def ended(self, reset: bool) -> None:
        self.agent.watches.pop(self, None)
        self.end.close()

    def writable(self) -> None: ...
