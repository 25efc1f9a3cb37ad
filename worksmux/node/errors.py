"""Errors of the node package."""

from __future__ import annotations

from ..errors import WorksmuxError


class NodeError(WorksmuxError):
    """Base of this package's errors."""


class ConfigError(NodeError):
    """An invalid configuration; one line with the file or variable, the place, and what was expected."""


class InvalidRequestError(NodeError):
    """An invalid client request, which is answered with `status` and `reason`."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class CorruptStreamError(NodeError):
    """Invalid data in an engine's stream; `intact` has the complete events before it, not relayed yet."""

    def __init__(self, reason: str, intact: bytes = b"") -> None:
        super().__init__(reason)
        self.intact = intact
