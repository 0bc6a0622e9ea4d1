"""Faults in a rules file: position, what was found and what was expected."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field

MAX_REPORTED_FAULTS = 100  # further faults are only counted
MAX_EXCERPT_CHARS = 60  # of source text quoted in a fault


@dataclass(slots=True, frozen=True)
class Span:
    """A range of the source, as character offsets from its start."""

    start: int
    end: int


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault; `line` and `column` count from 1."""

    file: str
    line: int
    column: int
    found: str
    expected: str

    def __str__(self) -> str:
        found = f" found {self.found}," if self.found else ""
        return f"{self.file}:{self.line}:{self.column}:{found} {self.expected}"


def excerpt(text: str) -> str:
    """Return source text for display: on one line, shortened, with control characters escaped."""
    text = " ".join(text.split())
    if len(text) > MAX_EXCERPT_CHARS:
        text = text[: MAX_EXCERPT_CHARS - 3] + "..."
    return repr(text)


class RulesError(Exception):
    """Rules do not load; `faults` lists why, by position, and `omitted_count` counts those not listed."""

    def __init__(self, faults: list[Fault], omitted_count: int = 0) -> None:
        self.faults, self.omitted_count = faults, omitted_count
        lines = [str(f) for f in faults] + ([f"and {omitted_count} more faults"] if omitted_count else [])
        super().__init__("\n".join(lines))


@dataclass(slots=True)
class Faults:
    """Collects the faults of one source, which begins at `first_line` and `first_column` of its file."""

    file: str
    text: str
    first_line: int = 1
    first_column: int = 1
    by_key: dict[tuple[int, str], Fault] = field(default_factory=dict)  # key: offset and expected text
    omitted_count: int = 0
    line_starts: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.line_starts = [0]
        newline = self.text.find("\n")
        while newline >= 0:
            self.line_starts.append(newline + 1)
            newline = self.text.find("\n", newline + 1)

    def position(self, offset: int) -> tuple[int, int]:
        """Return line and column of a source offset in the source's file."""
        line_index = bisect_right(self.line_starts, offset) - 1
        column = offset - self.line_starts[line_index] + 1
        return line_index + self.first_line, column + (self.first_column - 1 if line_index == 0 else 0)

    def add(self, span: Span, expected: str, found: str | None = None) -> None:
        """Record a fault, unless the same one is recorded already."""
        if (span.start, expected) in self.by_key:
            return
        if len(self.by_key) >= MAX_REPORTED_FAULTS:
            self.omitted_count += 1
            return
        line, column = self.position(span.start)
        found_text = excerpt(self.text[span.start : span.end]) if found is None else found
        self.by_key[span.start, expected] = Fault(self.file, line, column, found_text, expected)

    def raise_if_any(self, *others: Faults) -> None:
        """Raise RulesError with all recorded faults, those of other files included, if there are any."""
        sources = (self, *others)
        found = [f.by_key[k] for f in sources for k in sorted(f.by_key)]
        if found:
            omitted_count = max(0, len(found) - MAX_REPORTED_FAULTS) + sum(f.omitted_count for f in sources)
            raise RulesError(found[:MAX_REPORTED_FAULTS], omitted_count)
