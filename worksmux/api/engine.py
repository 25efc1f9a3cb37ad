"""Control calls from the gateway to engines beside the published forms, and load reports.

`GET /worksmux/probe` is answered by 200 and {"load": {...}}, `POST /worksmux/place` with {"job", "tokens",
"reader"} by 200 and {"held": bool}, and `POST /worksmux/release` with {"job"} by 200.  A load report is the
header `endpoint-load-metrics: JSON {"named_metrics": {...}}` of a response, in the form of open request cost
aggregation (ORCA).
"""

from __future__ import annotations

import msgspec

from .chat import KvParams

CHAT, PROBE, RESERVE_SLOT, RELEASE = (
    "/v1/chat/completions",
    "/worksmux/probe",
    "/worksmux/place",
    "/worksmux/release",
)
PULL, CONTROL = "/worksmux/state", "/worksmux/control"
LOAD = "endpoint-load-metrics"
REQUEST, GATEWAY, CLIENT_ATTEMPT = "x-worksmux-job", "x-worksmux-front", "x-worksmux-try"
PLAN = "x-worksmux-plan"  # the failover plan in use, and whether the gateway is cut off from the fleet
PROMPT_TOKENS = "x-worksmux-prompt-tokens"  # the gateway's count; absent if it only has an estimate
FULL, STATE_LOST, DRAINING = "full", "state_lost", "draining"


class ReserveSlot(msgspec.Struct):
    """Asks a decode engine to reserve a slot and memory for a request and to pull its KV cache.

    `kv_source` is the handle of the KV cache, which is pulled during the prefill.
    """

    request: str = msgspec.field(name="job")
    tokens: float
    kv_source: KvParams | None = msgspec.field(name="reader", default=None)


class ReserveSlotReply(msgspec.Struct):
    """Whether the decode engine has reserved the slot."""

    held: bool


class Release(msgspec.Struct):
    """Asks an engine to free all that it holds for a request."""

    request: str = msgspec.field(name="job")


class ProbeReply(msgspec.Struct):
    """An engine's identity and load; `started` is in milliseconds since 1970, 0 for long ago."""

    load: dict[str, float] = {}
    id: str = ""
    kind: str = ""
    started: float = 0.0
    draining: bool = False


class LoadReport(msgspec.Struct):
    """The load of an engine by the names of its metrics."""

    named_metrics: dict[str, float] = {}


def load_report(header: str | None) -> dict[str, float] | None:
    """The figures of a load report; None if it is absent or malformed, as a report is only advisory.

    >>> load_report('JSON {"named_metrics": {"queue": 2}}'), load_report("TEXT queue=2")
    ({'queue': 2.0}, None)
    """
    if header is None or not header.startswith("JSON "):
        return None
    try:
        return msgspec.json.decode(header[5:], type=LoadReport).named_metrics
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def load_header(figures: dict[str, float]) -> tuple[str, str]:
    """The name and the value of the header of a load report."""
    return LOAD, "JSON " + msgspec.json.encode(LoadReport(figures)).decode()
