"""Structured logging with structlog: JSON lines or console text, written by a separate thread.

Failure: the reader of standard error stalls, and a blocking write stops the reactor. Lines wait in a bounded
queue instead; while the queue is full, new lines are dropped and counted.
"""

from __future__ import annotations

import logging
import queue
import sys
import threading
from typing import IO, Any

import msgspec
import structlog

MAX_QUEUED_LINES = 10_000
CLOSE_TIMEOUT_S = 2.0
LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


class LogWriter:
    """Writes lines in order on a thread; `lost` counts dropped lines."""

    def __init__(self, sink: IO[str], max_queued_lines: int = MAX_QUEUED_LINES) -> None:
        self.sink, self.lost = sink, 0
        self.lines: queue.Queue[str | None] = queue.Queue(max_queued_lines)  # None stops the thread
        self.thread = threading.Thread(target=self._run, name="log writer", daemon=True)
        self.thread.start()

    def line(self, text: str) -> None:
        """Queues a line without blocking; drops it if the queue is full."""
        try:
            self.lines.put_nowait(text)
        except queue.Full:
            self.lost += 1

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Writes the queued lines and stops the thread; waits at most about `2 * timeout_s`."""
        try:
            self.lines.put(None, timeout=timeout_s)
        except queue.Full:
            return
        self.thread.join(timeout_s)

    def _run(self) -> None:
        try:
            while (text := self.lines.get()) is not None:
                self.sink.write(text + "\n")
                if self.lines.empty():
                    self.sink.flush()
        except (
            OSError,
            ValueError,
        ):  # the sink is closed: the queue fills, later lines are lost
            self.lost += 1


class _QueueLogger:
    """The logger that structlog calls; passes each line to a `LogWriter`."""

    def __init__(self, writer: LogWriter) -> None:
        self.writer = writer

    def msg(self, message: str) -> None:
        self.writer.line(message)

    debug = info = warning = warn = error = critical = exception = fatal = log = msg


def _to_json(value: Any, **_: Any) -> str:
    return msgspec.json.encode(value, enc_hook=repr).decode()


def set_up(log_format: str, level: str, sink: IO[str] | None = None, **bound_fields: str) -> LogWriter:
    """Configures structlog to write to `sink` (default: standard error).

    `log_format` is "json" or "console", `level` a key of `LEVELS`; `bound_fields` are added to each event.
    """
    writer = LogWriter(sink or sys.stderr)
    logger = _QueueLogger(writer)
    renderers: list[Any] = [
        structlog.processors.format_exc_info,
        structlog.processors.JSONRenderer(_to_json),
    ]
    if log_format == "console":
        renderers = [structlog.dev.ConsoleRenderer(colors=False)]
    structlog.reset_defaults()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso", utc=True),
            *renderers,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=lambda *_: logger,
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**bound_fields)
    return writer
