"""Runs a load: a process for each part, their figures merged, valid only if they kept to their times."""

from __future__ import annotations

import subprocess
import sys
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import astuple
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from ..errors import WorksmuxError
from ..net import clock
from .settings import LoadSettings
from .trace import merge
from .worker import SecondStats, WorkerReport, WorkerTask, histogram

HEAD_START = 1500.0  # milliseconds for the processes to come up
PERCENTS = (50.0, 90.0, 99.0, 99.9)


class LoadError(WorksmuxError):
    """A process of the generator ended early; the message has its last words."""


def run(settings: LoadSettings, say: Callable[[str], None], record: Path | None = None) -> dict[str, Any]:
    """Plays the load and gives its report; raises LoadError."""
    start = clock.now() + HEAD_START
    parts = (
        [record.with_name(f"{record.name}.{part}") for part in range(settings.processes)] if record else []
    )
    workers = []
    for part in range(settings.processes):
        work = WorkerTask(
            settings.targets,
            [astuple(phase) for phase in settings.phases],
            settings.request_classes,
            part,
            settings.processes,
            settings.seed,
            start,
            settings.length,
            settings.time_out,
            settings.most_open,
            settings.closed // settings.processes if settings.closed else 0,
            settings.trace,
            settings.speed,
            str(parts[part]) if parts else "",
        )
        workers.append(_Part(work, say))
    finals = [worker.result() for worker in workers]
    if record is not None:
        merge(parts, record)
        for path in parts:
            path.unlink()
    return report(settings, finals)


class _Part:
    """One process and the thread that reads what it says."""

    def __init__(self, work: WorkerTask, say: Callable[[str], None]) -> None:
        self.say, self.part = say, work.part
        self.process = subprocess.Popen(
            [sys.executable, "-m", "worksmux.load.worker"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(work))
        self.process.stdin.close()
        self.final: WorkerReport | None = None
        self.words = b""
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.errors = threading.Thread(target=self._listen, daemon=True)
        self.reader.start()
        self.errors.start()

    def _read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            told = msgspec.json.decode(line, type=WorkerReport)
            if told.final:
                self.final = told
            else:
                behind = f"; BEHIND by {told.lag:.0f} ms at the worst" if told.lag > 10 else ""
                self.say(
                    f"{told.at / 1000:6.1f} s, process {told.part}: {sum(told.ends.values())} ended, "
                    f"{told.open} open{behind}"
                )

    def _listen(self) -> None:
        assert self.process.stderr is not None
        self.words = self.process.stderr.read()

    def result(self) -> WorkerReport:
        self.process.wait()
        self.reader.join()
        self.errors.join()
        if self.final is None:
            raise LoadError(
                f"process {self.part} ended with {self.process.returncode}: "
                f"{self.words.decode(errors='replace')[-400:]}"
            )
        return self.final


def merged(encoded: list[str]) -> Any:
    """Histograms of several processes as one."""
    whole = histogram()
    for one in encoded:
        whole.add(HdrHistogram.decode(one))
    return whole


def quantiles(found: Any) -> dict[str, float]:
    """In milliseconds."""
    told = {f"p{percent:g}": found.get_value_at_percentile(percent) / 10 for percent in PERCENTS}
    return {**told, "max": found.get_max_value() / 10, "count": float(found.get_total_count())}


def report(settings: LoadSettings, finals: list[WorkerReport]) -> dict[str, Any]:
    ends: Counter[str] = Counter()
    seconds: list[SecondStats] = []
    for told in finals:
        ends.update(told.ends)
        for at, second in enumerate(told.seconds):
            if len(seconds) <= at:
                seconds.append(SecondStats())
            seconds[at].sent += second.sent
            seconds[at].ended += second.ended
            seconds[at].open += second.open
            seconds[at].lag = max(seconds[at].lag, second.lag)
    worst = max(told.lag for told in finals)
    late = [at for at, second in enumerate(seconds) if second.lag > settings.most_lag]
    unsent = ends.get("not sent: too many open", 0)
    why = []
    if late:
        why.append(
            f"the generator was up to {worst:.0f} ms behind, over {settings.most_lag:g} ms in "
            f"{len(late)} of {len(seconds)} seconds, first in second {late[0]}"
        )
    if unsent:
        why.append(f"{unsent} jobs were not sent: {settings.most_open} were open in a process")
    return {
        "name": settings.name,
        "valid": not why,
        "why": "; ".join(why),
        "processes": settings.processes,
        "sent": sum(second.sent for second in seconds),
        "ends": dict(sorted(ends.items())),
        "first_ms": quantiles(merged([told.first for told in finals])),
        "whole_ms": quantiles(merged([told.whole for told in finals])),
        "first_from_send_ms": quantiles(merged([told.from_send for told in finals])),
        "lag_ms": quantiles(merged([told.lags for told in finals])),
        "seconds": [msgspec.to_builtins(second) for second in seconds],
    }
