"""Builds the routers, requests and events that the tests start from."""

from worksmux.policy.actions import SetTimer
from worksmux.policy.events import AttemptEnded, EndpointEntry, EndpointListUpdate, RequestArrived
from worksmux.policy.router import Router
from worksmux.policy.settings import PolicySettings, RequestClassSettings
from worksmux.policy.state import Engine, Outcome, Request

NOW = 100_000.0

# Fleets: kind, zone and cell of each engine.
PAIR = ((0, 0, 0), (1, 0, 0))
TWO_DECODE_ENGINES = (*PAIR, (1, 0, 0))
THREE_PREFILL_ENGINES = ((0, 0, 0), (0, 0, 0), (0, 0, 0), (1, 0, 0))


def make_settings(**changes):
    """Returns settings of the policy with three request classes, one of each effect."""
    defaults = {
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
    return PolicySettings(**{**defaults, **changes})


def make_fleet(*places, seed=1, **changes):
    """Returns a router that knows an engine for each (kind, zone, cell), and these engines."""
    router = Router(make_settings(**changes), seed)
    engines = [Engine(bytes([position]), position + 1) for position in range(len(places))]
    entries = [
        EndpointEntry(engine, "ready", 0.0, zone, cell, kind, 1.0)
        for engine, (kind, zone, cell) in zip(engines, places, strict=True)
    ]
    router.decide(NOW, [EndpointListUpdate("full", entries)])
    return router, engines


def make_request(number=1, request_class=0, now=NOW, time_left_ms=4000.0, session=0):
    """Returns a new request whose client disconnects after `time_left_ms`."""
    return Request(number, request_class, session or number, 0, 1000.0, 0.0, 300.0, now, now + time_left_ms)


def end_attempt(router, attempt, outcome, elapsed_ms=50.0, closed=False, note=0):
    """Ends an attempt `elapsed_ms` after it was sent; returns the router's actions."""
    return router.decide(
        attempt.sent_at + elapsed_ms, [AttemptEnded(attempt, outcome, elapsed_ms, closed, note)]
    )


def action_names(actions):
    """Returns the class names of the actions, without timers."""
    return [type(action).__name__ for action in actions if not isinstance(action, SetTimer)]


def run_prefill(router, request, now=NOW):
    """Sends a request to the router and ends its prefill; returns the router's actions."""
    router.decide(now, [RequestArrived(request)])
    return end_attempt(router, request.attempts[0], Outcome.PREFILLED)
