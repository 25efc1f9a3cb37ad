"""Reranking in the form that public engines document (`POST /v1/rerank`): from a query and documents to the
index and relevance score of each document, the most relevant first."""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import Any

import msgspec

from .embeddings import Usage, tokens_of
from .errors import InvalidRequestError

PATH = "/v1/rerank"
MAX_DOCUMENTS = 1000


class Document(msgspec.Struct):
    """A document to rank."""

    text: str


class RequestBody(msgspec.Struct):
    """The body of a client's request; fields that are not listed here are not forwarded."""

    model: str
    query: str
    documents: list[str | Document]
    top_n: int | None = None
    return_documents: bool = False
    user: str | None = None


class ToEngine(msgspec.Struct):
    """The body of a request to an engine."""

    model: str
    query: str
    documents: list[str]


class Score(msgspec.Struct, omit_defaults=True):
    """The relevance of the document at `index`."""

    index: int
    relevance_score: float
    document: Document | None = None


class Reply(msgspec.Struct):
    """The response of an engine and the answer to a client."""

    results: list[Score]
    id: str = ""
    model: str = ""
    usage: Usage = msgspec.field(default_factory=Usage)


REQUEST_DECODER = msgspec.json.Decoder(RequestBody)
REPLY_DECODER = msgspec.json.Decoder(Reply)


@dataclass(slots=True)
class RerankRequest:
    """A client's parsed request."""

    model: str
    query: str
    inputs: list[str]
    costs: list[float]  # estimated tokens of each document with the query
    top_n: int
    return_documents: bool
    user: str


def parse_request(body: bytes) -> RerankRequest:
    """Parses and checks a client's request.  Raises InvalidRequestError."""
    try:
        known = REQUEST_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidRequestError(f"the body is not a rerank call: {error}") from error
    if not known.query:
        raise InvalidRequestError("query must not be empty", "query")
    if not 1 <= len(known.documents) <= MAX_DOCUMENTS:
        raise InvalidRequestError(f"documents must be 1 to {MAX_DOCUMENTS}", "documents")
    if known.top_n is not None and known.top_n < 1:
        raise InvalidRequestError("top_n must be at least 1", "top_n")
    texts = [document if isinstance(document, str) else document.text for document in known.documents]
    query_tokens = tokens_of(known.query)
    costs = [query_tokens + tokens_of(text) for text in texts]
    top_n = min(known.top_n or len(texts), len(texts))
    return RerankRequest(
        known.model, known.query, texts, costs, top_n, known.return_documents, known.user or ""
    )


def to_engine(model: str, query: str, documents: list[str]) -> bytes:
    """Encodes a request to an engine."""
    return msgspec.json.encode(ToEngine(model, query, documents))


def scores(body: bytes, document_count: int) -> tuple[dict[int, float], Usage]:
    """The scores of an engine's response to `document_count` documents, by index, and its usage.

    Invalid entries are left out: an index out of range or given twice, and a score that is not finite.
    Raises ValueError if the body is no rerank response.
    """
    try:
        reply = REPLY_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
    score_by_index: dict[int, float] = {}
    invalid: set[int] = set()
    for entry in reply.results:
        if (
            entry.index in score_by_index
            or not 0 <= entry.index < document_count
            or not isfinite(entry.relevance_score)
        ):
            invalid.add(entry.index)
        else:
            score_by_index[entry.index] = entry.relevance_score
    return {index: score for index, score in score_by_index.items() if index not in invalid}, reply.usage


def encode_response(answer_id: str, request: RerankRequest, scores: list[Any], tokens: int) -> bytes:
    """Encodes the answer to a client: the most relevant document first, ties in the client's order.

    `scores` are in the order of the documents.
    """
    order = sorted(range(len(scores)), key=lambda index: (-scores[index], index))[: request.top_n]
    results = [
        Score(index, scores[index], Document(request.inputs[index]) if request.return_documents else None)
        for index in order
    ]
    return msgspec.json.encode(Reply(results, answer_id, request.model, Usage(tokens, tokens)))
