"""Sections that the front's settings and a trial's file have in common: offerings, kinds, rules, limits,
prices."""

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
    """One offering; times in milliseconds, tokens as whole numbers."""

    name: str
    promised_time: float
    promised_per_k: float  # added for each 1,000 tokens of the prompt
    outer_limit: float
    token_time: float  # the mean time wanted between tokens
    most_answer: int  # tokens, where the client names no figure
    credit: float
    late_credit: float
    effect: str
    group: str
    remembered: float
    tokenizer: str = ""  # its name; none: lengths are guessed from bytes
    max_prompt_tokens: int = 10**9  # tokens
    call: str = "chat"  # what clients ask it by
    share: float = 1.0  # of the engines, among offerings of its call that wait


def request_classes(section: Section) -> list[RequestClass]:
    """All offerings of a file, in their order; names are unique."""
    found: list[RequestClass] = []
    for node in section.all("offering"):
        effect = node.choice("effect", EFFECTS)
        labelled = effect == "labelled"
        call = node.choice("call", CALLS, "chat")
        chat = call == "chat"  # only an answer of tokens has a pace and a length
        one = RequestClass(
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
            node.complain(f'offering "{one.name}": {call} has no effect; set effect "redoable"')
        if one.outer_limit < one.promised_time:
            node.complain(
                f'offering "{one.name}": outer-limit is shorter than promised-time; '
                "a client does not leave before its answer is due"
            )
        if any(other.name == one.name for other in found):
            node.complain(f'offering "{one.name}" is given twice; rename one')
        node.end()
        found.append(one)
    if not found:
        section.complain("no offering; add at least one section offering")
    return found


@dataclass(frozen=True)
class Kind:
    """A kind of engine; memory in tokens."""

    name: str
    role: str
    memory: float
    call: str = "chat"  # what its engines carry


def kinds(section: Section) -> list[Kind]:
    found = []
    for node in section.all("kind"):
        one = Kind(
            node.title(),
            node.choice("role", ROLES),
            node.number("memory", min_value=1),
            node.choice("call", CALLS, "chat"),
        )
        if one.call != "chat" and one.role != "both":
            node.complain(f'kind "{one.name}": {one.call} is one stage; set role "both"')
        node.end()
        found.append(one)
    if not found:
        section.complain("no kind of engine; add at least one section kind")
    elif not any(kind.role == "both" for kind in found) and len({kind.role for kind in found}) < 2:
        section.complain(
            "no job could be carried: there must be kinds that read and write, or one that does both"
        )
    return found


def regions(section: Section, zones: list[str]) -> dict[str, str]:
    """The region of each zone, by sections `region "west" { zones "north" "south" }`; empty where none are
    given.  A zone lies in one region."""
    found: dict[str, str] = {}
    for node in section.all("region"):
        name = node.title()
        for zone in node.texts("zones"):
            if zone not in zones:
                node.complain(f'region "{name}": zone "{zone}" is not among the zones {", ".join(zones)}')
            elif zone in found:
                node.complain(f'region "{name}": zone "{zone}" lies in "{found[zone]}" already')
            found[zone] = name
        node.end()
    if found and (left := [zone for zone in zones if zone not in found]):
        section.complain(f"no region has the zones {', '.join(left)}; put each zone in one")
    return found


def rules(section: Section) -> dict[str, float]:
    """The figures of the five rules, named as the module names them."""
    node = section.required("rules")
    found = {
        "answer_slack": node.duration_ms("answer-slack"),
        "drain_grace": node.duration_ms("drain-grace"),
        "release_within": node.duration_ms("release-within", min_value=1),
        "cold_share": node.number("cold-share", max_value=1.0),
        "warm_up": node.duration_ms("warm-up"),
        "fall_multiple": node.number("fall-multiple"),
        "fall_time": node.duration_ms("fall-time"),
    }
    node.end()
    return found


def limits(section: Section) -> dict[str, Any]:
    """What the module is told it may do."""
    node = section.required("limits")
    found = {
        "most_trips": node.integer("trips", min_value=2, max_value=100),
        "may_cancel": node.flag("cancel", True),
        "may_probe": node.flag("probe", True),
        "may_hold": node.flag("hold", False),
        "writers_read": node.flag("writers-read", False),
        "second_copies": node.flag("second-copies", False),
        "stay_away": node.duration_ms("stay-away", 0.0),
    }
    node.end()
    return found


def prices(section: Section) -> dict[str, float]:
    node = section.optional("prices")
    names = ("far", "late", "cross", "waste", "probe")
    if node is None:
        return {f"{name}_price": 0.0 for name in names}
    found = {f"{name}_price": node.number(name, 0.0) for name in names}
    node.end()
    return found


def policy_settings(
    offered: list[RequestClass],
    kinds_of: list[Kind],
    figures: dict[str, float],
    allowed: dict[str, Any],
    priced: dict[str, float],
    **place: Any,
) -> PolicySettings:
    """The policy's settings from the sections of a file, and this node's place in the fleet."""
    return PolicySettings(
        request_classes=tuple(
            RequestClassSettings(
                latency_target_ms=one.promised_time,
                deadline_ms=one.outer_limit,
                value=one.credit,
                late_value=one.late_credit,
                effect=one.effect,
                deduplication_scope=one.group,
                deduplication_window_ms=one.remembered,
                latency_target_per_1000_tokens_ms=one.promised_per_k,
                token_interval_ms=one.token_time,
            )
            for one in offered
        ),
        engine_roles=tuple(kind.role for kind in kinds_of),
        kind_memory_tokens=tuple(kind.memory for kind in kinds_of),
        load_reports="inline",
        migration_price=priced["far_price"],
        max_attempts=allowed["most_trips"],
        may_cancel=allowed["may_cancel"],
        may_check_health=allowed["may_probe"],
        may_reserve=allowed["may_hold"],
        decode_engines_may_prefill=allowed["writers_read"],
        max_retry_after_ms=allowed["stay_away"],
        answer_slack_ms=figures["answer_slack"],
        release_within_ms=figures["release_within"],
        slow_start_share=figures["cold_share"],
        slow_start_ms=figures["warm_up"],
        overload_multiple=figures["fall_multiple"],
        overload_window_ms=figures["fall_time"],
        **place,
    )
