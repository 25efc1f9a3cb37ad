"""Event streams of engines: relaying, validation and backpressure."""

from __future__ import annotations

from time import process_time
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from node_rig import ANSWER, EVENTS, LAST_CHUNK, STREAM, chat_request, chunk, start_two_engine_rig

from worksmux.forwarding import attempt
from worksmux.net import clock
from worksmux.node import core
from worksmux.node.engine_reply import parse_load_report
from worksmux.node.errors import CorruptStreamError
from worksmux.node.event_stream import EventStream

LONGEST_EVENT_BYTES = 2**18
NOISE = b"~" * len(EVENTS[0])
MAX_CPU_S = 0.5  # for some 3,000 pieces, on a busy machine too


@given(st.lists(st.integers(0, len(b"".join(EVENTS))), max_size=6))
def test_stream_is_relayed_unchanged_in_any_pieces(cuts: list[int]) -> None:
    stream_data, stream = b"".join(EVENTS), EventStream(1000)
    boundaries = [0, *sorted(cuts), len(stream_data)]
    relayed = b"".join(
        stream.feed(stream_data[a:b]) for a, b in zip(boundaries, boundaries[1:], strict=False)
    )
    assert relayed == stream_data and stream.done and not stream.is_cut


def test_cost_of_an_event_without_an_end_does_not_grow_with_its_square() -> None:
    """One stream of an engine is noise without a line break, in chunks as long as an event.

    The node was held up for 5 s by it, and usual requests were answered after their time.
    """
    stream = EventStream(LONGEST_EVENT_BYTES)
    started_s = process_time()
    with pytest.raises(CorruptStreamError, match="maximum size"):
        for _ in range(LONGEST_EVENT_BYTES):
            stream.feed(NOISE)
    assert process_time() - started_s < MAX_CPU_S


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
    """An engine sends events byte by byte, with any line ending.

    Each event is relayed with its last byte, not delayed until the next event or the end of the stream.
    """
    stream = EventStream(1000)
    for event in EVENTS:
        data = event.strip() + end
        assert [stream.feed(data[index : index + 1]) for index in range(len(data))][-1] == data
    assert stream.done and not stream.is_cut


STREAM_START = STREAM + chunk(EVENTS[0])


CORRUPT_REPLIES = [
    b"\x00\xff noise\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + b"X: " + b"y" * 20000,
    b"HTTP/9 nonsense\r\n\r\n",
    STREAM + b"zz\r\n",
    STREAM + b"c0000000\r\nx",
    STREAM + b"5\r\ndata: {",
    STREAM + LAST_CHUNK,
]


@pytest.mark.parametrize("corrupt", CORRUPT_REPLIES)
def test_corrupt_reply_is_retried_only_if_idempotent(corrupt: bytes) -> None:
    """A decode engine sends a reply that is corrupt from its start.

    The attempt was possibly executed: an idempotent request is retried, a non-idempotent one is aborted.
    """
    answers = [corrupt]
    rig = start_two_engine_rig(lambda _: answers.pop() if answers else ANSWER)
    rig.engine("decode", lambda _: answers.pop() if answers else ANSWER)
    rig.discovery_server.send_list(2, rig.engines[2].entry())
    assert rig.wait_for_status(rig.client(chat_request("a1"))) == b"200"
    answers.append(corrupt)
    assert rig.wait_for_status(rig.client(chat_request("a2", "mark"))) in (b"502", b"504")
    rig.wait_until_idle()
    assert (
        sum(b"X-Request-ID: a2" in request for engine in rig.engines[1:] for request in engine.requests) == 1
    )


@pytest.mark.parametrize("corrupt", [b"zz\r\n", b"c0000000\r\nxx", b"4\r\ndata: {}\n\n\r\n", b"\x00\xff\r\n"])
def test_stream_that_becomes_corrupt_is_cut_for_its_client(corrupt: bytes) -> None:
    rig = start_two_engine_rig(lambda _: STREAM_START + corrupt)
    peer = rig.client(chat_request())
    rig.run_until(lambda: peer.ended)
    assert (
        EVENTS[0] in peer.received and not peer.received.endswith(LAST_CHUNK) and b"xx" not in peer.received
    )


@pytest.mark.parametrize("extra", [ANSWER, b"HTTP/1.1 503 No\r\n\r\n", b"\x00\xff"])
def test_bytes_after_an_answer_harm_no_request(extra: bytes) -> None:
    rig = start_two_engine_rig(lambda _: b"HTTP/1.1 103 Early Hints\r\n\r\n" + ANSWER + extra)
    for key in ("a1", "a2"):
        peer = rig.client(chat_request(key))
        assert rig.wait_for_status(peer) == b"200" and peer.received.count(b"[DONE]") == 1


def test_slow_client_pauses_its_engine() -> None:
    """A client stops reading while its engine streams 25 MB.

    The node pauses the engine and must not buffer the stream.
    """
    rig = start_two_engine_rig(lambda _: STREAM_START)
    peer = rig.client(chat_request())
    rig.run_until(lambda: EVENTS[0] in peer.received)
    peer.transport.pauseProducing()  # type: ignore[union-attr]
    transport: Any = rig.engines[1].peers[0].transport
    for _ in range(400):
        transport.write(chunk(EVENTS[0] * 800))  # 25 MB in all, more than both sides' socket buffers
        rig.reactor.iterate(0)
    (context,) = rig.node.core.open_requests.values()
    rig.run_until(lambda: [call for call in context.in_flight.values() if call.paused])
    (channel,) = [open_channel for open_channel in rig.node.server.channels if open_channel.busy]
    buffered_bytes = len(channel.transport.dataBuffer) + channel.transport._tempDataLen
    assert buffered_bytes < 2**20 and len(transport.dataBuffer) + transport._tempDataLen > 2**20


def test_late_reactor_does_not_cut_a_stream_whose_events_have_arrived(monkeypatch: Any) -> None:
    """A node stands still for longer than a stream may be silent, and events arrive meanwhile.

    Its timers run before it reads, so the check has to wait until the events have been read.
    """
    gap_ms = 200.0
    monkeypatch.setattr(core, "MAX_STREAM_GAP_MS", gap_ms)
    rig = start_two_engine_rig(lambda _: STREAM_START)
    peer = rig.client(chat_request())
    rig.run_until(lambda: EVENTS[0] in peer.received)
    engine: Any = rig.engines[1].peers[0].transport
    engine.getHandle().send(chunk(EVENTS[1]))  # past the engine's own buffer, which the reactor would empty
    end = clock.now() + 2 * gap_ms
    while clock.now() < end:
        pass
    engine.write(chunk(EVENTS[2]) + LAST_CHUNK)
    assert rig.wait_for_status(peer) == b"200" and peer.received.count(b"[DONE]") == 1


def paused_stream(monkeypatch: Any, gap_ms: float) -> tuple[Any, Any]:
    """Starts a stream and fills its client's buffers; returns the rig and the client, which reads nothing."""
    monkeypatch.setattr(core, "MAX_STREAM_GAP_MS", gap_ms)
    rig = start_two_engine_rig(lambda _: STREAM_START)
    peer: Any = rig.client(chat_request())
    rig.run_until(lambda: EVENTS[0] in peer.received)
    peer.transport.pauseProducing()
    (context,) = rig.node.core.open_requests.values()
    engine: Any = rig.engines[1].peers[0].transport

    def send_until_paused() -> bool:
        engine.write(chunk(EVENTS[0] * 800))
        return any(call.paused for call in context.in_flight.values())

    rig.run_until(send_until_paused)
    return rig, peer


def test_stream_is_not_cut_while_its_client_reads_slowly(monkeypatch: Any) -> None:
    """A client reads nothing for longer than an engine may be silent, and then reads on.

    Whether the stream is paused at the moment of a check says nothing about its engine.
    """
    gap_ms = 100.0
    rig, peer = paused_stream(monkeypatch, gap_ms)
    end = clock.now() + 5 * gap_ms
    rig.run_until(lambda: clock.now() > end)
    rig.engines[1].peers[0].transport.write(b"".join(map(chunk, EVENTS[1:])) + LAST_CHUNK)
    peer.transport.resumeProducing()
    assert rig.wait_for_status(peer) == b"200" and peer.received.count(b"[DONE]") == 1


def test_stream_ends_when_its_client_reads_nothing_for_long(monkeypatch: Any) -> None:
    monkeypatch.setattr(attempt, "MAX_CLIENT_STALL_MS", 300.0)
    rig, peer = paused_stream(monkeypatch, 100.0)
    rig.run_until(lambda: not rig.node.core.open_requests)
    peer.transport.resumeProducing()
    rig.run_until(lambda: peer.ended)
    assert not peer.received.endswith(LAST_CHUNK)
