"""Streams of events from engines: what is relayed, what is checked, and backpressure."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from node_rig import ANSWER, EVENTS, LAST_CHUNK, STREAM, ask, chunk, rig_of_two

from worksmux.node.engine_reply import parse_load_report
from worksmux.node.errors import CorruptStreamError
from worksmux.node.event_stream import EventStream


@given(st.lists(st.integers(0, len(b"".join(EVENTS))), max_size=6))
def test_stream_is_relayed_unchanged_in_any_pieces(cuts: list[int]) -> None:
    whole, stream = b"".join(EVENTS), EventStream(1000)
    places = [0, *sorted(cuts), len(whole)]
    given_on = b"".join(stream.feed(whole[a:b]) for a, b in zip(places, places[1:], strict=False))
    assert given_on == whole and stream.done and not stream.is_cut


@pytest.mark.parametrize(
    "junk", [b"data: {junk\n\n", b"\r\n3f\r\ndata: {}\n\n", b"\x00\xff\n\n", b"x" * 2000]
)
def test_corrupt_event_ends_a_stream_after_the_intact_events(junk: bytes) -> None:
    stream = EventStream(1000)
    with pytest.raises(CorruptStreamError) as fault:
        stream.feed(EVENTS[0] + junk)
    assert fault.value.intact == EVENTS[0]


def test_load_report_in_a_comment_may_be_unreadable() -> None:
    stream = EventStream(1000)
    data = EVENTS[0] + b": X-Server-Load: inflight=2\n" + EVENTS[2] + b": X-Server-Load: \xff"
    assert stream.feed(data) == EVENTS[0] + EVENTS[2]
    assert stream.load_report == "inflight=2" and not stream.is_cut
    assert parse_load_report("inflight=\xff", ["inflight"]) is None


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\n\r\n"])
def test_event_is_relayed_with_its_last_byte(end: bytes) -> None:
    """An engine sends events byte by byte, with any kind of line end.

    Each event is relayed with its last byte, and not held back until the next event or the end of the
    stream.
    """
    stream = EventStream(1000)
    for event in EVENTS:
        data = event.strip() + end
        assert [stream.feed(data[at : at + 1]) for at in range(len(data))][-1] == data
    assert stream.done and not stream.is_cut


GOOD = STREAM + chunk(EVENTS[0])


SPOILT = [
    b"\x00\xff noise\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + b"X: " + b"y" * 20000,
    b"HTTP/9 nonsense\r\n\r\n",
    STREAM + b"zz\r\n",
    STREAM + b"c0000000\r\nx",
    STREAM + b"5\r\ndata: {",
    STREAM + LAST_CHUNK,
]


@pytest.mark.parametrize("spoilt", SPOILT)
def test_corrupt_reply_is_retried_only_if_idempotent(spoilt: bytes) -> None:
    """A decode engine answers with a reply that is corrupt from its start.

    The attempt has possibly been executed: an idempotent request is retried, a non-idempotent one is
    aborted.
    """
    answers = [spoilt]
    rig = rig_of_two(lambda _: answers.pop() if answers else ANSWER)
    rig.engine("decode", lambda _: answers.pop() if answers else ANSWER)
    rig.hosts.tell(2, rig.engines[2].entry())
    assert rig.answered(rig.client(ask("a1"))) == b"200"
    answers.append(spoilt)
    assert rig.answered(rig.client(ask("a2", "mark"))) in (b"502", b"504")
    rig.idle()
    assert sum(b"X-Request-ID: a2" in request for one in rig.engines[1:] for request in one.asked) == 1


@pytest.mark.parametrize("spoilt", [b"zz\r\n", b"c0000000\r\nxx", b"4\r\ndata: {}\n\n\r\n", b"\x00\xff\r\n"])
def test_stream_that_becomes_corrupt_is_cut_for_its_client(spoilt: bytes) -> None:
    rig = rig_of_two(lambda _: GOOD + spoilt)
    peer = rig.client(ask())
    rig.until(lambda: peer.ended)
    assert EVENTS[0] in peer.got and not peer.got.endswith(LAST_CHUNK) and b"xx" not in peer.got


@pytest.mark.parametrize("extra", [ANSWER, b"HTTP/1.1 503 No\r\n\r\n", b"\x00\xff"])
def test_bytes_after_an_answer_harm_no_request(extra: bytes) -> None:
    rig = rig_of_two(lambda _: b"HTTP/1.1 103 Early Hints\r\n\r\n" + ANSWER + extra)
    for key in ("a1", "a2"):
        peer = rig.client(ask(key))
        assert rig.answered(peer) == b"200" and peer.got.count(b"[DONE]") == 1


def test_slow_client_pauses_its_engine() -> None:
    """A client stops reading while its engine streams 25 MB.

    The node pauses the engine; it must not buffer the stream.
    """
    rig = rig_of_two(lambda _: GOOD)
    peer = rig.client(ask())
    rig.until(lambda: EVENTS[0] in peer.got)
    peer.transport.pauseProducing()  # type: ignore[union-attr]
    wire: Any = rig.engines[1].peers[0].transport
    for _ in range(400):
        wire.write(chunk(EVENTS[0] * 800))  # 25 MB in all: more than the sockets of both sides hold
        rig.reactor.iterate(0)
    (context,) = rig.node.core.open_requests.values()
    rig.until(lambda: [call for call in context.in_flight.values() if call.paused])
    (channel,) = [one for one in rig.node.server.channels if one.busy]
    held = len(channel.transport.dataBuffer) + channel.transport._tempDataLen
    assert held < 2**20 and len(wire.dataBuffer) + wire._tempDataLen > 2**20
