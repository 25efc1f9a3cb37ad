"""The failure detector: one node is pinged each period, directly and then through helpers (SWIM §3.1).

Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..policy.random_source import RandomSource
from .inputs import MessageReceived
from .members import Member, MemberState
from .membership import Membership
from .messages import Ack, Nack, Ping, PingRequest
from .outputs import Output

ACK_TIMEOUT_PERIODS = 0.5  # wait for an Ack, after which helpers are asked
MAX_HELPERS = 3  # nodes asked to ping a node that did not answer
NACK_TIMEOUT_PERIODS = 0.3  # after which a helper reports by a Nack that the target is silent
STALE_NUMBER = 0  # number of an Ack that answers no probe


@dataclass(slots=True)
class Probe:
    """The probe of one member in the current period."""

    number: int
    member: Member
    sent_at: float
    helpers_asked: bool = False
    answered: bool = False
    helper_count: int = 0
    silent_helpers: set[str] = field(default_factory=set)


@dataclass(slots=True)
class RelayedPing:
    """A ping that this node sent as a helper for another node, `requester`."""

    requester_number: int
    requester: str
    address: str
    nack_at: float


class FailureDetector:
    """Probes one member per period, and pings other members on request."""

    def __init__(self, membership: Membership, period_ms: float, random: RandomSource, now: float) -> None:
        self.membership, self.period_ms, self.random = membership, period_ms, random
        self.last_number = 0
        self.probe: Probe | None = None
        self.probe_order: list[str] = []
        self.relayed: dict[int, RelayedPing] = {}
        self.next_probe_at = now + period_ms * random.share()

    def deadlines(self) -> list[float]:
        """Returns the times at which the detector has work to do."""
        deadlines = [self.next_probe_at]
        if self.probe is not None and not self.probe.answered and not self.probe.helpers_asked:
            deadlines.append(self.probe.sent_at + self._ack_timeout_ms())
        return deadlines + [ping.nack_at for ping in self.relayed.values()]

    def _ack_timeout_ms(self) -> float:
        return ACK_TIMEOUT_PERIODS * self.period_ms * self.membership.health.timeout_multiplier

    def extend_deadlines(self, by_ms: float) -> None:
        """Moves all deadlines by the time that this process missed."""
        self.next_probe_at += by_ms
        if self.probe is not None:
            self.probe.sent_at += by_ms
        for ping in self.relayed.values():
            ping.nack_at += by_ms

    def expire(self, now: float, output: Output) -> None:
        """Sends a Nack for each silent target, and asks helpers about a node that missed its deadline."""
        for number, ping in list(self.relayed.items()):
            if ping.nack_at <= now:
                del self.relayed[number]
                output.send(ping.requester, ping.address, Nack(ping.requester_number))
        probe = self.probe
        if probe is None or probe.answered or probe.helpers_asked:
            return
        if probe.sent_at + self._ack_timeout_ms() <= now:
            self._ask_helpers(probe, output)

    def _ask_helpers(self, probe: Probe, output: Output) -> None:
        probe.helpers_asked = True
        available = [
            member
            for member in self.membership.members.present.values()
            if member.state == MemberState.ALIVE and member is not probe.member
        ]
        for helper in self.random.sample(available, MAX_HELPERS):
            probe.helper_count += 1
            probe.silent_helpers.add(helper.name)
            updates = self.membership.updates_for(helper)
            output.send_to(helper, PingRequest(probe.number, probe.member.name, updates))

    def end_period(self, now: float, output: Output) -> None:
        """Suspects the node whose probe was not answered, and schedules the next period.

        A node whose own network is broken would suspect all others. Helpers that do not even send a Nack are
        a sign of that, so each of them lowers this node's own health (Lifeguard, LHA-Probe).
        """
        probe, self.probe = self.probe, None
        if probe is not None and not probe.answered:
            self.membership.health.degrade(len(probe.silent_helpers) if probe.helper_count else 1)
            member = probe.member
            if self.membership.members.known.get(member.name) is member and member.is_present:
                self.membership.accuse(member, MemberState.SUSPECT, now, output)
        self.next_probe_at = now + self.period_ms * self.membership.health.timeout_multiplier

    def next_target(self) -> Member | None:
        """Returns the next member to probe; None if no other node is present.

        Members are probed round-robin, in a new random order each round, which bounds the time to detection
        (SWIM §4.3).
        """
        members = self.membership.members
        for refilled in (False, True):
            while self.probe_order:
                member = members.known.get(self.probe_order.pop())
                if member is not None and member.is_present:
                    return member
            if not refilled:
                names = [member.name for member in members.present.values()]
                self.probe_order = self.random.sample(names, len(names))
        return None

    def start_probe(self, now: float, target: Member, output: Output) -> None:
        """Pings a member and begins its probe."""
        self.probe = Probe(self._ping(target, output), target, now)

    def _ping(self, target: Member, output: Output) -> int:
        self.last_number += 1
        updates = self.membership.updates_for(target)
        output.send_to(target, Ping(self.last_number, target.update.generation, updates))
        return self.last_number

    def on_ping(self, received: MessageReceived, ping: Ping, output: Output) -> None:
        """Acknowledges a ping.

        The Ack answers no probe if the ping was meant for another generation of this node.
        """
        sender = self.membership.members.known.get(received.sender)
        is_current_generation = ping.generation == self.membership.me.generation
        number = ping.number if is_current_generation else STALE_NUMBER
        updates = self.membership.updates_for(sender)
        output.send(received.sender, received.address, Ack(number, updates))

    def on_ack(self, sender: str, number: int, output: Output) -> None:
        """Completes the probe, or relays the Ack to the node that requested the ping."""
        relayed = self.relayed.pop(number, None)
        if relayed is not None:
            output.send(relayed.requester, relayed.address, Ack(relayed.requester_number))
        probe = self.probe
        if probe is not None and probe.number == number and not probe.answered:
            probe.answered = True
            if sender == probe.member.name and not probe.helpers_asked:
                self.membership.health.improve()

    def on_ping_request(
        self, now: float, received: MessageReceived, request: PingRequest, output: Output
    ) -> None:
        """Pings the target for another node; sends a Nack at once if the target is not known."""
        target = self.membership.members.known.get(request.target)
        if target is None:
            output.send(received.sender, received.address, Nack(request.number))
            return
        nack_at = now + NACK_TIMEOUT_PERIODS * self.period_ms
        number = self._ping(target, output)
        self.relayed[number] = RelayedPing(request.number, received.sender, received.address, nack_at)

    def on_nack(self, sender: str, number: int) -> None:
        """Records that a helper is alive, although the target did not answer it."""
        if self.probe is not None and self.probe.number == number:
            self.probe.silent_helpers.discard(sender)
