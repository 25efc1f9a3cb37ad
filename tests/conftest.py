"""Test configuration.

Hypothesis draws the same examples in each run, unless WORKSMUX_LONG is set.  Tests that KNOWN-RED.txt lists
run as expected failures and are listed at the end of the report.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from typing import Any

import pytest
import structlog
from hypothesis import settings
from known_red import KnownRed, KnownRedError, read_known_red

settings.register_profile("same", derandomize=True, deadline=None)
settings.register_profile("long", deadline=None)
settings.load_profile("long" if os.environ.get("WORKSMUX_LONG") else "same")


KNOWN_RED = pytest.StashKey[list[KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[KNOWN_RED] = read_known_red(config.rootpath)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    for item in items:
        for entry in config.stash[KNOWN_RED]:
            if item.nodeid.partition("[")[0] == entry.test:
                item.add_marker(pytest.mark.xfail(reason=f"{entry.seen} (issue {entry.issue})"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    passed = {report.nodeid.partition("[")[0] for report in terminalreporter.stats.get("xpassed", [])}
    for entry in config.stash[KNOWN_RED]:
        note = "; it PASSED in this run" if entry.test in passed else ""
        terminalreporter.write_line(
            f"known red: {entry.test}: {entry.seen} (issue {entry.issue}; {entry.command}){note}"
        )


@pytest.fixture
def logged() -> Iterator[list[Any]]:
    """Captures all log lines, independent of how an earlier test configured structlog."""
    before = structlog.get_config()
    structlog.reset_defaults()
    with structlog.testing.capture_logs() as lines:
        yield lines
    structlog.configure(**before)
