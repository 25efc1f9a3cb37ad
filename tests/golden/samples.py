"""Sample values of any message type, derived from the type alone: equal layouts give equal bytes."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import inspect

UNION_VARIANTS = 8  # samples of a type with a union cover at most this many of its members
MAX_DEPTH = 6  # nesting at which lists and maps are left empty


class SampleBuilder:
    """Builds a value of a type from built-in types.

    Each scalar is the next value of a counter, so that swapped fields change the bytes.
    """

    def __init__(self, variant: int) -> None:
        self._variant = variant
        self._count = 0

    def _next(self) -> int:
        self._count += 1
        return self._count

    def build(self, kind: Any, depth: int = 0) -> Any:
        """Returns a value for a type description of msgspec."""
        match kind:
            case inspect.StructType():
                return self._struct(kind, depth)
            case inspect.UnionType(types=types):
                return self.build(types[self._variant % len(types)], depth)
            case inspect.DictType(key_type=key, value_type=value):
                return {self.build(key, depth): self.build(value, depth + 1)} if depth < MAX_DEPTH else {}
            case inspect.ListType(item_type=item) | inspect.VarTupleType(item_type=item):
                return [self.build(item, depth + 1)] if depth < MAX_DEPTH else []
            case inspect.TupleType(item_types=items):
                return [self.build(item, depth + 1) for item in items]
            case inspect.LiteralType(values=values):
                return values[self._variant % len(values)]
            case inspect.EnumType(cls=enum):
                members = list(enum)
                return members[self._variant % len(members)].value
            case inspect.BoolType():
                return self._next() % 2 == 0
            case inspect.IntType():
                return self._next()
            case inspect.FloatType():
                return self._next() + 0.5
            case inspect.BytesType():
                return b"b%d" % self._next()
            case inspect.StrType():
                return f"s{self._next()}"
            case inspect.NoneType():
                return None
            case inspect.AnyType() | inspect.RawType():
                return self._next()
        raise TypeError(f"cannot build a sample: unsupported type {kind!r}")

    def _struct(self, kind: inspect.StructType, depth: int) -> Any:
        values = {field.encode_name: self.build(field.type, depth + 1) for field in kind.fields}
        if kind.array_like:
            return ([kind.tag] if kind.tag_field else []) + list(values.values())
        if kind.tag_field:
            return {kind.tag_field: kind.tag, **values}
        return values


def samples(cls: type[msgspec.Struct]) -> list[msgspec.Struct]:
    """Returns a value of the type for each variant of its unions, without duplicates."""
    values: list[msgspec.Struct] = []
    for variant in range(UNION_VARIANTS):
        plain = SampleBuilder(variant).build(inspect.type_info(cls))
        value = msgspec.msgpack.decode(msgspec.msgpack.encode(plain), type=cls)
        if value not in values:
            values.append(value)
    return values


def encodings(cls: type[msgspec.Struct]) -> list[list[str]]:
    """Returns MessagePack (hexadecimal) and JSON of each sample."""
    rows = []
    for value in samples(cls):
        packed = msgspec.msgpack.encode(value)
        assert msgspec.msgpack.encode(msgspec.msgpack.decode(packed, type=cls)) == packed
        rows.append([packed.hex(), msgspec.json.encode(value).decode()])
    return rows
