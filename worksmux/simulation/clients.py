"""Clients in simulated time: sessions that begin by a Poisson process, think, ask again, retry and leave.

The same figures and the same lines of the journal as `standins/clients.py`, so that one audit serves both.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ..scenarios.scenario import Scenario, Traffic, Trouble
from ..settings.shared import Offering
from .engine import Note
from .front import Ask, ModelFront
from .sim import Sim


@dataclass(eq=False, slots=True)
class Session:
    id: int
    traffic: Traffic
    offering: int
    turns: int
    tokens: float  # of all that was said so far
    prefix: int
    prefix_tokens: float


@dataclass(eq=False, slots=True)
class ClientJob:
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

    jobs: int = 0
    asked: float = 0.0
    credit: float = 0.0
    ends: dict[str, int] = field(default_factory=dict)
    firsts: list[float] = field(default_factory=list)
    tries: int = 0


class Clients:
    def __init__(
        self, sim: Sim, day: Scenario, fronts: list[ModelFront | None], note: Note, hop: float
    ) -> None:
        self.sim, self.day, self.fronts, self.note, self.hop = sim, day, fronts, note, hop
        self.chance = random.Random(day.seed)
        self.offerings: list[Offering] = day.offerings
        self.at_of = {one.name: at for at, one in enumerate(day.offerings)}
        self.count = self.turn = self.open = 0
        self.dead: dict[int, float] = {}
        self.start, self.over = 0.0, False
        self.totals = Totals()
        self.on_end: Callable[[str, float], None] = lambda how, now: None
        self.shared = {
            one.offering: [
                (1000 * number + at + 1, self._between(one.beginning_tokens)) for at in range(one.beginnings)
            ]
            for number, one in enumerate(day.traffic)
        }
        turns = sum(one.share * sum(one.turns) / 2 for one in day.traffic)
        self.rate = day.rate / (turns / sum(one.share for one in day.traffic)) / 1000

    def _between(self, span: tuple[float, float]) -> float:
        return self.chance.uniform(*span)

    def _burst(self, kind: str) -> Trouble | None:
        past = self.sim.now - self.start
        return next(
            (one for one in self.day.troubles if one.kind == kind and one.at <= past < one.at + one.length),
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
        elif self.shared[traffic.offering] and self.chance.random() < traffic.beginning_share:
            prefix, tokens = self.chance.choice(self.shared[traffic.offering])
        session = Session(
            self.count,
            traffic,
            self.at_of[traffic.offering],
            max(1, round(self._between(traffic.turns))),
            tokens,
            prefix,
            tokens,
        )
        self._ask(session)

    def _ask(self, session: Session) -> None:
        one, offering = session.traffic, self.offerings[session.offering]
        session.turns -= 1
        new = self._between(one.new_tokens)
        tail = self._burst("heavy-tail")
        if tail and tail.offering in ("", one.offering) and self.chance.random() < tail.share:
            new *= tail.factor
        session.tokens += new
        limit = offering.outer_limit + 2 * offering.promised_per_k * session.tokens / 1000
        patience, leaves = limit * self._between(self.day.patience), False
        hasty = self._burst("give-up")
        if hasty and self.chance.random() < hasty.share:
            patience, leaves = offering.promised_time * hasty.factor, hasty.how == "leave"
        self.count += 1
        job = ClientJob(
            f"j{self.count}",
            session,
            self.sim.now,
            session.tokens,
            max(1, min(offering.most_answer, round(self._between(one.answer_tokens)))),
            int(self._between(self.day.retries) + 1),
            patience,
            leaves,
            self._next_front(),
            self.chance.random() < self.day.streams,
        )
        self.open += 1
        self._try(job)

    def _next_front(self) -> int:
        """By chance, but for those known to be dead."""
        for _ in range(8):
            at = self.chance.randrange(len(self.fronts))
            since = self.dead.get(at)
            if since is None or self.sim.now < since + self.day.notice:
                return at
            if self.sim.now > since + 4 * self.day.notice:
                del self.dead[at]
                return at
        return at

    def _try(self, job: ClientJob) -> None:
        job.tries += 1
        job.left -= 1
        session, offering = job.session, self.offerings[job.session.offering]
        name = f"{job.id}.{job.tries}"
        stays = min(job.patience, 4 * offering.outer_limit)
        # Who wants the answer whole sees no first token: it stays for the longest answer besides.
        whole = 0.0 if job.stream else 2 * offering.token_time * offering.most_answer
        front = self.fronts[job.front]
        state = {"first": None, "over": False}  # type: dict[str, float | bool | None]
        self.note(
            "clients",
            "try",
            try_id=name,
            job=job.id,
            offering=offering.name,
            effect=offering.effect,
            left=(offering.outer_limit if job.leaves else stays) + whole,
            front=front.name if front else f"front-{job.front + 1}",
        )

        def began() -> None:
            if not state["over"] and job.stream:
                state["first"] = self.sim.now
                self.note("clients", "first token", try_id=name)

        def answered(how: str) -> None:
            if not state["over"]:
                state["over"] = True
                if how == "delivered" and not job.stream:
                    state["first"] = self.sim.now
                self.note("clients", "answer", try_id=name, how=how)
                self._ended(job, how, state["first"], asked.stay_away)

        asked = Ask(
            name,
            session.offering,
            offering.name,
            session.id,
            session.prefix,
            job.prompt,
            session.prefix_tokens,
            job.answer,
            offering.most_answer,
            offering.outer_limit if job.leaves else stays,
            job.tries > 1,
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

    def _ended(self, job: ClientJob, how: str, first: float | bool | None, stay_away: float) -> None:
        offering, session, totals = self.offerings[job.session.offering], job.session, self.totals
        if how in ("unreachable", "reset"):
            self.dead.setdefault(job.front, self.sim.now)
        else:
            self.dead.pop(job.front, None)
        harmless = (
            how in ("deferred", "unreachable")
            or offering.effect == "redoable"
            or offering.effect == "labelled"
            and how != "left"
        )
        if how != "delivered" and harmless and job.left > 0:
            job.front = self._next_front()
            self.sim.after(max(stay_away, self._between(self.day.wait)), self._try, job)
            return
        promised = offering.promised_time + offering.promised_per_k * job.prompt / 1000
        wait = float(first) - job.intended if first else None
        if how == "delivered":
            how = "delivered" if wait is not None and wait <= promised else "late"
        credit = offering.credit * {"delivered": 1.0, "late": offering.late_credit}.get(how, 0.0)
        self.note(
            "clients",
            "job ended",
            job=job.id,
            offering=offering.name,
            how=how,
            tries=job.tries,
            first=wait,
            credit=credit,
            asked=offering.credit,
        )
        totals.jobs += 1
        totals.tries += job.tries
        totals.asked += offering.credit
        totals.credit += credit
        totals.ends[how] = totals.ends.get(how, 0) + 1
        if wait is not None:
            totals.firsts.append(wait)
        self.open -= 1
        self.on_end(how, self.sim.now)
        if how in ("delivered", "late") and session.turns > 0 and not self.over:
            again = replace(session, tokens=session.tokens + job.answer)
            self.sim.after(self._between(session.traffic.think), self._again, again)

    def _again(self, session: Session) -> None:
        if not self.over:
            self._ask(session)
