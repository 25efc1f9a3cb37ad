"""Start, discovery and shutdown of a node."""

from __future__ import annotations

import json
from typing import Any

import pytest
from node_rig import ANSWER, SETTINGS, DiscoveryServer, Rig, chat_request, chunk, start_two_engine_rig

from worksmux.net import clock
from worksmux.node import serve
from worksmux.node.serve import Node


def test_recently_started_engine_is_cold_by_a_restored_list() -> None:
    rig = Rig()
    old, young = rig.engine("prefill"), rig.engine("prefill")
    default_entry = young.entry
    young.entry = lambda status="SERVING": {**default_entry(status), "since_ms": clock.wall() - 1000.0}  # type: ignore[method-assign]
    rig.start()
    id_map = rig.node.core.id_map
    rig.run_until(lambda: id_map.policy.engines)
    assert [engine.id.decode() for engine in id_map.policy.index.cold_engines] == [young.name] != [old.name]


def test_shutdown_answers_open_requests_and_closes_idle_connections() -> None:
    rig = start_two_engine_rig(lambda _: b"")
    ends: list[bool] = []
    rig.node.on_end = lambda: ends.append(True)
    idle, out = rig.client(b"GET /up HTTP/1.1\r\n\r\n"), rig.client(chat_request())
    assert rig.wait_for_status(idle) == b"200"
    rig.run_until(lambda: rig.engines[1].requests)
    rig.node.stop()
    rig.run_until(lambda: idle.ended)
    rig.engines[1].script = lambda _: ANSWER
    late = rig.client(chat_request("a2"))  # new connections are accepted for a short time
    assert rig.wait_for_status(late) == b"200" and not ends
    rig.engines[1].peers[0].transport.write(ANSWER)  # type: ignore[union-attr]
    assert rig.wait_for_status(out) == b"200"
    rig.run_until(lambda: ends and late.ended and out.ended)


def test_discovery_moves_to_a_new_address_without_a_gap() -> None:
    rig = start_two_engine_rig()
    old, rig.discovery_server = rig.discovery_server, DiscoveryServer(rig, first=b"")
    rig.node.discovery.move(("127.0.0.1", rig.discovery_server.port_number))
    rig.run_until(lambda: rig.discovery_server.watches)
    old.send_list(2, rig.engines[1].entry("DRAINING"))
    states = rig.node.core.pools.keys
    rig.run_until(lambda: [engine.state for engine in states()] == ["ready", "draining"])
    rig.discovery_server.send_list(3, rig.engines[0].entry("DRAINING"))
    rig.run_until(lambda: old.watches[0].ended and all(engine.state == "draining" for engine in states()))


def test_node_serves_only_after_the_first_discovery_event() -> None:
    """A node starts with an outdated endpoint list, in which a draining engine is ready.

    The node serves only after discovery's first event, so that no request is sent to that engine.
    """
    rig = Rig()
    leaving, staying = rig.engine("prefill"), rig.engine("prefill")
    rig.engine("decode")
    line = json.dumps({"index": 2, "snapshot": False, "endpoints": [leaving.entry("DRAINING")]}).encode()
    rig.discovery_server.first = chunk(line + b"\n")
    node = rig.node = Node(rig.config(), rig.reactor)
    node.start()
    assert node.listener is None and not node.clients.ready
    rig.run_until(lambda: node.listener)
    for index in range(4):
        assert rig.wait_for_status(rig.client(chat_request(f"a{index}"))) == b"200"
    assert "POST" not in str(leaving.methods()) and staying.methods().count(b"POST") == 4


def first_event(rig: Rig) -> tuple[bytes, list[int]]:
    """Returns a first event that drains an engine, and a list that gets the node's list index at serving."""
    leaving = rig.engine("prefill")
    rig.engine("decode")
    hosts = {"index": 2, "snapshot": False, "endpoints": [leaving.entry("DRAINING")]}
    rig.node = Node(rig.config(), rig.reactor)
    indexes_at_serving: list[int] = []
    rig.node.on_serving = lambda: indexes_at_serving.append(rig.node.discovery.index)
    return json.dumps(hosts).encode() + b"\n", indexes_at_serving


def test_slow_start_still_reads_the_first_event() -> None:
    """Applying the last list takes longer than the wait for discovery.

    The node reads the first event before it serves: the wait must not end before anything can be received.
    """
    rig = Rig()
    line, indexes_at_serving = first_event(rig)
    rig.discovery_server.first = chunk(line)
    decide = rig.node.core.id_map.policy.decide

    def decide_slowly(now: float, events: list[Any]) -> list[Any]:
        end = clock.now() + 2 * serve.DISCOVERY_WAIT_MS
        while events and clock.now() < end:
            pass
        return list(decide(now, events))

    rig.node.core.id_map.policy.decide = decide_slowly
    rig.node.start()
    rig.run_until(lambda: rig.node.listener)
    assert indexes_at_serving == [2]


def test_node_waits_for_a_first_event_that_has_begun() -> None:
    """The first event is a long list that takes longer to arrive than the wait for a silent discovery.

    The node waits until the event is complete.
    """
    rig = Rig()
    line, indexes_at_serving = first_event(rig)
    rig.discovery_server.first = chunk(line[:20])
    rig.node.start()
    rig.run_until(lambda: rig.discovery_server.watches)
    begun = clock.now()
    rig.run_until(lambda: clock.now() > begun + 2 * serve.DISCOVERY_WAIT_MS)
    assert rig.node.listener is None
    rig.discovery_server.watches[0].transport.write(chunk(line[20:]))  # type: ignore[union-attr]
    rig.run_until(lambda: rig.node.listener)
    assert indexes_at_serving == [2]


def test_node_serves_if_the_first_event_never_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(serve, "MAX_DISCOVERY_WAIT_MS", 2 * serve.DISCOVERY_WAIT_MS)
    rig = Rig()
    line, indexes_at_serving = first_event(rig)
    rig.discovery_server.first = chunk(line[:20])
    rig.node.start()
    rig.run_until(lambda: rig.node.listener)
    assert indexes_at_serving == [1]


def test_node_serves_by_its_last_list_if_discovery_is_silent() -> None:
    rig = Rig()
    rig.discovery_server.first = b""
    rig.engine("prefill")
    rig.engine("decode")
    assert rig.wait_for_status(rig.start().client(chat_request())) == b"200"


def test_lost_watch_is_reopened_and_corrupt_event_fetches_all() -> None:
    rig = start_two_engine_rig()
    rig.discovery_server.watches[0].transport.abortConnection()  # type: ignore[union-attr]
    rig.run_until(lambda: len(rig.discovery_server.watches) == 2)
    rig.discovery_server.watches[1].transport.write(chunk(b"{corrupt\n"))  # type: ignore[union-attr]
    rig.run_until(lambda: len(rig.discovery_server.watches) == 3)
    rig.discovery_server.send_list(9, rig.engines[0].entry(), snapshot=True)
    rig.run_until(lambda: [engine.state for engine in rig.node.core.pools] == ["ready", "gone"])


def test_replaced_engines_are_forgotten() -> None:
    rig = start_two_engine_rig()
    id_map, discovery = rig.node.core.id_map, rig.node.discovery
    for index in range(50):
        entry = {**rig.engines[1].entry(), "name": f"x{index}"}
        gone = {**entry, "name": f"x{index - 1}", "status": "DELETED"}
        discovery.current.body_received(
            json.dumps({"index": 2 + index, "snapshot": False, "endpoints": [entry, gone]}).encode() + b"\n"
        )
        id_map.policy.context.now += 60_000.0
        for engine in id_map.policy.engines:
            engine.gone_since -= 60_000.0  # a minute passes
        rig.run_until(
            lambda index=index: f"x{index}".encode() in [engine.id for engine in id_map.policy.engines]
        )
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
    """A node reloads a configuration with a new discovery address and request class, then an invalid one.

    The address changes at once, the classes change only with a restart, the invalid one changes nothing.
    """
    rig = start_two_engine_rig()
    rig.discovery_server = DiscoveryServer(rig)
    settings = {**SETTINGS, "services": [*SETTINGS["services"], {**SETTINGS["services"][0], "name": "more"}]}
    path = tmp_path / "config.json"
    new_config = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{rig.discovery_server.port_number}",
        "settings": settings,
    }
    path.write_text(json.dumps(new_config))
    rig.node.reload({"LB_CONFIG": str(path)})
    rig.run_until(lambda: rig.discovery_server.watches)
    (warning,) = [line for line in logged if line["event"] == "configuration change needs a restart"]
    assert warning["sections"] == ["settings", "request_classes"]
    assert rig.node.config.request_classes == ["chat", "mark"]
    path.write_text("{")
    rig.node.reload({"LB_CONFIG": str(path)})
    (error,) = [line for line in logged if line["event"] == "configuration not reloaded"]
    assert str(path) in error["reason"]
    assert rig.node.config.discovery == ("127.0.0.1", rig.discovery_server.port_number)
