"""Messages and stored records keep their bytes when their types are renamed in the code.

After a change of a field name or tag, processes of two versions could not read each other's messages, and
a new version could not read the files of an old one. `tests/golden/forms.json` was written before any rename.
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
RAW_JSON = {"node/protocol/Body"}  # has a field of raw JSON, for which samples have no valid text


def struct_type(path: str) -> type[msgspec.Struct]:
    """Returns the struct that a path such as "module:Class" names."""
    module, _, name = path.partition(":")
    cls = getattr(importlib.import_module(module), name)
    assert issubclass(cls, msgspec.Struct)
    return cls


@pytest.mark.parametrize("name", sorted(PINNED))
def test_type_encodes_to_the_pinned_bytes(name: str) -> None:
    assert encodings(struct_type(FORMS[name])) == PINNED[name]


@pytest.mark.parametrize("name", sorted(PINNED))
def test_pinned_bytes_decode_and_encode_to_themselves(name: str) -> None:
    for packed, text in PINNED[name]:
        cls = struct_type(FORMS[name])
        assert msgspec.msgpack.encode(msgspec.msgpack.decode(bytes.fromhex(packed), type=cls)).hex() == packed
        if name not in RAW_JSON:
            assert msgspec.json.encode(msgspec.json.decode(text, type=cls)).decode() == text


def test_every_struct_of_the_program_is_pinned() -> None:
    for module in pkgutil.walk_packages(worksmux.__path__, "worksmux."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    pinned = {struct_type(path) for path in FORMS.values()}
    assert set(FORMS) == set(PINNED)
    seen, waiting = set(), list(msgspec.Struct.__subclasses__())
    while waiting:
        cls = waiting.pop()
        waiting += cls.__subclasses__()
        if cls.__module__.startswith("worksmux."):
            seen.add(cls)
    assert {cls for cls in seen if cls not in pinned} == set()
