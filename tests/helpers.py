"""Builds the small states that the tests start from."""

from worksmux.policy.actions import SetTimer
from worksmux.policy.events import AttemptEnded, EndpointEntry, EndpointListUpdate
from worksmux.policy.router import Front
from worksmux.policy.state import Engine, Request

NOW = 100_000.0


def settings(**changes):
    plain = {
        "me": 0,
        "fronts": 2,
        "zone": 0,
        "tick": 2.0,
        "roles": ["read", "write", "both"],
        "kind_memory": [],
        "offerings": [
            {
                "promised_time": 1000.0,
                "outer_limit": 4000.0,
                "credit": 1.0,
                "late_credit": 0.1,
                "effect": effect,
                "group": "cell",
                "remembered": 5000.0,
                "promised_per_k": 0.0,
                "token_time": 50.0,
            }
            for effect in ("redoable", "irreversible", "labelled")
        ],
        "parties": [],
        "may_hold": False,
        "writers_read": False,
        "resume": False,
        "far_price": 0.04,
        "release_within": 300.0,
        "may_cancel": True,
        "may_probe": True,
        "second_copies": False,
        "stay_away": 0.0,
        "most_trips": 5,
        "connect_time_out": 250.0,
        "ask_for_list": False,
        "reports": "off",
        "report_fields": [],
        "answer_slack": 8.0,
        "drain_grace": 250.0,
        "cold_share": 0.3,
        "warm_up": 14000.0,
        "fall_multiple": 3.0,
        "fall_time": 3000.0,
    }
    return {**plain, **changes}


def fleet(*places, seed=1, **changes):
    """A front that knows an engine for each (kind, zone, cell), and those engines."""
    front = Front(settings(**changes), seed)
    engines = [Engine(bytes([at]), at + 1) for at in range(len(places))]
    entries = [
        EndpointEntry(engine, "ready", 0.0, zone, cell, kind, 1.0)
        for engine, (kind, zone, cell) in zip(engines, places, strict=True)
    ]
    front.decide(NOW, [EndpointListUpdate("full", entries)])
    return front, engines


def request(number=1, request_class=0, now=NOW, left=4000.0, session=0):
    return Request(number, request_class, session or number, 0, 1000.0, 0.0, 300.0, now, now + left)


def ended(front, attempt, outcome, after=50.0, closed=False, note=0):
    return front.decide(attempt.sent + after, [AttemptEnded(attempt, outcome, after, closed, note)])


def kinds(actions):
    return [type(action).__name__ for action in actions if not isinstance(action, SetTimer)]
