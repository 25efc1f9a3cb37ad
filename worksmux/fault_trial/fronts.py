"""Writes a front's settings file for a day, so that its fronts are started just as an operator starts one."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

from ..scenarios.scenario import Scenario
from ..settings.shared import Kind, RequestClass

LEASE = 2500.0  # milliseconds, of what a day's fronts decide in common


def _ms(value: float) -> str:
    return f'"{value:.3f}ms"'


def _flag(value: object) -> str:
    return "true" if value else "false"


def _request_class(one: RequestClass) -> str:
    return f"""offering {json.dumps(one.name)} {{
    promised-time {_ms(one.promised_time)}
    promised-per-1000-tokens {_ms(one.promised_per_k)}
    outer-limit {_ms(one.outer_limit)}
    token-time {_ms(one.token_time)}
    most-answer {one.most_answer}
    credit {one.credit:g}
    late-credit {one.late_credit:g}
    effect "{one.effect}"
    group "{one.group}"
    remembered {_ms(one.remembered)}
    tokenizer {json.dumps(one.tokenizer)}
    most-prompt {one.most_prompt}
    call "{one.call}"
    share {one.share:g}
}}
"""


def _kind(one: Kind) -> str:
    return f'kind {json.dumps(one.name)} role="{one.role}" memory={one.memory:g} call="{one.call}"\n'


def _counting(day: Scenario) -> str:
    one = day.counting
    if one is None:
        return ""
    files = "".join(
        f"tokenizer {json.dumps(name)} file={json.dumps(str(Path(file).resolve()))}\n"
        for name, file in day.tokenizers.items()
    )
    return f"""{files}counting {{
    cache "{one.cache}B"
    workers {one.workers}
    long-workers {one.long_workers}
    long-from "{one.long}B"
    line "{one.line}B"
    piece {one.piece}
    block {one.block}
    shared-blocks {one.shared_blocks}
    shared-sessions {one.shared_sessions}
    time-limit {_ms(one.time_limit)}
}}
"""


def _admission(day: Scenario) -> str:
    one = day.admission
    if one is None:
        return ""
    return f"""admission {{
    load-tokens {one.load_tokens}
    load-inputs {one.load_inputs}
    line-tokens {one.line_tokens}
    line-calls {one.line_calls}
    open-calls {one.open_calls}
    repeat-ratio {one.repeat_ratio:g}
    repeat-burst {one.repeat_burst:g}
    stay-away {_ms(one.stay_away[0])} {_ms(one.stay_away[1])}
    loop-lag {_ms(one.loop_lag)}
    sockets {one.sockets}
    memory "{one.memory}B"
}}
"""


def _memory(day: Scenario, path: Path) -> str:
    if not day.memory:
        return ""
    return f"""memory {{
    file {json.dumps(str(path.resolve()))}
    believed-for "1h"
    probe-rate 20
    write-pause "100ms"
}}
"""


def _fleet(day: Scenario, name: str, folder: Path, ways: dict[str, int]) -> str:
    """The section of a front that decides with others; `ways` are the ports by which it reaches them."""
    if not day.fleet:
        return ""
    reach = "".join(f'    reach {json.dumps(other)} "127.0.0.1:{port}"\n' for other, port in ways.items())
    carries = "".join(f"    carries {json.dumps(zone)} {day.carries:g}\n" for zone in day.zones) * bool(
        day.carries
    )
    founders = " ".join(json.dumps(f"front-{at + 1}") for at in range(min(day.seats, day.fronts)))
    seeds = " ".join(f'"127.0.0.1:{port}"' for port in ways.values())
    regions: dict[str, list[str]] = {}
    for zone, region in day.regions.items():
        regions.setdefault(region, []).append(json.dumps(zone))
    told = "".join(
        f"region {json.dumps(region)} {{\n    zones {' '.join(zones)}\n}}\n"
        for region, zones in regions.items()
    )
    return f"""{told}fleet {json.dumps(day.name)} {{
    listen "127.0.0.1:0"
    {f"seeds {seeds}" if seeds else ""}
    founders {founders}
    seats {day.seats}
    disk {json.dumps(str((folder / f"{name}.disk").resolve()))}
    period "300ms"
    beat "100ms"
    patience "600ms"
    lease "{LEASE:g}ms"
    gone "10s"
{reach}{carries}}}
"""


def front_file(
    day: Scenario,
    name: str,
    number: int,
    zone: str,
    port: int,
    watch: int,
    registry: int,
    policy: str,
    folder: Path,
    counting: bool = True,
    ways: dict[str, int] | None = None,
) -> str:
    """The text of the settings; it holds what the day's file says, and the ports.

    Without `counting` the front guesses lengths from bytes.
    """
    if not counting:
        request_classes = [replace(one, tokenizer="", most_prompt=10**9) for one in day.request_classes]
        day = replace(day, tokenizers={}, counting=None, request_classes=request_classes)
    rules, limits, bounds = day.rules, day.limits, day.transport
    zones = " ".join(json.dumps(one) for one in day.zones)
    return f"""front {json.dumps(name)} {{
    listen "127.0.0.1:{port}"
    watch "127.0.0.1:{watch}"
    zone {json.dumps(zone)}
    number {number}
    fronts {day.fronts}
    turn "2ms"
    seed {day.seed * 1000 + number}
    policy "{policy}"
}}
registry {{
    address "127.0.0.1:{registry}"
    changes "{"asked-for" if day.ask else "pushed"}"
    least-pause "100ms"
    most-pause "1s"
    longest-line "4MiB"
    silence "5s"
}}
zones {zones}
{"".join(map(_kind, day.kinds))}
{"".join(map(_request_class, day.request_classes))}
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
    far {day.prices["far_price"]:g}
}}
transport {{
    connect-time-out {_ms(bounds.connect_time_out)}
    keep-alive {_ms(bounds.keep_alive)}
    idle-connections {bounds.idle_connections}
    stream-silence {_ms(bounds.stream_silence)}
    call-time-out {_ms(bounds.call_time_out)}
    release-tries {bounds.release_tries}
    answer-margin {_ms(bounds.answer_margin)}
    body "{bounds.body}B"
    head "{bounds.head}B"
    reply "{bounds.reply}B"
    open-jobs {bounds.open_requests}
    drain-time {_ms(bounds.drain_time)}
}}
log format="json" level="info"
{_counting(day)}{_admission(day)}{_memory(day, folder / f"{name}.memory")}{
        _fleet(day, name, folder, ways or {})
    }"""
