"""What the council's log adds up to: a book of chapters, each a bounded piece of bytes.  Pure.

A change may name the index of the chapter that it builds on; one that builds on an older one is passed over
by all alike, so that two writers at once cannot undo one another unseen.
"""

from __future__ import annotations

import msgspec
import xxhash

from .entries import CHANGE, Base, Entry

MOST_CHAPTERS = 64
MOST_BYTES = 65_536  # of a chapter
PLAN = "plan"


class Put(msgspec.Struct, frozen=True):
    """`after`: the index of the chapter's last change as the writer knew it; -1: whatever it is."""

    chapter: str
    value: bytes
    after: int = -1


class Chapter(msgspec.Struct, frozen=True):
    index: int  # of the entry that last changed it
    value: bytes


class _Whole(msgspec.Struct):
    index: int
    chapters: dict[str, Chapter]


class Book:
    """
    >>> from .entries import next_entry
    >>> book, put = Book(), msgspec.msgpack.encode(Put("plan", b"one", 0))
    >>> book.apply(next_entry(Base(), 1, CHANGE, put)), book.chapters["plan"].value, book.index
    ('plan', b'one', 1)
    """

    def __init__(self) -> None:
        self.index = 0
        self.chapters: dict[str, Chapter] = {}

    def apply(self, entry: Entry) -> str:
        """The chapter that the entry changed; empty where it changed none."""
        self.index = entry.index
        if entry.kind != CHANGE:
            return ""
        try:
            put = msgspec.msgpack.decode(entry.data, type=Put)
        except msgspec.DecodeError:
            return ""  # from a newer program: all of this form pass it over
        old = self.chapters.get(put.chapter)
        stale = put.after >= 0 and put.after != (old.index if old else 0)
        full = old is None and len(self.chapters) >= MOST_CHAPTERS
        if stale or full or len(put.value) > MOST_BYTES:
            return ""
        self.chapters[put.chapter] = Chapter(entry.index, put.value)
        return put.chapter

    def whole(self) -> bytes:
        return msgspec.msgpack.encode(_Whole(self.index, dict(sorted(self.chapters.items()))))

    def take_whole(self, base: Base) -> None:
        """A snapshot in place of what is here."""
        if base.data:
            told = msgspec.msgpack.decode(base.data, type=_Whole)
            self.index, self.chapters = told.index, told.chapters
        else:
            self.index, self.chapters = base.index, {}

    def since(self, index: int) -> dict[str, Chapter]:
        """The chapters changed after `index`."""
        return {name: one for name, one in self.chapters.items() if one.index > index}

    def mark(self) -> int:
        """Of all chapters: two fronts that hold the same index hold the same mark."""
        return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(dict(sorted(self.chapters.items()))))
