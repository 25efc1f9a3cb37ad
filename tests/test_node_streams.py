"""Streams of events from engines: what is relayed, what is checked, and backpressure."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from node_rig import ANSWER, EVENTS, LAST, STREAM, ask, chunk, rig_of_two

from worksmux.node.engine_reply import parse_load_report
from worksmux.node.errors import CorruptStreamError
from worksmux.node.event_stream import EventStream


@given(st.lists(st.integers(0, len(b"".join(EVENTS))), max_size=6))
def test_stream_is_passed_on_unchanged_wherever_it_is_cut(cuts: list[int]) -> None:
    whole, stream = b"".join(EVENTS), EventStream(1000)
    places = [0, *sorted(cuts), len(whole)]
    given_on = b"".join(stream.feed(whole[a:b]) for a, b in zip(places, places[1:], strict=False))
    assert given_on == whole and stream.done and not stream.is_cut


@pytest.mark.parametrize(
    "junk", [b"data: {junk\n\n", b"\r\n3f\r\ndata: {}\n\n", b"\x00\xff\n\n", b"x" * 2000]
)
def test_noise_among_events_spoils_a_stream_and_keeps_what_came_before(junk: bytes) -> None:
    stream = EventStream(1000)
    with pytest.raises(CorruptStreamError) as fault:
        stream.feed(EVENTS[0] + junk)
    assert fault.value.intact == EVENTS[0]


def test_load_report_stands_in_a_comment_and_may_be_unreadable() -> None:
    stream = EventStream(1000)
    data = EVENTS[0] + b": X-Server-Load: inflight=2\n" + EVENTS[2] + b": X-Server-Load: \xff"
    assert stream.feed(data) == EVENTS[0] + EVENTS[2]
    assert stream.load_report == "inflight=2" and not stream.is_cut
    assert parse_load_report("inflight=\xff", ["inflight"]) is None


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\n\r\n"])
def test_each_event_goes_on_with_its_last_byte_whatever_ends_its_lines(end: bytes) -> None:
    """Guards against events that are held back until the next one, or until the stream is over."""
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
    STREAM + LAST,
]


@pytest.mark.parametrize("spoilt", SPOILT)
def test_spoilt_opening_is_a_attempt_that_may_have_run(spoilt: bytes) -> None:
    """A redoable job is sent again, an irreversible one is broken off and is not."""
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
def test_stream_spoilt_later_ends_its_client_without_the_last_chunk(spoilt: bytes) -> None:
    rig = rig_of_two(lambda _: GOOD + spoilt)
    peer = rig.client(ask())
    rig.until(lambda: peer.ended)
    assert EVENTS[0] in peer.got and not peer.got.endswith(LAST) and b"xx" not in peer.got


@pytest.mark.parametrize("extra", [ANSWER, b"HTTP/1.1 503 No\r\n\r\n", b"\x00\xff"])
def test_second_answer_behind_the_first_harms_neither_request(extra: bytes) -> None:
    rig = rig_of_two(lambda _: b"HTTP/1.1 103 Early Hints\r\n\r\n" + ANSWER + extra)
    for key in ("a1", "a2"):
        peer = rig.client(ask(key))
        assert rig.answered(peer) == b"200" and peer.got.count(b"[DONE]") == 1


def test_client_that_reads_slowly_slows_its_engine_and_not_the_memory() -> None:
    rig = rig_of_two(lambda _: GOOD)
    peer = rig.client(ask())
    rig.until(lambda: EVENTS[0] in peer.got)
    peer.transport.pauseProducing()  # type: ignore[union-attr]
    wire: Any = rig.engines[1].peers[0].transport
    for _ in range(400):
        wire.write(chunk(EVENTS[0] * 800))  # 25 MB in all: more than the sockets of both sides hold
        rig.reactor.iterate(0)
    (case,) = rig.node.core.open_requests.values()
    rig.until(lambda: [carrier for carrier in case.in_flight.values() if carrier.paused])
    (channel,) = [one for one in rig.node.server.channels if one.busy]
    held = len(channel.transport.dataBuffer) + channel.transport._tempDataLen
    assert held < 2**20 and len(wire.dataBuffer) + wire._tempDataLen > 2**20
