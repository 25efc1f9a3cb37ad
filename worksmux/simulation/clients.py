"""Clients in simulated time: sessions that begin by a Poisson process, think, ask again, retry and leave.

The same figures and the same lines of the journal as `standins/clients.py`, so that one audit serves both.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ..scenarios.scenario import Scenario, ScenarioFault, Traffic
from ..settings.shared import RequestClass
from .engine import Note
from .front import Ask, ModelFront
from .sim import Sim


@dataclass(eq=False, slots=True)
class Session:
    id: int
    traffic: Traffic
    request_class: int
    turns: int
    tokens: float  # of all that was said so far
    prefix: int
    prefix_tokens: float


@dataclass(eq=False, slots=True)
class ClientRequest:
    id: str
    session: Session
    intended: float
    prompt: float
    answer: int
    left: int
    patience: float
    leaves: bool
    front: int
    stream: bool = True  # else it sees its answer only whole
    tries: int = 0


@dataclass(slots=True)
class Totals:
    """What all jobs came to, so that large days need no journal."""

    requests: int = 0
    requested_credit: float = 0.0
    credit: float = 0.0
    ends: dict[str, int] = field(default_factory=dict)
    first_token_waits_ms: list[float] = field(default_factory=list)
    tries: int = 0


class Clients:
    def __init__(
        self, sim: Sim, day: Scenario, fronts: list[ModelFront | None], note: Note, hop: float
    ) -> None:
        self.sim, self.day, self.gateways, self.note, self.hop = sim, day, fronts, note, hop
        self.chance = random.Random(day.seed)
        self.request_classes: list[RequestClass] = day.request_classes
        self.at_of = {one.name: at for at, one in enumerate(day.request_classes)}
        self.count = self.turn = self.open_requests = 0
        self.dead: dict[int, float] = {}
        self.start, self.over = 0.0, False
        self.totals = Totals()
        self.on_end: Callable[[str, float], None] = lambda how, now: None
        self.shared = {
            one.request_class: [
                (1000 * number + at + 1, self._between(one.beginning_tokens)) for at in range(one.beginnings)
            ]
            for number, one in enumerate(day.traffic)
        }
        turns = sum(one.share * sum(one.turns) / 2 for one in day.traffic)
        self.rate = day.rate / (turns / sum(one.share for one in day.traffic)) / 1000

    def _between(self, span: tuple[float, float]) -> float:
        return self.chance.uniform(*span)

    def _burst(self, kind: str) -> ScenarioFault | None:
        past = self.sim.now - self.start
        return next(
            (one for one in self.day.faults if one.kind == kind and one.at <= past < one.at + one.length),
            None,
        )

    def begin(self) -> None:
        self.start = self.sim.now
        self._arrive()

    def _arrive(self) -> None:
        if self.sim.now >= self.start + self.day.length:
            self.over = True
            return
        if self.sim.now > self.start:
            self._session()
        burst = self._burst("burst")
        rate = self.rate * (burst.factor if burst else 1.0)
        self.sim.after(self.chance.expovariate(rate), self._arrive)

    def _session(self) -> None:
        traffic = self.chance.choices(self.day.traffic, [one.share for one in self.day.traffic])[0]
        self.count += 1
        prefix, tokens = 0, 0.0
        hot = self._burst("hot-beginning")
        if hot and self.chance.random() < hot.share:
            prefix, tokens = 1_000_003 + int(hot.at), hot.factor
        elif self.shared[traffic.request_class] and self.chance.random() < traffic.beginning_share:
            prefix, tokens = self.chance.choice(self.shared[traffic.request_class])
        session = Session(
            self.count,
            traffic,
            self.at_of[traffic.request_class],
            max(1, round(self._between(traffic.turns))),
            tokens,
            prefix,
            tokens,
        )
        self._ask(session)

    def _ask(self, session: Session) -> None:
        one, request_class = session.traffic, self.request_classes[session.request_class]
        session.turns -= 1
        new = self._between(one.new_tokens)
        tail = self._burst("heavy-tail")
        if tail and tail.request_class in ("", one.request_class) and self.chance.random() < tail.share:
            new *= tail.factor
        session.tokens += new
        limit = request_class.outer_limit + 2 * request_class.promised_per_k * session.tokens / 1000
        patience, leaves = limit * self._between(self.day.patience), False
        hasty = self._burst("give-up")
        if hasty and self.chance.random() < hasty.share:
            patience, leaves = request_class.promised_time * hasty.factor, hasty.how == "leave"
        self.count += 1
        request = ClientRequest(
            f"j{self.count}",
            session,
            self.sim.now,
            session.tokens,
            max(1, min(request_class.most_answer, round(self._between(one.answer_tokens)))),
            int(self._between(self.day.retries) + 1),
            patience,
            leaves,
            self._next_front(),
            self.chance.random() < self.day.streams,
        )
        self.open_requests += 1
        self._try(request)

    def _next_front(self) -> int:
        """By chance, but for those known to be dead."""
        for _ in range(8):
            at = self.chance.randrange(len(self.gateways))
            since = self.dead.get(at)
            if since is None or self.sim.now < since + self.day.notice:
                return at
            if self.sim.now > since + 4 * self.day.notice:
                del self.dead[at]
                return at
        return at

    def _try(self, request: ClientRequest) -> None:
        request.tries += 1
        request.left -= 1
        session, request_class = request.session, self.request_classes[request.session.request_class]
        name = f"{request.id}.{request.tries}"
        stays = min(request.patience, 4 * request_class.outer_limit)
        # Who wants the answer whole sees no first token: it stays for the longest answer besides.
        whole = 0.0 if request.stream else 2 * request_class.token_time * request_class.most_answer
        front = self.gateways[request.front]
        state = {"first": None, "over": False}  # type: dict[str, float | bool | None]
        self.note(
            "clients",
            "try",
            try_id=name,
            job=request.id,
            offering=request_class.name,
            effect=request_class.effect,
            left=(request_class.outer_limit if request.leaves else stays) + whole,
            front=front.name if front else f"front-{request.front + 1}",
        )

        def began() -> None:
            if not state["over"] and request.stream:
                state["first"] = self.sim.now
                self.note("clients", "first token", try_id=name)

        def answered(how: str) -> None:
            if not state["over"]:
                state["over"] = True
                if how == "delivered" and not request.stream:
                    state["first"] = self.sim.now
                self.note("clients", "answer", try_id=name, how=how)
                self._ended(request, how, state["first"], asked.stay_away)

        asked = Ask(
            name,
            session.request_class,
            request_class.name,
            session.id,
            session.prefix,
            request.prompt,
            session.prefix_tokens,
            request.answer,
            request_class.most_answer,
            request_class.outer_limit if request.leaves else stays,
            request.tries > 1,
            lambda: self.sim.after(self.hop, began),
            lambda how: self.sim.after(self.hop, answered, how),
        )
        if front is None:
            self.sim.after(2 * self.hop, answered, "unreachable")
            return
        self.sim.after(self.hop, front.ask, asked)

        def gives_up() -> None:
            if not state["over"] and state["first"] is None:
                answered("left")
                front.left_by(name)

        self.sim.after(stays + whole, gives_up)

    def _ended(self, request: ClientRequest, how: str, first: float | bool | None, stay_away: float) -> None:
        request_class, session, totals = (
            self.request_classes[request.session.request_class],
            request.session,
            self.totals,
        )
        if how in ("unreachable", "reset"):
            self.dead.setdefault(request.front, self.sim.now)
        else:
            self.dead.pop(request.front, None)
        harmless = (
            how in ("deferred", "unreachable")
            or request_class.effect == "redoable"
            or request_class.effect == "labelled"
            and how != "left"
        )
        if how != "delivered" and harmless and request.left > 0:
            request.front = self._next_front()
            self.sim.after(max(stay_away, self._between(self.day.wait)), self._try, request)
            return
        promised = request_class.promised_time + request_class.promised_per_k * request.prompt / 1000
        wait = float(first) - request.intended if first else None
        if how == "delivered":
            how = "delivered" if wait is not None and wait <= promised else "late"
        credit = request_class.credit * {"delivered": 1.0, "late": request_class.late_credit}.get(how, 0.0)
        self.note(
            "clients",
            "job ended",
            job=request.id,
            offering=request_class.name,
            how=how,
            tries=request.tries,
            first=wait,
            credit=credit,
            asked=request_class.credit,
        )
        totals.requests += 1
        totals.tries += request.tries
        totals.requested_credit += request_class.credit
        totals.credit += credit
        totals.ends[how] = totals.ends.get(how, 0) + 1
        if wait is not None:
            totals.first_token_waits_ms.append(wait)
        self.open_requests -= 1
        self.on_end(how, self.sim.now)
        if how in ("delivered", "late") and session.turns > 0 and not self.over:
            again = replace(session, tokens=session.tokens + request.answer)
            self.sim.after(self._between(session.traffic.think), self._again, again)

    def _again(self, session: Session) -> None:
        if not self.over:
            self._ask(session)
