"""Counting: equal to the reference on every text and cut, kept within its bound, decided in time."""

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
from worksmux.tokenization.blocks import Shared, chain
from worksmux.tokenization.cache import LruCache, TinyLfuCache, entry_bytes
from worksmux.tokenization.pieces import Cuts, cut, render
from worksmux.tokenization.pool import Worker, Workers
from worksmux.tokenization.samples import SAMPLES
from worksmux.tokenization.scheduler import Ask, CountScheduler, Verdict
from worksmux.tokenization.service import Result, TokenService
from worksmux.tokenization.sketch import Sketch
from worksmux.tokenization.vocabulary import TokenizerFormatError, load, tokens
from worksmux.tokenization.worker import Counted, frame

VOCABULARIES = [load(f"examples/tokenizers/{name}.json") for name in ("lab-1", "lab-2")]
OPENED = [one.open() for one in VOCABULARIES]
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
        tokens(OPENED[which], one.text) for one in cut(messages, VOCABULARIES[which].cuts, longest)
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
    assert "".join(one.text for one in cut(messages, Cuts.LINES, longest)) == render(messages)


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(["user", "assistant"]), TEXT), min_size=2, max_size=6), st.data())
def test_next_turn_has_the_pieces_of_the_one_before(
    messages: list[tuple[str, str]], data: st.DataObject
) -> None:
    turn = data.draw(st.integers(1, len(messages) - 1))
    before = [one.key for one in cut(messages[:turn], Cuts.LINES, 40)][:-1]
    assert [one.key for one in cut(messages, Cuts.LINES, 40)][: len(before)] == before


@settings(max_examples=100, deadline=None)
@given(TEXT, st.integers(0, 1))
def test_bounds_hold_around_every_count(text: str, which: int) -> None:
    size = len(text.encode("utf-8", "surrogatepass"))
    ask = Ask(0, size, 10**9, VOCABULARIES[which].longest_token, 1000.0, 0.0)
    count = len(tokens(OPENED[which], text)) // 4
    assert ask.least <= count <= ask.most


def test_file_that_is_no_whole_tokenizer_is_refused_with_a_reason(tmp_path: Path) -> None:
    text = Path("examples/tokenizers/lab-1.json").read_text()
    for name, content, words in (
        ("half", text[: len(text) // 2], "no whole"),
        ("empty", "", "no whole"),
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
    form["pre_tokenizer"] = None  # nothing splits the text before merging
    path = tmp_path / "merging.json"
    path.write_text(json.dumps(form))
    assert load(path).cuts is Cuts.MARKERS
    for token in form["added_tokens"]:
        token["lstrip"] = True
    path.write_text(json.dumps(form))
    assert load(path).cuts is Cuts.NONE


# Beginnings.


@given(st.lists(st.integers(0, 5), max_size=40), st.lists(st.integers(0, 5), max_size=40), st.integers(1, 5))
def test_equal_blocks_mean_equal_beginnings(one: list[int], other: list[int], block: int) -> None:
    a, b = (chain(array("I", ids).tobytes(), block, 3) for ids in (one, other))
    for at, (x, y) in enumerate(zip(a, b, strict=False)):
        assert (x == y) == (one[: (at + 1) * block] == other[: (at + 1) * block])


def test_beginning_is_shared_once_two_sessions_have_shown_it() -> None:
    shared = Shared(100)
    assert shared.show([1, 2, 3], 7) == 0 and shared.show([1, 2, 3, 4], 7) == 0
    assert shared.show([1, 2, 9], 8) == 2 and shared.show([1, 2, 3], 7) == 2
    for number in range(200):
        shared.show([1000 + number], number)
    assert len(shared.seen) == 100 and shared.show([1, 2], 9) == 0


# The cache.


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 400)), max_size=200), st.integers(2_000, 20_000))
def test_bytes_kept_never_pass_the_bound(steps: list[tuple[int, int]], bound: int) -> None:
    for cache in (LruCache(bound), TinyLfuCache(bound, 256)):
        for key, size in steps:
            ids = bytes(size)
            found = cache.get(key)
            assert found is None or isinstance(found, bytes)
            if found is None:
                cache.put(key, ids)
            assert cache.used <= bound


def test_kept_ids_are_those_that_were_put() -> None:
    for cache in (LruCache(50_000), TinyLfuCache(50_000, 256)):
        for key in range(60):
            cache.put(key, bytes([key]) * key)
            cache.get(key)
        assert all(ids in (None, bytes([key]) * key) for key in range(60) for ids in [cache.get(key)])
        assert any(cache.get(key) for key in range(1, 60))


def hits(cache: Any, trace: list[int]) -> float:
    found = 0
    for key in trace:
        if cache.get(key) is not None:
            found += 1
        else:
            cache.put(key, bytes(600))
    return found / len(trace)


def test_scan_of_prompts_that_come_once_leaves_the_shared_ones_in_place() -> None:
    import random

    chance, trace = random.Random(3), []
    for at in range(20_000):
        trace.append(chance.randrange(60) if chance.random() < 0.4 else 1000 + at)
    size = 50 * entry_bytes(bytes(600))
    assert hits(TinyLfuCache(size, 256), trace) > 1.3 * hits(LruCache(size), trace)


def test_sketch_counts_and_forgets() -> None:
    sketch = Sketch(64)
    for _ in range(30):
        sketch.add(5)
    assert sketch.count(5) >= 15 and sketch.count(6) <= 1
    for key in range(2000):
        sketch.add(100 + key)
    assert sketch.count(5) < 15


# The desk.


def ask(missing: int, known: int = 0, limit: int = 10**9, now: float = 0.0, promised: float = 1000.0) -> Ask:
    return Ask(known, missing, limit, 8, promised, now)


def desk(line: int = 10_000, long: int = 1000) -> CountScheduler:
    return CountScheduler(long, line, 1, 1, 5000.0)


def test_kept_prompt_is_counted_and_one_surely_too_long_is_refused_unread() -> None:
    one = desk()
    assert one.arrive(ask(0, 50)) is Verdict.COUNTED
    assert one.arrive(ask(801, limit=100)) is Verdict.TOO_LONG and one.refused == 1
    assert one.arrive(ask(800, limit=100)) is Verdict.WAIT


def test_full_line_goes_on_by_bounds_and_defers_what_may_be_too_long() -> None:
    one = desk(line=500)
    assert one.arrive(ask(400)) is Verdict.WAIT
    assert one.arrive(ask(200)) is Verdict.BOUND and one.arrive(ask(200, limit=150)) is Verdict.REJECT
    first = one.next(False)
    assert first
    one.begin(first, 5.0)
    one.done(first, 10.0)
    assert one.arrive(ask(200)) is not Verdict.REJECT and one.queues[False].bytes == 200


def test_short_prompts_have_workers_of_their_own_and_the_first_promised_is_next() -> None:
    one = desk()
    late, long, soon = ask(10, promised=900.0), ask(5000), ask(20, promised=300.0)
    for each in (late, long, soon):
        one.arrive(each)
    assert (
        one.next(False) is soon and one.next(True) is long and one.next(False) is late and not one.next(False)
    )


def test_wait_for_a_count_ends_within_the_promised_time() -> None:
    one = desk()
    sure, unsure = ask(100), ask(100, limit=90)
    assert one.arrive(sure) is one.arrive(unsure) is Verdict.WAIT
    at = one.next_deadline()
    assert at is not None and at < 200
    assert one.late(at) == [(sure, Verdict.BOUND)] and one.late(at) == []
    last = one.next_deadline()
    assert last is not None and last <= 500 and one.late(last) == [(unsure, Verdict.REJECT)]


def test_expected_wait_decides_before_the_line_is_full() -> None:
    one = desk()
    slow = ask(100)
    one.arrive(slow)
    one.next(False)
    one.begin(slow, 0.0)
    one.done(slow, 1000.0)  # ten milliseconds a byte
    assert one.arrive(ask(100, now=1000.0)) is Verdict.BOUND
    assert one.arrive(ask(100, limit=90, now=1000.0)) is Verdict.REJECT


def test_prompt_that_costs_two_workers_goes_on_by_its_bound() -> None:
    one, poison = desk(), ask(100)
    one.arrive(poison)
    one.next(False)
    assert one.lost(poison, 1.0) is Verdict.WAIT and one.next(False) is poison
    assert one.lost(poison, 2.0) is Verdict.BOUND and one.queues[False].bytes == 0 and poison.over


class DeskMachine(RuleBasedStateMachine):
    """Bytes in the line are those of what is in it, never over the bound; nobody waits past his time."""

    def __init__(self) -> None:
        super().__init__()
        self.scheduler, self.now = desk(2000, 300), 0.0
        self.queued: list[Ask] = []
        self.out: list[Ask] = []

    @rule(size=st.integers(0, 900), limit=st.sampled_from([50, 400, 10**9]), promised=st.floats(10, 2000))
    def arrive(self, size: int, limit: int, promised: float) -> None:
        one = ask(size, limit=limit, now=self.now, promised=promised)
        verdict = self.scheduler.arrive(one)
        if verdict is Verdict.WAIT or verdict is Verdict.BOUND and one.wait_until:
            self.queued.append(one)
        if verdict is Verdict.BOUND:
            assert one.most <= limit

    @rule(long=st.booleans())
    def serve(self, long: bool) -> None:
        found = self.scheduler.next(long)
        if found:
            self.queued.remove(found)
            self.out.append(found)
            assert self.scheduler.begin(found, self.now) > 0

    @precondition(lambda self: self.out)
    @rule(how=st.sampled_from(["done", "lost", "gone"]))
    def end(self, how: str) -> None:
        one = self.out.pop()
        if how == "lost":
            if self.scheduler.lost(one, self.now) is Verdict.WAIT:
                self.queued.append(one)
        elif how == "done":
            self.scheduler.done(one, self.now)
        else:
            self.scheduler.gone(one)

    @rule(step=st.floats(0, 500))
    def wait(self, step: float) -> None:
        self.now += step
        for one, verdict in self.scheduler.late(self.now):
            assert verdict is (Verdict.BOUND if one.most <= one.limit else Verdict.REJECT)
        assert all(not one.waits or one.wait_until > self.now for one in self.queued + self.out)

    @invariant()
    def line_is_what_is_in_it(self) -> None:
        total = sum(queue.bytes for queue in self.scheduler.queues.values())
        assert total == sum(one.missing for one in self.queued + self.out) <= 2000


TestDesk = DeskMachine.TestCase
TestDesk.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


# The service with real workers.

LONG = 600_000.0  # a promised time that no machine is too busy for


class Bench:
    """A service on a reactor of its own."""

    def __init__(self, bounds: Counting = BOUNDS, request_classes: int = 1) -> None:
        self.reactor: Any = EPollReactor()
        self.service = TokenService(self.reactor, bounds, [VOCABULARIES[0]] * request_classes)
        self.told: list[Result] = []

    def ask(
        self,
        text: str,
        limit: int = 10**9,
        promised: float = 20_000.0,
        request_class: int = 0,
        session: int = 0,
    ) -> Any:
        return self.service.count([("user", text)], request_class, limit, promised, session, self.told.append)

    def run(self, until: Any, within: float = 20.0) -> None:
        end = clock.now() + within * 1000

        def look() -> None:
            # What SIGCHLD does in the program: without it Twisted looks at a process once, as its pipes end,
            # and one that a busy machine has not quite ended by then would never be told as ended.
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
        bench.ask(text)
    bench.run(lambda: len(bench.told) == len(SAMPLES))
    assert sorted(one.prompt for one in bench.told) == sorted(map(exact, SAMPLES.values()))
    counted = bench.service.bytes_counted
    bench.ask(SAMPLES["finnish"])  # kept: told before the call returns, though no worker lives
    assert bench.told[-1].exact and bench.service.bytes_counted == counted


def test_killed_and_stopped_workers_are_replaced_and_no_prompt_is_lost() -> None:
    """Its time limit is what a starved machine needs: two workers that hang on a prompt cost its count."""
    bench = Bench(Counting(1 << 20, 1, 1, 20_000, 1 << 20, 200, 16, 10_000, 2, 4000.0))
    bench.start()
    struck: list[int] = []

    def strike() -> None:
        workers = list(bench.service.workers.workers)
        if not all(worker.started for worker in workers):
            bench.reactor.callLater(0.005, strike)
            return
        for at, worker in enumerate(workers):
            struck.append(worker.process.pid)
            os.kill(worker.process.pid, signal.SIGSTOP if at else signal.SIGKILL)
        for text in SAMPLES.values():
            bench.ask(text, promised=LONG)
        bench.ask("line of a log\n" * 3000, promised=LONG)  # its queue's worker is the one that hangs

    bench.reactor.callLater(0, strike)
    bench.run(lambda: len(bench.told) >= len(SAMPLES) + 1 and bench.service.workers.replaced >= 2, 60.0)
    assert len(struck) == 2 and all(one.verdict is Verdict.COUNTED for one in bench.told)


def test_no_count_of_an_old_version_is_told_after_a_change() -> None:
    bench = Bench()
    bench.start()
    texts = [f"{name} {at} {text}" for at in range(30) for name, text in SAMPLES.items()]
    told_under: list[tuple[int, Result, str]] = []
    changes = 0

    def told(result: Result, text: str) -> None:
        """Changes as counts come, not by the clock: on a starved machine all changes would be over before
        the first worker has loaded."""
        nonlocal changes
        told_under.append((bench.service.vocabularies[0].version, result, text))
        if len(told_under) % 20 == 0 and changes < 21:
            changes += 1
            bench.service.switch_vocabularies([VOCABULARIES[changes % 2]])

    for text in texts:
        bench.service.count([("user", text)], 0, 10**9, LONG, 0, lambda result, text=text: told(result, text))
    bench.run(lambda: len(told_under) == len(texts), 60.0)
    versions = {one.version: at for at, one in enumerate(VOCABULARIES)}
    assert all(now == result.version for now, result, _ in told_under) and bench.service.recounted > 0
    assert all(
        result.exact and result.prompt == exact(text, versions[result.version])
        for _, result, text in told_under
    )


def test_two_versions_side_by_side_do_not_share_counts() -> None:
    bench = Bench(request_classes=2)
    bench.service.vocabularies = VOCABULARIES
    bench.start()
    bench.ask(SAMPLES["russian"])
    bench.ask(SAMPLES["russian"], request_class=1)
    bench.run(lambda: len(bench.told) == 2)
    assert {one.prompt for one in bench.told} == {exact(SAMPLES["russian"]), exact(SAMPLES["russian"], 1)}


def test_client_that_leaves_takes_its_prompt_out_of_the_line() -> None:
    bench = Bench()
    gone = [bench.ask("x\n" * 400) for _ in range(3)]
    for one in gone:
        bench.service.cancel(one)
    assert (
        not bench.service.open and sum(queue.bytes for queue in bench.service.scheduler.queues.values()) == 0
    )


class Slow:
    """A worker's process as a test sees it: what it was sent, and how often it was ended."""

    def __init__(self) -> None:
        self.pid, self.sent, self.ends = 1, 0, 0

    def write(self, data: bytes) -> None:
        self.sent += 1

    def signalProcess(self, name: str) -> None:
        self.ends += 1


def slow_worker() -> tuple[task.Clock, Workers, Worker, Slow]:
    """One worker that has been started and loads."""
    clock, process = task.Clock(), Slow()
    pool = Workers(clock, 0, 0, 400.0, lambda long: None)  # type: ignore[arg-type]
    pool.start([VOCABULARIES[0]])
    worker = Worker(pool, False)
    pool.workers[worker] = None
    worker.transport = process
    worker.connectionMade()
    return clock, pool, worker, process


def test_worker_gets_no_count_and_is_not_called_hung_while_it_starts() -> None:
    """Guards against prompts lost to workers that were given up while a busy machine still started them."""
    clock, pool, worker, process = slow_worker()
    clock.pump([0.1] * 50)
    assert pool.take(False) is None and not process.ends
    worker.outReceived(frame(Counted(0, VOCABULARIES[0].version)))
    assert pool.take(False) is worker
    clock.pump([0.1] * 200)
    assert not process.ends  # nothing is due from it


def test_worker_that_never_starts_is_replaced() -> None:
    clock, _, _, process = slow_worker()
    clock.pump([1.0] * 12)
    assert process.ends == 1


def test_time_of_a_count_begins_when_the_versions_before_it_are_loaded() -> None:
    clock, pool, worker, process = slow_worker()
    worker.outReceived(frame(Counted(0, VOCABULARIES[0].version)))
    pool.switch_vocabularies(VOCABULARIES)
    told: list[Any] = []
    worker.count(VOCABULARIES[1].version, ["a"], 9, 200.0, told.append)
    clock.pump([0.1] * 10)
    assert not process.ends
    worker.outReceived(frame(Counted(0, VOCABULARIES[1].version)))
    clock.pump([0.1] * 4)
    assert process.ends == 1 and not told  # now it hangs


class FakeWorkers:
    """Workers that finish when a test says so."""

    def __init__(self) -> None:
        self.replaced, self.busy, self.idle = 0, [], {False: 1, True: 1}  # type: int, list[Any], dict[bool, int]
        self.feed: Any = None

    def switch_vocabularies(self, vocabularies: Any) -> None: ...

    def take(self, long: bool) -> Any:
        if not self.idle[long]:
            return None
        self.idle[long] -= 1
        return type("Worker", (), {"long": long, "count": lambda _, *args: self.busy.append((long, *args))})()

    def back(self, worker: Any) -> None:
        self.idle[worker.long] += 1

    def end(self, at: int, lost: bool) -> None:
        from worksmux.tokenization.worker import Counted

        long, version, texts, most, _, on_counted = self.busy.pop(at % len(self.busy))
        which = [one.version for one in VOCABULARIES].index(version)
        ids = [tokens(OPENED[which], text) for text in texts]
        more = [max(0, len(one) // 4 - most) for one in ids]
        told = Counted(0, version, [one[: most * 4] for one in ids], more)
        on_counted(None if lost else told)
        self.idle[long] += 1
        self.feed(long)


class VersionMachine(RuleBasedStateMachine):
    """Whatever the order of arrivals, counts, lost workers and changes of version, no stale count is told."""

    def __init__(self) -> None:
        super().__init__()
        timer = type("Timer", (), {"active": lambda _: True, "cancel": lambda _: None})()
        still: Any = type("Still", (), {"callLater": lambda *_: timer})()
        self.service = TokenService(still, BOUNDS, [VOCABULARIES[0]])
        self.workers = FakeWorkers()
        self.service.workers = self.workers  # type: ignore[assignment]
        self.workers.feed = self.service._feed
        self.asked = self.changes = 0
        self.told: list[int] = []

    @rule(name=st.sampled_from(list(SAMPLES)), times=st.integers(1, 3), limit=st.sampled_from([300, 10**9]))
    def ask(self, name: str, times: int, limit: int) -> None:
        number, text = self.asked, f"{self.asked % 4} " + SAMPLES[name] * times
        self.asked += 1

        def result(what: Result) -> None:
            self.told.append(number)
            assert what.version == self.service.vocabularies[0].version
            which = VOCABULARIES.index(self.service.vocabularies[0])
            if what.exact:
                assert what.prompt == exact(text, which)
                assert (what.verdict is Verdict.TOO_LONG) == (what.prompt > limit)
            else:
                assert what.min_tokens <= exact(text, which) and (
                    what.verdict is not Verdict.BOUND or (exact(text, which) <= what.prompt <= limit)
                )

        self.service.count([("user", text)], 0, limit, 1e9, 0, result)

    @precondition(lambda self: self.workers.busy)
    @rule(at=st.integers(0, 5), lost=st.sampled_from([False, False, False, True]))
    def end(self, at: int, lost: bool) -> None:
        self.workers.end(at, lost)

    @rule(which=st.integers(0, 1))
    def change(self, which: int) -> None:
        self.changes += 1
        self.service.switch_vocabularies([VOCABULARIES[which]])

    def teardown(self) -> None:
        while self.workers.busy:
            self.workers.end(0, False)
        assert set(self.told) == set(range(self.asked)) and not self.service.open
        assert sum(queue.bytes for queue in self.service.scheduler.queues.values()) == 0


TestVersions = VersionMachine.TestCase
TestVersions.settings = settings(max_examples=40, stateful_step_count=30, deadline=None)


# The front with a tokenizer.

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
    versions = [Path(f"examples/tokenizers/lab-{at}.json").read_text() for at in (1, 2)]
    file = tmp_path / "lab.json"
    file.write_text(versions[0])
    text = TOKENS.replace("examples/tokenizers/lab-1.json", str(file)).replace("most-prompt 400", "")
    rig = Rig(tmp_path, [("prefill", 0), ("decode", 0), ("mixed", 0)], text=text)
    front = rig.front()
    settings_file = tmp_path / "front.kdl"
    settings_file.write_text(text.replace('127.0.0.1:1"', f'127.0.0.1:{rig.registry.port}"'))
    assert front.tokens
    seen: list[tuple[int, int, bool]] = []
    tell = front.tokens._counted

    def watched(prompt: Any) -> None:
        over = prompt.over
        tell(prompt)
        if not over:
            total = sum(len(ids) for ids in prompt.ids if ids) // 4
            now = front.tokens.vocabularies[prompt.request_class] if front.tokens else None
            which = [one.version for one in VOCABULARIES].index(prompt.vocabulary.version)
            reference = len(tokens(OPENED[which], render(prompt.messages))) // 4
            seen.append((which, total - reference, now is prompt.vocabulary))

    front.tokens._counted = watched  # type: ignore[method-assign]
    for at, new in enumerate([versions[1], versions[0], versions[0][:9000], versions[1]]):
        rig.at(400 + 400 * at, file.write_text, new)
        rig.at(405 + 400 * at, front.reload, str(settings_file))
    records = rig.run_clients(length=2500.0, rate=40.0)
    assert {request["how"] for request in records.requests} == {"delivered"} and {
        which for which, _, _ in seen
    } == {0, 1}
    assert all(difference == 0 and current for _, difference, current in seen)
    assert front.tokens.vocabularies[0].version == VOCABULARIES[1].version


def test_front_counts_refuses_too_long_and_tells_engines_the_count(tmp_path: Path) -> None:
    rig = Rig(
        tmp_path, [("prefill", 0), ("decode", 0)], text=TOKENS, tokenizer="examples/tokenizers/lab-1.json"
    )
    rig.front()
    heard: list[tuple[int, bytes]] = []

    def body(text: str) -> bytes:
        return json.dumps({"model": "hint", "messages": [{"role": "user", "content": text}]}).encode()

    def end(status: int, headers: dict[str, str], reply: bytes, trouble: Any) -> None:
        heard.append((status, reply))
        if len(heard) == 3:
            rig.reactor.callLater(0.1, rig.reactor.stop)

    rig.at(300, rig.send_request, body(SAMPLES["finnish"]), end)
    rig.at(300, rig.send_request, body("why so cold? " * 2000), end)  # surely too long
    rig.at(300, rig.send_request, body("kylmä " * 300), end)  # known to be too long once it is counted
    rig.run()
    assert sorted(status for status, _ in heard) == [200, 400, 400]
    codes = {json.loads(reply)["error"]["code"] for status, reply in heard if status == 400}
    assert codes == {"context_length_exceeded"}
    from worksmux.checker.records import load as records

    found = records(tmp_path)
    assert (
        len(found.attempts) == 2
        and found.token_counts
        and all(front == own for _, front, own in found.token_counts)
    )
