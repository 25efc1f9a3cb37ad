"""Reads the sections that the settings of a gateway and the file of a scenario have in common.

They are the request classes (`offering`), the kinds of engine, `rules`, `limits` and `prices`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..policy.settings import PolicySettings, RequestClassSettings
from .document import Section

EFFECTS = ["redoable", "labelled", "irreversible"]
ROLES = ["read", "write", "both"]
GROUPS = ["all", "zone", "cell"]
CALLS = ["chat", "embeddings", "rerank"]


@dataclass(frozen=True)
class RequestClass:
    """One request class; durations in milliseconds.

    Field names are part of stored data: the fault trial passes them by name to the clients in worksmux.fakes,
    and the audit log holds a digest of their repr().
    """

    name: str
    promised_time: float  # the latency target
    promised_per_k: float  # added to the latency target for each 1,000 tokens of the prompt
    outer_limit: float  # the deadline
    token_time: float  # target of the mean time between tokens
    most_answer: int  # tokens, if the client names no limit
    credit: float
    late_credit: float
    effect: str
    group: str  # the deduplication scope
    remembered: float  # the deduplication window
    tokenizer: str = ""  # its name; empty: prompt lengths are estimated from bytes
    most_prompt: int = 10**9  # tokens
    call: str = "chat"  # the API, one of CALLS
    share: float = 1.0  # weight among the waiting request classes of the same API


def request_classes(section: Section) -> list[RequestClass]:
    """Reads all request classes of a file, in order.  Their names must be unique."""
    classes: list[RequestClass] = []
    for node in section.all("offering"):
        effect = node.choice("effect", EFFECTS)
        labelled = effect == "labelled"
        call = node.choice("call", CALLS, "chat")
        chat = call == "chat"  # only chat answers consist of tokens, with an interval and a length
        request_class = RequestClass(
            node.title(),
            node.duration_ms("promised-time", min_value=1),
            node.duration_ms("promised-per-1000-tokens", 0.0),
            node.duration_ms("outer-limit", min_value=1),
            node.duration_ms("token-time", None if chat else 1.0, min_value=1),
            node.integer("most-answer", None if chat else 1, min_value=1),
            node.number("credit", 1.0),
            node.number("late-credit", 0.0, max_value=1.0),
            effect,
            node.choice("group", GROUPS, None if labelled else "all"),
            node.duration_ms("remembered", None if labelled else 0.0),
            node.value("tokenizer", str, "", ""),
            node.integer("most-prompt", 10**9, min_value=1),
            call,
            node.number("share", 1.0, min_value=0.001),
        )
        if not chat and effect != "redoable":
            node.complain(f'offering "{request_class.name}": {call} has no effect; set effect "redoable"')
        if request_class.outer_limit < request_class.promised_time:
            node.complain(
                f'offering "{request_class.name}": outer-limit is shorter than promised-time; '
                "a client does not leave before its answer is due"
            )
        if any(other.name == request_class.name for other in classes):
            node.complain(f'offering "{request_class.name}" is given twice; rename one')
        node.end()
        classes.append(request_class)
    if not classes:
        section.complain("no offering; add at least one section offering")
    return classes


@dataclass(frozen=True)
class Kind:
    """A kind of engine."""

    name: str
    role: str
    memory: float  # tokens of KV cache
    call: str = "chat"  # the API that its engines serve


def kinds(section: Section) -> list[Kind]:
    """Reads all kinds of engine."""
    engine_kinds = []
    for node in section.all("kind"):
        engine_kind = Kind(
            node.title(),
            node.choice("role", ROLES),
            node.number("memory", min_value=1),
            node.choice("call", CALLS, "chat"),
        )
        if engine_kind.call != "chat" and engine_kind.role != "both":
            node.complain(f'kind "{engine_kind.name}": {engine_kind.call} is one stage; set role "both"')
        node.end()
        engine_kinds.append(engine_kind)
    if not engine_kinds:
        section.complain("no kind of engine; add at least one section kind")
    elif (
        not any(kind.role == "both" for kind in engine_kinds)
        and len({kind.role for kind in engine_kinds}) < 2
    ):
        section.complain(
            "no request could be served: there must be kinds with role read and write, or one with role both"
        )
    return engine_kinds


def regions(section: Section, zones: list[str]) -> dict[str, str]:
    """Reads the region of each zone from sections `region "west" { zones "north" "south" }`.

    A zone lies in one region.  The result is empty if the file has no such section.
    """
    region_by_zone: dict[str, str] = {}
    for node in section.all("region"):
        name = node.title()
        for zone in node.texts("zones"):
            if zone not in zones:
                node.complain(f'region "{name}": zone "{zone}" is not among the zones {", ".join(zones)}')
            elif zone in region_by_zone:
                node.complain(f'region "{name}": zone "{zone}" is already in "{region_by_zone[zone]}"')
            region_by_zone[zone] = name
        node.end()
    if region_by_zone and (missing := [zone for zone in zones if zone not in region_by_zone]):
        section.complain(f"no region has the zones {', '.join(missing)}; put each zone in one")
    return region_by_zone


def rules(section: Section) -> dict[str, float]:
    """Reads the parameters of the five rules of routing."""
    node = section.required("rules")
    values = {
        "answer_slack": node.duration_ms("answer-slack"),
        "drain_grace": node.duration_ms("drain-grace"),
        "release_within": node.duration_ms("release-within", min_value=1),
        "cold_share": node.number("cold-share", max_value=1.0),
        "warm_up": node.duration_ms("warm-up"),
        "fall_multiple": node.number("fall-multiple"),
        "fall_time": node.duration_ms("fall-time"),
    }
    node.end()
    return values


def limits(section: Section) -> dict[str, Any]:
    """Reads what the policy may do."""
    node = section.required("limits")
    values = {
        "most_trips": node.integer("trips", min_value=2, max_value=100),
        "may_cancel": node.flag("cancel", True),
        "may_probe": node.flag("probe", True),
        "may_hold": node.flag("hold", False),
        "writers_read": node.flag("writers-read", False),
        "second_copies": node.flag("second-copies", False),
        "stay_away": node.duration_ms("stay-away", 0.0),
    }
    node.end()
    return values


def prices(section: Section) -> dict[str, float]:
    """Reads the prices that the policy may weigh; all are 0 if the section is missing."""
    node = section.optional("prices")
    names = ("far", "late", "cross", "waste", "probe")
    if node is None:
        return {f"{name}_price": 0.0 for name in names}
    values = {f"{name}_price": node.number(name, 0.0) for name in names}
    node.end()
    return values


def policy_settings(
    classes: list[RequestClass],
    engine_kinds: list[Kind],
    rule_values: dict[str, float],
    limit_values: dict[str, Any],
    price_values: dict[str, float],
    **placement: Any,
) -> PolicySettings:
    """The policy's settings, from the sections of a file and this node's place in the fleet."""
    return PolicySettings(
        request_classes=tuple(
            RequestClassSettings(
                latency_target_ms=request_class.promised_time,
                deadline_ms=request_class.outer_limit,
                value=request_class.credit,
                late_value=request_class.late_credit,
                effect=request_class.effect,
                deduplication_scope=request_class.group,
                deduplication_window_ms=request_class.remembered,
                latency_target_per_1000_tokens_ms=request_class.promised_per_k,
                token_interval_ms=request_class.token_time,
            )
            for request_class in classes
        ),
        engine_roles=tuple(kind.role for kind in engine_kinds),
        kind_memory_tokens=tuple(kind.memory for kind in engine_kinds),
        load_reports="inline",
        migration_price=price_values["far_price"],
        max_attempts=limit_values["most_trips"],
        may_cancel=limit_values["may_cancel"],
        may_check_health=limit_values["may_probe"],
        may_reserve=limit_values["may_hold"],
        decode_engines_may_prefill=limit_values["writers_read"],
        max_retry_after_ms=limit_values["stay_away"],
        answer_slack_ms=rule_values["answer_slack"],
        release_within_ms=rule_values["release_within"],
        slow_start_share=rule_values["cold_share"],
        slow_start_ms=rule_values["warm_up"],
        overload_multiple=rule_values["fall_multiple"],
        overload_window_ms=rule_values["fall_time"],
        **placement,
    )
