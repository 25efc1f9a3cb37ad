"""Client stand-ins: open-loop arrivals, sessions whose prompts grow, patience, retries; every try is
journalled.

`python -m worksmux.fakes.clients SPEC` drives the fronts it is given until its time is up and all is
answered. A job's credit follows its first try's intended time: promised time to the first token, then the
pace of the rest.
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass, field

import msgspec

from ..api import chat, embeddings, errors, rerank
from ..api.engine import CHAT
from ..api.events import EventParser
from ..gateway.answers import ANSWER_HEADER
from ..net import client, clock
from ..net.loop import Reactor, the_reactor
from ..tokenization.samples import SAMPLES
from .engine import ANSWER as TRUE_ANSWER
from .journal import Journal
from .vectors import score, vector

QUERY = "what went wrong in the lab"
TEXTS = [
    SAMPLES[name]
    for name in ("finnish", "swedish", "english", "arabic", "russian", "chinese", "hindi", "code", "lab log")
]


class RequestClassSpec(msgspec.Struct):
    """One offering's traffic; spans are (lowest, highest), times in milliseconds."""

    name: str
    share: float
    promised_time: float
    promised_per_k: float
    outer_limit: float
    token_time: float
    most_answer: int
    credit: float
    late_credit: float
    effect: str
    new_tokens: tuple[float, float]
    answer_tokens: tuple[float, float]
    turns: tuple[float, float]
    think: tuple[float, float]
    beginnings: int
    beginning_tokens: tuple[float, float]
    beginning_share: float
    call: str = "chat"
    inputs: tuple[float, float] = (1.0, 1.0)  # of one call of embeddings or rerank
    callers: int = 1


class FrontSpec(msgspec.Struct):
    name: str
    port: int
    zone: str
    host: str = "127.0.0.1"


class Burst(msgspec.Struct):
    """A change of the traffic for a while."""

    name: str
    at: float
    length: float
    factor: float = 1.0
    share: float = 1.0
    request_class: str = msgspec.field(default="", name="offering")
    how: str = ""


class ClientsSpec(msgspec.Struct):
    journal: str
    seed: int
    start: float  # on the machine's clock
    length: float
    rate: float  # jobs a second
    request_classes: list[RequestClassSpec] = msgspec.field(name="offerings")
    fronts: list[FrontSpec]
    bursts: list[Burst]
    retries: tuple[float, float]
    wait: tuple[float, float]  # before a retry
    patience: tuple[float, float]  # part of the outer limit
    stream_share: float
    notice: float  # how long a dead front is still sent to


@dataclass(eq=False)
class Session:
    request_class: RequestClassSpec
    name: str
    turns: int
    beginning: str
    prefix: str
    messages: list[dict[str, str]] = field(default_factory=list)


@dataclass(eq=False)
class ClientRequest:
    """One question with all its tries."""

    id: str
    session: Session
    intended: float
    prompt: float
    answer: int
    left: int  # tries that remain
    patience: float
    stream: bool
    front: int
    leaves: bool = False  # goes before the time that it names
    inputs: list[str] = field(default_factory=list)  # of a call of one stage
    body: bytes = b""
    tries: int = 0
    ended: str = ""


class Try:
    """One try on the wire: takes the reply and says once how it ended."""

    def __init__(self, owner: Clients, request: ClientRequest, name: str) -> None:
        self.owner, self.request, self.name = owner, request, name
        self.sent = clock.now()
        self.status, self.headers = 0, {}  # type: int, dict[str, str]
        self.events: EventParser | None = None
        self.body = bytearray()
        self.first = self.last = 0.0
        self.tokens = self.expect = 0
        self.prompt = 0  # its length as the engine counted it
        self.stay_away = 0.0  # what it was told, milliseconds
        self.code = self.finish = ""
        self.over = False
        self.call: client.Call | None = None

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        self.status, self.headers = status, headers
        self.stay_away = float(headers.get("retry-after-ms", 0.0))
        if headers.get("content-type", "").startswith("text/event-stream"):
            self.events = EventParser(2**20)

    def body_received(self, data: bytes) -> None:
        if self.over:
            return self.owner.journal.note("after the end", try_id=self.name)
        if self.events is None:
            self.body += data
            return
        for event in self.events.feed(data):
            if event == b"[DONE]":
                self.finish = self.finish or "done"
                continue
            code = errors.code_of(event)
            if code:
                self.code = code
                continue
            chunk = chat.CHUNK_DECODER.decode(event)
            if chunk.usage is not None:
                self.prompt = chunk.usage.prompt_tokens
            for choice in chunk.choices:
                self._words(choice.delta.content or "" if choice.delta else "")

    def _words(self, text: str) -> None:
        """Checks that the answer has no gap and no repeat."""
        words = text.split()
        if not words:
            return
        now = clock.now()
        if not self.first:
            self.first = now
            self.owner.journal.note("first token", try_id=self.name)
        self.last = now
        for word in words:
            if word != f"w{self.expect}":
                self.owner.journal.note("wrong text", try_id=self.name, got=word[:20], wanted=self.expect)
            self.expect += 1
        self.tokens += len(words)

    def done(self) -> None:
        if self.request.inputs and self.status == 200:
            self.checked()
            self.finish = "done"
        elif self.events is None and self.status == 200:
            reply = msgspec.json.decode(bytes(self.body))
            self._words(reply["choices"][0]["message"]["content"])
            self.prompt = int(reply["usage"]["prompt_tokens"])
            self.finish = "done"
        elif self.status != 200:
            self.code = errors.code_of(bytes(self.body)) or f"status {self.status}"
        self._end("delivered" if self.finish and not self.code else self.code or "cut")

    def checked(self) -> None:
        """A whole reply of one stage: every result is what the stand-in engine gives for that input."""
        one, inputs = self.request.session.request_class, self.request.inputs
        now = self.first = self.last = clock.now()
        body = bytes(self.body)
        self.owner.journal.note("first token", try_id=self.name, at=now)
        if one.call == "embeddings":
            found, _ = embeddings.vectors(body, len(inputs))
            wrong = [
                at
                for at, text in enumerate(inputs)
                if found.get(at) != embeddings.pack(vector(one.name, text))
            ]
        else:
            scores, _ = rerank.scores(body, len(inputs))
            wrong = [at for at, text in enumerate(inputs) if scores.get(at) != score(QUERY, text)]
        for at in wrong:
            self.owner.journal.note("wrong text", try_id=self.name, got=at, wanted=len(inputs))

    def failed(self, trouble: client.CallError) -> None:
        if self.code:
            self._end(self.code)
        else:
            self._end("unreachable" if isinstance(trouble, client.NotSentError) else "reset")

    def give_up(self) -> None:
        """The client's time is up before a first token."""
        if not self.over and not self.first:
            self._end("left")
            if self.call is not None:
                self.call.abandon()

    def _end(self, how: str) -> None:
        if self.over:
            return
        self.over = True
        how = {"broken_off": "broken off", "reset": "reset", "cut": "cut"}.get(how, how)
        self.owner.journal.note(
            "answer",
            try_id=self.name,
            how=how,
            tokens=self.tokens,
            status=self.status,
            named=self.headers.get(ANSWER_HEADER, ""),
        )
        self.owner.ended(self, how)


class Clients:
    def __init__(self, spec: ClientsSpec, reactor: Reactor) -> None:
        self.spec, self.reactor = spec, reactor
        self.chance = random.Random(spec.seed)
        self.journal = Journal(spec.journal, "clients")
        self.pools = [
            client.Pool(reactor, front.host, front.port, 500.0, 2_000.0, 64, 65_536) for front in spec.fronts
        ]
        self.dead: dict[int, float] = {}
        self.turn = self.count = self.open = 0
        self.next = spec.start
        self.floods: dict[str, float] = {}  # by offering: its flood's next arrival
        self.shared = {
            one.name: [
                (f"{one.name}-{at}", self._text(f"{one.name} {at}", one.beginning_tokens))
                for at in range(one.beginnings)
            ]
            for one in spec.request_classes
        }
        self.waiting = 0
        self.over = False

    def _between(self, span: tuple[float, float]) -> float:
        return self.chance.uniform(*span)

    def _text(self, name: str, span: tuple[float, float]) -> str:
        """A text in one of the languages that users write, of about so many tokens by its bytes."""
        length = int(self._between(span) * chat.BYTES_PER_TOKEN)
        sample = TEXTS[self.chance.randrange(len(TEXTS))]
        words = f"{name} " + sample * (1 + length // len(sample))
        return words.encode()[: max(8, length)].decode("utf-8", "ignore")

    def start(self) -> None:
        self.reactor.callLater(max(0.0, self.spec.start - clock.now()) / 1000, self._arrive)

    def _burst(self, name: str) -> Burst | None:
        past = clock.now() - self.spec.start
        return next(
            (one for one in self.spec.bursts if one.name == name and one.at <= past < one.at + one.length),
            None,
        )

    def _arrive(self) -> None:
        """Sessions begin by a Poisson process; a late timer begins all that are due, each at its own time."""
        now = clock.now()
        end = self.spec.start + self.spec.length
        self._flood(now)
        while self.next <= now and self.next < end:
            self._begin(self.next)
            burst = self._burst("burst")
            turns = sum(one.share * sum(one.turns) / 2 for one in self.spec.request_classes) / sum(
                one.share for one in self.spec.request_classes
            )
            rate = self.spec.rate * (burst.factor if burst else 1.0) / turns
            self.next += self.chance.expovariate(rate) * 1000
        if self.next < end:
            first = min([self.next, *self.floods.values()])
            self.reactor.callLater(max(0.0, first - clock.now()) / 1000, self._arrive)
        else:
            self.over = True
            self._maybe_stop()

    def _flood(self, now: float) -> None:
        """One offering's jobs come more often: a Poisson process of its own beside the usual one."""
        flood = self._burst("flood")
        one = next(
            (one for one in self.spec.request_classes if flood and one.name == flood.request_class), None
        )
        if flood is None or one is None:
            self.floods.clear()
            return
        turns = sum(other.share * sum(other.turns) / 2 for other in self.spec.request_classes)
        rate = self.spec.rate * one.share / turns * (flood.factor - 1) / 1000
        next_at = self.floods.setdefault(one.name, now)
        while next_at <= now:
            self._begin(next_at, one)
            next_at += self.chance.expovariate(rate)
        self.floods[one.name] = next_at

    def _begin(self, intended: float, one: RequestClassSpec | None = None) -> None:
        if one is None:
            shares = [request_class.share for request_class in self.spec.request_classes]
            one = self.chance.choices(self.spec.request_classes, shares)[0]
        self.count += 1
        prefix, beginning = "", ""
        hot = self._burst("hot_beginning")
        if hot and self.chance.random() < hot.share:
            prefix, beginning = (
                f"hot {hot.at}",
                f"hot {hot.at} " + "quite unseen before " * int(hot.factor / 5),
            )
        elif self.shared[one.name] and self.chance.random() < one.beginning_share:
            prefix, beginning = self.chance.choice(self.shared[one.name])
        session = Session(
            one, f"s{self.spec.seed}-{self.count}", max(1, round(self._between(one.turns))), beginning, prefix
        )
        if beginning:
            session.messages.append({"role": "system", "content": beginning})
        self._ask(session, intended)

    def _ask(self, session: Session, intended: float) -> None:
        one = session.request_class
        session.turns -= 1
        if one.call != "chat":
            return self._ask_vectors(session, intended)
        answer = max(1, min(one.most_answer, round(self._between(one.answer_tokens))))
        tokens = one.new_tokens
        tail = self._burst("heavy_tail")
        if tail and tail.request_class in ("", one.name) and self.chance.random() < tail.share:
            tokens = (tokens[0] * tail.factor, tokens[1] * tail.factor)
        self.count += 1
        text = self._text(f"{session.name} {self.count}", tokens) + f" {TRUE_ANSWER}={answer} "
        session.messages.append({"role": "user", "content": text})
        prompt = sum(len(message["content"].encode()) for message in session.messages) / chat.BYTES_PER_TOKEN
        limit = one.outer_limit + 2 * one.promised_per_k * prompt / 1000
        patience = limit * self._between(self.spec.patience)
        hasty, leaves = self._burst("give_up"), False
        if hasty and self.chance.random() < hasty.share:
            patience, leaves = one.promised_time * hasty.factor, hasty.how == "leave"
        request = ClientRequest(
            f"j{self.spec.seed}-{self.count}",
            session,
            intended,
            prompt,
            answer,
            int(self._between(self.spec.retries) + 1),
            patience,
            self.chance.random() < self.spec.stream_share,
            self._next_front(),
            leaves,
        )
        request.body = msgspec.json.encode(
            {
                "model": one.name,
                "messages": session.messages,
                "stream": request.stream,
                "max_tokens": one.most_answer,
                "stream_options": {"include_usage": True} if request.stream else None,
            }
        )
        self.journal.note(
            "job", job=request.id, offering=one.name, intended=intended, prompt=prompt, answer=answer
        )
        self.open += 1
        self._try(request)

    def _ask_vectors(self, session: Session, intended: float) -> None:
        """A call of one stage, of many inputs."""
        one = session.request_class
        self.count += 1
        inputs = [
            self._text(f"{self.count} {at}", one.new_tokens)
            for at in range(max(1, round(self._between(one.inputs))))
        ]
        patience = one.outer_limit * self._between(self.spec.patience)
        request = ClientRequest(
            f"j{self.spec.seed}-{self.count}",
            session,
            intended,
            0.0,
            0,
            int(self._between(self.spec.retries) + 1),
            patience,
            True,
            self._next_front(),
            inputs=inputs,
        )
        user = f"u{self.chance.randrange(one.callers)}"
        asked = (
            {"input": inputs, "encoding_format": "base64"}
            if one.call == "embeddings"
            else {"query": QUERY, "documents": inputs}
        )
        request.body = msgspec.json.encode({"model": one.name, "user": user, **asked})
        self.journal.note("job", job=request.id, offering=one.name, intended=intended, inputs=len(inputs))
        self.open += 1
        self._try(request)

    def _next_front(self) -> int:
        """In turn, but for those known to be dead."""
        now = clock.now()
        for _ in self.pools:
            self.turn += 1
            at = self.turn % len(self.pools)
            since = self.dead.get(at)
            if since is None or now < since + self.spec.notice or now > since + 4 * self.spec.notice:
                return at
        return self.turn % len(self.pools)

    def _try(self, request: ClientRequest) -> None:
        request.tries += 1
        request.left -= 1
        one = Try(self, request, f"{request.id}.{request.tries}")
        request_class = request.session.request_class
        stays = min(request.patience, request_class.outer_limit * 4)
        left = request_class.outer_limit if request.leaves else stays
        # Who wants the answer whole sees no first token: it stays for the longest answer besides.
        whole = 0.0 if request.stream else 2 * request_class.token_time * request_class.most_answer
        self.journal.note(
            "try",
            try_id=one.name,
            job=request.id,
            offering=request_class.name,
            left=left + whole,
            front=self.spec.fronts[request.front].name,
            effect=request_class.effect,
        )
        headers = [
            ("Content-Type", "application/json"),
            (chat.REQUEST_ID, one.name),
            (chat.IDEMPOTENCY_KEY, request.id),
            (chat.TIME_LEFT, f"{left:.3f}"),
            (chat.SESSION, request.session.name),
            (chat.CLIENT_RETRIES, str(request.tries - 1)),
        ]
        if request.session.prefix:
            headers += [
                (chat.PREFIX, request.session.prefix),
                (chat.PREFIX_TOKENS, str(len(request.session.beginning) / chat.BYTES_PER_TOKEN)),
            ]
        path = {"embeddings": embeddings.PATH, "rerank": rerank.PATH}.get(request_class.call, CHAT)
        one.call = self.pools[request.front].call("POST", path, one, headers, request.body)
        self.reactor.callLater((stays + whole) / 1000, one.give_up)

    def ended(self, one: Try, how: str) -> None:
        request, request_class = one.request, one.request.session.request_class
        if how in ("unreachable", "reset"):
            self.dead.setdefault(request.front, clock.now())
        else:
            self.dead.pop(request.front, None)
        harmless = how in ("deferred", "unreachable") or (
            request_class.effect != "irreversible" and how != "left"
        )
        if how == "left" and request_class.effect == "redoable":
            harmless = True
        if how != "delivered" and harmless and request.left > 0:
            request.front = self._next_front()
            wait = self._between(self.spec.wait)
            if request.inputs and not self._burst("storm"):
                wait = max(wait, one.stay_away)
            self.reactor.callLater(wait / 1000, self._try, request)
            return
        promised = (
            request_class.promised_time + request_class.promised_per_k * (one.prompt or request.prompt) / 1000
        )
        first = one.first - request.intended
        pace = (one.last - one.first) / max(1, one.tokens - 1)
        on_time = first <= promised and (pace <= request_class.token_time or not request.stream)
        request.ended = ("delivered" if on_time else "late") if how == "delivered" else how
        self.journal.note(
            "job ended",
            job=request.id,
            offering=request_class.name,
            how=request.ended,
            tries=request.tries,
            first=round(first, 2) if one.first else None,
            credit=request_class.credit
            * (
                1.0
                if request.ended == "delivered"
                else request_class.late_credit
                if request.ended == "late"
                else 0.0
            ),
            asked=request_class.credit,
        )
        self.open -= 1
        session = request.session
        if how == "delivered" and session.turns > 0 and not self.over:
            session.messages.append({"role": "assistant", "content": "w " * (one.tokens * 2)})
            think = self._between(request_class.think)
            self.reactor.callLater(think / 1000, self._ask_again, session, clock.now() + think)
        self._maybe_stop()

    def _ask_again(self, session: Session, intended: float) -> None:
        if not self.over:
            self._ask(session, intended)

    def _maybe_stop(self) -> None:
        if self.over and not self.open:
            self.journal.note("all answered")
            self.reactor.callLater(0, self.reactor.stop)


def main(text: str) -> None:
    reactor = the_reactor()
    Clients(msgspec.json.decode(text, type=ClientsSpec), reactor).start()
    reactor.run()


if __name__ == "__main__":
    with open(sys.argv[1], encoding="utf-8") as spec:
        main(spec.read())
