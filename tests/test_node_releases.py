"""KV cache releases, against engines with scripted bytes."""

from __future__ import annotations

from node_rig import (
    ANSWER,
    PREFILL_REPLY,
    Peer,
    Rig,
    UnacceptingListener,
    chat_request,
    start_two_engine_rig,
)
from twisted.internet.protocol import Factory

from worksmux.net.loop import listen
from worksmux.policy.state import Engine


def test_release_arrives_before_the_prefill_that_follows() -> None:
    """A prefill breaks, and another one is started for the same request.

    The release for the first is acknowledged before the second is written, and no other release is sent until
    the answer is complete: a release also frees the KV cache of the second prefill, at every engine.
    """
    rig, replies, order = Rig(), [None, PREFILL_REPLY], []  # type: Rig, list[bytes | None], list[str]

    def prefill(request: bytes) -> bytes | None:
        order.append("prefill")
        return replies.pop(0)

    prefill_engines = [rig.engine("prefill", prefill) for _ in range(2)]
    decode_engine = rig.engine("decode", lambda _: order.append("decode") or ANSWER)  # type: ignore[func-returns-value]
    for engine in rig.engines:
        engine.on_release = lambda: order.append("release")
    rig.start()
    peer = rig.client(chat_request())
    rig.run_until(lambda: b"[DONE]" in peer.received)
    assert order[:4] == ["prefill", "release", "prefill", "decode"]
    rig.wait_until_idle()
    broken = next(engine for engine in prefill_engines if engine.peers[0].ended)
    assert b"DELETE" in broken.methods() and decode_engine.methods().count(b"POST") == 1


def test_release_is_acknowledged_by_another_engine() -> None:
    """A prefill engine dies after it has reset the attempt.

    The release is sent to another engine, and one acknowledgement is enough.
    """
    rig = Rig()
    rig.engine("prefill", lambda _: rig.engines[0].port.stopListening() and None)
    rig.engine("decode")
    rig.start()
    peer = rig.client(chat_request(time_left="600"))
    rig.wait_for_status(peer)
    rig.run_until(lambda: b"DELETE" in rig.engines[1].methods())
    rig.wait_until_idle()  # one acknowledgement is enough


def test_release_ends_although_the_port_of_a_dead_engine_is_reused() -> None:
    """A prefill engine dies, and another process is given its port on the usual loopback address.

    The listener of that process accepts connections and never answers.  Calls to the dead engine must still
    be refused, so that its claim ends.
    """
    rig = Rig()

    def die(_: bytes) -> None:
        engine, factory = rig.engines[0], Factory.forProtocol(Peer)  # type: ignore[arg-type]
        stopped = engine.port.stopListening()
        stopped.addCallback(lambda _: listen(rig.reactor, ("127.0.0.1", engine.port_number), factory))

    rig.engine("prefill", die)
    rig.engine("decode")
    rig.start()
    peer = rig.client(chat_request(time_left="600"))
    rig.wait_for_status(peer)
    rig.run_until(lambda: b"DELETE" in rig.engines[1].methods())
    rig.wait_until_idle()


def test_release_prefers_zones_not_tried_and_its_own() -> None:
    rig = start_two_engine_rig()
    core = rig.node.core
    first, *rest = [
        Engine(b"%d" % zone, index, zone=zone, state="ready") for index, zone in enumerate((1, 1, 2, 0))
    ]
    for engine in list(core.pools):
        core.release_targets.remove(engine)
    for engine in (first, rest[2], rest[1], rest[0]):  # the engine in the own zone answered longest ago
        core.address_changed(engine, "127.0.0.1", 1)
        core.pools[engine].on_response()
    tried = {first}
    for expected in (rest[2], rest[1], rest[0]):
        assert core.release_targets.choose(tried) is expected
        tried.add(expected)


def test_release_is_sent_while_an_attempt_is_connecting() -> None:
    """A prefill breaks, and the next attempt's connection is not established, as its engine is cut off.

    The release is sent meanwhile; waiting for attempts that never arrive would delay it forever.
    """
    rig, unreachable = Rig(), UnacceptingListener()
    prefill_engines = [rig.engine("prefill", lambda _: None) for _ in range(2)]
    rig.engine("decode")
    rig.start()
    peer = rig.client(chat_request())
    rig.run_until(lambda: any(engine.requests for engine in prefill_engines))
    (broken, other) = sorted(prefill_engines, key=lambda engine: not engine.requests)
    for engine, pool in rig.node.core.pools.items():
        if engine.id.decode() == other.name:
            pool.port = unreachable.port
    broken.script = lambda _: b""
    rig.run_until(lambda: b"DELETE" in broken.methods())
    (context,) = rig.node.core.open_requests.values()
    assert [call.call.is_connected for call in context.in_flight.values()] == [False] and not peer.received
    unreachable.close()


def test_client_disconnect_ends_its_attempt_and_releases() -> None:
    rig = start_two_engine_rig(lambda _: b"")
    peer = rig.client(chat_request())
    rig.run_until(lambda: rig.engines[1].requests)
    peer.transport.abortConnection()  # type: ignore[union-attr]
    rig.run_until(lambda: rig.engines[1].peers[0].ended)
    rig.wait_until_idle()
    assert b"DELETE" in rig.engines[0].methods()
