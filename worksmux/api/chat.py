"""Chat completions in the published form (`POST /v1/chat/completions`, `GET /v1/models`), from clients and to
engines.

Only the fields that routing needs are decoded; all others are forwarded to the engine unchanged.  KV cache is
handed from prefill to decode engine in `kv_transfer_params`, the field that public engines document: the
prefill engine is sent `do_remote_decode` and one token to generate, and returns a handle, which is passed to
the decode engine.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

from .errors import InvalidRequestError

Text = str | list[dict[str, Any]] | None
TIME_LEFT, SESSION, PREFIX = "x-worksmux-time-left-ms", "x-worksmux-session", "x-worksmux-prefix"
PREFIX_TOKENS, CLIENT_RETRIES, RETRY_COUNT = (
    "x-worksmux-prefix-tokens",
    "x-worksmux-repeat",
    "x-stainless-retry-count",
)
REQUEST_ID, IDEMPOTENCY_KEY = "x-request-id", "idempotency-key"
BYTES_PER_TOKEN = 4


class Message(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: Text = None


class StreamOptions(msgspec.Struct):
    """The options of a streamed answer."""

    include_usage: bool = False


class RequestBody(msgspec.Struct):
    """The fields of a client's request that the gateway reads."""

    model: str
    messages: list[Message]
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = 1
    prompt_cache_key: str | None = None


class KvParams(msgspec.Struct, omit_defaults=True):
    """The handle of a prompt's KV cache, as the prefill engine returns it."""

    remote_engine_id: str
    remote_host: str
    remote_port: int
    remote_block_ids: list[int] = []
    remote_request_id: str = ""
    do_remote_prefill: bool = True
    do_remote_decode: bool = False


class Usage(msgspec.Struct):
    """An engine's token counts for one request."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0
    prompt_tokens_details: dict[str, int] | None = None

    @property
    def cached(self) -> int:
        """The prompt tokens that the engine found in its prefix cache."""
        return (self.prompt_tokens_details or {}).get("cached_tokens", 0)


class PrefillReply(msgspec.Struct):
    """The response of a prefill engine."""

    kv_transfer_params: KvParams
    usage: Usage | None = None


class Delta(msgspec.Struct):
    """The part of an answer that one event of a stream adds."""

    content: str | None = None
    role: str | None = None


class Choice(msgspec.Struct):
    """One alternative answer in an event of a stream; clients get one alternative only."""

    index: int = 0
    delta: Delta | None = None
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """The data of one event of a stream."""

    id: str
    choices: list[Choice]
    usage: Usage | None = None


CHUNK_DECODER = msgspec.json.Decoder(Chunk)
REQUEST_DECODER = msgspec.json.Decoder(RequestBody)
FIELDS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])
PREFILL_REPLY_DECODER = msgspec.json.Decoder(PrefillReply)
ENCODER = msgspec.json.Encoder()


@dataclass(slots=True)
class ChatRequest:
    """A client's parsed request; lengths are in tokens."""

    request_class: int
    model: str
    fields: dict[str, msgspec.Raw]  # all fields as the client sent them
    stream: bool
    include_usage: bool
    max_tokens: int  # of the answer
    prompt_tokens: float
    session: int  # a hash; 0: none
    prefix: int  # a hash of the shared prompt prefix or of its name; 0: none
    prefix_tokens: float
    time_left_ms: float | None
    is_retry: bool
    idempotency_key: str
    request_id: str
    parts: list[tuple[str, str]]  # role and text of each message
    has_named_prefix: bool  # the client itself named the shared prefix
    has_own_key: bool = False  # the client gave the idempotency key
    is_prompt_exact: bool = False  # `prompt_tokens` is counted, not estimated
    answer_id: str = field(default_factory=lambda: "chatcmpl-" + secrets.token_hex(12))


def parse_number(raw: str | None, name: str) -> float | None:
    """Parses a header's number, which must be at least 0; None if the header is absent.

    Raises InvalidRequestError.
    """
    if raw is None:
        return None
    try:
        number = float(raw)
    except ValueError:
        number = -1.0
    if not 0 <= number < 1e12:
        raise InvalidRequestError(f"the header {name} must be a number from 0", name)
    return number


def _hash(text: str | None) -> int:
    """A hash of the text, above 0; 0 for no text."""
    return (xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass")) or 1) if text else 0


def text_of(content: Text) -> str:
    """Returns the text of a message's content; of a list of parts, all texts joined."""
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content)
    return content or ""


def parse_request(
    body: bytes, header: Callable[[str], str | None], request_classes: dict[str, int], max_tokens: list[int]
) -> ChatRequest:
    """Parses and checks a client's request.

    `request_classes` numbers the request classes by model name, and `max_tokens` has the longest answer of
    each.  Raises InvalidRequestError, whose message tells the client what to change.
    """
    try:
        known, fields = REQUEST_DECODER.decode(body), FIELDS_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidRequestError(f"the body is no chat completion: {error}") from error
    if known.model not in request_classes:
        raise InvalidRequestError(
            f"the model {known.model[:100]!r} does not exist; GET /v1/models lists those that do",
            "model",
            "model_not_found",
            404,
        )
    if not known.messages:
        raise InvalidRequestError("messages must hold at least one message", "messages")
    if known.n not in (None, 1):
        raise InvalidRequestError("n must be 1: one job has one answer", "n")
    request_class = request_classes[known.model]
    client_max = known.max_completion_tokens if known.max_completion_tokens is not None else known.max_tokens
    if client_max is not None and client_max < 1:
        raise InvalidRequestError("max_tokens must be at least 1", "max_tokens")
    parts = [(message.role, text_of(message.content)) for message in known.messages]
    lengths = [len(text.encode("utf-8", "surrogatepass")) for _, text in parts]
    first = known.messages[0]
    prefix_name = header(PREFIX) or known.prompt_cache_key
    prefix = prefix_name or (parts[0][1] if first.role in ("system", "developer") and lengths[0] else None)
    prefix_tokens = parse_number(header(PREFIX_TOKENS), PREFIX_TOKENS)
    retries = parse_number(header(CLIENT_RETRIES) or header(RETRY_COUNT), CLIENT_RETRIES)
    return ChatRequest(
        request_class,
        known.model,
        fields,
        bool(known.stream),
        bool(known.stream_options and known.stream_options.include_usage),
        min(client_max or max_tokens[request_class], max_tokens[request_class]),
        max(1.0, sum(lengths) / BYTES_PER_TOKEN),
        _hash(header(SESSION)),
        _hash(prefix),
        prefix_tokens if prefix_tokens is not None else lengths[0] / BYTES_PER_TOKEN * bool(prefix),
        parse_number(header(TIME_LEFT), TIME_LEFT),
        bool(retries),
        header(IDEMPOTENCY_KEY) or "",
        header(REQUEST_ID) or "",
        parts,
        bool(prefix_name),
    )


def _raw(value: Any) -> msgspec.Raw:
    return msgspec.Raw(ENCODER.encode(value))


TRUE, FALSE, ONE, USAGE = _raw(True), _raw(False), _raw(1), _raw({"include_usage": True})
PREFILL_PARAMS = _raw(
    {
        "do_remote_decode": True,
        "do_remote_prefill": False,
        "remote_engine_id": None,
        "remote_block_ids": None,
        "remote_host": None,
        "remote_port": None,
    }
)


def prefill_body(request: ChatRequest) -> bytes:
    """The body for a prefill engine: it generates one token without streaming and holds the KV cache for
    another engine."""
    fields = {**request.fields, "stream": FALSE, "max_tokens": ONE, "kv_transfer_params": PREFILL_PARAMS}
    fields.pop("max_completion_tokens", None)
    fields.pop("stream_options", None)
    return ENCODER.encode(fields)


def decode_body(request: ChatRequest, kv_handle: KvParams | None) -> bytes:
    """The body for the engine that generates the answer, always as a stream with usage.

    `kv_handle` is None for a combined engine, which does the prefill itself.
    """
    fields = {
        **request.fields,
        "stream": TRUE,
        "stream_options": USAGE,
        "max_tokens": _raw(request.max_tokens),
    }
    fields.pop("max_completion_tokens", None)
    if kv_handle is not None:
        fields["kv_transfer_params"] = _raw(kv_handle)
    return ENCODER.encode(fields)


def encode_response(request: ChatRequest, text: str, finish: str, usage: Usage) -> bytes:
    """Encodes the answer to a client that did not request a stream."""
    return ENCODER.encode(
        {
            "id": request.answer_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": request.model,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text, "refusal": None},
                    "logprobs": None,
                    "finish_reason": finish,
                }
            ],
            "usage": usage,
        }
    )


def chunk(
    answer_id: str,
    model: str,
    content: str | None = None,
    finish: str | None = None,
    usage: Usage | None = None,
    first: bool = False,
) -> bytes:
    """Encodes the data of one event of a streamed answer.

    The first event has the role, and an event with `usage` is the last and has no choices.
    """
    delta = {"role": "assistant"} if first else {}
    if content is not None:
        delta["content"] = content
    choices = [] if usage is not None else [{"index": 0, "delta": delta, "finish_reason": finish}]
    return ENCODER.encode(
        {
            "id": answer_id,
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": model,
            "choices": choices,
            "usage": usage,
        }
    )


def models(names: list[str]) -> bytes:
    """Encodes the answer of `GET /v1/models`."""
    return ENCODER.encode(
        {
            "object": "list",
            "data": [{"id": name, "object": "model", "created": 0, "owned_by": "worksmux"} for name in names],
        }
    )
