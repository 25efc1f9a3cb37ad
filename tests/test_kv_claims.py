"""Claims on KV cache that engines may hold for one request, and the proof that settles them."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from worksmux.node.kv_claims import MAX_SILENCE_MS, ClaimState, KvClaims
from worksmux.policy.state import Engine

MIN_REFUSING_MS = 400.0  # an engine that only refuses connections for this long has died
ENGINES = [Engine(bytes([at]), at, state="ready") for at in range(4)]


def test_claims_end_by_acknowledged_releases() -> None:
    claims = KvClaims("a1")
    prefill_engine, unseen, other, _ = ENGINES
    claims.add_held(prefill_engine, 100.0)
    claims.add_possible(unseen, 200.0, 500.0)
    assert claims.is_due and claims.due_since == 100.0
    claims.release_acknowledged(other, 210.0, 212.0)  # frees all KV cache held now, at every engine
    (claim,) = claims.claims
    assert not claims.is_due and claim.engine is unseen and claim.state is ClaimState.RELEASED
    assert claims.due_since is None
    # Another engine's acknowledgement does not show that this one has finished.
    claims.release_acknowledged(other, 2000.0, 2001.0)
    claims.release_acknowledged(unseen, 2100.0, 2102.0)  # it may have begun only now
    claims.release_acknowledged(unseen, 2600.0, 2601.0)
    assert claims.claims
    claims.release_acknowledged(unseen, 2602.0, 2603.0)
    assert not claims.claims


def test_two_prefills_at_one_engine_have_a_claim_each() -> None:
    """Two prefills of a request end at one engine, and a decode engine takes the KV cache of one.

    The other one stays claimed.
    """
    claims = KvClaims("a1")
    engine = ENGINES[0]
    claims.add_held(engine, 100.0)
    claims.add_held(engine, 300.0)
    claims.remove_taken(engine)
    assert [claim.since for claim in claims.claims] == [100.0] and claims.is_due
    claims.add_possible(engine, 400.0, 1000.0)
    claims.remove_taken(engine)
    assert [claim.state for claim in claims.claims] == [ClaimState.POSSIBLE]


def test_release_sent_before_an_attempt_ended_settles_nothing() -> None:
    claims = KvClaims("a1")
    claims.add_possible(ENGINES[0], 100.0, 0.0)
    claims.release_acknowledged(ENGINES[0], 99.0, 130.0)
    assert claims.claims
    claims.release_acknowledged(ENGINES[0], 101.0, 131.0)
    assert not claims.claims


def test_only_an_attempt_that_arrived_restarts_the_time_limit() -> None:
    claims = KvClaims("a1")
    claims.add_held(ENGINES[0], 100.0)
    claims.attempt_ended(300.0, arrived=False)
    assert claims.due_since == 100.0
    claims.attempt_ended(400.0, arrived=True)
    assert claims.due_since == 400.0
    claims.acknowledged_beside = 500.0  # freed the KV cache that the attempt did not take
    claims.attempt_ended(900.0, arrived=False)
    assert claims.due_since == 900.0


def test_engine_that_only_refuses_connections_has_died() -> None:
    claims = KvClaims("a1")
    engine = ENGINES[0]
    claims.add_possible(engine, 100.0, 500.0)
    claims.connection_refused(engine, 90.0, MIN_REFUSING_MS)  # before the end of the attempt: no proof
    claims.connection_refused(engine, 110.0, MIN_REFUSING_MS)
    # An overloaded engine refuses too.
    claims.connection_refused(engine, 110.0 + MIN_REFUSING_MS / 2, MIN_REFUSING_MS)
    claims.release_acknowledged(engine, 600.0, 601.0)
    claims.connection_refused(engine, 700.0, MIN_REFUSING_MS)
    assert claims.claims
    claims.connection_refused(engine, 700.0 + MIN_REFUSING_MS, MIN_REFUSING_MS)
    assert not claims.claims


def test_engine_with_a_full_connection_queue_has_not_died() -> None:
    """An engine hangs and refuses connections while its accept queue is full, but accepts some in between.

    Its process lives, so the claim stays.
    """
    claims = KvClaims("a1")
    engine = ENGINES[0]
    claims.add_possible(engine, 100.0, 500.0)
    claims.connection_refused(engine, 110.0, MIN_REFUSING_MS)
    claims.connection_opened(engine)  # no answer, but the connection was accepted
    claims.connection_refused(engine, 110.0 + MIN_REFUSING_MS, MIN_REFUSING_MS)
    assert claims.claims


def test_restarted_or_long_silent_engine_holds_nothing() -> None:
    claims = KvClaims("a1")
    engine = Engine(b"n", 9)
    claims.add_held(engine, 100.0)
    claims.remove_expired(200.0)
    assert claims.claims
    engine.started = 150.0
    claims.remove_expired(200.0)
    assert not claims.claims and claims.due_since is None
    claims.add_possible(engine, 300.0, 0.0)
    claims.remove_expired(300.0 + MAX_SILENCE_MS)
    assert not claims.claims


EVENTS = st.tuples(
    st.sampled_from(["held", "possible", "taken", "released"]), st.integers(0, 3), st.integers(0, 300)
)
WORK_MS = 400.0


@given(st.lists(EVENTS, max_size=25))
def test_no_claim_is_removed_without_proof(events: list[tuple[str, int, int]]) -> None:
    """Several attempts of one request leave claims at several engines, in any order.

    A claim is removed only by proof that its own KV cache is gone.
    """
    claims, now = KvClaims("a1"), 0.0
    held: list[int] = []  # engine indexes, one entry per prefill
    possible: list[tuple[int, float, float]] = []  # engine index, end, known to run since
    for name, index, ms in events:
        now += ms
        match name:
            case "held":
                claims.add_held(ENGINES[index], now)
                held.append(index)
            case "possible":
                claims.add_possible(ENGINES[index], now, WORK_MS)
                possible.append((index, now, -1.0))
            case "taken":
                claims.remove_taken(ENGINES[index])
                if index in held:
                    held.remove(index)
            case "released":
                claims.release_acknowledged(ENGINES[index], now, now)
                held.clear()
                possible = [
                    (other, end, now if other == index and running_since < 0 else running_since)
                    for other, end, running_since in possible
                    if other != index or running_since < 0 or now < running_since + WORK_MS
                ]
        expected = sorted(
            [ENGINES[other].key for other in held] + [ENGINES[other].key for other, _, _ in possible]
        )
        assert sorted(claim.engine.key for claim in claims.claims) == expected
        assert not held or claims.is_due
