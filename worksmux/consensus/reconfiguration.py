"""Who gets a seat: the leader brings the council to its size, in as many zones as there are, one change at a
time.  Pure.

A seat is a front with its disk.  One whose front is gone for good, or is back with another disk, is given
to another; who takes it learns first and votes once it lacks nothing.  Without another to take it it stays:
a smaller council would keep fewer copies.  A council is founded once: by the first of the founders that the
settings name, when all of them are there and none of them knows of any.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from .entries import Seats, front_of


@dataclass(frozen=True)
class Able:
    """A front that could hold a seat: there, with a disk."""

    name: str
    seat: str  # its name and its disk's mark
    zone: str
    council: str = ""  # which council it knows of


def founds(me: str, founders: list[str], there: Mapping[str, Able], knows: str) -> bool:
    """Whether this front founds the council now.  Guards against a second one beside the first: it waits for
    every founder, and for one of them that knows a council it never does.

    >>> able = {name: Able(name, name + "#1", "z") for name in "abc"}
    >>> founds("a", ["a", "b", "c"], able, ""), founds("b", ["a", "b", "c"], able, "")
    (True, False)
    >>> founds("a", ["a", "b"], {"a": able["a"]}, "")
    False
    """
    return (
        bool(founders)
        and founders[0] == me
        and not knows
        and all(name in there for name in founders)
        and not any(one.council for one in there.values())
    )


def next_seats(
    seats: Seats,
    able: Mapping[str, Able],
    wanted: int,
    gone: Callable[[str], bool],
    caught_up: Callable[[str], bool],
) -> Seats | None:
    """The next change, or none.  `gone` says whether a front has been away for so long that its seat is
    given to another; `able` are those that are there."""

    def lost(seat: str) -> bool:
        here = able.get(front_of(seat))
        return here.seat != seat if here else gone(front_of(seat))

    voters, dead = seats.voters, [seat for seat in seats.voters if lost(seat)]
    odd = len(able) - 1 + len(able) % 2  # an even one more would bear no more losses
    count = max(1, min(wanted, max(odd, len(voters))))
    learners = tuple(seat for seat in seats.learners if not lost(seat))
    ready = [seat for seat in learners if caught_up(seat)]
    spare = [seat for seat in voters if seat not in dead]

    def with_voter(seat: str) -> Seats:
        return Seats(voters + (seat,), tuple(one for one in learners if one != seat))

    if dead and len(voters) > 1 and (ready or len(voters) > wanted):
        # The newcomer waits at the door, so that the council is short by one for a moment only.
        return Seats(tuple(seat for seat in voters if seat != dead[0]), learners)
    if len(spare) < count:
        if ready:
            return with_voter(ready[0])
        if not learners:
            chosen = _best(spare, able)
            return Seats(voters, (chosen,)) if chosen else _tidy(seats, learners)
        return _tidy(seats, learners)
    if len(spare) > count:
        return Seats(tuple(seat for seat in voters if seat != _worst(spare, able)), ())
    better = _better(spare, able)
    if better:
        if better in ready:
            return with_voter(better)
        if better not in learners:
            return Seats(voters, (better,))
        return None
    return _tidy(seats, ())


def _tidy(seats: Seats, learners: tuple[str, ...]) -> Seats | None:
    return Seats(seats.voters, learners) if learners != seats.learners else None


def _zones(seats: list[str], able: Mapping[str, Able]) -> Counter[str]:
    return Counter(able[front_of(seat)].zone for seat in seats if front_of(seat) in able)


def _best(seats: list[str], able: Mapping[str, Able]) -> str:
    """The seat to add: in the zone that has the fewest."""
    taken = {front_of(seat) for seat in seats}
    zones = _zones(seats, able)
    free = [one for one in able.values() if one.name not in taken]
    return min(free, key=lambda one: (zones[one.zone], one.name)).seat if free else ""


def _worst(seats: list[str], able: Mapping[str, Able]) -> str:
    """The seat to give up: in the zone that has the most."""
    zones = _zones(seats, able)
    here = [seat for seat in seats if front_of(seat) in able] or seats
    return max(here, key=lambda seat: (zones[able[front_of(seat)].zone] if here is not seats else 0, seat))


def _better(seats: list[str], able: Mapping[str, Able]) -> str:
    """A seat in a zone without any, where another zone has two or more."""
    zones = _zones(seats, able)
    if max(zones.values(), default=0) < 2:
        return ""
    taken = {front_of(seat) for seat in seats}
    free = [one for one in able.values() if one.name not in taken and not zones[one.zone]]
    return min(free, key=lambda one: one.name).seat if free else ""
