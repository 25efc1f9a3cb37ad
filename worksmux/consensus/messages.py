"""What seats tell each other."""

from __future__ import annotations

import msgspec

from .entries import Entry, Seats


class Vote(msgspec.Struct, tag="vote"):
    """Vote for me; as a trial it changes nothing, and asks whether it would be given."""

    term: int
    last_index: int
    last_term: int
    trial: bool
    handed: bool = False  # the leader itself asked for this election


class Voted(msgspec.Struct, tag="voted"):
    term: int
    granted: bool
    trial: bool


class Append(msgspec.Struct, tag="append"):
    """The entries after `index`; without any, a sign of life.  `round` counts what this leader sent."""

    term: int
    index: int
    before: int  # the term of the entry at `index`
    entries: tuple[Entry, ...]
    commit: int
    round: int


class Appended(msgspec.Struct, tag="appended"):
    """`index`: up to where the logs now agree; where they do not, up to where they may."""

    term: int
    agreed: bool
    index: int
    round: int


class Install(msgspec.Struct, tag="install"):
    """A piece of a snapshot, from `offset` on."""

    term: int
    index: int
    before: int
    digest: int
    seats: Seats
    offset: int
    size: int
    data: bytes
    round: int


class Installed(msgspec.Struct, tag="installed"):
    """`offset`: what of that snapshot is here."""

    term: int
    index: int
    offset: int
    round: int


class Hurry(msgspec.Struct, tag="hurry"):
    """Stand for election at once: the leader steps down in order."""

    term: int


Message = Vote | Voted | Append | Appended | Install | Installed | Hurry
