"""Membership by SWIM, with its suspicion mechanism and Lifeguard's local health.

    output = swim.step(now, swim_input)

The core is free of I/O and clock. Times are milliseconds. `swim.due` is when the next `Tick` is due. Each
period one other node is pinged. If it does not answer, helpers ping it. If they get no answer either, it is
suspected, and declared dead unless it refutes the suspicion. These messages carry membership updates. What a
node sends grows with the logarithm of the number of nodes.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

import msgspec

from ..policy.random_source import RandomSource
from . import suspicion
from .health import LocalHealth
from .inputs import Input, Leave, MessageReceived, MetadataChanged, Tick
from .members import Member, MemberList, MembershipUpdate, MemberState
from .membership import Membership
from .messages import (
    NO_REPLY,
    Ack,
    BucketDigests,
    BucketState,
    FullState,
    Nack,
    Ping,
    PingRequest,
    StateDigest,
)
from .outputs import Output
from .probing import MAX_HELPERS, FailureDetector
from .state_sync import StateSync

LATE_TICK_PERIODS = 0.5  # a tick that late shows that this process itself was stopped or starved


class Swim:
    """One node's membership core."""

    def __init__(
        self, me: MembershipUpdate, seeds: Iterable[str], period_ms: float, seed: int, now: float
    ) -> None:
        """Starts the core. `me` is this node's initial state; `seeds` are addresses of nodes to join by."""
        self.period_ms, self.random = period_ms, RandomSource(seed)
        self.health = LocalHealth()
        self.membership = Membership(me, self.health)
        self.detector = FailureDetector(self.membership, period_ms, self.random, now)
        self.sync = StateSync(self.membership, seeds, period_ms, self.random, now)
        self.due = now

    @property
    def me(self) -> MembershipUpdate:
        """Returns this node's own state."""
        return self.membership.me

    @property
    def members(self) -> MemberList:
        """Returns the other nodes."""
        return self.membership.members

    def step(self, now: float, swim_input: Input) -> Output:
        """Processes one input and returns the messages to send and the events to report."""
        output = Output()
        match swim_input:
            case Tick():
                self._tick(now, output)
            case MessageReceived():
                self._receive(now, swim_input, output)
            case Leave():
                self._leave(output)
            case MetadataChanged(metadata):
                self.membership.announce_metadata(metadata)
        self.due = self._next_deadline()
        return output

    def _next_deadline(self) -> float:
        if self.membership.stopped:
            return inf
        suspects = [self._dead_at(member) for member in self.members.suspects.values()]
        return min(self.detector.deadlines() + self.sync.deadlines() + suspects)

    def _dead_at(self, member: Member) -> float:
        return suspicion.dead_at(member, self.membership.node_count(), self.period_ms)

    def _tick(self, now: float, output: Output) -> None:
        late_ms = now - self.due
        if late_ms > LATE_TICK_PERIODS * self.period_ms:
            self._on_late_tick(late_ms)
        self.detector.expire(now, output)
        for member in list(self.members.suspects.values()):
            if self._dead_at(member) <= now:
                self.membership.accuse(member, MemberState.DEAD, now, output)
        if self.detector.next_probe_at <= now:
            self._start_period(now, output)
        self.sync.tick(now, output)

    def _on_late_tick(self, late_ms: float) -> None:
        """Extends all deadlines by the time that this process missed.

        A process that was stopped or starved finds all its deadlines passed and blames the others, although
        their messages wait unread in its sockets. It shows as nodes declared dead by the one that was frozen.
        """
        self.health.degrade()
        self.detector.extend_deadlines(late_ms)
        for member in self.members.suspects.values():
            member.suspected_at += late_ms

    def _start_period(self, now: float, output: Output) -> None:
        self.detector.end_period(now, output)
        target = self.detector.next_target()
        if target is not None:
            self.sync.compare_on_backlog(now, output)
            self.detector.start_probe(now, target, output)

    def _receive(self, now: float, received: MessageReceived, output: Output) -> None:
        if received.sender == self.me.name:
            return  # the message was sent to an address of this node itself
        message = received.message
        if isinstance(message, Ping | Ack | PingRequest | BucketState | FullState):
            self.membership.merge(message.updates, now, output)
        match message:
            case Ping():
                if message.generation > NO_REPLY:
                    self.detector.on_ping(received, message, output)
            case Ack():
                self.detector.on_ack(received.sender, message.number, output)
            case PingRequest():
                self.detector.on_ping_request(now, received, message, output)
            case Nack():
                self.detector.on_nack(received.sender, message.number)
            case StateDigest():
                self.sync.on_state_digest(received, message.digest, output)
            case BucketDigests():
                self.sync.on_bucket_digests(received, message.digests, output)
            case BucketState():
                self.sync.on_bucket_state(received, message, output)
            case FullState():
                self.sync.on_full_state(received, message, output)

    def _leave(self, output: Output) -> None:
        """Announces that this node leaves, so that it is not declared dead."""
        self.membership.announce(msgspec.structs.replace(self.me, state=MemberState.LEFT))
        self.membership.stopped = True
        for member in self.random.sample(self.members.present.values(), MAX_HELPERS):
            output.send_to(member, Ping(0, NO_REPLY, [self.me]))
