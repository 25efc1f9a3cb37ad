"""The same verdict every time: hypothesis draws the same examples, but for long runs of a person's own.
Tests that KNOWN-RED.txt lists are run and passed over, and are printed at the end."""

from __future__ import annotations

import os
from collections.abc import Iterator
from typing import Any

import known_red
import pytest
import structlog
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.register_profile("long", deadline=None)
settings.load_profile("long" if os.environ.get("WORKSMUX_LONG") else "same")


REDS = pytest.StashKey[list[known_red.Red]]()


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[REDS] = known_red.read(config.rootpath)
    except known_red.Wrong as fault:
        raise pytest.UsageError(str(fault)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    for item in items:
        for red in config.stash[REDS]:
            if item.nodeid.partition("[")[0] == red.test:
                item.add_marker(pytest.mark.xfail(reason=f"{red.cause} (issue {red.issue})"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for red in config.stash[REDS]:
        terminalreporter.write_line(f"known red: {red.test}: {red.cause} (issue {red.issue})")


@pytest.fixture
def logged() -> Iterator[list[Any]]:
    """Every line of the log, whatever an earlier test has configured."""
    before = structlog.get_config()
    structlog.reset_defaults()
    with structlog.testing.capture_logs() as lines:
        yield lines
    structlog.configure(**before)
