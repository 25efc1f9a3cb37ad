"""The clients' side: routes their exchanges, and answers chat completions whole or as a stream of events.

A deferred request is answered 503 with `Retry-After`; one that was broken off 502, or 504 where its time ran
out.  Both name themselves in the header `x-worksmux-answer` and in the error's code.  A stream that breaks
ends with an error event and without its last chunk.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil

from ..api import chat, errors
from ..api.chat import Asked, Usage
from ..api.engine import CHAT
from ..api.events import DONE, event
from ..forwarding.request_context import RequestContext
from ..forwarding.stream_relay import StreamRelay
from ..net import clock
from ..net.server import Exchange
from ..tokenization.desk import Verdict
from ..tokenization.service import Prompt, Result, TokenService
from .answers import ANSWER_HEADER, SERVICE_UNAVAILABLE, Headers
from .chat_engine_client import ChatEngineClient
from .vector_requests import PATHS as VECTOR_PATHS
from .vectors import VectorService

MODELS = "/v1/models"
ALLOWED_METHODS = {CHAT: "POST", MODELS: "GET"}
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
MAX_QUOTED_PATH_CHARACTERS = 100
MAX_QUOTED_METHOD_CHARACTERS = 20
RETRY_AFTER_COUNTING_MS = 1000.0
REJECTION_HEADERS = (("Retry-After", "1"), (ANSWER_HEADER, "deferred"))
DEFERRED_MESSAGE = "the job was deferred: it has had no effect, and trying again is harmless"
BROKEN_OFF_MESSAGE = "the job was broken off: it may have run, and trying again is not known to be harmless"


class ChatClient(StreamRelay):
    """The client of one chat completion; see `request_context.Client`."""

    def __init__(self, exchange: Exchange, asked: Asked) -> None:
        super().__init__(exchange)
        self._asked = asked
        self._parts: list[str] = []  # of an answer that is sent whole

    @property
    def _answer_headers(self) -> Headers:
        return ((chat.REQUEST_ID, self._asked.request_id),) if self._asked.request_id else ()

    def send_content(self, content: str) -> None:
        asked = self._asked
        if not asked.stream:
            self._parts.append(content)
            return
        is_first = self._begin(self._answer_headers)
        self.exchange.send_piece(event(chat.chunk(asked.answer_id, asked.name, content, first=is_first)))

    def complete(self, finish: str, usage: Usage) -> None:
        asked = self._asked
        if not asked.stream:
            body = chat.whole(asked, "".join(self._parts), finish, usage)
            self.exchange.answer(OK, body, headers=self._answer_headers)
            return
        self._disconnect_backpressure()
        last = event(chat.chunk(asked.answer_id, asked.name, finish=finish))
        if asked.usage:
            last += event(chat.chunk(asked.answer_id, asked.name, usage=usage))
        self.exchange.send_piece(last + DONE)
        self.exchange.end()

    def reject(self, stay_away: float) -> None:
        retry_headers = (
            ("Retry-After", str(ceil(stay_away / 1000))),
            ("retry-after-ms", str(round(stay_away))),
        )
        self._fail(SERVICE_UNAVAILABLE, "deferred", DEFERRED_MESSAGE, retry_headers)

    def abort(self, timed_out: bool) -> None:
        self._fail(GATEWAY_TIMEOUT if timed_out else BAD_GATEWAY, "broken_off", BROKEN_OFF_MESSAGE)

    def _fail(self, status: int, code: str, message: str, headers: Headers = ()) -> None:
        body = errors.error(message, "server_error", code=code)
        if self.begun:
            self._disconnect_backpressure()
            self.exchange.truncate(event(body))
        else:
            answer_header = (ANSWER_HEADER, code.replace("_", "-"))
            self.exchange.answer(status, body, headers=(*headers, answer_header, *self._answer_headers))


class ClientRouter:
    """Takes the exchanges of clients; while `stopping` it rejects new requests."""

    def __init__(self, core: ChatEngineClient, tokens: TokenService | None = None) -> None:
        """Without `tokens` the lengths of prompts are estimated."""
        self.core = core
        names = [one.name for one in core.settings.request_classes]
        self.max_answer_tokens = [one.most_answer for one in core.settings.request_classes]
        self.models = chat.models(names)  # the answer to GET /v1/models
        self.on_request: Callable[[], None] | None = None  # called with each new chat completion
        self.counting: dict[CountedRequest, None] = {}  # their prompts are being counted
        self.stopping = False
        self.vectors: VectorService | None = None
        self._request_classes = {name: number for number, name in enumerate(names)}
        self._tokens = tokens

    def __call__(self, exchange: Exchange) -> None:
        path, method = exchange.path.decode("latin-1"), exchange.method.decode("latin-1")
        allowed = self._allowed_method(path)
        if allowed is None:
            quoted = path[:MAX_QUOTED_PATH_CHARACTERS]
            message = f"there is no {quoted}; known are POST {CHAT} and GET {MODELS}"
            self._answer_error(exchange, NOT_FOUND, message)
        elif method != allowed:
            message = f"{path} takes {allowed}, not {method[:MAX_QUOTED_METHOD_CHARACTERS]}"
            self._answer_error(exchange, METHOD_NOT_ALLOWED, message, headers=(("Allow", allowed),))
        elif path == CHAT:
            self._chat(exchange)
        elif path == MODELS:
            exchange.answer(OK, self.models)
        elif self.vectors is not None:
            self.vectors(exchange, path)

    def _allowed_method(self, path: str) -> str | None:
        """None where there is no such path."""
        if self.vectors is not None and path in VECTOR_PATHS:
            return "POST"
        return ALLOWED_METHODS.get(path)

    @staticmethod
    def _answer_error(
        exchange: Exchange,
        status: int,
        message: str,
        error_type: str = "invalid_request_error",
        code: str | None = None,
        headers: Headers = (),
    ) -> None:
        exchange.answer(status, errors.error(message, error_type, code=code), headers=headers)

    def _reject(self, exchange: Exchange, reason: str, message: str) -> None:
        """Answers 503; the client may repeat its request."""
        self.core.metrics.turned_away(reason)
        self._answer_error(
            exchange, SERVICE_UNAVAILABLE, message, "server_error", "deferred", REJECTION_HEADERS
        )

    def _chat(self, exchange: Exchange) -> None:
        if self.stopping:
            exchange.set_header("connection", "close")
            return self._reject(exchange, "stopping", "the front is stopping; try another")
        if len(self.core.open_requests) + len(self.counting) >= self.core.settings.transport.open_requests:
            return self._reject(exchange, "too many open", "the front holds as many jobs as it may")
        arrived_at = clock.now()
        try:
            asked = chat.asked(
                exchange.body(), exchange.header, self._request_classes, self.max_answer_tokens
            )
        except errors.InvalidRequestError as bad:
            self.core.metrics.turned_away("bad job")
            exchange.answer(bad.status, bad.body)
            return
        if self.vectors is not None and self.vectors.admission.sheds(asked.request_class):
            reason = "the front itself is short"
            return self._reject(exchange, reason, f"{reason}; come back later")
        if self._tokens is None:
            self.submit(exchange, asked, arrived_at)
        else:
            CountedRequest(self, self._tokens, exchange, asked, arrived_at).start()

    def submit(self, exchange: Exchange, asked: Asked, arrived_at: float) -> RequestContext:
        """Hands a request to the policy."""
        if self.on_request:
            self.on_request()
        chat_client = ChatClient(exchange, asked)
        case = chat_client.context = self.core.arrived(asked, chat_client, arrived_at)
        exchange.on_disconnect = lambda: self.core.client_disconnected(case)
        return case


class CountedRequest:
    """A request whose prompt is being counted.

    No attempt has been sent; the verdict of the count decides what becomes of it.  One that goes on by an
    upper bound is corrected once its exact count comes.
    """

    def __init__(
        self, router: ClientRouter, tokens: TokenService, exchange: Exchange, asked: Asked, arrived_at: float
    ) -> None:
        self._router, self._core, self._tokens = router, router.core, tokens
        self._exchange, self._asked = exchange, asked
        self._arrived_at = arrived_at
        self._prompt: Prompt | None = None
        self._case: RequestContext | None = None  # once it is submitted

    def start(self) -> None:
        asked = self._asked
        request_class = self._core.settings.request_classes[asked.request_class]
        time_left_ms = request_class.promised_time
        if asked.time_left is not None:
            time_left_ms = min(time_left_ms, asked.time_left)
        self._router.counting[self] = None
        self._exchange.on_disconnect = self._client_disconnected
        self._prompt = self._tokens.count(
            asked.parts,
            asked.request_class,
            request_class.most_prompt,
            time_left_ms,
            asked.session,
            self._counted,
        )

    def _client_disconnected(self) -> None:
        if self._prompt is not None:
            self._tokens.cancel(self._prompt)
        self._forget()

    def _forget(self) -> None:
        self._router.counting.pop(self, None)
        if self._core.on_empty:
            self._core.on_empty()

    def _counted(self, result: Result) -> None:
        asked = self._asked
        self._core.metrics.counted(result.verdict.value, clock.now() - self._arrived_at)
        asked.prompt, asked.exact = max(1.0, result.prompt), result.exact
        if result.exact and not asked.named:
            asked.prefix, asked.prefix_tokens = result.prefix, result.prefix_tokens
        if self._case is not None:  # it went on by its bound
            if not self._case.final_answer:
                self._core.corrected(self._case)
            return
        match result.verdict:
            case Verdict.TOO_LONG:
                self._reject_length(result)
            case Verdict.DEFER:
                self._core.metrics.turned_away("counting overloaded")
                ChatClient(self._exchange, asked).reject(RETRY_AFTER_COUNTING_MS)
            case _:
                self._case = self._router.submit(self._exchange, asked, self._arrived_at)
        self._forget()

    def _reject_length(self, result: Result) -> None:
        limit = self._core.settings.request_classes[self._asked.request_class].most_prompt
        count = f"{result.least}" if result.exact else f"at least {result.least}"
        message = f"the prompt has {count} tokens; {self._asked.name} takes {limit} at most; shorten it"
        body = errors.error(message, "invalid_request_error", "messages", "context_length_exceeded")
        self._core.metrics.turned_away("prompt too long")
        self._exchange.answer(BAD_REQUEST, body)
