"""Scenarios run by the command line: processes, sockets and exit codes."""

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


def test_short_day_with_a_killed_gateway_keeps_all_rules(tmp_path: Path) -> None:
    result = command("trial", "examples/short-day.kdl", "--json", "--keep", str(tmp_path / "day"))
    assert result.returncode == 0, result.stderr[-2000:]
    report = json.loads(result.stdout)
    assert (
        report["kept"] and report["unanswered"] == 0 and report["fronts_killed"] == 1 and report["jobs"] > 30
    )
    audited = command("audit", str(tmp_path / "day"), "examples/short-day.kdl", "--json")
    assert audited.returncode == 0 and json.loads(audited.stdout)["jobs"] == report["jobs"]


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
    result = command("trial", str(file), "--json")
    assert result.returncode == 0, result.stderr[-2000:]
    report = json.loads(result.stdout)
    assert report["kept"] and report["unanswered"] == 0 and report["one_stage"]["done"] > 30
    assert report["credit_by_offering"]["explain"] > 0.9


def test_exit_code_2_reports_an_invalid_file(tmp_path: Path) -> None:
    wrong = tmp_path / "wrong.kdl"
    wrong.write_text('front "a" {\n    listn "127.0.0.1:0"\n}\n')
    for args in (
        ("check", str(wrong)),
        ("serve", str(wrong)),
        ("trial", str(wrong)),
        ("audit", str(tmp_path), "examples/short-day.kdl"),
    ):
        result = command(*args)
        assert result.returncode == 2 and "Traceback" not in result.stderr
    assert "did you mean listen?" in command("check", str(wrong)).stderr
    assert command("check", "benchmarks/front.kdl").returncode == 0


def test_fault_affects_the_engines_it_names_or_a_share_of_them() -> None:
    import random

    scenario = load_scenario("examples/bad-day.kdl")
    drain = next(fault for fault in scenario.faults if fault.kind == "drain")
    hang = next(fault for fault in scenario.faults if fault.kind == "hang")
    assert [engine.id for engine in select_engines(scenario, drain, random.Random(1))] == ["n1-decode-1"]
    assert {engine.kind for engine in select_engines(scenario, hang, random.Random(1))} == {"decode"}
    assert all(capacity(scenario, engine) > 0 for engine in scenario.engines)
