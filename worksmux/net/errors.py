"""Errors of HTTP client calls; they tell whether the request may have been executed."""

from __future__ import annotations

from ..errors import WorksmuxError


class CallError(WorksmuxError):
    """A call ended without a complete response."""


class NotSentError(CallError):
    """The request was not executed: the connection failed, or ended before the last byte was written."""


class ConnectRefusedError(NotSentError):
    """The remote host refused the connection: nothing listens on the port."""


class ConnectionBrokenError(CallError):
    """The connection ended after the request was written: the remote side may have executed it."""


class BufferLimitError(CallError):
    """Responses that are not complete exceed the limit of all connections; this one was discarded.

    The remote side may have executed the request.
    """


class MalformedResponseError(CallError):
    """The response violates HTTP/1.1 or exceeds a limit; the remote side may have executed the request."""
