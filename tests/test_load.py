"""The load generator: its timers, arrivals and traces, and whole loads against a small fleet."""

from __future__ import annotations

import random
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from worksmux.fault_trial.small import Rig
from worksmux.load.arrivals import Phase, arrivals
from worksmux.load.generator import LoadError, run
from worksmux.load.page import page
from worksmux.load.settings import LoadSettings, read_load
from worksmux.load.timer_queue import TimerQueue
from worksmux.load.trace import Recorder, Row, TraceFormatError, merge, read
from worksmux.settings.document import SettingsError, parse


@given(st.integers(0, 10**6), st.lists(st.tuples(st.floats(0, 400_000), st.booleans()), max_size=80))
def test_timer_queue_yields_each_timer_once_in_order_and_never_early(
    seed: int, timers: list[tuple[float, bool]]
) -> None:
    random_source, timer_queue, now = random.Random(seed), TimerQueue[int](), 0.0
    expected = {number: timer_queue.put(time, number) for number, (time, _) in enumerate(timers)}
    for number, (_, cancelled) in enumerate(timers):
        if cancelled:
            timer_queue.cancel(expected.pop(number))
    fired: list[int] = []
    while timer_queue.count:
        next_time = timer_queue.next_time()
        assert (
            next_time is not None
            and next_time <= min(timers[number][0] for number in expected if number not in fired) + 1e-9
        )
        now = max(now, next_time) + (random_source.random() * 5000 if random_source.random() < 0.5 else 0.0)
        for timer in timer_queue.due(now):
            assert timer.time <= now
            fired.append(timer.item)
    assert sorted(fired) == sorted(expected) and timer_queue.next_time() is None
    assert [timers[number][0] for number in fired] == sorted(timers[number][0] for number in fired)


def test_timer_added_while_due_timers_are_taken_out_is_not_lost() -> None:
    timer_queue, fired = TimerQueue[int](), []
    timer_queue.put(10.0, 1)
    for timer in timer_queue.due(20.0):
        fired.append(timer.item)
        if timer.item < 5:
            timer_queue.put(timer.time + 1.0, timer.item + 1)
    fired += [timer.item for timer in timer_queue.due(20.0)]
    assert fired == [1, 2, 3, 4, 5] and not timer_queue.count


def test_arrivals_follow_the_rate_and_shares_add_up_to_it() -> None:
    phases = [
        Phase(10_000.0, 100.0, 300.0),
        Phase(5000.0, 100.0, 100.0, burst_factor=5.0, period_ms=1000.0, burst_length_ms=200.0),
    ]
    times = list(arrivals(phases, 1.0, 1))
    assert times == sorted(times) and times == list(arrivals(phases, 1.0, 1))
    first, last = sum(time < 2000 for time in times), sum(8000 <= time < 10_000 for time in times)
    assert 180 < first < 300 and 480 < last < 640
    in_burst_phase = [time for time in times if time >= 10_000]
    burst = sum(time % 1000 < 200 for time in in_burst_phase)
    assert 0.45 < burst / len(in_burst_phase) < 0.65
    parts = sum(len(list(arrivals(phases, 0.25, seed))) for seed in range(4))
    assert abs(parts - len(times)) < 5 * len(times) ** 0.5


def row(arrival_ms: float, session: int) -> Row:
    return Row(arrival_ms, "hint", session, "lab", 100.0, 200.0, 20)


def test_trace_is_read_by_share_of_sessions_and_at_another_speed(tmp_path: Path) -> None:
    recorder = Recorder(tmp_path / "t.parquet")
    for number in range(10_000):
        recorder.add(row(float(number), number % 7))
    assert not (tmp_path / "t.parquet").exists()
    recorder.close()
    rows = read(tmp_path / "t.parquet")
    assert next(rows) == row(0.0, 0)
    parts = [list(read(tmp_path / "t.parquet", part, 3, 2.0)) for part in range(3)]
    assert sum(map(len, parts)) == 10_000 and parts[0][3].arrival_ms == 3.5
    assert {read_row.session % 3 for read_row in parts[1]} == {1}


def test_traces_of_processes_are_merged_by_time(tmp_path: Path) -> None:
    for part in range(2):
        recorder = Recorder(tmp_path / f"{part}.parquet")
        for number in range(part, 100, 2):
            recorder.add(row(float(number), number))
        recorder.close()
    merge([tmp_path / "0.parquet", tmp_path / "1.parquet"], tmp_path / "all.parquet")
    assert [read_row.arrival_ms for read_row in read(tmp_path / "all.parquet")] == [
        float(number) for number in range(100)
    ]


@pytest.mark.parametrize("data", [b"", b"PAR1", b"nonsense" * 100])
def test_file_that_is_no_trace_is_refused(tmp_path: Path, data: bytes) -> None:
    (tmp_path / "bad").write_bytes(data)
    with pytest.raises(TraceFormatError, match="bad"):
        list(read(tmp_path / "bad"))


# Whole loads against a small fleet in this process; the generator's workers are processes of their own.

FLEET = [("prefill", 0), ("decode", 0), ("mixed", 1)]
LOAD = """
load "small" processes=2 seed=3 {
    target "127.0.0.1:PORT"
    most-lag "400ms"
}
phase length="2s" rate=30
offering "hint" {
    new-tokens 20 60
    answer-tokens 3 8
    turns 1 2
    think "50ms" "100ms"
    beginnings 3
    beginning-tokens 50
    patience "3s"
}
"""


def settings_for(rig: Rig, text: str = LOAD) -> LoadSettings:
    return read_load(parse(text.replace("PORT", str(rig.fronts[0].port))))


def run_load(rig: Rig, settings: LoadSettings, stall_s: float = 0.0, **options: Any) -> dict[str, Any]:
    """Runs a load and returns its report; one second into it, this process stands still for `stall_s`."""
    results: list[Any] = []

    def drive() -> None:
        try:
            results.append(run(settings, lambda _: None, **options))
        except Exception as error:
            results.append(error)
        rig.reactor.callFromThread(rig.reactor.stop)

    thread = threading.Thread(target=drive)
    rig.reactor.callLater(0.1, thread.start)
    if stall_s:
        rig.reactor.callLater(0.1 + 1.5 + 1.0, time.sleep, stall_s)
    rig.run(40.0)
    thread.join()
    if isinstance(results[0], Exception):
        raise results[0]
    report: dict[str, Any] = results[0]
    return report


def test_load_is_recorded_and_replayed_at_another_speed(tmp_path: Path) -> None:
    rig = Rig(tmp_path, FLEET)
    rig.front()
    settings = settings_for(rig)
    recorded = run_load(rig, settings, record=tmp_path / "day.parquet")
    assert recorded["valid"] and set(recorded["ends"]) == {"delivered"} and 40 < recorded["sent"]
    rows = list(read(tmp_path / "day.parquet"))
    assert len(rows) == recorded["sent"] and [row.arrival_ms for row in rows] == sorted(
        row.arrival_ms for row in rows
    )
    text = LOAD.replace('phase length="2s" rate=30', f'trace "{tmp_path / "day.parquet"}" speed=2')
    other_rig = Rig(tmp_path / "again", FLEET) if (tmp_path / "again").mkdir() is None else rig
    other_rig.front()
    replayed = run_load(other_rig, settings_for(other_rig, text))
    assert replayed["sent"] == recorded["sent"]
    # The second request of a session may be due up to its think time after the phase of 2 s, and is
    # then replayed in the next second.
    in_first_second = sum(row.arrival_ms < 2000.0 for row in rows)
    assert replayed["seconds"][0]["sent"] == in_first_second > recorded["seconds"][0]["sent"]
    html = page(replayed)
    assert "kept to its times" in html and html.count("data:image/png") == 3


def test_stall_shows_in_the_tail_of_an_open_loop_and_a_closed_loop_hides_it(tmp_path: Path) -> None:
    rig = Rig(tmp_path, FLEET)
    rig.front()
    report = run_load(rig, settings_for(rig), stall_s=1.0)
    assert report["first_ms"]["max"] > 900 and report["first_ms"]["p90"] > 300
    (tmp_path / "closed").mkdir()
    other_rig = Rig(tmp_path / "closed", FLEET)
    other_rig.front()
    text = LOAD.replace('phase length="2s" rate=30', "")
    text = text.replace('most-lag "400ms"', 'closed 4\n    length "2s"')
    closed_report = run_load(other_rig, settings_for(other_rig, text), stall_s=1.0)
    assert closed_report["first_ms"]["p90"] < report["first_ms"]["p90"]  # by how much depends on the machine


def test_run_of_a_generator_that_falls_behind_is_invalid(tmp_path: Path) -> None:
    rig = Rig(tmp_path, FLEET)
    rig.front()
    report = run_load(rig, settings_for(rig, LOAD.replace('"400ms"', '"0.1ms"')))
    assert not report["valid"] and "ms behind" in report["why"] and "INVALID" in page(report)
    assert report["sent"] > 40  # the rate is not lowered


def test_worker_process_that_dies_fails_the_run(tmp_path: Path) -> None:
    rig = Rig(tmp_path, FLEET)
    rig.front()
    settings = settings_for(rig)
    (tmp_path / "gone.parquet").write_bytes(b"PAR1")
    bad_settings = settings.__class__(**{**settings.__dict__, "trace": str(tmp_path / "gone.parquet")})
    with pytest.raises(LoadError, match="TraceFormatError"):
        run_load(rig, bad_settings)


def test_errors_of_a_load_file_are_reported_together() -> None:
    with pytest.raises(SettingsError) as raised:
        read_load(parse('load "x" closed=3 {\n target "nowhere"\n}\nphase length="1s" rate=5\n'))
    text = str(raised.value)
    assert "one of the three" in text and "closed needs a length" in text and "no offering" in text


LOGGING_WORKER = """
import structlog
from worksmux.load import worker

def log_and_end():
    structlog.get_logger().warning("slow read")
    raise SystemExit

worker.msgspec.json.decode = lambda *_, **__: None
worker.the_reactor = log_and_end
worker.main()
"""


def test_log_lines_of_a_worker_are_not_taken_for_reports() -> None:
    """A worker logs, as a read took long while the machine stood still; the load failed as a whole.

    The line begins with a year and was read as a report.
    """
    worker = subprocess.run([sys.executable, "-c", LOGGING_WORKER], input=b"", capture_output=True)
    assert b"slow read" in worker.stderr and not worker.stdout
