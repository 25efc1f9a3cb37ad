"""Tests which requests are rejected before their prefill."""

from helpers import NOW, PAIR, THREE_PREFILL_ENGINES, action_names, end_attempt, make_fleet, make_request

from worksmux.policy.events import EndpointEntry, EndpointListUpdate, RequestArrived, TimerFired
from worksmux.policy.state import Outcome


def test_waiting_request_is_rejected_once_its_latency_target_is_out_of_reach():
    router, _ = make_fleet((0, 0, 0))
    request = make_request()
    router.decide(NOW, [RequestArrived(request)])
    assert action_names(router.decide(NOW + 990, [TimerFired(0)])) == ["RejectRequest"] and request.ended


def test_random_draw_rejects_some_requests_early():
    router, _ = make_fleet((0, 0, 0))
    router.estimates.first_token_waits_ms.add(NOW, 600.0)
    router.context.now, low_draw, high_draw = NOW, make_request(1), make_request(2)
    low_draw.latency_target_at = high_draw.latency_target_at = NOW + 1000
    low_draw.random_draw, high_draw.random_draw = 0.1, 0.9
    assert not router.admission.latency_target_unreachable(
        low_draw
    ) and router.admission.latency_target_unreachable(high_draw)
    low_draw.is_retry = True
    assert router.admission.latency_target_unreachable(low_draw)


def test_slowdown_that_is_over_is_forgotten():
    router, _ = make_fleet((0, 0, 0))
    router.estimates.first_token_waits_ms.add(NOW - 10_000, 2000.0)
    router.context.now, request = NOW, make_request()
    request.latency_target_at, request.random_draw = NOW + 1000, 0.5
    assert router.admission.latency_target_unreachable(request)
    router.estimates.first_token_waits_ms.add(NOW, 20.0)
    assert not router.admission.latency_target_unreachable(request)


def test_full_prefill_engine_counts_as_a_long_wait_but_trial_requests_are_admitted():
    router, _ = make_fleet(*PAIR)
    request = make_request()
    router.decide(NOW, [RequestArrived(request)])
    end_attempt(router, request.attempts[0], Outcome.FULL)
    assert (
        request.ended
        and router.estimates.prefill_ms_per_token.mean(router.context.now) * request.prompt_tokens == 1000.0
    )
    trial_request = make_request(2, now=router.context.now)
    trial_request.latency_target_at, trial_request.random_draw = router.context.now + 1000, 0.01
    assert not router.admission.latency_target_unreachable(trial_request)


def test_one_slow_prefill_does_not_reject_all_that_follows_where_engines_are_probed():
    """One of hundreds of nodes has run one or two prefills, and one of them was slow.

    The node must not reject all further requests while it can check engines.  With few nodes its own prefills
    count.
    """
    for node_count, rejected in ((200, False), (2, True)):
        router, _ = make_fleet(*THREE_PREFILL_ENGINES, node_count=node_count)
        router.estimates.first_token_waits_ms.add(NOW, 50.0)
        router.estimates.prefill_ms_per_token.add(NOW, 3743.0, 5405.0)
        router.estimates.uncached_prefill_ms_per_token.add(NOW, 400.0, 4700.0)
        request = make_request()
        request.prompt_tokens, request.random_draw = 4900.0, 0.9
        request.latency_target_at = NOW + 1600.0
        router.context.now, router.probing.enabled = NOW, node_count == 200
        router.estimates.best_prefill_ms_per_token = (
            router.estimates.uncached_prefill_ms_per_token.min_bucket_mean(NOW)
        )
        assert router.admission.latency_target_unreachable(request) is rejected
        checked_engine = router.index.prefill_engines[0]
        request.checked_engines[checked_engine] = NOW - 400.0  # it has not answered, so there are queues
        assert router.admission.latency_target_unreachable(request)


def test_cancelled_prefills_count_as_waits():
    """Prefill engines are overloaded, and only the few prefills that succeed show their times.

    Cancelled prefills must count too; otherwise overloaded engines look fast.
    """
    router, (_, _) = make_fleet(*PAIR)
    request = make_request()
    router.decide(NOW, [RequestArrived(request)])
    end_attempt(router, request.attempts[0], Outcome.CANCELLED, elapsed_ms=900.0)
    assert (
        router.admission.latency_target_unreachable(make_request(2, now=NOW + 900))
        and router.estimates.prefill_queue_waits_ms.mean(NOW + 900) == 900.0
    )


def test_request_whose_deadline_is_before_the_next_round_is_rejected_at_once():
    router, _ = make_fleet((0, 0, 0))
    assert action_names(router.decide(NOW, [RequestArrived(make_request(time_left_ms=30.0))])) == [
        "RejectRequest"
    ]


def test_prefills_in_flight_show_a_backlog_once_most_engines_are_cold():
    """Most prefill engines were replaced, the new ones have a backlog, and no prefill has ended there yet.

    The prefills in flight must get a new request rejected; with warm engines the request is sent.
    """
    for started, expected_actions in ((NOW - 1000.0, ["RejectRequest"]), (0.0, ["StartAttempt"])):
        router, engines = make_fleet(*[(0, 0, 0)] * 3, *[(1, 0, 0)] * 3)
        router.decide(
            NOW,
            [
                EndpointListUpdate(
                    "full",
                    [EndpointEntry(engine, "ready", started, 0, 0, engine.kind, 1.0) for engine in engines],
                )
            ],
        )
        router.slow_start.prefill_credit = 1.0
        for engine in engines:
            engine.slow_start_credit = 1.0
        router._send(make_request(1), engines[0], prefill=True)
        late = make_request(2, now=NOW + 900.0)
        late.prompt_tokens, late.session = 900.0, 2
        router.decide(NOW + 900.0, [])
        router.slow_start.prefill_credit = 1.0
        actions = router.decide(NOW + 900.0, [RequestArrived(late)])
        late.random_draw = 0.5
        assert action_names(actions) == expected_actions
