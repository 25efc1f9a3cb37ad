"""Start, discovery and shutdown of a node."""

from __future__ import annotations

import json
from typing import Any

import pytest
from node_rig import ANSWER, SETTINGS, Hosts, Rig, ask, chunk, rig_of_two

from worksmux.net import clock
from worksmux.node import serve
from worksmux.node.serve import Node


def test_recently_started_engine_is_cold_by_a_restored_list() -> None:
    rig = Rig()
    old, young = rig.engine("prefill"), rig.engine("prefill")
    usual = young.entry
    young.entry = lambda status="SERVING": {**usual(status), "since_ms": clock.wall() - 1000.0}  # type: ignore[method-assign]
    rig.start()
    id_map = rig.node.core.id_map
    rig.until(lambda: id_map.policy.engines)
    assert [engine.id.decode() for engine in id_map.policy.index.cold_engines] == [young.name] != [old.name]


def test_shutdown_answers_open_requests_and_closes_idle_connections() -> None:
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


def test_discovery_moves_to_a_new_address_without_a_gap() -> None:
    rig = rig_of_two()
    old, rig.hosts = rig.hosts, Hosts(rig, first=b"")
    rig.node.discovery.move(("127.0.0.1", rig.hosts.port_number))
    rig.until(lambda: rig.hosts.watches)
    old.tell(2, rig.engines[1].entry("DRAINING"))
    states = rig.node.core.pools.keys
    rig.until(lambda: [engine.state for engine in states()] == ["ready", "draining"])
    rig.hosts.tell(3, rig.engines[0].entry("DRAINING"))
    rig.until(lambda: old.watches[0].ended and all(engine.state == "draining" for engine in states()))


def test_node_serves_only_after_the_first_discovery_event() -> None:
    """A node starts with an old endpoint list, and an engine of it has begun to drain since.

    The node serves only after the first event of discovery, so that no request goes to that engine.
    """
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


def first_event(rig: Rig) -> tuple[bytes, list[int]]:
    """A first event that drains an engine, and a list that gets the node's list index when it starts to
    serve."""
    leaving = rig.engine("prefill")
    rig.engine("decode")
    hosts = {"index": 2, "snapshot": False, "endpoints": [leaving.entry("DRAINING")]}
    rig.node = Node(rig.config(), rig.reactor)
    served_by: list[int] = []
    rig.node.on_serving = lambda: served_by.append(rig.node.discovery.index)
    return json.dumps(hosts).encode() + b"\n", served_by


def test_slow_start_still_reads_the_first_event() -> None:
    """Applying the last list takes longer than the wait for discovery.

    The first event is read before the node serves; the wait must not be over before anything could be
    received.
    """
    rig = Rig()
    line, served_by = first_event(rig)
    rig.hosts.first = chunk(line)
    decide = rig.node.core.id_map.policy.decide

    def slowly(now: float, events: list[Any]) -> list[Any]:
        end = clock.now() + 2 * serve.DISCOVERY_WAIT_MS
        while events and clock.now() < end:
            pass
        return list(decide(now, events))

    rig.node.core.id_map.policy.decide = slowly
    rig.node.start()
    rig.until(lambda: rig.node.listener)
    assert served_by == [2]


def test_node_waits_for_a_first_event_that_has_begun() -> None:
    """The first event is a long list that takes longer to arrive than a silent discovery is waited for.

    The node waits until it is whole.
    """
    rig = Rig()
    line, served_by = first_event(rig)
    rig.hosts.first = chunk(line[:20])
    rig.node.start()
    rig.until(lambda: rig.hosts.watches)
    begun = clock.now()
    rig.until(lambda: clock.now() > begun + 2 * serve.DISCOVERY_WAIT_MS)
    assert rig.node.listener is None
    rig.hosts.watches[0].transport.write(chunk(line[20:]))  # type: ignore[union-attr]
    rig.until(lambda: rig.node.listener)
    assert served_by == [2]


def test_node_serves_if_the_first_event_never_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(serve, "MAX_DISCOVERY_WAIT_MS", 2 * serve.DISCOVERY_WAIT_MS)
    rig = Rig()
    line, served_by = first_event(rig)
    rig.hosts.first = chunk(line[:20])
    rig.node.start()
    rig.until(lambda: rig.node.listener)
    assert served_by == [1]


def test_node_serves_by_its_last_list_if_discovery_is_silent() -> None:
    rig = Rig()
    rig.hosts.first = b""
    rig.engine("prefill")
    rig.engine("decode")
    assert rig.answered(rig.start().client(ask())) == b"200"


def test_lost_watch_is_reopened_and_corrupt_event_fetches_all() -> None:
    rig = rig_of_two()
    rig.hosts.watches[0].transport.abortConnection()  # type: ignore[union-attr]
    rig.until(lambda: len(rig.hosts.watches) == 2)
    rig.hosts.watches[1].transport.write(chunk(b"{corrupt\n"))  # type: ignore[union-attr]
    rig.until(lambda: len(rig.hosts.watches) == 3)
    rig.hosts.tell(9, rig.engines[0].entry(), snapshot=True)
    rig.until(lambda: [engine.state for engine in rig.node.core.pools] == ["ready", "gone"])


def test_replaced_engines_are_forgotten() -> None:
    rig = rig_of_two()
    id_map, discovery = rig.node.core.id_map, rig.node.discovery
    for at in range(50):
        entry = {**rig.engines[1].entry(), "name": f"x{at}"}
        gone = {**entry, "name": f"x{at - 1}", "status": "DELETED"}
        discovery.current.piece(
            json.dumps({"index": 2 + at, "snapshot": False, "endpoints": [entry, gone]}).encode() + b"\n"
        )
        id_map.policy.context.now += 60_000.0
        for engine in id_map.policy.engines:
            engine.gone_since -= 60_000.0  # a minute goes by
        rig.until(lambda at=at: f"x{at}".encode() in [engine.id for engine in id_map.policy.engines])
    assert (
        max(
            len(id_map.engines),
            len(id_map.policy.engines),
            len(rig.node.core.pools),
            len(discovery.list_reader.known),
        )
        < 8
    )


def test_reload_takes_the_new_discovery_address_only(tmp_path: Any, logged: list[Any]) -> None:
    """A node gets a configuration with another discovery address and a request class more, and then a broken
    one.

    The address changes at once, the classes only by a restart, and the broken one changes nothing.
    """
    rig = rig_of_two()
    rig.hosts = Hosts(rig)
    settings = {**SETTINGS, "services": [*SETTINGS["services"], {**SETTINGS["services"][0], "name": "more"}]}
    path = tmp_path / "config.json"
    new_config = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{rig.hosts.port_number}",
        "settings": settings,
    }
    path.write_text(json.dumps(new_config))
    rig.node.reload({"LB_CONFIG": str(path)})
    rig.until(lambda: rig.hosts.watches)
    (warning,) = [line for line in logged if line["event"] == "configuration change needs a restart"]
    assert warning["sections"] == ["settings", "request_classes"]
    assert rig.node.config.request_classes == ["chat", "mark"]
    path.write_text("{")
    rig.node.reload({"LB_CONFIG": str(path)})
    (error,) = [line for line in logged if line["event"] == "configuration not reloaded"]
    assert str(path) in error["reason"]
    assert rig.node.config.discovery == ("127.0.0.1", rig.hosts.port_number)
