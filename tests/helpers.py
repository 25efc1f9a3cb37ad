"""Builds the small states that the tests start from."""

from worksmux.policy.actions import SetTimer
from worksmux.policy.events import AttemptEnded, EndpointEntry, EndpointListUpdate, RequestArrived
from worksmux.policy.router import Router
from worksmux.policy.settings import PolicySettings, RequestClassSettings
from worksmux.policy.state import Engine, Outcome, Request

NOW = 100_000.0

# Engines of a fleet: kind, zone and cell.
PAIR = ((0, 0, 0), (1, 0, 0))
TWO_DECODE_ENGINES = (*PAIR, (1, 0, 0))
THREE_PREFILL_ENGINES = ((0, 0, 0), (0, 0, 0), (0, 0, 0), (1, 0, 0))


def settings(**changes):
    plain = {
        "node_count": 2,
        "tick_ms": 2.0,
        "engine_roles": ("read", "write", "both"),
        "request_classes": tuple(
            RequestClassSettings(
                latency_target_ms=1000.0,
                deadline_ms=4000.0,
                late_value=0.1,
                effect=effect,
                deduplication_scope="cell",
                deduplication_window_ms=5000.0,
                token_interval_ms=50.0,
            )
            for effect in ("redoable", "irreversible", "labelled")
        ),
        "migration_price": 0.04,
        "release_within_ms": 300.0,
        "connect_timeout_ms": 250.0,
        "answer_slack_ms": 8.0,
        "slow_start_share": 0.3,
        "slow_start_ms": 14000.0,
        "overload_multiple": 3.0,
        "overload_window_ms": 3000.0,
    }
    return PolicySettings(**{**plain, **changes})


def fleet(*places, seed=1, **changes):
    """A router that knows an engine for each (kind, zone, cell), and those engines."""
    router = Router(settings(**changes), seed)
    engines = [Engine(bytes([at]), at + 1) for at in range(len(places))]
    entries = [
        EndpointEntry(engine, "ready", 0.0, zone, cell, kind, 1.0)
        for engine, (kind, zone, cell) in zip(engines, places, strict=True)
    ]
    router.decide(NOW, [EndpointListUpdate("full", entries)])
    return router, engines


def request(number=1, request_class=0, now=NOW, left=4000.0, session=0):
    return Request(number, request_class, session or number, 0, 1000.0, 0.0, 300.0, now, now + left)


def ended(router, attempt, outcome, after=50.0, closed=False, note=0):
    return router.decide(attempt.sent_at + after, [AttemptEnded(attempt, outcome, after, closed, note)])


def kinds(actions):
    return [type(action).__name__ for action in actions if not isinstance(action, SetTimer)]


def prefill(router, one, now=NOW):
    router.decide(now, [RequestArrived(one)])
    return ended(router, one.attempts[0], Outcome.PREFILLED)
