"""Error bodies in the chat API's published form: {"error": {"message", "type", "param", "code"}}."""

from __future__ import annotations

import msgspec

from ..errors import WorksmuxError


class ErrorBody(msgspec.Struct):
    """An error, described for people (`message`) and for programs (`type`, `param`, `code`)."""

    message: str
    type: str
    param: str | None = None
    code: str | None = None


class ErrorReply(msgspec.Struct):
    """The body of an answer with an error status."""

    error: ErrorBody


class InvalidRequestError(WorksmuxError):
    """A client's request is invalid; has the status and the body of the answer."""

    def __init__(
        self, message: str, param: str | None = None, code: str | None = None, status: int = 400
    ) -> None:
        super().__init__(message)
        self.status = status
        self.body = error(message, "invalid_request_error", param, code)


def error(message: str, kind: str, param: str | None = None, code: str | None = None) -> bytes:
    """Encodes an error body; `kind` is its `type`.

    >>> error("no", "server_error", code="deferred")
    b'{"error":{"message":"no","type":"server_error","param":null,"code":"deferred"}}'
    """
    return msgspec.json.encode(ErrorReply(ErrorBody(message, kind, param, code)))


def message_of(body: bytes) -> str:
    """The message of an error body; empty if the body has another form."""
    try:
        return msgspec.json.decode(body, type=ErrorReply).error.message
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ""


def code_of(body: bytes) -> str:
    """The code of an error body; empty if it has none or the body has another form.

    >>> code_of(error("", "", code="state_lost")), code_of(b"{")
    ('state_lost', '')
    """
    try:
        return msgspec.json.decode(body, type=ErrorReply).error.code or ""
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ""
