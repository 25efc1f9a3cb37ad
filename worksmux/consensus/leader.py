"""What a leader does: its log goes to the others, what a majority has is agreed, reads are answered."""

from __future__ import annotations

from math import inf

import msgspec

from .entries import SEATS, Base, Entry, Seats, next_entry, seats_of
from .messages import Append, Appended, Hurry, Install, Installed
from .steps import Out, Progress, Proposed, Readable, Refused, Role
from .voter import Seat

MOST_BYTES = 48_000  # of entries or of a snapshot in one message
NEAR = 64  # entries: a learner that lacks no more than that is up to date
MOST_OPEN = 1000  # entries that wait to be agreed; more are refused


class Leading(Seat):
    def caught_up(self, seat: str) -> bool:
        """Whether a seat lacks next to nothing."""
        progress = self.progress.get(seat)
        return progress is not None and progress.match >= max(self.began, self.log.last.index - NEAR)

    def _deserted(self, now: float) -> bool:
        """Whether no majority has answered for too long; who was only just watched gets time."""
        heard = self._quorum(now, lambda one: max(one.heard, one.since))
        return now - heard > self.figures.patience

    def _watch(self, now: float) -> None:
        """Keeps account of each other seat there is."""
        others = [seat for seat in self.seats.all if seat != self.me]
        self.progress = {
            seat: self.progress.get(seat) or Progress(0, self.log.last.index + 1, now) for seat in others
        }

    def _hand_over(self, now: float, out: Out) -> None:
        """The best one is told to stand at once; until it does, no more reads by lease."""
        if self.role is not Role.LEADER:
            return
        able = [
            seat
            for seat in self.seats.voters
            if seat != self.me and self.progress[seat].match == self.log.last.index
        ]
        if able:
            self.handed, self.handed_until = True, now + self.figures.patience
            best = max(able, key=lambda seat: self.progress[seat].heard)
            out.messages.append((best, Hurry(self.term)))

    def _add(self, kind: str, data: bytes, out: Out) -> Entry:
        entry = next_entry(self.log.last, self.term, kind, data)
        self.log.entries.append(entry)
        self._write(out, entries=(entry,))
        return entry

    def _propose(self, now: float, kind: str, data: bytes, token: int, out: Out) -> None:
        if self.role is not Role.LEADER or self.handed or self.log.last.index - self.commit > MOST_OPEN:
            out.facts.append(Refused(token, self.leader))
            return
        entry = self._add(kind, data, out)
        out.facts.append(Proposed(token, entry.index, entry.term))
        self._send_all(now, out)
        self._advance(now, out)

    def _change(self, now: float, seats: Seats, out: Out) -> None:
        """One voter at a time, the last change agreed, and something of this term too: else two majorities
        that share no seat could come about (Ongaro's correction of 2015)."""
        voters, fresh = set(self.seats.voters), set(seats.voters)
        odd = (
            self.role is not Role.LEADER
            or self.seats_at > self.commit
            or self.commit < self.began
            or len(voters ^ fresh) > 1
            or not fresh
            or seats == self.seats
        )
        if odd:
            out.facts.append(Refused(0, self.leader))
            return
        entry = self._add(SEATS, msgspec.msgpack.encode(seats), out)
        self.seats_at, self.seats = entry.index, seats
        self._watch(now)
        self._send_all(now, out)
        self._advance(now, out)

    def _beat(self, now: float, out: Out) -> None:
        self.beat_at = now + self.figures.beat
        self.rounds = {
            number: sent for number, sent in self.rounds.items() if sent > now - 2 * self.figures.patience
        }
        self._send_all(now, out)

    def _send_all(self, now: float, out: Out) -> None:
        self.round += 1
        self.rounds[self.round] = now
        for seat in self.progress:
            self._send(now, seat, out)

    def _send(self, now: float, seat: str, out: Out) -> None:
        """What it lacks; while that is not answered, signs of life alone."""
        progress, log = self.progress[seat], self.log
        if progress.next <= log.base.index:
            return self._send_base(now, seat, progress, out)
        progress.offset = -1
        before = log.at(progress.next - 1)
        assert before is not None
        busy = now < progress.sent + 2 * self.figures.beat
        entries = () if busy else log.after(progress.next - 1, MOST_BYTES)
        if entries:
            progress.sent = now
        out.messages.append(
            (seat, Append(self.term, before.index, before.term, entries, self.commit, self.round))
        )

    def _send_base(self, now: float, seat: str, progress: Progress, out: Out) -> None:
        base = self.log.base
        busy = now < progress.sent + 2 * self.figures.beat
        offset = max(0, progress.offset)
        data = b"" if busy else base.data[offset : offset + MOST_BYTES]
        if not busy:
            progress.sent, progress.offset = now, offset
        out.messages.append(
            (
                seat,
                Install(
                    self.term,
                    base.index,
                    base.term,
                    base.digest,
                    base.seats,
                    offset,
                    len(base.data),
                    data,
                    self.round,
                ),
            )
        )

    def _answered(self, now: float, seat: str, number: int) -> Progress | None:
        progress = self.progress.get(seat)
        if progress is not None:
            progress.heard = max(progress.heard, self.rounds.get(number, -inf))
        return progress

    def _appended(self, now: float, seat: str, told: Appended, out: Out) -> None:
        progress = self._answered(now, seat, told.round)
        if progress is None:
            return
        if told.agreed:
            if told.index > progress.match:
                progress.match, progress.next, progress.sent = told.index, told.index + 1, -inf
                self._advance(now, out)
            if progress.next <= self.log.last.index and progress.sent == -inf:
                self._send(now, seat, out)
        elif told.index + 1 < progress.next:
            progress.next = max(progress.match, told.index) + 1
            progress.sent = -inf
            self._send(now, seat, out)

    def _installed(self, now: float, seat: str, told: Installed, out: Out) -> None:
        progress, base = self._answered(now, seat, told.round), self.log.base
        if progress is None or told.index != base.index or progress.next > base.index:
            return
        progress.sent = -inf
        if told.offset >= len(base.data):
            progress.match = max(progress.match, base.index)
            progress.next, progress.offset = progress.match + 1, -1
        else:
            progress.offset = told.offset
        self._send(now, seat, out)

    def _agreed_index(self) -> int:
        """The highest index that a majority has on disk."""
        return int(self._quorum(self.durable, lambda one: one.match))

    def _advance(self, now: float, out: Out) -> None:
        """Only an entry of its own term is agreed by counting (Raft, figure 8)."""
        index = self._agreed_index()
        if index <= self.commit or index < self.began:
            return
        self._commit(index, out)
        if self.seats_at <= self.commit and self.me not in self.seats.voters:
            self._send_all(now, out)  # its last word: who leads from here on knows it is agreed
            self._follow(now, self.term, "", out)
            return
        self._send_all(now, out)

    def _read(self, now: float, token: int, out: Out) -> None:
        if self.role is not Role.LEADER or self.commit < self.began:
            out.facts.append(Refused(token, self.leader))
            return
        if self.leads_surely(now):
            out.facts.append(Readable(token, self.commit))
            return
        self._send_all(now, out)
        self.reads.append((token, self.commit, self.round))

    def _told_reads(self, out: Out) -> None:
        """Those whose round a majority has answered: it led when they were asked."""
        if self.role is not Role.LEADER or not self.reads:
            return
        until = self._quorum(inf, lambda one: one.heard)
        waiting = []
        for token, index, number in self.reads:
            if self.rounds.get(number, inf) <= until:
                out.facts.append(Readable(token, index))
            elif number in self.rounds:
                waiting.append((token, index, number))
            else:
                out.facts.append(Refused(token, ""))
        self.reads = waiting

    def _compact(self, index: int, data: bytes, out: Out) -> None:
        held = self.log.at(index)
        if held is None or index <= self.log.base.index or index > self.commit:
            return
        seats = next(
            (
                seats_of(entry)
                for entry in reversed(self.log.entries[: index - self.log.base.index])
                if entry.kind == SEATS
            ),
            self.log.base.seats,
        )
        base = Base(index, held.term, held.digest, seats, data)
        self.log.rebase(base)
        self._write(out, base=base)
