"""A front's account of what it acted on: a new line whenever any version changes, and for each job the number
of the line that held at each of its decisions.  Pure.

Lines and pages of jobs are records of one chain: each carries a digest over itself and the one before, so
that a record that is missing, changed or put back from another time shows, and where.  What is kept is
bounded: the oldest records go, and the first that is left says which digest it follows.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec
import xxhash

PAGE = 512  # jobs in one record, at the most
LEAP = 1000.0  # milliseconds by which the wall clock may leave the steady one, between records


class Version(msgspec.Struct, frozen=True):
    """Of content; `number` is the council's, 0 where it gives none."""

    number: int
    mark: str


class Line(msgspec.Struct, frozen=True, tag="line"):
    number: int
    versions: dict[str, Version]


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """One of a job's decisions: `trip` counts from 0, -1 is its final answer."""

    request: str
    attempt: int
    line: int
    at: float


class Requests(msgspec.Struct, frozen=True, tag="jobs"):
    decisions: tuple[Decision, ...]


class Start(msgspec.Struct, frozen=True, tag="start"):
    """A process of this front began."""

    life: int


class Record(msgspec.Struct, frozen=True):
    """`index` counts all records of a front's disk; `wall` and `steady` are milliseconds."""

    index: int
    before: int
    wall: float
    steady: float
    body: Line | Requests | Start
    digest: int = 0


ENCODE = msgspec.msgpack.Encoder(order="sorted")  # the same bytes for the same record, in every process


def digest_of(record: Record) -> int:
    return xxhash.xxh3_64_intdigest(ENCODE.encode(msgspec.structs.replace(record, digest=0)))


def following(last: Record | None, wall: float, steady: float, body: Line | Requests | Start) -> Record:
    record = Record(last.index + 1 if last else 1, last.digest if last else 0, wall, steady, body)
    return msgspec.structs.replace(record, digest=digest_of(record))


@dataclass(frozen=True)
class Fault:
    """Something that does not fit, and after which record."""

    index: int
    text: str


def faults(records: Iterable[Record]) -> list[Fault]:
    """What is wrong with a chain, in order; none for a whole one, from its first kept record on."""
    found: list[Fault] = []
    last: Record | None = None
    for record in records:
        if digest_of(record) != record.digest:
            found.append(Fault(record.index, "its digest does not fit its content"))
        if last is not None:
            if record.index > last.index + 1:
                found.append(Fault(last.index, f"{record.index - last.index - 1} records are missing"))
            elif record.index <= last.index:
                found.append(Fault(last.index, f"record {record.index} comes again"))
            elif record.before != last.digest:
                found.append(Fault(last.index, "the next record follows another one"))
            began = isinstance(record.body, Start)  # the steady clock of another process begins anew
            drift = (record.wall - last.wall) - (record.steady - last.steady)
            if not began and abs(drift) > LEAP:
                found.append(Fault(last.index, f"the wall clock stepped by {drift:.0f} ms"))
        last = record
    return found


@dataclass
class Account:
    """`last` is the newest record on disk.  What is to be written is given out in order, each once."""

    last: Record | None = None
    line: Line | None = None
    pending: list[Decision] = field(default_factory=list)
    lost: int = 0  # decisions dropped for want of room

    def begins(self, wall: float, steady: float, life: int) -> Record:
        self.line = None
        return self._add(wall, steady, Start(life))

    def acts_on(self, wall: float, steady: float, versions: Mapping[str, Version]) -> Record | None:
        """A new line, where any version differs from the line that holds."""
        if self.line is not None and self.line.versions == dict(versions):
            return None
        line = Line(self.line.number + 1 if self.line else self._next_number(), dict(versions))
        record = self._add(wall, steady, line)
        self.line = line
        return record

    def _next_number(self) -> int:
        """Numbers go on over restarts: no two lines of a disk share one."""
        return self.last.index + 1 if self.last else 1

    def decides(self, request: str, attempt: int, at: float, most: int = 100_000) -> int:
        """A decision under the line that holds; its number.  Beyond `most` that wait to be written they are
        counted as lost, never kept without bound."""
        number = self.line.number if self.line else 0
        if len(self.pending) < most:
            self.pending.append(Decision(request, attempt, number, at))
        else:
            self.lost += 1
        return number

    def pages(self, wall: float, steady: float) -> list[Record]:
        """The decisions that wait, in records."""
        waiting, self.pending = self.pending, []
        return [
            self._add(wall, steady, Requests(tuple(waiting[at : at + PAGE])))
            for at in range(0, len(waiting), PAGE)
        ]

    def still(self, wall: float, steady: float, every: float) -> Record | None:
        """Where nothing was written for so long: an empty page, which says that the front is there and acts
        on what it acted on.  Else a quiet front would look like one that is gone."""
        if self.last is None or steady - self.last.steady < every:
            return None
        return self._add(wall, steady, Requests(()))

    def _add(self, wall: float, steady: float, body: Line | Requests | Start) -> Record:
        self.last = following(self.last, wall, steady, body)
        return self.last
