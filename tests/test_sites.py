"""Nothing in the program is fitted to a deployment: no name of a site's classes, kinds, zones or tenants."""

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
    """Every name that a site file gives to something of its deployment."""
    tiers = site["tier"]
    named = [
        site,
        *tiers,
        *site["class"],
        *site.get("tenant", []),
        *(kind for tier in tiers for kind in tier["kind"]),
    ]
    return {one["name"] for one in named} | set(site["net"]["zones"])


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_program_names_nothing_of_a_site(path: Path) -> None:
    found = names(tomllib.loads(path.read_text()))
    assert len(found) >= 6
    word = re.compile("|".join(rf"(?<![\w-]){re.escape(name)}(?![\w-])" for name in sorted(found)))
    assert not [(file.name, match[0]) for file in PROGRAM for match in word.finditer(file.read_text())]


def test_variants_differ_in_what_a_program_could_be_fitted_to() -> None:
    sites = [tomllib.loads(path.read_text()) for path in SITES]
    assert len(sites) >= 2
    for key in ("aim_ms", "deadline_ms", "worth"):
        seen = [{one[key] for one in site["class"]} for site in sites]
        assert seen[0] != seen[1], key
    assert not names(sites[0]) & names(sites[1])
    assert {one["effect"] for site in sites for one in site["class"]} == {"safe", "keyed", "unsafe"}
