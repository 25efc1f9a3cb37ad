"""A worker process that tokenises texts until its standard input ends.

It reads frames from standard input and writes frames to standard output.  A frame is its length in four
bytes, then a message in MessagePack.  A worker keeps every version of a tokenizer that it has received, until
the gateway tells it to forget the version.
"""

from __future__ import annotations

import os
import sys
from typing import Any, BinaryIO

import msgspec

HEADER_BYTES = 4


class Load(msgspec.Struct, tag="load"):
    """Adds a version of a tokenizer."""

    version: int
    text: str


class Forget(msgspec.Struct, tag="forget"):
    """Removes a version of a tokenizer."""

    version: int


class Count(msgspec.Struct, tag="count"):
    """Requests the token ids of texts."""

    number: int
    version: int
    texts: list[str]
    most: int  # ids of one text to return; those of a very long text are not worth transferring


class Counted(msgspec.Struct):
    """The packed ids of each text, and how many more ids it has than are returned.

    Both lists are empty with an error.  Number 0 confirms that a version is loaded.
    """

    number: int
    version: int
    ids: list[bytes] = []
    more: list[int] = []
    error: str = ""


ENCODE = msgspec.msgpack.Encoder()
DECODE_REQUEST = msgspec.msgpack.Decoder(Load | Forget | Count)
DECODE_COUNTED = msgspec.msgpack.Decoder(Counted)


def frame(message: Any) -> bytes:
    """Encodes a message as a frame."""
    data = ENCODE.encode(message)
    return len(data).to_bytes(HEADER_BYTES, "little") + data


class Frames:
    """Collects frames from data that arrives in arbitrary pieces.

    >>> frames = Frames()
    >>> frames.feed(b"\\x02\\0\\0"), frames.feed(b"\\0ab\\x01\\0\\0\\0c")
    ([], [b'ab', b'c'])
    """

    def __init__(self) -> None:
        self._rest = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Takes received data; returns the messages of the frames that are complete now."""
        self._rest += data
        messages, offset = [], 0
        while len(self._rest) - offset >= HEADER_BYTES:
            size = int.from_bytes(self._rest[offset : offset + HEADER_BYTES], "little")
            if len(self._rest) - offset - HEADER_BYTES < size:
                break
            messages.append(bytes(self._rest[offset + HEADER_BYTES : offset + HEADER_BYTES + size]))
            offset += HEADER_BYTES + size
        del self._rest[:offset]
        return messages


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers the messages from `source` on `sink` until `source` ends."""
    from tokenizers import Tokenizer

    from .blocks import WIDTH
    from .vocabulary import tokens

    loaded: dict[int, Tokenizer] = {}
    while len(head := source.read(HEADER_BYTES)) == HEADER_BYTES:
        data = source.read(int.from_bytes(head, "little"))
        match DECODE_REQUEST.decode(data):
            case Load(version, text):
                loaded[version] = Tokenizer.from_str(text)
                sink.write(frame(Counted(0, version)))
                sink.flush()
            case Forget(version):
                loaded.pop(version, None)
            case Count(number, version, texts, most):
                try:
                    ids = [tokens(loaded[version], text) for text in texts]
                    more = [max(0, len(packed) // WIDTH - most) for packed in ids]
                    reply = Counted(number, version, [packed[: most * WIDTH] for packed in ids], more)
                except Exception as error:  # the library raises bare exceptions
                    reply = Counted(number, version, error=f"{type(error).__name__}: {error}")
                sink.write(frame(reply))
                sink.flush()


if __name__ == "__main__":
    os.environ["TOKENIZERS_PARALLELISM"] = "false"
    serve(sys.stdin.buffer, sys.stdout.buffer)
