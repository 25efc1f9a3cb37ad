"""Parsing of client requests."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from ..endpoints.keys import key_of
from . import protocol
from .errors import InvalidRequestError

MAX_ID_CHARACTERS = 128
MAX_TIME_LEFT_MS = 3_600_000
MAX_TOKENS = 10_000_000  # of each length that a client gives
MAX_DIGITS = 20  # of a number; longer ones are not converted
MAX_HEX_KEY_DIGITS = 16  # 64 bits
# Hop-by-hop headers (RFC 9110, 7.6.1) and headers that are written for each attempt.
NOT_FORWARDED = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "host",
        "accept-encoding",
        protocol.REQUEST_ID.lower(),
        protocol.TIME_LEFT.lower(),
    }
)
TOKEN_CHARACTERS = frozenset("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz")  # RFC 9110, 5.6.2

HeaderValues = Callable[[str], list[str]]  # returns all values of a header


@dataclass(slots=True)
class ClientRequest:
    """A parsed client request; lengths are in tokens."""

    key: str  # the request id that the client chose
    request_class: int
    session: int  # hash of the session key; 0: none
    prefix: int  # hash of the shared prefix's key; 0: none
    prompt_tokens: float
    prefix_tokens: float
    max_answer_tokens: float
    time_left_ms: float
    retried: bool
    resumed: bool
    path: str  # with the query string
    body: bytes
    headers: list[tuple[str, str]] = field(
        default_factory=list
    )  # the client's end-to-end headers, sent with each attempt


class _Body(msgspec.Struct):
    """The body fields that the node checks; the engine interprets the others."""

    messages: list[msgspec.Raw]
    stream: bool = False


BODY_DECODER = msgspec.json.Decoder(_Body)


def parse_client_request(
    header: HeaderValues, path: str, body: bytes, request_classes: dict[str, int]
) -> ClientRequest:
    """Parses a request; `request_classes` maps names to indexes. Raises InvalidRequestError."""
    if header("Transfer-Encoding") and header("Content-Length"):
        raise InvalidRequestError(400, "Content-Length and Transfer-Encoding exclude each other")
    key = _parse_id(header)
    request_class = _parse_request_class(header, request_classes)
    time_left_ms = parse_whole_number(_required(header, protocol.TIME_LEFT), MAX_TIME_LEFT_MS)
    if not time_left_ms:
        raise InvalidRequestError(400, f"{protocol.TIME_LEFT}: whole milliseconds above 0 were expected")
    attributes = protocol.parse_attributes(_optional(header, protocol.ATTRIBUTES))
    prompt_tokens, prefix_tokens, max_answer_tokens = _parse_lengths(attributes)
    _check_body(body)
    retried = _optional(header, protocol.RETRIED)
    return ClientRequest(
        key=key,
        request_class=request_class,
        session=hash_key(_optional(header, protocol.SESSION)),
        prefix=hash_key(attributes.get("prefix", "")),
        prompt_tokens=float(max(1, prompt_tokens)),
        prefix_tokens=float(prefix_tokens),
        max_answer_tokens=float(max_answer_tokens),
        time_left_ms=float(time_left_ms),
        retried=retried == "1",
        resumed=retried == "again",
        path=path,
        body=body,
    )


def _optional(header: HeaderValues, name: str) -> str:
    values = header(name)
    if len(values) > 1:
        raise InvalidRequestError(400, f"{name} is given {len(values)} times; once was expected")
    return values[0] if values else ""


def _required(header: HeaderValues, name: str) -> str:
    value = _optional(header, name)
    if not value:
        raise InvalidRequestError(400, f"{name} is missing")
    return value


def _parse_id(header: HeaderValues) -> str:
    key = _required(header, protocol.REQUEST_ID)
    is_plain = all(33 <= ord(character) < 127 and character not in "/?#%" for character in key)
    if len(key) > MAX_ID_CHARACTERS or not is_plain:
        raise InvalidRequestError(
            400, f"{protocol.REQUEST_ID}: up to {MAX_ID_CHARACTERS} plain characters were expected"
        )
    return key


def _parse_request_class(header: HeaderValues, request_classes: dict[str, int]) -> int:
    name = _required(header, protocol.REQUEST_CLASS)
    if name not in request_classes:
        known = ", ".join(request_classes)
        raise InvalidRequestError(400, f"{protocol.REQUEST_CLASS}: one of {known} was expected")
    return request_classes[name]


def _parse_lengths(attributes: dict[str, str]) -> tuple[int, int, int]:
    """Returns the tokens of prompt, shared prefix and longest answer; 0 for each that is not given."""
    prompt, prefix, max_answer = (
        parse_whole_number(attributes.get(name, "0"), MAX_TOKENS)
        for name in ("prompt_len", "prefix_len", "max_out")
    )
    if prompt is None or prefix is None or max_answer is None:
        raise InvalidRequestError(400, f"{protocol.ATTRIBUTES}: lengths in whole tokens were expected")
    return prompt, prefix, max_answer


def _check_body(body: bytes) -> None:
    try:
        messages = BODY_DECODER.decode(body).messages
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidRequestError(400, f"the body is no chat completion: {error}") from None
    if not messages:
        raise InvalidRequestError(400, "messages: at least one was expected")


def hash_key(text: str) -> int:
    """Returns a hash of a key that is equal at all nodes; 0 for an empty key.

    >>> hash_key("00000000000000ff"), hash_key(""), hash_key("a course") == hash_key("a course")
    (255, 0, True)
    """
    if not text:
        return 0
    try:
        if len(text) <= MAX_HEX_KEY_DIGITS:
            return int(text, 16) % 2**64
    except ValueError:
        pass
    return key_of(text.encode())


def parse_whole_number(text: str | None, maximum: int) -> int | None:
    """Parses ASCII digits up to `maximum`; returns None for anything else, including signs and spaces.

    >>> parse_whole_number("4800", 9999), parse_whole_number("-1", 9), parse_whole_number("1e3", 9999)
    (4800, None, None)
    >>> parse_whole_number("99", 9)
    """
    if text is None or not (text.isascii() and text.isdigit()) or len(text) > MAX_DIGITS:
        return None
    number = int(text)
    return number if number <= maximum else None


def end_to_end_headers(headers: Iterable[tuple[str, list[str]]]) -> list[tuple[str, str]]:
    """Returns a client's end-to-end headers, which every attempt carries unchanged.

    The node does not interpret them; an idempotency key, for example, is for the engine.

    >>> end_to_end_headers([("Idempotency-Key", ["9e"]), ("Connection", ["close, X-Hop"]), ("X-Hop", ["1"])])
    [('Idempotency-Key', '9e')]
    """
    fields = [(name, value) for name, values in headers for value in values]
    hop_by_hop = {
        option.strip().lower()
        for name, value in fields
        if name.lower() == "connection"
        for option in value.split(",")
    }
    dropped = NOT_FORWARDED | hop_by_hop
    return [
        (name, value)
        for name, value in fields
        if name.lower() not in dropped
        and TOKEN_CHARACTERS.issuperset(name.lower())
        and not _has_control_characters(value)
    ]


def _has_control_characters(value: str) -> bool:
    return any(character < " " and character != "\t" or character == "\x7f" for character in value)
