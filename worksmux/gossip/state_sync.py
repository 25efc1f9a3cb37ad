"""Full-state sync: joins by seeds, compares the full state, and reconnects nodes after a partition.

Dissemination alone reaches every node only with high probability. So from time to time two nodes compare
digests and exchange the buckets that differ. Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import reduce
from math import inf
from operator import xor

from ..policy.random_source import RandomSource
from .inputs import MessageReceived
from .members import DIGEST_BUCKETS, MembershipUpdate, MemberState, bucket_of
from .membership import Membership
from .messages import BucketDigests, BucketState, FullState, StateDigest
from .outputs import Output

COMPARE_PERIODS = 10.0  # between two comparisons, each with one other node
RECONNECT_PERIODS = 6.0  # between two attempts to reach nodes that are believed dead
MAX_QUEUED_UPDATES = 40  # a longer queue, as after a restart of the fleet, starts a comparison at once
BACKLOG_COMPARE_PERIODS = 2.0  # between two comparisons because of a long queue


class StateSync:
    """Synchronizes this node's full state with that of other nodes."""

    def __init__(
        self,
        membership: Membership,
        seeds: Iterable[str],
        period_ms: float,
        random: RandomSource,
        now: float,
    ) -> None:
        """Starts the sync. `seeds` are addresses of nodes to join by."""
        self.membership, self.seeds, self.period_ms, self.random = membership, list(seeds), period_ms, random
        self.next_compare_at = now + period_ms * COMPARE_PERIODS * random.share()
        self.next_reconnect_at = now
        self.backlog_compared_at = -inf

    def deadlines(self) -> list[float]:
        """Returns the times of the next comparison and the next attempt to reconnect."""
        return [self.next_compare_at, self.next_reconnect_at]

    def tick(self, now: float, output: Output) -> None:
        """Starts a comparison and an attempt to reconnect when they are due."""
        if self.next_compare_at <= now:
            self._compare(output)
            self.next_compare_at = now + COMPARE_PERIODS * self.period_ms
        if self.next_reconnect_at <= now:
            self.next_reconnect_at = now + RECONNECT_PERIODS * self.period_ms
            self._reconnect(output)

    def compare_on_backlog(self, now: float, output: Output) -> None:
        """Starts a comparison if messages cannot carry the queued updates in reasonable time."""
        was_compared_recently = now <= self.backlog_compared_at + BACKLOG_COMPARE_PERIODS * self.period_ms
        if len(self.membership.queue) > MAX_QUEUED_UPDATES and not was_compared_recently:
            self.backlog_compared_at = now
            self._compare(output)

    def _compare(self, output: Output) -> None:
        for member in self.random.sample(self.membership.members.present.values(), 1):
            output.send_to(member, StateDigest(self.digest()))

    def _reconnect(self, output: Output) -> None:
        """Sends the full state to a node that is believed dead and to seeds.

        After a partition both halves believe each other dead and would never ping each other again. A seed
        may also know nodes that are not known here. Before this node has joined, it sends to all seeds.
        """
        known = self.membership.members.known.values()
        dead = [member for member in known if member.state == MemberState.DEAD]
        reached = {member.address for member in known if member.is_present} | {self.membership.me.address}
        unreached_seeds = [address for address in self.seeds if address not in reached]
        request = FullState(self.membership.all_updates(), reply_wanted=True)
        for member in self.random.sample(dead, 1):
            output.send_to(member, request)
        if self.membership.joined:
            unreached_seeds = self.random.sample(unreached_seeds, 1)
        for address in unreached_seeds:
            output.send("", address, request)

    def digest(self) -> int:
        """Returns a digest of the full state, this node's own update included."""
        return reduce(xor, self._bucket_digests())

    def _bucket_digests(self) -> list[int]:
        digests = list(self.membership.members.bucket_digests)
        me = self.membership.me
        digests[bucket_of(me.name)] ^= me.digest
        return digests

    def _updates_in(self, buckets: list[int]) -> list[MembershipUpdate]:
        wanted = set(buckets)
        return [update for update in self.membership.all_updates() if bucket_of(update.name) in wanted]

    def on_state_digest(self, received: MessageReceived, digest: int, output: Output) -> None:
        """Sends the bucket digests if the sender's full state differs."""
        if digest != self.digest():
            output.send(received.sender, received.address, BucketDigests(self._bucket_digests()))

    def on_bucket_digests(self, received: MessageReceived, digests: list[int], output: Output) -> None:
        """Sends the buckets that differ and requests the sender's.

        While messages get lost, some update is always in transit, and two nodes rarely know the same. A full
        exchange each time would cost more the larger the fleet is.
        """
        if len(digests) != DIGEST_BUCKETS:
            return
        own = self._bucket_digests()
        differing = [bucket for bucket in range(DIGEST_BUCKETS) if own[bucket] != digests[bucket]]
        if differing:
            reply = BucketState(self._updates_in(differing), differing)
            output.send(received.sender, received.address, reply)

    def on_bucket_state(self, received: MessageReceived, state: BucketState, output: Output) -> None:
        """Sends the buckets that the sender requested."""
        if state.wanted_buckets:
            reply = BucketState(self._updates_in(state.wanted_buckets))
            output.send(received.sender, received.address, reply)

    def on_full_state(self, received: MessageReceived, state: FullState, output: Output) -> None:
        """Records that this node has joined, and sends its full state if requested."""
        self.membership.joined = True
        if state.reply_wanted:
            reply = FullState(self.membership.all_updates())
            output.send(received.sender, received.address, reply)
