"""The five rules, each checked on its own from the records of a run.

`slack` (milliseconds) allows for the way between two processes and for the delay until each writes its
journal line.  Each finding names the request or engine, so that the report can show the journal lines about
it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .records import AttemptRecord, Claim, ClientAttempt, Records


@dataclass(frozen=True)
class RuleParameters:
    """The limits of the rules that the settings decide; times in milliseconds."""

    answer_slack_ms: float
    drain_grace_ms: float
    release_within_ms: float
    overload_window_ms: float
    # Of request classes that are deduplicated: the scope (all, zone or cell), and the window in milliseconds.
    deduplication_scopes: dict[str, str] = field(default_factory=dict)
    deduplication_windows: dict[str, float] = field(default_factory=dict)
    slack: float = 60.0


@dataclass
class Verdict:
    """The result of checking one rule."""

    rule: int
    name: str
    checked: int = 0
    # The text of each finding, and the names of requests, client attempts and engines to trace.
    findings: list[tuple[str, tuple[str, ...]]] = field(default_factory=list)

    @property
    def kept(self) -> bool:
        """Whether the run keeps the rule."""
        return not self.findings

    def add_finding(self, text: str, *names: str) -> None:
        """Adds a violation of the rule; `names` select the journal lines that are shown with it."""
        self.findings.append((text, names))


def check(records: Records, parameters: RuleParameters) -> list[Verdict]:
    """The verdicts on all five rules, in order."""
    return [
        check_final_answers(records, parameters),
        check_duplicate_executions(records, parameters),
        check_drains(records, parameters),
        check_cold_engines(records, parameters),
        check_releases(records, parameters),
    ]


def check_final_answers(records: Records, parameters: RuleParameters) -> Verdict:
    """Rule 1: a client attempt gets one final answer in time, and nothing is sent for it after the answer."""
    verdict = Verdict(1, "one final answer", len(records.client_attempts))
    attempts = records.by_client_attempt
    for client_attempt in records.client_attempts.values():
        names = (client_attempt.id, *{attempt.request for attempt in attempts.get(client_attempt.id, [])})
        deadline_ms = (
            client_attempt.sent_at_ms
            + client_attempt.time_left_ms
            + parameters.answer_slack_ms
            + parameters.slack
        )
        end_ms = client_attempt.answers[-1][0] if client_attempt.answers else records.end_ms
        gateway_failed = records.unavailable_between(
            client_attempt.gateway, client_attempt.sent_at_ms - parameters.slack, end_ms + parameters.slack
        )
        for violation in client_attempt.violations:
            verdict.add_finding(f"client attempt {client_attempt.id}: {violation}", *names)
        if len(client_attempt.answers) != 1:
            if not gateway_failed:
                verdict.add_finding(
                    f"client attempt {client_attempt.id}: {len(client_attempt.answers)} final answers, not 1",
                    *names,
                )
            continue
        time_ms, outcome = client_attempt.answers[0]
        if (
            outcome == "left"
            and time_ms < client_attempt.sent_at_ms + client_attempt.time_left_ms - parameters.slack
        ):
            pass  # the client disconnected before the deadline that it had named
        elif outcome in ("left", "reset", "cut") and not gateway_failed:
            verdict.add_finding(f"client attempt {client_attempt.id}: no final answer ({outcome})", *names)
        elif time_ms > deadline_ms and client_attempt.first_token_at_ms is None:
            late_ms = time_ms - client_attempt.sent_at_ms - client_attempt.time_left_ms
            verdict.add_finding(
                f"client attempt {client_attempt.id}: answered {late_ms:.0f} ms after the client's deadline",
                *names,
            )
        for attempt in attempts.get(client_attempt.id, []):
            # A gateway that was frozen reads the client's disconnection only after the data that came before.
            if attempt.received_at_ms > time_ms + parameters.slack and not records.frozen_between(
                client_attempt.gateway, client_attempt.sent_at_ms, attempt.received_at_ms
            ):
                verdict.add_finding(
                    f"client attempt {client_attempt.id}: an attempt reached engine {attempt.engine} "
                    f"{attempt.received_at_ms - time_ms:.0f} ms after the final answer",
                    *names,
                )
    return verdict


def check_duplicate_executions(records: Records, parameters: RuleParameters) -> Verdict:
    """Rule 2: a request that may have been executed is repeated only where its request class allows it."""
    verdict = Verdict(2, "no effect twice")
    executions: dict[str, list[AttemptRecord]] = {}
    for client_attempt_id, attempts in records.by_client_attempt.items():
        client_attempt = records.client_attempts.get(client_attempt_id)
        if client_attempt is None or client_attempt.effect == "redoable":
            continue
        verdict.checked += 1
        executed: list[AttemptRecord] = []
        for attempt in attempts:
            if attempt.role == "read":
                continue
            if executed and not _repeat_allowed(client_attempt, executed, attempt, parameters):
                verdict.add_finding(
                    f"{client_attempt.effect} client attempt {client_attempt.id}: sent to engine "
                    f"{attempt.engine}, but engine {executed[0].engine} may have executed it "
                    f"({executed[0].outcome or 'no end'})",
                    client_attempt.id,
                    attempt.request,
                )
            if attempt.may_have_run:
                executed.append(attempt)
            if attempt.tokens_generated:
                executions.setdefault(client_attempt.request, []).append(attempt)
        rejected = any(outcome == "deferred" for _, outcome in client_attempt.answers)
        if (
            executed
            and rejected
            and (
                client_attempt.effect == "irreversible"
                or parameters.deduplication_scopes.get(client_attempt.request_class) != "all"
            )
        ):
            verdict.add_finding(
                f"{client_attempt.effect} client attempt {client_attempt.id}: rejected, but engine "
                f"{executed[0].engine} may have executed it",
                client_attempt.id,
                executed[0].request,
            )
    for request, attempts in executions.items():
        client_attempt = records.client_attempts[attempts[0].client_attempt_id]
        if client_attempt.effect == "irreversible" and len(attempts) > 1:
            verdict.add_finding(
                f"irreversible request {request}: executed {len(attempts)} times",
                *(attempt.client_attempt_id for attempt in attempts),
            )
    return verdict


def _repeat_allowed(
    client_attempt: ClientAttempt,
    executed: list[AttemptRecord],
    attempt: AttemptRecord,
    parameters: RuleParameters,
) -> bool:
    """Whether a repeat is deduplicated: it is within the scope and the window of the first execution."""
    if client_attempt.effect == "irreversible":
        return False
    scope = parameters.deduplication_scopes.get(client_attempt.request_class, "all")
    in_scope = all(
        scope == "all" or other.zone == attempt.zone and (scope == "zone" or other.cell == attempt.cell)
        for other in executed
    )
    return (
        in_scope
        and attempt.received_at_ms - executed[0].received_at_ms
        <= parameters.deduplication_windows.get(client_attempt.request_class, 0.0) + parameters.slack
    )


def check_drains(records: Records, parameters: RuleParameters) -> Verdict:
    """Rule 3: a gateway sends no attempt or reservation to an engine listed as draining or gone."""
    verdict = Verdict(3, "drains kept")
    sent = [
        (attempt.received_at_ms, attempt.engine, attempt.gateway, attempt.request)
        for attempt in records.attempts
    ]
    for time_ms, engine, gateway, request in sent + records.reservation_requests:
        history = records.endpoint_histories.get((gateway, engine))
        latest = history.latest(time_ms) if history else None
        if latest is None:
            continue
        verdict.checked += 1
        listed_at_ms, state, _ = latest
        late_ms = time_ms - listed_at_ms - parameters.drain_grace_ms - parameters.slack
        if state != "ready" and late_ms > 0:
            verdict.add_finding(
                f"request {request}: gateway {gateway} sent to engine {engine}, listed as '{state}' "
                f"{time_ms - listed_at_ms:.0f} ms before",
                request,
            )
    return verdict


def check_cold_engines(records: Records, parameters: RuleParameters) -> Verdict:
    """Rule 4: no engine fails of overload by attempts of gateways that knew that it had just started."""
    verdict = Verdict(4, "no cold engine pushed over", len({attempt.engine for attempt in records.attempts}))
    for time_ms, engine in records.overload_failures:
        recent = [
            attempt
            for attempt in records.attempts
            if attempt.engine == engine
            and time_ms - parameters.overload_window_ms <= attempt.received_at_ms <= time_ms
        ]
        informed = 0
        for attempt in recent:
            history = records.endpoint_histories.get((attempt.gateway, engine))
            latest = history.latest(attempt.received_at_ms) if history else None
            informed += bool(latest and latest[2] > 0)
        if recent and informed >= 2 / 3 * len(recent):
            verdict.add_finding(
                f"engine {engine} failed of overload: {len(recent)} attempts in "
                f"{parameters.overload_window_ms:.0f} ms, {informed} of them from gateways that knew of its "
                f"start",
                engine,
            )
    return verdict


def check_releases(records: Records, parameters: RuleParameters) -> Verdict:
    """Rule 5: while no attempt is open, KV cache or a reserved decode slot is used or released in time."""
    verdict = Verdict(5, "nothing left pinned", len(records.claims))
    attempts = records.by_request
    for claim in records.claims:
        until_ms = claim.until_ms if claim.until_ms is not None else records.end_ms
        if records.unavailable_between(
            claim.gateway, claim.since_ms - parameters.slack, until_ms + parameters.slack
        ):
            continue
        # A gateway cannot release a claim across a partition, and an attempt that a partition swallowed was
        # open all the same.  So the time while the gateway is cut off from any engine does not count, and the
        # limit starts anew when the partition ends.
        busy_spans = [
            (attempt.received_at_ms, attempt.ended_at_ms) for attempt in attempts.get(claim.request, [])
        ]
        busy_spans += [
            span
            for (gateway, _), spans in records.link_outages.items()
            if gateway == claim.gateway
            for span in spans
        ]
        gap_ms = _longest_gap_ms(claim, until_ms, busy_spans)
        if gap_ms > parameters.release_within_ms + parameters.slack:
            verdict.add_finding(
                f"request {claim.request}: its {claim.resource} was held at engine {claim.engine} for "
                f"{gap_ms:.0f} ms without an open attempt ({claim.reason or 'to the end'})",
                claim.request,
            )
    return verdict


def _longest_gap_ms(claim: Claim, until_ms: float, busy_spans: list[tuple[float, float | None]]) -> float:
    """The longest time within the claim that none of `busy_spans` covers; a span without an end is open."""
    longest_ms, idle_since_ms = 0.0, claim.since_ms
    for start_ms, ended_at_ms in sorted(busy_spans, key=lambda span: span[0]):
        end_ms = ended_at_ms if ended_at_ms is not None else until_ms
        if end_ms <= claim.since_ms or start_ms >= until_ms:
            continue
        longest_ms = max(longest_ms, start_ms - idle_since_ms)
        idle_since_ms = max(idle_since_ms, end_ms)
    return max(longest_ms, until_ms - idle_since_ms)
