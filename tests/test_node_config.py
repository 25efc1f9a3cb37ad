"""A node's configuration and the conversion of the endpoint list."""

from __future__ import annotations

import json
from typing import Any

import pytest
from node_rig import SETTINGS

from worksmux.endpoints.list_reader import EndpointListReader
from worksmux.node import config
from worksmux.node.endpoint_list import Endpoint, HostList, convert
from worksmux.node.errors import ConfigError
from worksmux.policy.events import AttemptEnded, EndpointEntry, EndpointListUpdate, TimerFired
from worksmux.policy.id_map import IdMap
from worksmux.policy.state import Engine, Outcome, Request


def json_of(**values: Any) -> bytes:
    return json.dumps(values).encode()


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"", "0 bytes: whole JSON was expected"),
        (b'{"settings": {"limits"', "22 bytes: whole JSON was expected"),
        (b'{"name": "n"}', "`settings`"),
        (json_of(settings={**SETTINGS, "limits": 3}), "$.settings.limits: an object was expected"),
        (json_of(settings={**SETTINGS, "services": [{}]}), "$.settings.services[0].aim: a number"),
        (json_of(settings=SETTINGS, name="n", listen="x"), "$.listen: an address host:port"),
        (json_of(settings=SETTINGS, name=7), "$.name"),
    ],
)
def test_config_error_names_file_place_and_expectation(data: bytes, expected: str) -> None:
    with pytest.raises(ConfigError) as error:
        config.parse_config(data, "c.json", {})
    text = str(error.value)
    assert text.startswith("c.json: ") and expected in text and "\n" not in text


def config_of(settings: dict[str, Any]) -> config.Config:
    return config.parse_config(
        json_of(settings=settings, name="n", listen="127.0.0.1:1", discovery="127.0.0.1:2"), "c.json", {}
    )


def paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the paths of all values in a JSON object."""
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return (
        [path, *(place for key, value in items for place in paths(value, (*path, key)))]
        if path
        else [place for key, value in items for place in paths(value, (key,))]
    )


MISSING = object()


@pytest.mark.parametrize("value", [MISSING, None, "x", -1, 0, 1e308, [], {}, True, [[]]], ids=repr)
def test_missing_or_unusual_setting_is_rejected_or_usable(value: Any) -> None:
    """Each setting in turn is missing or has an unusual value.

    The result is an error that names the setting, or a policy that works; never another exception.
    """
    for place in paths(SETTINGS):
        settings = json.loads(json.dumps(SETTINGS))
        parent = settings
        for key in place[:-1]:
            parent = parent[key]
        if value is not MISSING:
            parent[place[-1]] = value
        elif isinstance(parent, dict):
            del parent[place[-1]]
        try:
            parsed = config_of(settings)
        except ConfigError as error:
            assert str(error).startswith("c.json: $.settings"), (place, error)
            continue
        id_map = IdMap(parsed.settings, 1)
        engines = [id_map.engine(name, number + 1) for number, name in enumerate((b"r", b"w"))]
        entries = [
            EndpointEntry(engine, "ready", 0.0, 0, 0, kind, 1.0)
            for kind, engine in enumerate(engines)
            if kind < len(parsed.kinds)
        ]
        request = Request(1, 0, 1, 0, 500.0, 0.0, 80.0, 1000.0, 4000.0)
        id_map.decide(1000.0, [EndpointListUpdate("full", entries), id_map.request_arrived(request)])
        for number in range(1, 8):
            ends = [
                AttemptEnded(attempt, Outcome.PREFILLED if attempt.is_prefill else Outcome.RESET, 5.0, False)
                for attempt in request.in_flight
            ]
            id_map.decide(1000.0 + 600 * number, [*ends, TimerFired(0)])


def test_settings_without_zones_have_one_zone() -> None:
    """The settings name no zones, but the engines have zones.

    All engines belong to a single zone; none may be left out.
    """
    settings_without_zones = {key: value for key, value in SETTINGS.items() if key != "zones"}
    for settings in (settings_without_zones, {**settings_without_zones, "zones": []}):
        parsed = config_of(settings)
        list_reader = EndpointListReader(parsed.kinds, parsed.zones, lambda name: Engine(name.encode(), 1))
        for zone in ("", "a", "b"):
            endpoint = Endpoint(f"e{zone}", "127.0.0.1:3", zone, "decode")
            event = list_reader.take(1.0, convert(HostList(1, True, [endpoint]), 0, 0.0)[0]).event
            assert event is not None
            assert [(entry.state, entry.zone) for entry in event.entries] == [("ready", 0)]


def test_missing_config_is_an_error_and_variables_fill_in(tmp_path: Any) -> None:
    with pytest.raises(ConfigError, match="LB_CONFIG"):
        config.load({})
    with pytest.raises(ConfigError, match="none.json"):
        config.load({"LB_CONFIG": str(tmp_path / "none.json")})
    (tmp_path / "c.json").write_text(json.dumps({"settings": SETTINGS}))
    loaded = config.load(
        {
            "LB_CONFIG": str(tmp_path / "c.json"),
            "LB_NAME": "n3",
            "LB_LISTEN": "127.0.0.1:3000",
            "LB_DISCOVERY": "127.0.0.1:8500",
        }
    )
    assert (loaded.name, loaded.listen, loaded.request_classes) == (
        "n3",
        ("127.0.0.1", 3000),
        ["chat", "mark"],
    )


def test_invalid_endpoints_are_omitted_with_a_note() -> None:
    hosts = [
        Endpoint("a", "127.0.0.1:1"),
        Endpoint("b", "nowhere"),
        Endpoint("c", "h:1", status="?"),
        Endpoint("d", status="DELETED"),
    ]
    listing, notes = convert(HostList(5, False, hosts), 4, 1000.0)
    assert [(line.id, line.state) for line in listing.engines] == [("a", "ready"), ("d", "gone")]
    assert len(notes) == 2
