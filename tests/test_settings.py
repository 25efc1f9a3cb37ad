"""Settings: all faults of a file are reported together, each with its line."""

from __future__ import annotations

import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from worksmux.fault_trial.small import SETTINGS
from worksmux.policy.settings import NON_IDEMPOTENT, ROLE_COMBINED, ROLE_DECODE, ROLE_PREFILL, PolicySettings
from worksmux.scenarios.scenario import load_scenario, read_scenario
from worksmux.settings.document import SettingsError, load, parse
from worksmux.settings.front import read_gateway_settings


def faults(text: str) -> list[str]:
    with pytest.raises(SettingsError) as caught:
        read_gateway_settings(parse(text, "f.kdl"))
    return [str(complaint) for complaint in caught.value.complaints]


def line_of(part: str, text: str = SETTINGS) -> int:
    return text[: text.index(part)].count("\n") + 1


def test_policy_gets_the_sections_of_a_file() -> None:
    settings = read_gateway_settings(parse(SETTINGS)).policy_settings
    assert isinstance(settings, PolicySettings)
    assert settings.request_classes[1].effect == NON_IDEMPOTENT
    assert settings.engine_roles == (ROLE_PREFILL, ROLE_DECODE, ROLE_COMBINED)


def test_all_faults_are_reported_at_once_with_line_and_fix() -> None:
    text = SETTINGS.replace('outer-limit "3s"', 'outer-limit "0.5s"', 1).replace("trips 5", "tripps 5")
    text = text.replace('effect "irreversible"', 'effect "once"').replace('keep-alive "5s"', "keep-alive 5")
    complaints = faults(text)
    request_class, effect, keep_alive = (
        line_of(part, text) for part in ('offering "hint"', 'effect "once"', "keep-alive 5")
    )
    assert any(text.startswith(f"f.kdl:{request_class}: ") and "outer-limit" in text for text in complaints)
    assert any("unknown key tripps; did you mean trips?" in text for text in complaints)
    assert any("trips is missing" in text for text in complaints)
    assert any(text.startswith(f"f.kdl:{effect}: ") and "redoable, labelled" in text for text in complaints)
    assert any(text.startswith(f"f.kdl:{keep_alive}: ") and 'such as "250ms"' in text for text in complaints)
    assert complaints == sorted(complaints, key=lambda text: int(text.split(":")[1]))


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ('zone "north"', 'zone "east"', "not among the zones"),
        ("fronts 1", "fronts 1\n    number 1", "must be below fronts"),
        ('listen "127.0.0.1:0"', 'listen "here"', "expected an address"),
        ('remembered "2s"', "", "remembered is missing"),
        ("cold-share 0.3", "cold-share 1.3", "from 0 to 1"),
        ('most-pause "200ms"', 'most-pause "2ms"', "swap them"),
        ("hold true", "hold 1", "expected true or false"),
        ('offering "mark"', 'offering "hint"', "is given twice"),
        ('kind "prefill" role="read" memory=100000', "", "no request could be served"),
    ],
)
def test_contradictory_and_missing_values_are_refused(old: str, new: str, words: str) -> None:
    text = SETTINGS.replace(old, new)
    if "could be served" in words:
        text = text.replace('kind "mixed" role="both" memory=100000', "")
    assert any(words in complaint for complaint in faults(text))


@pytest.mark.parametrize("text", ["a {", 'a "', "a }", "{", "a 1 2 ]", "\x00", "front {}{"])
def test_what_is_not_kdl_is_one_fault(text: str) -> None:
    assert len(faults(text)) >= 1


@given(st.integers(0, len(SETTINGS)))
def test_truncated_file_is_refused_or_complete(cut: int) -> None:
    text = SETTINGS[:cut]
    try:
        read_gateway_settings(parse(text))
    except SettingsError as error:
        assert error.complaints
    else:
        assert text.rstrip("\n") == SETTINGS.rstrip("\n")


def test_unreadable_file_is_a_fault(tmp_path: object) -> None:
    with pytest.raises(SettingsError, match="cannot be read"):
        load(f"{tmp_path}/none.kdl")


def test_example_scenarios_can_be_read() -> None:
    assert load_scenario("examples/bad-day.kdl").fronts == 3
    assert load_scenario("examples/short-day.kdl").faults


def test_scenario_with_an_unknown_fault_is_refused() -> None:
    with open("examples/short-day.kdl", encoding="utf-8") as file:
        text = file.read().replace('trouble "crash"', 'trouble "krash"')
    with pytest.raises(SettingsError, match="unknown trouble"):
        read_scenario(parse(text))


FLEET = """
region "west" {
    zones "north" "south"
}
fleet "home" {
    listen "127.0.0.1:0"
    seeds "127.0.0.1:7002"
    founders "a" "b" "c"
    disk "/tmp/a"
    carries "north" 65
    reach "b" "127.0.0.1:9002"
}
"""


def test_section_fleet_is_read_and_is_optional() -> None:
    plain, with_fleet = read_gateway_settings(parse(SETTINGS)), read_gateway_settings(parse(SETTINGS + FLEET))
    assert plain.fleet is None and plain.regions == {}
    assert with_fleet.fleet is not None and with_fleet.fleet.zone_capacity == {"north": 65.0}
    assert with_fleet.fleet.address_overrides == {"b": "127.0.0.1:9002"}
    assert with_fleet.regions == {"north": "west", "south": "west"}


@pytest.mark.parametrize(
    "old, new, wanted",
    [
        ('carries "north" 65', 'carries "nowhere" 65', 'zone "nowhere" is not among the zones'),
        ('carries "north" 65', 'carries "north" 0', "expected requests a second above 0"),
        ('reach "b" "127.0.0.1:9002"', 'reach "b" "nonsense"', "reach: "),
        ('founders "a" "b" "c"', 'founders "a" "b" "c"\n    seats 2', "expected 1, 3 or 5"),
        ('founders "a" "b" "c"', 'founders "a"\n    lease "500ms"', "lease is under twice patience"),
        ('founders "a" "b" "c"', 'founders "a"\n    patience "100ms"', "patience is under three beats"),
        ('zones "north" "south"\n}', 'zones "north"\n}', "no region has the zones south"),
        ("disk", "disc", "did you mean disk?"),
    ],
)
def test_faults_of_the_fleet_are_named_with_what_was_expected(old: str, new: str, wanted: str) -> None:
    assert old in FLEET
    assert any(wanted in text for text in faults(SETTINGS + FLEET.replace(old, new)))


@pytest.mark.parametrize("module", ["worksmux.node.serve", "worksmux.bench_adapter.__main__"])
def test_node_and_adapter_import_nothing_of_the_gateway_fleet(module: str) -> None:
    """Without its code the node and the adapter cannot open a socket, thread or file of the gateway fleet."""
    code = (
        f"import sys, {module}\n"
        "print([name for name in sys.modules if name.startswith(('worksmux.gossip', 'worksmux.consensus', "
        "'worksmux.failover', 'worksmux.config_audit', "
        "'worksmux.storage', 'worksmux.gateway.fleet.peering'))])"
    )
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert process.stdout.strip() == "[]"
