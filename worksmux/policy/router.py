"""All decisions of worksmux.

    front = Front(settings, seed)            # a plain map, named as in `settings/told.py`
    actions = front.decide(now, events)      # once for each batch of events, in the order they came

The types of events, actions, jobs, trips and engines are in `worksmux/policy/`; `docs/design.md` says
which part of the design each piece serves.  Times are milliseconds.  A front knows only its own events; in a
large fleet it meets an engine less than once in the time that a trouble lasts.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from itertools import chain, islice
from math import ceil, inf

from .actions import (
    AbortRequest,
    Action,
    CancelAttempt,
    CheckHealth,
    RejectRequest,
    ReleaseKvCache,
    ReserveSlot,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from .endpoint_index import ANYWHERE, FURTHER_LOOKS, HEAD_LOOKS, EngineIndex, RoundRobin, Scope
from .events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    Event,
    FailoverPlan,
    FirstToken,
    HealthCheckEnded,
    RequestArrived,
    StateRestored,
    TimerFired,
)
from .measure import Chance, Ring, mix, straw
from .rendezvous import Ranking, rank
from .settings import PolicySettings
from .slow_start import SlowStart
from .state import Attempt, Engine, Outcome, Request

MARGIN = 0.25  # of an engine's even share, added to make its first window or its room
BACKLOG = 0.15  # of the shortest promised time: a wait for the first token that narrows no window
MARK = 1_000.0  # how long a full answer sets a writer aside (the design's "about a second")
BEATS = 6  # looks at the clock, while a job waits, within the time to let go of held state
UNHEARD = 0.5  # of the shortest promised time: an engine silent for less is never suspected
SLOWNESS = 4.0  # times the fleet's usual answer: an engine silent for longer is suspected
MEMORY = 16 * MARK  # how long faults, good turns and usual times are remembered
LONGEST_ASIDE = 2  # doublings of MARK at most
FAILING = 0.25  # of an offering's trips: above it, engines known to serve the offering come first
SHARED = 1.5  # times the faults of the others of its role: an engine with fewer is like them
PRESS = 1.0  # times the usual need that a job is given up early, by chance
REPEAT = 4.0  # the same for a client's repeat, whose promised time is partly spent
LATELY = 3  # buckets of the newest: a trouble that is over is forgotten
TRIAL = 0.05  # of the jobs go ahead whatever the usual need: else nothing would show its fall
SEEN = 0.1  # of the traffic: a front that gets less sees little of what the others send
ASK = 0.02  # of the shortest promised time: a reader that takes longer to answer has a line
ASKED = 3  # readers at most that are asked before a read
BUCKETS = 10  # in a ring
ALL = -1  # stands for every offering
NOBODY: dict[Engine, None] = {}


class Front:
    def __init__(self, settings: PolicySettings, seed: int) -> None:
        self.settings, self.chance = settings, Chance(seed)
        self.request_classes = settings.request_classes
        self.per_k: float = (
            max(request_class.latency_target_per_1000_tokens_ms for request_class in self.request_classes)
            / 1000
        )
        self.quickest: float = min(request_class.latency_target_ms for request_class in self.request_classes)
        self.beat: float = max(settings.tick_ms, (settings.release_within_ms or MARK) / BEATS)
        self.now, self.alarm_at, self.reckoned, self.asks = 0.0, -inf, -inf, False
        self.slow_start = SlowStart(settings)
        self.shared: dict[str, float] = defaultdict(float)  # by role: faults of those that are ready
        self.actions: list[Action] = [WatchEndpoints(True)] if settings.polls_endpoint_list else []
        self.engines: dict[Engine, None] = {}
        self.awaited: dict[Engine, None] = {}  # no sign of life since a send
        self.busy: dict[Engine, None] = {}  # with a trip out
        self.faulty: dict[Engine, None] = {}  # with faults in memory
        self.good: list[dict[Engine, None]] = [
            {} for _ in self.request_classes
        ]  # known to serve it, latest last
        self.searched: dict[Request, int] = {}  # waiting: how far its readers were looked at
        self.looks: dict[Request, list[tuple[Engine, float]]] = {}  # waiting: its readers, the first of them
        self.usual: tuple[float, float] | None = None  # while waiting jobs are placed
        self.none_well: dict[int, bool] = {}  # by offering, in this turn: whether no reader is
        self.waiting: dict[Request, None] = {}  # before their read
        self.holding: dict[Request, None] = {}  # read, and no trip out
        self.turns, self.out, self.reading, self.unended = 0, 0, 0.0, 0.0
        self.streams = Ring(4 * MARK, BUCKETS)  # our own jobs at writers, seen at each placement
        self.per_token = Ring(MEMORY, BUCKETS)  # reading time for a token of the prompt
        self.anew = Ring(MEMORY, BUCKETS)  # the same for a token that was not found kept
        self.sizes = Ring(MEMORY, BUCKETS)  # tokens of a read
        self.first = Ring(MEMORY, BUCKETS)  # time to a first token
        self.lines = Ring(MEMORY, BUCKETS)  # time that prompts waited to be read
        self.fates = [Ring(MEMORY, BUCKETS) for _ in self.request_classes]  # 1 for each fault, else 0
        self.plan: FailoverPlan | None = None  # of all fronts; without one nothing is done for it
        self.index = EngineIndex([], None, settings, 0.0)
        self._index()

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        """The one entry point: what happened comes in, what is to be done goes out."""
        self.now = now
        self.none_well.clear()
        self.shortest = (self.asks and (self.anew.least(now) or self.per_k)) or self.per_token.least(now)
        self.calm = max(
            BACKLOG * self.quickest, min(SLOWNESS * self.first.least(now), UNHEARD * self.quickest / 2)
        )
        for event in events:
            self._take(event)
        if self.holding:
            self._send_held()
        if self.waiting:
            self._place_waiting()
        pause = UNHEARD * self.quickest / 4 if self.awaited else inf
        pause = self.beat if self.waiting or self.holding else pause
        if any(request.asked for request in self.waiting):
            pause = min(pause, ASK * self.quickest)
        if pause < inf and not now < self.alarm_at <= now + pause:
            self.alarm_at = now + pause  # a front with nothing to watch sleeps
            self.actions.append(SetTimer(pause, 0))
        actions, self.actions = self.actions, []
        return actions

    def _take(self, event: Event) -> None:
        match event:
            case AttemptEnded():
                self._ended(event)
            case RequestArrived(request):
                request_class = self.request_classes[request.request_class]
                request.promised_at = (
                    self.now
                    + request_class.latency_target_ms
                    + request_class.latency_target_per_1000_tokens_ms * request.prompt / 1000
                )
                request.luck = self.chance.share()
                if self._shed(request):
                    return
                self.waiting[request] = None
                # A part, so that a fleet all cold is not left alone; the least for repeats, which can storm.
                for role in ("read", "write", "both"):
                    self.slow_start.earn(role, 0.25 if request.repeat else 0.5)
                if not request.repeat and self.index.all_writers_cold(self.now):
                    self.slow_start.earn("write", 0.5)  # who meets few requests has no serve to wait for
            case FirstToken(attempt, elapsed):
                attempt.began, attempt.request.began, attempt.request.holder = self.now, True, None
                wait = max(0.0, elapsed - self._reads(attempt))
                self.first.add(self.now, wait)
                attempt.engine.pace.add(self.now, wait)
                self._praise(attempt)
            case TimerFired(0):
                if self.alarm_at <= self.now + self.settings.tick_ms:
                    self.alarm_at = -inf
                    self._look_round()
            case TimerFired():
                self.actions.append(WatchEndpoints(True))
            case ClientDisconnected(request):
                self._drop(request)
            case EndpointListUpdate():
                self._list(event)
            case HealthCheckEnded(engine, outcome):
                self._probed(engine, outcome)
            case StateRestored():
                self._recall(event)
            case FailoverPlan():
                self.plan = event
                self._index()

    def _shed(self, request: Request) -> bool:
        """What the plan has no room for is deferred before any trip, with a time that spreads its return: by
        its home, so that what is moved crowds nobody out, and by beginning, so that what is let in shares."""
        if not (plan := self.plan) or not plan.shed:
            return False
        key, _, order = self._ranked(request)
        first = next(iter(order), None)
        shed = plan.shed.get(first.zone) if first else None
        request.ended = (
            shed is not None and straw(key, mix(request.request_class, 3)) < shed[request.request_class]
        )
        if request.ended:
            stay = plan.stay_away if self.settings.max_retry_after_ms else 0.0
            self.actions.append(
                RejectRequest(request, stay * (1 + self.chance.share()), "the plan has no room for it")
            )
        return request.ended

    def _recall(self, event: StateRestored) -> None:
        """Takes on what was learned before a restart; it fades like what is seen now."""
        for ring, (total, count) in zip((self.first, self.per_token, *self.fates), event.seen, strict=True):
            if count:
                ring.add(self.now, total, count)
        for engine, request_class, left in event.unwell:
            engine.unwell[request_class] = self.now + left
        for engine, request_class, ago in sorted(event.good, key=lambda one: -one[2]):
            engine.good[request_class] = self.now - ago
            self.good[request_class][engine] = None
        for engine, requests in event.narrowed:
            engine.narrowed = requests

    # Which engines there are.

    def _list(self, event: EndpointListUpdate) -> None:
        if event.scope == "failed":
            if self.settings.polls_endpoint_list:
                self.actions.append(SetTimer(MARK * (0.5 + self.chance.share()), 1))
            return
        if event.scope != "delta":
            for engine in self.engines.keys() - {entry.engine for entry in event.entries}:
                engine.left = engine.left if engine.state == "gone" else self.now
                engine.state = "gone"
        for entry in event.entries:
            self._enter(entry)
        for engine in [
            engine
            for engine in self.engines
            if engine.state == "gone"
            and not engine.attempts
            and not engine.paired
            and engine not in self.index.missed
            and self.now - engine.left > MEMORY
        ]:
            del self.engines[engine]  # guards against a fleet that is replaced all day
            for known in (self.faulty, *self.good):
                known.pop(engine, None)
        self._index()

    def _enter(self, entry: EndpointEntry) -> None:
        engine = entry.engine
        if engine not in self.engines:
            self.engines[engine] = None
            engine.salt = mix(engine.key, 0)
            engine.faults, engine.pace = Ring(MEMORY, BUCKETS), Ring(MARK, BUCKETS)
            engine.turn = self.chance.share() - 1.0  # fronts' rounds start differently
        self.slow_start.leave(engine)
        if entry.state == "ready" and (entry.started != engine.started or engine.state == "gone"):
            engine.narrowed, engine.skip_until, engine.unwell = 0.0, 0.0, {}
            self.slow_start.begin(engine, self.chance.share())
            self._alive(engine)
            for request in list(engine.paired):  # paired with what ran there before
                self._unpair(request)
        if entry.state == "gone" and engine.state != "gone":
            engine.left = self.now
        engine.state, engine.started, engine.size = entry.state, entry.started, entry.size
        engine.zone, engine.cell, engine.kind = entry.zone, entry.cell, entry.kind
        engine.role = self.settings.engine_roles[entry.kind]

    def _index(self) -> None:
        """Reckons, once a list, who reads and answers what part."""
        self.slow_start.settle_all()
        before, self.index = self.index.cold, EngineIndex(self.engines, self.plan, self.settings, self.now)
        if not any(engine.role == "read" for engine in before):
            self.slow_start.read_credit = self.chance.share()
        self.slow_start.cold_are(self.index.cold)
        self.searched.clear()
        self.looks.clear()

    def _cold(self, engine: Engine) -> bool:
        return engine.started > 0 and self.now < engine.started + self.settings.slow_start_ms

    # How engines fare, judged from this front's own trips.

    def _alive(self, engine: Engine) -> None:
        engine.quiet_since = self.now if engine.unanswered else 0.0
        if not engine.quiet_since:
            self.awaited.pop(engine, None)

    def _praise(self, attempt: Attempt) -> None:
        attempt.engine.good[attempt.request.request_class] = self.now
        known = self.good[attempt.request.request_class]
        known.pop(attempt.engine, None)
        known[attempt.engine] = None
        self.fates[attempt.request.request_class].add(self.now, 0.0)
        self.slow_start.earn(attempt.engine.role, 1.0)
        self._alive(attempt.engine)

    def _worse(self, engine: Engine) -> bool:
        """Guards against faults that come from any engine alike, such as a network's: setting engines aside
        for them one after the other would empty the stage. Many dead at once still stand out."""
        if self.now >= self.reckoned + self.beat:
            self.reckoned = self.now
            self.shared.clear()
            for one in list(self.faulty):
                if not (count := one.faults.count(self.now)):
                    del self.faulty[one]
                elif one.state == "ready":
                    self.shared[one.role] += count
        faults, peers = self.shared[engine.role], self.index.ready_by_role[engine.role]
        own = engine.faults.count(self.now)
        return own > SHARED * max(0.0, faults - own) / max(1, peers - 1)

    def _strike(self, engine: Engine, request_class: int = ALL, shared: bool = False) -> None:
        """Sets an engine aside, longer with each fault in memory: one that fails fast loses its turns.
        An error or an unanswered job sets it aside for that offering alone: it may serve the others. A front
        that meets its engines seldom keeps the mark until about the next meeting."""
        engine.faults.add(self.now)
        self.faulty[engine] = None
        if shared and not self._worse(engine):
            return
        meetings = sum(fate.count(self.now) for fate in self.fates)
        aside = max(
            MARK * 2 ** min(engine.faults.count(self.now) - 1, LONGEST_ASIDE),
            MEMORY * min(1.0, len(self.engines) / max(1, 2 * meetings)),
        )
        engine.unwell[request_class] = self.now + aside * (0.75 + 0.5 * self.chance.share())

    def _reads(self, attempt: Attempt) -> float:
        return SLOWNESS * self.shortest * attempt.work

    def _oldest(self, engine: Engine) -> float:
        return max(
            [0.0, *(self.now - attempt.sent - self._reads(attempt) for attempt in engine.unanswered[:1])]
        )

    def _patience(self, engine: Engine) -> float:
        """Guards against what is slow for all alike: hundreds of fronts that call off what waits in a line,
        and send it to the end of another, lengthen every line."""
        waits = self.lines if engine.role == "read" else self.first
        return (
            UNHEARD * self.quickest
            + SLOWNESS * waits.mean(self.now)
            + sum(self._reads(attempt) for attempt in engine.unanswered)
        )

    def _probed(self, engine: Engine, outcome: Outcome) -> None:
        if outcome is Outcome.DELIVERED:
            engine.reported = self.now
        if not engine.suspected:  # it was only asked before a read
            return
        engine.suspected = False
        if outcome not in (Outcome.DELIVERED, Outcome.FULL):
            self._strike(engine)
            return self._rescue(list(engine.attempts))  # guards against hung engines: it may run elsewhere
        # Guards against an engine that lives and leaves one offering's jobs unanswered; a state that comes
        # over a slow link looks alike, so only what lies near is called off.
        patience = self._patience(engine)
        late = [
            attempt
            for attempt in engine.unanswered
            if self.now - attempt.sent > patience
            and (attempt.request.holder is None or attempt.request.holder.cell == engine.cell)
        ]
        for request_class in sorted({attempt.request.request_class for attempt in late}):
            self.fates[request_class].add(self.now)
            self._strike(engine, request_class)
        self._rescue(late)
        self._alive(engine)

    def _rescue(self, attempts: list[Attempt]) -> None:
        for attempt in attempts:
            if (
                (attempt.reading or self.request_classes[attempt.request.request_class].effect == "redoable")
                and not attempt.request.ended
                and self._attempts_left(attempt.request)
                and not (self.asks and attempt.reading and self._late(attempt.request))
            ):
                self._call_off(attempt)

    def _call_off(self, attempt: Attempt) -> None:
        if self.settings.may_cancel and not (attempt.began or attempt.called_off):
            attempt.called_off = True
            self.actions.append(CancelAttempt(attempt))

    def _well(self, engine: Engine, request_class: int) -> bool:
        if engine.state != "ready" or engine.suspected:
            return False
        if max(engine.unwell.get(ALL, 0.0), engine.unwell.get(request_class, 0.0)) > self.now:
            return False
        on_trial = engine.unwell and engine.attempts and engine.quiet_since and engine.faults.count(self.now)
        return not on_trial

    def _usable(self, engine: Engine, request: Request) -> bool:
        return (
            engine.skip_until <= self.now
            and self._well(engine, request.request_class)
            and (
                engine not in self.index.cold
                or self.slow_start.credit(engine) >= 1.0
                or not self._cold(engine)
            )
        )

    def _vouched(self, engine: Engine, request_class: int) -> bool:
        return self.now - engine.good.get(request_class, -inf) < MEMORY

    def _all_vouched(self, request_class: int) -> dict[Engine, None]:
        known = self.good[request_class]
        while known and not self._vouched(oldest := next(iter(known)), request_class):
            del known[oldest]
        return known

    def _failing(self, request_class: int) -> bool:
        return self.fates[request_class].mean(self.now) > FAILING

    # Jobs and trips.

    def _attempts_left(self, request: Request) -> int:
        return int(self.settings.max_attempts) - len(request.attempts)

    def _scope(self, request: Request) -> Scope | None:
        """Where one more attempt may go; None: nowhere."""
        if self._attempts_left(request) < 1 or request.out:
            return None
        ran, request_class = request.may_have_run, self.request_classes[request.request_class]
        if not ran or request_class.effect == "redoable":
            return ANYWHERE
        over = self.now - ran[0].sent >= request_class.deduplication_window_ms - self.quickest
        if request_class.effect == "irreversible" or over:
            return None
        if request_class.deduplication_scope == "all":
            return ANYWHERE
        first = ran[0].engine
        scope = Scope(first.zone, None if request_class.deduplication_scope == "zone" else first.cell)
        return scope if all(scope.has(attempt.engine) for attempt in ran) else None

    def _may_send(self, request: Request, engine: Engine) -> bool:
        scope = self._scope(request)
        return scope is not None and engine.state == "ready" and scope.has(engine)

    def _may_repeat(self, request: Request) -> bool:
        scope = self._scope(request)
        return scope is not None and self.index.any_in(self.index.answering, scope)

    def _may_read_again(self, request: Request) -> bool:
        """A read counts as a send: where a trip may have run, it too stays within the group and its time."""
        if not request.may_have_run or self.settings.decode_engines_may_prefill:
            return True
        scope = self._scope(request)
        return scope is not None and self.index.any_in(self.index.hosts, scope)

    def _may_defer(self, request: Request) -> bool:
        request_class = self.request_classes[request.request_class]
        return (
            request_class.effect == "redoable"
            or not request.may_have_run
            or (request_class.effect, request_class.deduplication_scope) == ("labelled", "all")
        )

    def _send(self, request: Request, engine: Engine, reading: bool, time_out: float = 0.0) -> None:
        attempt = Attempt(
            request,
            engine,
            len(request.attempts),
            self.now,
            reading,
            work=0.0 if request.holder else request.prompt,
        )
        request.attempts.append(attempt)
        self.out += not reading
        self.reading += reading * attempt.work
        engine.attempts[attempt] = None
        self.busy[engine] = None
        engine.quiet_since = engine.quiet_since or self.now
        self.awaited[engine] = None
        self.holding.pop(request, None)
        request.asked.clear()
        self._forget_search(request)
        self.none_well.clear()  # an engine on trial has its trip now
        self.actions.append(StartAttempt(attempt, time_out))

    def _forget_search(self, request: Request) -> None:
        self.searched.pop(request, None)
        self.looks.pop(request, None)

    def _turn(self, engine: Engine) -> None:
        self.turns += 1
        engine.turn = self.turns
        self.index.had_turn(engine)
        self.slow_start.spend(engine)

    def _unpair(self, request: Request) -> None:
        if request.writer:
            request.writer.paired.pop(request, None)
            request.writer = None
            self.out -= 1

    def _end(self, request: Request, why: str) -> None:
        if not request.ended:
            self.actions.append(
                RejectRequest(request, why=why) if self._may_defer(request) else AbortRequest(request, why)
            )
            self._drop(request)

    def _drop(self, request: Request) -> None:
        request.ended = True
        self._unpair(request)
        self.holding.pop(request, None)
        self.waiting.pop(request, None)
        self._forget_search(request)
        for attempt in request.out:
            self._call_off(attempt)
        if request.attempts and not request.out:
            self.actions.append(ReleaseKvCache(request))

    def _ended(self, event: AttemptEnded) -> None:
        attempt, outcome = event.attempt, event.outcome
        request, engine = attempt.request, attempt.engine
        attempt.outcome = outcome
        engine.attempts.pop(attempt, None)
        if not engine.attempts:
            self.busy.pop(engine, None)
        self.out -= not attempt.reading
        # Guards against a sum of fractions that ends under nothing: no reader would ever have room again.
        self.reading = max(0.0, self.reading - attempt.reading * attempt.work)
        self._judge(event)
        if event.closed:
            request.ended = True
            self._unpair(request)
        if request.ended:
            if outcome is not Outcome.DELIVERED:
                self.actions.append(
                    ReleaseKvCache(request)
                )  # guards against state pinned for a job already answered
        elif outcome is Outcome.READ and not self._spent(request):
            request.holder, request.held_since = engine, self.now
            self.holding[request] = None
        elif (
            request.holder
            and not (outcome is Outcome.FULL and event.note == 1)
            and not self._spent(request)
            and self._may_repeat(request)
        ):
            if outcome not in (Outcome.UNREACHABLE, Outcome.MOOT):
                request.held_since = self.now  # time runs on through trips that never arrived
            self.holding[request] = None  # the state still waits: the next writer gets it
        else:
            self._again(request)

    def _judge(self, event: AttemptEnded) -> None:
        attempt, engine, outcome = event.attempt, event.attempt.engine, event.outcome
        request_class = attempt.request.request_class
        if attempt.reading and outcome in (Outcome.READ, Outcome.CANCELLED, Outcome.TIMED_OUT):
            # Guards against a jam that shows only the reads that got through: each that ends in vain counts.
            self.lines.add(self.now, max(0.0, event.elapsed - self._reads(attempt)))
            self.per_token.add(self.now, event.elapsed, max(1.0, attempt.work))
            self.sizes.add(self.now, max(1.0, attempt.work))
        if outcome is Outcome.READ and 2 * event.note < attempt.work:
            self.anew.add(self.now, event.elapsed, max(1.0, attempt.work - event.note))
        if outcome is Outcome.READ:
            self._praise(attempt)
        elif outcome is Outcome.DELIVERED:
            engine.narrowed = max(0.0, engine.narrowed - 1.0)
        elif outcome is Outcome.FULL and event.note != 1:  # lost state is no fault of the writer
            engine.narrowed += self._window(engine) / 2
            engine.skip_until = self.now + MARK
            # Guards against a jam that shows no times, as nothing ends there: it counts as a long wait.
            waits, of = (self.per_token, max(1.0, attempt.work)) if attempt.reading else (self.first, 1.0)
            if attempt.reading:
                self.sizes.add(self.now, of)
            waits.add(self.now, self.quickest, of)
        elif outcome in (Outcome.ERROR, Outcome.UNREACHABLE, Outcome.RESET):
            self.fates[request_class].add(self.now)
            self._strike(engine, request_class if outcome is Outcome.ERROR else ALL, shared=True)
        elif outcome is Outcome.TIMED_OUT and event.elapsed > self._patience(engine):  # not a short try
            self.fates[request_class].add(self.now)
            self._strike(engine)
        if not engine.attempts or outcome not in (Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.MOOT):
            self._alive(engine)  # a silence is over: what is left is judged anew

    def _again(self, request: Request) -> None:
        request.holder = None
        self._unpair(request)  # a place held ahead outlives a failed read
        self.actions.append(ReleaseKvCache(request))  # lost state may still lie where a place was held ahead
        again = self._may_repeat(request) and self._may_read_again(request)
        if self._spent(request) or not (self._may_defer(request) or again):
            self._end(request, "no attempt or no time is left" if self._spent(request) else "it may have run")
        else:
            self.waiting[request] = None

    def _spent(self, request: Request) -> bool:
        """Guards against a lost job: at a time-out cut to the client's own, the answer is due at once."""
        return self._attempts_left(request) < 1 or self.now > request.give_up_at - self.beat

    # The ordinary path.

    def _ranked(self, request: Request) -> tuple[int, int, Ranking]:
        session = mix(request.session or request.id, 1)
        key = mix(request.prefix, 0) if request.prefix else session
        return key, session, self.index.ranked(key)

    def _order(self, request: Request, scope: Scope = ANYWHERE) -> Iterator[tuple[Engine, float]]:
        """Who may read, by hash: the shared beginning picks a few, the session one of them.

        Mixed engines stand among the readers and keep what they read, for they answer it too.  The first
        HEAD_LOOKS are given each time, those behind them by parts, going on where the last vain look ended.
        """
        start = self.searched.get(request, 0)
        end = start + FURTHER_LOOKS
        if self.plan or scope is not ANYWHERE or self._failing(request.request_class):
            first, others = self._order_with_exceptions(request, scope)
            yield from self._looks(request, first, islice(others, max(0, HEAD_LOOKS - len(first))))
            further = list(islice(others, start, end))
        else:
            _, session, ranking = self._ranked(request)
            few = self._few(request, ranking)
            behind = max(few, HEAD_LOOKS)
            if request not in self.looks:
                first = sorted(ranking.part(0, few), key=lambda engine: straw(session, engine.salt))
                self.looks[request] = self._looks(request, first, ranking.part(few, behind))
            yield from self.looks[request]
            further = [] if self._only_known_free(request) else ranking.part(behind + start, behind + end)
        if further or start:
            self.searched[request] = end if len(further) == FURTHER_LOOKS else 0
        if len(self.index.hosts) > HEAD_LOOKS:
            asked = (
                engine for engine in request.asked if engine in self.index.host_set and scope.has(engine)
            )
            yield from ((engine, 0.0) for engine in chain(asked, further))

    @staticmethod
    def _few(request: Request, ranking: Ranking) -> int:
        """How many readers keep a shared beginning."""
        return 1 + ceil(len(ranking) ** 0.5) if request.prefix else 0

    @staticmethod
    def _looks(request: Request, first: list[Engine], others: Iterable[Engine]) -> list[tuple[Engine, float]]:
        return [
            *((engine, 0.0) for engine in first),
            *((engine, request.prompt) for engine in first),
            *((engine, 0.0) for engine in others),
        ]

    def _order_with_exceptions(self, request: Request, scope: Scope) -> tuple[list[Engine], Iterator[Engine]]:
        """The first few and those behind them, under a plan, within a scope, or while an offering fails."""
        key, session, ranking = self._ranked(request)
        few = self._few(request, ranking)
        if self.plan and len(ranking):
            planned, away = self._planned(list(ranking), self.plan, key)
            ranking = Ranking(len(planned), iter(planned))
            few = min(few, 1) if away else self._few(request, ranking)
        first = sorted(ranking.part(0, few), key=lambda engine: straw(session, engine.salt))
        others = self._behind(first, key, ranking, scope)
        if self._failing(request.request_class):
            others = self._vouched_first(request, first, others, key, scope)
            first = list(islice(others, few))
        return [engine for engine in first if scope.has(engine)], others

    def _behind(self, first: list[Engine], key: int, ranking: Ranking, scope: Scope) -> Iterator[Engine]:
        """Those behind the first few, by hash."""
        before = set(first)
        if scope is ANYWHERE:
            return (engine for engine in ranking if engine not in before)
        return iter(rank(key, [engine for engine in self.index.hosts_in(scope) if engine not in before]))

    def _vouched_first(
        self, request: Request, first: list[Engine], others: Iterator[Engine], key: int, scope: Scope
    ) -> Iterator[Engine]:
        """All of them again, those known to serve the offering before the rest."""
        known, before = self._all_vouched(request.request_class), set(first)
        behind = rank(
            key,
            [
                engine
                for engine in known
                if engine in self.index.host_set and scope.has(engine) and engine not in before
            ],
        )
        return chain(
            (engine for engine in first if engine in known),
            behind,
            (engine for engine in first if engine not in known),
            (engine for engine in others if engine not in known),
        )

    def _planned(self, order: list[Engine], plan: FailoverPlan, key: int) -> tuple[list[Engine], bool]:
        """The zone that the hash gives keeps the job, or the one that the plan draws for its beginning. Away
        from home one engine reads each: a zone's beginnings read by several would push out the others'."""
        home = zone = order[0].zone
        luck = straw(key, mix(home, 2))
        for other, share in plan.rows.get(home, []):
            zone, luck = other, luck - share
            if luck < 0:
                break
        able = [one for one in order if one not in self.index.missed]
        near = [one for one in able if one.zone == zone]
        return near if near and plan.near else sorted(able, key=lambda one: one.zone != zone), zone != home

    def _has_room(self, reader: Engine, request: Request, anew: float = 0.0) -> bool:
        """Little of our own out there; more (`anew`) before the shared beginning is read anew elsewhere."""
        ours = sum(attempt.work for attempt in reader.attempts)
        even = self.reading / len(self.index.readers)
        return (
            ours <= (1 + MARGIN) * even + anew
            and self._usable(reader, request)
            and self._oldest(reader) <= BACKLOG * self.quickest + SLOWNESS * self.shortest * anew
        )

    def _has_window(self, engine: Engine, request: Request) -> bool:
        """Room at a writer for one more of our own jobs; chance decides on the fraction of a job in a window.

        It narrows with the ratio of a harmless first-token time to the present one, so that a writer where
        states queue (short of memory, slow, hung) gets no more before it answers full.
        """
        ours = len(engine.attempts) + len(engine.paired)
        if not ours or self._crowded(engine, request):
            return not ours
        present = max(engine.pace.mean(self.now), self._oldest(engine))
        return ours < self._window(engine, request.luck) * min(1.0, self.calm / max(present, 1.0))

    def _window(self, engine: Engine, luck: float = 0.0) -> float:
        share = max(self.out, self.streams.mean(self.now)) / max(1, len(self.index.answering))
        return max(1.0, share * (1 + MARGIN) + float(share**0.5) - engine.narrowed + luck)

    def _crowded(self, engine: Engine, request: Request) -> bool:
        """Guards against a writer's memory running out, which has answers read anew: each front keeps to its
        part, unless answers have begun at once lately, wherever: then no state waits for memory, and a front
        with more than its part of the traffic need not stand back. Else it would harm such a front."""
        if self.asks and self.first.mean(self.now, inf, LATELY) <= self.calm:
            return False
        memory = self.settings.kind_memory_tokens
        held = sum(attempt.request.prompt for attempt in engine.attempts) + sum(
            request.prompt for request in engine.paired
        )
        part = memory[engine.kind] / self.settings.node_count if engine.kind < len(memory) else inf
        return bool(held + request.luck * request.prompt > (1 + MARGIN) * part)

    def _open(self, engine: Engine, request: Request) -> bool:
        return self._has_window(engine, request) and self._usable(engine, request)

    def _writer(
        self,
        request: Request,
        near: Engine | None,
        searched: dict[tuple[RoundRobin, bool], Engine | None] | None = None,
    ) -> Engine | None:
        """The next in turn whose window is open; while the offering fails, first those known to serve it.
        `searched` keeps what was found for the same job in the same turn, which nothing has changed."""
        scope = self._scope(request) if request.attempts else ANYWHERE
        if scope is None:
            return None
        searched = {} if searched is None else searched
        for known in (True, False) if self._failing(request.request_class) else (False,):
            for engines in self.index.rounds(request.luck, near, scope):
                if (engines, known) not in searched:
                    searched[engines, known] = self._next_in_turn(engines, request, scope, known)
                if found := searched[engines, known]:
                    return found
        return None

    def _next_in_turn(
        self, engines: RoundRobin, request: Request, scope: Scope, known: bool
    ) -> Engine | None:
        def fits(engine: Engine) -> bool:
            return scope.has(engine) and self._open(engine, request)

        if not known:
            return engines.first(self.now, fits)
        able = [
            engine
            for engine in self._all_vouched(request.request_class)
            if engine in engines and fits(engine)
        ]
        return min(able, default=None, key=lambda engine: engine.turn)

    def _place_waiting(self) -> None:
        self.streams.add(self.now, self.out)
        self.unended = self._unended()
        # One of many fronts that has met its engines less than once each, in memory, sees no line there.
        met = sum(fate.count(self.now) for fate in self.fates)
        self.asks = (
            self.settings.may_check_health and 1 / self.settings.node_count < SEEN and met < len(self.engines)
        )
        self.usual = self._usual()  # the same for all that wait
        closed = False  # where one new job finds no place, none does
        for request in sorted(self.waiting, key=lambda request: request.promised_at):
            if self._late(request):
                self._end(request, "its usual need no longer fits")  # guards against reads answered too late
            elif request.attempts or not closed:
                if self._place(request):
                    del self.waiting[request]
                else:
                    closed = closed or not (request.attempts or request.asked)
        self.usual = None

    def _unended(self) -> float:
        """Reading time for a token by the reads that are still out, once most readers have been replaced:
        what ended before tells of others, and a jam of cold ones shows late in what ends."""
        if not self.index.mostly_cold_readers(self.now):
            return 0.0
        out = [
            attempt
            for engine in self.busy
            if engine in self.index.prefill_engines
            for attempt in engine.unanswered
        ]
        return sum(self.now - attempt.sent for attempt in out) / max(
            1.0, sum(attempt.work for attempt in out)
        )

    def _usual(self) -> tuple[float, float]:
        """The usual time to a first token, and to read a token of the prompt."""
        first, read = (
            min(ring.mean(self.now), ring.mean(self.now, inf, LATELY))
            for ring in (self.first, self.per_token)
        )
        return first, read

    def _late(self, request: Request) -> bool:
        """Chance gives up some of the jobs before the usual need no longer fits: a line is cut by degrees."""
        first, read = self.usual or self._usual()
        press = 1 + PRESS * request.luck + REPEAT * request.repeat
        read = max(read, self.unended)
        pace = min(read, self.shortest)
        # Guards against long prompts refused for a line that is as long for short ones.
        line = (read - pace) * self.sizes.mean(self.now, request.prompt)
        need = (first + line + pace * request.prompt) * press * (request.luck > TRIAL)
        if self.asks and not self._unheard(request):  # readers tell of their lines, not the few reads here
            need = first + self.shortest * request.prompt
        return self.now + max(need, 2 * self.beat) > min(request.promised_at, request.give_up_at)

    def _free(self, reader: Engine, request: Request) -> bool:
        """Whether a reader has no line, as far as can be known. One front of many sees next to none of the
        reads there: so it asks, one reader more each time that none has answered."""
        if self._known_free(reader) or self._unheard(request):
            return True
        if reader not in request.asked and self._may_ask(request):
            request.asked[reader] = self.now
            self.actions.append(CheckHealth(reader))
        return False

    def _known_free(self, reader: Engine) -> bool:
        return not self.asks or self._cold(reader) or self.now - reader.reported <= ASK * self.quickest

    def _may_ask(self, request: Request) -> bool:
        """Whether one reader more may be asked now."""
        last = max(request.asked.values(), default=-inf)
        return len(request.asked) < ASKED and self.now - last >= ASK * self.quickest

    def _waits_for_answers(self, request: Request) -> bool:
        """Whether only a reader that is known to be free will do, as no other may be asked now."""
        return self.asks and not self._unheard(request) and not self._may_ask(request)

    def _spared(self, request: Request) -> dict[Engine, None]:
        """Readers that are not asked before a read."""
        able = self.slow_start.read_credit >= 1.0 or self._no_reader_well(request.request_class)
        return self.index.cold if able else NOBODY

    def _only_known_free(self, request: Request) -> bool:
        """Whether of readers only those will do that have answered just now."""
        return self._waits_for_answers(request) and not self.index.mixed and not self._spared(request)

    def _unheard(self, request: Request) -> bool:
        """Whether readers were asked and none has answered for long: all of them have lines."""
        return self.now - min(request.asked.values(), default=inf) > BACKLOG * self.quickest

    def _no_reader_well(self, request_class: int) -> bool:
        if request_class not in self.none_well:
            self.none_well[request_class] = not any(
                self._well(engine, request_class) for engine in self.index.readers
            )
        return self.none_well[request_class]

    def _takes(self, reader: Engine, request: Request, anew: float) -> bool:
        return (
            self._has_room(reader, request, anew)
            # Guards against our own marks emptying the whole stage.
            or not reader.attempts
            and reader.unwell.get(ALL, 0.0) <= self.now
            and self._no_reader_well(request.request_class)
        )

    def _place(self, request: Request) -> bool:
        scope = self._scope(request) if request.may_have_run else ANYWHERE
        if scope is None:
            return False
        found: tuple[Engine, Engine] | None = None
        shut = self._attempts_left(request) < 2
        searched: dict[tuple[RoundRobin, bool], Engine | None] = {}
        waits, spared = self._waits_for_answers(request), self._spared(request)
        heard_since = self.now - ASK * self.quickest
        for engine, anew in self._order(request, scope):
            if waits and engine.reported < heard_since and engine.role == "read" and engine not in spared:
                continue  # it is not known to be free
            if engine.state != "ready" and request.may_have_run:
                continue
            if engine.role == "both":
                if (
                    not found
                    and self._open(engine, request)
                    and (not request.attempts or self._may_send(request, engine))
                ):
                    found = engine, engine
                    break
            elif not shut and self._takes(engine, request, anew):
                writer = self._writer(request, engine, searched)
                shut = writer is None
                if writer and not self._free(engine, request):
                    waits = self._waits_for_answers(request)
                    continue
                if writer and (writer.cell == engine.cell or request.luck >= self.index.keeps[engine.cell]):
                    found = engine, writer  # a reader whose own writers are open comes first
                    break
                found = found or ((engine, writer) if writer else None)
        if found is None and self.settings.decode_engines_may_prefill and not shut:
            writer = self._writer(request, None)  # no reader has room: a writer reads in place
            found = (writer, writer) if writer else None
        if found is None:
            return False
        reader, writer = found
        self._turn(writer)
        if reader is writer:
            self._send(request, writer, reading=False)
            return True
        if self._cold(reader):
            self.slow_start.spend_read()
        request.writer = writer
        writer.paired[request] = None
        self.out += 1
        self._send(request, reader, reading=True, time_out=(request.give_up_at - self.now) / 2)
        if self.settings.may_reserve:
            self.actions.append(ReserveSlot(request, writer))
        return True

    def _send_held(self) -> None:
        """After the read the state joins its writer's queue; the next writer gets it where that one can't."""
        for request in list(self.holding):
            if self.waiting and self.now > request.promised_at:
                # Guards against late answers that make others late too.
                self._end(request, "its prefill came too late while others wait")
                continue
            if self._pinned(request):
                self._read_anew(request)  # guards against one vain connection after the other
                continue
            writer = request.writer
            self._unpair(request)
            if not (writer and self._may_send(request, writer) and self._well(writer, request.request_class)):
                writer = self._writer(request, request.holder)
                if writer:
                    self._turn(writer)
            if writer:
                self._send(request, writer, reading=False)

    def _pinned(self, request: Request) -> bool:
        return bool(self.now > request.held_since + self.settings.release_within_ms / 2)

    def _read_anew(self, request: Request) -> None:
        self.holding.pop(request)
        self._again(request)

    def _look_round(self) -> None:
        for request in list(self.holding):
            if self._spent(request) or self._pinned(request):
                self._read_anew(request)  # guards against pinned state: it is read anew if in time
        for engine in list(self.awaited):
            if (
                engine.quiet_since
                and not engine.suspected
                and engine.unwell.get(ALL, 0.0) <= self.now
                and self.now - engine.quiet_since > self._patience(engine)
            ):
                engine.suspected = True
                if self.settings.may_check_health and engine.state == "ready":
                    self.actions.append(CheckHealth(engine))
                else:
                    self._probed(engine, Outcome.TIMED_OUT)
