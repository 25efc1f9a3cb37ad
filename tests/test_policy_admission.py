"""Which requests are rejected before their prefill."""

from helpers import NOW, PAIR, THREE_PREFILL_ENGINES, ended, fleet, kinds, request

from worksmux.policy.events import EndpointEntry, EndpointListUpdate, RequestArrived, TimerFired
from worksmux.policy.state import Outcome


def test_waiting_request_is_rejected_once_its_latency_target_is_lost():
    router, _ = fleet((0, 0, 0))
    one = request()
    router.decide(NOW, [RequestArrived(one)])
    assert kinds(router.decide(NOW + 990, [TimerFired(0)])) == ["RejectRequest"] and one.ended


def test_random_draw_rejects_some_requests_early():
    router, _ = fleet((0, 0, 0))
    router.estimates.first_token_waits_ms.add(NOW, 600.0)
    router.context.now, lucky, unlucky = NOW, request(1), request(2)
    lucky.latency_target_at = unlucky.latency_target_at = NOW + 1000
    lucky.random_draw, unlucky.random_draw = 0.1, 0.9
    assert not router.admission.latency_target_unreachable(
        lucky
    ) and router.admission.latency_target_unreachable(unlucky)
    lucky.is_retry = True
    assert router.admission.latency_target_unreachable(lucky)


def test_slowdown_that_is_over_is_forgotten():
    router, _ = fleet((0, 0, 0))
    router.estimates.first_token_waits_ms.add(NOW - 10_000, 2000.0)
    router.context.now, one = NOW, request()
    one.latency_target_at, one.random_draw = NOW + 1000, 0.5
    assert router.admission.latency_target_unreachable(one)
    router.estimates.first_token_waits_ms.add(NOW, 20.0)
    assert not router.admission.latency_target_unreachable(one)


def test_full_prefill_engine_counts_as_a_long_wait_but_trial_requests_are_admitted():
    router, _ = fleet(*PAIR)
    one = request()
    router.decide(NOW, [RequestArrived(one)])
    ended(router, one.attempts[0], Outcome.FULL)
    assert (
        one.ended
        and router.estimates.prefill_ms_per_token.mean(router.context.now) * one.prompt_tokens == 1000.0
    )
    trial = request(2, now=router.context.now)
    trial.latency_target_at, trial.random_draw = router.context.now + 1000, 0.01
    assert not router.admission.latency_target_unreachable(trial)


def test_one_slow_prefill_does_not_reject_all_that_follows_where_engines_are_probed():
    """A node of hundreds sees one or two prefills of its own, and one of them was slow.

    It must not reject all that follows while it can probe engines; with few nodes its own prefills count.
    """
    for node_count, refused in ((200, False), (2, True)):
        router, _ = fleet(*THREE_PREFILL_ENGINES, node_count=node_count)
        router.estimates.first_token_waits_ms.add(NOW, 50.0)
        router.estimates.prefill_ms_per_token.add(NOW, 3743.0, 5405.0)
        router.estimates.uncached_prefill_ms_per_token.add(NOW, 400.0, 4700.0)
        one = request()
        one.prompt_tokens, one.random_draw = 4900.0, 0.9
        one.latency_target_at = NOW + 1600.0
        router.context.now, router.probing.enabled = NOW, node_count == 200
        router.estimates.best_prefill_ms_per_token = (
            router.estimates.uncached_prefill_ms_per_token.min_bucket_mean(NOW)
        )
        assert router.admission.latency_target_unreachable(one) is refused
        checked = router.index.prefill_engines[0]
        one.checked_engines[checked] = NOW - 400.0  # it has not answered: there are queues
        assert router.admission.latency_target_unreachable(one)


def test_cancelled_prefills_count_as_waits():
    """Prefill engines are overloaded, and only the few prefills that get through end with their times.

    Cancelled prefills must count too; otherwise the backlog looks fast.
    """
    router, (_, _) = fleet(*PAIR)
    one = request()
    router.decide(NOW, [RequestArrived(one)])
    ended(router, one.attempts[0], Outcome.CANCELLED, after=900.0)
    assert (
        router.admission.latency_target_unreachable(request(2, now=NOW + 900))
        and router.estimates.prefill_queue_waits_ms.mean(NOW + 900) == 900.0
    )


def test_request_whose_deadline_is_before_the_next_round_is_rejected_at_once():
    router, _ = fleet((0, 0, 0))
    assert kinds(router.decide(NOW, [RequestArrived(request(left=30.0))])) == ["RejectRequest"]


def test_prefills_in_flight_show_a_backlog_once_most_engines_are_cold():
    """Most prefill engines were replaced, the new ones have a backlog, and no prefill has ended there yet.

    A new request must be rejected by what is in flight; with warm engines it is sent.
    """
    for started, answer in ((NOW - 1000.0, ["RejectRequest"]), (0.0, ["StartAttempt"])):
        router, engines = fleet(*[(0, 0, 0)] * 3, *[(1, 0, 0)] * 3)
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
        router._send(request(1), engines[0], prefill=True)
        late = request(2, now=NOW + 900.0)
        late.prompt_tokens, late.session = 900.0, 2
        router.decide(NOW + 900.0, [])
        router.slow_start.prefill_credit = 1.0
        actions = router.decide(NOW + 900.0, [RequestArrived(late)])
        late.random_draw = 0.5
        assert kinds(actions) == answer
