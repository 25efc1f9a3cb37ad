"""A worker process that tokenises: frames on standard input, frames on standard output, until its input ends.

A frame is its length in four bytes, then a message in MessagePack.  A worker keeps every version it was
given; the front tells it which to forget.
"""

from __future__ import annotations

import os
import sys
from typing import Any, BinaryIO

import msgspec

HEAD = 4


class Load(msgspec.Struct, tag="load"):
    """A version of a tokenizer, to be used from now on."""

    version: int
    text: str


class Forget(msgspec.Struct, tag="forget"):
    version: int


class Count(msgspec.Struct, tag="count"):
    """Texts to tokenise."""

    number: int
    version: int
    texts: list[str]
    most: int  # ids of one text that are wanted back; a giant's are not worth moving


class Counted(msgspec.Struct):
    """The packed ids of each text, and how many more it has than were wanted; empty with an error.  Number 0
    says that a version is loaded."""

    number: int
    version: int
    ids: list[bytes] = []
    more: list[int] = []
    error: str = ""


ENCODE = msgspec.msgpack.Encoder()
READ_ORDER = msgspec.msgpack.Decoder(Load | Forget | Count)
READ_COUNTED = msgspec.msgpack.Decoder(Counted)


def frame(message: Any) -> bytes:
    data = ENCODE.encode(message)
    return len(data).to_bytes(HEAD, "little") + data


class Frames:
    """Gathers frames from pieces cut anywhere.

    >>> frames = Frames()
    >>> frames.feed(b"\\x02\\0\\0"), frames.feed(b"\\0ab\\x01\\0\\0\\0c")
    ([], [b'ab', b'c'])
    """

    def __init__(self) -> None:
        self._rest = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        self._rest += data
        found, at = [], 0
        while len(self._rest) - at >= HEAD:
            size = int.from_bytes(self._rest[at : at + HEAD], "little")
            if len(self._rest) - at - HEAD < size:
                break
            found.append(bytes(self._rest[at + HEAD : at + HEAD + size]))
            at += HEAD + size
        del self._rest[:at]
        return found


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    from tokenizers import Tokenizer

    from .blocks import WIDTH
    from .vocabulary import tokens

    loaded: dict[int, Tokenizer] = {}
    while len(head := source.read(HEAD)) == HEAD:
        data = source.read(int.from_bytes(head, "little"))
        match READ_ORDER.decode(data):
            case Load(version, text):
                loaded[version] = Tokenizer.from_str(text)
                sink.write(frame(Counted(0, version)))
                sink.flush()
            case Forget(version):
                loaded.pop(version, None)
            case Count(number, version, texts, most):
                try:
                    ids = [tokens(loaded[version], text) for text in texts]
                    more = [max(0, len(one) // WIDTH - most) for one in ids]
                    told = Counted(number, version, [one[: most * WIDTH] for one in ids], more)
                except Exception as error:  # the library raises bare exceptions
                    told = Counted(number, version, error=f"{type(error).__name__}: {error}")
                sink.write(frame(told))
                sink.flush()


if __name__ == "__main__":
    os.environ["TOKENIZERS_PARALLELISM"] = "false"
    serve(sys.stdin.buffer, sys.stdout.buffer)
