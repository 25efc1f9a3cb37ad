"""Embeddings in the published form (`POST /v1/embeddings`), from client and to engine.

`input` is a text, a list of texts, one list of token ids or a list of such lists; `encoding_format` is float
or base64 (little-endian 32-bit floats); `dimensions` goes on to the engine.  Between front and engine
vectors always travel as base64, a third of the size of their digits.
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
MOST_INPUTS = 2048  # of one call, as the published form has it
Input = str | list[str] | list[int] | list[list[int]]


class RequestBody(msgspec.Struct):
    """What a client sends; fields not named here are left out."""

    model: str
    input: Any
    encoding_format: Literal["float", "base64"] = "float"
    dimensions: int | None = None
    user: str | None = None


class ToEngine(msgspec.Struct, omit_defaults=True):
    model: str
    input: Any
    encoding_format: str = ""
    dimensions: int | None = None


class Vector(msgspec.Struct):
    index: int
    embedding: str | list[float]
    object: str = "embedding"


class Usage(msgspec.Struct):
    prompt_tokens: int = 0
    total_tokens: int = 0


class Reply(msgspec.Struct):
    data: list[Vector]
    model: str = ""
    usage: Usage = msgspec.field(default_factory=Usage)
    object: str = "list"


REQUEST_DECODER = msgspec.json.Decoder(RequestBody)
REPLY_DECODER = msgspec.json.Decoder(Reply)


@dataclass(slots=True)
class EmbeddingsRequest:
    """A client's call: its inputs, and their lengths in tokens as far as the front knows them."""

    model: str
    inputs: list[str] | list[list[int]]
    costs: list[float]
    encoding_format: str
    dimensions: int | None
    user: str


def parse_request(body: bytes) -> EmbeddingsRequest:
    """Raises BadJob with the published error form."""
    try:
        known = REQUEST_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidRequestError(f"the body is not an embeddings call: {error}") from error
    if known.dimensions is not None and known.dimensions < 1:
        raise InvalidRequestError("dimensions must be at least 1", "dimensions")
    inputs = _inputs(known.input)
    if len(inputs) > MOST_INPUTS:
        raise InvalidRequestError(
            f"input has {len(inputs)} entries; {MOST_INPUTS} at most", "input", status=400
        )
    costs = [tokens_of(one) for one in inputs]
    return EmbeddingsRequest(
        known.model, inputs, costs, known.encoding_format, known.dimensions, known.user or ""
    )


def _inputs(given: Any) -> Any:
    if isinstance(given, str):
        given = [given]
    if not isinstance(given, list) or not given:
        raise InvalidRequestError(
            "input must be a text, a list of texts, or token ids; it must not be empty", "input"
        )
    if all(isinstance(one, str) for one in given):
        if not all(given):
            raise InvalidRequestError("input holds an empty text", "input")
        return given
    if all(_id(one) for one in given):
        return [given]
    if all(isinstance(one, list) and one and all(map(_id, one)) for one in given):
        return given
    raise InvalidRequestError("input mixes forms; give texts only, or lists of token ids only", "input")


def _id(one: object) -> bool:
    return isinstance(one, int) and not isinstance(one, bool) and one >= 0


def tokens_of(one: str | list[int]) -> float:
    """Exact for ids; by bytes for text.

    >>> tokens_of([1, 2, 3]), tokens_of("eight by")
    (3.0, 2.0)
    """
    return float(len(one)) if isinstance(one, list) else max(1.0, len(one.encode()) / BYTES_PER_TOKEN)


def to_engine(model: str, inputs: list[Any], dimensions: int | None) -> bytes:
    return msgspec.json.encode(ToEngine(model, inputs, "base64", dimensions))


def vectors(body: bytes, wanted: int) -> tuple[dict[int, bytes], Usage]:
    """The vectors of an engine's reply by position, packed, and its usage.

    What makes no sense (an index out of range or given twice, a vector that is not one, one of another length
    than most) is left out: who asked sees what is missing.  Raises ValueError where the reply is none.
    """
    try:
        reply = REPLY_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
    found: dict[int, bytes] = {}
    twice: set[int] = set()
    for one in reply.data:
        packed = pack(one.embedding)
        if packed is None or not 0 <= one.index < wanted or one.index in found:
            twice.add(one.index)
            continue
        found[one.index] = packed
    for index in twice:
        found.pop(index, None)
    sizes = [len(packed) for packed in found.values()]
    usual = max(set(sizes), key=sizes.count, default=0)
    return {at: packed for at, packed in found.items() if len(packed) == usual}, reply.usage


def pack(vector: str | list[float]) -> bytes | None:
    """Little-endian 32-bit floats; None for what is no vector of finite numbers."""
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
    """
    >>> floats(pack([1.0, -0.5]) or b"")
    [1.0, -0.5]
    """
    values = array.array("f", packed)
    if sys.byteorder == "big":
        values.byteswap()
    return values.tolist()


def encode_response(model: str, form: str, packed: list[bytes], tokens: int) -> bytes:
    """The answer to a client, its vectors in the order of its inputs."""
    data = [
        Vector(at, base64.b64encode(one).decode() if form == "base64" else floats(one))
        for at, one in enumerate(packed)
    ]
    return msgspec.json.encode(Reply(data, model, Usage(tokens, tokens)))
