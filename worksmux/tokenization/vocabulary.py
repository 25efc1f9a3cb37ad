"""A tokenizer in the published `tokenizer.json` form: loaded, checked, and where it can be cut."""

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
    """A file that is no usable tokenizer, with the reason."""


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
        return Tokenizer.from_str(self.text)


def tokens(tokenizer: Tokenizer, text: str) -> bytes:
    """The ids of a text, packed as native unsigned ints."""
    clean = text.encode("utf-8", "replace").decode()  # a lone surrogate cannot be tokenised; engines see "?"
    return array("I", tokenizer.encode(clean, add_special_tokens=False).ids).tobytes()


def load(path: str | Path) -> Vocabulary:
    """Reads and tries a tokenizer file.

    Raises TokenizerFormatError where it is unreadable, half written or of no use.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise TokenizerFormatError(f"{path}: cannot be read: {error.strerror}") from error
    try:
        text = data.decode()
        form: dict[str, Any] = json.loads(text)
        tokenizer = Tokenizer.from_str(text)
        tokenizer.encode("try")
    except Exception as error:  # the library raises bare exceptions
        raise TokenizerFormatError(f"{path}: is no whole tokenizer.json: {str(error)[:200]}") from error
    for marker in (START, END):
        if tokenizer.token_to_id(marker) is None:
            raise TokenizerFormatError(f"{path}: has no token {marker}, which the chat template needs")
    vocabulary = tokenizer.get_vocab()
    byte_level = _byte_level(form)
    longest = max(len(token) if byte_level else len(token.encode()) for token in vocabulary)
    return Vocabulary(
        str(path),
        xxhash.xxh3_64_intdigest(data),
        text,
        _cuts(form, tokenizer, byte_level),
        longest,
        len(vocabulary),
    )


def _byte_level(form: dict[str, Any]) -> bool:
    """Whether every token covers a byte at least and the usual pattern splits the text."""
    splitter = form.get("pre_tokenizer") or {}
    return bool(
        form["model"].get("type") == "BPE"
        and splitter.get("type") == "ByteLevel"
        and not splitter.get("add_prefix_space")
        and splitter.get("use_regex", True)
        and not form.get("normalizer")
    )


def _cuts(form: dict[str, Any], tokenizer: Tokenizer, byte_level: bool) -> Cuts:
    """Cuts that the form promises and that hold on every sample; a file that promises falsely is not cut."""
    markers = {token["content"]: token for token in form.get("added_tokens", [])}
    plain = all(
        marker in markers
        and markers[marker]["special"]
        and not any(markers[marker].get(flag) for flag in ("lstrip", "rstrip", "single_word", "normalized"))
        for marker in (START, END)
    )
    if not plain:
        return Cuts.NONE
    messages = [("system", "\n".join(SAMPLES.values())), *(("user", text) for text in SAMPLES.values())]
    whole = tokens(tokenizer, render(messages))
    for cuts in ([Cuts.LINES] if byte_level else []) + [Cuts.MARKERS]:
        if whole == b"".join(tokens(tokenizer, one.text) for one in cut(messages, cuts, 40)):
            return cuts
    return Cuts.NONE
