"""Runs the worker processes of one gateway; a worker that dies or hangs is replaced.

Each worker counts one prompt at a time.  A worker receives its first count after it has confirmed that its
vocabularies are loaded.  Starting a process and loading a vocabulary take longer than a count, by seconds on
a busy machine, and are not a hang.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import Any

import msgspec
import structlog
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

from ..net.loop import Reactor
from .vocabulary import Vocabulary
from .worker import DECODE_COUNTED, Count, Counted, Forget, Frames, Load, frame

LOG = structlog.get_logger()
# Before a dead worker is replaced; doubled while workers die before their first count.
MIN_RESTART_DELAY_S, MAX_RESTART_DELAY_S = (0.05, 5.0)
LOADING_MULTIPLE = 25.0  # of the time allowed for a count; a worker that loads for longer counts as hung
OnCounted = Callable[[Counted | None], None]


class Worker(ProcessProtocol):
    """One worker process and the count that it performs."""

    def __init__(self, pool: Workers, long: bool) -> None:
        self.pool, self.long = pool, long
        self.frames = Frames()
        self.number = 0
        self.on_counted: OnCounted | None = None
        self.timer: Any = None
        self.process: Any = None
        self.counted = 0
        self.loading = 0  # versions sent to the worker and not yet confirmed
        self.started = False  # all versions sent at the start are loaded
        self.time_limit_ms = pool.time_limit_ms  # for the current count

    def connectionMade(self) -> None:
        """Sends all vocabularies to the process, which has just started."""
        self.process = self.transport
        for vocabulary in self.pool.vocabularies.values():
            self.load(vocabulary)
        self._await()

    def load(self, vocabulary: Vocabulary) -> None:
        """Sends a vocabulary to the worker."""
        self.loading += 1
        self.send(Load(vocabulary.version, vocabulary.text))

    def send(self, message: Any) -> None:
        """Sends a message to the worker."""
        self.process.write(frame(message))

    def _await(self) -> None:
        """Starts the timer for the reply that the worker owes: a count, or the end of loading."""
        self._stop_timer()
        time_limit_ms = self.time_limit_ms * (LOADING_MULTIPLE if self.loading else 1.0)
        self.timer = self.pool.reactor.callLater(time_limit_ms / 1000, self._recheck)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _loaded(self) -> None:
        self.loading -= 1
        if self.loading:
            return
        if not self.started:
            self.started = True
            self._stop_timer()
            self.pool.mark_idle(self)
        elif self.on_counted:
            self._await()  # the time of the count that waited for loading starts now

    def count(
        self, version: int, texts: list[str], max_ids: int, time_limit_ms: float, on_counted: OnCounted
    ) -> None:
        """Sends texts to be counted; `on_counted` gets None if the worker dies or hangs."""
        self.number += 1
        self.on_counted, self.time_limit_ms = on_counted, time_limit_ms
        self.send(Count(self.number, version, texts, max_ids))
        self._await()

    def outReceived(self, data: bytes) -> None:
        """Takes replies of the worker from its standard output."""
        try:
            for message in self.frames.feed(data):
                reply = DECODE_COUNTED.decode(message)
                if not reply.number:
                    self._loaded()
                elif reply.number == self.number and self.on_counted:
                    self.counted += 1
                    self._end(reply)
        except msgspec.DecodeError:
            LOG.error("tokenizer worker sent an invalid message; it is replaced")
            self.kill()

    def errReceived(self, data: bytes) -> None:
        """Logs what the worker writes to standard error."""
        LOG.warning("tokenizer worker wrote to standard error", text=data.decode(errors="replace")[-500:])

    def _end(self, reply: Counted | None) -> None:
        on_counted, self.on_counted = self.on_counted, None
        self._stop_timer()
        if on_counted:
            on_counted(reply)
        if reply is not None:
            self.pool.mark_idle(self)

    def _recheck(self) -> None:
        """Lets a late reactor read a reply that has already arrived before the worker counts as hung."""
        self.timer = self.pool.reactor.callLater(0, self._hung)

    def _hung(self) -> None:
        LOG.error("tokenizer worker did not reply in time; it is replaced")
        self.kill()

    def kill(self) -> None:
        """Kills the process."""
        if self.process is not None and self.process.pid:
            self.process.signalProcess("KILL")

    def processEnded(self, reason: Failure) -> None:
        """Replaces the worker, and reports its count as lost."""
        self.pool.ended(self)
        self._end(None)


class Workers:
    """The worker processes for short and for long prompts.

    `on_idle` is called with True for long prompts, or False, when one of those workers becomes idle.
    `time_limit_ms` is the time limit of a count in the settings.
    """

    def __init__(
        self, reactor: Reactor, short: int, long: int, time_limit_ms: float, on_idle: Callable[[bool], None]
    ) -> None:
        self.reactor: Any = reactor
        self.on_idle, self.time_limit_ms = on_idle, time_limit_ms
        self.sizes = {False: short, True: long}
        self.vocabularies: dict[int, Vocabulary] = {}
        self.workers: dict[Worker, None] = {}
        self.idle: dict[bool, list[Worker]] = {False: [], True: []}
        self.restart_delay_s = MIN_RESTART_DELAY_S
        self.stopped = False
        self.replaced = 0

    def start(self, vocabularies: list[Vocabulary]) -> None:
        """Starts all workers with these vocabularies."""
        self.vocabularies = {vocabulary.version: vocabulary for vocabulary in vocabularies}
        for long, size in self.sizes.items():
            for _ in range(size):
                self._spawn(long)

    def _spawn(self, long: bool) -> None:
        if not self.stopped:
            worker = Worker(self, long)
            self.workers[worker] = None
            self.reactor.spawnProcess(
                worker,
                sys.executable,
                [sys.executable, "-m", "worksmux.tokenization.worker"],
                env=dict(os.environ),
            )

    def switch_vocabularies(self, vocabularies: list[Vocabulary]) -> None:
        """Makes the workers load the new versions and forget all others."""
        new = {vocabulary.version: vocabulary for vocabulary in vocabularies}
        for worker in self.workers:
            if worker.process is None:  # not started yet: it receives all versions at its start
                continue
            for version in new.keys() - self.vocabularies.keys():
                worker.load(new[version])
            for version in self.vocabularies.keys() - new.keys():
                worker.send(Forget(version))
        self.vocabularies = new

    def mark_idle(self, worker: Worker) -> None:
        """Adds a worker to the idle workers."""
        if worker in self.workers and not self.stopped:
            self.idle[worker.long].append(worker)
            self.on_idle(worker.long)

    def take(self, long: bool) -> Worker | None:
        """Takes an idle worker; None if all are busy."""
        return self.idle[long].pop() if self.idle[long] else None

    def put_back(self, worker: Worker) -> None:
        """Returns a worker that was taken and is not needed."""
        self.idle[worker.long].append(worker)

    def ended(self, worker: Worker) -> None:
        """Replaces a worker whose process has ended, after a delay."""
        self.workers.pop(worker, None)
        if worker in self.idle[worker.long]:
            self.idle[worker.long].remove(worker)
        if self.stopped:
            return
        self.replaced += 1
        self.restart_delay_s = (
            MIN_RESTART_DELAY_S if worker.counted else min(MAX_RESTART_DELAY_S, 2 * self.restart_delay_s)
        )
        self.reactor.callLater(self.restart_delay_s, self._spawn, worker.long)

    def stop(self) -> None:
        """Kills all workers and starts no new ones."""
        self.stopped = True
        for worker in list(self.workers):
            worker.kill()
