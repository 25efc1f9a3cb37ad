"""All decisions of worksmux.

    front = Front(settings, seed)            # a plain map, named as in the adapter's `settings_from`
    actions = front.decide(now, events)      # once for each batch of events, in the order they came

The types of events, actions, jobs, trips and engines are in `worksmux/interface.py`; `docs/design.md` says
which part of the design each piece serves.  Times are milliseconds.  A front knows only its own events.
"""
from __future__ import annotations

from collections.abc import Iterator

from .interface import (
    NEVER_RAN, Action, Alarm, Arrived, Began, BreakOff, Cancel, Defer, Ended, Engine, Entry, Event, Hold, Job,
    Left, Listed, Outcome, Placed, Probe, Probed, Rang, Release, Send, Settings, Trip, Watch)

MARGIN = 0.25            # of an engine's even share, added to make its first window or its room
SPARE = 1.0              # jobs that a window starts with beyond share and margin
BACKLOG = 0.15           # of the shortest promised time: a wait for the first token that narrows no window
MARK = 1_000.0           # how long a full answer sets a writer aside (the design's "about a second")
BEATS = 30               # looks at the clock within the time that held state must be let go in
UNHEARD = 0.5            # of the shortest promised time: an engine silent for less is never suspected
SLOWNESS = 4.0           # times the fleet's usual answer: an engine silent for longer is suspected
PRUDENCE = 0.5           # of this front's even share of a cold engine's budget is used
BUCKETS = 10             # in a ring
FAULT_MEMORY = 16.0      # times MARK: how long a fault lengthens the next time aside
LONGEST_ASIDE = 2        # doublings of MARK at most


class Chance:
    """A linear congruential generator; only its high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def share(self) -> float:
        """
        >>> 0 <= Chance(7).share() < 1 and Chance(7).share() != Chance(8).share()
        True
        """
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.state >> 32) / 2**32


class Ring:
    """Sums and counts over the last `span` milliseconds, in fixed buckets that are used again.

    >>> ring = Ring(100.0)
    >>> ring.add(5.0, 2.0); ring.add(95.0, 4.0); ring.total(99.0), ring.count(99.0), ring.total(104.0)
    (6.0, 2, 4.0)
    """

    def __init__(self, span: float) -> None:
        self.width = span / BUCKETS
        self.marks, self.sums, self.counts = [-BUCKETS] * BUCKETS, [0.0] * BUCKETS, [0] * BUCKETS

    def add(self, now: float, value: float = 1.0) -> None:
        mark = int(now / self.width)
        at = mark % BUCKETS
        if self.marks[at] != mark:
            self.marks[at], self.sums[at], self.counts[at] = mark, 0.0, 0
        self.sums[at] += value
        self.counts[at] += 1

    def _live(self, now: float) -> list[int]:
        oldest = int(now / self.width) - BUCKETS
        return [at for at in range(BUCKETS) if self.marks[at] > oldest]

    def total(self, now: float) -> float:
        return sum(self.sums[at] for at in self._live(now))

    def count(self, now: float) -> int:
        return sum(self.counts[at] for at in self._live(now))

    def least(self, now: float) -> float:
        """The smallest mean of a bucket: the shortest time seen, without a single lucky one deciding it."""
        return min((self.sums[at] / self.counts[at] for at in self._live(now)), default=0.0)

    def mean(self, now: float, otherwise: float = 0.0) -> float:
        count = self.count(now)
        return self.total(now) / count if count else otherwise


def mix(a: int, b: int) -> int:
    """Two numbers hashed into one, the same at every front.

    >>> mix(1, 2) == mix(1, 2) != mix(2, 1)
    True
    """
    for part in (a, b, a >> 32):
        a = (a ^ part ^ (a >> 29)) * 0xBF58476D1CE4E5B9 % 2**64
        a = (a ^ b ^ (a >> 32)) * 0x94D049BB133111EB % 2**64
    return a ^ (a >> 31)


class Front:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.chance = Chance(seed)
        self.now = 0.0
        self.actions: list[Action] = []
        self.engines: dict[Engine, None] = {}
        self.waiting: dict[Job, None] = {}           # before their read
        self.holding: dict[Job, None] = {}           # read, and no trip out
        self.turns = 0
        self.even, self.share_at = 0.0, (-1.0, 0)    # a writer's even share, and when it was reckoned
        self.started = False
        self.quickest = min(kind["promised_time"] for kind in settings["offerings"])
        self.streams = Ring(4 * MARK)                # our own jobs at writers, seen at each beat
        self.shortest = 0.0
        self.per_token = Ring(16 * MARK)             # reading time for a token of the prompt
        self.first = Ring(16 * MARK)                 # time to a first token
        self.stays = [Ring(FAULT_MEMORY * MARK) for _ in settings["offerings"]]     # first token to last

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        """The one entry point: what happened comes in, what is to be done goes out."""
        self.now, self.actions, self.shortest = now, [], self.per_token.least(now)
        if not self.started:
            self.started = True
            if self.settings["ask_for_list"]:
                self.actions.append(Watch(True))
            # Beats of several fronts must not move in step: the first comes after a random part of one.
            self.actions.append(Alarm(self._beat() * self.chance.share(), 0))
        for event in events:
            self._take(event)
        self._send_held()
        self._place_waiting()
        return self.actions

    def _beat(self) -> float:
        return max(self.settings["tick"], (self.settings["release_within"] or MARK) / BEATS)

    def _take(self, event: Event) -> None:
        match event:
            case Listed():
                self._list(event)
            case Arrived(job):
                offering = self.settings["offerings"][job.offering]
                job.promised_at = (self.now + offering["promised_time"]
                                   + offering["promised_per_k"] * job.prompt / 1000)
                self.waiting[job] = None
            case Began(trip, elapsed):
                trip.began, trip.job.began = self.now, True
                wait = max(0.0, elapsed - self._reads(trip))
                self.first.add(self.now, wait)
                trip.engine.pace.add(self.now, wait)
                trip.job.holder = None
                self._alive(trip.engine)
            case Ended():
                self._ended(event)
            case Left(job):
                self._drop(job)
            case Rang(token):
                if token == 0:
                    self.actions.append(Alarm(self._beat(), 0))
                    self._look_round()
                else:
                    self.actions.append(Watch(True))
            case Probed(engine, outcome):
                self._probed(engine, outcome)
            case Placed(trip, _, held):
                trip.job.plan = held

    # Which engines there are.

    def _list(self, event: Listed) -> None:
        if event.scope == "failed":
            if self.settings["ask_for_list"]:
                self.actions.append(Alarm(MARK * (0.5 + self.chance.share()), 1))
            return
        if event.scope != "delta":
            named = {entry.engine for entry in event.entries}
            for engine in self.engines:
                if engine not in named:
                    engine.state = "gone"
        for entry in event.entries:
            self._enter(entry)

    def _enter(self, entry: Entry) -> None:
        engine = entry.engine
        if engine not in self.engines:
            self.engines[engine] = None
            engine.faults, engine.pace, engine.stay = Ring(FAULT_MEMORY * MARK), Ring(MARK), Ring(4 * MARK)
            engine.sent = Ring(1.2 * self.settings["fall_time"])
            engine.turn = int(self.chance.share() * 1000) - 1000     # fronts' rounds start differently
        if entry.state == "ready" and (entry.started != engine.started or engine.state == "gone"):
            engine.narrowed, engine.skip_until, engine.unwell_until, engine.quiet_since = 0.0, 0.0, 0.0, 0.0
        engine.state, engine.started, engine.size = entry.state, entry.started, entry.size
        engine.zone, engine.cell, engine.kind = entry.zone, entry.cell, entry.kind
        engine.role = self.settings["roles"][entry.kind]

    def _cold(self, engine: Engine) -> bool:
        return engine.started > 0 and self.now < engine.started + self.settings["warm_up"]

    def _budget_left(self, engine: Engine) -> bool:
        """Guards against pushing a cold engine over: this front's part of its budget, in any window.

        A front cannot see capacity; what it sends to the warm engines of that role stands for its part of it.
        Without history it sends one job a window.
        """
        if not self._cold(engine):
            return True
        warm = [other for other in self.engines if other.role == engine.role and other.state == "ready"
                and not self._cold(other)]
        usual = sum(other.sent.total(self.now) / other.size for other in warm) / len(warm) if warm else 0.0
        share = self.settings["cold_share"] * self.settings["fall_multiple"] * PRUDENCE
        return engine.sent.total(self.now) + 1 <= max(1.0, usual * engine.size * share)

    # How engines fare, judged from this front's own trips.

    def _alive(self, engine: Engine) -> None:
        engine.quiet_since = self.now if any(not trip.began for trip in engine.trips) else 0.0

    def _strike(self, engine: Engine) -> None:
        """Sets an engine aside, longer with each fault in memory: one that fails fast loses its turns."""
        engine.faults.add(self.now)
        doublings = min(engine.faults.count(self.now) - 1, LONGEST_ASIDE)
        engine.unwell_until = self.now + MARK * 2 ** doublings * (0.75 + 0.5 * self.chance.share())

    def _reads(self, trip: Trip) -> float:
        """What a trip's own reading may take; a mixed engine reads between the steps of its answers."""
        return SLOWNESS * self.shortest * trip.work

    def _oldest(self, engine: Engine) -> float:
        """How long the first in line there has waited, beyond its own reading."""
        first = next((trip for trip in engine.trips if not trip.began), None)
        return max(0.0, self.now - first.sent - self._reads(first)) if first else 0.0

    def _patience(self, engine: Engine) -> float:
        """How long an engine may give no sign of life: a slowness shared by all lengthens it for all."""
        reads = sum(self._reads(trip) for trip in engine.trips if not trip.began)
        waits = 0.0 if engine.role == "read" else SLOWNESS * self.first.mean(self.now)
        return UNHEARD * self.quickest + reads + waits

    def _probed(self, engine: Engine, outcome: Outcome) -> None:
        engine.probing = False
        engine.reachable = outcome in (Outcome.DELIVERED, Outcome.FULL)
        if engine.reachable:
            self._alive(engine)
        else:
            self._strike(engine)
            self._rescue(engine)

    def _rescue(self, engine: Engine) -> None:
        """Guards against hung engines: calls off what waits there and may run elsewhere."""
        if not self.settings["may_cancel"]:
            return
        for trip in list(engine.trips):
            job = trip.job
            free = trip.reading or self.settings["offerings"][job.offering]["effect"] == "redoable"
            if free and not (trip.began or trip.called_off or job.ended) and self._trips_left(job):
                trip.called_off = True
                self.actions.append(Cancel(trip))

    def _well(self, engine: Engine) -> bool:
        if engine.state != "ready" or not self._budget_left(engine):
            return False
        if engine.unwell_until > self.now or engine.probing:
            return False
        on_trial = engine.faults.count(self.now) > 0 and engine.unwell_until > 0
        return not (on_trial and engine.quiet_since and len(engine.trips) > 0)

    # Jobs and trips.

    def _trips_left(self, job: Job) -> int:
        return int(self.settings["most_trips"]) - len(job.trips)

    def _may_send(self, job: Job, engine: Engine) -> bool:
        """Guards against a second effect; reading has none."""
        if engine.state != "ready" or self._trips_left(job) < 1:
            return False
        ran = [trip for trip in job.trips if not trip.reading and trip.outcome not in NEVER_RAN]
        offering = self.settings["offerings"][job.offering]
        if not ran or offering["effect"] == "redoable":
            return not any(trip.outcome is None for trip in job.trips)
        if offering["effect"] == "irreversible" or any(trip.outcome is None for trip in job.trips):
            return False
        group = offering["group"]
        return (self.now - ran[0].sent < offering["remembered"] - self.quickest and all(
            group == "all" or trip.engine.zone == engine.zone
            and (group == "zone" or trip.engine.cell == engine.cell) for trip in ran))

    def _may_defer(self, job: Job) -> bool:
        offering = self.settings["offerings"][job.offering]
        if offering["effect"] == "redoable" or (offering["effect"], offering["group"]) == ("labelled", "all"):
            return True
        return all(trip.reading or trip.outcome in NEVER_RAN for trip in job.trips)

    def _send(self, job: Job, engine: Engine, reading: bool, time_out: float = 0.0) -> None:
        trip = Trip(job, engine, len(job.trips), self.now, reading,
                    work=0.0 if job.holder else job.prompt)
        job.trips.append(trip)
        engine.trips[trip] = None
        engine.sent.add(self.now)
        engine.quiet_since = engine.quiet_since or self.now
        self.holding.pop(job, None)
        self.actions.append(Send(trip, time_out))

    def _unpair(self, job: Job) -> None:
        if job.writer:
            job.writer.paired.pop(job, None)
            job.writer = None

    def _end(self, job: Job) -> None:
        """The one final answer: a deferral where that is true, else a break-off; nothing stays held."""
        if job.ended:
            return
        self.actions.append(Defer(job) if self._may_defer(job) else BreakOff(job))
        self._drop(job)

    def _drop(self, job: Job) -> None:
        job.ended = True
        self._unpair(job)
        self.holding.pop(job, None)
        self.waiting.pop(job, None)
        out = [trip for trip in job.trips if trip.outcome is None]
        for trip in out:
            if self.settings["may_cancel"] and not (trip.began or trip.called_off):
                trip.called_off = True
                self.actions.append(Cancel(trip))
        if job.trips and not out:
            self.actions.append(Release(job))

    def _ended(self, event: Ended) -> None:
        trip, outcome = event.trip, event.outcome
        job, engine = trip.job, trip.engine
        trip.outcome = outcome
        engine.trips.pop(trip, None)
        self._judge(event)
        if event.closed and not job.ended:
            job.ended = True
            self._unpair(job)
        if job.ended:
            if outcome is not Outcome.DELIVERED:
                self.actions.append(Release(job))    # guards against state pinned for a job already answered
        elif trip.reading:
            if outcome is Outcome.READ:
                job.holder, job.held_since = engine, self.now
                if self._spent(job):
                    self._end(job)
                else:
                    self.holding[job] = None
            else:
                self._unpair(job)                    # a place held ahead outlives a failed read
                self._again(job)
        elif job.holder and not (outcome is Outcome.FULL and event.note == 1) and not self._spent(job) \
                and self._may_repeat(job):
            self._unpair(job)                        # the state still waits: the next writer gets it
            job.held_since = self.now
            self.holding[job] = None
        else:
            job.holder = None
            self._unpair(job)
            self._again(job)

    def _judge(self, event: Ended) -> None:
        """What an outcome says about its engine."""
        trip, engine, outcome = event.trip, event.trip.engine, event.outcome
        if outcome in (Outcome.READ, Outcome.DELIVERED):
            if outcome is Outcome.READ:
                self.per_token.add(self.now, event.elapsed / max(1.0, trip.work))
            else:
                stays = self.stays[trip.job.offering]
                stay = max(self.settings["tick"], self.now - (trip.began or trip.sent))
                stays.add(self.now, stay)            # an answer of one token stays no time at all
                engine.stay.add(self.now, stay / stays.mean(self.now))
                engine.narrowed = max(0.0, engine.narrowed - 1.0)
            engine.reachable = True
            self._alive(engine)
        elif outcome is Outcome.FULL:
            if event.note != 1:                      # lost state is no fault of the writer
                engine.narrowed += self._window(engine) / 2
                engine.skip_until = self.now + MARK
            self._alive(engine)
        elif outcome in (Outcome.ERROR, Outcome.UNREACHABLE, Outcome.RESET):
            engine.reachable = outcome is Outcome.ERROR
            self._strike(engine)
            self._alive(engine)                      # a silence is over too: what is left is judged anew
        elif outcome is Outcome.TIMED_OUT and engine.quiet_since and engine.quiet_since <= trip.sent:
            self._strike(engine)

    def _again(self, job: Job) -> None:
        """Back to the wait before the read, where another trip is allowed and can help."""
        self.actions.append(Release(job))            # lost state may still lie where a place was held ahead
        if self._spent(job) or not (self._may_defer(job) or self._may_repeat(job)):
            self._end(job)
        else:
            self.waiting[job] = None

    def _spent(self, job: Job) -> bool:
        """Guards against a lost job: at a time-out cut to the client's own, the answer is due at once."""
        return self._trips_left(job) < 1 or self.now > job.give_up_at - 2 * self._beat()

    def _may_repeat(self, job: Job) -> bool:
        return any(self._may_send(job, engine) for engine in self.engines)

    # The ordinary path.

    def _ready(self, *roles: str) -> list[Engine]:
        return [engine for engine in self.engines if engine.state == "ready" and engine.role in roles]

    def _reader(self, job: Job) -> Engine | None:
        """By hash of the session's prefix, among those with room."""
        readers = [engine for engine in self._ready("read") if self._well(engine)]
        if not readers:                              # guards against one fault too many leaving no reader
            readers = [engine for engine in self._ready("read") if engine.reachable
                       and not (engine.trips or engine.quiet_since) and self._budget_left(engine)]
        if not readers:
            return None
        loads = {engine: sum(trip.work for trip in engine.trips) for engine in readers}
        room = (1 + MARGIN) * sum(loads.values()) / len(readers)
        able = [engine for engine in readers if engine.skip_until <= self.now and loads[engine] <= room
                and self._oldest(engine) <= BACKLOG * self.quickest]
        open_cells = {engine.cell for engine in self._ready("write", "both")
                      if self._well(engine) and self._has_window(engine)}
        able = [engine for engine in able if engine.cell in open_cells] or able
        key = job.session or job.prefix
        return max(able, key=lambda engine: mix(key, engine.key), default=None)

    def _has_window(self, engine: Engine) -> bool:
        """Room at a writer for one more of our own jobs.

        The window narrows with the ratio of a harmless first-token time to the present one, so that a writer
        where states queue (short of memory, slow, hung) gets no more before it answers full.
        """
        if engine.skip_until > self.now:
            return False
        if self._crowded(engine):
            return False
        present = max(engine.pace.mean(self.now), self._oldest(engine))
        calm = min(SLOWNESS * self.first.least(self.now), UNHEARD * self.quickest / 2)
        harmless = max(BACKLOG * self.quickest, calm)
        narrow = min(1.0, harmless / max(present, 1.0))
        return len(engine.trips) + len(engine.paired) < self._window(engine) * narrow

    def _window(self, engine: Engine) -> float:
        slower = max(1.0, engine.stay.mean(self.now, 1.0))
        return max(1.0, self._share() * (1 + MARGIN) / slower + SPARE - engine.narrowed)

    def _crowded(self, engine: Engine) -> bool:
        """Guards against a writer's memory running out: its newest answers go back and are read anew.

        Each front keeps to its even part and margin, counted in prompt tokens, the answers' growth left out;
        it could harm where nearly all traffic comes in at one front.
        """
        memory = self.settings["kind_memory"]
        if engine.kind >= len(memory):
            return False
        held = sum(trip.job.prompt for trip in engine.trips) + sum(job.prompt for job in engine.paired)
        return held > (1 + MARGIN) * memory[engine.kind] / self.settings["fronts"]

    def _share(self) -> float:
        """A writer's even share of recent streams; a rise counts at once: a burst is spread, not stopped."""
        if self.share_at != (self.now, self.turns):  # once a placement: thousands may come in a batch
            writers = self._ready("write", "both")
            present = sum(len(engine.trips) + len(engine.paired) for engine in writers)
            self.share_at = (self.now, self.turns)
            self.even = max(present, self.streams.mean(self.now)) / max(1, len(writers))
        return self.even

    def _rounds(self, near: Engine | None) -> Iterator[list[Engine]]:
        """Those that answer, nearest first: the reader's cell, its zone, the rest."""
        left = self._ready("write", "both")
        if near:
            yield [engine for engine in left if engine.cell == near.cell and engine.zone == near.zone]
            yield [engine for engine in left if engine.zone == near.zone]
        yield left

    def _writer(self, job: Job, near: Engine | None, whole: bool = False) -> Engine | None:
        """The next in turn whose window is open; `whole`: it has to read the prompt as well."""
        for engines in self._rounds(near):
            able = [engine for engine in engines if self._well(engine) and self._has_window(engine)
                    and self._may_send(job, engine)
                    and not (whole and engine.role == "write" and not self.settings["writers_read"])]
            if able:
                return min(able, key=lambda engine: engine.turn)
        return None

    def _take_turn(self, engine: Engine) -> None:
        self.turns += 1
        engine.turn = self.turns

    def _place_waiting(self) -> None:
        closed = False                               # where one new job finds no writer, none does
        for job in sorted(self.waiting, key=lambda job: job.promised_at):
            if job.trips or not closed:
                if self._place(job):
                    del self.waiting[job]
                elif not job.trips:
                    closed = True

    def _place(self, job: Job) -> bool:
        """Starts a job: paired with a writer before its read, or whole at a mixed engine."""
        reader = self._reader(job) if self._trips_left(job) > 1 else None
        writer = self._writer(job, reader, whole=reader is None)
        if writer is None:
            return False
        self._take_turn(writer)
        if reader is None or writer.role == "both":
            self._send(job, writer, reading=False)
            return True
        job.writer = writer
        writer.paired[job] = None
        self._send(job, reader, reading=True, time_out=(job.give_up_at - self.now) / 2)
        if self.settings["may_hold"]:
            self.actions.append(Hold(job, writer))
        return True

    def _send_held(self) -> None:
        """After the read the state joins its writer's queue; the next writer gets it where that one can't."""
        for job in list(self.holding):
            if self.waiting and self.now > job.promised_at:
                self._end(job)                       # guards against late answers that make others late too
                continue
            writer = job.writer
            if writer and not (self._may_send(job, writer) and self._well(writer)):
                self._unpair(job)
                writer = None
            if writer is None:
                writer = self._writer(job, job.holder)
                if writer:
                    self._take_turn(writer)
            if writer:
                self._unpair(job)
                self._send(job, writer, reading=False)

    def _look_round(self) -> None:
        """Each beat: what has run out of time, and who has fallen silent."""
        beat = self._beat()
        self.streams.add(self.now, sum(len(engine.trips) + len(engine.paired)
                                       for engine in self._ready("write", "both")))
        for job in list(self.holding):
            if self._spent(job) or self.now > job.held_since + self.settings["release_within"] / 2:
                self.holding.pop(job)
                job.holder = None                    # guards against pinned state: it is read anew if in time
                self._again(job)
        soonest = self.first.mean(self.now)
        for job in list(self.waiting):
            need = soonest + self.per_token.mean(self.now) * job.prompt
            if self.now + need + 2 * beat > min(job.promised_at, job.give_up_at):
                self._end(job)
        for engine in self.engines:
            if engine.quiet_since and not engine.probing and engine.unwell_until <= self.now \
                    and self.now - engine.quiet_since > self._patience(engine):
                if self.settings["may_probe"] and engine.state == "ready":
                    engine.probing = True
                    self.actions.append(Probe(engine))
                else:
                    self._strike(engine)
                    self._rescue(engine)
