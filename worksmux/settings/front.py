"""The settings of one gateway, which `worksmux serve` and `worksmux check` read."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from ..api.listing import Line
from ..policy.settings import PolicySettings
from . import shared
from .document import Section, SettingsError, load
from .fleet import FleetSettings, read_fleet

Address = tuple[str, int]
POLICIES = ["worksmux", "random", "round-robin", "least-of-our-own"]

DEFAULT_BUFFERED_BYTES = 2**28


@dataclass(frozen=True)
class Transport:
    """Limits of the gateway's connections; durations in milliseconds, sizes in bytes."""

    connect_time_out: float  # a connection to an engine
    keep_alive: float  # an idle connection, to a client or an engine
    idle_connections: int  # kept open to each engine
    stream_silence: float  # longest pause between two pieces of a stream that has begun
    call_time_out: float  # of a health check, a reservation of a decode slot, or a release
    release_tries: int
    answer_margin: float  # subtracted from the client's time limit, for the way of the answer
    body: int  # of a client's request
    head: int  # of the head of a message, from clients and engines
    reply: int  # of an engine's answer, and of one event of a stream
    open_requests: int  # accepted and not yet answered
    drain_time: float  # at a stop, for the requests still open
    # Of requests without an answer, all clients together, and of incomplete replies, all engines together.
    # It depends on the machine's memory, so it is no part of the digest that is compared between gateways.
    buffered: int = field(default=DEFAULT_BUFFERED_BYTES, repr=False)


@dataclass(frozen=True)
class EndpointListSource:
    """The registry that the endpoint list comes from, and the limits of its connection."""

    address: Address
    polls: bool  # the registry sends changes only on request
    min_pause_ms: float  # before the next attempt to connect; doubled after each failure
    max_pause_ms: float
    max_line_bytes: int
    max_silence_ms: float  # without any line; then the connection is closed


@dataclass(frozen=True)
class Counting:
    """Limits of counting the tokens of prompts."""

    cache: int  # bytes of the cached token ids
    workers: int
    long_workers: int
    long: int  # bytes; a longer prompt goes to the workers for long prompts
    line: int  # bytes that may wait to be counted
    piece: int  # approximate characters of a piece
    block: int  # tokens of a prefix block
    shared_blocks: int  # prefix blocks to remember
    shared_sessions: int  # different sessions after which a block is shared
    time_limit: float  # milliseconds, of one count


@dataclass(frozen=True)
class EndpointCacheSettings:
    """Settings of the endpoint cache on disk."""

    file: str
    expected_lifetime_ms: float  # mean lifetime of an endpoint, before any turnover was observed
    max_probes_per_s: float  # that all gateways together may send to one engine
    min_write_interval_ms: float
    seeds: list[Line]  # engines to probe first if the cache is empty


@dataclass(frozen=True)
class Admission:
    """Limits of requests with one stage (embeddings and rerank) and of the gateway itself.

    The package `worksmux.admission` applies them.
    """

    load_tokens: int  # in flight at one engine
    load_inputs: int
    line_tokens: int  # that may wait, for each request class
    line_calls: int
    open_calls: int  # accepted and not yet answered
    repeat_ratio: float  # retries of clients per first attempt
    repeat_burst: float
    stay_away: tuple[float, float]  # milliseconds: the shortest and the longest retry-after
    loop_lag: float  # milliseconds that the event loop may lag
    sockets: int
    memory: int  # bytes


@dataclass(frozen=True)
class StageSettings:
    """Settings of one API with a single stage: its request classes and the settings of its policy."""

    call: str
    request_classes: list[shared.RequestClass]
    policy_settings: PolicySettings

    def __repr__(self) -> str:
        """Returns the form that the audit log's digest of settings is computed from.

        It keeps its first names, so that nodes of different program versions have equal digests.
        """
        policy_settings = f"module={self.policy_settings!r}"
        return f"Lane(call={self.call!r}, request_classes={self.request_classes!r}, {policy_settings})"


@dataclass(frozen=True)
class GatewaySettings:
    """All settings of one gateway."""

    name: str
    listen: Address
    watch: Address  # health and metrics
    tick_ms: float  # the shortest time between two decision rounds
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
    policy_settings: PolicySettings  # of the chat requests
    stages: list[StageSettings]
    admission: Admission | None
    regions: dict[str, str]  # by zone; empty if the file names none
    fleet: FleetSettings | None  # None: the gateway runs without a fleet


def read_transport(section: Section) -> Transport:
    """Reads the section `transport`."""
    node = section.required("transport")
    settings = Transport(
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
        node.size("buffered", DEFAULT_BUFFERED_BYTES),
    )
    node.end()
    return settings


def _source(section: Section) -> EndpointListSource:
    node = section.required("registry")
    settings = EndpointListSource(
        node.address("address"),
        node.choice("changes", ["pushed", "asked-for"], "pushed") == "asked-for",
        node.duration_ms("least-pause", min_value=1),
        node.duration_ms("most-pause", min_value=1),
        node.size("longest-line"),
        node.duration_ms("silence", min_value=1),
    )
    if settings.max_pause_ms < settings.min_pause_ms:
        node.complain("registry: most-pause is shorter than least-pause; swap them")
    node.end()
    return settings


def read_counting(
    root: Section, request_classes: list[shared.RequestClass]
) -> tuple[dict[str, str], Counting | None]:
    """Reads the tokenizers by name, and the limits of counting; None without a tokenizer."""
    files = {}
    for node in root.all("tokenizer"):
        files[node.title()] = node.text("file")
        node.end()
    for request_class in request_classes:
        if (
            request_class.tokenizer or files and request_class.call == "chat"
        ) and request_class.tokenizer not in files:
            root.complain(
                f'offering "{request_class.name}": tokenizer "{request_class.tokenizer}" is not given; '
                f"name one of {', '.join(files) or 'none, add a section tokenizer'}"
            )
    if not files:
        return {}, None
    node = root.required("counting")
    settings = Counting(
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
    if settings.line < settings.long:
        node.complain("counting: line is shorter than long-from; no long prompt would ever be counted")
    node.end()
    return files, settings


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
    settings = EndpointCacheSettings(
        node.text("file"),
        node.duration_ms("believed-for", min_value=1),
        node.number("probe-rate", min_value=0.001),
        node.duration_ms("write-pause", 500.0),
        seeds,
    )
    node.end()
    return settings


def read_admission(root: Section, required: bool) -> Admission | None:
    """Reads the section `admission`; without one the result is None, and a complaint if it is required."""
    node = root.optional("admission")
    if node is None:
        if required:
            root.complain("admission is missing; offerings of embeddings or rerank need that section")
        return None
    settings = Admission(
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
    if settings.line_tokens < settings.load_tokens:
        node.complain("line-tokens is less than load-tokens; no full load could ever wait")
    node.end()
    return settings


def read_gateway_settings(root: Section) -> GatewaySettings:
    """Reads all settings of a gateway.  Raises SettingsError with every complaint."""
    node = root.required("front")
    name = node.title()
    listen, watch = node.address("listen"), node.address("watch", ("127.0.0.1", 0))
    zone, number, gateway_count = (
        node.text("zone"),
        node.integer("number", 0),
        node.integer("fronts", min_value=1),
    )
    tick_ms = node.duration_ms("turn", min_value=0.1)
    seed = node.integer("seed", -1, min_value=-1, max_value=2**53)
    policy = node.choice("policy", POLICIES, "worksmux")
    node.end()
    zones = root.texts("zones")
    if zone and zone not in zones:
        node.complain(f'zone "{zone}" is not among the zones {", ".join(zones)}')
    if number >= gateway_count:
        node.complain(f"number counts from 0: it must be below fronts ({gateway_count})")
    request_classes, kinds = shared.request_classes(root), shared.kinds(root)
    rules, limits, prices = shared.rules(root), shared.limits(root), shared.prices(root)
    transport, source = read_transport(root), _source(root)
    tokenizers, counting = read_counting(root, request_classes)
    endpoint_cache = _endpoint_cache(root, kinds, zones)
    single_stage = [request_class for request_class in request_classes if request_class.call != "chat"]
    admission = read_admission(root, bool(single_stage))
    regions, fleet = shared.regions(root, zones), read_fleet(root, zones)
    log = root.optional("log") or Section("log", root.line, complaints=root.complaints)
    log_format, log_level = (
        log.choice("format", ["json", "console"], "json"),
        log.choice("level", ["debug", "info", "warning", "error"], "info"),
    )
    log.end()
    root.end()
    for request_class in single_stage:
        if not any(kind.call == request_class.call for kind in kinds):
            root.complain(
                f'offering "{request_class.name}": no kind of engine carries {request_class.call}; '
                f'add one with call="{request_class.call}" role="both"'
            )
    chat = [request_class for request_class in request_classes if request_class.call == "chat"]
    if chat and not any(kind.call == "chat" for kind in kinds):
        root.complain("no kind of engine carries chat; add one")
    if limits["may_hold"] and not any(kind.role == "write" for kind in kinds):
        root.complain("limits: hold is on, but no kind of engine has role write; set hold false")
    if root.complaints:
        raise SettingsError(root.complaints)
    placement = {
        "node_index": number,
        "node_count": gateway_count,
        "zone": zones.index(zone),
        "tick_ms": tick_ms,
        "connect_timeout_ms": transport.connect_time_out,
    }
    policy_settings = shared.policy_settings(
        chat or request_classes, kinds, rules, limits, prices, **placement, polls_endpoint_list=source.polls
    )
    stages = []
    for call in dict.fromkeys(request_class.call for request_class in single_stage):
        classes = [request_class for request_class in single_stage if request_class.call == call]
        stages.append(
            StageSettings(
                call,
                classes,
                shared.policy_settings(
                    classes,
                    kinds,
                    rules,
                    {**limits, "may_hold": False},
                    prices,
                    **placement,
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
        log_level,
        policy_settings,
        stages,
        admission,
        regions,
        fleet,
    )


def load_gateway_settings(path: str | Path) -> GatewaySettings:
    """Reads the settings of a gateway from a file.  Raises SettingsError."""
    return read_gateway_settings(load(path))
