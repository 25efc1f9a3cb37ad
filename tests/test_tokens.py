"""Counting of prompts: exact for every text and cut, cached within the bound, and decided in time."""

from __future__ import annotations

import json
import os
import signal
from array import array
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from twisted.internet import task
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.process import reapAllProcesses

from worksmux.fault_trial.small import SETTINGS, Rig
from worksmux.net import clock
from worksmux.settings.front import Counting
from worksmux.tokenization.blocks import SharedPrefixes, block_hashes
from worksmux.tokenization.cache import LruCache, TinyLfuCache, entry_bytes
from worksmux.tokenization.pieces import Cuts, cut, render
from worksmux.tokenization.pool import Worker, Workers
from worksmux.tokenization.samples import SAMPLES
from worksmux.tokenization.scheduler import CountRequest, CountScheduler, Verdict
from worksmux.tokenization.service import Result, TokenService
from worksmux.tokenization.sketch import Sketch
from worksmux.tokenization.vocabulary import TokenizerFormatError, load, tokens
from worksmux.tokenization.worker import Counted, frame

VOCABULARIES = [load(f"examples/tokenizers/{name}.json") for name in ("lab-1", "lab-2")]
OPENED = [vocabulary.open() for vocabulary in VOCABULARIES]
BOUNDS = Counting(1 << 20, 1, 1, 20_000, 1 << 20, 200, 16, 10_000, 2, 5_000.0)
TEXT = st.one_of(
    st.text(max_size=300),
    st.lists(
        st.sampled_from(
            ["\n", "\n\n", " ", "a", "'s", "1", "ä", "水", "🔥", "\t", "x\ny", "<|im_end|>", "-"]
        ),
        max_size=60,
    ).map("".join),
    st.sampled_from(list(SAMPLES.values())),
)
MESSAGES = st.lists(st.tuples(st.sampled_from(["system", "user", "assistant", "tool"]), TEXT), max_size=5)


def in_pieces(which: int, messages: list[tuple[str, str]], longest: int) -> bytes:
    return b"".join(
        tokens(OPENED[which], piece.text) for piece in cut(messages, VOCABULARIES[which].cuts, longest)
    )


@pytest.mark.parametrize("which", [0, 1])
@pytest.mark.parametrize("name", SAMPLES)
def test_count_equals_the_reference_on_every_sample(which: int, name: str) -> None:
    messages = [("system", SAMPLES[name]), ("user", SAMPLES[name] * 20)]
    assert VOCABULARIES[which].cuts is Cuts.LINES
    for longest in (1, 30, 500, 10**9):
        assert in_pieces(which, messages, longest) == tokens(OPENED[which], render(messages))


@settings(max_examples=300, deadline=None)
@given(MESSAGES, st.integers(1, 50), st.integers(0, 1))
def test_pieces_are_exact_on_any_text_and_cut(
    messages: list[tuple[str, str]], longest: int, which: int
) -> None:
    assert in_pieces(which, messages, longest) == tokens(OPENED[which], render(messages))
    assert "".join(piece.text for piece in cut(messages, Cuts.LINES, longest)) == render(messages)


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(["user", "assistant"]), TEXT), min_size=2, max_size=6), st.data())
def test_next_turn_has_the_pieces_of_the_previous_turn(
    messages: list[tuple[str, str]], data: st.DataObject
) -> None:
    turn = data.draw(st.integers(1, len(messages) - 1))
    before = [piece.key for piece in cut(messages[:turn], Cuts.LINES, 40)][:-1]
    assert [piece.key for piece in cut(messages, Cuts.LINES, 40)][: len(before)] == before


@settings(max_examples=100, deadline=None)
@given(TEXT, st.integers(0, 1))
def test_bounds_hold_around_every_count(text: str, which: int) -> None:
    size = len(text.encode("utf-8", "surrogatepass"))
    request = CountRequest(0, size, 10**9, VOCABULARIES[which].longest_token, 1000.0, 0.0)
    count = len(tokens(OPENED[which], text)) // 4
    assert request.min_tokens <= count <= request.max_tokens


def test_incomplete_tokenizer_file_is_refused_with_a_reason(tmp_path: Path) -> None:
    text = Path("examples/tokenizers/lab-1.json").read_text()
    for name, content, words in (
        ("half", text[: len(text) // 2], "not a complete"),
        ("empty", "", "not a complete"),
        ("bare", text.replace("<|im_end|>", "<|other|>"), "has no token"),
    ):
        path = tmp_path / f"{name}.json"
        path.write_text(content)
        with pytest.raises(TokenizerFormatError, match=words):
            load(path)
    with pytest.raises(TokenizerFormatError, match="cannot be read"):
        load(tmp_path / "none.json")


def test_tokenizer_that_merges_across_lines_is_cut_at_markers_only(tmp_path: Path) -> None:
    form = json.loads(Path("examples/tokenizers/lab-1.json").read_text())
    form["pre_tokenizer"] = None  # nothing splits the text before tokens are merged
    path = tmp_path / "merging.json"
    path.write_text(json.dumps(form))
    assert load(path).cuts is Cuts.MARKERS
    for token in form["added_tokens"]:
        token["lstrip"] = True
    path.write_text(json.dumps(form))
    assert load(path).cuts is Cuts.NONE


# Prefixes.


@given(st.lists(st.integers(0, 5), max_size=40), st.lists(st.integers(0, 5), max_size=40), st.integers(1, 5))
def test_equal_blocks_mean_equal_prefixes(first: list[int], second: list[int], block: int) -> None:
    a, b = (block_hashes(array("I", ids).tobytes(), block, 3) for ids in (first, second))
    for index, (x, y) in enumerate(zip(a, b, strict=False)):
        assert (x == y) == (first[: (index + 1) * block] == second[: (index + 1) * block])


def test_prefix_is_shared_after_two_sessions() -> None:
    shared = SharedPrefixes(100)
    assert shared.observe([1, 2, 3], 7) == 0 and shared.observe([1, 2, 3, 4], 7) == 0
    assert shared.observe([1, 2, 9], 8) == 2 and shared.observe([1, 2, 3], 7) == 2
    for number in range(200):
        shared.observe([1000 + number], number)
    assert len(shared.seen) == 100 and shared.observe([1, 2], 9) == 0


# The cache.


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 400)), max_size=200), st.integers(2_000, 20_000))
def test_cached_bytes_never_exceed_the_bound(steps: list[tuple[int, int]], bound: int) -> None:
    for cache in (LruCache(bound), TinyLfuCache(bound, 256)):
        for key, size in steps:
            ids = bytes(size)
            cached_ids = cache.get(key)
            assert cached_ids is None or isinstance(cached_ids, bytes)
            if cached_ids is None:
                cache.put(key, ids)
            assert cache.used <= bound


def test_cached_ids_are_those_that_were_put() -> None:
    for cache in (LruCache(50_000), TinyLfuCache(50_000, 256)):
        for key in range(60):
            cache.put(key, bytes([key]) * key)
            cache.get(key)
        assert all(ids in (None, bytes([key]) * key) for key in range(60) for ids in [cache.get(key)])
        assert any(cache.get(key) for key in range(1, 60))


def hit_rate(cache: Any, trace: list[int]) -> float:
    hits = 0
    for key in trace:
        if cache.get(key) is not None:
            hits += 1
        else:
            cache.put(key, bytes(600))
    return hits / len(trace)


def test_scan_of_one_time_prompts_does_not_evict_shared_pieces() -> None:
    import random

    random_source, trace = random.Random(3), []
    for index in range(20_000):
        trace.append(random_source.randrange(60) if random_source.random() < 0.4 else 1000 + index)
    size = 50 * entry_bytes(bytes(600))
    assert hit_rate(TinyLfuCache(size, 256), trace) > 1.3 * hit_rate(LruCache(size), trace)


def test_sketch_counts_and_forgets() -> None:
    sketch = Sketch(64)
    for _ in range(30):
        sketch.add(5)
    assert sketch.count(5) >= 15 and sketch.count(6) <= 1
    for key in range(2000):
        sketch.add(100 + key)
    assert sketch.count(5) < 15


# The scheduler.


def count_request(
    missing: int, known: int = 0, limit: int = 10**9, now: float = 0.0, target_ms: float = 1000.0
) -> CountRequest:
    return CountRequest(known, missing, limit, 8, target_ms, now)


def make_scheduler(bound: int = 10_000, long: int = 1000) -> CountScheduler:
    return CountScheduler(long, bound, 1, 1, 5000.0)


def test_cached_prompt_is_counted_and_one_surely_too_long_is_refused_uncounted() -> None:
    scheduler = make_scheduler()
    assert scheduler.arrive(count_request(0, 50)) is Verdict.COUNTED
    assert scheduler.arrive(count_request(801, limit=100)) is Verdict.TOO_LONG and scheduler.refused == 1
    assert scheduler.arrive(count_request(800, limit=100)) is Verdict.WAIT


def test_with_a_full_queue_bounds_are_used_and_prompts_that_may_be_too_long_are_rejected() -> None:
    scheduler = make_scheduler(bound=500)
    assert scheduler.arrive(count_request(400)) is Verdict.WAIT
    assert (
        scheduler.arrive(count_request(200)) is Verdict.UPPER_BOUND
        and scheduler.arrive(count_request(200, limit=150)) is Verdict.REJECT
    )
    first = scheduler.next(False)
    assert first
    scheduler.begin(first, 5.0)
    scheduler.done(first, 10.0)
    assert scheduler.arrive(count_request(200)) is not Verdict.REJECT and scheduler.queues[False].bytes == 200


def test_short_prompts_have_their_own_workers_and_the_earliest_target_is_next() -> None:
    scheduler = make_scheduler()
    late, long, soon = (
        count_request(10, target_ms=900.0),
        count_request(5000),
        count_request(20, target_ms=300.0),
    )
    for each in (late, long, soon):
        scheduler.arrive(each)
    assert (
        scheduler.next(False) is soon
        and scheduler.next(True) is long
        and scheduler.next(False) is late
        and not scheduler.next(False)
    )


def test_wait_for_a_count_ends_within_the_latency_target() -> None:
    scheduler = make_scheduler()
    sure, unsure = count_request(100), count_request(100, limit=90)
    assert scheduler.arrive(sure) is scheduler.arrive(unsure) is Verdict.WAIT
    first_deadline = scheduler.next_deadline()
    assert first_deadline is not None and first_deadline < 200
    assert (
        scheduler.expire(first_deadline) == [(sure, Verdict.UPPER_BOUND)]
        and scheduler.expire(first_deadline) == []
    )
    last_deadline = scheduler.next_deadline()
    assert (
        last_deadline is not None
        and last_deadline <= 500
        and scheduler.expire(last_deadline) == [(unsure, Verdict.REJECT)]
    )


def test_expected_wait_decides_before_the_queue_is_full() -> None:
    scheduler = make_scheduler()
    slow = count_request(100)
    scheduler.arrive(slow)
    scheduler.next(False)
    scheduler.begin(slow, 0.0)
    scheduler.done(slow, 1000.0)  # ten milliseconds per byte
    assert scheduler.arrive(count_request(100, now=1000.0)) is Verdict.UPPER_BOUND
    assert scheduler.arrive(count_request(100, limit=90, now=1000.0)) is Verdict.REJECT


def test_prompt_that_loses_two_workers_proceeds_with_its_bound() -> None:
    scheduler, poison = make_scheduler(), count_request(100)
    scheduler.arrive(poison)
    scheduler.next(False)
    assert scheduler.lost(poison, 1.0) is Verdict.WAIT and scheduler.next(False) is poison
    assert (
        scheduler.lost(poison, 2.0) is Verdict.UPPER_BOUND
        and scheduler.queues[False].bytes == 0
        and poison.finished
    )


class SchedulerMachine(RuleBasedStateMachine):
    """The queued bytes match the queued prompts and stay within the bound; no prompt waits past its limit."""

    def __init__(self) -> None:
        super().__init__()
        self.scheduler, self.now = make_scheduler(2000, 300), 0.0
        self.queued: list[CountRequest] = []
        self.out: list[CountRequest] = []

    @rule(size=st.integers(0, 900), limit=st.sampled_from([50, 400, 10**9]), target_ms=st.floats(10, 2000))
    def arrive(self, size: int, limit: int, target_ms: float) -> None:
        request = count_request(size, limit=limit, now=self.now, target_ms=target_ms)
        verdict = self.scheduler.arrive(request)
        if verdict is Verdict.WAIT or verdict is Verdict.UPPER_BOUND and request.wait_until:
            self.queued.append(request)
        if verdict is Verdict.UPPER_BOUND:
            assert request.max_tokens <= limit

    @rule(long=st.booleans())
    def serve(self, long: bool) -> None:
        request = self.scheduler.next(long)
        if request:
            self.queued.remove(request)
            self.out.append(request)
            assert self.scheduler.begin(request, self.now) > 0

    @precondition(lambda self: self.out)
    @rule(how=st.sampled_from(["done", "lost", "gone"]))
    def end(self, how: str) -> None:
        request = self.out.pop()
        if how == "lost":
            if self.scheduler.lost(request, self.now) is Verdict.WAIT:
                self.queued.append(request)
        elif how == "done":
            self.scheduler.done(request, self.now)
        else:
            self.scheduler.cancel(request)

    @rule(step=st.floats(0, 500))
    def wait(self, step: float) -> None:
        self.now += step
        for request, verdict in self.scheduler.expire(self.now):
            assert verdict is (Verdict.UPPER_BOUND if request.max_tokens <= request.limit else Verdict.REJECT)
        assert all(not request.waits or request.wait_until > self.now for request in self.queued + self.out)

    @invariant()
    def queued_bytes_match_the_queued_prompts(self) -> None:
        total = sum(queue.bytes for queue in self.scheduler.queues.values())
        assert total == sum(request.missing for request in self.queued + self.out) <= 2000


TestScheduler = SchedulerMachine.TestCase
TestScheduler.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


# The service with real workers.

LONG_TARGET_MS = 600_000.0  # a latency target that even a busy machine meets


class Bench:
    """A token service on its own reactor."""

    def __init__(self, bounds: Counting = BOUNDS, request_classes: int = 1) -> None:
        self.reactor: Any = EPollReactor()
        self.service = TokenService(self.reactor, bounds, [VOCABULARIES[0]] * request_classes)
        self.results: list[Result] = []

    def count(
        self,
        text: str,
        limit: int = 10**9,
        target_ms: float = 20_000.0,
        request_class: int = 0,
        session: int = 0,
    ) -> Any:
        return self.service.count(
            [("user", text)], request_class, limit, target_ms, session, self.results.append
        )

    def run(self, until: Any, within: float = 20.0) -> None:
        end = clock.now() + within * 1000

        def look() -> None:
            # SIGCHLD does this in the program.  Without it Twisted checks a process only once, when its pipes
            # close, and never reports the end of a process that a busy machine ends later than its pipes.
            reapAllProcesses()
            if until() or clock.now() > end:
                self.service.stop()
                self.reactor.stop()
            else:
                self.reactor.callLater(0.005, look)

        self.reactor.callLater(0, look)
        self.reactor.run(installSignalHandlers=False)
        assert until(), "not over in time"

    def start(self) -> None:
        self.service.start()


def exact(text: str, which: int = 0) -> int:
    return len(tokens(OPENED[which], render([("user", text)]))) // 4


def test_service_counts_as_the_reference_and_keeps_what_it_counted() -> None:
    bench = Bench()
    bench.start()
    for text in SAMPLES.values():
        bench.count(text)
    bench.run(lambda: len(bench.results) == len(SAMPLES))
    assert sorted(result.prompt for result in bench.results) == sorted(map(exact, SAMPLES.values()))
    counted = bench.service.bytes_counted
    bench.count(SAMPLES["finnish"])  # cached: reported before the call returns, although no worker runs
    assert bench.results[-1].exact and bench.service.bytes_counted == counted


def test_killed_and_stopped_workers_are_replaced_and_no_prompt_is_lost() -> None:
    """The time limit is long enough for a busy machine: a prompt on which two workers hang is not counted."""
    bench = Bench(Counting(1 << 20, 1, 1, 20_000, 1 << 20, 200, 16, 10_000, 2, 4000.0))
    bench.start()
    signalled_pids: list[int] = []

    def signal_workers() -> None:
        workers = list(bench.service.workers.workers)
        if not all(worker.started for worker in workers):
            bench.reactor.callLater(0.005, signal_workers)
            return
        for index, worker in enumerate(workers):
            signalled_pids.append(worker.process.pid)
            os.kill(worker.process.pid, signal.SIGSTOP if index else signal.SIGKILL)
        for text in SAMPLES.values():
            bench.count(text, target_ms=LONG_TARGET_MS)
        bench.count("line of a log\n" * 3000, target_ms=LONG_TARGET_MS)  # the worker for long prompts hangs

    bench.reactor.callLater(0, signal_workers)
    bench.run(lambda: len(bench.results) >= len(SAMPLES) + 1 and bench.service.workers.replaced >= 2, 60.0)
    assert len(signalled_pids) == 2 and all(result.verdict is Verdict.COUNTED for result in bench.results)


def test_no_count_of_an_old_version_is_reported_after_a_change() -> None:
    bench = Bench()
    bench.start()
    texts = [f"{name} {repeat} {text}" for repeat in range(30) for name, text in SAMPLES.items()]
    results: list[tuple[int, Result, str]] = []
    changes = 0

    def on_result(result: Result, text: str) -> None:
        """Switches after every 20 results, not by the clock.

        On a busy machine all switches would be over before the first worker has loaded.
        """
        nonlocal changes
        results.append((bench.service.vocabularies[0].version, result, text))
        if len(results) % 20 == 0 and changes < 21:
            changes += 1
            bench.service.switch_vocabularies([VOCABULARIES[changes % 2]])

    for text in texts:
        bench.service.count(
            [("user", text)], 0, 10**9, LONG_TARGET_MS, 0, lambda result, text=text: on_result(result, text)
        )
    bench.run(lambda: len(results) == len(texts), 60.0)
    versions = {vocabulary.version: index for index, vocabulary in enumerate(VOCABULARIES)}
    assert all(now == result.version for now, result, _ in results) and bench.service.recounted > 0
    assert all(
        result.exact and result.prompt == exact(text, versions[result.version]) for _, result, text in results
    )


def test_two_versions_side_by_side_do_not_share_counts() -> None:
    bench = Bench(request_classes=2)
    bench.service.vocabularies = VOCABULARIES
    bench.start()
    bench.count(SAMPLES["russian"])
    bench.count(SAMPLES["russian"], request_class=1)
    bench.run(lambda: len(bench.results) == 2)
    assert {result.prompt for result in bench.results} == {
        exact(SAMPLES["russian"]),
        exact(SAMPLES["russian"], 1),
    }


def test_disconnect_of_a_client_removes_its_prompt_from_the_queue() -> None:
    bench = Bench()
    prompts = [bench.count("x\n" * 400) for _ in range(3)]
    for prompt in prompts:
        bench.service.cancel(prompt)
    assert (
        not bench.service.open and sum(queue.bytes for queue in bench.service.scheduler.queues.values()) == 0
    )


class FakeProcess:
    """A fake process of a worker that counts the messages to it and the attempts to kill it."""

    def __init__(self) -> None:
        self.pid, self.sent, self.ends = 1, 0, 0

    def write(self, data: bytes) -> None:
        self.sent += 1

    def signalProcess(self, name: str) -> None:
        self.ends += 1


def slow_worker() -> tuple[task.Clock, Workers, Worker, FakeProcess]:
    """A worker that has been started and is loading."""
    clock, process = task.Clock(), FakeProcess()
    pool = Workers(clock, 0, 0, 400.0, lambda long: None)  # type: ignore[arg-type]
    pool.start([VOCABULARIES[0]])
    worker = Worker(pool, False)
    pool.workers[worker] = None
    worker.transport = process
    worker.connectionMade()
    return clock, pool, worker, process


def test_worker_gets_no_count_and_does_not_count_as_hung_while_it_starts() -> None:
    """Guards against killing workers that a busy machine is still starting, which lost their prompts."""
    clock, pool, worker, process = slow_worker()
    clock.pump([0.1] * 50)
    assert pool.take(False) is None and not process.ends
    worker.outReceived(frame(Counted(0, VOCABULARIES[0].version)))
    assert pool.take(False) is worker
    clock.pump([0.1] * 200)
    assert not process.ends  # it owes no reply


def test_worker_that_never_starts_is_replaced() -> None:
    clock, _, _, process = slow_worker()
    clock.pump([1.0] * 12)
    assert process.ends == 1


def test_time_of_a_count_begins_when_the_versions_before_it_are_loaded() -> None:
    clock, pool, worker, process = slow_worker()
    worker.outReceived(frame(Counted(0, VOCABULARIES[0].version)))
    pool.switch_vocabularies(VOCABULARIES)
    replies: list[Any] = []
    worker.count(VOCABULARIES[1].version, ["a"], 9, 200.0, replies.append)
    clock.pump([0.1] * 10)
    assert not process.ends
    worker.outReceived(frame(Counted(0, VOCABULARIES[1].version)))
    clock.pump([0.1] * 4)
    assert process.ends == 1 and not replies  # now the count is overdue


class FakeWorkers:
    """Fake workers that finish when the test ends their count."""

    def __init__(self) -> None:
        self.replaced, self.busy, self.idle = 0, [], {False: 1, True: 1}  # type: int, list[Any], dict[bool, int]
        self.dispatch: Any = None

    def switch_vocabularies(self, vocabularies: Any) -> None: ...

    def take(self, long: bool) -> Any:
        if not self.idle[long]:
            return None
        self.idle[long] -= 1
        return type("Worker", (), {"long": long, "count": lambda _, *args: self.busy.append((long, *args))})()

    def put_back(self, worker: Any) -> None:
        self.idle[worker.long] += 1

    def end(self, index: int, lost: bool) -> None:
        from worksmux.tokenization.worker import Counted

        long, version, texts, most, _, on_counted = self.busy.pop(index % len(self.busy))
        which = [vocabulary.version for vocabulary in VOCABULARIES].index(version)
        ids = [tokens(OPENED[which], text) for text in texts]
        more = [max(0, len(packed) // 4 - most) for packed in ids]
        reply = Counted(0, version, [packed[: most * 4] for packed in ids], more)
        on_counted(None if lost else reply)
        self.idle[long] += 1
        self.dispatch(long)


class VersionMachine(RuleBasedStateMachine):
    """No stale count is reported, for any order of arrivals, counts, lost workers and changes of version."""

    def __init__(self) -> None:
        super().__init__()
        timer = type("Timer", (), {"active": lambda _: True, "cancel": lambda _: None})()
        reactor: Any = type("Reactor", (), {"callLater": lambda *_: timer})()
        self.service = TokenService(reactor, BOUNDS, [VOCABULARIES[0]])
        self.workers = FakeWorkers()
        self.service.workers = self.workers  # type: ignore[assignment]
        self.workers.dispatch = self.service._dispatch
        self.count_requests = self.switch_count = 0
        self.reported: list[int] = []

    @rule(name=st.sampled_from(list(SAMPLES)), times=st.integers(1, 3), limit=st.sampled_from([300, 10**9]))
    def count(self, name: str, times: int, limit: int) -> None:
        number, text = self.count_requests, f"{self.count_requests % 4} " + SAMPLES[name] * times
        self.count_requests += 1

        def on_result(result: Result) -> None:
            self.reported.append(number)
            assert result.version == self.service.vocabularies[0].version
            which = VOCABULARIES.index(self.service.vocabularies[0])
            if result.exact:
                assert result.prompt == exact(text, which)
                assert (result.verdict is Verdict.TOO_LONG) == (result.prompt > limit)
            else:
                assert result.min_tokens <= exact(text, which) and (
                    result.verdict is not Verdict.UPPER_BOUND
                    or (exact(text, which) <= result.prompt <= limit)
                )

        self.service.count([("user", text)], 0, limit, 1e9, 0, on_result)

    @precondition(lambda self: self.workers.busy)
    @rule(index=st.integers(0, 5), lost=st.sampled_from([False, False, False, True]))
    def end(self, index: int, lost: bool) -> None:
        self.workers.end(index, lost)

    @rule(which=st.integers(0, 1))
    def change(self, which: int) -> None:
        self.switch_count += 1
        self.service.switch_vocabularies([VOCABULARIES[which]])

    def teardown(self) -> None:
        while self.workers.busy:
            self.workers.end(0, False)
        assert set(self.reported) == set(range(self.count_requests)) and not self.service.open
        assert sum(queue.bytes for queue in self.service.scheduler.queues.values()) == 0


TestVersions = VersionMachine.TestCase
TestVersions.settings = settings(max_examples=40, stateful_step_count=30, deadline=None)


# The gateway with a tokenizer.

TOKENS = (
    SETTINGS.replace('effect "redoable"', 'effect "redoable"\n    most-prompt 400').replace(
        "    most-answer 60\n", '    most-answer 60\n    tokenizer "lab"\n'
    )
    + """
tokenizer "lab" file="examples/tokenizers/lab-1.json"
counting {
    cache "1MiB"
    workers 1
    long-workers 1
    long-from "8KiB"
    line "256KiB"
    piece 500
    block 16
    shared-blocks 10000
    shared-sessions 2
    time-limit "2s"
}
"""
)


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.just(0))
def test_settings_of_counting_are_checked(_: int) -> None:
    from worksmux.settings.document import SettingsError, parse
    from worksmux.settings.front import read_gateway_settings

    assert read_gateway_settings(parse(TOKENS)).counting
    for old, new, words in (
        ('tokenizer "lab"\n', 'tokenizer "labb"\n', "is not given"),
        ('line "256KiB"', 'line "1KiB"', "no long prompt"),
        ("block 16", "", "block is missing"),
    ):
        with pytest.raises(SettingsError, match=words):
            read_gateway_settings(parse(TOKENS.replace(old, new, 1)))


def test_change_of_version_under_load_leaves_no_stale_count(tmp_path: Path) -> None:
    versions = [Path(f"examples/tokenizers/lab-{number}.json").read_text() for number in (1, 2)]
    file = tmp_path / "lab.json"
    file.write_text(versions[0])
    text = TOKENS.replace("examples/tokenizers/lab-1.json", str(file)).replace("most-prompt 400", "")
    rig = Rig(tmp_path, [("prefill", 0), ("decode", 0), ("mixed", 0)], text=text)
    front = rig.front()
    settings_file = tmp_path / "front.kdl"
    settings_file.write_text(text.replace('127.0.0.1:1"', f'127.0.0.1:{rig.registry.port}"'))
    assert front.tokens
    seen: list[tuple[int, int, bool]] = []
    report = front.tokens._counted

    def watched(prompt: Any) -> None:
        over = prompt.finished
        report(prompt)
        if not over:
            total = sum(len(ids) for ids in prompt.ids if ids) // 4
            now = front.tokens.vocabularies[prompt.request_class] if front.tokens else None
            which = [vocabulary.version for vocabulary in VOCABULARIES].index(prompt.vocabulary.version)
            reference = len(tokens(OPENED[which], render(prompt.messages))) // 4
            seen.append((which, total - reference, now is prompt.vocabulary))

    front.tokens._counted = watched  # type: ignore[method-assign]
    for index, new in enumerate([versions[1], versions[0], versions[0][:9000], versions[1]]):
        rig.at(400 + 400 * index, file.write_text, new)
        rig.at(405 + 400 * index, front.reload, str(settings_file))
    records = rig.run_clients(length=2500.0, rate=40.0)
    assert {request["how"] for request in records.requests} == {"delivered"} and {
        which for which, _, _ in seen
    } == {0, 1}
    assert all(difference == 0 and current for _, difference, current in seen)
    assert front.tokens.vocabularies[0].version == VOCABULARIES[1].version


def test_gateway_counts_rejects_too_long_prompts_and_sends_engines_the_count(tmp_path: Path) -> None:
    rig = Rig(
        tmp_path, [("prefill", 0), ("decode", 0)], text=TOKENS, tokenizer="examples/tokenizers/lab-1.json"
    )
    rig.front()
    answers: list[tuple[int, bytes]] = []

    def body(text: str) -> bytes:
        return json.dumps({"model": "hint", "messages": [{"role": "user", "content": text}]}).encode()

    def end(status: int, headers: dict[str, str], reply: bytes, trouble: Any) -> None:
        answers.append((status, reply))
        if len(answers) == 3:
            rig.reactor.callLater(0.1, rig.reactor.stop)

    rig.at(300, rig.send_request, body(SAMPLES["finnish"]), end)
    rig.at(300, rig.send_request, body("why so cold? " * 2000), end)  # surely too long
    rig.at(300, rig.send_request, body("kylmä " * 300), end)  # found to be too long by its count
    rig.run()
    assert sorted(status for status, _ in answers) == [200, 400, 400]
    codes = {json.loads(reply)["error"]["code"] for status, reply in answers if status == 400}
    assert codes == {"context_length_exceeded"}
    from worksmux.checker.records import load as records

    loaded = records(tmp_path)
    assert (
        len(loaded.attempts) == 2
        and loaded.token_counts
        and all(front == own for _, front, own in loaded.token_counts)
    )
