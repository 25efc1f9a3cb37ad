"""Tests how endpoint lists are applied."""

from helpers import NOW, PAIR, action_names, end_attempt, make_fleet, make_request

from worksmux.policy.events import EndpointEntry, EndpointListUpdate, RequestArrived
from worksmux.policy.state import Outcome


def test_draining_engine_gets_no_new_attempt():
    router, (_, decode_engine) = make_fleet(*PAIR)
    request = make_request()
    router.decide(NOW, [RequestArrived(request)])
    draining = EndpointEntry(decode_engine, "draining", 0.0, 0, 0, 1, 1.0)
    router.decide(NOW, [EndpointListUpdate("delta", [draining])])
    assert action_names(end_attempt(router, request.attempts[0], Outcome.PREFILLED)) == []


def test_engine_missing_from_a_full_list_is_gone():
    router, (prefill_engine, decode_engine) = make_fleet(*PAIR)
    listed = EndpointEntry(prefill_engine, "ready", 0.0, 0, 0, 0, 1.0)
    router.decide(NOW, [EndpointListUpdate("full", [listed])])
    assert decode_engine.state == "gone" and prefill_engine.state == "ready"
