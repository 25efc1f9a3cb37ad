"""Chat completions in the published form (`POST /v1/chat/completions`, `GET /v1/models`), from client and to
engine.

Only what routing needs is read: the other fields of a job go on to the engine as they came.  Between reader
and writer the field `kv_transfer_params` of disaggregated serving is used, in the form that public engines
document: a reader gets `do_remote_decode` and one token to make, and returns a handle, which the writer is
given.
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
    role: str
    content: Text = None


class StreamOptions(msgspec.Struct):
    include_usage: bool = False


class RequestBody(msgspec.Struct):
    """The fields of a job that the front reads."""

    model: str
    messages: list[Message]
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = 1
    prompt_cache_key: str | None = None


class KvParams(msgspec.Struct, omit_defaults=True):
    """The handle of a read state, as a reader returns it."""

    remote_engine_id: str
    remote_host: str
    remote_port: int
    remote_block_ids: list[int] = []
    remote_request_id: str = ""
    do_remote_prefill: bool = True
    do_remote_decode: bool = False


class Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0
    prompt_tokens_details: dict[str, int] | None = None

    @property
    def cached(self) -> int:
        return (self.prompt_tokens_details or {}).get("cached_tokens", 0)


class PrefillReply(msgspec.Struct):
    """A reader's answer."""

    kv_transfer_params: KvParams
    usage: Usage | None = None


class Delta(msgspec.Struct):
    content: str | None = None
    role: str | None = None


class Choice(msgspec.Struct):
    index: int = 0
    delta: Delta | None = None
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """One event of a stream."""

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
    """A client's job as the front takes it; times in milliseconds, lengths in tokens."""

    request_class: int
    model: str
    fields: dict[str, msgspec.Raw]
    stream: bool
    include_usage: bool
    max_tokens: int
    prompt_tokens: float
    session: int
    prefix: int
    prefix_tokens: float
    time_left_ms: float | None
    is_retry: bool
    idempotency_key: str
    request_id: str
    parts: list[tuple[str, str]]  # role and text of each message
    has_named_prefix: bool  # the client told its shared beginning itself
    is_prompt_exact: bool = False  # the prompt's length is counted, not guessed
    answer_id: str = field(default_factory=lambda: "chatcmpl-" + secrets.token_hex(12))


def parse_number(raw: str | None, name: str) -> float | None:
    """A header's number from 0; None where it is absent.  Raises BadJob."""
    if raw is None:
        return None
    try:
        found = float(raw)
    except ValueError:
        found = -1.0
    if not 0 <= found < 1e12:
        raise InvalidRequestError(f"the header {name} must be a number from 0", name)
    return found


def _identity(text: str | None) -> int:
    """A number for a text, above 0; 0 for none."""
    return (xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass")) or 1) if text else 0


def text_of(content: Text) -> str:
    """A message's text; of a list of parts, those that are text."""
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content)
    return content or ""


def parse_request(
    body: bytes, header: Callable[[str], str | None], request_classes: dict[str, int], most: list[int]
) -> ChatRequest:
    """Reads a client's job; `most` gives each offering's longest answer.  Raises BadJob with the remedy."""
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
    at = request_classes[known.model]
    longest = known.max_completion_tokens if known.max_completion_tokens is not None else known.max_tokens
    if longest is not None and longest < 1:
        raise InvalidRequestError("max_tokens must be at least 1", "max_tokens")
    parts = [(message.role, text_of(message.content)) for message in known.messages]
    lengths = [len(text.encode("utf-8", "surrogatepass")) for _, text in parts]
    first = known.messages[0]
    named = header(PREFIX) or known.prompt_cache_key
    shared = named or (parts[0][1] if first.role in ("system", "developer") and lengths[0] else None)
    prefix_tokens = parse_number(header(PREFIX_TOKENS), PREFIX_TOKENS)
    repeats = parse_number(header(CLIENT_RETRIES) or header(RETRY_COUNT), CLIENT_RETRIES)
    return ChatRequest(
        at,
        known.model,
        fields,
        bool(known.stream),
        bool(known.stream_options and known.stream_options.include_usage),
        min(longest or most[at], most[at]),
        max(1.0, sum(lengths) / BYTES_PER_TOKEN),
        _identity(header(SESSION)),
        _identity(shared),
        prefix_tokens if prefix_tokens is not None else lengths[0] / BYTES_PER_TOKEN * bool(shared),
        parse_number(header(TIME_LEFT), TIME_LEFT),
        bool(repeats),
        header(IDEMPOTENCY_KEY) or "",
        header(REQUEST_ID) or "",
        parts,
        bool(named),
    )


def _raw(value: Any) -> msgspec.Raw:
    return msgspec.Raw(ENCODER.encode(value))


TRUE, FALSE, ONE, USAGE = _raw(True), _raw(False), _raw(1), _raw({"include_usage": True})
TO_READ = _raw(
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
    """The body for a reader: one token, whole, and the state kept for another engine."""
    fields = {**request.fields, "stream": FALSE, "max_tokens": ONE, "kv_transfer_params": TO_READ}
    fields.pop("max_completion_tokens", None)
    fields.pop("stream_options", None)
    return ENCODER.encode(fields)


def decode_body(request: ChatRequest, state: KvParams | None) -> bytes:
    """The body for what answers, always as a stream with usage; `state` is left out where it reads by
    itself."""
    fields = {
        **request.fields,
        "stream": TRUE,
        "stream_options": USAGE,
        "max_tokens": _raw(request.max_tokens),
    }
    fields.pop("max_completion_tokens", None)
    if state is not None:
        fields["kv_transfer_params"] = _raw(state)
    return ENCODER.encode(fields)


def encode_response(request: ChatRequest, text: str, finish: str, usage: Usage) -> bytes:
    """The answer of a job that asked for no stream."""
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
    """One event's data of a streamed answer; the first names the role, one with `usage` is the last."""
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
    return ENCODER.encode(
        {
            "object": "list",
            "data": [{"id": name, "object": "model", "created": 0, "owned_by": "worksmux"} for name in names],
        }
    )
