"""What starts and ends a front's process, whichever protocol it serves."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable

import structlog

from ..net import clock
from ..net.loop import Reactor
from .log_setup import Writer

LOG = structlog.get_logger()
FLUSH, LOOK = 1000.0, 5.0  # milliseconds that the last answers have to get out, and between looks


def run_reactor(
    reactor: Reactor,
    writer: Writer,
    start: Callable[[], None],
    stop: Callable[[], None],
    reload: Callable[[], None],
) -> bool:
    """Starts and runs until the reactor is stopped; SIGTERM and SIGINT stop, SIGHUP reloads.  False where it
    could not start."""

    def signals() -> None:
        for number, call in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGHUP, reload)):
            signal.signal(number, lambda *_, call=call: reactor.callFromThread(call))

    reactor.callLater(0, signals)  # after Twisted's own
    try:
        start()
    except Exception as error:
        LOG.error("cannot listen", why=str(error), pid=os.getpid())
        return False
    else:
        reactor.run()
        return True
    finally:
        writer.close()


def let_out(
    reactor: Reactor, waiting: Callable[[], object], then: Callable[[], None], bound: float = FLUSH
) -> None:
    """Guards against an end that cuts off the last answers, which still wait to be written; `bound`
    milliseconds at most."""
    until = clock.now() + bound

    def look() -> None:
        if waiting() and clock.now() < until:
            reactor.callLater(LOOK / 1000, look)
        else:
            then()

    look()
