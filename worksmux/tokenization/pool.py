"""The worker processes of one front: one count at a time each; those that die or hang are replaced.

A worker takes its first count once it has said that it has loaded what it was given: starting a process and
loading a vocabulary take longer than a count, on a busy machine by seconds, and are no sign of a hang.
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
from .worker import READ_COUNTED, Count, Counted, Forget, Frames, Load, frame

LOG = structlog.get_logger()
LEAST_PAUSE, MOST_PAUSE = (
    0.05,
    5.0,
)  # seconds before a dead worker is replaced; doubled while they die at once
LOADING = 25.0  # times the patience with a count: a worker that has not loaded by then hangs
OnCounted = Callable[[Counted | None], None]


class Worker(ProcessProtocol):
    def __init__(self, pool: Workers, long: bool) -> None:
        self.pool, self.long = pool, long
        self.frames = Frames()
        self.number = 0
        self.waiting: OnCounted | None = None
        self.timer: Any = None
        self.process: Any = None
        self.counted = 0
        self.loading = 0  # versions that it was given and has not yet loaded
        self.started = False  # it has loaded all that it was given first
        self.patience = pool.patience  # milliseconds for what it does now

    def connectionMade(self) -> None:
        self.process = self.transport
        for vocabulary in self.pool.vocabularies.values():
            self.load(vocabulary)
        self._await()

    def load(self, vocabulary: Vocabulary) -> None:
        self.loading += 1
        self.tell(Load(vocabulary.version, vocabulary.text))

    def tell(self, message: Any) -> None:
        self.process.write(frame(message))

    def _await(self) -> None:
        """Times what is due from it: a count, or the end of its loading."""
        self._rest()
        patience = self.patience * (LOADING if self.loading else 1.0)
        self.timer = self.pool.reactor.callLater(patience / 1000, self._look_again)

    def _rest(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _loaded(self) -> None:
        self.loading -= 1
        if self.loading:
            return
        if not self.started:
            self.started = True
            self._rest()
            self.pool.free(self)
        elif self.waiting:
            self._await()  # the count that waited behind it begins

    def count(
        self, version: int, texts: list[str], most: int, patience: float, on_counted: OnCounted
    ) -> None:
        self.number += 1
        self.waiting, self.patience = on_counted, patience
        self.tell(Count(self.number, version, texts, most))
        self._await()

    def outReceived(self, data: bytes) -> None:
        try:
            for one in self.frames.feed(data):
                told = READ_COUNTED.decode(one)
                if not told.number:
                    self._loaded()
                elif told.number == self.number and self.waiting:
                    self.counted += 1
                    self._end(told)
        except msgspec.DecodeError:
            LOG.error("a tokenising worker sent what makes no sense; it is replaced")
            self.kill()

    def errReceived(self, data: bytes) -> None:
        LOG.warning("a tokenising worker says", text=data.decode(errors="replace")[-500:])

    def _end(self, told: Counted | None) -> None:
        on_counted, self.waiting = self.waiting, None
        self._rest()
        if on_counted:
            on_counted(told)
        if told is not None:
            self.pool.free(self)

    def _look_again(self) -> None:
        """Guards against a reactor that is late: what the worker has said is heard before time is called."""
        self.timer = self.pool.reactor.callLater(0, self._hung)

    def _hung(self) -> None:
        LOG.error("a tokenising worker hangs; it is replaced")
        self.kill()

    def kill(self) -> None:
        if self.process is not None and self.process.pid:
            self.process.signalProcess("KILL")

    def processEnded(self, reason: Failure) -> None:
        self.pool.ended(self)
        self._end(None)


class Workers:
    """`on_free` is called with a lane whenever one of its workers has nothing to do; `patience` is the
    settings' time limit of a count, milliseconds."""

    def __init__(
        self, reactor: Reactor, short: int, long: int, patience: float, on_free: Callable[[bool], None]
    ) -> None:
        self.reactor: Any = reactor
        self.on_free, self.patience = on_free, patience
        self.sizes = {False: short, True: long}
        self.vocabularies: dict[int, Vocabulary] = {}
        self.workers: dict[Worker, None] = {}
        self.idle: dict[bool, list[Worker]] = {False: [], True: []}
        self.pause = LEAST_PAUSE
        self.stopped = False
        self.replaced = 0

    def start(self, vocabularies: list[Vocabulary]) -> None:
        self.vocabularies = {one.version: one for one in vocabularies}
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
        """From now on these versions, and no others."""
        fresh = {one.version: one for one in vocabularies}
        for worker in self.workers:
            if worker.process is None:  # not started yet: it will be given all
                continue
            for version in fresh.keys() - self.vocabularies.keys():
                worker.load(fresh[version])
            for version in self.vocabularies.keys() - fresh.keys():
                worker.tell(Forget(version))
        self.vocabularies = fresh

    def free(self, worker: Worker) -> None:
        if worker in self.workers and not self.stopped:
            self.idle[worker.long].append(worker)
            self.on_free(worker.long)

    def take(self, long: bool) -> Worker | None:
        return self.idle[long].pop() if self.idle[long] else None

    def back(self, worker: Worker) -> None:
        """It was taken and is not needed."""
        self.idle[worker.long].append(worker)

    def ended(self, worker: Worker) -> None:
        self.workers.pop(worker, None)
        if worker in self.idle[worker.long]:
            self.idle[worker.long].remove(worker)
        if self.stopped:
            return
        self.replaced += 1
        self.pause = LEAST_PAUSE if worker.counted else min(MOST_PAUSE, 2 * self.pause)
        self.reactor.callLater(self.pause, self._spawn, worker.long)

    def stop(self) -> None:
        self.stopped = True
        for worker in list(self.workers):
            worker.kill()
