"""Names of the platform's protocol: paths and headers, and the form of its attribute lists."""

from __future__ import annotations

# Paths that clients call.
CHAT_PATH = "/v1/chat/completions"
READY_PATH = "/up"
# Paths of engines.
HOLDS_PATH = "/v1/holds/"  # with a request's id: its KV cache
ALIVE_PATH = "/alive"
LOAD_PATH = "/metrics/load"
# Headers of requests.
REQUEST_ID = "X-Request-ID"
REQUEST_CLASS = "X-Priority-Class"
SESSION = "X-Route-Key"
TIME_LEFT = "X-Timeout-Ms"
ATTRIBUTES = "X-Attrs"
RETRIED = "X-Retried"
# Headers of engines' replies, in lower case.
LOAD = "x-server-load"
NOT_EXECUTED = "x-not-processed"


def parse_attributes(text: str | None) -> dict[str, str]:
    """Parses the attributes of a header; what has no name is left out.

    >>> parse_attributes("prefix=5c, prompt_len=12")
    {'prefix': '5c', 'prompt_len': '12'}
    """
    pairs = (part.partition("=") for part in (text or "").split(","))
    return {name.strip(): value.strip() for name, _, value in pairs if name.strip()}
