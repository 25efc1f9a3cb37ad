"""Which requests are rejected before their prefill."""

from helpers import NOW, PAIR, THREE_READERS, ended, fleet, kinds, request

from worksmux.policy.events import EndpointEntry, EndpointListUpdate, RequestArrived, TimerFired
from worksmux.policy.state import Outcome


def test_waiting_request_is_deferred_once_its_promised_time_is_lost():
    front, _ = fleet((0, 0, 0))
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    assert kinds(front.decide(NOW + 990, [TimerFired(0)])) == ["RejectRequest"] and one.ended


def test_line_is_cut_by_chance_before_the_usual_need_no_longer_fits():
    front, _ = fleet((0, 0, 0))
    front.estimates.first_token_waits.add(NOW, 600.0)
    front.context.now, lucky, unlucky = NOW, request(1), request(2)
    lucky.latency_target_at = unlucky.latency_target_at = NOW + 1000
    lucky.random_draw, unlucky.random_draw = 0.1, 0.9
    assert not front.admission.latency_target_unreachable(
        lucky
    ) and front.admission.latency_target_unreachable(unlucky)
    lucky.repeat = True
    assert front.admission.latency_target_unreachable(lucky)


def test_trouble_that_is_over_is_forgotten():
    front, _ = fleet((0, 0, 0))
    front.estimates.first_token_waits.add(NOW - 10_000, 2000.0)
    front.context.now, one = NOW, request()
    one.latency_target_at, one.random_draw = NOW + 1000, 0.5
    assert front.admission.latency_target_unreachable(one)
    front.estimates.first_token_waits.add(NOW, 20.0)
    assert not front.admission.latency_target_unreachable(one)


def test_full_reader_counts_as_a_long_wait_and_a_few_requests_go_ahead_all_the_same():
    front, _ = fleet(*PAIR)
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    ended(front, one.attempts[0], Outcome.FULL)
    assert one.ended and front.estimates.prefill_per_token.mean(front.context.now) * one.prompt == 1000.0
    trial = request(2, now=front.context.now)
    trial.latency_target_at, trial.random_draw = front.context.now + 1000, 0.01
    assert not front.admission.latency_target_unreachable(trial)


def test_one_slow_read_does_not_refuse_all_that_follows_where_readers_can_be_asked():
    # Guards against a front of hundreds that judges all readers by one or two reads of its own.
    for fronts, refused in ((200, False), (2, True)):
        front, _ = fleet(*THREE_READERS, node_count=fronts)
        front.estimates.first_token_waits.add(NOW, 50.0)
        front.estimates.prefill_per_token.add(NOW, 3743.0, 5405.0)
        front.estimates.uncached_prefill_per_token.add(NOW, 400.0, 4700.0)
        one = request()
        one.prompt, one.random_draw = 4900.0, 0.9
        one.latency_target_at = NOW + 1600.0
        front.context.now, front.probing.enabled = NOW, fronts == 200
        front.estimates.best_prefill_per_token = front.estimates.uncached_prefill_per_token.least(NOW)
        assert front.admission.latency_target_unreachable(one) is refused
        checked = front.index.prefill_engines[0]
        one.checked_engines[checked] = NOW - 400.0  # it has not answered: there are queues
        assert front.admission.latency_target_unreachable(one)


def test_reads_called_off_in_a_jam_count_as_waits():
    # Guards against a jam that looks quick, since only the reads that got through showed their times.
    front, (_, _) = fleet(*PAIR)
    one = request()
    front.decide(NOW, [RequestArrived(one)])
    ended(front, one.attempts[0], Outcome.CANCELLED, after=900.0)
    assert (
        front.admission.latency_target_unreachable(request(2, now=NOW + 900))
        and front.estimates.prefill_queue_waits.mean(NOW + 900) == 900.0
    )


def test_request_whose_client_leaves_before_the_next_beat_is_answered_at_once():
    front, _ = fleet((0, 0, 0))
    assert kinds(front.decide(NOW, [RequestArrived(request(left=30.0))])) == ["RejectRequest"]


def test_reads_that_are_out_tell_of_a_jam_once_most_readers_are_cold():
    """Guards against jobs sent after others into a jam of replaced readers, where nothing has ended yet."""
    for started, answer in ((NOW - 1000.0, ["RejectRequest"]), (0.0, ["StartAttempt"])):
        front, engines = fleet(*[(0, 0, 0)] * 3, *[(1, 0, 0)] * 3)
        front.decide(
            NOW,
            [
                EndpointListUpdate(
                    "full",
                    [EndpointEntry(engine, "ready", started, 0, 0, engine.kind, 1.0) for engine in engines],
                )
            ],
        )
        front.slow_start.prefill_credit = 1.0
        for engine in engines:
            engine.credit = 1.0
        front._send(request(1), engines[0], prefill=True)
        late = request(2, now=NOW + 900.0)
        late.prompt, late.session = 900.0, 2
        front.decide(NOW + 900.0, [])
        front.slow_start.prefill_credit = 1.0
        actions = front.decide(NOW + 900.0, [RequestArrived(late)])
        late.random_draw = 0.5
        assert kinds(actions) == answer
