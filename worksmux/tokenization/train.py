"""Trains the project's own small byte-level BPE vocabularies: `python -m worksmux.tokenization.train FOLDER`.

Tests and scenarios use them in place of a model's published `tokenizer.json`.  There are two, so that a
change of version can be tested.  Training is deterministic for one version of the library.
"""

from __future__ import annotations

import sys
from pathlib import Path

from tokenizers import AddedToken, Tokenizer, decoders, models, pre_tokenizers, trainers

from .samples import corpus

MARKERS = ["<|im_start|>", "<|im_end|>"]
VERSIONS = {"lab-1": (900, 3), "lab-2": (1400, 6)}  # size of the vocabulary, rounds over the texts


def train(size: int, rounds: int) -> Tokenizer:
    """Trains a vocabulary of `size` tokens on the samples."""
    tokenizer = Tokenizer(models.BPE())
    tokenizer.pre_tokenizer = pre_tokenizers.ByteLevel(add_prefix_space=False)
    tokenizer.decoder = decoders.ByteLevel()
    trainer = trainers.BpeTrainer(  # type: ignore[no-untyped-call]
        vocab_size=size,
        show_progress=False,
        initial_alphabet=pre_tokenizers.ByteLevel.alphabet(),
        special_tokens=[AddedToken(marker, special=True, normalized=False) for marker in MARKERS],
    )
    tokenizer.train_from_iterator(corpus(rounds), trainer)
    return tokenizer


def main(folder: Path) -> None:
    """Trains each version and saves it in `folder`."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, (size, rounds) in VERSIONS.items():
        train(size, rounds).save(str(folder / f"{name}.json"))
        print(f"{folder / name}.json: {size} tokens")


if __name__ == "__main__":
    main(Path(sys.argv[1] if len(sys.argv) > 1 else "examples/tokenizers"))
