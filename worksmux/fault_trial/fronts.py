"""Settings files for the gateways of a scenario, so that each starts as an operator would start it."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

from ..scenarios.scenario import Scenario
from ..settings.shared import Kind, RequestClass

PLAN_LEASE_MS = 2500.0  # of the failover plan that the gateways share


def _ms(value: float) -> str:
    return f'"{value:.3f}ms"'


def _flag(value: object) -> str:
    return "true" if value else "false"


def _request_class(request_class: RequestClass) -> str:
    return f"""offering {json.dumps(request_class.name)} {{
    promised-time {_ms(request_class.promised_time)}
    promised-per-1000-tokens {_ms(request_class.promised_per_k)}
    outer-limit {_ms(request_class.outer_limit)}
    token-time {_ms(request_class.token_time)}
    most-answer {request_class.most_answer}
    credit {request_class.credit:g}
    late-credit {request_class.late_credit:g}
    effect "{request_class.effect}"
    group "{request_class.group}"
    remembered {_ms(request_class.remembered)}
    tokenizer {json.dumps(request_class.tokenizer)}
    most-prompt {request_class.most_prompt}
    call "{request_class.call}"
    share {request_class.share:g}
}}
"""


def _kind(kind: Kind) -> str:
    return f'kind {json.dumps(kind.name)} role="{kind.role}" memory={kind.memory:g} call="{kind.call}"\n'


def _counting(scenario: Scenario) -> str:
    counting = scenario.counting
    if counting is None:
        return ""
    files = "".join(
        f"tokenizer {json.dumps(name)} file={json.dumps(str(Path(file).resolve()))}\n"
        for name, file in scenario.tokenizers.items()
    )
    return f"""{files}counting {{
    cache "{counting.cache}B"
    workers {counting.workers}
    long-workers {counting.long_workers}
    long-from "{counting.long}B"
    line "{counting.line}B"
    piece {counting.piece}
    block {counting.block}
    shared-blocks {counting.shared_blocks}
    shared-sessions {counting.shared_sessions}
    time-limit {_ms(counting.time_limit)}
}}
"""


def _admission(scenario: Scenario) -> str:
    admission = scenario.admission
    if admission is None:
        return ""
    return f"""admission {{
    load-tokens {admission.load_tokens}
    load-inputs {admission.load_inputs}
    line-tokens {admission.line_tokens}
    line-calls {admission.line_calls}
    open-calls {admission.open_calls}
    repeat-ratio {admission.repeat_ratio:g}
    repeat-burst {admission.repeat_burst:g}
    stay-away {_ms(admission.stay_away[0])} {_ms(admission.stay_away[1])}
    loop-lag {_ms(admission.loop_lag)}
    sockets {admission.sockets}
    memory "{admission.memory}B"
}}
"""


def _endpoint_cache(scenario: Scenario, path: Path) -> str:
    if not scenario.memory:
        return ""
    return f"""memory {{
    file {json.dumps(str(path.resolve()))}
    believed-for "1h"
    probe-rate 20
    write-pause "100ms"
}}
"""


def _fleet(scenario: Scenario, name: str, folder: Path, relay_ports: dict[str, int]) -> str:
    """The fleet section; `relay_ports` are the ports by which this gateway reaches the others."""
    if not scenario.fleet:
        return ""
    reach = "".join(
        f'    reach {json.dumps(other)} "127.0.0.1:{port}"\n' for other, port in relay_ports.items()
    )
    carries = "".join(
        f"    carries {json.dumps(zone)} {scenario.carries:g}\n" for zone in scenario.zones
    ) * bool(scenario.carries)
    founders = " ".join(
        json.dumps(f"front-{index + 1}") for index in range(min(scenario.seats, scenario.fronts))
    )
    seeds = " ".join(f'"127.0.0.1:{port}"' for port in relay_ports.values())
    regions: dict[str, list[str]] = {}
    for zone, region in scenario.regions.items():
        regions.setdefault(region, []).append(json.dumps(zone))
    region_sections = "".join(
        f"region {json.dumps(region)} {{\n    zones {' '.join(zones)}\n}}\n"
        for region, zones in regions.items()
    )
    return f"""{region_sections}fleet {json.dumps(scenario.name)} {{
    listen "127.0.0.1:0"
    {f"seeds {seeds}" if seeds else ""}
    founders {founders}
    seats {scenario.seats}
    disk {json.dumps(str((folder / f"{name}.disk").resolve()))}
    period "300ms"
    beat "100ms"
    patience "600ms"
    lease "{PLAN_LEASE_MS:g}ms"
    gone "10s"
{reach}{carries}}}
"""


def gateway_settings(
    scenario: Scenario,
    name: str,
    number: int,
    zone: str,
    port: int,
    watch: int,
    registry_port: int,
    policy: str,
    folder: Path,
    counting: bool = True,
    relay_ports: dict[str, int] | None = None,
) -> str:
    """The text of a gateway's settings file: the scenario's settings and the ports.

    Without `counting`, the gateway estimates prompt lengths from bytes.
    """
    if not counting:
        request_classes = [
            replace(request_class, tokenizer="", most_prompt=10**9)
            for request_class in scenario.request_classes
        ]
        scenario = replace(scenario, tokenizers={}, counting=None, request_classes=request_classes)
    rules, limits, transport = scenario.rules, scenario.limits, scenario.transport
    zones = " ".join(json.dumps(request_class) for request_class in scenario.zones)
    return f"""front {json.dumps(name)} {{
    listen "127.0.0.1:{port}"
    watch "127.0.0.1:{watch}"
    zone {json.dumps(zone)}
    number {number}
    fronts {scenario.fronts}
    turn "2ms"
    seed {scenario.seed * 1000 + number}
    policy "{policy}"
}}
registry {{
    address "127.0.0.1:{registry_port}"
    changes "{"asked-for" if scenario.polls_endpoint_list else "pushed"}"
    least-pause "100ms"
    most-pause "1s"
    longest-line "4MiB"
    silence "5s"
}}
zones {zones}
{"".join(map(_kind, scenario.kinds))}
{"".join(map(_request_class, scenario.request_classes))}
rules {{
    answer-slack {_ms(rules["answer_slack"])}
    drain-grace {_ms(rules["drain_grace"])}
    release-within {_ms(rules["release_within"])}
    cold-share {rules["cold_share"]:g}
    warm-up {_ms(rules["warm_up"])}
    fall-multiple {rules["fall_multiple"]:g}
    fall-time {_ms(rules["fall_time"])}
}}
limits {{
    trips {limits["most_trips"]}
    cancel {_flag(limits["may_cancel"])}
    probe {_flag(limits["may_probe"])}
    hold {_flag(limits["may_hold"])}
    writers-read {_flag(limits["writers_read"])}
    second-copies {_flag(limits["second_copies"])}
    stay-away {_ms(limits["stay_away"])}
}}
prices {{
    far {scenario.prices["far_price"]:g}
}}
transport {{
    connect-time-out {_ms(transport.connect_time_out)}
    keep-alive {_ms(transport.keep_alive)}
    idle-connections {transport.idle_connections}
    stream-silence {_ms(transport.stream_silence)}
    call-time-out {_ms(transport.call_time_out)}
    release-tries {transport.release_tries}
    answer-margin {_ms(transport.answer_margin)}
    body "{transport.body}B"
    head "{transport.head}B"
    reply "{transport.reply}B"
    open-jobs {transport.open_requests}
    drain-time {_ms(transport.drain_time)}
}}
log format="json" level="info"
{_counting(scenario)}{_admission(scenario)}{_endpoint_cache(scenario, folder / f"{name}.memory")}{
        _fleet(scenario, name, folder, relay_ports or {})
    }"""
