"""One seat of the council: Raft (Ongaro and Ousterhout 2014), with trial votes, a leader that steps down
without a majority, reads by lease or index, snapshots in pieces and changes of one seat at a time (Ongaro
2014).

    out = raft.step(now, what)       # times are milliseconds

Free of I/O and clock.  `out.writes` have to reach the disk, in order; `out.messages` may leave only once
they have, and all writes before them too; then `Written` tells so.  `raft.due` is when the next tick is
wanted.

Leases rest on this: who has heard from a leader gives no vote for the least patience, not after a restart
either; so a leader that a majority answered within it, counted from when it asked, is the only one.  Clocks
may run apart by the part `DRIFT`.
"""

from __future__ import annotations

from .entries import NOOP, Base, Entry, sound
from .leader import Leading
from .messages import Append, Appended, Hurry, Install, Installed, Message, Vote, Voted
from .steps import (
    Change,
    Compact,
    HandOver,
    Heard,
    Odd,
    Out,
    Propose,
    Read,
    Rebased,
    Role,
    Tick,
    What,
    Written,
)


class Raft(Leading):
    def step(self, now: float, what: What) -> Out:
        out = Out()
        match what:
            case Tick():
                self._tick(now, out)
            case Heard(seat, message):
                self._heard(now, seat, message, out)
            case Written(number):
                self.appended = [(other, index) for other, index in self.appended if other > number]
                if self.role is Role.LEADER:
                    self._advance(now, out)
            case Propose(kind, data, token):
                self._propose(now, kind, data, token, out)
            case Change(seats):
                self._change(now, seats, out)
            case Read(token):
                self._read(now, token, out)
            case Compact(index, data):
                self._compact(index, data, out)
            case HandOver():
                self._hand_over(now, out)
        return out

    def _tick(self, now: float, out: Out) -> None:
        if self.role is Role.LEADER:
            self.handed = self.handed and now < self.handed_until
            if self._deserted(now):
                self._follow(now, self.term, "", out)  # it may be cut off
            elif now >= self.beat_at:
                self._beat(now, out)
        elif now >= self.stand_at and self._votes_itself():
            self._stand(now, out, trial=True)

    def _stand(self, now: float, out: Out, trial: bool, handed: bool = False) -> None:
        """A trial first: a seat that was cut off does not disturb the others when it comes back."""
        if not trial:
            self.term, self.vote = self.term + 1, self.me
            self._write(out, hard=True)
        self.role, self.trial, self.votes = Role.CANDIDATE, trial, {self.me}
        self._lead_by("", out)
        self.stand_at = self._patience(now)
        last = self.log.last
        term = self.term + 1 if trial else self.term
        for seat in self.seats.voters:
            if seat != self.me:
                out.messages.append((seat, Vote(term, last.index, last.term, trial, handed)))
        self._count(now, out)

    def _count(self, now: float, out: Out) -> None:
        if len(self.votes & set(self.seats.voters)) < self.seats.quorum:
            return
        if self.trial:
            self._stand(now, out, trial=False)
        else:
            self._lead(now, out)

    def _up_to_date(self, vote: Vote) -> bool:
        last = self.log.last
        return (vote.last_term, vote.last_index) >= (last.term, last.index)

    def _may_vote(self, seat: str) -> bool:
        return self.vote in ("", seat)

    def _asked(self, now: float, seat: str, vote: Vote, out: Out) -> None:
        followed = self.role is Role.LEADER or now < self.heard_at + self.figures.patience
        if followed and not vote.handed:
            # Guards the leader's lease, and its peace.
            if vote.trial and vote.term > self.term:
                out.messages.append((seat, Voted(self.term, False, True)))
            return
        if vote.trial:
            granted = vote.term > self.term and self._up_to_date(vote)
            out.messages.append((seat, Voted(vote.term if granted else self.term, granted, True)))
            return
        if vote.term > self.term:
            self._follow(now, vote.term, "", out)
        granted = vote.term == self.term and self._may_vote(seat) and self._up_to_date(vote)
        if granted and not self.vote:
            self.vote = seat
            self._write(out, hard=True)
        if granted:
            self.stand_at = self._patience(now)
        out.messages.append((seat, Voted(self.term, granted, False)))

    def _voted(self, now: float, seat: str, voted: Voted, out: Out) -> None:
        if self.role is not Role.CANDIDATE or voted.trial != self.trial:
            return
        if voted.granted and voted.term == self.term + self.trial:
            self.votes.add(seat)
            self._count(now, out)

    def _lead(self, now: float, out: Out) -> None:
        self.role = Role.LEADER
        last = self.log.last.index
        self.progress = {}
        self.rounds, self.handed, self.reads = {}, False, []
        self._watch(now)
        self.began = last + 1
        self._lead_by(self.me, out)
        self._add(NOOP, b"", out)
        self._beat(now, out)
        self._advance(now, out)

    def _heard(self, now: float, seat: str, message: Message, out: Out) -> None:
        match message:
            case Vote():
                return self._asked(now, seat, message, out)
            case Voted() if message.trial and message.granted:
                return self._voted(now, seat, message, out)
        if message.term > self.term:
            self._follow(now, message.term, "", out)
        if message.term < self.term:
            if isinstance(message, Append | Install):  # an old leader: our term ends its reign
                out.messages.append((seat, Appended(self.term, False, 0, message.round)))
            return
        match message:
            case Voted():
                self._voted(now, seat, message, out)
            case Append():
                self._append(now, seat, message, out)
            case Install():
                self._install(now, seat, message, out)
            case Appended() if self.role is Role.LEADER:
                self._appended(now, seat, message, out)
                self._told_reads(out)
            case Installed() if self.role is Role.LEADER:
                self._installed(now, seat, message, out)
                self._told_reads(out)
            case Hurry() if self._votes_itself() and seat == self.leader:
                self._stand(now, out, trial=False, handed=True)
            case _:
                pass

    def _led(self, now: float, seat: str, out: Out) -> bool:
        """A leader of this term speaks."""
        if self.role is Role.LEADER:
            out.facts.append(Odd(f"{seat} leads in term {self.term}, and so does {self.me}"))
            return False
        self.role, self.heard_at, self.stand_at = Role.FOLLOWER, now, self._patience(now)
        self._lead_by(seat, out)
        return True

    def _append(self, now: float, seat: str, message: Append, out: Out) -> None:
        if not self._led(now, seat, out):
            return
        log, index = self.log, message.index
        before = log.at(index)
        if index < log.base.index:
            agreed = log.base.index  # all that is agreed here already
        elif before is None or before.term != message.before:
            # Where the logs differ, all of that term is skipped at once.
            hint = min(index, log.last.index + 1) - 1
            term = before.term if before else -1
            while hint > log.base.index and (held := log.at(hint)) is not None and held.term == term:
                hint -= 1
            out.messages.append((seat, Appended(self.term, False, max(hint, log.base.index), message.round)))
            return
        else:
            agreed = index
        agreed = self._take(message.entries, agreed, out)
        self._commit(min(message.commit, agreed), out)
        out.messages.append((seat, Appended(self.term, True, agreed, message.round)))

    def _take(self, entries: tuple[Entry, ...], agreed: int, out: Out) -> int:
        """Adds what is new; up to where the log is the leader's."""
        log = self.log
        for at, entry in enumerate(entries):
            held = log.at(entry.index)
            if entry.index <= log.base.index or held is not None and held.term == entry.term:
                agreed = max(agreed, entry.index)
                continue
            cut = entry.index if held is not None else None
            if cut is not None and cut <= self.commit:
                out.facts.append(Odd(f"what was agreed at {cut} would be overwritten"))
                return agreed
            if cut is not None:
                log.cut(cut)
                self.appended = [pair for pair in self.appended if pair[1] < cut]
            fresh = entries[at:]
            last = log.last
            for one in fresh:
                if not sound(last, one):
                    out.facts.append(Odd(f"entry {one.index} of term {one.term} does not follow"))
                    return agreed
                last = one
            log.entries += fresh
            self._write(out, cut=cut, entries=fresh)
            self.seats_at, self.seats = log.seats()
            return fresh[-1].index
        return agreed

    def _install(self, now: float, seat: str, message: Install, out: Out) -> None:
        if not self._led(now, seat, out):
            return
        if message.index <= self.commit:
            out.messages.append((seat, Installed(self.term, message.index, message.size, message.round)))
            return
        if self.incoming is None or self.incoming[:2] != (message.index, message.digest):
            self.incoming = message.index, message.digest, bytearray()
        come = self.incoming[2]
        if message.offset == len(come):
            come += message.data
        if len(come) >= message.size:
            base = Base(message.index, message.before, message.digest, message.seats, bytes(come))
            self.incoming = None
            self.log.rebase(base)
            kept = bool(self.log.entries)
            self.appended = [pair for pair in self.appended if kept and pair[1] > base.index]
            self._write(out, cut=None if kept else base.index + 1, base=base)
            self.seats_at, self.seats = self.log.seats()
            self.commit = base.index
            out.facts.append(Rebased(base))
        out.messages.append((seat, Installed(self.term, message.index, len(come), message.round)))
