"""The clients' side: chat completions over HTTP/1.1, answered whole or as a stream of events.

Deferred is 503 with `Retry-After`; broken off is 502, or 504 where time ran out.  Both name themselves in the
header `x-worksmux-answer` and in the error's code.  A stream that breaks ends with an error event and without
its end.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil

import structlog

from ..api import chat, errors
from ..api.chat import Asked, Usage
from ..api.engine import CHAT
from ..api.events import DONE, event
from ..forwarding.request_context import Case
from ..forwarding.stream_relay import StreamSide
from ..net import clock
from ..net.server import Exchange
from ..tokenization.desk import Verdict
from ..tokenization.service import Prompt, Result, TokenService
from .chat_engine_client import PublishedCore
from .vector_requests import PATHS
from .vectors import VectorService

LOG = structlog.get_logger()
MODELS = "/v1/models"
ANSWER = "x-worksmux-answer"
BROKEN = "the job was broken off: it may have run, and trying again is not known to be harmless"


class ChatClient(StreamSide):
    """One client's job over HTTP; see `case.Client`."""

    def __init__(self, exchange: Exchange, asked: Asked) -> None:
        super().__init__(exchange)
        self.asked = asked
        self.parts: list[str] = []

    @property
    def _tags(self) -> tuple[tuple[str, str], ...]:
        return ((chat.REQUEST_ID, self.asked.request_id),) if self.asked.request_id else ()

    def text(self, content: str) -> None:
        if not self.asked.stream:
            self.parts.append(content)
            return
        first = self._begin(self._tags)
        self.exchange.send_piece(
            event(chat.chunk(self.asked.answer_id, self.asked.name, content, first=first))
        )

    def delivered(self, finish: str, usage: Usage) -> None:
        if not self.asked.stream:
            self.exchange.answer(
                200, chat.whole(self.asked, "".join(self.parts), finish, usage), headers=self._tags
            )
            return
        self._unlink()
        name, number = self.asked.name, self.asked.answer_id
        last = event(chat.chunk(number, name, finish=finish))
        if self.asked.usage:
            last += event(chat.chunk(number, name, usage=usage))
        self.exchange.send_piece(last + DONE)
        self.exchange.end()

    def deferred(self, stay_away: float) -> None:
        wait = (("Retry-After", str(ceil(stay_away / 1000))), ("retry-after-ms", str(round(stay_away))))
        self._refused(
            503, "deferred", "the job was deferred: it has had no effect, and trying again is harmless", wait
        )

    def broken_off(self, timed_out: bool) -> None:
        self._refused(504 if timed_out else 502, "broken_off", BROKEN)

    def _refused(
        self, status: int, code: str, message: str, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        body = errors.error(message, "server_error", code=code)
        if self.begun:
            self._unlink()
            self.exchange.truncate(event(body))
        else:
            self.exchange.answer(
                status, body, headers=(*headers, (ANSWER, code.replace("_", "-")), *self._tags)
            )


class ClientSide:
    """Takes the calls of clients; `stopping` turns new jobs away while the front finishes what is out."""

    def __init__(self, core: PublishedCore, tokens: TokenService | None = None) -> None:
        self.core = core
        names = [one.name for one in core.settings.request_classes]
        self.request_classes = {name: at for at, name in enumerate(names)}
        self.most = [one.most_answer for one in core.settings.request_classes]
        self.models = chat.models(names)
        self.tokens = tokens
        self.on_request: Callable[[], None] | None = None
        self.counting: dict[Counting, None] = {}  # their prompts are being counted
        self.stopping = False
        self.vectors: VectorService | None = None  # set by who builds both

    def __call__(self, exchange: Exchange) -> None:
        path, method = exchange.path.decode("latin-1"), exchange.method.decode("latin-1")
        if path == CHAT and method == "POST":
            self._chat(exchange)
        elif path == MODELS and method == "GET":
            exchange.answer(200, self.models)
        elif self.vectors is not None and path in PATHS and method == "POST":
            self.vectors(exchange, path)
        elif path in (CHAT, MODELS) or self.vectors is not None and path in PATHS:
            allow = "GET" if path == MODELS else "POST"
            self._no(exchange, 405, f"{path} takes {allow}, not {method[:20]}", headers=(("Allow", allow),))
        else:
            self._no(exchange, 404, f"there is no {path[:100]}; known are POST {CHAT} and GET {MODELS}")

    def _no(
        self,
        exchange: Exchange,
        status: int,
        message: str,
        kind: str = "invalid_request_error",
        code: str | None = None,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        exchange.answer(status, errors.error(message, kind, code=code), headers=headers)

    def _chat(self, exchange: Exchange) -> None:
        away = (("Retry-After", "1"), (ANSWER, "deferred"))
        if self.stopping:
            self.core.metrics.turned_away("stopping")
            exchange.setHeader("connection", "close")
            return self._no(
                exchange, 503, "the front is stopping; try another", "server_error", "deferred", away
            )
        if len(self.core.cases) + len(self.counting) >= self.core.settings.transport.open_requests:
            self.core.metrics.turned_away("too many open")
            return self._no(
                exchange, 503, "the front holds as many jobs as it may", "server_error", "deferred", away
            )
        arrived = clock.now()
        try:
            asked = chat.asked(exchange.body(), exchange.header, self.request_classes, self.most)
        except errors.BadRequest as bad:
            self.core.metrics.turned_away("bad job")
            exchange.answer(bad.status, bad.body)
            return
        if self.vectors is not None and self.vectors.admission.sheds(asked.request_class):
            self.core.metrics.turned_away("the front itself is short")
            return self._no(
                exchange, 503, "the front itself is short; come back later", "server_error", "deferred", away
            )
        if self.tokens is None:
            self._take(exchange, asked, arrived)
        else:
            Counting(self, self.tokens, exchange, asked, arrived).start()

    def _take(self, exchange: Exchange, asked: Asked, arrived: float) -> Case:
        """From here on the job is the module's."""
        if self.on_request:
            self.on_request()
        side = ChatClient(exchange, asked)
        case = side.case = self.core.arrived(asked, side, arrived)
        exchange.on_disconnect = lambda: self.core.left(case)
        return case


class Counting:
    """A job whose prompt is being counted: no trip has been sent, and what it becomes is the desk's to
    say."""

    def __init__(
        self, side: ClientSide, tokens: TokenService, exchange: Exchange, asked: Asked, arrived: float
    ) -> None:
        self.side, self.tokens, self.exchange, self.asked = side, tokens, exchange, asked
        self.arrived = arrived
        self.prompt: Prompt | None = None
        self.case: Case | None = None

    def start(self) -> None:
        asked = self.asked
        request_class = self.side.core.settings.request_classes[asked.request_class]
        promised = min(
            request_class.promised_time,
            request_class.promised_time if asked.time_left is None else asked.time_left,
        )
        self.side.counting[self] = None
        self.exchange.on_disconnect = self._gone
        self.prompt = self.tokens.count(
            asked.parts, asked.request_class, request_class.most_prompt, promised, asked.session, self._result
        )

    def _gone(self) -> None:
        """The client hung up before its job was taken."""
        if self.prompt is not None:
            self.tokens.cancel(self.prompt)
        self._over()

    def _over(self) -> None:
        self.side.counting.pop(self, None)
        if self.side.core.on_empty:
            self.side.core.on_empty()

    def _result(self, told: Result) -> None:
        asked, core = self.asked, self.side.core
        core.metrics.counted(told.verdict.value, clock.now() - self.arrived)
        asked.prompt, asked.exact = max(1.0, told.prompt), told.exact
        if told.exact and not asked.named:
            asked.prefix, asked.prefix_tokens = told.prefix, told.prefix_tokens
        if self.case is not None:  # it went on by its bound
            if not self.case.answered:
                core.corrected(self.case)
            return
        match told.verdict:
            case Verdict.TOO_LONG:
                limit = core.settings.request_classes[asked.request_class].most_prompt
                number = f"{told.least}" if told.exact else f"at least {told.least}"
                core.metrics.turned_away("prompt too long")
                self.exchange.answer(
                    400,
                    errors.error(
                        f"the prompt has {number} tokens; {asked.name} takes {limit} at most; shorten it",
                        "invalid_request_error",
                        "messages",
                        "context_length_exceeded",
                    ),
                )
            case Verdict.DEFER:
                core.metrics.turned_away("counting overloaded")
                ChatClient(self.exchange, asked).deferred(1000.0)
            case _:
                self.case = self.side._take(self.exchange, asked, self.arrived)
        self._over()
