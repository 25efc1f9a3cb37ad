"""Rerank in the form that public engines document (`POST /v1/rerank`): a query and documents come in, each
document's index and relevance score go out, the most relevant first."""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import Any

import msgspec

from .embeddings import Usage, tokens_of
from .errors import InvalidRequestError

PATH = "/v1/rerank"
MOST_DOCUMENTS = 1000


class Document(msgspec.Struct):
    text: str


class RequestBody(msgspec.Struct):
    model: str
    query: str
    documents: list[str | Document]
    top_n: int | None = None
    return_documents: bool = False
    user: str | None = None


class ToEngine(msgspec.Struct):
    model: str
    query: str
    documents: list[str]


class Score(msgspec.Struct, omit_defaults=True):
    index: int
    relevance_score: float
    document: Document | None = None


class Reply(msgspec.Struct):
    results: list[Score]
    id: str = ""
    model: str = ""
    usage: Usage = msgspec.field(default_factory=Usage)


REQUEST_DECODER = msgspec.json.Decoder(RequestBody)
REPLY_DECODER = msgspec.json.Decoder(Reply)


@dataclass(slots=True)
class RerankRequest:
    model: str
    query: str
    inputs: list[str]
    costs: list[float]  # of each document with the query before it
    top_n: int
    return_documents: bool
    user: str


def parse_request(body: bytes) -> RerankRequest:
    """Raises BadJob with the published error form."""
    try:
        known = REQUEST_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidRequestError(f"the body is not a rerank call: {error}") from error
    if not known.query:
        raise InvalidRequestError("query must not be empty", "query")
    if not 1 <= len(known.documents) <= MOST_DOCUMENTS:
        raise InvalidRequestError(f"documents must be 1 to {MOST_DOCUMENTS}", "documents")
    if known.top_n is not None and known.top_n < 1:
        raise InvalidRequestError("top_n must be at least 1", "top_n")
    texts = [one if isinstance(one, str) else one.text for one in known.documents]
    query = tokens_of(known.query)
    costs = [query + tokens_of(text) for text in texts]
    top = min(known.top_n or len(texts), len(texts))
    return RerankRequest(
        known.model, known.query, texts, costs, top, known.return_documents, known.user or ""
    )


def to_engine(model: str, query: str, documents: list[str]) -> bytes:
    return msgspec.json.encode(ToEngine(model, query, documents))


def scores(body: bytes, wanted: int) -> tuple[dict[int, float], Usage]:
    """The scores of an engine's reply by position, in whatever order they came; an index out of range or
    given twice, and a score that is no finite number, is left out.  Raises ValueError where the reply is
    none."""
    try:
        reply = REPLY_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
    found: dict[int, float] = {}
    twice: set[int] = set()
    for one in reply.results:
        if one.index in found or not 0 <= one.index < wanted or not isfinite(one.relevance_score):
            twice.add(one.index)
        else:
            found[one.index] = one.relevance_score
    return {at: score for at, score in found.items() if at not in twice}, reply.usage


def encode_response(name: str, call: RerankRequest, found: list[Any], tokens: int) -> bytes:
    """The answer to a client: the most relevant first, at a tie as they were given."""
    order = sorted(range(len(found)), key=lambda at: (-found[at], at))[: call.top_n]
    results = [
        Score(at, found[at], Document(call.inputs[at]) if call.return_documents else None) for at in order
    ]
    return msgspec.json.encode(Reply(results, name, call.model, Usage(tokens, tokens)))
