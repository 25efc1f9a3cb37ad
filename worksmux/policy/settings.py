"""Settings of the policy.

`worksmux/settings/platform.py` maps the platform's names to these, `worksmux/settings/shared.py` those of a
settings file.  This module uses the standard library alone: nothing else is installed where the simulator
runs the bench adapter.
"""

from __future__ import annotations

from dataclasses import dataclass, field

IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT = "redoable", "labelled", "irreversible"
SCOPE_ALL, SCOPE_ZONE, SCOPE_CELL = "all", "zone", "cell"
ROLE_PREFILL, ROLE_DECODE, ROLE_COMBINED = "read", "write", "both"


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestClassSettings:
    """Settings of one request class."""

    latency_target_ms: float  # to the first token
    latency_target_per_1000_tokens_ms: float = 0.0  # added for each 1,000 prompt tokens
    deadline_ms: float = 0.0  # after which the client disconnects
    token_interval_ms: float = 0.0  # wanted interval between tokens
    value: float = 1.0  # of a request served within its latency target
    late_value: float = 0.0  # of one served later
    effect: str = IDEMPOTENT  # IDEMPOTENT, DEDUPLICATED or NON_IDEMPOTENT
    deduplication_scope: str = SCOPE_ALL  # SCOPE_ALL, SCOPE_ZONE or SCOPE_CELL
    deduplication_window_ms: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicySettings:
    """Settings of the policy of one node, and facts about its fleet."""

    request_classes: tuple[RequestClassSettings, ...]
    engine_roles: tuple[str, ...]  # by kind of engine: ROLE_PREFILL, ROLE_DECODE or ROLE_COMBINED
    node_index: int = 0
    node_count: int = 1
    zone: int = 0
    tick_ms: float  # shortest time between two decision rounds
    kind_memory_tokens: tuple[float, ...] = ()  # KV cache capacity by kind of engine; empty: unknown
    max_attempts: int = 5  # of one request
    may_cancel: bool = True
    may_check_health: bool = True
    may_reserve: bool = False  # whether decode slots are reserved ahead of the prefill
    decode_engines_may_prefill: bool = False
    max_retry_after_ms: float = 0.0  # 0: a rejection names no time
    polls_endpoint_list: bool = False  # otherwise changes are pushed
    connect_timeout_ms: float = 0.0  # 0: unknown
    release_within_ms: float  # limit within which held KV cache is used or released
    migration_price: float = 0.0  # of moving KV cache out of its cell
    answer_slack_ms: float = 0.0  # after the deadline, for the final answer
    load_reports: str = "off"  # how engines report their load; "off": they do not
    load_report_fields: tuple[str, ...] = field(default=())
    slow_start_share: float  # part of its even share that a cold engine may be sent
    slow_start_ms: float  # from the start of an engine until it is warm
    overload_multiple: float  # times that share: the load at which a cold engine fails
    overload_window_ms: float = 0.0  # span in which requests are counted for that load
