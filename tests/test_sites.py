"""The program contains no names of a deployment site: no classes, kinds, zones or tenants."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
SITES = sorted((ROOT / "deploy" / "sites").glob("*/*.toml"))
PROGRAM = [*sorted((ROOT / "worksmux").rglob("*.py")), ROOT / "deploy" / "balancer.toml"]


def names(site: dict[str, Any]) -> set[str]:
    """Returns all names that a site file defines."""
    tiers = site["tier"]
    named = [
        site,
        *tiers,
        *site["class"],
        *site.get("tenant", []),
        *(kind for tier in tiers for kind in tier["kind"]),
    ]
    return {item["name"] for item in named} | set(site["net"]["zones"])


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_program_contains_no_names_of_a_site(path: Path) -> None:
    site_names = names(tomllib.loads(path.read_text()))
    assert len(site_names) >= 6
    pattern = re.compile("|".join(rf"(?<![\w-]){re.escape(name)}(?![\w-])" for name in sorted(site_names)))
    assert not [(file.name, match[0]) for file in PROGRAM for match in pattern.finditer(file.read_text())]


def test_sites_differ_in_names_and_class_values() -> None:
    sites = [tomllib.loads(path.read_text()) for path in SITES]
    assert len(sites) >= 2
    for key in ("aim_ms", "deadline_ms", "worth"):
        values = [{request_class[key] for request_class in site["class"]} for site in sites]
        assert values[0] != values[1], key
    assert not names(sites[0]) & names(sites[1])
    assert {request_class["effect"] for site in sites for request_class in site["class"]} == {
        "safe",
        "keyed",
        "unsafe",
    }
