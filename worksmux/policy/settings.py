"""Settings of the policy, in the field's terms.

The platform's names are mapped to these in `worksmux/settings/platform.py`, those of a settings file in
`worksmux/settings/shared.py`.  Standard library only: where the simulator runs the adapter nothing else is
installed.
"""

from __future__ import annotations

from dataclasses import dataclass, field

IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT = "redoable", "labelled", "irreversible"
SCOPE_ALL, SCOPE_ZONE, SCOPE_CELL = "all", "zone", "cell"
ROLE_PREFILL, ROLE_DECODE, ROLE_COMBINED = "read", "write", "both"


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestClassSettings:
    """One class of requests."""

    latency_target_ms: float  # to the first token
    latency_target_per_1000_tokens_ms: float = 0.0  # added for each 1,000 tokens of the prompt
    deadline_ms: float = 0.0  # after which the client has left
    token_interval_ms: float = 0.0  # wanted between tokens
    value: float = 1.0  # of a request served within its target
    late_value: float = 0.0  # of one served later
    effect: str = IDEMPOTENT  # IDEMPOTENT, DEDUPLICATED or NON_IDEMPOTENT
    deduplication_scope: str = SCOPE_ALL  # SCOPE_ALL, SCOPE_ZONE or SCOPE_CELL
    deduplication_window_ms: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicySettings:
    """What the policy may do, and the fleet it does it in."""

    request_classes: tuple[RequestClassSettings, ...]
    engine_roles: tuple[str, ...]  # by kind of engine: ROLE_PREFILL, ROLE_DECODE or ROLE_COMBINED
    node_index: int = 0
    node_count: int = 1
    zone: int = 0
    tick_ms: float  # the shortest time between two decision rounds
    kind_memory_tokens: tuple[float, ...] = ()  # KV cache by kind of engine; empty: not told
    max_attempts: int = 5  # for one request
    may_cancel: bool = True
    may_check_health: bool = True
    may_reserve: bool = False  # decode slots ahead of the prefill
    decode_engines_may_prefill: bool = False
    max_retry_after_ms: float = 0.0  # 0: rejections name no time
    polls_endpoint_list: bool = False  # else changes are pushed
    connect_timeout_ms: float = 0.0  # 0: not told
    release_within_ms: float  # held KV cache is used or released within this
    migration_price: float = 0.0  # of moving KV cache out of its cell
    answer_slack_ms: float = 0.0  # after the deadline, for the final answer
    load_reports: str = "off"  # how engines report their load; "off": not at all
    load_report_fields: tuple[str, ...] = field(default=())
    slow_start_share: float  # of its even share, what a cold engine may be sent
    slow_start_ms: float  # until a started engine is warm
    overload_multiple: float  # times that share, at which a cold engine falls over
    overload_window_ms: float = 0.0  # in which requests are counted for that
