"""The list of tests that are known to fail."""

from __future__ import annotations

from pathlib import Path

import known_red
import pytest

LINE = "tests/test_a.py::test_%d | clocks step | 35\n"


def tree(folder: Path, text: str | None) -> Path:
    (folder / "tests").mkdir()
    (folder / "tests" / "test_a.py").write_text("".join(f"def test_{at}():\n    pass\n" for at in range(6)))
    if text is not None:
        (folder / known_red.FILE).write_text(text)
    return folder


@pytest.mark.parametrize("text", [None, "", "\n\n"])
def test_absent_or_empty_list_passes_over_nothing(tmp_path: Path, text: str | None) -> None:
    assert known_red.read(tree(tmp_path, text)) == []


def test_three_lines_are_taken_whole(tmp_path: Path) -> None:
    found = known_red.read(tree(tmp_path, "".join(LINE % at for at in range(3))))
    assert [one.test for one in found] == [f"tests/test_a.py::test_{at}" for at in range(3)]
    assert found[0].cause == "clocks step" and found[0].issue == "35"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("".join(LINE % at for at in range(4)), "at most 3"),
        (LINE % 9, "KNOWN-RED.txt:1: a test of this tree"),
        ("tests/test_b.py::test_0 | x | 1", "a test of this tree"),
        ("tests/test_a.py | x | 1", "a test of this tree"),
        ("tests/test_a.py::test_0 | no issue", "test | cause | issue"),
        ("tests/test_a.py::test_0 | | 35", "test | cause | issue"),
    ],
)
def test_line_that_is_wrong_stops_the_run(tmp_path: Path, text: str, expected: str) -> None:
    with pytest.raises(known_red.Wrong, match=expected.replace("|", r"\|")):
        known_red.read(tree(tmp_path, text))
