"""This node's own announcements and its view of all other nodes. Times are milliseconds."""

from __future__ import annotations

import msgspec

from . import suspicion
from .dissemination import UpdateQueue
from .health import LocalHealth
from .members import Member, MemberList, MembershipUpdate, MemberState
from .outputs import GenerationRaised, MemberChanged, Output, Superseded


class Membership:
    """Holds this node's own state, the other members, and the queue of updates to send."""

    def __init__(self, me: MembershipUpdate, health: LocalHealth) -> None:
        self.me = me
        self.health = health
        self.members = MemberList()
        self.queue = UpdateQueue()
        self.joined = False  # another node has sent its full state
        self.stopped = False  # this node has left, or another process has its name

    def node_count(self) -> int:
        """Returns the number of nodes that are present, including this one."""
        return 1 + len(self.members.present)

    def all_updates(self) -> list[MembershipUpdate]:
        """Returns the updates of all known nodes, this node's own first."""
        return [self.me, *(member.update for member in self.members.known.values())]

    def updates_for(self, receiver: Member | None) -> list[MembershipUpdate]:
        """Returns the updates that a message to `receiver` carries.

        They are this node's own, the one that the receiver must refute, and queued ones. That a suspect
        learns of the suspicion with the next message is Lifeguard's buddy system.
        """
        updates = [self.me]
        if receiver is not None and receiver.state != MemberState.ALIVE:
            updates.append(receiver.update)
        self.queue.fill(updates, self.node_count())
        return updates

    def announce(self, me: MembershipUpdate) -> None:
        """Sets a new state of this node and queues it for sending."""
        self.me = me
        self.queue.add(me)

    def announce_metadata(self, metadata: dict[str, str]) -> None:
        """Announces changed metadata under a new incarnation."""
        if metadata != self.me.metadata:
            incarnation = self.me.incarnation + 1
            self.announce(msgspec.structs.replace(self.me, incarnation=incarnation, metadata=metadata))

    def accuse(self, member: Member, state: MemberState, now: float, output: Output) -> None:
        """Marks a node as suspect or dead by this node's own observation."""
        update = msgspec.structs.replace(member.update, state=state, accuser=self.me.name)
        self._apply(update, now, output)

    def merge(self, updates: list[MembershipUpdate], now: float, output: Output) -> None:
        """Applies the updates that another node has sent. Invalid ones are ignored."""
        for update in updates:
            if not update.is_valid():
                continue
            if update.name == self.me.name:
                self._on_own_update(update, output)
            else:
                self._apply(update, now, output)

    def _on_own_update(self, update: MembershipUpdate, output: Output) -> None:
        """Refutes a suspicion of this node, and decides which of two processes with its name continues.

        The process that started later continues. A process that has not joined yet takes a higher generation
        instead: the update most likely comes from an earlier start of this node, whose generation was lost
        with its disk.
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
        if applied.before is None or _differs_beyond_incarnation(applied.before, update):
            output.events.append(MemberChanged(applied.before, update))


def _differs_beyond_incarnation(before: MembershipUpdate, after: MembershipUpdate) -> bool:
    """Whether anything but the incarnation changed."""
    return (before.generation, before.state, before.metadata, before.address) != (
        after.generation,
        after.state,
        after.metadata,
        after.address,
    )
