"""Turns a batch of events into actions: the entry point to all decisions on requests.

    router = Router(settings, seed)
    actions = router.decide(now, events)  # once for each batch of events, in order of arrival

The router dispatches events; each rule is in the module of its name in this package.  A router learns
of faults only from its own events; in a large fleet it sends an engine less than one attempt during a fault.
Times are milliseconds.
"""

from __future__ import annotations

from math import inf

from .actions import (
    AbortRequest,
    Action,
    CancelAttempt,
    CheckHealth,
    EndReason,
    RejectRequest,
    ReleaseKvCache,
    ReserveSlot,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from .admission import Admission
from .context import PolicyContext
from .decode_selection import DecodeSelection
from .decode_window import DecodeWindow
from .endpoint_index import EngineIndex
from .endpoint_table import EndpointTable
from .events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    FailoverPlan,
    FirstToken,
    HealthCheckEnded,
    RequestArrived,
    StateRestored,
    TimerFired,
)
from .in_flight import InFlight
from .kv_transfer import HeldKvCaches
from .load_estimates import SUSPECT_AFTER_SHARE, LoadEstimates
from .outlier_detection import OutlierDetection
from .placement import Placement, Placer
from .prefill_order import PrefillOrder
from .prefill_probing import PrefillProbing
from .retry import RetryPolicy
from .settings import ROLE_COMBINED, ROLE_DECODE, ROLE_PREFILL, PolicySettings
from .slow_start import SlowStart
from .state import READY, Attempt, Engine, Outcome, Request

ROUNDS_PER_SUSPICION = 4  # decision rounds within the time after which a silent engine is suspected
ROUND_TIMER = 0  # token of the timer for decision rounds
PREFILL_TIMEOUT_SHARE = 0.5  # of the time to the deadline; the rest is left for the decode attempt
# Slow-start credit earned by an arrival, in served requests.  An arrival earns some, so that a fleet whose
# engines are all cold gets requests.  A client's retry earns the least, as retries can come in storms.
ARRIVAL_CREDIT, CLIENT_RETRY_CREDIT = 0.5, 0.25


class Router:
    """Takes the decisions of one node."""

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        self.settings = settings
        self.context = context = PolicyContext(settings, seed)
        self.engines = context.engines
        self.slow_start = SlowStart(settings)
        self.in_flight = InFlight()
        self.estimates = LoadEstimates(context, self.in_flight)
        self.outliers = OutlierDetection(context, self.estimates, self.slow_start)
        self.retry = RetryPolicy(context)
        self.probing = PrefillProbing(context, self.estimates, self.slow_start, self.outliers)
        self.admission = Admission(context, self.estimates, self.probing)
        self.window = DecodeWindow(context, self.estimates, self.in_flight, self.outliers, self.probing)
        self.decode_selection = DecodeSelection(
            context, self.estimates, self.slow_start, self.outliers, self.retry, self.window
        )
        self.prefill_order = PrefillOrder(context, self.estimates, self.outliers, self.probing)
        self.placer = Placer(
            context,
            self.estimates,
            self.in_flight,
            self.outliers,
            self.retry,
            self.probing,
            self.prefill_order,
            self.window,
            self.decode_selection,
        )
        self.kv_caches = HeldKvCaches(context)
        self.endpoints = EndpointTable(context, self.slow_start, self.outliers, self.in_flight)
        self.waiting: dict[Request, None] = {}  # requests without a placement
        self.timer_due_at = -inf
        if settings.polls_endpoint_list:
            context.actions.append(WatchEndpoints(True))
        self._rebuild_index()

    @property
    def index(self) -> EngineIndex:
        """The index of the current endpoint list."""
        return self.context.index

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        """Runs one decision round: handles the events in order and returns the actions in order."""
        self.context.now = now
        self.probing.invalidate_health()
        self.estimates.begin_round(self.probing.enabled)
        for event in events:
            self._handle_event(event)
        if self.kv_caches.requests:
            self._send_held()
        if self.waiting:
            self._place_waiting()
        self._set_timer()
        actions, self.context.actions = self.context.actions, []
        return actions

    def _set_timer(self) -> None:
        """Sets the timer of the next decision round, unless there is nothing to watch."""
        target_ms = self.context.shortest_target_ms
        delay_ms = SUSPECT_AFTER_SHARE * target_ms / ROUNDS_PER_SUSPICION if self.outliers.awaited else inf
        if self.waiting or self.kv_caches.requests:
            delay_ms = self.context.round_interval_ms
        if any(request.checked_engines for request in self.waiting):
            delay_ms = min(delay_ms, self.probing.answer_within_ms)
        now = self.context.now
        if delay_ms < inf and not now < self.timer_due_at <= now + delay_ms:
            self.timer_due_at = now + delay_ms
            self._emit(SetTimer(delay_ms, ROUND_TIMER))

    def _emit(self, action: Action) -> None:
        self.context.actions.append(action)

    # Events.

    def _handle_event(self, event: Event) -> None:
        match event:
            case AttemptEnded():
                self._on_attempt_ended(event)
            case RequestArrived(request):
                self._on_request_arrived(request)
            case FirstToken(attempt, elapsed_ms):
                self._on_first_token(attempt, elapsed_ms)
            case TimerFired(token):
                self._on_timer(token)
            case ClientDisconnected(request):
                self._abandon(request)
            case EndpointListUpdate():
                self._on_endpoint_list(event)
            case HealthCheckEnded(engine, outcome):
                self._cancel_replaceable(self.outliers.record_health_check(engine, outcome))
            case StateRestored():
                self._on_state_restored(event)
            case FailoverPlan():
                self.context.plan = event
                self._rebuild_index()

    def _on_request_arrived(self, request: Request) -> None:
        context = self.context
        request_class = context.request_classes[request.request_class]
        request.latency_target_at = (
            context.now
            + request_class.latency_target_ms
            + request_class.latency_target_per_1000_tokens_ms * request.prompt_tokens / 1000
        )
        request.random_draw = context.random_source.share()
        if rejection := self.admission.shed(request):
            request.ended = True
            self._emit(rejection)
            return
        self.waiting[request] = None
        for role in (ROLE_PREFILL, ROLE_DECODE, ROLE_COMBINED):
            self.slow_start.earn(role, CLIENT_RETRY_CREDIT if request.is_retry else ARRIVAL_CREDIT)
        if not request.is_retry and context.index.all_decode_engines_cold(context.now):
            # A node with sparse traffic has no served requests to earn credit from.
            self.slow_start.earn(ROLE_DECODE, ARRIVAL_CREDIT)

    def _on_first_token(self, attempt: Attempt, elapsed_ms: float) -> None:
        attempt.first_token_at, attempt.request.streaming, attempt.request.kv_holder = (
            self.context.now,
            True,
            None,
        )
        self.estimates.record_first_token(attempt, elapsed_ms)
        self.outliers.record_success(attempt)

    def _on_timer(self, token: int) -> None:
        if token != ROUND_TIMER:
            self._emit(WatchEndpoints(True))
        elif self.timer_due_at <= self.context.now + self.settings.tick_ms:
            self.timer_due_at = -inf
            self._check_held()
            self._check_silent_engines()

    def _on_endpoint_list(self, event: EndpointListUpdate) -> None:
        if self.endpoints.update(event):
            self._rebuild_index()

    def _rebuild_index(self) -> None:
        self.endpoints.rebuild_index()
        self.prefill_order.forget_all()

    def _on_state_restored(self, event: StateRestored) -> None:
        """Restores what was learned before a restart; it expires like new samples."""
        self.estimates.restore(event)
        self.outliers.restore(event)
        self.window.restore(event)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        attempt, outcome = event.attempt, event.outcome
        request = attempt.request
        attempt.outcome = outcome
        self.in_flight.end(attempt)
        self._record_outcome(event)
        if event.closed:
            request.ended = True
            self.in_flight.release(request)
        if request.ended:
            if outcome is not Outcome.SERVED:
                # Else engines would hold KV cache for a request that has its final answer.
                self._emit(ReleaseKvCache(request))
        elif outcome is Outcome.PREFILLED and not self.retry.is_exhausted(request):
            self.kv_caches.hold(request, attempt.engine)
        elif (
            request.kv_holder
            and not event.kv_cache_lost
            and not self.retry.is_exhausted(request)
            and self.retry.may_retry(request)
        ):
            self.kv_caches.hold_again(event)
        else:
            self._start_over(request)

    def _record_outcome(self, event: AttemptEnded) -> None:
        """Records what the end of an attempt shows about its engine and the load."""
        attempt, outcome = event.attempt, event.outcome
        self.estimates.record_ended(event)
        if outcome is Outcome.PREFILLED:
            self.outliers.record_success(attempt)
        elif outcome is Outcome.SERVED:
            self.window.grow(attempt.engine)
        elif outcome is Outcome.FULL:
            if not event.kv_cache_lost:  # lost KV cache is not the decode engine's fault
                self.window.shrink(attempt.engine)
        else:
            self.outliers.record_failure(event)
        self.outliers.record_ended(event)

    # Placement.

    def _place_waiting(self) -> None:
        """Rejects and places waiting requests, those with the nearest latency target first."""
        self.window.begin_placement()
        self.estimates.update_in_flight_prefills()
        self.probing.update()
        self.admission.begin_placement()
        new_requests_blocked = False  # if one new request finds no placement, none does
        for request in sorted(self.waiting, key=lambda request: request.latency_target_at):
            if self.admission.latency_target_unreachable(request):
                self._end_request(request, EndReason.LATENCY_TARGET_UNREACHABLE)
            elif request.attempts or not new_requests_blocked:
                if placement := self.placer.find(request):
                    self._place(request, placement)
                    del self.waiting[request]
                else:
                    new_requests_blocked = new_requests_blocked or not (
                        request.attempts or request.checked_engines
                    )
        self.admission.end_placement()

    def _place(self, request: Request, placement: Placement) -> None:
        """Sends the prefill and reserves a decode slot, or sends one attempt that does both."""
        prefill_engine, decode_engine = placement
        self.decode_selection.record_chosen(decode_engine)
        if prefill_engine is decode_engine:
            self._send(request, decode_engine, prefill=False)
            return
        if self.slow_start.is_cold(prefill_engine, self.context.now):
            self.slow_start.spend_prefill()
        self.in_flight.reserve(request, decode_engine)
        timeout_ms = (request.deadline - self.context.now) * PREFILL_TIMEOUT_SHARE
        self._send(request, prefill_engine, prefill=True, timeout_ms=timeout_ms)
        if self.settings.may_reserve:
            self._emit(ReserveSlot(request, decode_engine))

    def _send(self, request: Request, engine: Engine, prefill: bool, timeout_ms: float = 0.0) -> None:
        """Starts an attempt of a request at an engine."""
        attempt = Attempt(
            request,
            engine,
            len(request.attempts),
            self.context.now,
            prefill,
            prefill_tokens=0.0 if request.kv_holder else request.prompt_tokens,
        )
        request.attempts.append(attempt)
        self.in_flight.start(attempt)
        self.outliers.expect_answer(engine)
        self.kv_caches.drop(request)
        request.checked_engines.clear()
        self.prefill_order.forget(request)
        self.probing.invalidate_health()  # an engine back from ejection has its one attempt now
        self._emit(StartAttempt(attempt, timeout_ms))

    # Held KV cache.

    def _send_held(self) -> None:
        """Sends each held KV cache to its reserved decode engine, or else to the next one with capacity."""
        for request in list(self.kv_caches.requests):
            if self.waiting and self.kv_caches.prefill_too_late(request):
                self._end_request(request, EndReason.PREFILL_TOO_LATE)
                continue
            if self.kv_caches.must_be_released(request):
                self._prefill_again(request)
                continue
            decode_engine = request.decode_engine
            self.in_flight.release(request)
            if not (
                decode_engine
                and self.retry.may_send(request, decode_engine)
                and self.outliers.is_healthy(decode_engine, request.request_class)
            ):
                decode_engine = self.decode_selection.select(request, request.kv_holder)
                if decode_engine:
                    self.decode_selection.record_chosen(decode_engine)
            if decode_engine:
                self._send(request, decode_engine, prefill=False)

    def _check_held(self) -> None:
        """Gives up KV cache that has been held for too long or whose request may not be retried."""
        for request in list(self.kv_caches.requests):
            if self.retry.is_exhausted(request) or self.kv_caches.must_be_released(request):
                self._prefill_again(request)

    def _prefill_again(self, request: Request) -> None:
        """Gives up held KV cache; the request is prefilled again if it may be."""
        self.kv_caches.drop(request)
        self._start_over(request)

    # Silent engines.

    def _check_silent_engines(self) -> None:
        for engine in self.outliers.newly_suspected():
            if self.settings.may_check_health and engine.state == READY:
                self._emit(CheckHealth(engine))
            else:
                self._cancel_replaceable(self.outliers.record_health_check(engine, Outcome.TIMED_OUT))

    def _cancel_replaceable(self, attempts: list[Attempt]) -> None:
        """Cancels attempts so that their requests run elsewhere.

        Where engines are checked before a prefill, a prefill is not cancelled if another would be too late.
        """
        for attempt in attempts:
            request = attempt.request
            if self.retry.may_cancel_for_retry(request, attempt.is_prefill) and not (
                self.probing.enabled
                and attempt.is_prefill
                and self.admission.latency_target_unreachable(request)
            ):
                self._cancel(attempt)

    def _cancel(self, attempt: Attempt) -> None:
        if self.settings.may_cancel and not (attempt.first_token_at or attempt.cancel_requested):
            attempt.cancel_requested = True
            self._emit(CancelAttempt(attempt))

    # Ends of requests.

    def _start_over(self, request: Request) -> None:
        """Returns a request to the waiting ones if it may be retried or rejected later; else ends it."""
        request.kv_holder = None
        self.in_flight.release(request)
        self._emit(ReleaseKvCache(request))  # also a slot reserved ahead of a failed prefill
        may_retry = self.retry.may_retry(request) and self.retry.may_prefill_again(request)
        if self.retry.is_exhausted(request):
            self._end_request(request, EndReason.RETRY_EXHAUSTED)
        elif not (self.retry.may_reject(request) or may_retry):
            self._end_request(request, EndReason.POSSIBLY_EXECUTED)
        else:
            self.waiting[request] = None

    def _end_request(self, request: Request, reason: EndReason) -> None:
        if request.ended:
            return
        if self.retry.may_reject(request):
            self._emit(RejectRequest(request, reason=reason))
        else:
            self._emit(AbortRequest(request, reason))
        self._abandon(request)

    def _abandon(self, request: Request) -> None:
        """Gives up a request: cancels its attempts and releases what it holds."""
        request.ended = True
        self.in_flight.release(request)
        self.kv_caches.drop(request)
        self.waiting.pop(request, None)
        self.prefill_order.forget(request)
        for attempt in request.in_flight:
            self._cancel(attempt)
        if request.attempts and not request.in_flight:
            self._emit(ReleaseKvCache(request))
