"""HTTP, events, messages and lists: what is malformed is told apart from what broke and what never left."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import StringTransport

from worksmux.api import chat
from worksmux.api.errors import BadRequest
from worksmux.api.events import DONE, Events, TooLong, event
from worksmux.api.listing import Line, Listing
from worksmux.endpoints.list_reader import ListKeeper
from worksmux.gateway import attempts as carriers
from worksmux.gateway.attempts import Reading, Writing
from worksmux.net import client, clock
from worksmux.policy.state import Attempt, Engine, Outcome, Request


class Heard:
    """A receiver that remembers."""

    def __init__(self) -> None:
        self.status, self.body, self.end = 0, b"", ""

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status = status

    def piece(self, data: bytes) -> None:
        self.body += data

    def done(self) -> None:
        self.end = "done"

    def failed(self, trouble: client.CallError) -> None:
        self.end = type(trouble).__name__


class Now:
    """A reactor for which later is now."""

    def callLater(self, delay: float, call: Any, *args: Any) -> None:
        call(*args)


class Wire(StringTransport):
    """Writes at once, as a socket with room does, and asks its producer for more."""

    aborted = False

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        super().registerProducer(producer, streaming)
        while self.producer is not None:
            self.producer.resumeProducing()

    def setTcpNoDelay(self, enabled: bool) -> None: ...

    def abortConnection(self) -> None:
        self.aborted = True


class Buffer(Wire):
    """Keeps what is written until it is asked to let it out."""

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        StringTransport.registerProducer(self, producer, streaming)
        producer.resumeProducing()


def asked_by(wire: Wire) -> tuple[Heard, client.Connection]:
    """A call just sent on a connection."""
    pool = client.Pool(Now(), "h", 1, 100.0, 100.0, 4, 2000)  # type: ignore[arg-type]
    connection, heard = client.Connection(pool), Heard()
    pool.open[connection] = None
    connection.makeConnection(wire)
    connection.send(client.encode_request("POST", "/x", "h:1", [("A", "b")], b"{}"), heard)
    return heard, connection


def talk(
    reply: bytes, sizes: list[int] | None = None, closes: bool = False
) -> tuple[Heard, client.Connection, Wire]:
    """One call whose reply comes in pieces of the given sizes."""
    wire = Wire()
    heard, connection = asked_by(wire)
    left = reply
    for size in sizes or []:
        connection.dataReceived(left[:size])
        left = left[size:]
    if left:
        connection.dataReceived(left)
    if closes:
        connection.connectionLost()
    return heard, connection, wire


LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: t\r\n\r\n"
TO_CLOSE = b"HTTP/1.1 200 OK\r\n\r\nhello"


@pytest.mark.parametrize(("reply", "closes"), [(LENGTH, False), (CHUNKED, False), (TO_CLOSE, True)])
@given(sizes=st.lists(st.integers(1, 20), max_size=30))
def test_reply_is_whole_however_it_is_cut(reply: bytes, closes: bool, sizes: list[int]) -> None:
    heard, connection, _ = talk(reply, sizes, closes)
    assert (heard.status, heard.body, heard.end) == (200, b"hello", "done")
    assert (connection in connection.pool.idle) is not closes


@pytest.mark.parametrize(
    ("reply", "end"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", "ConnectionBrokenError"),
        (CHUNKED[:-9], "ConnectionBrokenError"),
        (b"", "ConnectionBrokenError"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", "MalformedResponseError"),
        (b"ICY 200\r\n\r\n", "MalformedResponseError"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "MalformedResponseError"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "MalformedResponseError"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", "MalformedResponseError"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "MalformedResponseError"),
        (b"HTTP/1.1 200 OK\r\n" + b"A: " + b"x" * 3000 + b"\r\n\r\n", "MalformedResponseError"),
        (b"HTTP/1.1 200 OK\r\n" + b"A: xxxxxxxxxxxxxxxxxxxx\r\n" * 200, "MalformedResponseError"),
        (b"HTTP/1.1 101 Switching\r\n\r\n", "MalformedResponseError"),
        (b"HTTP/1.1 200 OK\r\n: x\r\n\r\n", "MalformedResponseError"),
    ],
)
def test_bad_reply_is_told_apart_from_a_broken_one(reply: bytes, end: str) -> None:
    heard, connection, _ = talk(reply, closes=end == "ConnectionBrokenError")
    assert heard.end == end and connection not in connection.pool.idle


def test_what_comes_after_the_end_closes_the_connection_and_harms_no_call() -> None:
    heard, connection, wire = talk(LENGTH + b"HTTP/1.1 500 no\r\n\r\n")
    assert (
        heard.end == "done"
        and heard.body == b"hello"
        and wire.aborted
        and connection not in connection.pool.idle
    )


def test_continue_is_passed_over() -> None:
    heard, _, _ = talk(b"HTTP/1.1 100 Continue\r\n\r\n" + LENGTH)
    assert heard.body == b"hello" and heard.status == 200


def test_call_that_still_lies_in_the_buffer_never_ran() -> None:
    heard, connection = asked_by(Buffer())
    connection.connectionLost()
    assert heard.end == "NotSentError"
    wire = Buffer()
    heard, connection = asked_by(wire)
    wire.producer.resumeProducing()  # the buffer is empty: the last byte has left
    connection.connectionLost()
    assert heard.end == "ConnectionBrokenError"


def test_heads_of_1xx_do_not_go_on_for_ever() -> None:
    heard, _, _ = talk(b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" * 2000)
    assert heard.end == "MalformedResponseError"


@given(
    st.lists(st.binary(max_size=20).filter(lambda data: b"\n" not in data and b"\r" not in data), min_size=1),
    st.data(),
)
def test_events_survive_any_cut(texts: list[bytes], data: st.DataObject) -> None:
    stream = b"".join(event(text) for text in texts)
    events, found = Events(1000), []
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        found += events.feed(stream[:size])
        stream = stream[size:]
    assert found == texts and not events.cut


def test_event_without_end_is_bounded() -> None:
    events = Events(100)
    with pytest.raises(TooLong):
        for _ in range(50):
            events.feed(b"data: xxxxxxxx\n")


# Jobs.


def asked(headers: dict[str, str] | None = None, **fields: Any) -> chat.Asked:
    body = {
        "model": "hint",
        "messages": [{"role": "system", "content": "s" * 40}, {"role": "user", "content": "q"}],
    }
    return chat.asked(json.dumps({**body, **fields}).encode(), (headers or {}).get, {"hint": 0}, [50])


def test_defaults_come_from_the_request_class_and_the_first_message() -> None:
    one, other = (
        asked(),
        asked(messages=[{"role": "system", "content": "s" * 40}, {"role": "user", "content": "z"}]),
    )
    assert (
        one.most == 50
        and one.prefix == other.prefix != 0
        and one.prefix_tokens == 10
        and one.time_left is None
    )
    assert asked(max_tokens=7).most == 7 and asked(max_completion_tokens=9, max_tokens=7).most == 9
    assert asked({chat.RETRY_COUNT: "2"}).repeat and not asked({chat.RETRY_COUNT: "0"}).repeat
    assert asked({chat.PREFIX: "lab"}).prefix != one.prefix and asked(stream=None).stream is False


@pytest.mark.parametrize(
    "headers", [{chat.TIME_LEFT: "soon"}, {chat.TIME_LEFT: "-1"}, {chat.PREFIX_TOKENS: "nan"}]
)
def test_headers_that_are_no_figures_are_refused(headers: dict[str, str]) -> None:
    with pytest.raises(BadRequest):
        asked(headers)


def test_unknown_fields_reach_the_engine_as_they_came() -> None:
    one = asked(temperature=0.5, logit_bias={"7": 1}, stream=True)
    told = json.loads(chat.to_writer(one, chat.KvParams("e", "h", 1, [3], "j")))
    assert told["temperature"] == 0.5 and told["logit_bias"] == {"7": 1} and told["stream"] is True
    assert (
        told["kv_transfer_params"]["remote_engine_id"] == "e"
        and told["kv_transfer_params"]["remote_port"] == 1
    )
    read = json.loads(chat.to_reader(one))
    assert (
        read["max_tokens"] == 1 and read["stream"] is False and read["kv_transfer_params"]["do_remote_decode"]
    )


@given(st.binary(max_size=200))
def test_any_bytes_are_a_request_or_a_clear_refusal(body: bytes) -> None:
    with pytest.raises(BadRequest):
        chat.asked(body, {}.get, {"hint": 0}, [50])


# Trips.


class Attempts:
    """A listener that remembers, and a reactor that keeps time still."""

    def __init__(self) -> None:
        self.heard: list[Any] = []

    def callLater(self, delay: float, call: Any, *args: Any) -> Any:
        timer = type("Timer", (), {"cancel": lambda self: None, "active": lambda self: False})()
        self.later = call
        return timer

    def began(self, attempt: Attempt) -> None:
        attempt.began = 1.0
        self.heard.append("began")

    def text(self, attempt: Attempt, content: str) -> None:
        self.heard.append(content)

    def ended(self, attempt: Attempt, outcome: Outcome, note: int, report: Any, result: Any) -> None:
        self.heard.append((outcome, note))


def carrier(kind: type[carriers.Carrier]) -> tuple[Any, Attempts]:
    listener = Attempts()
    request = Request(1, 0, 0, 0, 1.0, 0.0, 1.0, 0.0, 1.0)
    return kind(
        listener, None, Attempt(request, Engine(b"e", 1), 0, 0.0), listener, 100.0, 50.0, 300
    ), listener  # type: ignore[arg-type]


CHUNK = event(chat.chunk("c", "hint", "word "))
LAST = event(chat.chunk("c", "hint", finish="stop"))


@pytest.mark.parametrize(
    ("status", "pieces", "outcome", "note"),
    [
        (200, [CHUNK, LAST, DONE], Outcome.DELIVERED, 0),
        (200, [CHUNK, LAST, DONE, b"data: {junk\n\n"], Outcome.DELIVERED, 0),
        (200, [CHUNK, LAST], Outcome.ERROR, 0),
        (200, [DONE], Outcome.ERROR, 0),
        (200, [LAST, DONE], Outcome.ERROR, 0),
        (200, [b"data: {\n\n"], Outcome.ERROR, 0),
        (200, [CHUNK, b'data: {"error": {"message": "x"}}\n\n'], Outcome.ERROR, 0),
        (200, [b"data: " + b"x" * 400], Outcome.ERROR, 0),
        (500, [b"{}"], Outcome.ERROR, 0),
        (429, [b'{"error":{"message":"","type":"","code":"state_lost"}}'], Outcome.FULL, 1),
        (429, [b"{}"], Outcome.FULL, 0),
        (503, [b"x" * 400], Outcome.ERROR, 0),
        (204, [], Outcome.ERROR, 0),
    ],
)
def test_each_outcome_comes_about_in_one_way(
    status: int, pieces: list[bytes], outcome: Outcome, note: int
) -> None:
    one, listener = carrier(Writing)
    one.head(status, {"content-type": "text/event-stream" if status == 200 else "application/json"})
    for data in pieces:
        one.piece(data)
    one.done()
    assert (
        listener.heard[-1] == (outcome, note) and sum(isinstance(told, tuple) for told in listener.heard) == 1
    )


@pytest.mark.parametrize(
    ("trouble", "outcome"),
    [
        (client.NotSentError(""), Outcome.UNREACHABLE),
        (client.ConnectionBrokenError(""), Outcome.RESET),
        (client.MalformedResponseError(""), Outcome.ERROR),
    ],
)
def test_trouble_of_the_connection_is_an_outcome(trouble: client.CallError, outcome: Outcome) -> None:
    one, listener = carrier(Reading)
    one.failed(trouble)
    one.cancel()
    assert listener.heard == [(outcome, 0)]


def test_read_returns_the_handle_and_what_was_kept() -> None:
    one, listener = carrier(Reading)
    one.head(200, {})
    one.piece(
        msgspec.json.encode(
            chat.ReadReply(chat.KvParams("e", "h", 1), chat.Usage(9, 1, 10, {"cached_tokens": 4}))
        )
    )
    one.done()
    assert listener.heard == [(Outcome.READ, 4)]
    two, listener = carrier(Reading)
    two.head(200, {})
    two.piece(b'{"choices": []}')  # an answer without a handle is none
    two.done()
    assert listener.heard == [(Outcome.ERROR, 0)]


def test_stream_that_stalls_is_timed_out() -> None:
    one, listener = carrier(Writing)
    one.head(200, {"content-type": "text/event-stream"})
    one.piece(CHUNK)
    one.last = clock.now() - 60
    one._listen()
    assert listener.heard == ["began", "word ", (Outcome.TIMED_OUT, 0)]


# Lists.


def keeper() -> ListKeeper:
    engines: dict[str, Engine] = {}
    return ListKeeper(["k"], ["z"], lambda name: engines.setdefault(name, Engine(name.encode(), 1)))


def line(name: str, state: Any = "ready", started: float = 0.0, kind: str = "k") -> Line:
    return Line(name, "127.0.0.1", 1, kind, state, "z", 0, 1.0, started)


def full(serial: int, *lines: Line) -> Listing:
    return Listing("full", serial, None, 1000.0, list(lines))


def delta(serial: int, *lines: Line, previous: int | None = None) -> Listing:
    return Listing("delta", serial, serial - 1 if previous is None else previous, 1000.0, list(lines))


def test_gap_is_applied_and_the_whole_list_is_asked_for_once() -> None:
    one = keeper()
    one.take(0.0, full(1, line("a"), line("b")))
    told = one.take(0.0, delta(4, line("a", "draining")))
    assert told.fetch and told.event and told.event.entries[0].state == "draining"
    assert not one.take(0.0, delta(5, line("b"), previous=4)).fetch
    assert not one.take(0.0, delta(9, line("b"))).fetch and one.fetching
    assert one.take(0.0, full(9, line("b"))).event and not one.fetching and one.ready == 1


def test_older_news_is_left_out_but_a_restarted_registry_is_believed() -> None:
    one = keeper()
    one.take(0.0, full(5, line("a")))
    assert one.take(0.0, delta(5, line("a", "gone"))).event is None and one.take(0.0, full(3)).event is None
    one.connected()
    told = one.take(0.0, full(1, line("a")))
    assert told.event and one.serial == 1
    one.take(0.0, full(7, line("a")))
    one.connected()
    old = full(3, line("b"))
    old.now = 900.0  # its clock is behind: an old copy of the registry
    assert one.take(0.0, old).event is None and one.serial == 7


def test_start_is_reckoned_once_so_that_listing_again_is_no_restart() -> None:
    one = keeper()
    first = one.take(5000.0, full(1, line("a", started=900.0))).event
    again = one.take(9000.0, full(2, line("a", started=900.0))).event
    later = one.take(9000.0, full(3, line("a", started=990.0))).event
    assert first and again and later
    assert (
        first.entries[0].started == again.entries[0].started == 4900.0 and later.entries[0].started == 8990.0
    )


def test_unknown_kind_leaves_out_that_engine_alone() -> None:
    one = keeper()
    told = one.take(0.0, full(1, line("a"), line("b", kind="new")))
    assert (
        told.event
        and [entry.engine.id for entry in told.event.entries] == [b"a"]
        and "no kind new" in told.notes[0]
    )
    told = one.take(0.0, delta(2, line("a", kind="new")))
    assert told.event and told.event.entries[0].state == "gone"


@given(
    st.lists(
        st.tuples(
            st.booleans(),
            st.integers(1, 12),
            st.sampled_from("abc"),
            st.sampled_from(["ready", "draining", "gone"]),
        ),
        max_size=30,
    )
)
def test_what_the_module_is_told_always_agrees_with_what_is_known(
    steps: list[tuple[bool, int, str, str]],
) -> None:
    one, believed = keeper(), {}  # type: ListKeeper, dict[bytes, str]
    for whole, serial, name, state in steps:
        told = one.take(0.0, full(serial, line(name, state)) if whole else delta(serial, line(name, state)))
        if told.event:
            if told.event.scope == "full":
                believed = dict.fromkeys(believed, "gone")
            believed |= {entry.engine.id: entry.state for entry in told.event.entries}
        assert {name.encode(): known.line.state for name, known in one.known.items()} == believed
