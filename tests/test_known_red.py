"""The list of tests that are known to fail."""

from __future__ import annotations

from pathlib import Path

import pytest
from known_red import FILE, KnownRedError, read_known_red

ENTRY = "test: tests/test_a.py::test_%d\ncommand: pytest -k test_%d, seed 7\nseen: clocks step\nissue: 35\n"


def tree(folder: Path, text: str | None) -> Path:
    (folder / "tests").mkdir()
    (folder / "tests" / "test_a.py").write_text("".join(f"def test_{at}():\n    pass\n" for at in range(6)))
    if text is not None:
        (folder / FILE).write_text(text)
    return folder


@pytest.mark.parametrize("text", [None, "", "\n\n"])
def test_absent_or_empty_list_passes_over_nothing(tmp_path: Path, text: str | None) -> None:
    assert read_known_red(tree(tmp_path, text)) == []


def test_three_entries_are_taken_whole(tmp_path: Path) -> None:
    text = "\n".join(ENTRY % (at, at) for at in range(3))
    found = read_known_red(tree(tmp_path, text))
    assert [one.test for one in found] == [f"tests/test_a.py::test_{at}" for at in range(3)]
    assert found[0].seen == "clocks step" and found[0].issue == "35"
    assert found[2].command == "pytest -k test_2, seed 7"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("\n".join(ENTRY % (at, at) for at in range(4)), "at most 3"),
        (ENTRY % (9, 9), "KNOWN-RED.txt:1: a test of this tree"),
        ("\n\n" + ENTRY % (9, 9), "KNOWN-RED.txt:3: a test of this tree"),
        ((ENTRY % (0, 0)).replace("test_a", "test_b"), "a test of this tree"),
        ((ENTRY % (0, 0)).replace("::test_0", ""), "a test of this tree"),
        ((ENTRY % (0, 0)).replace("issue: 35\n", ""), "issue was expected, it is missing"),
        ((ENTRY % (0, 0)).replace("seen: clocks step\n", ""), "seen was expected, it is missing"),
        ((ENTRY % (0, 0)).replace("clocks step", ""), "KNOWN-RED.txt:3: one of seen, issue was expected"),
        ((ENTRY % (0, 0)).replace("issue: 35", "issue: later"), "number of an issue was expected"),
        (ENTRY % (0, 0) + "cause: clocks\n", "KNOWN-RED.txt:5: one of"),
        (ENTRY % (0, 0) + "issue: 36\n", "KNOWN-RED.txt:5: one of"),
        (
            "tests/test_a.py::test_0 | clocks step | 35\n",
            "KNOWN-RED.txt:1: one of test, command, seen, issue",
        ),
    ],
)
def test_entry_that_is_wrong_stops_the_run(tmp_path: Path, text: str, expected: str) -> None:
    with pytest.raises(KnownRedError, match=expected):
        read_known_red(tree(tmp_path, text))


def test_failure_is_passed_over_and_a_pass_is_said(pytester: pytest.Pytester) -> None:
    """A listed test that fails does not fail the run; one that passes is named, so that it comes off."""
    here = Path(__file__).parent
    for name in ("conftest.py", "known_red.py"):
        (pytester.path / name).write_text((here / name).read_text())
    (pytester.path / "tests").mkdir()
    (pytester.path / "tests" / "test_a.py").write_text(
        "def test_0():\n    assert False\ndef test_1():\n    pass\n"
    )
    (pytester.path / FILE).write_text("\n".join(ENTRY % (at, at) for at in range(2)))
    result = pytester.runpytest_subprocess("-q", "--rootdir", str(pytester.path), "-p", "no:cacheprovider")
    assert result.ret == 0
    result.assert_outcomes(xfailed=1, xpassed=1)
    red, passed = (line for line in result.outlines if line.startswith("known red: "))
    assert "test_0" in red and "PASSED" not in red
    assert "test_1" in passed and passed.endswith("it PASSED in this run")
