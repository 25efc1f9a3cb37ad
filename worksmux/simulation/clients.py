"""Clients in simulated time.

Their sessions begin by a Poisson process, think, send the next turn, retry and leave. They use the same
parameters and journal lines as `fakes/clients.py`, so that one audit serves both.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ..scenarios.scenario import Scenario, ScenarioFault, Traffic
from ..settings.shared import RequestClass
from .engine import Note
from .front import ClientAttempt, ModelGateway
from .sim import Sim


@dataclass(eq=False, slots=True)
class Session:
    """One conversation; `turns` are those left, and `tokens` those of the conversation so far."""

    id: int
    traffic: Traffic
    request_class: int
    turns: int
    tokens: float  # of the whole conversation so far
    prefix: int
    prefix_tokens: float


@dataclass(eq=False, slots=True)
class ClientRequest:
    """One request of a client, over all its tries."""

    id: str
    session: Session
    intended_at: float
    prompt_tokens: float
    answer_tokens: int
    tries_left: int
    patience_ms: float
    disconnects: bool  # leaves before the deadline that it sent
    gateway: int
    is_streaming: bool = True  # otherwise the client gets the whole answer at once
    tries: int = 0


@dataclass(slots=True)
class Totals:
    """Totals over all requests, so that large scenarios need no journal."""

    requests: int = 0
    requested_credit: float = 0.0
    credit: float = 0.0
    ends: dict[str, int] = field(default_factory=dict)
    first_token_waits_ms: list[float] = field(default_factory=list)
    tries: int = 0


class Clients:
    """All clients of a scenario. `on_end(outcome, now)` is called at the end of each request."""

    def __init__(
        self, sim: Sim, scenario: Scenario, gateways: list[ModelGateway | None], note: Note, hop_ms: float
    ) -> None:
        self.sim, self.scenario, self.gateways, self.note, self.hop_ms = sim, scenario, gateways, note, hop_ms
        self.random = random.Random(scenario.seed)
        self.request_classes: list[RequestClass] = scenario.request_classes
        self.class_index = {
            request_class.name: index for index, request_class in enumerate(scenario.request_classes)
        }
        self.count = self.turn = self.open_requests = 0
        self.unreachable_since: dict[int, float] = {}
        self.start, self.arrivals_ended = 0.0, False
        self.totals = Totals()
        self.on_end: Callable[[str, float], None] = lambda outcome, now: None
        self.shared_prefixes = {
            traffic.request_class: [
                (1000 * number + index + 1, self._between(traffic.beginning_tokens))
                for index in range(traffic.beginnings)
            ]
            for number, traffic in enumerate(scenario.traffic)
        }
        turns = sum(traffic.share * sum(traffic.turns) / 2 for traffic in scenario.traffic)
        self.sessions_per_ms = (
            scenario.rate / (turns / sum(traffic.share for traffic in scenario.traffic)) / 1000
        )

    def _between(self, bounds: tuple[float, float]) -> float:
        return self.random.uniform(*bounds)

    def _active_fault(self, kind: str) -> ScenarioFault | None:
        elapsed_ms = self.sim.now - self.start
        return next(
            (
                fault
                for fault in self.scenario.faults
                if fault.kind == kind and fault.at <= elapsed_ms < fault.at + fault.length
            ),
            None,
        )

    def begin(self) -> None:
        """Starts the arrivals of sessions."""
        self.start = self.sim.now
        self._arrive()

    def _arrive(self) -> None:
        if self.sim.now >= self.start + self.scenario.length:
            self.arrivals_ended = True
            return
        if self.sim.now > self.start:
            self._start_session()
        burst = self._active_fault("burst")
        rate = self.sessions_per_ms * (burst.factor if burst else 1.0)
        self.sim.after(self.random.expovariate(rate), self._arrive)

    def _start_session(self) -> None:
        traffic = self.random.choices(
            self.scenario.traffic, [traffic.share for traffic in self.scenario.traffic]
        )[0]
        self.count += 1
        prefix, tokens = 0, 0.0
        hot_prefix = self._active_fault("hot-beginning")
        if hot_prefix and self.random.random() < hot_prefix.share:
            prefix, tokens = 1_000_003 + int(hot_prefix.at), hot_prefix.factor
        elif self.shared_prefixes[traffic.request_class] and self.random.random() < traffic.beginning_share:
            prefix, tokens = self.random.choice(self.shared_prefixes[traffic.request_class])
        session = Session(
            self.count,
            traffic,
            self.class_index[traffic.request_class],
            max(1, round(self._between(traffic.turns))),
            tokens,
            prefix,
            tokens,
        )
        self._start_request(session)

    def _start_request(self, session: Session) -> None:
        traffic, request_class = session.traffic, self.request_classes[session.request_class]
        session.turns -= 1
        new_tokens = self._between(traffic.new_tokens)
        long_prompts = self._active_fault("heavy-tail")
        if (
            long_prompts
            and long_prompts.request_class in ("", traffic.request_class)
            and self.random.random() < long_prompts.share
        ):
            new_tokens *= long_prompts.factor
        session.tokens += new_tokens
        limit_ms = request_class.outer_limit + 2 * request_class.promised_per_k * session.tokens / 1000
        patience_ms, disconnects = limit_ms * self._between(self.scenario.patience), False
        impatience = self._active_fault("give-up")
        if impatience and self.random.random() < impatience.share:
            patience_ms, disconnects = (
                request_class.promised_time * impatience.factor,
                impatience.how == "leave",
            )
        self.count += 1
        request = ClientRequest(
            f"j{self.count}",
            session,
            self.sim.now,
            session.tokens,
            max(1, min(request_class.most_answer, round(self._between(traffic.answer_tokens)))),
            int(self._between(self.scenario.retries) + 1),
            patience_ms,
            disconnects,
            self._next_gateway(),
            self.random.random() < self.scenario.streams,
        )
        self.open_requests += 1
        self._send_attempt(request)

    def _next_gateway(self) -> int:
        """Returns a random gateway, other than those known to be unreachable."""
        for _ in range(8):
            index = self.random.randrange(len(self.gateways))
            since = self.unreachable_since.get(index)
            if since is None or self.sim.now < since + self.scenario.notice:
                return index
            if self.sim.now > since + 4 * self.scenario.notice:
                del self.unreachable_since[index]
                return index
        return index

    def _send_attempt(self, request: ClientRequest) -> None:
        request.tries += 1
        request.tries_left -= 1
        session, request_class = request.session, self.request_classes[request.session.request_class]
        try_id = f"{request.id}.{request.tries}"
        max_wait_ms = min(request.patience_ms, 4 * request_class.outer_limit)
        # A client without streaming receives no first token, so it also waits for the longest answer.
        whole_answer_ms = (
            0.0 if request.is_streaming else 2 * request_class.token_time * request_class.most_answer
        )
        gateway = self.gateways[request.gateway]
        state = {"first": None, "over": False}  # type: dict[str, float | bool | None]
        self.note(
            "clients",
            "try",
            try_id=try_id,
            job=request.id,
            offering=request_class.name,
            effect=request_class.effect,
            left=(request_class.outer_limit if request.disconnects else max_wait_ms) + whole_answer_ms,
            front=gateway.name if gateway else f"front-{request.gateway + 1}",
        )

        def on_first_token() -> None:
            if not state["over"] and request.is_streaming:
                state["first"] = self.sim.now
                self.note("clients", "first token", try_id=try_id)

        def on_answer(outcome: str) -> None:
            if not state["over"]:
                state["over"] = True
                if outcome == "delivered" and not request.is_streaming:
                    state["first"] = self.sim.now
                self.note("clients", "answer", try_id=try_id, how=outcome)
                self._on_answer(request, outcome, state["first"], client_attempt.retry_after_ms)

        client_attempt = ClientAttempt(
            try_id,
            session.request_class,
            request_class.name,
            session.id,
            session.prefix,
            request.prompt_tokens,
            session.prefix_tokens,
            request.answer_tokens,
            request_class.most_answer,
            request_class.outer_limit if request.disconnects else max_wait_ms,
            request.tries > 1,
            lambda: self.sim.after(self.hop_ms, on_first_token),
            lambda outcome: self.sim.after(self.hop_ms, on_answer, outcome),
        )
        if gateway is None:
            self.sim.after(2 * self.hop_ms, on_answer, "unreachable")
            return
        self.sim.after(self.hop_ms, gateway.receive, client_attempt)

        def give_up() -> None:
            if not state["over"] and state["first"] is None:
                on_answer("left")
                gateway.on_client_disconnected(try_id)

        self.sim.after(max_wait_ms + whole_answer_ms, give_up)

    def _on_answer(
        self, request: ClientRequest, outcome: str, first_token_at: float | bool | None, retry_after_ms: float
    ) -> None:
        request_class, session, totals = (
            self.request_classes[request.session.request_class],
            request.session,
            self.totals,
        )
        if outcome in ("unreachable", "reset"):
            self.unreachable_since.setdefault(request.gateway, self.sim.now)
        else:
            self.unreachable_since.pop(request.gateway, None)
        is_retryable = (
            outcome in ("deferred", "unreachable")
            or request_class.effect == "redoable"
            or request_class.effect == "labelled"
            and outcome != "left"
        )
        if outcome != "delivered" and is_retryable and request.tries_left > 0:
            request.gateway = self._next_gateway()
            self.sim.after(
                max(retry_after_ms, self._between(self.scenario.wait)), self._send_attempt, request
            )
            return
        latency_target_ms = (
            request_class.promised_time + request_class.promised_per_k * request.prompt_tokens / 1000
        )
        first_token_wait_ms = float(first_token_at) - request.intended_at if first_token_at else None
        if outcome == "delivered":
            outcome = (
                "delivered"
                if first_token_wait_ms is not None and first_token_wait_ms <= latency_target_ms
                else "late"
            )
        credit = request_class.credit * {"delivered": 1.0, "late": request_class.late_credit}.get(
            outcome, 0.0
        )
        self.note(
            "clients",
            "job ended",
            job=request.id,
            offering=request_class.name,
            how=outcome,
            tries=request.tries,
            first=first_token_wait_ms,
            credit=credit,
            asked=request_class.credit,
        )
        totals.requests += 1
        totals.tries += request.tries
        totals.requested_credit += request_class.credit
        totals.credit += credit
        totals.ends[outcome] = totals.ends.get(outcome, 0) + 1
        if first_token_wait_ms is not None:
            totals.first_token_waits_ms.append(first_token_wait_ms)
        self.open_requests -= 1
        self.on_end(outcome, self.sim.now)
        if outcome in ("delivered", "late") and session.turns > 0 and not self.arrivals_ended:
            next_session = replace(session, tokens=session.tokens + request.answer_tokens)
            self.sim.after(self._between(session.traffic.think), self._next_turn, next_session)

    def _next_turn(self, session: Session) -> None:
        if not self.arrivals_ended:
            self._start_request(session)
