"""Runs a load in several worker processes and merges their reports.

A run is valid only if every worker kept to its intended times.
"""

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

STARTUP_MS = 1500.0  # for the worker processes to start, before the load begins
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class LoadError(WorksmuxError):
    """A worker process ended early; the message has the end of its error output."""


def run(
    settings: LoadSettings, show_progress: Callable[[str], None], record: Path | None = None
) -> dict[str, Any]:
    """Runs the load and returns its report; raises LoadError."""
    start_ms = clock.now() + STARTUP_MS
    part_paths = (
        [record.with_name(f"{record.name}.{index}") for index in range(settings.processes)] if record else []
    )
    workers = []
    for index in range(settings.processes):
        task = WorkerTask(
            settings.targets,
            [astuple(phase) for phase in settings.phases],
            settings.request_classes,
            index,
            settings.processes,
            settings.seed,
            start_ms,
            settings.length_ms,
            settings.timeout_ms,
            settings.max_open_requests,
            settings.closed_loop_clients // settings.processes if settings.closed_loop_clients else 0,
            settings.trace,
            settings.speed,
            str(part_paths[index]) if part_paths else "",
        )
        workers.append(_WorkerProcess(task, show_progress))
    reports = [worker.result() for worker in workers]
    if record is not None:
        merge(part_paths, record)
        for path in part_paths:
            path.unlink()
    return report(settings, reports)


class _WorkerProcess:
    """A worker process and the threads that read its output."""

    def __init__(self, task: WorkerTask, show_progress: Callable[[str], None]) -> None:
        self.show_progress, self.worker_index = show_progress, task.worker_index
        self.process = subprocess.Popen(
            [sys.executable, "-m", "worksmux.load.worker"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(task))
        self.process.stdin.close()
        self.final_report: WorkerReport | None = None
        self.error_output = b""
        self.report_reader = threading.Thread(target=self._read_reports, daemon=True)
        self.error_reader = threading.Thread(target=self._read_errors, daemon=True)
        self.report_reader.start()
        self.error_reader.start()

    def _read_reports(self) -> None:
        """Shows each progress report, and keeps the final one."""
        assert self.process.stdout is not None
        for line in self.process.stdout:
            report = msgspec.json.decode(line, type=WorkerReport)
            if report.is_final:
                self.final_report = report
            else:
                behind = f"; BEHIND by up to {report.max_lag_ms:.0f} ms" if report.max_lag_ms > 10 else ""
                self.show_progress(
                    f"{report.elapsed_ms / 1000:6.1f} s, process {report.worker_index}: "
                    f"{sum(report.outcomes.values())} ended, {report.open_requests} open{behind}"
                )

    def _read_errors(self) -> None:
        """Collects what the process writes to standard error."""
        assert self.process.stderr is not None
        self.error_output = self.process.stderr.read()

    def result(self) -> WorkerReport:
        """Waits for the process and returns its final report; raises LoadError if there is none."""
        self.process.wait()
        self.report_reader.join()
        self.error_reader.join()
        if self.final_report is None:
            raise LoadError(
                f"load worker process {self.worker_index} ended with exit code {self.process.returncode} and "
                f"without a final report: {self.error_output.decode(errors='replace')[-400:]}"
            )
        return self.final_report


def merged(encoded: list[str]) -> Any:
    """The sum of the encoded histograms of several processes."""
    total = histogram()
    for text in encoded:
        total.add(HdrHistogram.decode(text))
    return total


def quantiles(distribution: Any) -> dict[str, float]:
    """Percentiles and maximum of a histogram in milliseconds, and its count."""
    values = {f"p{percent:g}": distribution.get_value_at_percentile(percent) / 10 for percent in PERCENTILES}
    return {
        **values,
        "max": distribution.get_max_value() / 10,
        "count": float(distribution.get_total_count()),
    }


def report(settings: LoadSettings, reports: list[WorkerReport]) -> dict[str, Any]:
    """Merges the final reports of the workers and decides whether the run is valid."""
    outcomes: Counter[str] = Counter()
    seconds: list[SecondStats] = []
    for worker in reports:
        outcomes.update(worker.outcomes)
        for index, second in enumerate(worker.seconds):
            if len(seconds) <= index:
                seconds.append(SecondStats())
            seconds[index].sent += second.sent
            seconds[index].ended += second.ended
            seconds[index].open_requests += second.open_requests
            seconds[index].max_lag_ms = max(seconds[index].max_lag_ms, second.max_lag_ms)
    max_lag_ms = max(worker.max_lag_ms for worker in reports)
    late_seconds = [index for index, second in enumerate(seconds) if second.max_lag_ms > settings.max_lag_ms]
    unsent = outcomes.get("not sent: too many open", 0)
    reasons = []
    if late_seconds:
        reasons.append(
            f"the generator was up to {max_lag_ms:.0f} ms behind, over {settings.max_lag_ms:g} ms in "
            f"{len(late_seconds)} of {len(seconds)} seconds, first in second {late_seconds[0]}"
        )
    if unsent:
        reasons.append(
            f"{unsent} requests were not sent: {settings.max_open_requests} were open in a process"
        )
    return {
        "name": settings.name,
        "valid": not reasons,
        "why": "; ".join(reasons),
        "processes": settings.processes,
        "sent": sum(second.sent for second in seconds),
        "ends": dict(sorted(outcomes.items())),
        "first_ms": quantiles(merged([worker.first_token_histogram for worker in reports])),
        "whole_ms": quantiles(merged([worker.answer_histogram for worker in reports])),
        "first_from_send_ms": quantiles(
            merged([worker.first_token_from_send_histogram for worker in reports])
        ),
        "lag_ms": quantiles(merged([worker.lag_histogram for worker in reports])),
        "seconds": [msgspec.to_builtins(second) for second in seconds],
    }
