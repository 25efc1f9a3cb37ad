"""Structured logging by structlog: JSON lines or console text, written by a thread of its own.

Guards against a reader of the log that stalls: lines wait in a bounded queue; past its bound they are dropped
and counted, and the reactor goes on.
"""

from __future__ import annotations

import logging
import queue
import sys
import threading
from typing import IO, Any

import msgspec
import structlog

BOUND = 10_000  # lines that wait for their reader
LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


class Writer:
    """Takes lines and writes them in order on a thread; `lost` counts those dropped."""

    def __init__(self, sink: IO[str], bound: int = BOUND) -> None:
        self.sink, self.lost = sink, 0
        self.lines: queue.Queue[str | None] = queue.Queue(bound)
        self.thread = threading.Thread(target=self._run, name="logbook", daemon=True)
        self.thread.start()

    def line(self, text: str) -> None:
        try:
            self.lines.put_nowait(text)
        except queue.Full:
            self.lost += 1

    def close(self, patience: float = 2.0) -> None:
        """Lets the lines that wait be written, for at most `patience` seconds."""
        try:
            self.lines.put(None, timeout=patience)
        except queue.Full:
            return
        self.thread.join(patience)

    def _run(self) -> None:
        try:
            while (text := self.lines.get()) is not None:
                self.sink.write(text + "\n")
                if self.lines.empty():
                    self.sink.flush()
        except (OSError, ValueError):  # its reader is gone: let the rest be dropped and counted
            self.lost += 1


class _Lines:
    """What structlog writes to."""

    def __init__(self, writer: Writer) -> None:
        self.writer = writer

    def msg(self, message: str) -> None:
        self.writer.line(message)

    debug = info = warning = warn = error = critical = exception = fatal = log = msg


def _json(value: Any, **_: Any) -> str:
    return msgspec.json.encode(value, enc_hook=repr).decode()


def set_up(form: str, level: str, sink: IO[str] | None = None, **bound: str) -> Writer:
    """Sends all of structlog's events to `sink` (standard error); `bound` stands in each of them."""
    writer = Writer(sink or sys.stderr)
    lines = _Lines(writer)
    last: list[Any] = [structlog.processors.format_exc_info, structlog.processors.JSONRenderer(_json)]
    if form == "console":
        last = [structlog.dev.ConsoleRenderer(colors=False)]
    structlog.reset_defaults()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso", utc=True),
            *last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=lambda *_: lines,
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**bound)
    return writer
