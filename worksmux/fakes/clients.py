"""Fake clients: open-loop arrivals, sessions with growing prompts, client time limits and client retries.

`python -m worksmux.fakes.clients SPEC` sends requests to the given gateways until the run's length has passed
and every request has ended.  Each client attempt is recorded in the journal.  A request's credit is judged
from the intended send time of its first attempt: the latency target bounds the time to the first token, and
`token_time` bounds the mean interval between the tokens that follow.
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
from .engine import ANSWER_TOKENS_MARKER
from .journal import Journal
from .vectors import score, vector

QUERY = "what went wrong in the lab"
SAMPLE_TEXTS = [
    SAMPLES[name]
    for name in ("finnish", "swedish", "english", "arabic", "russian", "chinese", "hindi", "code", "lab log")
]


class RequestClassSpec(msgspec.Struct):
    """The traffic of one request class; ranges are (lowest, highest), times are in milliseconds."""

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
    inputs: tuple[float, float] = (1.0, 1.0)  # per embeddings or rerank request
    callers: int = 1


class FrontSpec(msgspec.Struct):
    """A gateway that clients send to: its name, its zone and the address it serves them on."""

    name: str
    port: int
    zone: str
    host: str = "127.0.0.1"


class Burst(msgspec.Struct):
    """A temporary change of the traffic; `at` and `length` are milliseconds from the start of the run."""

    name: str
    at: float
    length: float
    factor: float = 1.0
    share: float = 1.0
    request_class: str = msgspec.field(default="", name="offering")
    how: str = ""


class ClientsSpec(msgspec.Struct):
    """One run of the clients; times are in milliseconds."""

    journal: str
    seed: int
    start: float  # by `net.clock`, which all processes of a machine share
    length: float
    rate: float  # requests per second
    request_classes: list[RequestClassSpec] = msgspec.field(name="offerings")
    fronts: list[FrontSpec]
    bursts: list[Burst]
    retries: tuple[float, float]
    wait: tuple[float, float]  # before a client retry
    patience: tuple[float, float]  # share of the deadline that the client waits for a first token
    stream_share: float
    notice: float  # how long clients still send to an unreachable gateway


@dataclass(eq=False)
class Session:
    """A conversation of one client: its requests share a growing prompt."""

    request_class: RequestClassSpec
    name: str
    turns: int
    beginning: str
    prefix: str
    messages: list[dict[str, str]] = field(default_factory=list)


@dataclass(eq=False)
class ClientRequest:
    """One request and the state of its client attempts."""

    id: str
    session: Session
    intended_ms: float
    prompt_tokens: float
    answer_tokens: int
    attempts_left: int
    patience_ms: float
    stream: bool
    gateway: int
    disconnects_early: bool = False  # disconnects before the time limit that its header states
    inputs: list[str] = field(default_factory=list)  # of an embeddings or rerank request
    body: bytes = b""
    attempts: int = 0
    outcome: str = ""


class ClientAttempt:
    """One client attempt: receives the response and reports its outcome exactly once."""

    def __init__(self, owner: Clients, request: ClientRequest, name: str) -> None:
        self.owner, self.request, self.name = owner, request, name
        self.sent_ms = clock.now()
        self.status, self.headers = 0, {}  # type: int, dict[str, str]
        self.events: EventParser | None = None
        self.body = bytearray()
        self.first_token_ms = self.last_token_ms = 0.0
        self.tokens = self.expected_word = 0
        self.counted_prompt_tokens = 0  # as counted by the engine
        self.retry_after_ms = 0.0  # from the retry-after-ms header
        self.code = self.finish_reason = ""
        self.is_over = False
        self.call: client.Call | None = None

    @property
    def buffered_bytes(self) -> int:
        """How many bytes of a body that is no event stream are kept."""
        return len(self.body)

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        """Stores the response's status and headers, and starts the event parser of a streamed response."""
        self.status, self.headers = status, headers
        self.retry_after_ms = float(headers.get("retry-after-ms", 0.0))
        if headers.get("content-type", "").startswith("text/event-stream"):
            self.events = EventParser(2**20)

    def body_received(self, data: bytes) -> None:
        """Parses a part of the body; a part that arrives after the attempt ended is recorded as a fault."""
        if self.is_over:
            return self.owner.journal.note("after the end", try_id=self.name)
        if self.events is None:
            self.body += data
            return
        for event in self.events.feed(data):
            if event == b"[DONE]":
                self.finish_reason = self.finish_reason or "done"
                continue
            code = errors.code_of(event)
            if code:
                self.code = code
                continue
            chunk = chat.CHUNK_DECODER.decode(event)
            if chunk.usage is not None:
                self.counted_prompt_tokens = chunk.usage.prompt_tokens
            for choice in chunk.choices:
                self._take_words(choice.delta.content or "" if choice.delta else "")

    def _take_words(self, text: str) -> None:
        """Counts the words of the answer and records each missing or repeated one."""
        words = text.split()
        if not words:
            return
        now = clock.now()
        if not self.first_token_ms:
            self.first_token_ms = now
            self.owner.journal.note("first token", try_id=self.name)
        self.last_token_ms = now
        for word in words:
            if word != f"w{self.expected_word}":
                self.owner.journal.note(
                    "wrong text", try_id=self.name, got=word[:20], wanted=self.expected_word
                )
            self.expected_word += 1
        self.tokens += len(words)

    def done(self) -> None:
        """Ends the attempt after a complete response; a stream without a finish marker counts as cut."""
        if self.request.inputs and self.status == 200:
            self.check_results()
            self.finish_reason = "done"
        elif self.events is None and self.status == 200:
            reply = msgspec.json.decode(bytes(self.body))
            self._take_words(reply["choices"][0]["message"]["content"])
            self.counted_prompt_tokens = int(reply["usage"]["prompt_tokens"])
            self.finish_reason = "done"
        elif self.status != 200:
            self.code = errors.code_of(bytes(self.body)) or f"status {self.status}"
        self._end("delivered" if self.finish_reason and not self.code else self.code or "cut")

    def check_results(self) -> None:
        """Checks that each result of an embeddings or rerank response is the fake engine's for its input."""
        request_class, inputs = self.request.session.request_class, self.request.inputs
        now = self.first_token_ms = self.last_token_ms = clock.now()
        body = bytes(self.body)
        self.owner.journal.note("first token", try_id=self.name, at=now)
        if request_class.call == "embeddings":
            vectors, _ = embeddings.vectors(body, len(inputs))
            wrong = [
                index
                for index, text in enumerate(inputs)
                if vectors.get(index) != embeddings.pack(vector(request_class.name, text))
            ]
        else:
            scores, _ = rerank.scores(body, len(inputs))
            wrong = [index for index, text in enumerate(inputs) if scores.get(index) != score(QUERY, text)]
        for index in wrong:
            self.owner.journal.note("wrong text", try_id=self.name, got=index, wanted=len(inputs))

    def failed(self, error: client.CallError) -> None:
        """Ends the attempt after a connection error: `unreachable` if nothing was sent, else `reset`."""
        if self.code:
            self._end(self.code)
        else:
            self._end("unreachable" if isinstance(error, client.NotSentError) else "reset")

    def time_out(self) -> None:
        """Disconnects if no token has arrived within the client's patience."""
        if not self.is_over and not self.first_token_ms:
            self._end("left")
            if self.call is not None:
                self.call.abandon()

    def _end(self, outcome: str) -> None:
        if self.is_over:
            return
        self.is_over = True
        outcome = {"broken_off": "broken off", "reset": "reset", "cut": "cut"}.get(outcome, outcome)
        self.owner.journal.note(
            "answer",
            try_id=self.name,
            how=outcome,
            tokens=self.tokens,
            status=self.status,
            named=self.headers.get(ANSWER_HEADER, ""),
        )
        self.owner.attempt_ended(self, outcome)


class Clients:
    """All clients of a run: starts sessions by schedule and retries their failed attempts."""

    def __init__(self, spec: ClientsSpec, reactor: Reactor) -> None:
        self.spec, self.reactor = spec, reactor
        self.random_source = random.Random(spec.seed)
        self.journal = Journal(spec.journal, "clients")
        self.pools = [
            client.Pool(reactor, gateway.host, gateway.port, 500.0, 2_000.0, 64, 65_536)
            for gateway in spec.fronts
        ]
        self.unreachable_since: dict[int, float] = {}
        self.round_robin_index = self.names_given = self.open_requests = 0
        self.next_arrival_ms = spec.start
        self.flood_arrivals: dict[str, float] = {}  # next arrival by request class
        self.shared_beginnings = {
            request_class.name: [
                (
                    f"{request_class.name}-{index}",
                    self._make_text(f"{request_class.name} {index}", request_class.beginning_tokens),
                )
                for index in range(request_class.beginnings)
            ]
            for request_class in spec.request_classes
        }
        self.waiting = 0
        self.arrivals_over = False

    def _uniform(self, span: tuple[float, float]) -> float:
        return self.random_source.uniform(*span)

    def _make_text(self, name: str, span: tuple[float, float]) -> str:
        """Makes a text in a random sample language, as long as a random token count from the range."""
        length = int(self._uniform(span) * chat.BYTES_PER_TOKEN)
        sample = SAMPLE_TEXTS[self.random_source.randrange(len(SAMPLE_TEXTS))]
        words = f"{name} " + sample * (1 + length // len(sample))
        return words.encode()[: max(8, length)].decode("utf-8", "ignore")

    def start(self) -> None:
        """Schedules the first arrival at the run's start time."""
        self.reactor.callLater(max(0.0, self.spec.start - clock.now()) / 1000, self._begin_due_sessions)

    def _active_burst(self, name: str) -> Burst | None:
        elapsed_ms = clock.now() - self.spec.start
        return next(
            (
                burst
                for burst in self.spec.bursts
                if burst.name == name and burst.at <= elapsed_ms < burst.at + burst.length
            ),
            None,
        )

    def _begin_due_sessions(self) -> None:
        """Begins every session that is due, each with its own intended time, even if the timer fired late.

        Arrivals are a Poisson process.
        """
        now = clock.now()
        end = self.spec.start + self.spec.length
        self._begin_flood_sessions(now)
        while self.next_arrival_ms <= now and self.next_arrival_ms < end:
            self._begin_session(self.next_arrival_ms)
            burst = self._active_burst("burst")
            turns = sum(
                request_class.share * sum(request_class.turns) / 2
                for request_class in self.spec.request_classes
            ) / sum(request_class.share for request_class in self.spec.request_classes)
            rate = self.spec.rate * (burst.factor if burst else 1.0) / turns
            self.next_arrival_ms += self.random_source.expovariate(rate) * 1000
        if self.next_arrival_ms < end:
            next_due_ms = min([self.next_arrival_ms, *self.flood_arrivals.values()])
            self.reactor.callLater(max(0.0, next_due_ms - clock.now()) / 1000, self._begin_due_sessions)
        else:
            self.arrivals_over = True
            self._stop_if_done()

    def _begin_flood_sessions(self, now: float) -> None:
        """Adds the arrivals of a flood: a separate Poisson process for one request class."""
        flood = self._active_burst("flood")
        request_class = next(
            (each for each in self.spec.request_classes if flood and each.name == flood.request_class), None
        )
        if flood is None or request_class is None:
            self.flood_arrivals.clear()
            return
        turns = sum(each.share * sum(each.turns) / 2 for each in self.spec.request_classes)
        rate = self.spec.rate * request_class.share / turns * (flood.factor - 1) / 1000
        next_arrival_ms = self.flood_arrivals.setdefault(request_class.name, now)
        while next_arrival_ms <= now:
            self._begin_session(next_arrival_ms, request_class)
            next_arrival_ms += self.random_source.expovariate(rate)
        self.flood_arrivals[request_class.name] = next_arrival_ms

    def _begin_session(self, intended_ms: float, request_class: RequestClassSpec | None = None) -> None:
        if request_class is None:
            shares = [each.share for each in self.spec.request_classes]
            request_class = self.random_source.choices(self.spec.request_classes, shares)[0]
        self.names_given += 1
        prefix, beginning = "", ""
        hot_burst = self._active_burst("hot_beginning")
        if hot_burst and self.random_source.random() < hot_burst.share:
            prefix, beginning = (
                f"hot {hot_burst.at}",
                f"hot {hot_burst.at} " + "quite unseen before " * int(hot_burst.factor / 5),
            )
        elif (
            self.shared_beginnings[request_class.name]
            and self.random_source.random() < request_class.beginning_share
        ):
            prefix, beginning = self.random_source.choice(self.shared_beginnings[request_class.name])
        session = Session(
            request_class,
            f"s{self.spec.seed}-{self.names_given}",
            max(1, round(self._uniform(request_class.turns))),
            beginning,
            prefix,
        )
        if beginning:
            session.messages.append({"role": "system", "content": beginning})
        self._send_chat_request(session, intended_ms)

    def _send_chat_request(self, session: Session, intended_ms: float) -> None:
        request_class = session.request_class
        session.turns -= 1
        if request_class.call != "chat":
            return self._send_batch_request(session, intended_ms)
        answer_tokens = max(
            1, min(request_class.most_answer, round(self._uniform(request_class.answer_tokens)))
        )
        new_tokens = request_class.new_tokens
        heavy_tail = self._active_burst("heavy_tail")
        if (
            heavy_tail
            and heavy_tail.request_class in ("", request_class.name)
            and self.random_source.random() < heavy_tail.share
        ):
            new_tokens = (new_tokens[0] * heavy_tail.factor, new_tokens[1] * heavy_tail.factor)
        self.names_given += 1
        text = (
            self._make_text(f"{session.name} {self.names_given}", new_tokens)
            + f" {ANSWER_TOKENS_MARKER}={answer_tokens} "
        )
        session.messages.append({"role": "user", "content": text})
        prompt_tokens = (
            sum(len(message["content"].encode()) for message in session.messages) / chat.BYTES_PER_TOKEN
        )
        limit_ms = request_class.outer_limit + 2 * request_class.promised_per_k * prompt_tokens / 1000
        patience_ms = limit_ms * self._uniform(self.spec.patience)
        give_up_burst, disconnects_early = self._active_burst("give_up"), False
        if give_up_burst and self.random_source.random() < give_up_burst.share:
            patience_ms, disconnects_early = (
                request_class.promised_time * give_up_burst.factor,
                give_up_burst.how == "leave",
            )
        request = ClientRequest(
            f"j{self.spec.seed}-{self.names_given}",
            session,
            intended_ms,
            prompt_tokens,
            answer_tokens,
            int(self._uniform(self.spec.retries) + 1),
            patience_ms,
            self.random_source.random() < self.spec.stream_share,
            self._next_gateway(),
            disconnects_early,
        )
        request.body = msgspec.json.encode(
            {
                "model": request_class.name,
                "messages": session.messages,
                "stream": request.stream,
                "max_tokens": request_class.most_answer,
                "stream_options": {"include_usage": True} if request.stream else None,
            }
        )
        self.journal.note(
            "job",
            job=request.id,
            offering=request_class.name,
            intended=intended_ms,
            prompt=prompt_tokens,
            answer=answer_tokens,
        )
        self.open_requests += 1
        self._send_attempt(request)

    def _send_batch_request(self, session: Session, intended_ms: float) -> None:
        """Sends an embeddings or rerank request with several inputs."""
        request_class = session.request_class
        self.names_given += 1
        inputs = [
            self._make_text(f"{self.names_given} {index}", request_class.new_tokens)
            for index in range(max(1, round(self._uniform(request_class.inputs))))
        ]
        patience_ms = request_class.outer_limit * self._uniform(self.spec.patience)
        request = ClientRequest(
            f"j{self.spec.seed}-{self.names_given}",
            session,
            intended_ms,
            0.0,
            0,
            int(self._uniform(self.spec.retries) + 1),
            patience_ms,
            True,
            self._next_gateway(),
            inputs=inputs,
        )
        user = f"u{self.random_source.randrange(request_class.callers)}"
        arguments = (
            {"input": inputs, "encoding_format": "base64"}
            if request_class.call == "embeddings"
            else {"query": QUERY, "documents": inputs}
        )
        request.body = msgspec.json.encode({"model": request_class.name, "user": user, **arguments})
        self.journal.note(
            "job", job=request.id, offering=request_class.name, intended=intended_ms, inputs=len(inputs)
        )
        self.open_requests += 1
        self._send_attempt(request)

    def _next_gateway(self) -> int:
        """The next gateway in round-robin order.

        An unreachable gateway is skipped from `notice` to four times `notice` after its first failure.
        """
        now = clock.now()
        for _ in self.pools:
            self.round_robin_index += 1
            index = self.round_robin_index % len(self.pools)
            since_ms = self.unreachable_since.get(index)
            if since_ms is None or now < since_ms + self.spec.notice or now > since_ms + 4 * self.spec.notice:
                return index
        return self.round_robin_index % len(self.pools)

    def _send_attempt(self, request: ClientRequest) -> None:
        request.attempts += 1
        request.attempts_left -= 1
        attempt = ClientAttempt(self, request, f"{request.id}.{request.attempts}")
        request_class = request.session.request_class
        patience_ms = min(request.patience_ms, request_class.outer_limit * 4)
        stated_limit_ms = request_class.outer_limit if request.disconnects_early else patience_ms
        # Without streaming, the client sees no first token, so it also waits for the longest possible answer.
        answer_time_ms = 0.0 if request.stream else 2 * request_class.token_time * request_class.most_answer
        self.journal.note(
            "try",
            try_id=attempt.name,
            job=request.id,
            offering=request_class.name,
            left=stated_limit_ms + answer_time_ms,
            front=self.spec.fronts[request.gateway].name,
            effect=request_class.effect,
        )
        headers = [
            ("Content-Type", "application/json"),
            (chat.REQUEST_ID, attempt.name),
            (chat.IDEMPOTENCY_KEY, request.id),
            (chat.TIME_LEFT, f"{stated_limit_ms:.3f}"),
            (chat.SESSION, request.session.name),
            (chat.CLIENT_RETRIES, str(request.attempts - 1)),
        ]
        if request.session.prefix:
            headers += [
                (chat.PREFIX, request.session.prefix),
                (chat.PREFIX_TOKENS, str(len(request.session.beginning) / chat.BYTES_PER_TOKEN)),
            ]
        path = {"embeddings": embeddings.PATH, "rerank": rerank.PATH}.get(request_class.call, CHAT)
        attempt.call = self.pools[request.gateway].call("POST", path, attempt, headers, request.body)
        self.reactor.callLater((patience_ms + answer_time_ms) / 1000, attempt.time_out)

    def attempt_ended(self, attempt: ClientAttempt, outcome: str) -> None:
        """Schedules a client retry, or ends the request, records its credit and continues its session."""
        request, request_class = attempt.request, attempt.request.session.request_class
        if outcome in ("unreachable", "reset"):
            self.unreachable_since.setdefault(request.gateway, clock.now())
        else:
            self.unreachable_since.pop(request.gateway, None)
        may_retry = outcome in ("deferred", "unreachable") or (
            request_class.effect != "irreversible" and outcome != "left"
        )
        if outcome == "left" and request_class.effect == "redoable":
            may_retry = True
        if outcome != "delivered" and may_retry and request.attempts_left > 0:
            request.gateway = self._next_gateway()
            wait_ms = self._uniform(self.spec.wait)
            if request.inputs and not self._active_burst("storm"):
                wait_ms = max(wait_ms, attempt.retry_after_ms)
            self.reactor.callLater(wait_ms / 1000, self._send_attempt, request)
            return
        target_ms = (
            request_class.promised_time
            + request_class.promised_per_k * (attempt.counted_prompt_tokens or request.prompt_tokens) / 1000
        )
        first_token_after_ms = attempt.first_token_ms - request.intended_ms
        token_interval_ms = (attempt.last_token_ms - attempt.first_token_ms) / max(1, attempt.tokens - 1)
        on_time = first_token_after_ms <= target_ms and (
            token_interval_ms <= request_class.token_time or not request.stream
        )
        request.outcome = ("delivered" if on_time else "late") if outcome == "delivered" else outcome
        self.journal.note(
            "job ended",
            job=request.id,
            offering=request_class.name,
            how=request.outcome,
            tries=request.attempts,
            first=round(first_token_after_ms, 2) if attempt.first_token_ms else None,
            credit=request_class.credit
            * (
                1.0
                if request.outcome == "delivered"
                else request_class.late_credit
                if request.outcome == "late"
                else 0.0
            ),
            asked=request_class.credit,
        )
        self.open_requests -= 1
        session = request.session
        if outcome == "delivered" and session.turns > 0 and not self.arrivals_over:
            session.messages.append({"role": "assistant", "content": "w " * (attempt.tokens * 2)})
            think_ms = self._uniform(request_class.think)
            self.reactor.callLater(think_ms / 1000, self._continue_session, session, clock.now() + think_ms)
        self._stop_if_done()

    def _continue_session(self, session: Session, intended_ms: float) -> None:
        if not self.arrivals_over:
            self._send_chat_request(session, intended_ms)

    def _stop_if_done(self) -> None:
        if self.arrivals_over and not self.open_requests:
            self.journal.note("all answered")
            self.reactor.callLater(0, self.reactor.stop)


def main(text: str) -> None:
    """Runs the clients that a JSON `ClientsSpec` describes."""
    reactor = the_reactor()
    Clients(msgspec.json.decode(text, type=ClientsSpec), reactor).start()
    reactor.run()


if __name__ == "__main__":
    with open(sys.argv[1], encoding="utf-8") as spec:
        main(spec.read())
