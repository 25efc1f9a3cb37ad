"""Cuts a prompt into pieces whose tokens, joined in order, are exactly the tokens of the prompt.

A chat prompt is rendered with markers: `<|im_start|>role\\ncontent<|im_end|>\\n` for each message, and the
start of an assistant message at the end.  Markers are special tokens: the tokenizer splits the text at them
first, so that no token spans a marker.  Inside a long message a cut follows a single line feed between two
characters that are not spaces: there the byte-level splitting pattern ends a token in the whole text and in
the piece alike.  If a tokenizer has neither property (`Cuts.NONE`), the prompt is one piece.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import xxhash

START, END = "<|im_start|>", "<|im_end|>"
Messages = list[tuple[str, str]]  # (role, text)


class Cuts(Enum):
    """Where a text can be cut without a change of its tokens."""

    NONE = "none"
    MARKERS = "markers"
    LINES = "lines"  # at markers and at single line feeds


@dataclass(frozen=True, slots=True)
class Piece:
    """A text that is tokenised separately; `key` identifies it within one version of a tokenizer."""

    text: str
    size: int  # bytes of UTF-8
    key: int


def piece(text: str) -> Piece:
    """Makes a piece; a lone surrogate, which no tokenizer accepts, is replaced as engines do."""
    try:
        data = text.encode()
    except UnicodeEncodeError:
        data = text.encode("utf-8", "replace")
        text = data.decode()
    return Piece(text, len(data), xxhash.xxh3_128_intdigest(data))


def render(messages: Messages) -> str:
    """The whole prompt, as an engine receives it.

    >>> render([("user", "hi")])
    '<|im_start|>user\\nhi<|im_end|>\\n<|im_start|>assistant\\n'
    """
    return "".join(f"{START}{role}\n{text}{END}\n" for role, text in messages) + f"{START}assistant\n"


def cut(messages: Messages, cuts: Cuts, longest: int) -> list[Piece]:
    """Cuts a prompt into pieces of about `longest` characters, where it can be cut.

    A message and its opening and closing markers are in the same pieces, so that the same message gives the
    same pieces at any position.

    >>> [one.text for one in cut([("user", "hi")], Cuts.MARKERS, 100)]
    ['<|im_start|>user\\nhi<|im_end|>', '\\n<|im_start|>assistant\\n']
    """
    if cuts is Cuts.NONE:
        return [piece(render(messages))]
    pieces: list[Piece] = []
    for index, (role, text) in enumerate(messages):
        rendered = ("\n" if index else "") + f"{START}{role}\n{text}{END}"
        pieces += [
            piece(part) for part in (_split_lines(rendered, longest) if cuts is Cuts.LINES else [rendered])
        ]
    return [*pieces, piece(("\n" if messages else "") + f"{START}assistant\n")]


def _split_lines(text: str, longest: int) -> list[str]:
    """Cuts at the first possible position after each `longest` characters.

    Cuts are searched from the start, so that a text that grows at its end keeps its pieces.  The search is a
    plain `find`, because a text of megabytes without a line feed must not block the reactor.
    """
    parts, start, position = [], 0, longest - 1
    while (position := text.find("\n", position + 1)) >= 0:
        if position + 1 < len(text) and not text[position - 1].isspace() and not text[position + 1].isspace():
            parts.append(text[start : position + 1])
            start = position + 1
            position += longest - 1
    return [*parts, text[start:]]
