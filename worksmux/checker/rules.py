"""The five rules, each checked on its own from the records.

`slack` (milliseconds) allows for the way between two processes and for their own delay in writing a line
down. Each finding names the job, so that all that was recorded of it can be shown.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .records import AttemptRecord, Claim, Records, TryRecord


@dataclass(frozen=True)
class RuleParameters:
    """What the rules' words leave to settings; milliseconds."""

    answer_slack: float
    drain_grace: float
    release_within: float
    fall_time: float
    groups: dict[str, str] = field(default_factory=dict)  # of labelled offerings: all, zone or cell
    remembered: dict[str, float] = field(default_factory=dict)
    slack: float = 60.0


@dataclass
class Verdict:
    """How one rule fared."""

    rule: int
    name: str
    checked: int = 0
    findings: list[tuple[str, tuple[str, ...]]] = field(default_factory=list)  # text; names to trace

    @property
    def kept(self) -> bool:
        return not self.findings

    def find(self, text: str, *names: str) -> None:
        self.findings.append((text, names))


def check(records: Records, parameters: RuleParameters) -> list[Verdict]:
    """All five verdicts, in order."""
    return [
        one_answer(records, parameters),
        no_effect_twice(records, parameters),
        drains_kept(records, parameters),
        no_cold_push(records, parameters),
        nothing_pinned(records, parameters),
    ]


def one_answer(records: Records, parameters: RuleParameters) -> Verdict:
    """Rule 1: one final answer in time, and nothing sent for the job after it."""
    verdict = Verdict(1, "one final answer", len(records.tries))
    attempts = records.by_try
    for one in records.tries.values():
        names = (one.id, *{attempt.request for attempt in attempts.get(one.id, [])})
        limit = one.sent + one.left + parameters.answer_slack + parameters.slack
        end = one.answers[-1][0] if one.answers else records.end
        dead = records.killed_between(one.front, one.sent - parameters.slack, end + parameters.slack)
        for odd in one.odd:
            verdict.find(f"try {one.id}: {odd}", *names)
        if len(one.answers) != 1:
            if not dead:
                verdict.find(f"try {one.id}: {len(one.answers)} answers", *names)
            continue
        time, how = one.answers[0]
        if how == "left" and time < one.sent + one.left - parameters.slack:
            pass  # the client went before the time that it had named
        elif how in ("left", "reset", "cut") and not dead:
            verdict.find(f"try {one.id}: no final answer ({how})", *names)
        elif time > limit and one.first is None:
            late = time - one.sent - one.left
            verdict.find(f"try {one.id}: answered {late:.0f} ms after its client's time", *names)
        for attempt in attempts.get(one.id, []):
            # A front that was frozen reads that its client has left after what came before that.
            if attempt.received_at_ms > time + parameters.slack and not records.frozen_between(
                one.front, one.sent, attempt.received_at_ms
            ):
                verdict.find(
                    f"try {one.id}: sent to {attempt.engine} "
                    f"{attempt.received_at_ms - time:.0f} ms after the end",
                    *names,
                )
    return verdict


def no_effect_twice(records: Records, parameters: RuleParameters) -> Verdict:
    """Rule 2: what may have run is not repeated, or only where its offering allows it."""
    verdict = Verdict(2, "no effect twice")
    made: dict[str, list[AttemptRecord]] = {}
    for try_id, attempts in records.by_try.items():
        one = records.tries.get(try_id)
        if one is None or one.effect == "redoable":
            continue
        verdict.checked += 1
        ran: list[AttemptRecord] = []
        for attempt in attempts:
            if attempt.role == "read":
                continue
            if ran and not _repeat_allowed(one, ran, attempt, parameters):
                verdict.find(
                    f"{one.effect} try {one.id}: sent to {attempt.engine}, but {ran[0].engine} may have "
                    f"run it ({ran[0].outcome or 'no end'})",
                    one.id,
                    attempt.request,
                )
            if attempt.may_have_run:
                ran.append(attempt)
            if attempt.made:
                made.setdefault(one.request, []).append(attempt)
        deferred = any(how == "deferred" for _, how in one.answers)
        if (
            ran
            and deferred
            and (one.effect == "irreversible" or parameters.groups.get(one.request_class) != "all")
        ):
            verdict.find(
                f"{one.effect} try {one.id}: deferred, but {ran[0].engine} may have run it",
                one.id,
                ran[0].request,
            )
    for request, attempts in made.items():
        one = records.tries[attempts[0].try_id]
        if one.effect == "irreversible" and len(attempts) > 1:
            verdict.find(
                f"irreversible job {request}: ran {len(attempts)} times",
                *(attempt.try_id for attempt in attempts),
            )
    return verdict


def _repeat_allowed(
    one: TryRecord, ran: list[AttemptRecord], attempt: AttemptRecord, parameters: RuleParameters
) -> bool:
    if one.effect == "irreversible":
        return False
    group = parameters.groups.get(one.request_class, "all")
    inside = all(
        group == "all" or other.zone == attempt.zone and (group == "zone" or other.cell == attempt.cell)
        for other in ran
    )
    return (
        inside
        and attempt.received_at_ms - ran[0].received_at_ms
        <= parameters.remembered.get(one.request_class, 0.0) + parameters.slack
    )


def drains_kept(records: Records, parameters: RuleParameters) -> Verdict:
    """Rule 3: nothing new, places included, to an engine that the front was told drains or is gone."""
    verdict = Verdict(3, "drains kept")
    sent = [
        (attempt.received_at_ms, attempt.engine, attempt.gateway, attempt.request)
        for attempt in records.attempts
    ]
    for time, engine, front, request in sent + records.reservation_requests:
        told = records.endpoint_histories.get((front, engine))
        last = told.at(time) if told else None
        if last is None:
            continue
        verdict.checked += 1
        when, state, _ = last
        late = time - when - parameters.drain_grace - parameters.slack
        if state != "ready" and late > 0:
            verdict.find(
                f"job {request}: {front} sent to {engine}, told '{state}' {time - when:.0f} ms before",
                request,
            )
    return verdict


def no_cold_push(records: Records, parameters: RuleParameters) -> Verdict:
    """Rule 4: no engine fell over by the work of fronts that were told it had just started."""
    verdict = Verdict(4, "no cold engine pushed over", len({attempt.engine for attempt in records.attempts}))
    for time, engine in records.overload_failures:
        window = [
            attempt
            for attempt in records.attempts
            if attempt.engine == engine and time - parameters.fall_time <= attempt.received_at_ms <= time
        ]
        knew = 0
        for attempt in window:
            told = records.endpoint_histories.get((attempt.gateway, engine))
            last = told.at(attempt.received_at_ms) if told else None
            knew += bool(last and last[2] > 0)
        if window and knew >= 2 / 3 * len(window):
            verdict.find(
                f"engine {engine} fell over: {len(window)} trips in {parameters.fall_time:.0f} ms, "
                f"{knew} of them from fronts that knew of its start",
                engine,
            )
    return verdict


def nothing_pinned(records: Records, parameters: RuleParameters) -> Verdict:
    """Rule 5: with no trip out, held state or place is taken or let go in time."""
    verdict = Verdict(5, "nothing left pinned", len(records.claims))
    attempts = records.by_request
    for claim in records.claims:
        until = claim.until if claim.until is not None else records.end
        if records.killed_between(claim.front, claim.since - parameters.slack, until + parameters.slack):
            continue
        # What lies beyond a cut cannot be let go, and a trip that vanished in one was out all the same: while
        # its front is cut off from any engine a job is not judged, the time begins when that is over.
        out = [(attempt.received_at_ms, attempt.end) for attempt in attempts.get(claim.request, [])]
        out += [span for (front, _), spans in records.cuts.items() if front == claim.front for span in spans]
        gap = _longest_gap(claim, until, out)
        if gap > parameters.release_within + parameters.slack:
            verdict.find(
                f"job {claim.request}: its {claim.resource} lay at {claim.engine} for {gap:.0f} ms, no "
                f"trip out ({claim.why or 'to the end'})",
                claim.request,
            )
    return verdict


def _longest_gap(claim: Claim, until: float, out: list[tuple[float, float | None]]) -> float:
    """The longest time within the claim in which none of the job's trips was out; `out` are their spans."""
    longest, free_since = 0.0, claim.since
    for start, over in sorted(out, key=lambda span: span[0]):
        end = over if over is not None else until
        if end <= claim.since or start >= until:
            continue
        longest = max(longest, start - free_since)
        free_since = max(free_since, end)
    return max(longest, until - free_since)
