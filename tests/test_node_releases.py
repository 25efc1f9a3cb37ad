"""Releases of KV cache, against engines that send the very bytes."""

from __future__ import annotations

from node_rig import ANSWER, READ, Rig, Silent, ask, rig_of_two

from worksmux.policy.state import Engine


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
        core.release_targets.remove(engine)
    for engine in (first, rest[2], rest[1], rest[0]):  # the one in its own zone longest ago
        core.address_changed(engine, "127.0.0.1", 1)
        core.pools[engine].on_heard()
    asked = {first}
    for expected in (rest[2], rest[1], rest[0]):
        assert core.release_targets.choose(asked) is expected
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
    (case,) = rig.node.core.open_requests.values()
    assert [carrier.call.up for carrier in case.in_flight.values()] == [False] and not peer.got
    silent.close()


def test_client_that_leaves_ends_its_attempt_and_what_it_held_is_let_go() -> None:
    rig = rig_of_two(lambda _: b"")
    peer = rig.client(ask())
    rig.until(lambda: rig.engines[1].asked)
    peer.transport.abortConnection()  # type: ignore[union-attr]
    rig.until(lambda: rig.engines[1].peers[0].ended)
    rig.idle()
    assert b"DELETE" in rig.engines[0].verbs()
