"""The node's configuration: the file named by LB_CONFIG, with environment variables for missing values."""

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
from .errors import ConfigError

Address = tuple[str, int]  # host and port

FILE_VARIABLE = "LB_CONFIG"
NAME_VARIABLE = "LB_NAME"
LISTEN_VARIABLE = "LB_LISTEN"
DISCOVERY_VARIABLE = "LB_DISCOVERY"
MAX_QUOTED_CHARACTERS = 60  # of an invalid value in an error message


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


FILE_DECODER = msgspec.json.Decoder(_File)


@dataclass(frozen=True)
class Config:
    """The configuration of one node."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    cores: float  # CPU limit in cores, may be below 1
    memory_bytes: float  # 0: no limit is given
    sockets: int  # limit of open file descriptors
    known: HostList  # the last endpoint list of an earlier run
    settings: PolicySettings
    request_classes: list[str]
    kinds: list[str]
    zones: list[str]


def parse_address(text: str | None, place: str) -> Address:
    """Parses an address; `place` is its location for the error message. Raises ConfigError.

    >>> parse_address("127.0.0.1:3000", "listen")
    ('127.0.0.1', 3000)
    >>> parse_address("127.0.0.1", "f: $.listen")
    Traceback (most recent call last):
    worksmux.node.errors.ConfigError: f: $.listen: an address host:port was expected, found 127.0.0.1
    """
    if not text:
        raise ConfigError(f"{place}: an address host:port was expected, but it is missing")
    try:
        return units.address(text)
    except ValueError:
        quoted = text[:MAX_QUOTED_CHARACTERS]
        raise ConfigError(f"{place}: an address host:port was expected, found {quoted}") from None


def _parse_seed(value: str | int, place: str) -> int:
    try:
        return value if isinstance(value, int) else int(value, 16)
    except ValueError:
        raise ConfigError(f"{place}: hexadecimal digits were expected, found {value!r:.40}") from None


def parse_config(data: bytes, place: str, variables: Mapping[str, str]) -> Config:
    """Parses a configuration file; environment variables replace a missing name, `listen` or `discovery`.

    `place` is the file's name for error messages. Raises ConfigError.
    """
    try:
        file = FILE_DECODER.decode(data)
        settings = settings_from(file.settings, "$.settings")
        root = JsonObject(file.settings, "$.settings")
        request_classes = [
            JsonObject(service, f"$.settings.services[{index}]").text("name")
            for index, service in enumerate(file.settings["services"])
        ]
        kinds, zones = root.texts("kinds"), root.texts("zones", [])
    except (PlatformSettingsError, msgspec.ValidationError) as error:  # its text names the place in the file
        raise ConfigError(f"{place}: {error}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError(f"{place}: {len(data)} bytes: whole JSON was expected: {error}") from None
    if len(settings.engine_roles) != len(kinds):
        raise ConfigError(
            f"{place}: $.settings.extra.duty_by_kind: {len(kinds)} roles were expected, one per kind"
        )
    name = file.name or variables.get(NAME_VARIABLE)
    if not name:
        raise ConfigError(f"{place}: $.name: a name was expected, but neither it nor {NAME_VARIABLE} is set")
    listen = file.listen or variables.get(LISTEN_VARIABLE)
    discovery = file.discovery or variables.get(DISCOVERY_VARIABLE)
    return Config(
        name=name,
        listen=parse_address(listen, f"{place}: $.listen"),
        discovery=parse_address(discovery, f"{place}: $.discovery"),
        seed=_parse_seed(file.seed, f"{place}: $.seed"),
        cores=file.limits.cores,
        memory_bytes=file.limits.memory_mb * 2**20,
        sockets=file.limits.sockets,
        known=file.known,
        settings=settings,
        request_classes=request_classes,
        kinds=kinds,
        zones=zones,
    )


def load(variables: Mapping[str, str]) -> Config:
    """Reads the configuration file that LB_CONFIG names. Raises ConfigError."""
    path = variables.get(FILE_VARIABLE)
    if not path:
        raise ConfigError(
            f"{FILE_VARIABLE}: the path of the configuration file was expected, but the variable is not set"
        )
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(
            f"{path}: a readable configuration file in JSON was expected: {error.strerror}"
        ) from None
    return parse_config(data, path, variables)
