"""Embeddings in the published form (`POST /v1/embeddings`), from clients and to engines.

`input` is a text, a list of texts, one list of token ids or a list of such lists; `encoding_format` is float
or base64 (little-endian 32-bit floats); `dimensions` is forwarded to the engine.  Engines are always asked
for base64, which takes a third of the space of decimal digits.
"""

from __future__ import annotations

import array
import base64
import sys
from dataclasses import dataclass
from math import isfinite
from typing import Any, Literal

import msgspec

from .chat import BYTES_PER_TOKEN
from .errors import InvalidRequestError

PATH = "/v1/embeddings"
MAX_INPUTS = 2048  # of one request, as in the published form
Input = str | list[str] | list[int] | list[list[int]]


class RequestBody(msgspec.Struct):
    """The body of a client's request; fields that are not listed here are not forwarded."""

    model: str
    input: Any
    encoding_format: Literal["float", "base64"] = "float"
    dimensions: int | None = None
    user: str | None = None


class ToEngine(msgspec.Struct, omit_defaults=True):
    """The body of a request to an engine."""

    model: str
    input: Any
    encoding_format: str = ""
    dimensions: int | None = None


class Vector(msgspec.Struct):
    """The embedding of the input at `index`."""

    index: int
    embedding: str | list[float]
    object: str = "embedding"


class Usage(msgspec.Struct):
    """The token counts of one request."""

    prompt_tokens: int = 0
    total_tokens: int = 0


class Reply(msgspec.Struct):
    """The response of an engine and the answer to a client."""

    data: list[Vector]
    model: str = ""
    usage: Usage = msgspec.field(default_factory=Usage)
    object: str = "list"


REQUEST_DECODER = msgspec.json.Decoder(RequestBody)
REPLY_DECODER = msgspec.json.Decoder(Reply)


@dataclass(slots=True)
class EmbeddingsRequest:
    """A client's parsed request; `costs` are the estimated lengths of its inputs in tokens."""

    model: str
    inputs: list[str] | list[list[int]]
    costs: list[float]
    encoding_format: str
    dimensions: int | None
    user: str


def parse_request(body: bytes) -> EmbeddingsRequest:
    """Parses and checks a client's request.  Raises InvalidRequestError."""
    try:
        known = REQUEST_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidRequestError(f"the body is not an embeddings call: {error}") from error
    if known.dimensions is not None and known.dimensions < 1:
        raise InvalidRequestError("dimensions must be at least 1", "dimensions")
    inputs = _inputs(known.input)
    if len(inputs) > MAX_INPUTS:
        raise InvalidRequestError(
            f"input has {len(inputs)} entries; {MAX_INPUTS} at most", "input", status=400
        )
    costs = [tokens_of(entry) for entry in inputs]
    return EmbeddingsRequest(
        known.model, inputs, costs, known.encoding_format, known.dimensions, known.user or ""
    )


def _inputs(given: Any) -> Any:
    """The inputs as a list of texts or a list of lists of token ids.  Raises InvalidRequestError."""
    if isinstance(given, str):
        given = [given]
    if not isinstance(given, list) or not given:
        raise InvalidRequestError(
            "input must be a text, a list of texts, or token ids; it must not be empty", "input"
        )
    if all(isinstance(entry, str) for entry in given):
        if not all(given):
            raise InvalidRequestError("input holds an empty text", "input")
        return given
    if all(_is_token_id(entry) for entry in given):
        return [given]
    if all(isinstance(entry, list) and entry and all(map(_is_token_id, entry)) for entry in given):
        return given
    raise InvalidRequestError("input mixes forms; give texts only, or lists of token ids only", "input")


def _is_token_id(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def tokens_of(entry: str | list[int]) -> float:
    """The length of an input in tokens: exact for token ids, estimated from the bytes for text.

    >>> tokens_of([1, 2, 3]), tokens_of("eight by")
    (3.0, 2.0)
    """
    return float(len(entry)) if isinstance(entry, list) else max(1.0, len(entry.encode()) / BYTES_PER_TOKEN)


def to_engine(model: str, inputs: list[Any], dimensions: int | None) -> bytes:
    """Encodes a request to an engine."""
    return msgspec.json.encode(ToEngine(model, inputs, "base64", dimensions))


def vectors(body: bytes, input_count: int) -> tuple[dict[int, bytes], Usage]:
    """The packed vectors of an engine's response to `input_count` inputs, by index, and its usage.

    Invalid entries are left out, so that the caller sees them as missing: an index out of range or given
    twice, a vector that is malformed or differs in length from most.  Raises ValueError if the body is no
    embeddings response.
    """
    try:
        reply = REPLY_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
    packed_by_index: dict[int, bytes] = {}
    invalid: set[int] = set()
    for entry in reply.data:
        packed = pack(entry.embedding)
        if packed is None or not 0 <= entry.index < input_count or entry.index in packed_by_index:
            invalid.add(entry.index)
            continue
        packed_by_index[entry.index] = packed
    for index in invalid:
        packed_by_index.pop(index, None)
    sizes = [len(packed) for packed in packed_by_index.values()]
    usual_size = max(set(sizes), key=sizes.count, default=0)
    return {
        position: packed for position, packed in packed_by_index.items() if len(packed) == usual_size
    }, reply.usage


def pack(vector: str | list[float]) -> bytes | None:
    """Packs a vector as little-endian 32-bit floats; None if it is no vector of finite numbers."""
    if isinstance(vector, str):
        try:
            packed = base64.b64decode(vector, validate=True)
        except ValueError:
            return None
        return packed if packed and not len(packed) % 4 and all(map(isfinite, floats(packed))) else None
    try:
        values = array.array("f", vector)
    except OverflowError:
        return None
    if not values or not all(map(isfinite, values)):
        return None
    if sys.byteorder == "big":
        values.byteswap()
    return values.tobytes()


def floats(packed: bytes) -> list[float]:
    """The numbers of a packed vector.

    >>> floats(pack([1.0, -0.5]) or b"")
    [1.0, -0.5]
    """
    values = array.array("f", packed)
    if sys.byteorder == "big":
        values.byteswap()
    return values.tolist()


def encode_response(model: str, encoding_format: str, packed: list[bytes], tokens: int) -> bytes:
    """Encodes the answer to a client, with its vectors in the order of its inputs."""
    data = [
        Vector(index, base64.b64encode(vector).decode() if encoding_format == "base64" else floats(vector))
        for index, vector in enumerate(packed)
    ]
    return msgspec.json.encode(Reply(data, model, Usage(tokens, tokens)))
