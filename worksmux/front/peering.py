"""The shell of the fleet of fronts: timers, sockets and disk for the cores of `peers`, `council` and
`failover`.  It decides nothing.

Each core is stepped with what came and the time; what it answers is sent, written or told on.  What the
module acts on is looked at before each of its turns, so that a front that slept finds its lease over before
it decides anything.
"""

from __future__ import annotations

import secrets
from collections import deque
from collections.abc import Callable
from math import inf
from pathlib import Path
from typing import Any

import msgspec
import structlog

from .. import interface as i
from ..council import following as follow
from ..council import raft as council
from ..council import steps
from ..council.book import PLAN, Book, Chapter, Put
from ..council.entries import CHANGE, Base, Seats, front_of
from ..council.seating import Able, founds, next_seats
from ..failover import acting
from ..failover.plan import Plan, decode, encode
from ..failover.planner import Map, Planner
from ..failover.tally import Tally, added
from ..failover.watcher import Watcher
from ..measure import mix
from ..net import clock
from ..net.loop import Reactor
from ..peers import swim as peers
from ..peers.members import Rumour, State
from ..settings.front import FrontSettings
from .council_disk import CouncilDisk
from .holding import Holding
from .account_keeper import AccountKeeper
from .peers_link import Envelope, PeersLink, ToAccount, ToFollower, ToPeer, ToSeat
from .published import PublishedCore

LOG = structlog.get_logger()
COUNCIL = "council"  # the chapter with the council's own mark
SEAT, VOTES = "seat", "votes"  # what a front carries along: its seat, and whether it votes
LONG = 1000  # entries, from which the log is cut
KEPT = 200  # plans remembered for who asks
READ_TALLY = msgspec.msgpack.Decoder(Tally)


class Peering:
    """`on_outlived` is called when another process with this name has started later."""

    def __init__(self, settings: FrontSettings, core: PublishedCore, reactor: Reactor, seed: int) -> None:
        fleet = settings.fleet
        assert fleet is not None
        self.settings, self.fleet, self.core, self.reactor, self.seed = settings, fleet, core, reactor, seed
        self.link = PeersLink(fleet, reactor, settings.name, self._came)
        self.disk = CouncilDisk(Path(fleet.disk), reactor.callFromThread)
        for note in self.disk.notes:
            LOG.warning("the council's disk", note=note)
        self.life, self.mark = self.disk.own.life, self.disk.own.mark
        self.seat = f"{settings.name}#{self.mark}"
        self.raft = council.Raft(
            self.seat, self.disk.saved, steps.Figures(fleet.beat, fleet.patience), mix(seed, 1), clock.now()
        )
        self.book = Book()
        self.book.take_whole(self.disk.saved.base)
        self.swim: peers.Swim | None = None
        self.follower = follow.Follower(settings.name, fleet.lease, mix(seed, 2), clock.now(), self._report)
        self.watcher = Watcher(settings.zones, [one.name for one in settings.offerings], settings.module)
        self.map = Map(
            {zone: settings.regions.get(zone, "") for zone in settings.zones},
            {one.name: one.credit for one in settings.offerings},
            settings.module["cold_share"],
            fleet.look,
            fleet.carries,
        )
        self.keeper = AccountKeeper(Path(fleet.disk), reactor, settings.name, self._send_account, self._names)
        self.holding = Holding(settings)
        self.planner: Planner | None = None
        self.plan = Plan()
        self.alone = True
        self.told: i.Planned | None = None
        self.history: deque[dict[str, Any]] = deque(maxlen=KEPT)
        self.timers: dict[str, tuple[float, Any]] = {}
        self.own = Tally(zones={}, asked={})  # this front's latest report
        self.synced = 0  # the last write of the council that is on disk
        self.held: deque[tuple[int, list[tuple[str, Any]]]] = deque()  # messages that wait for one
        self.marked = -1, 0  # of the book: index and mark
        self.led_since = self.proposed_at = -inf
        self.contradictions = 0
        self.ended = False
        self.on_outlived: Callable[[], None] = lambda: None

    # Start and end.

    def start(self) -> None:
        self.link.start()
        self.link.life = self.life
        zone = self.settings.zones[self.settings.module["zone"]]
        me = Rumour(
            self.settings.name,
            self.life,
            0,
            State.ALIVE,
            self.link.address,
            zone,
            self.settings.regions.get(zone, ""),
            {SEAT: self.seat, COUNCIL: self._council()},
        )
        self.swim = peers.Swim(me, self.fleet.seeds, self.fleet.period, mix(self.seed, 3), clock.now())
        before = self.core.on_event
        self.core.on_event = self._both(before) if before else self.watcher.saw
        self.core.before_turn, self.core.acts_on = self.check, self.acts_on
        self.core.on_decision = self._decided
        LOG.info(
            "fleet",
            peers=self.link.address,
            seat=self.seat,
            life=self.life,
            seats=list(self.raft.seats.voters),
        )
        self.keeper.start(self.life)
        self._swim(peers.Tick())
        self._raft(steps.Tick())
        self._follow(follow.Tick())
        self._look()

    def _both(self, other: Callable[[float, i.Event], None]) -> Callable[[float, i.Event], None]:
        def saw(now: float, event: i.Event) -> None:
            other(now, event)
            self.watcher.saw(now, event)

        return saw

    def leave(self) -> None:
        """This front ends in order: another seat leads, and nobody calls it dead."""
        if not self.ended:
            self._raft(steps.HandOver())
            self._swim(peers.Leave())

    def close(self) -> None:
        self.ended = True
        for _, timer in self.timers.values():
            if timer.active():
                timer.cancel()
        self.link.close()
        self.keeper.close()
        self.disk.close()

    # Timers: one for each core, for when it wants to be looked at.

    def _rest(self, core: str, due: float, ring: Callable[[], None]) -> None:
        at, timer = self.timers.get(core, (inf, None))
        if timer is not None and timer.active():
            if at == due:
                return
            timer.cancel()
        if due < inf and not self.ended:
            timer = self.reactor.callLater(max(0.0, due - clock.now()) / 1000, ring)
            self.timers[core] = due, timer

    # Peers.

    def _swim(self, what: peers.What) -> None:
        assert self.swim is not None
        out = self.swim.step(clock.now(), what)
        for post in out.posts:
            self.link.post(post.name, post.address, ToPeer(post.message))
        for fact in out.facts:
            self._peer_fact(fact)
        if out.facts:
            self._follow(follow.Fronts(frozenset(self.swim.members.there), self._seat_fronts()))
        self._rest("swim", self.swim.due, lambda: self._swim(peers.Tick()))

    def _peer_fact(self, fact: peers.Fact) -> None:
        match fact:
            case peers.Changed(before, now):
                state = State(now.state)
                if before is None or before.state != now.state or before.life != now.life:
                    LOG.info(
                        "front",
                        name=now.name,
                        state=state.name.lower(),
                        life=now.life,
                        by=now.by,
                        before=State(before.state).name.lower() if before else None,
                    )
                if state >= State.DEAD:
                    self.link.forget(now.address)
            case peers.Lives(life):
                LOG.info("this front takes a higher life: an earlier start of it is known", life=life)
                self.life = self.link.life = life
            case peers.Outlived(life, address):
                LOG.error(
                    "another process with this name has started later; this one ends",
                    life=life,
                    address=address,
                )
                self.on_outlived()

    def able(self) -> dict[str, Able]:
        """Fronts that could hold a seat, this one included."""
        assert self.swim is not None
        rumours = [self.swim.me, *(member.rumour for member in self.swim.members.there.values())]
        return {
            one.name: Able(one.name, one.facts[SEAT], one.zone, one.facts.get(COUNCIL, ""))
            for one in rumours
            if one.facts.get(SEAT)
        }

    def _seat_fronts(self) -> frozenset[str]:
        """Those that vote, by what each carries along."""
        assert self.swim is not None
        there = [self.swim.me, *(member.rumour for member in self.swim.members.there.values())]
        return frozenset(one.name for one in there if one.facts.get(VOTES))

    def _council(self) -> str:
        told = self.book.chapters.get(COUNCIL) or self.follower.chapters.get(COUNCIL)
        # A seat that has not applied anything yet knows that there is one.
        return told.value.decode() if told else "?" if self.raft.seats.voters else ""

    def _carry(self) -> None:
        """What others are told of this front."""
        facts = {SEAT: self.seat, COUNCIL: self._council()}
        if self.seat in self.raft.seats.voters:
            facts[VOTES] = "yes"
        if self.swim is not None and facts != self.swim.me.facts:
            self._swim(peers.Carry(facts))
            self._follow(follow.Fronts(frozenset(self.swim.members.there), self._seat_fronts()))

    # Messages.

    def _came(self, envelope: Envelope) -> None:
        if self.ended or self.swim is None:
            return
        known = self.swim.members.known.get(envelope.name)
        if known is not None and envelope.life < known.rumour.life and not isinstance(envelope.inner, ToPeer):
            return self.link.refuse(
                "life", envelope.name, f"life {envelope.life} is over; {known.rumour.life} is known"
            )
        match envelope.inner:
            case ToPeer(message):
                self._swim(peers.Heard(envelope.name, envelope.address, message))
            case ToFollower(message):
                self._follow(follow.Heard(envelope.name, message))
            case ToAccount(message):
                self.keeper.heard(envelope.name, message)
            case ToSeat(seat, to, message):
                if to != self.seat:
                    return self.link.refuse("seat", envelope.name, f"it is for {to}; this is {self.seat}")
                self._raft(steps.Heard(seat, message))

    def _address(self, name: str) -> str:
        assert self.swim is not None
        known = self.swim.members.known.get(name)
        return known.rumour.address if known else ""

    def _send_account(self, name: str, message: Any) -> None:
        self.link.post(name, self._address(name), ToAccount(message))

    def _names(self) -> list[str]:
        """Of all fronts that are known, there or not."""
        return [self.settings.name, *(self.swim.members.known if self.swim is not None else ())]

    # The council.

    def _raft(self, what: steps.What) -> None:
        """One step.  Its messages leave once its writes, and all before them, are on disk."""
        if self.ended:
            return
        out = self.raft.step(clock.now(), what)
        for write in out.writes:
            self.disk.put(write, self._synced)
        if out.messages and self.raft.number > self.synced:
            self.held.append((self.raft.number, out.messages))
        else:
            self._post(out.messages)
        for fact in out.facts:
            self._council_fact(fact)
        self._tell_follower()
        self._rest("raft", self.raft.due, lambda: self._raft(steps.Tick()))

    def _synced(self, number: int) -> None:
        if self.ended:
            return
        self.synced = max(self.synced, number)
        while self.held and self.held[0][0] <= self.synced:
            self._post(self.held.popleft()[1])
        self._raft(steps.Written(number))

    def _post(self, messages: list[tuple[str, Any]]) -> None:
        for seat, message in messages:
            name = front_of(seat)
            self.link.post(name, self._address(name), ToSeat(self.seat, seat, message))

    def _council_fact(self, fact: steps.Fact) -> None:
        match fact:
            case steps.Committed(entries):
                for entry in entries:
                    self.book.apply(entry)
                if self.book.index - self.raft.log.base.index > LONG:
                    self.reactor.callLater(0, self._raft, steps.Compact(self.book.index, self.book.whole()))
            case steps.Rebased(base):
                self.book.take_whole(base)
            case steps.Leads(term, seat):
                LOG.info("council", term=term, leader=front_of(seat), seats=list(self.raft.seats.voters))
                self.planner, self.led_since = None, clock.now()
            case steps.Odd(text):
                LOG.error("the council contradicts itself", what=text)
                self.contradictions += 1
            case _:
                pass

    def _leads(self) -> bool:
        """Surely, and with all that was agreed before it applied."""
        raft = self.raft
        return raft.leads_surely(clock.now()) and raft.commit >= raft.began

    def _tell_follower(self) -> None:
        if not self.raft.seats.voters:
            return
        if self.book.index != self.marked[0]:
            self.marked = self.book.index, self.book.mark()
        age = self.raft.quorum_age(clock.now()) if self._leads() else -1.0
        self._follow(
            follow.Agreed(
                self.book.index, self.marked[1], self.book.chapters, age, front_of(self.raft.leader)
            )
        )

    # What all follow.

    def _follow(self, what: follow.What) -> None:
        if self.ended:
            return
        out = self.follower.step(clock.now(), what)
        for name, message in out.posts:
            self.link.post(name, self._address(name), ToFollower(message))
        for fact in out.facts:
            match fact:
                case follow.Fresh(chapters):
                    if PLAN in chapters:
                        self._take_plan(self.follower.chapters[PLAN])
                case follow.Contradicts(name, index):
                    LOG.error(
                        "another front holds something else under the same number", name=name, index=index
                    )
                    self.contradictions += 1
        self._rest("follow", self.follower.due, lambda: self._follow(follow.Tick()))

    def _take_plan(self, chapter: Chapter) -> None:
        try:
            plan = decode(chapter.value)
        except msgspec.DecodeError as error:
            LOG.error("a plan cannot be read; the last one stays", why=str(error))
            return
        if plan.number <= self.plan.number:
            return
        self.plan = plan
        self.history.append(
            {
                "at": clock.wall(),
                "number": plan.number,
                "event": plan.event,
                "why": plan.why,
                "rows": plan.rows,
                "shed": plan.shed,
            }
        )
        LOG.info("plan", number=plan.number, of_event=plan.event, why=plan.why)
        self.core.wake()  # so that it is acted on now, not with the next job

    def _report(self, below: list[bytes]) -> bytes:
        return msgspec.msgpack.encode(self._tally(below))

    def _tally(self, below: list[bytes]) -> Tally:
        """This front's own report, and those that came up."""
        found = [self.own]
        for data in below:
            try:
                told = READ_TALLY.decode(data)
                if not told.sound():
                    raise msgspec.ValidationError("its figures make no sense")
                found.append(told)
            except msgspec.DecodeError as error:
                self.link.refuse("report", "", str(error))
        return added(found)

    # Looks, at their own pace.

    def _look(self) -> None:
        if self.ended or self.swim is None:
            return
        self.reactor.callLater(self.fleet.look / 1000, self._look)
        now = clock.now()
        self.own = self.watcher.report(now)
        self._carry()
        self._found()
        if self._leads():
            self._seat(now)
            self._plan()
        if self.alone:
            self.check(now)

    def _found(self) -> None:
        able = self.able()
        if self.raft.seats.voters or not founds(
            self.settings.name, list(self.fleet.founders), able, self._council()
        ):
            return
        base = Base(seats=Seats((self.seat,)))
        LOG.info("the council is founded", by=self.seat)
        self.disk.found(base)
        self.raft = council.Raft(
            self.seat,
            self.disk.saved,
            steps.Figures(self.fleet.beat, self.fleet.patience),
            mix(self.seed, 4),
            clock.now(),
        )
        self.synced = 0
        self.held.clear()
        self._raft(steps.Tick())

    def _seat(self, now: float) -> None:
        """Brings the council to its size; names it once."""
        if COUNCIL not in self.book.chapters:
            return self._propose(Put(COUNCIL, secrets.token_hex(8).encode(), 0))
        swim = self.swim
        assert swim is not None

        def gone(name: str) -> bool:
            known = swim.members.known.get(name)
            since = known.since if known is not None and not known.there else self.led_since
            return (known is None or not known.there) and now - max(since, self.led_since) > self.fleet.gone

        if self.raft.seats_at <= self.raft.commit:
            seats = next_seats(self.raft.seats, self.able(), self.fleet.seats, gone, self.raft.caught_up)
            if seats is not None:
                LOG.info("seats", voters=list(seats.voters), learners=list(seats.learners))
                self._raft(steps.Change(seats))

    def _plan(self) -> None:
        """One look of the planner; no other while what it proposed is not agreed."""
        now, held = clock.now(), self.book.chapters.get(PLAN)
        in_force = decode(held.value) if held else Plan()
        if (
            self.planner is not None
            and self.planner.plan.number > in_force.number
            and now < self.proposed_at + self.fleet.patience
        ):
            return
        if self.planner is None or self.planner.plan.number != in_force.number:
            self.planner = Planner(self.map, in_force)
        plan = self.planner.look(self._tally(self.follower.reports()))
        if plan is not None:
            self.proposed_at = now
            self._propose(Put(PLAN, encode(plan), held.index if held else 0))

    def _propose(self, put: Put) -> None:
        self._raft(steps.Propose(CHANGE, msgspec.msgpack.encode(put)))

    # What the module acts on.

    def check(self, now: float) -> None:
        """Before each turn of the module: the lease is looked at before anything is decided."""
        alone = not self.follower.holds(now)
        if alone != self.alone:
            self.alone = alone
            LOG.warning(
                "alone: what was decided in common is too old to act on"
                if alone
                else "with the others again",
                plan=self.plan.number,
            )
        event = acting.told(
            self.plan,
            self.settings.zones,
            [one.name for one in self.settings.offerings],
            alone,
            self.settings.zones[self.settings.module["zone"]],
            self.own,
        )
        if event != self.told:
            self.told = event
            self.core.tell(event or i.Planned({}, {}, 0.0))
        self.keeper.acts_on(self.holding.versions(self.plan, alone, self.core.engine_list.keeper))

    def _decided(self, job: str, trip: int) -> None:
        self.keeper.account.decides(job, trip, clock.wall())

    def acts_on(self) -> str:
        return f"{self.plan.number} alone" if self.alone else str(self.plan.number)

    # Who asks.

    def stands(self) -> str:
        """In a few words, for `/ready`."""
        return f"alone, with plan {self.plan.number} as a bound" if self.alone else f"plan {self.plan.number}"

    def status(self) -> dict[str, Any]:
        """All that an operator may want to see, from this front's own view."""
        now, swim = clock.now(), self.swim
        assert swim is not None
        members = [swim.me, *(member.rumour for member in swim.members.known.values())]
        return {
            "front": self.settings.name,
            "fleet": self.fleet.name,
            "life": self.life,
            "seat": self.seat,
            "alone": self.alone,
            "lease_ms": round(max(0.0, self.follower.until() - now)),
            "doubts_itself": swim.health.level,
            "council": {
                "term": self.raft.term,
                "role": self.raft.role.value,
                "leader": self.follower.leader,
                "voters": list(self.raft.seats.voters),
                "learners": list(self.raft.seats.learners),
                "agreed": self.book.index,
                "known": self.follower.index,
            },
            "fronts": [
                {
                    "name": one.name,
                    "state": State(one.state).name.lower(),
                    "life": one.life,
                    "zone": one.zone,
                    "region": one.region,
                    "address": one.address,
                    "seat": bool(one.facts.get(VOTES)),
                }
                for one in sorted(members, key=lambda x: x.name)
            ],
            "plan": msgspec.to_builtins(self.plan),
            "history": list(self.history),
            "zones": {name: msgspec.to_builtins(one) for name, one in self.own.zones.items()},
            "seen_by_leader": self._views(),
            "messages": {
                "sent": self.link.sent,
                "bytes": self.link.sent_bytes,
                "dropped": self.link.dropped,
                "refused": dict(self.link.refused),
            },
            "contradictions": self.contradictions,
        }

    def _views(self) -> dict[str, Any]:
        """How each zone is, where this front's seat leads and plans."""
        if self.planner is None or not self._leads():
            return {}
        return {
            name: {
                "phase": view.phase.value,
                "keeps": round(view.keep, 3),
                "ready": round(view.ready, 1),
                "of": round(view.size, 1),
                "warm": round(view.warm, 2),
                "waits": round(self.planner.press.get(name, 0.0), 3),
                "relapses": view.relapses,
            }
            for name, view in self.planner.zones.views.items()
        }
