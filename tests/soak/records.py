"""What is recorded of a run, and the rules that are checked on it.

All times are seconds of the monotonic clock, which all processes of the machine share.
"""

from __future__ import annotations

import time
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, cast

from fault_injection.ledger import Ledger, Rule, Violation

LATE_ANSWER_S = 0.5  # after the client's time, in which an answer only earns nothing
DISCONNECT_MARGIN_S = 0.1  # after a client's close, in which an attempt may still begin
TIME_LEFT_MARGIN_S = 0.15  # that an attempt's time may exceed what the client has left
SERVER_GAP_S = 4.0  # of silence after which a stream counts as stalled, below the 5 s that clients wait
DRAIN_MARGIN_S = 0.05
TAKEN_LATE_S = 0.7  # after SIGTERM: what is taken later must not be unanswered at SIGKILL
END_DELAY_S = 1.0  # within which the end of a finished stream has to reach the client


class Effect(Enum):
    """How often a request may take effect; the values are those of the settings."""

    IDEMPOTENT = "free"
    NON_IDEMPOTENT = "single_shot"


class AttemptEnd(Enum):
    """How an engine saw an attempt end."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_PROCESSED = "rejected without any effect"
    CLOSED_BY_NODE = "closed by the node"
    BROKEN = "broken by the engine"


class Outcome(Enum):
    """How a request ended for its client."""

    OPEN = "open"
    SERVED = "served"
    STATUS = "a status"
    TRUNCATED = "a stream without its end"
    CLOSED = "closed without an answer"
    DISCONNECTED = "the client disconnected"
    NO_CONNECTION = "no connection"


@dataclass(eq=False)
class AttemptRecord:
    """One attempt as its engine saw it."""

    key: str
    engine: str
    node: str  # incarnation of the node that sent it
    is_prefill: bool
    began_at: float  # its first byte arrived
    executed: bool = False
    end: AttemptEnd = AttemptEnd.RUNNING
    ended_at: float = 0.0
    last_event_at: float = 0.0
    engine_stalled: bool = False  # the engine hung or restarted while it ran


@dataclass(eq=False)
class RequestRecord:
    """One request as its client saw it."""

    key: str
    node: str  # incarnation of the node that it was sent to
    effect: Effect
    wait_s: float
    sent_at: float = 0.0  # its last byte was written; 0: never
    on_used_connection: bool = False
    outcome: Outcome = Outcome.OPEN
    status: int = 0
    first_byte_at: float = 0.0
    ended_at: float = 0.0
    resent: bool = False
    in_crowd: bool = False  # idle connections filled the node's descriptors


@dataclass(eq=False)
class NodeRecord:
    """One start of a node process."""

    name: str  # of this start
    started_at: float
    terminated_at: float | None = None
    killed_at: float | None = None
    exited_at: float | None = None
    exit_code: int | None = None
    peak_mb: float = 0.0  # the most memory that it used
    told: dict[str, list[tuple[float, str]]] = field(default_factory=lambda: defaultdict(list))


class RealClock:
    """The monotonic clock in the form that the ledger reads."""

    @property
    def now(self) -> float:
        """Returns the time."""
        return time.monotonic()


class Records:
    """Everything that is recorded of a run."""

    def __init__(self, release_within_ms: float, drain_grace_ms: float, memory_mb: float) -> None:
        self.memory_mb = memory_mb  # of a node
        self.requests: dict[str, RequestRecord] = {}
        self.attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
        self.nodes: dict[str, NodeRecord] = {}
        self.ledger = Ledger(cast(Any, RealClock()), release_within_ms, False)
        self.drain_grace_s = drain_grace_ms / 1000 + DRAIN_MARGIN_S
        self.slack_s = 0.0  # how late this test process was at most

    def add_request(self, record: RequestRecord) -> None:
        """Adds a request that is about to be sent."""
        self.requests[record.key] = record
        self.ledger.add_request(record.key, record.node)

    def break_rule(self, rule: Rule, key: str, detail: str) -> None:
        """Records a violation."""
        self.ledger.break_rule(rule, key, detail)

    def check(self) -> list[Violation]:
        """Checks the whole run, and returns all violations."""
        self.ledger.limit_s += self.slack_s
        self.ledger.finish()
        for request in self.requests.values():
            self._check_answer(request)
            self._check_stream(request)
            self._check_effects(request)
            self._check_attempt_times(request)
        for node in self.nodes.values():
            self._check_process(node)
        return self.ledger.violations

    # Clients.

    def _check_answer(self, request: RequestRecord) -> None:
        """Each request that was taken gets its final answer in time."""
        if request.outcome in (Outcome.DISCONNECTED, Outcome.NO_CONNECTION) or request.resent:
            return
        if not request.sent_at:  # its connection ended before its last byte was written: it was never taken
            return
        node = self.nodes[request.node]
        if self._is_excused_by_death(request, node):
            return
        if request.outcome in (Outcome.OPEN, Outcome.CLOSED) and not request.first_byte_at:
            if not self._may_be_closed_unread(request, node):
                self.break_rule(Rule.UNANSWERED, request.key, f"{request.outcome.value} by {request.node}")
            return
        late_s = request.first_byte_at - request.sent_at - request.wait_s
        if late_s > LATE_ANSWER_S + self.slack_s:
            self.break_rule(Rule.UNANSWERED, request.key, f"answered {late_s:.2f} s late by {request.node}")

    def _is_excused_by_death(self, request: RequestRecord, node: NodeRecord) -> bool:
        """Whether the request was open when its node was killed, and may have been."""
        if node.killed_at is None or request.ended_at and request.ended_at < node.killed_at:
            return False
        terminated_at = node.terminated_at
        return terminated_at is None or request.sent_at <= terminated_at + TAKEN_LATE_S

    def _may_be_closed_unread(self, request: RequestRecord, node: NodeRecord) -> bool:
        """Whether a connection may end without an answer: no engine saw its request."""
        if self.attempts[request.key]:
            return False
        terminated = node.terminated_at is not None and request.sent_at > node.terminated_at
        return request.on_used_connection or request.in_crowd or terminated

    def _check_stream(self, request: RequestRecord) -> None:
        """No stream is cut while its engine writes, and the end of a finished stream is passed on."""
        if request.outcome not in (Outcome.TRUNCATED, Outcome.OPEN) or not request.first_byte_at:
            return
        node = self.nodes[request.node]
        if self._is_excused_by_death(request, node):
            return
        for attempt in self.attempts[request.key]:
            if attempt.is_prefill or not attempt.last_event_at or attempt.engine_stalled:
                continue
            silent_s = attempt.ended_at - attempt.last_event_at
            if attempt.end is AttemptEnd.CLOSED_BY_NODE and silent_s < SERVER_GAP_S - self.slack_s:
                self.break_rule(
                    Rule.STREAM_CUT,
                    request.key,
                    f"{request.node} cut it {silent_s:.2f} s after an event of {attempt.engine}",
                )
            elif attempt.end is AttemptEnd.ANSWERED:
                self.break_rule(Rule.STREAM_CUT, request.key, f"{request.node} did not pass on its end")

    # Effects.

    def _check_effects(self, request: RequestRecord) -> None:
        """A non-idempotent request runs once, and is not refused if it may have run."""
        if request.effect is not Effect.NON_IDEMPOTENT:
            return
        decodes = [attempt for attempt in self.attempts[request.key] if not attempt.is_prefill]
        executed = [attempt.engine for attempt in decodes if attempt.executed]
        if len(executed) > 1:
            self.break_rule(Rule.TWICE_EXECUTED, request.key, f"executed at {', '.join(executed)}")
        if request.status in (429, 503) and executed:
            self.break_rule(Rule.REFUSED_EXECUTED, request.key, f"refused, executed at {executed[0]}")

    def _check_attempt_times(self, request: RequestRecord) -> None:
        """No attempt begins at an engine told leaving, nor for a client that has gone."""
        for attempt in self.attempts[request.key]:
            if request.outcome is Outcome.DISCONNECTED and attempt.began_at > (
                request.ended_at + DISCONNECT_MARGIN_S + self.slack_s
            ):
                late_s = attempt.began_at - request.ended_at
                self.break_rule(Rule.AFTER_DISCONNECT, request.key, f"{late_s:.2f} s after the client left")
            told_at = self._leaving_since(attempt)
            if told_at is not None and attempt.began_at > told_at + self.drain_grace_s + self.slack_s:
                late_s = attempt.began_at - told_at
                self.break_rule(
                    Rule.SENT_TO_LEAVING,
                    request.key,
                    f"to {attempt.engine} {late_s:.2f} s after {attempt.node} was told",
                )

    def _leaving_since(self, attempt: AttemptRecord) -> float | None:
        """When the node was told that the engine leaves, if it had not been told since that it is back."""
        since = None
        for at, status in self.nodes[attempt.node].told[attempt.engine]:
            if at > attempt.began_at:
                break
            if status == "SERVING":
                since = None
            elif since is None:
                since = at
        return since

    # Processes.

    def _check_process(self, node: NodeRecord) -> None:
        """A process keeps to its memory, and ends only after a signal, and well."""
        if node.peak_mb > self.memory_mb:
            self.break_rule(Rule.CRASHED, node.name, f"used {node.peak_mb:.0f} of {self.memory_mb:.0f} MB")
        if node.exited_at is None or node.killed_at is not None and node.exited_at >= node.killed_at:
            return
        if node.terminated_at is None or node.exit_code != 0:
            self.break_rule(Rule.CRASHED, node.name, f"exit code {node.exit_code}")
