"""The file of a scripted day, in KDL.  Offerings, rules, limits and transport stand as in a front's
settings."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..policy.settings import PolicySettings
from ..settings import shared
from ..settings.document import Section, SettingsError, load
from ..settings.front import (
    POLICIES,
    Admission,
    Counting,
    Transport,
    read_admission,
    read_counting,
    read_transport,
)

FAULT_KINDS = {
    "crash": "processes die and come back cold",
    "vanish": "processes die and stay away",
    "hang": "take jobs and answer none",
    "fast-errors": "quickly fail a share of their jobs",
    "offering-fails": "fail or leave unanswered one offering's jobs",
    "slow": "work slower by a factor",
    "neighbour": "another program takes a share, on and off",
    "drop-streams": "break streams half-way",
    "garbage": "send what makes no sense",
    "refuse-connections": "take no new connection",
    "slow-connections": "new connections take longer",
    "late-reports": "load reports come late",
    "slow-links": "state that leaves its cell moves slower",
    "drain": "are listed as draining, then come back cold",
    "mass-restart": "all at once go down and come back cold",
    "zone-loss": "die together, with their fronts or not",
    "list-stale": "the list runs further behind",
    "list-lost": "the registry goes away",
    "list-gap": "a change of the list gets lost",
    "front-crash": "fronts are killed and come back",
    "front-roll": "fronts are stopped and started, one after the other",
    "freeze": "fronts stand still and go on (SIGSTOP, SIGCONT)",
    "machine-loss": "fronts are killed with their disks and come back empty",
    "disk-full": "fronts' files cannot grow",
    "disk-slow": "fronts' writes wait",
    "clock-step": "fronts' wall clocks are off by `every`",
    "clock-drift": "fronts' clocks run by `factor` times the machine's",
    "cut-off": "a zone is cut off from another, or from all fronts, both ways or one",
    "burst": "more jobs a second",
    "flood": "one offering's jobs come that many times as often",
    "storm": "clients repeat at once, whatever they are told",
    "hot-beginning": "many new sessions share a long text not seen before",
    "heavy-tail": "some prompts are far longer",
    "give-up": "clients come with little time left",
}
CLIENT_FAULTS = frozenset({"burst", "flood", "storm", "hot-beginning", "heavy-tail", "give-up"})
GATEWAY_FAULTS = frozenset(
    {
        "front-crash",
        "front-roll",
        "freeze",
        "machine-loss",
        "disk-full",
        "disk-slow",
        "clock-step",
        "clock-drift",
    }
)
CLOCK_FAULTS = frozenset({"clock-step", "clock-drift"})
CUTS = ["", "both", "in", "out", "silent", "reset"]
ENDPOINT_LIST_FAULTS = frozenset({"list-stale", "list-lost", "list-gap"})


@dataclass(frozen=True)
class Traffic:
    """How clients ask one offering; spans are (lowest, highest)."""

    request_class: str
    share: float
    new_tokens: tuple[float, float]
    answer_tokens: tuple[float, float]
    turns: tuple[float, float]
    think: tuple[float, float]
    beginnings: int
    beginning_tokens: tuple[float, float]
    beginning_share: float
    inputs: tuple[float, float] = (1.0, 1.0)  # of one call of embeddings, or documents of one of rerank
    callers: int = 1


@dataclass(frozen=True)
class Machine:
    """What an engine of a kind can do."""

    kind: str
    slots: int
    line: int
    read_speed: float
    step: float
    per_stream: float


@dataclass(frozen=True)
class ScenarioEngine:
    """One engine of the day."""

    id: str
    kind: str
    zone: str
    cell: int


@dataclass(frozen=True)
class ScenarioFault:
    """One trouble: when, whom it strikes and how hard; times in milliseconds."""

    kind: str
    at: float
    length: float
    part: float  # of the engines or fronts that it may strike
    role: str
    zone: str
    cell: int
    names: tuple[str, ...]
    share: float
    factor: float
    request_class: str
    how: str
    every: float  # on and off, or between two of a row
    line: int
    region: str = ""
    source: str = ""  # of a cut: a zone, or "fronts"


@dataclass(frozen=True)
class Scenario:
    name: str
    length: float
    settle: float
    seed: int
    zones: list[str]
    fronts: int
    policy: str
    request_classes: list[shared.RequestClass]
    traffic: list[Traffic]
    kinds: list[shared.Kind]
    machines: dict[str, Machine]
    engines: list[ScenarioEngine]
    near: float
    far: float
    zone_slower: float
    lease: float
    cold_from: float
    warm_up: float
    rate: float
    retries: tuple[float, float]
    wait: tuple[float, float]
    patience: tuple[float, float]
    streams: float
    notice: float
    list_late: tuple[float, float]
    ask: bool
    faults: list[ScenarioFault]
    rules: dict[str, float]
    limits: dict[str, Any]
    prices: dict[str, float]
    transport: Transport
    tokenizers: dict[str, str]
    counting: Counting | None
    memory: bool  # fronts remember the list on disk
    slack: float
    admission: Admission | None
    regions: dict[str, str]  # by zone; empty where none are told
    fleet: bool = False  # fronts decide in common
    seats: int = 3
    carries: float = 0.0  # jobs a second that a zone carries warm, told to the fronts; 0: not told

    def module_settings(self, number: int, zone: str) -> PolicySettings:
        return shared.module_settings(
            self.request_classes,
            self.kinds,
            self.rules,
            self.limits,
            self.prices,
            node_index=number,
            node_count=self.fronts,
            zone=self.zones.index(zone),
            tick_ms=2.0,
            connect_timeout_ms=self.transport.connect_time_out,
            polls_endpoint_list=self.ask,
        )


def _traffic(root: Section, request_classes: list[shared.RequestClass]) -> list[Traffic]:
    found = []
    for node in root.all("traffic"):
        one = Traffic(
            node.title(),
            node.number("share"),
            node.span("new-tokens"),
            node.span("answer-tokens", (1.0, 1.0)),
            node.span("turns", (1.0, 1.0)),
            node.times("think", (1000.0, 1000.0)),
            node.whole("beginnings", 0),
            node.span("beginning-tokens", (0.0, 0.0)),
            node.number("beginning-share", 0.0, most=1.0),
            node.span("inputs", (1.0, 1.0)),
            node.whole("callers", 1, least=1),
        )
        if one.request_class not in {request_class.name for request_class in request_classes}:
            node.complain(
                f'traffic "{one.request_class}": no such offering; name one of '
                + ", ".join(request_class.name for request_class in request_classes)
            )
        node.end()
        found.append(one)
    if not found:
        root.complain("no traffic; add a section traffic for each offering that clients ask")
    return found


def _machines(root: Section, kinds: list[shared.Kind]) -> dict[str, Machine]:
    found = {}
    for node in root.all("machine"):
        one = Machine(
            node.title(),
            node.whole("slots", least=1),
            node.whole("line"),
            node.number("read-speed", 0.0),
            node.time("step", 20.0, least=0.1),
            node.time("per-stream", 0.3),
        )
        node.end()
        found[one.kind] = one
    for kind in kinds:
        if kind.name not in found:
            root.complain(f'no machine "{kind.name}": add a section machine for that kind')
            found[kind.name] = Machine(kind.name, 1, 1, 1.0, 20.0, 0.3)
    return found


def _places(root: Section, zones: list[str], machines: dict[str, Machine]) -> list[ScenarioEngine]:
    found = []
    for number, node in enumerate(root.all("cell")):
        name, zone = node.title(), node.choice("zone", zones)
        for group in node.all("engines"):
            if (
                len(group.args) != 2
                or group.args[0] not in machines
                or not isinstance(group.args[1], (int, float))
            ):
                group.complain('engines: expected a kind and how many, such as engines "decode" 2')
                continue
            kind, count = str(group.args[0]), int(group.args[1])
            found += [ScenarioEngine(f"{name}-{kind}-{at + 1}", kind, zone, number) for at in range(count)]
        node.end()
    if not found:
        root.complain("no engine; add sections cell with engines")
    return found


def _troubles(
    root: Section, scenario_zones: list[str], cells: int, regions: dict[str, str]
) -> list[ScenarioFault]:
    found = []
    for node in root.all("trouble"):
        kind = node.title()
        region = node.choice("region", ["", *sorted(set(regions.values()))], "")
        source = node.choice("from", ["", "fronts", *scenario_zones], "")
        if kind == "cut-off":
            how = node.choice("how", CUTS, "both")
            if not source or not node.maybe("zone") and "zone" not in node.props:
                node.complain(
                    'cut-off: name a zone and what it is cut off from, such as zone="north" from="fronts"'
                )
        else:
            how = node.value("how", str, "", "")
        if kind not in FAULT_KINDS:
            node.complain(f'unknown trouble "{kind}"; known: {", ".join(sorted(FAULT_KINDS))}')
        names = tuple(node.texts("names")) if "names" in node.props or node.maybe("names") else ()
        found.append(
            ScenarioFault(
                kind,
                node.time("at"),
                node.time("for", 1000.0),
                node.number("part", 0.0, most=1.0),
                node.choice("role", ["", *shared.ROLES], ""),
                node.choice("zone", ["", *scenario_zones], ""),
                node.whole("cell", -1, least=-1, most=cells),
                names,
                node.number("share", 1.0, most=1.0),
                node.number("factor", 1.0),
                node.value("offering", str, "", ""),
                how,
                node.time("every", 1000.0, least=1),
                node.line,
                region,
                source,
            )
        )
        node.end()
    return sorted(found, key=lambda trouble: trouble.at)


def read_scenario(root: Section) -> Scenario:
    """A whole day; raises SettingsError with every complaint at once."""
    day = root.only("day")
    name, length, settle = day.title(), day.time("length", least=1000), day.time("settle", 15_000.0)
    seed, slack = day.whole("seed", 1), day.time("slack", 60.0)
    day.end()
    zones = root.texts("zones")
    fronts = root.only("fronts")
    regions = shared.regions(root, zones)
    count, policy = fronts.whole("count", least=1, most=10_000), fronts.choice("policy", POLICIES, "worksmux")
    request_classes, kinds = shared.request_classes(root), shared.kinds(root)
    machines = _machines(root, kinds)
    places = _places(root, zones, machines)
    links, cold, load_ = root.only("links"), root.only("cold"), root.only("load")
    clients, registry = root.only("clients"), root.only("registry")
    scenario = Scenario(
        name,
        length,
        settle,
        seed,
        zones,
        count,
        policy,
        request_classes,
        _traffic(root, request_classes),
        kinds,
        machines,
        places,
        links.number("near", least=1),
        links.number("far", least=1),
        links.number("zone-slower", 2.0),
        links.time("lease", 8_000.0),
        cold.number("from", least=0.01, most=1.0),
        cold.time("warm-up"),
        load_.number("jobs-per-second", least=0.01),
        clients.span("retries", (0.0, 0.0)),
        clients.times("wait", (100.0, 500.0)),
        clients.span("patience", (1.0, 1.0)),
        clients.number("streams", 1.0, most=1.0),
        clients.time("notice", 1500.0),
        registry.times("late"),
        registry.choice("changes", ["pushed", "asked-for"], "pushed") == "asked-for",
        _troubles(root, zones, len(places), regions),
        shared.rules(root),
        shared.limits(root),
        shared.prices(root),
        read_transport(root),
        *read_counting(root, request_classes),
        fronts.flag("memory", False),
        slack,
        read_admission(root, any(one.call != "chat" for one in request_classes)),
        regions,
        fronts.flag("fleet", False),
        fronts.whole("seats", 3, least=1, most=5),
        fronts.number("carries", 0.0),
    )
    for node in (fronts, links, cold, load_, clients, registry, root):
        node.end()
    if root.complaints:
        raise SettingsError(root.complaints)
    return scenario


def load_scenario(path: str | Path) -> Scenario:
    return read_scenario(load(path))
