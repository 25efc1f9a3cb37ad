"""Loads a tokenizer from the published `tokenizer.json` format, and finds where it allows cuts."""

from __future__ import annotations

import json
from array import array
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import xxhash
from tokenizers import Tokenizer

from ..errors import WorksmuxError
from .pieces import END, START, Cuts, cut, render
from .samples import SAMPLES


class TokenizerFormatError(WorksmuxError):
    """A file is not a usable tokenizer."""


@dataclass(frozen=True)
class Vocabulary:
    """One version of a tokenizer; `version` is the hash of its file."""

    path: str
    version: int
    text: str
    cuts: Cuts
    longest_token: int  # bytes
    size: int

    def open(self) -> Tokenizer:
        """A new tokenizer with this vocabulary."""
        return Tokenizer.from_str(self.text)


def tokens(tokenizer: Tokenizer, text: str) -> bytes:
    """The token ids of a text, packed as native unsigned ints."""
    clean = text.encode(
        "utf-8", "replace"
    ).decode()  # a lone surrogate cannot be tokenised; engines replace it with "?"
    return array("I", tokenizer.encode(clean, add_special_tokens=False).ids).tobytes()


def load(path: str | Path) -> Vocabulary:
    """Reads and checks a tokenizer file.

    Raises TokenizerFormatError if the file is unreadable, incomplete or unusable.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise TokenizerFormatError(f"{path}: cannot be read: {error.strerror}") from error
    try:
        text = data.decode()
        document: dict[str, Any] = json.loads(text)
        tokenizer = Tokenizer.from_str(text)
        tokenizer.encode("try")
    except Exception as error:  # the library raises bare exceptions
        raise TokenizerFormatError(f"{path}: not a complete tokenizer.json: {str(error)[:200]}") from error
    for marker in (START, END):
        if tokenizer.token_to_id(marker) is None:
            raise TokenizerFormatError(f"{path}: has no token {marker}, which the chat template needs")
    vocabulary = tokenizer.get_vocab()
    byte_level = _byte_level(document)
    longest = max(len(token) if byte_level else len(token.encode()) for token in vocabulary)
    return Vocabulary(
        str(path),
        xxhash.xxh3_64_intdigest(data),
        text,
        _cuts(document, tokenizer, byte_level),
        longest,
        len(vocabulary),
    )


def _byte_level(document: dict[str, Any]) -> bool:
    """Whether every token covers at least one byte and the usual byte-level pattern splits the text."""
    splitter = document.get("pre_tokenizer") or {}
    return bool(
        document["model"].get("type") == "BPE"
        and splitter.get("type") == "ByteLevel"
        and not splitter.get("add_prefix_space")
        and splitter.get("use_regex", True)
        and not document.get("normalizer")
    )


def _cuts(document: dict[str, Any], tokenizer: Tokenizer, byte_level: bool) -> Cuts:
    """The cuts that the document allows and that leave the tokens of every sample unchanged.

    If a document allows cuts that change the tokens, prompts are not cut.
    """
    markers = {token["content"]: token for token in document.get("added_tokens", [])}
    markers_usable = all(
        marker in markers
        and markers[marker]["special"]
        and not any(markers[marker].get(flag) for flag in ("lstrip", "rstrip", "single_word", "normalized"))
        for marker in (START, END)
    )
    if not markers_usable:
        return Cuts.NONE
    messages = [("system", "\n".join(SAMPLES.values())), *(("user", text) for text in SAMPLES.values())]
    expected = tokens(tokenizer, render(messages))
    for cuts in ([Cuts.LINES] if byte_level else []) + [Cuts.MARKERS]:
        if expected == b"".join(tokens(tokenizer, piece.text) for piece in cut(messages, cuts, 40)):
            return cuts
    return Cuts.NONE
