"""The KDL file of a scenario.

Request classes, rules, limits and transport have the same sections as in a gateway's settings.
"""

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
PARTITION_MODES = ["", "both", "in", "out", "silent", "reset"]
ENDPOINT_LIST_FAULTS = frozenset({"list-stale", "list-lost", "list-gap"})


@dataclass(frozen=True)
class Traffic:
    """The traffic of one request class; ranges are (lowest, highest), times are in milliseconds."""

    request_class: str
    share: float
    new_tokens: tuple[float, float]
    answer_tokens: tuple[float, float]
    turns: tuple[float, float]
    think: tuple[float, float]
    beginnings: int
    beginning_tokens: tuple[float, float]
    beginning_share: float
    inputs: tuple[float, float] = (1.0, 1.0)  # inputs per embeddings request, or documents per rerank request
    callers: int = 1


@dataclass(frozen=True)
class Machine:
    """The slots, queue length and speeds of the engines of one kind."""

    kind: str
    slots: int
    line: int
    read_speed: float
    step: float
    per_stream: float


@dataclass(frozen=True)
class ScenarioEngine:
    """One engine of the scenario."""

    id: str
    kind: str
    zone: str
    cell: int


@dataclass(frozen=True)
class ScenarioFault:
    """One scheduled fault: its time, targets and severity; times are in milliseconds."""

    kind: str
    at: float
    length: float
    part: float  # share of the matching engines or gateways; 0: all
    role: str
    zone: str
    cell: int
    names: tuple[str, ...]
    share: float
    factor: float
    request_class: str
    how: str
    every: float  # the period of an on-off fault, or the interval between targets
    line: int
    region: str = ""
    source: str = ""  # the other side of a network partition: a zone, or "fronts"


@dataclass(frozen=True)
class Scenario:
    """A scripted run: its systems, traffic, faults and settings; times are in milliseconds."""

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
    polls_endpoint_list: bool
    faults: list[ScenarioFault]
    rules: dict[str, float]
    limits: dict[str, Any]
    prices: dict[str, float]
    transport: Transport
    tokenizers: dict[str, str]
    counting: Counting | None
    memory: bool  # gateways keep an endpoint cache on disk
    slack: float
    admission: Admission | None
    regions: dict[str, str]  # by zone; empty if the file names none
    fleet: bool = False  # gateways share a failover plan by consensus
    seats: int = 3
    carries: float = 0.0  # requests per second that a warm zone can serve; 0: unknown to the gateways

    def module_settings(self, number: int, zone: str) -> PolicySettings:
        """The policy settings of the gateway with this number."""
        return shared.policy_settings(
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
            polls_endpoint_list=self.polls_endpoint_list,
        )


def _traffic(root: Section, request_classes: list[shared.RequestClass]) -> list[Traffic]:
    entries = []
    for node in root.all("traffic"):
        traffic = Traffic(
            node.title(),
            node.number("share"),
            node.number_range("new-tokens"),
            node.number_range("answer-tokens", (1.0, 1.0)),
            node.number_range("turns", (1.0, 1.0)),
            node.duration_range("think", (1000.0, 1000.0)),
            node.integer("beginnings", 0),
            node.number_range("beginning-tokens", (0.0, 0.0)),
            node.number("beginning-share", 0.0, max_value=1.0),
            node.number_range("inputs", (1.0, 1.0)),
            node.integer("callers", 1, min_value=1),
        )
        if traffic.request_class not in {request_class.name for request_class in request_classes}:
            node.complain(
                f'traffic "{traffic.request_class}": no such offering; name one of '
                + ", ".join(request_class.name for request_class in request_classes)
            )
        node.end()
        entries.append(traffic)
    if not entries:
        root.complain("no traffic; add a section traffic for each offering that clients ask")
    return entries


def _machines(root: Section, kinds: list[shared.Kind]) -> dict[str, Machine]:
    entries = {}
    for node in root.all("machine"):
        machine = Machine(
            node.title(),
            node.integer("slots", min_value=1),
            node.integer("line"),
            node.number("read-speed", 0.0),
            node.duration_ms("step", 20.0, min_value=0.1),
            node.duration_ms("per-stream", 0.3),
        )
        node.end()
        entries[machine.kind] = machine
    for kind in kinds:
        if kind.name not in entries:
            root.complain(f'no machine "{kind.name}": add a section machine for that kind')
            entries[kind.name] = Machine(kind.name, 1, 1, 1.0, 20.0, 0.3)
    return entries


def _engines(root: Section, zones: list[str], machines: dict[str, Machine]) -> list[ScenarioEngine]:
    entries = []
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
            entries += [
                ScenarioEngine(f"{name}-{kind}-{index + 1}", kind, zone, number) for index in range(count)
            ]
        node.end()
    if not entries:
        root.complain("no engine; add sections cell with engines")
    return entries


def _faults(
    root: Section, scenario_zones: list[str], cells: int, regions: dict[str, str]
) -> list[ScenarioFault]:
    entries = []
    for node in root.all("trouble"):
        kind = node.title()
        region = node.choice("region", ["", *sorted(set(regions.values()))], "")
        source = node.choice("from", ["", "fronts", *scenario_zones], "")
        if kind == "cut-off":
            how = node.choice("how", PARTITION_MODES, "both")
            if not source or not node.optional("zone") and "zone" not in node.props:
                node.complain(
                    'cut-off: name a zone and what it is cut off from, such as zone="north" from="fronts"'
                )
        else:
            how = node.value("how", str, "", "")
        if kind not in FAULT_KINDS:
            node.complain(f'unknown trouble "{kind}"; known: {", ".join(sorted(FAULT_KINDS))}')
        names = tuple(node.texts("names")) if "names" in node.props or node.optional("names") else ()
        entries.append(
            ScenarioFault(
                kind,
                node.duration_ms("at"),
                node.duration_ms("for", 1000.0),
                node.number("part", 0.0, max_value=1.0),
                node.choice("role", ["", *shared.ROLES], ""),
                node.choice("zone", ["", *scenario_zones], ""),
                node.integer("cell", -1, min_value=-1, max_value=cells),
                names,
                node.number("share", 1.0, max_value=1.0),
                node.number("factor", 1.0),
                node.value("offering", str, "", ""),
                how,
                node.duration_ms("every", 1000.0, min_value=1),
                node.line,
                region,
                source,
            )
        )
        node.end()
    return sorted(entries, key=lambda fault: fault.at)


def read_scenario(root: Section) -> Scenario:
    """Reads a scenario; raises SettingsError with all complaints."""
    section = root.required("day")
    name, length, settle = (
        section.title(),
        section.duration_ms("length", min_value=1000),
        section.duration_ms("settle", 15_000.0),
    )
    seed, slack = section.integer("seed", 1), section.duration_ms("slack", 60.0)
    section.end()
    zones = root.texts("zones")
    gateways_section = root.required("fronts")
    regions = shared.regions(root, zones)
    gateway_count, policy = (
        gateways_section.integer("count", min_value=1, max_value=10_000),
        gateways_section.choice("policy", POLICIES, "worksmux"),
    )
    request_classes, kinds = shared.request_classes(root), shared.kinds(root)
    machines = _machines(root, kinds)
    places = _engines(root, zones, machines)
    links_section, cold_section, load_section = (
        root.required("links"),
        root.required("cold"),
        root.required("load"),
    )
    clients_section, registry_section = root.required("clients"), root.required("registry")
    scenario = Scenario(
        name,
        length,
        settle,
        seed,
        zones,
        gateway_count,
        policy,
        request_classes,
        _traffic(root, request_classes),
        kinds,
        machines,
        places,
        links_section.number("near", min_value=1),
        links_section.number("far", min_value=1),
        links_section.number("zone-slower", 2.0),
        links_section.duration_ms("lease", 8_000.0),
        cold_section.number("from", min_value=0.01, max_value=1.0),
        cold_section.duration_ms("warm-up"),
        load_section.number("jobs-per-second", min_value=0.01),
        clients_section.number_range("retries", (0.0, 0.0)),
        clients_section.duration_range("wait", (100.0, 500.0)),
        clients_section.number_range("patience", (1.0, 1.0)),
        clients_section.number("streams", 1.0, max_value=1.0),
        clients_section.duration_ms("notice", 1500.0),
        registry_section.duration_range("late"),
        registry_section.choice("changes", ["pushed", "asked-for"], "pushed") == "asked-for",
        _faults(root, zones, len(places), regions),
        shared.rules(root),
        shared.limits(root),
        shared.prices(root),
        read_transport(root),
        *read_counting(root, request_classes),
        gateways_section.flag("memory", False),
        slack,
        read_admission(root, any(request_class.call != "chat" for request_class in request_classes)),
        regions,
        gateways_section.flag("fleet", False),
        gateways_section.integer("seats", 3, min_value=1, max_value=5),
        gateways_section.number("carries", 0.0),
    )
    for node in (
        gateways_section,
        links_section,
        cold_section,
        load_section,
        clients_section,
        registry_section,
        root,
    ):
        node.end()
    if root.complaints:
        raise SettingsError(root.complaints)
    return scenario


def load_scenario(path: str | Path) -> Scenario:
    """Reads a scenario from a KDL file."""
    return read_scenario(load(path))
