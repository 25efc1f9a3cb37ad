"""A front node's protocol, clients, trips, releases, discovery and limits, against peers that send the very
bytes."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import pytest
import structlog
from hypothesis import given
from hypothesis import strategies as st
from node_rig import (
    ANSWER,
    BODY,
    EVENTS,
    LAST,
    READ,
    SETTINGS,
    STREAM,
    Hosts,
    Rig,
    Silent,
    ask,
    chunk,
)

from worksmux.endpoints.list_reader import ListKeeper
from worksmux.forwarding.decision_loop import SLOW_TURN
from worksmux.net import clock
from worksmux.node import config, discovery, protocol, serve
from worksmux.node.attempts import PrefillAttempt
from worksmux.node.endpoint_list import Endpoint, HostList, listing
from worksmux.node.serve import Node
from worksmux.policy.events import AttemptEnded, EndpointEntry, EndpointListUpdate, RequestArrived, TimerFired
from worksmux.policy.id_map import Door
from worksmux.policy.state import Attempt, Engine, Outcome, Request

FULL = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
LOST = b"HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


# Configuration and lists.


def told(**values: Any) -> bytes:
    return json.dumps(values).encode()


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"", "0 bytes: whole JSON was expected"),
        (b'{"settings": {"limits"', "22 bytes: whole JSON was expected"),
        (b'{"name": "n"}', "`settings`"),
        (told(settings={**SETTINGS, "limits": 3}), "$.settings.limits: an object was expected"),
        (told(settings={**SETTINGS, "services": [{}]}), "$.settings.services[0].aim: a number"),
        (told(settings=SETTINGS, name="n", listen="x"), "$.listen: an address host:port"),
        (told(settings=SETTINGS, name=7), "$.name"),
    ],
)
def test_wrong_configuration_names_file_place_and_what_was_expected(data: bytes, expected: str) -> None:
    with pytest.raises(config.BadConfig) as error:
        config.read(data, "c.json", {})
    text = str(error.value)
    assert text.startswith("c.json: ") and expected in text and "\n" not in text


def config_of(settings: dict[str, Any]) -> config.Config:
    return config.read(
        told(settings=settings, name="n", listen="127.0.0.1:1", discovery="127.0.0.1:2"), "c.json", {}
    )


def paths(told: Any, at: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Places of all values in a JSON object."""
    inner = told.items() if isinstance(told, dict) else enumerate(told) if isinstance(told, list) else ()
    return (
        [at, *(place for key, value in inner for place in paths(value, (*at, key)))]
        if at
        else [place for key, value in inner for place in paths(value, (key,))]
    )


MISSING = object()


@pytest.mark.parametrize("value", [MISSING, None, "x", -1, 0, 1e308, [], {}, True, [[]]], ids=repr)
def test_setting_that_is_missing_or_strange_is_refused_by_its_place_or_served_with(value: Any) -> None:
    """Guards against a traceback as the answer to a configuration, and against a module that fails by it."""
    for place in paths(SETTINGS):
        settings = json.loads(json.dumps(SETTINGS))
        inner = settings
        for key in place[:-1]:
            inner = inner[key]
        if value is not MISSING:
            inner[place[-1]] = value
        elif isinstance(inner, dict):
            del inner[place[-1]]
        try:
            told_to = config_of(settings)
        except config.BadConfig as error:
            assert str(error).startswith("c.json: $.settings"), (place, error)
            continue
        door = Door(told_to.settings, 1)
        engines = [door.engine(name, at + 1) for at, name in enumerate((b"r", b"w"))]
        entries = [
            EndpointEntry(engine, "ready", 0.0, 0, 0, kind, 1.0)
            for kind, engine in enumerate(engines)
            if kind < len(told_to.kinds)
        ]
        request = Request(1, 0, 1, 0, 500.0, 0.0, 80.0, 1000.0, 4000.0)
        door.decide(1000.0, [EndpointListUpdate("full", entries), door.arrived(request)])
        for at in range(1, 8):
            ends = [
                AttemptEnded(attempt, Outcome.READ if attempt.reading else Outcome.RESET, 5.0, False)
                for attempt in request.out
            ]
            door.decide(1000.0 + 600 * at, [*ends, TimerFired(0)])


def test_settings_without_zones_have_one() -> None:
    """Guards against engines left out of a fleet whose settings name no zones."""
    unnamed = {key: value for key, value in SETTINGS.items() if key != "zones"}
    for settings in (unnamed, {**unnamed, "zones": []}):
        told_to = config_of(settings)
        keeper = ListKeeper(told_to.kinds, told_to.zones, lambda name: Engine(name.encode(), 1))
        for zone in ("", "a", "b"):
            endpoint = Endpoint(f"e{zone}", "127.0.0.1:3", zone, "decode")
            event = keeper.take(1.0, listing(HostList(1, True, [endpoint]), 0, 0.0)[0]).event
            assert event is not None
            assert [(entry.state, entry.zone) for entry in event.entries] == [("ready", 0)]


def test_missing_configuration_is_told_and_variables_fill_in(tmp_path: Any) -> None:
    with pytest.raises(config.BadConfig, match="LB_CONFIG"):
        config.load({})
    with pytest.raises(config.BadConfig, match="none.json"):
        config.load({"LB_CONFIG": str(tmp_path / "none.json")})
    (tmp_path / "c.json").write_text(json.dumps({"settings": SETTINGS}))
    found = config.load(
        {
            "LB_CONFIG": str(tmp_path / "c.json"),
            "LB_NAME": "n3",
            "LB_LISTEN": "127.0.0.1:3000",
            "LB_DISCOVERY": "127.0.0.1:8500",
        }
    )
    assert (found.name, found.listen, found.request_classes) == ("n3", ("127.0.0.1", 3000), ["chat", "mark"])


def test_entries_that_make_no_sense_are_left_out_and_told() -> None:
    hosts = [
        Endpoint("a", "127.0.0.1:1"),
        Endpoint("b", "nowhere"),
        Endpoint("c", "h:1", status="?"),
        Endpoint("d", status="DELETED"),
    ]
    made, notes = listing(HostList(5, False, hosts), 4, 1000.0)
    assert [(line.id, line.state) for line in made.engines] == [("a", "ready"), ("d", "gone")]
    assert len(notes) == 2


# Streams.


@given(st.lists(st.integers(0, len(b"".join(EVENTS))), max_size=6))
def test_stream_is_passed_on_unchanged_wherever_it_is_cut(cuts: list[int]) -> None:
    whole, stream = b"".join(EVENTS), protocol.Stream(1000)
    places = [0, *sorted(cuts), len(whole)]
    given_on = b"".join(stream.feed(whole[a:b]) for a, b in zip(places, places[1:], strict=False))
    assert given_on == whole and stream.done and not stream.cut


@pytest.mark.parametrize(
    "junk", [b"data: {junk\n\n", b"\r\n3f\r\ndata: {}\n\n", b"\x00\xff\n\n", b"x" * 2000]
)
def test_noise_among_events_spoils_a_stream_and_keeps_what_came_before(junk: bytes) -> None:
    stream = protocol.Stream(1000)
    with pytest.raises(protocol.Spoilt) as fault:
        stream.feed(EVENTS[0] + junk)
    assert fault.value.args[1] == EVENTS[0]


def test_load_report_stands_in_a_comment_and_may_be_unreadable() -> None:
    stream = protocol.Stream(1000)
    data = EVENTS[0] + b": X-Server-Load: inflight=2\n" + EVENTS[2] + b": X-Server-Load: \xff"
    assert stream.feed(data) == EVENTS[0] + EVENTS[2]
    assert stream.report == "inflight=2" and not stream.cut
    assert protocol.load_report("inflight=\xff", ["inflight"]) is None


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\n\r\n"])
def test_each_event_goes_on_with_its_last_byte_whatever_ends_its_lines(end: bytes) -> None:
    """Guards against events that are held back until the next one, or until the stream is over."""
    stream = protocol.Stream(1000)
    for event in EVENTS:
        data = event.strip() + end
        assert [stream.feed(data[at : at + 1]) for at in range(len(data))][-1] == data
    assert stream.done and not stream.cut


# Trips.


def rig_of_two(writer: Any = None, sockets: int = 256) -> Rig:
    rig = Rig(sockets)
    rig.engine("prefill")
    rig.engine("decode", writer)
    return rig.start()


def test_request_is_read_and_written_with_id_and_body_unchanged() -> None:
    rig = rig_of_two()
    peer = rig.client(ask())
    assert rig.answered(peer) == b"200"
    for engine in rig.engines:
        assert engine.asked[0].startswith(b"POST /v1/chat/completions HTTP/1.1\r\n")
        assert b"X-Request-ID: a1\r\n" in engine.asked[0] and engine.asked[0].endswith(BODY)
    assert b"".join(EVENTS) == b"".join(
        part.split(b"\r\n", 1)[1]
        for part in peer.got.split(b"\r\n\r\n", 1)[1].split(LAST)[0].split(b"\n\n\r\n")[:-1]
        for part in [part + b"\n\n"]
    )
    rig.idle()
    assert all(b"DELETE" not in engine.verbs() for engine in rig.engines)


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


def test_every_attempt_carries_the_end_to_end_fields_of_its_client() -> None:
    """Guards against a request that is not as its client sent it: an engine that remembers what has run goes
    by a field that this program does not read."""
    rig, reads = Rig(), [None, READ]
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


def test_client_that_leaves_ends_its_attempt_and_what_it_held_is_let_go() -> None:
    rig = rig_of_two(lambda _: b"")
    peer = rig.client(ask())
    rig.until(lambda: rig.engines[1].asked)
    peer.transport.abortConnection()  # type: ignore[union-attr]
    rig.until(lambda: rig.engines[1].peers[0].ended)
    rig.idle()
    assert b"DELETE" in rig.engines[0].verbs()


def test_client_that_reads_slowly_slows_its_engine_and_not_the_memory() -> None:
    rig = rig_of_two(lambda _: GOOD)
    peer = rig.client(ask())
    rig.until(lambda: EVENTS[0] in peer.got)
    peer.transport.pauseProducing()  # type: ignore[union-attr]
    wire: Any = rig.engines[1].peers[0].transport
    for _ in range(400):
        wire.write(chunk(EVENTS[0] * 800))  # 25 MB in all: more than the sockets of both sides hold
        rig.reactor.iterate(0)
    (case,) = rig.node.core.cases.values()
    rig.until(lambda: [carrier for carrier in case.out.values() if carrier.paused])
    (channel,) = [one for one in rig.node.server.channels if one.busy]
    held = len(channel.transport.dataBuffer) + channel.transport._tempDataLen
    assert held < 2**20 and len(wire.dataBuffer) + wire._tempDataLen > 2**20


def test_late_reactor_hears_what_has_come_before_it_calls_time() -> None:
    later: list[Any] = []

    class Slow:
        def callLater(self, delay: float, call: Any, *args: Any) -> Any:
            later.append(call)
            return type("Timer", (), {"active": lambda self: True, "cancel": lambda self: None})()

    ends: list[Outcome] = []
    told: Any = type("Listener", (), {"ended": lambda self, attempt, outcome, *_: ends.append(outcome)})()
    attempt = Attempt(Request(1, 0, 0, 0, 1.0, 0.0, 1.0, 0.0, 1.0), Engine(b"e", 1), 0, 0.0, True)
    one = PrefillAttempt(Slow(), None, attempt, told, 100.0, 50.0, 300)  # type: ignore[arg-type]
    later.pop()()  # its time is up, and a reply waits at the socket
    assert not ends
    one.head(202, {})
    one.done()
    later.pop()()
    assert ends == [Outcome.READ]


# Releases.


def test_no_release_overtakes_a_read_that_follows_a_broken_one() -> None:
    """Guards against a release that lets go, at whichever engine, of what the second read brings: it is heard
    before that read is written, and none comes until the answer is over."""
    rig, reads, order = Rig(), [None, READ], []  # type: Rig, list[bytes | None], list[str]

    def read(request: bytes) -> bytes | None:
        order.append("read")
        return reads.pop(0)

    readers = [rig.engine("prefill", read) for _ in range(2)]
    writer = rig.engine("decode", lambda _: order.append("write") or ANSWER)  # type: ignore[func-returns-value]
    for engine in rig.engines:
        engine.on_release = lambda: order.append("release")
    rig.start()
    peer = rig.client(ask())
    rig.until(lambda: b"[DONE]" in peer.got)
    assert order[:4] == ["read", "release", "read", "write"]
    rig.idle()
    broken = next(engine for engine in readers if engine.peers[0].ended)
    assert b"DELETE" in broken.verbs() and writer.verbs().count(b"POST") == 1


def test_release_is_heard_by_another_engine_where_its_own_is_gone() -> None:
    rig = Rig()
    rig.engine("prefill", lambda _: rig.engines[0].port.stopListening() and None)
    rig.engine("decode")
    rig.start()
    peer = rig.client(ask(left="600"))
    rig.answered(peer)
    rig.until(lambda: b"DELETE" in rig.engines[1].verbs())
    rig.idle()  # one engine has heard: that is enough


def test_release_turns_to_zones_that_were_not_asked_this_nodes_own_first() -> None:
    rig = rig_of_two()
    core = rig.node.core
    first, *rest = [
        Engine(b"%d" % zone, at, zone=zone, state="ready") for at, zone in enumerate((1, 1, 2, 0))
    ]
    for engine in list(core.pools):
        core.contacts.forget(engine)
    for engine in (first, rest[2], rest[1], rest[0]):  # the one in its own zone longest ago
        core.moved(engine, "127.0.0.1", 1)
        core.pools[engine].on_heard()
    asked = {first}
    for expected in (rest[2], rest[1], rest[0]):
        assert core.contacts.other(asked) is expected
        asked.add(expected)


def test_release_goes_out_while_a_attempt_only_waits_for_its_connection() -> None:
    """Guards against a release put off by trips that never arrive, such as into a zone that is cut off."""
    rig, silent = Rig(), Silent()
    readers = [rig.engine("prefill", lambda _: None) for _ in range(2)]
    rig.engine("decode")
    rig.start()
    peer = rig.client(ask())
    rig.until(lambda: any(engine.asked for engine in readers))
    (broken, other) = sorted(readers, key=lambda engine: not engine.asked)
    for engine, pool in rig.node.core.pools.items():
        if engine.id.decode() == other.name:
            pool.port = silent.port
    broken.script = lambda _: b""
    rig.until(lambda: b"DELETE" in broken.verbs())
    (case,) = rig.node.core.cases.values()
    assert [carrier.call.up for carrier in case.out.values()] == [False] and not peer.got
    silent.close()


def test_deferral_of_an_irreversible_request_waits_until_its_attempt_is_seen_to_end() -> None:
    """Guards against a deferral that the client reads before the engine sees its read called off."""
    rig = Rig()
    rig.engine("prefill", lambda _: b"")
    rig.engine("decode")
    rig.start()
    peer = rig.client(ask("a1", "mark", left="900"))
    rig.until(lambda: rig.engines[0].peers and rig.engines[0].peers[0].ended)
    assert not peer.got and rig.answered(peer) == b"503"


def test_engines_that_are_replaced_all_day_are_forgotten() -> None:
    rig = rig_of_two()
    door, discovery = rig.node.core.door, rig.node.discovery
    for at in range(50):
        entry = {**rig.engines[1].entry(), "name": f"x{at}"}
        gone = {**entry, "name": f"x{at - 1}", "status": "DELETED"}
        discovery.watching.piece(
            json.dumps({"index": 2 + at, "snapshot": False, "endpoints": [entry, gone]}).encode() + b"\n"
        )
        door.module.now += 60_000.0
        for engine in door.module.engines:
            engine.left -= 60_000.0  # a minute goes by
        rig.until(lambda at=at: f"x{at}".encode() in [engine.id for engine in door.module.engines])
    assert (
        max(
            len(door.engines), len(door.module.engines), len(rig.node.core.pools), len(discovery.keeper.known)
        )
        < 8
    )


# Clients.

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


def test_what_is_no_request_gets_an_error_or_a_close_and_reaches_no_engine() -> None:
    rig = rig_of_two()
    for data in BAD:
        peer = rig.client(data)
        assert rig.answered(peer)[:1] in (b"4", b"5", b""), data[:200]
        rig.until(lambda peer=peer: peer.ended)
    assert not rig.engines[0].asked and not rig.engines[1].asked
    assert rig.answered(rig.client(ask())) == b"200"


def test_id_of_an_open_request_is_refused_and_the_request_goes_on() -> None:
    rig = rig_of_two(lambda _: b"")
    first = rig.client(ask())
    rig.until(lambda: rig.engines[1].asked)
    assert rig.answered(rig.client(ask())) == b"409" and not first.got
    rig.engines[1].peers[0].transport.write(ANSWER)  # type: ignore[union-attr]
    assert rig.answered(first) == b"200"


def test_half_a_request_and_silence_end_within_their_time() -> None:
    rig = rig_of_two()
    rig.node.server.request_timeout_ms, rig.node.server.keep_alive_ms = 200.0, 150.0
    half, silent = rig.client(ask()[:200]), rig.client()
    rig.until(lambda: half.ended and silent.ended, 2.0)
    assert half.got[9:12] == b"408" and not silent.got and not rig.node.core.cases


def test_silent_connections_make_room_for_those_that_ask() -> None:
    rig = rig_of_two(lambda _: b"", sockets=64)
    asking = rig.client(ask())
    rig.until(lambda: rig.engines[1].asked)
    silent = [rig.client() for _ in range(rig.node.server.max_connections + 10)]
    late = [rig.client(ask(f"b{at}")) for at in range(3)]
    rig.until(lambda: rig.node.core.number == 4)
    assert not asking.ended and not any(peer.ended for peer in late) and any(peer.ended for peer in silent)
    for at in range(rig.node.server.max_connections):  # nobody is silent any more: the idle go, not the new
        assert rig.answered(rig.client(b"GET /up HTTP/1.1\r\n\r\n")) == b"200", at
    assert len(rig.node.server.channels) <= rig.node.server.max_connections


# Start, end, discovery.


def test_engine_that_started_lately_is_cold_by_an_old_list_too() -> None:
    rig = Rig()
    old, young = rig.engine("prefill"), rig.engine("prefill")
    usual = young.entry
    young.entry = lambda status="SERVING": {**usual(status), "since_ms": clock.wall() - 1000.0}  # type: ignore[method-assign]
    rig.start()
    door = rig.node.core.door
    rig.until(lambda: door.module.engines)
    assert [engine.id.decode() for engine in door.module.index.cold] == [young.name] != [old.name]


def test_stop_closes_the_idle_answers_the_open_and_ends() -> None:
    rig = rig_of_two(lambda _: b"")
    ends: list[bool] = []
    rig.node.on_end = lambda: ends.append(True)
    idle, out = rig.client(b"GET /up HTTP/1.1\r\n\r\n"), rig.client(ask())
    assert rig.answered(idle) == b"200"
    rig.until(lambda: rig.engines[1].asked)
    rig.node.stop()
    rig.until(lambda: idle.ended)
    rig.engines[1].script = lambda _: ANSWER
    late = rig.client(ask("a2"))  # a connection may still come for a while
    assert rig.answered(late) == b"200" and not ends
    rig.engines[1].peers[0].transport.write(ANSWER)  # type: ignore[union-attr]
    assert rig.answered(out) == b"200"
    rig.until(lambda: ends and late.ended and out.ended)


def test_discovery_is_followed_to_a_new_address_while_the_old_one_speaks() -> None:
    rig = rig_of_two()
    old, rig.hosts = rig.hosts, Hosts(rig, first=b"")
    rig.node.discovery.move(("127.0.0.1", rig.hosts.number))
    rig.until(lambda: rig.hosts.watches)
    old.tell(2, rig.engines[1].entry("DRAINING"))
    states = rig.node.core.pools.keys
    rig.until(lambda: [engine.state for engine in states()] == ["ready", "draining"])
    rig.hosts.tell(3, rig.engines[0].entry("DRAINING"))
    rig.until(lambda: old.watches[0].ended and all(engine.state == "draining" for engine in states()))


def test_no_request_is_taken_before_discoverys_first_word_is_heard() -> None:
    """Guards against a job sent by the list of an earlier life to an engine that left meanwhile."""
    rig = Rig()
    leaving, staying = rig.engine("prefill"), rig.engine("prefill")
    rig.engine("decode")
    line = json.dumps({"index": 2, "snapshot": False, "endpoints": [leaving.entry("DRAINING")]}).encode()
    rig.hosts.first = chunk(line + b"\n")
    node = rig.node = Node(rig.config(), rig.reactor)
    node.start()
    assert node.listener is None and not node.clients.ready
    rig.until(lambda: node.listener)
    for at in range(4):
        assert rig.answered(rig.client(ask(f"a{at}"))) == b"200"
    assert "POST" not in str(leaving.verbs()) and staying.verbs().count(b"POST") == 4


def first_word(rig: Rig) -> tuple[bytes, list[int]]:
    """A first word that drains an engine; which index the node has when it begins to serve is gathered."""
    leaving = rig.engine("prefill")
    rig.engine("decode")
    told = {"index": 2, "snapshot": False, "endpoints": [leaving.entry("DRAINING")]}
    rig.node = Node(rig.config(), rig.reactor)
    served_by: list[int] = []
    rig.node.on_serving = lambda: served_by.append(rig.node.discovery.index)
    return json.dumps(told).encode() + b"\n", served_by


def test_node_that_is_late_itself_hears_the_first_word_before_it_serves() -> None:
    """Guards against a wait that is over as soon as a long last list is taken up, before anything is read."""
    rig = Rig()
    line, served_by = first_word(rig)
    rig.hosts.first = chunk(line)
    decide = rig.node.core.door.module.decide

    def slowly(now: float, events: list[Any]) -> list[Any]:
        end = clock.now() + 2 * serve.FIRST_WORD
        while events and clock.now() < end:
            pass
        return list(decide(now, events))

    rig.node.core.door.module.decide = slowly
    rig.node.start()
    rig.until(lambda: rig.node.listener)
    assert served_by == [2]


def test_node_waits_for_a_first_word_that_has_begun_to_come() -> None:
    """Guards against a long list that takes longer to read than a silent discovery is waited for."""
    rig = Rig()
    line, served_by = first_word(rig)
    rig.hosts.first = chunk(line[:20])
    rig.node.start()
    rig.until(lambda: rig.hosts.watches)
    begun = clock.now()
    rig.until(lambda: clock.now() > begun + 2 * serve.FIRST_WORD)
    assert rig.node.listener is None
    rig.hosts.watches[0].transport.write(chunk(line[20:]))  # type: ignore[union-attr]
    rig.until(lambda: rig.node.listener)
    assert served_by == [2]


def test_node_serves_where_a_first_word_never_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(serve, "LONGEST_FIRST_WORD", 2 * serve.FIRST_WORD)
    rig = Rig()
    line, served_by = first_word(rig)
    rig.hosts.first = chunk(line[:20])
    rig.node.start()
    rig.until(lambda: rig.node.listener)
    assert served_by == [1]


def test_node_serves_by_its_last_list_where_discovery_says_nothing() -> None:
    rig = Rig()
    rig.hosts.first = b""
    rig.engine("prefill")
    rig.engine("decode")
    assert rig.answered(rig.start().client(ask())) == b"200"


def test_lost_watch_is_opened_again_and_nonsense_asks_for_the_whole_list() -> None:
    rig = rig_of_two()
    rig.hosts.watches[0].transport.abortConnection()  # type: ignore[union-attr]
    rig.until(lambda: len(rig.hosts.watches) == 2)
    rig.hosts.watches[1].transport.write(chunk(b"{nonsense\n"))  # type: ignore[union-attr]
    rig.until(lambda: len(rig.hosts.watches) == 3)
    rig.hosts.tell(9, rig.engines[0].entry(), snapshot=True)
    rig.until(lambda: [engine.state for engine in rig.node.core.pools] == ["ready", "gone"])


def test_full_writer_hands_on_and_lost_state_is_read_anew() -> None:
    for first, reads in ((FULL, 1), (LOST, 2)):
        answers = iter([first, ANSWER])
        rig = Rig()
        rig.engine("prefill")
        for _ in range(2):
            rig.engine("decode", lambda _, answers=answers: next(answers))  # type: ignore[misc]
        rig.start()
        assert rig.answered(rig.client(ask("a1", "mark"))) == b"200"
        assert rig.engines[0].verbs().count(b"POST") == reads


@pytest.fixture
def logged() -> Iterator[list[Any]]:
    """Every line of the log, whatever an earlier test has set it up to."""
    before = structlog.get_config()
    structlog.reset_defaults()
    with structlog.testing.capture_logs() as lines:
        yield lines
    structlog.configure(**before)


def test_log_tells_why_attempts_ended_why_requests_were_refused_and_what_took_long(logged: list[Any]) -> None:
    rig = Rig()
    prefill = rig.engine("prefill", lambda _: None)  # it resets each attempt
    rig.engine("decode")
    rig.start()
    decide = rig.node.core.door.module.decide

    def slowly(now: float, events: list[Any]) -> list[Any]:
        end = clock.now() + 2 * SLOW_TURN
        while events and isinstance(events[0], RequestArrived) and clock.now() < end:
            pass
        return list(decide(now, events))

    rig.node.core.door.module.decide = slowly
    client = rig.client(ask())
    assert rig.answered(client) == b"503"
    rig.idle()
    (request,) = [line for line in logged if line["event"] == "job"]
    assert request["why"]
    assert prefill.verbs().count(b"POST") == len(request["attempts"])
    assert all("ended" in attempt["why"] for attempt in request["attempts"])
    (slow,) = [line for line in logged if line["event"] == "a turn took long"]
    assert slow["events"] == {"RequestArrived": 1}
    assert slow["engines"] == 2
    assert slow["processor_ms"] > SLOW_TURN / 2


def test_log_has_few_lines_for_thousands_of_engines_that_the_settings_do_not_know(logged: list[Any]) -> None:
    rig = Rig()
    rig.engine("prefill")
    rig.engine("decode")
    rig.start()
    strange = [rig.engines[0].entry() | {"name": f"s{at}", "type": "other"} for at in range(3000)]
    with structlog.testing.capture_logs() as lines:
        rig.hosts.tell(2, *strange)
        rig.until(lambda: rig.node.discovery.index == 2)
    assert len(lines) == discovery.MOST_NOTES + 2
    assert [line["notes_left_out"] for line in lines if "notes_left_out" in line] == [
        3000 - discovery.MOST_NOTES
    ]
    assert rig.answered(rig.client(ask())) == b"200"
