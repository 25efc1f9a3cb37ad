"""Sends releases for one request until its claims (`kv_claims.KvClaims`) are settled.

A release acknowledged by any running engine frees all KV cache held for a request. So it goes first to the
engines with claims and then, at each step, to one more engine: a connection that cannot be established is
detected only after half of the time limit. The less of that limit is left, the more engines are tried at
once.

KV cache can still appear after an acknowledged release, at an engine that continues its attempt (RELEASED
claims). The release is sent again when that engine should have finished, and then once per time limit, until
KV cache can no longer appear.

No release is sent while an attempt is in flight, as it would free the KV cache that the attempt needs or
produces. The exception is an attempt whose engine is unresponsive (`unresponsive_attempts`): it may not have
arrived, and the time limit runs.

All times are in ms.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import structlog

from ..forwarding.control_call import OutgoingCall
from ..net import client, clock
from ..net.loop import Reactor, Timer
from ..policy.state import Engine
from . import protocol
from .kv_claims import KvClaims

LOG = structlog.get_logger()
STEPS_PER_TIME_LIMIT = 8  # a step is also the base of the retry backoff
SINGLE_TARGET_STEPS = 4  # steps that try one more engine each; later steps try two
MAX_CALLS = 8  # in flight per release, besides those to engines with claims
MAX_CALLS_PER_ENGINE = 3  # in flight while none of their connections is established
MAX_TARGETS_PER_ROUND = 4  # engines without claims, when little time is left
RETRY_STEPS_WHILE_DUE = 2  # maximum steps between calls to an engine while a release is due
# Fractions and multiples of the release time limit.
LATE_FRACTION = 0.6  # from then on two engines are tried at once
VERY_LATE_FRACTION = 0.75  # from then on `MAX_TARGETS_PER_ROUND` engines are tried at once
HOPELESS_FRACTION = 1.75  # from then on an acknowledgement is unlikely and fewer engines are tried
MAX_WORK_DELAY = 1.25  # the longest wait for an engine to finish before the next pass
DEAD_AFTER = 4.0  # an engine that refuses every connection for this long has died
MAX_RETRY_DELAY = 8.0  # maximum delay between calls to an engine that does not answer


class ReleaseCall(Protocol):
    """Sends one control call."""

    def __call__(
        self, engine: Engine, method: str, path: str, body: bytes, on_end: client.ResponseCallback, /
    ) -> OutgoingCall:
        """Sends the call to `engine` and passes its result to `on_end`."""
        ...


@dataclass(frozen=True, slots=True)
class ReleaseEnvironment:
    """The reactor, callbacks and time limit that all releases share."""

    reactor: Reactor
    call: ReleaseCall
    choose_target: Callable[[set[Engine]], Engine | None]  # returns an engine outside the set
    time_limit_ms: float  # for a release to be acknowledged
    on_settled: Callable[[KvRelease], None]  # called when no claim is left

    @property
    def step_ms(self) -> float:
        """The time between two rounds while a release is urgent."""
        return self.time_limit_ms / STEPS_PER_TIME_LIMIT


@dataclass(eq=False, slots=True)
class _Call:
    """A release call in flight."""

    engine: Engine
    call: OutgoingCall


class Phase(Enum):
    """The phase of a release."""

    PAUSED = "an attempt is in flight"
    SENDING = "engines are tried until one acknowledges"
    WAITING = "one has acknowledged; KV cache may still appear, so the release is repeated later"
    BESIDE = "as SENDING, beside an attempt whose engine is unresponsive"


class KvRelease:
    """The release of one request."""

    def __init__(self, environment: ReleaseEnvironment, claims: KvClaims) -> None:
        self.claims = claims
        self.phase = Phase.PAUSED
        # Called once, at the next acknowledgement or when sending stops.
        self.on_acknowledged: Callable[[], None] | None = None
        self._environment = environment
        self._path = protocol.HOLDS_PATH + claims.key
        self._rounds = 0
        self._due_since: float | None = None  # start of the time limit of the current pass
        self._tried: dict[Engine, None] = {}  # engines tried in the current pass
        self._first_pass_over = False
        self._failures: dict[Engine, int] = {}  # calls since the last acknowledgement
        self._retry_at: dict[Engine, float] = {}
        self._calls: list[_Call] = []
        self._timer: Timer | None = None

    @property
    def is_sending(self) -> bool:
        """Whether release calls are being sent."""
        return self.phase in (Phase.SENDING, Phase.BESIDE)

    def start(self, beside: bool = False) -> None:
        """Starts sending, or resumes after a pause.

        The pass is resumed if the time limit has not restarted, so that engines which did not answer before
        the pause are not tried first again.
        """
        if self._due_since is None or self._due_since != self.claims.due_since:
            self._begin_pass()
        self._due_since = self.claims.due_since
        self._retry_at.clear()
        self.phase = Phase.BESIDE if beside else Phase.SENDING
        self._run_round()

    def pause(self) -> None:
        """Stops sending, because an attempt is about to arrive at an engine or the release is over."""
        self.phase = Phase.PAUSED
        self._end_calls(kept=set())
        self._stop_timer()
        self._notify_acknowledged()

    def _begin_pass(self) -> None:
        self._tried.clear()
        self._first_pass_over, self._rounds = False, 0

    def _run_round(self) -> None:
        now = clock.now()
        self.claims.remove_expired(now)
        if not self.claims.claims:
            return self._environment.on_settled(self)
        if self.phase is Phase.WAITING:
            self._begin_pass()
        if self.phase is not Phase.BESIDE:
            self.phase = Phase.SENDING
        self._try_claimed(now)
        for _ in range(self._other_targets(now)):
            self._try_another(again=True)
        if not self._calls:  # no other engine is available
            self._retry_at.clear()
            self._try_claimed(now)
        self._rounds += 1
        self._schedule_round(self._next_round_ms())

    def _next_round_ms(self) -> float:
        environment = self._environment
        backoff = 2.0 ** max(0, self._rounds - 2 * STEPS_PER_TIME_LIMIT)
        return min(environment.time_limit_ms, environment.step_ms * backoff)

    # Which engines are tried.

    def _may_try(self, engine: Engine, now: float) -> bool:
        """Whether it is time for a first or another call to an engine.

        Failure: a connection is never established, which is detected only after most of the time limit.
        Another one is opened meanwhile.
        """
        calls = [item.call for item in self._calls if item.engine is engine]
        if any(call.connected for call in calls) or len(calls) >= MAX_CALLS_PER_ENGINE:
            return False
        return self._retry_at.get(engine, 0.0) <= now

    def _try_claimed(self, now: float) -> None:
        """Sends a call to each engine with claims for which it is time."""
        for engine in {claim.engine: None for claim in self.claims.claims}:
            if self._may_try(engine, now):
                self._send(engine)

    def _other_targets(self, now: float) -> int:
        """Returns the number of engines without claims to try in this round; it grows as time runs out."""
        since = self.claims.possible_since
        used_fraction = 0.0 if since is None else (now - since) / self._environment.time_limit_ms
        if self._rounds and VERY_LATE_FRACTION <= used_fraction < HOPELESS_FRACTION:
            return MAX_TARGETS_PER_ROUND
        if self._rounds > SINGLE_TARGET_STEPS or self._rounds and used_fraction >= LATE_FRACTION:
            return 2
        if self._rounds or not self._calls:
            return 1
        if self.claims.due_since is None:
            any_responsive = any(claim.responsive_since is not None for claim in self.claims.claims)
            return 0 if any_responsive else 1
        return (used_fraction >= LATE_FRACTION) + (used_fraction >= VERY_LATE_FRACTION)

    def _try_another(self, again: bool) -> None:
        """Sends a call to one engine without claims.

        With `again`, a new pass starts once all engines were tried.
        """
        claimed = {claim.engine for claim in self.claims.claims}
        calling = {call.engine for call in self._calls}
        if sum(call.engine not in claimed for call in self._calls) >= MAX_CALLS:
            return
        target = self._environment.choose_target({*claimed, *calling, *self._tried})
        if target is None and again:
            self._first_pass_over = True
            self._tried.clear()
            now = clock.now()
            waiting = {engine for engine in calling if not self._may_try(engine, now)}
            target = self._environment.choose_target(claimed | waiting)
        if target is not None:
            self._send(target)

    # Calls.

    def _send(self, engine: Engine) -> None:
        sent_at = clock.now()
        first = engine not in self._tried
        self._tried[engine] = None
        self._delay_retry(engine, sent_at)

        def ended(status: int, headers: dict[str, str], reply: bytes, error: client.CallError | None) -> None:
            if call not in self._calls:
                return
            self._calls.remove(call)
            if call.call.connected:
                self.claims.connection_opened(engine)
            if 200 <= status < 300 and error is None:
                self._failures.pop(engine, None)
                self._on_acknowledged(engine, sent_at)
            else:
                self._on_failure(engine, sent_at, error, first)

        call = _Call(engine, self._environment.call(engine, "DELETE", self._path, b"", ended))
        self._calls.append(call)

    def _delay_retry(self, engine: Engine, now: float) -> None:
        """Sets the next call time by exponential backoff, with a lower maximum while a release is due."""
        environment = self._environment
        failures = self._failures[engine] = self._failures.get(engine, 0) + 1
        max_delay_ms = (
            RETRY_STEPS_WHILE_DUE * environment.step_ms
            if self.claims.is_due
            else MAX_RETRY_DELAY * environment.time_limit_ms
        )
        self._retry_at[engine] = now + min(max_delay_ms, environment.step_ms * 2.0**failures)

    def _on_failure(
        self, engine: Engine, sent_at: float, error: client.CallError | None, first: bool
    ) -> None:
        if isinstance(error, client.ConnectRefusedError):
            min_refusing_ms = DEAD_AFTER * self._environment.time_limit_ms
            self.claims.connection_refused(engine, sent_at, min_refusing_ms)
            if not self.claims.claims:
                return self._environment.on_settled(self)
        if first and self.is_sending and not self._first_pass_over:
            self._try_another(again=False)  # at once: a refusal arrives long before the next step

    def _on_acknowledged(self, engine: Engine, sent_at: float) -> None:
        now = clock.now()
        if self.phase is Phase.BESIDE:
            self.claims.acknowledged_beside = sent_at
            return self.pause()
        due_since = self.claims.due_since
        self.claims.release_acknowledged(engine, sent_at, now)
        if due_since is not None and now - due_since > self._environment.time_limit_ms:
            LOG.warning("late release", request=self.claims.key, duration_ms=round(now - due_since))
        if not self.claims.claims:
            return self._environment.on_settled(self)
        if self.phase is Phase.SENDING:
            self.phase = Phase.WAITING
            self._end_calls(kept={claim.engine for claim in self.claims.claims})
            self._schedule_round(self._next_pass_ms(now))
        self._notify_acknowledged()

    def _next_pass_ms(self, now: float) -> float:
        """Returns the delay until the next pass: until the engines should have finished, if that is soon."""
        time_limit_ms, work_left_ms = self._environment.time_limit_ms, self.claims.work_left_ms(now)
        return work_left_ms + 1.0 if 0 < work_left_ms <= MAX_WORK_DELAY * time_limit_ms else time_limit_ms

    def _end_calls(self, kept: set[Engine]) -> None:
        """Abandons the calls in flight, except those to the engines in `kept`."""
        ended = [call for call in self._calls if call.engine not in kept]
        self._calls = [call for call in self._calls if call.engine in kept]
        for call in ended:
            call.call.end()

    def _notify_acknowledged(self) -> None:
        on_acknowledged, self.on_acknowledged = self.on_acknowledged, None
        if on_acknowledged is not None:
            on_acknowledged()

    def _schedule_round(self, delay_ms: float) -> None:
        self._stop_timer()
        self._timer = self._environment.reactor.callLater(max(0.0, delay_ms) / 1000, self._run_round)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
