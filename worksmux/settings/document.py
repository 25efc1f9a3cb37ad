"""Reads KDL documents key by key, and collects all complaints before raising them together.

Each node records its line.  The reader of a section requests each key that the section may hold; any other
key is unknown and is reported with the closest known name.  After a complaint the reader continues with a
harmless placeholder value, so that one run reports every fault.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from difflib import get_close_matches
from pathlib import Path
from typing import Any, TypeVar

from kdl.errors import ParseError
from kdl.parsing import ParseConfig, Parser

from ..errors import WorksmuxError
from . import units

T = TypeVar("T")


@dataclass(frozen=True, order=True)
class Complaint:
    """One fault of a settings file: its place, what was expected and how to fix it."""

    file: str
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.text}"


class SettingsError(WorksmuxError):
    """All complaints about one file, sorted by line."""

    def __init__(self, complaints: list[Complaint]) -> None:
        self.complaints = sorted(set(complaints))
        super().__init__("\n".join(map(str, self.complaints)))


@dataclass
class Section:
    """A KDL node: its name, arguments, properties, children and line."""

    name: str
    line: int
    args: list[Any] = field(default_factory=list)
    props: dict[str, Any] = field(default_factory=dict)
    nodes: list[Section] = field(default_factory=list)
    file: str = ""
    complaints: list[Complaint] = field(default_factory=list)
    known_keys: set[str] = field(default_factory=set)

    def complain(self, text: str, line: int = 0) -> None:
        """Adds a complaint at `line`, or at the section's own line."""
        self.complaints.append(Complaint(self.file, line or self.line, text))

    def _attach(self, node: Section) -> Section:
        node.file, node.complaints = self.file, self.complaints
        return node

    def _raw(self, key: str) -> tuple[Any, int] | None:
        """The value and line of a key, given as a property or as a child with one argument."""
        self.known_keys.add(key)
        found = [(self.props[key], self.line)] if key in self.props else []
        for node in self.nodes:
            if node.name == key:
                if len(node.args) != 1 or node.props or node.nodes:
                    self.complain(f"{key}: expected exactly one value", node.line)
                    return None
                found.append((node.args[0], node.line))
        if len(found) > 1:
            self.complain(f"{key}: given {len(found)} times; keep one", found[-1][1])
        return found[0] if found else None

    def value(self, key: str, convert: Callable[[Any], T], placeholder: T, default: T | None = None) -> T:
        """The value of a key, converted by `convert`, which raises ValueError with what was expected.

        After a complaint the result is `placeholder`.
        """
        raw = self._raw(key)
        if raw is None:
            if default is not None:
                return default
            if not any(node.name == key for node in self.nodes):
                self.complain(f"{self.name}: {key} is missing; add it inside {self.name}")
            return placeholder
        try:
            return convert(raw[0])
        except ValueError as error:
            self.complain(f"{key}: {error}, not {raw[0]!r}", raw[1])
            return placeholder

    def duration_ms(self, key: str, default: float | None = None, min_value: float = 0.0) -> float:
        """A duration with a unit, in milliseconds."""

        def convert(raw: object) -> float:
            duration_ms = units.milliseconds(raw)
            if duration_ms < min_value:
                raise ValueError(f"expected at least {min_value:g}ms")
            return duration_ms

        return self.value(key, convert, max(1.0, min_value), default)

    def size(self, key: str, default: int | None = None) -> int:
        """A size with a unit, in bytes."""
        return self.value(key, units.size, 1, default)

    def address(self, key: str, default: tuple[str, int] | None = None) -> tuple[str, int]:
        """A host and port."""
        return self.value(key, units.address, ("127.0.0.1", 0), default)

    def number(
        self, key: str, default: float | None = None, min_value: float = 0.0, max_value: float = 1e15
    ) -> float:
        """A number from `min_value` to `max_value`."""

        def convert(raw: object) -> float:
            if (
                isinstance(raw, bool)
                or not isinstance(raw, (int, float))
                or not min_value <= raw <= max_value
            ):
                span = f"from {min_value:g}" + (f" to {max_value:g}" if max_value < 1e15 else "")
                raise ValueError(f"expected a number {span}")
            return float(raw)

        return self.value(key, convert, min_value, default)

    def integer(
        self, key: str, default: int | None = None, min_value: int = 0, max_value: int = 10**9
    ) -> int:
        """A whole number from `min_value` to `max_value`."""

        def convert(raw: object) -> int:
            if (
                isinstance(raw, bool)
                or not isinstance(raw, (int, float))
                or raw != int(raw)
                or not min_value <= raw <= max_value
            ):
                raise ValueError(f"expected a whole number from {min_value} to {max_value}")
            return int(raw)

        return self.value(key, convert, min_value, default)

    def flag(self, key: str, default: bool | None = None) -> bool:
        """A value that is true or false."""

        def convert(raw: object) -> bool:
            if not isinstance(raw, bool):
                raise ValueError("expected true or false")
            return raw

        return self.value(key, convert, False, default)

    def text(self, key: str, default: str | None = None) -> str:
        """A text that is not empty."""

        def convert(raw: object) -> str:
            if not isinstance(raw, str) or not raw:
                raise ValueError("expected a text in quotes")
            return raw

        return self.value(key, convert, "", default)

    def choice(self, key: str, choices: list[str], default: str | None = None) -> str:
        """A text that is one of `choices`."""

        def convert(raw: object) -> str:
            if not isinstance(raw, str) or raw not in choices:
                raise ValueError(f"expected one of {', '.join(choices)}")
            return raw

        return self.value(key, convert, choices[0] if choices else "", default)

    def number_range(self, key: str, default: tuple[float, float] | None = None) -> tuple[float, float]:
        """Two numbers, the lower first; a single number is both limits."""
        return self._pair(key, lambda raw: raw, "numbers, such as 40 120", default)

    def duration_range(self, key: str, default: tuple[float, float] | None = None) -> tuple[float, float]:
        """Two durations in milliseconds, the lower first; a single duration is both limits."""
        return self._pair(key, units.milliseconds, 'times, such as "1s" "4s"', default)

    def _pair(
        self, key: str, convert: Callable[[Any], float], expected: str, default: tuple[float, float] | None
    ) -> tuple[float, float]:
        self.known_keys.add(key)
        node = next((node for node in self.nodes if node.name == key), None)
        if node is None and key in self.props:
            node = Section(key, self.line, [self.props[key]])
        if node is None:
            if default is None:
                self.complain(f"{self.name}: {key} is missing; add it inside {self.name}")
            return default or (1.0, 1.0)
        try:
            numbers = [float(convert(raw)) for raw in node.args if not isinstance(raw, bool)]
        except (ValueError, TypeError):
            numbers = []
        if len(numbers) not in (1, 2) or len(numbers) != len(node.args) or numbers[0] > numbers[-1]:
            self.complain(f"{key}: expected one or two {expected}, the lower first", node.line)
            return default or (1.0, 1.0)
        return numbers[0], numbers[-1]

    def title(self) -> str:
        """The name of the section: its one argument, a text."""
        if len(self.args) != 1 or not isinstance(self.args[0], str) or not self.args[0]:
            self.complain(f'{self.name}: expected one name in quotes, such as {self.name} "one"')
            return ""
        return self.args[0]

    def texts(self, key: str) -> list[str]:
        """One or more names, given as a child or, for a single name, as a property."""
        node = Section(key, self.line, [self.props[key]]) if key in self.props else self.required(key)
        self.known_keys.add(key)
        if not node.args or not all(isinstance(arg, str) and arg for arg in node.args):
            self.complain(f"{key}: expected one or more names in quotes", node.line)
            return [""]
        return [str(arg) for arg in node.args]

    def all(self, key: str) -> list[Section]:
        """Every child section with this name."""
        self.known_keys.add(key)
        return [self._attach(node) for node in self.nodes if node.name == key]

    def optional(self, key: str) -> Section | None:
        """The only child section with this name; None if there is none."""
        found = self.all(key)
        if len(found) > 1:
            self.complain(f"{key}: given {len(found)} times; keep one", found[-1].line)
        return found[0] if found else None

    def required(self, key: str) -> Section:
        """The only child section with this name; an empty one and a complaint if there is none."""
        found = self.optional(key)
        if found is None:
            self.complain(f"{self.name}: {key} is missing; add a section {key}")
            return self._attach(Section(key, self.line, complaints=self.complaints))
        return found

    def end(self) -> None:
        """Reports every key that the reader did not request."""
        for key, line in self._keys():
            if key not in self.known_keys:
                closest = get_close_matches(key, self.known_keys, 1)
                hint = (
                    f"; did you mean {closest[0]}?"
                    if closest
                    else f"; known here: {', '.join(sorted(self.known_keys))}"
                )
                self.complain(f"{self.name}: unknown key {key}{hint}", line)

    def _keys(self) -> Iterator[tuple[str, int]]:
        for key in self.props:
            yield key, self.line
        for node in self.nodes:
            yield node.name, node.line


def _section(node: Any, fragment: Any) -> Section:
    return Section(node.name, fragment.error("").line, list(node.args), dict(node.props), list(node.nodes))


def parse(text: str, file: str = "settings") -> Section:
    """Parses a document into one section.

    Raises SettingsError where the text is not KDL (version 1, https://kdl.dev/spec-v1/).

    >>> parse('limits {\\n trips 4 \\n}').all("limits")[0].integer("trips")
    4
    """
    try:
        document = Parser().parse(text, ParseConfig(nodeConverters={(..., ...): _section}))
    except ParseError as error:
        reason = " ".join(str(error.msg).split("parse error:")[-1].split())
        raise SettingsError([Complaint(file, error.line, f"not KDL: {reason}")]) from error
    except (ValueError, RecursionError) as error:
        raise SettingsError([Complaint(file, 1, f"not KDL: {type(error).__name__}")]) from error
    return Section("file", 1, nodes=list(document.nodes), file=file)


def load(path: str | Path) -> Section:
    """Reads and parses a file.  Raises SettingsError also for a file that cannot be read."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "it is not UTF-8 text"
        raise SettingsError([Complaint(str(path), 1, f"cannot be read: {reason}")]) from error
    return parse(text, str(path))
