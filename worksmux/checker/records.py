"""Lays the journals of clients, engines, registry and runner side by side: tries, trips, holdings, what was
told."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..fakes.journal import read

Line = dict[str, Any]
TURNED_AWAY = frozenset({"full", "state_lost", "draining"})


@dataclass(slots=True)
class AttemptRecord:
    """One trip as its engine saw it."""

    engine: str
    role: str
    zone: str
    cell: int
    request: str
    gateway: str
    try_id: str
    request_class: str
    received_at_ms: float
    end: float | None = None
    outcome: str = ""
    made: int = 0
    plan: str = ""  # that its front acted on, where fronts decide in common

    @property
    def may_have_run(self) -> bool:
        return self.role != "read" and self.outcome not in TURNED_AWAY


@dataclass(slots=True)
class TryRecord:
    """One try as its client saw it."""

    id: str
    request: str
    request_class: str
    effect: str
    front: str
    sent: float
    left: float
    first: float | None = None
    answers: list[tuple[float, str]] = field(default_factory=list)
    odd: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Claim:
    """State or a place held for a job at an engine."""

    engine: str
    request: str
    front: str
    resource: str
    since: float
    until: float | None = None
    why: str = ""


@dataclass(slots=True)
class EndpointHistory:
    """What one front was told of one engine, in order."""

    times: list[float] = field(default_factory=list)
    states: list[tuple[str, float]] = field(default_factory=list)

    def at(self, time: float) -> tuple[float, str, float] | None:
        """When, which state and which start were last told by then."""
        at = bisect_right(self.times, time) - 1
        return (self.times[at], *self.states[at]) if at >= 0 else None


@dataclass
class Records:
    tries: dict[str, TryRecord] = field(default_factory=dict)
    requests: list[Line] = field(default_factory=list)  # ends of clients' jobs
    attempts: list[AttemptRecord] = field(default_factory=list)
    claims: list[Claim] = field(default_factory=list)
    reservation_requests: list[tuple[float, str, str, str]] = field(
        default_factory=list
    )  # time, engine, front, job
    endpoint_histories: dict[tuple[str, str], EndpointHistory] = field(
        default_factory=lambda: defaultdict(EndpointHistory)
    )
    token_counts: list[tuple[str, int, int]] = field(
        default_factory=list
    )  # job, tokens by front and by engine
    overload_failures: list[tuple[float, str]] = field(default_factory=list)
    killed_fronts: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    frozen_fronts: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    cuts: dict[tuple[str, str], list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    end: float = 0.0
    journal_lines: list[Line] = field(default_factory=list)

    @property
    def by_try(self) -> dict[str, list[AttemptRecord]]:
        found: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in self.attempts:
            found[attempt.try_id].append(attempt)
        return found

    @property
    def by_request(self) -> dict[str, list[AttemptRecord]]:
        found: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in self.attempts:
            found[attempt.request].append(attempt)
        return found

    def killed_between(self, front: str, start: float, end: float) -> bool:
        """Or frozen: neither can answer or let go."""
        return any(start <= time <= end for time in self.killed_fronts.get(front, ())) or self.frozen_between(
            front, start, end
        )

    def frozen_between(self, front: str, start: float, end: float) -> bool:
        return any(start <= until and since <= end for since, until in self.frozen_fronts.get(front, ()))

    def trace(self, *names: str) -> list[str]:
        """All that was recorded of a job, a try or an engine, in order of time."""
        wanted = {name for name in names if name}
        return [
            f"{line['t']:.1f} {line['who']}: {line['what']} "
            + " ".join(f"{key}={value}" for key, value in line.items() if key not in ("t", "who", "what"))
            for line in self.journal_lines
            if wanted & {str(line.get(key, "")) for key in ("job", "try", "try_id", "who")}
        ]


def load(folder: Path) -> Records:
    """Reads every journal of a run; raises FileNotFoundError where there is none."""
    files = sorted(folder.glob("*.jsonl"))
    if not files:
        raise FileNotFoundError(f"no journal (*.jsonl) in {folder}")
    return gather(line for file in files for line in read(file))


def gather(lines: Iterable[Line]) -> Records:
    found = Records(journal_lines=sorted(lines, key=lambda line: float(line["t"])))
    open_attempts: dict[str, AttemptRecord] = {}
    open_holdings: dict[tuple[str, str, str], Claim] = {}
    engines: dict[str, Line] = {}
    listed: dict[str, dict[str, str]] = defaultdict(dict)
    for line in found.journal_lines:
        found.end = max(found.end, float(line["t"]))
        _engine_line(found, line, engines, open_attempts, open_holdings)
        _client_line(found, line)
        _other_line(found, line, listed, open_holdings)
    return found


def _engine_line(
    found: Records,
    line: Line,
    engines: dict[str, Line],
    open_attempts: dict[str, AttemptRecord],
    holdings: dict[tuple[str, str, str], Claim],
) -> None:
    time, who = float(line["t"]), str(line["who"])
    match line["what"]:
        case "start":
            engines[who] = line
            _close_all(who, time, holdings, open_attempts)
        case "got":
            place = engines[who]
            attempt = AttemptRecord(
                who,
                place["role"],
                place["zone"],
                place["cell"],
                line["job"],
                line["front"],
                line["try"],
                line["offering"],
                time,
                plan=str(line.get("plan", "")),
            )
            open_attempts[line["trip"]] = attempt
            found.attempts.append(attempt)
            _close(holdings, who, line["job"], "place", time, "taken")
        case "end" if line["trip"] in open_attempts:
            attempt = open_attempts.pop(line["trip"])
            attempt.end, attempt.outcome, attempt.made = time, line["how"], int(line.get("made", 0))
        case "held" | "placed":
            what = "state" if line["what"] == "held" else "place"
            holding = Claim(who, line["job"], line["front"], what, time)
            holdings[who, line["job"], what] = holding
            found.claims.append(holding)
        case "pulled" | "freed":
            _close(holdings, who, line["job"], "state", time, line.get("why", "pulled"))
        case "unplaced":
            _close(holdings, who, line["job"], "place", time, line["why"])
        case "release":  # the front has let go, whatever the engine makes of it
            _close(holdings, who, line["job"], "state", time, "release")
            _close(holdings, who, line["job"], "place", time, "release")
        case "place asked":
            found.reservation_requests.append((time, who, line["front"], line["job"]))
        case "counted":
            found.token_counts.append((line["job"], line["by_front"], line["own"]))
        case "fell":
            found.overload_failures.append((time, who))
            _close_all(who, time, holdings, open_attempts)
        case _:
            pass


def _close(
    holdings: dict[tuple[str, str, str], Claim], who: str, request: str, what: str, time: float, why: str
) -> None:
    holding = holdings.pop((who, request, what), None)
    if holding:
        holding.until, holding.why = time, why


def _close_all(
    who: str, time: float, holdings: dict[tuple[str, str, str], Claim], attempts: dict[str, AttemptRecord]
) -> None:
    """The process at `who` is no more: what it held is gone and its trips broke."""
    for key in [key for key in holdings if key[0] == who]:
        _close(holdings, *key, time, "died")
    for name in [name for name, attempt in attempts.items() if attempt.engine == who]:
        attempt = attempts.pop(name)
        attempt.end, attempt.outcome = time, "died"


def _client_line(found: Records, line: Line) -> None:
    time = float(line["t"])
    one = found.tries.get(str(line.get("try_id", "")))
    match line["what"]:
        case "try":
            found.tries[line["try_id"]] = TryRecord(
                line["try_id"],
                line["job"],
                line["offering"],
                line["effect"],
                line["front"],
                time,
                line["left"],
            )
        case "first token" if one:
            one.first = time
        case "answer" if one:
            one.answers.append((time, line["how"]))
        case "after the end" | "wrong text" if one:
            one.odd.append(line["what"])
        case "job ended":
            found.requests.append(line)
        case _:
            pass


def _other_line(
    found: Records,
    line: Line,
    listed: dict[str, dict[str, str]],
    holdings: dict[tuple[str, str, str], Claim],
) -> None:
    time = float(line["t"])
    match line["what"]:
        case "told":
            front, known = line["front"], listed[line["front"]]
            entries = [(name, state, float(started)) for name, state, started in line["engines"]]
            if line["list"] == "full" and entries:  # an empty list names nobody: a front may doubt it
                named = {name for name, _, _ in entries}
                entries += [(name, "gone", 0.0) for name in known if name not in named]
            for name, state, started in entries:
                known[name] = state
                told = found.endpoint_histories[front, name]
                told.times.append(time)
                told.states.append((state, started))
        case "front killed":
            found.killed_fronts[line["front"]].append(time)
        case "front frozen":
            found.frozen_fronts[line["front"]].append((time, float("inf")))
        case "front goes on":
            spans = found.frozen_fronts[line["front"]]
            spans[-1:] = [(since, time) for since, _ in spans[-1:]]
        case "swallows" | "resets":  # by front and engine: when nothing gets through
            source, _, to = line["relay"].partition(">")
            spans = found.cuts[source, to]
            if spans and spans[-1][1] == float("inf"):
                spans[-1] = spans[-1][0], time
            if line.get("ways") or line.get("on"):
                spans.append((time, float("inf")))
        case "engine killed":
            for key in [key for key in holdings if key[0] == line["engine"]]:
                _close(holdings, *key, time, "died")
        case _:
            pass
