"""A worker process of the load generator: sends each request at its intended time, open loop.

`python -m worksmux.load.worker` reads a `WorkerTask` as JSON from standard input and writes a `WorkerReport`
as a line of JSON each second and at the end.  Delays are measured from the intended time, so a stall of the
gateway or of this process shows in the figures of every request that it delays; a measurement from the time
of sending would leave it out (coordinated omission).  The lag of the sending itself is reported for each
second.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import structlog
from hdrh.histogram import HdrHistogram

from ..api import chat, errors
from ..api.engine import CHAT
from ..api.events import EventParser
from ..net import client, clock
from ..net.loop import Reactor, the_reactor
from .arrivals import Phase, arrivals
from .timer_queue import TimerQueue
from .trace import Recorder, Row, read

MAX_DELAY_MS = 3_600_000  # that a histogram holds; histograms count tenths of a millisecond
LOOKAHEAD_MS = 1000.0  # arrivals enter the timer queue this long before they are due
TEXT = "the pump of bench seven was primed at noon and ran dry before the second reading, "


class RequestClassLoad(msgspec.Struct):
    """The requests of one request class; ranges are (lowest, highest), lengths in tokens."""

    name: str
    share: float
    new_tokens: tuple[float, float]
    answer_tokens: tuple[float, float]
    turns: tuple[float, float]
    think_ms: tuple[float, float] = msgspec.field(name="think")
    prefix_count: int = msgspec.field(name="beginnings")
    prefix_tokens: float = msgspec.field(name="beginning_tokens")
    retries: int
    retry_delay_ms: tuple[float, float] = msgspec.field(name="wait")
    patience_ms: float = msgspec.field(name="patience")  # until the first token


class WorkerTask(msgspec.Struct):
    """The part of a load that one worker process sends."""

    targets: list[tuple[str, int]]
    phases: list[tuple[float, float, float, float, float, float, float]]  # see arrivals.Phase
    request_classes: list[RequestClassLoad] = msgspec.field(name="offerings")
    worker_index: int = msgspec.field(name="part")
    worker_count: int = msgspec.field(name="parts")
    seed: int
    start_ms: float = msgspec.field(name="start")  # on the machine's clock
    length_ms: float = msgspec.field(name="length")
    timeout_ms: float = msgspec.field(name="time_out")
    max_open_requests: int = msgspec.field(name="most_open")
    # The number of clients that each wait for their answer; 0 for an open loop.
    closed_loop_clients: int = msgspec.field(name="closed", default=0)
    trace: str = ""
    speed: float = 1.0
    record: str = ""


class SecondStats(msgspec.Struct):
    """One second of the load: the requests that were due in it, and those that ended in it."""

    sent: int = 0
    ended: int = 0
    max_lag_ms: float = msgspec.field(name="lag", default=0.0)
    open_requests: int = msgspec.field(name="open", default=0)


class WorkerReport(msgspec.Struct):
    """A line of output; the final one has encoded HDR histograms in tenths of a millisecond."""

    worker_index: int = msgspec.field(name="part")
    elapsed_ms: float = msgspec.field(name="at")
    outcomes: dict[str, int] = msgspec.field(name="ends")
    max_lag_ms: float = msgspec.field(name="lag")
    open_requests: int = msgspec.field(name="open")
    is_final: bool = msgspec.field(name="final", default=False)
    first_token_histogram: str = msgspec.field(name="first", default="")
    answer_histogram: str = msgspec.field(name="whole", default="")
    first_token_from_send_histogram: str = msgspec.field(name="from_send", default="")
    lag_histogram: str = msgspec.field(name="lags", default="")
    seconds: list[SecondStats] = []


def histogram() -> Any:
    """An empty histogram of delays in tenths of a millisecond."""
    return HdrHistogram(1, MAX_DELAY_MS * 10, 3)


def count(into: Any, delay_ms: float) -> None:
    """Counts a delay in a histogram, within the histogram's bounds."""
    into.record_value(max(1, min(MAX_DELAY_MS * 10, round(delay_ms * 10))))


class Request:
    """One request of a session, with its retries."""

    __slots__ = (
        "request_class",
        "session",
        "turns",
        "prefix",
        "prompt_tokens",
        "answer_tokens",
        "intended_ms",
        "attempts",
        "seen",
    )

    def __init__(
        self,
        request_class: RequestClassLoad,
        session: int,
        turns: int,
        prefix: str,
        prompt_tokens: float,
        answer_tokens: int,
        intended_ms: float,
    ) -> None:
        self.request_class, self.session, self.turns, self.prefix = (
            request_class,
            session,
            turns,
            prefix,
        )
        self.prompt_tokens, self.answer_tokens, self.intended_ms = prompt_tokens, answer_tokens, intended_ms
        self.attempts = 0
        self.seen = False


class ClientAttempt:
    """One attempt of a request; receives the response (see `client.ResponseReceiver`)."""

    def __init__(self, worker: Worker, request: Request, sent_ms: float) -> None:
        self.worker, self.request, self.sent_ms = worker, request, sent_ms
        self.status = 0
        self.events: EventParser | None = None
        self.body = bytearray()
        self.first_token_at_ms = 0.0
        self.error_code, self.stream_complete, self.over = "", False, False
        self.call: client.Call | None = None
        self.timeout: Any = None

    @property
    def buffered_bytes(self) -> int:
        """How many bytes of a body that is no event stream are kept."""
        return len(self.body)

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        """Takes the status, and whether the body is an event stream."""
        self.status = status
        if headers.get("content-type", "").startswith("text/event-stream"):
            self.events = EventParser(2**20)

    def body_received(self, data: bytes) -> None:
        """Notes the first token, an error and the end of an event stream; collects another body."""
        if self.over:
            return
        if self.events is None:
            self.body += data
            return
        for event in self.events.feed(data):
            if event == b"[DONE]":
                self.stream_complete = True
            elif not self.first_token_at_ms and b'"content"' in event:
                self.first_token_at_ms = clock.now()
            elif b'"error"' in event:
                self.error_code = errors.code_of(event) or "error"

    def done(self) -> None:
        """Ends the attempt after a complete response; a stream without its end marker counts as cut."""
        if self.events is None:
            self.error_code = errors.code_of(bytes(self.body)) or f"status {self.status}"
        self._end(self.error_code or ("delivered" if self.stream_complete else "cut"))

    def failed(self, error: client.CallError) -> None:
        """Ends the attempt after an error of the connection."""
        self._end(self.error_code or ("unreachable" if isinstance(error, client.NotSentError) else "reset"))

    def on_timeout(self) -> None:
        """Disconnects, as a client whose patience has run out, unless a first token has come."""
        if not self.over and not self.first_token_at_ms:
            self._end("left")
            if self.call is not None:
                self.call.abandon()

    def _end(self, outcome: str) -> None:
        """Reports the outcome to the worker, once."""
        if not self.over:
            self.over = True
            if self.timeout is not None and self.timeout.active():
                self.timeout.cancel()
            self.worker.ended(self, outcome)


class Worker:
    """Sends the requests of a task and collects their figures."""

    def __init__(self, task: WorkerTask, reactor: Reactor, write_report: Any) -> None:
        self.task, self.reactor, self.write_report = task, reactor, write_report
        self.random_source = random.Random(task.seed * 1009 + task.worker_index)
        self.pools = [
            client.Pool(reactor, host, port, 2000.0, 10_000.0, 256, 65_536) for host, port in task.targets
        ]
        self.timer_queue: TimerQueue[Request] = TimerQueue()
        self.first_token_delays, self.answer_delays, self.first_token_delays_from_send, self.lags = (
            histogram() for _ in range(4)
        )
        self.outcomes: Counter[str] = Counter()
        self.seconds: list[SecondStats] = []
        self.open_requests = self.sessions = self.attempts_sent = 0
        self.max_lag_ms = 0.0
        self.arrivals = self._arrivals()
        self.next_request: Request | None = None
        self.recorder = Recorder(Path(task.record)) if task.record else None
        self.over = False
        self.timer: Any = None

    def _now(self) -> float:
        """Milliseconds since the start of the load; negative before it."""
        return clock.now() - self.task.start_ms

    def run(self) -> None:
        """Schedules the start of the load."""
        self.next_request = next(self.arrivals, None)
        self.reactor.callLater(max(0.0, -self._now()) / 1000, self._start)

    def _start(self) -> None:
        """Starts the clients of a closed loop, the timer and the progress reports."""
        for _ in range(self.task.closed_loop_clients):
            self._send(self._new_session(self._now()))
        self._on_timer()
        self.reactor.callLater(1.0, self._report_progress)

    # Arrivals.

    def _arrivals(self) -> Iterator[Request]:
        """The first requests of all sessions, or all requests of a trace, in order of time."""
        task = self.task
        if task.closed_loop_clients:
            return
        if task.trace:
            by_name = {request_class.name: request_class for request_class in task.request_classes}
            default = task.request_classes[0]
            for row in read(Path(task.trace), task.worker_index, task.worker_count, task.speed):
                traced_class = by_name.get(
                    row.request_class, msgspec.structs.replace(default, name=row.request_class)
                )
                yield Request(
                    traced_class,
                    row.session,
                    1,
                    row.prefix,
                    row.prompt_tokens,
                    row.answer_tokens,
                    row.arrival_ms,
                )
            return
        mean_turns = sum(
            request_class.share * sum(request_class.turns) / 2 for request_class in task.request_classes
        ) / sum(request_class.share for request_class in task.request_classes)
        phases = [Phase(*phase) for phase in task.phases]
        for time_ms in arrivals(
            phases, 1 / task.worker_count / mean_turns, task.seed * 1009 + task.worker_index
        ):
            yield self._new_session(time_ms)

    def _new_session(self, intended_ms: float) -> Request:
        """The first request of a new session."""
        chosen_class = self.random_source.choices(
            self.task.request_classes, [request_class.share for request_class in self.task.request_classes]
        )[0]
        self.sessions += 1
        prefix = (
            f"lab {self.random_source.randrange(chosen_class.prefix_count)}"
            if chosen_class.prefix_count
            else ""
        )
        prompt_tokens = self.random_source.uniform(*chosen_class.new_tokens) + (
            chosen_class.prefix_tokens if prefix else 0.0
        )
        session = self.sessions * self.task.worker_count + self.task.worker_index
        return Request(
            chosen_class,
            session,
            round(self.random_source.uniform(*chosen_class.turns)),
            prefix,
            prompt_tokens,
            round(self.random_source.uniform(*chosen_class.answer_tokens)),
            intended_ms,
        )

    def _on_timer(self) -> None:
        """Queues the arrivals within the lookahead, sends the requests that are due, and sets a new timer."""
        now = self._now()
        while self.next_request is not None and self.next_request.intended_ms <= now + LOOKAHEAD_MS:
            self.timer_queue.put(self.next_request.intended_ms, self.next_request)
            self.next_request = next(self.arrivals, None)
        for timer in self.timer_queue.due(now):
            self._send(timer.item)
        next_ms = self.timer_queue.next_time()
        wait_ms = (
            min(next_ms if next_ms is not None else now + LOOKAHEAD_MS / 2, now + LOOKAHEAD_MS / 2)
            - self._now()
        )
        if self._is_complete():
            return self._finish()
        self.timer = self.reactor.callLater(max(0.0, wait_ms) / 1000, self._on_timer)

    def _is_complete(self) -> bool:
        """Whether no request is open and none will be sent."""
        if self.task.closed_loop_clients:
            return self._now() >= self.task.length_ms and not self.open_requests
        return self.next_request is None and not self.timer_queue.count and not self.open_requests

    # Sending.

    def _second(self, time_ms: float) -> SecondStats:
        """The figures of the second that holds a time."""
        index = max(0, int(time_ms / 1000))
        while len(self.seconds) <= index:
            self.seconds.append(SecondStats())
        return self.seconds[index]

    def _send(self, request: Request) -> None:
        """Sends an attempt of a request, unless too many requests are open."""
        now = self._now()
        request.attempts += 1
        if request.attempts == 1:
            lag_ms = now - request.intended_ms
            count(self.lags, lag_ms)
            second = self._second(request.intended_ms)
            second.sent += 1
            second.max_lag_ms = max(second.max_lag_ms, lag_ms)
            self.max_lag_ms = max(self.max_lag_ms, lag_ms)
            self._record(request)
        if self.open_requests >= self.task.max_open_requests:  # counted, so that the report shows it
            self.outcomes["not sent: too many open"] += 1
            return
        self.open_requests += 1
        request_class = request.request_class
        self.attempts_sent += 1
        text = (
            request.prefix
            + " "
            + TEXT * (1 + int(request_class.prefix_tokens * chat.BYTES_PER_TOKEN / len(TEXT)))
        )
        shared_text = (
            text[: int(request_class.prefix_tokens * chat.BYTES_PER_TOKEN)] if request.prefix else ""
        )
        own_text = f"{request.session} {self.attempts_sent} " + TEXT * (
            1 + int(request.prompt_tokens * chat.BYTES_PER_TOKEN / len(TEXT))
        )
        own_length = max(8, int(request.prompt_tokens * chat.BYTES_PER_TOKEN) - len(shared_text))
        messages = [{"role": "system", "content": shared_text}] if shared_text else []
        body = msgspec.json.encode(
            {
                "model": request_class.name,
                "stream": True,
                "max_tokens": max(1, request.answer_tokens),
                "messages": [*messages, {"role": "user", "content": own_text[:own_length]}],
            }
        )
        attempt = ClientAttempt(self, request, now)
        headers = [
            ("Content-Type", "application/json"),
            (chat.SESSION, f"s{request.session}"),
            (chat.TIME_LEFT, f"{request_class.patience_ms:.0f}"),
            (chat.CLIENT_RETRIES, str(request.attempts - 1)),
        ]
        if request.prefix:
            headers += [
                (chat.PREFIX, request.prefix),
                (chat.PREFIX_TOKENS, str(request_class.prefix_tokens)),
            ]
        pool = self.pools[(request.session + request.attempts) % len(self.pools)]
        attempt.timeout = self.reactor.callLater(
            min(request_class.patience_ms, self.task.timeout_ms) / 1000, attempt.on_timeout
        )
        attempt.call = pool.call("POST", CHAT, attempt, headers, body)

    def _record(self, request: Request) -> None:
        """Adds a request to the recorded trace."""
        if self.recorder is not None:
            self.recorder.add(
                Row(
                    request.intended_ms,
                    request.request_class.name,
                    request.session,
                    request.prefix,
                    request.request_class.prefix_tokens if request.prefix else 0.0,
                    request.prompt_tokens,
                    request.answer_tokens,
                )
            )

    def ended(self, attempt: ClientAttempt, outcome: str) -> None:
        """Counts the outcome of an attempt; queues its retry or the next request of its session."""
        request, now = attempt.request, self._now()
        self.open_requests -= 1
        if outcome in ("deferred", "unreachable") and request.attempts <= request.request_class.retries:
            self.timer_queue.put(
                now + self.random_source.uniform(*request.request_class.retry_delay_ms), request
            )
            return self._reschedule()
        self.outcomes[outcome] += 1
        self._second(now).ended += 1
        if outcome == "delivered":
            count(
                self.first_token_delays,
                attempt.first_token_at_ms - self.task.start_ms - request.intended_ms,
            )
            count(
                self.first_token_delays_from_send,
                attempt.first_token_at_ms - self.task.start_ms - attempt.sent_ms,
            )
            count(self.answer_delays, now - request.intended_ms)
        if self.task.closed_loop_clients:
            if now < self.task.length_ms:
                self._send(self._new_session(now))
        elif request.turns > 1 and outcome == "delivered" and now < self.task.length_ms:
            new_tokens = self.random_source.uniform(*request.request_class.new_tokens)
            prompt_tokens = request.prompt_tokens + request.answer_tokens + new_tokens
            next_turn = Request(
                request.request_class,
                request.session,
                request.turns - 1,
                request.prefix,
                prompt_tokens,
                round(self.random_source.uniform(*request.request_class.answer_tokens)),
                now + self.random_source.uniform(*request.request_class.think_ms),
            )
            self.timer_queue.put(next_turn.intended_ms, next_turn)
        self._reschedule()

    def _reschedule(self) -> None:
        """Runs the timer at once: a request that was just queued may be due before the timer that is set."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
            self.timer = self.reactor.callLater(0, self._on_timer)

    # Reports.

    def _report(self, is_final: bool = False) -> WorkerReport:
        """The report of the load so far."""
        report = WorkerReport(
            self.task.worker_index,
            self._now(),
            dict(self.outcomes),
            self.max_lag_ms,
            self.open_requests,
            is_final,
        )
        if is_final:
            (
                report.first_token_histogram,
                report.answer_histogram,
                report.first_token_from_send_histogram,
                report.lag_histogram,
            ) = (
                delays.encode().decode()
                for delays in (
                    self.first_token_delays,
                    self.answer_delays,
                    self.first_token_delays_from_send,
                    self.lags,
                )
            )
            report.seconds = self.seconds
        return report

    def _report_progress(self) -> None:
        """Writes a progress report each second until the load is over."""
        if not self.over:
            self._second(self._now()).open_requests = self.open_requests
            self.write_report(self._report())
            self.reactor.callLater(1.0, self._report_progress)

    def _finish(self) -> None:
        """Closes the trace, writes the final report and stops the reactor, once."""
        if not self.over:
            self.over = True
            if self.recorder is not None:
                self.recorder.close()
            self.write_report(self._report(is_final=True))
            self.reactor.callLater(0, self.reactor.stop)


def log_to_standard_error() -> None:
    """Keeps log lines off standard output, which has the reports.

    Failure: the handling of one read takes long, as the machine stands still; the log line of that is read
    as a report, and the whole load fails.
    """
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))


def main() -> None:
    """Runs the task from standard input."""
    log_to_standard_error()
    task = msgspec.json.decode(sys.stdin.buffer.read(), type=WorkerTask)
    reactor = the_reactor()
    Worker(task, reactor, lambda report: print(msgspec.json.encode(report).decode(), flush=True)).run()
    reactor.run()


if __name__ == "__main__":
    main()
