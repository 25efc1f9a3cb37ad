"""The reactor's clock."""

from __future__ import annotations

import time
from typing import Any

import pytest
from twisted.internet.base import ReactorBase
from twisted.internet.epollreactor import EPollReactor

from worksmux.net.loop import use_monotonic_clock


def test_timers_ignore_a_wall_clock_that_is_set_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """The wall clock of a gateway is set back by 90 s.

    Twisted's timers use the wall clock; with them the gateway sent no answer for 90 s.
    """
    wall = [time.time()]
    monkeypatch.setattr(ReactorBase, "seconds", staticmethod(lambda: wall[0]))
    reactor: Any = EPollReactor()  # type: ignore[no-untyped-call]
    use_monotonic_clock(reactor)
    calls: list[bool] = []
    reactor.callLater(0.001, calls.append, True)
    wall[0] -= 90.0
    give_up_at = time.monotonic() + 5.0
    while not calls and time.monotonic() < give_up_at:
        reactor.iterate(0.005)
    assert calls
