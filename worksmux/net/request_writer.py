"""Encodes an HTTP/1.1 request and writes it to a transport."""

from __future__ import annotations

from collections.abc import Iterable

from .loop import Transport

Headers = Iterable[tuple[str, str]]


def encode_request(method: str, path: str, host: str, headers: Headers = (), body: bytes = b"") -> bytes:
    """Returns the head and the body; a POST always has a Content-Length header."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *(f"{name}: {value}" for name, value in headers)]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n" + body


class RequestWriter:
    """A pull producer (`IPullProducer`) that writes one request.

    `written` becomes true when the last byte has left the transport's buffer.  Before that the remote side
    cannot have executed the request, since it has not received Content-Length bytes.
    """

    def __init__(self, transport: Transport, data: bytes) -> None:
        self.written = False
        self._transport = transport
        self._data = data
        transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Called by the transport when its buffer is empty."""
        data, self._data = self._data, b""
        if data:
            self._transport.write(data)
        else:
            self.written = True
            self._transport.unregisterProducer()

    def stopProducing(self) -> None:
        """Does nothing: `Connection.connectionLost` handles the loss of the connection."""
