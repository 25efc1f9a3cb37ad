"""Routes the exchanges of clients, and answers chat completions whole or as a stream of events.

A rejected request is answered with 503 and `Retry-After`.  An aborted request is answered with 502, or with
504 if its deadline passed.  The header `x-worksmux-answer` and the error's code tell the two apart.  A stream
that is aborted ends with an error event and without its final chunk.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil

import structlog

from ..api import chat, errors
from ..api.chat import ChatRequest, Usage
from ..api.engine import CHAT
from ..api.events import DONE, event
from ..forwarding.request_context import RequestContext
from ..forwarding.stream_relay import StreamRelay
from ..net import clock
from ..net.server import Exchange
from ..tokenization.scheduler import Verdict
from ..tokenization.service import Prompt, Result, TokenService
from .answers import ANSWER_HEADER, SERVICE_UNAVAILABLE, Headers
from .chat_engine_client import ChatEngineClient
from .vector_requests import PATHS as VECTOR_PATHS
from .vectors import VectorService

LOG = structlog.get_logger()
MODELS = "/v1/models"
ALLOWED_METHODS = {CHAT: "POST", MODELS: "GET"}
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
CONFLICT = 409
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
MAX_QUOTED_PATH_CHARACTERS = 100
MAX_QUOTED_METHOD_CHARACTERS = 20
RETRY_AFTER_COUNTING_MS = 1000.0
REJECTION_HEADERS = (("Retry-After", "1"), (ANSWER_HEADER, "deferred"))
REJECTED_MESSAGE = "the job was deferred: it has had no effect, and trying again is harmless"
REPEATED_MESSAGE = (
    "a job with this idempotency-key is open or may have run, and its effect must not happen twice"
)
ABORTED_MESSAGE = "the job was broken off: it may have run, and trying again is not known to be harmless"


class ChatClient(StreamRelay):
    """The client of one chat completion; implements `request_context.Client`."""

    def __init__(self, exchange: Exchange, chat_request: ChatRequest) -> None:
        super().__init__(exchange)
        self._chat_request = chat_request
        self._content_parts: list[str] = []  # of an answer that is not streamed

    @property
    def _answer_headers(self) -> Headers:
        return ((chat.REQUEST_ID, self._chat_request.request_id),) if self._chat_request.request_id else ()

    def send_content(self, content: str) -> None:
        """Sends one piece of a streamed answer, or keeps it for an answer that is sent whole."""
        chat_request = self._chat_request
        if not chat_request.stream:
            self._content_parts.append(content)
            return
        is_first = self._begin(self._answer_headers)
        self.exchange.send_chunk(
            event(chat.chunk(chat_request.answer_id, chat_request.model, content, first=is_first))
        )

    def complete(self, finish: str, usage: Usage) -> None:
        """Ends the answer with its finish reason and token usage."""
        chat_request = self._chat_request
        if not chat_request.stream:
            body = chat.encode_response(chat_request, "".join(self._content_parts), finish, usage)
            self.exchange.answer(OK, body, headers=self._answer_headers)
            return
        self._disconnect_backpressure()
        final_events = event(chat.chunk(chat_request.answer_id, chat_request.model, finish=finish))
        if chat_request.include_usage:
            final_events += event(chat.chunk(chat_request.answer_id, chat_request.model, usage=usage))
        self.exchange.send_chunk(final_events + DONE)
        self.exchange.end()

    def reject(self, retry_after_ms: float) -> None:
        """Answers 503: the request was not executed."""
        retry_headers = (
            ("Retry-After", str(ceil(retry_after_ms / 1000))),
            ("retry-after-ms", str(round(retry_after_ms))),
        )
        self._fail(SERVICE_UNAVAILABLE, "deferred", REJECTED_MESSAGE, retry_headers)

    def abort(self, timed_out: bool) -> None:
        """Answers 502, or 504 after the deadline: the request was possibly executed."""
        self._fail(GATEWAY_TIMEOUT if timed_out else BAD_GATEWAY, "broken_off", ABORTED_MESSAGE)

    def _fail(self, status: int, code: str, message: str, headers: Headers = ()) -> None:
        body = errors.error(message, "server_error", code=code)
        if self.begun:
            self._disconnect_backpressure()
            self.exchange.truncate(event(body))
        else:
            answer_header = (ANSWER_HEADER, code.replace("_", "-"))
            self.exchange.answer(status, body, headers=(*headers, answer_header, *self._answer_headers))


class ClientRouter:
    """Routes the exchanges of clients by path and method; while `stopping` it rejects new requests."""

    def __init__(self, core: ChatEngineClient, tokens: TokenService | None = None) -> None:
        """Prompt lengths are counted by `tokens`; if it is None, they are estimated."""
        self.core = core
        names = [request_class.name for request_class in core.settings.request_classes]
        self.max_answer_tokens = [
            request_class.most_answer for request_class in core.settings.request_classes
        ]
        self.models = chat.models(names)  # body of the answer to GET /v1/models
        self.on_request: Callable[[], None] | None = None  # called for each new chat completion
        self.counting: dict[CountedRequest, None] = {}  # requests whose prompts are being counted
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
            exchange.when_read_ahead(lambda: self._accept_chat(exchange))
        elif path == MODELS:
            exchange.answer(OK, self.models)
        elif self.vectors is not None:
            vectors = self.vectors
            exchange.when_read_ahead(lambda: vectors(exchange, path))

    def _allowed_method(self, path: str) -> str | None:
        """The HTTP method that a path accepts; None for an unknown path."""
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
        """Answers 503: the request was not executed and can be retried.  `reason` labels the metric."""
        self.core.metrics.not_accepted(reason)
        self._answer_error(
            exchange, SERVICE_UNAVAILABLE, message, "server_error", "deferred", REJECTION_HEADERS
        )

    def _accept_chat(self, exchange: Exchange) -> None:
        if self.stopping:
            exchange.set_header("connection", "close")
            return self._reject(exchange, "stopping", "the front is stopping; try another")
        if len(self.core.open_requests) + len(self.counting) >= self.core.settings.transport.open_requests:
            return self._reject(exchange, "too many open", "the front holds as many jobs as it may")
        arrived_at = clock.now()
        try:
            chat_request = chat.parse_request(
                exchange.body(), exchange.header, self._request_classes, self.max_answer_tokens
            )
        except errors.InvalidRequestError as error:
            self.core.metrics.not_accepted("bad job")
            exchange.answer(error.status, error.body)
            return
        if chat_request.idempotency_key and self.core.has_executed(chat_request):
            self.core.metrics.not_accepted("repeated key")
            LOG.info("request refused on arrival", reason="repeated key", request=chat_request.request_id)
            return self._answer_error(exchange, CONFLICT, REPEATED_MESSAGE, code="repeated_key")
        if self.vectors is not None and self.vectors.admission.sheds(chat_request.request_class):
            reason = "the front itself is short"
            return self._reject(exchange, reason, f"{reason}; come back later")
        if self._tokens is None:
            self.submit(exchange, chat_request, arrived_at)
        else:
            CountedRequest(self, self._tokens, exchange, chat_request, arrived_at).start()

    def submit(self, exchange: Exchange, chat_request: ChatRequest, arrived_at: float) -> RequestContext:
        """Hands a request to the policy and watches for its client's disconnect."""
        if self.on_request:
            self.on_request()
        chat_client = ChatClient(exchange, chat_request)
        context = chat_client.context = self.core.accept_request(chat_request, chat_client, arrived_at)
        exchange.on_disconnect = lambda: self.core.client_disconnected(context)
        return context


class CountedRequest:
    """A request whose prompt is being counted, before its first attempt.

    The verdict of the count decides whether the request is submitted or rejected.  A request that was
    submitted with an upper bound on its prompt length is corrected when the exact count arrives.
    """

    def __init__(
        self,
        router: ClientRouter,
        tokens: TokenService,
        exchange: Exchange,
        chat_request: ChatRequest,
        arrived_at: float,
    ) -> None:
        self._router, self._core, self._tokens = router, router.core, tokens
        self._exchange, self._chat_request = exchange, chat_request
        self._arrived_at = arrived_at
        self._prompt: Prompt | None = None
        self._context: RequestContext | None = None  # set when the request is submitted

    def start(self) -> None:
        """Starts the count, limited by the latency target and the client's time left."""
        chat_request = self._chat_request
        request_class = self._core.settings.request_classes[chat_request.request_class]
        time_left_ms = request_class.promised_time
        if chat_request.time_left_ms is not None:
            time_left_ms = min(time_left_ms, chat_request.time_left_ms)
        self._router.counting[self] = None
        self._exchange.on_disconnect = self._client_disconnected
        self._prompt = self._tokens.count(
            chat_request.parts,
            chat_request.request_class,
            request_class.most_prompt,
            time_left_ms,
            chat_request.session,
            self._on_count,
        )

    def _client_disconnected(self) -> None:
        if self._prompt is not None:
            self._tokens.cancel(self._prompt)
        self._stop_counting()

    def _stop_counting(self) -> None:
        self._router.counting.pop(self, None)
        if self._core.on_empty:
            self._core.on_empty()

    def _on_count(self, result: Result) -> None:
        chat_request = self._chat_request
        self._core.metrics.counted(result.verdict.value, clock.now() - self._arrived_at)
        chat_request.prompt_tokens, chat_request.is_prompt_exact = max(1.0, result.prompt), result.exact
        if result.exact and not chat_request.has_named_prefix:
            chat_request.prefix, chat_request.prefix_tokens = result.prefix, result.prefix_tokens
        if self._context is not None:  # it was submitted with an upper bound
            if not self._context.final_answer:
                self._core.correct_prompt(self._context)
            return
        match result.verdict:
            case Verdict.TOO_LONG:
                self._reject_length(result)
            case Verdict.REJECT:
                self._core.metrics.not_accepted("counting overloaded")
                ChatClient(self._exchange, chat_request).reject(RETRY_AFTER_COUNTING_MS)
            case _:
                self._context = self._router.submit(self._exchange, chat_request, self._arrived_at)
        self._stop_counting()

    def _reject_length(self, result: Result) -> None:
        max_prompt_tokens = self._core.settings.request_classes[self._chat_request.request_class].most_prompt
        count = f"{result.min_tokens}" if result.exact else f"at least {result.min_tokens}"
        message = (
            f"the prompt has {count} tokens; "
            f"{self._chat_request.model} takes {max_prompt_tokens} at most; shorten it"
        )
        body = errors.error(message, "invalid_request_error", "messages", "context_length_exceeded")
        self._core.metrics.not_accepted("prompt too long")
        self._exchange.answer(BAD_REQUEST, body)
