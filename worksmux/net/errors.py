"""Errors of HTTP client calls: whose fault it was, and whether the request may have been executed."""

from __future__ import annotations

from ..errors import WorksmuxError


class CallError(WorksmuxError):
    """A call that brought no complete response."""


class NotSentError(CallError):
    """Nobody executed the request: no connection came up, or it ended before the last byte was written."""


class ConnectRefusedError(NotSentError):
    """The remote host answered that nothing listens on the port."""


class ConnectionBrokenError(CallError):
    """The connection ended after the request was written: the remote side may have executed it."""


class MalformedResponseError(CallError):
    """The remote side's fault: the response breaks HTTP/1.1 or exceeds a bound.  It may have executed the
    request."""
