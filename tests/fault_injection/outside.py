"""Fakes of the clients and of the discovery agent of a node."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from node_rig import chunk

from .engine import RequestParser
from .ledger import Ledger, Rule
from .network import ConnectionEnd, Host, Network
from .schedule import RequestClass, RequestSpec

TOKEN_BYTES = 4
LATE_RESPONSE_S = 0.5  # after the client's time limit, in which a final response is no violation
HEARTBEAT_S = 2.0  # between two empty lines of a watch
BODY_HEAD, BODY_TAIL = b'{"model":"chat","stream":true,"messages":[{"role":"user","content":"', b'"}]}'


class Answer(Enum):
    """The outcome that a client sees."""

    NONE = "none"
    SERVED = "served"
    TRUNCATED = "a stream without its end"
    STATUS = "a status"
    CLOSED = "closed without a response"
    DISCONNECTED = "the client disconnected"
    REFUSED = "no connection"


class Client:
    """One client, which sends one request on its own connection."""

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
        self.end: ConnectionEnd | None = None
        self.received_bytes = b""
        self.answer = Answer.NONE
        self.status = 0
        self.disconnected_at: float | None = None
        self.sent_at = 0.0
        self.answered_at = 0.0
        self._unsent = b""

    def start(self) -> None:
        """Connects to the node."""
        self.network.connect(self.host, self.node.name, self._connected, self._refused)

    def _refused(self, reason: str) -> None:
        self.answer = Answer.REFUSED

    def _connected(self, end: ConnectionEnd) -> None:
        self.end, end.handler = end, self
        simulation = self.network.simulation
        self.sent_at = simulation.now
        body = BODY_HEAD + b"x" * max(0, TOKEN_BYTES * self.spec.prompt - 80) + BODY_TAIL
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {self.key}\r\n"
            f"X-Priority-Class: {self.request_class.name}\r\nX-Route-Key: {self.spec.session:016x}\r\n"
            f"X-Timeout-Ms: {self.spec.timeout}\r\nX-Attrs: prompt_len={self.spec.prompt},max_out=80\r\n"
            f"Idempotency-Key: {self.key}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._unsent = head.encode() + body
        self.writable()
        if self.spec.leaves_at is not None:
            simulation.call_at(simulation.now + self.spec.leaves_at / 1000, self._disconnect)

    def writable(self) -> None:
        """Sends more of the request."""
        if self.end is not None and self._unsent:
            self._unsent = self._unsent[self.end.send(self._unsent) :]

    def _disconnect(self) -> None:
        """Closes the connection before a response is complete."""
        if self.answer is Answer.NONE and self.end is not None:
            self.answer, self.disconnected_at = Answer.DISCONNECTED, self.network.simulation.now
            self.end.close()

    def received(self, data: bytes) -> None:
        """Parses the response."""
        if self.answer not in (Answer.NONE, Answer.DISCONNECTED):
            self.ledger.break_rule(Rule.ANSWERED_TWICE, self.key, f"{data[:40]!r}")
        self.received_bytes += data
        head, end, rest = self.received_bytes.partition(b"\r\n\r\n")
        if not end or self.answer is not Answer.NONE:
            return
        self.status = int(head[9:12])
        if self.status == 200:
            if rest.endswith(b"0\r\n\r\n"):
                self._set_final(Answer.SERVED)
            return
        lines = head.lower().split(b"\r\n")
        length = next((int(line[15:]) for line in lines if line.startswith(b"content-length:")), 0)
        if len(rest) >= length:
            self._set_final(Answer.STATUS)

    def ended(self, reset: bool) -> None:
        """Handles the end of the connection."""
        if self.answer is Answer.NONE:
            self._set_final(Answer.TRUNCATED if self.received_bytes else Answer.CLOSED)
        if self.end is not None:
            self.end.close()

    def _set_final(self, answer: Answer) -> None:
        """Records the final outcome."""
        self.answer, self.answered_at = answer, self.network.simulation.now
        self.ledger.note(self.key, f"client: {answer.value} {self.status or ''}")

    @property
    def gives_up_at(self) -> float:
        """Returns the time (seconds) up to which the client waits."""
        return self.sent_at + self.spec.timeout / 1000

    def check(self, excused: Callable[[Client], bool]) -> None:
        """Checks at the end of the run that the request got a final response in time."""
        if self.answer in (Answer.DISCONNECTED, Answer.REFUSED) or excused(self):
            return
        if self.answer in (Answer.NONE, Answer.CLOSED):
            self.ledger.break_rule(Rule.UNANSWERED, self.key, self.answer.value)
        elif self.answer is Answer.STATUS and self.answered_at > self.gives_up_at + LATE_RESPONSE_S:
            late_ms = 1000 * (self.answered_at - self.gives_up_at)
            self.ledger.break_rule(
                Rule.UNANSWERED, self.key, f"answered {late_ms:.0f} ms after the client's time limit"
            )


class DiscoveryAgent:
    """The discovery agent on the machine of one process; a watch gets the whole list, then its changes."""

    def __init__(
        self,
        network: Network,
        host: Host,
        snapshot: Callable[[], bytes],
        silent_times: list[tuple[float, float]],
    ) -> None:
        """Takes the intervals (seconds) in which the agent sends nothing."""
        self.network, self.host, self.snapshot, self.silent_times = network, host, snapshot, silent_times
        self.watches: dict[Watch, None] = {}
        host.accept = lambda end: Watch(self, end)
        self._heartbeat()

    @property
    def silent(self) -> bool:
        """Returns whether the agent sends nothing now."""
        return any(start <= self.network.simulation.now < end for start, end in self.silent_times)

    def broadcast(self, line: bytes) -> None:
        """Sends a line to all watches."""
        if not self.silent:
            for watch in self.watches:
                watch.send_line(line)

    def _heartbeat(self) -> None:
        """Sends an empty line to all watches, again and again."""
        self.broadcast(b"\n")
        self.network.simulation.call_at(self.network.simulation.now + HEARTBEAT_S, self._heartbeat)


class Watch:
    """A connection on which a node watches the endpoint list."""

    def __init__(self, agent: DiscoveryAgent, end: ConnectionEnd) -> None:
        self.agent, self.end = agent, end
        self._requests = RequestParser()

    def received(self, data: bytes) -> None:
        """Replies to the request for a watch with the whole list."""
        if self._requests.feed(data) and not self.agent.silent:
            self.end.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.send_line(self.agent.snapshot())
            self.agent.watches[self] = None

    def send_line(self, line: bytes) -> None:
        """Sends a line."""
        self.end.send(chunk(line))

    def ended(self, reset: bool) -> None:
        """Removes the watch after its connection has ended."""
        self.agent.watches.pop(self, None)
        self.end.close()

    def writable(self) -> None:
        """Does nothing: a line that the send buffer cannot take is cut off."""
