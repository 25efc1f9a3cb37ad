"""The errors of a node."""

from __future__ import annotations

from ..errors import WorksmuxError


class NodeError(WorksmuxError):
    """Base of this package's errors."""


class ConfigError(NodeError):
    """The configuration is wrong; one line with the file or variable, the place in it, and what was
    expected."""


class InvalidRequestError(NodeError):
    """A client's request is rejected before it is accepted; `status` and `reason` stand in the answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class CorruptStreamError(NodeError):
    """An engine's stream holds what is no event; `intact` are the whole events before it that were not
    relayed."""

    def __init__(self, reason: str, intact: bytes = b"") -> None:
        super().__init__(reason)
        self.intact = intact
