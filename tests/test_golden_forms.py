"""Messages and stored records keep their bytes, whatever their types are called in the code.

A renamed field or tag would make processes of two versions talk past each other, and a new version unable to
read the files of the old one. `tests/golden/forms.json` was written before any rename.
"""

from __future__ import annotations

import importlib
import json
import pkgutil
from pathlib import Path

import msgspec
import pytest
from golden.registry import FORMS
from golden.samples import encodings

import worksmux

PINNED: dict[str, list[list[str]]] = json.loads((Path(__file__).parent / "golden" / "forms.json").read_text())
RAW_JSON = {"node/protocol/Body"}  # holds raw JSON, for which a sample has no text


def form(path: str) -> type[msgspec.Struct]:
    module, _, name = path.partition(":")
    found = getattr(importlib.import_module(module), name)
    assert issubclass(found, msgspec.Struct)
    return found


@pytest.mark.parametrize("name", sorted(PINNED))
def test_type_encodes_to_the_pinned_bytes(name: str) -> None:
    assert encodings(form(FORMS[name])) == PINNED[name]


@pytest.mark.parametrize("name", sorted(PINNED))
def test_pinned_bytes_decode_and_encode_to_themselves(name: str) -> None:
    for packed, text in PINNED[name]:
        cls = form(FORMS[name])
        assert msgspec.msgpack.encode(msgspec.msgpack.decode(bytes.fromhex(packed), type=cls)).hex() == packed
        if name not in RAW_JSON:
            assert msgspec.json.encode(msgspec.json.decode(text, type=cls)).decode() == text


def test_every_struct_of_the_program_is_pinned() -> None:
    for module in pkgutil.walk_packages(worksmux.__path__, "worksmux."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    pinned = {form(path) for path in FORMS.values()}
    assert set(FORMS) == set(PINNED)
    seen, waiting = set(), list(msgspec.Struct.__subclasses__())
    while waiting:
        one = waiting.pop()
        waiting += one.__subclasses__()
        if one.__module__.startswith("worksmux."):
            seen.add(one)
    assert {one for one in seen if one not in pinned} == set()
