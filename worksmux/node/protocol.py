"""The platform's protocol, without sockets: what a client's head asks for, what an engine's reply means, and
which pieces of a stream are whole events."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..endpoints.keys import key_of
from ..policy.state import Outcome

CHAT, READY, HOLDS, ALIVE, LOAD_PATH = "/v1/chat/completions", "/up", "/v1/holds/", "/alive", "/metrics/load"
ID, REQUEST_CLASS, SESSION, TIME_LEFT = "X-Request-ID", "X-Priority-Class", "X-Route-Key", "X-Timeout-Ms"
ATTRS, RETRIED, LOAD, NOT_RUN = "X-Attrs", "X-Retried", "x-server-load", "x-not-processed"
LONGEST_ID = 128  # characters
LONGEST_WAIT = 3_600_000  # milliseconds that a client may name
MOST_TOKENS = 10_000_000
# Of one connection alone (RFC 9110, 7.6.1), or written anew for each attempt.
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
        ID.lower(),
        TIME_LEFT.lower(),
    }
)
TOKEN = frozenset("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz")  # RFC 9110, 5.6.2


class Refused(Exception):
    """What a client sent is no job: the status of the answer, and why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


@dataclass(slots=True)
class Asked:
    """One client's job; lengths in tokens, the time left in milliseconds."""

    key: str  # the client's id of it
    request_class: int
    session: int
    prefix: int
    prompt: float
    prefix_tokens: float
    most: float
    time_left: float
    repeat: bool
    resumed: bool
    path: str  # with its query
    body: bytes
    headers: list[tuple[str, str]] = field(default_factory=list)  # the client's, for each attempt


class _Body(msgspec.Struct):
    """What a body needs to be asked of an engine; the rest is the engine's."""

    messages: list[msgspec.Raw]
    stream: bool = False


READ_BODY = msgspec.json.Decoder(_Body)


def number_of(text: str) -> int:
    """A key as a number for hashing, the same at every front; 0 for none.

    >>> number_of("00000000000000ff"), number_of(""), number_of("a course") == number_of("a course")
    (255, 0, True)
    """
    if not text:
        return 0
    try:
        if len(text) <= 16:
            return int(text, 16) % 2**64
    except ValueError:
        pass
    return key_of(text.encode())


def whole_number(text: str | None, most: int) -> int | None:
    """Plain digits up to `most`; None for all else, signs and spaces included.

    >>> whole_number("4800", 9999), whole_number("-1", 9), whole_number("1e3", 9999), whole_number("99", 9)
    (4800, None, None, None)
    """
    if text is None or not (text.isascii() and text.isdigit()) or len(text) > 20 or int(text) > most:
        return None
    return int(text)


def attributes(text: str | None) -> dict[str, str]:
    """
    >>> attributes("prefix=5c, prompt_len=12")
    {'prefix': '5c', 'prompt_len': '12'}
    """
    pairs = (part.partition("=") for part in (text or "").split(","))
    return {name.strip(): value.strip() for name, _, value in pairs if name.strip()}


def forwarded(headers: Iterable[tuple[str, list[str]]]) -> list[tuple[str, str]]:
    """The end-to-end fields of a client's head, which every attempt carries unchanged.

    What a client tells the engine beside what this program reads, such as an idempotency key, is for the
    engine to judge.

    >>> forwarded([("Idempotency-Key", ["9e"]), ("Connection", ["close, X-Hop"]), ("X-Hop", ["1"])])
    [('Idempotency-Key', '9e')]
    """
    fields = [(name, value) for name, values in headers for value in values]
    hops = {
        option.strip().lower()
        for name, value in fields
        if name.lower() == "connection"
        for option in value.split(",")
    }
    dropped = NOT_FORWARDED | hops
    return [
        (name, value)
        for name, value in fields
        if name.lower() not in dropped
        and TOKEN.issuperset(name.lower())
        and not any(character < " " and character != "\t" or character == "\x7f" for character in value)
    ]


def asked(
    header: Callable[[str], list[str]], path: str, body: bytes, request_classes: dict[str, int]
) -> Asked:
    """A client's job from its head and body; `header` gives all values of a name.  Raises Refused."""

    def one(name: str, needed: bool = True) -> str:
        found = header(name)
        if len(found) > 1:
            raise Refused(400, f"{name} is given {len(found)} times; once was expected")
        if needed and not (found and found[0]):
            raise Refused(400, f"{name} is missing")
        return found[0] if found else ""

    if header("Transfer-Encoding") and header("Content-Length"):
        raise Refused(400, "Content-Length and Transfer-Encoding exclude each other")
    key = one(ID)
    if len(key) > LONGEST_ID or not all(33 <= ord(sign) < 127 and sign not in "/?#%" for sign in key):
        raise Refused(400, f"{ID}: up to {LONGEST_ID} plain characters were expected")
    name = one(REQUEST_CLASS)
    if name not in request_classes:
        raise Refused(400, f"{REQUEST_CLASS}: one of {', '.join(request_classes)} was expected")
    left = whole_number(one(TIME_LEFT), LONGEST_WAIT)
    if not left:
        raise Refused(400, f"{TIME_LEFT}: whole milliseconds above 0 were expected")
    attrs = attributes(one(ATTRS, needed=False))
    prompt, shared, most = (
        whole_number(attrs.get(each, "0"), MOST_TOKENS) for each in ("prompt_len", "prefix_len", "max_out")
    )
    if prompt is None or shared is None or most is None:
        raise Refused(400, f"{ATTRS}: lengths in whole tokens were expected")
    try:
        if not READ_BODY.decode(body).messages:
            raise Refused(400, "messages: at least one was expected")
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Refused(400, f"the body is no chat completion: {error}") from None
    retried = one(RETRIED, needed=False)
    session = number_of(one(SESSION, needed=False))
    return Asked(
        key,
        request_classes[name],
        session,
        number_of(attrs.get("prefix", "")),
        float(max(1, prompt)),
        float(shared),
        float(most),
        float(left),
        retried == "1",
        retried == "again",
        path,
        body,
    )


# Engines.


def load_report(text: str | None, fields: list[str]) -> dict[str, float] | None:
    """The figures that the settings name; None where there are none or they can't be read.

    >>> load_report("inflight=7,queue=2,util=0.61", ["inflight", "util"])
    {'inflight': 7.0, 'util': 0.61}
    >>> load_report("inflight=seven", ["inflight"]), load_report(None, [])
    (None, None)
    """
    try:
        told = {name: float(value) for name, value in attributes(text).items()}
    except ValueError:
        return None
    named = {name: told[name] for name in fields if name in told and told[name] == told[name]}
    return named or None


def refusal(status: int, headers: dict[str, str]) -> tuple[Outcome, int]:
    """Outcome and note of a whole reply that is neither an answer nor a read prompt.

    >>> refusal(503, {"x-not-processed": "1"}), refusal(410, {"x-not-processed": "1"}), refusal(503, {})
    ((<Outcome.FULL: 'full'>, 0), (<Outcome.FULL: 'full'>, 1), (<Outcome.ERROR: 'error'>, 0))
    """
    if headers.get(NOT_RUN) == "1" and status in (503, 504, 410):
        return Outcome.FULL, int(status == 410)
    return Outcome.ERROR, 0


class _Found(msgspec.Struct):
    """What of a prompt was found kept."""

    cached_tokens: int = 0


READ_FOUND = msgspec.json.Decoder(_Found)


def cached_tokens(body: bytes) -> int:
    """Tokens found kept, by a reader's reply; 0 where it does not say."""
    try:
        return max(0, READ_FOUND.decode(body).cached_tokens)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return 0


class _Usage(msgspec.Struct):
    prompt_tokens_details: _Found | None = None


class _Chunk(msgspec.Struct):
    choices: list[Any]
    usage: _Usage | None = None


EVENT_END = re.compile(rb"\r?\n\r?\n")
READ_CHUNK = msgspec.json.Decoder(_Chunk)


class Spoilt(Exception):
    """A stream holds what is no event."""


class Stream:
    """Cuts an engine's stream into whole events, unchanged, and checks each.

    Guards against noise that a chunk with a wrong size lets in among the events.

    >>> stream = Stream(1000)
    >>> stream.feed(b'data: {"choices":[]}\\n\\nda')
    b'data: {"choices":[]}\\n\\n'
    >>> stream.feed(b'ta: [DONE]\\n\\n: X-Server-Load: inflight=1\\n\\n'), stream.done, stream.report
    (b'data: [DONE]\\n\\n', True, 'inflight=1')
    """

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.done = False  # the closing event has come
        self.cached = 0
        self.report: str | None = None
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """The whole events so far that were not given before.  Raises Spoilt with what came whole before the
        fault as its second argument."""
        whole, good, begin = self._rest + data, [], 0  # type: bytes, list[bytes], int
        for blank in EVENT_END.finditer(whole):
            try:
                kept = self._event(whole[begin : blank.start()])
            except Spoilt as fault:
                raise Spoilt(str(fault), b"".join(good)) from None
            if kept:
                good.append(kept + blank[0])
            begin = blank.end()
        self._rest = whole[begin:]
        if len(self._rest) > self.bound:
            raise Spoilt("an event does not end", b"".join(good))
        return b"".join(good)

    def _event(self, event: bytes) -> bytes:
        """What of it goes to the client: comments are for this node, and nothing follows the closing one."""
        if event.startswith(b":") or b"\n:" in event:
            event = b"\n".join(line for line in event.split(b"\n") if not self._comment(line))
        if not event.strip() or self.done:
            return b""
        if not event.startswith(b"data:"):
            raise Spoilt("no event")
        text = event[5:].strip()
        if text == b"[DONE]":
            self.done = True
            return event
        try:
            usage = READ_CHUNK.decode(text).usage
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            raise Spoilt("an event that can't be read") from None
        if usage is not None and usage.prompt_tokens_details is not None:
            self.cached = usage.prompt_tokens_details.cached_tokens
        return event

    def _comment(self, line: bytes) -> bool:
        if not line.startswith(b":"):
            return False
        name, _, value = line[1:].partition(b":")
        if name.strip().lower() == LOAD.encode():
            self.report = value.strip().decode("latin-1")
        return True

    @property
    def cut(self) -> bool:
        """Whether an event has begun that is not whole."""
        return any(line.strip() and not line.startswith(b":") for line in self._rest.split(b"\n"))
