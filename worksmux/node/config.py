"""What the platform tells a front node at its start: the file that LB_CONFIG names, or single variables."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ..policy.settings import PolicySettings
from ..settings import units
from ..settings.platform import JsonObject, PlatformSettingsError, settings_from
from .endpoint_list import HostList

Address = tuple[str, int]
FILE, NAME, LISTEN, DISCOVERY = "LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY"


class BadConfig(Exception):
    """One line: the file or variable, the place in it, and what was expected."""


class _Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 0.0
    sockets: int = 1024


class _File(msgspec.Struct):
    settings: dict[str, Any]
    name: str | None = None
    listen: str | None = None
    discovery: str | None = None
    seed: str | int = 0
    limits: _Limits = msgspec.field(default_factory=_Limits)
    known: HostList = msgspec.field(default_factory=HostList)


READ = msgspec.json.Decoder(_File)


@dataclass(frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    cores: float  # the part of one core that the node gets
    memory: float  # bytes; 0: no limit is told
    sockets: int  # descriptors in all
    known: HostList  # the list as this node last had it
    settings: PolicySettings  # what the module is given
    request_classes: list[str]
    kinds: list[str]
    zones: list[str]


def address(text: str | None, place: str) -> Address:
    """
    >>> address("127.0.0.1:3000", "listen")
    ('127.0.0.1', 3000)
    >>> address("127.0.0.1", "f: $.listen")
    Traceback (most recent call last):
    worksmux.node.config.BadConfig: f: $.listen: an address host:port was expected, found 127.0.0.1
    """
    if not text:
        raise BadConfig(f"{place}: an address host:port was expected, it is missing")
    try:
        return units.address(text)
    except ValueError:
        raise BadConfig(f"{place}: an address host:port was expected, found {text[:60]}") from None


def _seed(told: str | int, place: str) -> int:
    try:
        return told if isinstance(told, int) else int(told, 16)
    except ValueError:
        raise BadConfig(f"{place}: hexadecimal digits were expected, found {told!r:.40}") from None


def read(data: bytes, place: str, variables: Mapping[str, str]) -> Config:
    """`place` is the file's name, for errors.  What the file leaves out is taken from the variables."""
    try:
        told = READ.decode(data)
        settings = settings_from(told.settings, "$.settings")
        root = JsonObject(told.settings, "$.settings")
        request_classes = [
            JsonObject(one, f"$.settings.services[{at}]").text("name")
            for at, one in enumerate(told.settings["services"])
        ]
        kinds, zones = root.texts("kinds"), root.texts("zones", [])
    except (PlatformSettingsError, msgspec.ValidationError) as error:  # they name the place themselves
        raise BadConfig(f"{place}: {error}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BadConfig(f"{place}: {len(data)} bytes: whole JSON was expected: {error}") from None
    if len(settings.engine_roles) != len(kinds):
        raise BadConfig(f"{place}: $.settings.extra.duty_by_kind: one role a kind was expected, {len(kinds)}")
    name = told.name or variables.get(NAME)
    if not name:
        raise BadConfig(f"{place}: $.name: a name was expected, neither it nor {NAME} is given")
    limits = told.limits
    return Config(
        name,
        address(told.listen or variables.get(LISTEN), f"{place}: $.listen"),
        address(told.discovery or variables.get(DISCOVERY), f"{place}: $.discovery"),
        _seed(told.seed, f"{place}: $.seed"),
        limits.cores,
        limits.memory_mb * 2**20,
        limits.sockets,
        told.known,
        settings,
        request_classes,
        kinds,
        zones,
    )


def load(variables: Mapping[str, str]) -> Config:
    """Raises BadConfig."""
    path = variables.get(FILE)
    if not path:
        raise BadConfig(f"{FILE}: the path of the configuration was expected, the variable is not set")
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise BadConfig(f"{path}: a configuration in JSON was expected: {error.strerror}") from None
    return read(data, path, variables)
