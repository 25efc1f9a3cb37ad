"""What this node announces of itself and believes of others. Times are milliseconds."""

from __future__ import annotations

import msgspec

from . import suspicion
from .dissemination import UpdateQueue
from .health import LocalHealth
from .members import Member, MemberList, MembershipUpdate, MemberState
from .outputs import GenerationRaised, MemberChanged, Output, Superseded


class Membership:
    def __init__(self, me: MembershipUpdate, health: LocalHealth) -> None:
        self.me = me
        self.health = health
        self.members = MemberList()
        self.queue = UpdateQueue()
        self.joined = False  # another node has sent all that it knows
        self.stopped = False  # this node has left, or another process has its name

    def node_count(self) -> int:
        """The nodes that are present, this one included."""
        return 1 + len(self.members.present)

    def all_updates(self) -> list[MembershipUpdate]:
        return [self.me, *(member.update for member in self.members.known.values())]

    def updates_for(self, receiver: Member | None) -> list[MembershipUpdate]:
        """Updates to ride on a message: own, what the receiver must refute, queued ones.

        That a suspect hears of the suspicion with the next message is Lifeguard's buddy system.
        """
        updates = [self.me]
        if receiver is not None and receiver.state != MemberState.ALIVE:
            updates.append(receiver.update)
        self.queue.fill(updates, self.node_count())
        return updates

    def announce(self, me: MembershipUpdate) -> None:
        """Spreads a new state of this node."""
        self.me = me
        self.queue.add(me)

    def announce_metadata(self, metadata: dict[str, str]) -> None:
        if metadata != self.me.metadata:
            incarnation = self.me.incarnation + 1
            self.announce(msgspec.structs.replace(self.me, incarnation=incarnation, metadata=metadata))

    def accuse(self, member: Member, state: MemberState, now: float, output: Output) -> None:
        """Takes a node for suspect or dead, by this node's own observation."""
        update = msgspec.structs.replace(member.update, state=state, accuser=self.me.name)
        self._apply(update, now, output)

    def merge(self, updates: list[MembershipUpdate], now: float, output: Output) -> None:
        """Takes what another node has sent; invalid updates are ignored."""
        for update in updates:
            if not update.is_valid():
                continue
            if update.name == self.me.name:
                self._on_update_about_me(update, output)
            else:
                self._apply(update, now, output)

    def _on_update_about_me(self, update: MembershipUpdate, output: Output) -> None:
        """Refutes a suspicion, and settles which of two processes with one name goes on.

        The one that started later goes on. A process that has not joined yet takes a higher generation
        instead: what it hears of is most likely an earlier start of its own, whose generation was lost with
        its disk.
        """
        me = self.me
        if self.stopped or update.generation < me.generation:
            return
        if update.generation > me.generation and not self.joined:
            generation = update.generation + 1
            self.announce(msgspec.structs.replace(me, generation=generation, incarnation=0))
            output.events.append(GenerationRaised(generation))
        elif update.generation > me.generation or update.address > me.address:
            self.stopped = True
            output.events.append(Superseded(update.generation, update.address))
        elif self._must_refute(update):
            self.health.degrade()
            self.announce(msgspec.structs.replace(me, incarnation=update.incarnation + 1))

    def _must_refute(self, update: MembershipUpdate) -> bool:
        return (
            update.address == self.me.address
            and update.state != MemberState.ALIVE
            and update.incarnation >= self.me.incarnation
        )

    def _apply(self, update: MembershipUpdate, now: float, output: Output) -> None:
        known = self.members.known.get(update.name)
        is_suspicion = update.state == MemberState.SUSPECT
        if known is not None and is_suspicion and update.precedence == known.update.precedence:
            if suspicion.confirm(known, update.accuser):
                self.queue.add(update)
            return
        applied = self.members.apply(update, now)
        if applied is None:
            return
        self.queue.add(update)
        if is_suspicion:
            applied.member.suspected_at, applied.member.accusers = now, {update.accuser}
        if applied.before is None or _differs(applied.before, update):
            output.events.append(MemberChanged(applied.before, update))


def _differs(before: MembershipUpdate, after: MembershipUpdate) -> bool:
    """Whether anything but the incarnation changed."""
    return (before.generation, before.state, before.metadata, before.address) != (
        after.generation,
        after.state,
        after.metadata,
        after.address,
    )
