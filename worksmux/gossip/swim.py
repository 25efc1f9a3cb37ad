"""Membership among fronts: SWIM (Das, Gupta and Motivala 2002) with suspicion and Lifeguard's doubt of
oneself.

    out = swim.step(now, what)       # what: Tick, Heard, Leave or Carry; times are milliseconds

Free of I/O and clock: `out` says what to send and what has become known, `swim.due` when the next tick is
wanted.  Each period one other front is pinged; who does not answer is asked for by helpers, then suspected,
then taken for dead unless it says otherwise.  News rides on these messages, each so often that all have
most likely heard it.  What a front sends grows with the logarithm of their number, and not at all with that
of the messages it gets.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import reduce
from math import ceil, inf, log, log2, log10
from operator import xor

import msgspec

from ..policy.random_source import RandomSource
from .health import Health
from .members import PARTS, Incarnation, Member, Members, Rumour, State, part_of
from .messages import Ack, Ask, Everyone, Message, Nack, Parts, Ping, Same, Some

PATIENCE = 0.5  # of a period: for the answer to a ping, before helpers are asked
HELPERS = 3
HELPER = 0.3  # of a period: after it a helper says that it has not heard either
SUSPICION = 4.0  # periods, times the logarithm of their number: the least time to answer an accusation
GENEROUS = 6.0  # times the least: where one front alone accuses
WITNESSES = 3  # further accusers that make it the least
SPREAD = 3.0  # times the logarithm of their number: so often one piece of news is sent
MOST_RUMOURS = 10  # in a message
COMPARING = 10.0  # periods between two comparisons of all that is believed, with one other front
BACKLOG = 40  # pieces of news unsent: so many at once are told whole instead, as in a mass restart
AGAIN = 6.0  # periods between two attempts to reach who seems gone: a cut may be over
LATE = 0.5  # of a period: a tick later than that says that this front itself was asleep


@dataclass(frozen=True, slots=True)
class Tick:
    pass


@dataclass(frozen=True, slots=True)
class Heard:
    """A message, and who sent it from where."""

    name: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Leave:
    """This front ends in order."""


@dataclass(frozen=True, slots=True)
class Carry:
    """What this front wants carried along about itself has changed."""

    facts: dict[str, str]


What = Tick | Heard | Leave | Carry


@dataclass(frozen=True, slots=True)
class Post:
    """A message to an address; `name` is empty where it is not known who is there."""

    name: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Changed:
    """A front is believed to be something else than before; `before` is None for a new one."""

    before: Rumour | None
    now: Rumour


@dataclass(frozen=True, slots=True)
class Lives:
    """This front has taken a higher life: a start of it was known that its own clock or disk did not show."""

    life: int


@dataclass(frozen=True, slots=True)
class Outlived:
    """Another process with this name started later: this one has to end."""

    life: int
    address: str


Fact = Changed | Lives | Outlived


@dataclass(slots=True)
class Out:
    posts: list[Post] = field(default_factory=list)
    facts: list[Fact] = field(default_factory=list)


@dataclass(slots=True)
class Probe:
    number: int
    member: Member
    sent: float
    helped: bool = False
    answered: bool = False
    helpers: int = 0
    silent: set[str] = field(default_factory=set)  # of them, those that have said nothing


@dataclass(slots=True)
class Errand:
    """A ping sent for somebody else."""

    number: int  # of theirs
    name: str
    address: str
    until: float


class Swim:
    def __init__(self, me: Rumour, seeds: Iterable[str], period: float, seed: int, now: float) -> None:
        """`me` with its life; `seeds` are addresses to ask first, `period` milliseconds."""
        self.me, self.seeds, self.period, self.chance = me, list(seeds), period, RandomSource(seed)
        self.members = Members(me.name)
        self.health = Health()
        self.number = 0
        self.line: list[str] = []  # whom to ping next
        self.probe: Probe | None = None
        self.errands: dict[int, Errand] = {}
        self.news: dict[str, tuple[Rumour, int]] = {}  # by name: how often it was sent
        self.joined = False  # another front has told all that it believes
        self.gone = False
        self.next_probe = now + period * self.chance.share()
        self.next_compare = now + period * COMPARING * self.chance.share()
        self.told_all = -inf
        self.next_again = now
        self.due = now

    def incarnation(self) -> Incarnation:
        return Incarnation(self.me.life, self.me.beat)

    def step(self, now: float, what: What) -> Out:
        out = Out()
        match what:
            case Tick():
                self._tick(now, out)
            case Heard():
                self._heard(now, what, out)
            case Leave():
                self._leave(out)
            case Carry(facts):
                if facts != self.me.facts:
                    self._say(msgspec.structs.replace(self.me, beat=self.me.beat + 1, facts=facts))
        self.due = self._due()
        return out

    # Time.

    def _due(self) -> float:
        if self.gone:
            return inf
        times = [self.next_probe, self.next_compare, self.next_again]
        if self.probe is not None and not self.probe.answered and not self.probe.helped:
            times.append(self.probe.sent + self._patience())
        times += [errand.until for errand in self.errands.values()]
        times += map(self._condemned_at, self.members.suspects.values())
        return min(times)

    def _patience(self) -> float:
        return PATIENCE * self.period * self.health.factor

    def _count(self) -> int:
        return 1 + len(self.members.there)

    def _tick(self, now: float, out: Out) -> None:
        late = now - self.due
        if late > LATE * self.period:
            self._slept(late)
        for number, errand in list(self.errands.items()):
            if errand.until <= now:
                del self.errands[number]
                out.posts.append(Post(errand.name, errand.address, Nack(errand.number)))
        probe = self.probe
        if (
            probe is not None
            and not probe.answered
            and not probe.helped
            and probe.sent + self._patience() <= now
        ):
            self._ask_helpers(probe, out)
        for member in list(self.members.suspects.values()):
            if self._condemned_at(member) <= now:
                self._believe(
                    msgspec.structs.replace(member.rumour, state=State.DEAD, by=self.me.name), now, out
                )
        if self.next_probe <= now:
            self._next_round(now, out)
        if self.next_compare <= now:
            self._compare(out)
            self.next_compare = now + self.period * COMPARING
        if self.next_again <= now:
            self.next_again = now + AGAIN * self.period
            self._reach_out(out)

    def _slept(self, late: float) -> None:
        """Guards against a front that was frozen or starved and blames the others: what came meanwhile is
        still unheard, so all that it waits for gets the time that it slept through."""
        self.health.worse()
        self.next_probe += late
        if self.probe is not None:
            self.probe.sent += late
        for errand in self.errands.values():
            errand.until += late
        for member in self.members.suspects.values():
            member.suspected_at += late

    # Probes.

    def _next_round(self, now: float, out: Out) -> None:
        self._end_round(now, out)
        self.next_probe = now + self.period * self.health.factor
        member = self._next_member()
        if member is None:
            return
        if len(self.news) > BACKLOG and now > self.told_all + 2 * self.period:
            self.told_all = now
            self._compare(out)
        self.number += 1
        self.probe = Probe(self.number, member, now)
        out.posts.append(
            Post(
                member.name,
                member.rumour.address,
                Ping(self.number, member.rumour.life, self._rumours(member)),
            )
        )

    def _next_member(self) -> Member | None:
        """Each in its turn, in an order that is drawn anew for each round: none is left out for long."""
        for again in (False, True):
            while self.line:
                member = self.members.known.get(self.line.pop())
                if member is not None and member.there:
                    return member
            if not again:
                names = [member.name for member in self.members.there.values()]
                self.line = self.chance.some(names, len(names))
        return None

    def _ask_helpers(self, probe: Probe, out: Out) -> None:
        probe.helped = True
        able = [
            member
            for member in self.members.there.values()
            if member.state == State.ALIVE and member is not probe.member
        ]
        for helper in self.chance.some(able, HELPERS):
            probe.helpers += 1
            probe.silent.add(helper.name)
            out.posts.append(
                Post(
                    helper.name,
                    helper.rumour.address,
                    Ask(probe.number, probe.member.name, self._rumours(helper)),
                )
            )

    def _end_round(self, now: float, out: Out) -> None:
        probe, self.probe = self.probe, None
        if probe is None or probe.answered:
            return
        # Guards against blame where the fault is on this side: helpers that say nothing either accuse us.
        self.health.worse(len(probe.silent) if probe.helpers else 1)
        member = probe.member
        if self.members.known.get(member.name) is member and member.there:
            self._believe(
                msgspec.structs.replace(member.rumour, state=State.SUSPECT, by=self.me.name), now, out
            )

    def _condemned_at(self, member: Member) -> float:
        """The more fronts accuse it independently, the sooner."""
        least = SUSPICION * self.period * max(1.0, log10(self._count()))
        wanted = min(WITNESSES, self._count() - 3)  # the accuser, the accused and this front left out
        accusers = max(0, len(member.accusers) - 1)
        part = 1.0 if accusers >= wanted else log(accusers + 1) / log(wanted + 1)
        return member.suspected_at + least * (GENEROUS - (GENEROUS - 1) * part)

    # Messages.

    def _heard(self, now: float, heard: Heard, out: Out) -> None:
        if heard.name == self.me.name:
            return  # an address that leads back here
        match heard.message:
            case Ping(number, life, rumours):
                self._take(rumours, heard.name, now, out)
                if life >= 0:  # to who asks for an earlier life: an answer to nothing
                    member = self.members.known.get(heard.name)
                    number = number if life == self.me.life else 0
                    out.posts.append(Post(heard.name, heard.address, Ack(number, self._rumours(member))))
            case Ack(number, rumours):
                self._take(rumours, heard.name, now, out)
                self._acked(number, heard.name, out)
            case Ask(number, target, rumours):
                self._take(rumours, heard.name, now, out)
                self._run_errand(now, heard, number, target, out)
            case Nack(number):
                if self.probe is not None and self.probe.number == number:
                    self.probe.silent.discard(heard.name)
            case Same(digest):
                if digest != self.digest():
                    out.posts.append(Post(heard.name, heard.address, Parts(self._marks())))
            case Parts(marks) if len(marks) == PARTS:
                parts = [at for at, mark in enumerate(self._marks()) if mark != marks[at]]
                if parts:
                    out.posts.append(Post(heard.name, heard.address, Some(self._of(parts), parts)))
            case Some(rumours, wanted):
                self._take(rumours, heard.name, now, out)
                if wanted:
                    out.posts.append(Post(heard.name, heard.address, Some(self._of(wanted))))
            case Everyone(rumours, wanted):
                self._take(rumours, heard.name, now, out)
                self.joined = True
                if wanted:
                    out.posts.append(Post(heard.name, heard.address, Everyone(self._all())))

    def _acked(self, number: int, name: str, out: Out) -> None:
        errand = self.errands.pop(number, None)
        if errand is not None:
            out.posts.append(Post(errand.name, errand.address, Ack(errand.number)))
        probe = self.probe
        if probe is not None and probe.number == number and not probe.answered:
            probe.answered = True
            if name == probe.member.name and not probe.helped:
                self.health.better()

    def _run_errand(self, now: float, heard: Heard, number: int, target: str, out: Out) -> None:
        member = self.members.known.get(target)
        if member is None:
            out.posts.append(Post(heard.name, heard.address, Nack(number)))
            return
        self.number += 1
        self.errands[self.number] = Errand(number, heard.name, heard.address, now + HELPER * self.period)
        out.posts.append(
            Post(
                member.name,
                member.rumour.address,
                Ping(self.number, member.rumour.life, self._rumours(member)),
            )
        )

    def _rumours(self, to: Member | None) -> list[Rumour]:
        """This front's own rumour, then what the other is accused of, then the news sent least often."""
        found = [self.me]
        if to is not None and to.state != State.ALIVE:
            found.append(to.rumour)
        most = ceil(SPREAD * log2(self._count() + 1))
        for name, (rumour, times) in sorted(self.news.items(), key=lambda item: item[1][1]):
            if len(found) >= MOST_RUMOURS:
                break
            if rumour not in found:
                found.append(rumour)
            if times + 1 >= most:
                del self.news[name]
            else:
                self.news[name] = rumour, times + 1
        return found

    def _all(self) -> list[Rumour]:
        return [self.me, *(member.rumour for member in self.members.known.values())]

    def digest(self) -> int:
        """Of all that is believed, this front's own rumour included."""
        return reduce(xor, self._marks())

    def _marks(self) -> list[int]:
        marks = list(self.members.marks)
        marks[part_of(self.me.name)] ^= self.me.mark
        return marks

    def _of(self, parts: list[int]) -> list[Rumour]:
        """Guards against comparisons that cost the more the larger the fleet: while messages get lost some
        news is always under way, and two fronts hardly ever believe all the same."""
        wanted = set(parts)
        return [rumour for rumour in self._all() if part_of(rumour.name) in wanted]

    def _compare(self, out: Out) -> None:
        """Guards against news that reached too few: from time to time two fronts compare what they
        believe."""
        for member in self.chance.some(self.members.there.values(), 1):
            out.posts.append(Post(member.name, member.rumour.address, Same(self.digest())))

    def _reach_out(self, out: Out) -> None:
        """A seed while nobody is known; else one that seems gone, so that two halves of a cut fleet meet
        again, and now and then a seed, which may know fronts that are not known here."""
        known = self.members.known.values()
        gone = [member for member in known if member.state == State.DEAD]
        reached = {member.rumour.address for member in known if member.there} | {self.me.address}
        unknown = [address for address in self.seeds if address not in reached]
        for member in self.chance.some(gone, 1):
            out.posts.append(Post(member.name, member.rumour.address, Everyone(self._all(), wanted=True)))
        for address in unknown if not self.joined else self.chance.some(unknown, 1):
            out.posts.append(Post("", address, Everyone(self._all(), wanted=True)))

    def _leave(self, out: Out) -> None:
        self._say(msgspec.structs.replace(self.me, state=State.LEFT))
        self.gone = True
        for member in self.chance.some(self.members.there.values(), HELPERS):
            out.posts.append(Post(member.name, member.rumour.address, Ping(0, -1, [self.me])))

    # Beliefs.

    def _say(self, me: Rumour) -> None:
        self.me = me
        self.news[me.name] = me, 0

    def _take(self, rumours: list[Rumour], sender: str, now: float, out: Out) -> None:
        for rumour in rumours:
            if not rumour.sound():
                continue
            if rumour.name == self.me.name:
                self._hear_of_me(rumour, out)
            else:
                self._believe(rumour, now, out)

    def _hear_of_me(self, rumour: Rumour, out: Out) -> None:
        """Of two processes with one name the later start goes on.  One that has yet to be told all takes a
        higher life instead: what it hears of is most likely an earlier start of its own."""
        me = self.me
        if self.gone or rumour.life < me.life:
            return
        if rumour.life > me.life and not self.joined:
            self._say(msgspec.structs.replace(me, life=rumour.life + 1, beat=0))
            out.facts.append(Lives(self.me.life))
        elif rumour.life > me.life or rumour.address > me.address:
            self.gone = True
            out.facts.append(Outlived(rumour.life, rumour.address))
        elif rumour.address == me.address and rumour.state != State.ALIVE and rumour.beat >= me.beat:
            self.health.worse()
            self._say(msgspec.structs.replace(me, beat=rumour.beat + 1))

    def _believe(self, rumour: Rumour, now: float, out: Out) -> None:
        old = self.members.known.get(rumour.name)
        if old is not None and rumour.rank == old.rumour.rank and rumour.state == State.SUSPECT:
            self._witness(old, rumour)
            return
        taken = self.members.take(rumour, now)
        if taken is None:
            return
        before, member = taken
        self.news[rumour.name] = rumour, 0
        if rumour.state == State.SUSPECT:
            member.suspected_at, member.accusers = now, {rumour.by}
        if before is None or (before.life, before.state, before.facts, before.address) != (
            rumour.life,
            rumour.state,
            rumour.facts,
            rumour.address,
        ):
            out.facts.append(Changed(before, rumour))

    def _witness(self, member: Member, rumour: Rumour) -> None:
        if rumour.by not in member.accusers and len(member.accusers) <= WITNESSES:
            member.accusers.add(rumour.by)
            self.news[rumour.name] = rumour, 0
