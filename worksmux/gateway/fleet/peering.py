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

from ...consensus import replication as follow
from ...consensus import steps
from ...consensus.reconfiguration import Able, founds, next_seats
from ...consensus.state_machine import PLAN, Chapter, Put
from ...failover import acting
from ...failover.plan import Plan, decode, encode
from ...failover.planner import Map, Planner
from ...failover.tally import Tally, added
from ...failover.watcher import Watcher
from ...gossip import swim as peers
from ...gossip.members import Rumour, State
from ...net import clock
from ...net.loop import Reactor
from ...policy.events import Event, FailoverPlan
from ...policy.measure import mix
from ...settings.front import FrontSettings
from ..active_versions import ActiveVersions
from ..chat_engine_client import ChatEngineClient
from .audit_log_keeper import AccountKeeper
from .consensus_disk import CouncilDisk
from .consensus_voter import CouncilSeat
from .core_timers import CoreTimers
from .peers_link import Envelope, PeersLink, ToAccount, ToFollower, ToPeer, ToSeat

LOG = structlog.get_logger()
COUNCIL = "council"  # the chapter with the council's own mark
SEAT, VOTES = "seat", "votes"  # what a front carries along: its seat, and whether it votes
KEPT = 200  # plans remembered for who asks
READ_TALLY = msgspec.msgpack.Decoder(Tally)


class Peering:
    """`on_outlived` is called when another process with this name has started later."""

    def __init__(self, settings: FrontSettings, core: ChatEngineClient, reactor: Reactor, seed: int) -> None:
        fleet = settings.fleet
        assert fleet is not None
        self.settings, self.fleet, self.core, self.reactor, self.seed = settings, fleet, core, reactor, seed
        self.link = PeersLink(fleet, reactor, settings.name, self._came)
        disk = CouncilDisk(Path(fleet.disk), reactor.callFromThread)
        for note in disk.notes:
            LOG.warning("the council's disk", note=note)
        self.life = disk.own.life
        self.timers = CoreTimers(reactor)
        self.council = CouncilSeat(settings.name, fleet, reactor, seed, disk, self.timers, self._send_to_seat)
        self.council.on_step, self.council.on_leader = self._tell_follower, self._forget_planner
        self.swim: peers.Swim | None = None
        self.follower = follow.Follower(settings.name, fleet.lease, mix(seed, 2), clock.now(), self._report)
        self.watcher = Watcher(
            settings.zones, [one.name for one in settings.request_classes], settings.module
        )
        self.map = Map(
            {zone: settings.regions.get(zone, "") for zone in settings.zones},
            {one.name: one.credit for one in settings.request_classes},
            settings.module["cold_share"],
            fleet.look,
            fleet.carries,
        )
        self.keeper = AccountKeeper(Path(fleet.disk), reactor, settings.name, self._send_account, self._names)
        self.active_versions = ActiveVersions(settings)
        self.planner: Planner | None = None
        self.plan = Plan()
        self.alone = True
        self.told: FailoverPlan | None = None
        self.history: deque[dict[str, Any]] = deque(maxlen=KEPT)
        self.own = Tally(zones={}, asked={})  # this front's latest report
        self.proposed_at = -inf
        self.contradictions = 0  # of followers; the seat counts its own
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
            {SEAT: self.council.name, COUNCIL: self._council()},
        )
        self.swim = peers.Swim(me, self.fleet.seeds, self.fleet.period, mix(self.seed, 3), clock.now())
        before = self.core.on_event
        self.core.on_event = self._both(before) if before else self.watcher.saw
        self.core.before_turn, self.core.acts_on = self.check, self.acts_on
        self.core.on_decision = self._decided
        LOG.info(
            "fleet",
            peers=self.link.address,
            seat=self.council.name,
            life=self.life,
            seats=list(self.council.voters),
        )
        self.keeper.start(self.life)
        self._swim(peers.Tick())
        self.council.step(steps.Tick())
        self._follow(follow.Tick())
        self._look()

    def _both(self, other: Callable[[float, Event], None]) -> Callable[[float, Event], None]:
        def saw(now: float, event: Event) -> None:
            other(now, event)
            self.watcher.saw(now, event)

        return saw

    def leave(self) -> None:
        """This front ends in order: another seat leads, and nobody calls it dead."""
        if not self.ended:
            self.council.step(steps.HandOver())
            self._swim(peers.Leave())

    def close(self) -> None:
        self.ended = True
        self.timers.close()
        self.link.close()
        self.keeper.close()
        self.council.close()

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
        self.timers.ring_at("swim", self.swim.due, lambda: self._swim(peers.Tick()))

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
        told = self.council.book.chapters.get(COUNCIL) or self.follower.chapters.get(COUNCIL)
        # A seat that has not applied anything yet knows that there is one.
        return told.value.decode() if told else "?" if self.council.voters else ""

    def _carry(self) -> None:
        """What others are told of this front."""
        facts = {SEAT: self.council.name, COUNCIL: self._council()}
        if self.council.name in self.council.voters:
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
                if to != self.council.name:
                    return self.link.refuse(
                        "seat", envelope.name, f"it is for {to}; this is {self.council.name}"
                    )
                self.council.step(steps.Heard(seat, message))

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

    def _send_to_seat(self, name: str, message: ToSeat) -> None:
        self.link.post(name, self._address(name), message)

    def _forget_planner(self) -> None:
        self.planner = None

    def _tell_follower(self) -> None:
        if self.council.voters:
            self._follow(self.council.agreed())

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
        self.timers.ring_at("follow", self.follower.due, lambda: self._follow(follow.Tick()))

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
        if self.council.leads:
            self._seat(now)
            self._plan()
        if self.alone:
            self.check(now)

    def _found(self) -> None:
        founders = list(self.fleet.founders)
        if not self.council.voters and founds(self.settings.name, founders, self.able(), self._council()):
            self.council.found()

    def _seat(self, now: float) -> None:
        """Brings the council to its size; names it once."""
        if COUNCIL not in self.council.book.chapters:
            return self.council.propose(Put(COUNCIL, secrets.token_hex(8).encode(), 0))
        swim = self.swim
        assert swim is not None

        def gone(name: str) -> bool:
            known = swim.members.known.get(name)
            since = known.since if known is not None and not known.there else self.council.led_since
            return (known is None or not known.there) and now - max(
                since, self.council.led_since
            ) > self.fleet.gone

        if self.council.raft.seats_at <= self.council.raft.commit:
            seats = next_seats(
                self.council.raft.seats, self.able(), self.fleet.seats, gone, self.council.raft.caught_up
            )
            if seats is not None:
                LOG.info("seats", voters=list(seats.voters), learners=list(seats.learners))
                self.council.step(steps.Change(seats))

    def _plan(self) -> None:
        """One look of the planner; no other while what it proposed is not agreed."""
        now, held = clock.now(), self.council.book.chapters.get(PLAN)
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
            self.council.propose(Put(PLAN, encode(plan), held.index if held else 0))

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
            [one.name for one in self.settings.request_classes],
            alone,
            self.settings.zones[self.settings.module["zone"]],
            self.own,
        )
        if event != self.told:
            self.told = event
            self.core.tell(event or FailoverPlan({}, {}, 0.0))
        self.keeper.acts_on(self.active_versions.versions(self.plan, alone, self.core.engine_list.keeper))

    def _decided(self, request: str, attempt: int) -> None:
        self.keeper.account.decides(request, attempt, clock.wall())

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
            "seat": self.council.name,
            "alone": self.alone,
            "lease_ms": round(max(0.0, self.follower.until() - now)),
            "doubts_itself": swim.health.level,
            "council": {
                "term": self.council.raft.term,
                "role": self.council.raft.role.value,
                "leader": self.follower.leader,
                "voters": list(self.council.voters),
                "learners": list(self.council.raft.seats.learners),
                "agreed": self.council.book.index,
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
            "contradictions": self.contradictions + self.council.contradictions,
        }

    def _views(self) -> dict[str, Any]:
        """How each zone is, where this front's seat leads and plans."""
        if self.planner is None or not self.council.leads:
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
