"""Parses values with units in settings: durations, sizes and addresses."""

from __future__ import annotations

import re

MS_BY_UNIT = {"us": 0.001, "ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0, "d": 86_400_000.0}
BYTES_BY_UNIT = {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30, "kB": 10**3, "MB": 10**6, "GB": 10**9}
NUMBER_WITH_UNIT = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)\s*")


def _parse_unit(text: object, units: dict[str, float] | dict[str, int], example: str) -> float:
    match = NUMBER_WITH_UNIT.fullmatch(text) if isinstance(text, str) else None
    if match is None or match[2] not in units:
        raise ValueError(f'expected a number with one of the units {", ".join(units)}, such as "{example}"')
    return float(match[1]) * units[match[2]]


def milliseconds(text: object) -> float:
    """Parses a duration such as "250ms" or "1.5s" into milliseconds.

    >>> milliseconds("1.5s"), milliseconds("2 min")
    (1500.0, 120000.0)
    >>> milliseconds(250)
    Traceback (most recent call last):
    ValueError: expected a number with one of the units us, ms, s, min, h, d, such as "250ms"
    """
    return _parse_unit(text, MS_BY_UNIT, "250ms")


def size(text: object) -> int:
    """Parses a size such as "2MiB" into bytes.

    >>> size("2KiB")
    2048
    """
    return int(_parse_unit(text, BYTES_BY_UNIT, "2MiB"))


def address(text: object) -> tuple[str, int]:
    """Parses a host and port such as "127.0.0.1:8080"; with port 0 the operating system chooses one.

    >>> address("127.0.0.1:0")
    ('127.0.0.1', 0)
    """
    if isinstance(text, str):
        host, _, port = text.rpartition(":")
        if host and port.isascii() and port.isdigit() and int(port) < 65536:
            return host, int(port)
    raise ValueError('expected an address with a port below 65536, such as "127.0.0.1:8080"')
