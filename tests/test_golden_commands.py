"""Commands, their options and the names of metrics equal the pinned ones.

Scripts and dashboards of operators use them.  Some commands are registered when their module is imported, and
would disappear without an error if no module imported it any more.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import typer.main

from worksmux.commands.main import app
from worksmux.gateway.metrics import Metrics

GOLDEN = Path(__file__).parent / "golden"


def command_tree(command: Any) -> dict[str, Any]:
    """Each command with its options (all their spellings) and arguments."""
    parameters = [
        [parameter.param_type_name, sorted([*parameter.opts, *parameter.secondary_opts]), parameter.required]
        for parameter in command.params
    ]
    commands = getattr(command, "commands", {})
    return {
        "parameters": parameters,
        "commands": {name: command_tree(commands[name]) for name in sorted(commands)},
    }


def metric_types(metrics: Metrics) -> dict[str, str]:
    """The type of each metric by its name, as the metrics page shows them at the start."""
    lines = metrics.text().decode().splitlines()
    return dict(line.split()[2:4] for line in lines if line.startswith("# TYPE "))


def test_commands_and_options_equal_the_pinned_ones() -> None:
    pinned = json.loads((GOLDEN / "commands.json").read_text())
    assert command_tree(typer.main.get_command(app)) == pinned


def test_metrics_equal_the_pinned_ones() -> None:
    pinned = json.loads((GOLDEN / "metrics.json").read_text())
    assert metric_types(Metrics()) == pinned
