"""The small calls between front and engine beside the chat form: probe, place and release, and the load
report.

`GET /worksmux/probe` answers 200 with {"load": {...}}; `POST /worksmux/place` {"job", "tokens", "reader"}
answers 200 with {"held": bool}; `POST /worksmux/release` {"job"} answers 200.  Load reports travel in the
header `endpoint-load-metrics: JSON {"named_metrics": {...}}`, the open request cost aggregation form.
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
PLAN = "x-worksmux-plan"  # of the fleet's plans the one acted on, and whether the front is alone
PROMPT_TOKENS = "x-worksmux-prompt-tokens"  # as the front counted them; left out where it guessed
FULL, STATE_LOST, DRAINING = "full", "state_lost", "draining"


class ReserveSlot(msgspec.Struct):
    """Asks to hold a slot and memory for a job's answer, and to pull its state as it is read."""

    request: str = msgspec.field(name="job")
    tokens: float
    kv_source: KvParams | None = msgspec.field(name="reader", default=None)


class ReserveSlotReply(msgspec.Struct):
    held: bool


class Release(msgspec.Struct):
    request: str = msgspec.field(name="job")


class ProbeReply(msgspec.Struct):
    """What an engine says of itself; `started` is milliseconds since 1970, 0 for long ago."""

    load: dict[str, float] = {}
    id: str = ""
    kind: str = ""
    started: float = 0.0
    draining: bool = False


class LoadReport(msgspec.Struct):
    named_metrics: dict[str, float] = {}


def load_report(header: str | None) -> dict[str, float] | None:
    """The figures of a load report; None where there is none, or it is malformed: a report is only advice.

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
    return LOAD, "JSON " + msgspec.json.encode(LoadReport(figures)).decode()
