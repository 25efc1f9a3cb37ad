"""What endpoint lists change."""

from helpers import NOW, PAIR, ended, fleet, kinds, request

from worksmux.policy.events import EndpointEntry, EndpointListUpdate, RequestArrived
from worksmux.policy.state import Outcome


def test_nothing_new_to_an_engine_told_draining():
    front, (_, writer) = fleet(*PAIR)
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    front.decide(NOW, [EndpointListUpdate("delta", [EndpointEntry(writer, "draining", 0.0, 0, 0, 1, 1.0)])])
    assert kinds(ended(front, one.attempts[0], Outcome.PREFILLED)) == []


def test_engine_missing_from_a_full_list_is_gone():
    front, (reader, writer) = fleet(*PAIR)
    front.decide(NOW, [EndpointListUpdate("full", [EndpointEntry(reader, "ready", 0.0, 0, 0, 0, 1.0)])])
    assert writer.state == "gone" and reader.state == "ready"
