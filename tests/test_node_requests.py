"""Requests of clients and the attempts they lead to, against peers that send the very bytes."""

from __future__ import annotations

from typing import Any

from node_rig import ANSWER, BODY, EVENTS, LAST_CHUNK, PREFILL_REPLY, Rig, ask, rig_of_two

from worksmux.node.attempts import PrefillAttempt
from worksmux.policy.state import Attempt, Engine, Outcome, Request

FULL = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


LOST = b"HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


def test_request_reaches_prefill_and_decode_unchanged() -> None:
    rig = rig_of_two()
    peer = rig.client(ask())
    assert rig.answered(peer) == b"200"
    for engine in rig.engines:
        assert engine.asked[0].startswith(b"POST /v1/chat/completions HTTP/1.1\r\n")
        assert b"X-Request-ID: a1\r\n" in engine.asked[0] and engine.asked[0].endswith(BODY)
    assert b"".join(EVENTS) == b"".join(
        part.split(b"\r\n", 1)[1]
        for part in peer.got.split(b"\r\n\r\n", 1)[1].split(LAST_CHUNK)[0].split(b"\n\n\r\n")[:-1]
        for part in [part + b"\n\n"]
    )
    rig.idle()
    assert all(b"DELETE" not in engine.verbs() for engine in rig.engines)


def test_every_attempt_has_the_end_to_end_headers() -> None:
    """A client sends headers that the node does not interpret, among them an idempotency key by which an
    engine deduplicates.

    Every attempt carries them, and none of the hop-by-hop headers.
    """
    rig, reads = Rig(), [None, PREFILL_REPLY]
    for _ in range(2):
        rig.engine("prefill", lambda _: reads.pop(0))
    rig.engine("decode")
    rig.start()
    more = (
        "idempotency-key: 9e8c\r\nX-Trace: a\r\nX-Trace: b\r\nContent-Type: application/json; v=2\r\n"
        "X-Hop: 1\r\nConnection: keep-alive, X-Hop\r\nTE: trailers\r\n"
        "Accept-Encoding: gzip\r\nX-Bell: a\x07b\r\n"
    )
    assert rig.answered(rig.client(ask(more=more))) == b"200"
    calls = [call.lower() for engine in rig.engines for call in engine.asked if call.startswith(b"POST")]
    assert len(calls) == 3
    for call in calls:
        assert b"idempotency-key: 9e8c\r\n" in call and b"x-trace: a\r\nx-trace: b\r\n" in call
        assert call.count(b"content-type:") == call.count(b"host:") == call.count(b"x-timeout-ms:") == 1
        assert call.count(b"x-request-id: a1\r\n") == call.count(b"content-length:") == 1
        assert not any(name in call for name in (b"x-hop", b"te: tr", b"accept-encoding", b"x-bell"))


def test_late_reactor_reads_a_reply_before_the_timeout() -> None:
    later: list[Any] = []

    class Slow:
        def callLater(self, delay: float, call: Any, *args: Any) -> Any:
            later.append(call)
            return type("Timer", (), {"active": lambda self: True, "cancel": lambda self: None})()

    ends: list[Outcome] = []
    listener: Any = type(
        "Listener", (), {"on_attempt_end": lambda self, attempt, outcome, *_: ends.append(outcome)}
    )()
    attempt = Attempt(Request(1, 0, 0, 0, 1.0, 0.0, 1.0, 0.0, 1.0), Engine(b"e", 1), 0, 0.0, True)
    one = PrefillAttempt(Slow(), None, attempt, listener, 100.0, 50.0, 300)  # type: ignore[arg-type]
    later.pop()()  # its time is up, and a reply waits at the socket
    assert not ends
    one.head(202, {})
    one.done()
    later.pop()()
    assert ends == [Outcome.PREFILLED]


def test_rejection_waits_for_the_end_of_a_cancelled_attempt() -> None:
    """A non-idempotent request is rejected while its prefill is being cancelled.

    The client gets the rejection only after the engine has seen the connection close; it could retry before
    that.
    """
    rig = Rig()
    rig.engine("prefill", lambda _: b"")
    rig.engine("decode")
    rig.start()
    peer = rig.client(ask("a1", "mark", left="900"))
    rig.until(lambda: rig.engines[0].peers and rig.engines[0].peers[0].ended)
    assert not peer.got and rig.answered(peer) == b"503"


LINE, HEADER = b"POST /v1/chat/completions HTTP/1.1\r\n", b"X-Request-ID: b\r\nX-Priority-Class: chat\r\n"


BAD = [
    b"\x16\x03\x01 noise\r\n\r\n",
    b"GET\r\n\r\n",
    LINE + b"X: " + b"y" * 40000,
    (LINE + b"A: b\r\n" * 9000),
    LINE + b"Content-Length: -5\r\n\r\n",
    LINE + b"Content-Length: 99999999999999999999\r\n\r\n",
    LINE + b"Content-Length: 60000000\r\n\r\n" + b"x" * 1000,
    LINE + b"Content-Length: x\r\n\r\n",
    ask().replace(b"chat\r\nX-R", b"none\r\nX-R"),
    ask(left="soon"),
    ask(left="-1"),
    ask(left="9" * 30),
    ask().replace(b"X-Request-ID: a1\r\n", b""),
    ask("a/../b"),
    ask("a" * 500),
    ask(body=b"{junk"),
    ask(body=b"[]"),
    ask(body=b'{"messages":[]}'),
    ask().replace(b"prompt_len=500", b"prompt_len=-1"),
    ask(more="X-Request-ID: c\r\n"),
    ask(more="Transfer-Encoding: chunked\r\n"),
    ask(more="Transfer-Encoding: identity\r\n"),
    ask(more="Content-Length: 5\r\n"),
    ask(more="A b: c\r\n"),
    b"PUT /v1/chat/completions HTTP/1.1\r\n\r\n",
    b"GET /elsewhere HTTP/1.1\r\n\r\n",
]


def test_invalid_request_is_rejected_and_reaches_no_engine() -> None:
    rig = rig_of_two()
    for data in BAD:
        peer = rig.client(data)
        assert rig.answered(peer)[:1] in (b"4", b"5", b""), data[:200]
        rig.until(lambda peer=peer: peer.ended)
    assert not rig.engines[0].asked and not rig.engines[1].asked
    assert rig.answered(rig.client(ask())) == b"200"


def test_id_of_an_open_request_is_rejected() -> None:
    rig = rig_of_two(lambda _: b"")
    first = rig.client(ask())
    rig.until(lambda: rig.engines[1].asked)
    assert rig.answered(rig.client(ask())) == b"409" and not first.got
    rig.engines[1].peers[0].transport.write(ANSWER)  # type: ignore[union-attr]
    assert rig.answered(first) == b"200"


def test_partial_request_and_idle_connection_time_out() -> None:
    rig = rig_of_two()
    rig.node.server.request_timeout_ms, rig.node.server.keep_alive_ms = 200.0, 150.0
    half, silent = rig.client(ask()[:200]), rig.client()
    rig.until(lambda: half.ended and silent.ended, 2.0)
    assert half.got[9:12] == b"408" and not silent.got and not rig.node.core.open_requests


def test_idle_connections_make_room_for_new_ones() -> None:
    rig = rig_of_two(lambda _: b"", sockets=64)
    asking = rig.client(ask())
    rig.until(lambda: rig.engines[1].asked)
    silent = [rig.client() for _ in range(rig.node.server.max_connections + 10)]
    late = [rig.client(ask(f"b{at}")) for at in range(3)]
    rig.until(lambda: rig.node.core.last_request_id == 4)
    assert not asking.ended and not any(peer.ended for peer in late) and any(peer.ended for peer in silent)
    for at in range(rig.node.server.max_connections):  # nobody is silent any more: the idle go, not the new
        assert rig.answered(rig.client(b"GET /up HTTP/1.1\r\n\r\n")) == b"200", at
    assert len(rig.node.server.channels) <= rig.node.server.max_connections


def test_full_decode_engine_is_replaced_and_lost_kv_cache_redone() -> None:
    for first, reads in ((FULL, 1), (LOST, 2)):
        answers = iter([first, ANSWER])
        rig = Rig()
        rig.engine("prefill")
        for _ in range(2):
            rig.engine("decode", lambda _, answers=answers: next(answers))  # type: ignore[misc]
        rig.start()
        assert rig.answered(rig.client(ask("a1", "mark"))) == b"200"
        assert rig.engines[0].verbs().count(b"POST") == reads
