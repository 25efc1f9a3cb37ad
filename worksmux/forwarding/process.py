"""Start, signal handling and shutdown of a daemon process, independent of its protocol."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable

import structlog

from ..net import clock
from ..net.loop import Reactor
from ..net.server import Server
from .log_setup import LogWriter

LOG = structlog.get_logger()
FLUSH_TIMEOUT_MS = 1000.0  # for clients to close their connections after the last answers
MAX_FLUSH_MS = 30_000.0  # for clients that read their last answers slowly, and for the caller's condition
FLUSH_POLL_MS = 5.0


def run_reactor(
    reactor: Reactor,
    writer: LogWriter,
    start: Callable[[], None],
    stop: Callable[[], None],
    reload: Callable[[], None],
) -> bool:
    """Calls `start` and runs the reactor until it is stopped; returns False if `start` raised.

    SIGTERM and SIGINT call `stop`, SIGHUP calls `reload`.
    """

    calls = {signal.SIGTERM: stop, signal.SIGINT: stop, signal.SIGHUP: reload}

    def run_call(number: signal.Signals) -> None:
        LOG.info("signal received", signal=number.name)
        calls[number]()

    def on_signal(number: int, _frame: object) -> None:
        reactor.callFromThread(run_call, signal.Signals(number))

    def install_signal_handlers() -> None:
        for number in calls:
            signal.signal(number, on_signal)

    reactor.callLater(0, install_signal_handlers)  # after Twisted installs its own handlers
    try:
        start()
    except Exception as error:
        LOG.error("start failed; the process exits", reason=str(error), pid=os.getpid())
        return False
    else:
        reactor.run()
        return True
    finally:
        writer.close()


def wait_until_flushed(
    reactor: Reactor,
    server: Server,
    then: Callable[[], None],
    is_waiting: Callable[[], bool] = lambda: False,
) -> None:
    """Calls `then` once `is_waiting` is false and the last answers are sent, or after `MAX_FLUSH_MS`.

    Failure: the process exits while the last answers are still in its send buffers, and their clients see a
    truncated answer.  Clients that have their answers get `FLUSH_TIMEOUT_MS` to close their connections.
    """
    start = clock.now()

    def check() -> None:
        waited_ms = clock.now() - start
        is_flushing = bool(server.channels) and waited_ms < FLUSH_TIMEOUT_MS or server.has_unsent_answers
        if waited_ms < MAX_FLUSH_MS and (is_flushing or is_waiting()):
            reactor.callLater(FLUSH_POLL_MS / 1000, check)
        else:
            then()

    check()
