"""Merges the journals of clients, engines, registry and runner into records of one run.

The records hold client attempts, gateways' attempts at engines, claims on engines and endpoint updates.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..fakes.journal import read

Line = dict[str, Any]
REFUSALS = frozenset({"full", "state_lost", "draining"})


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a gateway, as its engine recorded it."""

    engine: str
    role: str
    zone: str
    cell: int
    request: str
    gateway: str
    client_attempt_id: str
    request_class: str
    received_at_ms: float
    ended_at_ms: float | None = None
    outcome: str = ""
    tokens_generated: int = 0
    plan: str = ""  # the failover plan that its gateway acted on; empty without a fleet

    @property
    def may_have_run(self) -> bool:
        """Whether the engine may have executed the request, so that a repeat may be a second execution."""
        return self.role != "read" and self.outcome not in REFUSALS


@dataclass(slots=True)
class ClientAttempt:
    """One attempt of a client, as the client recorded it."""

    id: str
    request: str
    request_class: str
    effect: str
    gateway: str
    sent_at_ms: float
    time_left_ms: float
    first_token_at_ms: float | None = None
    answers: list[tuple[float, str]] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Claim:
    """KV cache or a decode slot that an engine holds for a request."""

    engine: str
    request: str
    gateway: str
    resource: str
    since_ms: float
    until_ms: float | None = None
    reason: str = ""


@dataclass(slots=True)
class EndpointHistory:
    """The states of one engine that the registry sent to one gateway, in order."""

    times: list[float] = field(default_factory=list)
    states: list[tuple[str, float]] = field(default_factory=list)

    def latest(self, time_ms: float) -> tuple[float, str, float] | None:
        """The last update up to `time_ms`: when it was sent, the state, and the engine's start."""
        index = bisect_right(self.times, time_ms) - 1
        return (self.times[index], *self.states[index]) if index >= 0 else None


@dataclass
class Records:
    """All records of one run."""

    client_attempts: dict[str, ClientAttempt] = field(default_factory=dict)
    requests: list[Line] = field(default_factory=list)  # the clients' lines "job ended"
    attempts: list[AttemptRecord] = field(default_factory=list)
    claims: list[Claim] = field(default_factory=list)
    # Time, engine, gateway and request of each reservation of a decode slot.
    reservation_requests: list[tuple[float, str, str, str]] = field(default_factory=list)
    endpoint_histories: dict[tuple[str, str], EndpointHistory] = field(
        default_factory=lambda: defaultdict(EndpointHistory)
    )
    # The request, and its tokens as the gateway and as the engine counted them.
    token_counts: list[tuple[str, int, int]] = field(default_factory=list)
    overload_failures: list[tuple[float, str]] = field(default_factory=list)
    gateway_kills: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    gateway_freezes: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    # By gateway and engine: the spans in which nothing gets through between them.
    link_outages: dict[tuple[str, str], list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    end_ms: float = 0.0
    journal_lines: list[Line] = field(default_factory=list)

    @property
    def by_client_attempt(self) -> dict[str, list[AttemptRecord]]:
        """The attempts, grouped by the client attempt that they serve."""
        groups: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in self.attempts:
            groups[attempt.client_attempt_id].append(attempt)
        return groups

    @property
    def by_request(self) -> dict[str, list[AttemptRecord]]:
        """The attempts, grouped by request."""
        groups: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in self.attempts:
            groups[attempt.request].append(attempt)
        return groups

    def unavailable_between(self, gateway: str, start_ms: float, end_ms: float) -> bool:
        """Whether the gateway was killed or frozen in the span: it can neither answer nor release claims."""
        return any(
            start_ms <= time_ms <= end_ms for time_ms in self.gateway_kills.get(gateway, ())
        ) or self.frozen_between(gateway, start_ms, end_ms)

    def frozen_between(self, gateway: str, start_ms: float, end_ms: float) -> bool:
        """Whether the gateway was frozen for a part of the span."""
        return any(
            start_ms <= until_ms and since_ms <= end_ms
            for since_ms, until_ms in self.gateway_freezes.get(gateway, ())
        )

    def trace(self, *names: str) -> list[str]:
        """The journal lines about these requests, client attempts or engines, in order of time."""
        wanted = {name for name in names if name}
        return [
            f"{line['t']:.1f} {line['who']}: {line['what']} "
            + " ".join(f"{key}={value}" for key, value in line.items() if key not in ("t", "who", "what"))
            for line in self.journal_lines
            if wanted & {str(line.get(key, "")) for key in ("job", "try", "try_id", "who")}
        ]


def load(folder: Path) -> Records:
    """Reads every journal of a run; raises FileNotFoundError if the folder has none."""
    files = sorted(folder.glob("*.jsonl"))
    if not files:
        raise FileNotFoundError(f"no journal (*.jsonl) in {folder}")
    return gather(line for file in files for line in read(file))


def gather(lines: Iterable[Line]) -> Records:
    """Builds the records of a run from the lines of its journals, in any order."""
    records = Records(journal_lines=sorted(lines, key=lambda line: float(line["t"])))
    open_attempts: dict[str, AttemptRecord] = {}
    open_claims: dict[tuple[str, str, str], Claim] = {}
    engines: dict[str, Line] = {}
    listed_states: dict[str, dict[str, str]] = defaultdict(dict)
    for line in records.journal_lines:
        records.end_ms = max(records.end_ms, float(line["t"]))
        _add_engine_line(records, line, engines, open_attempts, open_claims)
        _add_client_line(records, line)
        _add_other_line(records, line, listed_states, open_claims)
    return records


def _add_engine_line(
    records: Records,
    line: Line,
    engines: dict[str, Line],
    open_attempts: dict[str, AttemptRecord],
    open_claims: dict[tuple[str, str, str], Claim],
) -> None:
    """Adds a line of an engine's journal; a line of another source changes nothing."""
    time_ms, engine = float(line["t"]), str(line["who"])
    match line["what"]:
        case "start":
            engines[engine] = line
            _end_all(engine, time_ms, open_claims, open_attempts)
        case "got":
            start_line = engines[engine]
            attempt = AttemptRecord(
                engine,
                start_line["role"],
                start_line["zone"],
                start_line["cell"],
                line["job"],
                line["front"],
                line["try"],
                line["offering"],
                time_ms,
                plan=str(line.get("plan", "")),
            )
            open_attempts[line["trip"]] = attempt
            records.attempts.append(attempt)
            _end_claim(open_claims, engine, line["job"], "place", time_ms, "taken")
        case "end" if line["trip"] in open_attempts:
            attempt = open_attempts.pop(line["trip"])
            attempt.ended_at_ms, attempt.outcome, attempt.tokens_generated = (
                time_ms,
                line["how"],
                int(line.get("made", 0)),
            )
        case "held" | "placed":
            resource = "state" if line["what"] == "held" else "place"
            claim = Claim(engine, line["job"], line["front"], resource, time_ms)
            open_claims[engine, line["job"], resource] = claim
            records.claims.append(claim)
        case "pulled" | "freed":
            _end_claim(open_claims, engine, line["job"], "state", time_ms, line.get("why", "pulled"))
        case "unplaced":
            _end_claim(open_claims, engine, line["job"], "place", time_ms, line["why"])
        case "release":  # ends the gateway's claim, whether or not the engine frees anything
            _end_claim(open_claims, engine, line["job"], "state", time_ms, "release")
            _end_claim(open_claims, engine, line["job"], "place", time_ms, "release")
        case "place asked":
            records.reservation_requests.append((time_ms, engine, line["front"], line["job"]))
        case "counted":
            records.token_counts.append((line["job"], line["by_front"], line["own"]))
        case "fell":
            records.overload_failures.append((time_ms, engine))
            _end_all(engine, time_ms, open_claims, open_attempts)
        case _:
            pass


def _end_claim(
    open_claims: dict[tuple[str, str, str], Claim],
    engine: str,
    request: str,
    resource: str,
    time_ms: float,
    reason: str,
) -> None:
    """Ends an open claim; does nothing if there is none."""
    claim = open_claims.pop((engine, request, resource), None)
    if claim:
        claim.until_ms, claim.reason = time_ms, reason


def _end_all(
    engine: str,
    time_ms: float,
    open_claims: dict[tuple[str, str, str], Claim],
    open_attempts: dict[str, AttemptRecord],
) -> None:
    """Ends all claims and attempts of an engine whose process has ended."""
    for key in [key for key in open_claims if key[0] == engine]:
        _end_claim(open_claims, *key, time_ms, "died")
    for name in [name for name, attempt in open_attempts.items() if attempt.engine == engine]:
        attempt = open_attempts.pop(name)
        attempt.ended_at_ms, attempt.outcome = time_ms, "died"


def _add_client_line(records: Records, line: Line) -> None:
    """Adds a line of the clients' journal; a line of another source changes nothing."""
    time_ms = float(line["t"])
    client_attempt = records.client_attempts.get(str(line.get("try_id", "")))
    match line["what"]:
        case "try":
            records.client_attempts[line["try_id"]] = ClientAttempt(
                line["try_id"],
                line["job"],
                line["offering"],
                line["effect"],
                line["front"],
                time_ms,
                line["left"],
            )
        case "first token" if client_attempt:
            client_attempt.first_token_at_ms = time_ms
        case "answer" if client_attempt:
            client_attempt.answers.append((time_ms, line["how"]))
        case "after the end" | "wrong text" if client_attempt:
            client_attempt.violations.append(line["what"])
        case "job ended":
            records.requests.append(line)
        case _:
            pass


def _add_other_line(
    records: Records,
    line: Line,
    listed_states: dict[str, dict[str, str]],
    open_claims: dict[tuple[str, str, str], Claim],
) -> None:
    """Adds a line of the registry's or the runner's journal; a line of another source changes nothing."""
    time_ms = float(line["t"])
    match line["what"]:
        case "told":
            gateway, known_states = line["front"], listed_states[line["front"]]
            entries = [(name, state, float(started)) for name, state, started in line["engines"]]
            if line["list"] == "full" and entries:  # a gateway may ignore an empty list, so it removes nobody
                listed = {name for name, _, _ in entries}
                entries += [(name, "gone", 0.0) for name in known_states if name not in listed]
            for name, state, started in entries:
                known_states[name] = state
                history = records.endpoint_histories[gateway, name]
                history.times.append(time_ms)
                history.states.append((state, started))
        case "front killed":
            records.gateway_kills[line["front"]].append(time_ms)
        case "front frozen":
            records.gateway_freezes[line["front"]].append((time_ms, float("inf")))
        case "front goes on":
            spans = records.gateway_freezes[line["front"]]
            spans[-1:] = [(since_ms, time_ms) for since_ms, _ in spans[-1:]]
        case "swallows" | "resets":
            source, _, target = line["relay"].partition(">")
            spans = records.link_outages[source, target]
            if spans and spans[-1][1] == float("inf"):
                spans[-1] = spans[-1][0], time_ms
            if line.get("ways") or line.get("on"):
                spans.append((time_ms, float("inf")))
        case "engine killed":
            for key in [key for key in open_claims if key[0] == line["engine"]]:
                _end_claim(open_claims, *key, time_ms, "died")
        case _:
            pass
