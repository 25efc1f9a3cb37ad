"""A scripted day as a person starts it: processes, sockets, an exit code."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from worksmux.scenarios.engines import capacity, select_engines
from worksmux.scenarios.scenario import load_scenario


def command(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "worksmux", *args], capture_output=True, text=True, check=False, timeout=120
    )


def test_short_day_with_a_killed_front_keeps_all_rules(tmp_path: Path) -> None:
    done = command("trial", "examples/short-day.kdl", "--json", "--keep", str(tmp_path / "day"))
    assert done.returncode == 0, done.stderr[-2000:]
    told = json.loads(done.stdout)
    assert told["kept"] and told["unanswered"] == 0 and told["fronts_killed"] == 1 and told["jobs"] > 30
    again = command("audit", str(tmp_path / "day"), "examples/short-day.kdl", "--json")
    assert again.returncode == 0 and json.loads(again.stdout)["jobs"] == told["jobs"]


def test_day_of_embeddings_and_rerank_keeps_all_rules_and_every_result_is_right(tmp_path: Path) -> None:
    text = Path("examples/flood-day.kdl").read_text()
    lines = [line for line in text.splitlines() if not line.startswith("trouble")]
    short = "\n".join(lines).replace('length="24s"', 'length="4s"')
    file = tmp_path / "day.kdl"
    file.write_text(
        short
        + """
trouble "flood" at="1s" for="2s" offering="vectors" factor=8
trouble "drain" at="1500ms" for="1s" every="500ms" names="n1-embedder-1"
trouble "fast-errors" at="1s" for="2s" names="n1-reranker-1" share=0.5
"""
    )
    done = command("trial", str(file), "--json")
    assert done.returncode == 0, done.stderr[-2000:]
    told = json.loads(done.stdout)
    assert told["kept"] and told["unanswered"] == 0 and told["one_stage"]["done"] > 30
    assert told["credit_by_offering"]["explain"] > 0.9


def test_exit_codes_tell_a_wrong_file_from_a_broken_day(tmp_path: Path) -> None:
    wrong = tmp_path / "wrong.kdl"
    wrong.write_text('front "a" {\n    listn "127.0.0.1:0"\n}\n')
    for args in (
        ("check", str(wrong)),
        ("serve", str(wrong)),
        ("trial", str(wrong)),
        ("audit", str(tmp_path), "examples/short-day.kdl"),
    ):
        done = command(*args)
        assert done.returncode == 2 and "Traceback" not in done.stderr
    assert "did you mean listen?" in command("check", str(wrong)).stderr
    assert command("check", "benchmarks/front.kdl").returncode == 0


def test_trouble_strikes_whom_it_names_and_its_part() -> None:
    import random

    day = load_scenario("examples/bad-day.kdl")
    named = next(trouble for trouble in day.faults if trouble.kind == "drain")
    part = next(trouble for trouble in day.faults if trouble.kind == "hang")
    assert [place.id for place in select_engines(day, named, random.Random(1))] == ["n1-decode-1"]
    assert {place.kind for place in select_engines(day, part, random.Random(1))} == {"decode"}
    assert all(capacity(day, place) > 0 for place in day.engines)
