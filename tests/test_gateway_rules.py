"""The running gateway on loopback: the checker's five rules, each with a fault that could break one."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from gateway_rig import FLEET, PAIR, broken_rules, final_answers
from twisted.internet import task

from worksmux.checker.records import load
from worksmux.fault_trial.small import Rig
from worksmux.policy.state import Engine


def test_requests_are_delivered_whole_and_streamed(tmp_path: Path) -> None:
    records = Rig(tmp_path, FLEET).run_clients()
    assert (
        len(records.requests) > 10 and final_answers(records) == {"delivered"} and broken_rules(records) == []
    )
    assert any(attempt.role == "read" for attempt in records.attempts)


def test_draining_engines_get_no_request_while_prefills_are_out(tmp_path: Path) -> None:
    """Two of three decode engines start to drain while prefills for them are in flight."""
    rig = Rig(tmp_path, FLEET, read_speed=1500.0)
    rig.at(500, rig.announce, rig.engines[1], "draining")
    rig.at(500, rig.announce, rig.engines[2], "draining")
    records = rig.run_clients(length=2000.0)
    listed_at = records.endpoint_histories["a", "e1"].times[-1]
    assert broken_rules(records) == [] and len(records.requests) > 20
    assert not [
        attempt
        for attempt in records.attempts
        if attempt.engine in ("e1", "e2") and attempt.received_at_ms > listed_at + 250
    ]


def test_cold_engines_are_not_overloaded(tmp_path: Path) -> None:
    """Two engines start under load; a cold engine that is overloaded crashes."""
    rig = Rig(tmp_path, FLEET, capacity=6.0)
    rig.at(300, rig.add_engine, "decode", 0, True)
    rig.at(300, rig.add_engine, "prefill", 1, True)
    records = rig.run_clients(length=2500.0, rate=30.0)
    assert broken_rules(records) == [] and not records.overload_failures
    assert any(attempt.engine in ("e6", "e7") for attempt in records.attempts)


def test_non_idempotent_request_is_not_repeated_after_its_stream_broke(tmp_path: Path) -> None:
    """All decode engines break the streams of non-idempotent requests."""
    rig = Rig(tmp_path, FLEET)
    for engine in rig.engines[1:]:
        rig.at(400, rig.inject_fault, engine, "drop_streams", True)
    records = rig.run_clients("mark", length=1500.0, answer_tokens=(20, 40), effect="irreversible")
    assert broken_rules(records) == [] and "broken off" in final_answers(records)


def test_request_is_answered_by_its_deadline_where_the_engine_hangs(tmp_path: Path) -> None:
    """The only decode engine accepts connections and never answers."""
    rig = Rig(tmp_path, PAIR)
    rig.at(300, rig.inject_fault, rig.engines[1], "hang")
    records = rig.run_clients("mark", length=800.0, patience=0.4, effect="irreversible")
    assert broken_rules(records) == [] and final_answers(records) <= {
        "delivered",
        "broken off",
        "deferred",
        "late",
    }
    assert "broken off" in final_answers(records)


@pytest.mark.parametrize(("state", "expected_calls"), [("ready", 30), ("gone", 4)])
def test_release_is_repeated_until_acknowledged_or_its_engine_is_gone(
    tmp_path: Path, state: str, expected_calls: int
) -> None:
    """An engine is cut off for longer than the first round of release calls lasts.

    Release calls must continue at longer intervals; otherwise the engine keeps the KV cache.
    """
    core: Any = Rig(tmp_path, PAIR).front().core
    core.reactor, engine, call_times = task.Clock(), Engine(b"far", 1, state="ready"), []

    def call(to: Engine, method: str, path: str, body: bytes, on_end: Any) -> None:
        call_times.append(core.reactor.seconds())
        engine.state = state if len(call_times) == 4 else engine.state
        on_end(200 if len(call_times) == expected_calls else 0, {}, b"", None)

    core.control_call = call
    core._release_until(engine, b"", 1)
    core.reactor.pump([0.01] * 3000)
    assert (
        len(call_times) == expected_calls
        and call_times[2] - call_times[0] < 0.2
        and call_times[-1] < expected_calls * 0.3
    )


def test_kv_cache_is_released_when_its_client_disconnects(tmp_path: Path) -> None:
    """Six clients disconnect one after the other while their prefills run."""
    rig = Rig(tmp_path, PAIR, read_speed=300.0)  # prefills last longer than the clients stay connected
    front = rig.front()
    answers: list[Any] = []

    def disconnect() -> None:
        bodies = [
            json.dumps({"model": "hint", "messages": [{"role": "user", "content": f"{index} " * 400}]})
            for index in range(6)
        ]
        calls = [rig.send_request(body.encode(), lambda *answer: answers.append(answer)) for body in bodies]
        for index, call in enumerate(calls):
            rig.reactor.callLater(0.1 + 0.04 * index, call.abandon)
        rig.reactor.callLater(1.2, rig.reactor.stop)

    rig.at(0, disconnect)
    rig.run()
    records = load(tmp_path)
    assert records.attempts and broken_rules(records) == [] and not front.core.open_requests and not answers
    assert not rig.engines[0].model.states and rig.engines[0].model.used == 0


def test_faulty_engines_cost_their_attempts_only(tmp_path: Path) -> None:
    """One engine sends malformed responses, one fails at once, and one refuses connections."""
    rig = Rig(tmp_path, FLEET)
    rig.at(200, rig.inject_fault, rig.engines[1], "garbage")
    rig.at(200, rig.inject_fault, rig.engines[4], "fail_fast")
    rig.at(500, rig.inject_fault, rig.engines[3], "refuse")
    records = rig.run_clients(length=1500.0, retries=2.0)
    assert broken_rules(records) == [] and final_answers(records) <= {"delivered", "late"}


def test_last_endpoint_list_stays_in_force_without_the_registry(tmp_path: Path) -> None:
    """The registry is down for 600 ms; an engine starts to drain after the registry is back."""
    rig = Rig(tmp_path, FLEET)
    rig.at(300, rig.registry.go_offline)
    rig.at(900, rig.registry.go_online)
    rig.at(1200, rig.announce, rig.engines[2], "draining")
    records = rig.run_clients(length=2500.0)
    assert final_answers(records) == {"delivered"} and broken_rules(records) == []
    listing = records.endpoint_histories["a", "e2"]
    assert listing.states[-1][0] == "draining"


def test_reserved_slot_is_released_when_its_client_disconnects_during_prefill(tmp_path: Path) -> None:
    """A client disconnects while its prefill runs and a decode slot is reserved for it.

    The gateway cancelled the prefill and removed the request in one decision round.  The release that the
    policy decided in the next round found no request, and the slot stayed reserved until the engine's own
    timeout.
    """
    rig = Rig(tmp_path, [("prefill", 0), ("decode", 0)], read_speed=200.0)
    rig.front()
    call: list[Any] = []
    body = json.dumps(
        {"model": "hint", "messages": [{"role": "user", "content": "word " * 400}], "stream": True}
    ).encode()
    rig.reactor.callLater(0.3, lambda: call.append(rig.send_request(body, lambda *_: None)))
    rig.reactor.callLater(0.7, lambda: call[0].abandon())
    rig.reactor.callLater(1.5, rig.reactor.stop)
    rig.run()
    places = [holding for holding in load(tmp_path).claims if holding.resource == "place"]
    assert places and all(holding.reason == "release" for holding in places)
