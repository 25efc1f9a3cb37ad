"""Paths, headers and attribute lists of the platform's protocol."""

from __future__ import annotations

# Paths of the node.
CHAT_PATH = "/v1/chat/completions"
READY_PATH = "/up"
# Paths of engines.
HOLDS_PATH = "/v1/holds/"  # followed by a request id: the KV cache held for it
ALIVE_PATH = "/alive"
LOAD_PATH = "/metrics/load"
# Request headers.
REQUEST_ID = "X-Request-ID"
REQUEST_CLASS = "X-Priority-Class"
SESSION = "X-Route-Key"
TIME_LEFT = "X-Timeout-Ms"
ATTRIBUTES = "X-Attrs"
RETRIED = "X-Retried"
# Headers of engine replies, in lower case.
LOAD = "x-server-load"
NOT_EXECUTED = "x-not-processed"


def parse_attributes(text: str | None) -> dict[str, str]:
    """Parses the `name=value` pairs of a header; parts without a name are ignored.

    >>> parse_attributes("prefix=5c, prompt_len=12")
    {'prefix': '5c', 'prompt_len': '12'}
    """
    pairs = (part.partition("=") for part in (text or "").split(","))
    return {name.strip(): value.strip() for name, _, value in pairs if name.strip()}
