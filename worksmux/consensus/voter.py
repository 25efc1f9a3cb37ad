"""What a seat of the council holds: its term, its log, whom it follows."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ..policy.random_source import RandomSource
from .entries import Base, Entry, Log, Saved, Write
from .steps import Committed, Figures, Leads, Out, Progress, Refused, Role

DRIFT = 0.02  # clocks of two machines run apart by less than that
SPREAD = 1.0  # of the least patience: so much longer at most, by chance, until a seat stands


class Seat:
    def __init__(self, me: str, saved: Saved, figures: Figures, seed: int, now: float) -> None:
        self.me, self.figures, self.chance = me, figures, RandomSource(seed)
        self.term, self.vote = saved.term, saved.vote
        self.log = Log(saved.base, list(saved.entries))
        self.seats_at, self.seats = self.log.seats()
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit = saved.base.index
        self.number = 0  # of writes
        self.appended: list[tuple[int, int]] = []  # number and index of entries not yet on disk
        self.votes: set[str] = set()
        self.trial = False
        self.handed, self.handed_until = False, 0.0
        self.progress: dict[str, Progress] = {}
        self.rounds: dict[int, float] = {}
        self.round = 0
        self.reads: list[tuple[int, int, int]] = []  # token, index, round
        self.began = 0  # index of this leader's first entry
        self.incoming: tuple[int, int, bytearray] | None = None  # a snapshot: index, digest, what has come
        self.heard_at = now  # of a leader; a start counts, for the leases' sake
        self.beat_at = inf
        self.stand_at = self._patience(now)

    @property
    def due(self) -> float:
        if self.role is Role.LEADER:
            return self.beat_at
        return self.stand_at if self._votes_itself() else inf

    @property
    def durable(self) -> int:
        """Up to where the log is on disk."""
        return min([self.log.last.index, *(index - 1 for _, index in self.appended[:1])])

    def _quorum(self, mine: float, theirs: Callable[[Progress], float]) -> float:
        """What a majority has reached, of this seat's own figure and those of the others."""
        have = sorted(
            (mine if seat == self.me else theirs(self.progress[seat]) for seat in self.seats.voters),
            reverse=True,
        )
        return have[self.seats.quorum - 1]

    def quorum_age(self, now: float) -> float:
        """How long ago a majority is known to have followed this leader; endless where it does not lead."""
        return now - self._quorum(now, lambda one: one.heard) if self.role is Role.LEADER else inf

    def leads_surely(self, now: float) -> bool:
        """Whether no other seat can have been elected by now."""
        return not self.handed and self.quorum_age(now) < self.figures.patience * (1 - DRIFT)

    def _patience(self, now: float) -> float:
        return now + self.figures.patience * (1 + SPREAD * self.chance.share())

    def _votes_itself(self) -> bool:
        return self.me in self.seats.voters

    def _write(
        self,
        out: Out,
        hard: bool = False,
        cut: int | None = None,
        entries: tuple[Entry, ...] = (),
        base: Base | None = None,
    ) -> None:
        self.number += 1
        if entries:
            self.appended.append((self.number, entries[0].index))
        out.writes.append(Write(self.number, (self.term, self.vote) if hard else None, cut, entries, base))

    def _follow(self, now: float, term: int, leader: str, out: Out) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
            self._write(out, hard=True)
        if self.role is Role.LEADER:
            self.stand_at = self._patience(now)
            self._drop_reads(out)
        self.role = Role.FOLLOWER
        self.handed = False
        self._lead_by(leader, out)

    def _lead_by(self, leader: str, out: Out) -> None:
        if self.leader != leader:
            self.leader = leader
            out.facts.append(Leads(self.term, leader))

    def _commit(self, index: int, out: Out) -> None:
        index = min(index, self.log.last.index)
        if index > self.commit:
            first = self.commit - self.log.base.index
            told = tuple(self.log.entries[max(0, first) : index - self.log.base.index])
            self.commit = index
            out.facts.append(Committed(told))

    def _drop_reads(self, out: Out) -> None:
        out.facts += [Refused(token, "") for token, _, _ in self.reads]
        self.reads = []
