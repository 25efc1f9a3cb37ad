"""The settings of one front: `worksmux serve` and `worksmux check` read them."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from ..api.listing import Line
from ..policy.settings import PolicySettings
from . import shared
from .document import Section, SettingsError, load
from .fleet import FleetSettings, read_fleet

Address = tuple[str, int]
POLICIES = ["worksmux", "random", "round-robin", "least-of-our-own"]


@dataclass(frozen=True)
class Transport:
    """Bounds of the front's own sockets; milliseconds and bytes."""

    connect_time_out: float  # a connection to an engine
    keep_alive: float  # an idle connection, to a client or an engine
    idle_connections: int  # kept open to each engine
    stream_silence: float  # between two pieces of a begun stream
    call_time_out: float  # a probe, a place or a release
    release_tries: int
    answer_margin: float  # taken off the time a client names, for the way back
    body: int  # a client's job
    head: int  # a message's head, from clients and engines
    reply: int  # an engine's answer, and one event of a stream
    open_requests: int  # taken and not yet answered
    drain_time: float  # at a stop: for the jobs still out


@dataclass(frozen=True)
class EndpointListSource:
    """Where the list of engines comes from."""

    address: Address
    polls: bool  # changes come only after they were asked for
    min_pause_ms: float  # before the next attempt to connect
    max_pause_ms: float
    max_line_bytes: int
    max_silence_ms: float  # without any line: the connection is given up


@dataclass(frozen=True)
class Counting:
    """Bounds of counting prompts; bytes, characters, tokens and milliseconds."""

    cache: int
    workers: int
    long_workers: int
    long: int  # bytes from which a prompt is long
    line: int  # bytes that may wait
    piece: int  # characters of a piece, about
    block: int  # tokens
    shared_blocks: int
    shared_sessions: int
    time_limit: float


@dataclass(frozen=True)
class EndpointCacheSettings:
    """What is kept on disk of the list of engines; milliseconds."""

    file: str
    expected_lifetime_ms: float  # before this front has seen any turnover: a line's mean life
    max_probes_per_s: float  # probes a second that all fronts together may send to one engine
    min_write_interval_ms: float  # between two writes
    seeds: list[Line]  # engines to ask where nothing is remembered


@dataclass(frozen=True)
class Admission:
    """Bounds of calls of one stage (embeddings and rerank) and of the front itself; see
    `admission/gate.py`."""

    load_tokens: int  # that one engine is asked at once
    load_inputs: int
    line_tokens: int  # that may wait, for each offering
    line_calls: int
    open_calls: int  # taken and not yet answered
    repeat_ratio: float  # of first attempts
    repeat_burst: float
    stay_away: tuple[float, float]
    loop_lag: float  # milliseconds: what the front's own loop may be late
    sockets: int
    memory: int  # bytes


@dataclass(frozen=True)
class StageSettings:
    """What carries one call of one stage: its offerings, and what its decision module is given."""

    call: str
    request_classes: list[shared.RequestClass]
    policy_settings: PolicySettings


@dataclass(frozen=True)
class GatewaySettings:
    name: str
    listen: Address
    watch: Address  # health and metrics
    tick_ms: float  # the shortest time between two turns
    seed: int | None
    policy: str
    zones: list[str]
    request_classes: list[shared.RequestClass]
    kinds: list[shared.Kind]
    transport: Transport
    source: EndpointListSource
    tokenizers: dict[str, str]  # name: file
    counting: Counting | None
    endpoint_cache: EndpointCacheSettings | None
    log_format: str
    log_level: str
    policy_settings: PolicySettings  # what the decision module is given
    stages: list[StageSettings]
    admission: Admission | None
    regions: dict[str, str]  # by zone; empty where none are told
    fleet: FleetSettings | None  # other fronts, and what is decided in common; none: alone as ever


def read_transport(section: Section) -> Transport:
    node = section.required("transport")
    found = Transport(
        node.duration_ms("connect-time-out", min_value=1),
        node.duration_ms("keep-alive", min_value=1),
        node.integer("idle-connections", 32),
        node.duration_ms("stream-silence", min_value=1),
        node.duration_ms("call-time-out", min_value=1),
        node.integer("release-tries", 3, min_value=1),
        node.duration_ms("answer-margin", 0.0),
        node.size("body"),
        node.size("head"),
        node.size("reply"),
        node.integer("open-jobs", min_value=1),
        node.duration_ms("drain-time"),
    )
    node.end()
    return found


def _source(section: Section) -> EndpointListSource:
    node = section.required("registry")
    found = EndpointListSource(
        node.address("address"),
        node.choice("changes", ["pushed", "asked-for"], "pushed") == "asked-for",
        node.duration_ms("least-pause", min_value=1),
        node.duration_ms("most-pause", min_value=1),
        node.size("longest-line"),
        node.duration_ms("silence", min_value=1),
    )
    if found.max_pause_ms < found.min_pause_ms:
        node.complain("registry: most-pause is shorter than least-pause; swap them")
    node.end()
    return found


def read_counting(
    root: Section, offered: list[shared.RequestClass]
) -> tuple[dict[str, str], Counting | None]:
    """The tokenizers by name, and how prompts are counted; none where no tokenizer is given."""
    files = {}
    for node in root.all("tokenizer"):
        files[node.title()] = node.text("file")
        node.end()
    for one in offered:
        if (one.tokenizer or files and one.call == "chat") and one.tokenizer not in files:
            root.complain(
                f'offering "{one.name}": tokenizer "{one.tokenizer}" is not given; name one of '
                f"{', '.join(files) or 'none, add a section tokenizer'}"
            )
    if not files:
        return {}, None
    node = root.required("counting")
    found = Counting(
        node.size("cache"),
        node.integer("workers", min_value=1, max_value=64),
        node.integer("long-workers", min_value=1, max_value=64),
        node.size("long-from"),
        node.size("line"),
        node.integer("piece", min_value=64),
        node.integer("block", min_value=1),
        node.integer("shared-blocks", min_value=1),
        node.integer("shared-sessions", min_value=2),
        node.duration_ms("time-limit", min_value=1),
    )
    if found.line < found.long:
        node.complain("counting: line is shorter than long-from; no long prompt would ever be counted")
    node.end()
    return files, found


def _endpoint_cache(
    root: Section, kinds: list[shared.Kind], zones: list[str]
) -> EndpointCacheSettings | None:
    node = root.optional("memory")
    if node is None:
        return None
    seeds = []
    for seed in node.all("seed"):
        host, port = seed.address("address")
        seeds.append(
            Line(
                seed.title(),
                host,
                port,
                seed.choice("kind", [kind.name for kind in kinds]),
                "ready",
                seed.choice("zone", zones),
                seed.integer("cell", 0),
            )
        )
        seed.end()
    found = EndpointCacheSettings(
        node.text("file"),
        node.duration_ms("believed-for", min_value=1),
        node.number("probe-rate", min_value=0.001),
        node.duration_ms("write-pause", 500.0),
        seeds,
    )
    node.end()
    return found


def read_admission(root: Section, wanted: bool) -> Admission | None:
    node = root.optional("admission")
    if node is None:
        if wanted:
            root.complain("admission is missing; offerings of embeddings or rerank need that section")
        return None
    found = Admission(
        node.integer("load-tokens", min_value=1),
        node.integer("load-inputs", min_value=1),
        node.integer("line-tokens", min_value=1),
        node.integer("line-calls", min_value=1),
        node.integer("open-calls", min_value=1),
        node.number("repeat-ratio", 0.1, max_value=1.0),
        node.number("repeat-burst", 10.0, min_value=1.0),
        node.duration_range("stay-away", (200.0, 20_000.0)),
        node.duration_ms("loop-lag", 100.0, min_value=1),
        node.integer("sockets", 10_000, min_value=1),
        node.size("memory", 4 * 2**30),
    )
    if found.line_tokens < found.load_tokens:
        node.complain("line-tokens is less than load-tokens; no full load could ever wait")
    node.end()
    return found


def read_gateway_settings(root: Section) -> GatewaySettings:
    """All settings of a front; raises SettingsError with every complaint at once."""
    node = root.required("front")
    name = node.title()
    listen, watch = node.address("listen"), node.address("watch", ("127.0.0.1", 0))
    zone, number, fronts = node.text("zone"), node.integer("number", 0), node.integer("fronts", min_value=1)
    tick_ms = node.duration_ms("turn", min_value=0.1)
    seed = node.integer("seed", -1, min_value=-1, max_value=2**53)
    policy = node.choice("policy", POLICIES, "worksmux")
    node.end()
    zones = root.texts("zones")
    if zone and zone not in zones:
        node.complain(f'zone "{zone}" is not among the zones {", ".join(zones)}')
    if number >= fronts:
        node.complain(f"number counts from 0: it must be below fronts ({fronts})")
    offered, kinds = shared.request_classes(root), shared.kinds(root)
    figures, allowed, priced = shared.rules(root), shared.limits(root), shared.prices(root)
    transport, source = read_transport(root), _source(root)
    tokenizers, counting = read_counting(root, offered)
    endpoint_cache = _endpoint_cache(root, kinds, zones)
    one_stage = [one for one in offered if one.call != "chat"]
    admission = read_admission(root, bool(one_stage))
    regions, fleet = shared.regions(root, zones), read_fleet(root, zones)
    log = root.optional("log") or Section("log", root.line, complaints=root.complaints)
    log_format, level = (
        log.choice("format", ["json", "console"], "json"),
        log.choice("level", ["debug", "info", "warning", "error"], "info"),
    )
    log.end()
    root.end()
    for one in one_stage:
        if not any(kind.call == one.call for kind in kinds):
            root.complain(
                f'offering "{one.name}": no kind of engine carries {one.call}; add one with '
                f'call="{one.call}" role="both"'
            )
    chat = [one for one in offered if one.call == "chat"]
    if chat and not any(kind.call == "chat" for kind in kinds):
        root.complain("no kind of engine carries chat; add one")
    if allowed["may_hold"] and not any(kind.role == "write" for kind in kinds):
        root.complain("limits: hold is on, yet no kind of engine writes only; set hold false")
    if root.complaints:
        raise SettingsError(root.complaints)
    place = {
        "node_index": number,
        "node_count": fronts,
        "zone": zones.index(zone),
        "tick_ms": tick_ms,
        "connect_timeout_ms": transport.connect_time_out,
    }
    policy_settings = shared.policy_settings(
        chat or offered, kinds, figures, allowed, priced, **place, polls_endpoint_list=source.polls
    )
    stages = []
    for call in dict.fromkeys(one.call for one in one_stage):
        own = [one for one in one_stage if one.call == call]
        stages.append(
            StageSettings(
                call,
                own,
                shared.policy_settings(
                    own,
                    kinds,
                    figures,
                    {**allowed, "may_hold": False},
                    priced,
                    **place,
                    polls_endpoint_list=False,
                ),
            )
        )
    return GatewaySettings(
        name,
        listen,
        watch,
        tick_ms,
        None if seed < 0 else seed,
        policy,
        zones,
        chat,
        kinds,
        transport,
        source,
        tokenizers,
        counting,
        endpoint_cache,
        log_format,
        level,
        policy_settings,
        stages,
        admission,
        regions,
        fleet,
    )


def load_gateway_settings(path: str | Path) -> GatewaySettings:
    return read_gateway_settings(load(path))
