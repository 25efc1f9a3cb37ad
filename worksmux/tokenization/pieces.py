"""Cuts a prompt into pieces whose tokens, one after the other, are exactly the tokens of the whole.  No I/O.

A chat prompt is rendered with markers: `<|im_start|>role\\ncontent<|im_end|>\\n` for each message, and an
opened assistant message at the end.  Markers are special tokens: the tokenizer splits the text at them before
all else, so nothing merges across one.  Inside a long message a cut is made after a single line feed that
stands between two characters that are no space: the byte-level splitting pattern ends a token there in the
whole text and in the part alike.  Where a tokenizer does neither (`Cuts.NONE`), the prompt is one piece.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import xxhash

START, END = "<|im_start|>", "<|im_end|>"
Parts = list[tuple[str, str]]  # (role, text)


class Cuts(Enum):
    """Where a tokenizer can be cut without a change of its tokens."""

    NONE = "none"
    MARKERS = "markers"
    LINES = "lines"  # at markers and at single line feeds


@dataclass(frozen=True, slots=True)
class Piece:
    """A text to be tokenised by itself; `key` is its identity within one version of a tokenizer."""

    text: str
    size: int  # bytes of UTF-8
    key: int


def piece(text: str) -> Piece:
    """A piece; a lone surrogate, which no tokenizer takes, is replaced as engines do."""
    try:
        data = text.encode()
    except UnicodeEncodeError:
        data = text.encode("utf-8", "replace")
        text = data.decode()
    return Piece(text, len(data), xxhash.xxh3_128_intdigest(data))


def render(messages: Parts) -> str:
    """The whole prompt as an engine would be given it.

    >>> render([("user", "hi")])
    '<|im_start|>user\\nhi<|im_end|>\\n<|im_start|>assistant\\n'
    """
    return "".join(f"{START}{role}\n{text}{END}\n" for role, text in messages) + f"{START}assistant\n"


def cut(messages: Parts, cuts: Cuts, longest: int) -> list[Piece]:
    """The prompt in pieces; those of one message are about `longest` characters where it can be cut.

    The opening and closing markers belong to their message, so that the same message is the same piece
    wherever it stands.

    >>> [one.text for one in cut([("user", "hi")], Cuts.MARKERS, 100)]
    ['<|im_start|>user\\nhi<|im_end|>', '\\n<|im_start|>assistant\\n']
    """
    if cuts is Cuts.NONE:
        return [piece(render(messages))]
    found: list[Piece] = []
    for at, (role, text) in enumerate(messages):
        whole = ("\n" if at else "") + f"{START}{role}\n{text}{END}"
        found += [piece(part) for part in (_lines(whole, longest) if cuts is Cuts.LINES else [whole])]
    return [*found, piece(("\n" if messages else "") + f"{START}assistant\n")]


def _lines(text: str, longest: int) -> list[str]:
    """Cuts at the first possible place after each `longest` characters.

    From the front, so that text which grows at its end keeps its pieces; by plain search, as a text of
    megabytes without a line feed must not hold the reactor up.
    """
    parts, start, place = [], 0, longest - 1
    while (place := text.find("\n", place + 1)) >= 0:
        if place + 1 < len(text) and not text[place - 1].isspace() and not text[place + 1].isspace():
            parts.append(text[start : place + 1])
            start = place + 1
            place += longest - 1
    return [*parts, text[start:]]
