"""Defines `worksmux tokens`: counts prompts as a gateway does, explains the count, and measures its speed."""

from __future__ import annotations

import json
import sys
from array import array
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from ..api.chat import text_of
from ..tokenization.blocks import block_hashes
from ..tokenization.cache import TinyLfuCache
from ..tokenization.pieces import cut, render
from ..tokenization.samples import SAMPLES
from ..tokenization.vocabulary import TokenizerFormatError, Vocabulary, load
from ..tokenization.vocabulary import tokens as ids_of

PIECE_CHARACTERS, WIDTH = 4000, array("I").itemsize
tokens = typer.Typer(no_args_is_help=True, help="Count prompts as a gateway does, and show how.")
Tokenizer = Annotated[Path, typer.Argument(help="a tokenizer.json", metavar="TOKENIZER.json")]
Texts = Annotated[
    Path | None,
    typer.Argument(
        help='a text, or messages as JSON ([{"role": ..., "content": ...}]); standard input if absent'
    ),
]


def _open(path: Path) -> Vocabulary:
    try:
        return load(path)
    except TokenizerFormatError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from error


def _messages(path: Path | None) -> list[tuple[str, str]]:
    """The messages of a JSON file; any other text is one message of a user."""
    try:
        text = path.read_text(encoding="utf-8") if path else sys.stdin.read()
    except (OSError, UnicodeDecodeError) as error:
        typer.echo(f"{path}: cannot be read: {error}", err=True)
        raise typer.Exit(2) from error
    try:
        messages = json.loads(text)
        return [(message["role"], text_of(message["content"])) for message in messages]
    except (ValueError, TypeError, KeyError):
        return [("user", text)]


@tokens.command()
def count(tokenizer: Tokenizer, file: Texts = None) -> None:
    """Print how many tokens an engine would receive, including the markers."""
    vocabulary = _open(tokenizer)
    opened = vocabulary.open()
    pieces = cut(_messages(file), vocabulary.cuts, PIECE_CHARACTERS)
    typer.echo(sum(len(ids_of(opened, piece.text)) for piece in pieces) // WIDTH)


@tokens.command()
def explain(tokenizer: Tokenizer, file: Texts = None, piece: int = 2000, block: int = 64) -> None:
    """Show the pieces of a prompt, their tokens, the bounds of the count, and the prefix blocks."""
    vocabulary = _open(tokenizer)
    opened = vocabulary.open()
    table = Table(
        title=f"{vocabulary.path}: version {vocabulary.version:016x}, {vocabulary.size} tokens, cut at "
        f"{vocabulary.cuts.value}"
    )
    for name in ("piece", "begins with", "bytes", "min", "tokens", "max"):
        table.add_column(name, justify="left" if name == "begins with" else "right")
    all_ids = b""
    for index, part in enumerate(cut(_messages(file), vocabulary.cuts, piece)):
        ids = ids_of(opened, part.text)
        all_ids += ids
        table.add_row(
            str(index + 1),
            repr(part.text[:40]),
            str(part.size),
            str(-(-part.size // vocabulary.longest_token)),
            str(len(ids) // WIDTH),
            str(part.size),
        )
    Console(highlight=False).print(table)
    hashes = block_hashes(all_ids, block, vocabulary.version)
    typer.echo(
        f"{len(all_ids) // WIDTH} tokens, {len(hashes)} complete blocks of {block}"
        + (f", the last {hashes[-1]:016x}" if hashes else "")
    )


@tokens.command()
def bench(tokenizer: Tokenizer, seconds: float = 3.0) -> None:
    """Compare counting whole prompts with counting cached pieces, on sessions that grow."""
    import random
    import time

    vocabulary = _open(tokenizer)
    opened, random_source = vocabulary.open(), random.Random(1)
    shared = [" ".join(random_source.choices(list(SAMPLES.values()), k=12)) for _ in range(20)]
    rates = {}
    for cached in (False, True):
        cache, done, start = TinyLfuCache(1 << 25), 0, time.perf_counter()
        while time.perf_counter() - start < seconds:
            messages = [("system", random_source.choice(shared))]
            for _ in range(3):
                messages.append(
                    ("user", f"{random_source.random()} " + random_source.choice(list(SAMPLES.values())))
                )
                if cached:
                    for piece in cut(messages, vocabulary.cuts, PIECE_CHARACTERS):
                        if cache.get(piece.key) is None:
                            cache.put(piece.key, ids_of(opened, piece.text))
                else:
                    ids_of(opened, render(messages))
                done += 1
        rates[cached] = done / (time.perf_counter() - start)
    typer.echo(
        f"whole prompts: 1.00; cached pieces: {rates[True] / rates[False]:.2f} times as many prompts a second"
    )
