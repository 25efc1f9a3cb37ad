"""One process of the generator: sends each job at its intended time, whatever became of those before.

`python -m worksmux.load.worker` reads its `WorkerTask` as JSON from standard input and writes a line of JSON
each second and one at the end.  Delays count from the intended time, so a stall of the front, or of this very
process, stands in the figures of every job that it made late (the fault otherwise made is called coordinated
omission); how late the sending itself was is told apart, second by second.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from ..api import chat, errors
from ..api.engine import CHAT
from ..api.events import EventParser
from ..net import client, clock
from ..net.loop import Reactor, the_reactor
from .arrivals import Phase, arrivals
from .timer_queue import TimerQueue
from .trace import Recorder, Row, read

LONGEST = 3_600_000  # milliseconds that a histogram holds, in tenths
AHEAD = 1000.0  # milliseconds: arrivals are put on the wheel so long before they are due
TEXT = "the pump of bench seven was primed at noon and ran dry before the second reading, "


class RequestClassLoad(msgspec.Struct):
    """How one offering is asked; spans are (lowest, highest), times in milliseconds, lengths in tokens."""

    name: str
    share: float
    new_tokens: tuple[float, float]
    answer_tokens: tuple[float, float]
    turns: tuple[float, float]
    think: tuple[float, float]
    beginnings: int
    beginning_tokens: float
    retries: int
    wait: tuple[float, float]
    patience: float  # to a first token


class WorkerTask(msgspec.Struct):
    """What one process does."""

    targets: list[tuple[str, int]]
    phases: list[tuple[float, float, float, float, float, float, float]]  # see arrivals.Phase
    request_classes: list[RequestClassLoad] = msgspec.field(name="offerings")
    part: int
    parts: int
    seed: int
    start: float  # on the machine's clock
    length: float
    time_out: float
    most_open: int
    closed: int = 0  # as many clients that each wait for their answer: the baseline
    trace: str = ""
    speed: float = 1.0
    record: str = ""


class SecondStats(msgspec.Struct):
    """One second of sending, as seen from the intended times."""

    sent: int = 0
    ended: int = 0
    lag: float = 0.0  # the worst
    open: int = 0


class WorkerReport(msgspec.Struct):
    """A line of output; `final` carries the histograms (HDR, in tenths of a millisecond)."""

    part: int
    at: float
    ends: dict[str, int]
    lag: float
    open: int
    final: bool = False
    first: str = ""
    whole: str = ""
    from_send: str = ""
    lags: str = ""
    seconds: list[SecondStats] = []


def histogram() -> Any:
    return HdrHistogram(1, LONGEST * 10, 3)


def count(into: Any, ms: float) -> None:
    into.record_value(max(1, min(LONGEST * 10, round(ms * 10))))


class Request:
    """One job of one session, from its intended time on."""

    __slots__ = (
        "request_class",
        "session",
        "turns",
        "beginning",
        "prompt",
        "answer",
        "intended",
        "tries",
        "seen",
    )

    def __init__(
        self,
        request_class: RequestClassLoad,
        session: int,
        turns: int,
        beginning: str,
        prompt: float,
        answer: int,
        intended: float,
    ) -> None:
        self.request_class, self.session, self.turns, self.beginning = (
            request_class,
            session,
            turns,
            beginning,
        )
        self.prompt, self.answer, self.intended = prompt, answer, intended
        self.tries = 0
        self.seen = False


class Try:
    """One try on the wire; see `client.ResponseReceiver`."""

    def __init__(self, worker: Worker, request: Request, sent: float) -> None:
        self.worker, self.request, self.sent = worker, request, sent
        self.status = 0
        self.events: EventParser | None = None
        self.body = bytearray()
        self.first = 0.0
        self.code, self.finished, self.over = "", False, False
        self.call: client.Call | None = None
        self.guard: Any = None

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        if headers.get("content-type", "").startswith("text/event-stream"):
            self.events = EventParser(2**20)

    def body_received(self, data: bytes) -> None:
        if self.over:
            return
        if self.events is None:
            self.body += data
            return
        for event in self.events.feed(data):
            if event == b"[DONE]":
                self.finished = True
            elif not self.first and b'"content"' in event:
                self.first = clock.now()
            elif b'"error"' in event:
                self.code = errors.code_of(event) or "error"

    def done(self) -> None:
        if self.events is None:
            self.code = errors.code_of(bytes(self.body)) or f"status {self.status}"
        self._end(self.code or ("delivered" if self.finished else "cut"))

    def failed(self, trouble: client.CallError) -> None:
        self._end(self.code or ("unreachable" if isinstance(trouble, client.NotSentError) else "reset"))

    def late(self) -> None:
        if not self.over and not self.first:
            self._end("left")
            if self.call is not None:
                self.call.abandon()

    def _end(self, how: str) -> None:
        if not self.over:
            self.over = True
            if self.guard is not None and self.guard.active():
                self.guard.cancel()
            self.worker.ended(self, how)


class Worker:
    def __init__(self, work: WorkerTask, reactor: Reactor, say: Any) -> None:
        self.work, self.reactor, self.say = work, reactor, say
        self.chance = random.Random(work.seed * 1009 + work.part)
        self.pools = [
            client.Pool(reactor, host, port, 2000.0, 10_000.0, 256, 65_536) for host, port in work.targets
        ]
        self.wheel: TimerQueue[Request] = TimerQueue()
        self.first, self.whole, self.from_send, self.lags = (histogram() for _ in range(4))
        self.ends: Counter[str] = Counter()
        self.seconds: list[SecondStats] = []
        self.open = self.sessions = self.count = 0
        self.worst = 0.0
        self.coming = self._coming()
        self.next: Request | None = None
        self.recorder = Recorder(Path(work.record)) if work.record else None
        self.over = False
        self.timer: Any = None

    def _now(self) -> float:
        return clock.now() - self.work.start

    def run(self) -> None:
        self.next = next(self.coming, None)
        self.reactor.callLater(max(0.0, -self._now()) / 1000, self._begin)

    def _begin(self) -> None:
        for _ in range(self.work.closed):
            self._send(self._new(self._now()))
        self._turn()
        self.reactor.callLater(1.0, self._progress)

    # What is to come.

    def _coming(self) -> Iterator[Request]:
        work = self.work
        if work.closed:
            return
        if work.trace:
            by_name = {one.name: one for one in work.request_classes}
            plain = work.request_classes[0]
            for row in read(Path(work.trace), work.part, work.parts, work.speed):
                one = by_name.get(row.request_class, msgspec.structs.replace(plain, name=row.request_class))
                yield Request(
                    one, row.session, 1, row.beginning, row.prompt_tokens, row.answer_tokens, row.at
                )
            return
        turns = sum(one.share * sum(one.turns) / 2 for one in work.request_classes) / sum(
            one.share for one in work.request_classes
        )
        phases = [Phase(*phase) for phase in work.phases]
        for time in arrivals(phases, 1 / work.parts / turns, work.seed * 1009 + work.part):
            yield self._new(time)

    def _new(self, intended: float) -> Request:
        """The first job of a new session."""
        one = self.chance.choices(
            self.work.request_classes, [other.share for other in self.work.request_classes]
        )[0]
        self.sessions += 1
        beginning = f"lab {self.chance.randrange(one.beginnings)}" if one.beginnings else ""
        prompt = self.chance.uniform(*one.new_tokens) + (one.beginning_tokens if beginning else 0.0)
        session = self.sessions * self.work.parts + self.work.part
        return Request(
            one,
            session,
            round(self.chance.uniform(*one.turns)),
            beginning,
            prompt,
            round(self.chance.uniform(*one.answer_tokens)),
            intended,
        )

    def _turn(self) -> None:
        """Puts what comes soon on the wheel, and sends what is due."""
        now = self._now()
        while self.next is not None and self.next.intended <= now + AHEAD:
            self.wheel.put(self.next.intended, self.next)
            self.next = next(self.coming, None)
        for timer in self.wheel.due(now):
            self._send(timer.item)
        at = self.wheel.next_time()
        wait = min(at if at is not None else now + AHEAD / 2, now + AHEAD / 2) - self._now()
        if self._ended():
            return self._finish()
        self.timer = self.reactor.callLater(max(0.0, wait) / 1000, self._turn)

    def _ended(self) -> bool:
        if self.work.closed:
            return self._now() >= self.work.length and not self.open
        return self.next is None and not self.wheel.count and not self.open

    # Sending.

    def _second(self, time: float) -> SecondStats:
        at = max(0, int(time / 1000))
        while len(self.seconds) <= at:
            self.seconds.append(SecondStats())
        return self.seconds[at]

    def _send(self, request: Request) -> None:
        now = self._now()
        request.tries += 1
        if request.tries == 1:
            lag = now - request.intended
            count(self.lags, lag)
            second = self._second(request.intended)
            second.sent += 1
            second.lag = max(second.lag, lag)
            self.worst = max(self.worst, lag)
            self._record(request)
        if self.open >= self.work.most_open:  # told, never quietly left out
            self.ends["not sent: too many open"] += 1
            return
        self.open += 1
        one = request.request_class
        self.count += 1
        text = (
            request.beginning
            + " "
            + TEXT * (1 + int(one.beginning_tokens * chat.BYTES_PER_TOKEN / len(TEXT)))
        )
        shared = text[: int(one.beginning_tokens * chat.BYTES_PER_TOKEN)] if request.beginning else ""
        own = f"{request.session} {self.count} " + TEXT * (
            1 + int(request.prompt * chat.BYTES_PER_TOKEN / len(TEXT))
        )
        length = max(8, int(request.prompt * chat.BYTES_PER_TOKEN) - len(shared))
        messages = [{"role": "system", "content": shared}] if shared else []
        body = msgspec.json.encode(
            {
                "model": one.name,
                "stream": True,
                "max_tokens": max(1, request.answer),
                "messages": [*messages, {"role": "user", "content": own[:length]}],
            }
        )
        trial = Try(self, request, now)
        headers = [
            ("Content-Type", "application/json"),
            (chat.SESSION, f"s{request.session}"),
            (chat.TIME_LEFT, f"{one.patience:.0f}"),
            (chat.CLIENT_RETRIES, str(request.tries - 1)),
        ]
        if request.beginning:
            headers += [(chat.PREFIX, request.beginning), (chat.PREFIX_TOKENS, str(one.beginning_tokens))]
        pool = self.pools[(request.session + request.tries) % len(self.pools)]
        trial.guard = self.reactor.callLater(min(one.patience, self.work.time_out) / 1000, trial.late)
        trial.call = pool.call("POST", CHAT, trial, headers, body)

    def _record(self, request: Request) -> None:
        if self.recorder is not None:
            self.recorder.add(
                Row(
                    request.intended,
                    request.request_class.name,
                    request.session,
                    request.beginning,
                    request.request_class.beginning_tokens if request.beginning else 0.0,
                    request.prompt,
                    request.answer,
                )
            )

    def ended(self, one: Try, how: str) -> None:
        request, now = one.request, self._now()
        self.open -= 1
        if how in ("deferred", "unreachable") and request.tries <= request.request_class.retries:
            self.wheel.put(now + self.chance.uniform(*request.request_class.wait), request)
            return self._wake()
        self.ends[how] += 1
        self._second(now).ended += 1
        if how == "delivered":
            count(self.first, one.first - self.work.start - request.intended)
            count(self.from_send, one.first - self.work.start - one.sent)
            count(self.whole, now - request.intended)
        if self.work.closed:
            if now < self.work.length:
                self._send(self._new(now))
        elif request.turns > 1 and how == "delivered" and now < self.work.length:
            new = self.chance.uniform(*request.request_class.new_tokens)
            prompt = request.prompt + request.answer + new
            again = Request(
                request.request_class,
                request.session,
                request.turns - 1,
                request.beginning,
                prompt,
                round(self.chance.uniform(*request.request_class.answer_tokens)),
                now + self.chance.uniform(*request.request_class.think),
            )
            self.wheel.put(again.intended, again)
        self._wake()

    def _wake(self) -> None:
        """What was just put on the wheel may be due before the turn that was asked for."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
            self.timer = self.reactor.callLater(0, self._turn)

    # Telling.

    def _told(self, final: bool = False) -> WorkerReport:
        told = WorkerReport(self.work.part, self._now(), dict(self.ends), self.worst, self.open, final)
        if final:
            told.first, told.whole, told.from_send, told.lags = (
                one.encode().decode() for one in (self.first, self.whole, self.from_send, self.lags)
            )
            told.seconds = self.seconds
        return told

    def _progress(self) -> None:
        if not self.over:
            self._second(self._now()).open = self.open
            self.say(self._told())
            self.reactor.callLater(1.0, self._progress)

    def _finish(self) -> None:
        if not self.over:
            self.over = True
            if self.recorder is not None:
                self.recorder.close()
            self.say(self._told(final=True))
            self.reactor.callLater(0, self.reactor.stop)


def main() -> None:
    work = msgspec.json.decode(sys.stdin.buffer.read(), type=WorkerTask)
    reactor = the_reactor()
    Worker(work, reactor, lambda told: print(msgspec.json.encode(told).decode(), flush=True)).run()
    reactor.run()


if __name__ == "__main__":
    main()
