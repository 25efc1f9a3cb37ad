"""The gateway with policies made for a test: the checker finds what wrong ones do, and the gateway keeps what
it promises to any."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import pytest
from gateway_rig import BODY, FLEET, PAIR, Scripted, Silent, answer_of, broken, ends, found

from worksmux.checker.records import load
from worksmux.fault_trial.small import Rig
from worksmux.forwarding.request_lifecycle import RequestLifecycle
from worksmux.forwarding.stream_relay import StreamRelay
from worksmux.policy.actions import (
    AbortRequest,
    Action,
    CancelAttempt,
    CheckHealth,
    CloseConnections,
    FetchEndpointList,
    RejectRequest,
    ReleaseKvCache,
    ReserveSlot,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from worksmux.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    HealthCheckEnded,
    RequestArrived,
    TimerFired,
)
from worksmux.policy.router import Router
from worksmux.policy.settings import PolicySettings
from worksmux.policy.state import Attempt, Engine, Outcome, Request

# The checker finds what policies and gateways do that are wrong on purpose.


class RepeatingPolicy(Router):
    """Retries whatever happened, and promises that it was harmless."""

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.retry.may_send = self._may_send
        self.retry.may_reject = lambda request: True

    def _may_send(self, request: Request, engine: Engine) -> bool:
        return engine.state == "ready" and not request.in_flight and self.retry.attempts_left(request) > 0


class DrainIgnoringPolicy(Router):
    """Takes every listed engine for ready."""

    def _on_endpoint_list(self, event: EndpointListUpdate) -> None:
        for entry in event.entries:
            entry.state = "ready"
        super()._on_endpoint_list(event)


class ColdIgnoringPolicy(Router):
    """Takes every engine for warm."""

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.slow_start.is_cold = lambda engine, now: False


class NonReleasingPolicy(Router):
    """Never releases a KV cache."""

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        actions = super().decide(now, events)
        return [action for action in actions if not isinstance(action, ReleaseKvCache)]


class LateSendingPolicy(Router):
    """Starts an attempt for a request that it has rejected."""

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        actions = super().decide(now, events)
        for action in list(actions):
            if isinstance(action, RejectRequest) and self.index.prefill_capable:
                attempt = Attempt(
                    action.request, self.index.prefill_capable[0], len(action.request.attempts), now, True
                )
                action.request.attempts.append(attempt)
                actions.append(StartAttempt(attempt))
        return actions


def test_checker_finds_a_retry_after_possible_execution(tmp_path: Path) -> None:
    rig = Rig(tmp_path, FLEET, RepeatingPolicy)
    for engine in rig.engines[1:3]:
        rig.at(100, rig.inject_fault, engine, "fail_fast", True)
    assert broken(rig.run_clients("mark", effect="irreversible")) == [2]


def test_checker_finds_an_attempt_at_a_draining_engine(tmp_path: Path) -> None:
    rig = Rig(tmp_path, FLEET, DrainIgnoringPolicy)
    rig.at(300, rig.announce, rig.engines[1], "draining")
    assert broken(rig.run_clients()) == [3]


def test_checker_finds_an_overloaded_cold_engine(tmp_path: Path) -> None:
    rig = Rig(tmp_path, PAIR, ColdIgnoringPolicy, capacity=4.0)
    rig.at(300, rig.add_engine, "decode", 0, True)
    rig.at(300, rig.add_engine, "decode", 0, True)
    assert 4 in found(rig.run_clients(length=2000.0, rate=80.0))


def test_checker_finds_a_pinned_kv_cache(tmp_path: Path) -> None:
    rig = Rig(tmp_path, PAIR, NonReleasingPolicy)
    rig.at(300, rig.inject_fault, rig.engines[1], "hang")
    assert 5 in found(rig.run_clients(length=800.0, patience=0.4))


def test_checker_finds_an_attempt_after_the_final_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    send = RequestLifecycle._start_attempt

    def wrong(self: RequestLifecycle, action: StartAttempt) -> None:
        """A gateway that sends attempts for requests that are over."""
        case = self.open_requests.get(action.attempt.request)
        if case and case.final_answer:
            case.final_answer, kept = None, case.final_answer
            self.reactor.callLater(0.2, send, self, action)
            case.final_answer = kept
            case.in_flight[action.attempt] = Mock()  # the module may call it off
            case.final_answer = None
        else:
            send(self, action)

    monkeypatch.setattr(RequestLifecycle, "_start_attempt", wrong)
    monkeypatch.setattr(
        StreamRelay, "is_disconnected", lambda self: False
    )  # it would notice that the job is over
    rig = Rig(tmp_path, [("prefill", 0)], LateSendingPolicy)  # no decode engine: every request is rejected
    assert 1 in found(rig.run_clients(length=600.0, patience=0.4))


def test_checker_finds_a_client_without_an_answer(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RequestLifecycle, "_answer_for_policy", lambda *_: None)
    monkeypatch.setattr(RequestLifecycle, "_deadline_missed", lambda *_: None)
    rig = Rig(tmp_path, [("prefill", 0)])
    assert broken(rig.run_clients(length=400.0, patience=0.3)) == [1]


# What the gateway promises its policy.


class Chooser(Scripted):
    """Checks e1, prefills at e0 with a slot reserved at e2, decodes there; e3 is left out."""

    def react(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [
                self.send(event.request, b"e0", now, True),
                ReserveSlot(event.request, self.engines[b"e2"]),
                CheckHealth(self.engines[b"e1"]),
            ]
        if isinstance(event, AttemptEnded) and event.outcome is Outcome.PREFILLED:
            event.attempt.request.kv_holder = event.attempt.engine
            return [self.send(event.attempt.request, b"e2", now, False)]
        return []


def test_choices_of_the_policy_are_carried_out_as_made(tmp_path: Path) -> None:
    rig = Rig(tmp_path, [("prefill", 0), ("prefill", 0), ("decode", 0), ("decode", 0)], Chooser)
    records = rig.run_clients(length=500.0)
    module: Any = rig.fronts[0].core.id_map.policy
    assert records.requests and ends(records) == {"delivered"}
    assert {attempt.engine for attempt in records.attempts} == {"e0", "e2"}
    assert {engine for _, engine, _, _ in records.asked_places} == {"e2"}
    kinds = [type(event).__name__ for event in module.told]
    assert {
        "EndpointListUpdate",
        "RequestArrived",
        "FirstToken",
        "AttemptEnded",
        "HealthCheckEnded",
        "SlotReserved",
    } <= set(kinds)
    requests = len(records.requests)
    assert (
        kinds.count("FirstToken") == requests
        and kinds.count("AttemptEnded") == 2 * requests
        and kinds.count("HealthCheckEnded") == requests
    )
    assert all(
        event.outcome is Outcome.SERVED for event in module.told if isinstance(event, HealthCheckEnded)
    )


class AllActions(Scripted):
    """Watches and fetches the list, sets a timer, prefills, cancels, releases, closes and logs."""

    def react(self, now: float, event: Event) -> list[Action]:
        match event:
            case RequestArrived(request):
                self.request = request
                return [
                    WatchEndpoints(True),
                    FetchEndpointList(),
                    WriteLog("here"),
                    self.send(request, b"e0", now, True),
                    SetTimer(40.0, 9),
                ]
            case TimerFired(9):
                return [CancelAttempt(self.request.attempts[0]), CloseConnections(self.engines[b"e0"])]
            case AttemptEnded():
                return [ReleaseKvCache(self.request), RejectRequest(self.request)]
        return []


def test_every_action_is_carried_out(tmp_path: Path) -> None:
    rig = Rig(tmp_path, PAIR, AllActions, read_speed=1.0)
    status, _, _ = answer_of(rig)
    module: Any = rig.fronts[0].core.id_map.policy
    told = [event for event in module.told if isinstance(event, AttemptEnded)]
    assert status == 503 and [event.outcome for event in told] == [Outcome.CANCELLED]
    assert (
        sum(isinstance(event, EndpointListUpdate) for event in module.told) == 3
    )  # at first, watched, fetched
    lines = [line for line in load(tmp_path).lines if line["who"] == "e0"]
    assert {"release"} <= {line["what"] for line in lines}
    assert next(line for line in lines if line["what"] == "end")["how"] == "cut"


def test_client_that_disconnects_early_is_not_answered(tmp_path: Path) -> None:
    rig = Rig(tmp_path, PAIR, Silent)
    front = rig.front()

    def leave() -> None:
        call = rig.send_request(BODY, lambda *_: None)
        rig.reactor.callLater(0.1, call.abandon)
        rig.reactor.callLater(0.3, rig.reactor.stop)

    rig.at(0, leave)
    rig.run()
    module: Any = front.core.id_map.policy
    assert (
        sum(isinstance(event, ClientDisconnected) for event in module.told) == 1
        and not front.core.open_requests
    )


class OneAction(Scripted):
    """Ends each request at once by one action."""

    how: type[Any] = RejectRequest

    def react(self, now: float, event: Event) -> list[Action]:
        return [self.how(event.request)] if isinstance(event, RequestArrived) else []


class Deferring(OneAction):
    def react(self, now: float, event: Event) -> list[Action]:
        return [RejectRequest(event.request, 1500.0)] if isinstance(event, RequestArrived) else []


class Breaking(OneAction):
    how = AbortRequest


def test_deferred_request_gets_retry_after(tmp_path: Path) -> None:
    status, headers, body = answer_of(Rig(tmp_path, PAIR, Deferring))
    assert status == 503 and headers["retry-after"] == "2" and headers["x-worksmux-answer"] == "deferred"
    assert json.loads(body)["error"]["code"] == "deferred"


def test_broken_off_request_gets_no_retry_after(tmp_path: Path) -> None:
    status, headers, body = answer_of(Rig(tmp_path, PAIR, Breaking))
    assert (
        status == 502 and "retry-after" not in headers and json.loads(body)["error"]["code"] == "broken_off"
    )


def test_gateway_answers_where_the_policy_lets_the_deadline_pass(tmp_path: Path) -> None:
    rig = Rig(tmp_path, PAIR, Silent)
    status, _, _ = answer_of(rig, x_worksmux_time_left_ms="300")
    module: Any = rig.fronts[0].core.id_map.policy
    assert status == 504 and any(isinstance(event, ClientDisconnected) for event in module.told)


class Faulty(Scripted):
    def react(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            raise ZeroDivisionError("a fault of the module")
        return []


def test_failed_policy_breaks_off_its_requests_and_ends_the_gateway(tmp_path: Path) -> None:
    rig = Rig(tmp_path, PAIR, Faulty)
    ended: list[bool] = []
    rig.front().core.on_policy_failure = lambda: ended.append(True)
    status, _, _ = answer_of(rig)
    assert status == 502 and ended == [True] and rig.fronts[0].core.failed
