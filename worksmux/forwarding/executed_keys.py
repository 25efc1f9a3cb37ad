"""The keys of requests with a side effect that may have run, so that none of them runs a second time."""

from __future__ import annotations

MAX_KEYS = 4096  # the oldest are forgotten first


class ExecutedKeys:
    """A bounded set of keys, in the order in which they were added.

    Failure: a client leaves while its request runs, and sends it once more under the same key.  The first
    request is closed and its key is free, so the second one runs too, and its effect happens twice.

    >>> keys = ExecutedKeys()
    >>> keys.add("a1")
    >>> "a1" in keys, "a2" in keys
    (True, False)
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self._max_keys = max_keys
        self._keys: dict[str, None] = {}

    def __contains__(self, key: str) -> bool:
        return key in self._keys

    def add(self, key: str) -> None:
        """Adds the key of a request that may have run."""
        self._keys[key] = None
        if len(self._keys) > self._max_keys:
            del self._keys[next(iter(self._keys))]
