"""The client connection: framing of responses, and errors that tell whether a request was sent."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import StringTransport

from worksmux.net import client


class RecordingReceiver:
    """Records a response."""

    buffered_bytes = 0

    def __init__(self) -> None:
        self.status, self.body, self.end = 0, b"", ""

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        self.status = status

    def body_received(self, data: bytes) -> None:
        self.body += data

    def done(self) -> None:
        self.end = "done"

    def failed(self, error: client.CallError) -> None:
        self.end = type(error).__name__


class ImmediateReactor:
    """A fake reactor that makes delayed calls at once."""

    def callLater(self, delay: float, call: Any, *args: Any) -> None:
        call(*args)


class WritingTransport(StringTransport):
    """Writes at once, as a socket with buffer space does, and asks its producer for more."""

    aborted = False

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        super().registerProducer(producer, streaming)
        while self.producer is not None:
            self.producer.resumeProducing()

    def setTcpNoDelay(self, enabled: bool) -> None: ...

    def abortConnection(self) -> None:
        self.aborted = True


class BufferingTransport(WritingTransport):
    """Keeps what is written in its buffer until the test resumes the producer."""

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        StringTransport.registerProducer(self, producer, streaming)
        producer.resumeProducing()


def send_request(transport: WritingTransport) -> tuple[RecordingReceiver, client.Connection]:
    """Sends a request on a new connection."""
    pool = client.Pool(ImmediateReactor(), "h", 1, 100.0, 100.0, 4, 2000)  # type: ignore[arg-type]
    connection, receiver = client.Connection(pool), RecordingReceiver()
    pool.open[connection] = None
    connection.makeConnection(transport)
    connection.send(client.encode_request("POST", "/x", "h:1", [("A", "b")], b"{}"), receiver)
    return receiver, connection


def exchange(
    response: bytes, sizes: list[int] | None = None, closes: bool = False
) -> tuple[RecordingReceiver, client.Connection, WritingTransport]:
    """Sends a request whose response arrives in pieces of the given sizes."""
    transport = WritingTransport()
    receiver, connection = send_request(transport)
    unread = response
    for size in sizes or []:
        connection.dataReceived(unread[:size])
        unread = unread[size:]
    if unread:
        connection.dataReceived(unread)
    if closes:
        connection.connectionLost()
    return receiver, connection, transport


WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: t\r\n\r\n"
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\n\r\nhello"


@pytest.mark.parametrize(
    ("response", "closes"), [(WITH_LENGTH, False), (CHUNKED, False), (UNTIL_CLOSE, True)]
)
@given(sizes=st.lists(st.integers(1, 20), max_size=30))
def test_response_is_complete_however_it_is_split(response: bytes, closes: bool, sizes: list[int]) -> None:
    receiver, connection, _ = exchange(response, sizes, closes)
    assert (receiver.status, receiver.body, receiver.end) == (200, b"hello", "done")
    assert (connection in connection.pool.idle) is not closes


@pytest.mark.parametrize(
    ("response", "end"),
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
def test_malformed_response_differs_from_broken_connection(response: bytes, end: str) -> None:
    receiver, connection, _ = exchange(response, closes=end == "ConnectionBrokenError")
    assert receiver.end == end and connection not in connection.pool.idle


def test_bytes_after_the_response_close_the_connection() -> None:
    receiver, connection, transport = exchange(WITH_LENGTH + b"HTTP/1.1 500 no\r\n\r\n")
    assert (
        receiver.end == "done"
        and receiver.body == b"hello"
        and transport.aborted
        and connection not in connection.pool.idle
    )


def test_100_continue_is_skipped() -> None:
    receiver, _, _ = exchange(b"HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH)
    assert receiver.body == b"hello" and receiver.status == 200


def test_request_in_the_transport_buffer_is_not_sent() -> None:
    """A connection ends right after a request was passed to the transport.

    The engine cannot have executed a request with bytes left in the buffer; after the last byte has left the
    buffer, the engine may have executed it.
    """
    receiver, connection = send_request(BufferingTransport())
    connection.connectionLost()
    assert receiver.end == "NotSentError"
    transport = BufferingTransport()
    receiver, connection = send_request(transport)
    transport.producer.resumeProducing()  # the buffer is empty: the last byte has left
    connection.connectionLost()
    assert receiver.end == "ConnectionBrokenError"


def test_number_of_1xx_heads_is_bounded() -> None:
    receiver, _, _ = exchange(b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" * 2000)
    assert receiver.end == "MalformedResponseError"
