"""`worksmux tokens`: count, explain and bench a tokenizer file as the front uses it."""

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
from ..tokenization.blocks import chain
from ..tokenization.cache import TinyLfuCache
from ..tokenization.pieces import cut, render
from ..tokenization.samples import SAMPLES
from ..tokenization.vocabulary import TokenizerFormatError, Vocabulary, load
from ..tokenization.vocabulary import tokens as ids_of

PIECE, WIDTH = 4000, array("I").itemsize
tokens = typer.Typer(no_args_is_help=True, help="Count prompts as a front does, and see why.")
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
    """A file of messages, or any text as one message of a user."""
    try:
        text = path.read_text(encoding="utf-8") if path else sys.stdin.read()
    except (OSError, UnicodeDecodeError) as error:
        typer.echo(f"{path}: cannot be read: {error}", err=True)
        raise typer.Exit(2) from error
    try:
        told = json.loads(text)
        return [(one["role"], text_of(one["content"])) for one in told]
    except (ValueError, TypeError, KeyError):
        return [("user", text)]


@tokens.command()
def count(tokenizer: Tokenizer, file: Texts = None) -> None:
    """Print how many tokens an engine would be given, markers included."""
    vocabulary = _open(tokenizer)
    opened = vocabulary.open()
    pieces = cut(_messages(file), vocabulary.cuts, PIECE)
    typer.echo(sum(len(ids_of(opened, one.text)) for one in pieces) // WIDTH)


@tokens.command()
def explain(tokenizer: Tokenizer, file: Texts = None, piece: int = 2000, block: int = 64) -> None:
    """Show a prompt's pieces, their tokens, what bounds them, and the blocks they make."""
    vocabulary = _open(tokenizer)
    opened = vocabulary.open()
    table = Table(
        title=f"{vocabulary.path}: version {vocabulary.version:016x}, {vocabulary.size} tokens, cut at "
        f"{vocabulary.cuts.value}"
    )
    for name in ("piece", "begins with", "bytes", "least", "tokens", "most"):
        table.add_column(name, justify="left" if name == "begins with" else "right")
    whole = b""
    for at, one in enumerate(cut(_messages(file), vocabulary.cuts, piece)):
        ids = ids_of(opened, one.text)
        whole += ids
        table.add_row(
            str(at + 1),
            repr(one.text[:40]),
            str(one.size),
            str(-(-one.size // vocabulary.longest_token)),
            str(len(ids) // WIDTH),
            str(one.size),
        )
    Console(highlight=False).print(table)
    hashes = chain(whole, block, vocabulary.version)
    typer.echo(
        f"{len(whole) // WIDTH} tokens, {len(hashes)} whole blocks of {block}"
        + (f", the last {hashes[-1]:016x}" if hashes else "")
    )


@tokens.command()
def bench(tokenizer: Tokenizer, seconds: float = 3.0) -> None:
    """Compare counting each prompt whole with cutting and keeping, on sessions that grow."""
    import random
    import time

    vocabulary = _open(tokenizer)
    opened, chance = vocabulary.open(), random.Random(1)
    shared = [" ".join(chance.choices(list(SAMPLES.values()), k=12)) for _ in range(20)]
    rates = {}
    for kept in (False, True):
        cache, done, start = TinyLfuCache(1 << 25), 0, time.perf_counter()
        while time.perf_counter() - start < seconds:
            messages = [("system", chance.choice(shared))]
            for _ in range(3):
                messages.append(("user", f"{chance.random()} " + chance.choice(list(SAMPLES.values()))))
                if kept:
                    for one in cut(messages, vocabulary.cuts, PIECE):
                        if cache.get(one.key) is None:
                            cache.put(one.key, ids_of(opened, one.text))
                else:
                    ids_of(opened, render(messages))
                done += 1
        rates[kept] = done / (time.perf_counter() - start)
    typer.echo(f"whole: 1.00; cut and kept: {rates[True] / rates[False]:.2f} times as many prompts a second")
